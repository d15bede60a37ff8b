//! Which processes of a failure domain watch the platform, so that calls do not grow with the fleet.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::id::{DomainId, InstanceId};
use crate::quorum::{FleetList, PeerTable};
use crate::replication::freshness::ReplicaSettings;
use crate::unit::{TimePoint, TimeSpan};

/// How many processes of a failure domain watch while all is well.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// No more than this many ever watch, however many seem to have lost the platform.
const CANDIDATES_PER_DOMAIN: usize = 6;
/// A watcher that is further behind than this is not counted as one.
const STALE_AGE: TimeSpan = TimeSpan::from_millis(3_500);
const FIRST_BACKOFF: TimeSpan = TimeSpan::from_millis(250);
const MAX_BACKOFF: TimeSpan = TimeSpan::from_secs(2);

/// Paces the calls of a watcher and says whether this process is one.
#[derive(Clone, Debug)]
pub struct WatcherElection {
    me: InstanceId,
    domain: DomainId,
    ready_at: TimePoint,
    backoff: TimeSpan,
}

impl WatcherElection {
    /// The duty of process `me`, which runs in `domain`.
    pub fn new(me: InstanceId, domain: DomainId) -> Self {
        Self {
            me,
            domain,
            ready_at: TimePoint::START,
            backoff: FIRST_BACKOFF,
        }
    }

    /// Returns the processes that watch, as seen from here: in the order of ranks, up to the
    /// last good watcher that is needed. Where nobody else is listed, this process watches.
    pub fn watchers(
        &self,
        fleet: &FleetList,
        peers: &PeerTable,
        settings: &ReplicaSettings,
        now: TimePoint,
    ) -> Vec<InstanceId> {
        let mut asked = Vec::new();
        let mut good = 0;
        for peer in fleet
            .ranked(&self.domain)
            .iter()
            .take(CANDIDATES_PER_DOMAIN)
        {
            if good == WATCHERS_PER_DOMAIN {
                break;
            }
            asked.push(peer.clone());
            good += usize::from(*peer == self.me || !is_lost(peer, peers, settings, now));
        }
        asked
    }

    /// Returns whether this process watches: fewer good watchers than needed rank before it.
    pub fn is_watcher(
        &self,
        fleet: &FleetList,
        peers: &PeerTable,
        settings: &ReplicaSettings,
        now: TimePoint,
    ) -> bool {
        self.watchers(fleet, peers, settings, now)
            .contains(&self.me)
    }

    /// Returns whether this process may come to watch.
    pub fn is_candidate(&self, fleet: &FleetList) -> bool {
        let mut candidates = fleet
            .ranked(&self.domain)
            .iter()
            .take(CANDIDATES_PER_DOMAIN);
        candidates.any(|peer| *peer == self.me)
    }

    /// Picks the one of `watchers` that this process asks, so that each is asked by as many.
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

    /// Returns whether the next call may go out.
    pub fn is_ready(&self, now: TimePoint) -> bool {
        now >= self.ready_at
    }

    /// Notes a success: the next call may follow.
    pub fn record_success(&mut self) {
        self.backoff = FIRST_BACKOFF;
    }

    /// Notes a failure: later calls wait longer, and not all processes the same time.
    pub fn record_failure(&mut self, now: TimePoint, rng: &mut Pcg64Mcg) {
        let jitter = TimeSpan(rng.gen_range(0..=self.backoff.0));
        self.ready_at = now + self.backoff + jitter;
        self.backoff = TimeSpan(self.backoff.0 * 2).min(MAX_BACKOFF);
    }
}

fn is_lost(
    peer: &InstanceId,
    peers: &PeerTable,
    settings: &ReplicaSettings,
    now: TimePoint,
) -> bool {
    if peers.is_unresponsive(peer, settings.peer_timeout, now) {
        return true;
    }
    let row = peers.row(peer).filter(|row| row.acked_at.is_some());
    row.is_some_and(|row| row.confirmation.age > STALE_AGE)
}
