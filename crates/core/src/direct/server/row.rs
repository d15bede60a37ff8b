//! The state of one backend server, as an entry sees it.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::{BackendHash, ClassLoad, FlightRecord, LoadSample, PeerLoad, ServerSpec};
use crate::direct::estimate::DecayingEstimate;
use crate::direct::{PromptPart, RateLimit, SendDecision, SendState, UrgencyClass};
use crate::rank::NameRank;
use crate::routing::{BackendRole, FlightId};
use crate::unit::{TimePoint, TimeSpan, TokenCount};

/// The smallest number of prompt tokens from which a prefill rate is learned. With fewer, the time
/// to the first token depends more on its fixed part than on the rate.
const MIN_RATE_TOKENS: TokenCount = TokenCount(512);
/// The KV cache capacity assumed for an engine whose service does not state it.
const DEFAULT_KV_CAPACITY: TokenCount = TokenCount(262_144);
/// The prompt tokens per second assumed for an engine that only runs prefills, before its first
/// response.
const DEFAULT_PREFILL_RATE: u64 = 60_000;
/// The same for an engine that runs prefills between decode steps.
const DEFAULT_MIXED_RATE: u64 = 20_000;
/// The most times faster or slower than the baseline that an engine's rate is learned to be. The
/// limit keeps one outlier from taking the engine out of use or drawing all requests to it.
const MAX_RATE_RATIO: u64 = 6;
/// The longest fixed time to a first token that is learned.
const MAX_TTFT: TimeSpan = TimeSpan::from_millis(300);
/// The shortest prefill time that a rate is computed with.
const MIN_WORK_TIME: TimeSpan = TimeSpan::from_millis(2);
/// The age after which a load reported by a peer is ignored.
const MAX_PEER_AGE: TimeSpan = TimeSpan::from_millis(1_500);
/// The time to a first token of an empty prompt, assumed before the first response.
const DEFAULT_TTFT: TimeSpan = TimeSpan::from_millis(40);

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: TokenCount,
    used_at: TimePoint,
}

/// A backend server with its load and what was learned about it.
#[derive(Clone, Debug)]
pub struct ServerRow {
    /// The description of the backend server from the list.
    pub spec: ServerSpec,
    /// The hash of its name, computed once for all of its ranks.
    pub(in crate::direct) name_rank: NameRank,
    /// Which requests may be sent to it.
    pub(super) send_state: SendState,
    /// The limit on the requests that all entries together send to it.
    pub(super) rate_limit: RateLimit,
    /// Whether its registration is gone, perhaps only because the store was unavailable.
    pub expired: bool,
    /// The last reported load, and when it arrived.
    pub load: Option<(LoadSample, TimePoint)>,
    pub(super) flights: BTreeMap<FlightId, FlightRecord>,
    /// The in-flight requests of each peer and when they were reported, by the table's peer column.
    pub(super) peers: Vec<Option<(PeerLoad, TimePoint)>>,
    /// The column of the peer that last reported that it reserves the backend server. Its load alone
    /// is looked at; another peer that reserves it too takes its place with its next report.
    pub(super) reserver: Option<usize>,
    parts: BTreeMap<SmolStr, CachedPart>,
    pub(super) kv_capacity: TokenCount,
    pub(super) base_ttft: DecayingEstimate,
    pub(super) prefill_rate: DecayingEstimate,
    pub(super) mean_call_time: TimeSpan,
    /// The number of requests in a row that were rejected after a backoff.
    pub(super) rejections: u32,
    /// Until when this entry keeps the backend server reserved after the last first token.
    pub(super) reserved_until: TimePoint,
}

impl ServerRow {
    pub(super) fn new(spec: ServerSpec) -> Self {
        let prefill_rate = match spec.role {
            BackendRole::Prefill => DEFAULT_PREFILL_RATE,
            BackendRole::Both | BackendRole::Decode | BackendRole::Plain => DEFAULT_MIXED_RATE,
        };
        Self {
            name_rank: NameRank::of("backend", spec.id.as_str()),
            spec,
            send_state: SendState::Available,
            rate_limit: RateLimit::default(),
            expired: false,
            load: None,
            flights: BTreeMap::new(),
            peers: Vec::new(),
            reserver: None,
            parts: BTreeMap::new(),
            kv_capacity: DEFAULT_KV_CAPACITY,
            base_ttft: DecayingEstimate::new(DEFAULT_TTFT.0),
            prefill_rate: DecayingEstimate::new(prefill_rate),
            rejections: 0,
            reserved_until: TimePoint::START,
            mean_call_time: DEFAULT_TTFT,
        }
    }

    /// Returns the hash that replaces its name in messages.
    pub fn name_hash(&self) -> BackendHash {
        BackendHash(self.name_rank.value() as u32)
    }

    /// Returns which requests may be sent to it.
    pub fn send_state(&self) -> SendState {
        self.send_state
    }

    /// Returns the limit on the requests that all entries together send to it.
    pub fn rate_limit(&self) -> RateLimit {
        self.rate_limit
    }

    /// Returns the hash of its name, for its ranks.
    pub fn name_rank(&self) -> NameRank {
        self.name_rank
    }

    /// Returns whether one more request may be sent. Under a rate limit, it also needs a permit.
    pub fn decision(&self, now: TimePoint) -> SendDecision {
        match (self.send_state.decision(now), self.rate_limit.wait(now)) {
            (SendDecision::Send | SendDecision::LastResort, Some(until)) => {
                SendDecision::Wait(until)
            }
            (SendDecision::Wait(until), Some(permit_at)) => {
                SendDecision::Wait(until.max(permit_at))
            }
            (decision, _) => decision,
        }
    }

    /// Returns the number of this entry's requests in flight.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Returns the number of requests in flight here, including those of peers.
    pub fn total_in_flight(&self, now: TimePoint) -> u64 {
        let peers = self.fresh_peers(now).map(|load| u64::from(load.flights));
        self.flights.len() as u64 + peers.sum::<u64>()
    }

    /// Returns this entry's own requests in flight.
    pub fn own_load(&self, now: TimePoint) -> PeerLoad {
        let waiting = self
            .flights
            .values()
            .filter(|flight| !flight.first_token_seen);
        PeerLoad {
            flights: self.flights.len() as u32,
            backlog: waiting.map(|flight| flight.uncached).sum(),
            less_urgent: [UrgencyClass::High, UrgencyClass::Normal]
                .map(|class| self.own_less_urgent(class)),
            reserved: self.is_reserved_here(now),
        }
    }

    /// Returns whether this entry's own requests reserve the backend server.
    fn is_reserved_here(&self, now: TimePoint) -> bool {
        let mut flights = self.flights.values();
        now < self.reserved_until
            || flights.any(|flight| flight.class.reserves && !flight.first_token_seen)
    }

    /// Returns whether the backend server is reserved for requests that were admitted for their
    /// minimum share.
    pub fn is_reserved(&self, now: TimePoint) -> bool {
        let reserver = self.reserver.and_then(|index| *self.peers.get(index)?);
        let by_peer =
            reserver.is_some_and(|(load, at)| load.reserved && now.since(at) <= MAX_PEER_AGE);
        by_peer || self.is_reserved_here(now)
    }

    /// Returns this entry's own requests in flight that are less urgent than `class`.
    fn own_less_urgent(&self, class: UrgencyClass) -> ClassLoad {
        let mut load = ClassLoad::default();
        for flight in self
            .flights
            .values()
            .filter(|flight| flight.class.urgency > class)
        {
            load.flights += 1;
            if !flight.first_token_seen {
                load.backlog += flight.uncached;
            }
        }
        load
    }

    /// Returns the loads of peers that are recent enough.
    fn fresh_peers(&self, now: TimePoint) -> impl Iterator<Item = PeerLoad> + '_ {
        let peers = self.peers.iter().flatten();
        let fresh = peers.filter(move |(_, at)| now.since(*at) <= MAX_PEER_AGE);
        fresh.map(|(load, _)| *load)
    }

    /// Returns the prompt tokens to prefill for requests whose first token has not arrived,
    /// including those of peers.
    pub fn backlog(&self, now: TimePoint) -> TokenCount {
        let peers = self.fresh_peers(now).map(|load| load.backlog);
        self.own_load(now).backlog + peers.sum()
    }

    /// Returns the part of the backlog that a request of this class waits for.
    pub fn backlog_ahead_of(&self, class: UrgencyClass, now: TimePoint) -> TokenCount {
        let peers = self.fresh_peers(now);
        let peers = peers.map(|load| load.ahead_of(class).backlog);
        self.own_load(now).ahead_of(class).backlog + peers.sum()
    }

    /// Returns the number of requests in flight that a request of this class waits for, including
    /// those of peers.
    pub fn in_flight_ahead_of(&self, class: UrgencyClass, now: TimePoint) -> u64 {
        let peers = self.fresh_peers(now);
        let peers = peers.map(|load| u64::from(load.ahead_of(class).flights));
        u64::from(self.own_load(now).ahead_of(class).flights) + peers.sum::<u64>()
    }

    /// Returns the age of the oldest load of a peer that is used; zero if there is none.
    pub fn peer_load_age(&self, now: TimePoint) -> TimeSpan {
        let ages = self.peers.iter().flatten();
        let ages = ages.map(|(_, at)| now.since(*at));
        let used = ages.filter(|age| *age <= MAX_PEER_AGE);
        used.max().unwrap_or_default()
    }

    /// Returns the number of tokens at the start of `parts` that the backend server is expected to
    /// have cached.
    pub fn cached(&self, parts: &[PromptPart]) -> TokenCount {
        let held = |part: &&PromptPart| self.parts.contains_key(&part.name);
        let kept = parts.iter().take_while(held);
        kept.map(|part| part.tokens).sum()
    }

    /// Returns the time to prefill `tokens`.
    pub fn prefill_time(&self, tokens: TokenCount, now: TimePoint) -> TimeSpan {
        TimeSpan(tokens.0 * 1_000_000 / self.prefill_rate.value(now).max(1))
    }

    /// Returns the fixed part of the time to a first token, without the prefill.
    pub fn base_ttft(&self, now: TimePoint) -> TimeSpan {
        TimeSpan(self.base_ttft.value(now))
    }

    /// Returns the moving average of the time of a complete call.
    pub fn mean_call_time(&self) -> TimeSpan {
        self.mean_call_time
    }

    /// Returns the reported load if it is not older than `max_age`.
    pub fn fresh_load(&self, now: TimePoint, max_age: TimeSpan) -> Option<LoadSample> {
        let (sample, at) = self.load?;
        (now.since(at) <= max_age).then_some(sample)
    }

    /// Adds parts to the expected prefix cache, and evicts the least recently used ones beyond its
    /// capacity.
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

    /// Updates the estimates with the time to a first token that has arrived.
    pub(super) fn learn_first_token(&mut self, flight: FlightRecord, now: TimePoint) {
        let span = now.since(flight.sent_at);
        if flight.uncached + flight.queued_ahead < MIN_RATE_TOKENS {
            let span = span.min(MAX_TTFT);
            self.base_ttft.record(span.0, now);
            return;
        }
        if let Some(rate) = self.measured_rate(flight, span, now) {
            self.prefill_rate.record(rate, now);
        }
    }

    /// Updates the prefill rate with a request that ended before its first token. The engine is at
    /// most as fast as if the token had arrived at the end.
    pub(super) fn learn_missing_token(&mut self, flight: FlightRecord, now: TimePoint) {
        let span = now.since(flight.sent_at);
        let rate = self.measured_rate(flight, span, now);
        if let Some(rate) = rate.filter(|rate| *rate < self.prefill_rate.value(now)) {
            self.prefill_rate.record(rate, now);
        }
    }

    /// Returns the prefill rate, in tokens per second, that follows from a first token after `span`.
    /// Returns `None` for too short prompts.
    fn measured_rate(&self, flight: FlightRecord, span: TimeSpan, now: TimePoint) -> Option<u64> {
        let tokens = flight.uncached + flight.queued_ahead;
        if tokens < MIN_RATE_TOKENS {
            return None;
        }
        let work = span.saturating_sub(self.base_ttft(now)).max(MIN_WORK_TIME);
        let rate = tokens.0 * 1_000_000 / work.0;
        let baseline = self.prefill_rate.baseline();
        Some(rate.clamp(baseline / MAX_RATE_RATIO, baseline * MAX_RATE_RATIO))
    }
}
