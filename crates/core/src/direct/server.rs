//! What an entry knows of the backend servers that it sends to itself.

mod row;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::direct::estimate::ewma;
use crate::direct::{PromptPart, SendEvent, SendState};
use crate::id::{BackendId, DomainId, InstanceId, ServiceId};
use crate::routing::BackendRole;
use crate::unit::{TimePoint, TimeSpan, TokenCount};

pub use crate::routing::FlightId;
pub use row::ServerRow;

/// How long an engine that changes what it does is left alone after the last word of it.
const UNAVAILABLE_BACKOFF: TimeSpan = TimeSpan::from_millis(1_000);
/// How often that time is doubled while each further try is turned away too, as by an engine
/// that is changing what it does.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// How many runs are remembered that said that they leave; their lines in the list may come back.
const MAX_LEAVING_RUNS: usize = 1_024;
/// How long an engine that turned a request away is left alone.
const REJECTION_BACKOFF: TimeSpan = TimeSpan::from_millis(150);

/// What the platform's list says of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSpec {
    /// Its identifier.
    pub id: BackendId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// What it is set up for.
    pub role: BackendRole,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it has said that it leaves.
    pub draining: bool,
    /// When it started, in milliseconds since the epoch; a new start forgets everything.
    pub started_at_ms: u64,
    /// The models that it has loaded.
    pub models: BTreeSet<SmolStr>,
}

/// What a change of the list did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// The backend server is new.
    Added,
    /// It has started anew under its identifier.
    Restarted,
    /// It takes no new work from now on.
    Draining,
    /// Something else of it changed.
    Changed,
    /// It is gone.
    Removed,
}

/// The load that a backend server stated with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// A request of this entry at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlightRecord {
    /// When it was sent.
    pub sent_at: TimePoint,
    /// Prompt tokens that it was expected to compute.
    pub uncached: TokenCount,
    /// Prompt tokens of others that were to be computed before.
    pub queued_ahead: TokenCount,
    /// Whether its first token has come.
    pub first_token_seen: bool,
}

/// What another entry has sent to a backend server and not had answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Its requests there.
    pub flights: u32,
    /// Prompt tokens of those whose first token has not come.
    pub backlog: TokenCount,
}

/// Stands for a backend server where its whole name would cost too much.
///
/// Two names may share a tag, so it only serves where a mistake makes a figure a little wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BackendHash(pub u32);

/// The backend servers that an entry may send to.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    rows: BTreeMap<BackendId, ServerRow>,
    tags: BTreeMap<BackendHash, BackendId>,
    services: BTreeMap<ServiceId, BTreeSet<BackendId>>,
    flights: BTreeMap<FlightId, BackendId>,
    last_flight: u64,
    /// Runs of backend servers that said that they leave and are no longer listed, by their start.
    leaving_runs: BTreeSet<(BackendId, u64)>,
    peers: BTreeMap<InstanceId, PeerColumn>,
}

/// Where a peer's loads stand in each row.
#[derive(Clone, Debug)]
struct PeerColumn {
    index: usize,
    /// The backend servers that it reported last.
    reported: Vec<BackendId>,
}

impl ServerTable {
    /// Takes in what the list says of a backend server; `None` where nothing changed.
    pub fn upsert(&mut self, spec: ServerSpec, now: TimePoint) -> Option<ServerChange> {
        let Some(row) = self.rows.get_mut(&spec.id) else {
            self.insert(spec);
            return Some(ServerChange::Added);
        };
        if row.spec.started_at_ms != spec.started_at_ms || row.spec.service != spec.service {
            self.remove(&spec.id.clone());
            self.insert(spec);
            return Some(ServerChange::Restarted);
        }
        row.expired = false;
        row.send_state = row.send_state.after(listing_event(&spec), now);
        if row.spec == spec {
            return None;
        }
        let drains = spec.draining && !row.spec.draining;
        row.spec = spec;
        match drains {
            true => Some(ServerChange::Draining),
            false => Some(ServerChange::Changed),
        }
    }

    /// Forgets a backend server.
    pub fn remove(&mut self, id: &BackendId) -> Option<ServerChange> {
        let row = self.rows.remove(id)?;
        self.tags.remove(&row.name_hash());
        if let Some(ids) = self.services.get_mut(&row.spec.service) {
            ids.remove(id);
        }
        for flight in row.flights.keys() {
            self.flights.remove(flight);
        }
        if row.send_state == SendState::Leaving {
            self.leaving_runs
                .insert((id.clone(), row.spec.started_at_ms));
            if self.leaving_runs.len() > MAX_LEAVING_RUNS {
                self.leaving_runs.pop_first();
            }
        }
        Some(ServerChange::Removed)
    }

    /// Notes how much memory the engines of a service have.
    pub fn set_kv_capacity(&mut self, service: &ServiceId, memory: TokenCount) {
        let rows = self.rows.values_mut();
        for row in rows.filter(|row| row.spec.service == *service) {
            row.kv_capacity = memory;
        }
    }

    /// Returns a backend server.
    pub fn get(&self, id: &BackendId) -> Option<&ServerRow> {
        self.rows.get(id)
    }

    /// Returns the backend server that a tag stands for.
    pub fn by_hash(&self, tag: BackendHash) -> Option<&BackendId> {
        self.tags.get(&tag)
    }

    /// Returns every backend server in the order of the identifiers.
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

    /// Notes that a backend server's entry is gone, perhaps only because the store was away.
    pub fn mark_expired(&mut self, id: &BackendId) {
        if let Some(row) = self.rows.get_mut(id) {
            row.expired = true;
        }
    }

    /// Takes in what decides on what may be sent to a backend server; returns the states before
    /// and after.
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

    /// Takes in the load that a backend server stated.
    pub fn record_load(&mut self, id: &BackendId, sample: LoadSample, now: TimePoint) {
        if let Some(row) = self.rows.get_mut(id) {
            row.load = Some((sample, now));
        }
    }

    /// Notes that a backend server does not serve this for a while, longer with each call: it
    /// changes what it does, or says that it has changed or that another one has its
    /// address, and the list does not say so yet.
    pub fn mark_unavailable(&mut self, id: &BackendId, now: TimePoint) {
        self.apply(id, SendEvent::Rejected(now + UNAVAILABLE_BACKOFF), now);
    }

    /// Takes in what a peer has sent to each backend server; what it does not name is idle.
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
            // A row that was made anew since is empty.
            if let Some(place) = row.and_then(|row| row.peers.get_mut(column.index)) {
                *place = None;
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

    /// Returns what this entry has sent to each backend server and not had answered.
    pub fn own_loads(&self) -> BTreeMap<BackendId, PeerLoad> {
        let rows = self.rows.iter().filter(|(_, row)| !row.flights.is_empty());
        rows.map(|(id, row)| (id.clone(), row.own_load())).collect()
    }

    /// Notes that a peer's request has had its prompt read, and that it is held from now on.
    pub fn record_prefill(&mut self, id: &BackendId, parts: &[PromptPart], now: TimePoint) {
        if let Some(row) = self.rows.get_mut(id) {
            row.cache_parts(parts, now);
        }
    }

    /// Notes that a backend server has turned a request away.
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

    /// Notes that a request is being sent.
    pub fn begin(
        &mut self,
        id: &BackendId,
        uncached: TokenCount,
        now: TimePoint,
    ) -> Option<FlightId> {
        let row = self.rows.get_mut(id)?;
        self.last_flight += 1;
        let flight = FlightId(self.last_flight);
        row.send_state = row.send_state.after(SendEvent::Sent(flight), now);
        let note = FlightRecord {
            sent_at: now,
            uncached,
            queued_ahead: row.backlog(now),
            first_token_seen: false,
        };
        row.flights.insert(flight, note);
        self.flights.insert(flight, id.clone());
        Some(flight)
    }

    /// Notes that the first token of a request has come; its prompt is held from now on.
    pub fn first_token(&mut self, flight: FlightId, parts: &[PromptPart], now: TimePoint) {
        let id = self.flights.get(&flight);
        let Some(row) = id.and_then(|id| self.rows.get_mut(id)) else {
            return;
        };
        let Some(note) = row.flights.get_mut(&flight) else {
            return;
        };
        note.first_token_seen = true;
        row.send_state = row.send_state.after(SendEvent::Answered(flight), now);
        row.rejections = 0;
        let note = *note;
        row.learn_first_token(note, now);
        row.cache_parts(parts, now);
    }

    /// Notes that a request has ended, however it did.
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
            Some(note) if answered => {
                row.rejections = 0;
                let span = now.since(note.sent_at);
                row.mean_call_time = TimeSpan(ewma(row.mean_call_time.0, span.0));
            }
            Some(note) if !note.first_token_seen => row.learn_missing_token(note, now),
            Some(_) | None => {}
        }
    }

    fn insert(&mut self, spec: ServerSpec) {
        let ids = self.services.entry(spec.service.clone()).or_default();
        ids.insert(spec.id.clone());
        let left = self
            .leaving_runs
            .contains(&(spec.id.clone(), spec.started_at_ms));
        let mut row = ServerRow::new(spec);
        row.send_state = match (left, row.spec.draining) {
            (true, _) => SendState::Leaving,
            (false, true) => SendState::Draining {
                cooldown_until: TimePoint::START,
            },
            (false, false) => SendState::Available,
        };
        self.tags.insert(row.name_hash(), row.spec.id.clone());
        self.rows.insert(row.spec.id.clone(), row);
    }
}

fn listing_event(spec: &ServerSpec) -> SendEvent {
    match spec.draining {
        true => SendEvent::ListedDraining,
        false => SendEvent::ListedReady,
    }
}
