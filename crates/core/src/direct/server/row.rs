//! The state of one backend server, as an entry sees it.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use smol_str::SmolStr;

use super::{BackendHash, ClassLoad, FlightRecord, LoadSample, PeerLoad, ServerSpec};
use crate::direct::speed::{EngineSpeed, Observer, SpeedCurve};
use crate::direct::{
    PrefillWork, PromptPart, RateLimit, SendDecision, SendState, SpeedObservation, UrgencyClass,
};
use crate::rank::NameRank;
use crate::routing::FlightId;
use crate::unit::{TimePoint, TimeSpan, TokenCount};

/// The KV cache capacity assumed for an engine whose service does not state it.
const DEFAULT_KV_CAPACITY: TokenCount = TokenCount(262_144);
/// The age after which a load reported by a peer is ignored.
const MAX_PEER_AGE: TimeSpan = TimeSpan::from_millis(1_500);
/// The age after which the slowdown that a backend server reported is ignored. It changes several
/// times per second.
const MAX_SLOWDOWN_AGE: TimeSpan = TimeSpan::from_millis(400);
/// The slowdown of a machine that works as usual, in percent.
const USUAL_SLOWDOWN: f64 = 100.0;
/// The time of a complete call, assumed before the first response.
const DEFAULT_CALL_TIME: TimeSpan = TimeSpan::from_millis(40);

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
    /// The cost curve that it shares with the engines of its service that have its role.
    pub(super) curve: Rc<Cell<SpeedCurve>>,
    pub(super) speed: EngineSpeed,
    pub(super) mean_call_time: TimeSpan,
    /// The number of requests in a row that were rejected after a backoff.
    pub(super) rejections: u32,
    /// Until when this entry keeps the backend server reserved after the last first token.
    pub(super) reserved_until: TimePoint,
}

impl ServerRow {
    pub(super) fn new(spec: ServerSpec, curve: Rc<Cell<SpeedCurve>>) -> Self {
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
            curve,
            speed: EngineSpeed::UNKNOWN,
            rejections: 0,
            reserved_until: TimePoint::START,
            mean_call_time: DEFAULT_CALL_TIME,
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
            backlog: waiting.map(|flight| flight.work.uncached).sum(),
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
                load.backlog += flight.work.uncached;
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

    /// Returns the time to prefill queued prompts of this length in total.
    pub fn prefill_time(&self, tokens: TokenCount, now: TimePoint) -> TimeSpan {
        let time = self.speed.queued_time(&self.curve.get(), tokens, now);
        self.slowed(time, now)
    }

    /// Returns the time to prefill one prompt.
    pub fn work_time(&self, work: PrefillWork, now: TimePoint) -> TimeSpan {
        let time = self.speed.work_time(&self.curve.get(), work, now);
        self.slowed(time, now)
    }

    /// Returns the fixed part of the time to a first token, without the prefill.
    pub fn base_ttft(&self, now: TimePoint) -> TimeSpan {
        self.speed.base(&self.curve.get(), now)
    }

    /// Returns the time to the first token of a prompt, behind others of this length in total.
    pub(super) fn predicted_ttft(
        &self,
        queued: TokenCount,
        work: PrefillWork,
        now: TimePoint,
    ) -> TimeSpan {
        self.base_ttft(now) + self.prefill_time(queued, now) + self.work_time(work, now)
    }

    /// Returns how many times longer than the average engine of its service and role it usually takes.
    pub fn usual_time_ratio(&self) -> f64 {
        self.speed.usual_ratio()
    }

    /// Returns how long work takes at the moment, as a multiple of the usual time. The weight of the
    /// last report decreases with its age.
    pub fn slowdown(&self, now: TimePoint) -> f64 {
        let Some((sample, at)) = self.load else {
            return 1.0;
        };
        let (Some(percent), age) = (sample.slowdown_percent, now.since(at)) else {
            return 1.0;
        };
        let freshness = MAX_SLOWDOWN_AGE.saturating_sub(age).0 as f64 / MAX_SLOWDOWN_AGE.0 as f64;
        1.0 + (f64::from(percent) / USUAL_SLOWDOWN - 1.0) * freshness
    }

    /// Returns the time that work takes at the moment which usually takes `time`.
    pub(in crate::direct) fn slowed(&self, time: TimeSpan, now: TimePoint) -> TimeSpan {
        TimeSpan((time.0 as f64 * self.slowdown(now)) as u64)
    }

    /// Returns the usual time of work that has taken `time` until now.
    pub(super) fn unslowed(&self, time: TimeSpan, now: TimePoint) -> TimeSpan {
        TimeSpan((time.0 as f64 / self.slowdown(now).max(f64::EPSILON)) as u64)
    }

    /// Returns whether a request may be sent as a trial although the prediction is too slow for it.
    /// One trial at a time corrects a prediction that keeps all other requests away.
    pub fn is_trial_due(&self, now: TimePoint) -> bool {
        self.total_in_flight(now) == 0 && self.speed.is_trial_due(now)
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

    /// Returns what the time to a first token, or to the end of a request without one, shows about
    /// the speed.
    pub(super) fn observation(&self, flight: FlightRecord, now: TimePoint) -> SpeedObservation {
        SpeedObservation {
            tokens: flight.work.uncached + flight.queued_ahead,
            pairs: flight.work.pairs(),
            span: self.unslowed(now.since(flight.sent_at), now),
        }
    }

    /// Updates the speed with a first token that has arrived.
    pub(super) fn learn_first_token(
        &mut self,
        observation: &SpeedObservation,
        observer: Observer,
        now: TimePoint,
    ) {
        let mut curve = self.curve.get();
        self.speed.record(&mut curve, observation, observer, now);
        self.curve.set(curve);
    }

    /// Updates the speed with a request that ended before its first token.
    pub(super) fn learn_missing_token(&mut self, flight: FlightRecord, now: TimePoint) {
        let observation = self.observation(flight, now);
        let curve = self.curve.get();
        self.speed.record_missing(&curve, &observation, now);
    }
}
