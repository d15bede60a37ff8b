//! An in-memory store with the semantics that the platform guarantees.

use std::collections::BTreeMap;

use applefold_core::ticket::{StoreCall, StoreReply, StoreVersion, StoredEntry, WriteCondition};
use smol_str::SmolStr;

#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryStore {
    entries: BTreeMap<SmolStr, StoredEntry>,
    revision: StoreVersion,
}

impl MemoryStore {
    pub(crate) fn call(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Read { key } => {
                let entry = self.entries.get(key).cloned();
                entry.map_or(StoreReply::Absent, StoreReply::Found)
            }
            StoreCall::List {
                prefix,
                after,
                limit,
            } => {
                let entries = self.entries.values();
                let listed = entries.filter(|row| row.key.starts_with(prefix.as_str()));
                let listed = listed.filter(|row| row.key > *after).take(*limit);
                StoreReply::Listed(listed.cloned().collect())
            }
            StoreCall::Watch { prefix, since, .. } => {
                let entries = self.entries.values();
                let changed = entries.filter(|row| row.key.starts_with(prefix.as_str()));
                let changed = changed.filter(|row| row.version > *since);
                StoreReply::Watched {
                    revision: self.revision,
                    entries: changed.cloned().collect(),
                }
            }
            StoreCall::Write {
                key,
                value,
                condition,
            } => self.write(key, value, *condition),
            StoreCall::Delete { key, version } => match self.entries.get(key) {
                Some(row) if row.version == *version => {
                    self.revision.0 += 1;
                    self.entries.remove(key);
                    StoreReply::Done
                }
                _ => StoreReply::Conflict,
            },
        }
    }

    fn write(&mut self, key: &SmolStr, value: &str, condition: WriteCondition) -> StoreReply {
        let found = self.entries.get(key).map(|row| row.version);
        let holds = match condition {
            WriteCondition::Absent => found.is_none(),
            WriteCondition::Version(version) => found == Some(version),
        };
        if !holds {
            return StoreReply::Conflict;
        }
        self.put(key, value);
        StoreReply::Done
    }

    /// Writes without checking a condition, as a naive writer does.
    pub(crate) fn put(&mut self, key: &SmolStr, value: &str) {
        self.revision.0 += 1;
        let entry = StoredEntry {
            key: key.clone(),
            value: value.to_owned(),
            version: self.revision,
        };
        self.entries.insert(key.clone(), entry);
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}

/// Returns whether the call changes the store.
pub(crate) fn changes(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Write { .. } | StoreCall::Delete { .. })
}
