//! Election of the processes of a failure domain that watch the platform's store.
//!
//! Only a few processes watch, so that the calls to the store do not grow with the fleet. The
//! election is by rank and needs no messages of its own.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::id::{DomainId, InstanceId};
use crate::quorum::{FleetList, PeerTable};
use crate::replication::freshness::ReplicationSettings;
use crate::unit::{TimePoint, TimeSpan};

/// How many processes of a failure domain watch while none has failed.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// The most processes of a failure domain that ever watch, however many seem to have lost the
/// platform.
const CANDIDATES_PER_DOMAIN: usize = 6;
/// A watcher whose last confirmation is older than this counts as failed.
const STALE_AGE: TimeSpan = TimeSpan::from_millis(3_500);
const FIRST_BACKOFF: TimeSpan = TimeSpan::from_millis(250);
const MAX_BACKOFF: TimeSpan = TimeSpan::from_secs(2);

/// Decides whether this process is a watcher, and delays its calls after failures.
#[derive(Clone, Debug)]
pub struct WatcherElection {
    me: InstanceId,
    domain: DomainId,
    /// The earliest time of the next call.
    ready_at: TimePoint,
    backoff: TimeSpan,
}

impl WatcherElection {
    /// Creates the election as seen by process `me`, which runs in `domain`.
    pub fn new(me: InstanceId, domain: DomainId) -> Self {
        Self {
            me,
            domain,
            ready_at: TimePoint::START,
            backoff: FIRST_BACKOFF,
        }
    }

    /// Returns the processes that watch, as seen by this process.
    ///
    /// They are taken by rank until [`WATCHERS_PER_DOMAIN`] of them work; failed ones before
    /// these are included. A process always counts itself as working.
    pub fn watchers(
        &self,
        fleet: &FleetList,
        peers: &PeerTable,
        settings: &ReplicationSettings,
        now: TimePoint,
    ) -> Vec<InstanceId> {
        let mut watchers = Vec::new();
        let mut working = 0;
        for peer in fleet
            .ranked(&self.domain)
            .iter()
            .take(CANDIDATES_PER_DOMAIN)
        {
            if working == WATCHERS_PER_DOMAIN {
                break;
            }
            watchers.push(peer.clone());
            working += usize::from(*peer == self.me || !has_failed(peer, peers, settings, now));
        }
        watchers
    }

    /// Returns whether this process watches: too few working watchers rank before it.
    pub fn is_watcher(
        &self,
        fleet: &FleetList,
        peers: &PeerTable,
        settings: &ReplicationSettings,
        now: TimePoint,
    ) -> bool {
        self.watchers(fleet, peers, settings, now)
            .contains(&self.me)
    }

    /// Returns whether this process can become a watcher.
    pub fn is_candidate(&self, fleet: &FleetList) -> bool {
        let mut candidates = fleet
            .ranked(&self.domain)
            .iter()
            .take(CANDIDATES_PER_DOMAIN);
        candidates.any(|peer| *peer == self.me)
    }

    /// Returns the one of `watchers` that this process sends heartbeats to. Processes are spread
    /// evenly over the watchers.
    pub fn assign_watcher(
        &self,
        fleet: &FleetList,
        watchers: Vec<InstanceId>,
    ) -> Option<InstanceId> {
        let rank = fleet
            .ranked(&self.domain)
            .iter()
            .position(|peer| *peer == self.me)?;
        let count = watchers.len().max(1);
        watchers.into_iter().nth(rank % count)
    }

    /// Returns whether the next call may be sent.
    pub fn is_ready(&self, now: TimePoint) -> bool {
        now >= self.ready_at
    }

    /// Records a successful call, which resets the backoff.
    pub fn record_success(&mut self) {
        self.backoff = FIRST_BACKOFF;
    }

    /// Records a failed call: the next one waits for an exponential backoff with jitter.
    pub fn record_failure(&mut self, now: TimePoint, rng: &mut Pcg64Mcg) {
        let jitter = TimeSpan(rng.gen_range(0..=self.backoff.0));
        self.ready_at = now + self.backoff + jitter;
        self.backoff = TimeSpan(self.backoff.0 * 2).min(MAX_BACKOFF);
    }
}

fn has_failed(
    peer: &InstanceId,
    peers: &PeerTable,
    settings: &ReplicationSettings,
    now: TimePoint,
) -> bool {
    if peers.is_unresponsive(peer, settings.peer_timeout, now) {
        return true;
    }
    let row = peers.row(peer).filter(|row| row.acked_at.is_some());
    row.is_some_and(|row| row.confirmation.age > STALE_AGE)
}
