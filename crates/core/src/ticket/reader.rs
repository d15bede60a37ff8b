//! Keeps a copy of the configuration up to date with the store. Its revision never decreases.

use std::collections::BTreeMap;

use crate::config::ServingConfig;
use crate::id::Revision;
use crate::ticket::log::{
    log_key, LogEntry, LogFloor, CONFIG_PREFIX, FLOOR_KEY, LOG_PREFIX, SNAPSHOT_KEY,
};
use crate::ticket::push::ConfigPush;
use crate::ticket::store::{StoreCall, StoreReply, StoreVersion, StoredEntry};
use crate::unit::{TimePoint, TimeSpan};

const PAGE_SIZE: usize = 32;
const WATCH_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);
const MAX_RECENT_ENTRIES: usize = 64;

/// The progress of a reader after a reply of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadProgress {
    /// More calls are needed before the configuration is confirmed.
    Partial,
    /// The configuration includes every ticket accepted before this time.
    Confirmed(TimePoint),
    /// The call failed or the log had a gap; the configuration is not confirmed.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadPhase {
    /// Reads the snapshot, since the log may no longer hold the next revision.
    ReadingSnapshot,
    /// Reads the log page by page.
    ListingLog,
    /// Reads the floor, to make sure that the listed entries are above it.
    CheckingFloor { listed_at: TimePoint },
    /// Long-polls for changes.
    Watching,
}

/// A copy of the configuration that is kept up to date from the store or from peers.
#[derive(Clone, Debug)]
pub struct ConfigReader {
    config: ServingConfig,
    phase: ReadPhase,
    /// The store's revision up to which changes are known.
    seen_version: StoreVersion,
    /// The newest revision that a snapshot in the store is known to have.
    snapshot_revision: Revision,
    /// Entries that were read and are not applied yet.
    pending: BTreeMap<Revision, LogEntry>,
    /// The last applied entries, which are pushed to peers that lack them.
    recent: BTreeMap<Revision, LogEntry>,
    refused_entries: u64,
}

impl ConfigReader {
    /// Starts from `config`, which may be empty.
    pub fn new(config: ServingConfig) -> Self {
        let phase = match config.revision {
            Revision(0) => ReadPhase::ReadingSnapshot,
            Revision(_) => ReadPhase::ListingLog,
        };
        Self {
            config,
            phase,
            seen_version: StoreVersion::default(),
            snapshot_revision: Revision::default(),
            pending: BTreeMap::new(),
            recent: BTreeMap::new(),
            refused_entries: 0,
        }
    }

    /// Returns the configuration as far as it has been read.
    pub fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// Returns how many log entries and snapshots could not be applied. Any value but 0 is an alarm.
    pub fn refused_entries(&self) -> u64 {
        self.refused_entries
    }

    /// Returns the newest revision that a snapshot in the store is known to have.
    pub fn snapshot_revision(&self) -> Revision {
        self.snapshot_revision
    }

    /// Restarts with a listing of the log, so that the next confirmation is later than now.
    pub fn refresh(&mut self) {
        self.phase = Self::new(self.config.clone()).phase;
        self.pending.clear();
    }

    /// Returns the next call to the store.
    pub fn next_call(&self) -> StoreCall {
        match self.phase {
            ReadPhase::ReadingSnapshot => StoreCall::Read { key: SNAPSHOT_KEY },
            ReadPhase::ListingLog => StoreCall::List {
                prefix: LOG_PREFIX,
                after: log_key(self.last_listed()),
                limit: PAGE_SIZE,
            },
            ReadPhase::CheckingFloor { .. } => StoreCall::Read { key: FLOOR_KEY },
            ReadPhase::Watching => StoreCall::Watch {
                prefix: CONFIG_PREFIX,
                since: self.seen_version,
                wait: WATCH_TIMEOUT,
            },
        }
    }

    /// Handles the reply to [`next_call`](Self::next_call), which was sent at `sent_at`.
    pub fn handle_reply(&mut self, reply: StoreReply, sent_at: TimePoint) -> ReadProgress {
        match (self.phase, reply) {
            (ReadPhase::ReadingSnapshot, StoreReply::Found(entry)) => self.handle_snapshot(&entry),
            (ReadPhase::ReadingSnapshot, StoreReply::Absent) => {
                self.enter_phase(ReadPhase::ListingLog)
            }
            (ReadPhase::ListingLog, StoreReply::Listed(page)) => self.handle_page(&page, sent_at),
            (ReadPhase::CheckingFloor { listed_at }, StoreReply::Found(entry)) => {
                let floor = LogFloor::from_value(&entry.value).unwrap_or_default();
                self.handle_floor(floor, listed_at)
            }
            (ReadPhase::CheckingFloor { listed_at }, StoreReply::Absent) => {
                self.handle_floor(LogFloor::default(), listed_at)
            }
            (ReadPhase::Watching, StoreReply::Watched { revision, entries }) => {
                self.handle_changes(revision, &entries, sent_at)
            }
            _ => ReadProgress::Failed,
        }
    }

    fn enter_phase(&mut self, phase: ReadPhase) -> ReadProgress {
        self.phase = phase;
        ReadProgress::Partial
    }

    fn last_listed(&self) -> Revision {
        let last = self.pending.last_key_value();
        last.map_or(self.config.revision, |(revision, _)| *revision)
    }

    fn handle_snapshot(&mut self, entry: &StoredEntry) -> ReadProgress {
        self.seen_version = self.seen_version.max(entry.version);
        self.apply_snapshot(entry);
        self.enter_phase(ReadPhase::ListingLog)
    }

    fn handle_page(&mut self, page: &[StoredEntry], sent_at: TimePoint) -> ReadProgress {
        for entry in page {
            self.seen_version = self.seen_version.max(entry.version);
            self.add_pending(entry);
        }
        if page.len() >= PAGE_SIZE {
            return ReadProgress::Partial;
        }
        self.enter_phase(ReadPhase::CheckingFloor { listed_at: sent_at })
    }

    /// Starts over with the snapshot if the configuration is below the floor.
    ///
    /// Entries below the floor can't be trusted: a delayed write may have created them.
    fn handle_floor(&mut self, floor: LogFloor, listed_at: TimePoint) -> ReadProgress {
        self.snapshot_revision = self.snapshot_revision.max(floor.snapshot);
        if floor.deleted > self.config.revision {
            self.pending.clear();
            return self.enter_phase(ReadPhase::ReadingSnapshot);
        }
        self.apply_pending(listed_at)
    }

    fn handle_changes(
        &mut self,
        revision: StoreVersion,
        entries: &[StoredEntry],
        sent_at: TimePoint,
    ) -> ReadProgress {
        for entry in entries.iter().filter(|entry| entry.key == SNAPSHOT_KEY) {
            self.apply_snapshot(entry);
        }
        let floor = entries.iter().find(|entry| entry.key == FLOOR_KEY);
        let floor = floor
            .and_then(|entry| LogFloor::from_value(&entry.value))
            .unwrap_or_default();
        for entry in entries {
            self.add_pending(entry);
        }
        self.seen_version = self.seen_version.max(revision);
        self.handle_floor(floor, sent_at)
    }

    /// Applies the pending entries in log order. A gap means that entries were missed, and the reader
    /// starts over with the snapshot.
    fn apply_pending(&mut self, confirmed_at: TimePoint) -> ReadProgress {
        while let Some((_, entry)) = self.pending.pop_first() {
            if entry.revision <= self.config.revision {
                continue;
            }
            if entry.revision != self.config.revision.next() {
                self.pending.clear();
                self.phase = ReadPhase::ReadingSnapshot;
                return ReadProgress::Failed;
            }
            self.apply_entry(entry);
        }
        self.phase = ReadPhase::Watching;
        ReadProgress::Confirmed(confirmed_at)
    }

    fn add_pending(&mut self, entry: &StoredEntry) {
        if let Some(entry) = LogEntry::from_stored(entry) {
            self.pending.insert(entry.revision, entry);
        }
    }

    fn apply_entry(&mut self, entry: LogEntry) {
        if self.config.apply_entry(&entry).is_err() {
            self.refused_entries += 1;
        }
        self.recent.insert(entry.revision, entry);
        while self.recent.len() > MAX_RECENT_ENTRIES {
            self.recent.pop_first();
        }
    }

    fn apply_snapshot(&mut self, entry: &StoredEntry) {
        let Ok(config) = ServingConfig::from_json(&entry.value) else {
            self.refused_entries += 1;
            return;
        };
        self.snapshot_revision = self.snapshot_revision.max(config.revision);
        self.replace_if_newer(config);
    }

    fn replace_if_newer(&mut self, config: ServingConfig) {
        if config.revision > self.config.revision {
            self.recent.clear();
            self.config = config;
        }
    }

    /// Returns what a peer at revision `known` lacks: the entries if all of them are among the recent
    /// ones, or else the whole configuration.
    pub fn push_since(&self, known: Revision) -> ConfigPush {
        let entries = self
            .recent
            .range(known.next()..)
            .map(|(_, entry)| entry.clone());
        let entries: Vec<LogEntry> = entries.collect();
        let first = entries.first().map(|entry| entry.revision);
        if known >= self.config.revision || first == Some(known.next()) {
            return ConfigPush::Entries(entries);
        }
        ConfigPush::Whole(Box::new(self.config.clone()))
    }

    /// Applies a push from a peer. Returns whether the revision increased.
    pub fn apply_push(&mut self, push: ConfigPush) -> bool {
        let before = self.config.revision;
        match push {
            ConfigPush::Whole(config) => self.replace_if_newer(*config),
            ConfigPush::Entries(entries) => {
                for entry in entries {
                    if entry.revision == self.config.revision.next() {
                        self.apply_entry(entry);
                    }
                }
            }
        }
        self.config.revision > before
    }
}
