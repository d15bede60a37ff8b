//! How far this entry's copies of the list and of the configuration go, and who reads next.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use applefold_core::direct::{
    ReadPolicy, ReplicaAction, ReplicaDigest, StorePosition, StoreReplica,
};
use applefold_core::unit::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// What of the time for which a leaving backend server goes on serving one confirmation of the
/// list may last, in percent; the rest is for readers that fail and for news on their way.
const LIST_PERCENT: u64 = 25;
/// The longest such time.
const LIST_PAUSE: TimeSpan = TimeSpan::from_millis(500);
/// How long the first reader of the configuration waits for a change with each call.
pub(crate) const CONFIG_WAIT: TimeSpan = TimeSpan::from_millis(300);
/// How long a datagram may be on its way and wait for a busy entry, besides the two rounds of
/// which one may be lost.
const NEWS_TRANSIT: TimeSpan = TimeSpan::from_millis(100);
/// How much longer each further reader waits.
const READER_STEP: TimeSpan = TimeSpan::from_millis(100);
/// The pause after a call of the first reader that failed.
const RETRY_PAUSE: TimeSpan = TimeSpan::from_millis(170);

/// What an entry tells of its copies with each datagram.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ReplicaDigests {
    list: Option<DigestFields>,
    config: Option<DigestFields>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct DigestFields {
    position: u64,
    changed: u64,
    age_us: u64,
}

impl DigestFields {
    fn new(news: ReplicaDigest) -> Self {
        Self {
            position: news.position.0,
            changed: news.changed.0,
            age_us: news.age.0,
        }
    }

    fn news(self) -> ReplicaDigest {
        ReplicaDigest {
            position: StorePosition(self.position),
            changed: StorePosition(self.changed),
            age: TimeSpan(self.age_us),
        }
    }
}

/// One copy, and who is waited for.
#[derive(Default)]
pub(crate) struct ReplicaTracker {
    copy: RefCell<StoreReplica>,
    /// Wakes the reader once another entry has told of changes that are missing here.
    pub(crate) behind: Notify,
    /// Where the entry listens that told of them last.
    source: Cell<Option<SocketAddr>>,
    /// Until when the store is not asked, since it has just failed.
    failed_until: Cell<TimePoint>,
}

impl ReplicaTracker {
    /// Returns how far the copy goes; `None` before it was read once.
    pub(crate) fn position(&self) -> Option<StorePosition> {
        self.copy.borrow().position()
    }

    /// Returns when the store last confirmed the copy.
    pub(crate) fn confirmed_at(&self) -> Option<TimePoint> {
        self.copy.borrow().confirmed_at()
    }

    pub(crate) fn confirm(&self, position: StorePosition, changed: StorePosition, at: TimePoint) {
        self.copy.borrow_mut().confirm(position, changed, at);
    }

    /// Returns when this entry, at its place among the readers, asks the store itself.
    pub(crate) fn due(&self, policy: &ReadPolicy, place: usize) -> TimePoint {
        let due = self.copy.borrow().due(policy, place);
        due.max(self.failed_until.get())
    }

    /// Leaves the store alone for `span`.
    pub(crate) fn note_failure(&self, span: TimeSpan, now: TimePoint) {
        self.failed_until.set(now + span);
    }

    /// Returns whether the store is left alone, since it has just failed.
    pub(crate) fn is_failing(&self, now: TimePoint) -> bool {
        self.failed_until.get() > now
    }

    /// Returns the entry that told of changes that are missing here, once.
    pub(crate) fn take_source(&self) -> Option<SocketAddr> {
        self.source.take()
    }

    fn note_digest(
        &self,
        mark: Option<DigestFields>,
        from: SocketAddr,
        delay: TimeSpan,
        now: TimePoint,
    ) {
        let Some(mark) = mark else {
            return;
        };
        let step = self.copy.borrow_mut().hear(&mark.news(), delay, now);
        if step == ReplicaAction::Fetch {
            self.source.set(Some(from));
            self.behind.notify_one();
        }
    }
}

/// The copies of what all entries read.
#[derive(Default)]
pub(crate) struct ReplicaSet {
    pub(crate) list: ReplicaTracker,
    pub(crate) config: ReplicaTracker,
}

impl ReplicaSet {
    /// Returns what is told of the copies now.
    pub(crate) fn digests(&self, now: TimePoint) -> ReplicaDigests {
        let mark = |book: &ReplicaTracker| book.copy.borrow().news(now).map(DigestFields::new);
        ReplicaDigests {
            list: mark(&self.list),
            config: mark(&self.config),
        }
    }

    /// Takes in what another entry tells of its copies.
    pub(crate) fn note_digests(
        &self,
        marks: ReplicaDigests,
        from: SocketAddr,
        delay: TimeSpan,
        now: TimePoint,
    ) {
        self.list.note_digest(marks.list, from, delay, now);
        self.config.note_digest(marks.config, from, delay, now);
    }
}

/// Returns when entries ask for the list, where a leaving backend server serves for `drain`
/// and a round of news takes `round`.
pub(crate) fn list_policy(drain: TimeSpan, round: TimeSpan) -> ReadPolicy {
    let pause = TimeSpan(drain.0 * LIST_PERCENT / 100);
    policy(pause.min(LIST_PAUSE), round)
}

/// Returns when entries ask for the configuration; the first reader asks without a pause.
pub(crate) fn config_policy(round: TimeSpan) -> ReadPolicy {
    let first = policy(TimeSpan::ZERO, round);
    ReadPolicy {
        margin: first.margin + CONFIG_WAIT,
        ..first
    }
}

fn policy(pause: TimeSpan, round: TimeSpan) -> ReadPolicy {
    ReadPolicy {
        pause,
        margin: TimeSpan(2 * round.0) + NEWS_TRANSIT,
        step: READER_STEP,
        retry: RETRY_PAUSE,
    }
}
