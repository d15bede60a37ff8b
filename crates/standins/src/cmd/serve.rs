//! Runs one stand-in until the process receives SIGTERM.

use std::net::SocketAddr;

use applefold_standins::{serve, CrashMode, StandinOptions};
use eyre::{Result, WrapErr};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};

/// JSON line on stdout that reports the listen address.
#[derive(Serialize)]
struct ReadyLine {
    listening: SocketAddr,
}

pub(crate) fn run(listen: SocketAddr, options: StandinOptions) -> Result<()> {
    actix_rt::System::new().block_on(listen_and_serve(listen, options))
}

async fn listen_and_serve(listen: SocketAddr, options: StandinOptions) -> Result<()> {
    let listener = TcpListener::bind(listen).await;
    let listener = listener.wrap_err_with(|| format!("cannot listen on {listen}"))?;
    let listening = listener
        .local_addr()
        .wrap_err_with(|| "cannot read the listener's local address")?;
    let mut term =
        signal(SignalKind::terminate()).wrap_err_with(|| "cannot install the SIGTERM handler")?;
    let line = serde_json::to_string(&ReadyLine { listening });
    println!(
        "{}",
        line.wrap_err_with(|| "cannot serialize the ready line")?
    );
    let stop = async move {
        term.recv().await;
    };
    serve(listener, options, CrashMode::Exit, stop).await;
    Ok(())
}
