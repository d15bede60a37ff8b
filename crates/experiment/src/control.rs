//! The planners of roles and fleet, and the carrying out of their actions.

use applefold_core::fleet::{FleetAction, FleetEvent, FleetPlanner, FleetSettings, PoolPlan};
use applefold_core::forecast::{DemandEvent, DemandForecast, ForecastSettings};
use applefold_core::id::{BackendId, FencingNumber};
use applefold_core::role::{
    EngineReport, EngineRole, EngineState, OrderAuthority, RoleAction, RoleEvent, RolePlanner,
    RoleSettings,
};
use applefold_core::routing::BackendAvailability;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount, TokenRate};

use crate::engine::{EngineIndex, EngineLife};
use crate::mechanism::{Mechanism, VersionSet};
use crate::member::{domain_id, engine_spec, named, ENGINE_POOL};
use crate::workload::{
    OfferedRequest, RequestClass, Workload, DECODE_RATE, MIN_ENGINES, PREFILL_RATE,
};
use crate::world::{World, WorldEvent};

const CONTROL_EVERY: TimeSpan = TimeSpan::from_secs(1);
const ROLE_CHANGE: TimeSpan = TimeSpan::from_secs(4);
/// How long authority outlasts the start of an outage: the rest of the lease.
const LEASE_LEFT: TimeSpan = TimeSpan::from_secs(10);
/// Weight of one request in the running mean of cached tokens.
const CACHED_WEIGHT: f64 = 0.02;

/// What the process with authority keeps.
pub(crate) struct ControlState {
    pub(crate) forecast: DemandForecast,
    roles: RolePlanner,
    fleet: FleetPlanner,
    pub(crate) outage: Option<OutageSpan>,
    pub(crate) late_until: TimePoint,
    pub(crate) role_changes: u32,
    cached_means: Vec<f64>,
}

/// A stretch in which the platform answers nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutageSpan {
    pub(crate) since: TimePoint,
    pub(crate) until: TimePoint,
}

impl ControlState {
    pub(crate) fn new(workload: &Workload, version: &VersionSet) -> Self {
        let authority = OrderAuthority::Absent;
        let mut fleet = FleetPlanner::new(FleetSettings::default());
        if version.has(Mechanism::Fleet) {
            let plan = PoolPlan {
                pool: named(ENGINE_POOL),
                min: MIN_ENGINES,
                max: workload.engines,
                domains: (0..workload.domains).map(domain_id).collect(),
                prefill_rate: TokenRate(PREFILL_RATE),
                decode_rate: TokenRate(DECODE_RATE),
            };
            fleet.handle(TimePoint::START, authority, FleetEvent::Planned(plan));
        }
        Self {
            forecast: DemandForecast::new(ForecastSettings::default()),
            roles: RolePlanner::new(RoleSettings::default()),
            fleet,
            outage: None,
            late_until: TimePoint::START,
            role_changes: 0,
            cached_means: vec![0.0; workload.classes.len()],
        }
    }

    /// Counts an offered request.
    pub(crate) fn note_demand(
        &mut self,
        now: TimePoint,
        request: &OfferedRequest,
        class: &RequestClass,
    ) {
        if class.is_plain() {
            return;
        }
        let cached = self.cached_means[request.class] as u64;
        let event = DemandEvent {
            pool: named(ENGINE_POOL),
            prefill: TokenCount(request.prompt.saturating_sub(cached)),
            decode: TokenCount(request.answer),
        };
        self.forecast.handle(now, event);
    }

    pub(crate) fn learn_cached(&mut self, class: usize, cached: u64) {
        let mean = &mut self.cached_means[class];
        *mean += (cached as f64 - *mean) * CACHED_WEIGHT;
    }

    pub(crate) fn in_outage(&self, now: TimePoint) -> bool {
        self.outage.is_some_and(|outage| now < outage.until)
    }

    fn authority(&self, now: TimePoint) -> OrderAuthority {
        let lapsed =
            |outage: OutageSpan| now < outage.until && now.since(outage.since) > LEASE_LEFT;
        match self.outage.is_some_and(lapsed) {
            true => OrderAuthority::Absent,
            false => OrderAuthority::Held(FencingNumber(1)),
        }
    }
}

impl World<'_> {
    pub(crate) fn on_control(&mut self) {
        if self.now.since(TimePoint::START) < self.plan.span {
            self.plan_in(CONTROL_EVERY, WorldEvent::ControlDue);
        }
        self.beat();
        for engine in 0..self.engines.len() {
            self.report_state(engine);
        }
        self.control.forecast.tick(self.now);
        let authority = self.control.authority(self.now);
        if self.has(Mechanism::Roles) {
            let control = &mut self.control;
            let actions = control.roles.tick(self.now, authority, &control.forecast);
            self.apply_roles(actions);
        }
        if self.has(Mechanism::Fleet) {
            let control = &mut self.control;
            let actions = control.fleet.tick(self.now, authority, &control.forecast);
            self.apply_fleet(actions);
        }
    }

    /// Tells the entry and the planners what an engine's sidecar says.
    fn report_state(&mut self, engine: EngineIndex) {
        let fake = &self.engines[engine];
        let backend = fake.id.clone();
        let authority = self.control.authority(self.now);
        match fake.life {
            EngineLife::Starting | EngineLife::Gone => return,
            EngineLife::Down => {
                let event = RoleEvent::Lost(backend.clone());
                self.control.roles.handle(self.now, authority, event);
                return self.tell_fleet(FleetEvent::Lost(backend));
            }
            EngineLife::Up => {}
        }
        let leaving = fake.leaving || fake.state == EngineState::Leaving;
        let report = EngineReport {
            backend: backend.clone(),
            pool: named(ENGINE_POOL),
            domain: domain_id(fake.domain),
            role: fake.role,
            state: match leaving {
                true => EngineState::Leaving,
                false => fake.state,
            },
            prefill_rate: TokenRate(PREFILL_RATE),
            decode_rate: TokenRate(DECODE_RATE),
            held_tokens: fake.held_tokens(),
        };
        let empty = fake.is_empty() && !fake.switching;
        let (state, withdrawn) = (fake.state, fake.leaving);
        let event = RoleEvent::Reported(report.clone());
        self.control.roles.handle(self.now, authority, event);
        self.tell_fleet(FleetEvent::Reported(report));
        match state {
            EngineState::Draining if empty => self.tell_roles(RoleEvent::Drained(backend)),
            EngineState::Leaving if empty && !withdrawn => {
                self.tell_fleet(FleetEvent::Drained(backend));
            }
            _ => {}
        }
    }

    fn tell_roles(&mut self, event: RoleEvent) {
        let authority = self.control.authority(self.now);
        let actions = self.control.roles.handle(self.now, authority, event);
        self.apply_roles(actions);
    }

    fn tell_fleet(&mut self, event: FleetEvent) {
        if !self.has(Mechanism::Fleet) {
            return;
        }
        let authority = self.control.authority(self.now);
        let actions = self.control.fleet.handle(self.now, authority, event);
        self.apply_fleet(actions);
    }

    fn apply_roles(&mut self, actions: Vec<RoleAction>) {
        for action in actions {
            match action {
                RoleAction::Drain {
                    hand_over,
                    decision,
                } => self.drain(&decision.backend, EngineState::Draining, hand_over),
                RoleAction::SetRole { decision } => {
                    let engine = self.engine_by_id[&decision.backend];
                    self.control.role_changes += u32::from(decision.from.is_some());
                    self.set_role(engine, decision.to);
                }
                RoleAction::Undrain { backend } => self.undrain(&backend),
            }
        }
    }

    fn apply_fleet(&mut self, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::Order { order, decision } => {
                    if self.control.in_outage(self.now) {
                        self.tell_fleet(FleetEvent::OrderRefused(order));
                        continue;
                    }
                    let mut domains = 0..self.plan.workload.domains;
                    let domain = domains.find(|domain| domain_id(*domain) == decision.domain);
                    self.order_engine(domain.unwrap_or(0), None);
                }
                FleetAction::Drain { backend, .. } => {
                    self.drain(&backend, EngineState::Leaving, true);
                }
                FleetAction::Undrain { backend } => self.undrain(&backend),
                FleetAction::Release { backend, .. } => {
                    let engine = self.engine_by_id[&backend];
                    self.remove_engine(engine);
                }
            }
        }
    }

    fn drain(&mut self, backend: &BackendId, state: EngineState, hand_over: bool) {
        let engine = self.engine_by_id[backend];
        self.engines[engine].state = state;
        self.sync_engine(engine);
        if hand_over {
            self.hand_over(engine);
        }
    }

    fn undrain(&mut self, backend: &BackendId) {
        let engine = self.engine_by_id[backend];
        self.engines[engine].state = EngineState::Serving;
        self.sync_engine(engine);
    }

    fn set_role(&mut self, engine: EngineIndex, role: EngineRole) {
        let fake = &mut self.engines[engine];
        if fake.switching || !fake.is_up() {
            return;
        }
        fake.switching = true;
        let epoch = fake.epoch;
        let done = WorldEvent::RoleDone {
            engine,
            role,
            epoch,
        };
        self.plan_in(ROLE_CHANGE, done);
    }

    pub(crate) fn on_role_done(&mut self, engine: EngineIndex, role: EngineRole, epoch: u64) {
        let fake = &mut self.engines[engine];
        if fake.epoch != epoch {
            return;
        }
        fake.switching = false;
        fake.role = Some(role);
        let backend = fake.id.clone();
        self.clear_cache(engine);
        self.sync_engine(engine);
        self.tell_roles(RoleEvent::RoleSet(backend, role));
    }

    /// Tells the entry whether an engine takes requests, and which.
    pub(crate) fn sync_engine(&mut self, engine: EngineIndex) {
        let fake = &self.engines[engine];
        let Some(role) = fake.role else {
            return;
        };
        let spec = engine_spec(&fake.id, fake.domain, role);
        let serving = fake.state == EngineState::Serving && !fake.switching;
        let standing = match serving {
            true => BackendAvailability::Serving,
            false => BackendAvailability::Draining,
        };
        let id = fake.id.clone();
        self.entry.note(spec, standing, self.now);
        if serving && !self.entry.health.is_serving(&id) {
            self.entry
                .table
                .set_availability(&id, BackendAvailability::Ejected);
        }
    }

    pub(crate) fn list_engine(&mut self, engine: EngineIndex, leaving: bool) {
        let fake = &self.engines[engine];
        let event = FleetEvent::Listed {
            backend: fake.id.clone(),
            pool: named(ENGINE_POOL),
            domain: domain_id(fake.domain),
            leaving,
        };
        self.tell_fleet(event);
    }

    pub(crate) fn unlist_engine(&mut self, engine: EngineIndex) {
        let backend = self.engines[engine].id.clone();
        self.entry.forget(&backend);
        let authority = self.control.authority(self.now);
        let event = RoleEvent::Lost(backend.clone());
        self.control.roles.handle(self.now, authority, event);
        self.tell_fleet(FleetEvent::Unlisted(backend));
    }
}
