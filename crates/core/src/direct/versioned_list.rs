//! The list of backend servers as it is passed on between entries.

use std::collections::BTreeMap;

use crate::direct::{ServerSpec, StorePosition};
use crate::id::BackendId;

/// The most backend servers that are remembered as gone.
const MAX_GONE: usize = 512;

/// What the list says of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// Its line.
    Listed(ServerSpec),
    /// Its line is gone, perhaps only because the store was away.
    Lapsed,
    /// It is gone.
    Gone,
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
    pub whole: bool,
    /// The changes.
    pub rows: Vec<ListChange>,
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
struct LedgerRow {
    /// Where it last changed.
    changed: StorePosition,
    /// Up to where it is known.
    seen: StorePosition,
    state: ListedState,
}

/// The list, with where each line last changed.
#[derive(Clone, Debug, Default)]
pub struct VersionedList {
    rows: BTreeMap<BackendId, LedgerRow>,
    /// Changes before this one have been forgotten in part.
    since: StorePosition,
}

impl VersionedList {
    /// Takes in a line; returns whether it says something new. What is older than what is
    /// known of the same backend server is left aside.
    pub fn note(&mut self, row: &ListChange, origin: ChangeOrigin) -> bool {
        if let Some(known) = self.rows.get_mut(&row.id) {
            if row.position < known.seen {
                return false;
            }
            let again = row.position > known.seen;
            known.seen = row.position;
            if known.state == row.state {
                if again && origin == ChangeOrigin::Snapshot {
                    known.changed = row.position;
                }
                return false;
            }
        }
        let kept = LedgerRow {
            changed: row.position,
            seen: row.position,
            state: row.state.clone(),
        };
        self.rows.insert(row.id.clone(), kept);
        self.forget();
        true
    }

    /// Notes that a line that had lapsed is believed to be gone.
    pub fn settle(&mut self, id: &BackendId) {
        if let Some(row) = self.rows.get_mut(id) {
            if row.state == ListedState::Lapsed {
                row.state = ListedState::Gone;
            }
        }
    }

    /// Returns the backend servers that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &BackendId> {
        let present = self.rows.iter();
        let present = present.filter(|(_, row)| row.state != ListedState::Gone);
        present.map(|(id, _)| id)
    }

    /// Returns where the list last changed.
    pub fn changed(&self) -> StorePosition {
        let positions = self.rows.values().map(|row| row.changed);
        positions.max().unwrap_or(self.since).max(self.since)
    }

    /// Returns what a copy misses that goes up to `after`; `None` for one that is still empty.
    pub fn delta(&self, after: Option<StorePosition>) -> ListDelta {
        let after = after.filter(|after| *after >= self.since);
        let rows = self.rows.iter().filter(|(_, row)| match after {
            Some(after) => row.changed > after,
            None => row.state != ListedState::Gone,
        });
        let rows = rows.map(|(id, row)| ListChange {
            id: id.clone(),
            position: row.changed,
            state: row.state.clone(),
        });
        ListDelta {
            whole: after.is_none(),
            rows: rows.collect(),
        }
    }

    fn forget(&mut self) {
        let gone = self.rows.iter();
        let gone = gone.filter(|(_, row)| row.state == ListedState::Gone);
        let mut gone: Vec<(StorePosition, BackendId)> =
            gone.map(|(id, row)| (row.changed, id.clone())).collect();
        if gone.len() <= MAX_GONE {
            return;
        }
        gone.sort();
        for (position, id) in gone.into_iter().take(MAX_GONE / 2) {
            self.rows.remove(&id);
            self.since = self.since.max(position);
        }
    }
}
