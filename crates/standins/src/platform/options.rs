//! Settings of the simulated platform.

use std::time::Duration;

/// Default limit on writes per second.
const WRITES_PER_SEC: u64 = 400;
/// Default limit on reads per second.
const READS_PER_SEC: u64 = 2_000;
/// Default bandwidth of the weight store, in bytes per second.
const WEIGHT_BYTES_PER_SEC: u64 = 200_000_000;

/// Settings of a simulated platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Limit on writes per second; calls beyond it are rejected.
    pub writes_per_sec: u64,
    /// Limit on reads per second; calls beyond it are rejected. A watch counts as one read.
    pub reads_per_sec: u64,
    /// Delay after which a change shows in the list of instances.
    pub list_lag: Duration,
    /// Bandwidth of the weight store, in bytes per second, shared by all clients.
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
