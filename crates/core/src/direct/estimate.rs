//! Moving averages that decay to a baseline without new samples.

use crate::unit::{TimePoint, TimeSpan};

/// The weight of the old average when a new sample comes, of [`EWMA_TOTAL_WEIGHT`].
const EWMA_OLD_WEIGHT: u64 = 7;
const EWMA_TOTAL_WEIGHT: u64 = 8;
/// The time after which the distance to the baseline has halved without new samples.
const ESTIMATE_HALF_LIFE: TimeSpan = TimeSpan::from_secs(1);

/// A moving average that decays to a baseline while no samples come.
///
/// A bad estimate makes the entry refuse requests, and refused requests give no samples. Without
/// the decay, an estimate that once became bad would stay bad.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingEstimate {
    baseline: u64,
    average: u64,
    updated_at: TimePoint,
}

impl DecayingEstimate {
    pub(super) fn new(baseline: u64) -> Self {
        Self {
            baseline,
            average: baseline,
            updated_at: TimePoint::START,
        }
    }

    /// Returns the value that the estimate decays to.
    pub(super) fn baseline(&self) -> u64 {
        self.baseline
    }

    /// Returns the estimate as of `now`.
    pub(super) fn value(&self, now: TimePoint) -> u64 {
        let halvings = now.since(self.updated_at).0 / ESTIMATE_HALF_LIFE.0;
        let shift = halvings.min(63) as u32;
        let (low, high) = (
            self.baseline.min(self.average),
            self.baseline.max(self.average),
        );
        let distance = (high - low) >> shift;
        match self.average > self.baseline {
            true => self.baseline + distance,
            false => self.baseline - distance,
        }
    }

    /// Updates the estimate with a sample.
    pub(super) fn record(&mut self, sample: u64, now: TimePoint) {
        self.average = ewma(self.value(now), sample);
        self.updated_at = now;
    }
}

/// Returns the exponentially weighted moving average after a new sample.
pub(super) fn ewma(average: u64, sample: u64) -> u64 {
    (average * EWMA_OLD_WEIGHT + sample) / EWMA_TOTAL_WEIGHT
}
