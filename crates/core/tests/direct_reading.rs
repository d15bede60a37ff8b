//! Simulation of many entries whose replicas a few readers keep fresh, with faults, in virtual time.
//! All times are in microseconds.

use applefold_core::direct::{
    ReadPolicy, ReplicaAction, ReplicaDigest, StorePosition, StoreReplica,
};
use applefold_core::rank::NameRank;
use applefold_core::unit::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const NODES: usize = 100;
/// The time between two simulation steps.
const STEP: u64 = 10_000;
/// The length of a simulation.
const LENGTH: u64 = 16_000_000;
/// The gossip interval.
const ROUND: u64 = 200_000;
/// The time that a read of the store or a fetch from a peer takes.
const CALL: u64 = 20_000;
/// The most datagrams that are buffered for a process; later ones are lost.
const INBOX: usize = 150;
/// The time after its last digest for which an entry counts as a live reader.
const LIVENESS_TIMEOUT: u64 = 1_000_000;
const POLICY: ReadPolicy = ReadPolicy {
    interval: TimeSpan::from_millis(500),
    failover_margin: TimeSpan::from_millis(500),
    rank_step: TimeSpan::from_millis(100),
    retry_delay: TimeSpan::from_millis(170),
};
/// The greatest age of a replica of an entry that can reach the store: its own wait, the delay after
/// a failed call, and a call.
const OLDEST: u64 = 500_000 + 500_000 + 600_000 + 1_190_000 + CALL + 2 * STEP;

/// The fault that a simulation injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The first reader is killed, then the next one, and so on.
    ReadersKilled,
    /// The first readers cannot reach the store, but still gossip.
    ReadersWithoutStore,
    /// A third of the entries cannot reach the store.
    ManyWithoutStore,
    /// The first readers are paused and resume, repeatedly.
    ReadersPaused,
    /// The first reader receives gossip but cannot send it; the second can only send it.
    OneWayPartition,
    /// The first readers are paused while a third of the entries cannot reach the store.
    PausedWithoutStore,
}

#[derive(Clone, Debug, Default)]
struct Node {
    rank: u64,
    replica: StoreReplica,
    /// The last change in the replica.
    value: u64,
    /// When the last digest of each entry arrived.
    received_at: Vec<Option<u64>>,
    /// The smallest observed lag of each entry's digests.
    min_lag: Vec<Option<i64>>,
    failed_until: u64,
    /// Datagrams that are buffered while it is paused: sender, digest and send time.
    inbox: Vec<(usize, ReplicaDigest, u64)>,
    killed: bool,
    paused: bool,
    without_store: bool,
    cannot_receive: bool,
    cannot_send: bool,
}

struct Simulation {
    nodes: Vec<Node>,
    /// The changes of the store's value: time and new value.
    changes: Vec<(u64, u64)>,
    position: u64,
    calls: u64,
    /// The number of times that a replica claimed to be fresher than it was.
    false_claims: u64,
    oldest: u64,
    corrects_delay: bool,
}

impl Simulation {
    fn new(corrects_delay: bool) -> Self {
        let nodes = (0..NODES).map(|number| Node {
            rank: NameRank::of("reader", &format!("entry-{number}")).value(),
            received_at: vec![None; NODES],
            min_lag: vec![None; NODES],
            ..Node::default()
        });
        Self {
            nodes: nodes.collect(),
            changes: vec![(0, 1)],
            position: 1,
            calls: 0,
            false_claims: 0,
            oldest: 0,
            corrects_delay,
        }
    }

    fn value_at(&self, at: u64) -> u64 {
        let before = self.changes.iter().rev().find(|(time, _)| *time <= at);
        before.map_or(0, |(_, value)| *value)
    }

    /// Returns the rank of an entry in the read order of the live entries.
    fn rank(&self, number: usize, now: u64) -> usize {
        let node = &self.nodes[number];
        let live = node
            .received_at
            .iter()
            .enumerate()
            .filter(|(_, received_at)| {
                received_at.is_some_and(|received_at| now - received_at <= LIVENESS_TIMEOUT)
            });
        let before = live.filter(|(other, _)| self.nodes[*other].rank < node.rank);
        before.count()
    }

    /// Reads the store if that is due.
    fn read(&mut self, number: usize, now: u64) {
        let rank = self.rank(number, now);
        let due = self.nodes[number].replica.next_read_at(&POLICY, rank).0;
        let node = &self.nodes[number];
        if due > now || node.failed_until > now {
            return;
        }
        self.calls += 1;
        if node.without_store {
            self.nodes[number].failed_until = now + POLICY.retry_delay(rank).0;
            return;
        }
        let (value, position) = (self.value_at(now), self.position);
        let node = &mut self.nodes[number];
        node.value = value;
        let (position, changed) = (StorePosition(position), StorePosition(value));
        node.replica.confirm(position, changed, TimePoint(now));
        node.failed_until = now + CALL;
    }

    fn receive(
        &mut self,
        number: usize,
        from: usize,
        digest: &ReplicaDigest,
        sent_at: u64,
        now: u64,
    ) {
        let node = &mut self.nodes[number];
        let lag = now as i64 - sent_at as i64;
        let min_lag = node.min_lag[from].map_or(lag, |min_lag| min_lag.min(lag));
        node.min_lag[from] = Some(min_lag);
        node.received_at[from] = Some(now);
        let delay = match self.corrects_delay {
            true => TimeSpan((lag - min_lag) as u64),
            false => TimeSpan::ZERO,
        };
        if node.replica.receive(digest, delay, TimePoint(now)) == ReplicaAction::Keep {
            return;
        }
        // The changes are fetched from the sender, up to its position by then.
        let sender = &self.nodes[from];
        if sender.killed || sender.paused || sender.cannot_send {
            return;
        }
        let Some(fetched) = sender.replica.digest(TimePoint(now)) else {
            return;
        };
        let value = sender.value;
        let at = TimePoint(now.saturating_sub(fetched.age.0 + CALL));
        let node = &mut self.nodes[number];
        node.value = node.value.max(value);
        node.replica
            .confirm(fetched.position, fetched.last_change, at);
    }

    /// Sends the digest of an entry to all others; one in 50 is lost.
    fn gossip(&mut self, number: usize, now: u64, rng: &mut Pcg64Mcg) {
        let Some(digest) = self.nodes[number].replica.digest(TimePoint(now)) else {
            return;
        };
        for other in (0..NODES).filter(|other| *other != number) {
            let node = &self.nodes[other];
            if node.killed || node.cannot_receive || rng.gen_ratio(1, 50) {
                continue;
            }
            match node.paused {
                true if node.inbox.len() >= INBOX => {}
                true => self.nodes[other].inbox.push((number, digest, now)),
                false => self.receive(other, number, &digest, now, now),
            }
        }
    }

    /// Injects the fault, from the fifth second on.
    fn inject(&mut self, fault: Fault, now: u64) {
        let mut order: Vec<usize> = (0..NODES).collect();
        order.sort_by_key(|number| self.nodes[*number].rank);
        let second = (now / 1_000_000) as usize;
        let begins = now.is_multiple_of(1_000_000) && second >= 5;
        if !begins {
            return;
        }
        let pauses = |fault| matches!(fault, Fault::ReadersPaused | Fault::PausedWithoutStore);
        match fault {
            Fault::None => {}
            Fault::ReadersKilled => self.nodes[order[second - 5]].killed = true,
            Fault::ReadersWithoutStore => {
                for number in &order[..5] {
                    self.nodes[*number].without_store = true;
                }
            }
            Fault::ManyWithoutStore | Fault::PausedWithoutStore => {
                for number in order.iter().step_by(3) {
                    self.nodes[*number].without_store = true;
                }
            }
            Fault::OneWayPartition => {
                self.nodes[order[0]].cannot_send = true;
                self.nodes[order[1]].cannot_receive = true;
            }
            Fault::ReadersPaused => {}
        }
        if pauses(fault) {
            // Three seconds paused, three running.
            let paused = second % 6 < 3;
            for number in &order[..4] {
                self.nodes[*number].paused = paused;
            }
        }
    }

    fn run(mut self, fault: Fault, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let starts: Vec<u64> = (0..NODES).map(|_| rng.gen_range(0..30) * STEP).collect();
        for now in (0..LENGTH).step_by(STEP as usize) {
            self.inject(fault, now);
            // Heartbeats advance the store's position; one step in 40 changes the value.
            self.position += 1;
            if rng.gen_ratio(1, 40) {
                self.changes.push((now, self.position));
            }
            for (number, start) in starts.iter().enumerate() {
                let node = &self.nodes[number];
                if node.killed || node.paused || now < *start {
                    continue;
                }
                let inbox = std::mem::take(&mut self.nodes[number].inbox);
                for (from, digest, sent_at) in inbox {
                    self.receive(number, from, &digest, sent_at, now);
                }
                self.read(number, now);
                if (now + start).is_multiple_of(ROUND) && !self.nodes[number].cannot_send {
                    self.gossip(number, now, &mut rng);
                }
                self.check(number, now);
            }
        }
        self
    }

    fn check(&mut self, number: usize, now: u64) {
        let node = &self.nodes[number];
        let Some(confirmed) = node.replica.confirmed_at() else {
            return;
        };
        if node.value < self.value_at(confirmed.0) {
            self.false_claims += 1;
        }
        // Entries that cannot reach the store or cannot receive gossip may have older replicas.
        if now > 3_000_000 && !node.without_store && !node.cannot_receive {
            self.oldest = self.oldest.max(now - confirmed.0);
        }
    }
}

const FAULTS: [Fault; 7] = [
    Fault::None,
    Fault::ReadersKilled,
    Fault::ReadersWithoutStore,
    Fault::ManyWithoutStore,
    Fault::ReadersPaused,
    Fault::OneWayPartition,
    Fault::PausedWithoutStore,
];

/// The calls that result if every entry reads for itself, once in each interval.
const NAIVE_CALLS: u64 = NODES as u64 * LENGTH / POLICY.interval.0;

#[test]
fn no_replica_claims_to_be_fresher_than_it_is_under_any_fault() {
    for fault in FAULTS {
        for seed in 0..2 {
            let simulation = Simulation::new(true).run(fault, seed);
            assert_eq!(simulation.false_claims, 0, "{fault:?} {seed}");
            // After a pause of three seconds, an entry has an old replica until its next read.
            let paused = matches!(fault, Fault::ReadersPaused | Fault::PausedWithoutStore);
            let oldest = OLDEST + if paused { 3_000_000 } else { 0 };
            assert!(
                simulation.oldest <= oldest,
                "{fault:?} {seed}: {}",
                simulation.oldest
            );
        }
    }
}

#[test]
fn digests_buffered_by_a_paused_entry_make_false_claims_without_their_delay() {
    let false_claims = |corrects_delay| {
        let run = |seed| Simulation::new(corrects_delay).run(Fault::ReadersPaused, seed);
        (0..3).map(|seed| run(seed).false_claims).sum::<u64>()
    };
    assert!(false_claims(false) > 0);
    assert_eq!(false_claims(true), 0);
}

#[test]
fn few_entries_read_for_all() {
    let baseline = Simulation::new(true).run(Fault::None, 1);
    // The first reader reads once in each interval; every entry reads at its start.
    let first = LENGTH / POLICY.interval.0;
    assert!(
        baseline.calls <= 2 * first + 2 * NODES as u64,
        "{}",
        baseline.calls
    );
    for fault in FAULTS {
        let simulation = Simulation::new(true).run(fault, 2);
        assert!(
            5 * simulation.calls < 2 * NAIVE_CALLS,
            "{fault:?}: {}",
            simulation.calls
        );
    }
}

#[test]
fn an_older_digest_never_replaces_newer_state() {
    let mut replica = StoreReplica::default();
    replica.confirm(StorePosition(10), StorePosition(8), TimePoint(1_000));
    let older = ReplicaDigest {
        position: StorePosition(9),
        last_change: StorePosition(7),
        age: TimeSpan::ZERO,
    };
    assert_eq!(
        replica.receive(&older, TimeSpan::ZERO, TimePoint(5_000)),
        ReplicaAction::Keep
    );
    assert_eq!(replica.position(), Some(StorePosition(10)));
    assert_eq!(replica.confirmed_at(), Some(TimePoint(1_000)));
    let newer = ReplicaDigest {
        position: StorePosition(12),
        last_change: StorePosition(11),
        age: TimeSpan(100),
    };
    assert_eq!(
        replica.receive(&newer, TimeSpan::ZERO, TimePoint(6_000)),
        ReplicaAction::Fetch
    );
    assert_eq!(replica.confirmed_at(), Some(TimePoint(1_000)));
    let same = ReplicaDigest {
        position: StorePosition(12),
        last_change: StorePosition(9),
        age: TimeSpan(100),
    };
    assert_eq!(
        replica.receive(&same, TimeSpan(50), TimePoint(6_000)),
        ReplicaAction::Keep
    );
    assert_eq!(replica.confirmed_at(), Some(TimePoint(5_850)));
}
