//! Aggregation of usage in an entry.

use std::collections::BTreeMap;

use super::{MeterName, UsageBatch, UsageFigure, UsageKey, UsageTotals};
use crate::id::WindowId;

/// The running totals of every meter, merged by taking the larger value of each counter.
///
/// Merging is idempotent and commutative, so repeated and reordered batches are harmless.
#[derive(Clone, Debug, Default)]
pub struct UsageAggregator {
    rows: BTreeMap<MeterName, BTreeMap<UsageKey, UsageTotals>>,
    retain_from: WindowId,
}

impl UsageAggregator {
    /// Creates an empty aggregator.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a batch from a meter or from another aggregator.
    ///
    /// Figures of windows that were forgotten are ignored.
    pub fn merge(&mut self, batch: UsageBatch) {
        let retain_from = self.retain_from;
        let rows = self.rows.entry(batch.meter).or_default();
        for figure in batch.figures {
            if figure.key.window < retain_from {
                continue;
            }
            let totals = rows.entry(figure.key).or_default();
            *totals = totals.max(figure.totals);
        }
    }

    /// Returns the totals of the window `from` and later ones, one batch per meter.
    pub fn batches(&self, from: WindowId) -> Vec<UsageBatch> {
        let batches = self.rows.iter().map(|(meter, rows)| {
            let rows = rows.iter().filter(|(key, _)| key.window >= from);
            let figures = rows.map(|(key, totals)| UsageFigure {
                key: key.clone(),
                totals: *totals,
            });
            UsageBatch {
                meter: meter.clone(),
                figures: figures.collect(),
            }
        });
        batches.filter(|batch| !batch.figures.is_empty()).collect()
    }

    /// Returns the sums over all meters for the windows `from` to `to`, both included.
    pub fn sums(&self, from: WindowId, to: WindowId) -> BTreeMap<UsageKey, UsageTotals> {
        let mut sums: BTreeMap<UsageKey, UsageTotals> = BTreeMap::new();
        let rows = self.rows.values().flatten();
        for (key, totals) in rows.filter(|(key, _)| key.window >= from && key.window <= to) {
            let sum = sums.entry(key.clone()).or_default();
            *sum = sum.plus(*totals);
        }
        sums
    }

    /// Removes the windows before `retain_from` and ignores later batches for them.
    pub fn forget_before(&mut self, retain_from: WindowId) {
        self.retain_from = retain_from.max(self.retain_from);
        for rows in self.rows.values_mut() {
            rows.retain(|key, _| key.window >= retain_from);
        }
        self.rows.retain(|_, rows| !rows.is_empty());
    }
}
