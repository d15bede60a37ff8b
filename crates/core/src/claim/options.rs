//! The sizes and times of claims.

use super::write::WriteTimes;
use crate::unit::{ByteSize, TimeSpan};

/// How many shards the claims are spread over.
pub const CLAIM_SHARDS: u64 = 8;

/// The shortest time between two batches of a shard.
pub const CLAIM_BATCH_SPAN: TimeSpan = TimeSpan::from_millis(100);

/// How long a call waits for its claim to become durable.
pub const CLAIM_WAIT: TimeSpan = TimeSpan::from_secs(2);

/// How long a claim is kept.
pub const CLAIM_RETENTION: TimeSpan = TimeSpan::from_secs(3_600);

/// How long a request may run before its outcome counts as unknown.
pub const CLAIM_RUN_LIMIT: TimeSpan = TimeSpan::from_secs(600);

/// The largest answer that is kept.
pub const KEPT_ANSWER_LIMIT: ByteSize = ByteSize(4 * 1_024);

/// The sizes and times of a claim shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimOptions {
    /// The shortest time between two batches.
    pub batch_every: TimeSpan,
    /// The most bytes of entries in one batch.
    pub batch_limit: ByteSize,
    /// The most batches in one bucket; each of them writes the bucket anew.
    pub bucket_batches: u64,
    /// The size at which a bucket takes no more entries.
    pub bucket_limit: ByteSize,
    /// The age at which a bucket takes no more entries.
    pub bucket_span: TimeSpan,
    /// How long a call waits for its claim to become durable.
    pub wait: TimeSpan,
    /// How long an answer of the store is waited for.
    pub call_timeout: TimeSpan,
    /// How long a claim is kept.
    pub retention: TimeSpan,
    /// How long a request may run before its outcome counts as unknown.
    pub run_limit: TimeSpan,
    /// The largest answer that is kept.
    pub kept_limit: ByteSize,
    /// The most bytes of answers that are kept.
    pub kept_total: ByteSize,
    /// The most claims in memory.
    pub row_limit: usize,
    /// How many buckets one page of a list holds.
    pub page_limit: usize,
}

impl ClaimOptions {
    pub(super) fn write_times(&self) -> WriteTimes {
        WriteTimes {
            timeout: self.call_timeout,
            backoff: self.batch_every,
        }
    }
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            batch_every: CLAIM_BATCH_SPAN,
            batch_limit: ByteSize(256 * 1_024),
            bucket_batches: 8,
            bucket_limit: ByteSize(64 * 1_024),
            bucket_span: TimeSpan::from_secs(300),
            wait: CLAIM_WAIT,
            call_timeout: TimeSpan::from_secs(2),
            retention: CLAIM_RETENTION,
            run_limit: CLAIM_RUN_LIMIT,
            kept_limit: KEPT_ANSWER_LIMIT,
            kept_total: ByteSize(1_024 * 1_024),
            row_limit: 50_000,
            page_limit: 32,
        }
    }
}
