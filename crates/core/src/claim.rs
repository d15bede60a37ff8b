//! Claims on idempotency keys, which prevent a request from running twice.
//!
//! A claim is written to the platform's key-value service before its request
//! may be sent to a backend server. The storage format and the responses to
//! duplicate requests are described in
//! [docs/design/claims.md](../../../docs/design/claims.md).

mod decision;
mod load;
mod options;
mod record;
mod retention;
mod shard;
pub mod store;
mod table;
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

/// A 64-bit digest of a request's team, method, path and body.
///
/// Equal requests have equal fingerprints.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Returns the fingerprint of a request that runs for `team`.
    pub fn of(team: &TeamId, method: &str, path: &str, body: &[u8]) -> Self {
        Self::digest(team.as_str(), method, path, body)
    }

    /// Returns the fingerprint of a request whose team name may be empty.
    pub fn digest(team: &str, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [team, method, path] {
            hash.update(part);
            hash.update([0]);
        }
        hash.update(body);
        Self(truncate_hash(hash))
    }

    /// Returns the fingerprint that stands for all requests whose prompt has a part of this name.
    pub fn of_prompt_part(name: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update("prompt part\0");
        hash.update(name);
        Self(truncate_hash(hash))
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

/// Returns the first 8 bytes of the hash, big-endian.
fn truncate_hash(hash: Sha256) -> u64 {
    let digest = hash.finalize();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(prefix)
}

/// An idempotency key within its team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The team that the key belongs to; the same key of another team is a different claim.
    pub team: TeamId,
    /// The idempotency key that the caller sent.
    pub key: IdempotencyKey,
}

impl ClaimKey {
    /// Returns the shard that owns the claim.
    pub fn shard(&self) -> ShardId {
        let mut hash = Sha256::new();
        hash.update(self.team.as_str());
        hash.update([0]);
        hash.update(self.key.as_str());
        ShardId(truncate_hash(hash) % CLAIM_SHARDS)
    }
}

/// A request to claim an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key to claim.
    pub claim: ClaimKey,
    /// The fingerprint of the request; the same key with another fingerprint is refused.
    pub fingerprint: RequestFingerprint,
    /// The request that would be sent. The ID is unique to one call of a caller.
    pub request_id: RequestId,
}

/// A response that is stored and replayed to duplicate requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The complete body.
    pub body: Vec<u8>,
}

/// The decision on a claim request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The entry may send the request, once.
    Granted,
    /// The entry sends nothing and refuses the caller's request.
    Refused(CallRefusal),
    /// The entry sends nothing and returns this response of the earlier run.
    Replayed(StoredResponse),
}

/// The outcome of a request whose claim was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It ran and produced this complete response.
    Completed(StoredResponse),
    /// No backend server has started it, and none will. The key may be claimed again.
    NotRun,
    /// It cannot be determined whether it ran.
    Unknown,
}

/// A report of the outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimReport {
    /// The key that was claimed.
    pub claim: ClaimKey,
    /// The request whose claim was granted.
    pub request_id: RequestId,
    /// Its outcome.
    pub outcome: ClaimOutcome,
}

/// An input of a claim shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// An entry requests a claim.
    Claim {
        /// Identifies the call in the reply.
        call: CallNumber,
        /// The claim request.
        request: ClaimRequest,
    },
    /// An entry reports an outcome.
    Report {
        /// Identifies the call in the reply.
        call: CallNumber,
        /// The report.
        report: ClaimReport,
    },
    /// A store call has completed.
    StoreCompleted(StoreCompletion),
}

/// An output of a claim shard, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Call the platform's key-value service.
    Store(StoreCall),
    /// Reply to an entry that requested a claim.
    Reply {
        /// The call to reply to.
        call: CallNumber,
        /// The decision.
        decision: ClaimDecision,
    },
    /// Reply to an entry that reported an outcome; it retries a report that was not recorded.
    Acknowledge {
        /// The call to reply to.
        call: CallNumber,
        /// Whether this process owns the shard and has recorded the outcome.
        recorded: bool,
    },
}
