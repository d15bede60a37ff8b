//! Drives one request from its arrival to its final response.

mod race;
mod respond;
mod stream;

use std::collections::BTreeSet;
use std::rc::Rc;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::{
    AttemptEnd, AttemptLimits, NextStep, Placement, PlacementRequest, PlacementStage,
    PlacementWork, PromptShape, RequestProgress, ResponseStage, StreamBinding,
};
use applefold_core::drain::DrainPhase;
use applefold_core::id::BackendId;
use applefold_core::quarantine::BackendRun;
use applefold_core::unit::TimeSpan;
use applefold_h1::{ResponseHead, LAST_CHUNK};
use applefold_platform::{AttemptWork, KvHandle};
use smol_str::SmolStr;
use tokio::net::tcp::OwnedWriteHalf;

use super::accept::{CallerReader, ConnectionAction, ReceivedRequest};
use super::attempt::{Attempt, AttemptClass, AttemptResult};
use super::buffers::BufferedBody;
use super::handoff::HandoffGuard;
use super::origins::is_resumable;
use super::permits::{PermitOutcome, SendPermit};
use super::prepare::{keeps_alive, write_last, EarlyRefusal, PreparedRequest};
use super::quotas::QuotaCharge;
use super::resume;
use super::sse::EventBuffer;
use super::state::GatewayState;
use super::stop;
use super::suspects::CrashProgress;
use race::EndedAttempt;
use stream::RelayEnd;

/// The most attempts per request, including those that did not run.
const MAX_SENDS: u32 = 4;
/// The least time left for which another attempt is made.
const MIN_ATTEMPT_TIME: TimeSpan = TimeSpan::from_millis(30);
/// `Retry-After` if the backend servers were busy or missing.
const BUSY_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(400);

/// Serves one request until its response is complete or the caller disconnects; returns what
/// happens to the connection.
pub(crate) async fn serve(
    state: &Rc<GatewayState>,
    request: &ReceivedRequest,
    reader: &mut CallerReader,
    writer: &mut OwnedWriteHalf,
) -> ConnectionAction {
    let mut prepared = match PreparedRequest::new(state, request) {
        Ok(prepared) => prepared,
        Err(refusal) => return refusal.respond(state, request, writer).await,
    };
    reader.begin_request(&prepared.caller.id);
    let binding = match resume::bind(state, &mut prepared).await {
        Ok(binding) => binding,
        Err(refusal) => return refusal.respond(state, request, writer).await,
    };
    let charge = match charge_quota(state, &prepared).await {
        Ok(charge) => charge,
        Err(refusal) => return refusal.respond(state, request, writer).await,
    };
    let mut driver = RequestDriver {
        state,
        request,
        prepared: &prepared,
        charge,
        progress: RequestProgress::default(),
        excluded: BTreeSet::new(),
        binding,
        failure: None,
        head_sent: false,
        attempting: false,
        response_begun: false,
        usage_counted: false,
        first_byte: None,
        event_buffer: EventBuffer::default(),
        last_backend: None,
        handoff: None,
        may_prefill: true,
    };
    tokio::select! {
        biased;
        action = driver.run(writer) => action,
        () = reader.wait_closed() => {
            driver.log_end(499, "the caller disconnected");
            ConnectionAction::Close
        }
        () = stop::reached(state, DrainPhase::Ending) => driver.end_unfinished(writer).await,
    }
}

/// Charges a request to the quota of its team, if that has one.
async fn charge_quota(
    state: &Rc<GatewayState>,
    prepared: &PreparedRequest,
) -> Result<Option<QuotaCharge>, EarlyRefusal> {
    let quota = |team| prepared.rules.teams.get(team)?.quota;
    let team = prepared.team.as_ref();
    let Some((team, quota)) = team.and_then(|team| Some((team, quota(team)?))) else {
        return Ok(None);
    };
    let caller = &prepared.caller;
    let charge = state.charge_quota(team, &quota, quota.cost(caller.tokens), &caller.id);
    let refusal = |refusal| EarlyRefusal::new(&caller.id, refusal);
    charge.await.map(Some).map_err(refusal)
}

/// A request that is being served.
struct RequestDriver<'a> {
    state: &'a Rc<GatewayState>,
    request: &'a ReceivedRequest,
    prepared: &'a PreparedRequest,
    /// What the request costs of the quota of its team, if that has one.
    charge: Option<QuotaCharge>,
    progress: RequestProgress,
    /// Backend servers at which an attempt has ended without success.
    excluded: BTreeSet<BackendId>,
    /// The software version that began the stream of the response.
    binding: StreamBinding,
    /// The last server error from a backend server, which is relayed if no attempt succeeds.
    failure: Option<(ResponseHead, BufferedBody)>,
    /// Whether the caller was sent the head of a stream.
    head_sent: bool,
    /// Whether an attempt is in progress, or a stream that it has begun.
    attempting: bool,
    /// Whether a response that is not a stream has begun to be written.
    response_begun: bool,
    /// Whether the request has been counted for the usage report.
    usage_counted: bool,
    /// The time from the arrival to the first byte for the caller.
    first_byte: Option<TimeSpan>,
    event_buffer: EventBuffer,
    last_backend: Option<BackendId>,
    /// The KV cache of the prompt, if another engine has prefilled it.
    handoff: Option<HandoffGuard>,
    /// Whether the prompt may still be prefilled at another engine.
    may_prefill: bool,
}

impl RequestDriver<'_> {
    async fn run(&mut self, writer: &mut OwnedWriteHalf) -> ConnectionAction {
        let service = &self.prepared.service;
        self.state.with_budget(service, |budget| budget.deposit());
        loop {
            self.attempting = false;
            let placement = match self.place() {
                Ok(placement) => placement,
                Err(refusal) => return self.give_up(refusal, writer).await,
            };
            let (backend, id) = (&placement.backend, &self.prepared.caller.id);
            let permit = match self.state.acquire_permit(backend, id).await {
                PermitOutcome::Allowed(permit) => permit,
                PermitOutcome::Deferred => continue,
            };
            if placement.work == PlacementWork::Run {
                self.progress.begin();
            }
            if let Some(charge) = &self.charge {
                charge.begin(placement.work);
            }
            self.last_backend = Some(placement.backend.clone());
            let started_at = self.state.now();
            self.attempting = true;
            let ended = match self.is_hedgeable(&placement) {
                // On the heap, so that requests that are not hedged take no memory for two attempts.
                true => Box::pin(self.race(placement, permit, started_at)).await,
                false => {
                    let result = self.attempt(&placement, permit, 1).await;
                    EndedAttempt {
                        placement,
                        started_at,
                        result,
                    }
                }
            };
            let (placement, started_at) = (ended.placement, ended.started_at);
            let end = match ended.result {
                AttemptResult::Complete(head, body) => {
                    if (200..300).contains(&head.status) {
                        self.note_answer_begun();
                    }
                    self.log_attempt(&placement, started_at, AttemptClass::Answered, "answered");
                    return self.deliver(&head, &body, writer).await;
                }
                AttemptResult::Stream(stream) => {
                    match self.relay(*stream, &placement, writer).await {
                        RelayEnd::Complete => {
                            self.log_attempt(
                                &placement,
                                started_at,
                                AttemptClass::Streamed,
                                "streamed",
                            );
                            let keep = keeps_alive(self.state, self.request);
                            self.log_end(200, "streamed");
                            return write_last(writer, LAST_CHUNK, keep).await;
                        }
                        RelayEnd::CallerDisconnected => {
                            self.log_end(499, "the caller disconnected");
                            return ConnectionAction::Close;
                        }
                        RelayEnd::Broken(end, reason) => {
                            self.log_attempt(
                                &placement,
                                started_at,
                                AttemptClass::Ended(end),
                                &reason,
                            );
                            let events = self.event_buffer.event_count();
                            self.note_crash(end, &placement, events);
                            end
                        }
                    }
                }
                AttemptResult::Prefilled(handle) => {
                    self.log_attempt(
                        &placement,
                        started_at,
                        AttemptClass::Prefilled,
                        "prefill completed",
                    );
                    self.store_handoff(handle, &placement);
                    continue;
                }
                AttemptResult::Failed(head, body) => {
                    self.log_attempt(
                        &placement,
                        started_at,
                        AttemptClass::Ended(AttemptEnd::Failed),
                        "the backend server failed",
                    );
                    self.count_usage();
                    self.failure = Some((head, body));
                    AttemptEnd::Failed
                }
                AttemptResult::Withheld(reason) => {
                    let class = AttemptClass::Ended(AttemptEnd::NotSent);
                    self.log_attempt(&placement, started_at, class, &reason);
                    AttemptEnd::NotSent
                }
                AttemptResult::Ended(end, reason) => {
                    self.log_attempt(&placement, started_at, AttemptClass::Ended(end), &reason);
                    self.note_crash(end, &placement, 0);
                    self.note_shortage_end(end);
                    // A request whose connection broke after it was sent has run in most cases.
                    if end.is_lost_response() && placement.work == PlacementWork::Run {
                        self.count_usage();
                    }
                    end
                }
            };
            if let Some(charge) = &self.charge {
                charge.settle(placement.work, end);
            }
            if placement.work == PlacementWork::Prefill {
                self.may_prefill = false;
                // An unsent call has reached no backend server, so the next call is not a retry.
                if end == AttemptEnd::NotSent || self.charge_retry() {
                    continue;
                }
                let busy = CallRefusal::retryable(ResultCode::RetryExhausted, BUSY_RETRY_AFTER);
                return self.give_up(busy, writer).await;
            }
            self.discard_handoff(end);
            self.excluded.insert(placement.backend);
            match self.decide(end) {
                NextStep::Retry => {}
                NextStep::Relay => {
                    if let Some((head, body)) = self.failure.take() {
                        return self.deliver(&head, &body, writer).await;
                    }
                }
                NextStep::Refuse(refusal) => return self.give_up(refusal, writer).await,
            }
        }
    }

    /// Chooses the backend server of the next attempt. The quarantine is checked each time, since
    /// crashes under other requests may have been recorded since the last attempt.
    fn place(&self) -> Result<Placement, CallRefusal> {
        let placement = self.choose(&self.excluded, self.stage());
        placement.inspect_err(|refusal| {
            self.note_shortage(refusal);
            let time_left = self.prepared.deadline.since(self.state.now());
            let goal = self
                .prepared
                .route
                .time_goal(self.response_stage(), time_left);
            log::info!(request = self.prepared.caller.id.as_str(), code = refusal.code.number(),
                stage = format!("{:?}", self.response_stage()),
                goal_ms = goal.latency_objective.as_millis(), left_ms = time_left.as_millis(),
                retry_after_ms = refusal.retry_after.map_or(0, TimeSpan::as_millis);
                "no backend server was chosen");
        })
    }

    /// Chooses a backend server for a stage of the work that is not among those excluded.
    fn choose(
        &self,
        excluded: &BTreeSet<BackendId>,
        stage: PlacementStage<'_>,
    ) -> Result<Placement, CallRefusal> {
        let now = self.state.now();
        let id = &self.prepared.caller.id;
        let suspects = &self.state.suspects;
        let settle_time = self.state.settle_time();
        suspects.check(id, self.prepared.fingerprint, settle_time, now)?;
        let suspect_parts = &self.state.suspect_parts;
        let parts = &self.prepared.shared_parts;
        suspect_parts.check(id, parts, suspects, settle_time, now)?;
        let time_left = self.prepared.deadline.since(now);
        let goal = self
            .prepared
            .route
            .time_goal(self.response_stage(), time_left);
        let avoided = match is_resumable(self.prepared.route.retry_rule) {
            true => self.state.origins.unsettled(&self.prepared.service, now),
            false => BTreeSet::new(),
        };
        let request = PlacementRequest {
            name: &self.prepared.caller.id,
            service: &self.prepared.service,
            prompt: self.prompt(),
            stage,
            excluded,
            versions: self.binding.bound(&avoided)?,
            time_left: goal.time_left,
            latency_objective: goal.latency_objective,
        };
        let table = self.state.table.borrow();
        let domain = &self.state.settings().domain;
        self.state.policy.choose(&table, &request, domain, now)
    }

    /// Returns how much of the response the caller has.
    fn response_stage(&self) -> ResponseStage {
        let resumable = is_resumable(self.prepared.route.retry_rule);
        let resumes = resumable && self.prepared.caller.last_event_id.is_some();
        match (self.head_sent, resumes) {
            (true, _) => ResponseStage::ResumedHere,
            (false, true) => ResponseStage::ResumedByCaller,
            (false, false) => ResponseStage::New,
        }
    }

    /// Returns the part of the work that is to be placed next.
    fn stage(&self) -> PlacementStage<'_> {
        let resumes = self.head_sent || self.prepared.caller.last_event_id.is_some();
        match &self.handoff {
            Some(handoff) => PlacementStage::Decode(handoff.domain()),
            None if self.may_prefill && !resumes => PlacementStage::Splittable,
            None => PlacementStage::Unsplit,
        }
    }

    /// Withdraws a retry from the budget of the service; returns whether the budget allows it. The
    /// call after a failed prefill is an extra one for the backend servers.
    fn charge_retry(&self) -> bool {
        let service = &self.prepared.service;
        self.state
            .with_budget(service, |budget| budget.try_withdraw())
    }

    /// Keeps the handle of a prefilled KV cache for the next attempt.
    fn store_handoff(&mut self, handle: KvHandle, placement: &Placement) {
        let domain = {
            let table = self.state.table.borrow();
            let row = table.get(&placement.backend);
            row.map(|row| row.spec.domain.clone())
        };
        let domain = domain.unwrap_or_else(|| self.state.settings().domain.clone());
        let backend = &placement.backend;
        self.handoff = Some(HandoffGuard::new(self.state, backend, handle, domain));
        self.may_prefill = false;
    }

    /// Discards the KV cache after a failed attempt that was sent. The engine may have failed
    /// because the KV cache is gone, so it is not offered again.
    fn discard_handoff(&mut self, end: AttemptEnd) {
        if end != AttemptEnd::NotSent {
            self.handoff = None;
        }
    }

    /// Returns the prompt if the service of the request runs on engines.
    fn prompt(&self) -> Option<&PromptShape> {
        let rule = self.prepared.rules.services.get(&self.prepared.service);
        let engine = rule.is_some_and(|rule| rule.is_engine);
        self.prepared.caller.prompt.as_ref().filter(|_| engine)
    }

    /// Sends the request to a backend server. `running` is the number of attempts in flight, with
    /// this one.
    async fn attempt(
        &self,
        placement: &Placement,
        permit: Option<SendPermit>,
        running: u32,
    ) -> AttemptResult {
        let runs = self.progress.runs;
        let attempt = Attempt {
            state: self.state,
            request: self.request,
            caller: &self.prepared.caller,
            route: &self.prepared.route,
            team: self.prepared.team.as_ref(),
            urgency: self.prepared.urgency,
            placement,
            permit,
            deadline: self.prepared.deadline,
            work: match (placement.work, &self.handoff) {
                (PlacementWork::Prefill, _) => AttemptWork::Prefill,
                (PlacementWork::Run, None) => AttemptWork::Full,
                (PlacementWork::Run, Some(handoff)) => handoff
                    .handle()
                    .map_or(AttemptWork::Full, AttemptWork::Decode),
            },
            others_left: runs + running < self.prepared.route.max_attempts,
            last_event_id: self.event_buffer.last_event().map(SmolStr::as_str),
        };
        attempt.run().await
    }

    fn attempt_limits(&self) -> AttemptLimits {
        AttemptLimits {
            max_runs: self.prepared.route.max_attempts,
            max_sends: MAX_SENDS,
            min_time_left: MIN_ATTEMPT_TIME,
            retry_after: BUSY_RETRY_AFTER,
        }
    }

    /// Decides what follows a failed attempt.
    fn decide(&mut self, end: AttemptEnd) -> NextStep {
        let limits = self.attempt_limits();
        let time_left = self.prepared.deadline.since(self.state.now());
        let repeat = self.prepared.route.retry_rule;
        let progress = &mut self.progress;
        self.state.with_budget(&self.prepared.service, |budget| {
            progress.decide(end, repeat, &limits, time_left, budget)
        })
    }

    /// Suspects the request of crashing the backend server if the way in which the attempt ended is
    /// evidence of that, after this many events.
    fn note_crash(&self, end: AttemptEnd, placement: &Placement, events: u64) {
        if end.is_lost_response() && !end.is_crash_evidence() {
            self.state.suspects.note_other_cause(
                &self.prepared.caller.id,
                self.prepared.fingerprint,
                &placement.backend,
                end,
            );
        }
        if end.is_crash_evidence() {
            let crashed = BackendRun {
                backend: placement.backend.clone(),
                incarnation: placement.incarnation,
            };
            let (id, now) = (&self.prepared.caller.id, self.state.now());
            let prompt = self.prepared.caller.prompt.as_ref();
            let progress = CrashProgress {
                work: placement.work,
                events,
                parts: prompt.map_or(&[], PromptShape::shared),
            };
            self.state.note_suspicion(&crashed.backend, now);
            let suspects = &self.state.suspects;
            suspects.note_crash(id, self.prepared.fingerprint, &crashed, &progress, now);
            if events == 0 && placement.work == PlacementWork::Run {
                let suspect_parts = &self.state.suspect_parts;
                suspect_parts.note_crash(id, &self.prepared.shared_parts, &crashed, now);
            }
        }
    }

    /// Records that a backend server has begun to answer the prompt.
    fn note_answer_begun(&self) {
        let (id, parts) = (&self.prepared.caller.id, &self.prepared.shared_parts);
        let suspect_parts = &self.state.suspect_parts;
        suspect_parts.note_answer(id, parts, self.state.now());
    }

    /// Counts the request for the usage report of its team, at most once.
    fn count_usage(&mut self) {
        if std::mem::replace(&mut self.usage_counted, true) {
            return;
        }
        if let Some(team) = &self.prepared.team {
            let wall = self.state.cluster_time();
            self.state.counter.borrow_mut().count(team, wall);
        }
    }
}
