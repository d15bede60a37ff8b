use std::collections::BTreeSet;

use crate::id::{BackendId, InstanceId};
use crate::rank::NameRank;

/// The key under which the ring ranks backend servers.
const RING: &str = "subset";

/// The subset of backend servers that one entry keeps connections to.
///
/// Without subsetting, every entry would be connected to every backend server of its region.
/// Backend servers are sorted by hash into a ring, and each entry takes a contiguous range of it;
/// the ranges start at even distances in the order of the entries. The number of entries that use
/// a backend server is therefore the same for all to within a few, and a change of either list
/// moves few connections. Lists that differ between entries for a while only reduce the balance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendSubset(BTreeSet<BackendId>);

impl BackendSubset {
    /// Selects `size` of `backends` for the entry `instance`, one of the `entries` of a region.
    pub fn pick<'a, I>(
        instance: &InstanceId,
        entries: &BTreeSet<InstanceId>,
        backends: I,
        size: usize,
    ) -> Self
    where
        I: IntoIterator<Item = &'a BackendId>,
    {
        let mut ring: Vec<&BackendId> = backends.into_iter().collect();
        ring.sort_by_cached_key(|backend| (NameRank::of(RING, backend.as_str()), *backend));
        let position = entries.range(..instance.clone()).count();
        let first = position * ring.len() / entries.len().max(1);
        let selected = ring.iter().cycle().skip(first).take(size.min(ring.len()));
        Self(selected.map(|backend| (*backend).clone()).collect())
    }

    /// Returns the backend servers of the subset.
    pub fn backends(&self) -> &BTreeSet<BackendId> {
        &self.0
    }
}
