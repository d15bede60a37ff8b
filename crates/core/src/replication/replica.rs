//! Keeps one process's configuration current and says what it may do with it.

use std::collections::BTreeSet;

use rand_pcg::Pcg64Mcg;

use crate::config::ServingConfig;
use crate::id::{DomainId, InstanceId, Revision};
use crate::quorum::{FleetList, ListedInstance, PeerTable, QuorumUnit};
use crate::replication::election::WatcherElection;
use crate::replication::freshness::{ConfigFreshness, Confirmation, ReplicaSettings};
use crate::ticket::{ConfigPush, ConfigReader, ReadProgress, StoreAnswer, StoreCall};
use crate::unit::{TimePoint, TimeSpan};

const FETCH_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);
/// Above the age that confirmations reach between two heartbeats while all is well.
const LATE_CONFIRMATION_AGE: TimeSpan = TimeSpan::from_millis(3_250);
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(3);

/// Tells the answers to a process's calls apart, so that a late one is not taken for another's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallNumber(pub u64);

/// What a process does to keep its configuration current.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaAction {
    /// Send a heartbeat; pass the reply to [`ConfigReplica::handle_reply`].
    Heartbeat {
        /// Whom.
        peer: InstanceId,
    },
    /// Fetch what is missing; pass it to [`ConfigReplica::take_push`].
    Fetch {
        /// From whom.
        peer: InstanceId,
        /// What is known already.
        known: Revision,
    },
    /// Call the store; pass the answer to [`ConfigReplica::handle_answer`].
    Call {
        /// To be passed back.
        number: CallNumber,
        /// The call.
        call: StoreCall,
    },
}

#[derive(Clone, Copy, Debug)]
struct OpenCall {
    number: CallNumber,
    sent_at: TimePoint,
}

/// The configuration of one process.
#[derive(Clone, Debug)]
pub struct ConfigReplica {
    pub(super) me: InstanceId,
    domain: DomainId,
    pub(super) settings: ReplicaSettings,
    pub(super) fleet: FleetList,
    pub(super) peers: PeerTable,
    reader: ConfigReader,
    pub(super) freshness: ConfigFreshness,
    election: WatcherElection,
    call: Option<OpenCall>,
    calls: CallNumber,
    fetch_at: Option<TimePoint>,
    pub(super) filing_until: Option<TimePoint>,
    rng: Pcg64Mcg,
}

impl ConfigReplica {
    /// Starts without a configuration.
    pub fn new(me: InstanceId, domain: DomainId, settings: ReplicaSettings, rng: Pcg64Mcg) -> Self {
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
            calls: CallNumber::default(),
            fetch_at: None,
            filing_until: None,
            rng,
        }
    }

    /// Returns the configuration in force here.
    pub fn config(&self) -> &ServingConfig {
        self.reader.config()
    }

    /// Returns the reader, for the state of the log.
    pub fn reader(&self) -> &ConfigReader {
        &self.reader
    }

    /// Returns what is known of the peers.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Returns the list of instances in use.
    pub fn fleet(&self) -> &FleetList {
        &self.fleet
    }

    /// Takes over the platform's list of processes of the system.
    pub fn update_fleet(&mut self, instances: &[ListedInstance]) {
        self.fleet = FleetList::new(instances);
        self.peers.retain_listed(&self.fleet);
    }

    /// Returns what the fleet is counted in at its present size.
    pub fn quorum_unit(&self) -> QuorumUnit {
        match self.fleet.len() <= self.settings.max_counted_instances {
            true => QuorumUnit::Instance,
            false => QuorumUnit::Domain,
        }
    }

    /// Returns whether this process watches the platform.
    pub fn is_watcher(&self, now: TimePoint) -> bool {
        self.election
            .is_watcher(&self.fleet, &self.peers, &self.settings, now)
    }

    /// Does what is due; call it a few times a second.
    pub fn tick(&mut self, now: TimePoint) -> Vec<ReplicaAction> {
        self.freshness.start(now);
        let mut actions = self.send_heartbeats(now);
        actions.extend(self.fetch(now));
        actions.extend(self.call_store(now));
        self.record_quorum(now);
        actions
    }

    fn send_heartbeats(&mut self, now: TimePoint) -> Vec<ReplicaAction> {
        let targets = self.heartbeat_targets(now);
        let interval = self.settings.heartbeat_interval;
        let due = |peers: &PeerTable, peer: &InstanceId| {
            let asked = peers.row(peer).and_then(|row| row.sent_at);
            asked.is_none_or(|at| now.since(at) >= interval)
        };
        let mut actions = Vec::new();
        for peer in targets {
            if due(&self.peers, &peer) {
                self.peers.record_heartbeat(&peer, now);
                actions.push(ReplicaAction::Heartbeat { peer });
            }
        }
        actions
    }

    /// While the platform's confirmations come, a process asks a watcher. Where they fail to,
    /// it asks the heads that may vouch, and a process that counts asks all that it counts.
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

    /// Confirmations are late, though not yet too late to serve by.
    fn is_confirmation_late(&self, now: TimePoint) -> bool {
        self.freshness.age(now) > LATE_CONFIRMATION_AGE
    }

    pub(super) fn is_counting_quorum(&self, now: TimePoint) -> bool {
        let filing = self.filing_until.is_some_and(|end| now < end);
        match self.quorum_unit() {
            QuorumUnit::Instance => true,
            QuorumUnit::Domain => {
                filing || (self.fleet.is_representative(&self.me) && self.is_confirmation_late(now))
            }
        }
    }

    fn fetch(&mut self, now: TimePoint) -> Option<ReplicaAction> {
        let known = self.config().revision;
        if self
            .fetch_at
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
        self.fetch_at = Some(now);
        Some(ReplicaAction::Fetch { peer, known })
    }

    fn call_store(&mut self, now: TimePoint) -> Option<ReplicaAction> {
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
        self.calls = CallNumber(self.calls.0 + 1);
        self.call = Some(OpenCall {
            number: self.calls,
            sent_at: now,
        });
        Some(ReplicaAction::Call {
            number: self.calls,
            call: self.reader.next_call(),
        })
    }

    /// Takes the store's answer to a call that was sent at `asked_at`.
    pub fn handle_answer(
        &mut self,
        number: CallNumber,
        answer: StoreAnswer,
        asked_at: TimePoint,
        now: TimePoint,
    ) {
        if self.call.is_none_or(|call| call.number != number) {
            return;
        }
        self.call = None;
        match self.reader.absorb(answer, asked_at) {
            ReadProgress::Partial => self.election.record_success(),
            ReadProgress::Confirmed(at) => {
                self.election.record_success();
                self.freshness.confirm(at);
            }
            ReadProgress::Failed => self.election.record_failure(now, &mut self.rng),
        }
        self.freshness.advance(self.config().revision);
    }

    /// Takes a peer's reply to a heartbeat that was sent at `asked_at`.
    pub fn handle_reply(&mut self, peer: &InstanceId, said: Confirmation, asked_at: TimePoint) {
        let own = self.config().revision;
        self.peers.record_reply(peer, said, asked_at);
        self.freshness.merge(&said, asked_at, own);
        let head = self.fleet.representatives(&self.domain).contains(peer);
        if head && said.reach_holds && said.revision <= own {
            self.freshness.record_quorum(asked_at);
        }
    }

    /// Takes what a peer says unasked, such as with a dispatch or its own heartbeat.
    pub fn observe_peer(&mut self, peer: &InstanceId, said: &Confirmation) {
        if self.fleet.contains(peer) {
            self.peers.record_revision(peer, said.revision);
        }
    }

    /// Takes what a peer sent after a fetch or of itself.
    pub fn handle_push(&mut self, push: ConfigPush) {
        self.fetch_at = None;
        self.reader.take_push(push);
        self.freshness.advance(self.config().revision);
    }

    /// Returns what to send to a peer that is at `known`.
    pub fn push_since(&self, known: Revision) -> ConfigPush {
        self.reader.push_since(known)
    }

    /// Returns what to tell peers.
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
