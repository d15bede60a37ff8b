//! Membership under late, lost and reordered heartbeats and a lagging list.

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
/// The maximum delay of a heartbeat; removed peers are remembered for longer.
const MAX_HEARTBEAT_DELAY: TimeSpan = TimeSpan::from_secs(40);
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

fn heartbeat(number: usize, incarnation: u64, stopping: bool) -> PeerEvent {
    PeerEvent::Heartbeat {
        instance: peer(number),
        incarnation: IncarnationNumber(incarnation),
        stopping,
    }
}

trait MemberTable {
    fn new() -> Self;
    fn handle(&mut self, now: TimePoint, event: PeerEvent);
    fn tick(&mut self, now: TimePoint);
    fn accepts_work(&self, instance: &InstanceId) -> bool;
}

impl MemberTable for PeerTable {
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

/// Follows the latest list or heartbeat without regard to its age.
struct NaiveTable {
    live: BTreeSet<InstanceId>,
}

impl MemberTable for NaiveTable {
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
    /// The peer announces its shutdown and keeps sending heartbeats.
    Stop(usize),
    /// The peer ends, with or without an announcement.
    Kill(usize),
    /// The heartbeats of the peer are lost from now on, or arrive again.
    Cut(usize),
    /// A heartbeat sent earlier arrives now.
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
struct ActualState {
    up: bool,
    stopping: bool,
    cut: bool,
    incarnation: u64,
    /// When the latest heartbeat arrived.
    last_heartbeat: Option<TimePoint>,
}

#[derive(Clone, Copy)]
struct SentHeartbeat {
    number: usize,
    incarnation: u64,
    stopping: bool,
    sent_at: TimePoint,
}

struct Simulation<T> {
    table: T,
    now: TimePoint,
    peers: [ActualState; PEERS],
    /// The content of the list at each step.
    lists: Vec<Vec<ListedInstance>>,
    sent: Vec<SentHeartbeat>,
    /// The latest incarnation of each peer whose shutdown announcement arrived.
    stopped: BTreeMap<usize, u64>,
}

impl<T> Simulation<T>
where
    T: MemberTable,
{
    fn new() -> Self {
        Self {
            table: T::new(),
            now: TimePoint::START + TimeSpan::from_secs(100),
            peers: [ActualState::default(); PEERS],
            lists: vec![Vec::new()],
            sent: Vec::new(),
            stopped: BTreeMap::new(),
        }
    }

    fn deliver(&mut self, number: usize, incarnation: u64, stopping: bool) {
        if stopping {
            let stopped = self.stopped.entry(number).or_default();
            *stopped = incarnation.max(*stopped);
        }
        self.peers[number].last_heartbeat = Some(self.now);
        self.table
            .handle(self.now, heartbeat(number, incarnation, stopping));
    }

    fn list(&mut self) {
        let at = self.lists.len().saturating_sub(LAG_STEPS);
        let list = self.lists[at].clone();
        self.table.handle(self.now, PeerEvent::Listed(list));
    }

    fn wait(&mut self) {
        self.now = self.now + STEP;
        let ups = (0..PEERS).filter(|number| self.peers[*number].up);
        let list = ups.map(|number| listed(number, self.peers[number].stopping));
        self.lists.push(list.collect());
        for number in 0..PEERS {
            let peer_state = self.peers[number];
            if peer_state.up && self.lists.len().is_multiple_of(2) {
                self.sent.push(SentHeartbeat {
                    number,
                    incarnation: peer_state.incarnation,
                    stopping: peer_state.stopping,
                    sent_at: self.now,
                });
                if !peer_state.cut {
                    self.deliver(number, peer_state.incarnation, peer_state.stopping);
                }
            }
        }
        self.table.tick(self.now);
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Start(number) if !self.peers[number].up => {
                let ActualState {
                    incarnation,
                    last_heartbeat,
                    ..
                } = self.peers[number];
                let incarnation = incarnation + 1;
                self.peers[number] = ActualState {
                    up: true,
                    incarnation,
                    last_heartbeat,
                    ..ActualState::default()
                };
            }
            Step::Start(_) => {}
            Step::Stop(number) => self.peers[number].stopping = self.peers[number].up,
            Step::Kill(number) => self.peers[number].up = false,
            Step::Cut(number) => self.peers[number].cut ^= true,
            Step::Late(at) if !self.sent.is_empty() => {
                let heartbeat = self.sent[at % self.sent.len()];
                if self.now.since(heartbeat.sent_at) < MAX_HEARTBEAT_DELAY {
                    self.deliver(heartbeat.number, heartbeat.incarnation, heartbeat.stopping);
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
        let timeout = PeerOptions::default().silence_timeout();
        for (number, peer_state) in self.peers.iter().enumerate() {
            if !self.table.accepts_work(&peer(number)) {
                continue;
            }
            if peer_state
                .last_heartbeat
                .is_none_or(|arrived_at| self.now.since(arrived_at) >= timeout)
            {
                return Err(format!("peer {number} is unresponsive but accepts work"));
            }
            let stopped = self.stopped.get(&number).copied().unwrap_or_default();
            if peer_state.incarnation > 0 && stopped >= peer_state.incarnation {
                return Err(format!(
                    "peer {number} has announced its shutdown but accepts work"
                ));
            }
        }
        Ok(())
    }

    /// Checks that once all faults are over, exactly the running peers accept work.
    fn settle(&mut self) -> Result<(), String> {
        for peer_state in &mut self.peers {
            peer_state.cut = false;
        }
        for _ in 0..160 {
            self.wait();
            self.list();
            self.check()?;
        }
        for (number, peer_state) in self.peers.iter().enumerate() {
            let expected = peer_state.up && !peer_state.stopping;
            if self.table.accepts_work(&peer(number)) != expected {
                return Err(format!("peer {number} should accept work: {expected}"));
            }
        }
        Ok(())
    }
}

fn check_table<T>() -> Result<(), String>
where
    T: MemberTable,
{
    check_histories(82, 800, steps(), |steps| {
        let mut simulation = Simulation::<T>::new();
        for step in steps {
            simulation.step(step)?;
        }
        simulation.settle()
    })
}

#[test]
fn unresponsive_and_stopping_peers_get_no_work_in_any_history() {
    assert_eq!(check_table::<PeerTable>(), Ok(()));
}

#[test]
fn the_naive_table_fails_the_same_check() {
    let error = check_table::<NaiveTable>().unwrap_err();
    assert!(error.contains("accepts work"), "{error}");
}

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

#[test]
fn a_peer_is_unresponsive_after_three_missed_heartbeats() {
    let mut table = PeerTable::new(PeerOptions::default());
    let connect = table.handle(at(0), PeerEvent::Listed(vec![listed(1, false)]));
    assert!(matches!(connect[0], PeerAction::Connect { .. }));
    assert_eq!(table.state(&peer(1)), Some(PeerState::Unresponsive));
    table.handle(at(0), heartbeat(1, 1, false));
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
    table.handle(at(3_100), heartbeat(1, 1, false));
    assert!(table.accepts_work(&peer(1)));
}

#[test]
fn a_leaving_peer_gets_no_work_whether_the_list_or_a_heartbeat_shows_it() {
    let leaving = [
        PeerEvent::Listed(vec![listed(1, true)]),
        heartbeat(1, 1, true),
    ];
    for event in leaving {
        let mut table = PeerTable::new(PeerOptions::default());
        table.handle(at(0), PeerEvent::Listed(vec![listed(1, false)]));
        table.handle(at(0), heartbeat(1, 1, false));
        table.handle(at(100), event);
        assert_eq!(table.state(&peer(1)), Some(PeerState::Leaving));
        table.handle(at(200), heartbeat(1, 1, false));
        table.handle(at(300), PeerEvent::Listed(vec![listed(1, false)]));
        table.handle(at(400), heartbeat(1, 1, false));
        assert!(
            !table.accepts_work(&peer(1)),
            "stale information brings it back"
        );
    }
}

#[test]
fn a_removed_peer_returns_only_with_a_later_incarnation() {
    let mut table = PeerTable::new(PeerOptions::default());
    table.handle(at(0), heartbeat(1, 1, false));
    table.handle(at(100), heartbeat(1, 1, true));
    table.handle(at(200), PeerEvent::Listed(Vec::new()));
    table.tick(at(3_100));
    assert_eq!(table.state(&peer(1)), Some(PeerState::Removed));
    table.handle(at(4_000), PeerEvent::Listed(vec![listed(1, false)]));
    assert_eq!(table.state(&peer(1)), Some(PeerState::Removed));
    table.handle(at(4_100), heartbeat(1, 1, false));
    assert!(!table.accepts_work(&peer(1)));
    table.handle(at(4_200), heartbeat(1, 2, false));
    assert!(table.accepts_work(&peer(1)));
}
