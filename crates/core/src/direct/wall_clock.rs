//! The wall clock time that entries agree on.
//!
//! Usage windows follow the wall clock, and the wall clock of an instance may step by seconds. A
//! process therefore reads it at its start and continues with the monotonic clock. The agreed time
//! is the median of the times that the entries gossip.

use std::collections::BTreeMap;

use crate::id::InstanceId;
use crate::unit::{TimePoint, TimeSpan};

/// The rate at which the local time is slewed to the instance's wall clock, in microseconds per
/// second. It is faster than clocks drift apart and too slow to follow a step.
const MAX_SLEW_US_PER_SEC: i64 = 1_000;
/// The age after which the time of a peer is ignored.
const MAX_PEER_AGE: TimeSpan = TimeSpan::from_secs(3);

/// A wall clock that does not follow steps of its instance's clock.
#[derive(Clone, Debug)]
pub struct WallClock {
    /// The offset of the local wall clock time from the monotonic clock, in microseconds.
    offset_us: i64,
    observed_at: TimePoint,
    /// The offset in microseconds that each peer sent last, and when it arrived.
    peers: BTreeMap<InstanceId, (i64, TimePoint)>,
}

impl WallClock {
    /// Creates a clock that starts from the instance's wall clock time since the Unix epoch.
    pub fn new(now: TimePoint, since_epoch: TimeSpan) -> Self {
        Self {
            offset_us: offset(now, since_epoch),
            observed_at: now,
            peers: BTreeMap::new(),
        }
    }

    /// Slews the local time towards the instance's wall clock time.
    pub fn observe(&mut self, now: TimePoint, since_epoch: TimeSpan) {
        let elapsed = now.since(self.observed_at).0 as i64;
        let max_slew = elapsed.saturating_mul(MAX_SLEW_US_PER_SEC) / 1_000_000;
        if max_slew == 0 {
            return;
        }
        self.observed_at = now;
        let error = offset(now, since_epoch) - self.offset_us;
        self.offset_us += error.clamp(-max_slew, max_slew);
    }

    /// Records the time that a peer sent. It must be the peer's local time, not its median.
    pub fn record_peer(&mut self, peer: &InstanceId, local: TimeSpan, now: TimePoint) {
        self.peers.insert(peer.clone(), (offset(now, local), now));
        self.peers
            .retain(|_, (_, at)| now.since(*at) <= MAX_PEER_AGE);
    }

    /// Returns this process's local time since the Unix epoch, which is sent to peers.
    pub fn local(&self, now: TimePoint) -> TimeSpan {
        TimeSpan((now.0 as i64).saturating_add(self.offset_us).max(0) as u64)
    }

    /// Returns the median of the local time and the recent times of peers, since the Unix epoch.
    pub fn median(&self, now: TimePoint) -> TimeSpan {
        let fresh = self.peers.values();
        let fresh = fresh.filter(|(_, at)| now.since(*at) <= MAX_PEER_AGE);
        let mut offsets: Vec<i64> = fresh.map(|(offset, _)| *offset).collect();
        offsets.push(self.offset_us);
        offsets.sort_unstable();
        let median = offsets[(offsets.len() - 1) / 2];
        TimeSpan((now.0 as i64).saturating_add(median).max(0) as u64)
    }
}

/// Returns the offset of a time since the Unix epoch from the monotonic clock, in microseconds.
fn offset(now: TimePoint, since_epoch: TimeSpan) -> i64 {
    since_epoch.0 as i64 - now.0 as i64
}
