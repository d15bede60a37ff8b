//! The list of backend servers with the store position of each change, for exchange among entries.

use std::collections::BTreeMap;

use crate::direct::{ServerSpec, StorePosition};
use crate::id::BackendId;

/// The most removed backend servers that are remembered.
const MAX_TOMBSTONES: usize = 512;

/// The state of a backend server on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It is registered with this row.
    Listed(ServerSpec),
    /// Its registration is gone, perhaps only because the store was unavailable.
    Expired,
    /// It is removed.
    Removed,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListChange {
    /// The backend server that changed.
    pub id: BackendId,
    /// The position of the change in the store's history.
    pub position: StorePosition,
    /// The state since the change.
    pub state: ListedState,
}

/// The changes that bring another replica of the list up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListDelta {
    /// Whether these are all rows of the list, so that every other backend server is removed.
    pub complete: bool,
    /// The changes.
    pub changes: Vec<ListChange>,
}

/// How a row became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOrigin {
    /// As a change event: all changes before it are known.
    Change,
    /// From another entry's replica.
    Replica,
    /// In a snapshot of the list: changes between it and what was known may have been missed.
    Snapshot,
}

#[derive(Clone, Debug)]
struct ListRow {
    /// The position of the last change.
    last_change: StorePosition,
    /// The position up to which the row is known.
    known_to: StorePosition,
    state: ListedState,
    /// The incarnation that was registered last: the start time of its process.
    incarnation: Option<u64>,
}

impl ListRow {
    /// Returns whether a row of a later era may only repeat an older copy of what is known: the same
    /// incarnation, before it drained or was removed.
    fn is_revived_by(&self, change: &ListChange) -> bool {
        let ListedState::Listed(spec) = &change.state else {
            return false;
        };
        let is_further = match &self.state {
            ListedState::Listed(known) => known.draining && !spec.draining,
            ListedState::Expired => false,
            ListedState::Removed => true,
        };
        change.position.era() > self.known_to.era()
            && self.incarnation == Some(spec.started_at_ms)
            && is_further
    }
}

/// The list of backend servers, with the position of each row's last change.
#[derive(Clone, Debug, Default)]
pub struct VersionedList {
    rows: BTreeMap<BackendId, ListRow>,
    /// The position up to which changes are incomplete: tombstones have been dropped, or the list was
    /// read as a snapshot.
    compacted_to: StorePosition,
}

impl VersionedList {
    /// Applies a change; returns whether it changed the state of the row. A change that is older
    /// than what is known of the same backend server is ignored.
    pub fn apply(&mut self, change: &ListChange, origin: ChangeOrigin) -> bool {
        if let Some(known) = self.rows.get_mut(&change.id) {
            if change.position < known.known_to {
                return false;
            }
            let revived = origin != ChangeOrigin::Change && known.is_revived_by(change);
            let is_newer = change.position > known.known_to;
            known.known_to = change.position;
            if revived {
                return false;
            }
            if known.state == change.state {
                if is_newer && origin == ChangeOrigin::Snapshot {
                    known.last_change = change.position;
                }
                return false;
            }
        }
        let incarnation = match &change.state {
            ListedState::Listed(spec) => Some(spec.started_at_ms),
            ListedState::Expired | ListedState::Removed => {
                let known = self.rows.get(&change.id);
                known.and_then(|known| known.incarnation)
            }
        };
        let kept = ListRow {
            last_change: change.position,
            known_to: change.position,
            state: change.state.clone(),
            incarnation,
        };
        self.rows.insert(change.id.clone(), kept);
        self.compact();
        true
    }

    /// Records that the changes up to `position` are not all known, since the list was read as a
    /// snapshot.
    pub fn forget_history(&mut self, position: StorePosition) {
        self.compacted_to = self.compacted_to.max(position);
    }

    /// Records that an expired backend server is removed.
    pub fn confirm_removed(&mut self, id: &BackendId) {
        if let Some(row) = self.rows.get_mut(id) {
            if row.state == ListedState::Expired {
                row.state = ListedState::Removed;
            }
        }
    }

    /// Returns the backend servers that are not removed.
    pub fn present_ids(&self) -> impl Iterator<Item = &BackendId> {
        let present = self.rows.iter();
        let present = present.filter(|(_, row)| row.state != ListedState::Removed);
        present.map(|(id, _)| id)
    }

    /// Returns the position of the list's last change.
    pub fn last_change(&self) -> StorePosition {
        let positions = self.rows.values().map(|row| row.last_change);
        positions
            .max()
            .unwrap_or(self.compacted_to)
            .max(self.compacted_to)
    }

    /// Returns the changes that a replica at position `after` lacks. Returns the full list if
    /// `after` is `None`, for an empty replica, or lies before the known history.
    pub fn delta(&self, after: Option<StorePosition>) -> ListDelta {
        let after = after.filter(|after| *after >= self.compacted_to);
        let rows = self.rows.iter().filter(|(_, row)| match after {
            Some(after) => row.last_change > after,
            None => row.state != ListedState::Removed,
        });
        let rows = rows.map(|(id, row)| ListChange {
            id: id.clone(),
            position: row.last_change,
            state: row.state.clone(),
        });
        ListDelta {
            complete: after.is_none(),
            changes: rows.collect(),
        }
    }

    /// Drops the older half of the tombstones once there are too many.
    fn compact(&mut self) {
        let removed = self.rows.iter();
        let removed = removed.filter(|(_, row)| row.state == ListedState::Removed);
        let mut removed: Vec<(StorePosition, BackendId)> = removed
            .map(|(id, row)| (row.last_change, id.clone()))
            .collect();
        if removed.len() <= MAX_TOMBSTONES {
            return;
        }
        removed.sort();
        for (position, id) in removed.into_iter().take(MAX_TOMBSTONES / 2) {
            self.rows.remove(&id);
            self.compacted_to = self.compacted_to.max(position);
        }
    }
}
