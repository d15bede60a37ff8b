//! The clocks of the process. All decisions take their time from here.

use std::time::Instant;

use applefold_core::unit::{TimePoint, TimeSpan};

/// An offset added to every reading, so that subtracting a span from a time does not underflow.
const CLOCK_BASE: TimeSpan = TimeSpan::from_secs(86_400);

/// A monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    pub(crate) fn start() -> Self {
        let start = Instant::now();
        Self { start }
    }

    pub(crate) fn now(&self) -> TimePoint {
        let elapsed = self.start.elapsed().as_micros() as u64;
        TimePoint(elapsed) + CLOCK_BASE
    }
}

/// The clock `CLOCK_BOOTTIME`, for leases that others may take over while this machine is
/// suspended.
///
/// It advances during suspension, so that a lease that expired meanwhile is seen as expired.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BoottimeClock;

impl BoottimeClock {
    pub(crate) fn now(&self) -> TimePoint {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let secs = u64::try_from(time.tv_sec).unwrap_or_default();
        let micros = u64::try_from(time.tv_nsec).unwrap_or_default() / 1_000;
        TimePoint(TimeSpan::from_secs(secs).0 + micros) + CLOCK_BASE
    }
}
