use std::collections::{BTreeMap, VecDeque};

use sha2::{Digest, Sha256};

use crate::id::BackendId;
use crate::memory::{BlockCount, BLOCK_TOKENS};
use crate::unit::TokenCount;

/// The maximum number of blocks indexed for one backend server; the oldest are dropped first.
pub const MAX_BLOCKS_PER_BACKEND: usize = 4_096;

/// The assumed length of a token of prompt text.
const BYTES_PER_TOKEN: usize = 4;
const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;

/// The hash of a block of a prompt and of all blocks before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockHash(pub u64);

/// The hashes of the full blocks of a prompt, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixHashes(Vec<BlockHash>);

impl PrefixHashes {
    /// Splits a prompt into blocks and hashes each together with the hash before it, as model
    /// engines do.
    pub fn of_prompt(prompt: &[u8]) -> Self {
        let mut parent = BlockHash(0);
        let hashes = prompt.chunks_exact(BLOCK_BYTES).map(|block| {
            parent = chain_hash(parent, block);
            parent
        });
        Self(hashes.collect())
    }

    /// Creates the list from hashes that are already computed.
    pub fn from_hashes(hashes: Vec<BlockHash>) -> Self {
        Self(hashes)
    }

    /// Returns the hashes in order.
    pub fn hashes(&self) -> &[BlockHash] {
        &self.0
    }
}

/// Hashes a block together with the hash of its parent.
///
/// Each part is prefixed with its length; the result is the first eight bytes of the digest.
fn chain_hash(parent: BlockHash, block: &[u8]) -> BlockHash {
    let mut hasher = Sha256::new();
    for part in [&parent.0.to_be_bytes(), block] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    BlockHash(u64::from_be_bytes(head))
}

/// A change of a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The blocks are now cached.
    Stored(Vec<BlockHash>),
    /// The blocks are no longer cached.
    Evicted(Vec<BlockHash>),
    /// The cache is empty.
    Cleared,
}

/// A change of a backend server's prefix cache with its sequence number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// The sequence number, one higher than that of the previous event, which makes lost events
    /// detectable.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

/// A backend server's number within the index, which keeps the holder lists small.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HolderSlot(u32);

#[derive(Clone, Debug)]
struct HolderRow {
    slot: HolderSlot,
    last_sequence: Option<u64>,
    blocks: VecDeque<BlockHash>,
}

/// An index of the prompt prefixes cached by each backend server, built from cache events.
///
/// Events arrive late and may be lost. After a gap in the sequence numbers, the blocks evicted
/// meanwhile are unknown, so all blocks of the backend server are dropped. A missing block costs
/// one prefill, whereas a stale one attracts requests to the wrong backend server.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    holders: BTreeMap<BlockHash, Vec<HolderSlot>>,
    rows: BTreeMap<BackendId, HolderRow>,
    backends_by_slot: BTreeMap<u32, BackendId>,
    last_slot: u32,
}

impl PrefixIndex {
    /// Applies an event; ignores one that was already applied.
    pub fn apply(&mut self, id: &BackendId, event: &CacheEvent) {
        let expected = self.row_mut(id).last_sequence.map(|last| last + 1);
        if expected.is_some_and(|next| event.sequence < next) {
            return;
        }
        if expected.is_some_and(|next| event.sequence > next) {
            self.clear_blocks(id);
        }
        self.row_mut(id).last_sequence = Some(event.sequence);
        match &event.change {
            CacheChange::Stored(blocks) => self.store(id, blocks),
            CacheChange::Evicted(blocks) => self.evict(id, blocks),
            CacheChange::Cleared => self.clear_blocks(id),
        }
    }

    /// Removes a backend server.
    pub fn remove(&mut self, id: &BackendId) {
        self.clear_blocks(id);
        if let Some(row) = self.rows.remove(id) {
            self.backends_by_slot.remove(&row.slot.0);
        }
    }

    /// Returns the number of tokens at the start of the prompt that `id` has cached.
    pub fn cached_tokens(&self, id: &BackendId, prefix: &PrefixHashes) -> TokenCount {
        let Some(row) = self.rows.get(id) else {
            return TokenCount::ZERO;
        };
        let held = |hash: &&BlockHash| {
            let slots = self.holders.get(hash);
            slots.is_some_and(|slots| slots.binary_search(&row.slot).is_ok())
        };
        let blocks = prefix.hashes().iter().take_while(held).count();
        BlockCount(blocks as u64).tokens()
    }

    /// Returns the backend servers that have the longest part of the prefix cached, at least one
    /// block.
    pub fn best_holders(&self, prefix: &PrefixHashes) -> Vec<&BackendId> {
        let mut best: Vec<HolderSlot> = Vec::new();
        for hash in prefix.hashes() {
            let Some(slots) = self.holders.get(hash) else {
                break;
            };
            if best.is_empty() {
                best.clone_from(slots);
                continue;
            }
            let longer = intersect(&best, slots);
            if longer.is_empty() {
                break;
            }
            best = longer;
        }
        best.iter()
            .filter_map(|slot| self.backends_by_slot.get(&slot.0))
            .collect()
    }

    /// Returns the number of blocks indexed for a backend server.
    pub fn block_count(&self, id: &BackendId) -> BlockCount {
        let row = self.rows.get(id);
        BlockCount(row.map_or(0, |row| row.blocks.len() as u64))
    }

    fn row_mut(&mut self, id: &BackendId) -> &mut HolderRow {
        if !self.rows.contains_key(id) {
            self.last_slot += 1;
            self.backends_by_slot.insert(self.last_slot, id.clone());
            let row = HolderRow {
                slot: HolderSlot(self.last_slot),
                last_sequence: None,
                blocks: VecDeque::new(),
            };
            self.rows.insert(id.clone(), row);
        }
        self.rows.get_mut(id).expect("the row was inserted above")
    }

    fn store(&mut self, id: &BackendId, blocks: &[BlockHash]) {
        for block in blocks {
            let slot = self.row_mut(id).slot;
            let slots = self.holders.entry(*block).or_default();
            let Err(index) = slots.binary_search(&slot) else {
                continue;
            };
            slots.insert(index, slot);
            let row = self.row_mut(id);
            row.blocks.push_back(*block);
            if row.blocks.len() <= MAX_BLOCKS_PER_BACKEND {
                continue;
            }
            if let Some(oldest) = row.blocks.pop_front() {
                self.remove_holder(oldest, slot);
            }
        }
    }

    fn evict(&mut self, id: &BackendId, blocks: &[BlockHash]) {
        let row = self.row_mut(id);
        let slot = row.slot;
        row.blocks.retain(|held| !blocks.contains(held));
        for block in blocks {
            self.remove_holder(*block, slot);
        }
    }

    fn clear_blocks(&mut self, id: &BackendId) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        let slot = row.slot;
        for block in std::mem::take(&mut row.blocks) {
            self.remove_holder(block, slot);
        }
    }

    fn remove_holder(&mut self, block: BlockHash, slot: HolderSlot) {
        let Some(slots) = self.holders.get_mut(&block) else {
            return;
        };
        slots.retain(|held| *held != slot);
        if slots.is_empty() {
            self.holders.remove(&block);
        }
    }
}

/// Returns the slots that are in both of two sorted lists.
fn intersect(left: &[HolderSlot], right: &[HolderSlot]) -> Vec<HolderSlot> {
    let mut rest = right.iter().peekable();
    let mut shared = Vec::with_capacity(left.len().min(right.len()));
    for slot in left {
        while rest.next_if(|other| *other < slot).is_some() {}
        if rest.peek() == Some(&slot) {
            shared.push(*slot);
        }
    }
    shared
}
