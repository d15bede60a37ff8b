//! Times to first tokens, as entries gossip them.
//!
//! An entry uses each engine seldom, and learns its speed from what all entries observe. See
//! [docs/design/speed.md](../../../../docs/design/speed.md).

use std::collections::VecDeque;

use applefold_core::direct::{BackendHash, FirstToken, SpeedObservation};
use applefold_core::unit::{TimeSpan, TokenCount};
use serde::{Deserialize, Serialize};

/// The most observations in one datagram, and the most that are queued. The newest ones are kept.
const MAX_BATCH: usize = 40;

/// The encoding of a first token that the sender has received.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct SpeedReport {
    backend: [u8; 4],
    tokens: u64,
    pairs: u64,
    span_us: u64,
}

impl SpeedReport {
    /// Returns the engine.
    pub(crate) fn backend(&self) -> BackendHash {
        BackendHash(u32::from_be_bytes(self.backend))
    }

    /// Decodes the observation.
    pub(crate) fn observation(&self) -> SpeedObservation {
        SpeedObservation {
            tokens: TokenCount(self.tokens),
            pairs: self.pairs,
            span: TimeSpan(self.span_us),
        }
    }
}

/// Observations that are still to be gossiped. Each is sent once, since later ones replace a lost one.
#[derive(Debug, Default)]
pub(crate) struct SpeedQueue(VecDeque<SpeedReport>);

impl SpeedQueue {
    /// Queues an observation. Drops the oldest one if the queue is full.
    pub(crate) fn push(&mut self, token: &FirstToken) {
        let observation = &token.observation;
        if self.0.len() == MAX_BATCH {
            self.0.pop_front();
        }
        self.0.push_back(SpeedReport {
            backend: token.backend.0.to_be_bytes(),
            tokens: observation.tokens.0,
            pairs: observation.pairs,
            span_us: observation.span.0,
        });
    }

    /// Removes and returns all queued observations.
    pub(crate) fn take(&mut self) -> Vec<SpeedReport> {
        self.0.drain(..).collect()
    }
}
