//! Usage metering and sealing with lost, delayed and repeated messages, restarted
//! meters, a lost aggregator and lease takeovers.

#[path = "claim_support/mod.rs"]
mod claim_support;
#[path = "claim_support/history.rs"]
mod history;

use std::collections::BTreeMap;

use applefold_core::claim::store::{
    CallNumber, StoreCall, StoreCompletion, StoreReply, StoreVersion,
};
use applefold_core::id::{FencingNumber, InstanceId, WindowId};
use applefold_core::lease::{
    HolderName, LeaseAction, LeaseCompletion, LeaseHolder, LeaseOptions, LeaseReply,
};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use applefold_core::usage::{
    MeterName, ReportId, SealerAction, SealerEvent, SealerOptions, UsageAggregator, UsageBatch,
    UsageKey, UsageMeter, UsageReport, UsageSealer, UsageTotals,
};
use claim_support::FakeStore;
use history::check_histories;
use proptest::prelude::*;

const METERS: usize = 3;
const AGGREGATORS: usize = 2;
const SEALERS: usize = 2;
const FIRST: WindowId = WindowId(100);
const TICK: TimeSpan = TimeSpan::from_millis(250);

fn instance(name: &str, number: usize) -> InstanceId {
    format!("{name}-{number}").parse().unwrap()
}

fn holder(sealer: usize) -> HolderName {
    HolderName::new(&instance("entry", sealer), 1)
}

fn key(window: WindowId, team: u64) -> UsageKey {
    UsageKey {
        window,
        team: format!("team-{team}").parse().unwrap(),
        service: "chat".parse().unwrap(),
    }
}

fn totals(tokens: u64) -> UsageTotals {
    UsageTotals {
        prompt_tokens: TokenCount(tokens),
        answer_tokens: TokenCount(tokens / 2),
        requests: 1,
    }
}

trait Sealer {
    /// Whether all usage that both aggregators received must be billed.
    const BILLS_ALL_REPLICATED: bool = true;

    fn make(sealer: usize) -> Self;
    fn begin(&mut self, now: TimePoint, fencing: FencingNumber);
    fn handle(
        &mut self,
        now: TimePoint,
        ended: WindowId,
        lease: &LeaseHolder,
        event: SealerEvent,
    ) -> Vec<SealerAction>;
    fn tick(&mut self, now: TimePoint, ended: WindowId, lease: &LeaseHolder) -> Vec<SealerAction>;
}

impl Sealer for UsageSealer {
    fn make(sealer: usize) -> Self {
        Self::new(holder(sealer), SealerOptions::default())
    }

    fn begin(&mut self, now: TimePoint, fencing: FencingNumber) {
        UsageSealer::begin(self, now, fencing);
    }

    fn handle(
        &mut self,
        now: TimePoint,
        ended: WindowId,
        lease: &LeaseHolder,
        event: SealerEvent,
    ) -> Vec<SealerAction> {
        UsageSealer::handle(self, now, ended, lease, event)
    }

    fn tick(&mut self, now: TimePoint, ended: WindowId, lease: &LeaseHolder) -> Vec<SealerAction> {
        UsageSealer::tick(self, now, ended, lease)
    }
}

/// A sealer that accepts late usage for two windows only and deletes its records early.
struct ShortRetentionSealer(UsageSealer);

impl Sealer for ShortRetentionSealer {
    const BILLS_ALL_REPLICATED: bool = false;

    fn make(sealer: usize) -> Self {
        let options = SealerOptions {
            late_windows: 2,
            ..SealerOptions::default()
        };
        Self(UsageSealer::new(holder(sealer), options))
    }

    fn begin(&mut self, now: TimePoint, fencing: FencingNumber) {
        self.0.begin(now, fencing);
    }

    fn handle(
        &mut self,
        now: TimePoint,
        ended: WindowId,
        lease: &LeaseHolder,
        event: SealerEvent,
    ) -> Vec<SealerAction> {
        self.0.handle(now, ended, lease, event)
    }

    fn tick(&mut self, now: TimePoint, ended: WindowId, lease: &LeaseHolder) -> Vec<SealerAction> {
        self.0.tick(now, ended, lease)
    }
}

/// Reports the current totals of the aggregators when a window ends, without sealing them.
struct NaiveSealer {
    sealer: usize,
    next: Option<WindowId>,
}

impl Sealer for NaiveSealer {
    const BILLS_ALL_REPLICATED: bool = false;

    fn make(sealer: usize) -> Self {
        Self { sealer, next: None }
    }

    fn begin(&mut self, _now: TimePoint, _fencing: FencingNumber) {
        self.next = Some(FIRST);
    }

    fn handle(
        &mut self,
        now: TimePoint,
        _ended: WindowId,
        lease: &LeaseHolder,
        event: SealerEvent,
    ) -> Vec<SealerAction> {
        let (Some(window), Some(authority)) = (self.next, lease.authority(now)) else {
            return Vec::new();
        };
        let SealerEvent::UsageCollected { batches, .. } = event else {
            return Vec::new();
        };
        let mut aggregator = UsageAggregator::new();
        for batch in batches {
            aggregator.merge(batch);
        }
        self.next = Some(window.next());
        let sums = aggregator.sums(window, window);
        let reports = sums.into_iter().map(|(key, totals)| SealerAction::Report {
            call: CallNumber(0),
            report: UsageReport {
                id: "naive".parse::<ReportId>().unwrap(),
                key,
                totals,
                late: false,
            },
            holder: holder(self.sealer),
            fencing: authority.fencing(),
        });
        reports.collect()
    }

    fn tick(&mut self, _now: TimePoint, ended: WindowId, _: &LeaseHolder) -> Vec<SealerAction> {
        match self.next {
            Some(from) if from <= ended => vec![SealerAction::Collect {
                call: CallNumber(0),
                from,
            }],
            _ => Vec::new(),
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Use {
        meter: usize,
        team: u64,
        tokens: u64,
    },
    Send {
        meter: usize,
        aggregator: usize,
        acked: bool,
    },
    RestartMeter {
        meter: usize,
    },
    LoseAggregator {
        aggregator: usize,
    },
    NextWindow,
    Advance {
        ticks: u64,
    },
    Deliver {
        at: usize,
    },
    LoseResponse {
        at: usize,
    },
    Delay {
        at: usize,
    },
    Drop {
        at: usize,
    },
    /// The other sealer acquires the lease after it has expired.
    TakeOver,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let at = 0..6usize;
    let meter = 0..METERS;
    let aggregator = 0..AGGREGATORS;
    let step = prop_oneof![
        6 => (meter.clone(), 0..3u64, 1..99u64)
            .prop_map(|(meter, team, tokens)| Step::Use { meter, team, tokens }),
        5 => (meter.clone(), aggregator.clone(), any::<bool>())
            .prop_map(|(meter, aggregator, acked)| Step::Send { meter, aggregator, acked }),
        1 => meter.prop_map(|meter| Step::RestartMeter { meter }),
        1 => aggregator.prop_map(|aggregator| Step::LoseAggregator { aggregator }),
        3 => Just(Step::NextWindow),
        6 => (1..20u64).prop_map(|ticks| Step::Advance { ticks }),
        16 => at.clone().prop_map(|at| Step::Deliver { at }),
        2 => at.clone().prop_map(|at| Step::LoseResponse { at }),
        2 => at.clone().prop_map(|at| Step::Delay { at }),
        1 => at.prop_map(|at| Step::Drop { at }),
        1 => Just(Step::TakeOver),
    ];
    prop::collection::vec(step, 1..250)
}

struct PendingCall {
    sealer: usize,
    action: SealerAction,
    answered: bool,
}

struct Meter {
    meter: UsageMeter,
    incarnation: u64,
    counted: BTreeMap<u64, u64>,
}

type TeamTokens = BTreeMap<u64, u64>;

struct SimulatedFleet<S> {
    now: TimePoint,
    window: WindowId,
    meters: Vec<Meter>,
    aggregators: Vec<UsageAggregator>,
    aggregator_lost: bool,
    sealers: Vec<S>,
    leases: Vec<LeaseHolder>,
    lease_sealer: usize,
    fencing: FencingNumber,
    store: FakeStore,
    pending: Vec<PendingCall>,
    bills: BTreeMap<(UsageKey, bool), UsageTotals>,
    counted: TeamTokens,
    /// Usage of stopped meters that both aggregators received.
    replicated: TeamTokens,
}

fn add(sums: &mut TeamTokens, more: &TeamTokens) {
    for (team, tokens) in more {
        *sums.entry(*team).or_default() += tokens;
    }
}

impl<S> SimulatedFleet<S>
where
    S: Sealer,
{
    fn new() -> Self {
        let mut fleet = Self {
            now: TimePoint::START + TimeSpan::from_secs(1),
            window: FIRST,
            meters: (0..METERS).map(|number| new_meter(number, 1)).collect(),
            aggregators: vec![UsageAggregator::new(); AGGREGATORS],
            aggregator_lost: false,
            sealers: (0..SEALERS).map(S::make).collect(),
            leases: (0..SEALERS).map(new_lease).collect(),
            lease_sealer: 0,
            fencing: FencingNumber(0),
            store: FakeStore::default(),
            pending: Vec::new(),
            bills: BTreeMap::new(),
            counted: BTreeMap::new(),
            replicated: BTreeMap::new(),
        };
        fleet.acquire_lease(0);
        fleet
    }

    fn ended(&self) -> WindowId {
        WindowId(self.window.0 - 1)
    }

    fn acquire_lease(&mut self, sealer: usize) {
        self.lease_sealer = sealer;
        self.fencing = self.fencing.next();
        self.leases[sealer] = new_lease(sealer);
        self.renew(sealer);
        self.sealers[sealer].begin(self.now, self.fencing);
    }

    fn renew(&mut self, sealer: usize) {
        let actions = self.leases[sealer].tick(self.now);
        for action in actions {
            if let LeaseAction::Acquire { call, .. } | LeaseAction::Renew { call, .. } = action {
                let fencing = self.fencing;
                let reply = LeaseReply::Granted { fencing };
                self.leases[sealer].handle(self.now, LeaseCompletion { call, reply });
            }
        }
    }

    fn enqueue(&mut self, sealer: usize, actions: Vec<SealerAction>) -> Result<(), String> {
        for action in actions {
            match &action {
                SealerAction::Closed { keep_from, .. } => {
                    for aggregator in &mut self.aggregators {
                        aggregator.forget_before(*keep_from);
                    }
                    for meter in &mut self.meters {
                        meter.meter.forget_before(*keep_from);
                    }
                    continue;
                }
                SealerAction::Report { fencing, .. } if *fencing != self.fencing => {
                    return Err(format!("a report under {fencing}, not {}", self.fencing));
                }
                _ => {}
            }
            self.pending.push(PendingCall {
                sealer,
                action,
                answered: false,
            });
        }
        Ok(())
    }

    fn advance(&mut self, ticks: u64) -> Result<(), String> {
        for _ in 0..ticks {
            self.now = self.now + TICK;
            self.renew(self.lease_sealer);
            for sealer in 0..SEALERS {
                let ended = self.ended();
                let lease = &self.leases[sealer];
                let actions = self.sealers[sealer].tick(self.now, ended, lease);
                self.enqueue(sealer, actions)?;
            }
        }
        Ok(())
    }

    fn event(&mut self, sealer: usize, event: SealerEvent) -> Result<(), String> {
        let ended = self.ended();
        let lease = &self.leases[sealer];
        let actions = self.sealers[sealer].handle(self.now, ended, lease, event);
        self.enqueue(sealer, actions)
    }

    fn bill(&mut self, report: &UsageReport) -> Result<(), String> {
        let billing_key = (report.key.clone(), report.late);
        match self.bills.get(&billing_key) {
            Some(billed) if *billed != report.totals => Err(format!(
                "{:?} was billed as {billed:?}, then reported as {:?}",
                report.key, report.totals
            )),
            _ => {
                self.bills.insert(billing_key, report.totals);
                Ok(())
            }
        }
    }

    fn apply(&mut self, action: &SealerAction) -> Result<SealerEvent, String> {
        Ok(match action {
            SealerAction::Store(call) => {
                let reply = self.store.apply(call);
                let call = call.call();
                SealerEvent::StoreCompleted(StoreCompletion { call, reply })
            }
            SealerAction::Collect { call, from } => {
                let mut batches = Vec::new();
                for aggregator in &self.aggregators {
                    batches.extend(aggregator.batches(*from));
                }
                let (call, complete) = (*call, true);
                SealerEvent::UsageCollected {
                    call,
                    batches,
                    complete,
                }
            }
            SealerAction::Report { call, report, .. } => {
                self.bill(report)?;
                let (call, accepted) = (*call, true);
                SealerEvent::ReportAnswered { call, accepted }
            }
            SealerAction::Closed { .. } => unreachable!("closing a window is not a call"),
        })
    }

    fn deliver(&mut self, at: usize, lost: bool) -> Result<(), String> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let pending_call = self.pending.remove(at % self.pending.len());
        let event = self.apply(&pending_call.action)?;
        if pending_call.answered {
            return Ok(());
        }
        let event = if lost {
            failure(&pending_call.action)
        } else {
            event
        };
        self.event(pending_call.sealer, event)
    }

    fn lose_response(&mut self, at: usize, keep: bool) -> Result<(), String> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let at = at % self.pending.len();
        let event = failure(&self.pending[at].action);
        let sealer = self.pending[at].sealer;
        let was_answered = std::mem::replace(&mut self.pending[at].answered, true);
        if !keep {
            self.pending.remove(at);
        }
        if was_answered {
            return Ok(());
        }
        self.event(sealer, event)
    }

    fn send(&mut self, meter: usize, aggregator: usize, acked: bool) {
        let name = instance("keeper", aggregator);
        let (batch, position) = self.meters[meter].meter.batch_for(&name);
        self.aggregators[aggregator].merge(batch);
        if acked {
            self.meters[meter].meter.acknowledge(&name, position);
        }
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Use {
                meter,
                team,
                tokens,
            } => {
                let window = self.window;
                let meter = &mut self.meters[meter];
                meter.meter.add(key(window, team), totals(tokens));
                *meter.counted.entry(team).or_default() += tokens;
                *self.counted.entry(team).or_default() += tokens;
                Ok(())
            }
            Step::Send {
                meter,
                aggregator,
                acked,
            } => {
                self.send(meter, aggregator, acked);
                Ok(())
            }
            Step::RestartMeter { meter } => {
                let fresh = new_meter(meter, self.meters[meter].incarnation + 1);
                let old = std::mem::replace(&mut self.meters[meter], fresh);
                if old.meter.is_replicated(AGGREGATORS) {
                    add(&mut self.replicated, &old.counted);
                }
                Ok(())
            }
            Step::LoseAggregator { aggregator } => {
                if !self.aggregator_lost {
                    self.aggregator_lost = true;
                    self.aggregators[aggregator] = UsageAggregator::new();
                    for meter in &mut self.meters {
                        meter
                            .meter
                            .forget_aggregator(&instance("keeper", aggregator));
                    }
                }
                Ok(())
            }
            Step::NextWindow => {
                self.window = self.window.next();
                Ok(())
            }
            Step::Advance { ticks } => self.advance(ticks),
            Step::Deliver { at } => self.deliver(at, false),
            Step::LoseResponse { at } => self.deliver(at, true),
            Step::Delay { at } => self.lose_response(at, true),
            Step::Drop { at } => self.lose_response(at, false),
            Step::TakeOver => {
                self.now = self.now + LeaseOptions::default().ttl;
                self.acquire_lease((self.lease_sealer + 1) % SEALERS);
                Ok(())
            }
        }
    }

    fn finish_and_check(&mut self) -> Result<(), String> {
        self.step(Step::TakeOver)?;
        for meter in 0..METERS {
            for aggregator in 0..AGGREGATORS {
                self.send(meter, aggregator, true);
            }
            add(&mut self.replicated, &self.meters[meter].counted.clone());
        }
        for round in 0..120 {
            if round == 60 {
                self.window = self.window.next();
            }
            if round < 2 {
                self.window = self.window.next();
            }
            while !self.pending.is_empty() {
                self.deliver(0, false)?;
            }
            self.advance(4)?;
        }
        self.check_bills()
    }

    fn check_bills(&self) -> Result<(), String> {
        let mut billed = TeamTokens::new();
        for ((key, _), totals) in &self.bills {
            let team: u64 = key.team.as_str()["team-".len()..].parse().unwrap();
            *billed.entry(team).or_default() += totals.prompt_tokens.0;
        }
        for (team, tokens) in &billed {
            let counted = self.counted.get(team).copied().unwrap_or_default();
            if *tokens > counted {
                return Err(format!("{team} was billed {tokens} of {counted}"));
            }
        }
        for (team, tokens) in self.replicated.iter().filter(|_| S::BILLS_ALL_REPLICATED) {
            let got = billed.get(team).copied().unwrap_or_default();
            if got < *tokens {
                return Err(format!(
                    "{team} was billed {got}, though {tokens} were replicated"
                ));
            }
        }
        Ok(())
    }
}

fn new_meter(number: usize, incarnation: u64) -> Meter {
    let name = MeterName::new(&instance("backend", number), incarnation);
    Meter {
        meter: UsageMeter::new(name),
        incarnation,
        counted: BTreeMap::new(),
    }
}

fn new_lease(sealer: usize) -> LeaseHolder {
    let options = LeaseOptions::store_fenced();
    LeaseHolder::new("usage".parse().unwrap(), holder(sealer), options)
}

fn failure(action: &SealerAction) -> SealerEvent {
    match action {
        SealerAction::Store(call) => SealerEvent::StoreCompleted(StoreCompletion {
            call: call.call(),
            reply: StoreReply::Failed,
        }),
        SealerAction::Collect { call, .. } => SealerEvent::UsageCollected {
            call: *call,
            batches: Vec::new(),
            complete: false,
        },
        SealerAction::Report { call, .. } => SealerEvent::ReportAnswered {
            call: *call,
            accepted: false,
        },
        SealerAction::Closed { .. } => unreachable!("closing a window is not a call"),
    }
}

fn check_invariants<S>() -> Result<(), String>
where
    S: Sealer,
{
    check_histories(51, 1_500, steps(), |steps| {
        let mut fleet = SimulatedFleet::<S>::new();
        for step in steps {
            fleet.step(step)?;
        }
        fleet.finish_and_check()
    })
}

#[test]
fn replicated_usage_is_billed_once() {
    assert_eq!(check_invariants::<UsageSealer>(), Ok(()));
}

#[test]
fn forgotten_usage_is_not_billed_again() {
    assert_eq!(check_invariants::<ShortRetentionSealer>(), Ok(()));
}

#[test]
fn naive_sealer_reports_conflicting_figures() {
    let error = check_invariants::<NaiveSealer>().unwrap_err();
    assert!(error.contains("then reported as"), "{error}");
}

#[test]
fn merging_batches_is_idempotent_and_commutative() {
    let meter = MeterName::new(&instance("backend", 1), 1);
    let batch = |tokens| UsageBatch {
        meter: meter.clone(),
        figures: vec![applefold_core::usage::UsageFigure {
            key: key(FIRST, 1),
            totals: totals(tokens),
        }],
    };
    let mut aggregator = UsageAggregator::new();
    for tokens in [10, 40, 40, 20] {
        aggregator.merge(batch(tokens));
    }
    let other = UsageBatch {
        meter: MeterName::new(&instance("backend", 1), 2),
        ..batch(5)
    };
    aggregator.merge(other);
    let sums = aggregator.sums(FIRST, FIRST);
    assert_eq!(sums[&key(FIRST, 1)].prompt_tokens, TokenCount(45));
}

#[test]
fn meter_sends_only_unacknowledged_rows() {
    let mut meter = new_meter(1, 1).meter;
    let aggregator = instance("keeper", 1);
    meter.add(key(FIRST, 1), totals(10));
    let (batch, position) = meter.batch_for(&aggregator);
    assert_eq!(batch.figures.len(), 1);
    meter.add(key(FIRST, 2), totals(10));
    meter.acknowledge(&aggregator, position);
    let (batch, position) = meter.batch_for(&aggregator);
    assert_eq!(batch.figures[0].key, key(FIRST, 2));
    assert!(!meter.is_replicated(1));
    meter.acknowledge(&aggregator, position);
    assert!(meter.is_replicated(1) && !meter.is_replicated(2));
    meter.forget_aggregator(&aggregator);
    assert_eq!(meter.batch_for(&aggregator).0.figures.len(), 2);
}

/// A sealer with a store and an aggregator that never fail.
struct FaultlessSealer {
    sealer: UsageSealer,
    lease: LeaseHolder,
    store: FakeStore,
    aggregator: UsageAggregator,
    largest: usize,
}

impl FaultlessSealer {
    fn new(aggregator: UsageAggregator) -> Self {
        let mut lease = new_lease(0);
        let now = TimePoint::START;
        for action in lease.tick(now) {
            if let LeaseAction::Acquire { call, .. } = action {
                let fencing = FencingNumber(1);
                let reply = LeaseReply::Granted { fencing };
                lease.handle(now, LeaseCompletion { call, reply });
            }
        }
        Self {
            sealer: UsageSealer::make(0),
            lease,
            store: FakeStore::default(),
            aggregator,
            largest: 0,
        }
    }

    /// Restarts the sealer and returns the reports that it sends when `ended` has ended.
    fn run(&mut self, ended: WindowId) -> Vec<UsageReport> {
        let now = TimePoint::START;
        self.sealer.begin(now, FencingNumber(1));
        let mut reports = Vec::new();
        let mut actions = self.sealer.tick(now, ended, &self.lease);
        while let Some(action) = actions.pop() {
            let event = match action {
                SealerAction::Store(call) => self.stored(&call),
                SealerAction::Collect { call, from } => SealerEvent::UsageCollected {
                    call,
                    batches: self.aggregator.batches(from),
                    complete: true,
                },
                SealerAction::Report { call, report, .. } => {
                    reports.push(report);
                    SealerEvent::ReportAnswered {
                        call,
                        accepted: true,
                    }
                }
                SealerAction::Closed { .. } => continue,
            };
            actions.extend(self.sealer.handle(now, ended, &self.lease, event));
        }
        reports
    }

    fn stored(&mut self, call: &StoreCall) -> SealerEvent {
        if let StoreCall::Put { value, .. } = call {
            self.largest = self.largest.max(value.len());
        }
        let reply = self.store.apply(call);
        let call = call.call();
        SealerEvent::StoreCompleted(StoreCompletion { call, reply })
    }
}

#[test]
fn seal_of_largest_fleet_fits_in_store_value() {
    let mut aggregator = UsageAggregator::new();
    let mut meter = new_meter(1, 1).meter;
    for team in 0..530 {
        for service in 0..4 {
            let key = UsageKey {
                service: format!("service-{service}-of-the-fleet").parse().unwrap(),
                ..key(FIRST, team)
            };
            meter.add(key, totals(1_000_000_000));
        }
    }
    aggregator.merge(meter.batch_for(&instance("keeper", 1)).0);
    let mut harness = FaultlessSealer::new(aggregator);
    assert_eq!(harness.run(FIRST).len(), 530 * 4);
    assert!(
        harness.largest < 512 * 1_024,
        "a seal of {} bytes",
        harness.largest
    );
}

#[test]
fn responses_to_earlier_collect_calls_count() {
    let mut meter = new_meter(1, 1).meter;
    meter.add(key(FIRST, 1), totals(10));
    let mut aggregator = UsageAggregator::new();
    aggregator.merge(meter.batch_for(&instance("keeper", 1)).0);
    let FaultlessSealer {
        mut sealer,
        lease,
        mut store,
        ..
    } = FaultlessSealer::new(aggregator.clone());
    let mut now = TimePoint::START;
    sealer.begin(now, FencingNumber(1));
    let mut collects = Vec::new();
    let mut seals = Vec::new();
    while now < TimePoint::START + TimeSpan::from_secs(30) {
        now = now + TICK;
        let mut actions = sealer.tick(now, FIRST, &lease);
        // Each response takes three seconds, and one aggregator never responds.
        if let Some((call, called_at)) = collects.first().copied() {
            if now.since(called_at) >= TimeSpan::from_secs(3) {
                collects.remove(0);
                let event = SealerEvent::UsageCollected {
                    call,
                    batches: aggregator.batches(FIRST),
                    complete: false,
                };
                actions.extend(sealer.handle(now, FIRST, &lease, event));
            }
        }
        while let Some(action) = actions.pop() {
            match action {
                SealerAction::Collect { call, .. } => collects.push((call, now)),
                SealerAction::Store(call) => {
                    if let StoreCall::Put { value, .. } = &call {
                        seals.push(value.clone());
                    }
                    let reply = store.apply(&call);
                    let call = call.call();
                    let event = SealerEvent::StoreCompleted(StoreCompletion { call, reply });
                    actions.extend(sealer.handle(now, FIRST, &lease, event));
                }
                SealerAction::Report { .. } | SealerAction::Closed { .. } => {}
            }
        }
    }
    let sealed = seals.last().expect("the window is sealed");
    assert!(sealed.contains("team-1"), "{sealed}");
}

#[test]
fn seal_written_by_superseded_holder_is_not_reported() {
    let mut aggregator = UsageAggregator::new();
    let mut meter = new_meter(1, 1).meter;
    for window in 0..30 {
        meter.add(key(WindowId(FIRST.0 + window), 1), totals(10));
    }
    aggregator.merge(meter.batch_for(&instance("keeper", 1)).0);
    let mut harness = FaultlessSealer::new(aggregator);
    for window in 0..30 {
        let reports = harness.run(WindowId(FIRST.0 + window));
        assert_eq!(reports.len(), 1, "window {window}");
    }
    let seals: Vec<_> = harness.store.entries.values().cloned().collect();
    let deleted_key = format!("usage/{:012}", FIRST.0);
    assert!(seals.iter().all(|seal| seal.key.as_str() != deleted_key));
    // A lease holder that was paused before it sealed the first window resumes.
    let last = seals.last().unwrap().value.replace("129", "100");
    let stale = last.replace("\"reported\":true", "\"reported\":false");
    assert_ne!(stale, last);
    harness.store.apply(&StoreCall::Put {
        call: CallNumber(0),
        key: deleted_key.parse().unwrap(),
        value: stale,
        expect: StoreVersion::ABSENT,
    });
    assert_eq!(harness.run(WindowId(FIRST.0 + 29)), []);
}
