//! Termination signals, and time limits for shutdown.

use std::future::Future;
use std::time::Duration;

use applefold_core::unit::TimeSpan;
use eyre::{Result, WrapErr};
use tokio::signal::unix::{signal, SignalKind};

/// The delay before the process exits, in which the last responses leave its sockets.
const LINGER: Duration = Duration::from_millis(100);

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if a signal handler cannot be installed.
pub(crate) async fn wait_stop() -> Result<()> {
    let context = || "could not listen for signals";
    let mut terminate = signal(SignalKind::terminate()).wrap_err_with(context)?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err_with(context)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Waits for `future`, at most for `span`; returns whether it completed.
pub(crate) async fn finished_within<F>(span: TimeSpan, future: F) -> bool
where
    F: Future<Output = ()>,
{
    let limit = Duration::from_micros(span.0);
    actix_rt::time::timeout(limit, future).await.is_ok()
}

/// Waits for [`LINGER`], so that the last responses leave the sockets.
pub(crate) async fn linger() {
    actix_rt::time::sleep(LINGER).await;
}
