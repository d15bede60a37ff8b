//! Loads stay within the bandwidth of the weight store, and no pool loses a model that it offers.

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::id::{BackendId, FencingNumber, ModelId, PoolId};
use applefold_core::role::OrderAuthority;
use applefold_core::unit::{ByteSize, TimePoint, TimeSpan};
use applefold_core::weight::{ModelPlan, WeightAction, WeightEvent, WeightPlanner, WeightSettings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HELD: OrderAuthority = OrderAuthority::Held(FencingNumber(1));
const SIZE: ByteSize = ByteSize(10_000);
const STORE_BANDWIDTH: ByteSize = ByteSize(1_000);
const LOAD_SECS: u64 = 10;

fn pool() -> PoolId {
    "pool".parse().unwrap()
}

fn backend(index: usize) -> BackendId {
    format!("engine-{index}").parse().unwrap()
}

fn model(index: usize) -> ModelId {
    format!("model-{index}").parse().unwrap()
}

/// Simulates engines with memory for `room` models, on which a load takes ten seconds.
struct WeightSimulation {
    planner: WeightPlanner,
    engines: BTreeMap<BackendId, BTreeSet<ModelId>>,
    offered: BTreeSet<ModelId>,
    loading: BTreeMap<BackendId, (u64, ModelId)>,
    room: usize,
    second: u64,
    load_starts: Vec<u64>,
}

impl WeightSimulation {
    fn new(engines: usize, room: usize) -> Self {
        let settings = WeightSettings {
            store_bandwidth: STORE_BANDWIDTH,
            order_timeout: TimeSpan::from_secs(5),
        };
        Self {
            planner: WeightPlanner::new(settings),
            engines: (0..engines)
                .map(|index| (backend(index), BTreeSet::new()))
                .collect(),
            offered: BTreeSet::new(),
            loading: BTreeMap::new(),
            room,
            second: 0,
            load_starts: Vec::new(),
        }
    }

    fn offer(&mut self, index: usize, copies: u32) {
        self.offered.insert(model(index));
        self.planner.handle(WeightEvent::Planned(ModelPlan {
            pool: pool(),
            model: model(index),
            size: SIZE,
            copies,
        }));
    }

    fn withdraw(&mut self, index: usize) {
        self.offered.remove(&model(index));
        self.planner
            .handle(WeightEvent::Withdrawn(pool(), model(index)));
    }

    fn copies(&self, index: usize) -> usize {
        let holds = |models: &&BTreeSet<ModelId>| models.contains(&model(index));
        self.engines.values().filter(holds).count()
    }

    fn step(&mut self) {
        self.second += 1;
        let due = self
            .loading
            .iter()
            .filter(|(_, (at, _))| *at <= self.second);
        let due: Vec<BackendId> = due.map(|(backend, _)| backend.clone()).collect();
        for backend in due {
            let (_, model) = self.loading.remove(&backend).unwrap();
            self.engines.get_mut(&backend).unwrap().insert(model);
            self.planner.handle(WeightEvent::OrderEnded(backend));
        }
        for (backend, models) in &self.engines {
            let used = models.len() + usize::from(self.loading.contains_key(backend));
            self.planner.handle(WeightEvent::Reported {
                backend: backend.clone(),
                pool: pool(),
                free: ByteSize(SIZE.0 * (self.room - used) as u64),
                models: models.clone(),
            });
        }
        let now = TimePoint::START + TimeSpan::from_secs(self.second);
        for action in self.planner.tick(now, HELD) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: WeightAction) {
        match action {
            WeightAction::Load { backend, model, .. } => {
                self.load_starts.push(self.second);
                self.loading
                    .insert(backend, (self.second + LOAD_SECS, model));
            }
            WeightAction::Unload { backend, model, .. } => {
                self.engines.get_mut(&backend).unwrap().remove(&model);
                let still_loaded = self.engines.values().any(|models| models.contains(&model));
                assert!(
                    still_loaded || !self.offered.contains(&model),
                    "the pool lost {model}"
                );
                self.planner.handle(WeightEvent::OrderEnded(backend));
            }
        }
    }

    fn run(&mut self, secs: u64) {
        (0..secs).for_each(|_| self.step());
    }
}

#[test]
fn loads_run_one_after_another_at_the_bandwidth_of_the_store() {
    let mut simulation = WeightSimulation::new(4, 3);
    (0..3).for_each(|index| simulation.offer(index, 4));
    simulation.run(140);
    assert_eq!(simulation.load_starts.len(), 12);
    let gaps = simulation
        .load_starts
        .windows(2)
        .map(|pair| pair[1] - pair[0]);
    assert!(
        gaps.min().unwrap() >= LOAD_SECS,
        "{:?}",
        simulation.load_starts
    );
}

#[test]
fn a_new_model_replaces_a_surplus_copy() {
    let mut simulation = WeightSimulation::new(3, 1);
    simulation.offer(0, 3);
    simulation.run(60);
    assert_eq!(simulation.copies(0), 3);
    simulation.offer(0, 1);
    simulation.offer(1, 2);
    simulation.run(60);
    assert_eq!((simulation.copies(0), simulation.copies(1)), (1, 2));
}

#[test]
fn a_withdrawn_model_is_unloaded() {
    let mut simulation = WeightSimulation::new(2, 2);
    simulation.offer(0, 2);
    simulation.offer(1, 2);
    simulation.run(80);
    simulation.withdraw(0);
    simulation.run(20);
    assert_eq!((simulation.copies(0), simulation.copies(1)), (0, 2));
}

#[test]
fn nothing_is_ordered_without_authority() {
    let mut simulation = WeightSimulation::new(1, 1);
    simulation.offer(0, 1);
    simulation.planner.handle(WeightEvent::Reported {
        backend: backend(0),
        pool: pool(),
        free: SIZE,
        models: BTreeSet::new(),
    });
    let now = TimePoint::START + TimeSpan::from_secs(1);
    assert!(simulation
        .planner
        .tick(now, OrderAuthority::Absent)
        .is_empty());
    assert_eq!(simulation.planner.tick(now, HELD).len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_sequence_of_events_removes_an_offered_model_from_a_pool(
        engines in 1_usize..5,
        room in 1_usize..4,
        script in prop::collection::vec((0_usize..5, 0_u32..5, 1_u64..40), 1..20),
    ) {
        let mut simulation = WeightSimulation::new(engines, room);
        for (index, copies, secs) in script {
            match copies {
                0 => simulation.withdraw(index),
                copies => simulation.offer(index, copies),
            }
            simulation.run(secs);
        }
    }
}
