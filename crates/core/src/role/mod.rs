//! Assignment of prefill and decode roles to the engines of a pool, by the measured token mix.
//!
//! A role change takes an engine out of service for seconds, so it is made only if the expected
//! gain over the horizon exceeds the time lost by a set factor. The rule, its hysteresis and the
//! alternatives considered are in
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

/// The role of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode, in turn.
    Both,
    /// Prefill; the KV cache is transferred to a decode engine.
    Prefill,
    /// Decode, from KV cache transferred by prefill engines.
    Decode,
}

impl EngineRole {
    /// Returns the name used in orders and tickets.
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

/// The error returned when a text names no role; it displays the accepted names.
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

/// Whether the calling process may issue orders, and under which fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAuthority {
    /// The process holds the lease, and the safety margin before its expiry has not begun.
    Held(FencingNumber),
    /// Another process holds the lease, or none does.
    Absent,
}

/// The state of an engine as reported by its sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// It accepts new requests.
    Serving,
    /// It finishes its requests before a role change.
    Draining,
    /// It finishes its requests before it is released or withdrawn.
    Leaving,
}

/// An engine as reported by its sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// The engine.
    pub backend: BackendId,
    /// The pool that it serves.
    pub pool: PoolId,
    /// The failure domain that it runs in.
    pub domain: DomainId,
    /// Its role; `None` before it is assigned one.
    pub role: Option<EngineRole>,
    /// Its state.
    pub state: EngineState,
    /// Prefill throughput in tokens per second when it runs nothing else.
    pub prefill_rate: TokenRate,
    /// Decode throughput in tokens per second at a full batch.
    pub decode_rate: TokenRate,
    /// Tokens in the KV cache of its running requests.
    pub held_tokens: TokenCount,
}

/// The constants of the role planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleSettings {
    /// How long a token mix is expected to last once it has changed.
    pub horizon: TimeSpan,
    /// How long demand must have been observed before a change is made.
    pub warmup: TimeSpan,
    /// How long a change must have paid off without interruption before it is made.
    pub stabilization: TimeSpan,
    /// The minimum time between a change and the next one in the same pool and direction.
    pub cooldown: TimeSpan,
    /// The minimum time between a change and the next one in the opposite direction.
    pub reversal_cooldown: TimeSpan,
    /// How long an engine is out of service while it changes its role.
    pub switch_time: TimeSpan,
    /// How long a drain may take before the change is abandoned.
    pub drain_timeout: TimeSpan,
    /// How long an order may stay unconfirmed before it is sent again.
    pub order_timeout: TimeSpan,
    /// The utilization, from 0 to 1, up to which an engine meets its latency objectives.
    pub max_utilization: f64,
    /// The minimum ratio of the engine-seconds gained to the seconds lost.
    pub payback_factor: f64,
    /// The size of the KV cache of one token.
    pub token_bytes: ByteSize,
    /// The bandwidth between two engines for KV cache, in bytes per second.
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

/// An input to the role planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleEvent {
    /// A sidecar reported its engine.
    Reported(EngineReport),
    /// An engine crashed, was released or became unreachable.
    Lost(BackendId),
    /// A draining engine has no requests left; repeated with each report while that holds.
    Drained(BackendId),
    /// An engine has changed its role as ordered.
    RoleSet(BackendId, EngineRole),
    /// An engine refused the order and keeps its role.
    RoleRefused(BackendId),
}

/// A role change together with the figures that justify it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoleDecision {
    /// The pool.
    pub pool: PoolId,
    /// The engine to change.
    pub backend: BackendId,
    /// The current role; `None` for a new engine.
    pub from: Option<EngineRole>,
    /// The new role.
    pub to: EngineRole,
    /// The figures that justify the change.
    pub figures: RoleFigures,
}

/// An action for the process that has order authority.
#[derive(Clone, Debug, PartialEq)]
pub enum RoleAction {
    /// Send the engine no new requests, and report when it has none left.
    Drain {
        /// Whether its running requests move to other engines together with their KV cache.
        hand_over: bool,
        /// The decision behind the action.
        decision: RoleDecision,
    },
    /// Order the drained engine to change its role; the order is idempotent.
    SetRole {
        /// The decision behind the action.
        decision: RoleDecision,
    },
    /// Send the engine requests again.
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
