//! The prefill and decode counts of a pool, which follow the measured token mix.
//!
//! A change takes an engine away for seconds, so it is made only where the
//! expected gain over the horizon exceeds the seconds lost. The rule, its
//! hysteresis and the ways weighed are in
//! [docs/design/roles.md](../../../../docs/design/roles.md).

mod payback;
mod planner;
mod table;

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

pub use self::payback::RoleFigures;
pub use self::planner::RolePlanner;

use crate::id::{BackendId, DomainId, FencingNumber, PoolId};
use crate::routing::BackendRole;
use crate::unit::{ByteSize, TimeSpan, TokenCount, TokenRate};

/// What an engine is set to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompts and answers, in turn.
    Both,
    /// Prompts; their KV cache is handed to a decode engine.
    Prefill,
    /// Answers, from KV cache that prefill engines hand over.
    Decode,
}

impl EngineRole {
    /// Returns the word used in orders and tickets.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Both => "both",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

impl fmt::Display for EngineRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The error of a word that is not a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleError;

impl fmt::Display for RoleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("both, prefill or decode")
    }
}

impl std::error::Error for RoleError {}

impl FromStr for EngineRole {
    type Err = RoleError;

    fn from_str(text: &str) -> Result<Self, RoleError> {
        match text {
            "both" => Ok(Self::Both),
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            _ => Err(RoleError),
        }
    }
}

/// Whether the calling process may give orders, and under which fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAuthority {
    /// The lease is held and its margin has not begun.
    Held(FencingNumber),
    /// Another process holds the lease, or nobody does.
    Absent,
}

/// What an engine is doing, as its sidecar reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// It takes new work.
    Serving,
    /// It finishes its work ahead of a role change.
    Draining,
    /// It finishes its work ahead of its release or withdrawal.
    Leaving,
}

/// An engine as its sidecar reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// The engine.
    pub backend: BackendId,
    /// The pool it serves.
    pub pool: PoolId,
    /// The failure domain it runs in.
    pub domain: DomainId,
    /// Its role; `None` for an engine that has been given none yet.
    pub role: Option<EngineRole>,
    /// What it is doing.
    pub state: EngineState,
    /// Prompt tokens a second when it does nothing else.
    pub prefill_rate: TokenRate,
    /// Answer tokens a second at a full batch.
    pub decode_rate: TokenRate,
    /// Tokens whose KV cache its running requests hold.
    pub held_tokens: TokenCount,
}

/// The constants of the payback rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleSettings {
    /// How long a mix is expected to last once it has changed.
    pub horizon: TimeSpan,
    /// How long demand must have been watched before a change is made.
    pub warmup: TimeSpan,
    /// How long a change must have paid without a break before it is made.
    pub stabilization: TimeSpan,
    /// Pause after a change before the next in the same pool.
    pub cooldown: TimeSpan,
    /// Pause after a change before one in the opposite direction.
    pub reversal_cooldown: TimeSpan,
    /// How long an engine is away while it changes its role.
    pub switch_time: TimeSpan,
    /// The longest drain; after it the change is given up.
    pub drain_timeout: TimeSpan,
    /// How long an order may stay unanswered before it is repeated.
    pub order_timeout: TimeSpan,
    /// The share of its rate at which an engine still answers on time.
    pub max_utilization: f64,
    /// How many times the seconds lost the gain must be.
    pub payback_factor: f64,
    /// KV cache of one token.
    pub token_bytes: ByteSize,
    /// Bytes a second between two engines, for KV cache.
    pub link_bandwidth: ByteSize,
}

impl Default for RoleSettings {
    fn default() -> Self {
        Self {
            horizon: TimeSpan::from_secs(60),
            warmup: TimeSpan::from_secs(30),
            stabilization: TimeSpan::from_secs(5),
            cooldown: TimeSpan::from_secs(2),
            reversal_cooldown: TimeSpan::from_secs(20),
            switch_time: TimeSpan::from_secs(4),
            drain_timeout: TimeSpan::from_secs(60),
            order_timeout: TimeSpan::from_secs(15),
            max_utilization: 0.85,
            payback_factor: 10.0,
            token_bytes: ByteSize(128 * 1024),
            link_bandwidth: ByteSize(10_000_000_000),
        }
    }
}

/// What the planner is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleEvent {
    /// A sidecar reported its engine.
    Reported(EngineReport),
    /// An engine crashed, was released or can no longer be reached.
    Lost(BackendId),
    /// A drained engine has no work left; repeated with each report while that holds.
    Drained(BackendId),
    /// An engine carried out the order to change its role.
    RoleSet(BackendId, EngineRole),
    /// An engine refused the order; its role is the old one.
    RoleRefused(BackendId),
}

/// A decision together with the figures it was taken on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoleDecision {
    /// The pool.
    pub pool: PoolId,
    /// The engine that changes.
    pub backend: BackendId,
    /// Its role before; `None` for a new engine.
    pub from: Option<EngineRole>,
    /// Its role after.
    pub to: EngineRole,
    /// What the decision was taken on.
    pub figures: RoleFigures,
}

/// What the process with authority carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum RoleAction {
    /// Give the engine no more work, and report when it has none left.
    Drain {
        /// Whether its running answers move to other engines with their KV cache.
        hand_over: bool,
        /// Why.
        decision: RoleDecision,
    },
    /// Order the drained engine to change its role; a repeat is harmless.
    SetRole {
        /// Why.
        decision: RoleDecision,
    },
    /// Give the engine work again.
    Undrain {
        /// The engine.
        backend: BackendId,
    },
}

impl From<EngineRole> for BackendRole {
    fn from(role: EngineRole) -> Self {
        match role {
            EngineRole::Both => Self::Both,
            EngineRole::Prefill => Self::Prefill,
            EngineRole::Decode => Self::Decode,
        }
    }
}
