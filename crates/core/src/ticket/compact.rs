//! Log compaction: writes the snapshot, raises the floor, then deletes the entries below it.
//!
//! This order makes it safe; see
//! [docs/design/tickets.md](../../../../docs/design/tickets.md).

use crate::config::{ServingConfig, MAX_TICKET_RECORDS};
use crate::id::Revision;
use crate::ticket::log::{LogEntry, LogFloor, FLOOR_KEY, LOG_PREFIX, SNAPSHOT_KEY};
use crate::ticket::store::{StoreCall, StoreReply, StoredEntry, WriteCondition};

/// Revisions between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 256;
/// Revisions that remain in the log, so that operators can still read their tickets.
const RETAINED_REVISIONS: u64 = MAX_TICKET_RECORDS as u64;
const PAGE_SIZE: usize = 32;

#[derive(Clone, Debug, PartialEq, Eq)]
enum CompactPhase {
    ReadSnapshot,
    WriteSnapshot(WriteCondition),
    ReadFloor,
    WriteFloor(WriteCondition),
    ListEntries,
    DeleteEntries(Vec<StoredEntry>),
    Ended,
}

/// One run of log compaction. It is safe to abort at any point and to run concurrently.
#[derive(Clone, Debug)]
pub struct LogCompaction {
    config: ServingConfig,
    retained: u64,
    phase: CompactPhase,
}

impl LogCompaction {
    /// Returns a run if `config` is at least the snapshot interval ahead of `snapshot`.
    pub fn due(config: &ServingConfig, snapshot: Revision) -> Option<Self> {
        let due = config.revision.0 >= snapshot.0 + SNAPSHOT_INTERVAL;
        due.then(|| Self::retaining(config.clone(), RETAINED_REVISIONS))
    }

    /// Returns a run that keeps the last `retained` revisions in the log.
    pub fn retaining(config: ServingConfig, retained: u64) -> Self {
        Self {
            config,
            retained,
            phase: CompactPhase::ReadSnapshot,
        }
    }

    fn floor(&self) -> LogFloor {
        let snapshot = self.config.revision;
        LogFloor {
            deleted: Revision(snapshot.0.saturating_sub(self.retained)),
            snapshot,
        }
    }

    /// Returns the next call to the store, or `None` once the run has ended.
    pub fn next_call(&self) -> Option<StoreCall> {
        match &self.phase {
            CompactPhase::ReadSnapshot => Some(StoreCall::Read { key: SNAPSHOT_KEY }),
            CompactPhase::WriteSnapshot(condition) => Some(StoreCall::Write {
                key: SNAPSHOT_KEY,
                value: self.config.to_json(),
                condition: *condition,
            }),
            CompactPhase::ReadFloor => Some(StoreCall::Read { key: FLOOR_KEY }),
            CompactPhase::WriteFloor(condition) => Some(StoreCall::Write {
                key: FLOOR_KEY,
                value: serde_json::to_string(&self.floor()).expect("a floor is two numbers"),
                condition: *condition,
            }),
            CompactPhase::ListEntries => Some(StoreCall::List {
                prefix: LOG_PREFIX,
                after: LOG_PREFIX,
                limit: PAGE_SIZE,
            }),
            CompactPhase::DeleteEntries(entries) => entries.last().map(|entry| StoreCall::Delete {
                key: entry.key.clone(),
                version: entry.version,
            }),
            CompactPhase::Ended => None,
        }
    }

    /// Handles the reply to [`next_call`](Self::next_call).
    ///
    /// A failure ends the run, and the next run continues where it stopped.
    pub fn handle_reply(&mut self, reply: StoreReply) {
        let phase = std::mem::replace(&mut self.phase, CompactPhase::Ended);
        self.phase = match (phase, reply) {
            (CompactPhase::ReadSnapshot, StoreReply::Absent) => {
                CompactPhase::WriteSnapshot(WriteCondition::Absent)
            }
            (CompactPhase::ReadSnapshot, StoreReply::Found(entry)) => self.replace_snapshot(&entry),
            (CompactPhase::WriteSnapshot(_), StoreReply::Done) => CompactPhase::ReadFloor,
            (CompactPhase::ReadFloor, StoreReply::Absent) => {
                CompactPhase::WriteFloor(WriteCondition::Absent)
            }
            (CompactPhase::ReadFloor, StoreReply::Found(entry)) => self.raise_floor(&entry),
            (CompactPhase::WriteFloor(_), StoreReply::Done) => CompactPhase::ListEntries,
            (CompactPhase::ListEntries, StoreReply::Listed(page)) => self.select_deletions(page),
            (
                CompactPhase::DeleteEntries(entries),
                StoreReply::Done | StoreReply::Conflict | StoreReply::Absent,
            ) => next_delete(entries),
            _ => CompactPhase::Ended,
        };
    }

    /// Overwrites the stored snapshot only if it is older than the configuration.
    fn replace_snapshot(&self, entry: &StoredEntry) -> CompactPhase {
        let stored = ServingConfig::from_json(&entry.value);
        let stored = stored.map_or(Revision::default(), |config| config.revision);
        match stored < self.config.revision {
            true => CompactPhase::WriteSnapshot(WriteCondition::Version(entry.version)),
            false => CompactPhase::Ended,
        }
    }

    /// Overwrites the stored floor only if its snapshot is older than the configuration.
    fn raise_floor(&self, entry: &StoredEntry) -> CompactPhase {
        let stored = LogFloor::from_value(&entry.value).unwrap_or_default();
        match stored.snapshot < self.config.revision {
            true => CompactPhase::WriteFloor(WriteCondition::Version(entry.version)),
            false => CompactPhase::Ended,
        }
    }

    /// Selects the entries of the page up to the floor, which may be deleted.
    fn select_deletions(&self, page: Vec<StoredEntry>) -> CompactPhase {
        let deleted = self.floor().deleted;
        let is_below = |entry: &StoredEntry| {
            LogEntry::from_stored(entry).is_some_and(|entry| entry.revision <= deleted)
        };
        let entries: Vec<StoredEntry> = page.into_iter().filter(is_below).collect();
        match entries.is_empty() {
            true => CompactPhase::Ended,
            false => CompactPhase::DeleteEntries(entries),
        }
    }
}

fn next_delete(mut entries: Vec<StoredEntry>) -> CompactPhase {
    entries.pop();
    match entries.is_empty() {
        true => CompactPhase::ListEntries,
        false => CompactPhase::DeleteEntries(entries),
    }
}
