//! A compare-and-swap write that is retried until its outcome is known.

use super::store::{CallNumber, StoreCall, StoreEntry, StoreKey, StoreReply, StoreVersion};
use crate::unit::{TimePoint, TimeSpan};

/// Timeout and backoff of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WriteTiming {
    /// The timeout of one call.
    pub(crate) timeout: TimeSpan,
    /// The delay between a failure and the next call.
    pub(crate) backoff: TimeSpan,
}

/// The state of a write after a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The outcome is not known yet.
    Pending,
    /// The value is stored under this version.
    Written(StoreVersion),
    /// Another value is stored, or the key has been deleted.
    Superseded(Option<StoreEntry>),
}

/// A compare-and-swap write. Its value must differ from that of every other write.
///
/// A conflict may be caused by this same write, if an earlier call took effect
/// but its reply was lost. The key is therefore read back after a conflict, a
/// failure or a timeout.
#[derive(Clone, Debug)]
pub(crate) struct StoreWrite {
    key: StoreKey,
    value: String,
    expect: StoreVersion,
    pending_call: Option<CallNumber>,
    /// Whether the next call reads the key back.
    reading: bool,
    /// When the next call is sent, unless the pending one completes earlier.
    next_call_at: TimePoint,
}

impl StoreWrite {
    pub(crate) fn new(now: TimePoint, key: StoreKey, value: String, expect: StoreVersion) -> Self {
        Self {
            key,
            value,
            expect,
            pending_call: None,
            reading: false,
            next_call_at: now,
        }
    }

    /// Returns the next call if one is due. A call that is still pending then has timed out.
    pub(crate) fn next_call(
        &mut self,
        now: TimePoint,
        calls: &mut CallNumber,
        timing: WriteTiming,
    ) -> Option<StoreCall> {
        if now < self.next_call_at {
            return None;
        }
        if self.pending_call.is_some() {
            self.reading = true;
        }
        let call = calls.advance();
        let key = self.key.clone();
        self.pending_call = Some(call);
        self.next_call_at = now + timing.timeout;
        Some(match self.reading {
            true => StoreCall::Get { call, key },
            false => StoreCall::Put {
                call,
                key,
                value: self.value.clone(),
                expect: self.expect,
            },
        })
    }

    /// Handles a reply. Replies to any but the last call are ignored.
    pub(crate) fn handle_reply(
        &mut self,
        now: TimePoint,
        call: CallNumber,
        reply: &StoreReply,
        timing: WriteTiming,
    ) -> WriteOutcome {
        if self.pending_call != Some(call) {
            return WriteOutcome::Pending;
        }
        self.pending_call = None;
        self.next_call_at = now;
        match reply {
            StoreReply::Written(version) => WriteOutcome::Written(*version),
            StoreReply::Found(entry) if entry.value == self.value => {
                WriteOutcome::Written(entry.version)
            }
            StoreReply::Found(entry) if entry.version == self.expect => self.retry_write(),
            StoreReply::Found(entry) => WriteOutcome::Superseded(Some(entry.clone())),
            StoreReply::Absent if self.expect == StoreVersion::ABSENT => self.retry_write(),
            StoreReply::Absent => WriteOutcome::Superseded(None),
            StoreReply::Conflict(_) => {
                self.reading = true;
                WriteOutcome::Pending
            }
            StoreReply::Failed | StoreReply::Listed(_) => {
                self.reading = true;
                self.next_call_at = now + timing.backoff;
                WriteOutcome::Pending
            }
        }
    }

    fn retry_write(&mut self) -> WriteOutcome {
        self.reading = false;
        WriteOutcome::Pending
    }
}
