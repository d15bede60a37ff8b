use std::collections::{BTreeMap, VecDeque};

use sha2::{Digest, Sha256};

use crate::id::BackendId;
use crate::memory::{BlockCount, BLOCK_TOKENS};
use crate::unit::TokenCount;

/// The most pieces remembered for one backend server; the oldest go first.
pub const MAX_BLOCKS_PER_BACKEND: usize = 4_096;

const BYTES_PER_TOKEN: usize = 4;
const PIECE_BYTES: usize = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
/// The hash of a piece of a prompt and of every piece before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockHash(pub u64);

/// The hashes of the whole pieces at the start of a prompt, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixHashes(Vec<BlockHash>);

impl PrefixHashes {
    /// Cuts a prompt into pieces and hashes each with the hash before it, as model engines do.
    pub fn of_prompt(prompt: &[u8]) -> Self {
        let mut before = BlockHash(0);
        let pieces = prompt.chunks_exact(PIECE_BYTES).map(|piece| {
            before = chain_hash(before, piece);
            before
        });
        Self(pieces.collect())
    }

    /// Takes hashes that were computed elsewhere.
    pub fn from_hashes(hashes: Vec<BlockHash>) -> Self {
        Self(hashes)
    }

    /// Returns the hashes in order.
    pub fn hashes(&self) -> &[BlockHash] {
        &self.0
    }
}

/// Each part is hashed after its length, and the first eight bytes of the digest count.
fn chain_hash(before: BlockHash, piece: &[u8]) -> BlockHash {
    let mut hasher = Sha256::new();
    for part in [&before.0.to_be_bytes(), piece] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    BlockHash(u64::from_be_bytes(head))
}

/// What a cache event says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// These pieces are now cached.
    Stored(Vec<BlockHash>),
    /// These pieces are no longer cached.
    Evicted(Vec<BlockHash>),
    /// Nothing is cached any more.
    Cleared,
}

/// A numbered change of a backend server's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Its number; each follows the last by one, so that a gap shows.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

/// A short number for a backend server inside the index, to keep rows small.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HolderSlot(u32);

#[derive(Clone, Debug)]
struct HolderRow {
    slot: HolderSlot,
    last_sequence: Option<u64>,
    pieces: VecDeque<BlockHash>,
}

/// Which backend servers hold which prefixes, as far as cache events tell.
///
/// Events come late and with gaps. What a gap may have taken away cannot be
/// known, so a gap forgets the backend server's pieces: a forgotten piece costs
/// a prefill, a wrongly remembered one draws requests to the wrong place.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    holders: BTreeMap<BlockHash, Vec<HolderSlot>>,
    rows: BTreeMap<BackendId, HolderRow>,
    names: BTreeMap<u32, BackendId>,
    last_slot: u32,
}

impl PrefixIndex {
    /// Takes in an event; one that was seen before is dropped.
    pub fn apply(&mut self, id: &BackendId, event: &CacheEvent) {
        let expected = self.row_of(id).last_sequence.map(|last| last + 1);
        if expected.is_some_and(|next| event.sequence < next) {
            return;
        }
        if expected.is_some_and(|next| event.sequence > next) {
            self.forget(id);
        }
        self.row_of(id).last_sequence = Some(event.sequence);
        match &event.change {
            CacheChange::Stored(pieces) => self.store(id, pieces),
            CacheChange::Evicted(pieces) => self.evict(id, pieces),
            CacheChange::Cleared => self.forget(id),
        }
    }

    /// Forgets a backend server.
    pub fn remove(&mut self, id: &BackendId) {
        self.forget(id);
        if let Some(row) = self.rows.remove(id) {
            self.names.remove(&row.slot.0);
        }
    }

    /// Returns the tokens at the start of the prompt that `id` holds.
    pub fn cached_tokens(&self, id: &BackendId, chain: &PrefixHashes) -> TokenCount {
        let Some(row) = self.rows.get(id) else {
            return TokenCount::ZERO;
        };
        let held = |hash: &&BlockHash| {
            let slots = self.holders.get(hash);
            slots.is_some_and(|slots| slots.binary_search(&row.slot).is_ok())
        };
        let pieces = chain.hashes().iter().take_while(held).count();
        BlockCount(pieces as u64).tokens()
    }

    /// Returns the backend servers that hold the longest prefix, at least one piece long.
    pub fn best_holders(&self, chain: &PrefixHashes) -> Vec<&BackendId> {
        let mut best: Vec<HolderSlot> = Vec::new();
        for hash in chain.hashes() {
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
            .filter_map(|slot| self.names.get(&slot.0))
            .collect()
    }

    /// Returns the number of pieces remembered for a backend server.
    pub fn block_count(&self, id: &BackendId) -> BlockCount {
        let row = self.rows.get(id);
        BlockCount(row.map_or(0, |row| row.pieces.len() as u64))
    }

    fn row_of(&mut self, id: &BackendId) -> &mut HolderRow {
        if !self.rows.contains_key(id) {
            self.last_slot += 1;
            self.names.insert(self.last_slot, id.clone());
            let row = HolderRow {
                slot: HolderSlot(self.last_slot),
                last_sequence: None,
                pieces: VecDeque::new(),
            };
            self.rows.insert(id.clone(), row);
        }
        self.rows.get_mut(id).expect("the row was inserted above")
    }

    fn store(&mut self, id: &BackendId, pieces: &[BlockHash]) {
        for piece in pieces {
            let slot = self.row_of(id).slot;
            let slots = self.holders.entry(*piece).or_default();
            let Err(place) = slots.binary_search(&slot) else {
                continue;
            };
            slots.insert(place, slot);
            let row = self.row_of(id);
            row.pieces.push_back(*piece);
            if row.pieces.len() <= MAX_BLOCKS_PER_BACKEND {
                continue;
            }
            if let Some(oldest) = row.pieces.pop_front() {
                self.release(oldest, slot);
            }
        }
    }

    fn evict(&mut self, id: &BackendId, pieces: &[BlockHash]) {
        let row = self.row_of(id);
        let slot = row.slot;
        row.pieces.retain(|held| !pieces.contains(held));
        for piece in pieces {
            self.release(*piece, slot);
        }
    }

    fn forget(&mut self, id: &BackendId) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        let slot = row.slot;
        for piece in std::mem::take(&mut row.pieces) {
            self.release(piece, slot);
        }
    }

    fn release(&mut self, piece: BlockHash, slot: HolderSlot) {
        let Some(slots) = self.holders.get_mut(&piece) else {
            return;
        };
        slots.retain(|held| *held != slot);
        if slots.is_empty() {
            self.holders.remove(&piece);
        }
    }
}

/// Both lists are sorted, so one pass over both finds what they share.
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
