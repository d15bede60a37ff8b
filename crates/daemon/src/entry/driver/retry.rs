//! What follows an attempt.

use applefold_core::code::{CallRefusal, ResultCode, RunState};
use applefold_core::id::AttemptNumber;
use applefold_core::response::{AttemptEnd, NextStep};
use applefold_core::retry::RetryDecision;
use applefold_core::unit::TimeSpan;

use super::{unknown, RequestDriver, RUN_LIMIT, SERVER_ERROR};

impl RequestDriver<'_> {
    pub(super) async fn next_step(&mut self, number: AttemptNumber, end: AttemptEnd) -> NextStep {
        let failed = self.plan.repeatable && self.writer.status() >= SERVER_ERROR;
        let end = match end {
            AttemptEnd::Whole if failed && !self.writer.progress().forwarded => AttemptEnd::Broken,
            end => end,
        };
        if !matches!(end, AttemptEnd::NotRun(_)) {
            self.ran += 1;
        }
        self.waits_apart = self.is_kept_apart(end);
        let step = self.attempts.end(number, end, self.writer.progress());
        match step.unwrap_or(NextStep::Refuse(unknown())) {
            NextStep::Finish => {
                self.answer = self
                    .plan
                    .claim
                    .as_ref()
                    .and_then(|_| self.writer.held_answer());
                self.writer.finish().await;
                NextStep::Finish
            }
            NextStep::Refuse(refusal) => NextStep::Refuse(refusal),
            NextStep::Dispatch { resume_tokens } => match self.spend_retry(number, end) {
                RetryDecision::Retry(_) => NextStep::Dispatch { resume_tokens },
                RetryDecision::GiveUp(refusal) => NextStep::Refuse(refusal),
            },
        }
    }

    /// Keeps retries a bounded share of the requests where load causes them.
    ///
    /// What a crash broke off is always moved, and so is an answer that its caller
    /// reads already: crashes and answers bound these retries, and one crash
    /// breaks off more streams at once than the budget holds.
    pub(super) fn spend_retry(&mut self, attempt: AttemptNumber, end: AttemptEnd) -> RetryDecision {
        if self.ran >= RUN_LIMIT {
            return RetryDecision::GiveUp(unknown());
        }
        if self.writer.progress().forwarded {
            return RetryDecision::Retry(attempt.next());
        }
        let refusal = match end {
            AttemptEnd::NotRun(_) if self.waits_apart => {
                return RetryDecision::Retry(attempt.next());
            }
            AttemptEnd::NotRun(refusal) => refusal,
            AttemptEnd::Silent => unknown(),
            AttemptEnd::Whole | AttemptEnd::Broken | AttemptEnd::Unknown => {
                return RetryDecision::Retry(attempt.next());
            }
        };
        let time_left = self.time_left();
        let Some(attempts) = &mut self.budgeted else {
            return RetryDecision::GiveUp(refusal);
        };
        let mut decisions = self.state.decisions.borrow_mut();
        decisions.retries.decide(attempts, refusal, time_left)
    }

    pub(super) fn least_deadline(&self) -> TimeSpan {
        match self.writer.progress().forwarded {
            true => self.state.settings.progress_timeout,
            false => TimeSpan::ZERO,
        }
    }

    /// A caller that already reads the answer has been met in time.
    pub(super) fn time_left(&self) -> TimeSpan {
        match self.writer.progress().forwarded {
            true => self.state.settings.progress_timeout,
            false => self.plan.deadline.since(self.state.now()),
        }
    }

    /// Makes a refusal say what is true of all attempts together.
    pub(super) fn truthful(&self, refusal: CallRefusal) -> CallRefusal {
        if self.writer.progress().forwarded {
            return CallRefusal::permanent(ResultCode::AnswerBroken);
        }
        if self.ran > 0 && refusal.code.run_state() == RunState::NotRun {
            let code = ResultCode::OutcomeUnknown;
            let retry_after = refusal.retry_after;
            return CallRefusal { code, retry_after };
        }
        refusal
    }
}
