//! Exponentially weighted moving averages.

/// The weight of the old average when a new sample comes, of [`EWMA_TOTAL_WEIGHT`].
const EWMA_OLD_WEIGHT: u64 = 7;
const EWMA_TOTAL_WEIGHT: u64 = 8;

/// Returns the exponentially weighted moving average after a new sample.
pub(super) fn ewma(average: u64, sample: u64) -> u64 {
    (average * EWMA_OLD_WEIGHT + sample) / EWMA_TOTAL_WEIGHT
}
