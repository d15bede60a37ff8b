//! The state of each peer, from its replies to heartbeats.

use std::collections::BTreeMap;

use crate::id::{InstanceId, Revision};
use crate::quorum::{FleetList, QuorumCount, QuorumUnit};
use crate::replication::Confirmation;
use crate::unit::{TimePoint, TimeSpan};

/// The state of one peer.
///
/// Times are those at which a heartbeat was sent, not those at which its reply was read: a reply
/// that waited in a buffer while this process was paused says nothing about the time after that.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerRow {
    /// When the last heartbeat was sent.
    pub sent_at: Option<TimePoint>,
    /// When the heartbeat was sent that the peer replied to last.
    pub acked_at: Option<TimePoint>,
    /// When the first heartbeat was sent that has no reply yet.
    pub unacked_since: Option<TimePoint>,
    /// The confirmation of the last reply.
    pub confirmation: Confirmation,
    /// The highest revision that the peer has reported to run.
    pub revision: Revision,
}

/// The peers that this process has sent heartbeats to or heard from.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    rows: BTreeMap<InstanceId, PeerRow>,
}

impl PeerTable {
    /// Removes the peers that are no longer listed.
    pub fn retain_listed(&mut self, fleet: &FleetList) {
        self.rows.retain(|id, _| fleet.contains(id));
    }

    /// Returns the state of `peer`.
    pub fn row(&self, peer: &InstanceId) -> Option<&PeerRow> {
        self.rows.get(peer)
    }

    /// Returns the state of all known peers.
    pub fn rows(&self) -> &BTreeMap<InstanceId, PeerRow> {
        &self.rows
    }

    /// Records that a heartbeat is sent to `peer`.
    pub fn record_heartbeat(&mut self, peer: &InstanceId, now: TimePoint) {
        let row = self.rows.entry(peer.clone()).or_default();
        row.sent_at = Some(now);
        row.unacked_since = row.unacked_since.or(Some(now));
    }

    /// Records the reply to a heartbeat that was sent at `sent_at`. Of a reply that arrives after
    /// the one to a later heartbeat, only the revision is used.
    pub fn record_reply(
        &mut self,
        peer: &InstanceId,
        confirmation: Confirmation,
        sent_at: TimePoint,
    ) {
        let row = self.rows.entry(peer.clone()).or_default();
        row.revision = row.revision.max(confirmation.revision);
        if row.acked_at > Some(sent_at) {
            return;
        }
        row.acked_at = Some(sent_at);
        row.confirmation = confirmation;
        row.unacked_since = row.sent_at.filter(|last| *last > sent_at);
    }

    /// Records the revision of a confirmation that is no reply to a heartbeat. Its age may have
    /// grown on the way, so it is not used.
    pub fn record_revision(&mut self, peer: &InstanceId, revision: Revision) {
        let row = self.rows.entry(peer.clone()).or_default();
        row.revision = row.revision.max(revision);
    }

    /// Returns whether `peer` replied to a heartbeat that is not older than `timeout`.
    pub fn is_alive(&self, peer: &InstanceId, timeout: TimeSpan, now: TimePoint) -> bool {
        let acked = self.row(peer).and_then(|row| row.acked_at);
        acked.is_some_and(|at| now.since(at) <= timeout)
    }

    /// Returns whether a heartbeat to `peer` has gone without reply for longer than `timeout`.
    pub fn is_unresponsive(&self, peer: &InstanceId, timeout: TimeSpan, now: TimePoint) -> bool {
        let unacked = self.row(peer).and_then(|row| row.unacked_since);
        unacked.is_some_and(|since| now.since(since) > timeout)
    }

    /// Counts the instances of the fleet for which `counts` is true, or the failure domains in
    /// which it is true of a majority of the representatives.
    pub fn count_where<F>(&self, fleet: &FleetList, unit: QuorumUnit, counts: F) -> QuorumCount
    where
        F: Fn(&InstanceId) -> bool,
    {
        match unit {
            QuorumUnit::Instance => QuorumCount {
                reached: fleet.instances().filter(|id| counts(id)).count() as u64,
                listed: fleet.len() as u64,
            },
            QuorumUnit::Domain => {
                let majority = |voters: &[InstanceId]| {
                    voters.iter().filter(|id| counts(id)).count() * 2 > voters.len()
                };
                let reached = fleet
                    .domains()
                    .filter(|id| majority(fleet.representatives(id)));
                QuorumCount {
                    reached: reached.count() as u64,
                    listed: fleet.domains().count() as u64,
                }
            }
        }
    }
}
