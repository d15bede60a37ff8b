//! The sidecar: the process beside a backend server and the only one that connects to it.

mod backend;
mod completion;
mod config;
mod load_poller;
mod meter;
mod orders;
mod runner;
mod scheduler;
mod session;
mod state;
mod suspects;
mod token_counter;

use std::net::SocketAddr;
use std::rc::Rc;

use applefold_core::id::{DomainId, InstanceId, PoolId};
use applefold_core::unit::TimeSpan;
use applefold_wire::applefold_capnp::session as session_capnp;
use eyre::{Result, WrapErr};

use crate::link::handshake::{self, HandshakeOptions};
use crate::link::secret::SecretRing;
use crate::signal;

use session::SidecarSession;
use state::SidecarState;

/// How long a stopping sidecar waits for aggregators to fetch its usage figures.
const USAGE_FLUSH_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);

/// The validated settings of a sidecar.
#[derive(Clone, Debug)]
pub(crate) struct SidecarSettings {
    pub(crate) peer_listen: SocketAddr,
    pub(crate) metrics_listen: Option<SocketAddr>,
    pub(crate) platform: SocketAddr,
    pub(crate) backend: SocketAddr,
    pub(crate) instance: InstanceId,
    pub(crate) domain: DomainId,
    pub(crate) pool: PoolId,
    pub(crate) secrets: SecretRing,
    pub(crate) slots: usize,
    pub(crate) progress_timeout: TimeSpan,
    pub(crate) drain_timeout: TimeSpan,
    pub(crate) usage_window: TimeSpan,
    pub(crate) trace_share: f64,
}

/// Runs a sidecar until the process is signalled to stop and its requests have ended.
///
/// # Errors
///
/// Fails if an address cannot be bound or signals cannot be handled.
pub(crate) async fn run(settings: SidecarSettings) -> Result<()> {
    let listener = handshake::bind(settings.peer_listen).await?;
    let peers = listener
        .local_addr()
        .wrap_err("could not determine the bound address for peers")?;
    let options = HandshakeOptions {
        instance: settings.instance.to_string(),
        secrets: settings.secrets.clone(),
    };
    let state = Rc::new(SidecarState::new(settings));
    if let Some(address) = state.settings.metrics_listen {
        crate::http::serve_metrics(address, state.metrics.clone()).await?;
    }
    let session: session_capnp::Client = capnp_rpc::new_client(SidecarSession::new(state.clone()));
    actix_rt::spawn(handshake::serve(listener, options, session));
    actix_rt::spawn(load_poller::run(state.clone()));
    actix_rt::spawn(orders::run(state.clone()));
    let clock = state.clock;
    actix_rt::spawn(scheduler::run(state.scheduler.clone(), move || clock.now()));
    log::info!(instance = state.settings.instance.as_str(),
        peers = peers.to_string(); "sidecar is serving");
    signal::wait_stop().await?;
    stop(&state).await;
    Ok(())
}

/// Drains the sidecar. Its usage figures have to reach aggregators before the process ends.
async fn stop(state: &SidecarState) {
    log::info!(in_flight = state.gate.in_flight(); "sidecar is draining");
    state.gate.begin(&state.clock);
    let until = state.now() + USAGE_FLUSH_TIMEOUT;
    let settled = || state.meter.is_replicated() || state.now() >= until;
    let drained = state.gate.finish(&state.clock, settled);
    let drained = signal::finished_within(state.settings.drain_timeout, drained).await;
    if !drained {
        log::warn!(in_flight = state.gate.in_flight(); "drain timeout reached; aborting the requests in flight");
    }
    signal::linger().await;
    log::info!("sidecar has stopped");
}
