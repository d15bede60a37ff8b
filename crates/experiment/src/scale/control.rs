use std::hint::black_box;

use applefold_core::config::{key_digest, ServingConfig};
use applefold_core::fleet::{FleetEvent, FleetPlanner, FleetSettings, PoolPlan};
use applefold_core::forecast::{DemandForecast, ForecastSettings};
use applefold_core::id::{BackendId, FencingNumber};
use applefold_core::role::{
    EngineReport, EngineRole, EngineState, OrderAuthority, RoleEvent, RolePlanner, RoleSettings,
};
use applefold_core::ticket::ChangeTicket;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount, TokenRate};

use super::probe::{ScaleProbe, SeriesPlan};
use crate::member::named;

const KEYS: &[u64] = &[10, 100, 300, 1_000, 2_000];
const KEYS_OF_A_TICKET: u64 = 50;
const ENGINES: &[u64] = &[10, 30, 50, 100, 200];
const NOW: TimePoint = TimePoint(10_000_000);
const HELD: OrderAuthority = OrderAuthority::Held(FencingNumber(1));

struct PlannerBench {
    roles: RolePlanner,
    fleet: FleetPlanner,
    forecast: DemandForecast,
}

pub(super) fn grow(probe: &mut ScaleProbe) -> eyre::Result<()> {
    grow_config(probe)?;
    grow_planners(probe)
}

fn grow_config(probe: &mut ScaleProbe) -> eyre::Result<()> {
    let plan = |event| SeriesPlan {
        table: "configuration",
        row: "key",
        event,
        sizes: KEYS,
    };
    probe.measure(plan("find a caller key"), config, |config, turn| {
        let digest = key_digest(&format!("secret-{}", turn % 10));
        black_box(config.find_key(&digest).active());
    })?;
    probe.measure(plan("apply a ticket"), config, |config, turn| {
        let number = 1_000_000 + turn;
        let ticket = ticket(number, &[turn % 10]);
        black_box(config.apply(&ticket).is_ok());
    })?;
    probe.measure(plan("write it as JSON"), config, |config, _| {
        black_box(config.to_json());
    })?;
    let written = |rows| config(rows).to_json();
    probe.measure(
        SeriesPlan {
            table: "configuration as JSON",
            ..plan("read it")
        },
        written,
        |text, _| {
            black_box(ServingConfig::from_json(text).is_ok());
        },
    )
}

fn grow_planners(probe: &mut ScaleProbe) -> eyre::Result<()> {
    let plan = |event| SeriesPlan {
        table: "engines of one pool at its planner",
        row: "engine",
        event,
        sizes: ENGINES,
    };
    probe.measure(plan("tick of the roles"), planners, |bench, turn| {
        let now = NOW + TimeSpan(turn);
        black_box(bench.roles.tick(now, HELD, &bench.forecast));
    })?;
    probe.measure(plan("tick of the fleet"), planners, |bench, turn| {
        let now = NOW + TimeSpan(turn);
        black_box(bench.fleet.tick(now, HELD, &bench.forecast));
    })?;
    probe.measure(
        plan("take in an engine's report"),
        planners,
        |bench, turn| {
            let event = RoleEvent::Reported(report(turn % 10));
            black_box(bench.roles.handle(NOW, HELD, event));
        },
    )
}

fn key_text(number: u64) -> String {
    let digest = key_digest(&format!("secret-{number}"));
    format!(
        r#"{{"id":"key-of-team-{number:04}","team":"team-of-users-001","sha256":"{digest}","state":"active"}}"#
    )
}

fn ticket(number: u64, keys: &[u64]) -> ChangeTicket {
    let keys: Vec<String> = keys.iter().copied().map(key_text).collect();
    let team = r#"{"id":"team-of-users-001","weight":1}"#;
    let text = format!(
        r#"{{"ticket":{number},"author":"ana","teams":[{team}],"keys":[{}]}}"#,
        keys.join(",")
    );
    ChangeTicket::parse(&text).expect("the experiment's tickets can be read")
}

fn config(rows: u64) -> ServingConfig {
    let mut config = ServingConfig::default();
    let numbers: Vec<u64> = (0..rows).collect();
    for (number, keys) in (1..).zip(numbers.chunks(KEYS_OF_A_TICKET as usize)) {
        let applied = config.apply(&ticket(number, keys));
        applied.expect("the experiment's tickets are accepted");
    }
    config
}

fn report(number: u64) -> EngineReport {
    let backend: BackendId = named(&format!("engine-{number:04}.eu-1a"));
    EngineReport {
        backend,
        pool: named("assistant"),
        domain: named("eu-1a"),
        role: Some(match number % 3 {
            0 => EngineRole::Prefill,
            _ => EngineRole::Decode,
        }),
        state: EngineState::Serving,
        prefill_rate: TokenRate(10_000),
        decode_rate: TokenRate(800),
        held_tokens: TokenCount(100_000),
    }
}

fn planners(rows: u64) -> PlannerBench {
    let mut bench = PlannerBench {
        roles: RolePlanner::new(RoleSettings::default()),
        fleet: FleetPlanner::new(FleetSettings::default()),
        forecast: DemandForecast::new(ForecastSettings::default()),
    };
    let plan = PoolPlan {
        pool: named("assistant"),
        min: 1,
        max: 3_000,
        domains: [named("eu-1a")].into(),
        prefill_rate: TokenRate(10_000),
        decode_rate: TokenRate(800),
    };
    bench.fleet.handle(NOW, HELD, FleetEvent::Planned(plan));
    for number in 0..rows {
        let reported = FleetEvent::Reported(report(number));
        bench.fleet.handle(NOW, HELD, reported);
        let reported = RoleEvent::Reported(report(number));
        bench.roles.handle(NOW, HELD, reported);
    }
    bench
}
