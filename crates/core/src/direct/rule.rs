//! The rules that callers are served by, one whole revision at a time.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::code::{CallRefusal, ResultCode};
use crate::id::{Revision, ServiceId, TeamId};
use crate::rank::NameRank;
use crate::unit::{ByteSize, TimeSpan};

/// What may be repeated of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// An answer is a stream of events.
    Stream {
        /// Whether another backend server may go on after the last event.
        resumable: bool,
    },
}

impl RetryRule {
    /// Returns whether a request that may have run may be sent again.
    pub const fn allows_retry(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Returns whether answers are streams of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// The share of a route's requests that a service gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the shares of the route.
    pub weight: u64,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// The name, for logs.
    pub name: SmolStr,
    /// The host that callers ask for.
    pub host: SmolStr,
    /// What paths begin with; it ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub retry_rule: RetryRule,
    /// The longest time that a request may take.
    pub timeout: TimeSpan,
    /// The time within which an answer, or the first event, is on time.
    pub latency_objective: TimeSpan,
    /// The longest pause between events that is on time.
    pub max_event_gap: Option<TimeSpan>,
    /// The urgency; 0 is the most urgent.
    pub urgency: u8,
    /// At how many backend servers a request may run.
    pub max_attempts: u32,
    /// Whether no caller key is asked for.
    pub public: bool,
    /// The services that serve it.
    pub shares: Vec<ServiceShare>,
}

impl RouteRule {
    /// Returns the service of a request, the same one whenever the request is looked at.
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

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// The most connections that one of its backend servers takes from all callers.
    pub max_connections: u32,
    /// Whether its backend servers are model engines.
    pub is_engine: bool,
    /// The memory of an engine, in tokens; zero where it is not stated.
    pub kv_capacity_tokens: u64,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request.
    pub max_head: ByteSize,
    /// The largest body of a request.
    pub max_body: ByteSize,
    /// The longest time for the head of a request.
    pub head_timeout: TimeSpan,
    /// How long a connection may be idle.
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

/// One team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamRule {
    /// The team's urgency, which goes before a route's.
    pub urgency: Option<u8>,
}

/// A whole revision of the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleSet {
    /// The revision.
    pub revision: Revision,
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// The services.
    pub services: BTreeMap<ServiceId, ServiceRule>,
    /// The limits of callers.
    pub limits: CallerLimits,
    /// The teams; where there is none, callers need no key.
    pub teams: BTreeMap<TeamId, TeamRule>,
    /// The team of each caller key.
    pub keys: BTreeMap<SmolStr, TeamId>,
}

impl RuleSet {
    /// Finds the route of a request: the longest prefix among those of its host.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::RouteUnknown`].
    pub fn route(&self, host: &str, path: &str) -> Result<&RouteRule, CallRefusal> {
        let routes = self.routes.iter();
        let matching = routes.filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.prefix.as_str())
        });
        let longest = matching.max_by_key(|route| route.prefix.len());
        longest.ok_or(CallRefusal::permanent(ResultCode::RouteUnknown))
    }

    /// Finds the team of a request; `None` where the route is open to all.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::KeyMissing`] or [`ResultCode::KeyRefused`].
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

    /// Returns the urgency of a request.
    pub fn urgency(&self, route: &RouteRule, team: Option<&TeamId>) -> u8 {
        let rule = team.and_then(|team| self.teams.get(team));
        rule.and_then(|rule| rule.urgency).unwrap_or(route.urgency)
    }
}
