//! Rendezvous hashing: which of several nodes are responsible for a key, without coordination.
//!
//! Every process that has the same list of names computes the same ranks. When names are added or
//! removed, only the keys that belong to these names move.

use std::collections::BTreeSet;

use sha2::{Digest, Sha256};

/// The rendezvous hash of a name for a key; the highest rank comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NameRank(u64);

impl NameRank {
    /// Returns the rank of `name` for `key`.
    pub fn of(key: &str, name: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(key);
        hash.update([0]);
        hash.update(name);
        let digest = hash.finalize();
        let mut word = [0; 8];
        word.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(word))
    }

    /// Returns the rank of a name for a key from a hash of each, computed once.
    ///
    /// Many choices rank the same few names, and a digest for each pair would cost more than
    /// the rest of the choice.
    pub const fn combine(self, key: Self) -> Self {
        // The finalizer of SplitMix64.
        let mut word = self.0 ^ key.0.rotate_left(32);
        word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        Self(word ^ (word >> 31))
    }

    /// Returns the rank as a uniformly distributed number.
    pub const fn value(self) -> u64 {
        self.0
    }
}

impl From<u64> for NameRank {
    /// Creates the rank of a number, to combine it with that of a name.
    fn from(number: u64) -> Self {
        Self(number)
    }
}

/// Returns the `count` highest ranked of `names` for `key`.
pub fn highest<'a, N, I>(key: &str, names: I, count: usize) -> BTreeSet<&'a N>
where
    N: AsRef<str> + Ord + 'a,
    I: IntoIterator<Item = &'a N>,
{
    let mut ranked: Vec<&N> = names.into_iter().collect();
    ranked.sort_by_cached_key(|name| (std::cmp::Reverse(NameRank::of(key, name.as_ref())), *name));
    ranked.truncate(count);
    ranked.into_iter().collect()
}
