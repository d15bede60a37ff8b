//! Requests that run under the claim of an idempotency key.

use applefold_core::claim::{ClaimDecision, ClaimOutcome, ClaimReport};
use applefold_core::code::{CallRefusal, RunState};

use super::RequestDriver;
use crate::entry::claims;
use crate::trace::HopSpan;

impl RequestDriver<'_> {
    /// Runs the request under its claim, if it needs one.
    pub(super) async fn run_claimed(&mut self, span: &HopSpan) -> Result<(), CallRefusal> {
        let Some(ask) = &self.plan.claim else {
            return self.run(span).await;
        };
        match claims::ask(self.state, ask.clone()).await {
            ClaimDecision::Granted => {}
            ClaimDecision::Refused(refusal) => return Err(refusal),
            ClaimDecision::Replayed(answer) => {
                self.writer.repeat(answer);
                return Ok(());
            }
        }
        let ran = self.run(span).await;
        let report = ClaimReport {
            claim: ask.claim.clone(),
            request_id: ask.request_id.clone(),
            outcome: self.claim_outcome(ran),
        };
        actix_rt::spawn(claims::report(self.state.clone(), report));
        ran
    }

    pub(super) fn claim_outcome(&mut self, ran: Result<(), CallRefusal>) -> ClaimOutcome {
        match ran {
            Ok(()) => {
                let answer = self.answer.take();
                answer.map_or(ClaimOutcome::Unknown, ClaimOutcome::Completed)
            }
            Err(refusal) if refusal.code.run_state() == RunState::NotRun => ClaimOutcome::NotRun,
            Err(_) => ClaimOutcome::Unknown,
        }
    }
}
