//! Settings of the simulated model engine.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The phases of a request that an engine runs at its full rate.
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

/// Error returned when a text is not the name of an engine role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleError;

impl fmt::Display for RoleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the role must be one of both, prefill and decode")
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

/// Settings of a simulated model engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Names of the models that are loaded at startup and after a crash.
    pub models: Vec<String>,
    /// Role at startup and after a crash.
    pub role: EngineRole,
    /// Prefill rate, in prompt tokens per second.
    pub prefill_rate: u64,
    /// Decode rate of the whole batch, in generated tokens per second.
    pub decode_rate: u64,
    /// Largest decode rate of a single request, in generated tokens per second.
    pub stream_rate: u64,
    /// Memory for running requests, in tokens. The prefix cache has the same amount again.
    pub memory_tokens: u64,
    /// Largest number of requests that run at a time.
    pub max_running: usize,
    /// Interval between two steps of the batch. Zero completes every request immediately.
    pub step: Duration,
    /// Age of the load that the load report shows.
    pub load_lag: Duration,
    /// Delay after which a cache event becomes visible.
    pub cache_lag: Duration,
    /// Every n-th cache event is dropped. Zero drops none.
    pub cache_gap_every: u64,
    /// Time to execute an order.
    pub order_time: Duration,
    /// Whether orders with an outdated fencing number are rejected.
    pub check_fencing: bool,
    /// Downtime after a crash that does not end the process.
    pub down_time: Duration,
    /// Address of the platform whose weight store provides the models. `None` loads a
    /// model without fetching its weights.
    pub weights: Option<SocketAddr>,
    /// Size of a model in the weight store, in bytes.
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
