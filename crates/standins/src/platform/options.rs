//! How a platform is set up.

use std::time::Duration;

/// The writes per second that the platform's store takes.
const WRITES_PER_SEC: u64 = 400;
/// The reads per second that the platform's store takes.
const READS_PER_SEC: u64 = 2_000;
/// The bytes per second that the weight store gives.
const WEIGHT_BYTES_PER_SEC: u64 = 200_000_000;

/// Settings of a platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Writes per second before calls are refused.
    pub writes_per_sec: u64,
    /// Reads per second before calls are refused; a watch is one read.
    pub reads_per_sec: u64,
    /// By how much the list of instances lags.
    pub list_lag: Duration,
    /// Bytes per second that the weight store gives to all together.
    pub weight_bytes_per_sec: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            writes_per_sec: WRITES_PER_SEC,
            reads_per_sec: READS_PER_SEC,
            list_lag: Duration::ZERO,
            weight_bytes_per_sec: WEIGHT_BYTES_PER_SEC,
        }
    }
}
