//! Where an entry that is behind gets the newer configuration: from the store, whole, or from other entries, in
//! parts.
//!
//! Links may be narrow, and many entries are behind at the same time. See
//! [docs/design/reading.md](../../../../docs/design/reading.md#large-configurations).

use std::collections::BTreeMap;

use crate::rank::NameRank;
use crate::unit::{ByteSize, TimePoint, TimeSpan};

/// A configuration up to this size is read from the store without asking for its parts. It takes 70 ms on the
/// narrowest links, of 10 Mbit/s.
const SMALL_CONFIG: ByteSize = ByteSize(64 << 10);
/// What a copy from the store takes for each byte of the configuration, in percent: Base64 adds a third.
const STORE_PERCENT: u64 = 134;
/// The size of the parts in one request to a holder that no other entry asks. It takes 50 ms on the narrowest links.
const MAX_BATCH: ByteSize = ByteSize(64 << 10);
/// For how long a holder that failed or was slow is asked only if there is no other.
const AVOID_TIME: TimeSpan = TimeSpan::from_secs(1);
/// A holder that takes longer for one request of parts is slow: its link or its processor is busy.
const SLOW_TIME: TimeSpan = TimeSpan::from_millis(300);

/// Where the newer configuration comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// The store.
    Store,
    /// Other entries.
    Peers,
}

/// What an entry that is behind knows when it chooses the source.
#[derive(Clone, Copy, Debug)]
pub struct SourceInputs {
    /// The live entries that have the newer configuration.
    pub holders: usize,
    /// The live entries that do not, this one included.
    pub lagging: usize,
    /// The size of the configuration, as far as it is known.
    pub size: ByteSize,
    /// The size of the parts that are not here; `None` if they are not known yet.
    pub missing: Option<ByteSize>,
    /// Whether the last call to the store failed and the next one is still to wait.
    pub store_failing: bool,
    /// The source from which this configuration could not be had last.
    pub failed: Option<ConfigSource>,
}

impl SourceInputs {
    /// Returns whether the parts that are missing should be asked for before the source is chosen.
    pub fn needs_parts(&self) -> bool {
        let from_store = self.size <= SMALL_CONFIG || self.failed == Some(ConfigSource::Peers);
        self.holders > 0 && self.missing.is_none() && (self.store_failing || !from_store)
    }

    /// Returns where to get the configuration. A source that has just failed is not chosen again while there is
    /// another; else the one that puts fewer bytes on the busiest link.
    pub fn choose(&self) -> ConfigSource {
        if self.holders == 0 {
            return ConfigSource::Store;
        }
        if self.store_failing {
            return ConfigSource::Peers;
        }
        match (self.failed, self.missing) {
            (Some(ConfigSource::Store), _) => ConfigSource::Peers,
            (Some(ConfigSource::Peers), _) | (None, None) => ConfigSource::Store,
            (None, Some(missing)) => {
                let shares = self.lagging.div_ceil(self.holders).max(1) as u64;
                let whole = self.size.0 * STORE_PERCENT / 100;
                match self.size > SMALL_CONFIG && missing.0 * shares <= whole {
                    true => ConfigSource::Peers,
                    false => ConfigSource::Store,
                }
            }
        }
    }
}

/// Returns the size of the parts that are asked for in one request. It is small while many entries share few
/// holders, so that each soon turns to those that have the configuration by then.
pub fn batch_size(holders: usize, lagging: usize) -> ByteSize {
    let shares = lagging.div_ceil(holders.max(1)).max(1) as u64;
    ByteSize(MAX_BATCH.0 / shares)
}

/// Which of the holders is asked next. `H` names a holder.
#[derive(Clone, Debug)]
pub struct HolderRotation<H> {
    avoided: BTreeMap<H, TimePoint>,
    asked: u64,
}

impl<H> Default for HolderRotation<H> {
    fn default() -> Self {
        Self {
            avoided: BTreeMap::new(),
            asked: 0,
        }
    }
}

impl<H> HolderRotation<H>
where
    H: Copy + Ord,
{
    /// Chooses a holder, each time another one by the entry's `seed`, so that entries do not all ask the same. One that
    /// failed or was slow lately is chosen only if there is no other.
    pub fn next(&mut self, holders: &[H], seed: NameRank, now: TimePoint) -> Option<H> {
        self.avoided.retain(|_, until| *until > now);
        let sound = holders.iter().filter(|one| !self.avoided.contains_key(one));
        let mut choice: Vec<H> = sound.copied().collect();
        if choice.is_empty() {
            choice = holders.to_vec();
        }
        self.asked += 1;
        let word = seed.combine(NameRank::from(self.asked)).value();
        let at = word.checked_rem(choice.len() as u64)?;
        choice.get(at as usize).copied()
    }

    /// Records how long a holder took; `None` if it failed.
    pub fn record(&mut self, holder: H, took: Option<TimeSpan>, now: TimePoint) {
        if took.is_none_or(|took| took > SLOW_TIME) {
            self.avoided.insert(holder, now + AVOID_TIME);
        }
    }
}
