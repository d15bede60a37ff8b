//! Membership by late, lost and reordered heartbeats and a lagging list.

#[path = "claim_support/history.rs"]
mod history;

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::id::InstanceId;
use applefold_core::membership::{
    IncarnationNumber, InstanceKind, ListedInstance, LivenessCount, PeerAction, PeerEvent,
    PeerOptions, PeerState, PeerTable,
};
use applefold_core::unit::{TimePoint, TimeSpan};
use history::check_histories;
use proptest::prelude::*;

const PEERS: usize = 4;
const LAG_STEPS: usize = 10;
/// How late a heartbeat may come; what has gone is remembered for longer.
const LATEST: TimeSpan = TimeSpan::from_secs(40);
const STEP: TimeSpan = TimeSpan::from_millis(500);

fn peer(number: usize) -> InstanceId {
    format!("backend-{number}").parse().unwrap()
}

fn listed(number: usize, leaving: bool) -> ListedInstance {
    ListedInstance {
        instance: peer(number),
        kind: InstanceKind::Backend,
        address: format!("10.0.0.{number}:7000").into(),
        domain: "east-1".parse().unwrap(),
        region: "east".parse().unwrap(),
        pool: Some("chat".parse().unwrap()),
        leaving,
    }
}

fn heard(number: usize, run: u64, stopping: bool) -> PeerEvent {
    PeerEvent::Heartbeat {
        instance: peer(number),
        incarnation: IncarnationNumber(run),
        stopping,
    }
}

trait Table {
    fn new() -> Self;
    fn handle(&mut self, now: TimePoint, event: PeerEvent);
    fn tick(&mut self, now: TimePoint);
    fn accepts_work(&self, instance: &InstanceId) -> bool;
}

impl Table for PeerTable {
    fn new() -> Self {
        PeerTable::new(PeerOptions::default())
    }

    fn handle(&mut self, now: TimePoint, event: PeerEvent) {
        PeerTable::handle(self, now, event);
    }

    fn tick(&mut self, now: TimePoint) {
        PeerTable::tick(self, now);
    }

    fn accepts_work(&self, instance: &InstanceId) -> bool {
        PeerTable::accepts_work(self, instance)
    }
}

/// Believes whatever it was told last.
struct NaiveTable {
    live: BTreeSet<InstanceId>,
}

impl Table for NaiveTable {
    fn new() -> Self {
        Self {
            live: BTreeSet::new(),
        }
    }

    fn handle(&mut self, _now: TimePoint, event: PeerEvent) {
        match event {
            PeerEvent::Listed(list) => {
                let live = list.into_iter().filter(|one| !one.leaving);
                self.live = live.map(|one| one.instance).collect();
            }
            PeerEvent::Heartbeat {
                instance, stopping, ..
            } => {
                if stopping {
                    self.live.remove(&instance);
                } else {
                    self.live.insert(instance);
                }
            }
        }
    }

    fn tick(&mut self, _now: TimePoint) {}

    fn accepts_work(&self, instance: &InstanceId) -> bool {
        self.live.contains(instance)
    }
}

#[derive(Clone, Debug)]
enum Step {
    Start(usize),
    /// It says that it stops, and goes on beating.
    Stop(usize),
    /// It ends, with or without having said so.
    Kill(usize),
    /// Its connection goes silent, or comes back.
    Cut(usize),
    /// A heartbeat sent earlier arrives only now.
    Late(usize),
    Wait(usize),
    List,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let peer = 0..PEERS;
    let step = prop_oneof![
        2 => peer.clone().prop_map(Step::Start),
        1 => peer.clone().prop_map(Step::Stop),
        1 => peer.clone().prop_map(Step::Kill),
        1 => peer.prop_map(Step::Cut),
        3 => any::<usize>().prop_map(Step::Late),
        8 => (1..12usize).prop_map(Step::Wait),
        4 => Just(Step::List),
    ];
    prop::collection::vec(step, 1..120)
}

#[derive(Clone, Copy, Default)]
struct Truth {
    up: bool,
    stopping: bool,
    cut: bool,
    run: u64,
    /// When a heartbeat last arrived.
    beat: Option<TimePoint>,
}

#[derive(Clone, Copy)]
struct SentBeat {
    number: usize,
    run: u64,
    stopping: bool,
    at: TimePoint,
}

struct World<T> {
    table: T,
    now: TimePoint,
    truths: [Truth; PEERS],
    /// The list as it was at each step.
    lists: Vec<Vec<ListedInstance>>,
    sent: Vec<SentBeat>,
    /// The runs that the table has heard to be stopping.
    stopped: BTreeMap<usize, u64>,
}

impl<T> World<T>
where
    T: Table,
{
    fn new() -> Self {
        Self {
            table: T::new(),
            now: TimePoint::START + TimeSpan::from_secs(100),
            truths: [Truth::default(); PEERS],
            lists: vec![Vec::new()],
            sent: Vec::new(),
            stopped: BTreeMap::new(),
        }
    }

    fn hear(&mut self, number: usize, run: u64, stopping: bool) {
        if stopping {
            let stopped = self.stopped.entry(number).or_default();
            *stopped = run.max(*stopped);
        }
        self.truths[number].beat = Some(self.now);
        self.table.handle(self.now, heard(number, run, stopping));
    }

    fn list(&mut self) {
        let at = self.lists.len().saturating_sub(LAG_STEPS);
        let list = self.lists[at].clone();
        self.table.handle(self.now, PeerEvent::Listed(list));
    }

    fn wait(&mut self) {
        self.now = self.now + STEP;
        let ups = (0..PEERS).filter(|number| self.truths[*number].up);
        let list = ups.map(|number| listed(number, self.truths[number].stopping));
        self.lists.push(list.collect());
        for number in 0..PEERS {
            let truth = self.truths[number];
            if truth.up && self.lists.len().is_multiple_of(2) {
                self.sent.push(SentBeat {
                    number,
                    run: truth.run,
                    stopping: truth.stopping,
                    at: self.now,
                });
                if !truth.cut {
                    self.hear(number, truth.run, truth.stopping);
                }
            }
        }
        self.table.tick(self.now);
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Start(number) if !self.truths[number].up => {
                let Truth { run, beat, .. } = self.truths[number];
                let run = run + 1;
                self.truths[number] = Truth {
                    up: true,
                    run,
                    beat,
                    ..Truth::default()
                };
            }
            Step::Start(_) => {}
            Step::Stop(number) => self.truths[number].stopping = self.truths[number].up,
            Step::Kill(number) => self.truths[number].up = false,
            Step::Cut(number) => self.truths[number].cut ^= true,
            Step::Late(at) if !self.sent.is_empty() => {
                let beat = self.sent[at % self.sent.len()];
                if self.now.since(beat.at) < LATEST {
                    self.hear(beat.number, beat.run, beat.stopping);
                }
            }
            Step::Late(_) => {}
            Step::Wait(steps) => {
                for _ in 0..steps {
                    self.wait();
                    self.check()?;
                }
            }
            Step::List => self.list(),
        }
        self.check()
    }

    fn check(&self) -> Result<(), String> {
        let silence = PeerOptions::default().silence_timeout();
        for (number, truth) in self.truths.iter().enumerate() {
            if !self.table.accepts_work(&peer(number)) {
                continue;
            }
            if truth
                .beat
                .is_none_or(|beat| self.now.since(beat) >= silence)
            {
                return Err(format!("{number} is silent and takes work"));
            }
            let stopped = self.stopped.get(&number).copied().unwrap_or_default();
            if truth.run > 0 && stopped >= truth.run {
                return Err(format!("{number} has stopped and takes work"));
            }
        }
        Ok(())
    }

    /// With faults over, those that run take work and no others do.
    fn settle(&mut self) -> Result<(), String> {
        for truth in &mut self.truths {
            truth.cut = false;
        }
        for _ in 0..160 {
            self.wait();
            self.list();
            self.check()?;
        }
        for (number, truth) in self.truths.iter().enumerate() {
            let expected = truth.up && !truth.stopping;
            if self.table.accepts_work(&peer(number)) != expected {
                return Err(format!("{number} should take work: {expected}"));
            }
        }
        Ok(())
    }
}

fn holds<T>() -> Result<(), String>
where
    T: Table,
{
    check_histories(82, 800, steps(), |steps| {
        let mut world = World::<T>::new();
        for step in steps {
            world.step(step)?;
        }
        world.settle()
    })
}

#[test]
fn no_history_gives_work_to_the_silent_or_the_stopped() {
    assert_eq!(holds::<PeerTable>(), Ok(()));
}

#[test]
fn the_naive_table_gives_work_to_them() {
    let error = holds::<NaiveTable>().unwrap_err();
    assert!(error.contains("takes work"), "{error}");
}

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

#[test]
fn silence_is_found_at_the_third_missed_heartbeat() {
    let mut table = PeerTable::new(PeerOptions::default());
    let connect = table.handle(at(0), PeerEvent::Listed(vec![listed(1, false)]));
    assert!(matches!(connect[0], PeerAction::Connect { .. }));
    assert_eq!(table.state(&peer(1)), Some(PeerState::Unresponsive));
    table.handle(at(0), heard(1, 1, false));
    assert_eq!(table.tick(at(2_999)), []);
    let count = LivenessCount {
        listed: 1,
        alive: 1,
    };
    assert_eq!(table.liveness_count(InstanceKind::Backend), count);
    let instance = peer(1);
    let state = PeerState::Unresponsive;
    assert_eq!(
        table.tick(at(3_000)),
        [PeerAction::StateChanged { instance, state }]
    );
    assert_eq!(table.liveness_count(InstanceKind::Backend).alive, 0);
    table.handle(at(3_100), heard(1, 1, false));
    assert!(table.accepts_work(&peer(1)));
}

#[test]
fn a_leaving_peer_gets_no_work_at_once_whoever_says_so() {
    let leaving = [PeerEvent::Listed(vec![listed(1, true)]), heard(1, 1, true)];
    for event in leaving {
        let mut table = PeerTable::new(PeerOptions::default());
        table.handle(at(0), PeerEvent::Listed(vec![listed(1, false)]));
        table.handle(at(0), heard(1, 1, false));
        table.handle(at(100), event);
        assert_eq!(table.state(&peer(1)), Some(PeerState::Leaving));
        table.handle(at(200), heard(1, 1, false));
        table.handle(at(300), PeerEvent::Listed(vec![listed(1, false)]));
        table.handle(at(400), heard(1, 1, false));
        assert!(!table.accepts_work(&peer(1)), "a stale word brings it back");
    }
}

#[test]
fn a_gone_peer_comes_back_only_by_a_later_run() {
    let mut table = PeerTable::new(PeerOptions::default());
    table.handle(at(0), heard(1, 1, false));
    table.handle(at(100), heard(1, 1, true));
    table.handle(at(200), PeerEvent::Listed(Vec::new()));
    table.tick(at(3_100));
    assert_eq!(table.state(&peer(1)), Some(PeerState::Removed));
    table.handle(at(4_000), PeerEvent::Listed(vec![listed(1, false)]));
    assert_eq!(table.state(&peer(1)), Some(PeerState::Removed));
    table.handle(at(4_100), heard(1, 1, false));
    assert!(!table.accepts_work(&peer(1)));
    table.handle(at(4_200), heard(1, 2, false));
    assert!(table.accepts_work(&peer(1)));
}
