use std::fmt;

use serde::Serialize;

use super::probe::ScaleSeries;

const ENTRIES: f64 = 380.0;
const SIDECARS: f64 = 1_500.0;
const REQUESTS_PER_SEC: f64 = 5_200.0;
const CHANGES_PER_DAY: f64 = 9_100.0;
const SECS_PER_DAY: f64 = 86_400.0;
const SUBSET: u64 = 24;
const PIECES_PER_BACKEND: u64 = 4_096;
const TEAMS: u64 = 530;
/// Teams whose requests an entry has seen within four heartbeat periods.
const TEAMS_IN_USE: u64 = 55;
/// Seven other regions and the own failure domain, each summed up.
const SUMMARY_PEERS: f64 = 8.0;
const SUMMARIES_PER_SEC: f64 = 0.2;
/// Keys, teams and engines; see the page for the parts.
const CONFIG_OBJECTS: u64 = 3_124;
/// A configuration and the copy that a ticket is applied to.
const CONFIG_COPIES: u64 = 2;
const ENGINES_OF_A_POOL: u64 = 44;
const ENTRY_FLIGHTS: u64 = 218;
const CLAIMS_PER_SEC_AND_SHARD: f64 = 6.5;
const CLAIMS_OF_A_SHARD: u64 = 23_400;
const METER_BATCHES: u64 = 64;
const METER_BATCHES_PER_SEC: f64 = 6.4;
const WAITING_CALLS: u64 = 256;
const METER_TEAMS: u64 = 2 * TEAMS;
const REQUESTS_OF_AN_ENTRY: f64 = REQUESTS_PER_SEC / ENTRIES;
const REQUESTS_OF_A_SIDECAR: f64 = REQUESTS_PER_SEC / SIDECARS;
const SIGNS_OF_LIFE: f64 = SUBSET as f64 + REQUESTS_OF_AN_ENTRY;
const CACHE_EVENTS: f64 = SUBSET as f64 * REQUESTS_OF_A_SIDECAR;
const TICKETS_PER_SEC: f64 = CHANGES_PER_DAY / SECS_PER_DAY;
const MICROS_PER_NANO: f64 = 1e-3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum NodeRole {
    Entry,
    Sidecar,
}

/// Rows that a process keeps at the size to design for.
struct StatePlan(NodeRole, &'static str, u64);

/// Decisions that a process takes a second at that size, and the rows they are taken over.
struct WorkPlan(NodeRole, &'static str, &'static str, u64, f64);

const STATES: &[StatePlan] = &[
    StatePlan(NodeRole::Entry, "backend servers", SUBSET),
    StatePlan(NodeRole::Entry, "health of one pool", SUBSET),
    StatePlan(
        NodeRole::Entry,
        "flights to 24 backend servers",
        ENTRY_FLIGHTS,
    ),
    StatePlan(
        NodeRole::Entry,
        "prefix index of 24 backend servers",
        SUBSET * PIECES_PER_BACKEND,
    ),
    StatePlan(NodeRole::Entry, "teams that 8 peers report", TEAMS),
    StatePlan(
        NodeRole::Entry,
        "configuration",
        CONFIG_OBJECTS * CONFIG_COPIES,
    ),
    StatePlan(NodeRole::Entry, "claims of a shard", CLAIMS_OF_A_SHARD),
    StatePlan(
        NodeRole::Entry,
        "usage at a keeper, 20 figures a meter",
        METER_BATCHES,
    ),
    StatePlan(
        NodeRole::Entry,
        "engines of one pool at its planner",
        ENGINES_OF_A_POOL,
    ),
    StatePlan(
        NodeRole::Sidecar,
        "calls that wait at a sidecar, of up to 530 teams",
        WAITING_CALLS,
    ),
    StatePlan(NodeRole::Sidecar, "usage at a sidecar's meter", METER_TEAMS),
    StatePlan(
        NodeRole::Sidecar,
        "configuration",
        CONFIG_OBJECTS * CONFIG_COPIES,
    ),
];

const WORKS: &[WorkPlan] = &[
    WorkPlan(
        NodeRole::Entry,
        "backend servers that all hold 32 pieces",
        "choose a route for those pieces",
        SUBSET,
        REQUESTS_OF_AN_ENTRY,
    ),
    WorkPlan(
        NodeRole::Entry,
        "teams at an entry",
        "admit and settle a request",
        TEAMS,
        REQUESTS_OF_AN_ENTRY,
    ),
    WorkPlan(
        NodeRole::Entry,
        "backend servers",
        "begin and end a flight",
        SUBSET,
        REQUESTS_OF_AN_ENTRY,
    ),
    WorkPlan(
        NodeRole::Entry,
        "configuration",
        "find a caller key",
        CONFIG_OBJECTS,
        REQUESTS_OF_AN_ENTRY,
    ),
    WorkPlan(
        NodeRole::Entry,
        "backend servers",
        "take in a load report",
        SUBSET,
        SIGNS_OF_LIFE,
    ),
    WorkPlan(
        NodeRole::Entry,
        "health of one pool",
        "take in an answer",
        SUBSET,
        SIGNS_OF_LIFE,
    ),
    WorkPlan(NodeRole::Entry, "health of one pool", "tick", SUBSET, 1.0),
    WorkPlan(
        NodeRole::Entry,
        "prefix index of 24 backend servers",
        "take in a stored and an evicted piece",
        SUBSET * PIECES_PER_BACKEND,
        CACHE_EVENTS,
    ),
    WorkPlan(
        NodeRole::Entry,
        "teams that 8 peers report",
        "take in a peer's heartbeat",
        TEAMS,
        SUMMARY_PEERS * SUMMARIES_PER_SEC,
    ),
    WorkPlan(
        NodeRole::Entry,
        "teams at an entry",
        "end a heartbeat period",
        TEAMS_IN_USE,
        1.0,
    ),
    WorkPlan(
        NodeRole::Entry,
        "configuration",
        "apply a ticket",
        CONFIG_OBJECTS,
        TICKETS_PER_SEC,
    ),
    WorkPlan(
        NodeRole::Entry,
        "claims of a shard",
        "grant a batch of 10 claims",
        CLAIMS_OF_A_SHARD,
        CLAIMS_PER_SEC_AND_SHARD,
    ),
    WorkPlan(
        NodeRole::Entry,
        "usage at a keeper, 20 figures a meter",
        "take in a batch of 20 figures",
        METER_BATCHES,
        METER_BATCHES_PER_SEC,
    ),
    WorkPlan(
        NodeRole::Entry,
        "engines of one pool at its planner",
        "tick of the roles",
        ENGINES_OF_A_POOL,
        1.0,
    ),
    WorkPlan(
        NodeRole::Entry,
        "engines of one pool at its planner",
        "tick of the fleet",
        ENGINES_OF_A_POOL,
        1.0,
    ),
    WorkPlan(
        NodeRole::Sidecar,
        "calls that wait at a sidecar, of up to 530 teams",
        "take a call, charge its answer, take in another",
        WAITING_CALLS,
        REQUESTS_OF_A_SIDECAR,
    ),
    WorkPlan(
        NodeRole::Sidecar,
        "usage at a sidecar's meter",
        "count a request",
        METER_TEAMS,
        REQUESTS_OF_A_SIDECAR,
    ),
    WorkPlan(
        NodeRole::Sidecar,
        "configuration",
        "apply a ticket",
        CONFIG_OBJECTS,
        TICKETS_PER_SEC,
    ),
];

#[derive(Clone, Debug, Serialize)]
struct StateLine {
    role: NodeRole,
    table: &'static str,
    rows: u64,
    row_bytes: f64,
    bytes: f64,
}

#[derive(Clone, Debug, Serialize)]
struct WorkLine {
    role: NodeRole,
    event: &'static str,
    rows: u64,
    per_sec: f64,
    micros: f64,
    micros_per_sec: f64,
}

/// The measured slopes multiplied out to the size to design for.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CapacityModel {
    states: Vec<StateLine>,
    works: Vec<WorkLine>,
}

impl CapacityModel {
    pub(crate) fn new(series: &[ScaleSeries]) -> Self {
        Self {
            states: STATES
                .iter()
                .filter_map(|plan| state_line(plan, series))
                .collect(),
            works: WORKS
                .iter()
                .filter_map(|plan| work_line(plan, series))
                .collect(),
        }
    }

    fn bytes_of(&self, role: NodeRole) -> f64 {
        let lines = self.states.iter().filter(|line| line.role == role);
        lines.map(|line| line.bytes).sum()
    }

    fn micros_of(&self, role: NodeRole) -> f64 {
        let lines = self.works.iter().filter(|line| line.role == role);
        lines.map(|line| line.micros_per_sec).sum()
    }
}

fn state_line(plan: &StatePlan, series: &[ScaleSeries]) -> Option<StateLine> {
    let StatePlan(role, table, rows) = *plan;
    let found = series.iter().find(|one| one.plan.table == table)?;
    let row_bytes = found.bytes_fit().slope;
    Some(StateLine {
        role,
        table,
        rows,
        row_bytes,
        bytes: row_bytes * rows as f64,
    })
}

fn work_line(plan: &WorkPlan, series: &[ScaleSeries]) -> Option<WorkLine> {
    let WorkPlan(role, table, event, rows, per_sec) = *plan;
    let mut found = series.iter().filter(|one| one.plan.table == table);
    let found = found.find(|one| one.plan.event == event)?;
    let micros = found.nanos_at(rows) * MICROS_PER_NANO;
    Some(WorkLine {
        role,
        event,
        rows,
        per_sec,
        micros,
        micros_per_sec: micros * per_sec,
    })
}

impl fmt::Display for CapacityModel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "| role | table | rows | bytes a row | bytes |")?;
        writeln!(f, "| --- | --- | ---: | ---: | ---: |")?;
        for line in &self.states {
            writeln!(
                f,
                "| {:?} | {} | {} | {:.0} | {:.0} |",
                line.role, line.table, line.rows, line.row_bytes, line.bytes
            )?;
        }
        for role in [NodeRole::Entry, NodeRole::Sidecar] {
            writeln!(f, "| {role:?} | sum | | | {:.0} |", self.bytes_of(role))?;
        }
        writeln!(f)?;
        writeln!(
            f,
            "| role | decision | rows | a second | us each | us a second |"
        )?;
        writeln!(f, "| --- | --- | ---: | ---: | ---: | ---: |")?;
        for line in &self.works {
            writeln!(
                f,
                "| {:?} | {} | {} | {:.3} | {:.2} | {:.1} |",
                line.role, line.event, line.rows, line.per_sec, line.micros, line.micros_per_sec
            )?;
        }
        for role in [NodeRole::Entry, NodeRole::Sidecar] {
            writeln!(f, "| {role:?} | sum | | | | {:.1} |", self.micros_of(role))?;
        }
        Ok(())
    }
}
