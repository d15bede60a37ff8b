//! The prefix cache: pieces of prompts in limited memory, and its events.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::answer::{hash, PromptHash};
use super::chat::TOKEN_BYTES;

/// The tokens in a piece.
pub const PIECE_TOKENS: u64 = 1_024;
/// The bytes of prompt text in a piece.
const PIECE_BYTES: usize = (PIECE_TOKENS * TOKEN_BYTES) as usize;
/// The events that are kept.
const MAX_EVENTS: usize = 20_000;

/// A piece of a prompt, hashed together with all that stands before it.
pub(crate) type BlockHash = u64;

/// Hashes the whole pieces of a prompt.
pub(crate) fn prompt_pieces(text: &str) -> Vec<BlockHash> {
    let mut before: BlockHash = 0;
    let pieces = text.as_bytes().chunks_exact(PIECE_BYTES).map(|piece| {
        before = hash(&[&before.to_be_bytes(), piece]);
        before
    });
    pieces.collect()
}

/// What happened to a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
}

/// An event of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; gaps show that events were left out.
    pub serial: u64,
    /// What happened.
    pub change: CacheChange,
    /// The piece, in hexadecimal digits.
    pub piece: String,
    /// The tokens in it.
    pub tokens: u64,
}

struct TimedEvent {
    at: Instant,
    event: CacheEvent,
}

/// A prompt whose KV cache is at hand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptExport {
    /// The prompt's hash, in hexadecimal digits.
    pub prompt_hash: String,
    /// Its tokens.
    pub tokens: u64,
    /// Its whole pieces.
    pub pieces: Vec<String>,
}

#[derive(Clone)]
struct PromptRow {
    tokens: u64,
    pieces: Vec<BlockHash>,
}

/// The prefix cache.
pub(crate) struct PrefixCache {
    capacity: usize,
    gap_every: u64,
    used: BTreeMap<BlockHash, u64>,
    uses: u64,
    prompts: BTreeMap<PromptHash, PromptRow>,
    events: VecDeque<TimedEvent>,
    serial: u64,
}

impl PrefixCache {
    pub(crate) fn new(memory_tokens: u64, gap_every: u64) -> Self {
        Self {
            capacity: (memory_tokens / PIECE_TOKENS) as usize,
            gap_every,
            used: BTreeMap::new(),
            uses: 0,
            prompts: BTreeMap::new(),
            events: VecDeque::new(),
            serial: 0,
        }
    }

    /// Counts the tokens at the head of a prompt that need no prefill.
    pub(crate) fn cached_tokens(&mut self, prompt: PromptHash, pieces: &[BlockHash]) -> u64 {
        let cached = pieces
            .iter()
            .take_while(|piece| self.used.contains_key(*piece));
        let cached = cached.count();
        for piece in &pieces[..cached] {
            self.touch(*piece);
        }
        match self.prompts.get(&prompt) {
            Some(row) if cached == pieces.len() => row.tokens,
            _ => cached as u64 * PIECE_TOKENS,
        }
    }

    /// Keeps a prompt that has been prefilled or imported.
    pub(crate) fn store(
        &mut self,
        prompt: PromptHash,
        tokens: u64,
        pieces: &[BlockHash],
        now: Instant,
    ) {
        for piece in pieces {
            let is_new = !self.used.contains_key(piece);
            self.touch(*piece);
            if is_new {
                self.log(CacheChange::Stored, *piece, now);
            }
        }
        while self.used.len() > self.capacity {
            self.evict(now);
        }
        let pieces = pieces.to_vec();
        self.prompts.insert(prompt, PromptRow { tokens, pieces });
        while self.prompts.len() > self.capacity.max(1) {
            self.prompts.pop_first();
        }
    }

    pub(crate) fn export(&self, prompt: PromptHash) -> Option<PromptExport> {
        let row = self.prompts.get(&prompt)?;
        if !row.pieces.iter().all(|piece| self.used.contains_key(piece)) {
            return None;
        }
        Some(PromptExport {
            prompt_hash: prompt.to_string(),
            tokens: row.tokens,
            pieces: row.pieces.iter().map(|piece| hex(*piece)).collect(),
        })
    }

    /// Lists the events after number `since` that are at least `lag` old.
    pub(crate) fn events(&self, since: u64, lag: Duration, now: Instant) -> Vec<CacheEvent> {
        let due = self.events.iter().filter(|row| row.at + lag <= now);
        let later = due.filter(|row| row.event.serial > since);
        later.map(|row| row.event.clone()).collect()
    }

    fn touch(&mut self, piece: BlockHash) {
        self.uses += 1;
        self.used.insert(piece, self.uses);
    }

    fn evict(&mut self, now: Instant) {
        let oldest = self.used.iter().min_by_key(|(_, used)| **used);
        let Some(piece) = oldest.map(|(piece, _)| *piece) else {
            return;
        };
        self.used.remove(&piece);
        self.log(CacheChange::Evicted, piece, now);
    }

    fn log(&mut self, change: CacheChange, piece: BlockHash, at: Instant) {
        self.serial += 1;
        if self.gap_every > 0 && self.serial.is_multiple_of(self.gap_every) {
            return;
        }
        let event = CacheEvent {
            serial: self.serial,
            change,
            piece: hex(piece),
            tokens: PIECE_TOKENS,
        };
        self.events.push_back(TimedEvent { at, event });
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Writes a piece's hash in hexadecimal digits.
pub(crate) fn hex(piece: BlockHash) -> String {
    format!("{piece:016x}")
}
