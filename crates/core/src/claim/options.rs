//! Limits and timeouts of claim shards.

use super::write::WriteTiming;
use crate::unit::{ByteSize, TimeSpan};

/// The number of shards that the claims are partitioned into.
pub const CLAIM_SHARDS: u64 = 8;

/// The minimum time between two batches of a shard.
pub const CLAIM_BATCH_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// The time after which a claim that is not durable yet is refused.
pub const CLAIM_WRITE_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// The time for which a claim is retained.
pub const CLAIM_RETENTION: TimeSpan = TimeSpan::from_secs(3_600);

/// The time after which the outcome of a running request counts as unknown.
pub const CLAIM_RUN_TIMEOUT: TimeSpan = TimeSpan::from_secs(600);

/// The maximum size of a stored response.
pub const MAX_STORED_RESPONSE_SIZE: ByteSize = ByteSize(4 * 1_024);

/// Limits and timeouts of a claim shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimOptions {
    /// The minimum time between two batches.
    pub batch_interval: TimeSpan,
    /// The size of the entries at which a batch is written without further entries.
    pub max_batch_size: ByteSize,
    /// The maximum number of batches in one bucket; each batch rewrites the whole bucket.
    pub max_bucket_batches: u64,
    /// The size at which a bucket is closed.
    pub max_bucket_size: ByteSize,
    /// The age at which a bucket is closed.
    pub max_bucket_age: TimeSpan,
    /// The time after which a claim that is not durable yet is refused.
    pub write_timeout: TimeSpan,
    /// The timeout of a call to the store.
    pub call_timeout: TimeSpan,
    /// The time for which a claim is retained, on the shard's clock.
    pub retention: TimeSpan,
    /// The time after which the outcome of a running request counts as unknown.
    pub run_timeout: TimeSpan,
    /// The maximum size of a stored response.
    pub max_response_size: ByteSize,
    /// The maximum total size of the stored responses in memory.
    pub max_total_response_size: ByteSize,
    /// The maximum number of claims in memory.
    pub max_claims: usize,
    /// The number of buckets requested with one list call.
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
