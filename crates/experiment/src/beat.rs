//! What the entry hears of the backend servers: heartbeats and late load reports.

use applefold_core::health::{HealthAction, HealthSample};
use applefold_core::id::BackendId;
use applefold_core::routing::{BackendAvailability, LoadReport};
use applefold_core::unit::TimeSpan;

use crate::mechanism::Mechanism;
use crate::world::{World, WorldEvent};

const SAMPLE_EVERY: TimeSpan = TimeSpan::from_millis(500);
const REPORT_LAG: TimeSpan = TimeSpan::from_millis(500);
const LATE_REPORT_LAG: TimeSpan = TimeSpan::from_secs(5);

impl World<'_> {
    /// Heartbeats of the sidecars, and what health follows from their absence.
    pub(crate) fn beat(&mut self) {
        if !self.has(Mechanism::Routing) {
            return;
        }
        let engines = self.engines.iter().filter(|engine| engine.is_up());
        let plains = self.plains.iter().filter(|plain| plain.up);
        let ids = engines.map(|engine| &engine.id);
        let alive: Vec<BackendId> = ids.chain(plains.map(|plain| &plain.id)).cloned().collect();
        for id in alive {
            let action = self.entry.health.record(&id, HealthSample::Alive, self.now);
            self.apply_health(action);
        }
        for action in self.entry.health.tick(self.now) {
            self.apply_health(Some(action));
        }
    }

    pub(crate) fn apply_health(&mut self, action: Option<HealthAction>) {
        match action {
            None => {}
            Some(HealthAction::Eject(id, _)) => {
                self.entry
                    .table
                    .set_availability(&id, BackendAvailability::Ejected);
            }
            Some(HealthAction::Probe(id)) => {
                let engine = self.engine_by_id.get(&id);
                let up = match engine {
                    Some(engine) => self.engines[*engine].is_up(),
                    None => self.plains.iter().any(|plain| plain.id == id && plain.up),
                };
                let sample = match up {
                    true => HealthSample::Alive,
                    false => HealthSample::Failed,
                };
                let next = self.entry.health.record(&id, sample, self.now);
                self.apply_health(next);
            }
            Some(HealthAction::Reinstate(id)) => match self.engine_by_id.get(&id) {
                Some(engine) => self.sync_engine(*engine),
                None => {
                    let serving = BackendAvailability::Serving;
                    self.entry.table.set_availability(&id, serving);
                }
            },
        }
    }

    /// Takes the load of each engine; the entry hears of it later.
    pub(crate) fn on_sampled(&mut self) {
        self.plan_in(SAMPLE_EVERY, WorldEvent::Sampled);
        let lag = match self.now < self.control.late_until {
            true => LATE_REPORT_LAG,
            false => REPORT_LAG,
        };
        let engines = self.engines.iter().filter(|engine| engine.is_up());
        let plains = self.plains.iter().filter(|plain| plain.up);
        let loads = engines.map(|engine| (engine.id.clone(), engine.load()));
        let plain_loads = plains.map(|plain| (plain.id.clone(), plain.load()));
        let all: Vec<(BackendId, LoadReport)> = loads.chain(plain_loads).collect();
        let measured_at = self.now;
        for (backend, load) in all {
            let reported = WorldEvent::Reported {
                backend,
                load,
                measured_at,
            };
            self.plan_in(lag, reported);
        }
    }
}
