//! Typed calls to the platform's key-value service, and their replies.
//!
//! The state machines that store records ([`claim`](crate::claim),
//! [`order`](crate::order), [`usage`](crate::usage)) return [`StoreCall`]s and
//! handle [`StoreCompletion`]s; the daemon carries the calls out. A call whose
//! response is lost completes with [`StoreReply::Failed`], and may or may not
//! have taken effect; see [docs/design/claims.md](../../../../docs/design/claims.md).

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The number that matches a completion to its call.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CallNumber(pub u64);

impl CallNumber {
    /// Advances the counter and returns the number for the next call.
    pub(crate) fn advance(&mut self) -> Self {
        self.0 += 1;
        *self
    }
}

impl fmt::Display for CallNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for CallNumber {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A key of the platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreKey(SmolStr);

impl StoreKey {
    /// Creates a key from its text.
    pub fn new<T>(text: T) -> Self
    where
        T: AsRef<str>,
    {
        Self(SmolStr::new(text))
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for StoreKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for StoreKey {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self::new(text))
    }
}

/// The version of a stored value. Zero is the version of a key that does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreVersion(pub u64);

impl StoreVersion {
    /// The version of a key that does not exist.
    pub const ABSENT: Self = Self(0);
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StoreVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A stored value with its key and version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEntry {
    /// The key.
    pub key: StoreKey,
    /// The value.
    pub value: String,
    /// The version that a compare-and-swap must expect.
    pub version: StoreVersion,
}

/// One call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Writes `value` if the key still has the version `expect`.
    Put {
        /// Identifies the call in its completion.
        call: CallNumber,
        /// The key to write.
        key: StoreKey,
        /// The new value.
        value: String,
        /// The expected version; [`StoreVersion::ABSENT`] creates the key.
        expect: StoreVersion,
    },
    /// Reads one key.
    Get {
        /// Identifies the call in its completion.
        call: CallNumber,
        /// The key to read.
        key: StoreKey,
    },
    /// Reads the entries whose keys start with `prefix`, in key order, one page per call.
    List {
        /// Identifies the call in its completion.
        call: CallNumber,
        /// The common prefix of the keys.
        prefix: StoreKey,
        /// The last key of the previous page; `None` for the first page.
        after: Option<StoreKey>,
        /// The maximum number of entries to return.
        limit: usize,
    },
    /// Deletes a key if it still has the version `expect`.
    Delete {
        /// Identifies the call in its completion.
        call: CallNumber,
        /// The key to delete.
        key: StoreKey,
        /// The expected version.
        expect: StoreVersion,
    },
}

impl StoreCall {
    /// Returns the number that the completion must carry.
    pub const fn call(&self) -> CallNumber {
        match self {
            Self::Put { call, .. }
            | Self::Get { call, .. }
            | Self::List { call, .. }
            | Self::Delete { call, .. } => *call,
        }
    }
}

/// The reply to a call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The write or the deletion took effect.
    Written(StoreVersion),
    /// The key does not have the expected version but this one; nothing was changed.
    Conflict(StoreVersion),
    /// The key's value and version.
    Found(StoreEntry),
    /// The key does not exist.
    Absent,
    /// One page of a list.
    Listed(Vec<StoreEntry>),
    /// No response, a timeout or an error; a write may or may not have taken effect.
    Failed,
}

/// The completion of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCompletion {
    /// The number of the call.
    pub call: CallNumber,
    /// The reply.
    pub reply: StoreReply,
}
