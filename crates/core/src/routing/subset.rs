use std::collections::BTreeSet;

use crate::id::{BackendId, InstanceId};
use crate::rank::NameRank;

const RING: &str = "subset";

/// The backend servers that one entry keeps connections to.
///
/// Every entry would otherwise hear every backend server of its region. Backend
/// servers stand on a ring in the order of a hash, and each entry takes a
/// stretch of it, spaced evenly by its place among the entries. So each backend
/// server is kept by as many entries as any other, to within a few, and a change of either
/// list moves few connections; lists that differ for a while only make it less even.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendSubset(BTreeSet<BackendId>);

impl BackendSubset {
    /// Picks `size` of `backends` for the entry `instance` among the `entries` of a region.
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
        let place = entries.range(..instance.clone()).count();
        let first = place * ring.len() / entries.len().max(1);
        let stretch = ring.iter().cycle().skip(first).take(size.min(ring.len()));
        Self(stretch.map(|backend| (*backend).clone()).collect())
    }

    /// Returns the backend servers of the subset.
    pub fn backends(&self) -> &BTreeSet<BackendId> {
        &self.0
    }
}
