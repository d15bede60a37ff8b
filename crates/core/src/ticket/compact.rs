//! Shortens the log: writes the snapshot, raises the floor, then deletes what lies below it.
//!
//! The order is what makes it safe; see
//! [docs/design/tickets.md](../../../../docs/design/tickets.md).

use crate::config::{ServingConfig, MAX_TICKET_RECORDS};
use crate::id::Revision;
use crate::ticket::log::{LogEntry, LogFloor, FLOOR_KEY, LOG_PREFIX, SNAPSHOT_KEY};
use crate::ticket::store::{StoreCall, StoreReply, StoredEntry, WriteCondition};

/// How many revisions may pass between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 256;
/// How many revisions stay in the log, so that operators can read tickets back.
const RETAINED_REVISIONS: u64 = MAX_TICKET_RECORDS as u64;
const PAGE_ENTRIES: usize = 32;

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

/// One run of shortening the log; it can be broken off anywhere and be run by several at once.
#[derive(Clone, Debug)]
pub struct LogCompaction {
    config: ServingConfig,
    retained: u64,
    phase: CompactPhase,
}

impl LogCompaction {
    /// Returns a run if `config` is far enough ahead of the last snapshot.
    pub fn due(config: &ServingConfig, snapshot: Revision) -> Option<Self> {
        let due = config.revision.0 >= snapshot.0 + SNAPSHOT_INTERVAL;
        due.then(|| Self::retaining(config.clone(), RETAINED_REVISIONS))
    }

    /// Returns a run that leaves `retained` revisions in the log.
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

    /// Returns the next call, or `None` at the end.
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
                limit: PAGE_ENTRIES,
            }),
            CompactPhase::DeleteEntries(entries) => entries.last().map(|entry| StoreCall::Delete {
                key: entry.key.clone(),
                version: entry.version,
            }),
            CompactPhase::Ended => None,
        }
    }

    /// Takes the answer to [`next_call`](Self::next_call). After a failure the run ends; the
    /// next one goes on where it stopped.
    pub fn handle_reply(&mut self, answer: StoreReply) {
        let phase = std::mem::replace(&mut self.phase, CompactPhase::Ended);
        self.phase = match (phase, answer) {
            (CompactPhase::ReadSnapshot, StoreReply::Absent) => {
                CompactPhase::WriteSnapshot(WriteCondition::Absent)
            }
            (CompactPhase::ReadSnapshot, StoreReply::Found(entry)) => self.replace(&entry),
            (CompactPhase::WriteSnapshot(_), StoreReply::Done) => CompactPhase::ReadFloor,
            (CompactPhase::ReadFloor, StoreReply::Absent) => {
                CompactPhase::WriteFloor(WriteCondition::Absent)
            }
            (CompactPhase::ReadFloor, StoreReply::Found(entry)) => self.raise(&entry),
            (CompactPhase::WriteFloor(_), StoreReply::Done) => CompactPhase::ListEntries,
            (CompactPhase::ListEntries, StoreReply::Listed(page)) => self.choose(page),
            (
                CompactPhase::DeleteEntries(entries),
                StoreReply::Done | StoreReply::Conflict | StoreReply::Absent,
            ) => next_delete(entries),
            _ => CompactPhase::Ended,
        };
    }

    fn replace(&self, entry: &StoredEntry) -> CompactPhase {
        let found = ServingConfig::from_json(&entry.value);
        let found = found.map_or(Revision::default(), |config| config.revision);
        match found < self.config.revision {
            true => CompactPhase::WriteSnapshot(WriteCondition::Version(entry.version)),
            false => CompactPhase::Ended,
        }
    }

    fn raise(&self, entry: &StoredEntry) -> CompactPhase {
        let found = LogFloor::from_value(&entry.value).unwrap_or_default();
        match found.snapshot < self.config.revision {
            true => CompactPhase::WriteFloor(WriteCondition::Version(entry.version)),
            false => CompactPhase::Ended,
        }
    }

    fn choose(&self, page: Vec<StoredEntry>) -> CompactPhase {
        let deleted = self.floor().deleted;
        let below = |entry: &StoredEntry| {
            LogEntry::from_stored(entry).is_some_and(|entry| entry.revision <= deleted)
        };
        let entries: Vec<StoredEntry> = page.into_iter().filter(below).collect();
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
