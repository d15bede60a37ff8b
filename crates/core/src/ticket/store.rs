//! The calls to the platform's store for the configuration, and their replies.

use smol_str::SmolStr;

use crate::id::IdError;
use crate::unit::TimeSpan;

/// The store's revision at which a key was last written; 0 precedes every write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreVersion(pub u64);

impl std::fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for StoreVersion {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        text.parse().map(Self).map_err(|_| IdError::NotNumber)
    }
}

/// A key of the store with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// The key.
    pub key: SmolStr,
    /// The value.
    pub value: String,
    /// The store's revision at which the key was last written.
    pub version: StoreVersion,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The key does not exist.
    Absent,
    /// The key was last written at this version.
    Version(StoreVersion),
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads one key.
    Read {
        /// The key.
        key: SmolStr,
    },
    /// Reads a page of entries in key order.
    List {
        /// The prefix of the keys.
        prefix: SmolStr,
        /// The page starts after this key.
        after: SmolStr,
        /// The maximum number of entries to return.
        limit: usize,
    },
    /// Long-polls for changes.
    Watch {
        /// The prefix of the keys.
        prefix: SmolStr,
        /// Only changes after this version are returned.
        since: StoreVersion,
        /// The maximum wait for the first change.
        wait: TimeSpan,
    },
    /// Writes one key if the condition holds.
    Write {
        /// The key.
        key: SmolStr,
        /// Its new value.
        value: String,
        /// The precondition.
        condition: WriteCondition,
    },
    /// Deletes one key if it was last written at `version`.
    Delete {
        /// The key.
        key: SmolStr,
        /// The version that was read.
        version: StoreVersion,
    },
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The entry of the key.
    Found(StoredEntry),
    /// The key does not exist.
    Absent,
    /// A page of entries.
    Listed(Vec<StoredEntry>),
    /// The entries that changed, read at one revision of the store.
    Watched {
        /// The store's revision of the read.
        revision: StoreVersion,
        /// The changed entries.
        entries: Vec<StoredEntry>,
    },
    /// The write or the delete took effect.
    Done,
    /// The precondition did not hold, so the call had no effect.
    Conflict,
    /// The call had no effect: it was refused or never sent.
    Unavailable,
    /// No reply arrived. A write may have taken effect, or may still do so later.
    NoResponse,
}
