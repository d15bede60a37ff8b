//! Takes over a shard: reads its buckets and fences off earlier owners.

use super::record::{bucket_key, shard_prefix, BatchToken, BucketRecord, BucketText};
use super::store::{CallNumber, StoreCall, StoreEntry, StoreKey, StoreReply, StoreVersion};
use super::ClaimOptions;
use crate::id::{FencingNumber, ShardId};
use crate::unit::{TimePoint, TimeSpan};

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

/// The step of a takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadStep {
    /// Reading the buckets page by page.
    List,
    /// Closing the last bucket by rewriting it, so that an earlier owner's batch fails with a
    /// version conflict.
    Close,
    /// Creating the next bucket, so that an earlier owner cannot create it.
    Create,
}

/// The state of a takeover after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadOutcome {
    /// The takeover goes on.
    Pending,
    /// The buckets have changed or a reply was lost; the takeover starts again from the list.
    Restart,
    /// A later owner has taken over the shard.
    Superseded,
    /// All buckets are read, and the newly created bucket has this version.
    Complete(StoreVersion),
}

/// A takeover in progress.
#[derive(Debug)]
pub(super) struct LoadState {
    step: LoadStep,
    pub(super) pending_call: Option<CallNumber>,
    /// When the last call was sent; before the first call, when it may be sent.
    sent_at: TimePoint,
    /// The last key of the previous page.
    after: Option<StoreKey>,
    pub(super) buckets: Vec<LoadedBucket>,
}

impl LoadState {
    pub(super) fn start(now: TimePoint) -> Self {
        Self {
            step: LoadStep::List,
            pending_call: None,
            sent_at: now,
            after: None,
            buckets: Vec::new(),
        }
    }

    /// Handles the reply to the pending call.
    pub(super) fn handle_reply(
        &mut self,
        fencing: FencingNumber,
        reply: &StoreReply,
        options: &ClaimOptions,
    ) -> LoadOutcome {
        self.pending_call = None;
        match (self.step, reply) {
            (LoadStep::List, StoreReply::Listed(entries)) => {
                if is_superseded(fencing, entries) {
                    return LoadOutcome::Superseded;
                }
                let is_last = entries.len() < options.page_size;
                self.handle_page(entries, is_last)
            }
            (LoadStep::Close, StoreReply::Written(version)) => {
                self.step = LoadStep::Create;
                if let Some(bucket) = self.buckets.last_mut() {
                    bucket.version = *version;
                    bucket.record.closed = true;
                }
                LoadOutcome::Pending
            }
            (LoadStep::Create, StoreReply::Written(version)) => LoadOutcome::Complete(*version),
            _ => LoadOutcome::Restart,
        }
    }

    fn handle_page(&mut self, entries: &[StoreEntry], is_last: bool) -> LoadOutcome {
        if !self.add_page(entries) {
            return LoadOutcome::Restart;
        }
        if is_last {
            let is_open = self.buckets.last().is_some_and(|b| !b.record.closed);
            self.step = if is_open {
                LoadStep::Close
            } else {
                LoadStep::Create
            };
        }
        LoadOutcome::Pending
    }

    /// Returns the next call if one is due. The takeover starts again if a call timed out.
    pub(super) fn next_call(
        &mut self,
        now: TimePoint,
        shard: ShardId,
        token: &BatchToken,
        calls: &mut CallNumber,
        options: &ClaimOptions,
    ) -> Option<StoreCall> {
        if self.pending_call.is_some() && now.since(self.sent_at) >= options.call_timeout {
            *self = Self::start(now);
        }
        if self.pending_call.is_some() || now < self.sent_at {
            return None;
        }
        let call = calls.advance();
        self.pending_call = Some(call);
        self.sent_at = now;
        Some(match self.step {
            LoadStep::List => StoreCall::List {
                call,
                prefix: shard_prefix(shard),
                after: self.after.clone(),
                limit: options.page_size,
            },
            LoadStep::Close => {
                let bucket = self.buckets.last()?;
                let mut text = BucketText::default();
                for entry in &bucket.record.entries {
                    text.append(entry);
                }
                StoreCall::Put {
                    call,
                    key: bucket_key(shard, bucket.number),
                    value: text.value(token, bucket.record.clock, true),
                    expect: bucket.version,
                }
            }
            LoadStep::Create => StoreCall::Put {
                call,
                key: bucket_key(shard, self.next_number()),
                value: BucketText::default().value(token, TimeSpan::ZERO, false),
                expect: StoreVersion::ABSENT,
            },
        })
    }

    /// Adds a page of buckets; returns `false` if the list must be read again.
    fn add_page(&mut self, entries: &[StoreEntry]) -> bool {
        for entry in entries {
            let Some(bucket) = LoadedBucket::parse(entry) else {
                return false;
            };
            // Only the last bucket may be open: entries may have been added to an open bucket
            // after it was read.
            if self.buckets.last().is_some_and(|b| !b.record.closed) {
                return false;
            }
            self.after = Some(entry.key.clone());
            self.buckets.push(bucket);
        }
        true
    }

    pub(super) fn next_number(&self) -> u64 {
        self.buckets.last().map_or(1, |bucket| bucket.number + 1)
    }
}

/// Returns whether an owner with a higher fencing number has written any of the entries.
fn is_superseded(fencing: FencingNumber, entries: &[StoreEntry]) -> bool {
    let buckets = entries.iter().filter_map(LoadedBucket::parse);
    buckets.map(|b| b.record.token.fencing).any(|f| f > fencing)
}
