//! Replicas of data in the platform's store, kept fresh by few readers for many entries.
//!
//! Each entry gossips a digest of its replica: its position and when the store last confirmed it.
//! An entry that receives the digest of a fresh replica does not read the store itself. When no
//! digest confirms the replica, entries read one after the other, in an order that needs no
//! election. See
//! [docs/design/reading.md](../../../../docs/design/reading.md).

use std::fmt;

use crate::unit::{TimePoint, TimeSpan};

/// The number of times that the store has come back from an older copy. A revision means something
/// only within its era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreEra(u64);

impl StoreEra {
    /// Creates an era. It is counted modulo 2^20, so that it fits a position.
    pub const fn new(number: u64) -> Self {
        Self(number % (1 << (u64::BITS - REVISION_BITS)))
    }

    /// Returns the number.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The bits of a position that hold the revision.
const REVISION_BITS: u32 = 44;

/// A position in the store's history: an era, and a revision within it. Later eras come after all
/// revisions of earlier ones. A number without an era, as older builds send it, is of era 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition(pub u64);

impl StorePosition {
    /// Creates the position of a revision in an era.
    pub const fn new(era: StoreEra, revision: u64) -> Self {
        Self(era.0 << REVISION_BITS | revision)
    }

    /// Returns the era.
    pub const fn era(self) -> StoreEra {
        StoreEra(self.0 >> REVISION_BITS)
    }

    /// Returns the revision within the era.
    pub const fn revision(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }

    /// Returns the position right before this one.
    pub fn before(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// The digest of an entry's replica, which it gossips to the other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaDigest {
    /// The position up to which the replica is complete.
    pub position: StorePosition,
    /// The position of the last change in the replica.
    pub last_change: StorePosition,
    /// The time from the store's last confirmation to the creation of the digest.
    pub age: TimeSpan,
}

/// The action that follows from another entry's digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaAction {
    /// None: the replica lacks no change that the other one has.
    Keep,
    /// Fetch the changes that the other entry has and this replica lacks.
    Fetch,
}

/// The schedule by which entries read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadPolicy {
    /// The time that the first reader waits after a confirmation.
    pub interval: TimeSpan,
    /// The additional time that the second reader waits for the first one's digest.
    pub failover_margin: TimeSpan,
    /// The additional time that each further reader waits.
    pub rank_step: TimeSpan,
    /// The delay after a failed call of the first reader; each rank adds as much again.
    pub retry_delay: TimeSpan,
}

/// The rank after which waits no longer grow. It bounds the age that a replica reaches before an
/// entry reads the store, however many entries there are.
const MAX_RANK: u64 = 6;

impl ReadPolicy {
    /// Returns how long a confirmation stands for the entry with this rank in the read order.
    pub fn confirmation_ttl(&self, rank: usize) -> TimeSpan {
        match (rank as u64).min(MAX_RANK) {
            0 => self.interval,
            rank => {
                TimeSpan(self.interval.0 + self.failover_margin.0 + self.rank_step.0 * (rank - 1))
            }
        }
    }

    /// Returns the delay after a failed call of the entry with this rank.
    pub fn retry_delay(&self, rank: usize) -> TimeSpan {
        TimeSpan(self.retry_delay.0 * (1 + (rank as u64).min(MAX_RANK)))
    }
}

/// The state of this entry's replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreReplica {
    position: StorePosition,
    last_change: StorePosition,
    confirmed_at: Option<TimePoint>,
}

impl StoreReplica {
    /// Returns the position of the replica; `None` before its first read.
    pub fn position(&self) -> Option<StorePosition> {
        self.confirmed_at.map(|_| self.position)
    }

    /// Returns when the store last confirmed the replica, to this entry or to another.
    pub fn confirmed_at(&self) -> Option<TimePoint> {
        self.confirmed_at
    }

    /// Records that the replica was complete up to `position` at the time `at`, with its last change
    /// at `last_change`. The data came from the store, or from an entry that had read it there.
    pub fn confirm(&mut self, position: StorePosition, last_change: StorePosition, at: TimePoint) {
        self.position = self.position.max(position);
        self.last_change = self.last_change.max(last_change);
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the digest for the other entries; `None` before the first read.
    pub fn digest(&self, now: TimePoint) -> Option<ReplicaDigest> {
        let confirmed_at = self.confirmed_at?;
        Some(ReplicaDigest {
            position: self.position,
            last_change: self.last_change,
            age: now.since(confirmed_at),
        })
    }

    /// Compares the replica with another entry's digest, which was in transit for at least `delay`
    /// until `now`. A digest that is not behind confirms the replica.
    pub fn receive(
        &mut self,
        digest: &ReplicaDigest,
        delay: TimeSpan,
        now: TimePoint,
    ) -> ReplicaAction {
        let known = self.confirmed_at.is_some();
        if !known || digest.last_change > self.position {
            return ReplicaAction::Fetch;
        }
        if digest.position >= self.position {
            self.position = digest.position;
            let age = digest.age + delay;
            let at = TimePoint(now.0.saturating_sub(age.0));
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
        ReplicaAction::Keep
    }

    /// Returns when this entry reads the store itself, unless a digest confirms its replica before.
    pub fn next_read_at(&self, policy: &ReadPolicy, rank: usize) -> TimePoint {
        match self.confirmed_at {
            Some(at) => at + policy.confirmation_ttl(rank),
            None => TimePoint::START,
        }
    }
}
