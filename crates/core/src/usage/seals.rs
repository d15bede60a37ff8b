//! The sealed windows that late usage may still refer to.

use std::collections::BTreeMap;

use super::record::{SealRecord, ORIGIN};
use super::{UsageAggregator, UsageFigure, UsageKey, UsageTotals};
use crate::claim::store::StoreVersion;
use crate::id::WindowId;

/// A sealed window as it is stored.
#[derive(Debug)]
pub(super) struct StoredSeal {
    pub(super) record: SealRecord,
    pub(super) version: StoreVersion,
}

/// The figures of a window to seal.
#[derive(Debug)]
pub(super) struct SealFigures {
    /// Usage of the window itself.
    pub(super) due: Vec<UsageFigure>,
    /// Usage of earlier windows that came after their sealing.
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

    /// Returns the oldest window whose late usage is still taken.
    pub(super) fn keep_from(&self) -> WindowId {
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

    /// Goes on after the last sealed window; `false` where nothing is sealed.
    ///
    /// A window is sealed only after the one before it was reported, so that an
    /// earlier record without reports came too late, from a stale holder.
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

    /// Returns what is to be sealed next: usage of the window, and late usage.
    pub(super) fn figures(&self, merged: &UsageAggregator) -> SealFigures {
        let sealed = self.sealed();
        let sums = merged.sums(self.keep_from(), self.next);
        let open = sums.into_iter().map(|(key, totals)| {
            let before = sealed.get(&key).copied().unwrap_or_default();
            UsageFigure {
                key,
                totals: totals.less(before),
            }
        });
        let open = open.filter(|figure| !figure.totals.is_zero());
        let (due, late) = open.partition(|figure| figure.key.window == self.next);
        SealFigures { due, late }
    }

    /// Returns what has been sealed of each key, on time or late.
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

    /// Forgets the reported seals that no late usage refers to, and returns them.
    ///
    /// One more window is kept, so that a record is gone only after its usage
    /// has been forgotten; the first record stays, since it must not be made anew.
    pub(super) fn forget_old(&mut self) -> Vec<StoredSeal> {
        let keep_from = self.keep_from();
        let old = |window: &WindowId| *window != ORIGIN && window.next() < keep_from;
        let gone = self
            .seals
            .extract_if(.., |window, seal| old(window) && seal.record.reported);
        gone.map(|(_, seal)| seal).collect()
    }
}
