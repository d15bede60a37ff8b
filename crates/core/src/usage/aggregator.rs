//! The keeper of usage, in an entry.

use std::collections::BTreeMap;

use super::{MeterName, UsageBatch, UsageFigure, UsageKey, UsageTotals};
use crate::id::WindowId;

/// Keeps the running totals of every meter, merged by the larger figure.
#[derive(Clone, Debug, Default)]
pub struct UsageAggregator {
    rows: BTreeMap<MeterName, BTreeMap<UsageKey, UsageTotals>>,
    keep_from: WindowId,
}

impl UsageAggregator {
    /// A keeper that has nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a batch, from a meter or from another keeper.
    pub fn merge(&mut self, batch: UsageBatch) {
        let keep_from = self.keep_from;
        let rows = self.rows.entry(batch.meter).or_default();
        for figure in batch.figures {
            if figure.key.window < keep_from {
                continue;
            }
            let totals = rows.entry(figure.key).or_default();
            *totals = totals.later(figure.totals);
        }
    }

    /// Returns what is kept from the window `from` on.
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

    /// Returns the sums over all meters, from the window `from` up to `to`.
    pub fn sums(&self, from: WindowId, to: WindowId) -> BTreeMap<UsageKey, UsageTotals> {
        let mut sums: BTreeMap<UsageKey, UsageTotals> = BTreeMap::new();
        let rows = self.rows.values().flatten();
        for (key, totals) in rows.filter(|(key, _)| key.window >= from && key.window <= to) {
            let sum = sums.entry(key.clone()).or_default();
            *sum = sum.plus(*totals);
        }
        sums
    }

    /// Forgets the windows before `keep_from`, and takes no more of them.
    pub fn forget_before(&mut self, keep_from: WindowId) {
        self.keep_from = keep_from.max(self.keep_from);
        for rows in self.rows.values_mut() {
            rows.retain(|key, _| key.window >= keep_from);
        }
        self.rows.retain(|_, rows| !rows.is_empty());
    }
}
