//! Freshness of this entry's replicas of the backend list and of the configuration, and the
//! schedule by which entries read the store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use applefold_core::direct::{
    ReadPolicy, ReplicaAction, ReplicaDigest, StoreContinuity, StoreEra, StorePosition,
    StoreReplica,
};
use applefold_core::unit::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// The share of a backend server's drain time, in percent, for which one confirmation of the
/// list stands. The rest covers readers that fail and gossip that is still in transit.
const LIST_PERCENT: u64 = 25;
/// The longest time for which one confirmation of the list stands.
const LIST_PAUSE: TimeSpan = TimeSpan::from_millis(500);
/// The long-poll time of each watch on the configuration by the first reader.
pub(crate) const CONFIG_WAIT: TimeSpan = TimeSpan::from_millis(300);
/// The longest time that a datagram spends in transit and in the buffer of a busy entry. It adds
/// to two gossip rounds, one of which may be lost.
const GOSSIP_TRANSIT: TimeSpan = TimeSpan::from_millis(100);
/// The extra wait of each further reader in the read order.
const READER_STEP: TimeSpan = TimeSpan::from_millis(100);
/// The backoff of the first reader after a failed call.
const RETRY_PAUSE: TimeSpan = TimeSpan::from_millis(170);

/// The digests of an entry's replicas, sent with each datagram.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ReplicaDigests {
    list: Option<DigestFields>,
    config: Option<DigestFields>,
}

impl ReplicaDigests {
    /// Returns the latest era of the store in the digests.
    pub(crate) fn latest_era(&self) -> Option<StoreEra> {
        let digests = [self.list, self.config].into_iter().flatten();
        digests.map(|digest| digest.digest().position.era()).max()
    }
}

/// The encoding of a [`ReplicaDigest`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct DigestFields {
    position: u64,
    #[serde(rename = "changed")]
    last_change: u64,
    age_us: u64,
}

impl DigestFields {
    pub(crate) fn new(digest: ReplicaDigest) -> Self {
        Self {
            position: digest.position.0,
            last_change: digest.last_change.0,
            age_us: digest.age.0,
        }
    }

    pub(crate) fn digest(self) -> ReplicaDigest {
        ReplicaDigest {
            position: StorePosition(self.position),
            last_change: StorePosition(self.last_change),
            age: TimeSpan(self.age_us),
        }
    }
}

/// One replica, the peer to fetch its missing changes from, and the backoff of its reads.
pub(crate) struct ReplicaTracker {
    replica: RefCell<StoreReplica>,
    continuity: Cell<StoreContinuity>,
    /// Wakes the reader when a peer has announced changes that this replica lacks. It may have them by then, see
    /// [`Self::is_behind`].
    pub(crate) behind: Notify,
    /// The last change that a peer has announced.
    announced: Cell<StorePosition>,
    /// The address of the peer that announced such changes last.
    source: Cell<Option<SocketAddr>>,
    /// When the backoff after a failed read ends.
    backoff_until: Cell<TimePoint>,
}

impl ReplicaTracker {
    fn new(heartbeat_interval: TimeSpan) -> Self {
        Self {
            replica: RefCell::default(),
            continuity: Cell::new(StoreContinuity::new(heartbeat_interval)),
            behind: Notify::new(),
            announced: Cell::default(),
            source: Cell::default(),
            backoff_until: Cell::default(),
        }
    }

    /// Returns for how long the store has confirmed the replica without a gap.
    pub(crate) fn continuity(&self) -> StoreContinuity {
        self.continuity.get()
    }

    /// Merges what a peer states about that, after `transit` on the way.
    pub(crate) fn merge_continuity(
        &self,
        span: TimeSpan,
        era: StoreEra,
        transit: TimeSpan,
        now: TimePoint,
    ) {
        let mut continuity = self.continuity.get();
        continuity.merge(span, era, transit, now);
        self.continuity.set(continuity);
    }

    fn observe_confirmation(&self) {
        let replica = self.replica.borrow();
        if let (Some(at), Some(position)) = (replica.confirmed_at(), replica.position()) {
            let mut continuity = self.continuity.get();
            continuity.observe(at, position.era());
            self.continuity.set(continuity);
        }
    }

    /// Returns the position that the replica has reached; `None` before its first read.
    pub(crate) fn position(&self) -> Option<StorePosition> {
        self.replica.borrow().position()
    }

    /// Returns when the store last confirmed the replica, to this entry or to a peer.
    pub(crate) fn confirmed_at(&self) -> Option<TimePoint> {
        self.replica.borrow().confirmed_at()
    }

    /// Returns the digest of the replica as of `now`; `None` before its first read.
    pub(crate) fn digest(&self, now: TimePoint) -> Option<ReplicaDigest> {
        self.replica.borrow().digest(now)
    }

    /// Records that the store held the state up to `position` at `at`, last changed at `last_change`.
    pub(crate) fn confirm(
        &self,
        position: StorePosition,
        last_change: StorePosition,
        at: TimePoint,
    ) {
        self.replica.borrow_mut().confirm(position, last_change, at);
        self.observe_confirmation();
    }

    /// Returns when this entry, at its `rank` in the read order, reads the store itself.
    pub(crate) fn next_read_at(&self, policy: &ReadPolicy, rank: usize) -> TimePoint {
        let read_at = self.replica.borrow().next_read_at(policy, rank);
        read_at.max(self.backoff_until.get())
    }

    /// Backs off from the store for `span` after a failed read.
    pub(crate) fn note_failure(&self, span: TimeSpan, now: TimePoint) {
        self.backoff_until.set(now + span);
    }

    /// Returns whether reads are backing off after a failure.
    pub(crate) fn is_backing_off(&self, now: TimePoint) -> bool {
        self.backoff_until.get() > now
    }

    /// Returns whether a peer has announced a change that this replica lacks.
    pub(crate) fn is_behind(&self) -> bool {
        self.announced.get() > self.position().unwrap_or_default()
    }

    /// Takes the address of the peer that announced changes that this replica lacks.
    pub(crate) fn take_source(&self) -> Option<SocketAddr> {
        self.source.take()
    }

    fn note_digest(
        &self,
        digest: Option<DigestFields>,
        from: SocketAddr,
        delay: TimeSpan,
        now: TimePoint,
    ) {
        let Some(digest) = digest else {
            return;
        };
        let digest = digest.digest();
        let action = self.replica.borrow_mut().receive(&digest, delay, now);
        self.observe_confirmation();
        if action == ReplicaAction::Fetch {
            let announced = self.announced.get().max(digest.last_change);
            self.announced.set(announced);
            self.source.set(Some(from));
            self.behind.notify_one();
        }
    }
}

/// The replicas of what all entries read from the store.
pub(crate) struct ReplicaSet {
    pub(crate) list: ReplicaTracker,
    pub(crate) config: ReplicaTracker,
}

impl ReplicaSet {
    /// Creates the replicas of a process that has just started, on a platform whose backend servers
    /// write their registrations at this interval.
    pub(crate) fn new(heartbeat_interval: TimeSpan) -> Self {
        Self {
            list: ReplicaTracker::new(heartbeat_interval),
            config: ReplicaTracker::new(heartbeat_interval),
        }
    }

    /// Returns the digests of the replicas as of `now`.
    pub(crate) fn digests(&self, now: TimePoint) -> ReplicaDigests {
        let digest = |tracker: &ReplicaTracker| tracker.digest(now).map(DigestFields::new);
        ReplicaDigests {
            list: digest(&self.list),
            config: digest(&self.config),
        }
    }

    /// Compares this entry's replicas with the digests of the peer at `from`, which were in
    /// transit for at least `delay`.
    pub(crate) fn note_digests(
        &self,
        digests: ReplicaDigests,
        from: SocketAddr,
        delay: TimeSpan,
        now: TimePoint,
    ) {
        self.list.note_digest(digests.list, from, delay, now);
        self.config.note_digest(digests.config, from, delay, now);
    }
}

/// Returns when entries read the list, given that a draining backend server still serves for
/// `drain` and that gossip rounds are `round` apart.
pub(crate) fn list_policy(drain: TimeSpan, round: TimeSpan) -> ReadPolicy {
    let pause = TimeSpan(drain.0 * LIST_PERCENT / 100);
    policy(pause.min(LIST_PAUSE), round)
}

/// Returns when entries read the configuration. The first reader reads without a pause, since
/// its watches are long polls.
pub(crate) fn config_policy(round: TimeSpan) -> ReadPolicy {
    let first = policy(TimeSpan::ZERO, round);
    ReadPolicy {
        failover_margin: first.failover_margin + CONFIG_WAIT,
        ..first
    }
}

fn policy(pause: TimeSpan, round: TimeSpan) -> ReadPolicy {
    ReadPolicy {
        interval: pause,
        failover_margin: TimeSpan(2 * round.0) + GOSSIP_TRANSIT,
        rank_step: READER_STEP,
        retry_delay: RETRY_PAUSE,
    }
}
