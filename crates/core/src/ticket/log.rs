//! How the store holds the configuration: an append-only log, a snapshot and the log's floor.

use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::config::ServingConfig;
use crate::id::Revision;
use crate::ticket::refusal::TicketRefusal;
use crate::ticket::store::StoredEntry;
use crate::ticket::ChangeTicket;

/// The prefix of every key of the configuration.
pub const CONFIG_PREFIX: SmolStr = SmolStr::new_static("config/");
/// The prefix of the log's keys.
pub const LOG_PREFIX: SmolStr = SmolStr::new_static("config/log/");
/// The key of the snapshot.
pub const SNAPSHOT_KEY: SmolStr = SmolStr::new_static("config/snapshot");
/// The key of the log's floor.
pub const FLOOR_KEY: SmolStr = SmolStr::new_static("config/floor");

/// Returns the log key of a revision, zero-padded so that keys sort by revision.
pub fn log_key(revision: Revision) -> SmolStr {
    format_smolstr!("{LOG_PREFIX}{:020}", revision.0)
}

/// A log entry: one ticket and its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The position in the log.
    pub revision: Revision,
    /// The ticket in JSON, as serialized by [`ChangeTicket::to_json`].
    pub ticket: SmolStr,
}

impl LogEntry {
    pub(crate) fn from_stored(entry: &StoredEntry) -> Option<Self> {
        let digits = entry.key.strip_prefix(LOG_PREFIX.as_str())?;
        Some(Self {
            revision: digits.parse().ok()?,
            ticket: SmolStr::new(&entry.value),
        })
    }
}

/// The low-water mark of the log.
///
/// Log keys up to `deleted` may have been deleted, and a delayed write may have recreated one since.
/// Only the snapshot is authoritative for these revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogFloor {
    /// The last revision whose log entry may be deleted.
    pub deleted: Revision,
    /// The stored snapshot has at least this revision.
    pub snapshot: Revision,
}

impl LogFloor {
    pub(crate) fn from_value(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }
}

impl ServingConfig {
    /// Applies the next log entry. A refused entry still advances the revision, so that all
    /// processes agree on revisions.
    pub(crate) fn apply_entry(&mut self, entry: &LogEntry) -> Result<(), TicketRefusal> {
        let applied = ChangeTicket::parse(&entry.ticket).and_then(|ticket| self.replay(&ticket));
        self.revision = entry.revision;
        applied.map(|_| ())
    }
}
