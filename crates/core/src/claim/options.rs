//! The sizes and times of claims.

use super::write::WriteTiming;
use crate::unit::{ByteSize, TimeSpan};

/// How many shards the claims are spread over.
pub const CLAIM_SHARDS: u64 = 8;

/// The shortest time between two batches of a shard.
pub const CLAIM_BATCH_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// How long a call waits for its claim to become durable.
pub const CLAIM_WRITE_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// How long a claim is kept.
pub const CLAIM_RETENTION: TimeSpan = TimeSpan::from_secs(3_600);

/// How long a request may run before its outcome counts as unknown.
pub const CLAIM_RUN_TIMEOUT: TimeSpan = TimeSpan::from_secs(600);

/// The largest answer that is kept.
pub const MAX_STORED_RESPONSE_SIZE: ByteSize = ByteSize(4 * 1_024);

/// The sizes and times of a claim shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimOptions {
    /// The shortest time between two batches.
    pub batch_interval: TimeSpan,
    /// The most bytes of entries in one batch.
    pub max_batch_size: ByteSize,
    /// The most batches in one bucket; each of them writes the bucket anew.
    pub max_bucket_batches: u64,
    /// The size at which a bucket takes no more entries.
    pub max_bucket_size: ByteSize,
    /// The age at which a bucket takes no more entries.
    pub max_bucket_age: TimeSpan,
    /// How long a call waits for its claim to become durable.
    pub write_timeout: TimeSpan,
    /// How long an answer of the store is waited for.
    pub call_timeout: TimeSpan,
    /// How long a claim is kept.
    pub retention: TimeSpan,
    /// How long a request may run before its outcome counts as unknown.
    pub run_timeout: TimeSpan,
    /// The largest answer that is kept.
    pub max_response_size: ByteSize,
    /// The most bytes of answers that are kept.
    pub max_total_response_size: ByteSize,
    /// The most claims in memory.
    pub max_claims: usize,
    /// How many buckets one page of a list holds.
    pub page_size: usize,
}

impl ClaimOptions {
    pub(super) fn write_timing(&self) -> WriteTiming {
        WriteTiming {
            timeout: self.call_timeout,
            backoff: self.batch_interval,
        }
    }
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            batch_interval: CLAIM_BATCH_INTERVAL,
            max_batch_size: ByteSize(256 * 1_024),
            max_bucket_batches: 8,
            max_bucket_size: ByteSize(64 * 1_024),
            max_bucket_age: TimeSpan::from_secs(300),
            write_timeout: CLAIM_WRITE_TIMEOUT,
            call_timeout: TimeSpan::from_secs(2),
            retention: CLAIM_RETENTION,
            run_timeout: CLAIM_RUN_TIMEOUT,
            max_response_size: MAX_STORED_RESPONSE_SIZE,
            max_total_response_size: ByteSize(1_024 * 1_024),
            max_claims: 50_000,
            page_size: 32,
        }
    }
}
