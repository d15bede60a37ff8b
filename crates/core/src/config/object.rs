//! The rows of the configuration's tables, in the shape in which tickets carry them.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::digest::KeyDigest;
use crate::id::{BackendId, DomainId, IdError, KeyId, ModelId, PoolId, ServiceId, TeamId};
use crate::unit::{ByteSize, CallRate, TimeSpan, TokenCount, TokenRate};

/// A team's share of a contended backend server, relative to other teams.
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

/// The limits of a team; `None` leaves a quantity unlimited.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamLimits {
    /// Requests accepted per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<CallRate>,
    /// Prompt and answer tokens per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<TokenRate>,
    /// Requests running at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamConfig {
    /// Names the team.
    pub id: TeamId,
    /// Its share where teams contend.
    pub weight: TeamWeight,
    /// What it may use at most.
    #[serde(default)]
    pub limits: TeamLimits,
}

/// Whether a key or an engine is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectState {
    /// It is in use.
    Active,
    /// It must not be used any more.
    Withdrawn,
}

/// A caller key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyConfig {
    /// The key's public name.
    pub id: KeyId,
    /// The team that the key speaks for.
    pub team: TeamId,
    /// The digest by which a presented key is recognized.
    pub sha256: KeyDigest,
    /// Whether the key is accepted.
    pub state: ObjectState,
}

/// What a pool's backend servers are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Model,
    /// Plain services.
    Plain,
}

/// How callers reach a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ServiceRoute {
    /// By the model that a request names.
    Model {
        /// The models offered.
        models: BTreeSet<ModelId>,
    },
    /// By the start of the path; the longest one wins.
    Plain {
        /// Starts and ends with `/`.
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

/// Which teams may use a service; in JSON a list, in which `"*"` stands for every team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Vec<SmolStr>", into = "Vec<SmolStr>")]
pub enum TeamAccess {
    /// Every team.
    Every,
    /// The teams listed.
    Listed(BTreeSet<TeamId>),
}

/// Stands for every team in a list of teams.
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

/// Which requests go first where a pool is contended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServicePriority {
    /// Somebody waits for the answer.
    Interactive,
    /// Nobody waits for the answer.
    Batch,
}

/// A service that callers reach.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Names the service.
    pub id: ServiceId,
    /// How callers reach it.
    #[serde(flatten)]
    pub route: ServiceRoute,
    /// The pool that serves it.
    pub pool: PoolId,
    /// Whether it answers without a caller key.
    pub open: bool,
    /// The teams that may use it.
    pub teams: TeamAccess,
    /// Whether its calls may be run more than once.
    pub repeatable: bool,
    /// Paths whose calls may not be repeated although the service's others may.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub unrepeatable_paths: BTreeSet<SmolStr>,
    /// The time within which an answer is of use.
    #[serde(rename = "deadline_ms", with = "millis")]
    pub deadline: TimeSpan,
    /// The largest body of a request.
    pub max_body_bytes: ByteSize,
    /// Which requests go first.
    pub priority: ServicePriority,
}

impl ServiceConfig {
    /// Returns whether a call of `path` may be run more than once.
    pub fn is_repeatable(&self, path: &str) -> bool {
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

/// How a pool's engines may change roles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolePolicy {
    /// Whether roles stay as the engines' objects say.
    pub fixed: bool,
}

/// A pool of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolConfig {
    /// Names the pool.
    pub id: PoolId,
    /// What its backend servers are.
    pub kind: PoolKind,
    /// The fewest backend servers to keep.
    pub min: u64,
    /// The most backend servers to pay for.
    pub max: u64,
    /// Where backend servers may be ordered.
    pub failure_domains: BTreeSet<DomainId>,
    /// How roles may change.
    #[serde(default)]
    pub roles: RolePolicy,
    /// Prompt tokens that one engine takes in per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefill_rate: Option<TokenRate>,
    /// Answer tokens that one engine generates per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub decode_rate: Option<TokenRate>,
    /// Tokens that one engine's memory holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_tokens: Option<TokenCount>,
}

/// What work an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompts and answers.
    Both,
    /// Prompts alone.
    Prefill,
    /// Answers alone.
    Decode,
}

/// What operators say of one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineConfig {
    /// Names the backend server.
    pub id: BackendId,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// Whether it may get work.
    pub state: ObjectState,
    /// The role that it starts in, or keeps where the pool's roles are fixed.
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
