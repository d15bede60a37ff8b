//! The list of backend servers as it is passed on between entries.

use std::collections::BTreeMap;

use crate::direct::{ServerSpec, StorePosition};
use crate::id::BackendId;

/// The most backend servers that are remembered as gone.
const MAX_TOMBSTONES: usize = 512;

/// What the list says of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// Its line.
    Listed(ServerSpec),
    /// Its line is gone, perhaps only because the store was away.
    Expired,
    /// It is gone.
    Removed,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListChange {
    /// The backend server.
    pub id: BackendId,
    /// Where in the store's history it changed.
    pub position: StorePosition,
    /// What holds since.
    pub state: ListedState,
}

/// What brings another copy of the list up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListDelta {
    /// Whether these are all lines, so that what is not among them is gone.
    pub complete: bool,
    /// The changes.
    pub changes: Vec<ListChange>,
}

/// How a line became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOrigin {
    /// As a change: all changes before it are known.
    Change,
    /// As it stood at one moment: changes between that and what is known may have been missed.
    Snapshot,
}

#[derive(Clone, Debug)]
struct ListRow {
    /// Where it last changed.
    last_change: StorePosition,
    /// Up to where it is known.
    known_to: StorePosition,
    state: ListedState,
}

/// The list, with where each line last changed.
#[derive(Clone, Debug, Default)]
pub struct VersionedList {
    rows: BTreeMap<BackendId, ListRow>,
    /// Changes before this one have been forgotten in part.
    compacted_to: StorePosition,
}

impl VersionedList {
    /// Takes in a line; returns whether it says something new. What is older than what is
    /// known of the same backend server is left aside.
    pub fn apply(&mut self, row: &ListChange, origin: ChangeOrigin) -> bool {
        if let Some(known) = self.rows.get_mut(&row.id) {
            if row.position < known.known_to {
                return false;
            }
            let again = row.position > known.known_to;
            known.known_to = row.position;
            if known.state == row.state {
                if again && origin == ChangeOrigin::Snapshot {
                    known.last_change = row.position;
                }
                return false;
            }
        }
        let kept = ListRow {
            last_change: row.position,
            known_to: row.position,
            state: row.state.clone(),
        };
        self.rows.insert(row.id.clone(), kept);
        self.compact();
        true
    }

    /// Notes that a line that had expired is believed to be gone.
    pub fn confirm_removed(&mut self, id: &BackendId) {
        if let Some(row) = self.rows.get_mut(id) {
            if row.state == ListedState::Expired {
                row.state = ListedState::Removed;
            }
        }
    }

    /// Returns the backend servers that are not gone.
    pub fn present_ids(&self) -> impl Iterator<Item = &BackendId> {
        let present = self.rows.iter();
        let present = present.filter(|(_, row)| row.state != ListedState::Removed);
        present.map(|(id, _)| id)
    }

    /// Returns where the list last changed.
    pub fn last_change(&self) -> StorePosition {
        let positions = self.rows.values().map(|row| row.last_change);
        positions
            .max()
            .unwrap_or(self.compacted_to)
            .max(self.compacted_to)
    }

    /// Returns what a copy misses that goes up to `after`; `None` for one that is still empty.
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

    fn compact(&mut self) {
        let gone = self.rows.iter();
        let gone = gone.filter(|(_, row)| row.state == ListedState::Removed);
        let mut gone: Vec<(StorePosition, BackendId)> = gone
            .map(|(id, row)| (row.last_change, id.clone()))
            .collect();
        if gone.len() <= MAX_TOMBSTONES {
            return;
        }
        gone.sort();
        for (position, id) in gone.into_iter().take(MAX_TOMBSTONES / 2) {
            self.rows.remove(&id);
            self.compacted_to = self.compacted_to.max(position);
        }
    }
}
