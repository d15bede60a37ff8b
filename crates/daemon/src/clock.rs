//! The only place where a decision's time comes from.

use std::time::Instant;

use applefold_core::unit::{TimePoint, TimeSpan};

/// Lies before every point that the process can see, so that spans subtract freely.
const CLOCK_BASE: TimeSpan = TimeSpan::from_secs(86_400);

/// The process's monotonic clock.
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

/// The clock of what others may take over while this machine is suspended.
///
/// It goes on while the machine sleeps, so that a lease that ran out meanwhile
/// is seen to have run out.
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
