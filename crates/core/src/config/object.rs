//! The rows of the configuration's tables, in the form in which tickets carry them.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::digest::KeyDigest;
use crate::id::{BackendId, DomainId, IdError, KeyId, ModelId, PoolId, ServiceId, TeamId};
use crate::unit::{ByteSize, CallRate, TimeSpan, TokenCount, TokenRate};

/// A team's share of a contended backend server, relative to the other teams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TeamWeight(pub u32);

impl TeamWeight {
    /// The smallest weight.
    pub const MIN: Self = Self(1);
    /// The largest weight.
    pub const MAX: Self = Self(1_000);
}

impl fmt::Display for TeamWeight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for TeamWeight {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        text.parse().map(Self).map_err(|_| IdError::NotNumber)
    }
}

/// The limits of a team; `None` means unlimited.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamLimits {
    /// Requests accepted per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<CallRate>,
    /// Prompt and output tokens per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<TokenRate>,
    /// Requests running concurrently.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
}

/// The configuration of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamConfig {
    /// Identifies the team.
    pub id: TeamId,
    /// Its share under contention.
    pub weight: TeamWeight,
    /// Its limits.
    #[serde(default)]
    pub limits: TeamLimits,
}

/// Whether a key or an engine is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectState {
    /// It may be used.
    Active,
    /// It must no longer be used.
    Withdrawn,
}

/// The configuration of a caller key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyConfig {
    /// The key's public identifier, which is not secret.
    pub id: KeyId,
    /// The team that the key authenticates.
    pub team: TeamId,
    /// The digest that a presented key is matched against.
    pub sha256: KeyDigest,
    /// Whether the key is accepted.
    pub state: ObjectState,
}

/// The kind of a pool's backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Model,
    /// Plain services.
    Plain,
}

/// How requests are routed to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ServiceRoute {
    /// By the model in the request.
    Model {
        /// The models that the service offers.
        models: BTreeSet<ModelId>,
    },
    /// By a prefix of the path; the longest match wins.
    Plain {
        /// The prefix, which starts and ends with `/`.
        path_prefix: SmolStr,
    },
}

impl ServiceRoute {
    /// Returns the kind of pool that can serve the route.
    pub fn pool_kind(&self) -> PoolKind {
        match self {
            Self::Model { .. } => PoolKind::Model,
            Self::Plain { .. } => PoolKind::Plain,
        }
    }
}

/// The teams that may use a service. In JSON it is a list, where `"*"` stands for every team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Vec<SmolStr>", into = "Vec<SmolStr>")]
pub enum TeamAccess {
    /// Every team.
    Every,
    /// The teams listed.
    Listed(BTreeSet<TeamId>),
}

/// The wildcard for every team in a list of teams.
pub(crate) const EVERY_TEAM: &str = "*";

impl From<TeamAccess> for Vec<SmolStr> {
    fn from(access: TeamAccess) -> Self {
        match access {
            TeamAccess::Every => vec![SmolStr::new_static(EVERY_TEAM)],
            TeamAccess::Listed(teams) => teams.iter().map(|id| SmolStr::new(id.as_str())).collect(),
        }
    }
}

impl TryFrom<Vec<SmolStr>> for TeamAccess {
    type Error = IdError;

    fn try_from(names: Vec<SmolStr>) -> Result<Self, IdError> {
        if names.iter().any(|name| name == EVERY_TEAM) {
            return Ok(Self::Every);
        }
        let teams = names.iter().map(|name| name.parse());
        teams.collect::<Result<_, _>>().map(Self::Listed)
    }
}

/// The priority of a service's requests under contention for a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServicePriority {
    /// Someone is waiting for the response.
    Interactive,
    /// Nobody is waiting for the response.
    Batch,
}

/// The configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Identifies the service.
    pub id: ServiceId,
    /// How requests are routed to it.
    #[serde(flatten)]
    pub route: ServiceRoute,
    /// The pool that serves it.
    pub pool: PoolId,
    /// Whether it accepts requests without a caller key.
    pub open: bool,
    /// The teams that may use it.
    pub teams: TeamAccess,
    /// Whether its requests are idempotent and may be retried.
    pub repeatable: bool,
    /// Paths whose requests must not be retried although the service's others may.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub unrepeatable_paths: BTreeSet<SmolStr>,
    /// The time after which a response is no longer of use.
    #[serde(rename = "deadline_ms", with = "millis")]
    pub deadline: TimeSpan,
    /// The maximum size of a request body.
    pub max_body_bytes: ByteSize,
    /// The priority of its requests.
    pub priority: ServicePriority,
}

impl ServiceConfig {
    /// Returns whether a request for `path` may be run more than once.
    pub fn is_idempotent(&self, path: &str) -> bool {
        self.repeatable && !self.unrepeatable_paths.contains(path)
    }

    /// Returns whether `team` may use the service.
    pub fn allows(&self, team: &TeamId) -> bool {
        match &self.teams {
            _ if self.open => true,
            TeamAccess::Every => true,
            TeamAccess::Listed(teams) => teams.contains(team),
        }
    }
}

/// The policy for role changes of a pool's engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolePolicy {
    /// Whether engines keep the roles of their configuration.
    pub fixed: bool,
}

/// The configuration of a pool of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolConfig {
    /// Identifies the pool.
    pub id: PoolId,
    /// The kind of its backend servers.
    pub kind: PoolKind,
    /// The minimum number of backend servers.
    pub min: u64,
    /// The maximum number of backend servers.
    pub max: u64,
    /// The failure domains in which backend servers may be ordered.
    pub failure_domains: BTreeSet<DomainId>,
    /// The policy for role changes.
    #[serde(default)]
    pub roles: RolePolicy,
    /// Prompt tokens that one engine processes per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefill_rate: Option<TokenRate>,
    /// Output tokens that one engine generates per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub decode_rate: Option<TokenRate>,
    /// Tokens that one engine's memory can hold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_tokens: Option<TokenCount>,
}

/// The phases of a request that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// The configuration of one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineConfig {
    /// Identifies the backend server.
    pub id: BackendId,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// Whether requests may be sent to it.
    pub state: ObjectState,
    /// Its initial role, which it keeps if the pool's roles are fixed.
    pub role: EngineRole,
}

mod millis {
    use serde::{Deserialize, Deserializer, Serializer};

    use crate::unit::TimeSpan;

    pub(super) fn serialize<S>(span: &TimeSpan, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_u64(span.as_millis())
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<TimeSpan, D::Error>
    where
        D: Deserializer<'de>,
    {
        u64::deserialize(deserializer).map(TimeSpan::from_millis)
    }
}
