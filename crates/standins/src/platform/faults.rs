//! The platform's faults.

use serde::{Deserialize, Serialize};

/// Faults of the platform; fields left out of a call are switched off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is answered 503.
    pub down: bool,
    /// Every call waits this long before it takes effect.
    pub slow_ms: u64,
    /// This many of the next calls that change something take effect and are
    /// not answered.
    pub lose_answers: u64,
    /// Calls are accepted and held until the fault ends.
    pub freeze: bool,
    /// By how much the list of instances lags; `None` leaves it as set up.
    pub list_lag_ms: Option<u64>,
    /// Orders with a number below the pool's highest are refused.
    pub check_fencing: bool,
}
