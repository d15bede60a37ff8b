//! The prefix cache of a fake engine, in pieces of limited memory.

use std::collections::BTreeMap;

use crate::workload::BLOCK_TOKENS;

const CACHE_PIECES: u64 = 200;

/// Documents that an engine has cached, the least recently used dropped first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCache {
    documents: BTreeMap<u64, CachedDocument>,
    pieces: u64,
    clock: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedDocument {
    pieces: u64,
    used: u64,
}

impl PrefixCache {
    /// Returns the tokens of the document that need no computing.
    pub(crate) fn cached_tokens(&self, document: Option<u64>) -> u64 {
        let held = document.and_then(|document| self.documents.get(&document));
        held.map_or(0, |held| held.pieces * BLOCK_TOKENS)
    }

    /// Keeps the whole pieces of a document.
    pub(crate) fn keep(&mut self, document: u64, tokens: u64) {
        self.clock += 1;
        let pieces = tokens / BLOCK_TOKENS;
        let fresh = CachedDocument {
            pieces,
            used: self.clock,
        };
        if let Some(old) = self.documents.insert(document, fresh) {
            self.pieces -= old.pieces;
        }
        self.pieces += pieces;
        while self.pieces > CACHE_PIECES {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.documents.iter().min_by_key(|(_, held)| held.used);
        let Some(document) = oldest.map(|(document, _)| *document) else {
            return;
        };
        if let Some(held) = self.documents.remove(&document) {
            self.pieces -= held.pieces;
        }
    }
}
