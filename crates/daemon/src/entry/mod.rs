//! The process that callers and operators speak to.

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

use crate::link::gate;
use crate::link::secret::SecretRing;
use crate::signal;

use peers::EntrySession;
use state::EntryState;

pub(crate) use state::PUBLIC_TEAM;

/// The checked settings of an entry.
#[derive(Clone, Debug)]
pub(crate) struct EntrySettings {
    pub(crate) listen: SocketAddr,
    pub(crate) peer_listen: SocketAddr,
    pub(crate) metrics_listen: Option<SocketAddr>,
    pub(crate) platform: SocketAddr,
    pub(crate) instance: InstanceId,
    pub(crate) domain: DomainId,
    pub(crate) region: RegionId,
    pub(crate) secrets: SecretRing,
    pub(crate) operator_credential: OperatorCredential,
    pub(crate) hold_limit: ByteSize,
    pub(crate) progress_timeout: TimeSpan,
    pub(crate) drain_delay: TimeSpan,
    pub(crate) drain_timeout: TimeSpan,
    pub(crate) confirm_bound: TimeSpan,
    pub(crate) usage_window: TimeSpan,
    pub(crate) restart_grace: TimeSpan,
    pub(crate) trace_share: f64,
}

/// What an operator proves to be one.
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
    /// Compares digests, so that the time taken tells nothing of the credential.
    pub(crate) fn matches(&self, presented: &str) -> bool {
        let digest = applefold_core::config::key_digest;
        digest(&self.0) == digest(presented)
    }
}

/// Runs until the process is told to stop and nothing is in flight.
pub(crate) async fn run(settings: EntrySettings) -> Result<()> {
    let state = Rc::new(EntryState::new(settings));
    if let Some(address) = state.settings.metrics_listen {
        crate::http::serve_metrics(address, state.metrics.clone()).await?;
    }
    let listener = gate::bind(state.settings.peer_listen).await?;
    let peers = listener
        .local_addr()
        .wrap_err("could not read the address for peers")?;
    let session: session_capnp::Client = capnp_rpc::new_client(EntrySession::new(state.clone()));
    actix_rt::spawn(gate::serve(listener, state.gate_options(), session));
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

/// Tells peers and the balancer, hands leases to others at once, then lets what
/// runs come to its end.
async fn stop(state: &Rc<EntryState>) {
    log::info!(in_flight = state.gate.in_flight(); "entry is draining");
    state.gate.begin(&state.clock);
    leases::release_all(state).await;
    let drained = state.gate.finish(&state.clock, || true);
    let drained = signal::finished_within(state.settings.drain_timeout, drained).await;
    if !drained {
        log::warn!(in_flight = state.gate.in_flight(); "drain timeout passed, work is cut");
    }
    signal::linger().await;
    log::info!("entry has stopped");
}
