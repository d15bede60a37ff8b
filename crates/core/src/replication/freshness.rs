//! How fresh a process's configuration is known to be.

use serde::{Deserialize, Serialize};

use crate::code::{CallRefusal, ResultCode};
use crate::id::Revision;
use crate::unit::{TimePoint, TimeSpan};

/// Clocks of two instances may run apart by this much; ages from peers are stretched by it.
const CLOCK_DRIFT_PERCENT: u64 = 1;
const WHOLE_PERCENT: u64 = 100;
const REFUSAL_RETRY: TimeSpan = TimeSpan::from_secs(1);

/// What a process tells its peers about its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The revision that it runs.
    pub revision: Revision,
    /// How long ago the platform had no later revision; [`Confirmation::NEVER`] if never heard.
    pub age: TimeSpan,
    /// Whether the sender's own count of the fleet lets it serve on. A count that the sender
    /// was told of is not passed on, since it would circle and never die.
    pub reach_holds: bool,
}

impl Confirmation {
    /// The age of what the platform never confirmed.
    pub const NEVER: TimeSpan = TimeSpan(u64::MAX);

    /// Returns whether the sender has had a standing since its start; one that has not may
    /// lack a revision that its predecessor in the list had acknowledged.
    pub fn is_established(&self) -> bool {
        self.age != Self::NEVER || self.reach_holds
    }

    /// Returns the time of the confirmation on the clock of a process that asked at `asked_at`.
    fn confirmed_at(&self, asked_at: TimePoint) -> Option<TimePoint> {
        if self.age == Self::NEVER {
            return None;
        }
        let drift = TimeSpan(self.age.0 / WHOLE_PERCENT * CLOCK_DRIFT_PERCENT);
        asked_at
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

/// When a process without confirmation by the platform serves keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnconfirmedRule {
    /// Always: a withdrawn key lives as long as a partition.
    ServeAlways,
    /// Never: an outage of the platform stops everybody.
    RefuseAlways,
    /// While at least half of the fleet is reached.
    RequireQuorum,
}

/// The times that bound how long a withdrawn key can live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// When to serve without confirmation.
    pub rule: UnconfirmedRule,
    /// How long a confirmation by the platform lets a process serve.
    pub confirm_bound: TimeSpan,
    /// How long the count of a head lets the others of its failure domain serve.
    pub quorum_bound: TimeSpan,
    /// How long a reply counts, and after which time without one a peer is silent.
    pub peer_timeout: TimeSpan,
    /// The time between two questions to the same peer.
    pub heartbeat_interval: TimeSpan,
    /// Up to this many instances each one is counted, beyond it failure domains are.
    pub max_counted_instances: usize,
}

impl Default for ReplicaSettings {
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

/// The standing of one process.
#[derive(Clone, Debug, Default)]
pub struct ConfigFreshness {
    started_at: Option<TimePoint>,
    confirmed_at: Option<TimePoint>,
    quorum_at: Option<TimePoint>,
    pending: Option<PendingConfirmation>,
}

impl ConfigFreshness {
    /// Notes that the platform had no revision beyond the own one at `at`.
    pub fn confirm(&mut self, at: TimePoint) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Notes that a count of the fleet held at `at` and knew no revision beyond the own one.
    pub fn record_quorum(&mut self, at: TimePoint) {
        self.quorum_at = self.quorum_at.max(Some(at));
    }

    /// Takes over a peer's confirmation; one of a later revision waits until that is applied.
    pub fn merge(&mut self, said: &Confirmation, asked_at: TimePoint, own: Revision) {
        let Some(at) = said.confirmed_at(asked_at) else {
            return;
        };
        if said.revision <= own {
            return self.confirm(at);
        }
        let fresher = self.pending.is_none_or(|pending| pending.at < at);
        if fresher {
            self.pending = Some(PendingConfirmation {
                revision: said.revision,
                at,
            });
        }
    }

    /// Notes that the own configuration went forward.
    pub fn advance(&mut self, own: Revision) {
        if let Some(pending) = self.pending.filter(|pending| pending.revision <= own) {
            self.pending = None;
            self.confirm(pending.at);
        }
    }

    /// Returns the time since the platform's confirmation.
    pub fn age(&self, now: TimePoint) -> TimeSpan {
        self.confirmed_at
            .map_or(Confirmation::NEVER, |at| now.since(at))
    }

    /// Notes the start of the process, once.
    pub fn start(&mut self, now: TimePoint) {
        self.started_at = self.started_at.or(Some(now));
    }

    /// Returns whether the configuration was current at some time after the start, so that it
    /// holds whatever the process's predecessor in the list had acknowledged.
    pub fn is_established(&self) -> bool {
        let confirmed = self.started_at.is_some() && self.confirmed_at >= self.started_at;
        confirmed || self.quorum_at.is_some()
    }

    /// Decides whether to serve a keyed request now, given what the own count says.
    pub fn check(
        &self,
        settings: &ReplicaSettings,
        own: Revision,
        counted: bool,
        now: TimePoint,
    ) -> Result<(), CallRefusal> {
        let confirmed = self.age(now) <= settings.confirm_bound;
        let by_quorum = self
            .quorum_at
            .is_some_and(|at| now.since(at) <= settings.quorum_bound);
        let serves = match settings.rule {
            UnconfirmedRule::ServeAlways => own > Revision::default(),
            UnconfirmedRule::RefuseAlways => confirmed,
            UnconfirmedRule::RequireQuorum => confirmed || counted || by_quorum,
        };
        match serves {
            true => Ok(()),
            false => Err(CallRefusal::retryable(
                ResultCode::ConfigUnconfirmed,
                REFUSAL_RETRY,
            )),
        }
    }
}
