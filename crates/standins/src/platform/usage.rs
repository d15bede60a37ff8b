//! Usage reports. Each combination of window, team and service is billed once, and late
//! usage once more.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Usage of a service by a team in a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Identifier of the report.
    pub report_id: String,
    /// Number of the usage window.
    pub window: u64,
    /// Team that is billed.
    pub team: String,
    /// Service that was used.
    pub service: String,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub answer_tokens: u64,
    /// Number of requests.
    pub requests: u64,
    /// Whether this is usage that arrived after an earlier window was closed.
    pub late: bool,
    /// Identifier of the lease holder that sent the report.
    pub holder: String,
    /// Fencing number of that lease.
    pub fencing: u64,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct BillKey {
    window: u64,
    team: String,
    service: String,
    late: bool,
}

impl UsageReport {
    fn key(&self) -> BillKey {
        BillKey {
            window: self.window,
            team: self.team.clone(),
            service: self.service.clone(),
            late: self.late,
        }
    }

    fn has_same_figures(&self, other: &Self) -> bool {
        self.prompt_tokens == other.prompt_tokens
            && self.answer_tokens == other.answer_tokens
            && self.requests == other.requests
    }
}

/// A report whose figures differ from the billed ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageViolation {
    /// Report that was billed.
    pub billed: UsageReport,
    /// Later report with different figures.
    pub reported: UsageReport,
}

/// Outcome of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UsageOutcome {
    Billed,
    Duplicate,
    Violation,
}

/// All billed reports, duplicates and violations so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageView {
    /// Billed reports, in the order of arrival.
    pub reports: Vec<UsageReport>,
    /// Number of duplicates with the billed figures.
    pub repeats: u64,
    /// Reports whose figures differ from the billed ones.
    pub violations: Vec<UsageViolation>,
}

/// Billed reports, indexed by what they bill.
#[derive(Default)]
pub(crate) struct UsageLedger {
    bills: BTreeMap<BillKey, usize>,
    view: UsageView,
}

impl UsageLedger {
    pub(crate) fn report(&mut self, report: UsageReport) -> UsageOutcome {
        let key = report.key();
        let Some(index) = self.bills.get(&key) else {
            self.bills.insert(key, self.view.reports.len());
            self.view.reports.push(report);
            return UsageOutcome::Billed;
        };
        let billed = &self.view.reports[*index];
        if billed.has_same_figures(&report) {
            self.view.repeats += 1;
            return UsageOutcome::Duplicate;
        }
        let violation = UsageViolation {
            billed: billed.clone(),
            reported: report,
        };
        self.view.violations.push(violation);
        UsageOutcome::Violation
    }

    pub(crate) fn view(&self) -> &UsageView {
        &self.view
    }
}
