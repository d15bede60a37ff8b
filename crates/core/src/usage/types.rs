//! The figures of usage and the messages about them.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::claim::store::{CallNumber, StoreCall, StoreCompletion};
use crate::claim::write::WriteTiming;
use crate::id::{FencingNumber, InstanceId, ServiceId, TeamId, WindowId};
use crate::lease::HolderName;
use crate::unit::{TimeSpan, TokenCount};

/// The name of one run of a meter; a restarted one counts from zero under another name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MeterName(SmolStr);

impl MeterName {
    /// Names the run `incarnation` of a process.
    pub fn new(instance: &InstanceId, incarnation: u64) -> Self {
        Self(format_smolstr!("{instance}:{incarnation}"))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for MeterName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for MeterName {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self(SmolStr::new(text)))
    }
}

/// What usage is counted by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageKey {
    /// The window in which it was counted.
    pub window: WindowId,
    /// The team that used.
    pub team: TeamId,
    /// The service that was used.
    pub service: ServiceId,
}

/// How much was used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageTotals {
    /// Tokens of prompts.
    pub prompt_tokens: TokenCount,
    /// Tokens of answers.
    pub answer_tokens: TokenCount,
    /// Requests.
    pub requests: u64,
}

impl UsageTotals {
    /// Returns whether nothing was used.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
            answer_tokens: self.answer_tokens + other.answer_tokens,
            requests: self.requests + other.requests,
        }
    }

    pub(super) fn less(self, other: Self) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
            answer_tokens: self.answer_tokens.saturating_sub(other.answer_tokens),
            requests: self.requests.saturating_sub(other.requests),
        }
    }

    /// Running totals only grow, so that the larger one is the later one.
    pub(super) fn later(self, other: Self) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens.max(other.prompt_tokens),
            answer_tokens: self.answer_tokens.max(other.answer_tokens),
            requests: self.requests.max(other.requests),
        }
    }
}

/// The running totals of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageFigure {
    /// What it is counted by.
    pub key: UsageKey,
    /// How much it is.
    pub totals: UsageTotals,
}

/// Running totals of one meter; taking them twice changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageBatch {
    /// Who counted.
    pub meter: MeterName,
    /// What was counted, since the meter began.
    pub figures: Vec<UsageFigure>,
}

/// The name of a report, equal in every repeat of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReportId(SmolStr);

impl ReportId {
    pub(super) fn new(key: &UsageKey, late: bool) -> Self {
        let UsageKey {
            window,
            team,
            service,
        } = key;
        let kind = if late { "late" } else { "due" };
        Self(format_smolstr!("{window}/{team}/{service}/{kind}"))
    }
}

impl fmt::Display for ReportId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for ReportId {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self(SmolStr::new(text)))
    }
}

/// A report to the platform, which bills by it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Its name.
    pub id: ReportId,
    /// What it is about.
    pub key: UsageKey,
    /// The sealed figure.
    pub totals: UsageTotals,
    /// Whether it is usage of earlier windows that came after their sealing.
    pub late: bool,
}

/// The times and sizes of a sealer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SealerOptions {
    /// For how many windows late usage is still taken.
    pub late_windows: u64,
    /// How long both keepers are waited for before a window is sealed without one.
    pub collect_timeout: TimeSpan,
    /// How long an answer is waited for.
    pub call_timeout: TimeSpan,
    /// The time between a failed call and the next.
    pub backoff: TimeSpan,
    /// How many records one page of a list holds.
    pub page_size: usize,
}

impl SealerOptions {
    pub(super) fn write_times(&self) -> WriteTiming {
        WriteTiming {
            timeout: self.call_timeout,
            backoff: self.backoff,
        }
    }
}

impl Default for SealerOptions {
    fn default() -> Self {
        Self {
            late_windows: 24,
            collect_timeout: TimeSpan::from_secs(20),
            call_timeout: TimeSpan::from_secs(2),
            backoff: TimeSpan::from_millis(500),
            page_size: 8,
        }
    }
}

/// What the sealer is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SealerEvent {
    /// The store has answered.
    StoreCompleted(StoreCompletion),
    /// The keepers have given what they have.
    UsageCollected {
        /// The call that it answers.
        call: CallNumber,
        /// What they have.
        batches: Vec<UsageBatch>,
        /// Whether every keeper has answered.
        complete: bool,
    },
    /// The platform has answered a report.
    ReportAnswered {
        /// The call that it answers.
        call: CallNumber,
        /// Whether it has taken the report; `false` also where no answer came.
        accepted: bool,
    },
}

/// What the sealer wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SealerAction {
    /// Call the platform's key-value service.
    Store(StoreCall),
    /// Ask the keepers for all they have from `from` on.
    Collect {
        /// Finds the answer's place.
        call: CallNumber,
        /// The oldest window of interest.
        from: WindowId,
    },
    /// Send a report to the platform, in this step.
    Report {
        /// Finds the answer's place.
        call: CallNumber,
        /// The report.
        report: UsageReport,
        /// Who sends it.
        holder: HolderName,
        /// The number under which it is sent.
        fencing: FencingNumber,
    },
    /// A window is sealed and wholly reported; keepers may forget all before `keep_from`.
    Closed {
        /// The window.
        window: WindowId,
        /// The oldest window whose late usage is still taken.
        keep_from: WindowId,
    },
}
