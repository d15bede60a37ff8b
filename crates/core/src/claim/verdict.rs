//! What a call that asks for a claim is told.

use super::store::CallNumber;
use super::table::{ClaimRow, RowState};
use super::{ClaimAction, ClaimAsk, ClaimVerdict};
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
    let verdict = ClaimVerdict::Refused(refusal);
    ClaimAction::Reply { call, verdict }
}

pub(super) fn judge_repeat(
    row: &ClaimRow,
    ask: &ClaimAsk,
    clock: TimeSpan,
    run_limit: TimeSpan,
) -> ClaimVerdict {
    let lasting = |code| ClaimVerdict::Refused(CallRefusal::permanent(code));
    if row.fingerprint != ask.fingerprint {
        return lasting(ResultCode::ClaimConflict);
    }
    let overdue = clock.saturating_sub(row.at) >= run_limit;
    match &row.state {
        RowState::Kept(answer) => ClaimVerdict::Kept(answer.clone()),
        RowState::Ran => lasting(ResultCode::AlreadyRan),
        RowState::Unknown => lasting(ResultCode::OutcomeUnknown),
        RowState::Running if overdue => lasting(ResultCode::OutcomeUnknown),
        RowState::Running if row.request == ask.request => ClaimVerdict::Granted,
        RowState::Running | RowState::Planned { .. } => {
            let refusal = CallRefusal::retryable(ResultCode::StillRunning, RETRY_AFTER);
            ClaimVerdict::Refused(refusal)
        }
    }
}
