//! Fleet size: no order twice, spread over failure domains, release only past the break-even.

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
enum FakeState {
    Starting(u64),
    Up,
    Draining,
    Down,
}

struct FakeBackend {
    domain: DomainId,
    role: EngineRole,
    state: FakeState,
}

/// A platform whose list lags, and engines that report themselves once the list shows them.
struct FleetBench {
    planner: FleetPlanner,
    forecast: DemandForecast,
    plan: PoolPlan,
    backends: BTreeMap<BackendId, FakeBackend>,
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

impl FleetBench {
    fn new(plan: PoolPlan, settings: FleetSettings) -> Self {
        let mut bench = Self {
            planner: FleetPlanner::new(settings),
            forecast: DemandForecast::new(ForecastSettings::default()),
            plan: plan.clone(),
            backends: BTreeMap::new(),
            second: 0,
            ordered: 0,
            released: 0,
            orders: BTreeSet::new(),
        };
        bench.tell(FleetEvent::Planned(plan));
        bench
    }

    fn now(&self) -> TimePoint {
        TimePoint::START + TimeSpan::from_secs(self.second)
    }

    fn tell(&mut self, event: FleetEvent) {
        let actions = self.planner.handle(self.now(), HELD, event);
        self.carry_out(actions);
    }

    /// One second with work for `engines` engines at their full rate.
    fn step(&mut self, engines: f64, authority: OrderAuthority) {
        let event = DemandEvent {
            pool: pool(),
            prefill: TokenCount((engines * 5_000.0) as u64),
            decode: TokenCount((engines * 1_000.0) as u64),
        };
        self.forecast.handle(self.now(), event);
        self.second += 1;
        self.forecast.tick(self.now());
        self.report();
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

    fn report(&mut self) {
        let mut events = Vec::new();
        for (backend, fake) in &mut self.backends {
            if matches!(fake.state, FakeState::Starting(at) if at <= self.second) {
                fake.state = FakeState::Up;
            }
            let state = match fake.state {
                FakeState::Up => EngineState::Serving,
                FakeState::Draining => EngineState::Leaving,
                FakeState::Starting(_) | FakeState::Down => continue,
            };
            events.push(FleetEvent::Reported(EngineReport {
                backend: backend.clone(),
                pool: pool(),
                domain: fake.domain.clone(),
                role: Some(fake.role),
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
            self.tell(event);
        }
    }

    fn carry_out(&mut self, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::Order { order, decision } => {
                    assert!(self.orders.insert(order), "an order's name was used twice");
                    self.ordered += 1;
                    self.add(decision.domain, self.second + LEAD_SECS + LIST_LAG_SECS);
                }
                FleetAction::Drain { backend, .. } => self.set(&backend, FakeState::Draining),
                FleetAction::Undrain { backend } => self.set(&backend, FakeState::Up),
                FleetAction::Release { backend, .. } => {
                    let fake = self.backends.remove(&backend).unwrap();
                    let ended = matches!(fake.state, FakeState::Draining | FakeState::Down);
                    assert!(ended, "released while {:?}", fake.state);
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
        let state = FakeState::Starting(at);
        self.backends.insert(
            backend,
            FakeBackend {
                domain,
                role,
                state,
            },
        );
    }

    fn set(&mut self, backend: &BackendId, state: FakeState) {
        self.backends.get_mut(backend).unwrap().state = state;
    }

    fn ids(&self) -> Vec<BackendId> {
        self.backends.keys().cloned().collect()
    }

    fn counts(&self) -> Vec<usize> {
        let count = |domain: &DomainId| {
            let all = self.backends.values();
            all.filter(|fake| fake.domain == *domain && fake.state != FakeState::Down)
                .count()
        };
        self.plan.domains.iter().map(count).collect()
    }
}

fn orders_over_a_lagging_list(settings: FleetSettings) -> usize {
    let mut bench = FleetBench::new(plan(0, 40, 3), settings);
    bench.run(6.0, 400);
    bench.ordered
}

#[test]
fn a_lagging_list_causes_no_double_order_but_does_without_the_count_of_orders() {
    let settings = FleetSettings::default();
    let ordered = orders_over_a_lagging_list(settings);
    assert!(
        (8..=13).contains(&ordered),
        "{ordered} orders for 6 engines' work"
    );
    let uncounted = FleetSettings {
        order_timeout: TimeSpan::ZERO,
        ..settings
    };
    assert!(orders_over_a_lagging_list(uncounted) > 3 * ordered);
}

#[test]
fn one_lost_failure_domain_leaves_enough() {
    for (domains, work) in [(2, 4.0), (3, 4.0), (3, 7.5), (4, 6.0), (4, 9.0)] {
        let mut bench = FleetBench::new(plan(2, 60, domains), FleetSettings::default());
        bench.run(work, 400);
        let counts = bench.counts();
        let (most, least) = (counts.iter().max().unwrap(), counts.iter().min().unwrap());
        let left = counts.iter().sum::<usize>() - most;
        assert!(most - least <= 1, "{counts:?}");
        assert!(
            left as f64 >= work,
            "{counts:?} for the work of {work} engines"
        );
    }
}

#[test]
fn the_bounds_of_the_pool_hold() {
    let mut bench = FleetBench::new(plan(3, 7, 3), FleetSettings::default());
    bench.run(30.0, 300);
    assert_eq!(bench.backends.len(), 7);
    bench.run(0.0, 2_000);
    assert_eq!(bench.backends.len(), 3);
}

#[test]
fn a_crashed_backend_is_replaced_once_and_only_when_it_stays_away() {
    for (restart_after, replaced) in [(10, 0), (300, 1)] {
        let mut bench = FleetBench::new(plan(6, 6, 3), FleetSettings::default());
        bench.run(3.0, 200);
        let ordered = bench.ordered;
        let backend = bench.ids()[0].clone();
        bench.set(&backend, FakeState::Down);
        for _ in 0..restart_after {
            bench.tell(FleetEvent::Lost(backend.clone()));
            bench.step(3.0, HELD);
        }
        assert_eq!(
            bench.ordered - ordered,
            replaced,
            "away for {restart_after} s"
        );
    }
}

#[test]
fn a_withdrawn_backend_is_replaced_once() {
    let mut bench = FleetBench::new(plan(6, 6, 3), FleetSettings::default());
    bench.run(3.0, 200);
    let ordered = bench.ordered;
    let backend = bench.ids()[0].clone();
    let domain = bench.backends[&backend].domain.clone();
    bench.tell(FleetEvent::Listed {
        backend: backend.clone(),
        pool: pool(),
        domain,
        leaving: true,
    });
    bench.run(3.0, 30);
    bench.backends.remove(&backend);
    bench.tell(FleetEvent::Unlisted(backend));
    bench.run(3.0, 300);
    assert_eq!(bench.ordered - ordered, 1);
}

#[test]
fn a_dip_shorter_than_the_break_even_releases_nothing() {
    let break_even = FleetSettings::default().break_even;
    for (dip, releases) in [
        (break_even.as_secs_ceil() / 2, false),
        (break_even.as_secs_ceil() * 2, true),
    ] {
        let mut bench = FleetBench::new(plan(2, 20, 3), FleetSettings::default());
        bench.run(8.0, 400);
        bench.run(1.0, dip);
        assert_eq!(bench.released > 0, releases, "a dip of {dip} s");
    }
}

#[test]
fn the_last_engine_of_a_role_is_not_released() {
    for lone in 0..6 {
        let mut bench = FleetBench::new(plan(1, 6, 3), FleetSettings::default());
        bench.run(12.0, 200);
        for (index, fake) in bench.backends.values_mut().enumerate() {
            fake.role = match index == lone {
                true => EngineRole::Prefill,
                false => EngineRole::Decode,
            };
        }
        bench.run(0.0, 1_500);
        let roles: BTreeSet<EngineRole> = bench.backends.values().map(|fake| fake.role).collect();
        assert_eq!(roles.len(), 2, "engine {lone} of a role of its own");
        assert_eq!(bench.backends.len(), 2);
    }
}

#[test]
fn a_successor_does_not_repeat_what_the_intent_record_has() {
    let mut bench = FleetBench::new(plan(4, 4, 2), FleetSettings::default());
    for index in 0..4 {
        bench.tell(FleetEvent::OrderRecovered {
            order: format!("fleet-0-{index}").parse().unwrap(),
            pool: pool(),
            domain: domain(index % 2),
            age: TimeSpan::from_secs(30),
        });
    }
    bench.run(1.0, 100);
    assert_eq!(bench.ordered, 0);
    bench.run(1.0, 100);
    assert_eq!(
        bench.ordered, 4,
        "orders that came to nothing are given again"
    );
}

#[test]
fn a_failure_domain_that_refuses_is_passed_over() {
    let mut bench = FleetBench::new(plan(3, 3, 3), FleetSettings::default());
    let actions = bench.planner.tick(bench.now(), HELD, &bench.forecast);
    let mut refused = BTreeSet::new();
    for action in actions {
        if let FleetAction::Order { order, decision } = action {
            refused.insert(decision.domain);
            bench.tell(FleetEvent::OrderRefused(order));
        }
    }
    assert_eq!(refused.len(), 3);
    bench.run(0.0, 30);
    assert_eq!(bench.ordered, 0);
    bench.run(0.0, 60);
    assert_eq!(bench.ordered, 3);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 32,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_history_leaves_the_bounds_or_takes_the_last_of_a_role(
        script in prop::collection::vec((0.0_f64..14.0, 20_u64..400, 0_usize..8), 1..10),
    ) {
        let mut bench = FleetBench::new(plan(3, 12, 3), FleetSettings::default());
        bench.run(6.0, 300);
        for (engines, secs, event) in script {
            let authority = match event {
                0 => OrderAuthority::Absent,
                _ => HELD,
            };
            for _ in 0..secs {
                let roles = |bench: &FleetBench| -> BTreeSet<EngineRole> {
                    let all = bench.backends.values();
                    let up = all.filter(|fake| fake.state == FakeState::Up);
                    up.map(|fake| fake.role).collect()
                };
                let before = roles(&bench);
                bench.step(engines, authority);
                prop_assert!(roles(&bench).len() >= before.len(), "the last of a role was taken");
                prop_assert!(bench.backends.len() <= 12, "more than the pool may have");
            }
        }
    }
}
