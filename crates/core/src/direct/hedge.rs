//! Hedging: a second attempt at a request that takes unusually long, while the first one runs.
//!
//! See [docs/design/hedging.md](../../../../docs/design/hedging.md).

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::str::FromStr;

use smol_str::SmolStr;

use crate::direct::{AttemptLimits, RequestProgress, RetryRule, ServerRow, ServerTable};
use crate::id::{BackendId, ServiceId};
use crate::retry::RetryBudget;
use crate::unit::{TimePoint, TimeSpan, TokenCount};

/// The percentage of the learned times above which a request is unusually slow.
const SLOW_PERCENTILE: usize = 95;
/// The least multiple of the median that is unusually slow. Where all times are alike, a request
/// beyond the percentile ends before its hedge.
const SLOW_MEDIANS: u64 = 2;
/// The fewest times from which the percentile is taken. With fewer, it is nearly the maximum.
const MIN_SAMPLES: usize = 30;
/// The most times that are kept of each class.
const MAX_SAMPLES: usize = 200;
/// The age after which a time is ignored.
const MAX_SAMPLE_AGE: TimeSpan = TimeSpan::from_secs(60);
/// The most classes that are kept. Only configurations that replace their routes again and again
/// reach it.
const MAX_CLASSES: usize = 1_024;
/// The cost of one hedge in the unit of [`HedgeShare`].
const HEDGE_COST: u64 = 10_000;
/// The most unused hedges that a service saves up.
const MAX_SAVED_HEDGES: u64 = 4;
/// The time after a refusal for lack of capacity in which a service gets no hedges.
const SHORTAGE_TIME: TimeSpan = TimeSpan::from_secs(5);
/// The share of the slots of a service, in percent, that may be in use when a hedge is sent.
const MAX_USED_PERCENT: u64 = 60;
/// The attempts in a row that a backend server may lose to hedges before attempts at it are no longer
/// hedged. A silent backend server is detected by attempts that wait for it.
const MAX_LOST_ATTEMPTS: u32 = 3;

/// The share of requests that may be hedged, in hundredths of a percent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HedgeShare(u64);

impl HedgeShare {
    /// Returns whether no request is hedged.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for HedgeShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0 as f64 / 100.0)
    }
}

/// The error of a percentage that is not a number from 0 to 100.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeShareError;

impl fmt::Display for HedgeShareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a percentage from 0 to 100")
    }
}

impl std::error::Error for HedgeShareError {}

impl FromStr for HedgeShare {
    type Err = HedgeShareError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let percent: f64 = text.trim().parse().map_err(|_| HedgeShareError)?;
        match (0.0..=100.0).contains(&percent) {
            true => Ok(Self((percent * 100.0).round() as u64)),
            false => Err(HedgeShareError),
        }
    }
}

/// The requests whose times are compared: those of one route with sizes of the same magnitude.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LatencyClass {
    route: SmolStr,
    /// The number of bits of the size.
    size_bits: u32,
}

impl LatencyClass {
    /// Returns the class of a request of a route. The size is that of the prompt in tokens, or else
    /// that of the body in bytes.
    pub fn new(route: &SmolStr, size: u64) -> Self {
        Self {
            route: route.clone(),
            size_bits: u64::BITS - size.leading_zeros(),
        }
    }
}

/// How long an attempt took.
#[derive(Clone, Debug)]
struct LatencySample {
    backend: BackendId,
    took: TimeSpan,
    recorded_at: TimePoint,
}

/// The times of the latest requests of a class.
#[derive(Clone, Debug, Default)]
struct LatencyWindow(VecDeque<LatencySample>);

impl LatencyWindow {
    fn record(&mut self, sample: LatencySample) {
        if self.0.len() == MAX_SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back(sample);
    }

    /// Returns the time that is slow compared with other backend servers. If the slow one counted
    /// too, one in ten would raise the percentile to its own times.
    fn slow_time(&self, backend: &BackendId, now: TimePoint) -> Option<SlowTime> {
        let samples = self.0.iter().filter(|sample| {
            sample.backend != *backend && now.since(sample.recorded_at) <= MAX_SAMPLE_AGE
        });
        let mut times: Vec<TimeSpan> = samples.map(|sample| sample.took).collect();
        if times.len() < MIN_SAMPLES {
            return None;
        }
        times.sort_unstable();
        let rank = |percent: usize| times[(times.len() * percent).div_ceil(100) - 1];
        Some(SlowTime {
            time: rank(SLOW_PERCENTILE).max(TimeSpan(rank(50).0 * SLOW_MEDIANS)),
            samples: times.len(),
        })
    }
}

/// The time after which a request is unusually slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowTime {
    /// The time.
    pub time: TimeSpan,
    /// The number of times that it was learned from.
    pub samples: usize,
}

/// How much of a service's capacity is in use, as far as this entry knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// The requests that run or are queued at its backend servers, those of other entries included.
    pub requests: u64,
    /// The requests that its backend servers can run concurrently.
    pub slots: u64,
}

impl ServiceLoad {
    /// Returns the load of a service. Reports older than `max_age` are ignored.
    pub fn of(table: &ServerTable, service: &ServiceId, max_age: TimeSpan, now: TimePoint) -> Self {
        let mut load = Self::default();
        for row in table.of_service(service) {
            let reported = row.fresh_load(now, max_age);
            let reported = reported.map_or(0, |reported| {
                u64::from(reported.running) + u64::from(reported.waiting)
            });
            load.requests += reported.max(row.total_in_flight(now));
            load.slots += u64::from(row.spec.slots.max(1));
        }
        load
    }

    /// Returns whether work beyond the callers' own would delay requests.
    fn is_high(&self) -> bool {
        self.requests * 100 > self.slots * MAX_USED_PERCENT
    }
}

/// Returns whether work is queued at a backend server, so that a hedge there would delay requests.
/// Prompts queue while slots are free. Reports older than `max_age` are ignored.
pub fn has_queue(row: &ServerRow, max_age: TimeSpan, now: TimePoint) -> bool {
    let reported = row.fresh_load(now, max_age);
    row.backlog(now) > TokenCount::ZERO || reported.is_some_and(|reported| reported.waiting > 0)
}

/// A slow request and the attempt at it that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct HedgeRequest<'a> {
    /// Which requests of the route may be repeated.
    pub retry_rule: RetryRule,
    /// Whether the caller has a part of the response.
    pub response_begun: bool,
    /// The service.
    pub service: &'a ServiceId,
    /// The backend server of the attempt in flight.
    pub backend: &'a BackendId,
    /// The attempts before the one in flight, with that one as sent.
    pub progress: RequestProgress,
    /// The limits on attempts.
    pub limits: AttemptLimits,
    /// The time left before the deadline.
    pub time_left: TimeSpan,
    /// The load of the service.
    pub load: ServiceLoad,
}

/// Why a slow request is not hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDenial {
    /// It may run only once.
    NotRepeatable,
    /// The caller has a part of the response.
    ResponseBegun,
    /// It has no attempts left.
    NoAttempts,
    /// Too little time is left before its deadline.
    NoTime,
    /// The service has little capacity left.
    HighLoad,
    /// A request of the service was refused lately for lack of capacity.
    Shortage,
    /// The backend server of the attempt in flight has lost too many attempts to hedges.
    Unobserved,
    /// No other backend server is free for it.
    NoTarget,
    /// The share of requests that may be hedged is used up.
    ShareUsed,
    /// The retry budget of the service is used up.
    BudgetUsed,
}

impl HedgeDenial {
    /// Returns the `outcome` label in the metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not repeatable",
            Self::ResponseBegun => "response begun",
            Self::NoAttempts => "no attempts left",
            Self::NoTime => "no time left",
            Self::HighLoad => "high load",
            Self::Shortage => "shortage",
            Self::Unobserved => "backend unobserved",
            Self::NoTarget => "no free backend",
            Self::ShareUsed => "share used",
            Self::BudgetUsed => "retry budget used",
        }
    }
}

/// The hedges of one service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceHedges {
    /// The hedges left, in the unit of [`HedgeShare`]. It starts at zero, so that restarts add none.
    balance: u64,
    /// When a request was last refused for lack of capacity.
    last_shortage: Option<TimePoint>,
}

/// Decides on hedges, with what it has learned from earlier requests of this entry.
#[derive(Clone, Debug, Default)]
pub struct HedgeController {
    share: HedgeShare,
    latencies: BTreeMap<LatencyClass, LatencyWindow>,
    services: BTreeMap<ServiceId, ServiceHedges>,
    /// The attempts in a row that each backend server has lost to hedges.
    lost: BTreeMap<BackendId, u32>,
}

impl HedgeController {
    /// Creates a controller that hedges at most this share of the requests.
    pub fn new(share: HedgeShare) -> Self {
        Self {
            share,
            ..Self::default()
        }
    }

    /// Returns whether requests may be hedged at all.
    pub fn is_enabled(&self) -> bool {
        !self.share.is_zero()
    }

    /// Records a request that may be hedged, which adds its share of a hedge.
    pub fn record_request(&mut self, service: &ServiceId) {
        let hedges = self.services.entry(service.clone()).or_default();
        let full = MAX_SAVED_HEDGES * HEDGE_COST;
        hedges.balance = full.min(hedges.balance + self.share.0);
    }

    /// Records how long an attempt at a backend server took, or how long it had taken when a hedge
    /// overtook it.
    pub fn record_time(
        &mut self,
        class: &LatencyClass,
        backend: &BackendId,
        took: TimeSpan,
        now: TimePoint,
    ) {
        if !self.latencies.contains_key(class) && self.latencies.len() >= MAX_CLASSES {
            self.latencies.clear();
        }
        let window = self.latencies.entry(class.clone()).or_default();
        window.record(LatencySample {
            backend: backend.clone(),
            took,
            recorded_at: now,
        });
    }

    /// Records that a request of a service was refused for lack of capacity.
    pub fn record_shortage(&mut self, service: &ServiceId, now: TimePoint) {
        let hedges = self.services.entry(service.clone()).or_default();
        hedges.last_shortage = Some(now);
    }

    /// Records a response of a backend server.
    pub fn record_response(&mut self, backend: &BackendId) {
        self.lost.remove(backend);
    }

    /// Records that an attempt at a backend server was cancelled because a hedge overtook it.
    pub fn record_lost(&mut self, backend: &BackendId) {
        *self.lost.entry(backend.clone()).or_default() += 1;
    }

    /// Drops what it has learned of a backend server that is no longer listed.
    pub fn remove_backend(&mut self, backend: &BackendId) {
        self.lost.remove(backend);
    }

    /// Returns the time after which an attempt at a backend server is unusually slow, compared with
    /// requests of the class at others; `None` until enough of them have been seen.
    pub fn slow_time(
        &self,
        class: &LatencyClass,
        backend: &BackendId,
        now: TimePoint,
    ) -> Option<SlowTime> {
        self.latencies.get(class)?.slow_time(backend, now)
    }

    /// Decides whether a slow request may be hedged now, apart from the budgets.
    ///
    /// # Errors
    ///
    /// Returns the first reason against it.
    pub fn check(&self, request: &HedgeRequest<'_>, now: TimePoint) -> Result<(), HedgeDenial> {
        let (progress, limits) = (&request.progress, &request.limits);
        let hedges = self.services.get(request.service).copied();
        let hedges = hedges.unwrap_or_default();
        let shortage = hedges.last_shortage;
        let lost = self.lost.get(request.backend).copied().unwrap_or_default();
        if !request.retry_rule.allows_retry() {
            return Err(HedgeDenial::NotRepeatable);
        }
        if request.response_begun {
            return Err(HedgeDenial::ResponseBegun);
        }
        // Both the attempt in flight and the hedge may run.
        if progress.runs + 2 > limits.max_runs || progress.sends + 1 > limits.max_sends {
            return Err(HedgeDenial::NoAttempts);
        }
        if request.time_left < limits.min_time_left {
            return Err(HedgeDenial::NoTime);
        }
        if request.load.is_high() {
            return Err(HedgeDenial::HighLoad);
        }
        if shortage.is_some_and(|at| now.since(at) < SHORTAGE_TIME) {
            return Err(HedgeDenial::Shortage);
        }
        if lost >= MAX_LOST_ATTEMPTS {
            return Err(HedgeDenial::Unobserved);
        }
        if hedges.balance < HEDGE_COST {
            return Err(HedgeDenial::ShareUsed);
        }
        Ok(())
    }

    /// Takes one hedge of a service out of its share and out of its retry budget.
    ///
    /// # Errors
    ///
    /// Fails if one of them is used up; then nothing is taken.
    pub fn spend(
        &mut self,
        service: &ServiceId,
        budget: &mut RetryBudget,
    ) -> Result<(), HedgeDenial> {
        let hedges = self.services.entry(service.clone()).or_default();
        let Some(balance) = hedges.balance.checked_sub(HEDGE_COST) else {
            return Err(HedgeDenial::ShareUsed);
        };
        if !budget.try_withdraw() {
            return Err(HedgeDenial::BudgetUsed);
        }
        hedges.balance = balance;
        Ok(())
    }
}
