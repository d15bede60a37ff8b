//! Faults that a test can inject into the platform.

use serde::{Deserialize, Serialize};

/// Active faults of the platform. Fields that a call omits are switched off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call fails with status 503.
    pub down: bool,
    /// Delay in milliseconds before each call takes effect.
    pub slow_ms: u64,
    /// Number of upcoming successful writes that take effect but get no response.
    pub lose_answers: u64,
    /// Calls are accepted, but wait until the fault is switched off.
    pub freeze: bool,
    /// Delay of the list of instances, in milliseconds. `None` uses the configured delay.
    pub list_lag_ms: Option<u64>,
    /// Orders with a fencing number below the highest accepted one of the pool are rejected.
    pub check_fencing: bool,
}
