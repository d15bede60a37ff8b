//! The stored form of claims: buckets of entries, appended batch by batch.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::store::StoreKey;
use super::{ClaimKey, ClaimOutcome, RequestFingerprint, StoredResponse};
use crate::id::{FencingNumber, RequestId, ShardId};
use crate::lease::HolderName;
use crate::unit::{ByteSize, TimeSpan};

/// What one entry says about a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EntryKind {
    /// The claim was made.
    Claim { fingerprint: RequestFingerprint },
    /// The request ran, and this is its answer.
    Answer { status: u16, body: SmolStr },
    /// The request ran; its answer is not kept.
    Ran,
    /// The request was not run, and the claim is free again.
    NotRun,
    /// Whether the request ran is not known.
    Unknown,
}

/// One entry of a bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EntryRecord {
    /// When it was made, on the shard's own clock.
    pub(super) at: TimeSpan,
    pub(super) claim: ClaimKey,
    pub(super) request: RequestId,
    pub(super) kind: EntryKind,
}

/// Who wrote a bucket last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct BatchToken {
    pub(super) writer: HolderName,
    pub(super) fencing: FencingNumber,
    pub(super) batch: u64,
}

/// The whole value of a bucket.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct BucketRecord {
    pub(super) token: BatchToken,
    /// The shard's clock at the last write.
    pub(super) clock: TimeSpan,
    /// Whether the bucket takes no more entries.
    pub(super) closed: bool,
    pub(super) entries: Vec<EntryRecord>,
}

impl BucketRecord {
    pub(super) fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }
}

/// The entries of a bucket in their stored form, so that a batch costs one append.
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

/// Returns the entry that tells of an outcome.
pub(super) fn outcome_kind(outcome: &ClaimOutcome, limit: ByteSize) -> EntryKind {
    match outcome {
        ClaimOutcome::Completed(answer) => answer_kind(answer, limit),
        ClaimOutcome::NotRun => EntryKind::NotRun,
        ClaimOutcome::Unknown => EntryKind::Unknown,
    }
}

/// Returns the entry that keeps `answer`, without its body where that is no text.
fn answer_kind(answer: &StoredResponse, limit: ByteSize) -> EntryKind {
    let text = std::str::from_utf8(&answer.body);
    let small = answer.body.len() as u64 <= limit.0;
    match text {
        Ok(body) if small => EntryKind::Answer {
            status: answer.status,
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
