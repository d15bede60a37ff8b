//! Taking a shard over: reading its buckets and shutting earlier owners out.

use super::record::BucketRecord;
use super::store::{CallNumber, StoreEntry, StoreKey, StoreReply, StoreVersion};
use crate::id::FencingNumber;
use crate::unit::TimePoint;

/// A bucket as it was read.
#[derive(Clone, Debug)]
pub(super) struct LoadedBucket {
    pub(super) number: u64,
    pub(super) version: StoreVersion,
    pub(super) record: BucketRecord,
}

impl LoadedBucket {
    pub(super) fn parse(entry: &StoreEntry) -> Option<Self> {
        Some(Self {
            number: super::record::bucket_number(&entry.key)?,
            version: entry.version,
            record: BucketRecord::parse(&entry.value)?,
        })
    }
}

/// Where a takeover stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadStep {
    /// Reading the buckets, a page at a time.
    List,
    /// Rewriting the last bucket, so that an earlier owner's batch conflicts.
    Close,
    /// Creating the next bucket, so that an earlier owner cannot.
    Create,
}

/// A takeover on its way.
#[derive(Debug)]
pub(super) struct LoadState {
    pub(super) step: LoadStep,
    pub(super) call: Option<CallNumber>,
    pub(super) sent: TimePoint,
    pub(super) after: Option<StoreKey>,
    pub(super) buckets: Vec<LoadedBucket>,
}

impl LoadState {
    pub(super) fn start(now: TimePoint) -> Self {
        Self {
            step: LoadStep::List,
            call: None,
            sent: now,
            after: None,
            buckets: Vec::new(),
        }
    }

    /// Takes a page; `false` means that the list has to be read again.
    pub(super) fn take_page(&mut self, entries: &[StoreEntry]) -> bool {
        for entry in entries {
            let Some(bucket) = LoadedBucket::parse(entry) else {
                return false;
            };
            // Entries may have been added to an open bucket after it was read.
            if self.buckets.last().is_some_and(|b| !b.record.closed) {
                return false;
            }
            self.after = Some(entry.key.clone());
            self.buckets.push(bucket);
        }
        true
    }

    /// Returns whether a later owner has written already.
    pub(super) fn is_outranked(&self, fencing: FencingNumber, reply: &StoreReply) -> bool {
        let StoreReply::Listed(entries) = reply else {
            return false;
        };
        let buckets = entries.iter().filter_map(LoadedBucket::parse);
        buckets.map(|b| b.record.token.fencing).any(|f| f > fencing)
    }

    pub(super) fn next_number(&self) -> u64 {
        self.buckets.last().map_or(1, |bucket| bucket.number + 1)
    }
}
