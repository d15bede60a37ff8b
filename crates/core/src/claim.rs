//! Claims on idempotency keys, which keep a request from running twice.
//!
//! A claim is durable in the platform's service before its request may be
//! sent to a backend server. How it is kept, and what a repeat is told, is in
//! [docs/design/claims.md](../../../docs/design/claims.md).

mod load;
mod options;
mod record;
mod shard;
mod shelf;
pub mod store;
mod table;
mod verdict;
pub(crate) mod write;
mod writer;

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::code::CallRefusal;
use crate::id::{IdempotencyKey, RequestId, ShardId, TeamId};
use store::{CallNumber, StoreCall, StoreCompletion};

pub use options::{
    ClaimOptions, CLAIM_BATCH_INTERVAL, CLAIM_RETENTION, CLAIM_RUN_TIMEOUT, CLAIM_SHARDS,
    CLAIM_WRITE_TIMEOUT, MAX_STORED_RESPONSE_SIZE,
};
pub use shard::ClaimShard;

/// A digest of what a request asks for, equal for equal requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Digests a request's method, path and body, with the team it runs for.
    pub fn of(team: &TeamId, method: &str, path: &str, body: &[u8]) -> Self {
        Self::digest(team.as_str(), method, path, body)
    }

    /// Digests the same of a request whose team may have no name.
    pub fn digest(team: &str, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [team, method, path] {
            hash.update(part);
            hash.update([0]);
        }
        hash.update(body);
        Self(first_word(hash))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

fn first_word(hash: Sha256) -> u64 {
    let digest = hash.finalize();
    let mut word = [0; 8];
    word.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(word)
}

/// What is claimed: an idempotency key within its team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The team that the caller's key belongs to.
    pub team: TeamId,
    /// The idempotency key that the caller sent.
    pub key: IdempotencyKey,
}

impl ClaimKey {
    /// Returns the shard that the claim belongs to.
    pub fn shard(&self) -> ShardId {
        let mut hash = Sha256::new();
        hash.update(self.team.as_str());
        hash.update([0]);
        hash.update(self.key.as_str());
        ShardId(first_word(hash) % CLAIM_SHARDS)
    }
}

/// A call that asks for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// What is claimed.
    pub claim: ClaimKey,
    /// What the request asks for; the same key with another one is refused.
    pub fingerprint: RequestFingerprint,
    /// The request that would be sent. An entry never uses it for two caller's calls.
    pub request_id: RequestId,
}

/// An answer that is kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The whole body.
    pub body: Vec<u8>,
}

/// What the asking entry may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Send the request, once.
    Granted,
    /// Tell the caller this; send nothing.
    Refused(CallRefusal),
    /// Give the caller this answer of the earlier run.
    Replayed(StoredResponse),
}

/// What became of a request that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It ran, and this is the whole answer.
    Completed(StoredResponse),
    /// No backend server has begun it, and none will; the claim is free again.
    NotRun,
    /// Whether it ran cannot be known.
    Unknown,
}

/// The report of what became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimReport {
    /// What was claimed.
    pub claim: ClaimKey,
    /// The request that was granted.
    pub request_id: RequestId,
    /// What became of it.
    pub outcome: ClaimOutcome,
}

/// What a shard is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// An entry asks for a claim.
    Claim {
        /// Finds the reply's place.
        call: CallNumber,
        /// What is asked.
        request: ClaimRequest,
    },
    /// An entry reports an outcome.
    Report {
        /// Finds the reply's place.
        call: CallNumber,
        /// What is reported.
        report: ClaimReport,
    },
    /// The store has answered.
    StoreCompleted(StoreCompletion),
}

/// What a shard wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Call the platform's key-value service.
    Store(StoreCall),
    /// Answer an asking entry.
    Reply {
        /// The call to answer.
        call: CallNumber,
        /// The answer.
        decision: ClaimDecision,
    },
    /// Tell the reporting entry whether the report was taken; if not, it repeats it.
    Acknowledge {
        /// The call to answer.
        call: CallNumber,
        /// Whether this process owns the shard and has noted the outcome.
        recorded: bool,
    },
}
