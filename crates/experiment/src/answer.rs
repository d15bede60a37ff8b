//! The second half of a request: hand-over of the KV cache, answer and end.

use applefold_core::fairness::{CallId, PrefillLoad, QueuedCall};
use applefold_core::role::EngineState;
use applefold_core::routing::RoutePhase;
use applefold_core::unit::{TimeSpan, TokenCount, TokenRate};

use crate::engine::{AnswerRun, EngineIndex};
use crate::member::team_id;
use crate::score::CallOutcome;
use crate::serve::{call_class, BUSY_SPAN, NO_DEADLINE};
use crate::workload::DECODE_RATE;
use crate::world::{EndedAnswer, World, WorldEvent};

const KV_TOKEN_BYTES: u64 = 128 * 1024;
const LINK_BYTES_PER_SEC: f64 = 1e10;
const PLACE_AGAIN: TimeSpan = TimeSpan::from_millis(100);

impl World<'_> {
    /// Hands the KV cache over to a decode engine; `queued` is what the link does before it.
    pub(crate) fn place_answer(&mut self, request: usize, queued: TimeSpan) -> TimeSpan {
        if self.rows[request].outcome.is_some() {
            return queued;
        }
        let choice = self.choose(request, RoutePhase::Decode);
        let Some(best) = choice.best() else {
            match self.now > self.whole_due(request) {
                true => self.end(request, CallOutcome::Broken),
                false => self.plan_in(PLACE_AGAIN, WorldEvent::AnswerPlaced { request }),
            }
            return queued;
        };
        let backend = best.backend.clone();
        let engine = self.engine_by_id[&backend];
        let tokens = self.offered(request).prompt + self.rows[request].generated;
        let bytes = (tokens * KV_TOKEN_BYTES) as f64;
        let moved = queued + TimeSpan::from_secs_f64(bytes / LINK_BYTES_PER_SEC);
        let row = &mut self.rows[request];
        row.flight = self.entry.table.begin(&backend, TokenCount::ZERO, self.now);
        row.backend = Some(backend);
        let attempt = row.attempt;
        let arrived = WorldEvent::AnswerMoved {
            request,
            attempt,
            engine,
        };
        self.plan_in(moved + self.plan.workload.one_way, arrived);
        moved
    }

    pub(crate) fn on_answer_moved(&mut self, request: usize, attempt: u64, engine: EngineIndex) {
        if !self.is_current(request, attempt) {
            return;
        }
        let fake = &self.engines[engine];
        if !fake.is_up() || fake.state != EngineState::Serving || fake.switching {
            self.end_flight(request);
            return self.plan_in(PLACE_AGAIN, WorldEvent::AnswerPlaced { request });
        }
        let offered = self.offered(request);
        let left = offered.answer.saturating_sub(self.rows[request].generated);
        let call = QueuedCall {
            id: CallId(request as u64),
            team: team_id(offered.team),
            class: call_class(self.class(request).urgent),
            prompt_tokens: TokenCount(left),
            answer_tokens: TokenCount(left),
            deadline: self.now + NO_DEADLINE,
        };
        let pace = PrefillLoad {
            prefill_rate: TokenRate(DECODE_RATE),
            in_flight: TokenCount::ZERO,
        };
        match self.engines[engine].answer_queue.push(call, pace, self.now) {
            Err(refusal) => self.fail(request, refusal),
            Ok(Some(dropped)) => self.fail(dropped.id.0 as usize, dropped.refusal),
            Ok(None) => {}
        }
        self.fill_batch(engine);
    }

    /// Starts waiting answers while slots and memory last.
    pub(crate) fn fill_batch(&mut self, engine: EngineIndex) {
        let now = self.now;
        self.engines[engine].advance(now);
        while self.engines[engine].has_slot() && self.begin_answer(engine) {}
        let fake = &mut self.engines[engine];
        fake.answer_epoch += 1;
        let epoch = fake.answer_epoch;
        if let Some(at) = fake.next_end() {
            self.plan_at(at, WorldEvent::AnswerDue { engine, epoch });
        }
    }

    fn begin_answer(&mut self, engine: EngineIndex) -> bool {
        let fake = &mut self.engines[engine];
        let next = fake.next_answer.take();
        let Some(call) = next.or_else(|| fake.answer_queue.pop()) else {
            return false;
        };
        let request = call.id.0 as usize;
        let offered = &self.plan.requests[request];
        let prompt = TokenCount(offered.prompt);
        let answer = TokenCount(offered.answer);
        match fake.memory.reserve(prompt, answer, BUSY_SPAN) {
            Err(_) => {
                fake.next_answer = Some(call);
                false
            }
            Ok(memory) => {
                let left = call.answer_tokens.0 as f64;
                fake.answers.push(AnswerRun {
                    request,
                    left,
                    _memory: memory,
                });
                true
            }
        }
    }

    pub(crate) fn on_answer_due(&mut self, engine: EngineIndex, epoch: u64) {
        if self.engines[engine].answer_epoch != epoch {
            return;
        }
        let now = self.now;
        self.engines[engine].advance(now);
        for request in self.engines[engine].take_ended() {
            self.finish(request);
        }
        self.fill_batch(engine);
    }

    /// The whole answer has come.
    pub(crate) fn finish(&mut self, request: usize) {
        let backend = self.rows[request].backend.as_ref();
        let engine = backend.and_then(|backend| self.engine_by_id.get(backend));
        let at = self.now;
        self.rows[request].ended = engine.map(|engine| EndedAnswer {
            at,
            engine: *engine,
        });
        self.end_flight(request);
        let one_way = self.plan.workload.one_way;
        let end = self.now + one_way;
        let first_at = self.rows[request].first_at.unwrap_or(end);
        let on_time = first_at <= self.first_due(request) && end <= self.whole_due(request);
        let outcome = match on_time {
            true => CallOutcome::Good,
            false => CallOutcome::Late,
        };
        self.end(request, outcome);
    }

    pub(crate) fn end(&mut self, request: usize, outcome: CallOutcome) {
        self.end_flight(request);
        let offered = self.offered(request);
        let used = TokenCount(offered.prompt + offered.answer);
        let row = &mut self.rows[request];
        row.outcome = Some(outcome);
        if let Some(ticket) = row.ticket.take() {
            ticket.finish(used);
        }
    }

    pub(crate) fn end_flight(&mut self, request: usize) {
        if let Some(flight) = self.rows[request].flight.take() {
            self.entry.table.finish(flight, self.now);
        }
    }
}
