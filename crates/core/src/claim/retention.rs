//! Deletes closed buckets after the retention time.

use std::collections::BTreeMap;

use super::record::bucket_key;
use super::store::{CallNumber, StoreCall, StoreCompletion, StoreReply, StoreVersion};
use super::ClaimOptions;
use crate::id::ShardId;
use crate::unit::{TimePoint, TimeSpan};

/// The clock of a shard, which each owner continues from its predecessor's last stored value.
///
/// It does not count the time during which the shard has no owner.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShardClock {
    /// The reading when this owner finished loading.
    pub(super) base: TimeSpan,
    /// When this owner finished loading.
    pub(super) started_at: TimePoint,
}

impl ShardClock {
    pub(super) fn read(self, now: TimePoint) -> TimeSpan {
        self.base + now.since(self.started_at)
    }
}

/// A bucket that accepts no further entries.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClosedBucket {
    pub(super) number: u64,
    pub(super) version: StoreVersion,
    /// The shard's clock when its last batch was started.
    pub(super) clock: TimeSpan,
}

#[derive(Debug)]
struct BucketDeletion {
    call: CallNumber,
    bucket: u64,
    sent_at: TimePoint,
}

/// The closed buckets of a shard, oldest first.
#[derive(Debug)]
pub(super) struct BucketRetention {
    shard: ShardId,
    closed: BTreeMap<u64, ClosedBucket>,
    deletion: Option<BucketDeletion>,
}

impl BucketRetention {
    pub(super) fn new(shard: ShardId) -> Self {
        Self {
            shard,
            closed: BTreeMap::new(),
            deletion: None,
        }
    }

    pub(super) fn add(&mut self, closed: Option<ClosedBucket>) {
        let closed = closed.map(|bucket| (bucket.number, bucket));
        self.closed.extend(closed);
    }

    /// Handles a store completion. Returns the bucket whose claims are to be removed, if it
    /// completes a deletion.
    pub(super) fn handle_completion(&mut self, completion: &StoreCompletion) -> Option<u64> {
        let deletion = self.deletion.take_if(|d| d.call == completion.call)?;
        if completion.reply == StoreReply::Failed {
            return None;
        }
        self.closed.remove(&deletion.bucket);
        Some(deletion.bucket)
    }

    /// Returns the next deletion if one is due.
    pub(super) fn next_call(
        &mut self,
        now: TimePoint,
        clock: TimeSpan,
        calls: &mut CallNumber,
        options: &ClaimOptions,
    ) -> Option<StoreCall> {
        if let Some(deletion) = &self.deletion {
            if now.since(deletion.sent_at) < options.call_timeout {
                return None;
            }
        }
        let closed = *self.closed.values().next()?;
        let bucket = closed.number;
        if clock <= closed.clock + options.retention {
            return None;
        }
        let call = calls.advance();
        let sent_at = now;
        self.deletion = Some(BucketDeletion {
            call,
            bucket,
            sent_at,
        });
        Some(StoreCall::Delete {
            call,
            key: bucket_key(self.shard, bucket),
            expect: closed.version,
        })
    }
}
