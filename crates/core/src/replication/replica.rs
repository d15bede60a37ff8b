//! One process's replica of the configuration.

use std::collections::BTreeSet;

use rand_pcg::Pcg64Mcg;

use crate::config::ServingConfig;
use crate::id::{DomainId, InstanceId, Revision};
use crate::quorum::{FleetList, ListedInstance, PeerTable, QuorumUnit};
use crate::replication::election::WatcherElection;
use crate::replication::freshness::{ConfigFreshness, Confirmation, ReplicationSettings};
use crate::ticket::{ConfigPush, ConfigReader, ReadProgress, StoreCall, StoreReply};
use crate::unit::{TimePoint, TimeSpan};

/// How long the reply to a fetch is awaited before another one is sent.
const FETCH_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);
/// A confirmation older than this is late. It lies above the age that confirmations reach between
/// two heartbeats while nothing fails.
const LATE_CONFIRMATION_AGE: TimeSpan = TimeSpan::from_millis(3_250);
/// How long an answer of the store is awaited.
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(3);

/// The sequence number of a call to the store, which matches its answer to it. A late answer to an
/// earlier call is recognized by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallNumber(pub u64);

/// An action that the caller of [`ConfigReplica::tick`] has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicationAction {
    /// Send a heartbeat, and pass its reply to [`ConfigReplica::handle_reply`].
    Heartbeat {
        /// The receiver.
        peer: InstanceId,
    },
    /// Fetch later revisions, and pass them to [`ConfigReplica::handle_push`].
    Fetch {
        /// The peer to fetch from.
        peer: InstanceId,
        /// The revision that this process has.
        known: Revision,
    },
    /// Call the store, and pass its answer to [`ConfigReplica::handle_answer`].
    Call {
        /// The number to pass back with the answer.
        number: CallNumber,
        /// The call to send.
        call: StoreCall,
    },
}

#[derive(Clone, Copy, Debug)]
struct OpenCall {
    number: CallNumber,
    sent_at: TimePoint,
}

/// One process's replica of the configuration log.
///
/// It follows the log by the store or by peers, and decides whether the configuration is recent
/// enough to serve by.
#[derive(Clone, Debug)]
pub struct ConfigReplica {
    pub(super) me: InstanceId,
    domain: DomainId,
    pub(super) settings: ReplicationSettings,
    pub(super) fleet: FleetList,
    pub(super) peers: PeerTable,
    reader: ConfigReader,
    pub(super) freshness: ConfigFreshness,
    election: WatcherElection,
    call: Option<OpenCall>,
    last_call: CallNumber,
    /// When the fetch was sent that has no reply yet.
    fetch_sent_at: Option<TimePoint>,
    /// Until when the fleet is counted for a ticket.
    pub(super) filing_until: Option<TimePoint>,
    rng: Pcg64Mcg,
}

impl ConfigReplica {
    /// Creates a replica without a configuration.
    pub fn new(
        me: InstanceId,
        domain: DomainId,
        settings: ReplicationSettings,
        rng: Pcg64Mcg,
    ) -> Self {
        Self {
            election: WatcherElection::new(me.clone(), domain.clone()),
            me,
            domain,
            settings,
            fleet: FleetList::default(),
            peers: PeerTable::default(),
            reader: ConfigReader::new(ServingConfig::default()),
            freshness: ConfigFreshness::default(),
            call: None,
            last_call: CallNumber::default(),
            fetch_sent_at: None,
            filing_until: None,
            rng,
        }
    }

    /// Returns the configuration that this process runs.
    pub fn config(&self) -> &ServingConfig {
        self.reader.config()
    }

    /// Returns the reader, which holds the state of the log.
    pub fn reader(&self) -> &ConfigReader {
        &self.reader
    }

    /// Returns the state of the peers.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Returns the instances that the platform lists.
    pub fn fleet(&self) -> &FleetList {
        &self.fleet
    }

    /// Replaces the list of instances by the platform's current one.
    pub fn update_fleet(&mut self, instances: &[ListedInstance]) {
        self.fleet = FleetList::new(instances);
        self.peers.retain_listed(&self.fleet);
    }

    /// Returns the unit in which a fleet of the present size is counted.
    pub fn quorum_unit(&self) -> QuorumUnit {
        match self.fleet.len() <= self.settings.max_counted_instances {
            true => QuorumUnit::Instance,
            false => QuorumUnit::Domain,
        }
    }

    /// Returns whether this process watches the platform's store.
    pub fn is_watcher(&self, now: TimePoint) -> bool {
        self.election
            .is_watcher(&self.fleet, &self.peers, &self.settings, now)
    }

    /// Returns the actions that are due. To be called a few times a second.
    pub fn tick(&mut self, now: TimePoint) -> Vec<ReplicationAction> {
        self.freshness.start(now);
        let mut actions = self.send_heartbeats(now);
        actions.extend(self.fetch(now));
        actions.extend(self.call_store(now));
        self.record_quorum(now);
        actions
    }

    fn send_heartbeats(&mut self, now: TimePoint) -> Vec<ReplicationAction> {
        let targets = self.heartbeat_targets(now);
        let interval = self.settings.heartbeat_interval;
        let is_due = |peers: &PeerTable, peer: &InstanceId| {
            let sent_at = peers.row(peer).and_then(|row| row.sent_at);
            sent_at.is_none_or(|at| now.since(at) >= interval)
        };
        let mut actions = Vec::new();
        for peer in targets {
            if is_due(&self.peers, &peer) {
                self.peers.record_heartbeat(&peer, now);
                actions.push(ReplicationAction::Heartbeat { peer });
            }
        }
        actions
    }

    /// Returns the peers that get heartbeats.
    ///
    /// While confirmations by the platform arrive, this is one watcher, or all watchers if this
    /// process is a candidate, which has to notice when a watcher fails. When confirmations are
    /// late, or each instance is counted, it is all watchers and the representatives of the failure
    /// domain, whose quorum this process may serve by. A process that counts the fleet adds all
    /// instances that it counts.
    fn heartbeat_targets(&self, now: TimePoint) -> BTreeSet<InstanceId> {
        let watchers = self
            .election
            .watchers(&self.fleet, &self.peers, &self.settings, now);
        let by_instance = self.quorum_unit() == QuorumUnit::Instance;
        if !by_instance
            && !self.is_confirmation_late(now)
            && !self.election.is_candidate(&self.fleet)
        {
            return self
                .election
                .assign_watcher(&self.fleet, watchers)
                .into_iter()
                .collect();
        }
        let mut targets: BTreeSet<InstanceId> = watchers.into_iter().collect();
        if by_instance || self.is_confirmation_late(now) {
            targets.extend(self.fleet.representatives(&self.domain).iter().cloned());
        }
        if self.is_counting_quorum(now) {
            targets.extend(self.fleet.voters(self.quorum_unit()).into_iter().cloned());
        }
        targets.remove(&self.me);
        targets
    }

    /// Returns whether the platform's confirmation is late, though perhaps still recent enough to
    /// serve by.
    fn is_confirmation_late(&self, now: TimePoint) -> bool {
        self.freshness.age(now) > LATE_CONFIRMATION_AGE
    }

    /// Returns whether this process counts the fleet.
    pub(super) fn is_counting_quorum(&self, now: TimePoint) -> bool {
        let filing = self.filing_until.is_some_and(|end| now < end);
        match self.quorum_unit() {
            QuorumUnit::Instance => true,
            QuorumUnit::Domain => {
                filing || (self.fleet.is_representative(&self.me) && self.is_confirmation_late(now))
            }
        }
    }

    fn fetch(&mut self, now: TimePoint) -> Option<ReplicationAction> {
        let known = self.config().revision;
        if self
            .fetch_sent_at
            .is_some_and(|at| now.since(at) < FETCH_TIMEOUT)
        {
            return None;
        }
        let ahead = self
            .peers
            .rows()
            .iter()
            .filter(|(_, row)| row.revision > known);
        let ahead = ahead.filter(|(id, _)| {
            !self
                .peers
                .is_unresponsive(id, self.settings.peer_timeout, now)
        });
        let (peer, _) = ahead.max_by_key(|(_, row)| row.revision)?;
        let peer = peer.clone();
        self.fetch_sent_at = Some(now);
        Some(ReplicationAction::Fetch { peer, known })
    }

    fn call_store(&mut self, now: TimePoint) -> Option<ReplicationAction> {
        if let Some(call) = self.call {
            if now.since(call.sent_at) < CALL_TIMEOUT {
                return None;
            }
            self.call = None;
            self.election.record_failure(now, &mut self.rng);
        }
        if !self.election.is_ready(now) || !self.is_watcher(now) {
            return None;
        }
        self.last_call = CallNumber(self.last_call.0 + 1);
        self.call = Some(OpenCall {
            number: self.last_call,
            sent_at: now,
        });
        Some(ReplicationAction::Call {
            number: self.last_call,
            call: self.reader.next_call(),
        })
    }

    /// Applies the store's answer to a call that was sent at `sent_at`. Answers to earlier calls
    /// are ignored.
    pub fn handle_answer(
        &mut self,
        number: CallNumber,
        answer: StoreReply,
        sent_at: TimePoint,
        now: TimePoint,
    ) {
        if self.call.is_none_or(|call| call.number != number) {
            return;
        }
        self.call = None;
        match self.reader.handle_reply(answer, sent_at) {
            ReadProgress::Partial => self.election.record_success(),
            ReadProgress::Confirmed(at) => {
                self.election.record_success();
                self.freshness.confirm(at);
            }
            ReadProgress::Failed => self.election.record_failure(now, &mut self.rng),
        }
        self.freshness.advance(self.config().revision);
    }

    /// Applies a peer's reply to a heartbeat that was sent at `sent_at`.
    pub fn handle_reply(
        &mut self,
        peer: &InstanceId,
        confirmation: Confirmation,
        sent_at: TimePoint,
    ) {
        let own = self.config().revision;
        self.peers.record_reply(peer, confirmation, sent_at);
        self.freshness.merge(&confirmation, sent_at, own);
        let representative = self.fleet.representatives(&self.domain).contains(peer);
        if representative && confirmation.reach_holds && confirmation.revision <= own {
            self.freshness.record_quorum(sent_at);
        }
    }

    /// Records a confirmation that came without a heartbeat of this process, such as with a
    /// dispatch or with the peer's own heartbeat. Only its revision is used.
    pub fn observe_peer(&mut self, peer: &InstanceId, confirmation: &Confirmation) {
        if self.fleet.contains(peer) {
            self.peers.record_revision(peer, confirmation.revision);
        }
    }

    /// Applies what a peer sent, after a fetch or unrequested.
    pub fn handle_push(&mut self, push: ConfigPush) {
        self.fetch_sent_at = None;
        self.reader.apply_push(push);
        self.freshness.advance(self.config().revision);
    }

    /// Returns what a peer at revision `known` lacks.
    pub fn push_since(&self, known: Revision) -> ConfigPush {
        self.reader.push_since(known)
    }

    /// Returns the confirmation to send to peers.
    pub fn confirmation(&self, now: TimePoint) -> Confirmation {
        Confirmation {
            revision: self.config().revision,
            age: match self.freshness.is_established() {
                true => self.freshness.age(now),
                false => Confirmation::NEVER,
            },
            reach_holds: self.has_quorum(now),
        }
    }
}
