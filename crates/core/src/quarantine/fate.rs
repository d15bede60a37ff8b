//! Whether an incarnation of a backend server has ended, as its registration shows.
//!
//! A connection that breaks says little: the process may have ended, or only its response was lost. Its
//! registration settles which, whatever the traffic, however late it is asked. See
//! [docs/design/quarantine.md](../../../../docs/design/quarantine.md#settling-a-suspicion).

use super::BackendRun;
use crate::unit::{TimePoint, TimeSpan};

/// A registration outlives its process by three heartbeat intervals. Half an interval is added for the
/// time until the store has removed it. In percent of an interval.
const REGISTRATION_LIFE_PERCENT: u64 = 350;

/// What has become of an incarnation that is suspected of having crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFate {
    /// It has registered since: only a connection broke.
    Running,
    /// Another incarnation has taken its place, or its registration is gone.
    Ended,
    /// Nothing is known yet.
    Unknown,
}

/// How a backend server stands on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunListing {
    /// It is registered with this incarnation.
    Listed(u64),
    /// Its registration is missing, perhaps only because of an outage of the store.
    Expired,
    /// It is not on the list.
    Missing,
}

/// What the list of backend servers proves.
#[derive(Clone, Copy, Debug)]
pub struct ListProof {
    confirmed_at: Option<TimePoint>,
    available_since: Option<TimePoint>,
    registration_life: TimeSpan,
}

impl ListProof {
    /// Creates the proof by a list that the store last confirmed at `confirmed_at`, and has served without
    /// a break since `available_since`, `None` if that is unknown. Backend servers register anew each
    /// `heartbeat_interval`.
    pub fn new(
        confirmed_at: Option<TimePoint>,
        available_since: Option<TimePoint>,
        heartbeat_interval: TimeSpan,
    ) -> Self {
        Self {
            confirmed_at,
            available_since,
            registration_life: registration_life(heartbeat_interval),
        }
    }

    /// Returns what has become of an incarnation that may have crashed at `crashed_at`.
    ///
    /// Repeated crashes of one incarnation are counted under the numbers after its own, and a later
    /// incarnation has a start time that is seconds higher.
    pub fn fate(&self, run: &BackendRun, listing: RunListing, crashed_at: TimePoint) -> RunFate {
        match listing {
            RunListing::Listed(_) if run.incarnation == 0 => RunFate::Unknown,
            RunListing::Listed(incarnation) if incarnation > run.incarnation => RunFate::Ended,
            RunListing::Listed(_) if self.has_registered_since(crashed_at) => RunFate::Running,
            RunListing::Missing if self.confirmed_at > Some(crashed_at) => RunFate::Ended,
            RunListing::Listed(_) | RunListing::Expired | RunListing::Missing => RunFate::Unknown,
        }
    }

    /// Returns whether whatever is registered has written that after `time`. While the store is not
    /// available, registrations may stay although nothing is written.
    fn has_registered_since(&self, time: TimePoint) -> bool {
        let (Some(confirmed_at), Some(available_since)) = (self.confirmed_at, self.available_since)
        else {
            return false;
        };
        confirmed_at.since(time.max(available_since)) >= self.registration_life
    }
}

/// Returns how long a registration may outlive its process.
pub fn registration_life(heartbeat_interval: TimeSpan) -> TimeSpan {
    TimeSpan(heartbeat_interval.0 * REGISTRATION_LIFE_PERCENT / 100)
}
