//! Writes batches of entries, one at a time.

use super::record::{bucket_key, BatchToken, BucketRecord, BucketText, EntryRecord};
use super::retention::ClosedBucket;
use super::store::{CallNumber, StoreCall, StoreCompletion, StoreVersion};
use super::table::EntryNumber;
use super::write::{StoreWrite, WriteOutcome};
use super::ClaimOptions;
use crate::id::{FencingNumber, ShardId};
use crate::unit::{TimePoint, TimeSpan};

/// An entry that is to be written.
#[derive(Clone, Debug)]
pub(super) struct QueuedEntry {
    pub(super) number: EntryNumber,
    pub(super) record: EntryRecord,
}

/// A batch whose write has not completed.
#[derive(Debug)]
pub(super) struct PendingBatch {
    pub(super) entries: Vec<QueuedEntry>,
    text: BucketText,
    closed: bool,
    clock: TimeSpan,
    write: StoreWrite,
}

/// The state of the batch after a store completion.
#[derive(Debug)]
pub(super) enum BatchOutcome {
    /// The outcome is not known yet.
    Pending,
    /// Its entries are durable; `closed` is the bucket that it closed, if any.
    Durable {
        entries: Vec<QueuedEntry>,
        closed: Option<ClosedBucket>,
    },
    /// Another owner has written the bucket, under this fencing number, or under this owner's
    /// own number if the other's is not known. None of the pending entries may be relied on.
    Superseded(FencingNumber),
}

/// Appends batches to the current bucket.
#[derive(Debug)]
pub(super) struct BatchWriter {
    shard: ShardId,
    pub(super) bucket: u64,
    version: StoreVersion,
    /// The shard's clock when the bucket was opened.
    opened_at: TimeSpan,
    batch_count: u64,
    text: BucketText,
    token: BatchToken,
    pub(super) pending: Option<PendingBatch>,
    last_write_at: TimePoint,
}

impl BatchWriter {
    pub(super) fn new(
        shard: ShardId,
        bucket: u64,
        version: StoreVersion,
        token: BatchToken,
        opened_at: TimeSpan,
    ) -> Self {
        Self {
            shard,
            bucket,
            version,
            opened_at,
            batch_count: 0,
            text: BucketText::default(),
            token,
            pending: None,
            last_write_at: TimePoint::START,
        }
    }

    /// Returns whether a new batch may be started now.
    pub(super) fn can_start(&self, now: TimePoint, options: &ClaimOptions) -> bool {
        self.pending.is_none() && now >= self.last_write_at + options.batch_interval
    }

    /// Starts a batch of `entries`.
    pub(super) fn start(
        &mut self,
        now: TimePoint,
        clock: TimeSpan,
        entries: Vec<QueuedEntry>,
        options: &ClaimOptions,
    ) {
        let mut text = self.text.clone();
        for entry in &entries {
            text.append(&entry.record);
        }
        self.batch_count += 1;
        let has_max_batches = self.batch_count >= options.max_bucket_batches;
        let full = has_max_batches || text.size() >= options.max_bucket_size;
        let closed = full || clock.saturating_sub(self.opened_at) >= options.max_bucket_age;
        self.token.batch += 1;
        let key = bucket_key(self.shard, self.bucket);
        let value = text.value(&self.token, clock, closed);
        self.pending = Some(PendingBatch {
            entries,
            text,
            closed,
            clock,
            write: StoreWrite::new(now, key, value, self.version),
        });
        self.last_write_at = now;
    }

    /// Returns the next call of the pending batch if one is due.
    pub(super) fn next_call(
        &mut self,
        now: TimePoint,
        calls: &mut CallNumber,
        options: &ClaimOptions,
    ) -> Option<StoreCall> {
        let batch = self.pending.as_mut()?;
        let call = batch.write.next_call(now, calls, options.write_timing())?;
        self.last_write_at = now;
        Some(call)
    }

    /// Handles a store completion. Completions of other calls are ignored.
    pub(super) fn handle_completion(
        &mut self,
        now: TimePoint,
        completion: &StoreCompletion,
        options: &ClaimOptions,
    ) -> BatchOutcome {
        let Some(batch) = self.pending.as_mut() else {
            return BatchOutcome::Pending;
        };
        let timing = options.write_timing();
        let outcome = batch
            .write
            .handle_reply(now, completion.call, &completion.reply, timing);
        match outcome {
            WriteOutcome::Pending => BatchOutcome::Pending,
            WriteOutcome::Written(version) => self.finish(version),
            WriteOutcome::Superseded(entry) => {
                let record = entry.and_then(|entry| BucketRecord::parse(&entry.value));
                BatchOutcome::Superseded(record.map_or(self.token.fencing, |r| r.token.fencing))
            }
        }
    }

    fn finish(&mut self, version: StoreVersion) -> BatchOutcome {
        let Some(batch) = self.pending.take() else {
            return BatchOutcome::Pending;
        };
        let PendingBatch { entries, clock, .. } = batch;
        if !batch.closed {
            self.version = version;
            self.text = batch.text;
            let closed = None;
            return BatchOutcome::Durable { entries, closed };
        }
        let closed = Some(ClosedBucket {
            number: self.bucket,
            version,
            clock,
        });
        self.bucket += 1;
        self.version = StoreVersion::ABSENT;
        self.opened_at = clock;
        self.batch_count = 0;
        self.text = BucketText::default();
        BatchOutcome::Durable { entries, closed }
    }
}
