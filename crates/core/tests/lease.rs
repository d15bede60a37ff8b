//! Lease holders under pauses, drifting clocks, and late and lost messages.

#[path = "claim_support/history.rs"]
mod history;
mod lease_support;

use std::collections::BTreeMap;

use applefold_core::claim::store::CallNumber;
use applefold_core::id::FencingNumber;
use applefold_core::lease::{
    LeaseAction, LeaseCompletion, LeaseHolder, LeaseOptions, LeaseReply, ORDER_DELIVERY_TIMEOUT,
};
use applefold_core::unit::{TimePoint, TimeSpan};
use history::check_histories;
use lease_support::{holder_name, FakeLease};
use proptest::prelude::*;

const NODES: usize = 3;
const STEP: TimeSpan = TimeSpan::from_millis(100);

/// The interface of the holder and of the naive reference implementation.
trait Holder {
    /// The maximum delivery time of its orders.
    const MAX_DELIVERY_TIME: TimeSpan = ORDER_DELIVERY_TIMEOUT;

    fn make(node: usize) -> Self;
    fn tick(&mut self, now: TimePoint) -> Vec<LeaseAction>;
    fn handle(&mut self, now: TimePoint, completion: LeaseCompletion) -> Vec<LeaseAction>;
    fn release(&mut self, now: TimePoint) -> Vec<LeaseAction>;
    fn acting_fencing(&self, now: TimePoint) -> Option<FencingNumber>;
}

impl Holder for LeaseHolder {
    fn make(node: usize) -> Self {
        let scope = "pool:chat".parse().unwrap();
        Self::new(scope, holder_name(node), LeaseOptions::default())
    }

    fn tick(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        LeaseHolder::tick(self, now)
    }

    fn handle(&mut self, now: TimePoint, completion: LeaseCompletion) -> Vec<LeaseAction> {
        LeaseHolder::handle(self, now, completion)
    }

    fn release(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        let actions = LeaseHolder::release(self, now);
        self.reacquire();
        actions
    }

    fn acting_fencing(&self, now: TimePoint) -> Option<FencingNumber> {
        self.authority(now).map(|authority| authority.fencing())
    }
}

/// A holder without a takeover delay, so that only the margin prevents two from acting at once.
struct ImmediateHolder(LeaseHolder);

impl Holder for ImmediateHolder {
    const MAX_DELIVERY_TIME: TimeSpan = TimeSpan::ZERO;

    fn make(node: usize) -> Self {
        let scope = "claims:3".parse().unwrap();
        let options = LeaseOptions::store_fenced();
        Self(LeaseHolder::new(scope, holder_name(node), options))
    }

    fn tick(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        self.0.tick(now)
    }

    fn handle(&mut self, now: TimePoint, completion: LeaseCompletion) -> Vec<LeaseAction> {
        self.0.handle(now, completion)
    }

    fn release(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        Holder::release(&mut self.0, now)
    }

    fn acting_fencing(&self, now: TimePoint) -> Option<FencingNumber> {
        self.0.acting_fencing(now)
    }
}

/// A reference implementation that counts its lease from the arrival of the reply and acts at once.
struct NaiveHolder {
    held: Option<(FencingNumber, TimePoint)>,
    calls: CallNumber,
    next_call_at: TimePoint,
}

impl Holder for NaiveHolder {
    fn make(_node: usize) -> Self {
        Self {
            held: None,
            calls: CallNumber::default(),
            next_call_at: TimePoint::START,
        }
    }

    fn tick(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        if now < self.next_call_at {
            return Vec::new();
        }
        let options = LeaseOptions::default();
        self.next_call_at = now + options.renewal_interval;
        self.calls.0 += 1;
        let (call, ttl) = (self.calls, options.ttl);
        vec![match self.held {
            Some((fencing, _)) => LeaseAction::Renew { call, fencing, ttl },
            None => LeaseAction::Acquire { call, ttl },
        }]
    }

    fn handle(&mut self, now: TimePoint, completion: LeaseCompletion) -> Vec<LeaseAction> {
        match completion.reply {
            LeaseReply::Granted { fencing } => {
                self.held = Some((fencing, now + LeaseOptions::default().ttl));
            }
            LeaseReply::Held { .. } => self.held = None,
            LeaseReply::Failed => {}
        }
        Vec::new()
    }

    fn release(&mut self, _now: TimePoint) -> Vec<LeaseAction> {
        let held = self.held.take();
        let release = held.map(|(fencing, _)| LeaseAction::Release { fencing });
        release.into_iter().collect()
    }

    fn acting_fencing(&self, now: TimePoint) -> Option<FencingNumber> {
        let held = self.held.filter(|(_, until)| now < *until);
        held.map(|(fencing, _)| fencing)
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// Time passes; nodes whose bit in `awake` is not set are paused.
    Advance {
        steps: u16,
        awake: u8,
    },
    /// A call takes effect at the platform; its reply is in flight.
    Apply {
        at: usize,
    },
    /// A call is lost.
    LoseCall {
        at: usize,
    },
    /// A reply arrives at its node.
    Reply {
        at: usize,
    },
    /// A reply is lost; the node sees a failure if `reported`, and a timeout otherwise.
    LoseReply {
        at: usize,
        reported: bool,
    },
    /// A reply arrives and will arrive again.
    Duplicate {
        at: usize,
    },
    Release {
        node: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let at = 0..6usize;
    let step = prop_oneof![
        6 => (1..20u16, any::<u8>()).prop_map(|(steps, awake)| Step::Advance { steps, awake }),
        2 => (1..150u16, 0..8u8).prop_map(|(steps, awake)| Step::Advance { steps, awake }),
        8 => at.clone().prop_map(|at| Step::Apply { at }),
        1 => at.clone().prop_map(|at| Step::LoseCall { at }),
        8 => at.clone().prop_map(|at| Step::Reply { at }),
        1 => (at.clone(), any::<bool>()).prop_map(|(at, reported)| Step::LoseReply { at, reported }),
        1 => at.prop_map(|at| Step::Duplicate { at }),
        1 => (0..NODES).prop_map(|node| Step::Release { node }),
    ];
    prop::collection::vec(step, 1..300)
}

#[derive(Clone, Debug)]
struct Clock {
    offset: u64,
    rate_ppm: i64,
}

impl Clock {
    fn read(&self, now: TimePoint) -> TimePoint {
        let drift = now.0 as i64 * self.rate_ppm / 1_000_000;
        TimePoint((self.offset + now.0).saturating_add_signed(drift))
    }
}

fn clocks() -> impl Strategy<Value = Vec<Clock>> {
    let clock = (0..10_000_000u64, -500..=500i64);
    let clock = clock.prop_map(|(offset, rate_ppm)| Clock { offset, rate_ppm });
    prop::collection::vec(clock, NODES)
}

struct Simulation<H> {
    nodes: Vec<H>,
    clocks: Vec<Clock>,
    lease: FakeLease,
    now: TimePoint,
    calls: Vec<(usize, LeaseAction)>,
    completions: Vec<(usize, LeaseCompletion)>,
    /// The orders in flight by arrival time and sequence number.
    orders: BTreeMap<(TimePoint, u64), (usize, FencingNumber)>,
    sent_count: u64,
    /// The last order that took effect.
    last_effect: Option<(usize, FencingNumber)>,
    acted_count: u64,
}

impl<H> Simulation<H>
where
    H: Holder,
{
    fn new(clocks: Vec<Clock>, renews_expired: bool) -> Self {
        Self {
            nodes: (0..NODES).map(H::make).collect(),
            clocks,
            lease: FakeLease::new(renews_expired),
            now: TimePoint::START,
            calls: Vec::new(),
            completions: Vec::new(),
            orders: BTreeMap::new(),
            sent_count: 0,
            last_effect: None,
            acted_count: 0,
        }
    }

    fn collect_calls(&mut self, node: usize, actions: Vec<LeaseAction>) {
        let calls = actions.into_iter().filter(|action| {
            !matches!(
                action,
                LeaseAction::StartActing { .. } | LeaseAction::StopActing { .. }
            )
        });
        self.calls.extend(calls.map(|call| (node, call)));
    }

    /// Lets an awake node act if it has authority on its own clock.
    ///
    /// Returns an error if another node has authority too.
    fn act(&mut self, node: usize) -> Result<(), String> {
        let local = |node: usize| self.clocks[node].read(self.now);
        let Some(fencing) = self.nodes[node].acting_fencing(local(node)) else {
            return Ok(());
        };
        for other in (0..NODES).filter(|other| *other != node) {
            if let Some(number) = self.nodes[other].acting_fencing(local(other)) {
                return Err(format!(
                    "{node} acts under {fencing} beside {other} under {number}"
                ));
            }
        }
        self.sent_count += 1;
        self.acted_count += 1;
        let delay = match self.sent_count % 3 {
            0 => TimeSpan::ZERO,
            1 => H::MAX_DELIVERY_TIME,
            _ => TimeSpan(H::MAX_DELIVERY_TIME.0 / 2),
        };
        self.orders
            .insert((self.now + delay, self.sent_count), (node, fencing));
        Ok(())
    }

    /// Applies the orders that have arrived, at a receiver that checks no fencing number.
    ///
    /// Returns an error if an order takes effect after one with a higher fencing number.
    fn apply_orders(&mut self) -> Result<(), String> {
        while let Some(entry) = self.orders.first_entry() {
            if entry.key().0 > self.now {
                return Ok(());
            }
            let order = entry.remove();
            if let Some(effect) = self.last_effect.filter(|effect| effect.1 > order.1) {
                return Err(format!(
                    "an order of {order:?} took effect after {effect:?}"
                ));
            }
            self.last_effect = Some(order);
        }
        Ok(())
    }

    fn advance(&mut self, steps: u16, awake: u8) -> Result<(), String> {
        for _ in 0..steps {
            self.now = self.now + STEP;
            self.apply_orders()?;
            for node in (0..NODES).filter(|node| awake & (1 << node) != 0) {
                self.act(node)?;
                let local = self.clocks[node].read(self.now);
                let actions = self.nodes[node].tick(local);
                self.collect_calls(node, actions);
                self.act(node)?;
            }
        }
        Ok(())
    }

    fn apply_call(&mut self, at: usize) {
        if self.calls.is_empty() {
            return;
        }
        let (node, action) = self.calls.remove(at % self.calls.len());
        let reply = self.lease.apply(node, &action, self.now);
        if let LeaseAction::Acquire { call, .. } | LeaseAction::Renew { call, .. } = action {
            self.completions
                .push((node, LeaseCompletion { call, reply }));
        }
    }

    fn deliver_reply(&mut self, at: usize, keep: bool) -> Result<(), String> {
        if self.completions.is_empty() {
            return Ok(());
        }
        let at = at % self.completions.len();
        let (node, completion) = self.completions[at].clone();
        if !keep {
            self.completions.remove(at);
        }
        let local = self.clocks[node].read(self.now);
        let actions = self.nodes[node].handle(local, completion);
        self.collect_calls(node, actions);
        self.act(node)
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Advance { steps, awake } => self.advance(steps, awake),
            Step::Apply { at } => {
                self.apply_call(at);
                Ok(())
            }
            Step::LoseCall { at } => {
                if !self.calls.is_empty() {
                    self.calls.remove(at % self.calls.len());
                }
                Ok(())
            }
            Step::Reply { at } => self.deliver_reply(at, false),
            Step::Duplicate { at } => self.deliver_reply(at, true),
            Step::LoseReply { at, reported } => {
                if self.completions.is_empty() {
                    return Ok(());
                }
                let at = at % self.completions.len();
                self.completions[at].1.reply = LeaseReply::Failed;
                if reported {
                    return self.deliver_reply(at, false);
                }
                self.completions.remove(at);
                Ok(())
            }
            Step::Release { node } => {
                let local = self.clocks[node].read(self.now);
                let actions = self.nodes[node].release(local);
                self.collect_calls(node, actions);
                Ok(())
            }
        }
    }

    /// Checks that some node acts once there are no more faults.
    fn finish(&mut self) -> Result<(), String> {
        for _ in 0..400 {
            while !self.calls.is_empty() {
                self.apply_call(0);
            }
            while !self.completions.is_empty() {
                self.deliver_reply(0, false)?;
            }
            self.advance(1, u8::MAX)?;
        }
        let before = self.acted_count;
        self.advance(10, u8::MAX)?;
        let acts = self.acted_count > before;
        acts.then_some(()).ok_or_else(|| "no node acts".into())
    }
}

fn check_exclusive<H>(seed: u64, cases: u32) -> Result<(), String>
where
    H: Holder,
{
    let histories = (clocks(), any::<bool>(), steps());
    check_histories(seed, cases, histories, |(clocks, renews_expired, steps)| {
        let mut simulation = Simulation::<H>::new(clocks, renews_expired);
        for step in steps {
            simulation.step(step)?;
        }
        simulation.finish()
    })
}

#[test]
fn no_history_lets_two_nodes_act_at_once() {
    assert_eq!(check_exclusive::<LeaseHolder>(21, 1_500), Ok(()));
}

#[test]
fn without_takeover_delay_the_margin_prevents_two_from_acting() {
    assert_eq!(check_exclusive::<ImmediateHolder>(22, 1_500), Ok(()));
}

#[test]
fn the_naive_holder_acts_while_another_does() {
    let error = check_exclusive::<NaiveHolder>(21, 1_500).unwrap_err();
    let seen = error.contains("beside") || error.contains("took effect after");
    assert!(seen, "{error}");
}

fn granted(call: u64, fencing: u64) -> LeaseCompletion {
    LeaseCompletion {
        call: CallNumber(call),
        reply: LeaseReply::Granted {
            fencing: FencingNumber(fencing),
        },
    }
}

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

/// Returns a holder that has acted for some time and sent its last renewal at 18 s.
fn acting_holder() -> LeaseHolder {
    let mut holder = LeaseHolder::make(0);
    let mut call = 0;
    for millis in (0..=18_000).step_by(200) {
        for action in holder.tick(at(millis)) {
            if matches!(
                action,
                LeaseAction::Acquire { .. } | LeaseAction::Renew { .. }
            ) {
                call += 1;
                holder.handle(at(millis), granted(call, 1));
            }
        }
    }
    assert!(holder.authority(at(18_000)).is_some());
    holder
}

#[test]
fn authority_counts_from_the_sending_of_the_renewal() {
    let mut holder = acting_holder();
    let mut renewal = None;
    for millis in (18_200..=20_000).step_by(200) {
        for action in holder.tick(at(millis)) {
            if let LeaseAction::Renew { call, .. } = action {
                renewal = Some((call, millis));
            }
        }
    }
    let (call, sent_at) = renewal.unwrap();
    for millis in (sent_at..=sent_at + 1_600).step_by(200) {
        holder.tick(at(millis));
    }
    holder.handle(at(sent_at + 1_600), granted(call.0, 1));
    let mut last = 0;
    for millis in (sent_at + 1_600..sent_at + 8_000).step_by(10) {
        holder.tick(at(millis));
        if holder.authority(at(millis)).is_some() {
            last = millis;
        }
    }
    assert_eq!(
        last,
        sent_at + 4_990,
        "of a lease of 6 s with a margin of 1 s"
    );
}

#[test]
fn lost_and_late_replies_do_not_extend_authority() {
    let mut holder = acting_holder();
    let mut renewals = Vec::new();
    for millis in (18_200..30_000).step_by(200) {
        for action in holder.tick(at(millis)) {
            if let LeaseAction::Renew { call, .. } = action {
                renewals.push(call);
            }
        }
        let completion = match renewals.as_slice() {
            [first, _] => granted(first.0, 1),
            [.., last] => LeaseCompletion {
                call: *last,
                reply: LeaseReply::Failed,
            },
            [] => continue,
        };
        holder.handle(at(millis), completion);
        let acts = holder.authority(at(millis)).is_some();
        assert_eq!(acts, millis < 22_994, "the last renewal was sent at 18 s");
    }
    assert!(renewals.len() > 3);
}

#[test]
fn a_pause_longer_than_the_margin_ends_authority_first() {
    let mut holder = acting_holder();
    assert!(holder.authority(at(19_000)).is_some());
    assert!(holder.authority(at(19_001)).is_none());
    let actions = holder.tick(at(19_001));
    let fencing = FencingNumber(1);
    assert_eq!(actions[0], LeaseAction::StopActing { fencing });
    assert!(holder.authority(at(19_001)).is_none());
    let LeaseAction::Renew { call, .. } = actions[1] else {
        panic!("{actions:?}");
    };
    let actions = holder.handle(at(19_002), granted(call.0, 1));
    assert_eq!(actions, [LeaseAction::StartActing { fencing }]);
}

#[test]
fn a_new_holder_waits_until_earlier_orders_have_arrived() {
    let mut holder = LeaseHolder::make(1);
    let mut call = 0;
    let mut started_at = None;
    for millis in (0..20_000).step_by(10) {
        for action in holder.tick(at(millis)) {
            match action {
                LeaseAction::StartActing { .. } => started_at = Some(millis),
                _ => {
                    call += 1;
                    holder.handle(at(millis), granted(call, 7));
                }
            }
        }
    }
    assert_eq!(
        started_at,
        Some(9_010),
        "6 s + 1 s + 2 s and 1,000 ppm of drift"
    );
}

#[test]
fn a_lease_whose_acquire_reply_was_lost_is_renewed_before_the_holder_acts() {
    let mut holder = LeaseHolder::make(0);
    let first = holder.tick(at(0));
    assert!(matches!(first[0], LeaseAction::Acquire { .. }));
    holder.handle(
        at(10),
        LeaseCompletion {
            call: CallNumber(1),
            reply: LeaseReply::Failed,
        },
    );
    for millis in (100..2_000).step_by(100) {
        holder.tick(at(millis));
    }
    let again = holder.tick(at(2_000));
    assert!(matches!(again[0], LeaseAction::Acquire { .. }));
    let reply = LeaseReply::Held {
        holder: Some(holder_name(0)),
        fencing: FencingNumber(4),
        remaining: TimeSpan::from_secs(4),
    };
    let call = CallNumber(2);
    holder.handle(at(2_010), LeaseCompletion { call, reply });
    assert!(holder.authority(at(2_020)).is_none());
    let renewal = holder.tick(at(2_100));
    let fencing = FencingNumber(4);
    assert!(matches!(renewal[0], LeaseAction::Renew { fencing: f, .. } if f == fencing));
}
