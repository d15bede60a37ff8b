//! The entry process: it serves callers and operators and sends requests to backend servers.

mod api;
mod attempt;
mod chat;
mod claims;
mod config;
mod decisions;
mod discovery;
mod drain;
mod driver;
mod filing;
mod fleet;
mod leases;
mod links;
mod operator;
mod peers;
mod periodic;
mod plan;
mod receive;
mod report;
mod response;
mod state;
mod usage;

use std::net::SocketAddr;
use std::rc::Rc;

use applefold_core::id::{DomainId, InstanceId, RegionId};
use applefold_core::unit::{ByteSize, TimeSpan};
use applefold_wire::applefold_capnp::session as session_capnp;
use eyre::{Result, WrapErr};
use smol_str::SmolStr;

use crate::link::handshake;
use crate::link::secret::SecretRing;
use crate::signal;

use peers::EntrySession;
use state::EntryState;

pub(crate) use state::PUBLIC_TEAM;

/// The checked settings of an entry.
#[derive(Clone, Debug)]
pub(crate) struct EntrySettings {
    /// The address for callers and operators.
    pub(crate) listen: SocketAddr,
    /// The address for peers.
    pub(crate) peer_listen: SocketAddr,
    /// The address for metrics; `None` disables them.
    pub(crate) metrics_listen: Option<SocketAddr>,
    /// The address of the platform's service.
    pub(crate) platform: SocketAddr,
    /// The name of this instance.
    pub(crate) instance: InstanceId,
    /// The failure domain of this instance.
    pub(crate) domain: DomainId,
    /// The region of this instance.
    pub(crate) region: RegionId,
    /// The secrets with which peers authenticate each other.
    pub(crate) secrets: SecretRing,
    /// The credential that operators present.
    pub(crate) operator_credential: OperatorCredential,
    /// The most bytes of a response that are buffered until it is complete.
    pub(crate) hold_limit: ByteSize,
    /// The longest pause within a response.
    pub(crate) progress_timeout: TimeSpan,
    /// How long a stopping entry still admits requests while the load balancer takes it out.
    pub(crate) drain_delay: TimeSpan,
    /// How long requests in flight may run on when the process stops.
    pub(crate) drain_timeout: TimeSpan,
    /// How long the entry serves on an unconfirmed configuration.
    pub(crate) confirm_bound: TimeSpan,
    /// The length of a usage window, the same for all processes.
    pub(crate) usage_window: TimeSpan,
    /// How long a lost backend server may take to come back before another is ordered.
    pub(crate) restart_grace: TimeSpan,
    /// The share of traces that are exported, from 0 to 1.
    pub(crate) trace_share: f64,
    /// The memory of the process, in megabytes.
    pub(crate) max_memory_mb: u64,
    /// The file descriptors of the process.
    pub(crate) max_descriptors: u64,
}

/// The credential that authenticates operators. Debug output hides it.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct OperatorCredential(SmolStr);

impl std::fmt::Debug for OperatorCredential {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("OperatorCredential(..)")
    }
}

impl std::str::FromStr for OperatorCredential {
    type Err = crate::link::secret::SecretError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let _: crate::link::secret::ClusterSecret = text.parse()?;
        Ok(Self(SmolStr::new(text)))
    }
}

impl OperatorCredential {
    /// Returns whether `presented` is the credential.
    ///
    /// Digests are compared, so that the duration reveals nothing about the credential.
    pub(crate) fn matches(&self, presented: &str) -> bool {
        let digest = applefold_core::config::key_digest;
        digest(&self.0) == digest(presented)
    }
}

/// Runs the entry until the process gets a stop signal and has drained.
///
/// # Errors
///
/// Fails if an address cannot be bound or the signal handlers cannot be installed.
pub(crate) async fn run(settings: EntrySettings) -> Result<()> {
    let state = Rc::new(EntryState::new(settings));
    if let Some(address) = state.settings.metrics_listen {
        crate::http::serve_metrics(address, state.metrics.clone()).await?;
    }
    let listener = handshake::bind(state.settings.peer_listen).await?;
    let peers = listener
        .local_addr()
        .wrap_err("could not read the bound address of the peer listener")?;
    let session: session_capnp::Client = capnp_rpc::new_client(EntrySession::new(state.clone()));
    actix_rt::spawn(handshake::serve(
        listener,
        state.handshake_options(),
        session,
    ));
    actix_rt::spawn(leases::run(state.clone()));
    actix_rt::spawn(claims::run(state.clone()));
    actix_rt::spawn(usage::run(state.clone()));
    actix_rt::spawn(fleet::run(state.clone()));
    actix_rt::spawn(config::run(state.clone()));
    actix_rt::spawn(config::compact(state.clone()));
    actix_rt::spawn(periodic::poll_instances(state.clone()));
    actix_rt::spawn(periodic::publish_demand(state.clone()));
    let server = api::serve(state.clone()).await?;
    log::info!(instance = state.settings.instance.as_str(),
        callers = server.address.to_string(), peers = peers.to_string(); "entry is serving");
    signal::wait_stop().await?;
    stop(&state).await;
    drop(server);
    Ok(())
}

/// Drains the entry: announces the stop to peers and the load balancer, releases all leases, and
/// waits for the requests in flight until the drain timeout.
async fn stop(state: &Rc<EntryState>) {
    log::info!(in_flight = state.gate.in_flight(); "entry is draining");
    state.gate.begin(&state.clock);
    leases::release_all(state).await;
    let drained = state.gate.finish(&state.clock, || true);
    let drained = signal::finished_within(state.settings.drain_timeout, drained).await;
    if !drained {
        log::warn!(in_flight = state.gate.in_flight(); "drain timeout passed; aborting the requests in flight");
    }
    signal::linger().await;
    log::info!("entry has stopped");
}
