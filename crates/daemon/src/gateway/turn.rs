//! Round-robin batches of a map, for gossip that does not fit one datagram.

use std::collections::BTreeMap;
use std::ops::Bound;

/// Returns the next entries of `map` after the key `last`, at most `most`, and moves `last` on.
pub(crate) fn next_turn<'a, K, V>(
    map: &'a BTreeMap<K, V>,
    last: &mut Option<K>,
    most: usize,
) -> Vec<(&'a K, &'a V)>
where
    K: Clone + Ord,
{
    let first = last.take().map_or(Bound::Unbounded, Bound::Excluded);
    let later = map.range((first, Bound::Unbounded));
    let batch: Vec<(&K, &V)> = later.chain(map.iter()).take(most.min(map.len())).collect();
    *last = batch.last().map(|(key, _)| (*key).clone());
    batch
}
