//! When engines change between reading prompts and answering.

mod direct_support;

use applefold_core::direct::{PhaseChange, PhasePlanner, ServerTable};
use applefold_core::id::BackendId;
use applefold_core::routing::BackendRole::{self, Decode, Prefill};
use applefold_core::unit::{TimePoint, TimeSpan};
use direct_support::{load, service, spec, table};

const LOOK: TimeSpan = TimeSpan::from_millis(200);

/// Plays the planner over a steady load; ordered engines change after `switch`.
struct PhasePlay {
    table: ServerTable,
    planner: PhasePlanner,
    now: TimePoint,
    pending: Vec<(TimePoint, BackendId, BackendRole)>,
    moves: Vec<(TimePoint, PhaseChange)>,
}

impl PhasePlay {
    fn new(roles: &[BackendRole]) -> Self {
        Self {
            table: table(roles),
            planner: PhasePlanner::default(),
            now: TimePoint(100_000_000),
            pending: Vec::new(),
            moves: Vec::new(),
        }
    }

    fn number(id: &BackendId) -> usize {
        id.as_str().trim_start_matches("e-").parse().unwrap()
    }

    /// Each engine that reads prompts has `backlog` waiting, each other one `flights`.
    fn play(&mut self, span: TimeSpan, backlog: u64, flights: u32) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + LOOK;
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
            load(&mut self.table, &loads, now);
            for one in self.planner.evaluate(&self.table, &[service()], now) {
                let at = now + TimeSpan::from_secs(4);
                self.pending.push((at, one.backend.clone(), one.to));
                self.moves.push((now, one));
            }
        }
    }

    fn answering(&self) -> usize {
        self.table
            .rows()
            .filter(|row| row.spec.role != Prefill)
            .count()
    }
}

fn roles(prompts: usize, answers: usize) -> Vec<BackendRole> {
    let mut roles = vec![Prefill; prompts];
    roles.resize(prompts + answers, Decode);
    roles
}

#[test]
fn engines_move_to_prompts_while_these_wait_and_answers_have_room() {
    let mut play = PhasePlay::new(&roles(4, 8));
    play.play(TimeSpan::from_secs(30), 20_000, 2);
    assert!(play.moves.iter().all(|(_, one)| one.to == Prefill));
    assert_eq!(
        play.answering(),
        5,
        "two engines of five are kept for answers"
    );
}

#[test]
fn a_short_shortage_moves_nothing() {
    let mut play = PhasePlay::new(&roles(4, 8));
    for _ in 0..20 {
        play.play(TimeSpan::from_millis(400), 12_000, 2);
        play.play(TimeSpan::from_millis(2_000), 0, 2);
    }
    assert!(play.moves.is_empty(), "{:?}", play.moves);
}

#[test]
fn crowded_answers_give_no_engine_away() {
    let mut play = PhasePlay::new(&roles(4, 8));
    play.play(TimeSpan::from_secs(10), 20_000, 6);
    assert!(play.moves.is_empty());
}

/// Five engines had moved to prompts when two of the rest left; one was left for answers.
#[test]
fn answers_get_an_engine_back_when_too_few_are_left() {
    let mut play = PhasePlay::new(&roles(9, 3));
    play.table.remove(&"e-10".parse().unwrap());
    play.table.remove(&"e-11".parse().unwrap());
    play.play(TimeSpan::from_secs(30), 20_000, 2);
    assert!(
        play.answering() * 100 >= 34 * 10,
        "{} of 10",
        play.answering()
    );
    let first = &play.moves[0].1;
    assert_eq!(first.to, Decode);
}

#[test]
fn moves_in_opposite_directions_are_seconds_apart() {
    let mut play = PhasePlay::new(&roles(6, 6));
    for _ in 0..10 {
        play.play(TimeSpan::from_secs(4), 20_000, 1);
        play.play(TimeSpan::from_secs(4), 0, 8);
    }
    for pair in play.moves.windows(2) {
        let apart = pair[1].0.since(pair[0].0);
        if pair[0].1.to != pair[1].1.to {
            assert!(apart >= TimeSpan::from_secs(8), "{apart}");
        }
    }
}

#[test]
fn nothing_moves_where_all_engines_do_the_same() {
    for role in [Prefill, Decode] {
        let mut play = PhasePlay::new(&[role; 4]);
        play.play(TimeSpan::from_secs(10), 20_000, 8);
        assert!(play.moves.is_empty());
    }
}
