//! Figures that are learned from samples, and forgotten without any.

use crate::unit::{TimePoint, TimeSpan};

/// How much of an old estimate is kept when a new sample comes, of [`ESTIMATE_PARTS`].
const ESTIMATE_KEEP: u64 = 7;
const ESTIMATE_PARTS: u64 = 8;
/// How soon half of what is learned is forgotten while nothing new is learned.
const ESTIMATE_HALF_LIFE: TimeSpan = TimeSpan::from_secs(1);

/// A learned figure that goes back to the baseline one while nothing is learned.
///
/// What is refused because of a bad estimate teaches nothing, so without that an
/// estimate that is once bad would stay so.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingEstimate {
    baseline: u64,
    learned: u64,
    at: TimePoint,
}

impl DecayingEstimate {
    pub(super) fn new(baseline: u64) -> Self {
        Self {
            baseline,
            learned: baseline,
            at: TimePoint::START,
        }
    }

    /// Returns the figure that it goes back to.
    pub(super) fn baseline(&self) -> u64 {
        self.baseline
    }

    /// Returns the figure as it stands now.
    pub(super) fn value(&self, now: TimePoint) -> u64 {
        let halvings = now.since(self.at).0 / ESTIMATE_HALF_LIFE.0;
        let shift = halvings.min(63) as u32;
        let (low, high) = (
            self.baseline.min(self.learned),
            self.baseline.max(self.learned),
        );
        let apart = (high - low) >> shift;
        match self.learned > self.baseline {
            true => self.baseline + apart,
            false => self.baseline - apart,
        }
    }

    /// Takes in a sample.
    pub(super) fn learn(&mut self, sample: u64, now: TimePoint) {
        self.learned = ewma(self.value(now), sample);
        self.at = now;
    }
}

/// Moves an old figure a part of the way to a new one.
pub(super) fn ewma(old: u64, new: u64) -> u64 {
    (old * ESTIMATE_KEEP + new) / ESTIMATE_PARTS
}
