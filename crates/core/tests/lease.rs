//! Authority under pauses, drifting clocks, late and lost messages.

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
use lease_support::{name, FakeLease};
use proptest::prelude::*;

const NODES: usize = 3;
const STEP: TimeSpan = TimeSpan::from_millis(100);

/// What both the holder and the naive reference can do.
trait Holder {
    /// The longest time that its orders stay on their way.
    const IN_FLIGHT: TimeSpan = ORDER_DELIVERY_TIMEOUT;

    fn make(node: usize) -> Self;
    fn tick(&mut self, now: TimePoint) -> Vec<LeaseAction>;
    fn handle(&mut self, now: TimePoint, answer: LeaseCompletion) -> Vec<LeaseAction>;
    fn release(&mut self, now: TimePoint) -> Vec<LeaseAction>;
    fn acts_under(&self, now: TimePoint) -> Option<FencingNumber>;
}

impl Holder for LeaseHolder {
    fn make(node: usize) -> Self {
        let scope = "pool:chat".parse().unwrap();
        Self::new(scope, name(node), LeaseOptions::default())
    }

    fn tick(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        LeaseHolder::tick(self, now)
    }

    fn handle(&mut self, now: TimePoint, answer: LeaseCompletion) -> Vec<LeaseAction> {
        LeaseHolder::handle(self, now, answer)
    }

    fn release(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        let actions = LeaseHolder::release(self, now);
        self.reacquire();
        actions
    }

    fn acts_under(&self, now: TimePoint) -> Option<FencingNumber> {
        self.authority(now).map(|authority| authority.fencing())
    }
}

/// Acts as soon as it is given the lease, so that the margin alone keeps two apart.
struct PromptHolder(LeaseHolder);

impl Holder for PromptHolder {
    const IN_FLIGHT: TimeSpan = TimeSpan::ZERO;

    fn make(node: usize) -> Self {
        let scope = "claims:3".parse().unwrap();
        let options = LeaseOptions::store_fenced();
        Self(LeaseHolder::new(scope, name(node), options))
    }

    fn tick(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        self.0.tick(now)
    }

    fn handle(&mut self, now: TimePoint, answer: LeaseCompletion) -> Vec<LeaseAction> {
        self.0.handle(now, answer)
    }

    fn release(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        Holder::release(&mut self.0, now)
    }

    fn acts_under(&self, now: TimePoint) -> Option<FencingNumber> {
        self.0.acts_under(now)
    }
}

/// Counts its lease from the arrival of the answer, and acts at once.
struct NaiveHolder {
    held: Option<(FencingNumber, TimePoint)>,
    calls: CallNumber,
    next: TimePoint,
}

impl Holder for NaiveHolder {
    fn make(_node: usize) -> Self {
        Self {
            held: None,
            calls: CallNumber::default(),
            next: TimePoint::START,
        }
    }

    fn tick(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        if now < self.next {
            return Vec::new();
        }
        let options = LeaseOptions::default();
        self.next = now + options.renewal_interval;
        self.calls.0 += 1;
        let (call, ttl) = (self.calls, options.ttl);
        vec![match self.held {
            Some((fencing, _)) => LeaseAction::Renew { call, fencing, ttl },
            None => LeaseAction::Acquire { call, ttl },
        }]
    }

    fn handle(&mut self, now: TimePoint, answer: LeaseCompletion) -> Vec<LeaseAction> {
        match answer.reply {
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

    fn acts_under(&self, now: TimePoint) -> Option<FencingNumber> {
        let held = self.held.filter(|(_, until)| now < *until);
        held.map(|(fencing, _)| fencing)
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// Time passes; the nodes whose bit is not set are paused.
    Advance {
        steps: u16,
        awake: u8,
    },
    /// A call reaches the platform; its answer is on its way.
    Reach {
        at: usize,
    },
    /// A call is lost.
    LoseCall {
        at: usize,
    },
    /// An answer reaches its node.
    Answer {
        at: usize,
    },
    /// An answer is lost, and the node is told so, or not.
    LoseAnswer {
        at: usize,
        told: bool,
    },
    /// An answer arrives and stays on its way.
    Double {
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
        8 => at.clone().prop_map(|at| Step::Reach { at }),
        1 => at.clone().prop_map(|at| Step::LoseCall { at }),
        8 => at.clone().prop_map(|at| Step::Answer { at }),
        1 => (at.clone(), any::<bool>()).prop_map(|(at, told)| Step::LoseAnswer { at, told }),
        1 => at.prop_map(|at| Step::Double { at }),
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

struct World<H> {
    nodes: Vec<H>,
    clocks: Vec<Clock>,
    lease: FakeLease,
    now: TimePoint,
    calls: Vec<(usize, LeaseAction)>,
    answers: Vec<(usize, LeaseCompletion)>,
    /// Orders on their way, by arrival.
    orders: BTreeMap<(TimePoint, u64), (usize, FencingNumber)>,
    sent: u64,
    effect: Option<(usize, FencingNumber)>,
    acted: u64,
}

impl<H> World<H>
where
    H: Holder,
{
    fn new(clocks: Vec<Clock>, renews_lapsed: bool) -> Self {
        Self {
            nodes: (0..NODES).map(H::make).collect(),
            clocks,
            lease: FakeLease::new(renews_lapsed),
            now: TimePoint::START,
            calls: Vec::new(),
            answers: Vec::new(),
            orders: BTreeMap::new(),
            sent: 0,
            effect: None,
            acted: 0,
        }
    }

    fn take(&mut self, node: usize, actions: Vec<LeaseAction>) {
        let calls = actions.into_iter().filter(|action| {
            !matches!(
                action,
                LeaseAction::StartActing { .. } | LeaseAction::StopActing { .. }
            )
        });
        self.calls.extend(calls.map(|call| (node, call)));
    }

    /// Lets an awake node act if it believes that it may.
    fn act(&mut self, node: usize) -> Result<(), String> {
        let local = |node: usize| self.clocks[node].read(self.now);
        let Some(fencing) = self.nodes[node].acts_under(local(node)) else {
            return Ok(());
        };
        for other in (0..NODES).filter(|other| *other != node) {
            if let Some(number) = self.nodes[other].acts_under(local(other)) {
                return Err(format!(
                    "{node} acts under {fencing} beside {other} under {number}"
                ));
            }
        }
        self.sent += 1;
        self.acted += 1;
        let delay = match self.sent % 3 {
            0 => TimeSpan::ZERO,
            1 => H::IN_FLIGHT,
            _ => TimeSpan(H::IN_FLIGHT.0 / 2),
        };
        self.orders
            .insert((self.now + delay, self.sent), (node, fencing));
        Ok(())
    }

    /// Carries out what has arrived, at a receiver that checks nothing.
    fn carry_out(&mut self) -> Result<(), String> {
        while let Some(entry) = self.orders.first_entry() {
            if entry.key().0 > self.now {
                return Ok(());
            }
            let order = entry.remove();
            if let Some(effect) = self.effect.filter(|effect| effect.1 > order.1) {
                return Err(format!(
                    "an order of {order:?} took effect after {effect:?}"
                ));
            }
            self.effect = Some(order);
        }
        Ok(())
    }

    fn advance(&mut self, steps: u16, awake: u8) -> Result<(), String> {
        for _ in 0..steps {
            self.now = self.now + STEP;
            self.carry_out()?;
            for node in (0..NODES).filter(|node| awake & (1 << node) != 0) {
                self.act(node)?;
                let local = self.clocks[node].read(self.now);
                let actions = self.nodes[node].tick(local);
                self.take(node, actions);
                self.act(node)?;
            }
        }
        Ok(())
    }

    fn reach(&mut self, at: usize) {
        if self.calls.is_empty() {
            return;
        }
        let (node, action) = self.calls.remove(at % self.calls.len());
        let reply = self.lease.apply(node, &action, self.now);
        if let LeaseAction::Acquire { call, .. } | LeaseAction::Renew { call, .. } = action {
            self.answers.push((node, LeaseCompletion { call, reply }));
        }
    }

    fn answer(&mut self, at: usize, keep: bool) -> Result<(), String> {
        if self.answers.is_empty() {
            return Ok(());
        }
        let at = at % self.answers.len();
        let (node, answer) = self.answers[at].clone();
        if !keep {
            self.answers.remove(at);
        }
        let local = self.clocks[node].read(self.now);
        let actions = self.nodes[node].handle(local, answer);
        self.take(node, actions);
        self.act(node)
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Advance { steps, awake } => self.advance(steps, awake),
            Step::Reach { at } => {
                self.reach(at);
                Ok(())
            }
            Step::LoseCall { at } => {
                if !self.calls.is_empty() {
                    self.calls.remove(at % self.calls.len());
                }
                Ok(())
            }
            Step::Answer { at } => self.answer(at, false),
            Step::Double { at } => self.answer(at, true),
            Step::LoseAnswer { at, told } => {
                if self.answers.is_empty() {
                    return Ok(());
                }
                let at = at % self.answers.len();
                self.answers[at].1.reply = LeaseReply::Failed;
                if told {
                    return self.answer(at, false);
                }
                self.answers.remove(at);
                Ok(())
            }
            Step::Release { node } => {
                let local = self.clocks[node].read(self.now);
                let actions = self.nodes[node].release(local);
                self.take(node, actions);
                Ok(())
            }
        }
    }

    /// With faults over, somebody acts.
    fn finish(&mut self) -> Result<(), String> {
        for _ in 0..400 {
            while !self.calls.is_empty() {
                self.reach(0);
            }
            while !self.answers.is_empty() {
                self.answer(0, false)?;
            }
            self.advance(1, u8::MAX)?;
        }
        let before = self.acted;
        self.advance(10, u8::MAX)?;
        let acts = self.acted > before;
        acts.then_some(()).ok_or_else(|| "nobody acts".into())
    }
}

fn holds<H>(seed: u64, cases: u32) -> Result<(), String>
where
    H: Holder,
{
    let histories = (clocks(), any::<bool>(), steps());
    check_histories(seed, cases, histories, |(clocks, renews_lapsed, steps)| {
        let mut world = World::<H>::new(clocks, renews_lapsed);
        for step in steps {
            world.step(step)?;
        }
        world.finish()
    })
}

#[test]
fn no_history_has_two_in_charge() {
    assert_eq!(holds::<LeaseHolder>(21, 1_500), Ok(()));
}

#[test]
fn the_margin_alone_keeps_two_apart() {
    assert_eq!(holds::<PromptHolder>(22, 1_500), Ok(()));
}

#[test]
fn the_naive_holder_acts_beside_another() {
    let error = holds::<NaiveHolder>(21, 1_500).unwrap_err();
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

/// A holder that has acted for a while; its last renewal was sent at 18 s.
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
fn the_lease_counts_from_the_sending_of_the_renewal() {
    let mut holder = acting_holder();
    let mut renewal = None;
    for millis in (18_200..=20_000).step_by(200) {
        for action in holder.tick(at(millis)) {
            if let LeaseAction::Renew { call, .. } = action {
                renewal = Some((call, millis));
            }
        }
    }
    let (call, sent) = renewal.unwrap();
    for millis in (sent..=sent + 1_600).step_by(200) {
        holder.tick(at(millis));
    }
    holder.handle(at(sent + 1_600), granted(call.0, 1));
    let mut last = 0;
    for millis in (sent + 1_600..sent + 8_000).step_by(10) {
        holder.tick(at(millis));
        if holder.authority(at(millis)).is_some() {
            last = millis;
        }
    }
    assert_eq!(last, sent + 4_990, "of a lease of 6 s with a margin of 1 s");
}

#[test]
fn lost_and_late_answers_do_not_extend_the_lease() {
    let mut holder = acting_holder();
    let mut renewals = Vec::new();
    for millis in (18_200..30_000).step_by(200) {
        for action in holder.tick(at(millis)) {
            if let LeaseAction::Renew { call, .. } = action {
                renewals.push(call);
            }
        }
        let answer = match renewals.as_slice() {
            [first, _] => granted(first.0, 1),
            [.., last] => LeaseCompletion {
                call: *last,
                reply: LeaseReply::Failed,
            },
            [] => continue,
        };
        holder.handle(at(millis), answer);
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
fn a_successor_waits_out_what_may_be_on_its_way() {
    let mut holder = LeaseHolder::make(1);
    let mut call = 0;
    let mut begun = None;
    for millis in (0..20_000).step_by(10) {
        for action in holder.tick(at(millis)) {
            match action {
                LeaseAction::StartActing { .. } => begun = Some(millis),
                _ => {
                    call += 1;
                    holder.handle(at(millis), granted(call, 7));
                }
            }
        }
    }
    assert_eq!(begun, Some(9_010), "6 s + 1 s + 2 s and 1,000 ppm of drift");
}

#[test]
fn a_lost_acquisition_is_found_again_and_waited_out() {
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
        holder: Some(name(0)),
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
