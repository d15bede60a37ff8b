//! The stored form of sealed windows.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{ReportId, UsageFigure, UsageKey, UsageReport, UsageTotals};
use crate::claim::store::StoreKey;
use crate::id::{FencingNumber, WindowId};
use crate::lease::HolderName;

/// The window number of the origin record, which precedes all sealed windows.
pub(super) const ORIGIN: WindowId = WindowId(0);

/// A sealed window. Only its `reported` flag changes after it is written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SealRecord {
    pub(super) window: WindowId,
    /// The window to seal after this one.
    pub(super) next: WindowId,
    pub(super) holder: HolderName,
    pub(super) fencing: FencingNumber,
    /// Usage of the window itself, collected in time.
    pub(super) due: Vec<UsageFigure>,
    /// Usage of earlier windows that arrived after they were sealed.
    pub(super) late: Vec<UsageFigure>,
    pub(super) reported: bool,
}

impl SealRecord {
    pub(super) fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    pub(super) fn value(&self) -> String {
        serde_json::to_string(self).expect("records hold only text, numbers and lists")
    }

    /// Creates the origin record, which fixes `first` as the first window to seal.
    pub(super) fn origin(first: WindowId, holder: HolderName, fencing: FencingNumber) -> Self {
        Self {
            window: ORIGIN,
            next: first,
            holder,
            fencing,
            due: Vec::new(),
            late: Vec::new(),
            reported: true,
        }
    }

    /// Returns the reports of the window.
    ///
    /// They depend on the record alone, so every process that sends them sends the same.
    /// Late usage of several windows is added up and reported under this window.
    pub(super) fn reports(&self) -> Vec<UsageReport> {
        let mut late: BTreeMap<UsageKey, UsageTotals> = BTreeMap::new();
        for figure in &self.late {
            let key = UsageKey {
                window: self.window,
                ..figure.key.clone()
            };
            let sum = late.entry(key).or_default();
            *sum = sum.plus(figure.totals);
        }
        let due = self
            .due
            .iter()
            .map(|figure| (figure.key.clone(), figure.totals));
        let due = due.map(|(key, totals)| report(key, totals, false));
        let late = late
            .into_iter()
            .map(|(key, totals)| report(key, totals, true));
        due.chain(late).collect()
    }
}

fn report(key: UsageKey, totals: UsageTotals, late: bool) -> UsageReport {
    let id = ReportId::new(&key, late);
    UsageReport {
        id,
        key,
        totals,
        late,
    }
}

pub(super) fn seal_prefix() -> StoreKey {
    StoreKey::new("usage/")
}

pub(super) fn seal_key(window: WindowId) -> StoreKey {
    let number = window.0;
    StoreKey::new(format!("usage/{number:012}"))
}
