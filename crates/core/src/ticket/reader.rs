//! Keeps a copy of the configuration up with the store, forwards only.

use std::collections::BTreeMap;

use crate::config::ServingConfig;
use crate::id::Revision;
use crate::ticket::log::{
    log_key, LogEntry, LogFloor, CONFIG_PREFIX, FLOOR_KEY, LOG_PREFIX, SNAPSHOT_KEY,
};
use crate::ticket::push::ConfigPush;
use crate::ticket::store::{StoreCall, StoreReply, StoreVersion, StoredEntry};
use crate::unit::{TimePoint, TimeSpan};

const PAGE_ENTRIES: usize = 32;
const WATCH_WAIT: TimeSpan = TimeSpan::from_secs(1);
const RECENT_ENTRIES: usize = 64;

/// What an answer of the store brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadProgress {
    /// More calls are needed before the configuration is current.
    Partial,
    /// The configuration holds every ticket accepted before this time.
    Confirmed(TimePoint),
    /// The store did not answer.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadPhase {
    /// Takes the snapshot, since the log may start after this revision.
    Opening,
    /// Pages through the log.
    Listing,
    /// Reads the floor, to know that what was listed is the log's own.
    Closing { listed_at: TimePoint },
    /// Waits for changes.
    Watching,
}

/// A copy of the configuration that is built from the store or from peers.
#[derive(Clone, Debug)]
pub struct ConfigReader {
    config: ServingConfig,
    phase: ReadPhase,
    seen: StoreVersion,
    snapshot: Revision,
    pending: BTreeMap<Revision, LogEntry>,
    recent: BTreeMap<Revision, LogEntry>,
    refused_entries: u64,
}

impl ConfigReader {
    /// Starts from nothing, or from a copy that is known already.
    pub fn new(config: ServingConfig) -> Self {
        let phase = match config.revision {
            Revision(0) => ReadPhase::Opening,
            Revision(_) => ReadPhase::Listing,
        };
        Self {
            config,
            phase,
            seen: StoreVersion::default(),
            snapshot: Revision::default(),
            pending: BTreeMap::new(),
            recent: BTreeMap::new(),
            refused_entries: 0,
        }
    }

    /// Returns the configuration as far as it is known.
    pub fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// Returns how many entries of the log could not be applied; not 0 is an alarm.
    pub fn refused_entries(&self) -> u64 {
        self.refused_entries
    }

    /// Returns the newest revision that a snapshot is known of.
    pub fn snapshot_revision(&self) -> Revision {
        self.snapshot
    }

    /// Starts over with a listing, so that the next confirmation is newer than now.
    pub fn refresh(&mut self) {
        self.phase = Self::new(self.config.clone()).phase;
        self.pending.clear();
    }

    /// Returns the next call to make.
    pub fn next_call(&self) -> StoreCall {
        match self.phase {
            ReadPhase::Opening => StoreCall::Read { key: SNAPSHOT_KEY },
            ReadPhase::Listing => StoreCall::List {
                prefix: LOG_PREFIX,
                after: log_key(self.listed_up_to()),
                limit: PAGE_ENTRIES,
            },
            ReadPhase::Closing { .. } => StoreCall::Read { key: FLOOR_KEY },
            ReadPhase::Watching => StoreCall::Watch {
                prefix: CONFIG_PREFIX,
                since: self.seen,
                wait: WATCH_WAIT,
            },
        }
    }

    /// Takes the answer to [`next_call`](Self::next_call), which was sent at `asked_at`.
    pub fn handle_reply(&mut self, answer: StoreReply, asked_at: TimePoint) -> ReadProgress {
        match (self.phase, answer) {
            (ReadPhase::Opening, StoreReply::Found(entry)) => self.open(&entry),
            (ReadPhase::Opening, StoreReply::Absent) => self.go_on(ReadPhase::Listing),
            (ReadPhase::Listing, StoreReply::Listed(page)) => self.list(&page, asked_at),
            (ReadPhase::Closing { listed_at }, StoreReply::Found(entry)) => {
                let floor = LogFloor::from_value(&entry.value).unwrap_or_default();
                self.close(floor, listed_at)
            }
            (ReadPhase::Closing { listed_at }, StoreReply::Absent) => {
                self.close(LogFloor::default(), listed_at)
            }
            (ReadPhase::Watching, StoreReply::Watched { revision, entries }) => {
                self.watch(revision, &entries, asked_at)
            }
            _ => ReadProgress::Failed,
        }
    }

    fn go_on(&mut self, phase: ReadPhase) -> ReadProgress {
        self.phase = phase;
        ReadProgress::Partial
    }

    fn listed_up_to(&self) -> Revision {
        let last = self.pending.last_key_value();
        last.map_or(self.config.revision, |(revision, _)| *revision)
    }

    fn open(&mut self, entry: &StoredEntry) -> ReadProgress {
        self.seen = self.seen.max(entry.version);
        self.take_snapshot(entry);
        self.go_on(ReadPhase::Listing)
    }

    fn list(&mut self, page: &[StoredEntry], asked_at: TimePoint) -> ReadProgress {
        for entry in page {
            self.seen = self.seen.max(entry.version);
            self.hold(entry);
        }
        if page.len() >= PAGE_ENTRIES {
            return ReadProgress::Partial;
        }
        self.go_on(ReadPhase::Closing {
            listed_at: asked_at,
        })
    }

    /// Below the floor the log proves nothing: a write that came too late may stand there.
    fn close(&mut self, floor: LogFloor, listed_at: TimePoint) -> ReadProgress {
        self.snapshot = self.snapshot.max(floor.snapshot);
        if floor.deleted > self.config.revision {
            self.pending.clear();
            return self.go_on(ReadPhase::Opening);
        }
        self.settle(listed_at)
    }

    fn watch(
        &mut self,
        revision: StoreVersion,
        entries: &[StoredEntry],
        asked_at: TimePoint,
    ) -> ReadProgress {
        for entry in entries.iter().filter(|entry| entry.key == SNAPSHOT_KEY) {
            self.take_snapshot(entry);
        }
        let floor = entries.iter().find(|entry| entry.key == FLOOR_KEY);
        let floor = floor
            .and_then(|entry| LogFloor::from_value(&entry.value))
            .unwrap_or_default();
        for entry in entries {
            self.hold(entry);
        }
        self.seen = self.seen.max(revision);
        self.close(floor, asked_at)
    }

    /// Applies what is held, in the order of the log; a gap means that entries were missed.
    fn settle(&mut self, confirmed_at: TimePoint) -> ReadProgress {
        while let Some((_, entry)) = self.pending.pop_first() {
            if entry.revision <= self.config.revision {
                continue;
            }
            if entry.revision != self.config.revision.next() {
                self.pending.clear();
                self.phase = ReadPhase::Opening;
                return ReadProgress::Failed;
            }
            self.apply(entry);
        }
        self.phase = ReadPhase::Watching;
        ReadProgress::Confirmed(confirmed_at)
    }

    fn hold(&mut self, entry: &StoredEntry) {
        if let Some(entry) = LogEntry::from_stored(entry) {
            self.pending.insert(entry.revision, entry);
        }
    }

    fn apply(&mut self, entry: LogEntry) {
        if self.config.apply_entry(&entry).is_err() {
            self.refused_entries += 1;
        }
        self.recent.insert(entry.revision, entry);
        while self.recent.len() > RECENT_ENTRIES {
            self.recent.pop_first();
        }
    }

    fn take_snapshot(&mut self, entry: &StoredEntry) {
        let Ok(config) = ServingConfig::from_json(&entry.value) else {
            self.refused_entries += 1;
            return;
        };
        self.snapshot = self.snapshot.max(config.revision);
        self.take_whole(config);
    }

    fn take_whole(&mut self, config: ServingConfig) {
        if config.revision > self.config.revision {
            self.recent.clear();
            self.config = config;
        }
    }

    /// Returns what a peer at revision `known` lacks: the entries, if they are still at hand.
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

    /// Takes what a peer pushed; returns whether the configuration went forward.
    pub fn apply_push(&mut self, push: ConfigPush) -> bool {
        let before = self.config.revision;
        match push {
            ConfigPush::Whole(config) => self.take_whole(*config),
            ConfigPush::Entries(entries) => {
                for entry in entries {
                    if entry.revision == self.config.revision.next() {
                        self.apply(entry);
                    }
                }
            }
        }
        self.config.revision > before
    }
}
