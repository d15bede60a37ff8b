//! Runs an attempt at the backend server and forwards the response to the entry.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::claim::RequestFingerprint;
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::fairness::CallClass;
use applefold_core::unit::{ByteSize, TimeSpan, TokenCount};
use applefold_wire::applefold_capnp::answer_sink;
use applefold_wire::dispatch::{AttemptEnd, DispatchMessage, HeadMessage, PartMessage};
use opentelemetry::KeyValue;

use super::backend::{BackendError, BackendResponse};
use super::meter::RequestUsage;
use super::scheduler::{SlotGuard, SlotRequest};
use super::state::SidecarState;
use super::token_counter::TokenCounter;
use crate::trace::RequestSpan;

/// The retry delay in retryable refusals.
const RETRY_DELAY: TimeSpan = TimeSpan::from_secs(1);
/// How long a request waits for the configuration revision of its entry.
const CATCH_UP_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);
/// How long to wait before a backend server is tested for a crash. A crashing process closes its
/// connections a moment before its port.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(50);
/// The minimum timeout for the head of a response, whatever the deadline.
const MIN_HEAD_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// How an attempt ended, and whether the backend server seems to have crashed meanwhile.
pub(crate) struct AttemptOutcome {
    pub(crate) end: AttemptEnd,
    pub(crate) crashed: bool,
}

impl AttemptOutcome {
    fn not_run(refusal: CallRefusal) -> Self {
        let end = AttemptEnd::NotRun(refusal);
        Self {
            end,
            crashed: false,
        }
    }

    fn broken(size: ByteSize) -> Self {
        let end = AttemptEnd::Broken(size);
        Self {
            end,
            crashed: false,
        }
    }
}

/// Runs an attempt and returns its outcome. The response is sent to `sink`.
pub(crate) async fn run(
    state: &Rc<SidecarState>,
    dispatch: DispatchMessage,
    sink: answer_sink::Client,
) -> AttemptOutcome {
    let parent = dispatch.traceparent.parse().ok();
    let mut span = state.spans.start_span("sidecar.attempt", parent.as_ref());
    span.set_attribute("request", dispatch.id.request.to_string());
    span.set_attribute("attempt", dispatch.id.attempt.0 as i64);
    let outcome = run_checked(state, &dispatch, &sink, &span).await;
    let label = end_label(&outcome.end);
    span.set_attribute("end", label);
    state
        .metrics
        .attempts
        .add(1, &[KeyValue::new("end", label)]);
    outcome
}

fn end_label(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Complete(_) => "whole",
        AttemptEnd::NotRun(_) => "not_run",
        AttemptEnd::Broken(_) => "broken",
        AttemptEnd::Unknown(_) => "unknown",
    }
}

async fn run_checked(
    state: &Rc<SidecarState>,
    dispatch: &DispatchMessage,
    sink: &answer_sink::Client,
    span: &RequestSpan,
) -> AttemptOutcome {
    // An entry with a newer configuration is pushing it at this moment.
    let limit = CATCH_UP_TIMEOUT.min(dispatch.deadline);
    let revision = dispatch.confirmation.revision;
    state.config.wait_revision(revision, limit).await;
    if let Err(refusal) = state.check(dispatch) {
        return AttemptOutcome::not_run(refusal);
    }
    let _work = match state.gate.admit() {
        Ok(work) => work,
        Err(refusal) => return AttemptOutcome::not_run(refusal),
    };
    let slot = match wait_slot(state, dispatch).await {
        Ok(slot) => slot,
        Err(refusal) => return AttemptOutcome::not_run(refusal),
    };
    // The key may have been withdrawn while the request waited.
    if let Err(refusal) = state.check(dispatch) {
        return AttemptOutcome::not_run(refusal);
    }
    if !state.load.get().healthy {
        let refusal = CallRefusal::retryable(ResultCode::BackendMissing, RETRY_DELAY);
        return AttemptOutcome::not_run(refusal);
    }
    let fingerprint = request_fingerprint(state, dispatch);
    state
        .suspects
        .merge_reports(&dispatch.suspects, state.now());
    let running = match state.suspects.admit(fingerprint, state.now()) {
        Ok(running) => running,
        Err(refusal) => return AttemptOutcome::not_run(refusal),
    };
    let outcome = send(state, dispatch, sink, span, &slot).await;
    drop(running);
    match outcome.end {
        AttemptEnd::Complete(_) => state.suspects.record_completion(fingerprint, state.now()),
        _ if outcome.crashed => state.suspects.record_crash(fingerprint, state.now()),
        _ => {}
    }
    outcome
}

fn request_fingerprint(state: &SidecarState, dispatch: &DispatchMessage) -> RequestFingerprint {
    let team = dispatch.team.as_ref().unwrap_or(&state.public_team);
    RequestFingerprint::of(team, &dispatch.method, &dispatch.path, &dispatch.body)
}

async fn send(
    state: &Rc<SidecarState>,
    dispatch: &DispatchMessage,
    sink: &answer_sink::Client,
    span: &RequestSpan,
    slot: &SlotGuard,
) -> AttemptOutcome {
    let timeout = Duration::from_micros(dispatch.deadline.max(MIN_HEAD_TIMEOUT).0);
    let traceparent = span.traceparent();
    let sent = state.backend.send(dispatch, &traceparent);
    match actix_rt::time::timeout(timeout, sent).await {
        Ok(Ok(response)) => relay(state, dispatch, sink, response, slot).await,
        Ok(Err(BackendError::NotSent)) => {
            let refusal = CallRefusal::retryable(ResultCode::BackendMissing, RETRY_DELAY);
            AttemptOutcome::not_run(refusal)
        }
        Ok(Err(BackendError::NoResponse)) => AttemptOutcome {
            end: AttemptEnd::Unknown(CallRefusal::permanent(ResultCode::OutcomeUnknown)),
            crashed: has_crashed(state).await,
        },
        Err(_) => AttemptOutcome {
            end: AttemptEnd::Unknown(CallRefusal::permanent(ResultCode::PeerSilent)),
            crashed: false,
        },
    }
}

async fn wait_slot(
    state: &Rc<SidecarState>,
    dispatch: &DispatchMessage,
) -> Result<SlotGuard, CallRefusal> {
    let now = state.now();
    let is_model = dispatch.model.is_some();
    let prompt = if is_model {
        dispatch.prompt_tokens
    } else {
        TokenCount::ZERO
    };
    let request = SlotRequest {
        team: dispatch
            .team
            .clone()
            .unwrap_or_else(|| state.public_team.clone()),
        class: CallClass::from_priority(dispatch.priority),
        prompt: prompt + dispatch.resume_tokens,
        answer: dispatch
            .answer_tokens
            .saturating_sub(dispatch.resume_tokens),
        deadline: now + dispatch.deadline,
    };
    state.scheduler.wait(request, now).await
}

/// Returns whether the backend server has crashed. A connection can also break while it is alive; a
/// crashed one does not respond to a load query.
async fn has_crashed(state: &SidecarState) -> bool {
    // Mark it unhealthy until the check has ended. Requests sent meanwhile would count as further
    // crashes.
    state.set_healthy(false);
    actix_rt::time::sleep(CRASH_CHECK_DELAY).await;
    let alive = state.backend.load().await.is_some();
    state.set_healthy(alive);
    !alive
}

async fn relay(
    state: &Rc<SidecarState>,
    dispatch: &DispatchMessage,
    sink: &answer_sink::Client,
    mut response: BackendResponse,
    slot: &SlotGuard,
) -> AttemptOutcome {
    let head = HeadMessage {
        id: dispatch.id.clone(),
        status: response.status,
        headers: std::mem::take(&mut response.headers),
    };
    if send_head(sink, &head).await.is_err() {
        return AttemptOutcome::broken(response.check.received());
    }
    let mut usage = UsageGuard::begin(state, dispatch);
    let limit = Duration::from_micros(state.settings.progress_timeout.0);
    let mut crashed = false;
    while let Ok(chunk) = actix_rt::time::timeout(limit, response.next()).await {
        let Some(chunk) = chunk else {
            crashed = !response.check.is_complete() && has_crashed(state).await;
            break;
        };
        let offset = response.check.received();
        response.check.feed(&chunk);
        slot.finish_prefill();
        slot.charge(usage.feed(&chunk));
        let part = PartMessage {
            id: dispatch.id.clone(),
            offset,
            data: chunk.to_vec(),
        };
        if send_part(sink, &part).await.is_err() {
            break;
        }
    }
    usage.complete = response.check.is_complete();
    let size = response.check.received();
    let end = match usage.complete {
        true => AttemptEnd::Complete(size),
        false => AttemptEnd::Broken(size),
    };
    AttemptOutcome { end, crashed }
}

/// Counts the usage of an attempt when it is dropped, however the attempt ended.
///
/// Generated tokens are counted at each sidecar that served them. The prompt and the request are
/// counted once, by the attempt that completed the response.
struct UsageGuard<'a> {
    state: &'a SidecarState,
    dispatch: &'a DispatchMessage,
    counter: TokenCounter,
    complete: bool,
}

impl<'a> UsageGuard<'a> {
    fn begin(state: &'a SidecarState, dispatch: &'a DispatchMessage) -> Self {
        Self {
            state,
            dispatch,
            counter: TokenCounter::default(),
            complete: false,
        }
    }

    /// Records a chunk of the response and returns the number of generated tokens in it.
    fn feed(&mut self, chunk: &[u8]) -> TokenCount {
        let before = self.counter.usage().answer;
        self.counter.feed(chunk);
        self.counter.usage().answer.saturating_sub(before)
    }
}

impl Drop for UsageGuard<'_> {
    fn drop(&mut self) {
        self.counter.close();
        let Some(team) = &self.dispatch.team else {
            return;
        };
        let usage = self.counter.usage();
        let prompt = usage.prompt.unwrap_or(self.dispatch.prompt_tokens);
        let count_prompt = self.complete && self.dispatch.model.is_some();
        self.state.meter.count(RequestUsage {
            team: team.clone(),
            service: self.dispatch.service.clone(),
            prompt: if count_prompt {
                prompt
            } else {
                TokenCount::ZERO
            },
            answer: usage.answer,
            complete: self.complete,
        });
    }
}

async fn send_head(sink: &answer_sink::Client, head: &HeadMessage) -> Result<(), capnp::Error> {
    let mut request = sink.head_request();
    head.write(request.get().init_head());
    request.send().promise.await?;
    Ok(())
}

async fn send_part(sink: &answer_sink::Client, part: &PartMessage) -> Result<(), capnp::Error> {
    let mut request = sink.part_request();
    part.write(request.get().init_part());
    request.send().promise.await?;
    Ok(())
}
