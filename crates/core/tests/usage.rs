//! Usage over lost and repeated messages and dying reporters.

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
const KEEPERS: usize = 2;
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
    /// Whether all usage that both keepers had is to be billed.
    const BILLS_ALL: bool = true;

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

/// Takes late usage for two windows only, and deletes its records soon.
struct BriefSealer(UsageSealer);

impl Sealer for BriefSealer {
    const BILLS_ALL: bool = false;

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

/// Reports what the keepers have when a window ends, without sealing it.
struct NaiveSealer {
    sealer: usize,
    next: Option<WindowId>,
}

impl Sealer for NaiveSealer {
    const BILLS_ALL: bool = false;

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
        let mut keeper = UsageAggregator::new();
        for batch in batches {
            keeper.merge(batch);
        }
        self.next = Some(window.next());
        let sums = keeper.sums(window, window);
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
        keeper: usize,
        acked: bool,
    },
    RestartMeter {
        meter: usize,
    },
    LoseKeeper {
        keeper: usize,
    },
    NextWindow,
    Advance {
        ticks: u64,
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
    /// The other sealer takes the lease once it has lapsed.
    TakeOver,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let at = 0..6usize;
    let meter = 0..METERS;
    let keeper = 0..KEEPERS;
    let step = prop_oneof![
        6 => (meter.clone(), 0..3u64, 1..99u64)
            .prop_map(|(meter, team, tokens)| Step::Use { meter, team, tokens }),
        5 => (meter.clone(), keeper.clone(), any::<bool>())
            .prop_map(|(meter, keeper, acked)| Step::Send { meter, keeper, acked }),
        1 => meter.prop_map(|meter| Step::RestartMeter { meter }),
        1 => keeper.prop_map(|keeper| Step::LoseKeeper { keeper }),
        3 => Just(Step::NextWindow),
        6 => (1..20u64).prop_map(|ticks| Step::Advance { ticks }),
        16 => at.clone().prop_map(|at| Step::Deliver { at }),
        2 => at.clone().prop_map(|at| Step::LoseAnswer { at }),
        2 => at.clone().prop_map(|at| Step::Delay { at }),
        1 => at.prop_map(|at| Step::Drop { at }),
        1 => Just(Step::TakeOver),
    ];
    prop::collection::vec(step, 1..250)
}

struct WireCall {
    sealer: usize,
    action: SealerAction,
    reported: bool,
}

struct Meter {
    meter: UsageMeter,
    incarnation: u64,
    counted: BTreeMap<u64, u64>,
}

type TeamTokens = BTreeMap<u64, u64>;

struct World<S> {
    now: TimePoint,
    window: WindowId,
    meters: Vec<Meter>,
    keepers: Vec<UsageAggregator>,
    keeper_lost: bool,
    sealers: Vec<S>,
    leases: Vec<LeaseHolder>,
    leader: usize,
    fencing: FencingNumber,
    store: FakeStore,
    wire: Vec<WireCall>,
    bills: BTreeMap<(UsageKey, bool), UsageTotals>,
    counted: TeamTokens,
    /// What dead meters had counted and both keepers had.
    kept: TeamTokens,
}

fn add(sums: &mut TeamTokens, more: &TeamTokens) {
    for (team, tokens) in more {
        *sums.entry(*team).or_default() += tokens;
    }
}

impl<S> World<S>
where
    S: Sealer,
{
    fn new() -> Self {
        let mut world = Self {
            now: TimePoint::START + TimeSpan::from_secs(1),
            window: FIRST,
            meters: (0..METERS).map(|number| new_meter(number, 1)).collect(),
            keepers: vec![UsageAggregator::new(); KEEPERS],
            keeper_lost: false,
            sealers: (0..SEALERS).map(S::make).collect(),
            leases: (0..SEALERS).map(new_lease).collect(),
            leader: 0,
            fencing: FencingNumber(0),
            store: FakeStore::default(),
            wire: Vec::new(),
            bills: BTreeMap::new(),
            counted: BTreeMap::new(),
            kept: BTreeMap::new(),
        };
        world.lead(0);
        world
    }

    fn ended(&self) -> WindowId {
        WindowId(self.window.0 - 1)
    }

    fn lead(&mut self, sealer: usize) {
        self.leader = sealer;
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

    fn take(&mut self, sealer: usize, actions: Vec<SealerAction>) -> Result<(), String> {
        for action in actions {
            match &action {
                SealerAction::Closed { keep_from, .. } => {
                    for keeper in &mut self.keepers {
                        keeper.forget_before(*keep_from);
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
            self.wire.push(WireCall {
                sealer,
                action,
                reported: false,
            });
        }
        Ok(())
    }

    fn advance(&mut self, ticks: u64) -> Result<(), String> {
        for _ in 0..ticks {
            self.now = self.now + TICK;
            self.renew(self.leader);
            for sealer in 0..SEALERS {
                let ended = self.ended();
                let lease = &self.leases[sealer];
                let actions = self.sealers[sealer].tick(self.now, ended, lease);
                self.take(sealer, actions)?;
            }
        }
        Ok(())
    }

    fn event(&mut self, sealer: usize, event: SealerEvent) -> Result<(), String> {
        let ended = self.ended();
        let lease = &self.leases[sealer];
        let actions = self.sealers[sealer].handle(self.now, ended, lease, event);
        self.take(sealer, actions)
    }

    fn bill(&mut self, report: &UsageReport) -> Result<(), String> {
        let place = (report.key.clone(), report.late);
        match self.bills.get(&place) {
            Some(billed) if *billed != report.totals => Err(format!(
                "{:?} was billed as {billed:?}, then reported as {:?}",
                report.key, report.totals
            )),
            _ => {
                self.bills.insert(place, report.totals);
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
                for keeper in &self.keepers {
                    batches.extend(keeper.batches(*from));
                }
                let (call, whole) = (*call, true);
                SealerEvent::UsageCollected {
                    call,
                    batches,
                    complete: whole,
                }
            }
            SealerAction::Report { call, report, .. } => {
                self.bill(report)?;
                let (call, taken) = (*call, true);
                SealerEvent::ReportAnswered {
                    call,
                    accepted: taken,
                }
            }
            SealerAction::Closed { .. } => unreachable!("it is no call"),
        })
    }

    fn deliver(&mut self, at: usize, lost: bool) -> Result<(), String> {
        if self.wire.is_empty() {
            return Ok(());
        }
        let wire = self.wire.remove(at % self.wire.len());
        let event = self.apply(&wire.action)?;
        if wire.reported {
            return Ok(());
        }
        let event = if lost { failure(&wire.action) } else { event };
        self.event(wire.sealer, event)
    }

    fn fail(&mut self, at: usize, keep: bool) -> Result<(), String> {
        if self.wire.is_empty() {
            return Ok(());
        }
        let at = at % self.wire.len();
        let event = failure(&self.wire[at].action);
        let sealer = self.wire[at].sealer;
        let reported = std::mem::replace(&mut self.wire[at].reported, true);
        if !keep {
            self.wire.remove(at);
        }
        if reported {
            return Ok(());
        }
        self.event(sealer, event)
    }

    fn send(&mut self, meter: usize, keeper: usize, acked: bool) {
        let name = instance("keeper", keeper);
        let (batch, mark) = self.meters[meter].meter.batch_for(&name);
        self.keepers[keeper].merge(batch);
        if acked {
            self.meters[meter].meter.acknowledge(&name, mark);
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
                keeper,
                acked,
            } => {
                self.send(meter, keeper, acked);
                Ok(())
            }
            Step::RestartMeter { meter } => {
                let fresh = new_meter(meter, self.meters[meter].incarnation + 1);
                let old = std::mem::replace(&mut self.meters[meter], fresh);
                if old.meter.is_replicated(KEEPERS) {
                    add(&mut self.kept, &old.counted);
                }
                Ok(())
            }
            Step::LoseKeeper { keeper } => {
                if !self.keeper_lost {
                    self.keeper_lost = true;
                    self.keepers[keeper] = UsageAggregator::new();
                    for meter in &mut self.meters {
                        meter.meter.forget_aggregator(&instance("keeper", keeper));
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
            Step::LoseAnswer { at } => self.deliver(at, true),
            Step::Delay { at } => self.fail(at, true),
            Step::Drop { at } => self.fail(at, false),
            Step::TakeOver => {
                self.now = self.now + LeaseOptions::default().ttl;
                self.lead((self.leader + 1) % SEALERS);
                Ok(())
            }
        }
    }

    fn settle(&mut self) -> Result<(), String> {
        self.step(Step::TakeOver)?;
        for meter in 0..METERS {
            for keeper in 0..KEEPERS {
                self.send(meter, keeper, true);
            }
            add(&mut self.kept, &self.meters[meter].counted.clone());
        }
        for round in 0..120 {
            if round == 60 {
                self.window = self.window.next();
            }
            if round < 2 {
                self.window = self.window.next();
            }
            while !self.wire.is_empty() {
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
        for (team, tokens) in self.kept.iter().filter(|_| S::BILLS_ALL) {
            let got = billed.get(team).copied().unwrap_or_default();
            if got < *tokens {
                return Err(format!(
                    "{team} was billed {got}, though {tokens} were kept"
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
        SealerAction::Closed { .. } => unreachable!("it is no call"),
    }
}

fn holds<S>() -> Result<(), String>
where
    S: Sealer,
{
    check_histories(51, 1_500, steps(), |steps| {
        let mut world = World::<S>::new();
        for step in steps {
            world.step(step)?;
        }
        world.settle()
    })
}

#[test]
fn no_history_reports_two_figures_or_bills_too_much_or_too_little() {
    assert_eq!(holds::<UsageSealer>(), Ok(()));
}

#[test]
fn no_history_bills_again_what_is_forgotten() {
    assert_eq!(holds::<BriefSealer>(), Ok(()));
}

#[test]
fn the_naive_sealer_reports_two_figures() {
    let error = holds::<NaiveSealer>().unwrap_err();
    assert!(error.contains("then reported as"), "{error}");
}

#[test]
fn repeated_and_reordered_batches_change_nothing() {
    let meter = MeterName::new(&instance("backend", 1), 1);
    let batch = |tokens| UsageBatch {
        meter: meter.clone(),
        figures: vec![applefold_core::usage::UsageFigure {
            key: key(FIRST, 1),
            totals: totals(tokens),
        }],
    };
    let mut keeper = UsageAggregator::new();
    for tokens in [10, 40, 40, 20] {
        keeper.merge(batch(tokens));
    }
    let other = UsageBatch {
        meter: MeterName::new(&instance("backend", 1), 2),
        ..batch(5)
    };
    keeper.merge(other);
    let sums = keeper.sums(FIRST, FIRST);
    assert_eq!(sums[&key(FIRST, 1)].prompt_tokens, TokenCount(45));
}

#[test]
fn a_meter_sends_each_keeper_only_what_it_lacks() {
    let mut meter = new_meter(1, 1).meter;
    let keeper = instance("keeper", 1);
    meter.add(key(FIRST, 1), totals(10));
    let (batch, mark) = meter.batch_for(&keeper);
    assert_eq!(batch.figures.len(), 1);
    meter.add(key(FIRST, 2), totals(10));
    meter.acknowledge(&keeper, mark);
    let (batch, mark) = meter.batch_for(&keeper);
    assert_eq!(batch.figures[0].key, key(FIRST, 2));
    assert!(!meter.is_replicated(1));
    meter.acknowledge(&keeper, mark);
    assert!(meter.is_replicated(1) && !meter.is_replicated(2));
    meter.forget_aggregator(&keeper);
    assert_eq!(meter.batch_for(&keeper).0.figures.len(), 2);
}

/// One sealer without faults.
struct Bench {
    sealer: UsageSealer,
    lease: LeaseHolder,
    store: FakeStore,
    keeper: UsageAggregator,
    largest: usize,
}

impl Bench {
    fn new(keeper: UsageAggregator) -> Self {
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
            keeper,
            largest: 0,
        }
    }

    /// Begins afresh, and returns what is reported when `ended` has ended.
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
                    batches: self.keeper.batches(from),
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
fn a_seal_of_the_largest_fleet_fits_the_store() {
    let mut keeper = UsageAggregator::new();
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
    keeper.merge(meter.batch_for(&instance("keeper", 1)).0);
    let mut bench = Bench::new(keeper);
    assert_eq!(bench.run(FIRST).len(), 530 * 4);
    assert!(
        bench.largest < 512 * 1_024,
        "a seal of {} bytes",
        bench.largest
    );
}

#[test]
fn slow_keepers_count_although_they_were_asked_again() {
    let mut meter = new_meter(1, 1).meter;
    meter.add(key(FIRST, 1), totals(10));
    let mut keeper = UsageAggregator::new();
    keeper.merge(meter.batch_for(&instance("keeper", 1)).0);
    let Bench {
        mut sealer,
        lease,
        mut store,
        ..
    } = Bench::new(keeper.clone());
    let mut now = TimePoint::START;
    sealer.begin(now, FencingNumber(1));
    let mut collects = Vec::new();
    let mut seals = Vec::new();
    while now < TimePoint::START + TimeSpan::from_secs(30) {
        now = now + TICK;
        let mut actions = sealer.tick(now, FIRST, &lease);
        // Each answer takes three seconds, and one keeper never answers.
        if let Some((call, asked)) = collects.first().copied() {
            if now.since(asked) >= TimeSpan::from_secs(3) {
                collects.remove(0);
                let event = SealerEvent::UsageCollected {
                    call,
                    batches: keeper.batches(FIRST),
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
fn a_seal_that_came_too_late_is_not_reported() {
    let mut keeper = UsageAggregator::new();
    let mut meter = new_meter(1, 1).meter;
    for window in 0..30 {
        meter.add(key(WindowId(FIRST.0 + window), 1), totals(10));
    }
    keeper.merge(meter.batch_for(&instance("keeper", 1)).0);
    let mut bench = Bench::new(keeper);
    for window in 0..30 {
        let reports = bench.run(WindowId(FIRST.0 + window));
        assert_eq!(reports.len(), 1, "window {window}");
    }
    let seals: Vec<_> = bench.store.entries.values().cloned().collect();
    let gone = format!("usage/{:012}", FIRST.0);
    assert!(seals.iter().all(|seal| seal.key.as_str() != gone));
    // A holder that was paused before it sealed the first window wakes.
    let last = seals.last().unwrap().value.replace("129", "100");
    let stale = last.replace("\"reported\":true", "\"reported\":false");
    assert_ne!(stale, last);
    bench.store.apply(&StoreCall::Put {
        call: CallNumber(0),
        key: gone.parse().unwrap(),
        value: stale,
        expect: StoreVersion::ABSENT,
    });
    assert_eq!(bench.run(WindowId(FIRST.0 + 29)), []);
}
