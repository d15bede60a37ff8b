use std::collections::BTreeSet;

use crate::id::{BackendId, InstanceId};
use crate::rank;

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
        let chosen = rank::highest(instance.as_str(), backends, size);
        Self(chosen.into_iter().cloned().collect())
    }

    /// Returns the backend servers of the subset.
    pub fn backends(&self) -> &BTreeSet<BackendId> {
        &self.0
    }
}
