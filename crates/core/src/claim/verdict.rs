//! What a call that asks for a claim is told.

use super::store::CallNumber;
use super::table::{ClaimRow, RowState};
use super::{ClaimAction, ClaimDecision, ClaimRequest};
use crate::code::{CallRefusal, ResultCode};
use crate::unit::TimeSpan;

const RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

pub(super) fn waiters_of(row: ClaimRow) -> Vec<CallNumber> {
    match row.state {
        RowState::Planned { waiters, .. } => waiters,
        _ => Vec::new(),
    }
}

pub(super) fn refuse_unavailable(call: CallNumber) -> ClaimAction {
    let refusal = CallRefusal::retryable(ResultCode::ClaimUnavailable, RETRY_AFTER);
    let decision = ClaimDecision::Refused(refusal);
    ClaimAction::Reply { call, decision }
}

pub(super) fn judge_repeat(
    row: &ClaimRow,
    ask: &ClaimRequest,
    clock: TimeSpan,
    run_timeout: TimeSpan,
) -> ClaimDecision {
    let lasting = |code| ClaimDecision::Refused(CallRefusal::permanent(code));
    if row.fingerprint != ask.fingerprint {
        return lasting(ResultCode::ClaimConflict);
    }
    let overdue = clock.saturating_sub(row.at) >= run_timeout;
    match &row.state {
        RowState::Kept(answer) => ClaimDecision::Replayed(answer.clone()),
        RowState::Ran => lasting(ResultCode::AlreadyRan),
        RowState::Unknown => lasting(ResultCode::OutcomeUnknown),
        RowState::Running if overdue => lasting(ResultCode::OutcomeUnknown),
        RowState::Running if row.request == ask.request_id => ClaimDecision::Granted,
        RowState::Running | RowState::Planned { .. } => {
            let refusal = CallRefusal::retryable(ResultCode::StillRunning, RETRY_AFTER);
            ClaimDecision::Refused(refusal)
        }
    }
}
