//! What follows a failed attempt.
//!
//! An attempt that may have run is repeated only where the route allows it, and
//! a refusal says "not run" only where that is known of every attempt.

use crate::code::{CallRefusal, ResultCode};
use crate::direct::RetryRule;
use crate::retry::RetryBudget;
use crate::unit::TimeSpan;

/// How an attempt ended that gave the caller no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of it left, as no connection could be made.
    NotSent,
    /// The backend server says that it has not run it, and when to come back.
    NotRun {
        /// Whether another backend server had taken the address.
        misdirected: bool,
    },
    /// It was sent, and no whole answer came.
    Broken,
    /// The backend server ran it and answered with a failure.
    Failed,
    /// It took longer than it may.
    TimedOut,
}

/// How often a request may be attempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// At how many backend servers it may run.
    pub max_runs: u32,
    /// How many attempts may be made in all, those that did not run included.
    pub max_sends: u32,
    /// The least time that makes another attempt worth it.
    pub min_time_left: TimeSpan,
    /// When callers may return after a refusal.
    pub retry_after: TimeSpan,
}

/// The attempts at one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProgress {
    /// Attempts that were begun.
    pub sends: u32,
    /// Attempts that arrived at a backend server, or may have.
    pub arrivals: u32,
    /// Attempts that ran, or may have.
    pub runs: u32,
}

/// What is done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another backend server.
    Retry,
    /// Pass on the failure that the backend server answered with.
    Relay,
    /// Answer with this refusal.
    Refuse(CallRefusal),
}

impl RequestProgress {
    /// Returns whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Notes that an attempt begins.
    pub fn begin(&mut self) {
        self.sends += 1;
    }

    /// Decides what follows an attempt; another one draws on `budget`.
    pub fn decide(
        &mut self,
        end: AttemptEnd,
        retry_rule: RetryRule,
        limits: &AttemptLimits,
        time_left: TimeSpan,
        budget: &mut RetryBudget,
    ) -> NextStep {
        self.note(end);
        let allowed = !self.may_have_run() || retry_rule.allows_retry();
        let runs_left = self.runs < limits.max_runs;
        let sends_left = self.sends < limits.max_sends;
        let time_left = time_left >= limits.min_time_left && end != AttemptEnd::TimedOut;
        if allowed && runs_left && sends_left && time_left && self.afford(budget) {
            return NextStep::Retry;
        }
        self.give_up(end, limits)
    }

    fn note(&mut self, end: AttemptEnd) {
        match end {
            AttemptEnd::NotSent => {}
            AttemptEnd::NotRun { .. } => self.arrivals += 1,
            AttemptEnd::Broken | AttemptEnd::Failed | AttemptEnd::TimedOut => {
                self.arrivals += 1;
                self.runs += 1;
            }
        }
    }

    /// Only what follows an arrival can become a repeated one.
    fn afford(&self, budget: &mut RetryBudget) -> bool {
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
