//! Many entries whose copies a few of them keep fresh, over seeded histories in virtual time.

use applefold_core::direct::{
    ReadPolicy, ReplicaAction, ReplicaDigest, StorePosition, StoreReplica,
};
use applefold_core::rank::NameRank;
use applefold_core::unit::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const NODES: usize = 100;
const STEP: u64 = 10_000;
const LENGTH: u64 = 16_000_000;
const ROUND: u64 = 200_000;
/// How long a look and a fetch take.
const CALL: u64 = 20_000;
/// Datagrams that wait for a process at most; what comes later is lost.
const INBOX: usize = 150;
/// How long an entry is counted among the readers after its last news.
const SPEAKING: u64 = 1_000_000;
const POLICY: ReadPolicy = ReadPolicy {
    interval: TimeSpan::from_millis(500),
    failover_margin: TimeSpan::from_millis(500),
    rank_step: TimeSpan::from_millis(100),
    retry_delay: TimeSpan::from_millis(170),
};
/// The oldest copy of an entry that reaches the store: its own patience, a failed call's pause
/// and a call.
const OLDEST: u64 = 500_000 + 500_000 + 600_000 + 1_190_000 + CALL + 2 * STEP;

/// What goes wrong in a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Calm,
    /// The first reader is killed, and the next one, and so on.
    ReadersKilled,
    /// The first readers cannot reach the store, but speak.
    ReadersWithoutStore,
    /// A third of the entries cannot reach the store.
    ManyWithoutStore,
    /// The first readers are frozen and wake again.
    ReadersFrozen,
    /// The first reader hears others and is not heard, and the second the other way round.
    CutOneWay,
    /// Frozen readers while a third cannot reach the store.
    FrozenWithoutStore,
}

#[derive(Clone, Debug, Default)]
struct Node {
    rank: u64,
    copy: StoreReplica,
    /// The last change that the copy holds.
    value: u64,
    heard: Vec<Option<u64>>,
    least_lag: Vec<Option<i64>>,
    failed_until: u64,
    /// Datagrams that wait while it is frozen, with when they were told.
    inbox: Vec<(usize, ReplicaDigest, u64)>,
    dead: bool,
    frozen: bool,
    storeless: bool,
    deaf: bool,
    mute: bool,
}

struct History {
    nodes: Vec<Node>,
    /// When the store's value changed, and to what.
    changes: Vec<(u64, u64)>,
    position: u64,
    calls: u64,
    /// Copies that claimed to be fresher than they were.
    lies: u64,
    oldest: u64,
    corrects_delay: bool,
}

impl History {
    fn new(corrects_delay: bool) -> Self {
        let nodes = (0..NODES).map(|number| Node {
            rank: NameRank::of("reader", &format!("entry-{number}")).value(),
            heard: vec![None; NODES],
            least_lag: vec![None; NODES],
            ..Node::default()
        });
        Self {
            nodes: nodes.collect(),
            changes: vec![(0, 1)],
            position: 1,
            calls: 0,
            lies: 0,
            oldest: 0,
            corrects_delay,
        }
    }

    fn value_at(&self, at: u64) -> u64 {
        let before = self.changes.iter().rev().find(|(time, _)| *time <= at);
        before.map_or(0, |(_, value)| *value)
    }

    fn place(&self, number: usize, now: u64) -> usize {
        let node = &self.nodes[number];
        let speaking = node
            .heard
            .iter()
            .enumerate()
            .filter(|(_, heard)| heard.is_some_and(|heard| now - heard <= SPEAKING));
        let before = speaking.filter(|(other, _)| self.nodes[*other].rank < node.rank);
        before.count()
    }

    fn look(&mut self, number: usize, now: u64) {
        let place = self.place(number, now);
        let due = self.nodes[number].copy.next_read_at(&POLICY, place).0;
        let node = &self.nodes[number];
        if due > now || node.failed_until > now {
            return;
        }
        self.calls += 1;
        if node.storeless {
            self.nodes[number].failed_until = now + POLICY.retry_delay(place).0;
            return;
        }
        let (value, position) = (self.value_at(now), self.position);
        let node = &mut self.nodes[number];
        node.value = value;
        let (position, changed) = (StorePosition(position), StorePosition(value));
        node.copy.confirm(position, changed, TimePoint(now));
        node.failed_until = now + CALL;
    }

    fn receive(&mut self, number: usize, from: usize, news: &ReplicaDigest, told: u64, now: u64) {
        let node = &mut self.nodes[number];
        let lag = now as i64 - told as i64;
        let least = node.least_lag[from].map_or(lag, |least| least.min(lag));
        node.least_lag[from] = Some(least);
        node.heard[from] = Some(now);
        let delay = match self.corrects_delay {
            true => TimeSpan((lag - least) as u64),
            false => TimeSpan::ZERO,
        };
        if node.copy.receive(news, delay, TimePoint(now)) == ReplicaAction::Keep {
            return;
        }
        // The changes are fetched from the teller, as far as it goes by then.
        let teller = &self.nodes[from];
        if teller.dead || teller.frozen || teller.mute {
            return;
        }
        let Some(told) = teller.copy.digest(TimePoint(now)) else {
            return;
        };
        let value = teller.value;
        let at = TimePoint(now.saturating_sub(told.age.0 + CALL));
        let node = &mut self.nodes[number];
        node.value = node.value.max(value);
        node.copy.confirm(told.position, told.last_change, at);
    }

    fn tell(&mut self, number: usize, now: u64, rng: &mut Pcg64Mcg) {
        let Some(news) = self.nodes[number].copy.digest(TimePoint(now)) else {
            return;
        };
        for other in (0..NODES).filter(|other| *other != number) {
            let node = &self.nodes[other];
            if node.dead || node.deaf || rng.gen_ratio(1, 50) {
                continue;
            }
            match node.frozen {
                true if node.inbox.len() >= INBOX => {}
                true => self.nodes[other].inbox.push((number, news, now)),
                false => self.receive(other, number, &news, now, now),
            }
        }
    }

    fn trouble(&mut self, trouble: Trouble, now: u64) {
        let mut order: Vec<usize> = (0..NODES).collect();
        order.sort_by_key(|number| self.nodes[*number].rank);
        let second = (now / 1_000_000) as usize;
        let begins = now.is_multiple_of(1_000_000) && second >= 5;
        if !begins {
            return;
        }
        let freezes = |trouble| {
            matches!(
                trouble,
                Trouble::ReadersFrozen | Trouble::FrozenWithoutStore
            )
        };
        match trouble {
            Trouble::Calm => {}
            Trouble::ReadersKilled => self.nodes[order[second - 5]].dead = true,
            Trouble::ReadersWithoutStore => {
                for number in &order[..5] {
                    self.nodes[*number].storeless = true;
                }
            }
            Trouble::ManyWithoutStore | Trouble::FrozenWithoutStore => {
                for number in order.iter().step_by(3) {
                    self.nodes[*number].storeless = true;
                }
            }
            Trouble::CutOneWay => {
                self.nodes[order[0]].mute = true;
                self.nodes[order[1]].deaf = true;
            }
            Trouble::ReadersFrozen => {}
        }
        if freezes(trouble) {
            // Three seconds frozen, three awake.
            let frozen = second % 6 < 3;
            for number in &order[..4] {
                self.nodes[*number].frozen = frozen;
            }
        }
    }

    fn run(mut self, trouble: Trouble, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let starts: Vec<u64> = (0..NODES).map(|_| rng.gen_range(0..30) * STEP).collect();
        for now in (0..LENGTH).step_by(STEP as usize) {
            self.trouble(trouble, now);
            // Heartbeats move the store on; now and then something changes.
            self.position += 1;
            if rng.gen_ratio(1, 40) {
                self.changes.push((now, self.position));
            }
            for (number, start) in starts.iter().enumerate() {
                let node = &self.nodes[number];
                if node.dead || node.frozen || now < *start {
                    continue;
                }
                let inbox = std::mem::take(&mut self.nodes[number].inbox);
                for (from, news, told) in inbox {
                    self.receive(number, from, &news, told, now);
                }
                self.look(number, now);
                if (now + start).is_multiple_of(ROUND) && !self.nodes[number].mute {
                    self.tell(number, now, &mut rng);
                }
                self.check(number, now);
            }
        }
        self
    }

    fn check(&mut self, number: usize, now: u64) {
        let node = &self.nodes[number];
        let Some(confirmed) = node.copy.confirmed_at() else {
            return;
        };
        if node.value < self.value_at(confirmed.0) {
            self.lies += 1;
        }
        // An entry without the store that nobody tells has no way to a fresher copy.
        if now > 3_000_000 && !node.storeless && !node.deaf {
            self.oldest = self.oldest.max(now - confirmed.0);
        }
    }
}

const TROUBLES: [Trouble; 7] = [
    Trouble::Calm,
    Trouble::ReadersKilled,
    Trouble::ReadersWithoutStore,
    Trouble::ManyWithoutStore,
    Trouble::ReadersFrozen,
    Trouble::CutOneWay,
    Trouble::FrozenWithoutStore,
];

/// Where every entry asks for itself, each of them does so once in a pause.
const NAIVE_CALLS: u64 = NODES as u64 * LENGTH / POLICY.interval.0;

#[test]
fn no_copy_claims_to_be_fresher_than_it_is_whatever_fails() {
    for trouble in TROUBLES {
        for seed in 0..2 {
            let history = History::new(true).run(trouble, seed);
            assert_eq!(history.lies, 0, "{trouble:?} {seed}");
            // Waking from three seconds of a freeze, an entry has an old copy until it looks.
            let frozen = matches!(
                trouble,
                Trouble::ReadersFrozen | Trouble::FrozenWithoutStore
            );
            let oldest = OLDEST + if frozen { 3_000_000 } else { 0 };
            assert!(
                history.oldest <= oldest,
                "{trouble:?} {seed}: {}",
                history.oldest
            );
        }
    }
}

#[test]
fn news_that_waited_in_a_frozen_entry_would_lie_without_their_delay() {
    let lies = |corrects_delay| {
        let run = |seed| History::new(corrects_delay).run(Trouble::ReadersFrozen, seed);
        (0..3).map(|seed| run(seed).lies).sum::<u64>()
    };
    assert!(lies(false) > 0);
    assert_eq!(lies(true), 0);
}

#[test]
fn few_entries_ask_for_all() {
    let calm = History::new(true).run(Trouble::Calm, 1);
    // The first reader asks once in a pause; all of them do at their start.
    let first = LENGTH / POLICY.interval.0;
    assert!(calm.calls <= 2 * first + 2 * NODES as u64, "{}", calm.calls);
    for trouble in TROUBLES {
        let history = History::new(true).run(trouble, 2);
        assert!(
            5 * history.calls < 2 * NAIVE_CALLS,
            "{trouble:?}: {}",
            history.calls
        );
    }
}

#[test]
fn an_older_word_never_goes_over_a_newer_one() {
    let mut copy = StoreReplica::default();
    copy.confirm(StorePosition(10), StorePosition(8), TimePoint(1_000));
    let older = ReplicaDigest {
        position: StorePosition(9),
        last_change: StorePosition(7),
        age: TimeSpan::ZERO,
    };
    assert_eq!(
        copy.receive(&older, TimeSpan::ZERO, TimePoint(5_000)),
        ReplicaAction::Keep
    );
    assert_eq!(copy.position(), Some(StorePosition(10)));
    assert_eq!(copy.confirmed_at(), Some(TimePoint(1_000)));
    let newer = ReplicaDigest {
        position: StorePosition(12),
        last_change: StorePosition(11),
        age: TimeSpan(100),
    };
    assert_eq!(
        copy.receive(&newer, TimeSpan::ZERO, TimePoint(6_000)),
        ReplicaAction::Fetch
    );
    assert_eq!(copy.confirmed_at(), Some(TimePoint(1_000)));
    let same = ReplicaDigest {
        position: StorePosition(12),
        last_change: StorePosition(9),
        age: TimeSpan(100),
    };
    assert_eq!(
        copy.receive(&same, TimeSpan(50), TimePoint(6_000)),
        ReplicaAction::Keep
    );
    assert_eq!(copy.confirmed_at(), Some(TimePoint(5_850)));
}
