//! The first half of a request: admission, dispatch, prompt and retries.

use std::collections::BTreeSet;

use applefold_core::admission::{AdmissionDeadlines, AdmissionRequest};
use applefold_core::code::{CallRefusal, ResultCode, RunState};
use applefold_core::fairness::{CallClass, CallId, QueuedCall};
use applefold_core::health::HealthSample;
use applefold_core::id::ServiceId;
use applefold_core::retry::RetryDecision;
use applefold_core::role::EngineState;
use applefold_core::routing::{BackendRole, CacheChange, CacheEvent, RouteChoice, RoutePhase};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use rand::Rng;

use crate::engine::{EngineIndex, PrefillJob};
use crate::entry::{piece_hashes, route_request};
use crate::mechanism::Mechanism;
use crate::member::{named, team_id};
use crate::score::CallOutcome;
use crate::world::{World, WorldEvent};

const NAIVE_ATTEMPTS: u64 = 3;
/// The longest time between two tokens of an answer.
const BETWEEN_TOKENS: TimeSpan = TimeSpan::from_millis(69);
const CACHE_EVENT_LAG: TimeSpan = TimeSpan::from_millis(500);
const CACHE_EVENTS_LOST: f64 = 0.02;
pub(crate) const NO_DEADLINE: TimeSpan = TimeSpan::from_secs(3_600);
pub(crate) const BUSY_SPAN: TimeSpan = TimeSpan::from_secs(1);

impl World<'_> {
    pub(crate) fn service(&self, request: usize) -> ServiceId {
        match self.class(request).is_plain() {
            true => named("plain"),
            false => named("assistant"),
        }
    }

    pub(crate) fn first_due(&self, request: usize) -> TimePoint {
        self.offered(request).at + self.class(request).first_within
    }

    pub(crate) fn whole_due(&self, request: usize) -> TimePoint {
        self.offered(request).at + self.class(request).whole_within
    }

    /// What the request still has to be on time for.
    fn next_due(&self, request: usize) -> TimePoint {
        match self.rows[request].first_at {
            None => self.first_due(request),
            Some(_) => self.whole_due(request),
        }
    }

    /// Begins the next attempt at a request.
    pub(crate) fn attempt(&mut self, request: usize) {
        self.rows[request].attempt += 1;
        if self.class(request).is_plain() {
            return self.attempt_plain(request);
        }
        let choice = self.choose(request, RoutePhase::Prefill);
        if self.rows[request].attempt == 1 && self.has(Mechanism::Admission) {
            if let Err(refusal) = self.admit(request, &choice) {
                return self.refuse(request, refusal);
            }
        }
        let Some(best) = choice.best() else {
            let missing = CallRefusal::retryable(ResultCode::BackendMissing, BUSY_SPAN);
            return self.fail(request, missing);
        };
        let computed = TokenCount(self.offered(request).prompt).saturating_sub(best.cached_tokens);
        let backend = best.backend.clone();
        let engine = self.engine_by_id[&backend];
        let row = &mut self.rows[request];
        row.flight = self.entry.table.begin(&backend, computed, self.now);
        row.backend = Some(backend);
        row.sent_at = self.now;
        let attempt = row.attempt;
        let delivered = WorldEvent::Delivered {
            request,
            attempt,
            engine,
        };
        self.plan_in(self.plan.workload.one_way, delivered);
    }

    pub(crate) fn choose(&mut self, request: usize, phase: RoutePhase) -> RouteChoice {
        let role = match phase {
            RoutePhase::Decode => BackendRole::Decode,
            _ if self.class(request).is_plain() => BackendRole::Plain,
            _ => BackendRole::Prefill,
        };
        let left = self.next_due(request).since(self.now);
        let excluded = match phase {
            RoutePhase::Decode => BTreeSet::new(),
            _ => self.rows[request].excluded.clone(),
        };
        let class = self.class(request);
        let asked = route_request(self.offered(request), class, phase, left, &excluded);
        self.entry.choose(&asked, role)
    }

    /// Weighs the prompt's place and the answer's place together.
    fn admit(&mut self, request: usize, choice: &RouteChoice) -> Result<(), CallRefusal> {
        let answering = self.choose(request, RoutePhase::Decode);
        let mut candidates = Vec::new();
        if let Some(answer) = answering.best() {
            for prompt in &choice.candidates {
                let mut candidate = prompt.clone();
                candidate.inter_token_latency = answer.inter_token_latency;
                candidate.unloaded_inter_token_latency = answer.unloaded_inter_token_latency;
                candidates.push(candidate);
            }
        }
        let class = self.class(request);
        let offered = self.offered(request);
        let reading = class.whole_within.saturating_sub(class.first_within);
        let between = TimeSpan(reading.0 / offered.answer.max(1)).min(BETWEEN_TOKENS);
        let asked = AdmissionRequest {
            team: team_id(offered.team),
            prompt_tokens: TokenCount(offered.prompt),
            answer_tokens: TokenCount(offered.answer),
            deadlines: AdmissionDeadlines {
                ttft: class.first_within,
                max_inter_token_latency: Some(between),
            },
        };
        let both = RouteChoice { candidates };
        let ticket = self.entry.admission.admit(&asked, &both, self.now)?;
        self.rows[request].ticket = Some(ticket);
        Ok(())
    }

    pub(crate) fn is_current(&self, request: usize, attempt: u64) -> bool {
        let row = &self.rows[request];
        row.outcome.is_none() && row.attempt == attempt
    }

    pub(crate) fn on_delivered(&mut self, request: usize, attempt: u64, engine: EngineIndex) {
        if !self.is_current(request, attempt) {
            return;
        }
        let fake = &self.engines[engine];
        if !fake.is_up() {
            self.record_health(request, HealthSample::Failed);
            let missing = CallRefusal::retryable(ResultCode::BackendMissing, BUSY_SPAN);
            return self.fail(request, missing);
        }
        if fake.state != EngineState::Serving || fake.switching {
            let shutting = CallRefusal::retryable(ResultCode::ServiceShutting, BUSY_SPAN);
            return self.fail(request, shutting);
        }
        let call = self.queued_call(request, engine);
        let pace = self.engines[engine].pace();
        match self.engines[engine].queue.push(call, pace, self.now) {
            Err(refusal) => self.fail(request, refusal),
            Ok(Some(dropped)) => self.fail(dropped.id.0 as usize, dropped.refusal),
            Ok(None) => {}
        }
        self.begin_prompt(engine);
    }

    fn queued_call(&self, request: usize, engine: EngineIndex) -> QueuedCall {
        let offered = self.offered(request);
        let cached = self.engines[engine].cache.cached_tokens(offered.document);
        let computed = offered.prompt + self.rows[request].generated - cached;
        let deadline = match self.has(Mechanism::Admission) {
            true => self.next_due(request),
            false => self.now + NO_DEADLINE,
        };
        QueuedCall {
            id: CallId(request as u64),
            team: team_id(offered.team),
            class: call_class(self.class(request).urgent),
            prompt_tokens: TokenCount(computed),
            answer_tokens: TokenCount(offered.answer),
            deadline,
        }
    }

    /// Starts the next piece of a prompt where the engine has nothing to compute.
    fn begin_prompt(&mut self, engine: EngineIndex) {
        if self.engines[engine].current.is_some() {
            return;
        }
        let dropped = self.engines[engine].queue.drop_late(self.now);
        for call in dropped {
            self.fail(call.id.0 as usize, call.refusal);
        }
        let fake = &mut self.engines[engine];
        let resumed = match fake.queue.urgent_waits() {
            true => None,
            false => fake.paused.pop(),
        };
        let job = resumed.or_else(|| self.next_prompt(engine));
        let fake = &mut self.engines[engine];
        fake.current = job;
        if let Some(span) = fake.piece_span() {
            let epoch = fake.epoch;
            self.plan_in(span, WorldEvent::PieceDone { engine, epoch });
        }
    }

    fn next_prompt(&mut self, engine: EngineIndex) -> Option<PrefillJob> {
        let call = self.engines[engine].queue.pop()?;
        let request = call.id.0 as usize;
        let offered = self.offered(request);
        let cached = self.engines[engine].cache.cached_tokens(offered.document);
        self.control.learn_cached(offered.class, cached);
        self.rows[request].executions += 1;
        Some(PrefillJob {
            request,
            urgent: call.class == CallClass::Interactive,
            left: (offered.prompt + self.rows[request].generated - cached).max(1),
        })
    }

    pub(crate) fn on_piece_done(&mut self, engine: EngineIndex, epoch: u64) {
        let fake = &mut self.engines[engine];
        if fake.epoch != epoch {
            return;
        }
        let Some(mut job) = fake.current.take() else {
            return;
        };
        job.left = job.left.saturating_sub(crate::workload::BLOCK_TOKENS);
        match job.left {
            0 => self.end_prompt(engine, job.request),
            _ if !job.urgent && fake.queue.urgent_waits() => fake.paused.push(job),
            _ => {
                fake.current = Some(job);
                if let Some(span) = fake.piece_span() {
                    self.plan_in(span, WorldEvent::PieceDone { engine, epoch });
                }
                return;
            }
        }
        self.begin_prompt(engine);
    }

    fn end_prompt(&mut self, engine: EngineIndex, request: usize) {
        let offered = self.offered(request);
        if let Some(document) = offered.document {
            let tokens = self.class(request).prefix_tokens;
            self.engines[engine].cache.keep(document, tokens);
            self.tell_cache(engine, CacheChange::Stored(piece_hashes(document, tokens)));
        }
        let first_at = self.now + self.plan.workload.one_way;
        let row = &mut self.rows[request];
        row.first_at.get_or_insert(first_at);
        row.generated = row.generated.max(1);
        let span = self.now.since(row.sent_at);
        self.record_health(request, HealthSample::Answered(span));
        self.end_flight(request);
        match self.rows[request].generated >= offered.answer {
            true => self.finish(request),
            false => {
                self.place_answer(request, TimeSpan::ZERO);
            }
        }
    }

    /// Tells the entry of a change of a cache, late and with gaps.
    pub(crate) fn tell_cache(&mut self, engine: EngineIndex, change: CacheChange) {
        let fake = &mut self.engines[engine];
        fake.cache_sequence += 1;
        let event = CacheEvent {
            sequence: fake.cache_sequence,
            change,
        };
        let backend = fake.id.clone();
        if !self.rng.gen_bool(CACHE_EVENTS_LOST) {
            let changed = WorldEvent::CacheChanged { backend, event };
            self.plan_in(CACHE_EVENT_LAG, changed);
        }
    }

    fn refuse(&mut self, request: usize, refusal: CallRefusal) {
        debug_assert_eq!(refusal.code.run_state(), RunState::NotRun);
        let after = self.now.since(self.offered(request).at);
        self.end(request, CallOutcome::Refused { after });
    }

    /// An attempt did not come to a whole answer.
    pub(crate) fn fail(&mut self, request: usize, refusal: CallRefusal) {
        if self.rows[request].outcome.is_some() {
            return;
        }
        self.end_flight(request);
        let backend = self.rows[request].backend.take();
        self.rows[request].excluded.extend(backend);
        match self.has(Mechanism::Retry) {
            true => self.retry(request, refusal),
            false => self.retry_naively(request),
        }
    }

    fn retry(&mut self, request: usize, refusal: CallRefusal) {
        let left = self.next_due(request).since(self.now);
        let Some(attempts) = &mut self.rows[request].attempts else {
            return;
        };
        match self.entry.retry.decide(attempts, refusal, left) {
            RetryDecision::Retry(_) => self.attempt(request),
            RetryDecision::GiveUp(refusal) => match refusal.code.run_state() {
                RunState::NotRun if self.rows[request].executions == 0 => {
                    self.refuse(request, refusal);
                }
                _ => self.end(request, CallOutcome::Broken),
            },
        }
    }

    fn retry_naively(&mut self, request: usize) {
        let row = &self.rows[request];
        match row.first_at.is_none() && row.attempt < NAIVE_ATTEMPTS {
            true => self.attempt(request),
            false => self.end(request, CallOutcome::Broken),
        }
    }

    pub(crate) fn record_health(&mut self, request: usize, sample: HealthSample) {
        if !self.has(Mechanism::Routing) {
            return;
        }
        if let Some(backend) = self.rows[request].backend.clone() {
            let action = self.entry.health.record(&backend, sample, self.now);
            self.apply_health(action);
        }
    }
}

pub(crate) fn call_class(urgent: bool) -> CallClass {
    match urgent {
        true => CallClass::Interactive,
        false => CallClass::Batch,
    }
}
