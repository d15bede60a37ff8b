//! Role changes: made where they pay, one at a time, never of the last engine of a role.

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

const PROMPTS: Mix = Mix {
    prefill: 70_000,
    decode: 3_000,
};
const ANSWERS: Mix = Mix {
    prefill: 8_000,
    decode: 16_000,
};

const ONLY_ANSWERS: Mix = Mix {
    prefill: 0,
    decode: 16_000,
};

/// Engines that carry out what the planner orders.
struct RoleBench {
    planner: RolePlanner,
    forecast: DemandForecast,
    engines: BTreeMap<BackendId, EngineReport>,
    switching: BTreeMap<BackendId, (u64, EngineRole)>,
    second: u64,
    drains: Vec<BackendId>,
    most_away: usize,
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

impl RoleBench {
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
            most_away: 0,
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

    /// One second of demand, reports, orders and their outcomes.
    fn step(&mut self, mix: Mix, authority: OrderAuthority) {
        let event = DemandEvent {
            pool: pool(),
            prefill: TokenCount(mix.prefill),
            decode: TokenCount(mix.decode),
        };
        self.forecast.handle(self.now(), event);
        self.second += 1;
        self.forecast.tick(self.now());
        self.end_switches(authority);
        for report in self.engines.values().cloned().collect::<Vec<_>>() {
            let drained = report.state == EngineState::Draining;
            let backend = report.backend.clone();
            self.tell(authority, RoleEvent::Reported(report));
            if drained {
                self.tell(authority, RoleEvent::Drained(backend));
            }
        }
        let actions = self.planner.tick(self.now(), authority, &self.forecast);
        self.carry_out(actions, authority);
        let away = self
            .engines
            .values()
            .filter(|engine| engine.state != EngineState::Serving);
        self.most_away = self.most_away.max(away.count());
    }

    fn run(&mut self, mix: Mix, secs: u64) {
        for _ in 0..secs {
            self.step(mix, HELD);
        }
    }

    fn end_switches(&mut self, authority: OrderAuthority) {
        let due: Vec<BackendId> = self.switching.keys().cloned().collect();
        for backend in due {
            let (at, role) = self.switching[&backend];
            if at <= self.second {
                self.switching.remove(&backend);
                if let Some(engine) = self.engines.get_mut(&backend) {
                    engine.role = Some(role);
                }
                self.tell(authority, RoleEvent::RoleSet(backend, role));
            }
        }
    }

    fn tell(&mut self, authority: OrderAuthority, event: RoleEvent) {
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
        self.tell(HELD, RoleEvent::Lost(backend.clone()));
    }
}

#[test]
fn a_lasting_swing_moves_the_split_and_then_it_rests() {
    let mut bench = RoleBench::new(6, 6, RoleSettings::default());
    bench.run(PROMPTS, 240);
    assert!(bench.count(EngineRole::Prefill) >= 9, "{:?}", bench.drains);
    let moved = bench.drains.len();
    bench.run(PROMPTS, 600);
    assert_eq!(bench.drains.len(), moved, "changed without a swing");
    bench.run(ANSWERS, 240);
    assert!(bench.count(EngineRole::Decode) >= 9, "{:?}", bench.drains);
    assert_eq!(bench.most_away, 1, "more than one engine away at once");
}

fn flicker(settings: RoleSettings, forecast: ForecastSettings, period: u64) -> usize {
    let mut bench = RoleBench::with_forecast(6, 6, settings, forecast);
    for second in 0..900 {
        let mix = match second / period % 2 {
            0 => PROMPTS,
            _ => ANSWERS,
        };
        bench.step(mix, HELD);
    }
    bench.drains.len()
}

#[test]
fn flicker_causes_no_change_but_does_without_the_protections() {
    let bare = RoleSettings {
        warmup: TimeSpan::ZERO,
        stabilization: TimeSpan::ZERO,
        cooldown: TimeSpan::ZERO,
        reversal_cooldown: TimeSpan::ZERO,
        ..RoleSettings::default()
    };
    let quick = ForecastSettings {
        short: TimeSpan::ZERO,
        band_deviations: 0.0,
        ..ForecastSettings::default()
    };
    for period in [1, 2, 3, 5] {
        let kept = flicker(RoleSettings::default(), ForecastSettings::default(), period);
        assert_eq!(kept, 0, "mix flickers every {period} s");
        assert!(
            flicker(bare, quick, period) > 0,
            "no contrast at {period} s"
        );
    }
}

#[test]
fn a_change_is_made_only_where_it_pays_back() {
    let table = [(3, false), (10, false), (60, true), (300, true)];
    for (horizon, pays) in table {
        let settings = RoleSettings {
            horizon: TimeSpan::from_secs(horizon),
            ..RoleSettings::default()
        };
        let mut bench = RoleBench::new(6, 6, settings);
        bench.run(
            Mix {
                prefill: 48_000,
                decode: 6_000,
            },
            300,
        );
        assert_eq!(!bench.drains.is_empty(), pays, "horizon of {horizon} s");
    }
}

#[test]
fn an_engine_that_is_not_ready_is_not_counted_on() {
    let mut bench = RoleBench::new(1, 1, RoleSettings::default());
    bench.engines.insert(id(2), report(2, None));
    let few_prompts = Mix {
        prefill: 9_000,
        decode: 100,
    };
    for second in 0..120 {
        // The new engine is given prompts and never carries out the order.
        let mix = match second {
            0..35 => few_prompts,
            _ => ONLY_ANSWERS,
        };
        bench.step(mix, HELD);
        bench.switching.clear();
        assert!(bench.drains.is_empty(), "after {second} s");
    }
}

#[test]
fn the_last_engine_of_a_role_stays_even_when_it_is_idle() {
    let only_prompts = Mix {
        prefill: 70_000,
        decode: 0,
    };
    let table = [
        (1, 3, ONLY_ANSWERS, EngineRole::Prefill),
        (3, 1, only_prompts, EngineRole::Decode),
    ];
    for (prefill, decode, mix, role) in table {
        let mut bench = RoleBench::new(prefill, decode, RoleSettings::default());
        bench.run(mix, 200);
        assert_eq!(bench.count(role), 1);
    }
}

#[test]
fn a_new_engine_gets_the_role_that_is_lacking() {
    for (mix, role) in [
        (PROMPTS, EngineRole::Prefill),
        (ANSWERS, EngineRole::Decode),
    ] {
        let mut bench = RoleBench::new(3, 3, RoleSettings::default());
        bench.run(mix, 3);
        bench.engines.insert(id(9), report(9, None));
        bench.run(mix, SWITCH_SECS + 3);
        assert_eq!(bench.engines[&id(9)].role, Some(role));
    }
}

#[test]
fn a_successor_puts_a_drained_engine_back_to_work() {
    let mut bench = RoleBench::new(3, 3, RoleSettings::default());
    bench.set_state(&id(0), EngineState::Draining);
    bench.run(
        Mix {
            prefill: 1_000,
            decode: 100,
        },
        30,
    );
    assert_eq!(bench.engines[&id(0)].state, EngineState::Serving);
    assert!(bench.drains.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_history_takes_the_last_engine_of_a_role(
        prefill in 1_usize..5,
        decode in 1_usize..5,
        script in prop::collection::vec((0_u64..90_000, 0_u64..20_000, 10_u64..60, 0_usize..12), 1..12),
    ) {
        let mut bench = RoleBench::new(prefill, decode, RoleSettings::default());
        for (prompts, answers, secs, event) in script {
            let authority = match event {
                0 => OrderAuthority::Absent,
                _ => HELD,
            };
            for _ in 0..secs {
                let before = (bench.count(EngineRole::Prefill), bench.count(EngineRole::Decode));
                bench.step(Mix { prefill: prompts, decode: answers }, authority);
                let after = (bench.count(EngineRole::Prefill), bench.count(EngineRole::Decode));
                prop_assert!(after.0 >= before.0.min(1), "the last prefill engine was taken");
                prop_assert!(after.1 >= before.1.min(1), "the last decode engine was taken");
            }
            prop_assert!(bench.most_away <= 1, "more than one engine away at once");
            let busy = bench.engines.values().find(|engine| engine.state != EngineState::Serving);
            let busy = busy.map(|engine| engine.backend.clone());
            if let (1, Some(backend)) = (event, busy) {
                bench.crash(&backend);
            }
        }
    }
}
