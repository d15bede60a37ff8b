//! Role changes are made only if they pay off, one at a time, and never for the last engine of a
//! role.

use std::collections::BTreeMap;

use applefold_core::forecast::{DemandEvent, DemandForecast, ForecastSettings};
use applefold_core::id::{BackendId, FencingNumber, PoolId};
use applefold_core::role::{
    EngineReport, EngineRole, EngineState, OrderAuthority, RoleAction, RoleEvent, RolePlanner,
    RoleSettings,
};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount, TokenRate};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HELD: OrderAuthority = OrderAuthority::Held(FencingNumber(1));
const SWITCH_SECS: u64 = 4;

#[derive(Clone, Copy)]
struct Mix {
    prefill: u64,
    decode: u64,
}

const PREFILL_HEAVY: Mix = Mix {
    prefill: 70_000,
    decode: 3_000,
};
const DECODE_HEAVY: Mix = Mix {
    prefill: 8_000,
    decode: 16_000,
};

const DECODE_ONLY: Mix = Mix {
    prefill: 0,
    decode: 16_000,
};

/// Simulates engines that carry out the orders of the planner.
struct RoleSimulation {
    planner: RolePlanner,
    forecast: DemandForecast,
    engines: BTreeMap<BackendId, EngineReport>,
    switching: BTreeMap<BackendId, (u64, EngineRole)>,
    second: u64,
    drains: Vec<BackendId>,
    max_out_of_service: usize,
}

fn id(index: usize) -> BackendId {
    format!("engine-{index:02}").parse().unwrap()
}

fn pool() -> PoolId {
    "pool".parse().unwrap()
}

fn report(index: usize, role: Option<EngineRole>) -> EngineReport {
    EngineReport {
        backend: id(index),
        pool: pool(),
        domain: "domain".parse().unwrap(),
        role,
        state: EngineState::Serving,
        prefill_rate: TokenRate(10_000),
        decode_rate: TokenRate(2_000),
        held_tokens: TokenCount(5_000),
    }
}

impl RoleSimulation {
    fn new(prefill: usize, decode: usize, settings: RoleSettings) -> Self {
        Self::with_forecast(prefill, decode, settings, ForecastSettings::default())
    }

    fn with_forecast(
        prefill: usize,
        decode: usize,
        settings: RoleSettings,
        forecast: ForecastSettings,
    ) -> Self {
        let mut engines = BTreeMap::new();
        for index in 0..prefill + decode {
            let role = match index < prefill {
                true => EngineRole::Prefill,
                false => EngineRole::Decode,
            };
            engines.insert(id(index), report(index, Some(role)));
        }
        Self {
            planner: RolePlanner::new(settings),
            forecast: DemandForecast::new(forecast),
            engines,
            switching: BTreeMap::new(),
            second: 0,
            drains: Vec::new(),
            max_out_of_service: 0,
        }
    }

    fn now(&self) -> TimePoint {
        TimePoint::START + TimeSpan::from_secs(self.second)
    }

    fn count(&self, role: EngineRole) -> usize {
        let engines = self.engines.values();
        let serving = engines.filter(|engine| engine.state == EngineState::Serving);
        serving.filter(|engine| engine.role == Some(role)).count()
    }

    /// Simulates one second of demand, reports, orders and their results.
    fn step(&mut self, mix: Mix, authority: OrderAuthority) {
        let event = DemandEvent {
            pool: pool(),
            prefill: TokenCount(mix.prefill),
            decode: TokenCount(mix.decode),
        };
        self.forecast.handle(self.now(), event);
        self.second += 1;
        self.forecast.tick(self.now());
        self.finish_switches(authority);
        for report in self.engines.values().cloned().collect::<Vec<_>>() {
            let drained = report.state == EngineState::Draining;
            let backend = report.backend.clone();
            self.handle(authority, RoleEvent::Reported(report));
            if drained {
                self.handle(authority, RoleEvent::Drained(backend));
            }
        }
        let actions = self.planner.tick(self.now(), authority, &self.forecast);
        self.carry_out(actions, authority);
        let out_of_service = self
            .engines
            .values()
            .filter(|engine| engine.state != EngineState::Serving);
        self.max_out_of_service = self.max_out_of_service.max(out_of_service.count());
    }

    fn run(&mut self, mix: Mix, secs: u64) {
        for _ in 0..secs {
            self.step(mix, HELD);
        }
    }

    fn finish_switches(&mut self, authority: OrderAuthority) {
        let due: Vec<BackendId> = self.switching.keys().cloned().collect();
        for backend in due {
            let (at, role) = self.switching[&backend];
            if at <= self.second {
                self.switching.remove(&backend);
                if let Some(engine) = self.engines.get_mut(&backend) {
                    engine.role = Some(role);
                }
                self.handle(authority, RoleEvent::RoleSet(backend, role));
            }
        }
    }

    fn handle(&mut self, authority: OrderAuthority, event: RoleEvent) {
        let actions = self.planner.handle(self.now(), authority, event);
        self.carry_out(actions, authority);
    }

    fn carry_out(&mut self, actions: Vec<RoleAction>, authority: OrderAuthority) {
        for action in actions {
            assert_ne!(
                authority,
                OrderAuthority::Absent,
                "acted without authority: {action:?}"
            );
            match action {
                RoleAction::Drain { decision, .. } => {
                    let figures = decision.figures;
                    assert!(figures.gain_secs > figures.loss_secs, "{decision:?}");
                    self.drains.push(decision.backend.clone());
                    self.set_state(&decision.backend, EngineState::Draining);
                }
                RoleAction::SetRole { decision } => {
                    let state = self
                        .engines
                        .get(&decision.backend)
                        .map(|engine| engine.state);
                    let drained = state == Some(EngineState::Draining);
                    assert!(
                        drained || decision.from.is_none(),
                        "not drained: {decision:?}"
                    );
                    let at = self.second + SWITCH_SECS;
                    self.switching.insert(decision.backend, (at, decision.to));
                }
                RoleAction::Undrain { backend } => self.set_state(&backend, EngineState::Serving),
            }
        }
    }

    fn set_state(&mut self, backend: &BackendId, state: EngineState) {
        if let Some(engine) = self.engines.get_mut(backend) {
            engine.state = state;
        }
    }

    fn crash(&mut self, backend: &BackendId) {
        self.engines.remove(backend);
        self.switching.remove(backend);
        self.handle(HELD, RoleEvent::Lost(backend.clone()));
    }
}

#[test]
fn a_lasting_shift_in_demand_changes_the_split_once() {
    let mut simulation = RoleSimulation::new(6, 6, RoleSettings::default());
    simulation.run(PREFILL_HEAVY, 240);
    assert!(
        simulation.count(EngineRole::Prefill) >= 9,
        "{:?}",
        simulation.drains
    );
    let drains = simulation.drains.len();
    simulation.run(PREFILL_HEAVY, 600);
    assert_eq!(
        simulation.drains.len(),
        drains,
        "changed without a shift in demand"
    );
    simulation.run(DECODE_HEAVY, 240);
    assert!(
        simulation.count(EngineRole::Decode) >= 9,
        "{:?}",
        simulation.drains
    );
    assert_eq!(
        simulation.max_out_of_service, 1,
        "more than one engine out of service at once"
    );
}

/// Returns the number of drains while demand alternates between two mixes every `period` seconds.
fn drains_under_alternating_demand(
    settings: RoleSettings,
    forecast: ForecastSettings,
    period: u64,
) -> usize {
    let mut simulation = RoleSimulation::with_forecast(6, 6, settings, forecast);
    for second in 0..900 {
        let mix = match second / period % 2 {
            0 => PREFILL_HEAVY,
            _ => DECODE_HEAVY,
        };
        simulation.step(mix, HELD);
    }
    simulation.drains.len()
}

#[test]
fn alternating_demand_causes_no_change_but_does_without_hysteresis() {
    let no_hysteresis = RoleSettings {
        warmup: TimeSpan::ZERO,
        stabilization: TimeSpan::ZERO,
        cooldown: TimeSpan::ZERO,
        reversal_cooldown: TimeSpan::ZERO,
        ..RoleSettings::default()
    };
    let no_band = ForecastSettings {
        short: TimeSpan::ZERO,
        band_deviations: 0.0,
        ..ForecastSettings::default()
    };
    for period in [1, 2, 3, 5] {
        let drains = drains_under_alternating_demand(
            RoleSettings::default(),
            ForecastSettings::default(),
            period,
        );
        assert_eq!(drains, 0, "demand alternates every {period} s");
        assert!(
            drains_under_alternating_demand(no_hysteresis, no_band, period) > 0,
            "no drain without hysteresis at {period} s"
        );
    }
}

#[test]
fn a_change_is_made_only_if_it_pays_off() {
    let cases = [(3, false), (10, false), (60, true), (300, true)];
    for (horizon, pays_off) in cases {
        let settings = RoleSettings {
            horizon: TimeSpan::from_secs(horizon),
            ..RoleSettings::default()
        };
        let mut simulation = RoleSimulation::new(6, 6, settings);
        simulation.run(
            Mix {
                prefill: 48_000,
                decode: 6_000,
            },
            300,
        );
        assert_eq!(
            !simulation.drains.is_empty(),
            pays_off,
            "horizon of {horizon} s"
        );
    }
}

#[test]
fn an_engine_without_a_role_does_not_let_another_change() {
    let mut simulation = RoleSimulation::new(1, 1, RoleSettings::default());
    simulation.engines.insert(id(2), report(2, None));
    let light_prefill = Mix {
        prefill: 9_000,
        decode: 100,
    };
    for second in 0..120 {
        // The new engine is ordered to run prefill but never carries out the order.
        let mix = match second {
            0..35 => light_prefill,
            _ => DECODE_ONLY,
        };
        simulation.step(mix, HELD);
        simulation.switching.clear();
        assert!(simulation.drains.is_empty(), "after {second} s");
    }
}

#[test]
fn the_last_engine_of_a_role_keeps_it_even_if_idle() {
    let prefill_only = Mix {
        prefill: 70_000,
        decode: 0,
    };
    let cases = [
        (1, 3, DECODE_ONLY, EngineRole::Prefill),
        (3, 1, prefill_only, EngineRole::Decode),
    ];
    for (prefill, decode, mix, role) in cases {
        let mut simulation = RoleSimulation::new(prefill, decode, RoleSettings::default());
        simulation.run(mix, 200);
        assert_eq!(simulation.count(role), 1);
    }
}

#[test]
fn a_new_engine_gets_the_scarcer_role() {
    for (mix, role) in [
        (PREFILL_HEAVY, EngineRole::Prefill),
        (DECODE_HEAVY, EngineRole::Decode),
    ] {
        let mut simulation = RoleSimulation::new(3, 3, RoleSettings::default());
        simulation.run(mix, 3);
        simulation.engines.insert(id(9), report(9, None));
        simulation.run(mix, SWITCH_SECS + 3);
        assert_eq!(simulation.engines[&id(9)].role, Some(role));
    }
}

#[test]
fn a_new_lease_holder_undrains_an_orphaned_engine() {
    let mut simulation = RoleSimulation::new(3, 3, RoleSettings::default());
    simulation.set_state(&id(0), EngineState::Draining);
    simulation.run(
        Mix {
            prefill: 1_000,
            decode: 100,
        },
        30,
    );
    assert_eq!(simulation.engines[&id(0)].state, EngineState::Serving);
    assert!(simulation.drains.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_sequence_of_events_takes_the_last_engine_of_a_role(
        prefill in 1_usize..5,
        decode in 1_usize..5,
        script in prop::collection::vec((0_u64..90_000, 0_u64..20_000, 10_u64..60, 0_usize..12), 1..12),
    ) {
        let mut simulation = RoleSimulation::new(prefill, decode, RoleSettings::default());
        for (prefill_demand, decode_demand, secs, event) in script {
            let authority = match event {
                0 => OrderAuthority::Absent,
                _ => HELD,
            };
            for _ in 0..secs {
                let before = (
                    simulation.count(EngineRole::Prefill),
                    simulation.count(EngineRole::Decode),
                );
                simulation.step(Mix { prefill: prefill_demand, decode: decode_demand }, authority);
                let after = (
                    simulation.count(EngineRole::Prefill),
                    simulation.count(EngineRole::Decode),
                );
                prop_assert!(after.0 >= before.0.min(1), "the last prefill engine left its role");
                prop_assert!(after.1 >= before.1.min(1), "the last decode engine left its role");
            }
            prop_assert!(
                simulation.max_out_of_service <= 1,
                "more than one engine out of service at once"
            );
            let busy = simulation
                .engines
                .values()
                .find(|engine| engine.state != EngineState::Serving);
            let busy = busy.map(|engine| engine.backend.clone());
            if let (1, Some(backend)) = (event, busy) {
                simulation.crash(&backend);
            }
        }
    }
}
