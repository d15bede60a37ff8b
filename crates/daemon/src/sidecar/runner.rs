//! Runs one attempt against the backend server and sends the answer back.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::claim::RequestFingerprint;
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::fairness::CallClass;
use applefold_core::unit::{ByteSize, TimeSpan, TokenCount};
use applefold_wire::applefold_capnp::answer_sink;
use applefold_wire::dispatch::{AttemptEnd, DispatchMessage, HeadMessage, PartMessage};
use opentelemetry::KeyValue;

use super::backend::{BackendAnswer, BackendFault};
use super::meter::RequestUse;
use super::state::SidecarState;
use super::tally::TokenTally;
use super::turn::{TurnGuard, TurnRequest};
use crate::trace::RequestSpan;

/// When a caller may try again after a refusal that passes.
const RETRY_SOON: TimeSpan = TimeSpan::from_secs(1);
/// How long a request waits for the configuration that its entry goes by.
const CATCH_UP_LIMIT: TimeSpan = TimeSpan::from_secs(2);
/// A dying process closes its connections a moment before its port.
const DEATH_PAUSE: Duration = Duration::from_millis(50);
/// How long the head of an answer may take at least, whatever the deadline.
const MIN_HEAD_WAIT: TimeSpan = TimeSpan::from_secs(1);

/// How an attempt ended, and whether the backend server seems to have died of it.
pub(crate) struct RanAttempt {
    pub(crate) end: AttemptEnd,
    pub(crate) crashed: bool,
}

impl RanAttempt {
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

/// Runs an attempt and says how it ended.
pub(crate) async fn run(
    state: &Rc<SidecarState>,
    dispatch: DispatchMessage,
    sink: answer_sink::Client,
) -> RanAttempt {
    let parent = dispatch.traceparent.parse().ok();
    let mut span = state.spans.start_span("sidecar.attempt", parent.as_ref());
    span.set_attribute("request", dispatch.id.request.to_string());
    span.set_attribute("attempt", dispatch.id.attempt.0 as i64);
    let ran = run_checked(state, &dispatch, &sink, &span).await;
    let label = end_label(&ran.end);
    span.set_attribute("end", label);
    state
        .metrics
        .attempts
        .add(1, &[KeyValue::new("end", label)]);
    ran
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
) -> RanAttempt {
    // An entry that is ahead is pushing what it knows right now.
    let limit = CATCH_UP_LIMIT.min(dispatch.deadline);
    let revision = dispatch.confirmation.revision;
    state.config.wait_revision(revision, limit).await;
    if let Err(refusal) = state.check(dispatch) {
        return RanAttempt::not_run(refusal);
    }
    let _work = match state.gate.admit() {
        Ok(work) => work,
        Err(refusal) => return RanAttempt::not_run(refusal),
    };
    let turn = match wait_turn(state, dispatch).await {
        Ok(turn) => turn,
        Err(refusal) => return RanAttempt::not_run(refusal),
    };
    // A key may have been withdrawn while the request waited.
    if let Err(refusal) = state.check(dispatch) {
        return RanAttempt::not_run(refusal);
    }
    if !state.load.get().healthy {
        let refusal = CallRefusal::retryable(ResultCode::BackendMissing, RETRY_SOON);
        return RanAttempt::not_run(refusal);
    }
    let fingerprint = fingerprint_of(state, dispatch);
    state.suspects.learn(&dispatch.suspects, state.now());
    let running = match state.suspects.admit(fingerprint, state.now()) {
        Ok(running) => running,
        Err(refusal) => return RanAttempt::not_run(refusal),
    };
    let ran = send(state, dispatch, sink, span, &turn).await;
    drop(running);
    match ran.end {
        AttemptEnd::Complete(_) => state.suspects.note_completion(fingerprint, state.now()),
        _ if ran.crashed => state.suspects.note_crash(fingerprint, state.now()),
        _ => {}
    }
    ran
}

fn fingerprint_of(state: &SidecarState, dispatch: &DispatchMessage) -> RequestFingerprint {
    let team = dispatch.team.as_ref().unwrap_or(&state.open_team);
    RequestFingerprint::of(team, &dispatch.method, &dispatch.path, &dispatch.body)
}

async fn send(
    state: &Rc<SidecarState>,
    dispatch: &DispatchMessage,
    sink: &answer_sink::Client,
    span: &RequestSpan,
    turn: &TurnGuard,
) -> RanAttempt {
    let wait = Duration::from_micros(dispatch.deadline.max(MIN_HEAD_WAIT).0);
    let traceparent = span.traceparent();
    let sent = state.backend.send(dispatch, &traceparent);
    match actix_rt::time::timeout(wait, sent).await {
        Ok(Ok(answer)) => relay(state, dispatch, sink, answer, turn).await,
        Ok(Err(BackendFault::NotSent)) => {
            let refusal = CallRefusal::retryable(ResultCode::BackendMissing, RETRY_SOON);
            RanAttempt::not_run(refusal)
        }
        Ok(Err(BackendFault::NoAnswer)) => RanAttempt {
            end: AttemptEnd::Unknown(CallRefusal::permanent(ResultCode::OutcomeUnknown)),
            crashed: has_died(state).await,
        },
        Err(_) => RanAttempt {
            end: AttemptEnd::Unknown(CallRefusal::permanent(ResultCode::PeerSilent)),
            crashed: false,
        },
    }
}

async fn wait_turn(
    state: &Rc<SidecarState>,
    dispatch: &DispatchMessage,
) -> Result<TurnGuard, CallRefusal> {
    let now = state.now();
    let is_model = dispatch.model.is_some();
    let prompt = if is_model {
        dispatch.prompt_tokens
    } else {
        TokenCount::ZERO
    };
    let request = TurnRequest {
        team: dispatch
            .team
            .clone()
            .unwrap_or_else(|| state.open_team.clone()),
        class: CallClass::from_priority(dispatch.priority),
        prompt: prompt + dispatch.resume_tokens,
        answer: dispatch
            .answer_tokens
            .saturating_sub(dispatch.resume_tokens),
        deadline: now + dispatch.deadline,
    };
    state.turns.wait(request, now).await
}

/// A connection can break while the backend server lives; a dead one answers nothing.
async fn has_died(state: &SidecarState) -> bool {
    // What comes while this is not known would be counted as one more crash.
    state.note_answering(false);
    actix_rt::time::sleep(DEATH_PAUSE).await;
    let alive = state.backend.load().await.is_some();
    state.note_answering(alive);
    !alive
}

async fn relay(
    state: &Rc<SidecarState>,
    dispatch: &DispatchMessage,
    sink: &answer_sink::Client,
    mut answer: BackendAnswer,
    turn: &TurnGuard,
) -> RanAttempt {
    let head = HeadMessage {
        id: dispatch.id.clone(),
        status: answer.status,
        headers: std::mem::take(&mut answer.headers),
    };
    if send_head(sink, &head).await.is_err() {
        return RanAttempt::broken(answer.check.seen());
    }
    let mut usage = UseGuard::begin(state, dispatch);
    let limit = Duration::from_micros(state.settings.progress_timeout.0);
    let mut crashed = false;
    while let Ok(piece) = actix_rt::time::timeout(limit, answer.next()).await {
        let Some(piece) = piece else {
            crashed = !answer.check.is_whole() && has_died(state).await;
            break;
        };
        let offset = answer.check.seen();
        answer.check.feed(&piece);
        turn.note_answering();
        turn.charge(usage.feed(&piece));
        let part = PartMessage {
            id: dispatch.id.clone(),
            offset,
            data: piece.to_vec(),
        };
        if send_part(sink, &part).await.is_err() {
            break;
        }
    }
    usage.whole = answer.check.is_whole();
    let size = answer.check.seen();
    let end = match usage.whole {
        true => AttemptEnd::Complete(size),
        false => AttemptEnd::Broken(size),
    };
    RanAttempt { end, crashed }
}

/// Counts what an attempt has used when it is dropped, however it ended.
///
/// Tokens count where they were served; the prompt and the request count once,
/// with the attempt that brought the end of the answer.
struct UseGuard<'a> {
    state: &'a SidecarState,
    dispatch: &'a DispatchMessage,
    tally: TokenTally,
    whole: bool,
}

impl<'a> UseGuard<'a> {
    fn begin(state: &'a SidecarState, dispatch: &'a DispatchMessage) -> Self {
        Self {
            state,
            dispatch,
            tally: TokenTally::default(),
            whole: false,
        }
    }

    /// Takes in a piece of the answer and returns the tokens in it.
    fn feed(&mut self, piece: &[u8]) -> TokenCount {
        let before = self.tally.used().answer;
        self.tally.feed(piece);
        self.tally.used().answer.saturating_sub(before)
    }
}

impl Drop for UseGuard<'_> {
    fn drop(&mut self) {
        self.tally.close();
        let Some(team) = &self.dispatch.team else {
            return;
        };
        let used = self.tally.used();
        let prompt = used.prompt.unwrap_or(self.dispatch.prompt_tokens);
        let counted = self.whole && self.dispatch.model.is_some();
        self.state.meter.count(RequestUse {
            team: team.clone(),
            service: self.dispatch.service.clone(),
            prompt: if counted { prompt } else { TokenCount::ZERO },
            answer: used.answer,
            whole: self.whole,
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
