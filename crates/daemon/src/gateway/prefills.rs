//! Recent prefills by engines, as entries gossip them.
//!
//! A prompt prefix in the KV cache of an engine needs no second prefill, and most of what an
//! engine has cached was sent to it by other entries.

use std::collections::VecDeque;

use applefold_core::direct::PromptPart;
use applefold_core::id::BackendId;
use applefold_core::unit::TokenCount;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The number of times that each prefill is sent, since a datagram may be lost.
const SENDS_PER_PREFILL: u8 = 2;
/// The most prefills in one datagram, and the most that are queued.
const MAX_BATCH: usize = 14;
const MAX_QUEUED: usize = 4 * MAX_BATCH;
/// The most parts of a prompt that are sent. Requests seldom share later ones.
const MAX_PARTS: usize = 4;

/// A prompt whose prefill a backend server has done.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PrefillReport {
    pub(crate) backend: SmolStr,
    /// The names and lengths in tokens of the prompt's parts, from its start.
    pub(crate) parts: Vec<(SmolStr, u64)>,
}

impl PrefillReport {
    /// Returns the parts in the form that placement uses.
    pub(crate) fn parts(&self) -> Vec<PromptPart> {
        let parts = self.parts.iter().map(|(name, tokens)| PromptPart {
            name: name.clone(),
            tokens: TokenCount(*tokens),
        });
        parts.collect()
    }
}

/// Prefills that are still to be gossiped.
#[derive(Debug, Default)]
pub(crate) struct PrefillQueue {
    /// The queued prefills, each with its number of remaining sends.
    queue: VecDeque<(PrefillReport, u8)>,
}

impl PrefillQueue {
    /// Queues the prefill of a prompt by a backend server. Drops the oldest one if the queue is
    /// full.
    pub(crate) fn push(&mut self, backend: &BackendId, parts: &[PromptPart]) {
        if parts.is_empty() {
            return;
        }
        let parts = parts.iter().take(MAX_PARTS);
        let report = PrefillReport {
            backend: SmolStr::new(backend.as_str()),
            parts: parts
                .map(|part| (part.name.clone(), part.tokens.0))
                .collect(),
        };
        self.queue.push_back((report, SENDS_PER_PREFILL));
        if self.queue.len() > MAX_QUEUED {
            self.queue.pop_front();
        }
    }

    /// Returns the next batch, oldest first, and requeues what is to be sent again.
    pub(crate) fn next_batch(&mut self) -> Vec<PrefillReport> {
        let count = self.queue.len().min(MAX_BATCH);
        let batch: Vec<(PrefillReport, u8)> = self.queue.drain(..count).collect();
        let again = batch.iter().filter(|(_, sends_left)| *sends_left > 1);
        let again: Vec<(PrefillReport, u8)> = again
            .map(|(report, sends_left)| (report.clone(), sends_left - 1))
            .collect();
        self.queue.extend(again);
        batch.into_iter().map(|(report, _)| report).collect()
    }
}
