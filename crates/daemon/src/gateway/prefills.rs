//! Prompts that engines have read lately, as entries tell each other.
//!
//! A part of a prompt that some engine holds need not be read again, and most
//! of what an engine holds was sent to it by other entries.

use std::collections::VecDeque;

use applefold_core::direct::PromptPart;
use applefold_core::id::BackendId;
use applefold_core::unit::TokenCount;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// How often a read is told, so that a datagram may be lost.
const TELLINGS: u8 = 2;
/// The most reads in one datagram, and the most that wait to be told.
const MAX_TOLD: usize = 14;
const MAX_WAITING: usize = 4 * MAX_TOLD;
/// The most parts of a prompt that are told; later ones are seldom shared.
const MAX_PARTS: usize = 4;

/// A prompt that a backend server has read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PrefillReport {
    pub(crate) backend: SmolStr,
    /// Names and lengths of its parts, from its start on.
    pub(crate) parts: Vec<(SmolStr, u64)>,
}

impl PrefillReport {
    /// Returns the parts as decisions go by them.
    pub(crate) fn parts(&self) -> Vec<PromptPart> {
        let parts = self.parts.iter().map(|(name, tokens)| PromptPart {
            name: name.clone(),
            tokens: TokenCount(*tokens),
        });
        parts.collect()
    }
}

/// The reads that are still to be told.
#[derive(Debug, Default)]
pub(crate) struct PrefillQueue {
    waiting: VecDeque<(PrefillReport, u8)>,
}

impl PrefillQueue {
    /// Notes that a backend server has read a prompt.
    pub(crate) fn note(&mut self, backend: &BackendId, parts: &[PromptPart]) {
        if parts.is_empty() {
            return;
        }
        let parts = parts.iter().take(MAX_PARTS);
        let read = PrefillReport {
            backend: SmolStr::new(backend.as_str()),
            parts: parts
                .map(|part| (part.name.clone(), part.tokens.0))
                .collect(),
        };
        self.waiting.push_back((read, TELLINGS));
        if self.waiting.len() > MAX_WAITING {
            self.waiting.pop_front();
        }
    }

    /// Returns what is told now, the oldest first.
    pub(crate) fn next(&mut self) -> Vec<PrefillReport> {
        let count = self.waiting.len().min(MAX_TOLD);
        let told: Vec<(PrefillReport, u8)> = self.waiting.drain(..count).collect();
        let again = told.iter().filter(|(_, tellings)| *tellings > 1);
        let again: Vec<(PrefillReport, u8)> = again
            .map(|(read, tellings)| (read.clone(), tellings - 1))
            .collect();
        self.waiting.extend(again);
        told.into_iter().map(|(read, _)| read).collect()
    }
}
