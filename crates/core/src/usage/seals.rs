//! The sealed windows for which late usage is still accepted.

use std::collections::BTreeMap;

use super::record::{SealRecord, ORIGIN};
use super::{UsageAggregator, UsageFigure, UsageKey, UsageTotals};
use crate::claim::store::StoreVersion;
use crate::id::WindowId;

/// A sealed window with the version of its record in the store.
#[derive(Debug)]
pub(super) struct StoredSeal {
    pub(super) record: SealRecord,
    pub(super) version: StoreVersion,
}

/// The usage figures that a window is sealed with.
#[derive(Debug)]
pub(super) struct WindowFigures {
    /// Usage of the window itself, collected in time.
    pub(super) due: Vec<UsageFigure>,
    /// Usage of earlier windows that arrived after they were sealed.
    pub(super) late: Vec<UsageFigure>,
}

/// The sealed windows, and the next one to seal.
#[derive(Debug)]
pub(super) struct SealTable {
    late_windows: u64,
    seals: BTreeMap<WindowId, StoredSeal>,
    next: WindowId,
}

impl SealTable {
    pub(super) fn new(late_windows: u64) -> Self {
        Self {
            late_windows,
            seals: BTreeMap::new(),
            next: WindowId::default(),
        }
    }

    pub(super) fn next(&self) -> WindowId {
        self.next
    }

    /// Returns the oldest window for which late usage is still accepted.
    pub(super) fn retain_from(&self) -> WindowId {
        WindowId(self.next.0.saturating_sub(self.late_windows))
    }

    pub(super) fn get(&self, window: WindowId) -> Option<&StoredSeal> {
        self.seals.get(&window)
    }

    pub(super) fn insert(&mut self, record: SealRecord, version: StoreVersion) {
        self.next = record.next;
        let window = record.window;
        self.seals.insert(window, StoredSeal { record, version });
    }

    /// Sets the next window from the last sealed one; returns `false` if nothing is sealed.
    ///
    /// A window is sealed only after the one before it was reported. An unreported
    /// record before the last one was therefore written too late, by a lease holder
    /// that had been superseded, and is discarded.
    pub(super) fn resume(&mut self) -> bool {
        let Some((last, seal)) = self.seals.last_key_value() else {
            return false;
        };
        let last = *last;
        self.next = seal.record.next;
        self.seals
            .retain(|window, seal| seal.record.reported || *window == last);
        true
    }

    pub(super) fn unreported(&self) -> Option<&SealRecord> {
        let mut records = self.seals.values().map(|seal| &seal.record);
        records.find(|record| !record.reported)
    }

    pub(super) fn mark_reported(&mut self, window: WindowId, version: StoreVersion) {
        if let Some(seal) = self.seals.get_mut(&window) {
            seal.record.reported = true;
            seal.version = version;
        }
    }

    /// Returns the figures for the next window: the aggregated totals minus what is already sealed.
    pub(super) fn figures(&self, merged: &UsageAggregator) -> WindowFigures {
        let sealed = self.sealed();
        let sums = merged.sums(self.retain_from(), self.next);
        let unsealed = sums.into_iter().map(|(key, totals)| {
            let already_sealed = sealed.get(&key).copied().unwrap_or_default();
            UsageFigure {
                key,
                totals: totals.minus(already_sealed),
            }
        });
        let unsealed = unsealed.filter(|figure| !figure.totals.is_zero());
        let (due, late) = unsealed.partition(|figure| figure.key.window == self.next);
        WindowFigures { due, late }
    }

    /// Returns the sealed usage of each key, both in time and late.
    fn sealed(&self) -> BTreeMap<UsageKey, UsageTotals> {
        let mut sealed: BTreeMap<UsageKey, UsageTotals> = BTreeMap::new();
        for seal in self.seals.values() {
            for figure in seal.record.due.iter().chain(&seal.record.late) {
                let sum = sealed.entry(figure.key.clone()).or_default();
                *sum = sum.plus(figure.totals);
            }
        }
        sealed
    }

    /// Removes and returns the reported windows for which late usage is no longer accepted.
    ///
    /// One more window is retained, so that a record is deleted only after the
    /// aggregators have dropped its usage and it cannot be billed again. The origin
    /// record stays, since it must not be created a second time.
    pub(super) fn remove_expired(&mut self) -> Vec<StoredSeal> {
        let retain_from = self.retain_from();
        let expired = |window: &WindowId| *window != ORIGIN && window.next() < retain_from;
        let removed = self
            .seals
            .extract_if(.., |window, seal| expired(window) && seal.record.reported);
        removed.map(|(_, seal)| seal).collect()
    }
}
