//! What an entry knows of one backend server.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::{BackendHash, FlightRecord, LoadSample, PeerLoad, ServerSpec};
use crate::direct::estimate::DecayingEstimate;
use crate::direct::{PromptPart, SendDecision, SendState};
use crate::rank::NameRank;
use crate::routing::{BackendRole, FlightId};
use crate::unit::{TimePoint, TimeSpan, TokenCount};

/// Prompts shorter than this say more of the fixed time to a first token than of the rate.
const MIN_RATE_TOKENS: TokenCount = TokenCount(512);
/// The memory assumed of an engine whose service does not state it.
const DEFAULT_KV_CAPACITY: TokenCount = TokenCount(262_144);
/// Prompt tokens per second assumed of an engine that reads prompts only, before its first answer.
const PREFILL_RATE: u64 = 60_000;
/// The same of an engine that reads prompts between the tokens of answers.
const MIXED_RATE: u64 = 20_000;
/// How many times faster or slower than usual an engine is taken to be, so that one odd
/// sample does not put it out of use or draw everything to it.
const RATE_SPREAD: u64 = 6;
/// The longest time to a first token that is learned.
const MAX_TTFT: TimeSpan = TimeSpan::from_millis(300);
/// The shortest time that a rate is learned from.
const MIN_WORK_TIME: TimeSpan = TimeSpan::from_millis(2);
/// The oldest load of a peer that is believed.
const MAX_PEER_AGE: TimeSpan = TimeSpan::from_millis(1_500);
/// The time to a first token of an empty prompt assumed before the first answer.
const DEFAULT_TTFT: TimeSpan = TimeSpan::from_millis(40);

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: TokenCount,
    used_at: TimePoint,
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct ServerRow {
    /// What the list says.
    pub spec: ServerSpec,
    /// What of its name goes into each of its ranks.
    pub(in crate::direct) name_rank: NameRank,
    /// What may be sent to it.
    pub(super) send_state: SendState,
    /// Whether its entry of the list is gone, perhaps only because the store was away.
    pub expired: bool,
    /// The last stated load, and when it came.
    pub load: Option<(LoadSample, TimePoint)>,
    pub(super) flights: BTreeMap<FlightId, FlightRecord>,
    /// What each peer has sent here, in the columns of the table.
    pub(super) peers: Vec<Option<(PeerLoad, TimePoint)>>,
    parts: BTreeMap<SmolStr, CachedPart>,
    pub(super) kv_capacity: TokenCount,
    pub(super) base_ttft: DecayingEstimate,
    pub(super) prefill_rate: DecayingEstimate,
    pub(super) mean_call_time: TimeSpan,
    /// How many times in a row a request was turned away after a pause.
    pub(super) rejections: u32,
}

impl ServerRow {
    pub(super) fn new(spec: ServerSpec) -> Self {
        let prefill_rate = match spec.role {
            BackendRole::Prefill => PREFILL_RATE,
            BackendRole::Both | BackendRole::Decode | BackendRole::Plain => MIXED_RATE,
        };
        Self {
            name_rank: NameRank::of("backend", spec.id.as_str()),
            spec,
            send_state: SendState::Available,
            expired: false,
            load: None,
            flights: BTreeMap::new(),
            peers: Vec::new(),
            parts: BTreeMap::new(),
            kv_capacity: DEFAULT_KV_CAPACITY,
            base_ttft: DecayingEstimate::new(DEFAULT_TTFT.0),
            prefill_rate: DecayingEstimate::new(prefill_rate),
            rejections: 0,
            mean_call_time: DEFAULT_TTFT,
        }
    }

    /// Returns what stands for it where its name would cost too much.
    pub fn name_hash(&self) -> BackendHash {
        BackendHash(self.name_rank.value() as u32)
    }

    /// Returns what may be sent to it.
    pub fn send_state(&self) -> SendState {
        self.send_state
    }

    /// Returns what one more request may do.
    pub fn decision(&self, now: TimePoint) -> SendDecision {
        self.send_state.decision(now)
    }

    /// Returns the requests of this entry that are not finished.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Returns the requests that compete for the backend server, those of peers included.
    pub fn total_in_flight(&self, now: TimePoint) -> u64 {
        let peers = self.fresh_peers(now).map(|load| u64::from(load.flights));
        self.flights.len() as u64 + peers.sum::<u64>()
    }

    /// Returns what this entry itself has sent and not had answered.
    pub fn own_load(&self) -> PeerLoad {
        let waiting = self
            .flights
            .values()
            .filter(|flight| !flight.first_token_seen);
        PeerLoad {
            flights: self.flights.len() as u32,
            backlog: waiting.map(|flight| flight.uncached).sum(),
        }
    }

    fn fresh_peers(&self, now: TimePoint) -> impl Iterator<Item = PeerLoad> + '_ {
        let peers = self.peers.iter().flatten();
        let fresh = peers.filter(move |(_, at)| now.since(*at) <= MAX_PEER_AGE);
        fresh.map(|(load, _)| *load)
    }

    /// Returns the prompt tokens of requests whose first token has not come, those of
    /// peers included.
    pub fn backlog(&self, now: TimePoint) -> TokenCount {
        let peers = self.fresh_peers(now).map(|load| load.backlog);
        self.own_load().backlog + peers.sum()
    }

    /// Returns the tokens of `parts` that the backend server is believed to hold.
    pub fn cached(&self, parts: &[PromptPart]) -> TokenCount {
        let held = |part: &&PromptPart| self.parts.contains_key(&part.name);
        let kept = parts.iter().take_while(held);
        kept.map(|part| part.tokens).sum()
    }

    /// Returns the time that a prompt of `tokens` takes until its first token.
    pub fn prefill_time(&self, tokens: TokenCount, now: TimePoint) -> TimeSpan {
        TimeSpan(tokens.0 * 1_000_000 / self.prefill_rate.value(now).max(1))
    }

    /// Returns the time to a first token besides the prompt's.
    pub fn base_ttft(&self, now: TimePoint) -> TimeSpan {
        TimeSpan(self.base_ttft.value(now))
    }

    /// Returns the usual time of a whole call.
    pub fn mean_call_time(&self) -> TimeSpan {
        self.mean_call_time
    }

    /// Returns the load stated within `max_age`, if any.
    pub fn fresh_load(&self, now: TimePoint, max_age: TimeSpan) -> Option<LoadSample> {
        let (sample, at) = self.load?;
        (now.since(at) <= max_age).then_some(sample)
    }

    pub(super) fn cache_parts(&mut self, parts: &[PromptPart], now: TimePoint) {
        for part in parts {
            let held = CachedPart {
                tokens: part.tokens,
                used_at: now,
            };
            self.parts.insert(part.name.clone(), held);
        }
        let mut total: u64 = self.parts.values().map(|held| held.tokens.0).sum();
        while total > self.kv_capacity.0 {
            let oldest = self.parts.iter().min_by_key(|(_, held)| held.used_at);
            let Some(name) = oldest.map(|(name, _)| name.clone()) else {
                return;
            };
            total -= self.parts.remove(&name).map_or(0, |held| held.tokens.0);
        }
    }

    /// Learns from a first token that has come.
    pub(super) fn learn_first_token(&mut self, flight: FlightRecord, now: TimePoint) {
        let span = now.since(flight.sent_at);
        if flight.uncached + flight.queued_ahead < MIN_RATE_TOKENS {
            let span = span.min(MAX_TTFT);
            self.base_ttft.learn(span.0, now);
            return;
        }
        if let Some(rate) = self.measured_rate(flight, span, now) {
            self.prefill_rate.learn(rate, now);
        }
    }

    /// Learns from a first token that had not come when it was no longer waited for:
    /// the engine is no faster than that.
    pub(super) fn learn_missing_token(&mut self, flight: FlightRecord, now: TimePoint) {
        let span = now.since(flight.sent_at);
        let rate = self.measured_rate(flight, span, now);
        if let Some(rate) = rate.filter(|rate| *rate < self.prefill_rate.value(now)) {
            self.prefill_rate.learn(rate, now);
        }
    }

    /// Returns the prompt tokens per second that a first token after `span` tells of.
    fn measured_rate(&self, flight: FlightRecord, span: TimeSpan, now: TimePoint) -> Option<u64> {
        let tokens = flight.uncached + flight.queued_ahead;
        if tokens < MIN_RATE_TOKENS {
            return None;
        }
        let work = span.saturating_sub(self.base_ttft(now)).max(MIN_WORK_TIME);
        let rate = tokens.0 * 1_000_000 / work.0;
        let usual = self.prefill_rate.baseline();
        Some(rate.clamp(usual / RATE_SPREAD, usual * RATE_SPREAD))
    }
}
