//! The fence of a backend server under changes of the holder, crashes and restarts.

#[path = "claim_support/history.rs"]
mod history;

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::claim::store::CallNumber;
use applefold_core::code::{ResultCode, RunState};
use applefold_core::fence::{
    EngineOrder, EngineReply, EngineState, FenceAction, FenceEvent, FenceOptions, LeaseStatus,
    OrderFence, OrderResult,
};
use applefold_core::id::{FencingNumber, InstanceId, OrderId};
use applefold_core::lease::HolderName;
use applefold_core::unit::{TimePoint, TimeSpan};
use history::check_histories;
use proptest::prelude::*;

fn holder(fencing: u64) -> HolderName {
    let instance: InstanceId = format!("entry-{fencing}").parse().unwrap();
    HolderName::new(&instance, 1)
}

fn order(id: u64, fencing: u64) -> EngineOrder {
    EngineOrder {
        id: format!("order-{id}").parse().unwrap(),
        scope: "pool:chat".parse().unwrap(),
        holder: holder(fencing),
        fencing: FencingNumber(fencing),
        timeout: TimeSpan::from_secs(5),
        body: format!("load {id}").into(),
    }
}

/// The interface of the fence and of the naive reference implementation.
trait Fence {
    fn start(now: TimePoint) -> Self;
    fn handle(&mut self, now: TimePoint, event: FenceEvent) -> Vec<FenceAction>;
    fn tick(&mut self, now: TimePoint) -> Vec<FenceAction>;
}

impl Fence for OrderFence {
    fn start(now: TimePoint) -> Self {
        Self::new(now, FenceOptions::default())
    }

    fn handle(&mut self, now: TimePoint, event: FenceEvent) -> Vec<FenceAction> {
        OrderFence::handle(self, now, event)
    }

    fn tick(&mut self, now: TimePoint) -> Vec<FenceAction> {
        OrderFence::tick(self, now)
    }
}

/// A reference implementation that refuses fencing numbers below the highest one it has forwarded,
/// and checks nothing else.
#[derive(Default)]
struct NaiveFence {
    highest: FencingNumber,
    calls: BTreeMap<OrderId, CallNumber>,
}

impl Fence for NaiveFence {
    fn start(_now: TimePoint) -> Self {
        Self::default()
    }

    fn handle(&mut self, now: TimePoint, event: FenceEvent) -> Vec<FenceAction> {
        match event {
            FenceEvent::Order { order, .. } if order.fencing < self.highest => Vec::new(),
            FenceEvent::Order { call, order } => {
                self.highest = order.fencing;
                self.calls.insert(order.id.clone(), call);
                let deadline = now + order.timeout;
                vec![FenceAction::Send { order, deadline }]
            }
            _ => Vec::new(),
        }
    }

    fn tick(&mut self, _now: TimePoint) -> Vec<FenceAction> {
        Vec::new()
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// A new holder acquires the lease.
    Acquire,
    /// The lease expires.
    Expire,
    /// An order arrives from the holder of `behind` terms ago.
    Order {
        id: u64,
        behind: u64,
    },
    /// A read of the lease takes effect; its reply is in flight.
    Read {
        at: usize,
    },
    /// The reply to a read arrives.
    Reply {
        at: usize,
    },
    /// A read fails.
    FailRead {
        at: usize,
    },
    /// The backend server finishes its order; the reply may be lost.
    Finish {
        lost: bool,
        refused: bool,
    },
    Crash,
    Restart {
        idle: bool,
    },
    Advance {
        millis: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let at = 0..4usize;
    let step = prop_oneof![
        2 => Just(Step::Acquire),
        1 => Just(Step::Expire),
        8 => (0..10u64, 0..3u64).prop_map(|(id, behind)| Step::Order { id, behind }),
        8 => at.clone().prop_map(|at| Step::Read { at }),
        8 => at.clone().prop_map(|at| Step::Reply { at }),
        1 => at.prop_map(|at| Step::FailRead { at }),
        4 => (any::<bool>(), any::<bool>())
            .prop_map(|(lost, refused)| Step::Finish { lost, refused }),
        1 => Just(Step::Crash),
        1 => any::<bool>().prop_map(|idle| Step::Restart { idle }),
        6 => (1..4_000u64).prop_map(|millis| Step::Advance { millis }),
    ];
    prop::collection::vec(step, 1..250)
}

struct RunningOrder {
    order: EngineOrder,
    until: TimePoint,
}

struct Simulation<F> {
    fence: F,
    now: TimePoint,
    term: u64,
    lease: Option<u64>,
    /// When the lease of each term was last held.
    last_held: BTreeMap<u64, TimePoint>,
    reads: Vec<CallNumber>,
    replies: Vec<(CallNumber, LeaseStatus)>,
    running: Option<RunningOrder>,
    /// Whether the backend server checks fencing numbers.
    checks_numbers: bool,
    engine_highest: FencingNumber,
    sent_highest: FencingNumber,
    calls: BTreeMap<CallNumber, EngineOrder>,
    sent: BTreeSet<(OrderId, FencingNumber)>,
    executed: BTreeMap<OrderId, u64>,
    last_call: CallNumber,
}

impl<F> Simulation<F>
where
    F: Fence,
{
    fn new(checks_numbers: bool) -> Self {
        Self {
            fence: F::start(TimePoint::START),
            now: TimePoint::START + TimeSpan::from_secs(60),
            term: 1,
            lease: Some(1),
            last_held: BTreeMap::new(),
            reads: Vec::new(),
            replies: Vec::new(),
            running: None,
            checks_numbers,
            engine_highest: FencingNumber(0),
            sent_highest: FencingNumber(0),
            calls: BTreeMap::new(),
            sent: BTreeSet::new(),
            executed: BTreeMap::new(),
            last_call: CallNumber::default(),
        }
    }

    fn event(&mut self, event: FenceEvent) -> Result<(), String> {
        let actions = self.fence.handle(self.now, event);
        self.perform(actions)
    }

    fn perform(&mut self, actions: Vec<FenceAction>) -> Result<(), String> {
        for action in actions {
            match action {
                FenceAction::ReadLease { call, .. } => self.reads.push(call),
                FenceAction::Send { order, .. } => self.send(order)?,
                FenceAction::Reply { call, result } => self.handle_reply(call, result)?,
            }
        }
        Ok(())
    }

    fn send(&mut self, order: EngineOrder) -> Result<(), String> {
        if let Some(running) = &self.running {
            return Err(format!(
                "{} was sent while {} ran",
                order.id, running.order.id
            ));
        }
        if order.fencing < self.sent_highest {
            return Err(format!(
                "number {} after {}",
                order.fencing, self.sent_highest
            ));
        }
        let last_held = self.last_held.get(&order.fencing.0).copied();
        let last_held = last_held.unwrap_or(TimePoint::START);
        if self.now.since(last_held) > FenceOptions::default().lease_check_timeout {
            return Err(format!("number {} expired at {last_held}", order.fencing));
        }
        self.sent_highest = order.fencing;
        self.sent.insert((order.id.clone(), order.fencing));
        if self.checks_numbers && order.fencing < self.engine_highest {
            return Err(
                "a backend server that checks fencing numbers was sent an outdated one".into(),
            );
        }
        self.engine_highest = order.fencing;
        let until = self.now + TimeSpan::from_secs(14);
        self.running = Some(RunningOrder { order, until });
        Ok(())
    }

    fn handle_reply(&mut self, call: CallNumber, result: OrderResult) -> Result<(), String> {
        let Some(order) = self.calls.remove(&call) else {
            return Err(format!("{call} was replied to twice"));
        };
        match result {
            OrderResult::Done if !self.executed.contains_key(&order.id) => {
                Err(format!("{} was never carried out", order.id))
            }
            OrderResult::Refused(refusal)
                if refusal.code.run_state() == RunState::NotRun
                    && refusal.code != ResultCode::OrderRefused
                    && self.running.as_ref().is_some_and(|r| r.order == order)
                    && refusal.code != ResultCode::OrderConflict =>
            {
                Err(format!("{} runs, but was refused: {refusal}", order.id))
            }
            _ => Ok(()),
        }
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        if let Some(term) = self.lease {
            self.last_held.insert(term, self.now);
        }
        match step {
            Step::Acquire => {
                self.term += 1;
                self.lease = Some(self.term);
                Ok(())
            }
            Step::Expire => {
                self.lease = None;
                Ok(())
            }
            Step::Order { id, behind } => {
                let fencing = self.term.saturating_sub(behind).max(1);
                let order = order(id * 100 + fencing, fencing);
                self.last_call.0 += 1;
                let call = self.last_call;
                self.calls.insert(call, order.clone());
                self.event(FenceEvent::Order { call, order })
            }
            Step::Read { at } => {
                if self.reads.is_empty() {
                    return Ok(());
                }
                let call = self.reads.remove(at % self.reads.len());
                let status = match self.lease {
                    None => LeaseStatus::Free,
                    Some(term) => LeaseStatus::Held {
                        holder: holder(term),
                        fencing: FencingNumber(term),
                    },
                };
                self.replies.push((call, status));
                Ok(())
            }
            Step::Reply { at } => {
                if self.replies.is_empty() {
                    return Ok(());
                }
                let (call, status) = self.replies.remove(at % self.replies.len());
                self.event(FenceEvent::LeaseRead { call, status })
            }
            Step::FailRead { at } => {
                if self.reads.is_empty() {
                    return Ok(());
                }
                let call = self.reads.remove(at % self.reads.len());
                let status = LeaseStatus::Unreadable;
                self.event(FenceEvent::LeaseRead { call, status })
            }
            Step::Finish { lost, refused } => self.finish(lost, refused),
            Step::Crash => {
                self.running = None;
                self.event(FenceEvent::EngineCrashed)
            }
            Step::Restart { idle } => self.restart(idle),
            Step::Advance { millis } => self.advance(TimeSpan::from_millis(millis)),
        }
    }

    fn finish(&mut self, lost: bool, refused: bool) -> Result<(), String> {
        let Some(running) = self.running.take() else {
            return Ok(());
        };
        let id = running.order.id;
        if !refused {
            *self.executed.entry(id.clone()).or_default() += 1;
        }
        let reply = match (lost, refused) {
            (true, _) => return Ok(()),
            (false, true) => EngineReply::Refused,
            (false, false) => EngineReply::Done,
        };
        self.event(FenceEvent::EngineReplied { order: id, reply })
    }

    /// Restarts the sidecar, which loses its state and connections.
    fn restart(&mut self, idle: bool) -> Result<(), String> {
        self.fence = F::start(self.now);
        self.reads.clear();
        self.replies.clear();
        self.calls.clear();
        if idle && self.running.is_none() {
            return self.event(FenceEvent::EngineIdle);
        }
        Ok(())
    }

    fn advance(&mut self, span: TimeSpan) -> Result<(), String> {
        self.now = self.now + span;
        if self.running.as_ref().is_some_and(|r| self.now >= r.until) {
            self.finish(false, false)?;
        }
        let actions = self.fence.tick(self.now);
        self.perform(actions)
    }

    /// Checks that a new order is carried out once there are no more faults.
    fn check_recovery(&mut self) -> Result<(), String> {
        self.step(Step::Acquire)?;
        self.advance(TimeSpan::from_secs(60))?;
        self.reads.clear();
        self.replies.clear();
        self.step(Step::Order { id: 99, behind: 0 })?;
        self.step(Step::Read { at: 0 })?;
        self.step(Step::Reply { at: 0 })?;
        self.finish(false, false)?;
        let id = order(9_900 + self.term, self.term).id;
        let executed = self.executed.contains_key(&id);
        executed
            .then_some(())
            .ok_or_else(|| "a new order was not carried out".into())
    }
}

fn check_fence<F>() -> Result<(), String>
where
    F: Fence,
{
    check_histories(41, 4_000, (any::<bool>(), steps()), |(checks, steps)| {
        let mut simulation = Simulation::<F>::new(checks);
        for step in steps {
            simulation.step(step)?;
        }
        simulation.check_recovery()
    })
}

#[test]
fn no_history_forwards_conflicting_orders() {
    assert_eq!(check_fence::<OrderFence>(), Ok(()));
}

#[test]
fn the_naive_fence_forwards_conflicting_orders() {
    let error = check_fence::<NaiveFence>().unwrap_err();
    let seen = error.contains("was sent while") || error.contains("expired at");
    assert!(seen, "{error}");
}

struct Fixture {
    fence: OrderFence,
    now: TimePoint,
}

impl Fixture {
    fn new() -> Self {
        let mut fence = OrderFence::new(TimePoint::START, FenceOptions::default());
        fence.handle(TimePoint::START, FenceEvent::EngineIdle);
        let now = TimePoint::START;
        Self { fence, now }
    }

    fn order(&mut self, call: u64, order: EngineOrder) -> Vec<FenceAction> {
        let call = CallNumber(call);
        self.fence
            .handle(self.now, FenceEvent::Order { call, order })
    }

    fn read(&mut self, call: u64, status: LeaseStatus) -> Vec<FenceAction> {
        let call = CallNumber(call);
        self.fence
            .handle(self.now, FenceEvent::LeaseRead { call, status })
    }

    fn replied(&mut self, id: u64, reply: EngineReply) -> Vec<FenceAction> {
        let order = order(id, 1).id;
        self.fence
            .handle(self.now, FenceEvent::EngineReplied { order, reply })
    }

    fn wait(&mut self, span: TimeSpan) -> Vec<FenceAction> {
        self.now = self.now + span;
        self.fence.tick(self.now)
    }
}

fn held(fencing: u64) -> LeaseStatus {
    LeaseStatus::Held {
        holder: holder(fencing),
        fencing: FencingNumber(fencing),
    }
}

fn code(actions: &[FenceAction]) -> Option<ResultCode> {
    match actions {
        [FenceAction::Reply {
            result: OrderResult::Refused(refusal),
            ..
        }] => Some(refusal.code),
        _ => None,
    }
}

#[test]
fn an_order_is_forwarded_only_if_the_lease_matches() {
    let statuses = [
        (held(3), None),
        (held(4), Some(ResultCode::FencingOutdated)),
        (held(2), Some(ResultCode::AuthorityLapsed)),
        (
            LeaseStatus::Held {
                holder: holder(7),
                fencing: FencingNumber(3),
            },
            Some(ResultCode::AuthorityLapsed),
        ),
        (LeaseStatus::Free, Some(ResultCode::AuthorityLapsed)),
        (
            LeaseStatus::Unreadable,
            Some(ResultCode::PlatformUnavailable),
        ),
    ];
    for (status, expected) in statuses {
        let mut fixture = Fixture::new();
        fixture.order(1, order(1, 3));
        let actions = fixture.read(1, status);
        assert_eq!(code(&actions), expected);
        let sent = matches!(actions[0], FenceAction::Send { .. });
        assert_eq!(sent, expected.is_none());
    }
}

#[test]
fn an_order_past_its_deadline_is_not_forwarded() {
    let mut fixture = Fixture::new();
    let short = EngineOrder {
        timeout: TimeSpan::from_millis(500),
        ..order(1, 1)
    };
    fixture.order(1, short);
    fixture.wait(TimeSpan::from_millis(500));
    assert_eq!(
        code(&fixture.read(1, held(1))),
        Some(ResultCode::AuthorityLapsed)
    );
}

#[test]
fn a_completed_order_is_not_carried_out_again() {
    let mut fixture = Fixture::new();
    fixture.order(1, order(1, 1));
    fixture.read(1, held(1));
    fixture.order(2, order(1, 1));
    let replies = fixture.replied(1, EngineReply::Done);
    assert_eq!(replies.len(), 2, "both senders get a reply");
    let again = fixture.order(3, order(1, 1));
    let result = OrderResult::Done;
    let call = CallNumber(3);
    assert_eq!(again, [FenceAction::Reply { call, result }]);
    let other = EngineOrder {
        body: "unload".into(),
        ..order(1, 1)
    };
    assert_eq!(
        code(&fixture.order(4, other)),
        Some(ResultCode::OrderConflict)
    );
}

#[test]
fn after_a_crash_during_an_order_the_next_order_determines_the_state() {
    let mut fixture = Fixture::new();
    fixture.order(1, order(1, 1));
    fixture.read(1, held(1));
    assert_eq!(fixture.fence.state(), EngineState::Changing);
    let actions = fixture.fence.handle(fixture.now, FenceEvent::EngineCrashed);
    assert_eq!(code(&actions), Some(ResultCode::OrderUnsettled));
    assert_eq!(fixture.fence.state(), EngineState::Unknown);
    fixture.order(2, order(2, 1));
    fixture.read(2, held(1));
    fixture.replied(2, EngineReply::Done);
    assert_eq!(fixture.fence.state(), EngineState::Known);
}

#[test]
fn an_order_without_a_reply_blocks_others_until_it_must_have_ended() {
    let mut fixture = Fixture::new();
    fixture.order(1, order(1, 1));
    fixture.read(1, held(1));
    let actions = fixture.wait(TimeSpan::from_secs(5));
    assert_eq!(code(&actions), Some(ResultCode::OrderUnsettled));
    let refused = fixture.order(2, order(2, 1));
    assert_eq!(code(&refused), Some(ResultCode::OrderConflict));
    fixture.wait(TimeSpan::from_secs(10));
    let accepted = fixture.order(3, order(3, 1));
    assert!(matches!(accepted[0], FenceAction::ReadLease { .. }));
}

#[test]
fn an_order_is_not_forwarded_after_a_late_lease_read() {
    let mut fixture = Fixture::new();
    fixture.order(1, order(1, 1));
    let actions = fixture.wait(TimeSpan::from_secs(1));
    assert_eq!(code(&actions), Some(ResultCode::PlatformUnavailable));
    assert_eq!(fixture.read(1, held(1)), []);
}
