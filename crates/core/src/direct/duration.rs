//! How long the requests of each route have taken lately.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::unit::TimeSpan;

/// The weight of the previous mean, in parts of [`MEAN_WEIGHT`] + 1.
const MEAN_WEIGHT: u64 = 7;
/// The weight of the previous deviation, in parts of [`DEVIATION_WEIGHT`] + 1.
const DEVIATION_WEIGHT: u64 = 3;
/// How many mean deviations above the mean a request is still expected to take.
const DEVIATIONS: u64 = 2;
/// The most routes that are kept. Only configurations that replace their routes again and again
/// reach it.
const MAX_ROUTES: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct DurationRow {
    mean: TimeSpan,
    /// The mean absolute deviation from the mean.
    deviation: TimeSpan,
}

/// The moving averages of the durations of complete requests, by route.
///
/// The averages are those of the round-trip times in TCP (RFC 6298).
#[derive(Clone, Debug, Default)]
pub struct DurationTable(BTreeMap<SmolStr, DurationRow>);

impl DurationTable {
    /// Records how long a complete request of a route took.
    pub fn record(&mut self, route: &SmolStr, took: TimeSpan) {
        let Some(row) = self.0.get_mut(route) else {
            if self.0.len() >= MAX_ROUTES {
                self.0.clear();
            }
            let row = DurationRow {
                mean: took,
                deviation: TimeSpan::ZERO,
            };
            self.0.insert(route.clone(), row);
            return;
        };
        let off = took.0.abs_diff(row.mean.0);
        row.deviation = average(row.deviation, TimeSpan(off), DEVIATION_WEIGHT);
        row.mean = average(row.mean, took, MEAN_WEIGHT);
    }

    /// Returns how long a request of a route takes unless it is unusually long; `None` if the route
    /// has completed none.
    pub fn expected(&self, route: &str) -> Option<TimeSpan> {
        let row = self.0.get(route)?;
        Some(row.mean + TimeSpan(row.deviation.0 * DEVIATIONS))
    }
}

fn average(previous: TimeSpan, sample: TimeSpan, weight: u64) -> TimeSpan {
    TimeSpan((previous.0 * weight + sample.0) / (weight + 1))
}
