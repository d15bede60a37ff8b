//! The step after an attempt: finish, retry or refuse.

use applefold_core::code::{CallRefusal, ResultCode, RunState};
use applefold_core::id::AttemptNumber;
use applefold_core::response::{AttemptEnd, NextStep};
use applefold_core::retry::RetryDecision;
use applefold_core::unit::TimeSpan;

use super::{outcome_unknown, RequestDriver, MAX_RUNS, MIN_SERVER_ERROR};

impl RequestDriver<'_> {
    pub(super) async fn next_step(&mut self, number: AttemptNumber, end: AttemptEnd) -> NextStep {
        let failed = self.plan.idempotent && self.writer.status() >= MIN_SERVER_ERROR;
        let end = match end {
            AttemptEnd::Whole if failed && !self.writer.progress().forwarded => AttemptEnd::Broken,
            end => end,
        };
        if !matches!(end, AttemptEnd::NotRun(_)) {
            self.run_count += 1;
        }
        self.awaits_isolation = self.needs_isolation(end);
        let step = self.attempts.end(number, end, self.writer.progress());
        match step.unwrap_or(NextStep::Refuse(outcome_unknown())) {
            NextStep::Finish => {
                self.stored_response = self
                    .plan
                    .claim
                    .as_ref()
                    .and_then(|_| self.writer.buffered_response());
                self.writer.finish().await;
                NextStep::Finish
            }
            NextStep::Refuse(refusal) => NextStep::Refuse(refusal),
            NextStep::Dispatch { resume_tokens } => match self.decide_retry(number, end) {
                RetryDecision::Retry(_) => NextStep::Dispatch { resume_tokens },
                RetryDecision::GiveUp(refusal) => NextStep::Refuse(refusal),
            },
        }
    }

    /// Decides whether another attempt may be made. Retries that load causes are charged to the
    /// retry budget, which bounds them to a share of the requests.
    ///
    /// Attempts interrupted by a crash and responses that the caller is already receiving are
    /// always retried. Their number is bounded by the crashes and the responses themselves, and one crash
    /// interrupts more streams at once than the budget allows.
    pub(super) fn decide_retry(
        &mut self,
        attempt: AttemptNumber,
        end: AttemptEnd,
    ) -> RetryDecision {
        if self.run_count >= MAX_RUNS {
            return RetryDecision::GiveUp(outcome_unknown());
        }
        if self.writer.progress().forwarded {
            return RetryDecision::Retry(attempt.next());
        }
        let refusal = match end {
            AttemptEnd::NotRun(_) if self.awaits_isolation => {
                return RetryDecision::Retry(attempt.next());
            }
            AttemptEnd::NotRun(refusal) => refusal,
            AttemptEnd::Silent => outcome_unknown(),
            AttemptEnd::Whole | AttemptEnd::Broken | AttemptEnd::Unknown => {
                return RetryDecision::Retry(attempt.next());
            }
        };
        let time_left = self.time_left();
        let Some(attempts) = &mut self.request_attempts else {
            return RetryDecision::GiveUp(refusal);
        };
        let mut decisions = self.state.decisions.borrow_mut();
        decisions.retries.decide(attempts, refusal, time_left)
    }

    /// Returns the least time that an attempt gets: the progress timeout once the caller receives
    /// the response.
    pub(super) fn min_deadline(&self) -> TimeSpan {
        match self.writer.progress().forwarded {
            true => self.state.settings.progress_timeout,
            false => TimeSpan::ZERO,
        }
    }

    /// Returns the time left for the response to begin. Once the caller receives it, that deadline
    /// is met and only the progress timeout applies.
    pub(super) fn time_left(&self) -> TimeSpan {
        match self.writer.progress().forwarded {
            true => self.state.settings.progress_timeout,
            false => self.plan.deadline.since(self.state.now()),
        }
    }

    /// Returns the refusal that holds for all attempts together: a response that has begun is
    /// broken, and "not run" becomes "unknown" if any attempt may have run.
    pub(super) fn overall_refusal(&self, refusal: CallRefusal) -> CallRefusal {
        if self.writer.progress().forwarded {
            return CallRefusal::permanent(ResultCode::AnswerBroken);
        }
        if self.run_count > 0 && refusal.code.run_state() == RunState::NotRun {
            let code = ResultCode::OutcomeUnknown;
            let retry_after = refusal.retry_after;
            return CallRefusal { code, retry_after };
        }
        refusal
    }
}
