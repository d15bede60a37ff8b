use std::cmp::Reverse;
use std::collections::BTreeSet;

use sha2::{Digest, Sha256};

use crate::id::{BackendId, InstanceId};

/// The backend servers that one entry keeps connections to.
///
/// Every entry would otherwise hear every backend server of its region. Ranks
/// come from a hash of both names, so entries need not agree on anything, each
/// backend server is kept by about as many entries as any other, and a change
/// of the list moves only few connections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendSubset(BTreeSet<BackendId>);

impl BackendSubset {
    /// Picks `size` of `backends` for the entry `instance`.
    pub fn pick<'a, I>(instance: &InstanceId, backends: I, size: usize) -> Self
    where
        I: IntoIterator<Item = &'a BackendId>,
    {
        let mut ranked: Vec<&BackendId> = backends.into_iter().collect();
        ranked.sort_by_cached_key(|backend| (Reverse(rank(instance, backend)), (*backend).clone()));
        ranked.truncate(size);
        Self(ranked.into_iter().cloned().collect())
    }

    /// Returns the backend servers of the subset.
    pub fn backends(&self) -> &BTreeSet<BackendId> {
        &self.0
    }
}

fn rank(instance: &InstanceId, backend: &BackendId) -> [u8; 8] {
    let mut hasher = Sha256::new();
    hasher.update(instance.as_str());
    hasher.update([0]);
    hasher.update(backend.as_str());
    let digest = hasher.finalize();
    let mut rank = [0; 8];
    rank.copy_from_slice(&digest[..8]);
    rank
}
