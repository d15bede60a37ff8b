//! Cooldowns that a new process requested before the list shows it.

use crate::unit::{TimePoint, TimeSpan};

/// Within which time an entry sees all broken connections of one process that has ended.
const END_SPREAD: TimeSpan = TimeSpan::from_millis(100);

/// A cooldown, and when it was requested.
#[derive(Clone, Copy, Debug)]
struct RequestedCooldown {
    requested_at: TimePoint,
    until: TimePoint,
}

/// Whether the cooldown of a backend server was requested by the process that followed the one
/// whose connections broke. See [docs/design/sending.md](../../../../../docs/design/sending.md).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SuccessorCooldown {
    /// When a connection broke last.
    broken_at: Option<TimePoint>,
    /// The cooldown in a response to a request that was sent after that.
    cooldown: Option<RequestedCooldown>,
}

impl SuccessorCooldown {
    /// Records that a connection of this or another entry broke at `broken_at`. It ends what was
    /// requested before, unless it is one more of the previous process.
    pub(super) fn note_break(&mut self, broken_at: TimePoint) {
        self.broken_at = self.broken_at.max(Some(broken_at));
        self.cooldown
            .take_if(|cooldown| broken_at.since(cooldown.requested_at) > END_SPREAD);
    }

    /// Records a cooldown in the response to a request that was sent at `sent_at`.
    pub(super) fn note_cooldown(&mut self, sent_at: TimePoint, until: TimePoint, now: TimePoint) {
        let follows = |broken_at: TimePoint| sent_at + END_SPREAD >= broken_at;
        if self.broken_at.is_some_and(follows) {
            self.cooldown = Some(RequestedCooldown {
                requested_at: now,
                until,
            });
        }
    }

    /// Returns the end of the cooldown, if it is in the future.
    pub(super) fn until(&self, now: TimePoint) -> Option<TimePoint> {
        let until = self.cooldown.map(|cooldown| cooldown.until);
        until.filter(|until| *until > now)
    }
}
