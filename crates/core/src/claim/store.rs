//! Calls to the platform's key-value service, as typed actions and replies.
//!
//! The machines that keep records ([`claim`](crate::claim),
//! [`order`](crate::order), [`usage`](crate::usage)) return [`StoreCall`]s and
//! take [`StoreCompletion`]s; the daemon carries them out. A call whose answer is
//! lost comes back as [`StoreReply::Failed`], which says nothing about whether
//! it took effect; see [docs/design/claims.md](../../../../docs/design/claims.md).

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The number by which an answer finds the call it belongs to.
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
    /// Makes a key of its text.
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

/// The version of a stored value; zero stands for a key that does not exist.
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
    /// Where the value is stored.
    pub key: StoreKey,
    /// The value.
    pub value: String,
    /// The version that a compare-and-swap has to expect.
    pub version: StoreVersion,
}

/// One call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Writes `value` if the key still has the version `expect`.
    Put {
        /// Finds the answer's place.
        call: CallNumber,
        /// The key to write.
        key: StoreKey,
        /// The whole new value.
        value: String,
        /// The version to compare with; [`StoreVersion::ABSENT`] creates.
        expect: StoreVersion,
    },
    /// Reads one key.
    Get {
        /// Finds the answer's place.
        call: CallNumber,
        /// The key to read.
        key: StoreKey,
    },
    /// Reads the keys that start with `prefix`, in order, a page at a time.
    List {
        /// Finds the answer's place.
        call: CallNumber,
        /// What the keys start with.
        prefix: StoreKey,
        /// The last key of the page before.
        after: Option<StoreKey>,
        /// The most entries to return.
        limit: usize,
    },
    /// Deletes a key if it still has the version `expect`.
    Delete {
        /// Finds the answer's place.
        call: CallNumber,
        /// The key to delete.
        key: StoreKey,
        /// The version to compare with.
        expect: StoreVersion,
    },
}

impl StoreCall {
    /// Returns the number that the answer has to carry.
    pub const fn call(&self) -> CallNumber {
        match self {
            Self::Put { call, .. }
            | Self::Get { call, .. }
            | Self::List { call, .. }
            | Self::Delete { call, .. } => *call,
        }
    }
}

/// What came of a call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The write or the deletion took effect.
    Written(StoreVersion),
    /// The key has another version than expected; nothing was changed.
    Conflict(StoreVersion),
    /// The key's value.
    Found(StoreEntry),
    /// The key does not exist.
    Absent,
    /// One page of a list.
    Listed(Vec<StoreEntry>),
    /// No answer, a timeout or an error: a write may or may not have taken effect.
    Failed,
}

/// The answer to one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCompletion {
    /// The call that it answers.
    pub call: CallNumber,
    /// What came of it.
    pub reply: StoreReply,
}
