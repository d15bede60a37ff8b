//! The prefix cache: blocks of prompts with LRU eviction, and the event log of its changes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::chat::TOKEN_BYTES;
use super::generation::{hash, PromptHash};

/// Number of tokens in a block.
pub const BLOCK_TOKENS: u64 = 1_024;
/// Bytes of prompt text in a block.
const BLOCK_BYTES: usize = (BLOCK_TOKENS * TOKEN_BYTES) as usize;
/// Number of events retained in the log; older ones are dropped.
const MAX_EVENTS: usize = 20_000;

/// Hash of a block chained with the hash of the preceding one; it identifies the whole prefix.
pub(crate) type BlockHash = u64;

/// Returns the hashes of the full blocks of a prompt. A partial last block is ignored.
pub(crate) fn block_hashes(text: &str) -> Vec<BlockHash> {
    let mut prefix_hash: BlockHash = 0;
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES).map(|block| {
        prefix_hash = hash(&[&prefix_hash.to_be_bytes(), block]);
        prefix_hash
    });
    blocks.collect()
}

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// An event of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Serial number. A gap shows that events were dropped.
    pub serial: u64,
    /// Kind of the event.
    pub change: CacheChange,
    /// Hash of the block, in hexadecimal digits.
    pub piece: String,
    /// Number of tokens in the block.
    pub tokens: u64,
}

struct TimedEvent {
    at: Instant,
    event: CacheEvent,
}

/// KV cache of a prompt, in the form that engines transfer it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptExport {
    /// Hash of the prompt, in hexadecimal digits.
    pub prompt_hash: String,
    /// Number of tokens in the prompt.
    pub tokens: u64,
    /// Hashes of the full blocks of the prompt, in hexadecimal digits.
    pub pieces: Vec<String>,
}

#[derive(Clone)]
struct PromptEntry {
    tokens: u64,
    blocks: Vec<BlockHash>,
}

/// The prefix cache, an LRU cache of prompt blocks.
pub(crate) struct PrefixCache {
    capacity: usize,
    gap_every: u64,
    last_used: BTreeMap<BlockHash, u64>,
    use_count: u64,
    prompts: BTreeMap<PromptHash, PromptEntry>,
    events: VecDeque<TimedEvent>,
    serial: u64,
}

impl PrefixCache {
    pub(crate) fn new(memory_tokens: u64, gap_every: u64) -> Self {
        Self {
            capacity: (memory_tokens / BLOCK_TOKENS) as usize,
            gap_every,
            last_used: BTreeMap::new(),
            use_count: 0,
            prompts: BTreeMap::new(),
            events: VecDeque::new(),
            serial: 0,
        }
    }

    /// Returns how many leading tokens of a prompt are cached, and marks their blocks as
    /// recently used.
    pub(crate) fn cached_tokens(&mut self, prompt: PromptHash, blocks: &[BlockHash]) -> u64 {
        let cached = blocks
            .iter()
            .take_while(|block| self.last_used.contains_key(*block));
        let cached = cached.count();
        for block in &blocks[..cached] {
            self.touch(*block);
        }
        match self.prompts.get(&prompt) {
            Some(entry) if cached == blocks.len() => entry.tokens,
            _ => cached as u64 * BLOCK_TOKENS,
        }
    }

    /// Stores a prompt that was prefilled or imported, and evicts the least recently used
    /// blocks beyond the capacity.
    pub(crate) fn store(
        &mut self,
        prompt: PromptHash,
        tokens: u64,
        blocks: &[BlockHash],
        now: Instant,
    ) {
        for block in blocks {
            let is_new = !self.last_used.contains_key(block);
            self.touch(*block);
            if is_new {
                self.log(CacheChange::Stored, *block, now);
            }
        }
        while self.last_used.len() > self.capacity {
            self.evict(now);
        }
        let blocks = blocks.to_vec();
        self.prompts.insert(prompt, PromptEntry { tokens, blocks });
        while self.prompts.len() > self.capacity.max(1) {
            self.prompts.pop_first();
        }
    }

    pub(crate) fn export(&self, prompt: PromptHash) -> Option<PromptExport> {
        let entry = self.prompts.get(&prompt)?;
        if !entry
            .blocks
            .iter()
            .all(|block| self.last_used.contains_key(block))
        {
            return None;
        }
        Some(PromptExport {
            prompt_hash: prompt.to_string(),
            tokens: entry.tokens,
            pieces: entry.blocks.iter().map(|block| hex(*block)).collect(),
        })
    }

    /// Returns the events with a serial number greater than `since` that are at least
    /// `delay` old.
    pub(crate) fn events(&self, since: u64, delay: Duration, now: Instant) -> Vec<CacheEvent> {
        let due = self.events.iter().filter(|entry| entry.at + delay <= now);
        let later = due.filter(|entry| entry.event.serial > since);
        later.map(|entry| entry.event.clone()).collect()
    }

    fn touch(&mut self, block: BlockHash) {
        self.use_count += 1;
        self.last_used.insert(block, self.use_count);
    }

    fn evict(&mut self, now: Instant) {
        let oldest = self
            .last_used
            .iter()
            .min_by_key(|(_, last_used)| **last_used);
        let Some(block) = oldest.map(|(block, _)| *block) else {
            return;
        };
        self.last_used.remove(&block);
        self.log(CacheChange::Evicted, block, now);
    }

    fn log(&mut self, change: CacheChange, block: BlockHash, at: Instant) {
        self.serial += 1;
        if self.gap_every > 0 && self.serial.is_multiple_of(self.gap_every) {
            return;
        }
        let event = CacheEvent {
            serial: self.serial,
            change,
            piece: hex(block),
            tokens: BLOCK_TOKENS,
        };
        self.events.push_back(TimedEvent { at, event });
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Formats a block hash as 16 hexadecimal digits.
pub(crate) fn hex(piece: BlockHash) -> String {
    format!("{piece:016x}")
}
