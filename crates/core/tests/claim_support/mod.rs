//! An in-memory key-value service with compare-and-swap.

use std::collections::BTreeMap;

use applefold_core::claim::store::{StoreCall, StoreEntry, StoreKey, StoreReply, StoreVersion};

/// The maximum size of a value that the platform accepts, in bytes.
pub(crate) const MAX_VALUE_BYTES: usize = 1_024 * 1_024;

#[derive(Default)]
pub(crate) struct FakeStore {
    pub(crate) entries: BTreeMap<StoreKey, StoreEntry>,
    revision: u64,
    pub(crate) writes: u64,
}

impl FakeStore {
    pub(crate) fn apply(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Put {
                key, value, expect, ..
            } => self.put(key, value, *expect),
            StoreCall::Get { key, .. } => match self.entries.get(key) {
                Some(entry) => StoreReply::Found(entry.clone()),
                None => StoreReply::Absent,
            },
            StoreCall::List {
                prefix,
                after,
                limit,
                ..
            } => {
                let entries = self.entries.values();
                let entries = entries
                    .filter(|e| e.key.as_str().starts_with(prefix.as_str()))
                    .filter(|e| after.as_ref().is_none_or(|after| e.key > *after));
                StoreReply::Listed(entries.take(*limit).cloned().collect())
            }
            StoreCall::Delete { key, expect, .. } => {
                if self.version(key) != *expect {
                    return StoreReply::Conflict(self.version(key));
                }
                self.entries.remove(key);
                self.revision += 1;
                self.writes += 1;
                StoreReply::Written(StoreVersion(self.revision))
            }
        }
    }

    fn version(&self, key: &StoreKey) -> StoreVersion {
        let entry = self.entries.get(key);
        entry.map_or(StoreVersion::ABSENT, |entry| entry.version)
    }

    fn put(&mut self, key: &StoreKey, value: &str, expect: StoreVersion) -> StoreReply {
        assert!(
            value.len() <= MAX_VALUE_BYTES,
            "value of {} bytes is too large",
            value.len()
        );
        if self.version(key) != expect {
            return StoreReply::Conflict(self.version(key));
        }
        self.revision += 1;
        self.writes += 1;
        let version = StoreVersion(self.revision);
        let entry = StoreEntry {
            key: key.clone(),
            value: value.to_owned(),
            version,
        };
        self.entries.insert(key.clone(), entry);
        StoreReply::Written(version)
    }
}
