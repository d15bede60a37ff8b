//! What the decisions about tickets ask of the platform's store, and what comes back.

use smol_str::SmolStr;

use crate::id::IdError;
use crate::unit::TimeSpan;

/// The store's revision at which a key was written last; 0 is before every write.
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
    /// Names the entry.
    pub key: SmolStr,
    /// What it holds.
    pub value: String,
    /// When it was written last.
    pub version: StoreVersion,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The key does not exist.
    Absent,
    /// The key was written last at this version.
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
    /// Reads keys in their order.
    List {
        /// What the keys start with.
        prefix: SmolStr,
        /// The key to go on after.
        after: SmolStr,
        /// The most entries to return.
        limit: usize,
    },
    /// Waits for changes.
    Watch {
        /// What the keys start with.
        prefix: SmolStr,
        /// Changes up to this version are known.
        since: StoreVersion,
        /// How long to wait for the first change.
        wait: TimeSpan,
    },
    /// Writes one key if the condition holds.
    Write {
        /// The key.
        key: SmolStr,
        /// Its new value.
        value: String,
        /// What must hold.
        condition: WriteCondition,
    },
    /// Deletes one key if it was written last at this version.
    Delete {
        /// The key.
        key: SmolStr,
        /// The version that was read.
        version: StoreVersion,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The key is there.
    Found(StoredEntry),
    /// The key is not there.
    Absent,
    /// The entries listed.
    Listed(Vec<StoredEntry>),
    /// The entries that changed, all of them seen at one revision of the store.
    Watched {
        /// The store's revision when it looked.
        revision: StoreVersion,
        /// What changed.
        entries: Vec<StoredEntry>,
    },
    /// The write or the delete took effect.
    Done,
    /// The condition did not hold; nothing changed.
    Conflict,
    /// The call surely had no effect: it was refused, or never sent.
    Unavailable,
    /// No answer came; a write may have taken effect or may yet do so.
    NoResponse,
}
