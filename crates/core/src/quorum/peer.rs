//! What is known of each peer, from the replies to heartbeats.

use std::collections::BTreeMap;

use crate::id::{InstanceId, Revision};
use crate::quorum::{FleetList, QuorumCount, QuorumUnit};
use crate::replication::Confirmation;
use crate::unit::{TimePoint, TimeSpan};

/// What is known of one peer.
///
/// Times are those at which the question was sent: a reply that waited in a
/// buffer while the process was paused says nothing of the time after that.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerRow {
    /// When the last question was sent.
    pub sent_at: Option<TimePoint>,
    /// When the question was sent that the peer replied to last.
    pub acked_at: Option<TimePoint>,
    /// When the first question was sent that has no reply yet.
    pub unacked_since: Option<TimePoint>,
    /// What the peer said last.
    pub confirmation: Confirmation,
    /// The highest revision that the peer was heard to run.
    pub revision: Revision,
}

/// The peers that this process has asked or heard.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    rows: BTreeMap<InstanceId, PeerRow>,
}

impl PeerTable {
    /// Forgets the peers that are no longer listed.
    pub fn retain_listed(&mut self, fleet: &FleetList) {
        self.rows.retain(|id, _| fleet.contains(id));
    }

    /// Returns what is known of `peer`.
    pub fn row(&self, peer: &InstanceId) -> Option<&PeerRow> {
        self.rows.get(peer)
    }

    /// Returns the peers known of.
    pub fn rows(&self) -> &BTreeMap<InstanceId, PeerRow> {
        &self.rows
    }

    /// Notes that a question is sent to `peer`.
    pub fn record_heartbeat(&mut self, peer: &InstanceId, now: TimePoint) {
        let row = self.rows.entry(peer.clone()).or_default();
        row.sent_at = Some(now);
        row.unacked_since = row.unacked_since.or(Some(now));
    }

    /// Notes the reply to a question that was sent at `asked_at`.
    pub fn record_reply(&mut self, peer: &InstanceId, said: Confirmation, asked_at: TimePoint) {
        let row = self.rows.entry(peer.clone()).or_default();
        row.revision = row.revision.max(said.revision);
        if row.acked_at > Some(asked_at) {
            return;
        }
        row.acked_at = Some(asked_at);
        row.confirmation = said;
        row.unacked_since = row.sent_at.filter(|last| *last > asked_at);
    }

    /// Notes what a peer says unasked: its age may have grown on the way, so only its revision counts.
    pub fn record_revision(&mut self, peer: &InstanceId, revision: Revision) {
        let row = self.rows.entry(peer.clone()).or_default();
        row.revision = row.revision.max(revision);
    }

    /// Returns whether `peer` replied to a question not older than `timeout`.
    pub fn is_alive(&self, peer: &InstanceId, timeout: TimeSpan, now: TimePoint) -> bool {
        let heard = self.row(peer).and_then(|row| row.acked_at);
        heard.is_some_and(|at| now.since(at) <= timeout)
    }

    /// Returns whether `peer` left a question without reply for longer than `timeout`.
    pub fn is_unresponsive(&self, peer: &InstanceId, timeout: TimeSpan, now: TimePoint) -> bool {
        let waiting = self.row(peer).and_then(|row| row.unacked_since);
        waiting.is_some_and(|since| now.since(since) > timeout)
    }

    /// Counts the share of the fleet for which `counts` holds.
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
                let majority = |heads: &[InstanceId]| {
                    heads.iter().filter(|id| counts(id)).count() * 2 > heads.len()
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
