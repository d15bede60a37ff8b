//! An entry's replica of the list of backend servers, and the updates by which entries keep each
//! other's replicas complete.
//!
//! A replica that claims to be complete up to a position holds every change up to it. A snapshot
//! does not tell what happened before it, so a replica that was read as one sends the complete list
//! to those that are behind it. See
//! [docs/design/reading.md](../../../../docs/design/reading.md).

use std::collections::{BTreeSet, VecDeque};

use crate::direct::{
    ChangeOrigin, ListChange, ListDelta, ListedState, StorePosition, VersionedList,
};
use crate::id::BackendId;
use crate::unit::TimeSpan;

/// The number of gossip rounds that send each change, since a datagram may be lost.
const SENDS_PER_CHANGE: u8 = 3;
/// The most queued changes. Entries that miss more fetch them.
const MAX_QUEUED: usize = 64;
/// The most changes in one update that is gossiped.
const MAX_BATCH: usize = 6;
/// The age up to which an entry accepts its first list from a peer. An older one may still hold
/// backend servers that are gone.
const MAX_FIRST_AGE: TimeSpan = TimeSpan::from_secs(2);

/// The source of a change of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// A change event of the store, which is gossiped to the other entries.
    StoreEvent,
    /// A full read of the store.
    StoreScan,
    /// Another entry.
    Peer,
}

impl ChangeSource {
    const fn origin(self) -> ChangeOrigin {
        match self {
            Self::StoreEvent => ChangeOrigin::Change,
            Self::Peer => ChangeOrigin::Replica,
            Self::StoreScan => ChangeOrigin::Snapshot,
        }
    }

    /// Returns the name of the source in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::StoreEvent | Self::StoreScan => "store",
            Self::Peer => "another entry",
        }
    }
}

/// The complete list or its changes since a position, as entries send each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListUpdate {
    /// The position that a replica must have reached for this to be all it lacks; `None` if this
    /// is the complete list.
    pub after: Option<StorePosition>,
    /// The position that a replica reaches by applying this.
    pub position: StorePosition,
    /// The time since the store confirmed that position; `None` if more changes follow.
    pub age: Option<TimeSpan>,
    /// The changes.
    pub changes: Vec<ListChange>,
}

/// Changes that are still to be gossiped.
#[derive(Clone, Debug, Default)]
struct ChangeQueue {
    /// The queued changes by store position, each with its number of remaining sends.
    queue: VecDeque<(ListChange, u8)>,
    /// The position after which the queue holds every change.
    after: StorePosition,
}

impl ChangeQueue {
    /// Queues a change. Drops the oldest one if the queue is full.
    fn push(&mut self, change: ListChange) {
        let index = self
            .queue
            .partition_point(|(known, _)| known.position <= change.position);
        self.queue.insert(index, (change, SENDS_PER_CHANGE));
        if self.queue.len() > MAX_QUEUED {
            let dropped = self.queue.pop_front();
            self.skip_to(dropped.map_or(self.after, |(change, _)| change.position));
        }
    }

    /// Drops the changes up to `position` from gossip. Entries that lack them fetch them.
    fn skip_to(&mut self, position: StorePosition) {
        self.after = self.after.max(position);
        let after = self.after;
        self.queue.retain(|(change, _)| change.position > after);
    }

    /// Returns the next update of a replica at `position`, and drops changes that have been sent
    /// often enough.
    fn next(&mut self, position: StorePosition, age: TimeSpan) -> Option<ListUpdate> {
        let after = self.after;
        let count = self.queue.len().min(MAX_BATCH);
        let later = self.queue.get(count).map(|(change, _)| change.position);
        let batch = self.queue.iter_mut().take(count);
        let changes: Vec<ListChange> = batch
            .map(|(change, sends_left)| {
                *sends_left -= 1;
                change.clone()
            })
            .collect();
        let finished = self.queue.iter();
        let finished = finished.take_while(|(_, sends_left)| *sends_left == 0);
        if let Some(last) = finished.map(|(change, _)| change.position).last() {
            self.skip_to(last);
        }
        let up_to = later.map_or(position, |later| position.min(later.before()));
        (!changes.is_empty()).then_some(ListUpdate {
            after: Some(after),
            position: up_to,
            age: later.is_none().then_some(age),
            changes,
        })
    }
}

/// This entry's replica of the list.
#[derive(Clone, Debug, Default)]
pub struct ListReplica {
    versions: VersionedList,
    unsent: ChangeQueue,
}

impl ListReplica {
    /// Returns the store position of the last change of the list.
    pub fn last_change(&self) -> StorePosition {
        self.versions.last_change()
    }

    /// Returns the backend servers on the list that are not in `present`.
    pub fn missing(&self, present: &BTreeSet<BackendId>) -> Vec<BackendId> {
        let missing = self.versions.present_ids();
        let missing = missing.filter(|id| !present.contains(*id));
        missing.cloned().collect()
    }

    /// Applies a change; returns whether it changed the list. It is ignored if it is older than what
    /// is known.
    pub fn apply(&mut self, change: &ListChange, source: ChangeSource) -> bool {
        if !self.versions.apply(change, source.origin()) {
            return false;
        }
        match source {
            ChangeSource::StoreEvent => self.unsent.push(change.clone()),
            ChangeSource::StoreScan | ChangeSource::Peer => self.unsent.skip_to(change.position),
        }
        true
    }

    /// Records that the list was replaced by a snapshot at `position`. Changes before it are not
    /// known, such as the removal of a backend server that this replica never held.
    pub fn finish_snapshot(&mut self, position: StorePosition) {
        self.versions.forget_history(position);
        self.unsent.skip_to(position);
    }

    /// Records that an expired backend server is removed.
    pub fn confirm_removed(&mut self, id: &BackendId) {
        self.versions.confirm_removed(id);
    }

    /// Returns the next changes to gossip, if any, of a replica that is complete up to `position`,
    /// as the store confirmed `age` ago.
    pub fn next_update(&mut self, position: StorePosition, age: TimeSpan) -> Option<ListUpdate> {
        self.unsent.next(position, age)
    }

    /// Returns what a replica at position `after` lacks, or the complete list if `after` is `None`
    /// or too old.
    pub fn delta_since(
        &self,
        after: Option<StorePosition>,
        position: StorePosition,
        age: TimeSpan,
    ) -> ListUpdate {
        let ListDelta { complete, changes } = self.versions.delta(after);
        ListUpdate {
            after: after.filter(|_| !complete),
            position,
            age: Some(age),
            changes,
        }
    }

    /// Applies an update from another entry to a replica that is complete up to `own`, after
    /// `delay` in transit. Returns the changes that took effect; `None` if the update leaves a gap
    /// to this replica or is too old for a first list.
    pub fn apply_update(
        &mut self,
        update: &ListUpdate,
        own: Option<StorePosition>,
        delay: TimeSpan,
    ) -> Option<Vec<ListChange>> {
        if update.after.is_some_and(|after| own < Some(after)) {
            return None;
        }
        let age = update.age.map(|age| age + delay);
        if own.is_none() && age.is_none_or(|age| age > MAX_FIRST_AGE) {
            return None;
        }
        let newer = update.changes.iter();
        let newer = newer.filter(|change| own.is_none_or(|own| change.position > own));
        let mut applied: Vec<ListChange> = newer
            .filter(|change| self.apply(change, ChangeSource::Peer))
            .cloned()
            .collect();
        if update.after.is_none() && own.is_none_or(|own| update.position > own) {
            // A backend server that registered after the store's copy was taken may only not have
            // written again yet.
            let state = match own.is_some_and(|own| own.era() < update.position.era()) {
                true => ListedState::Expired,
                false => ListedState::Removed,
            };
            let present = update.changes.iter().map(|change| change.id.clone());
            for id in self.missing(&present.collect()) {
                let change = ListChange {
                    id,
                    position: update.position,
                    state: state.clone(),
                };
                if self.apply(&change, ChangeSource::Peer) {
                    applied.push(change);
                }
            }
            self.finish_snapshot(update.position);
        }
        Some(applied)
    }
}
