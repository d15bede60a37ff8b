//! Retry decisions after a failed attempt.
//!
//! A request that may have run is retried only if its route allows that. A refusal states "not
//! run" only if this is known of every attempt.

use crate::code::{CallRefusal, ResultCode};
use crate::direct::RetryRule;
use crate::retry::RetryBudget;
use crate::unit::TimeSpan;

/// The outcome of an attempt that did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request was sent, for example because no connection could be made.
    NotSent,
    /// The backend server refused the request and stated that it did not run it.
    NotRun {
        /// Whether the request reached another backend server, which has taken over the address.
        misdirected: bool,
    },
    /// The request was sent, and the connection was closed or reset before a complete response came.
    Broken,
    /// The request was sent, and the backend server fell silent: no response within the time that a
    /// retry leaves, or nothing acknowledged until the connection was given up.
    Silent,
    /// The request was sent, and what came back is no valid response.
    Invalid,
    /// The backend server ran the request and responded with an error.
    Failed,
    /// No response came before the request's deadline.
    TimedOut,
}

impl AttemptEnd {
    /// Returns whether the request may have crashed the backend server. A process that ends closes
    /// its connections. One that is silent may be frozen or cut off, and one that sends invalid bytes
    /// still runs. See
    /// [docs/design/quarantine.md](../../../../docs/design/quarantine.md#what-counts-as-a-crash).
    pub const fn is_crash_evidence(self) -> bool {
        matches!(self, Self::Broken)
    }

    /// Returns whether the request was sent and its response lost, so that it has run in most cases.
    pub const fn is_lost_response(self) -> bool {
        matches!(self, Self::Broken | Self::Silent | Self::Invalid)
    }
}

/// Limits on the attempts at one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// The most backend servers that may run the request.
    pub max_runs: u32,
    /// The most attempts in all, including those that did not run.
    pub max_sends: u32,
    /// The time that must be left before the deadline for another attempt.
    pub min_time_left: TimeSpan,
    /// The time after which callers may retry a refused request.
    pub retry_after: TimeSpan,
}

/// The attempts at one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProgress {
    /// Attempts that were started.
    pub sends: u32,
    /// Attempts that reached a backend server, or may have.
    pub arrivals: u32,
    /// Attempts that ran, or may have.
    pub runs: u32,
}

/// The step that follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another backend server.
    Retry,
    /// Relay the backend server's error response to the caller.
    Relay,
    /// Respond with this refusal.
    Refuse(CallRefusal),
}

impl RequestProgress {
    /// Returns whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Records the start of an attempt.
    pub fn begin(&mut self) {
        self.sends += 1;
    }

    /// Records the outcome of an attempt and returns the next step. A retry is paid from `budget`,
    /// unless no attempt has reached a backend server yet.
    pub fn decide(
        &mut self,
        end: AttemptEnd,
        retry_rule: RetryRule,
        limits: &AttemptLimits,
        time_left: TimeSpan,
        budget: &mut RetryBudget,
    ) -> NextStep {
        self.record(end);
        let retry_allowed = !self.may_have_run() || retry_rule.allows_retry();
        let runs_left = self.runs < limits.max_runs;
        let sends_left = self.sends < limits.max_sends;
        let has_time = time_left >= limits.min_time_left && end != AttemptEnd::TimedOut;
        if retry_allowed && runs_left && sends_left && has_time && self.pay_retry(budget) {
            return NextStep::Retry;
        }
        self.give_up(end, limits)
    }

    /// Records the outcome of an attempt beside which another one is in flight.
    pub fn record(&mut self, end: AttemptEnd) {
        match end {
            AttemptEnd::NotSent => {}
            AttemptEnd::NotRun { .. } => self.arrivals += 1,
            AttemptEnd::Broken
            | AttemptEnd::Silent
            | AttemptEnd::Invalid
            | AttemptEnd::Failed
            | AttemptEnd::TimedOut => {
                self.arrivals += 1;
                self.runs += 1;
            }
        }
    }

    /// Records an attempt that was cancelled before its outcome was known. It may have run.
    pub fn record_cancelled(&mut self) {
        self.arrivals += 1;
        self.runs += 1;
    }

    /// Withdraws a retry from the budget and returns whether it was granted. Until an attempt has
    /// reached a backend server, the next one adds no load there and is free.
    fn pay_retry(&self, budget: &mut RetryBudget) -> bool {
        self.arrivals == 0 || budget.try_withdraw()
    }

    fn give_up(&self, end: AttemptEnd, limits: &AttemptLimits) -> NextStep {
        if end == AttemptEnd::Failed {
            return NextStep::Relay;
        }
        if !self.may_have_run() {
            let code = match end {
                AttemptEnd::NotRun { misdirected: false } => ResultCode::BackendBusy,
                _ => ResultCode::BackendMissing,
            };
            return NextStep::Refuse(CallRefusal::retryable(code, limits.retry_after));
        }
        let code = match end {
            AttemptEnd::TimedOut => ResultCode::OutcomeUnknown,
            _ => ResultCode::AnswerBroken,
        };
        NextStep::Refuse(CallRefusal::permanent(code))
    }
}
