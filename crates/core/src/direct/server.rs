//! The table of backend servers that an entry sends requests to directly.

mod row;
mod successor;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use smol_str::SmolStr;

use crate::direct::estimate::ewma;
use crate::direct::speed::{Observer, SpeedCurve};
use crate::direct::{
    LimitEffect, LimitStatement, PrefillWork, PromptPart, SendEvent, SendState, SoftwareVersion,
    SpeedObservation,
};
use crate::id::{BackendId, DomainId, InstanceId, ServiceId};
use crate::routing::BackendRole;
use crate::unit::{TimePoint, TimeSpan, TokenCount};

pub use crate::routing::FlightId;
pub use row::ServerRow;
use successor::SuccessorCooldown;

/// The backoff of an engine that is changing its role, from the last report of the change.
const UNAVAILABLE_BACKOFF: TimeSpan = TimeSpan::from_millis(1_000);
/// The most doublings of [`REJECTION_BACKOFF`] while each further request is rejected too, as by
/// an engine that is changing its role.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// The most incarnations remembered as having announced that they leave. Their rows of the list may
/// come back.
const MAX_LEFT_INCARNATIONS: usize = 1_024;
/// The backoff of an engine after it rejected a request.
const REJECTION_BACKOFF: TimeSpan = TimeSpan::from_millis(150);

/// A backend server as the platform's list describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSpec {
    /// The identifier.
    pub id: BackendId,
    /// The service that it serves.
    pub service: ServiceId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub domain: DomainId,
    /// The phases of a model request that it runs; plain services have none.
    pub role: BackendRole,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether its registration states that it is draining.
    pub draining: bool,
    /// The start time in milliseconds since the Unix epoch, which identifies the incarnation. All
    /// state is dropped when it changes, or the software version does, but for a cooldown that the
    /// new process requested.
    pub started_at_ms: u64,
    /// The version of its software; `None` if the registration states none, or no valid one.
    pub version: Option<SoftwareVersion>,
    /// The models that it has loaded.
    pub models: BTreeSet<SmolStr>,
}

/// How a change of the list affected a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// The backend server is new.
    Added,
    /// It has restarted under its identifier.
    Restarted,
    /// It accepts no new requests from now on.
    Draining,
    /// Another field changed.
    Changed,
    /// It is removed.
    Removed,
}

/// The load that a backend server reports with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// The requests that are running.
    pub running: u32,
    /// The requests that are queued.
    pub waiting: u32,
    /// The number of requests that it can run concurrently.
    pub slots: u32,
    /// How long work takes on its machine at the moment, in percent of the usual time; `None` if the
    /// backend server does not report it.
    pub slowdown_percent: Option<u32>,
}

/// A request of this entry that is in flight at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlightRecord {
    /// The time when it was sent.
    pub sent_at: TimePoint,
    /// The prompt tokens that the engine was expected to prefill for it.
    pub work: PrefillWork,
    /// The prompt tokens of other requests that were queued before it.
    pub queued_ahead: TokenCount,
    /// The predicted time to its first token.
    pub predicted: TimeSpan,
    /// Whether its first token has arrived.
    pub first_token_seen: bool,
}

/// What the first token of a request shows about the speed of its engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstToken {
    /// The engine.
    pub backend: BackendHash,
    /// Its work, and the time that it would have taken without the slowdown.
    pub observation: SpeedObservation,
    /// The time that had been predicted when the request was sent.
    pub predicted: TimeSpan,
    /// The time that it took, with the slowdown of the machine.
    pub taken: TimeSpan,
}

/// The requests that an entry has in flight at a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// The number of requests.
    pub flights: u32,
    /// The prompt tokens to prefill for those whose first token has not arrived.
    pub backlog: TokenCount,
}

/// A hash of a backend server's name, for messages in which the full name would cost too much.
///
/// Two names may share a hash. It is used only where a mix-up makes a load figure slightly wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BackendHash(pub u32);

/// The backend servers that an entry may send requests to.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    rows: BTreeMap<BackendId, ServerRow>,
    hashes: BTreeMap<BackendHash, BackendId>,
    services: BTreeMap<ServiceId, BTreeSet<BackendId>>,
    /// The cost curves, which the rows share.
    curves: BTreeMap<(ServiceId, BackendRole), Rc<Cell<SpeedCurve>>>,
    flights: BTreeMap<FlightId, BackendId>,
    last_flight: u64,
    /// The incarnations, by name and start time, that announced that they leave and are no longer
    /// listed.
    left_incarnations: BTreeSet<(BackendId, u64)>,
    /// What a process may have requested that the list does not show yet, by backend server.
    successors: BTreeMap<BackendId, SuccessorCooldown>,
    peers: BTreeMap<InstanceId, PeerColumn>,
}

/// The column of a peer's loads in the rows of the table.
#[derive(Clone, Debug)]
struct PeerColumn {
    index: usize,
    /// The backend servers in the peer's last report.
    reported: Vec<BackendId>,
}

impl ServerTable {
    /// Adds or updates a backend server from the list; returns `None` if nothing changed.
    pub fn upsert(&mut self, spec: ServerSpec, now: TimePoint) -> Option<ServerChange> {
        let Some(row) = self.rows.get_mut(&spec.id) else {
            self.insert(spec, now);
            return Some(ServerChange::Added);
        };
        let restarted = row.spec.started_at_ms != spec.started_at_ms
            || row.spec.service != spec.service
            || row.spec.version != spec.version;
        if restarted {
            self.remove(&spec.id.clone());
            self.insert(spec, now);
            return Some(ServerChange::Restarted);
        }
        row.expired = false;
        row.send_state = row.send_state.after(listing_event(&spec), now);
        if row.spec == spec {
            return None;
        }
        let starts_draining = spec.draining && !row.spec.draining;
        if row.spec.role != spec.role {
            row.curve = shared_curve(&mut self.curves, &spec);
        }
        row.spec = spec;
        match starts_draining {
            true => Some(ServerChange::Draining),
            false => Some(ServerChange::Changed),
        }
    }

    /// Removes a backend server with its requests. The table remembers that it announced to leave,
    /// in case its row of the list comes back.
    pub fn remove(&mut self, id: &BackendId) -> Option<ServerChange> {
        let row = self.rows.remove(id)?;
        self.hashes.remove(&row.name_hash());
        if let Some(ids) = self.services.get_mut(&row.spec.service) {
            ids.remove(id);
        }
        for flight in row.flights.keys() {
            self.flights.remove(flight);
        }
        if row.send_state == SendState::Leaving {
            self.left_incarnations
                .insert((id.clone(), row.spec.started_at_ms));
            if self.left_incarnations.len() > MAX_LEFT_INCARNATIONS {
                self.left_incarnations.pop_first();
            }
        }
        Some(ServerChange::Removed)
    }

    /// Sets the KV cache capacity of the engines of a service.
    pub fn set_kv_capacity(&mut self, service: &ServiceId, capacity: TokenCount) {
        let rows = self.rows.values_mut();
        for row in rows.filter(|row| row.spec.service == *service) {
            row.kv_capacity = capacity;
        }
    }

    /// Returns the row of a backend server.
    pub fn get(&self, id: &BackendId) -> Option<&ServerRow> {
        self.rows.get(id)
    }

    /// Returns the backend server whose name has this hash.
    pub fn by_hash(&self, hash: BackendHash) -> Option<&BackendId> {
        self.hashes.get(&hash)
    }

    /// Returns all backend servers, ordered by identifier.
    pub fn rows(&self) -> impl Iterator<Item = &ServerRow> {
        self.rows.values()
    }

    /// Returns the backend servers of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &ServiceId,
    ) -> impl Iterator<Item = &'a ServerRow> + 'a {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.rows.get(id))
    }

    /// Records that a backend server's registration is gone, perhaps only because the store was
    /// unavailable.
    pub fn mark_expired(&mut self, id: &BackendId) {
        if let Some(row) = self.rows.get_mut(id) {
            row.expired = true;
        }
    }

    /// Applies an event to the send state of a backend server; returns the states before and after.
    /// Returns `None` if the backend server is not listed.
    pub fn apply(
        &mut self,
        id: &BackendId,
        event: SendEvent,
        now: TimePoint,
    ) -> Option<(SendState, SendState)> {
        let row = self.rows.get_mut(id)?;
        let before = row.send_state;
        row.send_state = before.after(event, now);
        Some((before, row.send_state))
    }

    /// Records that a connection to a backend server broke at `broken_at`, as when its process ends.
    pub fn record_break(&mut self, id: &BackendId, broken_at: TimePoint) {
        if !self.rows.contains_key(id) {
            return;
        }
        let rows = &self.rows;
        self.successors
            .retain(|id, successor| rows.contains_key(id) || successor.until(broken_at).is_some());
        let successor = self.successors.entry(id.clone()).or_default();
        successor.note_break(broken_at);
    }

    /// Records that a backend server requested a cooldown in its response to a request that was sent
    /// at `sent_at`, in case the list shows later that a new process did.
    pub fn record_cooldown(
        &mut self,
        id: &BackendId,
        sent_at: TimePoint,
        until: TimePoint,
        now: TimePoint,
    ) {
        if let Some(successor) = self.successors.get_mut(id) {
            successor.note_cooldown(sent_at, until, now);
        }
    }

    /// Applies a statement of an incarnation of a backend server about its rate limit. A statement
    /// of an incarnation that is not listed is outdated.
    pub fn record_limit(
        &mut self,
        id: &BackendId,
        incarnation: u64,
        statement: &LimitStatement,
    ) -> LimitEffect {
        let row = self.rows.get_mut(id);
        let row = row.filter(|row| row.spec.started_at_ms == incarnation);
        row.map_or(LimitEffect::Outdated, |row| row.rate_limit.apply(statement))
    }

    /// Sends nothing to a backend server until this time, since its rate limit is used up.
    pub fn defer(&mut self, id: &BackendId, until: TimePoint) {
        if let Some(row) = self.rows.get_mut(id) {
            row.rate_limit.defer(until);
        }
    }

    /// Records the load that a backend server reported.
    pub fn record_load(&mut self, id: &BackendId, sample: LoadSample, now: TimePoint) {
        if let Some(row) = self.rows.get_mut(id) {
            row.load = Some((sample, now));
        }
    }

    /// Starts a backoff for a backend server that cannot serve its requests for now; each call
    /// restarts it. The backend server is changing its role, or it reported that its role has
    /// changed or that another one has taken over its address, and the list does not show that yet.
    pub fn mark_unavailable(&mut self, id: &BackendId, now: TimePoint) {
        self.apply(id, SendEvent::Rejected(now + UNAVAILABLE_BACKOFF), now);
    }

    /// Replaces the in-flight requests that a peer reported for each backend server. A backend
    /// server that is missing from `loads` has none.
    pub fn record_peer_loads(
        &mut self,
        peer: &InstanceId,
        loads: &BTreeMap<BackendId, PeerLoad>,
        now: TimePoint,
    ) {
        let index = self.peers.len();
        let column = self.peers.entry(peer.clone()).or_insert(PeerColumn {
            index,
            reported: Vec::new(),
        });
        for id in column.reported.drain(..) {
            let row = self.rows.get_mut(&id);
            // A row that was replaced since has no columns.
            if let Some(slot) = row.and_then(|row| row.peers.get_mut(column.index)) {
                *slot = None;
            }
        }
        for (id, load) in loads {
            if let Some(row) = self.rows.get_mut(id) {
                if row.peers.len() <= column.index {
                    row.peers.resize(column.index + 1, None);
                }
                row.peers[column.index] = Some((*load, now));
                column.reported.push(id.clone());
            }
        }
    }

    /// Returns the requests that this entry has in flight at each backend server.
    pub fn own_loads(&self) -> BTreeMap<BackendId, PeerLoad> {
        let rows = self.rows.iter().filter(|(_, row)| !row.flights.is_empty());
        rows.map(|(id, row)| (id.clone(), row.own_load())).collect()
    }

    /// Records that a backend server has prefilled a prompt for a peer and caches its parts.
    pub fn record_prefill(&mut self, id: &BackendId, parts: &[PromptPart], now: TimePoint) {
        if let Some(row) = self.rows.get_mut(id) {
            row.cache_parts(parts, now);
        }
    }

    /// Starts a backoff after a backend server rejected a request. It doubles with each rejection
    /// in a row, up to a limit; rejections during a backoff do not count.
    pub fn record_rejection(&mut self, id: &BackendId, now: TimePoint) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        if row.send_state.is_backing_off(now) {
            return;
        }
        let until = now + TimeSpan(REJECTION_BACKOFF.0 << row.rejections);
        row.send_state = row.send_state.after(SendEvent::Rejected(until), now);
        row.rejections = (row.rejections + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Records that a request is being sent; returns its number, or `None` if the backend server is
    /// not listed. `work` is what it has to prefill.
    pub fn begin<W>(&mut self, id: &BackendId, work: W, now: TimePoint) -> Option<FlightId>
    where
        W: Into<PrefillWork>,
    {
        let work = work.into();
        let row = self.rows.get_mut(id)?;
        self.last_flight += 1;
        let flight = FlightId(self.last_flight);
        row.send_state = row.send_state.after(SendEvent::Sent(flight), now);
        let queued_ahead = row.backlog(now);
        let predicted =
            row.base_ttft(now) + row.prefill_time(queued_ahead, now) + row.work_time(work, now);
        let record = FlightRecord {
            sent_at: now,
            work,
            queued_ahead,
            predicted,
            first_token_seen: false,
        };
        row.flights.insert(flight, record);
        self.flights.insert(flight, id.clone());
        Some(flight)
    }

    /// Records that the first token of a request has arrived, and that the backend server caches its
    /// prompt from now on. Returns what that shows about the speed of the backend server.
    pub fn first_token(
        &mut self,
        flight: FlightId,
        parts: &[PromptPart],
        now: TimePoint,
    ) -> Option<FirstToken> {
        let id = self.flights.get(&flight)?;
        let row = self.rows.get_mut(id)?;
        let record = row.flights.get_mut(&flight)?;
        record.first_token_seen = true;
        row.send_state = row.send_state.after(SendEvent::Answered(flight), now);
        row.rejections = 0;
        let record = *record;
        let observation = row.observation(record, now);
        row.learn_first_token(&observation, Observer::Own, now);
        row.cache_parts(parts, now);
        Some(FirstToken {
            backend: row.name_hash(),
            observation,
            predicted: record.predicted,
            taken: now.since(record.sent_at),
        })
    }

    /// Records a first token that a peer has received.
    pub fn record_peer_token(
        &mut self,
        backend: BackendHash,
        observation: &SpeedObservation,
        now: TimePoint,
    ) {
        let id = self.hashes.get(&backend);
        if let Some(row) = id.and_then(|id| self.rows.get_mut(id)) {
            row.learn_first_token(observation, Observer::Peer, now);
        }
    }

    /// Records the end of a request; `answered` tells whether its response was complete.
    pub fn finish(&mut self, flight: FlightId, answered: bool, now: TimePoint) {
        let Some(id) = self.flights.remove(&flight) else {
            return;
        };
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        let event = match answered {
            true => SendEvent::Answered(flight),
            false => SendEvent::Unanswered(flight),
        };
        row.send_state = row.send_state.after(event, now);
        match row.flights.remove(&flight) {
            Some(record) if answered => {
                row.rejections = 0;
                let span = row.unslowed(now.since(record.sent_at), now);
                row.mean_call_time = TimeSpan(ewma(row.mean_call_time.0, span.0));
            }
            Some(record) if !record.first_token_seen => row.learn_missing_token(record, now),
            Some(_) | None => {}
        }
    }

    fn insert(&mut self, spec: ServerSpec, now: TimePoint) {
        let ids = self.services.entry(spec.service.clone()).or_default();
        ids.insert(spec.id.clone());
        let left = self
            .left_incarnations
            .contains(&(spec.id.clone(), spec.started_at_ms));
        let curve = shared_curve(&mut self.curves, &spec);
        let mut row = ServerRow::new(spec, curve);
        row.send_state = match (left, row.spec.draining) {
            (true, _) => SendState::Leaving,
            (false, true) => SendState::Draining {
                cooldown_until: TimePoint::START,
            },
            (false, false) => SendState::Available,
        };
        let successor = self.successors.remove(&row.spec.id);
        if let Some(until) = successor.and_then(|successor| successor.until(now)) {
            row.send_state = row
                .send_state
                .after(SendEvent::CooldownRequested(until), now);
        }
        self.hashes.insert(row.name_hash(), row.spec.id.clone());
        self.rows.insert(row.spec.id.clone(), row);
    }
}

/// Returns the cost curve of the engines that have the service and the role of `spec`.
fn shared_curve(
    curves: &mut BTreeMap<(ServiceId, BackendRole), Rc<Cell<SpeedCurve>>>,
    spec: &ServerSpec,
) -> Rc<Cell<SpeedCurve>> {
    let curve = curves.entry((spec.service.clone(), spec.role));
    let curve = curve.or_insert_with(|| Rc::new(Cell::new(SpeedCurve::new(spec.role))));
    Rc::clone(curve)
}

/// Returns the event for the state that the list shows.
fn listing_event(spec: &ServerSpec) -> SendEvent {
    match spec.draining {
        true => SendEvent::ListedDraining,
        false => SendEvent::ListedReady,
    }
}
