//! Drives one request from its arrival to its final answer.

mod stream;

use std::collections::BTreeSet;
use std::rc::Rc;

use applefold_core::code::{CallRefusal, ResultCode, RunState};
use applefold_core::direct::{
    AttemptEnd, AttemptLimits, NextStep, Placement, PlacementRequest, PlacementStage,
    PlacementWork, PromptShape, RequestProgress,
};
use applefold_core::id::{BackendId, TeamId};
use applefold_core::quarantine::BackendRun;
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_h1::{ResponseHead, LAST_CHUNK};
use applefold_platform::{
    render_refusal, render_response_head, AttemptWork, KvHandle, ResponseFraming,
};
use opentelemetry::KeyValue;
use smol_str::SmolStr;
use tokio::net::tcp::OwnedWriteHalf;

use super::accept::{CallerReader, ConnectionAction, ReceivedRequest};
use super::attempt::{Attempt, AttemptClass, AttemptResult};
use super::handoff::HandoffGuard;
use super::prepare::{count_request, keeps_alive, write_last, PreparedRequest};
use super::sse::EventBuffer;
use super::state::GatewayState;
use stream::RelayEnd;

/// Attempts at one request, those that did not run included.
const MAX_SENDS: u32 = 4;
/// Less time than this is of no use for another attempt.
const MIN_ATTEMPT_TIME: TimeSpan = TimeSpan::from_millis(30);
/// When callers may return after backend servers were busy or missing.
const BUSY_RETRY: TimeSpan = TimeSpan::from_millis(400);

/// Serves one request; returns whether the connection may be used again.
pub(crate) async fn serve(
    state: &Rc<GatewayState>,
    request: &ReceivedRequest,
    reader: &mut CallerReader,
    writer: &mut OwnedWriteHalf,
) -> ConnectionAction {
    let prepared = match PreparedRequest::new(state, request) {
        Ok(prepared) => prepared,
        Err(refused) => return refused.answer(state, request, writer).await,
    };
    let mut driver = RequestDriver {
        state,
        request,
        prepared: &prepared,
        progress: RequestProgress::default(),
        excluded: BTreeSet::new(),
        failure: None,
        begun: false,
        counted: false,
        first: None,
        cutter: EventBuffer::default(),
        last_backend: None,
        handoff: None,
        apart: true,
    };
    tokio::select! {
        biased;
        fate = driver.run(writer) => fate,
        () = reader.wait_closed() => {
            driver.log_end(499, "the caller left");
            ConnectionAction::Close
        }
    }
}

/// A request on its way.
struct RequestDriver<'a> {
    state: &'a Rc<GatewayState>,
    request: &'a ReceivedRequest,
    prepared: &'a PreparedRequest,
    progress: RequestProgress,
    excluded: BTreeSet<BackendId>,
    /// The failure that a backend server answered with, kept in case nothing better comes.
    failure: Option<(ResponseHead, Vec<u8>)>,
    /// Whether the caller was sent the head of an answer.
    begun: bool,
    counted: bool,
    first: Option<TimeSpan>,
    cutter: EventBuffer,
    last_backend: Option<BackendId>,
    /// The KV cache of the prompt, where it was read apart.
    handoff: Option<HandoffGuard>,
    /// Whether the prompt may still be read apart.
    apart: bool,
}

impl RequestDriver<'_> {
    async fn run(&mut self, writer: &mut OwnedWriteHalf) -> ConnectionAction {
        let service = &self.prepared.service;
        self.state.with_budget(service, |budget| budget.deposit());
        loop {
            let placement = match self.place() {
                Ok(placement) => placement,
                Err(refusal) => return self.give_up(refusal, writer).await,
            };
            if placement.work == PlacementWork::Run {
                self.progress.begin();
            }
            self.last_backend = Some(placement.backend.clone());
            let begun = self.state.now();
            let result = self.attempt(&placement).await;
            let end = match result {
                AttemptResult::Whole(head, body) => {
                    self.log_attempt(&placement, begun, AttemptClass::Answered, "answered");
                    return self.deliver(&head, &body, writer).await;
                }
                AttemptResult::Stream(stream) => {
                    match self.relay(*stream, &placement, writer).await {
                        RelayEnd::Whole => {
                            self.log_attempt(&placement, begun, AttemptClass::Streamed, "streamed");
                            let keep = keeps_alive(self.state, self.request);
                            self.log_end(200, "streamed");
                            return write_last(writer, LAST_CHUNK, keep).await;
                        }
                        RelayEnd::CallerLeft => {
                            self.log_end(499, "the caller left");
                            return ConnectionAction::Close;
                        }
                        RelayEnd::Broken(end, reason) => {
                            self.log_attempt(&placement, begun, AttemptClass::Ended(end), &reason);
                            self.note_crash(end, &placement);
                            end
                        }
                    }
                }
                AttemptResult::Prefilled(handle) => {
                    self.log_attempt(&placement, begun, AttemptClass::PromptRead, "prompt read");
                    self.keep_handoff(handle, &placement);
                    continue;
                }
                AttemptResult::Failed(head, body) => {
                    self.log_attempt(
                        &placement,
                        begun,
                        AttemptClass::Ended(AttemptEnd::Failed),
                        "backend server failed",
                    );
                    self.count_run();
                    self.failure = Some((head, body));
                    AttemptEnd::Failed
                }
                AttemptResult::Ended(end, reason) => {
                    self.log_attempt(&placement, begun, AttemptClass::Ended(end), &reason);
                    self.note_crash(end, &placement);
                    // What broke off after it was sent has run more often than not.
                    if end == AttemptEnd::Broken && placement.work == PlacementWork::Run {
                        self.count_run();
                    }
                    end
                }
            };
            if placement.work == PlacementWork::Prefill {
                self.apart = false;
                // What was not sent has not arrived anywhere, so the next call is no repeat.
                if end == AttemptEnd::NotSent || self.charge_retry() {
                    continue;
                }
                let busy = CallRefusal::retryable(ResultCode::RetryExhausted, BUSY_RETRY);
                return self.give_up(busy, writer).await;
            }
            self.note_handoff_failed(end);
            self.excluded.insert(placement.backend);
            match self.decide(end) {
                NextStep::Again => {}
                NextStep::Relay => {
                    if let Some((head, body)) = self.failure.take() {
                        return self.deliver(&head, &body, writer).await;
                    }
                }
                NextStep::Refuse(refusal) => return self.give_up(refusal, writer).await,
            }
        }
    }

    /// Chooses where the next attempt goes; what other requests have shown since the last one
    /// counts too.
    fn place(&self) -> Result<Placement, CallRefusal> {
        let now = self.state.now();
        let name = &self.prepared.caller.id;
        let suspects = &self.state.suspects;
        suspects.check(name, self.prepared.fingerprint, now)?;
        let time_left = self.prepared.deadline.since(now);
        // A stream that has begun goes on wherever it can.
        let objective = match self.begun {
            true => time_left,
            false => self.prepared.route.objective,
        };
        let request = PlacementRequest {
            name: &self.prepared.caller.id,
            service: &self.prepared.service,
            prompt: self.prompt(),
            stage: self.stage(),
            excluded: &self.excluded,
            time_left,
            objective,
        };
        let table = self.state.table.borrow();
        let domain = &self.state.settings().domain;
        self.state.policy.choose(&table, &request, domain, now)
    }

    fn stage(&self) -> PlacementStage<'_> {
        let resumes = self.begun || self.prepared.caller.last_event_id.is_some();
        match &self.handoff {
            Some(handoff) => PlacementStage::Answer(handoff.domain()),
            None if self.apart && !resumes => PlacementStage::Open,
            None => PlacementStage::Whole,
        }
    }

    /// A call that failed to read the prompt makes the next one an extra arrival.
    fn charge_retry(&self) -> bool {
        let service = &self.prepared.service;
        self.state
            .with_budget(service, |budget| budget.try_withdraw())
    }

    fn keep_handoff(&mut self, handle: KvHandle, placement: &Placement) {
        let domain = {
            let table = self.state.table.borrow();
            let row = table.get(&placement.backend);
            row.map(|row| row.spec.domain.clone())
        };
        let domain = domain.unwrap_or_else(|| self.state.settings().domain.clone());
        let backend = &placement.backend;
        self.handoff = Some(HandoffGuard::new(self.state, backend, handle, domain));
        self.apart = false;
    }

    /// An engine that refused may have found the KV cache gone; it is not offered twice.
    fn note_handoff_failed(&mut self, end: AttemptEnd) {
        if end != AttemptEnd::NotSent {
            self.handoff = None;
        }
    }

    /// Returns the prompt where an engine serves the request.
    fn prompt(&self) -> Option<&PromptShape> {
        let rule = self.prepared.rules.services.get(&self.prepared.service);
        let engine = rule.is_some_and(|rule| rule.engine);
        self.prepared.caller.prompt.as_ref().filter(|_| engine)
    }

    async fn attempt(&self, placement: &Placement) -> AttemptResult {
        let runs = self.progress.runs;
        let attempt = Attempt {
            state: self.state,
            request: self.request,
            caller: &self.prepared.caller,
            route: &self.prepared.route,
            team: self.prepared.team.as_ref(),
            urgency: self.prepared.urgency,
            placement,
            deadline: self.prepared.deadline,
            work: match (placement.work, &self.handoff) {
                (PlacementWork::Prefill, _) => AttemptWork::Prefill,
                (PlacementWork::Run, None) => AttemptWork::Full,
                (PlacementWork::Run, Some(handoff)) => handoff
                    .handle()
                    .map_or(AttemptWork::Full, AttemptWork::Decode),
            },
            others_left: runs + 1 < self.prepared.route.max_attempts,
            last_event: self.cutter.last_event().map(SmolStr::as_str),
        };
        attempt.run().await
    }

    fn decide(&mut self, end: AttemptEnd) -> NextStep {
        let limits = AttemptLimits {
            max_runs: self.prepared.route.max_attempts,
            max_sends: MAX_SENDS,
            min_time: MIN_ATTEMPT_TIME,
            retry_after: BUSY_RETRY,
        };
        let left = self.prepared.deadline.since(self.state.now());
        let repeat = self.prepared.route.repeat;
        let progress = &mut self.progress;
        self.state.with_budget(&self.prepared.service, |budget| {
            progress.decide(end, repeat, &limits, left, budget)
        })
    }

    /// A request during which backend servers go away is suspected of it.
    fn note_crash(&self, end: AttemptEnd, placement: &Placement) {
        if end == AttemptEnd::Broken {
            let table = self.state.table.borrow();
            let start = table.get(&placement.backend).map(|row| row.spec.born);
            let crashed = BackendRun {
                backend: placement.backend.clone(),
                incarnation: start.unwrap_or_default(),
            };
            let (name, now) = (&self.prepared.caller.id, self.state.now());
            let suspects = &self.state.suspects;
            suspects.note_crash(name, self.prepared.fingerprint, &crashed, now);
        }
    }

    fn count_run(&mut self) {
        if std::mem::replace(&mut self.counted, true) {
            return;
        }
        if let Some(team) = &self.prepared.team {
            let wall = self.state.cluster_time();
            self.state.counter.borrow_mut().count(team, wall);
        }
    }

    async fn deliver(
        &mut self,
        head: &ResponseHead,
        body: &[u8],
        writer: &mut OwnedWriteHalf,
    ) -> ConnectionAction {
        if self.begun {
            self.log_end(head.status, "the stream could not go on");
            return ConnectionAction::Close;
        }
        self.count_run();
        let now = self.state.now();
        if head.status < 500 {
            let suspects = &self.state.suspects;
            suspects.note_completion(self.prepared.fingerprint, now);
        }
        let keep = keeps_alive(self.state, self.request);
        let mut bytes = Vec::with_capacity(body.len() + 512);
        let framing = ResponseFraming::Length(body.len());
        render_response_head(head, framing, keep, &mut bytes);
        bytes.extend_from_slice(body);
        let span = now.since(self.request.arrived);
        self.first = Some(span);
        let metrics = &self.state.metrics;
        metrics.whole_answer.record(span.as_secs_f64(), &[]);
        self.log_end(head.status, "answered");
        write_last(writer, &bytes, keep).await
    }

    async fn give_up(
        &mut self,
        refusal: CallRefusal,
        writer: &mut OwnedWriteHalf,
    ) -> ConnectionAction {
        if self.begun {
            self.log_end(refusal.code.status(), "the stream broke off");
            return ConnectionAction::Close;
        }
        if let Some((head, body)) = self.failure.take() {
            return self.deliver(&head, &body, writer).await;
        }
        let says_not_run = refusal.code.run_state() == RunState::NotRun;
        let refusal = match self.progress.may_have_run() && says_not_run {
            true => CallRefusal::permanent(ResultCode::OutcomeUnknown),
            false => refusal,
        };
        let keep = keeps_alive(self.state, self.request);
        let mut bytes = Vec::new();
        render_refusal(&refusal, Some(&self.prepared.caller.id), keep, &mut bytes);
        self.log_end(refusal.code.status(), refusal.code.meaning());
        write_last(writer, &bytes, keep).await
    }

    /// Logs and counts an attempt; `outcome` says more than its class.
    fn log_attempt(
        &self,
        placement: &Placement,
        begun: TimePoint,
        class: AttemptClass,
        outcome: &str,
    ) {
        let now = self.state.now();
        let outcome_key = KeyValue::new("outcome", class.name());
        self.state.metrics.attempts.add(1, &[outcome_key]);
        if class.is_failure() {
            let backend = KeyValue::new("backend", placement.backend.as_str().to_owned());
            self.state.metrics.backend_failures.add(1, &[backend]);
        }
        log::info!(request = self.prepared.caller.id.as_str(), attempt = self.progress.sends,
            backend = placement.backend.as_str(), work = format!("{:?}", placement.work),
            predicted_ms = placement.predicted.as_millis(),
            uncached = placement.uncached.0, compared = placement.compared,
            took_ms = now.since(begun).as_millis(),
            left_ms = self.prepared.deadline.since(now).as_millis();
            "attempt: {outcome}");
    }

    fn log_end(&self, status: u16, outcome: &str) {
        count_request(self.state, status);
        let took = self.state.now().since(self.request.arrived);
        log::info!(request = self.prepared.caller.id.as_str(),
            route = self.prepared.route.name.as_str(),
            service = self.prepared.service.as_str(),
            team = self.prepared.team.as_ref().map_or("", TeamId::as_str),
            backend = self.last_backend.as_ref().map_or("", BackendId::as_str),
            revision = self.prepared.rules.revision.0, status,
            sends = self.progress.sends, runs = self.progress.runs,
            first_ms = self.first.map_or(0, TimeSpan::as_millis), took_ms = took.as_millis();
            "request ended: {outcome}");
    }
}
