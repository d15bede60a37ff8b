//! The fake platform and what goes wrong: orders, the list, crashes and withdrawals.

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::role::{EngineRole, EngineState};
use applefold_core::routing::CacheChange;
use applefold_core::unit::{TimePoint, TimeSpan};
use rand::Rng;

use crate::control::OutageSpan;
use crate::engine::{EngineIndex, EngineLife};
use crate::fault::FaultKind;
use crate::mechanism::Mechanism;
use crate::prefix::PrefixCache;
use crate::world::{World, WorldEvent};

const LEAD: TimeSpan = TimeSpan::from_secs(90);
/// The lead time varies by this share both ways.
const LEAD_SPREAD: f64 = 0.1;
const LIST_LAG: TimeSpan = TimeSpan::from_secs(5);
const NOTICE: TimeSpan = TimeSpan::from_secs(30);
const RESTART: TimeSpan = TimeSpan::from_secs(20);
const RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

impl World<'_> {
    /// Accepts an order; the engine is paid from now on.
    pub(crate) fn order_engine(&mut self, domain: u32, role: Option<EngineRole>) {
        let engine = self.add_engine(domain, role);
        self.engines[engine].life = EngineLife::Starting;
        let spread = self.rng.gen_range(1.0 - LEAD_SPREAD..1.0 + LEAD_SPREAD);
        let lead = TimeSpan::from_secs_f64(LEAD.as_secs_f64() * spread);
        self.plan_in(lead, WorldEvent::Started { engine });
    }

    pub(crate) fn on_started(&mut self, engine: EngineIndex) {
        let fixed = match self.has(Mechanism::Roles) {
            true => None,
            false => Some(self.lacking_role()),
        };
        let fake = &mut self.engines[engine];
        fake.life = EngineLife::Up;
        fake.role = fake.role.or(fixed);
        fake.advanced_at = self.now;
        self.sync_engine(engine);
    }

    /// The role that is further below its part of the fixed split.
    fn lacking_role(&self) -> EngineRole {
        let workload = self.plan.workload;
        let count = |role| {
            let up = self.engines.iter().filter(|engine| engine.is_up());
            up.filter(|engine| engine.role == Some(role)).count() as u32
        };
        let prefill = count(EngineRole::Prefill) * (workload.engines - workload.fixed_prefill);
        let decode = count(EngineRole::Decode) * workload.fixed_prefill;
        match prefill <= decode {
            true => EngineRole::Prefill,
            false => EngineRole::Decode,
        }
    }

    pub(crate) fn on_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Crash { pick } => {
                if let Some(engine) = self.picked(pick) {
                    self.crash(engine);
                }
            }
            FaultKind::Withdrawal { pick } => {
                if let Some(engine) = self.picked(pick) {
                    self.engines[engine].leaving = true;
                    self.plan_in(LIST_LAG, WorldEvent::ListedLeaving { engine });
                    self.plan_in(NOTICE, WorldEvent::Withdrawn { engine });
                }
            }
            FaultKind::PlainCrash { pick } => self.crash_plain(pick),
            FaultKind::LateReports { until } => self.control.late_until = until,
            FaultKind::Outage { until } => {
                let since = self.now;
                self.control.outage = Some(OutageSpan { since, until });
            }
        }
    }

    fn picked(&self, pick: usize) -> Option<EngineIndex> {
        let rows = self.engines.iter().enumerate();
        let up = rows.filter(|(_, engine)| engine.is_up() && !engine.leaving);
        let indexes: Vec<EngineIndex> = up.map(|(index, _)| index).collect();
        indexes.get(pick % indexes.len().max(1)).copied()
    }

    fn crash(&mut self, engine: EngineIndex) {
        self.engines[engine].life = EngineLife::Down;
        self.cut(engine);
        self.plan_in(RESTART, WorldEvent::Restarted { engine });
    }

    pub(crate) fn on_restarted(&mut self, engine: EngineIndex) {
        let fake = &mut self.engines[engine];
        if fake.life != EngineLife::Down {
            return;
        }
        fake.life = EngineLife::Up;
        fake.state = EngineState::Serving;
        fake.advanced_at = self.now;
        self.sync_engine(engine);
    }

    /// Everything that the engine ran or held is lost.
    fn cut(&mut self, engine: EngineIndex) {
        let now = self.now;
        let fake = &mut self.engines[engine];
        fake.advance(now);
        fake.epoch += 1;
        fake.answer_epoch += 1;
        fake.switching = false;
        let begun = fake.current.take().into_iter().chain(fake.paused.drain(..));
        let prompts: Vec<usize> = begun.map(|job| job.request).collect();
        let waiting = fake.queue.take_all();
        let answers = self.take_answers(engine);
        self.clear_cache(engine);
        let failed = CallRefusal::retryable(ResultCode::BackendFailed, RETRY_AFTER);
        let missing = CallRefusal::retryable(ResultCode::BackendMissing, RETRY_AFTER);
        let broken = CallRefusal::retryable(ResultCode::AnswerBroken, RETRY_AFTER);
        for request in prompts {
            self.fail(request, failed);
        }
        for call in waiting {
            self.fail(call.0 as usize, missing);
        }
        for request in answers {
            self.fail(request, broken);
        }
    }

    /// Takes all answers off an engine and notes how far they have come.
    fn take_answers(&mut self, engine: EngineIndex) -> Vec<usize> {
        let fake = &mut self.engines[engine];
        let running = std::mem::take(&mut fake.answers);
        let next = fake.next_answer.take();
        let queued = fake.answer_queue.take_all();
        let mut requests = Vec::new();
        for answer in running {
            let left = answer.left.max(0.0).ceil() as u64;
            let whole = self.plan.requests[answer.request].answer;
            self.rows[answer.request].generated = whole.saturating_sub(left);
            requests.push(answer.request);
        }
        requests.extend(next.map(|call| call.id.0 as usize));
        requests.extend(queued.iter().map(|id| id.0 as usize));
        requests
    }

    /// Moves all answers to other engines, one after the other over the link.
    pub(crate) fn hand_over(&mut self, engine: EngineIndex) {
        let now = self.now;
        self.engines[engine].advance(now);
        for request in self.engines[engine].take_ended() {
            self.finish(request);
        }
        self.engines[engine].answer_epoch += 1;
        let mut queued = TimeSpan::ZERO;
        for request in self.take_answers(engine) {
            self.end_flight(request);
            queued = self.place_answer(request, queued);
        }
    }

    pub(crate) fn clear_cache(&mut self, engine: EngineIndex) {
        self.engines[engine].cache = PrefixCache::default();
        self.tell_cache(engine, CacheChange::Cleared);
    }

    pub(crate) fn on_listed_leaving(&mut self, engine: EngineIndex) {
        if self.engines[engine].life == EngineLife::Gone {
            return;
        }
        self.engines[engine].state = EngineState::Leaving;
        self.sync_engine(engine);
        self.list_engine(engine, true);
        if self.has(Mechanism::Retry) {
            self.hand_over(engine);
        }
    }

    pub(crate) fn on_withdrawn(&mut self, engine: EngineIndex) {
        if self.engines[engine].life == EngineLife::Gone {
            return;
        }
        self.remove_engine(engine);
        if !self.has(Mechanism::Fleet) {
            let domain = self.engines[engine].domain;
            self.plan_in(LIST_LAG, WorldEvent::ReplacementDue { domain });
        }
    }

    pub(crate) fn on_replacement_due(&mut self, domain: u32) {
        let outage = self.control.outage.filter(|outage| self.now < outage.until);
        match outage {
            Some(outage) => self.plan_at(outage.until, WorldEvent::ReplacementDue { domain }),
            None => self.order_engine(domain, None),
        }
    }

    /// The platform takes an engine away; it is paid no longer.
    pub(crate) fn remove_engine(&mut self, engine: EngineIndex) {
        let fake = &mut self.engines[engine];
        fake.life = EngineLife::Gone;
        fake.paid_until = Some(self.now);
        self.cut(engine);
        self.plan_in(LIST_LAG, WorldEvent::Unlisted { engine });
    }

    pub(crate) fn on_unlisted(&mut self, engine: EngineIndex) {
        self.unlist_engine(engine);
    }

    fn crash_plain(&mut self, pick: usize) {
        let server = pick % self.plains.len().max(1);
        let plain = &mut self.plains[server];
        plain.up = false;
        plain.epoch += 1;
        let running = plain.running.take();
        let waiting: Vec<usize> = plain.waiting.drain(..).collect();
        self.plan_in(RESTART, WorldEvent::PlainRestarted { server });
        let failed = CallRefusal::retryable(ResultCode::BackendFailed, RETRY_AFTER);
        let missing = CallRefusal::retryable(ResultCode::BackendMissing, RETRY_AFTER);
        if let Some(request) = running {
            self.fail(request, failed);
        }
        for request in waiting {
            self.fail(request, missing);
        }
    }

    /// When the run stops paying for an engine.
    pub(crate) fn paid_span(&self, engine: EngineIndex) -> TimeSpan {
        let end = TimePoint::START + self.plan.span;
        let fake = &self.engines[engine];
        let until = fake.paid_until.unwrap_or(end).min(end);
        until.since(fake.paid_from)
    }
}
