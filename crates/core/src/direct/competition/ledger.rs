//! What an entry has admitted and refused lately, by service, urgency, route, team and size.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::{CompetitionReport, CompetitorKind};
use crate::direct::UrgencyClass;
use crate::id::{ServiceId, TeamId};
use crate::unit::{TimePoint, TimeSpan, TokenCount};

/// The half-life of the counts by urgency, which show whether capacity is short now. Surges have been
/// seen to switch to another type of request every 2.8 s.
const CLASS_HALF_LIFE: TimeSpan = TimeSpan::from_secs(3);
/// The half-life of the counts by kind, which show whether a kind is starved. One of a hundred
/// entries sees a size tenth of a route only every few seconds.
const KIND_HALF_LIFE: TimeSpan = TimeSpan::from_secs(60);
/// The least share of its requests that a route is served, relative to all requests. It is higher
/// than the quarter that is required, since some admitted requests fail.
const MIN_ROUTE_SHARE: f64 = 0.35;
/// The same for a team or a size tenth, relative to all requests of its route; a half is required.
const MIN_KIND_SHARE: f64 = 0.6;
/// The number of requests at which what was counted of a kind weighs as much as the share of others.
const SHARE_PRIOR: f64 = 2.0;
/// The number of admitted requests that are assumed of each class before any were counted.
const CLASS_PRIOR: f64 = 8.0;
/// The difference in served shares from which a class yields to a more urgent one.
const YIELD_MARGIN: f64 = 0.02;
/// The most routes of a service, and teams of a route, that are counted.
const MAX_ROUTES: usize = 256;
const MAX_TEAMS: usize = 1_024;
/// The number of parts of equal count that requests are divided into by size.
const SIZE_PARTS: usize = 10;
/// The size buckets: four for each doubling of the prompt length, up to 2^24 tokens.
const SIZE_BUCKETS: usize = 96;
/// The number of requests from which size tenths are told apart.
const MIN_SIZED_REQUESTS: u32 = 20;
/// The number of requests at which the counts by size are halved.
const MAX_SIZED_REQUESTS: u32 = 2_000;
/// The share of the traffic below which an entry's own requests say nothing about that of all.
const MIN_TRAFFIC_SHARE: f64 = 0.001;
/// The weight that the sums of requests in flight keep at each decision, for the last 200 or so.
const FLIGHTS_DECAY: f64 = 0.995;
/// The number of more urgent requests at which the load that they are measured to put on the backend
/// servers counts half. One of a hundred entries sees too few for a measurement.
const URGENT_PRIOR: f64 = 8.0;
/// The natural logarithm of 2: a count that decays with a half-life of `h` at a rate of `r` tends
/// to `r * h / ln 2`.
const LN_2: f64 = std::f64::consts::LN_2;

/// The requests in flight of an entry, and of all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficShare {
    /// The entry's own.
    pub own: u64,
    /// Those of all entries.
    pub total: u64,
}

/// Counts that decay with a half-life.
#[derive(Clone, Copy, Debug)]
struct DecayingTally {
    offered: f64,
    admitted: f64,
    /// The prefill time of the admitted requests in microseconds.
    work_us: f64,
    updated_at: TimePoint,
}

impl Default for DecayingTally {
    fn default() -> Self {
        Self {
            offered: 0.0,
            admitted: 0.0,
            work_us: 0.0,
            updated_at: TimePoint::START,
        }
    }
}

impl DecayingTally {
    /// Returns the counts as of `now`.
    fn at(&self, now: TimePoint, half_life: TimeSpan) -> Self {
        let age = now.since(self.updated_at).0;
        let halvings = (age / half_life.0).min(63);
        let rest = (age % half_life.0) as f64 / half_life.0 as f64;
        let factor = (1.0 - rest / 2.0) / (1_u64 << halvings) as f64;
        Self {
            offered: self.offered * factor,
            admitted: self.admitted * factor,
            work_us: self.work_us * factor,
            updated_at: now,
        }
    }

    fn add(&mut self, report: &CompetitionReport, now: TimePoint, half_life: TimeSpan) {
        *self = self.at(now, half_life);
        self.offered += 1.0;
        if report.outcome.is_admitted() {
            self.admitted += 1.0;
            self.work_us += report.size.work.0 as f64;
        }
    }

    /// Returns the share of the requests that were admitted; 1 if there were none.
    fn served(&self) -> f64 {
        match self.offered > 0.0 {
            true => self.admitted / self.offered,
            false => 1.0,
        }
    }

    /// Returns the share of the requests that were admitted lately. Some more are assumed to have been,
    /// so that an entry that sees few requests does not take one refusal for a shortage.
    fn served_lately(&self) -> f64 {
        (self.admitted + CLASS_PRIOR) / (self.offered + CLASS_PRIOR)
    }

    /// Returns whether the admitted share is below a part of that of others. While few requests were
    /// counted, the share is assumed to be that of the others, so that one refusal does not count as
    /// starvation.
    fn is_below(&self, part: f64, others: f64) -> bool {
        let admitted = self.admitted + SHARE_PRIOR * others;
        admitted < part * others * (self.offered + SHARE_PRIOR)
    }
}

/// The distribution of the prompt lengths of a route.
#[derive(Clone, Debug)]
struct SizeHistogram {
    buckets: [u32; SIZE_BUCKETS],
    total: u32,
}

impl Default for SizeHistogram {
    fn default() -> Self {
        Self {
            buckets: [0; SIZE_BUCKETS],
            total: 0,
        }
    }
}

impl SizeHistogram {
    fn bucket(tokens: TokenCount) -> usize {
        let tokens = tokens.0.max(4);
        let doublings = tokens.ilog2() as usize;
        let quarter = (tokens >> (doublings - 2)) as usize & 3;
        (doublings * 4 + quarter).min(SIZE_BUCKETS - 1)
    }

    fn add(&mut self, tokens: TokenCount) {
        self.buckets[Self::bucket(tokens)] += 1;
        self.total += 1;
        if self.total >= MAX_SIZED_REQUESTS {
            self.buckets.iter_mut().for_each(|count| *count /= 2);
            self.total = self.buckets.iter().sum();
        }
    }

    /// Returns the tenth that a length falls in, by the lengths that were counted.
    fn tenth(&self, tokens: TokenCount) -> Option<usize> {
        if self.total < MIN_SIZED_REQUESTS {
            return None;
        }
        let bucket = Self::bucket(tokens);
        let below: u32 = self.buckets[..bucket].iter().sum();
        let middle = 2 * below + self.buckets[bucket];
        let tenth = middle as usize * SIZE_PARTS / (2 * self.total as usize);
        Some(tenth.min(SIZE_PARTS - 1))
    }
}

/// The counts of one route at a service.
#[derive(Clone, Debug, Default)]
struct RouteTally {
    total: DecayingTally,
    teams: BTreeMap<TeamId, DecayingTally>,
    tenths: [DecayingTally; SIZE_PARTS],
    sizes: SizeHistogram,
}

/// The counts of one service.
#[derive(Clone, Debug, Default)]
struct ServiceTally {
    total: DecayingTally,
    classes: [DecayingTally; UrgencyClass::COUNT],
    routes: BTreeMap<SmolStr, RouteTally>,
    /// The sums of the requests in flight at each decision: this entry's and those of all.
    own_flights: f64,
    total_flights: f64,
}

impl ServiceTally {
    /// Returns this entry's mean share of the traffic, if it is known.
    fn share(&self) -> Option<f64> {
        (self.total_flights > 0.0).then(|| self.own_flights / self.total_flights)
    }
}

/// What the counts say about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindShares {
    /// The share of the more urgent requests that were refused lately.
    pub shortage: f64,
    /// The prefill time of the request, as a share of the sum of it and of the mean of all.
    pub cost_share: f64,
    /// The share of the backend servers' time that more urgent requests take.
    pub urgent_load: f64,
    /// This entry's mean share of the traffic, if it is known.
    pub traffic: Option<f64>,
    /// Whether its route, team or size tenth got less than its minimum share.
    pub is_starved: bool,
    /// Whether a more urgent class was served less often.
    pub exceeds_urgent: bool,
    /// Whether requests of its class were refused lately.
    pub refused_lately: bool,
}

/// What an entry has admitted and refused lately. It is not exchanged with other entries: where each
/// of them keeps the shares among its own requests, they hold for all requests.
#[derive(Clone, Debug, Default)]
pub struct CompetitionLedger {
    services: BTreeMap<ServiceId, ServiceTally>,
}

impl CompetitionLedger {
    /// Records the decision on a new request.
    pub fn record(
        &mut self,
        service: &ServiceId,
        kind: &CompetitorKind<'_>,
        report: &CompetitionReport,
        now: TimePoint,
    ) {
        let tally = self.services.entry(service.clone()).or_default();
        tally.own_flights = tally.own_flights * FLIGHTS_DECAY + report.share.own as f64;
        tally.total_flights = tally.total_flights * FLIGHTS_DECAY + report.share.total as f64;
        tally.total.add(report, now, KIND_HALF_LIFE);
        tally.classes[kind.class().index()].add(report, now, CLASS_HALF_LIFE);
        if tally.routes.len() >= MAX_ROUTES && !tally.routes.contains_key(kind.route) {
            drop_least(&mut tally.routes, |route| route.total, now);
        }
        let route = tally.routes.entry(kind.route.into()).or_default();
        route.total.add(report, now, KIND_HALF_LIFE);
        if let Some(tenth) = route.sizes.tenth(report.size.prompt_tokens) {
            route.tenths[tenth].add(report, now, KIND_HALF_LIFE);
        }
        route.sizes.add(report.size.prompt_tokens);
        if let Some(team) = kind.team {
            if route.teams.len() >= MAX_TEAMS && !route.teams.contains_key(team) {
                drop_least(&mut route.teams, |tally| *tally, now);
            }
            let team = route.teams.entry(team.clone()).or_default();
            team.add(report, now, KIND_HALF_LIFE);
        }
    }

    /// Returns what the counts say about a request of this kind and size.
    pub fn shares(
        &self,
        service: &ServiceId,
        kind: &CompetitorKind<'_>,
        size: RequestSize,
        servers: usize,
        now: TimePoint,
    ) -> KindShares {
        let Some(tally) = self.services.get(service) else {
            return KindShares::UNKNOWN;
        };
        let class = kind.class();
        let classes = tally.classes.map(|tally| tally.at(now, CLASS_HALF_LIFE));
        let (urgent, own) = (&classes[..class.index()], classes[class.index()]);
        let served = urgent.iter().map(DecayingTally::served_lately);
        let least_served = served.fold(1.0, f64::min);
        let total = tally.total.at(now, KIND_HALF_LIFE);
        let mean_us = match total.admitted > 0.0 {
            true => total.work_us / total.admitted,
            false => size.work.0 as f64,
        };
        let cost_us = size.work.0 as f64;
        let share = tally.share().unwrap_or(1.0).max(MIN_TRAFFIC_SHARE);
        let urgent_count: f64 = urgent.iter().map(|tally| tally.offered).sum();
        let certainty = urgent_count / (urgent_count + URGENT_PRIOR);
        let urgent_us: f64 = urgent.iter().map(|tally| tally.work_us).sum();
        let urgent_rate = urgent_us * LN_2 / CLASS_HALF_LIFE.0 as f64;
        KindShares {
            shortage: 1.0 - least_served,
            cost_share: cost_us / (cost_us + mean_us).max(1.0),
            urgent_load: certainty * urgent_rate / share / servers.max(1) as f64,
            traffic: tally.share(),
            is_starved: tally.is_starved(kind, size.prompt_tokens, total, now),
            exceeds_urgent: own.served_lately() > least_served + YIELD_MARGIN,
            refused_lately: own.served_lately() < 1.0 - YIELD_MARGIN,
        }
    }
}

/// The size of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSize {
    /// The length of its prompt.
    pub prompt_tokens: TokenCount,
    /// The time to prefill the part of it that is not cached.
    pub work: TimeSpan,
}

impl KindShares {
    /// What is assumed before the first request.
    const UNKNOWN: Self = Self {
        shortage: 0.0,
        cost_share: 0.5,
        urgent_load: 0.0,
        traffic: None,
        is_starved: false,
        exceeds_urgent: false,
        refused_lately: false,
    };
}

impl ServiceTally {
    /// Returns whether the route, the team or the size tenth of a request got less than its minimum
    /// share.
    fn is_starved(
        &self,
        kind: &CompetitorKind<'_>,
        prompt_tokens: TokenCount,
        total: DecayingTally,
        now: TimePoint,
    ) -> bool {
        let Some(route) = self.routes.get(kind.route) else {
            return false;
        };
        let of_route = route.total.at(now, KIND_HALF_LIFE);
        if of_route.is_below(MIN_ROUTE_SHARE, total.served()) {
            return true;
        }
        let team = kind.team.and_then(|team| route.teams.get(team));
        let tenth = route.sizes.tenth(prompt_tokens);
        let tenth = tenth.map(|tenth| &route.tenths[tenth]);
        let kinds = team.into_iter().chain(tenth);
        let mut kinds = kinds.map(|tally| tally.at(now, KIND_HALF_LIFE));
        kinds.any(|tally| tally.is_below(MIN_KIND_SHARE, of_route.served()))
    }
}

/// Drops the entry of a map with the fewest requests.
fn drop_least<K, V, F>(map: &mut BTreeMap<K, V>, tally: F, now: TimePoint)
where
    K: Clone + Ord,
    F: Fn(&V) -> DecayingTally,
{
    let offered = |value: &V| tally(value).at(now, KIND_HALF_LIFE).offered;
    let least = map
        .iter()
        .min_by(|(_, one), (_, other)| offered(one).total_cmp(&offered(other)));
    if let Some(key) = least.map(|(key, _)| key.clone()) {
        map.remove(&key);
    }
}
