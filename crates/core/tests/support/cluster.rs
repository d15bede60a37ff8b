//! A simulated cluster: many processes in one thread, on a network and a store whose faults the test
//! sets.

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::config::{key_digest, KeyLookup, ServingConfig};
use applefold_core::id::{DomainId, InstanceId, Revision};
use applefold_core::quorum::ListedInstance;
use applefold_core::replication::{
    CallNumber, ConfigReplica, Confirmation, ReplicationAction, ReplicationSettings,
};
use applefold_core::ticket::{
    ChangeTicket, ConfigPush, FilingOutcome, FilingStep, StoreCall, StoreReply, TicketFiling,
};
use applefold_core::unit::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::store::MemoryStore;

pub(crate) const STEP: TimeSpan = TimeSpan::from_millis(50);
/// How long a watch call stays open without a change.
const WATCH_WAIT: TimeSpan = TimeSpan::from_secs(1);
/// The lower bound of the random offset of each node's clock.
const CLOCK_OFFSET: TimeSpan = TimeSpan::from_secs(100_000);
const MAX_DRIFT_PER_MILLE: u64 = 4;

/// A clock with its own start that runs a little too fast.
#[derive(Clone, Copy)]
struct SkewedClock {
    offset: TimeSpan,
    drift_per_mille: u64,
}

impl SkewedClock {
    fn read(self, now: TimePoint) -> TimePoint {
        TimePoint(now.0 + now.0 * self.drift_per_mille / 1_000) + self.offset
    }
}

enum Message {
    Heartbeat {
        sent_at: TimePoint,
        confirmation: Confirmation,
    },
    Reply {
        sent_at: TimePoint,
        confirmation: Confirmation,
    },
    Fetch {
        known: Revision,
    },
    Push {
        push: ConfigPush,
    },
    Answer {
        number: CallNumber,
        sent_at: TimePoint,
        answer: StoreReply,
    },
}

struct Envelope {
    from: usize,
    to: usize,
    message: Message,
}

struct OpenWatch {
    node: usize,
    number: CallNumber,
    sent_at: TimePoint,
    call: StoreCall,
    ends_at: TimePoint,
}

pub(crate) struct Node {
    pub(crate) id: InstanceId,
    domain: DomainId,
    pub(crate) replica: ConfigReplica,
    clock: SkewedClock,
    pub(crate) paused_until: TimePoint,
    pub(crate) alive: bool,
    inbox: Vec<Envelope>,
    /// The revision of the last step, which must never go back.
    last_revision: Revision,
}

/// A network partition that begins at a set time.
pub(crate) struct PlannedPartition {
    pub(crate) at: TimePoint,
    pub(crate) sides: BTreeMap<usize, u32>,
}

pub(crate) struct Cluster {
    pub(crate) now: TimePoint,
    pub(crate) nodes: Vec<Node>,
    pub(crate) store: MemoryStore,
    pub(crate) store_down: bool,
    /// The side of the partition that each node is on; a node without an entry is on side 0.
    pub(crate) sides: BTreeMap<usize, u32>,
    pub(crate) store_side: u32,
    pub(crate) loss_percent: u32,
    /// A partition that is still to begin, perhaps while a ticket is being filed.
    pub(crate) planned: Option<PlannedPartition>,
    /// Whether a ticket is acknowledged as soon as it is in the log.
    pub(crate) naive: bool,
    settings: ReplicationSettings,
    /// The messages under way, by the time of their delivery and their sequence number.
    messages: BTreeMap<(TimePoint, u64), Envelope>,
    sent: u64,
    watches: Vec<OpenWatch>,
    pub(crate) store_calls: u64,
    rng: Pcg64Mcg,
}

impl Cluster {
    pub(crate) fn new(
        domains: usize,
        per_domain: usize,
        settings: ReplicationSettings,
        seed: u64,
    ) -> Self {
        let mut cluster = Self {
            now: TimePoint::START,
            nodes: Vec::new(),
            store: MemoryStore::default(),
            store_down: false,
            sides: BTreeMap::new(),
            store_side: 0,
            loss_percent: 0,
            planned: None,
            naive: false,
            settings,
            messages: BTreeMap::new(),
            sent: 0,
            watches: Vec::new(),
            store_calls: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for at in 0..domains * per_domain {
            let domain: DomainId = format!("d{}", at % domains).parse().expect("an id");
            let id: InstanceId = format!("i{at}").parse().expect("an id");
            let node = cluster.node(id, domain);
            cluster.nodes.push(node);
        }
        cluster.list_all();
        cluster
    }

    fn node(&mut self, id: InstanceId, domain: DomainId) -> Node {
        let clock = SkewedClock {
            offset: TimeSpan(CLOCK_OFFSET.0 + self.rng.gen_range(0..CLOCK_OFFSET.0)),
            drift_per_mille: self.rng.gen_range(0..=MAX_DRIFT_PER_MILLE),
        };
        let rng = Pcg64Mcg::seed_from_u64(self.rng.gen());
        Node {
            replica: ConfigReplica::new(id.clone(), domain.clone(), self.settings, rng),
            id,
            domain,
            clock,
            paused_until: TimePoint::START,
            alive: true,
            inbox: Vec::new(),
            last_revision: Revision::default(),
        }
    }

    /// Updates every node with the platform's list.
    pub(crate) fn list_all(&mut self) {
        let rows = self.nodes.iter().map(|node| ListedInstance {
            id: node.id.clone(),
            domain: node.domain.clone(),
        });
        let list: Vec<ListedInstance> = rows.collect();
        for node in &mut self.nodes {
            node.replica.update_fleet(&list);
        }
    }

    /// Replaces a node by a new process without any state.
    pub(crate) fn replace(&mut self, at: usize, name: &str) {
        let domain = self.nodes[at].domain.clone();
        self.nodes[at] = self.node(name.parse().expect("an id"), domain);
        self.messages
            .retain(|_, envelope| envelope.to != at && envelope.from != at);
        self.watches.retain(|watch| watch.node != at);
        self.list_all();
    }

    fn side(&self, at: usize) -> u32 {
        self.sides.get(&at).copied().unwrap_or_default()
    }

    fn store_reached(&self, at: usize) -> bool {
        !self.store_down && self.side(at) == self.store_side
    }

    fn running(&self, at: usize) -> bool {
        self.nodes[at].alive && self.nodes[at].paused_until <= self.now
    }

    pub(crate) fn local(&self, at: usize) -> TimePoint {
        self.nodes[at].clock.read(self.now)
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.rng.gen_range(0..100) < self.loss_percent {
            return;
        }
        let slow = self.rng.gen_ratio(1, 50);
        let delay = self.rng.gen_range(1..if slow { 4_000 } else { 30 });
        self.sent += 1;
        let at = self.now + TimeSpan::from_millis(delay);
        self.messages
            .insert((at, self.sent), Envelope { from, to, message });
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP;
        if let Some(partition) = self.planned.take_if(|partition| partition.at <= self.now) {
            self.sides = partition.sides;
        }
        self.answer_watches();
        let later = self.messages.split_off(&(self.now, u64::MAX));
        for envelope in std::mem::replace(&mut self.messages, later).into_values() {
            if self.side(envelope.from) == self.side(envelope.to) {
                self.nodes[envelope.to].inbox.push(envelope);
            }
        }
        for at in 0..self.nodes.len() {
            if self.running(at) {
                self.run_node(at);
            }
        }
    }

    fn run_node(&mut self, at: usize) {
        for envelope in std::mem::take(&mut self.nodes[at].inbox) {
            self.deliver(envelope);
        }
        let now = self.local(at);
        for action in self.nodes[at].replica.tick(now) {
            self.act(at, action, now);
        }
        let node = &mut self.nodes[at];
        let revision = node.replica.config().revision;
        assert!(revision >= node.last_revision, "{} went back", node.id);
        node.last_revision = revision;
    }

    fn act(&mut self, at: usize, action: ReplicationAction, now: TimePoint) {
        match action {
            ReplicationAction::Heartbeat { peer } => {
                let confirmation = self.nodes[at].replica.confirmation(now);
                let message = Message::Heartbeat {
                    sent_at: now,
                    confirmation,
                };
                self.send_to(at, &peer, message);
            }
            ReplicationAction::Fetch { peer, known } => {
                self.send_to(at, &peer, Message::Fetch { known });
            }
            ReplicationAction::Call { number, call } => self.call(at, number, call, now),
        }
    }

    fn send_to(&mut self, from: usize, peer: &InstanceId, message: Message) {
        if let Some(to) = self.nodes.iter().position(|node| node.id == *peer) {
            self.send(from, to, message);
        }
    }

    fn call(&mut self, at: usize, number: CallNumber, call: StoreCall, sent_at: TimePoint) {
        self.store_calls += 1;
        if matches!(call, StoreCall::Watch { .. }) && self.store_reached(at) {
            let ends_at = self.now + WATCH_WAIT;
            self.watches.push(OpenWatch {
                node: at,
                number,
                sent_at,
                call,
                ends_at,
            });
            return;
        }
        let answer = match self.store_reached(at) {
            true => self.store.call(&call),
            false => StoreReply::Unavailable,
        };
        self.send(
            at,
            at,
            Message::Answer {
                number,
                sent_at,
                answer,
            },
        );
    }

    fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            if !self.store_reached(watch.node) {
                continue;
            }
            let answer = self.store.call(&watch.call);
            let changed =
                matches!(&answer, StoreReply::Watched { entries, .. } if !entries.is_empty());
            if changed || watch.ends_at <= self.now {
                let OpenWatch {
                    node,
                    number,
                    sent_at,
                    ..
                } = watch;
                self.send(
                    node,
                    node,
                    Message::Answer {
                        number,
                        sent_at,
                        answer,
                    },
                );
            } else {
                self.watches.push(watch);
            }
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        let now = self.local(to);
        let peer = self.nodes[from].id.clone();
        let replica = &mut self.nodes[to].replica;
        match message {
            Message::Heartbeat {
                sent_at,
                confirmation,
            } => {
                replica.observe_peer(&peer, &confirmation);
                let confirmation = replica.confirmation(now);
                self.send(
                    to,
                    from,
                    Message::Reply {
                        sent_at,
                        confirmation,
                    },
                );
            }
            Message::Reply {
                sent_at,
                confirmation,
            } => replica.handle_reply(&peer, confirmation, sent_at),
            Message::Fetch { known } => {
                let push = replica.push_since(known);
                self.send(to, from, Message::Push { push });
            }
            Message::Push { push } => replica.handle_push(push),
            Message::Answer {
                number,
                sent_at,
                answer,
            } => {
                replica.handle_answer(number, answer, sent_at, now);
            }
        }
    }

    pub(crate) fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Files a ticket through node `at`, and acknowledges it once enough of the fleet runs its
    /// revision.
    pub(crate) fn file(
        &mut self,
        at: usize,
        ticket: &ChangeTicket,
        time: TimeSpan,
    ) -> FilingOutcome {
        let deadline = self.now + time;
        let local = self.local(at);
        self.nodes[at].replica.begin_filing(local);
        let config: ServingConfig = self.nodes[at].replica.config().clone();
        let mut filing = TicketFiling::new(ticket.clone(), config, deadline);
        loop {
            self.step();
            let may_file = self.nodes[at].replica.may_file(self.local(at)).is_ok();
            if !self.naive && !may_file && self.now < deadline {
                continue;
            }
            match filing.step(self.now) {
                FilingStep::Call(call) => {
                    let answer = match self.store_reached(at) {
                        true => self.store.call(&call),
                        false => StoreReply::Unavailable,
                    };
                    filing.handle_reply(answer, self.now, self.now);
                }
                FilingStep::Wait(_) => {}
                FilingStep::Done(FilingOutcome::Accepted {
                    revision,
                    duplicate,
                }) => {
                    return self.acknowledge(at, revision, duplicate, deadline);
                }
                FilingStep::Done(outcome) => return outcome,
            }
        }
    }

    fn acknowledge(
        &mut self,
        at: usize,
        revision: Revision,
        duplicate: bool,
        deadline: TimePoint,
    ) -> FilingOutcome {
        while self.now < deadline {
            if self.naive || self.nodes[at].replica.may_acknowledge(revision) {
                return FilingOutcome::Accepted {
                    revision,
                    duplicate,
                };
            }
            self.step();
        }
        FilingOutcome::Unknown
    }

    /// Returns the nodes that would run a request with the key `k` now.
    pub(crate) fn key_servers(&self) -> BTreeSet<usize> {
        let digest = key_digest("secret of k");
        let serves = |at: &usize| {
            let replica = &self.nodes[*at].replica;
            let active = matches!(replica.config().find_key(&digest), KeyLookup::Active(_));
            active && self.serves(*at)
        };
        (0..self.nodes.len()).filter(serves).collect()
    }

    /// Returns whether node `at` runs and serves keyed requests.
    pub(crate) fn serves(&self, at: usize) -> bool {
        self.running(at) && self.nodes[at].replica.serves_keyed(self.local(at)).is_ok()
    }

    /// Returns how many nodes run and refuse keyed requests.
    pub(crate) fn refusing(&self) -> usize {
        let refuses = |at: &usize| self.running(*at) && !self.serves(*at);
        (0..self.nodes.len()).filter(refuses).count()
    }
}
