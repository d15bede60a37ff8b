//! Orders to a platform that checks no numbers, under pauses and lost messages.

#[path = "claim_support/mod.rs"]
mod claim_support;
#[path = "claim_support/history.rs"]
mod history;
mod lease_support;

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::claim::store::{CallNumber, StoreCompletion, StoreReply};
use applefold_core::id::{FencingNumber, OrderId};
use applefold_core::lease::{
    LeaseAction, LeaseCompletion, LeaseHolder, LeaseOptions, LeaseReply, ORDER_DELIVERY_TIMEOUT,
};
use applefold_core::order::{
    JournalAction, JournalEvent, JournalOptions, OrderJournal, OrderOutcome, PlatformAction,
    PlatformOrder, PostReply,
};
use applefold_core::unit::{TimePoint, TimeSpan};
use claim_support::FakeStore;
use history::check_histories;
use lease_support::{name, FakeLease};
use proptest::prelude::*;

const NODES: usize = 2;
const STEP: TimeSpan = TimeSpan::from_millis(100);

fn order(number: u64) -> PlatformOrder {
    PlatformOrder {
        id: format!("order-{number}").parse().unwrap(),
        action: PlatformAction::Start,
        pool: "chat".parse().unwrap(),
        domain: "east-1".parse().unwrap(),
        instance: None,
    }
}

trait Journal {
    fn make(node: usize) -> Self;
    fn begin(&mut self, now: TimePoint, fencing: FencingNumber);
    fn end(&mut self);
    fn is_ready(&self) -> bool;
    fn handle(
        &mut self,
        now: TimePoint,
        lease: &LeaseHolder,
        event: JournalEvent,
    ) -> Vec<JournalAction>;
    fn tick(&mut self, now: TimePoint, lease: &LeaseHolder) -> Vec<JournalAction>;
}

impl Journal for OrderJournal {
    fn make(node: usize) -> Self {
        let scope = "pool:chat".parse().unwrap();
        Self::new(scope, name(node), JournalOptions::default())
    }

    fn begin(&mut self, now: TimePoint, fencing: FencingNumber) {
        OrderJournal::begin(self, now, fencing);
    }

    fn end(&mut self) {
        OrderJournal::end(self);
    }

    fn is_ready(&self) -> bool {
        OrderJournal::is_ready(self)
    }

    fn handle(
        &mut self,
        now: TimePoint,
        lease: &LeaseHolder,
        event: JournalEvent,
    ) -> Vec<JournalAction> {
        OrderJournal::handle(self, now, lease, event)
    }

    fn tick(&mut self, now: TimePoint, lease: &LeaseHolder) -> Vec<JournalAction> {
        OrderJournal::tick(self, now, lease)
    }
}

/// Sends an order as soon as it is planned, and again where no answer came.
struct NaiveJournal {
    node: usize,
    open: BTreeMap<CallNumber, PlatformOrder>,
    calls: CallNumber,
}

impl NaiveJournal {
    fn post(&mut self, order: PlatformOrder, fencing: FencingNumber) -> JournalAction {
        self.calls.0 += 1;
        let call = self.calls;
        self.open.insert(call, order.clone());
        let holder = name(self.node);
        JournalAction::Post {
            call,
            order,
            holder,
            fencing,
        }
    }
}

impl Journal for NaiveJournal {
    fn make(node: usize) -> Self {
        Self {
            node,
            open: BTreeMap::new(),
            calls: CallNumber::default(),
        }
    }

    fn begin(&mut self, _now: TimePoint, _fencing: FencingNumber) {}

    fn end(&mut self) {}

    fn is_ready(&self) -> bool {
        true
    }

    fn handle(
        &mut self,
        now: TimePoint,
        lease: &LeaseHolder,
        event: JournalEvent,
    ) -> Vec<JournalAction> {
        let Some(authority) = lease.authority(now) else {
            return Vec::new();
        };
        let order = match event {
            JournalEvent::Submit(order) => Some(order),
            JournalEvent::PostCompleted { call, reply } => {
                let order = self.open.remove(&call);
                order.filter(|_| reply == PostReply::Failed)
            }
            _ => None,
        };
        let post = order.map(|order| self.post(order, authority.fencing()));
        post.into_iter().collect()
    }

    fn tick(&mut self, _now: TimePoint, _lease: &LeaseHolder) -> Vec<JournalAction> {
        Vec::new()
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// Time passes; the nodes whose bit is not set are paused.
    Advance {
        steps: u16,
        awake: u8,
    },
    Plan {
        node: usize,
    },
    /// A call takes effect; its answer is on its way.
    Reach {
        at: usize,
    },
    Deliver {
        at: usize,
    },
    LoseAnswer {
        at: usize,
    },
    Delay {
        at: usize,
    },
    Drop {
        at: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let at = 0..6usize;
    let step = prop_oneof![
        8 => (1..20u16, 0..8u8).prop_map(|(steps, awake)| Step::Advance { steps, awake }),
        2 => (20..150u16, 0..4u8).prop_map(|(steps, awake)| Step::Advance { steps, awake }),
        4 => (0..NODES).prop_map(|node| Step::Plan { node }),
        4 => at.clone().prop_map(|at| Step::Reach { at }),
        20 => at.clone().prop_map(|at| Step::Deliver { at }),
        2 => at.clone().prop_map(|at| Step::LoseAnswer { at }),
        2 => at.clone().prop_map(|at| Step::Delay { at }),
        1 => at.prop_map(|at| Step::Drop { at }),
    ];
    prop::collection::vec(step, 1..250)
}

#[derive(Clone, Debug)]
enum Call {
    Lease(LeaseAction),
    Journal(JournalAction),
}

struct WireCall {
    node: usize,
    call: Call,
    sent: TimePoint,
    reply: Option<Reply>,
    reported: bool,
}

struct Node<J> {
    lease: LeaseHolder,
    journal: J,
}

struct World<J> {
    now: TimePoint,
    nodes: Vec<Node<J>>,
    lease: FakeLease,
    store: FakeStore,
    wire: Vec<WireCall>,
    taken: Vec<(OrderId, FencingNumber)>,
    planned: u64,
    unauthorized: bool,
    outcomes: BTreeMap<OrderId, OrderOutcome>,
}

impl<J> World<J>
where
    J: Journal,
{
    fn new() -> Self {
        let nodes = (0..NODES).map(|node| {
            let scope = "pool:chat".parse().unwrap();
            Node {
                lease: LeaseHolder::new(scope, name(node), LeaseOptions::default()),
                journal: J::make(node),
            }
        });
        Self {
            now: TimePoint::START,
            nodes: nodes.collect(),
            lease: FakeLease::new(false),
            store: FakeStore::default(),
            wire: Vec::new(),
            taken: Vec::new(),
            planned: 0,
            unauthorized: false,
            outcomes: BTreeMap::new(),
        }
    }

    fn send(&mut self, node: usize, call: Call) {
        let sent = self.now;
        self.wire.push(WireCall {
            node,
            call,
            sent,
            reply: None,
            reported: false,
        });
    }

    fn take_lease(&mut self, node: usize, actions: Vec<LeaseAction>) {
        for action in actions {
            match action {
                LeaseAction::StartActing { fencing } => {
                    self.nodes[node].journal.begin(self.now, fencing)
                }
                LeaseAction::StopActing { .. } => self.nodes[node].journal.end(),
                _ => self.send(node, Call::Lease(action)),
            }
        }
    }

    fn take(&mut self, node: usize, actions: Vec<JournalAction>) {
        for action in actions {
            match action {
                JournalAction::Finished { order, outcome } => {
                    self.outcomes.insert(order.id, outcome);
                }
                _ => {
                    let post = matches!(action, JournalAction::Post { .. });
                    let acts = self.nodes[node].lease.authority(self.now).is_some();
                    self.unauthorized |= post && !acts;
                    self.send(node, Call::Journal(action));
                }
            }
        }
    }

    fn event(&mut self, node: usize, event: JournalEvent) {
        let Node { lease, journal } = &mut self.nodes[node];
        let actions = journal.handle(self.now, lease, event);
        self.take(node, actions);
    }

    fn plan(&mut self, node: usize) {
        if self.nodes[node].journal.is_ready() {
            self.planned += 1;
            self.event(node, JournalEvent::Submit(order(self.planned)));
        }
    }

    /// Every order arrives in its time, or not at all.
    fn expire(&mut self, now: TimePoint) -> Result<(), String> {
        let late = |wire: &WireCall| {
            let post = matches!(wire.call, Call::Journal(JournalAction::Post { .. }));
            post && now.since(wire.sent) >= ORDER_DELIVERY_TIMEOUT
        };
        while let Some(at) = self.wire.iter().position(late) {
            // The sender is not told, and has to notice by itself.
            self.wire[at].reported = true;
            self.deliver(at, true)?;
        }
        Ok(())
    }

    fn advance(&mut self, steps: u16, awake: u8) -> Result<(), String> {
        for _ in 0..steps {
            self.now = self.now + STEP;
            self.expire(self.now)?;
            for node in (0..NODES).filter(|node| awake & (1 << node) != 0) {
                let actions = self.nodes[node].lease.tick(self.now);
                self.take_lease(node, actions);
                let Node { lease, journal } = &mut self.nodes[node];
                let actions = journal.tick(self.now, lease);
                self.take(node, actions);
            }
        }
        Ok(())
    }

    /// Carries a call out at the platform, and returns its answer.
    fn apply(&mut self, node: usize, call: &Call) -> Result<Reply, String> {
        Ok(match call {
            Call::Lease(action) => Reply::Lease(self.lease.apply(node, action, self.now)),
            Call::Journal(JournalAction::Store(call)) => Reply::Store(self.store.apply(call)),
            Call::Journal(JournalAction::ReadOrders { .. }) => {
                let orders = self.taken.iter().map(|(id, _)| id.clone());
                Reply::Orders(orders.collect())
            }
            Call::Journal(JournalAction::Post { order, fencing, .. }) => {
                self.accept(&order.id, *fencing)?;
                Reply::Accepted
            }
            Call::Journal(JournalAction::Finished { .. }) => unreachable!("it is no call"),
        })
    }

    fn accept(&mut self, id: &OrderId, fencing: FencingNumber) -> Result<(), String> {
        if self.taken.iter().any(|(taken, _)| taken == id) {
            return Err(format!("{id} was taken twice"));
        }
        if let Some((last, highest)) = self.taken.last().filter(|(_, last)| *last > fencing) {
            return Err(format!("{id} under {fencing} after {last} under {highest}"));
        }
        self.taken.push((id.clone(), fencing));
        Ok(())
    }

    fn answer(&mut self, node: usize, call: Call, reply: Option<Reply>) {
        match call {
            Call::Lease(LeaseAction::Acquire { call, .. } | LeaseAction::Renew { call, .. }) => {
                let reply = match reply {
                    Some(Reply::Lease(reply)) => reply,
                    _ => LeaseReply::Failed,
                };
                let answer = LeaseCompletion { call, reply };
                let actions = self.nodes[node].lease.handle(self.now, answer);
                self.take_lease(node, actions);
            }
            Call::Lease(_) => {}
            Call::Journal(JournalAction::Store(call)) => {
                let reply = match reply {
                    Some(Reply::Store(reply)) => reply,
                    _ => StoreReply::Failed,
                };
                let call = call.call();
                self.event(
                    node,
                    JournalEvent::StoreCompleted(StoreCompletion { call, reply }),
                );
            }
            Call::Journal(JournalAction::ReadOrders { call }) => {
                let orders = match reply {
                    Some(Reply::Orders(orders)) => Some(orders),
                    _ => None,
                };
                self.event(node, JournalEvent::OrdersRead { call, orders });
            }
            Call::Journal(JournalAction::Post { call, .. }) => {
                let reply = match reply {
                    Some(_) => PostReply::Accepted,
                    None => PostReply::Failed,
                };
                self.event(node, JournalEvent::PostCompleted { call, reply });
            }
            Call::Journal(JournalAction::Finished { .. }) => {}
        }
    }

    fn deliver(&mut self, at: usize, lost: bool) -> Result<(), String> {
        if self.wire.is_empty() {
            return Ok(());
        }
        let wire = self.wire.remove(at % self.wire.len());
        let reply = match wire.reply {
            Some(reply) => reply,
            None => self.apply(wire.node, &wire.call)?,
        };
        if !wire.reported {
            self.answer(wire.node, wire.call, (!lost).then_some(reply));
        }
        Ok(())
    }

    fn reach(&mut self, at: usize) -> Result<(), String> {
        if self.wire.is_empty() {
            return Ok(());
        }
        let at = at % self.wire.len();
        if self.wire[at].reply.is_none() {
            let (node, call) = (self.wire[at].node, self.wire[at].call.clone());
            self.wire[at].reply = Some(self.apply(node, &call)?);
        }
        Ok(())
    }

    fn fail(&mut self, at: usize, keep: bool) {
        if self.wire.is_empty() {
            return;
        }
        let at = at % self.wire.len();
        let (node, call) = (self.wire[at].node, self.wire[at].call.clone());
        let reported = std::mem::replace(&mut self.wire[at].reported, true);
        if !keep {
            self.wire.remove(at);
        }
        if !reported {
            self.answer(node, call, None);
        }
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Advance { steps, awake } => self.advance(steps, awake)?,
            Step::Plan { node } => self.plan(node),
            Step::Reach { at } => self.reach(at)?,
            Step::Deliver { at } => self.deliver(at, false)?,
            Step::LoseAnswer { at } => self.deliver(at, true)?,
            Step::Delay { at } => self.fail(at, true),
            Step::Drop { at } => self.fail(at, false),
        }
        Ok(())
    }

    fn run_quietly(&mut self, steps: u16, awake: u8) -> Result<(), String> {
        for _ in 0..steps {
            while !self.wire.is_empty() {
                self.deliver(0, false)?;
            }
            self.advance(1, awake)?;
        }
        Ok(())
    }

    /// With faults over, a fresh order is taken, and all outcomes are true.
    fn settle(&mut self) -> Result<(), String> {
        self.run_quietly(400, u8::MAX)?;
        let leader = (0..NODES).find(|node| self.nodes[*node].lease.authority(self.now).is_some());
        let leader = leader.ok_or("nobody leads")?;
        if !self.nodes[leader].journal.is_ready() {
            return Err("the journal does not open".into());
        }
        self.plan(leader);
        self.run_quietly(100, u8::MAX)?;
        // A creation that took effect late may have left a record, which the next
        // beginning finds and settles.
        let lease = &self.nodes[leader].lease;
        let fencing = lease.authority(self.now).map(|held| held.fencing());
        let fencing = fencing.ok_or("the leader has lost its lease")?;
        self.nodes[leader].journal.begin(self.now, fencing);
        self.run_quietly(100, u8::MAX)?;
        let taken: BTreeSet<OrderId> = self.taken.iter().map(|(id, _)| id.clone()).collect();
        if !taken.contains(&order(self.planned).id) {
            return Err("a fresh order was not taken".into());
        }
        for (id, outcome) in &self.outcomes {
            if taken.contains(id) != (*outcome == OrderOutcome::Done) {
                return Err(format!("{id} is said to be {outcome:?}"));
            }
        }
        match (self.store.entries.is_empty(), self.unauthorized) {
            (true, false) => Ok(()),
            (false, _) => Err("a record is left behind".into()),
            (_, true) => Err("an order was sent without authority".into()),
        }
    }
}

#[derive(Clone, Debug)]
enum Reply {
    Lease(LeaseReply),
    Store(StoreReply),
    Orders(Vec<OrderId>),
    Accepted,
}

fn holds<J>() -> Result<(), String>
where
    J: Journal,
{
    check_histories(71, 2_000, steps(), |steps| {
        let mut world = World::<J>::new();
        world.run_quietly(110, u8::MAX)?;
        for step in steps {
            world.step(step)?;
        }
        world.settle()
    })
}

#[test]
fn no_history_has_an_order_taken_twice_or_out_of_turn() {
    assert_eq!(holds::<OrderJournal>(), Ok(()));
}

/// A leading node with an order whose record has just turned to sending.
fn world_before_post() -> World<OrderJournal> {
    let mut world = World::<OrderJournal>::new();
    world.run_quietly(110, 1).unwrap();
    world.plan(0);
    world.deliver(0, false).unwrap();
    assert_eq!(world.wire.len(), 1, "the record turns to sending");
    world
}

fn post_at(world: &World<OrderJournal>) -> Option<usize> {
    let mut calls = world.wire.iter();
    calls.position(|wire| matches!(wire.call, Call::Journal(JournalAction::Post { .. })))
}

#[test]
fn an_order_on_its_way_through_a_pause_is_waited_for() {
    let mut world = world_before_post();
    world.deliver(0, false).unwrap();
    let at = post_at(&world).expect("the order is sent");
    let post = world.wire.remove(at);
    // The pause ends authority; it begins anew under the same number.
    world.advance(12, 0).unwrap();
    world.run_quietly(3, 1).unwrap();
    assert!(!world.nodes[0].journal.is_ready());
    world.apply(0, &post.call).unwrap();
    world.run_quietly(40, 1).unwrap();
    let outcome = world.outcomes.get(&order(1).id);
    assert_eq!(outcome, Some(&OrderOutcome::Done));
}

#[test]
fn an_order_whose_record_took_long_is_not_sent_any_more() {
    let mut world = world_before_post();
    world.reach(0).unwrap();
    // The answer is lost, so that the record is read back when its time is over.
    world.wire.clear();
    for _ in 0..21 {
        world.advance(1, 1).unwrap();
        while !world.wire.is_empty() && post_at(&world).is_none() {
            world.deliver(0, false).unwrap();
        }
    }
    assert!(world.nodes[0].journal.is_ready());
    assert_eq!(post_at(&world), None);
    assert!(world.nodes[0].lease.authority(world.now).is_some());
}

#[test]
fn the_naive_journal_has_an_order_taken_twice() {
    let error = holds::<NaiveJournal>().unwrap_err();
    assert!(error.contains("taken twice"), "{error}");
}

/// The answer of the last step before a pause: how the order fared when it came.
fn order_after_pause(before: u16, pause: u16) -> Option<Result<(), String>> {
    let mut world = World::<OrderJournal>::new();
    world.run_quietly(110, u8::MAX).unwrap();
    // The first node acts, and its renewals are lost from the last one on.
    loop {
        world.advance(1, 1).unwrap();
        let renewed = !world.wire.is_empty();
        world.run_quietly(1, 0).unwrap();
        if renewed {
            break;
        }
    }
    for _ in 0..before {
        world.advance(1, 1).unwrap();
        world.wire.clear();
    }
    world.plan(0);
    let is_post = |wire: &WireCall| matches!(wire.call, Call::Journal(JournalAction::Post { .. }));
    let post = loop {
        match world.wire.iter().position(is_post) {
            Some(at) => break world.wire.remove(at),
            None if world.wire.is_empty() => return None,
            None => world.deliver(0, false).unwrap(),
        }
    };
    // The first node is paused between its check and its write.
    for _ in 0..pause {
        world.run_quietly(1, 2).unwrap();
        world.plan(1);
    }
    Some(world.apply(0, &post.call).map(|_| ()))
}

/// Returns the shortest pause, in steps, after which an order still goes out of turn.
fn harmful_pause(before: u16) -> Option<u16> {
    order_after_pause(before, 0)?.ok()?;
    (0..300).find(|pause| matches!(order_after_pause(before, *pause), Some(Err(_))))
}

#[test]
fn only_a_long_pause_between_check_and_write_lets_an_old_order_through() {
    let pauses: Vec<Option<u16>> = (0..60).step_by(4).map(harmful_pause).collect();
    let shortest = pauses.iter().flatten().min().copied();
    let longest = pauses.iter().flatten().max().copied();
    let checked = pauses.iter().flatten().count();
    println!(
        "{checked} of {} checks passed: {shortest:?} to {longest:?}",
        pauses.len()
    );
    let wait = LeaseOptions::default().takeover_delay() + LeaseOptions::default().margin;
    let shortest = TimeSpan(STEP.0 * u64::from(shortest.unwrap()));
    assert!(shortest >= wait, "a pause of {shortest} is enough");
}
