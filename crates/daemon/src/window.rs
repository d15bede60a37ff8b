//! Usage windows by the wall clock.

use applefold_core::id::WindowId;
use applefold_core::unit::TimeSpan;

use crate::logging::unix_micros;

/// Returns the window that contains the current time. Windows are aligned to the Unix epoch, so all
/// processes agree on their bounds.
pub(crate) fn current(length: TimeSpan) -> WindowId {
    containing(unix_micros(), length)
}

/// Returns the window that contains a time, given in microseconds since the Unix epoch.
pub(crate) fn containing(micros: u64, length: TimeSpan) -> WindowId {
    WindowId(micros / length.0.max(1))
}
