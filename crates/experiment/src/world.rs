//! The run: events in the order of virtual time, played to one version.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use applefold_core::admission::AdmissionTicket;
use applefold_core::id::BackendId;
use applefold_core::retry::RequestAttempts;
use applefold_core::role::EngineRole;
use applefold_core::routing::{CacheEvent, FlightId, LoadReport};
use applefold_core::unit::{TimePoint, TimeSpan};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::control::ControlState;
use crate::engine::{EngineIndex, FakeEngine};
use crate::entry::EntryState;
use crate::fault::FaultEvent;
use crate::mechanism::{Mechanism, VersionSet};
use crate::member::{engine_id, plain_id, plain_spec};
use crate::plain::PlainServer;
use crate::score::{CallOutcome, RunScore};
use crate::workload::{OfferedRequest, PhaseSpan, RequestClass, Workload};

/// Requests may end for this long after the last has arrived.
const AFTERMATH: TimeSpan = TimeSpan::from_secs(60);

/// What happens at a point in time.
#[derive(Clone, Debug)]
pub(crate) enum WorldEvent {
    Arrived(usize),
    Delivered {
        request: usize,
        attempt: u64,
        engine: EngineIndex,
    },
    PieceDone {
        engine: EngineIndex,
        epoch: u64,
    },
    AnswerPlaced {
        request: usize,
    },
    AnswerMoved {
        request: usize,
        attempt: u64,
        engine: EngineIndex,
    },
    AnswerDue {
        engine: EngineIndex,
        epoch: u64,
    },
    PlainDelivered {
        request: usize,
        attempt: u64,
        server: usize,
    },
    PlainDone {
        server: usize,
        epoch: u64,
    },
    PlainRestarted {
        server: usize,
    },
    Sampled,
    Reported {
        backend: BackendId,
        load: LoadReport,
        measured_at: TimePoint,
    },
    CacheChanged {
        backend: BackendId,
        event: CacheEvent,
    },
    ControlDue,
    Faulted(usize),
    Restarted {
        engine: EngineIndex,
    },
    Started {
        engine: EngineIndex,
    },
    ListedLeaving {
        engine: EngineIndex,
    },
    Withdrawn {
        engine: EngineIndex,
    },
    Unlisted {
        engine: EngineIndex,
    },
    RoleDone {
        engine: EngineIndex,
        role: EngineRole,
        epoch: u64,
    },
    ReplacementDue {
        domain: u32,
    },
}

#[derive(Debug)]
struct PlannedEvent {
    at: TimePoint,
    number: u64,
    event: WorldEvent,
}

impl PlannedEvent {
    fn key(&self) -> (TimePoint, u64) {
        (self.at, self.number)
    }
}

impl PartialEq for PlannedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for PlannedEvent {}

impl PartialOrd for PlannedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PlannedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

/// What has become of a request so far.
#[derive(Debug, Default)]
pub(crate) struct RequestRow {
    pub(crate) attempt: u64,
    pub(crate) attempts: Option<RequestAttempts>,
    pub(crate) sent_at: TimePoint,
    pub(crate) backend: Option<BackendId>,
    pub(crate) flight: Option<FlightId>,
    pub(crate) ticket: Option<AdmissionTicket>,
    pub(crate) excluded: BTreeSet<BackendId>,
    pub(crate) first_at: Option<TimePoint>,
    pub(crate) generated: u64,
    pub(crate) executions: u32,
    pub(crate) outcome: Option<CallOutcome>,
    /// Where and when the answer ended, for the usage reports.
    pub(crate) ended: Option<EndedAnswer>,
}

/// An answer that is to be billed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAnswer {
    pub(crate) at: TimePoint,
    pub(crate) engine: EngineIndex,
}

/// What a run is made of, the same for all versions.
#[derive(Clone, Copy)]
pub(crate) struct RunPlan<'a> {
    pub(crate) workload: &'a Workload,
    pub(crate) phases: &'a [PhaseSpan],
    pub(crate) requests: &'a [OfferedRequest],
    pub(crate) faults: &'a [FaultEvent],
    pub(crate) seed: u64,
    pub(crate) span: TimeSpan,
}

/// One version in the middle of a run.
pub(crate) struct World<'a> {
    pub(crate) plan: RunPlan<'a>,
    pub(crate) version: &'a VersionSet,
    pub(crate) now: TimePoint,
    pub(crate) rows: Vec<RequestRow>,
    pub(crate) engines: Vec<FakeEngine>,
    pub(crate) engine_by_id: BTreeMap<BackendId, EngineIndex>,
    pub(crate) plains: Vec<PlainServer>,
    pub(crate) entry: EntryState,
    pub(crate) control: ControlState,
    pub(crate) rng: Pcg64Mcg,
    events: BinaryHeap<Reverse<PlannedEvent>>,
    planned: u64,
}

impl<'a> World<'a> {
    /// Plays the plan to a version.
    pub(crate) fn run(plan: RunPlan<'a>, version: &'a VersionSet) -> RunScore {
        let mut world = Self::new(plan, version);
        world.start();
        let end = TimePoint::START + plan.span + AFTERMATH;
        while let Some(Reverse(planned)) = world.events.pop() {
            if planned.at > end {
                break;
            }
            world.now = planned.at;
            world.handle(planned.event);
        }
        RunScore::of(&world)
    }

    fn new(plan: RunPlan<'a>, version: &'a VersionSet) -> Self {
        let mut rows = Vec::new();
        rows.resize_with(plan.requests.len(), RequestRow::default);
        Self {
            plan,
            version,
            now: TimePoint::START,
            rows,
            engines: Vec::new(),
            engine_by_id: BTreeMap::new(),
            plains: Vec::new(),
            entry: EntryState::new(version, plan.seed),
            control: ControlState::new(plan.workload, version),
            rng: Pcg64Mcg::seed_from_u64(plan.seed.wrapping_mul(11).wrapping_add(5)),
            events: BinaryHeap::new(),
            planned: 0,
        }
    }

    fn start(&mut self) {
        let workload = self.plan.workload;
        for index in 0..workload.engines {
            let role = match index < workload.fixed_prefill {
                true => EngineRole::Prefill,
                false => EngineRole::Decode,
            };
            let engine = self.add_engine(index % workload.domains, Some(role));
            self.engines[engine].life = crate::engine::EngineLife::Up;
            self.sync_engine(engine);
            self.list_engine(engine, false);
        }
        for index in 0..workload.plain_servers as usize {
            let server = PlainServer::new(plain_id(index));
            let spec = plain_spec(&server.id, index as u32 % workload.domains);
            let serving = applefold_core::routing::BackendAvailability::Serving;
            self.entry.note(spec, serving, self.now);
            self.plains.push(server);
        }
        for index in 0..self.plan.faults.len() {
            self.plan_at(self.plan.faults[index].at, WorldEvent::Faulted(index));
        }
        if let Some(first) = self.plan.requests.first() {
            self.plan_at(first.at, WorldEvent::Arrived(0));
        }
        self.plan_at(self.now, WorldEvent::Sampled);
        self.plan_at(self.now, WorldEvent::ControlDue);
    }

    /// Adds an engine that is paid from now on and not up yet.
    pub(crate) fn add_engine(&mut self, domain: u32, role: Option<EngineRole>) -> EngineIndex {
        let index = self.engines.len();
        let fair = self.has(Mechanism::Fairness);
        let engine = FakeEngine::new(engine_id(index), domain, role, fair, self.now);
        self.engine_by_id.insert(engine.id.clone(), index);
        self.engines.push(engine);
        index
    }

    pub(crate) fn has(&self, mechanism: Mechanism) -> bool {
        self.version.has(mechanism)
    }

    pub(crate) fn class(&self, request: usize) -> &'a RequestClass {
        &self.plan.workload.classes[self.plan.requests[request].class]
    }

    pub(crate) fn offered(&self, request: usize) -> &'a OfferedRequest {
        &self.plan.requests[request]
    }

    pub(crate) fn plan_at(&mut self, at: TimePoint, event: WorldEvent) {
        self.planned += 1;
        let number = self.planned;
        self.events
            .push(Reverse(PlannedEvent { at, number, event }));
    }

    pub(crate) fn plan_in(&mut self, span: TimeSpan, event: WorldEvent) {
        self.plan_at(self.now + span, event);
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrived(request) => self.on_arrived(request),
            WorldEvent::Delivered {
                request,
                attempt,
                engine,
            } => {
                self.on_delivered(request, attempt, engine);
            }
            WorldEvent::PieceDone { engine, epoch } => self.on_piece_done(engine, epoch),
            WorldEvent::AnswerPlaced { request } => {
                self.place_answer(request, TimeSpan::ZERO);
            }
            WorldEvent::AnswerMoved {
                request,
                attempt,
                engine,
            } => {
                self.on_answer_moved(request, attempt, engine);
            }
            WorldEvent::AnswerDue { engine, epoch } => self.on_answer_due(engine, epoch),
            WorldEvent::PlainDelivered {
                request,
                attempt,
                server,
            } => {
                self.on_plain_delivered(request, attempt, server);
            }
            WorldEvent::PlainDone { server, epoch } => self.on_plain_done(server, epoch),
            WorldEvent::PlainRestarted { server } => self.plains[server].up = true,
            WorldEvent::Sampled => self.on_sampled(),
            WorldEvent::Reported {
                backend,
                load,
                measured_at,
            } => {
                let age = self.now.since(measured_at);
                self.entry.table.record_load(&backend, load, age, self.now);
            }
            WorldEvent::CacheChanged { backend, event } => {
                self.entry.table.apply_cache_event(&backend, &event);
            }
            WorldEvent::ControlDue => self.on_control(),
            WorldEvent::Faulted(fault) => self.on_fault(self.plan.faults[fault].kind),
            WorldEvent::Restarted { engine } => self.on_restarted(engine),
            WorldEvent::Started { engine } => self.on_started(engine),
            WorldEvent::ListedLeaving { engine } => self.on_listed_leaving(engine),
            WorldEvent::Withdrawn { engine } => self.on_withdrawn(engine),
            WorldEvent::Unlisted { engine } => self.on_unlisted(engine),
            WorldEvent::RoleDone {
                engine,
                role,
                epoch,
            } => self.on_role_done(engine, role, epoch),
            WorldEvent::ReplacementDue { domain } => self.on_replacement_due(domain),
        }
    }

    fn on_arrived(&mut self, request: usize) {
        let next = request + 1;
        if let Some(offered) = self.plan.requests.get(next) {
            self.plan_at(offered.at, WorldEvent::Arrived(next));
        }
        self.control
            .note_demand(self.now, self.offered(request), self.class(request));
        let repeatable = !self.class(request).is_plain();
        let attempts = self.entry.retry.begin(self.service(request), repeatable);
        self.rows[request].attempts = Some(attempts);
        self.attempt(request);
    }
}
