//! The order journal under pauses and lost messages, with a platform that checks no fencing numbers.

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
use lease_support::{holder_name, FakeLease};
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

/// The interface of the journal and of the naive reference implementation.
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
        Self::new(scope, holder_name(node), JournalOptions::default())
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

/// A reference implementation that sends an order as soon as it is submitted, and again if no
/// response came.
struct NaiveJournal {
    node: usize,
    pending: BTreeMap<CallNumber, PlatformOrder>,
    calls: CallNumber,
}

impl NaiveJournal {
    fn post(&mut self, order: PlatformOrder, fencing: FencingNumber) -> JournalAction {
        self.calls.0 += 1;
        let call = self.calls;
        self.pending.insert(call, order.clone());
        let holder = holder_name(self.node);
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
            pending: BTreeMap::new(),
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
                let order = self.pending.remove(&call);
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
    /// Time passes; nodes whose bit in `awake` is not set are paused.
    Advance { steps: u16, awake: u8 },
    /// A node submits an order.
    Submit { node: usize },
    /// A call takes effect; its reply is in flight.
    Apply { at: usize },
    /// A call takes effect, if it has not yet, and its reply arrives.
    Deliver { at: usize },
    /// A call takes effect, if it has not yet, and is reported as failed.
    LoseReply { at: usize },
    /// A call is reported as failed and stays in flight.
    Delay { at: usize },
    /// A call is reported as failed and removed.
    Drop { at: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let at = 0..6usize;
    let step = prop_oneof![
        8 => (1..20u16, 0..8u8).prop_map(|(steps, awake)| Step::Advance { steps, awake }),
        2 => (20..150u16, 0..4u8).prop_map(|(steps, awake)| Step::Advance { steps, awake }),
        4 => (0..NODES).prop_map(|node| Step::Submit { node }),
        4 => at.clone().prop_map(|at| Step::Apply { at }),
        20 => at.clone().prop_map(|at| Step::Deliver { at }),
        2 => at.clone().prop_map(|at| Step::LoseReply { at }),
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

struct InFlightCall {
    node: usize,
    call: Call,
    sent_at: TimePoint,
    /// The reply, once the call has taken effect.
    reply: Option<Reply>,
    /// Whether the node was told that the call failed, or must notice it by a timeout.
    failure_reported: bool,
}

struct Node<J> {
    lease: LeaseHolder,
    journal: J,
}

struct Simulation<J> {
    now: TimePoint,
    nodes: Vec<Node<J>>,
    lease: FakeLease,
    store: FakeStore,
    in_flight: Vec<InFlightCall>,
    accepted: Vec<(OrderId, FencingNumber)>,
    submitted: u64,
    /// Whether a node sent an order without authority.
    unauthorized: bool,
    outcomes: BTreeMap<OrderId, OrderOutcome>,
}

impl<J> Simulation<J>
where
    J: Journal,
{
    fn new() -> Self {
        let nodes = (0..NODES).map(|node| {
            let scope = "pool:chat".parse().unwrap();
            Node {
                lease: LeaseHolder::new(scope, holder_name(node), LeaseOptions::default()),
                journal: J::make(node),
            }
        });
        Self {
            now: TimePoint::START,
            nodes: nodes.collect(),
            lease: FakeLease::new(false),
            store: FakeStore::default(),
            in_flight: Vec::new(),
            accepted: Vec::new(),
            submitted: 0,
            unauthorized: false,
            outcomes: BTreeMap::new(),
        }
    }

    fn send(&mut self, node: usize, call: Call) {
        let sent_at = self.now;
        self.in_flight.push(InFlightCall {
            node,
            call,
            sent_at,
            reply: None,
            failure_reported: false,
        });
    }

    fn perform_lease(&mut self, node: usize, actions: Vec<LeaseAction>) {
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

    fn perform(&mut self, node: usize, actions: Vec<JournalAction>) {
        for action in actions {
            match action {
                JournalAction::Finished { order, outcome } => {
                    self.outcomes.insert(order.id, outcome);
                }
                _ => {
                    let post = matches!(action, JournalAction::Post { .. });
                    let has_authority = self.nodes[node].lease.authority(self.now).is_some();
                    self.unauthorized |= post && !has_authority;
                    self.send(node, Call::Journal(action));
                }
            }
        }
    }

    fn event(&mut self, node: usize, event: JournalEvent) {
        let Node { lease, journal } = &mut self.nodes[node];
        let actions = journal.handle(self.now, lease, event);
        self.perform(node, actions);
    }

    fn submit(&mut self, node: usize) {
        if self.nodes[node].journal.is_ready() {
            self.submitted += 1;
            self.event(node, JournalEvent::Submit(order(self.submitted)));
        }
    }

    /// Delivers every order that has reached the maximum delivery time.
    fn expire(&mut self, now: TimePoint) -> Result<(), String> {
        let late = |in_flight: &InFlightCall| {
            let post = matches!(in_flight.call, Call::Journal(JournalAction::Post { .. }));
            post && now.since(in_flight.sent_at) >= ORDER_DELIVERY_TIMEOUT
        };
        while let Some(at) = self.in_flight.iter().position(late) {
            // The sender gets no reply and must notice the timeout itself.
            self.in_flight[at].failure_reported = true;
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
                self.perform_lease(node, actions);
                let Node { lease, journal } = &mut self.nodes[node];
                let actions = journal.tick(self.now, lease);
                self.perform(node, actions);
            }
        }
        Ok(())
    }

    /// Applies a call at the platform and returns the reply.
    fn apply(&mut self, node: usize, call: &Call) -> Result<Reply, String> {
        Ok(match call {
            Call::Lease(action) => Reply::Lease(self.lease.apply(node, action, self.now)),
            Call::Journal(JournalAction::Store(call)) => Reply::Store(self.store.apply(call)),
            Call::Journal(JournalAction::ReadOrders { .. }) => {
                let orders = self.accepted.iter().map(|(id, _)| id.clone());
                Reply::Orders(orders.collect())
            }
            Call::Journal(JournalAction::Post { order, fencing, .. }) => {
                self.accept(&order.id, *fencing)?;
                Reply::Accepted
            }
            Call::Journal(JournalAction::Finished { .. }) => unreachable!("not a call"),
        })
    }

    fn accept(&mut self, id: &OrderId, fencing: FencingNumber) -> Result<(), String> {
        if self.accepted.iter().any(|(accepted, _)| accepted == id) {
            return Err(format!("{id} was accepted twice"));
        }
        if let Some((last, highest)) = self.accepted.last().filter(|(_, last)| *last > fencing) {
            return Err(format!("{id} under {fencing} after {last} under {highest}"));
        }
        self.accepted.push((id.clone(), fencing));
        Ok(())
    }

    fn handle_reply(&mut self, node: usize, call: Call, reply: Option<Reply>) {
        match call {
            Call::Lease(LeaseAction::Acquire { call, .. } | LeaseAction::Renew { call, .. }) => {
                let reply = match reply {
                    Some(Reply::Lease(reply)) => reply,
                    _ => LeaseReply::Failed,
                };
                let completion = LeaseCompletion { call, reply };
                let actions = self.nodes[node].lease.handle(self.now, completion);
                self.perform_lease(node, actions);
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
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let in_flight = self.in_flight.remove(at % self.in_flight.len());
        let reply = match in_flight.reply {
            Some(reply) => reply,
            None => self.apply(in_flight.node, &in_flight.call)?,
        };
        if !in_flight.failure_reported {
            self.handle_reply(in_flight.node, in_flight.call, (!lost).then_some(reply));
        }
        Ok(())
    }

    fn apply_at(&mut self, at: usize) -> Result<(), String> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let at = at % self.in_flight.len();
        if self.in_flight[at].reply.is_none() {
            let (node, call) = (self.in_flight[at].node, self.in_flight[at].call.clone());
            self.in_flight[at].reply = Some(self.apply(node, &call)?);
        }
        Ok(())
    }

    fn fail(&mut self, at: usize, keep: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = at % self.in_flight.len();
        let (node, call) = (self.in_flight[at].node, self.in_flight[at].call.clone());
        let failure_reported = std::mem::replace(&mut self.in_flight[at].failure_reported, true);
        if !keep {
            self.in_flight.remove(at);
        }
        if !failure_reported {
            self.handle_reply(node, call, None);
        }
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Advance { steps, awake } => self.advance(steps, awake)?,
            Step::Submit { node } => self.submit(node),
            Step::Apply { at } => self.apply_at(at)?,
            Step::Deliver { at } => self.deliver(at, false)?,
            Step::LoseReply { at } => self.deliver(at, true)?,
            Step::Delay { at } => self.fail(at, true),
            Step::Drop { at } => self.fail(at, false),
        }
        Ok(())
    }

    fn run_without_faults(&mut self, steps: u16, awake: u8) -> Result<(), String> {
        for _ in 0..steps {
            while !self.in_flight.is_empty() {
                self.deliver(0, false)?;
            }
            self.advance(1, awake)?;
        }
        Ok(())
    }

    /// Checks that a new order is accepted and all outcomes are correct once there are no more
    /// faults.
    fn check_recovery(&mut self) -> Result<(), String> {
        self.run_without_faults(400, u8::MAX)?;
        let leader = (0..NODES).find(|node| self.nodes[*node].lease.authority(self.now).is_some());
        let leader = leader.ok_or("no node has authority")?;
        if !self.nodes[leader].journal.is_ready() {
            return Err("the journal is not ready".into());
        }
        self.submit(leader);
        self.run_without_faults(100, u8::MAX)?;
        // A creation that took effect late may have left a record, which the next load finds and
        // resolves.
        let lease = &self.nodes[leader].lease;
        let fencing = lease
            .authority(self.now)
            .map(|authority| authority.fencing());
        let fencing = fencing.ok_or("the leader has lost its lease")?;
        self.nodes[leader].journal.begin(self.now, fencing);
        self.run_without_faults(100, u8::MAX)?;
        let accepted: BTreeSet<OrderId> = self.accepted.iter().map(|(id, _)| id.clone()).collect();
        if !accepted.contains(&order(self.submitted).id) {
            return Err("a new order was not accepted".into());
        }
        for (id, outcome) in &self.outcomes {
            if accepted.contains(id) != (*outcome == OrderOutcome::Done) {
                return Err(format!("{id} was reported as {outcome:?}"));
            }
        }
        match (self.store.entries.is_empty(), self.unauthorized) {
            (true, false) => Ok(()),
            (false, _) => Err("a record was not deleted".into()),
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

fn check_journal<J>() -> Result<(), String>
where
    J: Journal,
{
    check_histories(71, 2_000, steps(), |steps| {
        let mut simulation = Simulation::<J>::new();
        simulation.run_without_faults(110, u8::MAX)?;
        for step in steps {
            simulation.step(step)?;
        }
        simulation.check_recovery()
    })
}

#[test]
fn no_history_has_an_order_accepted_twice_or_after_a_later_holder() {
    assert_eq!(check_journal::<OrderJournal>(), Ok(()));
}

/// Returns a simulation whose first node has authority and an order whose record is being set to
/// sending.
fn simulation_before_post() -> Simulation<OrderJournal> {
    let mut simulation = Simulation::<OrderJournal>::new();
    simulation.run_without_faults(110, 1).unwrap();
    simulation.submit(0);
    simulation.deliver(0, false).unwrap();
    assert_eq!(
        simulation.in_flight.len(),
        1,
        "the record is set to sending"
    );
    simulation
}

fn post_at(simulation: &Simulation<OrderJournal>) -> Option<usize> {
    let mut calls = simulation.in_flight.iter();
    calls.position(|in_flight| matches!(in_flight.call, Call::Journal(JournalAction::Post { .. })))
}

#[test]
fn an_order_in_flight_during_a_pause_is_awaited() {
    let mut simulation = simulation_before_post();
    simulation.deliver(0, false).unwrap();
    let at = post_at(&simulation).expect("the order is sent");
    let post = simulation.in_flight.remove(at);
    // The pause ends authority, which starts again under the same fencing number.
    simulation.advance(12, 0).unwrap();
    simulation.run_without_faults(3, 1).unwrap();
    assert!(!simulation.nodes[0].journal.is_ready());
    simulation.apply(0, &post.call).unwrap();
    simulation.run_without_faults(40, 1).unwrap();
    let outcome = simulation.outcomes.get(&order(1).id);
    assert_eq!(outcome, Some(&OrderOutcome::Done));
}

#[test]
fn an_order_whose_record_was_written_late_is_not_sent() {
    let mut simulation = simulation_before_post();
    simulation.apply_at(0).unwrap();
    // The reply is lost, so the record is read back after the call times out.
    simulation.in_flight.clear();
    for _ in 0..21 {
        simulation.advance(1, 1).unwrap();
        while !simulation.in_flight.is_empty() && post_at(&simulation).is_none() {
            simulation.deliver(0, false).unwrap();
        }
    }
    assert!(simulation.nodes[0].journal.is_ready());
    assert_eq!(post_at(&simulation), None);
    assert!(simulation.nodes[0]
        .lease
        .authority(simulation.now)
        .is_some());
}

#[test]
fn the_naive_journal_has_an_order_accepted_twice() {
    let error = check_journal::<NaiveJournal>().unwrap_err();
    assert!(error.contains("accepted twice"), "{error}");
}

/// Pauses the first node between its check of authority and the send, and returns whether the
/// platform's checks passed when the order arrived.
///
/// Returns `None` if the order was not sent. `before` is the number of steps between the last
/// renewal and the order, `pause` the length of the pause in steps.
fn order_after_pause(before: u16, pause: u16) -> Option<Result<(), String>> {
    let mut simulation = Simulation::<OrderJournal>::new();
    simulation.run_without_faults(110, u8::MAX).unwrap();
    // The first node has authority. All renewals after this one are lost.
    loop {
        simulation.advance(1, 1).unwrap();
        let renewed = !simulation.in_flight.is_empty();
        simulation.run_without_faults(1, 0).unwrap();
        if renewed {
            break;
        }
    }
    for _ in 0..before {
        simulation.advance(1, 1).unwrap();
        simulation.in_flight.clear();
    }
    simulation.submit(0);
    let is_post = |in_flight: &InFlightCall| {
        matches!(in_flight.call, Call::Journal(JournalAction::Post { .. }))
    };
    let post = loop {
        match simulation.in_flight.iter().position(is_post) {
            Some(at) => break simulation.in_flight.remove(at),
            None if simulation.in_flight.is_empty() => return None,
            None => simulation.deliver(0, false).unwrap(),
        }
    };
    // The first node is paused between its check and the arrival of its order.
    for _ in 0..pause {
        simulation.run_without_faults(1, 2).unwrap();
        simulation.submit(1);
    }
    Some(simulation.apply(0, &post.call).map(|_| ()))
}

/// Returns the shortest pause, in steps, after which an order is accepted after one of a later
/// holder.
fn harmful_pause(before: u16) -> Option<u16> {
    order_after_pause(before, 0)?.ok()?;
    (0..300).find(|pause| matches!(order_after_pause(before, *pause), Some(Err(_))))
}

#[test]
fn only_a_long_pause_between_check_and_send_lets_an_outdated_order_through() {
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
    assert!(
        shortest >= wait,
        "a pause of {shortest} lets an outdated order through"
    );
}
