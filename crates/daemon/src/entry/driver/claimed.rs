//! Requests that need a claim on their idempotency key.

use applefold_core::claim::{ClaimDecision, ClaimOutcome, ClaimReport};
use applefold_core::code::{CallRefusal, RunState};

use super::RequestDriver;
use crate::entry::claims;
use crate::trace::RequestSpan;

impl RequestDriver<'_> {
    /// Runs the request. If it carries an idempotency key, the key is claimed first, and a response
    /// stored under it is replayed instead.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub(super) async fn run_claimed(&mut self, span: &RequestSpan) -> Result<(), CallRefusal> {
        let Some(request) = &self.plan.claim else {
            return self.run(span).await;
        };
        match claims::claim(self.state, request.clone()).await {
            ClaimDecision::Granted => {}
            ClaimDecision::Refused(refusal) => return Err(refusal),
            ClaimDecision::Replayed(response) => {
                self.writer.replay(response);
                return Ok(());
            }
        }
        let result = self.run(span).await;
        let report = ClaimReport {
            claim: request.claim.clone(),
            request_id: request.request_id.clone(),
            outcome: self.claim_outcome(result),
        };
        actix_rt::spawn(claims::report(self.state.clone(), report));
        result
    }

    pub(super) fn claim_outcome(&mut self, result: Result<(), CallRefusal>) -> ClaimOutcome {
        match result {
            Ok(()) => {
                let response = self.stored_response.take();
                response.map_or(ClaimOutcome::Unknown, ClaimOutcome::Completed)
            }
            Err(refusal) if refusal.code.run_state() == RunState::NotRun => ClaimOutcome::NotRun,
            Err(_) => ClaimOutcome::Unknown,
        }
    }
}
