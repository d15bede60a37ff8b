//! The storage format of claims: buckets of entries, to which batches are appended.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::store::StoreKey;
use super::{ClaimKey, ClaimOutcome, RequestFingerprint, StoredResponse};
use crate::id::{FencingNumber, RequestId, ShardId};
use crate::lease::HolderName;
use crate::unit::{ByteSize, TimeSpan};

/// What an entry records about a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EntryKind {
    /// The claim was made.
    Claim { fingerprint: RequestFingerprint },
    /// The request ran and produced this response.
    Answer { status: u16, body: SmolStr },
    /// The request ran; its response is not stored.
    Ran,
    /// The request did not run. The key may be claimed again.
    NotRun,
    /// It is not known whether the request ran.
    Unknown,
}

/// One entry of a bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EntryRecord {
    /// When the entry was made, on the shard's clock.
    pub(super) at: TimeSpan,
    pub(super) claim: ClaimKey,
    pub(super) request: RequestId,
    pub(super) kind: EntryKind,
}

/// Identifies the batch that wrote a bucket last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct BatchToken {
    pub(super) writer: HolderName,
    pub(super) fencing: FencingNumber,
    pub(super) batch: u64,
}

/// The stored value of a bucket.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct BucketRecord {
    pub(super) token: BatchToken,
    /// The shard's clock when the last batch was started.
    pub(super) clock: TimeSpan,
    /// Whether the bucket accepts no further entries.
    pub(super) closed: bool,
    pub(super) entries: Vec<EntryRecord>,
}

impl BucketRecord {
    pub(super) fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }
}

/// The entries of a bucket as JSON.
///
/// It is kept between batches, so that a batch serializes only its own entries.
#[derive(Clone, Debug, Default)]
pub(super) struct BucketText(String);

impl BucketText {
    pub(super) fn append(&mut self, entry: &EntryRecord) {
        if !self.0.is_empty() {
            self.0.push(',');
        }
        self.0.push_str(&to_json(entry));
    }

    pub(super) fn size(&self) -> ByteSize {
        ByteSize(self.0.len() as u64)
    }

    pub(super) fn value(&self, token: &BatchToken, clock: TimeSpan, closed: bool) -> String {
        let token = to_json(token);
        let clock = clock.0;
        let entries = &self.0;
        format!(r#"{{"token":{token},"clock":{clock},"closed":{closed},"entries":[{entries}]}}"#)
    }
}

fn to_json<T>(value: &T) -> String
where
    T: Serialize,
{
    serde_json::to_string(value).expect("records hold only text, numbers and lists")
}

/// Returns the entry kind that records an outcome.
pub(super) fn outcome_kind(outcome: &ClaimOutcome, max_size: ByteSize) -> EntryKind {
    match outcome {
        ClaimOutcome::Completed(response) => response_kind(response, max_size),
        ClaimOutcome::NotRun => EntryKind::NotRun,
        ClaimOutcome::Unknown => EntryKind::Unknown,
    }
}

/// Returns the entry kind that stores `response`.
///
/// The response is not stored if its body exceeds `max_size` or is not UTF-8.
fn response_kind(response: &StoredResponse, max_size: ByteSize) -> EntryKind {
    let text = std::str::from_utf8(&response.body);
    let fits = response.body.len() as u64 <= max_size.0;
    match text {
        Ok(body) if fits => EntryKind::Answer {
            status: response.status,
            body: SmolStr::new(body),
        },
        _ => EntryKind::Ran,
    }
}

pub(super) fn shard_prefix(shard: ShardId) -> StoreKey {
    StoreKey::new(format!("claims/{shard}/"))
}

pub(super) fn bucket_key(shard: ShardId, bucket: u64) -> StoreKey {
    StoreKey::new(format!("claims/{shard}/{bucket:012}"))
}

pub(super) fn bucket_number(key: &StoreKey) -> Option<u64> {
    key.as_str().rsplit('/').next()?.parse().ok()
}
