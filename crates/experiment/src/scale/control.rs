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

const KEYS: &[u64] = &[10, 100, 300, 1_000, 3_000];
const OBJECTS_OF_A_TICKET: usize = 50;
const TEAM: &str = "team-of-users-001";
const POOL: &str = "assistant";
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
        let ticket = ticket(number, &objects(ConfigObject::Key, &[turn % 10]));
        black_box(config.apply(&ticket).is_ok());
    })?;
    probe.measure(plan("write it as JSON"), config, |config, _| {
        black_box(config.to_json());
    })?;
    grow_text(probe);
    Ok(())
}

/// The text is what a process that is far behind is sent, and what the store keeps.
fn grow_text(probe: &mut ScaleProbe) {
    for object in [ConfigObject::Key, ConfigObject::Team, ConfigObject::Engine] {
        let plan = SeriesPlan {
            table: "configuration as JSON",
            row: object.as_str(),
            event: "read it",
            sizes: KEYS,
        };
        let written = |rows| config_of(object, rows).to_json();
        probe.measure_text(plan, written, |text, _| {
            black_box(ServingConfig::from_json(text).is_ok());
        });
    }
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

#[derive(Clone, Copy)]
enum ConfigObject {
    Key,
    Team,
    Engine,
}

impl ConfigObject {
    fn as_str(self) -> &'static str {
        match self {
            Self::Key => "key",
            Self::Team => "team",
            Self::Engine => "engine",
        }
    }

    fn table(self) -> &'static str {
        match self {
            Self::Key => "keys",
            Self::Team => "teams",
            Self::Engine => "engines",
        }
    }

    fn text(self, number: u64) -> String {
        match self {
            Self::Key => {
                let digest = key_digest(&format!("secret-{number}"));
                format!(
                    r#"{{"id":"key-of-team-{number:04}","team":"{TEAM}","sha256":"{digest}","state":"active"}}"#
                )
            }
            Self::Team => format!(
                r#"{{"id":"team-of-users-{number:04}","weight":10,"limits":{{"tokens_per_s":20000,"running":50}}}}"#
            ),
            Self::Engine => format!(
                r#"{{"id":"engine-{number:04}.eu-1a","pool":"{POOL}","state":"active","role":"both"}}"#
            ),
        }
    }
}

fn ticket(number: u64, body: &str) -> ChangeTicket {
    let text = format!(r#"{{"ticket":{number},"author":"ana",{body}}}"#);
    ChangeTicket::parse(&text).expect("the experiment's tickets can be read")
}

fn objects(object: ConfigObject, numbers: &[u64]) -> String {
    let texts: Vec<String> = numbers.iter().map(|number| object.text(*number)).collect();
    format!(r#""{}":[{}]"#, object.table(), texts.join(","))
}

/// The objects that the measured ones refer to.
fn frame() -> ChangeTicket {
    let team = format!(r#""teams":[{{"id":"{TEAM}","weight":1}}]"#);
    let pool = format!(
        r#""pools":[{{"id":"{POOL}","kind":"model","min":1,"max":3000,"failure_domains":["eu-1a"]}}]"#
    );
    ticket(1, &format!("{team},{pool}"))
}

fn config_of(object: ConfigObject, rows: u64) -> ServingConfig {
    let mut config = ServingConfig::default();
    let numbers: Vec<u64> = (0..rows).collect();
    let groups = numbers.chunks(OBJECTS_OF_A_TICKET);
    let filed = (2..)
        .zip(groups)
        .map(|(number, group)| ticket(number, &objects(object, group)));
    for ticket in std::iter::once(frame()).chain(filed) {
        let applied = config.apply(&ticket);
        applied.expect("the experiment's tickets are accepted");
    }
    config
}

fn config(rows: u64) -> ServingConfig {
    config_of(ConfigObject::Key, rows)
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
