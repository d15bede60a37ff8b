//! Registrations that disappear while readers restart and while the store is away, with 6 and with 103
//! entries in virtual time: a backend server that has left gets no new work, and one that only lost its
//! heartbeats is kept.

use applefold_core::direct::{
    ExpiredServers, ReadPolicy, ReplicaAction, ReplicaDigest, StoreContinuity, StorePosition,
    StoreReplica,
};
use applefold_core::id::BackendId;
use applefold_core::rank::NameRank;
use applefold_core::unit::{TimePoint, TimeSpan};

const SIZES: [usize; 2] = [6, 103];
const HEARTBEAT: TimeSpan = TimeSpan::from_millis(1_200);
/// The step of the simulation and the round of gossip with few entries, in milliseconds.
const STEP_MS: u64 = 10;
const ROUND_MS: u64 = 50;
const CONTINUITY_ROUNDS: u64 = 4;
/// The time after which no request may reach a backend server that has left.
const DRAIN_MS: u64 = 2_000;
/// How long a registration that expired may take to come back after an outage.
const RETURN_MS: u64 = 2_000;
/// When the registration disappears.
const MISSING_MS: u64 = 10_000;
const END_MS: u64 = 20_000;

/// Times in milliseconds.
#[derive(Clone, Debug, Default)]
struct Story {
    /// When the first reader is killed, and when it starts again.
    reader_down: Option<(u64, u64)>,
    /// When the first reader's own calls fail.
    reader_calls_fail: Option<(u64, u64)>,
    /// When the store is away.
    store_down: Option<(u64, u64)>,
    /// When the registration is written again.
    back_at: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Belief {
    Listed,
    Expired,
    Removed,
}

struct Node {
    rank: NameRank,
    replica: StoreReplica,
    continuity: StoreContinuity,
    expired: ExpiredServers,
    belief: Belief,
    failed_until: u64,
}

struct Fleet {
    nodes: Vec<Node>,
    story: Story,
    policy: ReadPolicy,
    round_ms: u64,
    /// The last time at which each entry would have used the backend server.
    used_until: Vec<u64>,
    /// Whether any entry has taken it for gone before it was back.
    dropped: bool,
}

fn at_ms(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

fn server() -> BackendId {
    "engine-1".parse().expect("a valid name")
}

fn contains(span: Option<(u64, u64)>, ms: u64) -> bool {
    span.is_some_and(|(from, to)| (from..to).contains(&ms))
}

impl Node {
    fn new(number: usize) -> Self {
        Self {
            rank: NameRank::of("reader", &format!("entry-{number}")),
            replica: StoreReplica::default(),
            continuity: StoreContinuity::new(HEARTBEAT),
            expired: ExpiredServers::default(),
            belief: Belief::Listed,
            failed_until: 0,
        }
    }

    fn confirm(&mut self, position: u64, last_change: u64, at: TimePoint) {
        let (position, changed) = (StorePosition(position), StorePosition(last_change));
        self.replica.confirm(position, changed, at);
        self.observe();
    }

    fn observe(&mut self) {
        if let (Some(at), Some(position)) = (self.replica.confirmed_at(), self.replica.position()) {
            self.continuity.observe(at, position.era());
        }
    }

    /// Takes over what a read of the store or a peer says.
    fn hear(&mut self, heard: Belief, now: TimePoint) {
        match heard {
            Belief::Listed => {
                self.expired.remove(&server());
                self.belief = Belief::Listed;
            }
            Belief::Expired if self.belief == Belief::Listed => {
                self.belief = Belief::Expired;
                self.expired.insert(server(), &self.continuity, now);
            }
            Belief::Expired => {}
            Belief::Removed => {
                self.expired.remove(&server());
                self.belief = Belief::Removed;
            }
        }
    }

    fn expire(&mut self, now: TimePoint) {
        let confirmed_at = self.replica.confirmed_at().unwrap_or(TimePoint::START);
        let gone = self.expired.take_gone(&self.continuity, confirmed_at, now);
        if !gone.is_empty() {
            self.belief = Belief::Removed;
        }
    }
}

impl Fleet {
    fn new(size: usize, story: Story) -> Self {
        let round_ms = ROUND_MS * size.div_ceil(64) as u64;
        let mut nodes: Vec<Node> = (0..size).map(Node::new).collect();
        nodes.sort_by_key(|node| node.rank);
        Self {
            nodes,
            story,
            policy: ReadPolicy {
                interval: TimeSpan::from_millis(500),
                failover_margin: TimeSpan::from_millis(2 * round_ms + 100),
                rank_step: TimeSpan::from_millis(100),
                retry_delay: TimeSpan::from_millis(170),
            },
            round_ms,
            used_until: vec![0; size],
            dropped: false,
        }
    }

    fn is_down(&self, number: usize, ms: u64) -> bool {
        number == 0 && contains(self.story.reader_down, ms)
    }

    /// Returns whether the store lists the backend server.
    fn is_registered(&self, ms: u64) -> bool {
        ms < MISSING_MS || self.story.back_at.is_some_and(|back| ms >= back)
    }

    fn last_change(&self, ms: u64) -> u64 {
        match self.story.back_at.filter(|back| ms >= *back) {
            Some(back) => back,
            None if ms >= MISSING_MS => MISSING_MS,
            None => 1,
        }
    }

    fn read(&mut self, number: usize, ms: u64) {
        // A killed reader is missed for a second.
        let down_at = self.story.reader_down.map(|(from, _)| from + 1_000);
        let gone = usize::from(self.is_down(0, ms) && down_at.is_some_and(|at| ms >= at));
        let rank = number.saturating_sub(if number == 0 { 0 } else { gone });
        let due = self.nodes[number].replica.next_read_at(&self.policy, rank);
        if due > at_ms(ms) || self.nodes[number].failed_until > ms {
            return;
        }
        let own_failure = number == 0 && contains(self.story.reader_calls_fail, ms);
        if contains(self.story.store_down, ms) || own_failure {
            self.nodes[number].failed_until = ms + self.policy.retry_delay(rank).as_millis();
            return;
        }
        let (registered, last_change) = (self.is_registered(ms), self.last_change(ms));
        let node = &mut self.nodes[number];
        let now = at_ms(ms);
        let heard = match (registered, node.continuity.is_removal(now, now)) {
            (true, _) => Belief::Listed,
            (false, true) => Belief::Removed,
            (false, false) => Belief::Expired,
        };
        if node.belief != Belief::Removed || registered {
            node.hear(heard, now);
        }
        node.confirm(ms, last_change, now);
    }

    fn gossip(&mut self, from: usize, ms: u64) {
        let now = at_ms(ms);
        let Some(digest) = self.nodes[from].replica.digest(now) else {
            return;
        };
        let tells_span = (ms / self.round_ms).is_multiple_of(CONTINUITY_ROUNDS);
        let span = self.nodes[from].continuity.span(now).filter(|_| tells_span);
        let belief = self.nodes[from].belief;
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            if self.is_down(to, ms) {
                continue;
            }
            let node = &mut self.nodes[to];
            receive(node, &digest, belief, now);
            if let Some(span) = span {
                let era = node.continuity.era();
                node.continuity.merge(span, era, TimeSpan::ZERO, now);
            }
        }
    }

    fn play(mut self) -> Self {
        for ms in (0..END_MS).step_by(STEP_MS as usize) {
            for number in 0..self.nodes.len() {
                if self.is_down(number, ms) {
                    self.nodes[number] = Node::new(number);
                    continue;
                }
                self.read(number, ms);
                self.nodes[number].expire(at_ms(ms));
                if (ms + STEP_MS * number as u64).is_multiple_of(self.round_ms) {
                    self.gossip(number, ms);
                }
                match self.nodes[number].belief {
                    Belief::Removed => self.dropped |= self.story.back_at.is_some_and(|at| ms < at),
                    Belief::Listed | Belief::Expired => self.used_until[number] = ms,
                }
            }
        }
        self
    }
}

/// Receives a digest, and fetches from its sender what it shows to be missing.
fn receive(node: &mut Node, digest: &ReplicaDigest, belief: Belief, now: TimePoint) {
    if node.replica.receive(digest, TimeSpan::ZERO, now) == ReplicaAction::Fetch {
        node.hear(belief, now);
        let at = TimePoint(now.0.saturating_sub(digest.age.0));
        node.confirm(digest.position.0, digest.last_change.0, at);
    }
    node.observe();
}

/// DRAIN: all entries that were not restarted stop using a backend server within its drain time.
fn check_removal(story: &Story) {
    for size in SIZES {
        let fleet = Fleet::new(size, story.clone()).play();
        let latest = fleet.used_until.iter().max().copied().unwrap_or(0);
        let limit = MISSING_MS + DRAIN_MS;
        assert!(
            latest <= limit,
            "{size} entries, {story:?}: used until {latest} ms, {limit} allowed"
        );
    }
}

/// LOST: no entry takes a backend server for gone that is back within the return time.
fn check_return(story: &Story) {
    for size in SIZES {
        let fleet = Fleet::new(size, story.clone()).play();
        assert!(!fleet.dropped, "{size} entries, {story:?}: taken for gone");
        let listed = fleet.nodes.iter().all(|node| node.belief == Belief::Listed);
        assert!(listed, "{size} entries, {story:?}: not listed again");
    }
}

/// DRAIN: an entry that has just started cannot know of an outage, and has the others keep an engine.
#[test]
fn a_removal_that_a_restarted_reader_finds_counts_at_once() {
    for up_before in [100, 500, 1_000, 1_900] {
        check_removal(&Story {
            reader_down: Some((MISSING_MS - up_before - 700, MISSING_MS - up_before)),
            ..Story::default()
        });
    }
}

/// DRAIN: one failed call of the reader is taken for an outage of the store.
#[test]
fn a_removal_that_a_reader_finds_after_failed_calls_counts_at_once() {
    check_removal(&Story {
        reader_calls_fail: Some((MISSING_MS - 900, MISSING_MS - 400)),
        ..Story::default()
    });
    check_removal(&Story {
        reader_calls_fail: Some((MISSING_MS - 5_000, MISSING_MS + 100)),
        ..Story::default()
    });
}

#[test]
fn a_removal_in_calm_counts_at_once() {
    check_removal(&Story::default());
}

/// LOST: registrations that expired in an outage of the store come back two seconds after it.
#[test]
fn a_registration_that_expired_in_an_outage_is_kept_until_it_is_back() {
    for length in [2_400, 4_000, 7_000] {
        let up_at = MISSING_MS + 300;
        check_return(&Story {
            store_down: Some((up_at - length, up_at)),
            back_at: Some(up_at + RETURN_MS - 100),
            ..Story::default()
        });
    }
}

/// LOST: a reader that starts during an outage, or right after it, knows nothing of it.
#[test]
fn a_reader_that_restarts_in_an_outage_drops_nothing() {
    let up_at = MISSING_MS + 300;
    for started_at in [up_at - 500, up_at + 200, up_at + 1_000] {
        check_return(&Story {
            reader_down: Some((started_at - 700, started_at)),
            store_down: Some((up_at - 4_000, up_at)),
            back_at: Some(up_at + RETURN_MS - 100),
            ..Story::default()
        });
    }
}

/// DRAIN: what does not come back after an outage is gone.
#[test]
fn a_registration_that_is_missing_after_an_outage_is_removed() {
    let up_at = MISSING_MS + 300;
    for size in SIZES {
        let story = Story {
            store_down: Some((up_at - 4_000, up_at)),
            ..Story::default()
        };
        let fleet = Fleet::new(size, story).play();
        let latest = fleet.used_until.iter().max().copied().unwrap_or(0);
        // The deadline, a read of the list and a takeover by another reader.
        let limit = up_at + RETURN_MS + 1_500;
        assert!(latest <= limit, "{size} entries: used until {latest} ms");
    }
}
