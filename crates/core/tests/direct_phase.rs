//! Changes of engines between the prefill phase and the decode phase.

mod direct_support;

use applefold_core::direct::{PhaseChange, PhasePlanner, ServerTable, SpeedObservation};
use applefold_core::id::BackendId;
use applefold_core::routing::BackendRole::{self, Decode, Prefill};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use direct_support::{record_loads, service, spec, table};

const EVALUATION_INTERVAL: TimeSpan = TimeSpan::from_millis(200);

/// Runs the planner over a constant load. An engine's new role is listed 4 s after the decision.
struct PhaseSimulation {
    table: ServerTable,
    planner: PhasePlanner,
    now: TimePoint,
    pending: Vec<(TimePoint, BackendId, BackendRole)>,
    changes: Vec<(TimePoint, PhaseChange)>,
}

impl PhaseSimulation {
    fn new(roles: &[BackendRole]) -> Self {
        Self {
            table: table(roles),
            planner: PhasePlanner::default(),
            now: TimePoint(100_000_000),
            pending: Vec::new(),
            changes: Vec::new(),
        }
    }

    fn number(id: &BackendId) -> usize {
        id.as_str().trim_start_matches("e-").parse().unwrap()
    }

    /// Runs for `span`. Each prefill engine has `backlog` prompt tokens queued, and each other engine
    /// has `flights` requests in flight.
    fn run(&mut self, span: TimeSpan, backlog: u64, flights: u32) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + EVALUATION_INTERVAL;
            let now = self.now;
            let (due, later) = self.pending.drain(..).partition(|(at, _, _)| *at <= now);
            self.pending = later;
            let due: Vec<(TimePoint, BackendId, BackendRole)> = due;
            for (_, id, role) in due {
                self.table.upsert(spec(Self::number(&id), role), now);
            }
            let loads = self.table.rows().map(|row| match row.spec.role {
                Prefill => (Self::number(&row.spec.id), 1, backlog),
                _ => (Self::number(&row.spec.id), flights, 0),
            });
            let loads: Vec<(usize, u32, u64)> = loads.collect();
            record_loads(&mut self.table, &loads, now);
            for change in self.planner.evaluate(&self.table, &[service()], now) {
                let at = now + TimeSpan::from_secs(4);
                self.pending.push((at, change.backend.clone(), change.to));
                self.changes.push((now, change));
            }
        }
    }

    fn decode_engines(&self) -> usize {
        self.table
            .rows()
            .filter(|row| row.spec.role != Prefill)
            .count()
    }
}

fn roles(prefill_engines: usize, decode_engines: usize) -> Vec<BackendRole> {
    let mut roles = vec![Prefill; prefill_engines];
    roles.resize(prefill_engines + decode_engines, Decode);
    roles
}

#[test]
fn engines_change_to_prefill_while_prefills_wait_and_decode_has_capacity() {
    let mut simulation = PhaseSimulation::new(&roles(4, 8));
    simulation.run(TimeSpan::from_secs(30), 20_000, 2);
    assert!(simulation
        .changes
        .iter()
        .all(|(_, change)| change.to == Prefill));
    assert_eq!(
        simulation.decode_engines(),
        5,
        "two engines of five are kept for decode"
    );
}

#[test]
fn a_short_shortage_changes_nothing() {
    let mut simulation = PhaseSimulation::new(&roles(4, 8));
    for _ in 0..20 {
        simulation.run(TimeSpan::from_millis(400), 12_000, 2);
        simulation.run(TimeSpan::from_millis(2_000), 0, 2);
    }
    assert!(simulation.changes.is_empty(), "{:?}", simulation.changes);
}

#[test]
fn a_loaded_decode_phase_gives_no_engine_away() {
    let mut simulation = PhaseSimulation::new(&roles(4, 8));
    simulation.run(TimeSpan::from_secs(10), 20_000, 6);
    assert!(simulation.changes.is_empty());
}

/// Guards against a decode phase that stays too small. It came about when five engines had changed
/// to prefill and two of the others left, which left one engine for decode.
#[test]
fn decode_gets_an_engine_back_when_too_few_are_left() {
    let mut simulation = PhaseSimulation::new(&roles(9, 3));
    simulation.table.remove(&"e-10".parse().unwrap());
    simulation.table.remove(&"e-11".parse().unwrap());
    simulation.run(TimeSpan::from_secs(30), 20_000, 2);
    assert!(
        simulation.decode_engines() * 100 >= 34 * 10,
        "{} of 10",
        simulation.decode_engines()
    );
    let first = &simulation.changes[0].1;
    assert_eq!(first.to, Decode);
}

#[test]
fn opposite_changes_are_seconds_apart() {
    let mut simulation = PhaseSimulation::new(&roles(6, 6));
    for _ in 0..10 {
        simulation.run(TimeSpan::from_secs(4), 20_000, 1);
        simulation.run(TimeSpan::from_secs(4), 0, 8);
    }
    for pair in simulation.changes.windows(2) {
        let interval = pair[1].0.since(pair[0].0);
        if pair[0].1.to != pair[1].1.to {
            assert!(interval >= TimeSpan::from_secs(8), "{interval}");
        }
    }
}

#[test]
fn nothing_changes_where_all_engines_have_the_same_role() {
    for role in [Prefill, Decode] {
        let mut simulation = PhaseSimulation::new(&[role; 4]);
        simulation.run(TimeSpan::from_secs(10), 20_000, 8);
        assert!(simulation.changes.is_empty());
    }
}

/// Guards against prompts that wait for seconds while most engines decode a request or two. With one
/// change at a time, the prefill phase of 38 engines reached its size only after the surge.
#[test]
fn an_idle_decode_phase_gives_several_engines_at_once() {
    for (prefill_engines, engines, joint) in [(3, 9, 1), (12, 38, 3), (55, 180, 18)] {
        let roles = roles(prefill_engines, engines - prefill_engines);
        let mut simulation = PhaseSimulation::new(&roles);
        simulation.run(TimeSpan::from_millis(1_400), 20_000, 0);
        assert_eq!(simulation.changes.len(), joint, "{engines} engines");
        assert!(simulation
            .changes
            .iter()
            .all(|(_, change)| change.to == Prefill));
        simulation.run(TimeSpan::from_secs(120), 20_000, 0);
        let kept = simulation.decode_engines() * 100 / engines;
        assert!(
            (25..40).contains(&kept),
            "{kept} percent of {engines} engines decode"
        );
    }
}

/// Records that an engine takes this many times as long as usual for its prompts.
fn observe_speed(table: &mut ServerTable, number: usize, ratio: f64, now: TimePoint) {
    let row = table.get(&format!("e-{number}").parse().unwrap()).unwrap();
    let hash = row.name_hash();
    for tokens in [1_000, 2_000, 4_000, 8_000].repeat(20) {
        let span = TimeSpan(((40_000 + tokens * 20) as f64 * ratio) as u64);
        let observation = SpeedObservation {
            tokens: TokenCount(tokens),
            pairs: 0,
            span,
        };
        table.record_peer_token(hash, &observation, now);
    }
}

/// Guards against long prompts on slow engines while fast ones decode, where speed hardly matters. The
/// exchange ends once the fast engines prefill, and does not take place where nothing waits or
/// the engines are alike.
#[test]
fn prefills_move_to_the_fastest_engines() {
    for (slow, backlog, expected) in [(1.0, 3_000, 0), (2.4, 0, 0), (2.4, 3_000, 2)] {
        let mut simulation = PhaseSimulation::new(&roles(6, 2));
        let now = simulation.now;
        for number in 0..8 {
            let ratio = if number % 2 == 0 { slow } else { 1.0 };
            observe_speed(&mut simulation.table, number, ratio, now);
        }
        simulation.run(TimeSpan::from_secs(40), backlog, 0);
        let exchanged = simulation
            .changes
            .iter()
            .filter(|(_, change)| change.to == Decode);
        assert_eq!(
            exchanged.count() * 2,
            expected,
            "{slow} {backlog}: {:?}",
            simulation.changes
        );
    }
}
