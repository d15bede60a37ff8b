//! Versioned key-value store with compare-and-swap, prefix lists and change queries.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};

/// Largest accepted value, in bytes.
pub(crate) const MAX_VALUE_BYTES: usize = 1 << 20;

/// A key with its value and version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// Full name of the key.
    pub key: String,
    /// Value of the key.
    pub value: String,
    /// Revision of the store at which the key was written.
    pub version: u64,
}

/// A write of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyWrite {
    /// The new value.
    pub value: String,
    /// Version that the key must have: 0 if it must not exist. `None` writes
    /// unconditionally.
    pub expect: Option<u64>,
}

/// Error returned when the expected version of a write is not the current one.
#[derive(Debug, Serialize)]
pub(crate) struct VersionConflict {
    /// Current version; 0 if the key does not exist.
    pub(crate) version: u64,
}

struct StoredValue {
    value: String,
    version: u64,
}

/// All keys, with one revision counter for the store.
#[derive(Default)]
pub(crate) struct KeyStore {
    revision: u64,
    values: BTreeMap<String, StoredValue>,
    deleted: BTreeMap<String, u64>,
}

impl KeyStore {
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn get(&self, key: &str) -> Option<KeyEntry> {
        let stored = self.values.get(key)?;
        Some(key_entry(key, stored))
    }

    pub(crate) fn put(&mut self, key: &str, write: KeyWrite) -> Result<u64, VersionConflict> {
        self.check_version(key, write.expect)?;
        self.revision += 1;
        let stored = StoredValue {
            value: write.value,
            version: self.revision,
        };
        self.values.insert(key.to_owned(), stored);
        self.deleted.remove(key);
        Ok(self.revision)
    }

    pub(crate) fn delete(
        &mut self,
        key: &str,
        expect: Option<u64>,
    ) -> Result<u64, VersionConflict> {
        self.check_version(key, expect)?;
        if self.values.remove(key).is_some() {
            self.revision += 1;
            self.deleted.insert(key.to_owned(), self.revision);
        }
        Ok(self.revision)
    }

    /// Returns at most `limit` keys with `prefix` that sort after `after`.
    pub(crate) fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<KeyEntry> {
        let start = match after > prefix {
            true => Bound::Excluded(after),
            false => Bound::Included(prefix),
        };
        let entries = self.values.range::<str, _>((start, Bound::Unbounded));
        let entries = entries.take_while(|(key, _)| key.starts_with(prefix));
        entries
            .take(limit)
            .map(|(key, stored)| key_entry(key, stored))
            .collect()
    }

    /// Returns the keys with `prefix` that were written after revision `since`.
    pub(crate) fn changed_since(&self, prefix: &str, since: u64) -> Vec<KeyEntry> {
        let entries = self.list(prefix, "", usize::MAX);
        entries
            .into_iter()
            .filter(|entry| entry.version > since)
            .collect()
    }

    /// Returns whether a key with `prefix` was deleted after revision `since`.
    pub(crate) fn deleted_since(&self, prefix: &str, since: u64) -> bool {
        let entries = self
            .deleted
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        let mut entries = entries.take_while(|(key, _)| key.starts_with(prefix));
        entries.any(|(_, version)| *version > since)
    }

    fn check_version(&self, key: &str, expect: Option<u64>) -> Result<(), VersionConflict> {
        let version = self.values.get(key).map_or(0, |stored| stored.version);
        match expect {
            Some(expected) if expected != version => Err(VersionConflict { version }),
            _ => Ok(()),
        }
    }
}

fn key_entry(key: &str, stored: &StoredValue) -> KeyEntry {
    KeyEntry {
        key: key.to_owned(),
        value: stored.value.clone(),
        version: stored.version,
    }
}
