//! Routing and access rules: one revision of the configuration in force for callers.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::quota::TeamQuota;
use crate::code::{CallRefusal, ResultCode};
use crate::id::{Revision, ServiceId, TeamId};
use crate::rank::NameRank;
use crate::unit::{ByteSize, TimeSpan};

/// Which requests of a route may be retried after they may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether another backend server can resume the stream after the last event.
        resumable: bool,
    },
}

impl RetryRule {
    /// Returns whether a request that may have run may be retried.
    pub const fn allows_retry(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Returns whether responses are streams of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// The weight of one of the services that a route's requests are split among.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceId,
    /// The weight, relative to the other services of the route.
    pub weight: u64,
}

/// The rule of one route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// The name; it appears in logs and takes part in the choice of the service.
    pub name: SmolStr,
    /// The host name that requests must be for, compared without regard to case.
    pub host: SmolStr,
    /// The prefix of the paths that match, with a slash at its end.
    pub prefix: SmolStr,
    /// Which requests may be retried.
    pub retry_rule: RetryRule,
    /// The time limit of a request.
    pub timeout: TimeSpan,
    /// The time within which a response, or the first event of a stream, is on time.
    pub latency_objective: TimeSpan,
    /// The longest gap between two events of a stream that is on time.
    pub max_event_gap: Option<TimeSpan>,
    /// The priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// The most backend servers that may run a request.
    pub max_attempts: u32,
    /// Whether requests are served without a caller key.
    pub public: bool,
    /// The services that serve the route, with their weights.
    pub shares: Vec<ServiceShare>,
}

/// How much of a response the caller has when an attempt is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStage {
    /// Nothing.
    New,
    /// The beginning of a stream, which it resumes by a new request.
    ResumedByCaller,
    /// The beginning of a stream, which this entry resumes within the response.
    ResumedHere,
}

/// The times that an attempt has to meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeGoal {
    /// The time after which the response is of no use to the caller.
    pub time_left: TimeSpan,
    /// The time within which it is on time.
    pub latency_objective: TimeSpan,
}

/// The gap after which callers abandon a stream at the earliest, and the multiples of the latency
/// objective and of the longest gap on time after which they do, whichever is longest.
const MIN_PATIENCE: TimeSpan = TimeSpan::from_secs(2);
const PATIENCE_OBJECTIVES: u64 = 4;
const PATIENCE_GAPS: u64 = 8;

impl RouteRule {
    /// Returns the times that an attempt has to meet, given the time left before the deadline.
    ///
    /// The latency objective is for the first event. A caller that resumes a stream has that event, so
    /// a late resumption is refused only if the caller would have given up by then. See
    /// [docs/design/versions.md](../../../../docs/design/versions.md#admission-of-resumed-streams).
    pub fn time_goal(&self, stage: ResponseStage, time_left: TimeSpan) -> TimeGoal {
        let (time_left, latency_objective) = match stage {
            ResponseStage::New => (time_left, self.latency_objective),
            ResponseStage::ResumedByCaller => {
                let useful = time_left.min(self.caller_patience());
                (useful, useful)
            }
            ResponseStage::ResumedHere => (time_left, time_left),
        };
        TimeGoal {
            time_left,
            latency_objective,
        }
    }

    /// Returns the gap after which a caller abandons a stream.
    fn caller_patience(&self) -> TimeSpan {
        let gap = self.max_event_gap.unwrap_or(TimeSpan::ZERO);
        let gaps = TimeSpan(gap.0 * PATIENCE_GAPS);
        let objectives = TimeSpan(self.latency_objective.0 * PATIENCE_OBJECTIVES);
        MIN_PATIENCE.max(gaps).max(objectives)
    }

    /// Returns the service of a request. The same request name always gives the same service.
    pub fn service_of(&self, request: &str) -> Option<&ServiceId> {
        let total: u64 = self.shares.iter().map(|share| share.weight).sum();
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let mut point = NameRank::of(&self.name, request).value() % total;
        for share in &self.shares {
            if point < share.weight {
                return Some(&share.service);
            }
            point -= share.weight;
        }
        None
    }
}

/// The rule of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// The most connections that one of its backend servers accepts from all callers.
    pub max_connections: u32,
    /// Whether its backend servers are model engines.
    pub is_engine: bool,
    /// The capacity of an engine's KV cache, in tokens; zero if it is not stated.
    pub kv_capacity_tokens: u64,
}

/// Size and time limits for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The size limit of a request head.
    pub max_head: ByteSize,
    /// The size limit of a request body.
    pub max_body: ByteSize,
    /// The time limit for receiving a request head.
    pub head_timeout: TimeSpan,
    /// The time after which an idle connection is closed.
    pub idle_timeout: TimeSpan,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head: ByteSize(16_384),
            max_body: ByteSize(4_194_304),
            head_timeout: TimeSpan::from_secs(3),
            idle_timeout: TimeSpan::from_secs(15),
        }
    }
}

/// The rule of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamRule {
    /// The team's priority, which overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// What its requests may cost over all entries; `None` if there is no limit.
    pub quota: Option<TeamQuota>,
}

/// A complete revision of the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleSet {
    /// The revision.
    pub revision: Revision,
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// The services.
    pub services: BTreeMap<ServiceId, ServiceRule>,
    /// The limits for callers.
    pub limits: CallerLimits,
    /// The teams. If there are none, callers need no key.
    pub teams: BTreeMap<TeamId, TeamRule>,
    /// The team of each caller key.
    pub keys: BTreeMap<SmolStr, TeamId>,
}

impl RuleSet {
    /// Returns the route of a request: the one with the longest matching prefix for its host.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::RouteUnknown`] if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Result<&RouteRule, CallRefusal> {
        let routes = self.routes.iter();
        let matching = routes.filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.prefix.as_str())
        });
        let longest = matching.max_by_key(|route| route.prefix.len());
        longest.ok_or(CallRefusal::permanent(ResultCode::RouteUnknown))
    }

    /// Returns the team that a caller key belongs to; `None` if there are no teams, or if the route
    /// is public and the key is missing or unknown.
    ///
    /// # Errors
    ///
    /// On a route that is not public, refuses with [`ResultCode::KeyMissing`] without a key and
    /// with [`ResultCode::KeyRefused`] with an unknown one.
    pub fn team(
        &self,
        route: &RouteRule,
        key: Option<&str>,
    ) -> Result<Option<&TeamId>, CallRefusal> {
        if self.teams.is_empty() {
            return Ok(None);
        }
        let team = key.and_then(|key| self.keys.get(key));
        match (team, key) {
            (Some(team), _) => Ok(Some(team)),
            (None, _) if route.public => Ok(None),
            (None, None) => Err(CallRefusal::permanent(ResultCode::KeyMissing)),
            (None, Some(_)) => Err(CallRefusal::permanent(ResultCode::KeyRefused)),
        }
    }

    /// Returns the priority of a request: the team's if it has one, otherwise the route's.
    pub fn priority(&self, route: &RouteRule, team: Option<&TeamId>) -> u8 {
        let rule = team.and_then(|team| self.teams.get(team));
        rule.and_then(|rule| rule.priority)
            .unwrap_or(route.priority)
    }
}
