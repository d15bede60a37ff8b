//! How the configuration lies in the store: an append-only log, a snapshot and a floor.

use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::config::ServingConfig;
use crate::id::Revision;
use crate::ticket::refusal::TicketRefusal;
use crate::ticket::store::StoredEntry;
use crate::ticket::ChangeTicket;

/// What every key of the configuration starts with.
pub const CONFIG_PREFIX: SmolStr = SmolStr::new_static("config/");
/// What the keys of the log start with.
pub const LOG_PREFIX: SmolStr = SmolStr::new_static("config/log/");
/// The key of the snapshot.
pub const SNAPSHOT_KEY: SmolStr = SmolStr::new_static("config/snapshot");
/// The key of the floor.
pub const FLOOR_KEY: SmolStr = SmolStr::new_static("config/floor");

/// Returns the key of one revision; padded, so that the order of keys is that of revisions.
pub fn log_key(revision: Revision) -> SmolStr {
    format_smolstr!("{LOG_PREFIX}{:020}", revision.0)
}

/// One ticket at its position in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The position.
    pub revision: Revision,
    /// The ticket as [`ChangeTicket::to_json`] wrote it.
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

/// What may be missing from the log: [`log_key`] up to `deleted` may be gone, or be there again
/// by a write that came too late, so only the snapshot tells what they held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogFloor {
    /// The last revision that may be deleted.
    pub deleted: Revision,
    /// The revision of the snapshot, at least.
    pub snapshot: Revision,
}

impl LogFloor {
    pub(crate) fn from_value(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }
}

impl ServingConfig {
    /// Applies the log's next entry. One that is refused still takes its position, so that
    /// every process counts alike.
    pub(crate) fn apply_entry(&mut self, entry: &LogEntry) -> Result<(), TicketRefusal> {
        let applied = ChangeTicket::parse(&entry.ticket).and_then(|ticket| self.replay(&ticket));
        self.revision = entry.revision;
        applied.map(|_| ())
    }
}
