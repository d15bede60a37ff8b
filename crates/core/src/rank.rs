//! Rendezvous ranks: who of many is responsible for something, without a vote.
//!
//! Every process that knows the same names comes to the same order, and a
//! change of the names moves only what belonged to the changed ones.

use std::collections::BTreeSet;

use sha2::{Digest, Sha256};

/// A place in the order for one thing; the highest rank comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NameRank(u64);

impl NameRank {
    /// Ranks `name` for `thing`.
    pub fn of(thing: &str, name: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(thing);
        hash.update([0]);
        hash.update(name);
        let digest = hash.finalize();
        let mut word = [0; 8];
        word.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(word))
    }

    /// Ranks a name for a thing from what was computed of each of them once.
    ///
    /// Many choices rank the same few names, and a digest for each pair would cost more than
    /// the rest of the choice.
    pub const fn combine(self, thing: Self) -> Self {
        // The finalizer of SplitMix64.
        let mut word = self.0 ^ thing.0.rotate_left(32);
        word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        Self(word ^ (word >> 31))
    }

    /// Returns the rank as an evenly spread number.
    pub const fn value(self) -> u64 {
        self.0
    }
}

/// Returns the `count` highest ranked of `names` for `thing`.
pub fn highest<'a, N, I>(thing: &str, names: I, count: usize) -> BTreeSet<&'a N>
where
    N: AsRef<str> + Ord + 'a,
    I: IntoIterator<Item = &'a N>,
{
    let mut ranked: Vec<&N> = names.into_iter().collect();
    ranked
        .sort_by_cached_key(|name| (std::cmp::Reverse(NameRank::of(thing, name.as_ref())), *name));
    ranked.truncate(count);
    ranked.into_iter().collect()
}
