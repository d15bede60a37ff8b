//! The time of day that entries agree on.
//!
//! Usage windows go by the time of day, and the clock of one instance may step
//! by seconds. A process therefore goes on from the reading at its start by a
//! clock that does not step, and takes the median of what the entries tell.

use std::collections::BTreeMap;

use crate::id::InstanceId;
use crate::unit::{TimePoint, TimeSpan};

/// How fast the process's own clock approaches its instance's time of day, in
/// microseconds per second: faster than clocks drift apart, too slow to follow a step.
const MAX_SLEW_US_PER_SEC: i64 = 1_000;
/// The oldest time of a peer that is believed.
const MAX_PEER_AGE: TimeSpan = TimeSpan::from_secs(3);

/// Follows the time of day through steps of this instance's clock.
#[derive(Clone, Debug)]
pub struct WallClock {
    /// What is added to the steady clock to give the time since the epoch, in microseconds.
    own: i64,
    observed_at: TimePoint,
    peers: BTreeMap<InstanceId, (i64, TimePoint)>,
}

impl WallClock {
    /// A reference that starts from the instance's time of day, since the epoch.
    pub fn new(now: TimePoint, since_epoch: TimeSpan) -> Self {
        Self {
            own: offset(now, since_epoch),
            observed_at: now,
            peers: BTreeMap::new(),
        }
    }

    /// Takes in the instance's time of day as it stands now.
    pub fn observe(&mut self, now: TimePoint, since_epoch: TimeSpan) {
        let elapsed = now.since(self.observed_at).0 as i64;
        let most = elapsed.saturating_mul(MAX_SLEW_US_PER_SEC) / 1_000_000;
        if most == 0 {
            return;
        }
        self.observed_at = now;
        let apart = offset(now, since_epoch) - self.own;
        self.own += apart.clamp(-most, most);
    }

    /// Takes in the time that a peer has told, which is its own and not a median.
    pub fn record_peer(&mut self, peer: &InstanceId, told: TimeSpan, now: TimePoint) {
        self.peers.insert(peer.clone(), (offset(now, told), now));
        self.peers
            .retain(|_, (_, at)| now.since(*at) <= MAX_PEER_AGE);
    }

    /// Returns this process's own time since the epoch, which is told to peers.
    pub fn local(&self, now: TimePoint) -> TimeSpan {
        TimeSpan((now.0 as i64).saturating_add(self.own).max(0) as u64)
    }

    /// Returns the time since the epoch that most entries agree on.
    pub fn median(&self, now: TimePoint) -> TimeSpan {
        let fresh = self.peers.values();
        let fresh = fresh.filter(|(_, at)| now.since(*at) <= MAX_PEER_AGE);
        let mut offsets: Vec<i64> = fresh.map(|(offset, _)| *offset).collect();
        offsets.push(self.own);
        offsets.sort_unstable();
        let median = offsets[(offsets.len() - 1) / 2];
        TimeSpan((now.0 as i64).saturating_add(median).max(0) as u64)
    }
}

fn offset(now: TimePoint, since_epoch: TimeSpan) -> i64 {
    since_epoch.0 as i64 - now.0 as i64
}
