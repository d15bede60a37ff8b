//! Usage figures, reports, and the events and actions of the sealer.

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

/// The name of one incarnation of a meter.
///
/// A restarted meter counts from zero under a new name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MeterName(SmolStr);

impl MeterName {
    /// Returns the name for the incarnation `incarnation` of the process on `instance`.
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

/// The key by which usage is counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageKey {
    /// The window in which the usage was counted.
    pub window: WindowId,
    /// The team that is billed.
    pub team: TeamId,
    /// The service that the team called.
    pub service: ServiceId,
}

/// Amounts of usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageTotals {
    /// Prompt tokens.
    pub prompt_tokens: TokenCount,
    /// Generated tokens.
    pub answer_tokens: TokenCount,
    /// Completed requests.
    pub requests: u64,
}

impl UsageTotals {
    /// Returns whether all amounts are zero.
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

    pub(super) fn minus(self, other: Self) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
            answer_tokens: self.answer_tokens.saturating_sub(other.answer_tokens),
            requests: self.requests.saturating_sub(other.requests),
        }
    }

    /// Merges two readings of the same running totals.
    ///
    /// Running totals only grow, so the larger value is the later one.
    pub(super) fn max(self, other: Self) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens.max(other.prompt_tokens),
            answer_tokens: self.answer_tokens.max(other.answer_tokens),
            requests: self.requests.max(other.requests),
        }
    }
}

/// The totals of one key: running totals in a batch, sealed amounts in a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageFigure {
    /// The key.
    pub key: UsageKey,
    /// The amounts.
    pub totals: UsageTotals,
}

/// Running totals of one meter. Merging a batch twice changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageBatch {
    /// The meter that counted.
    pub meter: MeterName,
    /// The totals since the meter started.
    pub figures: Vec<UsageFigure>,
}

/// The id of a report, identical each time the report is sent.
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

/// A usage report to the platform, which bills the team for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The id of the report.
    pub id: ReportId,
    /// The window, team and service.
    pub key: UsageKey,
    /// The sealed amounts.
    pub totals: UsageTotals,
    /// Whether this is usage of earlier windows that arrived after they were sealed.
    pub late: bool,
}

/// Timeouts and limits of a sealer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SealerOptions {
    /// The number of past windows for which late usage is accepted.
    pub late_windows: u64,
    /// How long to wait for all aggregators before a window is sealed without the missing ones.
    pub collect_timeout: TimeSpan,
    /// How long to wait for the response to a call.
    pub call_timeout: TimeSpan,
    /// The delay between a failed call and the next one.
    pub backoff: TimeSpan,
    /// The number of records that one page of a store listing holds.
    pub page_size: usize,
}

impl SealerOptions {
    pub(super) fn write_timing(&self) -> WriteTiming {
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

/// An input of the sealer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SealerEvent {
    /// A store call has completed.
    StoreCompleted(StoreCompletion),
    /// The aggregators have returned their totals.
    UsageCollected {
        /// The number of the call that has completed.
        call: CallNumber,
        /// The totals that they returned.
        batches: Vec<UsageBatch>,
        /// Whether every aggregator has responded.
        complete: bool,
    },
    /// The platform has responded to a report, or the call has failed.
    ReportAnswered {
        /// The number of the call that has completed.
        call: CallNumber,
        /// Whether the platform has accepted the report; `false` also without a response.
        accepted: bool,
    },
}

/// An action that the caller carries out for the sealer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SealerAction {
    /// Call the platform's key-value service.
    Store(StoreCall),
    /// Collect the totals of the window `from` and later ones from all aggregators.
    Collect {
        /// The number that the response is matched by.
        call: CallNumber,
        /// The oldest window to collect.
        from: WindowId,
    },
    /// Send a report to the platform, at once, while the authority holds.
    Report {
        /// The number that the response is matched by.
        call: CallNumber,
        /// The report.
        report: UsageReport,
        /// The lease holder that sends it.
        holder: HolderName,
        /// The fencing number under which it is sent.
        fencing: FencingNumber,
    },
    /// A window is sealed and completely reported.
    ///
    /// Meters and aggregators may forget all windows before `keep_from`.
    Closed {
        /// The window.
        window: WindowId,
        /// The oldest window for which late usage is still accepted.
        keep_from: WindowId,
    },
}
