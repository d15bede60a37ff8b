//! Buckets that take no more entries, deleted when their time is over.

use std::collections::BTreeMap;

use super::record::bucket_key;
use super::store::{CallNumber, StoreCall, StoreCompletion, StoreReply, StoreVersion};
use super::ClaimOptions;
use crate::id::ShardId;
use crate::unit::{TimePoint, TimeSpan};

/// Time that the shard has had an owner, continued from one owner to the next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShardClock {
    pub(super) base: TimeSpan,
    pub(super) since: TimePoint,
}

impl ShardClock {
    pub(super) fn read(self, now: TimePoint) -> TimeSpan {
        self.base + now.since(self.since)
    }
}

/// A bucket that takes no more entries.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClosedBucket {
    pub(super) number: u64,
    pub(super) version: StoreVersion,
    /// The shard's clock when it was closed.
    pub(super) clock: TimeSpan,
}

#[derive(Debug)]
struct BucketDeletion {
    call: CallNumber,
    bucket: u64,
    sent: TimePoint,
}

/// The closed buckets of a shard, oldest first.
#[derive(Debug)]
pub(super) struct BucketShelf {
    shard: ShardId,
    closed: BTreeMap<u64, ClosedBucket>,
    deletion: Option<BucketDeletion>,
}

impl BucketShelf {
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

    /// Takes an answer; returns the bucket whose claims may be forgotten.
    pub(super) fn take(&mut self, answer: &StoreCompletion) -> Option<u64> {
        let deletion = self.deletion.take_if(|d| d.call == answer.call)?;
        if answer.reply == StoreReply::Failed {
            return None;
        }
        self.closed.remove(&deletion.bucket);
        Some(deletion.bucket)
    }

    /// Returns the next deletion, where one is due.
    pub(super) fn next_call(
        &mut self,
        now: TimePoint,
        clock: TimeSpan,
        calls: &mut CallNumber,
        options: &ClaimOptions,
    ) -> Option<StoreCall> {
        if let Some(deletion) = &self.deletion {
            if now.since(deletion.sent) < options.call_timeout {
                return None;
            }
        }
        let closed = *self.closed.values().next()?;
        let bucket = closed.number;
        if clock <= closed.clock + options.retention {
            return None;
        }
        let call = calls.advance();
        let sent = now;
        self.deletion = Some(BucketDeletion { call, bucket, sent });
        Some(StoreCall::Delete {
            call,
            key: bucket_key(self.shard, bucket),
            expect: closed.version,
        })
    }
}
