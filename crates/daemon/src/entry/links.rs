//! The connections to sidecars and other entries, and the heartbeats on them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::id::{BackendId, DomainId, InstanceId, PoolId, Revision};
use applefold_core::unit::TimePoint;
use applefold_wire::applefold_capnp::session;
use applefold_wire::heartbeat::{HeartbeatMessage, LoadStatus};
use eyre::{Result, WrapErr};
use tokio::sync::{watch, Notify};

use super::config;
use super::fleet;
use super::state::EntryState;
use super::usage;
use crate::link::client::{dial, PeerLink};
use crate::platform::message::{InstanceKind, InstanceRow};

/// The interval of heartbeats on each connection.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A connection on which a reply takes longer is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay before a lost connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// A peer that this entry maintains a connection to.
pub(crate) struct LinkRow {
    /// The pool of a backend server; `None` for another entry.
    pub(crate) pool: Option<PoolId>,
    /// The peer's failure domain.
    pub(crate) domain: DomainId,
    /// The address to connect to.
    pub(crate) address: SocketAddr,
    /// Whether the peer gets no new work.
    pub(crate) leaving: bool,
    /// The connection; `None` while there is none.
    pub(crate) link: Option<PeerLink>,
    /// The last load report.
    pub(crate) load: LoadStatus,
    /// The configuration revision in the last heartbeat.
    pub(crate) revision: Revision,
    /// When the last heartbeat arrived.
    pub(crate) last_heartbeat_at: TimePoint,
    /// Makes the next heartbeat go out at once.
    wake: Rc<Notify>,
    /// The task that maintains the connection; aborted on drop.
    task: actix_rt::task::JoinHandle<()>,
}

impl LinkRow {
    /// Returns the state that the status report shows.
    pub(crate) fn state_label(&self) -> &'static str {
        match (&self.link, self.leaving) {
            (None, _) => "unreached",
            (Some(_), true) => "leaving",
            (Some(_), false) => "live",
        }
    }
}

impl Drop for LinkRow {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The part of a peer's row that comes from the instance list and the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LinkTarget {
    /// The pool of a backend server; `None` for another entry.
    pub(crate) pool: Option<PoolId>,
    /// Whether the peer gets no new work.
    pub(crate) leaving: bool,
}

/// All peers that this entry maintains a connection to.
#[derive(Default)]
pub(crate) struct LinkTable {
    /// The peers by instance.
    pub(crate) rows: BTreeMap<InstanceId, LinkRow>,
}

/// The connection to a sidecar, with its instance.
#[derive(Clone)]
pub(crate) struct SidecarLink {
    /// The instance of the sidecar and its backend server.
    pub(crate) instance: InstanceId,
    /// The connection.
    pub(crate) link: PeerLink,
}

impl LinkTable {
    /// Returns the connection to a backend server, if there is one.
    pub(crate) fn link_to(&self, backend: &BackendId) -> Option<SidecarLink> {
        let instance: InstanceId = backend.as_str().parse().ok()?;
        let link = self.rows.get(&instance)?.link.clone()?;
        Some(SidecarLink { instance, link })
    }

    /// Returns the connection to another entry, if there is one.
    pub(crate) fn peer(&self, instance: &InstanceId) -> Option<PeerLink> {
        let row = self.rows.get(instance).filter(|row| row.pool.is_none())?;
        row.link.clone()
    }

    fn wake_handle(&self, instance: &InstanceId) -> Option<Rc<Notify>> {
        self.rows.get(instance).map(|row| row.wake.clone())
    }

    /// Sends the next heartbeat to another entry now.
    pub(crate) fn wake(&self, instance: &InstanceId) {
        if let Some(row) = self.rows.get(instance) {
            row.wake.notify_one();
        }
    }

    /// Returns the connection to each other entry; `None` for one that is not connected.
    pub(crate) fn peers(&self) -> Vec<Option<PeerLink>> {
        let peers = self.rows.values().filter(|row| row.pool.is_none());
        peers.map(|row| row.link.clone()).collect()
    }
}

/// Returns the id of the backend server on an instance, which is the name of the instance.
pub(crate) fn backend_id(instance: &InstanceId) -> BackendId {
    let id = instance.as_str().parse();
    id.expect("every instance name is an identifier")
}

/// Records a load report of a sidecar.
pub(crate) fn record_load(state: &Rc<EntryState>, instance: &InstanceId, load: &LoadStatus) {
    let now = state.now();
    if let Some(row) = state.links.borrow_mut().rows.get_mut(instance) {
        row.load = *load;
    }
    let backend = backend_id(instance);
    state
        .decisions
        .borrow_mut()
        .record_load(&backend, load, now);
    update_availability(state, instance);
    fleet::record_load(state, &backend, load);
}

/// Updates the availability of a backend server after a change of its connection, load or listing.
pub(crate) fn update_availability(state: &EntryState, instance: &InstanceId) {
    let links = state.links.borrow();
    let Some(row) = links.rows.get(instance) else {
        return;
    };
    let draining = row.leaving || row.load.draining;
    let backend = backend_id(instance);
    let mut decisions = state.decisions.borrow_mut();
    decisions.set_availability(&backend, row.link.is_some(), draining);
}

/// Adds a peer and starts to maintain its connection, or updates a known peer. A peer with a new
/// address gets a new connection.
pub(crate) fn upsert_link(state: &Rc<EntryState>, instance: &InstanceRow, target: LinkTarget) {
    let LinkTarget { pool, leaving } = target;
    let mut table = state.links.borrow_mut();
    let known = table.rows.get_mut(&instance.id);
    if let Some(row) = known.filter(|row| row.address == instance.address) {
        row.leaving = leaving;
        row.pool = pool;
        return;
    }
    let kind = instance.kind;
    let task = actix_rt::spawn(maintain(
        state.clone(),
        instance.id.clone(),
        instance.address,
        kind,
    ));
    let row = LinkRow {
        pool,
        domain: instance.domain.clone(),
        address: instance.address,
        leaving,
        link: None,
        load: LoadStatus::default(),
        revision: Revision::default(),
        last_heartbeat_at: TimePoint::START,
        wake: Rc::default(),
        task,
    };
    table.rows.insert(instance.id.clone(), row);
}

/// Maintains the connection to one peer, and reconnects whenever it ends.
async fn maintain(
    state: Rc<EntryState>,
    instance: InstanceId,
    address: SocketAddr,
    kind: InstanceKind,
) {
    loop {
        let ended = connect_once(&state, &instance, address, kind).await;
        if let Some(row) = state.links.borrow_mut().rows.get_mut(&instance) {
            row.link = None;
        }
        update_availability(&state, &instance);
        if let Err(error) = ended {
            log::debug!(peer = instance.as_str(); "connection to a peer ended; reconnecting: {error:#}");
        }
        actix_rt::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn connect_once(
    state: &Rc<EntryState>,
    instance: &InstanceId,
    address: SocketAddr,
    kind: InstanceKind,
) -> Result<()> {
    let link = dial(address, &state.handshake_options()).await?;
    let result = match kind {
        InstanceKind::Entry => exchange_with_entry(state, instance, &link).await,
        InstanceKind::Backend => exchange_with_sidecar(state, instance, &link).await,
    };
    link.close();
    result
}

/// Exchanges heartbeats with another entry until the connection fails.
async fn exchange_with_entry(
    state: &Rc<EntryState>,
    instance: &InstanceId,
    link: &PeerLink,
) -> Result<()> {
    let mut urgent = state.urgent.subscribe();
    loop {
        let sent_at = state.now();
        let beat = with_timeout(exchange_heartbeat(state, &link.session)).await?;
        state.handle_heartbeat(&beat);
        state
            .config
            .handle_reply(instance, beat.confirmation, sent_at);
        record_heartbeat(state, instance, link, &beat);
        wait_heartbeat_due(state, instance, &mut urgent).await;
    }
}

/// Exchanges heartbeats with a sidecar until the connection fails. Also pushes configuration
/// changes to it and pulls its usage figures.
async fn exchange_with_sidecar(
    state: &Rc<EntryState>,
    instance: &InstanceId,
    link: &PeerLink,
) -> Result<()> {
    let mut usage_position = 0;
    let mut urgent = state.urgent.subscribe();
    loop {
        let beat = with_timeout(exchange_heartbeat(state, &link.session)).await?;
        record_heartbeat(state, instance, link, &beat);
        record_load(state, instance, &beat.load);
        if beat.confirmation.revision < state.config.revision() {
            let known = beat.confirmation.revision;
            with_timeout(push_config(state, &link.session, known)).await?;
            continue;
        }
        usage_position =
            with_timeout(usage::pull_usage(state, &link.session, usage_position)).await?;
        wait_next_heartbeat(state, &beat, &mut urgent).await;
    }
}

/// Waits until the next heartbeat to a sidecar is due: at once after a change of the configuration.
async fn wait_next_heartbeat(
    state: &Rc<EntryState>,
    beat: &HeartbeatMessage,
    urgent: &mut watch::Receiver<u64>,
) {
    let changed = state.config.wait_change();
    if beat.confirmation.revision < state.config.revision() {
        return;
    }
    tokio::select! {
        () = changed => {}
        () = wait_interval(urgent) => {}
    }
}

/// Waits until the next heartbeat to another entry is due: when the configuration replica requests
/// it, when the configuration changes, or after the interval.
async fn wait_heartbeat_due(
    state: &EntryState,
    instance: &InstanceId,
    urgent: &mut watch::Receiver<u64>,
) {
    let wake = state.links.borrow().wake_handle(instance);
    let Some(wake) = wake else {
        return;
    };
    let changed = state.config.wait_change();
    tokio::select! {
        () = wake.notified() => {}
        () = changed => {}
        () = wait_interval(urgent) => {}
    }
}

/// Waits for the heartbeat interval, or until a crash has to be reported at once.
async fn wait_interval(urgent: &mut watch::Receiver<u64>) {
    let _ = actix_rt::time::timeout(HEARTBEAT_INTERVAL, urgent.changed()).await;
}

/// Runs a call to a peer with the silence timeout.
async fn with_timeout<T, F>(call: F) -> Result<T>
where
    F: std::future::Future<Output = Result<T>>,
{
    let answered = actix_rt::time::timeout(SILENCE_TIMEOUT, call).await;
    answered.wrap_err("the peer did not reply within the silence timeout")?
}

fn record_heartbeat(
    state: &Rc<EntryState>,
    instance: &InstanceId,
    link: &PeerLink,
    beat: &HeartbeatMessage,
) {
    let now = state.now();
    if beat.confirmation.revision > state.config.revision() {
        let known = state.config.revision();
        let session = link.session.clone();
        actix_rt::spawn(config::fetch_or_log(state.clone(), session, known));
    }
    state.merge_reports(&beat.suspects);
    let mut table = state.links.borrow_mut();
    let Some(row) = table.rows.get_mut(instance) else {
        return;
    };
    row.revision = beat.confirmation.revision;
    row.last_heartbeat_at = now;
    row.link = Some(link.clone());
}

async fn exchange_heartbeat(
    state: &Rc<EntryState>,
    session: &session::Client,
) -> Result<HeartbeatMessage> {
    let mut request = session.heartbeat_request();
    state.heartbeat().write(request.get().init_beat());
    let reply = request.send().promise.await?;
    Ok(HeartbeatMessage::read(reply.get()?.get_beat()?)?)
}

/// Pushes the configuration changes after revision `known` to a peer.
async fn push_config(
    state: &Rc<EntryState>,
    session: &session::Client,
    known: Revision,
) -> Result<()> {
    let mut request = session.configure_request();
    let push = state.config.push_since(known);
    let mut update = request.get().init_update();
    update.set_revision(state.config.revision().0);
    update.set_body(&*push.to_json());
    request.send().promise.await?;
    Ok(())
}
