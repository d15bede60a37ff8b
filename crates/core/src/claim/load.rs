//! Taking a shard over: reading its buckets and shutting earlier owners out.

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

/// Where a takeover stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadStep {
    /// Reading the buckets, a page at a time.
    List,
    /// Rewriting the last bucket, so that an earlier owner's batch conflicts.
    Close,
    /// Creating the next bucket, so that an earlier owner cannot.
    Create,
}

/// What an answer means for the takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadFate {
    /// It goes on.
    Open,
    /// Something has changed, or an answer was lost: all is read again.
    Changed,
    /// A later owner has taken the shard over.
    Outranked,
    /// Everything is read, and the open bucket has this version.
    Loaded(StoreVersion),
}

/// A takeover on its way.
#[derive(Debug)]
pub(super) struct LoadState {
    step: LoadStep,
    pub(super) call: Option<CallNumber>,
    sent: TimePoint,
    after: Option<StoreKey>,
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

    /// Takes the answer to the open call.
    pub(super) fn take(
        &mut self,
        fencing: FencingNumber,
        reply: &StoreReply,
        options: &ClaimOptions,
    ) -> LoadFate {
        self.call = None;
        match (self.step, reply) {
            (LoadStep::List, StoreReply::Listed(entries)) => {
                if is_outranked(fencing, entries) {
                    return LoadFate::Outranked;
                }
                let whole = entries.len() < options.page_size;
                self.listed(entries, whole)
            }
            (LoadStep::Close, StoreReply::Written(version)) => {
                self.step = LoadStep::Create;
                if let Some(bucket) = self.buckets.last_mut() {
                    bucket.version = *version;
                    bucket.record.closed = true;
                }
                LoadFate::Open
            }
            (LoadStep::Create, StoreReply::Written(version)) => LoadFate::Loaded(*version),
            _ => LoadFate::Changed,
        }
    }

    fn listed(&mut self, entries: &[StoreEntry], whole: bool) -> LoadFate {
        if !self.take_page(entries) {
            return LoadFate::Changed;
        }
        if whole {
            let open = self.buckets.last().is_some_and(|b| !b.record.closed);
            self.step = if open {
                LoadStep::Close
            } else {
                LoadStep::Create
            };
        }
        LoadFate::Open
    }

    /// Returns the next call, where one is due; a call without an answer starts afresh.
    pub(super) fn next_call(
        &mut self,
        now: TimePoint,
        shard: ShardId,
        token: &BatchToken,
        calls: &mut CallNumber,
        options: &ClaimOptions,
    ) -> Option<StoreCall> {
        if self.call.is_some() && now.since(self.sent) >= options.call_timeout {
            *self = Self::start(now);
        }
        if self.call.is_some() || now < self.sent {
            return None;
        }
        let call = calls.advance();
        self.call = Some(call);
        self.sent = now;
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

    /// Takes a page; `false` means that the list has to be read again.
    fn take_page(&mut self, entries: &[StoreEntry]) -> bool {
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

    pub(super) fn next_number(&self) -> u64 {
        self.buckets.last().map_or(1, |bucket| bucket.number + 1)
    }
}

/// Returns whether a later owner has written already.
fn is_outranked(fencing: FencingNumber, entries: &[StoreEntry]) -> bool {
    let buckets = entries.iter().filter_map(LoadedBucket::parse);
    buckets.map(|b| b.record.token.fencing).any(|f| f > fencing)
}
