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
