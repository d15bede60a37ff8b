//! One write by compare-and-swap that survives lost answers.

use super::store::{CallNumber, StoreCall, StoreEntry, StoreKey, StoreReply, StoreVersion};
use crate::unit::{TimePoint, TimeSpan};

/// The times that a write goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WriteTiming {
    /// How long an answer is waited for.
    pub(crate) timeout: TimeSpan,
    /// The time between a failure and the next call.
    pub(crate) backoff: TimeSpan,
}

/// What an answer means for the write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// Nothing is settled yet.
    Pending,
    /// The value is stored under this version.
    Written(StoreVersion),
    /// Something else is stored, or the key is gone.
    Superseded(Option<StoreEntry>),
}

/// A write whose value no other write can equal.
///
/// A conflict may be with this very write, sent by a call whose answer was
/// lost, so that both a conflict and a lost answer are settled by reading.
#[derive(Clone, Debug)]
pub(crate) struct StoreWrite {
    key: StoreKey,
    value: String,
    expect: StoreVersion,
    call: Option<CallNumber>,
    reading: bool,
    due: TimePoint,
}

impl StoreWrite {
    pub(crate) fn new(now: TimePoint, key: StoreKey, value: String, expect: StoreVersion) -> Self {
        Self {
            key,
            value,
            expect,
            call: None,
            reading: false,
            due: now,
        }
    }

    /// Returns the next call, where one is due.
    pub(crate) fn next_call(
        &mut self,
        now: TimePoint,
        calls: &mut CallNumber,
        times: WriteTiming,
    ) -> Option<StoreCall> {
        if now < self.due {
            return None;
        }
        if self.call.is_some() {
            self.reading = true;
        }
        let call = calls.advance();
        let key = self.key.clone();
        self.call = Some(call);
        self.due = now + times.timeout;
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

    /// Takes an answer, if it is to the last call.
    pub(crate) fn handle_reply(
        &mut self,
        now: TimePoint,
        call: CallNumber,
        reply: &StoreReply,
        times: WriteTiming,
    ) -> WriteOutcome {
        if self.call != Some(call) {
            return WriteOutcome::Pending;
        }
        self.call = None;
        self.due = now;
        match reply {
            StoreReply::Written(version) => WriteOutcome::Written(*version),
            StoreReply::Found(entry) if entry.value == self.value => {
                WriteOutcome::Written(entry.version)
            }
            StoreReply::Found(entry) if entry.version == self.expect => self.write_again(),
            StoreReply::Found(entry) => WriteOutcome::Superseded(Some(entry.clone())),
            StoreReply::Absent if self.expect == StoreVersion::ABSENT => self.write_again(),
            StoreReply::Absent => WriteOutcome::Superseded(None),
            StoreReply::Conflict(_) => {
                self.reading = true;
                WriteOutcome::Pending
            }
            StoreReply::Failed | StoreReply::Listed(_) => {
                self.reading = true;
                self.due = now + times.backoff;
                WriteOutcome::Pending
            }
        }
    }

    fn write_again(&mut self) -> WriteOutcome {
        self.reading = false;
        WriteOutcome::Pending
    }
}
