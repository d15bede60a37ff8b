//! How a model engine is set up.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Which phase of requests an engine is fit for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Both phases at the full rates.
    Both,
    /// Prefill at the full rate, decode slowly.
    Prefill,
    /// Decode at the full rate, prefill slowly.
    Decode,
}

/// The error of a text that is no role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleError;

impl fmt::Display for RoleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("one of both, prefill and decode")
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

/// Settings of a model engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The models that are loaded at the start.
    pub models: Vec<String>,
    /// The role at the start.
    pub role: EngineRole,
    /// Prompt tokens per second.
    pub prefill_rate: u64,
    /// Answer tokens per second over all requests.
    pub decode_rate: u64,
    /// Answer tokens per second of one request.
    pub stream_rate: u64,
    /// Tokens that fit in memory, for running requests and for cached prefixes each.
    pub memory_tokens: u64,
    /// Requests that run at a time.
    pub max_running: usize,
    /// The time between two steps of the batch; zero answers everything at once.
    pub step: Duration,
    /// By how much the load report lags.
    pub load_lag: Duration,
    /// By how much cache events lag.
    pub cache_lag: Duration,
    /// Every so many cache events one is left out; zero leaves none out.
    pub cache_gap_every: u64,
    /// How long an order takes.
    pub order_time: Duration,
    /// Whether orders with an old fencing number are refused.
    pub check_fencing: bool,
    /// How long the engine is down after a crash that does not end the process.
    pub down_time: Duration,
    /// The platform whose weight store models are loaded from.
    pub weights: Option<SocketAddr>,
    /// The size of a model in the weight store.
    pub weight_bytes: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            models: vec!["tiny-1".to_owned()],
            role: EngineRole::Both,
            prefill_rate: 20_000,
            decode_rate: 2_000,
            stream_rate: 200,
            memory_tokens: 256 * 1_024,
            max_running: 64,
            step: Duration::from_millis(5),
            load_lag: Duration::from_millis(200),
            cache_lag: Duration::from_millis(500),
            cache_gap_every: 7,
            order_time: Duration::from_millis(500),
            check_fencing: false,
            down_time: Duration::from_secs(1),
            weights: None,
            weight_bytes: 100_000_000,
        }
    }
}
