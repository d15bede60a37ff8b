//! Fleet size: orders are not duplicated, backend servers are distributed over failure domains, and
//! they are released only after the break-even time.

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::fleet::{FleetAction, FleetEvent, FleetPlanner, FleetSettings, PoolPlan};
use applefold_core::forecast::{DemandEvent, DemandForecast, ForecastSettings};
use applefold_core::id::{BackendId, DomainId, FencingNumber, OrderId, PoolId};
use applefold_core::role::{EngineReport, EngineRole, EngineState, OrderAuthority};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount, TokenRate};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HELD: OrderAuthority = OrderAuthority::Held(FencingNumber(1));
const LEAD_SECS: u64 = 90;
const LIST_LAG_SECS: u64 = 20;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum SimulatedState {
    Starting(u64),
    Up,
    Draining,
    Down,
}

struct SimulatedBackend {
    domain: DomainId,
    role: EngineRole,
    state: SimulatedState,
}

/// Simulates a platform whose server list lags, and engines that report once they are listed.
struct FleetSimulation {
    planner: FleetPlanner,
    forecast: DemandForecast,
    plan: PoolPlan,
    backends: BTreeMap<BackendId, SimulatedBackend>,
    second: u64,
    ordered: usize,
    released: usize,
    orders: BTreeSet<OrderId>,
}

fn pool() -> PoolId {
    "pool".parse().unwrap()
}

fn domain(index: u32) -> DomainId {
    format!("domain-{index}").parse().unwrap()
}

fn plan(min: u32, max: u32, domains: u32) -> PoolPlan {
    PoolPlan {
        pool: pool(),
        min,
        max,
        domains: (0..domains).map(domain).collect(),
        prefill_rate: TokenRate(10_000),
        decode_rate: TokenRate(2_000),
    }
}

impl FleetSimulation {
    fn new(plan: PoolPlan, settings: FleetSettings) -> Self {
        let mut simulation = Self {
            planner: FleetPlanner::new(settings),
            forecast: DemandForecast::new(ForecastSettings::default()),
            plan: plan.clone(),
            backends: BTreeMap::new(),
            second: 0,
            ordered: 0,
            released: 0,
            orders: BTreeSet::new(),
        };
        simulation.handle(FleetEvent::Planned(plan));
        simulation
    }

    fn now(&self) -> TimePoint {
        TimePoint::START + TimeSpan::from_secs(self.second)
    }

    fn handle(&mut self, event: FleetEvent) {
        let actions = self.planner.handle(self.now(), HELD, event);
        self.carry_out(actions);
    }

    /// Simulates one second with demand for `engines` engines at full throughput.
    fn step(&mut self, engines: f64, authority: OrderAuthority) {
        let event = DemandEvent {
            pool: pool(),
            prefill: TokenCount((engines * 5_000.0) as u64),
            decode: TokenCount((engines * 1_000.0) as u64),
        };
        self.forecast.handle(self.now(), event);
        self.second += 1;
        self.forecast.tick(self.now());
        self.deliver_reports();
        let actions = self.planner.tick(self.now(), authority, &self.forecast);
        assert!(
            authority == HELD || actions.is_empty(),
            "acted without authority"
        );
        self.carry_out(actions);
    }

    fn run(&mut self, engines: f64, secs: u64) {
        for _ in 0..secs {
            self.step(engines, HELD);
        }
    }

    fn deliver_reports(&mut self) {
        let mut events = Vec::new();
        for (backend, simulated) in &mut self.backends {
            if matches!(simulated.state, SimulatedState::Starting(at) if at <= self.second) {
                simulated.state = SimulatedState::Up;
            }
            let state = match simulated.state {
                SimulatedState::Up => EngineState::Serving,
                SimulatedState::Draining => EngineState::Leaving,
                SimulatedState::Starting(_) | SimulatedState::Down => continue,
            };
            events.push(FleetEvent::Reported(EngineReport {
                backend: backend.clone(),
                pool: pool(),
                domain: simulated.domain.clone(),
                role: Some(simulated.role),
                state,
                prefill_rate: TokenRate(10_000),
                decode_rate: TokenRate(2_000),
                held_tokens: TokenCount::ZERO,
            }));
            if state == EngineState::Leaving {
                events.push(FleetEvent::Drained(backend.clone()));
            }
        }
        for event in events {
            self.handle(event);
        }
    }

    fn carry_out(&mut self, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::Order { order, decision } => {
                    assert!(
                        self.orders.insert(order),
                        "an order identifier was used twice"
                    );
                    self.ordered += 1;
                    self.add(decision.domain, self.second + LEAD_SECS + LIST_LAG_SECS);
                }
                FleetAction::Drain { backend, .. } => {
                    self.set_state(&backend, SimulatedState::Draining)
                }
                FleetAction::Undrain { backend } => self.set_state(&backend, SimulatedState::Up),
                FleetAction::Release { backend, .. } => {
                    let simulated = self.backends.remove(&backend).unwrap();
                    let ended = matches!(
                        simulated.state,
                        SimulatedState::Draining | SimulatedState::Down
                    );
                    assert!(ended, "released while {:?}", simulated.state);
                    self.released += 1;
                }
            }
        }
    }

    fn add(&mut self, domain: DomainId, at: u64) {
        let index = self.ordered + self.released + self.backends.len();
        let backend = format!("engine-{}-{index}", self.second).parse().unwrap();
        let role = match index % 2 {
            0 => EngineRole::Prefill,
            _ => EngineRole::Decode,
        };
        let state = SimulatedState::Starting(at);
        self.backends.insert(
            backend,
            SimulatedBackend {
                domain,
                role,
                state,
            },
        );
    }

    fn set_state(&mut self, backend: &BackendId, state: SimulatedState) {
        self.backends.get_mut(backend).unwrap().state = state;
    }

    fn ids(&self) -> Vec<BackendId> {
        self.backends.keys().cloned().collect()
    }

    fn count_by_domain(&self) -> Vec<usize> {
        let count = |domain: &DomainId| {
            let all = self.backends.values();
            all.filter(|simulated| {
                simulated.domain == *domain && simulated.state != SimulatedState::Down
            })
            .count()
        };
        self.plan.domains.iter().map(count).collect()
    }
}

/// Returns the number of orders while the server list does not show the ordered engines yet.
fn orders_with_lagging_list(settings: FleetSettings) -> usize {
    let mut simulation = FleetSimulation::new(plan(0, 40, 3), settings);
    simulation.run(6.0, 400);
    simulation.ordered
}

#[test]
fn a_lagging_list_causes_duplicate_orders_only_if_open_orders_are_not_counted() {
    let settings = FleetSettings::default();
    let ordered = orders_with_lagging_list(settings);
    assert!(
        (8..=13).contains(&ordered),
        "{ordered} orders for the demand of 6 engines"
    );
    let uncounted = FleetSettings {
        order_timeout: TimeSpan::ZERO,
        ..settings
    };
    assert!(orders_with_lagging_list(uncounted) > 3 * ordered);
}

#[test]
fn the_pool_survives_the_loss_of_one_failure_domain() {
    for (domains, demand) in [(2, 4.0), (3, 4.0), (3, 7.5), (4, 6.0), (4, 9.0)] {
        let mut simulation = FleetSimulation::new(plan(2, 60, domains), FleetSettings::default());
        simulation.run(demand, 400);
        let counts = simulation.count_by_domain();
        let (most, least) = (counts.iter().max().unwrap(), counts.iter().min().unwrap());
        let remaining = counts.iter().sum::<usize>() - most;
        assert!(most - least <= 1, "{counts:?}");
        assert!(
            remaining as f64 >= demand,
            "{counts:?} for the demand of {demand} engines"
        );
    }
}

#[test]
fn the_pool_stays_within_its_bounds() {
    let mut simulation = FleetSimulation::new(plan(3, 7, 3), FleetSettings::default());
    simulation.run(30.0, 300);
    assert_eq!(simulation.backends.len(), 7);
    simulation.run(0.0, 2_000);
    assert_eq!(simulation.backends.len(), 3);
}

#[test]
fn a_crashed_backend_is_replaced_once_and_only_if_it_does_not_restart() {
    for (restart_after, replaced) in [(10, 0), (300, 1)] {
        let mut simulation = FleetSimulation::new(plan(6, 6, 3), FleetSettings::default());
        simulation.run(3.0, 200);
        let ordered = simulation.ordered;
        let backend = simulation.ids()[0].clone();
        simulation.set_state(&backend, SimulatedState::Down);
        for _ in 0..restart_after {
            simulation.handle(FleetEvent::Lost(backend.clone()));
            simulation.step(3.0, HELD);
        }
        assert_eq!(
            simulation.ordered - ordered,
            replaced,
            "down for {restart_after} s"
        );
    }
}

#[test]
fn a_withdrawn_backend_is_replaced_once() {
    let mut simulation = FleetSimulation::new(plan(6, 6, 3), FleetSettings::default());
    simulation.run(3.0, 200);
    let ordered = simulation.ordered;
    let backend = simulation.ids()[0].clone();
    let domain = simulation.backends[&backend].domain.clone();
    simulation.handle(FleetEvent::Listed {
        backend: backend.clone(),
        pool: pool(),
        domain,
        leaving: true,
    });
    simulation.run(3.0, 30);
    simulation.backends.remove(&backend);
    simulation.handle(FleetEvent::Unlisted(backend));
    simulation.run(3.0, 300);
    assert_eq!(simulation.ordered - ordered, 1);
}

#[test]
fn a_dip_shorter_than_the_break_even_releases_nothing() {
    let break_even = FleetSettings::default().break_even;
    for (dip, releases) in [
        (break_even.as_secs_ceil() / 2, false),
        (break_even.as_secs_ceil() * 2, true),
    ] {
        let mut simulation = FleetSimulation::new(plan(2, 20, 3), FleetSettings::default());
        simulation.run(8.0, 400);
        simulation.run(1.0, dip);
        assert_eq!(simulation.released > 0, releases, "a dip of {dip} s");
    }
}

#[test]
fn the_last_engine_of_a_role_is_not_released() {
    for only_prefill in 0..6 {
        let mut simulation = FleetSimulation::new(plan(1, 6, 3), FleetSettings::default());
        simulation.run(12.0, 200);
        for (index, simulated) in simulation.backends.values_mut().enumerate() {
            simulated.role = match index == only_prefill {
                true => EngineRole::Prefill,
                false => EngineRole::Decode,
            };
        }
        simulation.run(0.0, 1_500);
        let roles: BTreeSet<EngineRole> = simulation
            .backends
            .values()
            .map(|simulated| simulated.role)
            .collect();
        assert_eq!(
            roles.len(),
            2,
            "engine {only_prefill} is the only prefill engine"
        );
        assert_eq!(simulation.backends.len(), 2);
    }
}

#[test]
fn a_new_lease_holder_does_not_repeat_recorded_orders() {
    let mut simulation = FleetSimulation::new(plan(4, 4, 2), FleetSettings::default());
    for index in 0..4 {
        simulation.handle(FleetEvent::OrderRecovered {
            order: format!("fleet-0-{index}").parse().unwrap(),
            pool: pool(),
            domain: domain(index % 2),
            age: TimeSpan::from_secs(30),
        });
    }
    simulation.run(1.0, 100);
    assert_eq!(simulation.ordered, 0);
    simulation.run(1.0, 100);
    assert_eq!(
        simulation.ordered, 4,
        "orders that brought no engine are sent again"
    );
}

#[test]
fn a_failure_domain_that_refuses_an_order_gets_none_for_a_time() {
    let mut simulation = FleetSimulation::new(plan(3, 3, 3), FleetSettings::default());
    let actions = simulation
        .planner
        .tick(simulation.now(), HELD, &simulation.forecast);
    let mut refused = BTreeSet::new();
    for action in actions {
        if let FleetAction::Order { order, decision } = action {
            refused.insert(decision.domain);
            simulation.handle(FleetEvent::OrderRefused(order));
        }
    }
    assert_eq!(refused.len(), 3);
    simulation.run(0.0, 30);
    assert_eq!(simulation.ordered, 0);
    simulation.run(0.0, 60);
    assert_eq!(simulation.ordered, 3);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 32,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_sequence_of_events_breaks_the_bounds_or_releases_the_last_engine_of_a_role(
        script in prop::collection::vec((0.0_f64..14.0, 20_u64..400, 0_usize..8), 1..10),
    ) {
        let mut simulation = FleetSimulation::new(plan(3, 12, 3), FleetSettings::default());
        simulation.run(6.0, 300);
        for (engines, secs, event) in script {
            let authority = match event {
                0 => OrderAuthority::Absent,
                _ => HELD,
            };
            for _ in 0..secs {
                let roles = |simulation: &FleetSimulation| -> BTreeSet<EngineRole> {
                    let all = simulation.backends.values();
                    let up = all.filter(|simulated| simulated.state == SimulatedState::Up);
                    up.map(|simulated| simulated.role).collect()
                };
                let before = roles(&simulation);
                simulation.step(engines, authority);
                prop_assert!(
                    roles(&simulation).len() >= before.len(),
                    "the last engine of a role was released"
                );
                prop_assert!(simulation.backends.len() <= 12, "the pool exceeds its maximum size");
            }
        }
    }
}
