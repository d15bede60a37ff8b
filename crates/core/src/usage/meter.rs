//! The usage meter beside a backend server.

use std::collections::BTreeMap;

use super::{MeterName, UsageBatch, UsageFigure, UsageKey, UsageTotals};
use crate::id::{InstanceId, WindowId};

/// A position in a meter's sequence of changes.
///
/// An aggregator that has acknowledged a position is sent only later changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MeterPosition(u64);

#[derive(Debug)]
struct MeterRow {
    totals: UsageTotals,
    last_change: MeterPosition,
}

/// Counts the usage of one backend server as running totals and tracks which
/// aggregators have received them.
#[derive(Debug)]
pub struct UsageMeter {
    name: MeterName,
    rows: BTreeMap<UsageKey, MeterRow>,
    position: MeterPosition,
    acknowledged: BTreeMap<InstanceId, MeterPosition>,
}

impl UsageMeter {
    /// Creates a meter without usage.
    pub fn new(name: MeterName) -> Self {
        Self {
            name,
            rows: BTreeMap::new(),
            position: MeterPosition::default(),
            acknowledged: BTreeMap::new(),
        }
    }

    /// Adds `totals` to the running totals of `key`.
    pub fn add(&mut self, key: UsageKey, totals: UsageTotals) {
        self.position.0 += 1;
        let last_change = self.position;
        let row = self.rows.entry(key).or_insert(MeterRow {
            totals: UsageTotals::default(),
            last_change,
        });
        row.totals = row.totals.plus(totals);
        row.last_change = last_change;
    }

    /// Returns the rows that `aggregator` has not acknowledged, and the position to acknowledge.
    pub fn batch_for(&self, aggregator: &InstanceId) -> (UsageBatch, MeterPosition) {
        let acknowledged = self
            .acknowledged
            .get(aggregator)
            .copied()
            .unwrap_or_default();
        let rows = self
            .rows
            .iter()
            .filter(|(_, row)| row.last_change > acknowledged);
        let figures = rows.map(|(key, row)| UsageFigure {
            key: key.clone(),
            totals: row.totals,
        });
        let batch = UsageBatch {
            meter: self.name.clone(),
            figures: figures.collect(),
        };
        (batch, self.position)
    }

    /// Records that `aggregator` has every change up to `position`.
    pub fn acknowledge(&mut self, aggregator: &InstanceId, position: MeterPosition) {
        let acknowledged = self.acknowledged.entry(aggregator.clone()).or_default();
        *acknowledged = position.max(*acknowledged);
    }

    /// Discards the acknowledgements of `aggregator`, which is then sent everything again.
    ///
    /// A restarted aggregator has lost what it acknowledged.
    pub fn forget_aggregator(&mut self, aggregator: &InstanceId) {
        self.acknowledged.remove(aggregator);
    }

    /// Removes the windows before `retain_from`.
    pub fn forget_before(&mut self, retain_from: WindowId) {
        self.rows.retain(|key, _| key.window >= retain_from);
    }

    /// Returns whether at least `copies` aggregators have acknowledged every row.
    pub fn is_replicated(&self, copies: usize) -> bool {
        let position = self.rows.values().map(|row| row.last_change).max();
        let Some(position) = position else {
            return true;
        };
        self.acknowledged
            .values()
            .filter(|acknowledged| **acknowledged >= position)
            .count()
            >= copies
    }
}
