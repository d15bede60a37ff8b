//! Writing batches of entries, one at a time, and settling lost answers.

use super::record::{bucket_key, BatchToken, BucketRecord, BucketText, EntryRecord};
use super::shelf::ClosedBucket;
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

/// A batch whose fate is not settled yet.
#[derive(Debug)]
pub(super) struct BatchFlight {
    pub(super) entries: Vec<QueuedEntry>,
    text: BucketText,
    closed: bool,
    clock: TimeSpan,
    write: StoreWrite,
}

/// What an answer means for the batch.
#[derive(Debug)]
pub(super) enum BatchFate {
    /// Nothing is settled yet.
    Open,
    /// Its entries are durable.
    Durable {
        entries: Vec<QueuedEntry>,
        closed: Option<ClosedBucket>,
    },
    /// Another owner has written, under this number where it is known; none of
    /// the open entries may be relied on.
    Outranked(FencingNumber),
}

/// Appends batches to the open bucket.
#[derive(Debug)]
pub(super) struct BatchWriter {
    shard: ShardId,
    pub(super) bucket: u64,
    version: StoreVersion,
    opened: TimeSpan,
    batches: u64,
    text: BucketText,
    token: BatchToken,
    pub(super) flight: Option<BatchFlight>,
    last_write: TimePoint,
}

impl BatchWriter {
    pub(super) fn new(
        shard: ShardId,
        bucket: u64,
        version: StoreVersion,
        token: BatchToken,
        opened: TimeSpan,
    ) -> Self {
        Self {
            shard,
            bucket,
            version,
            opened,
            batches: 0,
            text: BucketText::default(),
            token,
            flight: None,
            last_write: TimePoint::START,
        }
    }

    /// Returns whether a batch may be started.
    pub(super) fn is_free(&self, now: TimePoint, options: &ClaimOptions) -> bool {
        self.flight.is_none() && now >= self.last_write + options.batch_interval
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
        self.batches += 1;
        let many = self.batches >= options.max_bucket_batches;
        let full = many || text.size() >= options.max_bucket_size;
        let closed = full || clock.saturating_sub(self.opened) >= options.max_bucket_age;
        self.token.batch += 1;
        let key = bucket_key(self.shard, self.bucket);
        let value = text.value(&self.token, clock, closed);
        self.flight = Some(BatchFlight {
            entries,
            text,
            closed,
            clock,
            write: StoreWrite::new(now, key, value, self.version),
        });
        self.last_write = now;
    }

    /// Returns the next call of the batch, where one is due.
    pub(super) fn next_call(
        &mut self,
        now: TimePoint,
        calls: &mut CallNumber,
        options: &ClaimOptions,
    ) -> Option<StoreCall> {
        let flight = self.flight.as_mut()?;
        let call = flight.write.next_call(now, calls, options.write_timing())?;
        self.last_write = now;
        Some(call)
    }

    /// Takes an answer, if it belongs to the open batch.
    pub(super) fn take(
        &mut self,
        now: TimePoint,
        answer: &StoreCompletion,
        options: &ClaimOptions,
    ) -> BatchFate {
        let Some(flight) = self.flight.as_mut() else {
            return BatchFate::Open;
        };
        let times = options.write_timing();
        let fate = flight
            .write
            .handle_reply(now, answer.call, &answer.reply, times);
        match fate {
            WriteOutcome::Pending => BatchFate::Open,
            WriteOutcome::Written(version) => self.finish(version),
            WriteOutcome::Superseded(entry) => {
                let record = entry.and_then(|entry| BucketRecord::parse(&entry.value));
                BatchFate::Outranked(record.map_or(self.token.fencing, |r| r.token.fencing))
            }
        }
    }

    fn finish(&mut self, version: StoreVersion) -> BatchFate {
        let Some(flight) = self.flight.take() else {
            return BatchFate::Open;
        };
        let BatchFlight { entries, clock, .. } = flight;
        if !flight.closed {
            self.version = version;
            self.text = flight.text;
            let closed = None;
            return BatchFate::Durable { entries, closed };
        }
        let closed = Some(ClosedBucket {
            number: self.bucket,
            version,
            clock,
        });
        self.bucket += 1;
        self.version = StoreVersion::ABSENT;
        self.opened = clock;
        self.batches = 0;
        self.text = BucketText::default();
        BatchFate::Durable { entries, closed }
    }
}
