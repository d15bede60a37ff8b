//! Claims under lost, late and repeated messages and changing owners.

mod claim_support;
#[path = "claim_support/history.rs"]
mod history;

use std::collections::BTreeMap;

use applefold_core::claim::store::{CallNumber, StoreCall, StoreCompletion, StoreReply};
use applefold_core::claim::{
    ClaimAction, ClaimDecision, ClaimEvent, ClaimKey, ClaimOptions, ClaimOutcome, ClaimReport,
    ClaimRequest, ClaimShard, RequestFingerprint, StoredResponse,
};
use applefold_core::code::{ResultCode, RunState};
use applefold_core::id::{FencingNumber, InstanceId, ShardId};
use applefold_core::lease::HolderName;
use applefold_core::unit::{ByteSize, TimePoint, TimeSpan};
use claim_support::FakeStore;
use history::check_histories;
use proptest::prelude::*;

const KEYS: u64 = 4;
const OWNERS: usize = 3;

fn claim(key: u64) -> ClaimKey {
    ClaimKey {
        team: "red".parse().unwrap(),
        key: format!("key-{key}").parse().unwrap(),
    }
}

fn ask(key: u64, request: u64) -> ClaimRequest {
    ClaimRequest {
        claim: claim(key),
        fingerprint: RequestFingerprint(key),
        request_id: format!("request-{request}").parse().unwrap(),
    }
}

fn answer(request: u64) -> StoredResponse {
    StoredResponse {
        status: 200,
        body: format!("answer of {request}").into_bytes(),
    }
}

fn holder(owner: usize) -> HolderName {
    let instance: InstanceId = format!("entry-{owner}").parse().unwrap();
    HolderName::new(&instance, 1)
}

/// What both the shard and the naive reference can do.
trait ClaimOwner {
    fn make(owner: usize) -> Self;
    fn begin(&mut self, now: TimePoint, fencing: FencingNumber) -> Vec<ClaimAction>;
    fn handle(&mut self, now: TimePoint, event: ClaimEvent) -> Vec<ClaimAction>;
    fn tick(&mut self, now: TimePoint) -> Vec<ClaimAction>;
}

fn small_options() -> ClaimOptions {
    ClaimOptions {
        max_bucket_size: ByteSize(250),
        page_size: 1,
        ..ClaimOptions::default()
    }
}

impl ClaimOwner for ClaimShard {
    fn make(owner: usize) -> Self {
        Self::new(ShardId(3), holder(owner), small_options())
    }

    fn begin(&mut self, now: TimePoint, fencing: FencingNumber) -> Vec<ClaimAction> {
        ClaimShard::begin(self, now, fencing)
    }

    fn handle(&mut self, now: TimePoint, event: ClaimEvent) -> Vec<ClaimAction> {
        ClaimShard::handle(self, now, event)
    }

    fn tick(&mut self, now: TimePoint) -> Vec<ClaimAction> {
        ClaimShard::tick(self, now)
    }
}

/// Writes one key per claim, and takes a lost answer for a write that failed.
struct NaiveOwner {
    calls: CallNumber,
    open: BTreeMap<CallNumber, CallNumber>,
}

impl ClaimOwner for NaiveOwner {
    fn make(_owner: usize) -> Self {
        Self {
            calls: CallNumber::default(),
            open: BTreeMap::new(),
        }
    }

    fn begin(&mut self, _now: TimePoint, _fencing: FencingNumber) -> Vec<ClaimAction> {
        Vec::new()
    }

    fn handle(&mut self, _now: TimePoint, event: ClaimEvent) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Claim { call, request: ask } => {
                self.calls.0 += 1;
                self.open.insert(self.calls, call);
                let key = format!("claims/3/{}", ask.claim.key).parse().unwrap();
                vec![ClaimAction::Store(StoreCall::Get {
                    call: self.calls,
                    key,
                })]
            }
            ClaimEvent::Report { call, .. } => {
                vec![ClaimAction::Acknowledge {
                    call,
                    recorded: true,
                }]
            }
            ClaimEvent::StoreCompleted(answer) => self.stored(answer),
        }
    }

    fn tick(&mut self, _now: TimePoint) -> Vec<ClaimAction> {
        Vec::new()
    }
}

impl NaiveOwner {
    fn stored(&mut self, answer: StoreCompletion) -> Vec<ClaimAction> {
        let Some(call) = self.open.remove(&answer.call) else {
            return Vec::new();
        };
        let decision = match answer.reply {
            StoreReply::Absent => ClaimDecision::Granted,
            _ => ClaimDecision::Refused(applefold_core::code::CallRefusal::permanent(
                ResultCode::ClaimUnavailable,
            )),
        };
        vec![ClaimAction::Reply { call, decision }]
    }
}

#[derive(Clone, Debug)]
enum Step {
    Ask { owner: usize, key: u64 },
    AskAgain { owner: usize, request: usize },
    Settle { owner: usize, request: usize },
    SettleNotRun { owner: usize, request: usize },
    Deliver { at: usize },
    LoseAnswer { at: usize },
    Delay { at: usize },
    Drop { at: usize },
    Advance { millis: u64, awake: u8 },
    Begin { owner: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let owner = 0..OWNERS;
    let at = 0..8usize;
    let request = 0..12usize;
    let step = prop_oneof![
        6 => (owner.clone(), 0..KEYS).prop_map(|(owner, key)| Step::Ask { owner, key }),
        2 => (owner.clone(), request.clone())
            .prop_map(|(owner, request)| Step::AskAgain { owner, request }),
        3 => (owner.clone(), request.clone())
            .prop_map(|(owner, request)| Step::Settle { owner, request }),
        1 => (owner.clone(), request)
            .prop_map(|(owner, request)| Step::SettleNotRun { owner, request }),
        12 => at.clone().prop_map(|at| Step::Deliver { at }),
        2 => at.clone().prop_map(|at| Step::LoseAnswer { at }),
        2 => at.clone().prop_map(|at| Step::Delay { at }),
        1 => at.prop_map(|at| Step::Drop { at }),
        8 => (1..1_500u64, 0..8u8).prop_map(|(millis, awake)| Step::Advance { millis, awake }),
        2 => owner.prop_map(|owner| Step::Begin { owner }),
    ];
    prop::collection::vec(step, 1..250)
}

struct WireCall {
    owner: usize,
    call: StoreCall,
    reported: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fate {
    Asked,
    Running,
    NotRun,
    Over,
}

struct World<O> {
    owners: Vec<O>,
    store: FakeStore,
    wire: Vec<WireCall>,
    now: TimePoint,
    fencing: FencingNumber,
    calls: BTreeMap<CallNumber, u64>,
    keys: BTreeMap<u64, u64>,
    fates: BTreeMap<u64, Fate>,
    executions: BTreeMap<u64, Vec<u64>>,
    decisions: Vec<(u64, ClaimDecision)>,
}

impl<O> World<O>
where
    O: ClaimOwner,
{
    fn new() -> Self {
        Self {
            owners: (0..OWNERS).map(O::make).collect(),
            store: FakeStore::default(),
            wire: Vec::new(),
            now: TimePoint::START,
            fencing: FencingNumber(0),
            calls: BTreeMap::new(),
            keys: BTreeMap::new(),
            fates: BTreeMap::new(),
            executions: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    fn begin(&mut self, owner: usize) -> Result<(), String> {
        self.fencing = self.fencing.next();
        let actions = self.owners[owner].begin(self.now, self.fencing);
        self.take(owner, actions)
    }

    fn ask(&mut self, owner: usize, request: u64) -> Result<(), String> {
        let call = CallNumber(self.calls.len() as u64 + 1);
        self.calls.insert(call, request);
        let ask = ask(self.keys[&request], request);
        self.event(owner, ClaimEvent::Claim { call, request: ask })
    }

    fn event(&mut self, owner: usize, event: ClaimEvent) -> Result<(), String> {
        let actions = self.owners[owner].handle(self.now, event);
        self.take(owner, actions)
    }

    fn settle(&mut self, owner: usize, request: u64, outcome: ClaimOutcome) -> Result<(), String> {
        let report = ClaimReport {
            claim: claim(self.keys[&request]),
            request_id: format!("request-{request}").parse().unwrap(),
            outcome,
        };
        let call = CallNumber::default();
        self.event(owner, ClaimEvent::Report { call, report })
    }

    fn take(&mut self, owner: usize, actions: Vec<ClaimAction>) -> Result<(), String> {
        for action in actions {
            match action {
                ClaimAction::Store(call) => self.wire.push(WireCall {
                    owner,
                    call,
                    reported: false,
                }),
                ClaimAction::Reply { call, decision } => self.reply(call, decision)?,
                ClaimAction::Acknowledge { .. } => {}
            }
        }
        Ok(())
    }

    /// Plays the asking entry, which runs a granted request once.
    fn reply(&mut self, call: CallNumber, decision: ClaimDecision) -> Result<(), String> {
        let request = self.calls[&call];
        let key = self.keys[&request];
        self.decisions.push((request, decision.clone()));
        match decision {
            ClaimDecision::Granted if self.fates[&request] == Fate::Asked => {
                self.fates.insert(request, Fate::Running);
                let runs = self.executions.entry(key).or_default();
                // Every fifth request is turned away by its backend server.
                if request % 5 == 4 {
                    self.fates.insert(request, Fate::NotRun);
                    return Ok(());
                }
                runs.push(request);
                if runs.len() > 1 {
                    return Err(format!("key {key} ran for {runs:?}"));
                }
            }
            ClaimDecision::Granted => {}
            ClaimDecision::Replayed(kept) => {
                let runs = self.executions.get(&key).cloned().unwrap_or_default();
                if runs.first().map(|run| answer(*run)) != Some(kept) {
                    return Err(format!("another answer than that of {runs:?}"));
                }
            }
            ClaimDecision::Refused(refusal) => {
                if refusal.code.run_state() == RunState::NotRun
                    && self.fates[&request] == Fate::Asked
                {
                    self.fates.insert(request, Fate::Over);
                }
            }
        }
        Ok(())
    }

    fn deliver(&mut self, at: usize, lost: bool) -> Result<(), String> {
        if self.wire.is_empty() {
            return Ok(());
        }
        let wire = self.wire.remove(at % self.wire.len());
        let reply = self.store.apply(&wire.call);
        if wire.reported {
            return Ok(());
        }
        let reply = if lost { StoreReply::Failed } else { reply };
        let call = wire.call.call();
        self.event(
            wire.owner,
            ClaimEvent::StoreCompleted(StoreCompletion { call, reply }),
        )
    }

    fn fail(&mut self, at: usize, keep: bool) -> Result<(), String> {
        if self.wire.is_empty() {
            return Ok(());
        }
        let at = at % self.wire.len();
        let (owner, call) = (self.wire[at].owner, self.wire[at].call.call());
        let reported = std::mem::replace(&mut self.wire[at].reported, true);
        if !keep {
            self.wire.remove(at);
        }
        if reported {
            return Ok(());
        }
        let reply = StoreReply::Failed;
        self.event(
            owner,
            ClaimEvent::StoreCompleted(StoreCompletion { call, reply }),
        )
    }

    fn advance(&mut self, span: TimeSpan, awake: u8) -> Result<(), String> {
        self.now = self.now + span;
        for owner in 0..OWNERS {
            if awake & (1 << owner) != 0 {
                let actions = self.owners[owner].tick(self.now);
                self.take(owner, actions)?;
            }
        }
        Ok(())
    }

    fn nth_request(&self, at: usize) -> Option<u64> {
        let asked = self.keys.len();
        (asked > 0).then(|| (at % asked) as u64)
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Ask { owner, key } => {
                let request = self.keys.len() as u64;
                self.keys.insert(request, key);
                self.fates.insert(request, Fate::Asked);
                self.ask(owner, request)
            }
            Step::AskAgain { owner, request } => match self.nth_request(request) {
                Some(request) if self.fates[&request] == Fate::Asked => self.ask(owner, request),
                _ => Ok(()),
            },
            Step::Settle { owner, request } => match self.nth_request(request) {
                Some(request) if self.fates[&request] == Fate::Running => {
                    let outcome = match request % 7 {
                        6 => ClaimOutcome::Unknown,
                        _ => ClaimOutcome::Completed(answer(request)),
                    };
                    self.settle(owner, request, outcome)
                }
                _ => Ok(()),
            },
            Step::SettleNotRun { owner, request } => match self.nth_request(request) {
                Some(request) if self.fates[&request] == Fate::NotRun => {
                    self.settle(owner, request, ClaimOutcome::NotRun)
                }
                _ => Ok(()),
            },
            Step::Deliver { at } => self.deliver(at, false),
            Step::LoseAnswer { at } => self.deliver(at, true),
            Step::Delay { at } => self.fail(at, true),
            Step::Drop { at } => self.fail(at, false),
            Step::Advance { millis, awake } => self.advance(TimeSpan::from_millis(millis), awake),
            Step::Begin { owner } => self.begin(owner),
        }
    }

    /// With faults over, a fresh owner grants a fresh key.
    fn finish(&mut self) -> Result<(), String> {
        self.begin(0)?;
        let request = self.keys.len() as u64;
        self.keys.insert(request, KEYS + 1);
        self.fates.insert(request, Fate::Asked);
        for round in 0..40 {
            while !self.wire.is_empty() {
                self.deliver(0, false)?;
            }
            if round == 30 {
                self.ask(0, request)?;
            }
            self.advance(TimeSpan::from_millis(120), 1)?;
        }
        let granted = self.decisions.last() == Some(&(request, ClaimDecision::Granted));
        granted
            .then_some(())
            .ok_or_else(|| "a fresh key was not granted".into())
    }
}

fn run<O>(steps: Vec<Step>) -> Result<(), String>
where
    O: ClaimOwner,
{
    let mut world = World::<O>::new();
    world.begin(0)?;
    for step in steps {
        world.step(step)?;
    }
    world.finish()
}

fn runs_once<O>(seed: u64, cases: u32) -> Result<(), String>
where
    O: ClaimOwner,
{
    check_histories(seed, cases, steps(), run::<O>)
}

#[test]
fn no_history_runs_a_claim_twice() {
    assert_eq!(runs_once::<ClaimShard>(11, 3_000), Ok(()));
}

#[test]
fn the_naive_owner_runs_a_claim_twice() {
    let error = runs_once::<NaiveOwner>(11, 3_000).unwrap_err();
    assert!(error.contains("ran for"), "{error}");
}

struct Bench {
    shard: ClaimShard,
    store: FakeStore,
    now: TimePoint,
    replies: BTreeMap<CallNumber, ClaimDecision>,
    down: bool,
    mute: bool,
}

impl Bench {
    fn new(options: ClaimOptions) -> Self {
        let mut bench = Self {
            shard: ClaimShard::new(ShardId(3), holder(0), options),
            store: FakeStore::default(),
            now: TimePoint::START,
            replies: BTreeMap::new(),
            down: false,
            mute: false,
        };
        bench.takeover(1);
        bench
    }

    fn takeover(&mut self, fencing: u64) {
        let actions = self.shard.begin(self.now, FencingNumber(fencing));
        self.take(actions);
        assert!(self.shard.is_ready());
    }

    fn take(&mut self, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Reply { call, decision } => {
                    self.replies.insert(call, decision);
                }
                ClaimAction::Acknowledge { recorded, .. } => assert!(recorded),
                ClaimAction::Store(call) => {
                    let reply = match self.down {
                        true => StoreReply::Failed,
                        false => self.store.apply(&call),
                    };
                    let reply = if self.mute { StoreReply::Failed } else { reply };
                    let call = call.call();
                    let event = ClaimEvent::StoreCompleted(StoreCompletion { call, reply });
                    let actions = self.shard.handle(self.now, event);
                    self.take(actions);
                }
            }
        }
    }

    fn wait(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = self.now + TimeSpan::from_millis(10);
            let actions = self.shard.tick(self.now);
            self.take(actions);
        }
    }

    fn ask(&mut self, call: u64, ask: ClaimRequest) {
        let call = CallNumber(call);
        let actions = self
            .shard
            .handle(self.now, ClaimEvent::Claim { call, request: ask });
        self.take(actions);
    }

    fn settle(&mut self, key: u64, request: u64, outcome: ClaimOutcome) {
        let report = ClaimReport {
            claim: claim(key),
            request_id: ask(key, request).request_id,
            outcome,
        };
        let call = CallNumber(0);
        let event = ClaimEvent::Report { call, report };
        let actions = self.shard.handle(self.now, event);
        self.take(actions);
    }

    fn code(&self, call: u64) -> Option<ResultCode> {
        match self.replies.get(&CallNumber(call))? {
            ClaimDecision::Refused(refusal) => Some(refusal.code),
            _ => None,
        }
    }
}

#[test]
fn repeats_are_told_the_truth() {
    let mut bench = Bench::new(ClaimOptions::default());
    bench.wait(200);
    bench.ask(1, ask(1, 1));
    assert_eq!(bench.replies[&CallNumber(1)], ClaimDecision::Granted);
    bench.ask(2, ask(1, 2));
    assert_eq!(bench.code(2), Some(ResultCode::StillRunning));
    let other = ClaimRequest {
        fingerprint: RequestFingerprint(77),
        ..ask(1, 3)
    };
    bench.ask(3, other);
    assert_eq!(bench.code(3), Some(ResultCode::ClaimConflict));
    bench.settle(1, 1, ClaimOutcome::Completed(answer(1)));
    bench.ask(4, ask(1, 4));
    assert_eq!(
        bench.replies[&CallNumber(4)],
        ClaimDecision::Replayed(answer(1))
    );
    bench.wait(200);
    bench.takeover(2);
    bench.ask(5, ask(1, 5));
    assert_eq!(
        bench.replies[&CallNumber(5)],
        ClaimDecision::Replayed(answer(1))
    );
}

#[test]
fn large_answers_and_lost_outcomes_are_not_kept() {
    let mut bench = Bench::new(ClaimOptions::default());
    bench.wait(200);
    bench.ask(1, ask(1, 1));
    bench.ask(2, ask(2, 2));
    bench.ask(3, ask(3, 3));
    bench.wait(400);
    let large = StoredResponse {
        status: 200,
        body: vec![b'x'; 5_000],
    };
    bench.settle(1, 1, ClaimOutcome::Completed(large));
    bench.settle(2, 2, ClaimOutcome::Unknown);
    bench.wait(200);
    bench.takeover(2);
    bench.ask(11, ask(1, 11));
    assert_eq!(bench.code(11), Some(ResultCode::AlreadyRan));
    bench.ask(12, ask(2, 12));
    assert_eq!(bench.code(12), Some(ResultCode::OutcomeUnknown));
    bench.ask(13, ask(3, 13));
    assert_eq!(bench.code(13), Some(ResultCode::StillRunning));
    bench.wait(600_000);
    bench.ask(14, ask(3, 14));
    assert_eq!(bench.code(14), Some(ResultCode::OutcomeUnknown));
}

#[test]
fn an_outage_refuses_as_not_run_and_frees_the_key() {
    let mut bench = Bench::new(ClaimOptions::default());
    bench.wait(200);
    bench.down = true;
    bench.ask(1, ask(1, 1));
    bench.wait(2_000);
    assert_eq!(bench.code(1), Some(ResultCode::ClaimUnavailable));
    bench.down = false;
    bench.wait(500);
    bench.ask(2, ask(1, 2));
    bench.wait(500);
    assert_eq!(bench.replies[&CallNumber(2)], ClaimDecision::Granted);
}

#[test]
fn a_claim_refused_in_an_outage_is_free_for_the_next_owner() {
    let mut bench = Bench::new(ClaimOptions::default());
    bench.wait(200);
    bench.mute = true;
    bench.ask(1, ask(1, 1));
    bench.wait(2_000);
    assert_eq!(bench.code(1), Some(ResultCode::ClaimUnavailable));
    bench.mute = false;
    bench.wait(500);
    bench.takeover(2);
    bench.ask(2, ask(1, 2));
    bench.wait(500);
    assert_eq!(bench.replies[&CallNumber(2)], ClaimDecision::Granted);
}

/// Answers the store calls of `shard`, all of them or none, and returns its decisions.
fn serve(
    shard: &mut ClaimShard,
    store: &mut FakeStore,
    now: TimePoint,
    mut actions: Vec<ClaimAction>,
) -> Vec<ClaimDecision> {
    let mut decisions = Vec::new();
    while !actions.is_empty() {
        for action in std::mem::take(&mut actions) {
            match action {
                ClaimAction::Reply { decision, .. } => decisions.push(decision),
                ClaimAction::Acknowledge { .. } => {}
                ClaimAction::Store(call) => {
                    let reply = store.apply(&call);
                    let call = call.call();
                    let event = ClaimEvent::StoreCompleted(StoreCompletion { call, reply });
                    actions.extend(shard.handle(now, event));
                }
            }
        }
    }
    decisions
}

#[test]
fn a_claim_written_between_two_pages_is_not_missed() {
    let mut store = FakeStore::default();
    let mut now = TimePoint::START;
    let (mut old, mut new) = (ClaimShard::make(0), ClaimShard::make(1));
    let actions = old.begin(now, FencingNumber(1));
    serve(&mut old, &mut store, now, actions);
    let mut actions = new.begin(now, FencingNumber(2));
    let Some(ClaimAction::Store(page)) = actions.pop() else {
        panic!("no list call");
    };
    let reply = store.apply(&page);
    let mut granted = 0;
    for key in 1..6 {
        now = now + TimeSpan::from_millis(200);
        let call = CallNumber(key);
        let ask = ask(key, key);
        let actions = old.handle(now, ClaimEvent::Claim { call, request: ask });
        granted += serve(&mut old, &mut store, now, actions).len();
    }
    assert_eq!(granted, 5);
    let call = page.call();
    let actions = new.handle(
        now,
        ClaimEvent::StoreCompleted(StoreCompletion { call, reply }),
    );
    serve(&mut new, &mut store, now, actions);
    for _ in 0..10 {
        now = now + TimeSpan::from_millis(200);
        let actions = new.tick(now);
        serve(&mut new, &mut store, now, actions);
    }
    for key in 1..6 {
        let call = CallNumber(10 + key);
        let ask = ask(key, 10 + key);
        let actions = new.handle(now, ClaimEvent::Claim { call, request: ask });
        let decisions = serve(&mut new, &mut store, now, actions);
        let code = match decisions.as_slice() {
            [ClaimDecision::Refused(refusal)] => refusal.code,
            other => panic!("{other:?}"),
        };
        assert_eq!(code, ResultCode::StillRunning);
    }
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let mut shard = ClaimShard::new(ShardId(3), holder(0), ClaimOptions::default());
    let mut store = FakeStore::default();
    let mut now = TimePoint::START;
    let mut actions = shard.begin(now, FencingNumber(1));
    let (mut lose, mut reads, mut decisions) = (false, 0, Vec::new());
    for round in 0..100 {
        now = now + TimeSpan::from_millis(10);
        if round == 50 {
            let call = CallNumber(1);
            let ask = ask(1, 1);
            actions = shard.handle(now, ClaimEvent::Claim { call, request: ask });
            lose = true;
        }
        actions.extend(shard.tick(now));
        for action in std::mem::take(&mut actions) {
            match action {
                ClaimAction::Reply { decision, .. } => decisions.push(decision),
                ClaimAction::Acknowledge { .. } => {}
                ClaimAction::Store(call) => {
                    reads += u64::from(matches!(call, StoreCall::Get { .. }));
                    let reply = store.apply(&call);
                    let reply = if std::mem::take(&mut lose) {
                        StoreReply::Failed
                    } else {
                        reply
                    };
                    let call = call.call();
                    let event = ClaimEvent::StoreCompleted(StoreCompletion { call, reply });
                    actions.extend(shard.handle(now, event));
                }
            }
        }
    }
    assert_eq!(decisions, [ClaimDecision::Granted]);
    assert_eq!(reads, 1);
}

#[test]
fn writes_and_rows_are_bounded_at_any_load() {
    let options = ClaimOptions {
        max_claims: 4_000,
        retention: TimeSpan::from_secs(10),
        max_bucket_age: TimeSpan::from_secs(2),
        ..ClaimOptions::default()
    };
    let mut bench = Bench::new(options);
    let before = bench.store.writes;
    let mut call = 0;
    for _ in 0..200 {
        for _ in 0..100 {
            call += 1;
            bench.ask(call, ask(call, call));
        }
        bench.wait(100);
    }
    assert!(bench.shard.row_count() <= 4_000);
    let writes = bench.store.writes - before;
    assert!(writes <= 20 * 10 + 50, "{writes} writes in 20 s");
    let refused = (1..=call)
        .filter(|call| bench.code(*call).is_some())
        .count();
    assert!(
        refused > 0 && refused < 16_000,
        "{refused} of {call} refused"
    );
    bench.wait(14_000);
    bench.ask(call + 1, ask(call + 1, call + 1));
    bench.wait(3_000);
    let buckets = bench.store.entries.len();
    assert!(buckets < 4, "{buckets} buckets after the retention time");
}
