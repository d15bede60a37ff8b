//! Runs a request to its final answer, in as many attempts as that may take.

use std::collections::BTreeSet;
use std::rc::Rc;

use applefold_core::code::{CallRefusal, ResultCode, RunState};
use applefold_core::id::{AttemptNumber, InstanceId};
use applefold_core::unit::TimeSpan;
use applefold_wire::dispatch::AttemptEnd;
use opentelemetry::KeyValue;

use super::attempt;
use super::plan::{AttemptInput, RequestPlan};
use super::reply::ReplyWriter;
use super::state::EntryState;
use crate::trace::HopSpan;

const MAX_ATTEMPTS: u64 = 4;
/// When a caller may try again after a refusal that passes.
const RETRY_SOON: TimeSpan = TimeSpan::from_secs(1);

/// What to do after an attempt.
enum NextStep {
    /// The answer is complete.
    Done,
    /// Another backend server may be tried.
    Retry(CallRefusal),
    /// The request is given up.
    GiveUp(CallRefusal),
}

/// Runs `plan` and writes its answer; ends early when the caller leaves.
pub(crate) async fn drive(
    state: Rc<EntryState>,
    plan: RequestPlan,
    mut writer: ReplyWriter,
    mut span: HopSpan,
) {
    let refusal = drive_attempts(&state, &plan, &mut writer, &span).await;
    let code = refusal.map_or(0, |refusal| refusal.code.number());
    if let Some(refusal) = refusal {
        writer.refuse(refusal).await;
    }
    span.note("code", i64::from(code));
    let labels = [
        KeyValue::new("service", plan.service.to_string()),
        KeyValue::new("code", i64::from(code)),
    ];
    state.metrics.requests.add(1, &labels);
}

/// Returns the refusal that ends the request, or nothing where it ended well.
async fn drive_attempts(
    state: &Rc<EntryState>,
    plan: &RequestPlan,
    writer: &mut ReplyWriter,
    span: &HopSpan,
) -> Option<CallRefusal> {
    let mut excluded = BTreeSet::new();
    let mut last = CallRefusal::passing(ResultCode::BackendMissing, RETRY_SOON);
    for number in 1..=MAX_ATTEMPTS {
        let step = try_once(
            state,
            plan,
            writer,
            span,
            AttemptNumber(number),
            &mut excluded,
        )
        .await;
        match step {
            NextStep::Done => return None,
            NextStep::GiveUp(refusal) => return Some(refusal),
            NextStep::Retry(refusal) => last = refusal,
        }
        if excluded.is_empty() {
            break;
        }
    }
    Some(final_refusal(writer, last))
}

/// A caller that has part of the answer must be told that it broke off.
fn final_refusal(writer: &ReplyWriter, refusal: CallRefusal) -> CallRefusal {
    match writer.has_begun() {
        true => CallRefusal::lasting(ResultCode::AnswerBroken),
        false => refusal,
    }
}

async fn try_once(
    state: &Rc<EntryState>,
    plan: &RequestPlan,
    writer: &mut ReplyWriter,
    span: &HopSpan,
    attempt: AttemptNumber,
    excluded: &mut BTreeSet<InstanceId>,
) -> NextStep {
    let choice = state.links.borrow().choose(&plan.pool, excluded);
    let Some(choice) = choice else {
        let refusal = CallRefusal::passing(ResultCode::BackendMissing, RETRY_SOON);
        excluded.clear();
        return NextStep::Retry(refusal);
    };
    excluded.insert(choice.instance.clone());
    writer.begin_attempt();
    let now = state.now();
    let dispatch = plan.dispatch(AttemptInput {
        attempt,
        now,
        confirmation: state.config.note(now),
        traceparent: span.traceparent(),
        resume_tokens: writer.tokens(),
    });
    let end = attempt::run(state, &choice, &dispatch, writer).await;
    let step = judge(plan, writer, end).await;
    if let NextStep::Retry(refusal) | NextStep::GiveUp(refusal) = &step {
        log::debug!(request = plan.request.as_str(), backend = choice.instance.as_str(),
            code = refusal.code.number(); "attempt failed");
    }
    step
}

async fn judge(
    plan: &RequestPlan,
    writer: &mut ReplyWriter,
    end: eyre::Result<AttemptEnd>,
) -> NextStep {
    let unknown = CallRefusal::lasting(ResultCode::OutcomeUnknown);
    match end {
        Ok(AttemptEnd::Whole(_)) if plan.repeatable && writer.head_failed() => {
            NextStep::Retry(CallRefusal::passing(ResultCode::BackendFailed, RETRY_SOON))
        }
        Ok(AttemptEnd::Whole(size)) => match writer.finish(size).await {
            Ok(()) => NextStep::Done,
            Err(_) => ran(plan, CallRefusal::lasting(ResultCode::AnswerBroken)),
        },
        Ok(AttemptEnd::NotRun(refusal)) if refusal.retry_after.is_some() => {
            NextStep::Retry(refusal)
        }
        Ok(AttemptEnd::NotRun(refusal)) => NextStep::GiveUp(refusal),
        Ok(AttemptEnd::Broken(_)) => ran(
            plan,
            CallRefusal::passing(ResultCode::BackendFailed, RETRY_SOON),
        ),
        Ok(AttemptEnd::Unknown(_)) | Err(_) => ran(plan, unknown),
    }
}

/// After a backend server may have run the request, only a repeatable one is tried again.
fn ran(plan: &RequestPlan, refusal: CallRefusal) -> NextStep {
    debug_assert_ne!(refusal.code.run_state(), RunState::NotRun);
    match plan.repeatable {
        true => NextStep::Retry(refusal),
        false => NextStep::GiveUp(refusal),
    }
}
