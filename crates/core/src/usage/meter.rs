//! The meter beside a backend server.

use std::collections::BTreeMap;

use super::{MeterName, UsageBatch, UsageFigure, UsageKey, UsageTotals};
use crate::id::{InstanceId, WindowId};

/// A position in a meter's changes; what a keeper has up to it need not be sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MeterPosition(u64);

#[derive(Debug)]
struct MeterRow {
    totals: UsageTotals,
    changed: MeterPosition,
}

/// Counts usage as running totals.
#[derive(Debug)]
pub struct UsageMeter {
    name: MeterName,
    rows: BTreeMap<UsageKey, MeterRow>,
    mark: MeterPosition,
    acked: BTreeMap<InstanceId, MeterPosition>,
}

impl UsageMeter {
    /// A meter that has counted nothing.
    pub fn new(name: MeterName) -> Self {
        Self {
            name,
            rows: BTreeMap::new(),
            mark: MeterPosition::default(),
            acked: BTreeMap::new(),
        }
    }

    /// Counts `totals` more.
    pub fn add(&mut self, key: UsageKey, totals: UsageTotals) {
        self.mark.0 += 1;
        let changed = self.mark;
        let row = self.rows.entry(key).or_insert(MeterRow {
            totals: UsageTotals::default(),
            changed,
        });
        row.totals = row.totals.plus(totals);
        row.changed = changed;
    }

    /// Returns what `keeper` does not have, and the mark to acknowledge it by.
    pub fn batch_for(&self, keeper: &InstanceId) -> (UsageBatch, MeterPosition) {
        let acked = self.acked.get(keeper).copied().unwrap_or_default();
        let rows = self.rows.iter().filter(|(_, row)| row.changed > acked);
        let figures = rows.map(|(key, row)| UsageFigure {
            key: key.clone(),
            totals: row.totals,
        });
        let batch = UsageBatch {
            meter: self.name.clone(),
            figures: figures.collect(),
        };
        (batch, self.mark)
    }

    /// Notes that `keeper` has everything up to `mark`.
    pub fn acknowledge(&mut self, keeper: &InstanceId, mark: MeterPosition) {
        let acked = self.acked.entry(keeper.clone()).or_default();
        *acked = mark.max(*acked);
    }

    /// Forgets what a keeper had; a restarted keeper is sent everything.
    pub fn forget_aggregator(&mut self, keeper: &InstanceId) {
        self.acked.remove(keeper);
    }

    /// Forgets the windows before `keep_from`.
    pub fn forget_before(&mut self, keep_from: WindowId) {
        self.rows.retain(|key, _| key.window >= keep_from);
    }

    /// Returns whether every row has reached at least `copies` keepers.
    pub fn is_replicated(&self, copies: usize) -> bool {
        let mark = self.rows.values().map(|row| row.changed).max();
        let Some(mark) = mark else {
            return true;
        };
        self.acked.values().filter(|acked| **acked >= mark).count() >= copies
    }
}
