//! Usage windows on the wall clock.

use applefold_core::id::WindowId;
use applefold_core::unit::TimeSpan;

use crate::logging::unix_micros;

/// Returns the window around now; every process cuts windows alike.
pub(crate) fn current(length: TimeSpan) -> WindowId {
    containing(unix_micros(), length)
}

/// Returns the window around a point given in microseconds since the Unix epoch.
pub(crate) fn containing(micros: u64, length: TimeSpan) -> WindowId {
    WindowId(micros / length.0.max(1))
}
