//! What an entry knows of the backend servers that it sends to itself.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::direct::PromptPart;
use crate::id::{BackendId, DomainId, ServiceId};
use crate::routing::BackendRole;
use crate::unit::{TimePoint, TimeSpan, TokenCount};

pub use crate::routing::FlightId;

/// How much of an old estimate is kept when a new sample comes, of [`ESTIMATE_PARTS`].
const ESTIMATE_KEEP: u64 = 7;
const ESTIMATE_PARTS: u64 = 8;
/// Prompts shorter than this say more of the fixed time to a first token than of the rate.
const MIN_RATE_TOKENS: TokenCount = TokenCount(512);
/// The memory assumed of an engine whose service does not state it.
const DEFAULT_MEMORY: TokenCount = TokenCount(262_144);
/// Prompt tokens per second assumed before the first answer; slow, so that a new engine is not flooded.
const DEFAULT_PREFILL_RATE: u64 = 20_000;
/// The time to a first token of an empty prompt assumed before the first answer.
const DEFAULT_FIRST_TIME: TimeSpan = TimeSpan::from_millis(40);

/// What the platform's list says of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSpec {
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
    pub born: u64,
    /// The models that it has loaded.
    pub models: BTreeSet<SmolStr>,
}

/// What a change of the list did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceChange {
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
pub struct FlightNote {
    /// When it was sent.
    pub sent_at: TimePoint,
    /// Prompt tokens that it was expected to compute.
    pub uncached: TokenCount,
    /// Whether its first token has come.
    pub answering: bool,
}

#[derive(Clone, Copy, Debug)]
struct HeldPart {
    tokens: TokenCount,
    used_at: TimePoint,
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct InstanceRow {
    /// What the list says.
    pub spec: InstanceSpec,
    /// Whether health leaves it out for now.
    pub left_out: bool,
    /// The last stated load, and when it came.
    pub load: Option<(LoadSample, TimePoint)>,
    flights: BTreeMap<FlightId, FlightNote>,
    parts: BTreeMap<SmolStr, HeldPart>,
    memory: TokenCount,
    first_time: TimeSpan,
    prefill_rate: u64,
    call_time: TimeSpan,
}

impl InstanceRow {
    fn new(spec: InstanceSpec) -> Self {
        Self {
            spec,
            left_out: false,
            load: None,
            flights: BTreeMap::new(),
            parts: BTreeMap::new(),
            memory: DEFAULT_MEMORY,
            first_time: DEFAULT_FIRST_TIME,
            prefill_rate: DEFAULT_PREFILL_RATE,
            call_time: DEFAULT_FIRST_TIME,
        }
    }

    /// Returns the requests of this entry that are not finished.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Returns the prompt tokens of this entry's requests whose first token has not come.
    pub fn backlog(&self) -> TokenCount {
        let waiting = self.flights.values().filter(|flight| !flight.answering);
        waiting.map(|flight| flight.uncached).sum()
    }

    /// Returns the tokens of `parts` that the backend server is believed to hold.
    pub fn cached(&self, parts: &[PromptPart]) -> TokenCount {
        let held = |part: &&PromptPart| self.parts.contains_key(&part.name);
        let kept = parts.iter().take_while(held);
        kept.map(|part| part.tokens).sum()
    }

    /// Returns the time that a prompt of `tokens` takes until its first token.
    pub fn time_for(&self, tokens: TokenCount) -> TimeSpan {
        TimeSpan(tokens.0 * 1_000_000 / self.prefill_rate.max(1))
    }

    /// Returns the time to a first token besides the prompt's.
    pub fn first_time(&self) -> TimeSpan {
        self.first_time
    }

    /// Returns the usual time of a whole call.
    pub fn call_time(&self) -> TimeSpan {
        self.call_time
    }

    /// Returns the load stated within `max_age`, if any.
    pub fn fresh_load(&self, now: TimePoint, max_age: TimeSpan) -> Option<LoadSample> {
        let (sample, at) = self.load?;
        (now.since(at) <= max_age).then_some(sample)
    }

    fn hold(&mut self, parts: &[PromptPart], now: TimePoint) {
        for part in parts {
            let held = HeldPart {
                tokens: part.tokens,
                used_at: now,
            };
            self.parts.insert(part.name.clone(), held);
        }
        let mut total: u64 = self.parts.values().map(|held| held.tokens.0).sum();
        while total > self.memory.0 {
            let oldest = self.parts.iter().min_by_key(|(_, held)| held.used_at);
            let Some(name) = oldest.map(|(name, _)| name.clone()) else {
                return;
            };
            total -= self.parts.remove(&name).map_or(0, |held| held.tokens.0);
        }
    }

    fn learn(&mut self, flight: FlightNote, ahead: TokenCount, now: TimePoint) {
        let span = now.since(flight.sent_at);
        let tokens = flight.uncached + ahead;
        if tokens < MIN_RATE_TOKENS {
            self.first_time = TimeSpan(blend(self.first_time.0, span.0));
            return;
        }
        let work = span.saturating_sub(self.first_time).0.max(1_000);
        let rate = tokens.0 * 1_000_000 / work;
        self.prefill_rate = blend(self.prefill_rate, rate).max(1);
    }
}

fn blend(old: u64, new: u64) -> u64 {
    (old * ESTIMATE_KEEP + new) / ESTIMATE_PARTS
}

/// The backend servers that an entry may send to.
#[derive(Clone, Debug, Default)]
pub struct InstanceTable {
    rows: BTreeMap<BackendId, InstanceRow>,
    services: BTreeMap<ServiceId, BTreeSet<BackendId>>,
    flights: BTreeMap<FlightId, BackendId>,
    last_flight: u64,
}

impl InstanceTable {
    /// Takes in what the list says of a backend server; `None` where nothing changed.
    pub fn upsert(&mut self, spec: InstanceSpec) -> Option<InstanceChange> {
        let Some(row) = self.rows.get_mut(&spec.id) else {
            self.insert(spec);
            return Some(InstanceChange::Added);
        };
        if row.spec.born != spec.born || row.spec.service != spec.service {
            self.remove(&spec.id.clone());
            self.insert(spec);
            return Some(InstanceChange::Restarted);
        }
        if row.spec == spec {
            return None;
        }
        let drains = spec.draining && !row.spec.draining;
        row.spec = spec;
        match drains {
            true => Some(InstanceChange::Draining),
            false => Some(InstanceChange::Changed),
        }
    }

    /// Forgets a backend server.
    pub fn remove(&mut self, id: &BackendId) -> Option<InstanceChange> {
        let row = self.rows.remove(id)?;
        if let Some(ids) = self.services.get_mut(&row.spec.service) {
            ids.remove(id);
        }
        for flight in row.flights.keys() {
            self.flights.remove(flight);
        }
        Some(InstanceChange::Removed)
    }

    /// Notes how much memory the engines of a service have.
    pub fn set_memory(&mut self, service: &ServiceId, memory: TokenCount) {
        let rows = self.rows.values_mut();
        for row in rows.filter(|row| row.spec.service == *service) {
            row.memory = memory;
        }
    }

    /// Returns a backend server.
    pub fn get(&self, id: &BackendId) -> Option<&InstanceRow> {
        self.rows.get(id)
    }

    /// Returns every backend server in the order of the identifiers.
    pub fn rows(&self) -> impl Iterator<Item = &InstanceRow> {
        self.rows.values()
    }

    /// Returns the backend servers of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &ServiceId,
    ) -> impl Iterator<Item = &'a InstanceRow> + 'a {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.rows.get(id))
    }

    /// Leaves a backend server out, or takes it back.
    pub fn set_left_out(&mut self, id: &BackendId, left_out: bool) {
        if let Some(row) = self.rows.get_mut(id) {
            row.left_out = left_out;
        }
    }

    /// Takes in the load that a backend server stated.
    pub fn note_load(&mut self, id: &BackendId, sample: LoadSample, now: TimePoint) {
        if let Some(row) = self.rows.get_mut(id) {
            row.load = Some((sample, now));
        }
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
        let note = FlightNote {
            sent_at: now,
            uncached,
            answering: false,
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
        note.answering = true;
        let note = *note;
        let earlier = row.flights.values();
        let earlier = earlier.filter(|one| !one.answering && one.sent_at < note.sent_at);
        let ahead = earlier.map(|one| one.uncached).sum();
        row.learn(note, ahead, now);
        row.hold(parts, now);
    }

    /// Notes that a request has ended, however it did.
    pub fn finish(&mut self, flight: FlightId, answered: bool, now: TimePoint) {
        let Some(id) = self.flights.remove(&flight) else {
            return;
        };
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        if let Some(note) = row.flights.remove(&flight).filter(|_| answered) {
            let span = now.since(note.sent_at);
            row.call_time = TimeSpan(blend(row.call_time.0, span.0));
        }
    }

    fn insert(&mut self, spec: InstanceSpec) {
        let ids = self.services.entry(spec.service.clone()).or_default();
        ids.insert(spec.id.clone());
        self.rows.insert(spec.id.clone(), InstanceRow::new(spec));
    }
}
