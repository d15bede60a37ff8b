//! Usage reports: each window, team and service is billed once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A report of what a team has used of a service in a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The report's name.
    pub report_id: String,
    /// The window.
    pub window: u64,
    /// The team that pays.
    pub team: String,
    /// The service used.
    pub service: String,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Tokens of answers.
    pub answer_tokens: u64,
    /// Requests.
    pub requests: u64,
    /// Whether the use came after an earlier window was closed.
    pub late: bool,
    /// Who reports.
    pub holder: String,
    /// Under which number.
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

    fn has_figures_of(&self, other: &Self) -> bool {
        self.prompt_tokens == other.prompt_tokens
            && self.answer_tokens == other.answer_tokens
            && self.requests == other.requests
    }
}

/// A report that differs from what was billed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageViolation {
    /// What was billed.
    pub billed: UsageReport,
    /// What came later.
    pub reported: UsageReport,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UsageOutcome {
    Billed,
    Repeated,
    Violated,
}

/// All reports so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageView {
    /// What was billed, in the order of arrival.
    pub reports: Vec<UsageReport>,
    /// How many equal repeats came.
    pub repeats: u64,
    /// What differed.
    pub violations: Vec<UsageViolation>,
}

/// The bills.
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
        if billed.has_figures_of(&report) {
            self.view.repeats += 1;
            return UsageOutcome::Repeated;
        }
        let violation = UsageViolation {
            billed: billed.clone(),
            reported: report,
        };
        self.view.violations.push(violation);
        UsageOutcome::Violated
    }

    pub(crate) fn view(&self) -> &UsageView {
        &self.view
    }
}
