//! Whether the store has been available without a break, as all entries together saw it, and which
//! registrations may have expired only because it was not.
//!
//! A registration that is missing belongs to a backend server that is gone, unless an outage of the
//! store kept its heartbeats out. Each entry learns when the store confirmed the list, to whichever
//! entry, so a break shows as a gap between two confirmations. What a process has not seen itself, for
//! it started lately or was cut off, it takes from the others. See
//! [docs/design/reading.md](../../../../docs/design/reading.md#missing-registrations).

use std::collections::BTreeMap;

use crate::direct::StoreEra;
use crate::id::BackendId;
use crate::unit::{TimePoint, TimeSpan};

/// How long after an outage of the store a registration that expired meanwhile may still come back.
/// The platform states about two seconds.
pub const RETURN_TIME: TimeSpan = TimeSpan::from_millis(2_000);
/// A registration expires after three heartbeat intervals without one, and the last one may have come
/// an interval before an outage. The longest gap that expires nothing is shorter than two, in percent.
const GAP_PERCENT: u64 = 150;
/// The transit time up to which a statement of another entry still holds.
const MAX_TRANSIT: TimeSpan = TimeSpan::from_millis(300);

/// The time for which the store has confirmed the list without a gap.
#[derive(Clone, Copy, Debug)]
pub struct StoreContinuity {
    max_gap: TimeSpan,
    since: Option<TimePoint>,
    confirmed_at: Option<TimePoint>,
    era: StoreEra,
}

impl StoreContinuity {
    /// Creates the continuity of a process that has just started, on a platform whose backend servers
    /// write their registrations at this interval.
    pub fn new(heartbeat_interval: TimeSpan) -> Self {
        Self {
            max_gap: TimeSpan(heartbeat_interval.0 * GAP_PERCENT / 100),
            since: None,
            confirmed_at: None,
            era: StoreEra::default(),
        }
    }

    /// Records that the store confirmed the list at `confirmed_at`, in this era.
    pub fn observe(&mut self, confirmed_at: TimePoint, era: StoreEra) {
        if self.confirmed_at.is_some_and(|last| confirmed_at <= last) && era <= self.era {
            return;
        }
        let unbroken = self
            .confirmed_at
            .is_some_and(|last| confirmed_at.since(last) <= self.max_gap);
        // In a new era the store lacks registrations that were written after its copy was taken.
        if !unbroken || era > self.era {
            self.since = Some(confirmed_at);
        }
        self.era = self.era.max(era);
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// Returns for how long the store has been available until `now`; `None` if the last confirmation
    /// is too old to tell.
    pub fn span(&self, now: TimePoint) -> Option<TimeSpan> {
        let is_current = |last: TimePoint| now.since(last) <= self.max_gap;
        let since = self.since?;
        self.confirmed_at
            .is_some_and(is_current)
            .then(|| now.since(since))
    }

    /// Merges the span that another entry states, after `transit` on the way. This process may have
    /// started within it, or have been cut off.
    pub fn merge(&mut self, span: TimeSpan, era: StoreEra, transit: TimeSpan, now: TimePoint) {
        let own = self.span(now);
        let is_longer = own.is_some_and(|own| own < span);
        if is_longer && era == self.era && transit <= MAX_TRANSIT {
            self.since = Some(now - span);
        }
    }

    /// Returns the era of the latest confirmation.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns whether a registration that is found missing at `at` belongs to a backend server that is
    /// gone: all that expired in an earlier outage would be back.
    pub fn is_removal(&self, at: TimePoint, now: TimePoint) -> bool {
        let age = now.since(at);
        self.span(now).is_some_and(|span| span >= age + RETURN_TIME)
    }

    /// Returns until when a registration that is found missing at `now` may come back.
    fn return_deadline(&self, now: TimePoint) -> TimePoint {
        match (self.span(now), self.since) {
            (Some(_), Some(since)) => since + RETURN_TIME,
            _ => now + RETURN_TIME,
        }
    }
}

/// Why a backend server whose registration had expired is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemovalCause {
    /// The store had been available all the while.
    NoOutage,
    /// Its registration did not come back after an outage.
    NoReturn,
}

impl RemovalCause {
    /// Returns the name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoOutage => "no outage of the store",
            Self::NoReturn => "no return",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ExpiredRow {
    noticed_at: TimePoint,
    deadline: TimePoint,
}

/// Backend servers whose registrations are missing, perhaps only because of an outage.
#[derive(Clone, Debug, Default)]
pub struct ExpiredServers(BTreeMap<BackendId, ExpiredRow>);

impl ExpiredServers {
    /// Records that the registration of a backend server is missing.
    pub fn insert(&mut self, id: BackendId, continuity: &StoreContinuity, now: TimePoint) {
        self.0.entry(id).or_insert(ExpiredRow {
            noticed_at: now,
            deadline: continuity.return_deadline(now),
        });
    }

    /// Records that a backend server is registered again, or removed.
    pub fn remove(&mut self, id: &BackendId) {
        self.0.remove(id);
    }

    /// Takes the backend servers that are gone. `confirmed_at` is when the store confirmed the list.
    pub fn take_gone(
        &mut self,
        continuity: &StoreContinuity,
        confirmed_at: TimePoint,
        now: TimePoint,
    ) -> Vec<(BackendId, RemovalCause)> {
        let mut gone = Vec::new();
        for (id, row) in &self.0 {
            if continuity.is_removal(row.noticed_at, now) {
                gone.push((id.clone(), RemovalCause::NoOutage));
            } else if row.deadline <= confirmed_at {
                gone.push((id.clone(), RemovalCause::NoReturn));
            }
        }
        for (id, _) in &gone {
            self.0.remove(id);
        }
        gone
    }
}
