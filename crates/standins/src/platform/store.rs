//! Keys with versions: compare-and-swap, prefixes and what has changed.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};

/// The largest value that is kept.
pub(crate) const MAX_VALUE_BYTES: usize = 1 << 20;

/// A key as the platform shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// The store's revision when it was written.
    pub version: u64,
}

/// A write of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyWrite {
    /// The new value.
    pub value: String,
    /// 0 creates, another number compares, `None` overwrites.
    pub expect: Option<u64>,
}

/// The refusal of a write whose expected version is not the current one.
#[derive(Debug, Serialize)]
pub(crate) struct VersionConflict {
    /// The current version; 0 where the key does not exist.
    pub(crate) version: u64,
}

struct StoredValue {
    value: String,
    version: u64,
}

/// All keys, under one revision counter.
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
        Some(entry(key, stored))
    }

    pub(crate) fn put(&mut self, key: &str, write: KeyWrite) -> Result<u64, VersionConflict> {
        self.check(key, write.expect)?;
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
        self.check(key, expect)?;
        if self.values.remove(key).is_some() {
            self.revision += 1;
            self.deleted.insert(key.to_owned(), self.revision);
        }
        Ok(self.revision)
    }

    /// Lists the keys under `prefix` that come after `after`.
    pub(crate) fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<KeyEntry> {
        let start = match after > prefix {
            true => Bound::Excluded(after),
            false => Bound::Included(prefix),
        };
        let rows = self.values.range::<str, _>((start, Bound::Unbounded));
        let rows = rows.take_while(|(key, _)| key.starts_with(prefix));
        rows.take(limit)
            .map(|(key, stored)| entry(key, stored))
            .collect()
    }

    /// Lists the keys under `prefix` written after revision `since`.
    pub(crate) fn changed(&self, prefix: &str, since: u64) -> Vec<KeyEntry> {
        let rows = self.list(prefix, "", usize::MAX);
        rows.into_iter().filter(|row| row.version > since).collect()
    }

    /// Returns whether a key under `prefix` was deleted after revision `since`.
    pub(crate) fn deleted_since(&self, prefix: &str, since: u64) -> bool {
        let rows = self
            .deleted
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        let mut rows = rows.take_while(|(key, _)| key.starts_with(prefix));
        rows.any(|(_, version)| *version > since)
    }

    fn check(&self, key: &str, expect: Option<u64>) -> Result<(), VersionConflict> {
        let version = self.values.get(key).map_or(0, |stored| stored.version);
        match expect {
            Some(expected) if expected != version => Err(VersionConflict { version }),
            _ => Ok(()),
        }
    }
}

fn entry(key: &str, stored: &StoredValue) -> KeyEntry {
    KeyEntry {
        key: key.to_owned(),
        value: stored.value.clone(),
        version: stored.version,
    }
}
