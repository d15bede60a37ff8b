//! Copies of what the platform's store holds, kept fresh for many entries by few readers.
//!
//! Each entry tells the others how far its copy goes and when the store last confirmed it. An
//! entry that hears of a fresh copy does not ask the store itself; where nobody confirms the
//! copy, entries ask one after the other, in an order that needs no vote. See
//! [docs/design/reading.md](../../../../docs/design/reading.md).

use crate::unit::{TimePoint, TimeSpan};

/// A position in the store's history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition(pub u64);

/// What an entry tells of its copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaDigest {
    /// The copy holds everything up to here.
    pub position: StorePosition,
    /// Where it last changed.
    pub last_change: StorePosition,
    /// How long ago the store confirmed that, when this was told.
    pub age: TimeSpan,
}

/// What follows from another entry's news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaAction {
    /// Nothing: the copy is as far as the other one.
    Keep,
    /// The other entry has changes that are missing here.
    Fetch,
}

/// When entries ask the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadPolicy {
    /// How long a confirmation holds for the first reader.
    pub interval: TimeSpan,
    /// How much longer the second one waits to hear of it.
    pub failover_margin: TimeSpan,
    /// How much longer each further one waits.
    pub rank_step: TimeSpan,
    /// The pause after a call that failed, and what each place in the order adds to it.
    pub retry_delay: TimeSpan,
}

/// The places in the order after which entries no longer wait longer, which bounds how old a
/// copy gets before an entry asks the store, however many there are.
const MAX_RANK: u64 = 6;

impl ReadPolicy {
    /// Returns how long a confirmation holds for the entry at this place of the order.
    pub fn confirmation_ttl(&self, rank: usize) -> TimeSpan {
        match (rank as u64).min(MAX_RANK) {
            0 => self.interval,
            rank => {
                TimeSpan(self.interval.0 + self.failover_margin.0 + self.rank_step.0 * (rank - 1))
            }
        }
    }

    /// Returns the pause after a call that failed.
    pub fn retry_delay(&self, rank: usize) -> TimeSpan {
        TimeSpan(self.retry_delay.0 * (1 + (rank as u64).min(MAX_RANK)))
    }
}

/// How far this entry's copy goes.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreReplica {
    position: StorePosition,
    last_change: StorePosition,
    confirmed_at: Option<TimePoint>,
}

impl StoreReplica {
    /// Returns how far the copy goes; `None` before it was read once.
    pub fn position(&self) -> Option<StorePosition> {
        self.confirmed_at.map(|_| self.position)
    }

    /// Returns when the store last confirmed it, to anyone.
    pub fn confirmed_at(&self) -> Option<TimePoint> {
        self.confirmed_at
    }

    /// Takes in that the store, or an entry that had it from there, has shown everything up to
    /// `position` as it was at `at`, the last change being at `changed`.
    pub fn confirm(&mut self, position: StorePosition, changed: StorePosition, at: TimePoint) {
        self.position = self.position.max(position);
        self.last_change = self.last_change.max(changed);
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns what is told to the other entries.
    pub fn digest(&self, now: TimePoint) -> Option<ReplicaDigest> {
        let confirmed_at = self.confirmed_at?;
        Some(ReplicaDigest {
            position: self.position,
            last_change: self.last_change,
            age: now.since(confirmed_at),
        })
    }

    /// Takes in what another entry has told and what was on its way until `now` for at
    /// least `delay`.
    pub fn receive(
        &mut self,
        news: &ReplicaDigest,
        delay: TimeSpan,
        now: TimePoint,
    ) -> ReplicaAction {
        let known = self.confirmed_at.is_some();
        if !known || news.last_change > self.position {
            return ReplicaAction::Fetch;
        }
        if news.position >= self.position {
            self.position = news.position;
            let age = news.age + delay;
            let at = TimePoint(now.0.saturating_sub(age.0));
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
        ReplicaAction::Keep
    }

    /// Returns when this entry asks the store itself, unless it hears of a fresher copy before.
    pub fn next_read_at(&self, policy: &ReadPolicy, rank: usize) -> TimePoint {
        match self.confirmed_at {
            Some(at) => at + policy.confirmation_ttl(rank),
            None => TimePoint::START,
        }
    }
}
