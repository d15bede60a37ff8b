//! Decisions on claim requests.

use super::store::CallNumber;
use super::table::{ClaimRow, RowState};
use super::{ClaimAction, ClaimDecision, ClaimRequest};
use crate::code::{CallRefusal, ResultCode};
use crate::unit::TimeSpan;

const RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// Returns the calls that wait for the claim to become durable.
pub(super) fn waiters_of(row: ClaimRow) -> Vec<CallNumber> {
    match row.state {
        RowState::Pending { waiters, .. } => waiters,
        _ => Vec::new(),
    }
}

pub(super) fn refuse_unavailable(call: CallNumber) -> ClaimAction {
    let refusal = CallRefusal::retryable(ResultCode::ClaimUnavailable, RETRY_AFTER);
    let decision = ClaimDecision::Refused(refusal);
    ClaimAction::Reply { call, decision }
}

/// Decides a request for a key that is already claimed.
pub(super) fn decide_duplicate(
    row: &ClaimRow,
    request: &ClaimRequest,
    clock: TimeSpan,
    run_timeout: TimeSpan,
) -> ClaimDecision {
    let refused = |code| ClaimDecision::Refused(CallRefusal::permanent(code));
    if row.fingerprint != request.fingerprint {
        return refused(ResultCode::ClaimConflict);
    }
    let timed_out = clock.saturating_sub(row.claimed_at) >= run_timeout;
    match &row.state {
        RowState::Completed(response) => ClaimDecision::Replayed(response.clone()),
        RowState::Ran => refused(ResultCode::AlreadyRan),
        RowState::Unknown => refused(ResultCode::OutcomeUnknown),
        RowState::Running if timed_out => refused(ResultCode::OutcomeUnknown),
        RowState::Running if row.request_id == request.request_id => ClaimDecision::Granted,
        RowState::Running | RowState::Pending { .. } => {
            let refusal = CallRefusal::retryable(ResultCode::StillRunning, RETRY_AFTER);
            ClaimDecision::Refused(refusal)
        }
    }
}
