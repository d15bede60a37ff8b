//! How recently a process's configuration was confirmed to be current.

use serde::{Deserialize, Serialize};

use crate::code::{CallRefusal, ResultCode};
use crate::id::Revision;
use crate::unit::{TimePoint, TimeSpan};

/// The most by which the clocks of two instances may drift apart. Ages received from peers are
/// increased by it.
const CLOCK_DRIFT_PERCENT: u64 = 1;
const WHOLE_PERCENT: u64 = 100;
const UNCONFIRMED_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// What a process reports to its peers about its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The revision that the sender runs.
    pub revision: Revision,
    /// How long ago the platform confirmed that there was no later revision;
    /// [`Confirmation::NEVER`] if it never did.
    pub age: TimeSpan,
    /// Whether the sender itself counts a quorum to serve by. A quorum that it learned of from
    /// another process is not passed on, since it would circulate without end.
    pub reach_holds: bool,
}

impl Confirmation {
    /// The age of a configuration that the platform never confirmed.
    pub const NEVER: TimeSpan = TimeSpan(u64::MAX);

    /// Returns whether the sender's configuration has been confirmed since its start. One that
    /// has not may lack a revision that its predecessor in the list acknowledged.
    pub fn is_established(&self) -> bool {
        self.age != Self::NEVER || self.reach_holds
    }

    /// Returns the time of the platform's confirmation on the clock of the process whose
    /// heartbeat was sent at `sent_at`. Returns `None` if there was none, or if it was before the
    /// start of that clock.
    fn confirmed_at(&self, sent_at: TimePoint) -> Option<TimePoint> {
        if self.age == Self::NEVER {
            return None;
        }
        let drift = TimeSpan(self.age.0 / WHOLE_PERCENT * CLOCK_DRIFT_PERCENT);
        sent_at
            .0
            .checked_sub(self.age.0)?
            .checked_sub(drift.0)
            .map(TimePoint)
    }
}

impl Default for Confirmation {
    fn default() -> Self {
        Self {
            revision: Revision::default(),
            age: Self::NEVER,
            reach_holds: false,
        }
    }
}

/// When a process without recent confirmation by the platform serves keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnconfirmedRule {
    /// Always. A withdrawn key is accepted for as long as a partition lasts.
    ServeAlways,
    /// Never. An outage of the platform stops all processes.
    RefuseAlways,
    /// While at least half of the fleet replies, to this process or to a representative of its
    /// failure domain.
    RequireQuorum,
}

/// The settings of a replica. Its times bound how long a withdrawn key can be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationSettings {
    /// When to serve without confirmation by the platform.
    pub rule: UnconfirmedRule,
    /// How long after a confirmation by the platform a process serves.
    pub confirm_bound: TimeSpan,
    /// How long after a representative counted a quorum the other processes of its failure domain
    /// serve.
    pub quorum_bound: TimeSpan,
    /// How long after a heartbeat its reply counts, and after how long without a reply a peer is
    /// unresponsive.
    pub peer_timeout: TimeSpan,
    /// The time between two heartbeats to the same peer.
    pub heartbeat_interval: TimeSpan,
    /// The largest fleet in which each instance is counted. In a larger one, failure domains are.
    pub max_counted_instances: usize,
}

impl Default for ReplicationSettings {
    fn default() -> Self {
        Self {
            rule: UnconfirmedRule::RequireQuorum,
            confirm_bound: TimeSpan::from_secs(5),
            quorum_bound: TimeSpan::from_secs(2),
            peer_timeout: TimeSpan::from_millis(2_500),
            heartbeat_interval: TimeSpan::from_secs(1),
            max_counted_instances: 64,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingConfirmation {
    revision: Revision,
    at: TimePoint,
}

/// When a process's configuration was last confirmed to be current.
#[derive(Clone, Debug, Default)]
pub struct ConfigFreshness {
    /// When the process started.
    started_at: Option<TimePoint>,
    /// When the platform last had no later revision.
    confirmed_at: Option<TimePoint>,
    /// When a quorum of the fleet was last counted.
    quorum_at: Option<TimePoint>,
    /// A peer's confirmation of a revision that is not applied here yet.
    pending: Option<PendingConfirmation>,
}

impl ConfigFreshness {
    /// Records that at `at` the platform had no later revision than this process.
    pub fn confirm(&mut self, at: TimePoint) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records that at `at` there was a quorum in which no process had a later revision.
    pub fn record_quorum(&mut self, at: TimePoint) {
        self.quorum_at = self.quorum_at.max(Some(at));
    }

    /// Merges a peer's confirmation. One of a later revision takes effect when that revision is
    /// applied.
    pub fn merge(&mut self, confirmation: &Confirmation, sent_at: TimePoint, own: Revision) {
        let Some(at) = confirmation.confirmed_at(sent_at) else {
            return;
        };
        if confirmation.revision <= own {
            return self.confirm(at);
        }
        let newer = self.pending.is_none_or(|pending| pending.at < at);
        if newer {
            self.pending = Some(PendingConfirmation {
                revision: confirmation.revision,
                at,
            });
        }
    }

    /// Records that this process now runs revision `own`.
    pub fn advance(&mut self, own: Revision) {
        if let Some(pending) = self.pending.filter(|pending| pending.revision <= own) {
            self.pending = None;
            self.confirm(pending.at);
        }
    }

    /// Returns the time since the platform's last confirmation.
    pub fn age(&self, now: TimePoint) -> TimeSpan {
        self.confirmed_at
            .map_or(Confirmation::NEVER, |at| now.since(at))
    }

    /// Records the start of the process; later calls have no effect.
    pub fn start(&mut self, now: TimePoint) {
        self.started_at = self.started_at.or(Some(now));
    }

    /// Returns whether the configuration was confirmed as current at some time after the start.
    /// Then it contains whatever the process's predecessor in the list had acknowledged.
    pub fn is_established(&self) -> bool {
        let confirmed = self.started_at.is_some() && self.confirmed_at >= self.started_at;
        confirmed || self.quorum_at.is_some()
    }

    /// Decides whether to serve a keyed request now. `own` is the revision that this process runs,
    /// and `quorum` says whether it counts a quorum itself.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::ConfigUnconfirmed`] what may not be served.
    pub fn check(
        &self,
        settings: &ReplicationSettings,
        own: Revision,
        quorum: bool,
        now: TimePoint,
    ) -> Result<(), CallRefusal> {
        let confirmed = self.age(now) <= settings.confirm_bound;
        let by_quorum = self
            .quorum_at
            .is_some_and(|at| now.since(at) <= settings.quorum_bound);
        let serves = match settings.rule {
            UnconfirmedRule::ServeAlways => own > Revision::default(),
            UnconfirmedRule::RefuseAlways => confirmed,
            UnconfirmedRule::RequireQuorum => confirmed || quorum || by_quorum,
        };
        match serves {
            true => Ok(()),
            false => Err(CallRefusal::retryable(
                ResultCode::ConfigUnconfirmed,
                UNCONFIRMED_RETRY_AFTER,
            )),
        }
    }
}
