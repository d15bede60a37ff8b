//! Claim shards under lost, delayed and repeated calls and changes of the owner.

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

fn claim_key(key: u64) -> ClaimKey {
    ClaimKey {
        team: "red".parse().unwrap(),
        key: format!("key-{key}").parse().unwrap(),
    }
}

fn claim_request(key: u64, request: u64) -> ClaimRequest {
    ClaimRequest {
        claim: claim_key(key),
        fingerprint: RequestFingerprint(key),
        request_id: format!("request-{request}").parse().unwrap(),
    }
}

fn response(request: u64) -> StoredResponse {
    StoredResponse {
        status: 200,
        body: format!("answer of {request}").into_bytes(),
    }
}

fn holder(owner: usize) -> HolderName {
    let instance: InstanceId = format!("entry-{owner}").parse().unwrap();
    HolderName::new(&instance, 1)
}

/// The interface of the shard and of the naive reference implementation.
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

/// A reference implementation that reads a key per claim and grants it if the key is absent, without
/// writing the claim first.
struct NaiveOwner {
    calls: CallNumber,
    pending: BTreeMap<CallNumber, CallNumber>,
}

impl ClaimOwner for NaiveOwner {
    fn make(_owner: usize) -> Self {
        Self {
            calls: CallNumber::default(),
            pending: BTreeMap::new(),
        }
    }

    fn begin(&mut self, _now: TimePoint, _fencing: FencingNumber) -> Vec<ClaimAction> {
        Vec::new()
    }

    fn handle(&mut self, _now: TimePoint, event: ClaimEvent) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Claim { call, request } => {
                self.calls.0 += 1;
                self.pending.insert(self.calls, call);
                let key = format!("claims/3/{}", request.claim.key).parse().unwrap();
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
            ClaimEvent::StoreCompleted(completion) => self.handle_completion(completion),
        }
    }

    fn tick(&mut self, _now: TimePoint) -> Vec<ClaimAction> {
        Vec::new()
    }
}

impl NaiveOwner {
    fn handle_completion(&mut self, completion: StoreCompletion) -> Vec<ClaimAction> {
        let Some(call) = self.pending.remove(&completion.call) else {
            return Vec::new();
        };
        let decision = match completion.reply {
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
    Claim {
        owner: usize,
        key: u64,
    },
    RetryClaim {
        owner: usize,
        request: usize,
    },
    ReportOutcome {
        owner: usize,
        request: usize,
    },
    ReportNotRun {
        owner: usize,
        request: usize,
    },
    /// The call takes effect and its reply arrives.
    Deliver {
        at: usize,
    },
    /// The call takes effect and its reply is lost.
    LoseReply {
        at: usize,
    },
    /// The call is reported as failed and takes effect later.
    Delay {
        at: usize,
    },
    /// The call is reported as failed and never takes effect.
    Drop {
        at: usize,
    },
    /// Time passes; owners whose bit in `awake` is not set are paused.
    Advance {
        millis: u64,
        awake: u8,
    },
    TakeOver {
        owner: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let owner = 0..OWNERS;
    let at = 0..8usize;
    let request = 0..12usize;
    let step = prop_oneof![
        6 => (owner.clone(), 0..KEYS).prop_map(|(owner, key)| Step::Claim { owner, key }),
        2 => (owner.clone(), request.clone())
            .prop_map(|(owner, request)| Step::RetryClaim { owner, request }),
        3 => (owner.clone(), request.clone())
            .prop_map(|(owner, request)| Step::ReportOutcome { owner, request }),
        1 => (owner.clone(), request)
            .prop_map(|(owner, request)| Step::ReportNotRun { owner, request }),
        12 => at.clone().prop_map(|at| Step::Deliver { at }),
        2 => at.clone().prop_map(|at| Step::LoseReply { at }),
        2 => at.clone().prop_map(|at| Step::Delay { at }),
        1 => at.prop_map(|at| Step::Drop { at }),
        8 => (1..1_500u64, 0..8u8).prop_map(|(millis, awake)| Step::Advance { millis, awake }),
        2 => owner.prop_map(|owner| Step::TakeOver { owner }),
    ];
    prop::collection::vec(step, 1..250)
}

struct InFlightCall {
    owner: usize,
    call: StoreCall,
    /// Whether the owner was told that the call failed.
    failure_reported: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum RequestState {
    Pending,
    Running,
    NotRun,
    Refused,
}

struct Simulation<O> {
    owners: Vec<O>,
    store: FakeStore,
    in_flight: Vec<InFlightCall>,
    now: TimePoint,
    fencing: FencingNumber,
    calls: BTreeMap<CallNumber, u64>,
    keys: BTreeMap<u64, u64>,
    states: BTreeMap<u64, RequestState>,
    executions: BTreeMap<u64, Vec<u64>>,
    decisions: Vec<(u64, ClaimDecision)>,
}

impl<O> Simulation<O>
where
    O: ClaimOwner,
{
    fn new() -> Self {
        Self {
            owners: (0..OWNERS).map(O::make).collect(),
            store: FakeStore::default(),
            in_flight: Vec::new(),
            now: TimePoint::START,
            fencing: FencingNumber(0),
            calls: BTreeMap::new(),
            keys: BTreeMap::new(),
            states: BTreeMap::new(),
            executions: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    fn begin(&mut self, owner: usize) -> Result<(), String> {
        self.fencing = self.fencing.next();
        let actions = self.owners[owner].begin(self.now, self.fencing);
        self.perform(owner, actions)
    }

    fn claim(&mut self, owner: usize, request: u64) -> Result<(), String> {
        let call = CallNumber(self.calls.len() as u64 + 1);
        self.calls.insert(call, request);
        let request = claim_request(self.keys[&request], request);
        self.event(owner, ClaimEvent::Claim { call, request })
    }

    fn event(&mut self, owner: usize, event: ClaimEvent) -> Result<(), String> {
        let actions = self.owners[owner].handle(self.now, event);
        self.perform(owner, actions)
    }

    fn report(&mut self, owner: usize, request: u64, outcome: ClaimOutcome) -> Result<(), String> {
        let report = ClaimReport {
            claim: claim_key(self.keys[&request]),
            request_id: format!("request-{request}").parse().unwrap(),
            outcome,
        };
        let call = CallNumber::default();
        self.event(owner, ClaimEvent::Report { call, report })
    }

    fn perform(&mut self, owner: usize, actions: Vec<ClaimAction>) -> Result<(), String> {
        for action in actions {
            match action {
                ClaimAction::Store(call) => self.in_flight.push(InFlightCall {
                    owner,
                    call,
                    failure_reported: false,
                }),
                ClaimAction::Reply { call, decision } => self.handle_reply(call, decision)?,
                ClaimAction::Acknowledge { .. } => {}
            }
        }
        Ok(())
    }

    /// Acts as the requesting entry, which runs a granted request once.
    fn handle_reply(&mut self, call: CallNumber, decision: ClaimDecision) -> Result<(), String> {
        let request = self.calls[&call];
        let key = self.keys[&request];
        self.decisions.push((request, decision.clone()));
        match decision {
            ClaimDecision::Granted if self.states[&request] == RequestState::Pending => {
                self.states.insert(request, RequestState::Running);
                let runs = self.executions.entry(key).or_default();
                // Every fifth request is rejected by its backend server.
                if request % 5 == 4 {
                    self.states.insert(request, RequestState::NotRun);
                    return Ok(());
                }
                runs.push(request);
                if runs.len() > 1 {
                    return Err(format!("key {key} ran for {runs:?}"));
                }
            }
            ClaimDecision::Granted => {}
            ClaimDecision::Replayed(replayed) => {
                let runs = self.executions.get(&key).cloned().unwrap_or_default();
                if runs.first().map(|run| response(*run)) != Some(replayed) {
                    return Err(format!("the replayed response is not that of {runs:?}"));
                }
            }
            ClaimDecision::Refused(refusal) => {
                if refusal.code.run_state() == RunState::NotRun
                    && self.states[&request] == RequestState::Pending
                {
                    self.states.insert(request, RequestState::Refused);
                }
            }
        }
        Ok(())
    }

    fn deliver(&mut self, at: usize, lost: bool) -> Result<(), String> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let in_flight = self.in_flight.remove(at % self.in_flight.len());
        let reply = self.store.apply(&in_flight.call);
        if in_flight.failure_reported {
            return Ok(());
        }
        let reply = if lost { StoreReply::Failed } else { reply };
        let call = in_flight.call.call();
        self.event(
            in_flight.owner,
            ClaimEvent::StoreCompleted(StoreCompletion { call, reply }),
        )
    }

    fn fail(&mut self, at: usize, keep: bool) -> Result<(), String> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let at = at % self.in_flight.len();
        let (owner, call) = (self.in_flight[at].owner, self.in_flight[at].call.call());
        let failure_reported = std::mem::replace(&mut self.in_flight[at].failure_reported, true);
        if !keep {
            self.in_flight.remove(at);
        }
        if failure_reported {
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
                self.perform(owner, actions)?;
            }
        }
        Ok(())
    }

    fn nth_request(&self, at: usize) -> Option<u64> {
        let count = self.keys.len();
        (count > 0).then(|| (at % count) as u64)
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Claim { owner, key } => {
                let request = self.keys.len() as u64;
                self.keys.insert(request, key);
                self.states.insert(request, RequestState::Pending);
                self.claim(owner, request)
            }
            Step::RetryClaim { owner, request } => match self.nth_request(request) {
                Some(request) if self.states[&request] == RequestState::Pending => {
                    self.claim(owner, request)
                }
                _ => Ok(()),
            },
            Step::ReportOutcome { owner, request } => match self.nth_request(request) {
                Some(request) if self.states[&request] == RequestState::Running => {
                    let outcome = match request % 7 {
                        6 => ClaimOutcome::Unknown,
                        _ => ClaimOutcome::Completed(response(request)),
                    };
                    self.report(owner, request, outcome)
                }
                _ => Ok(()),
            },
            Step::ReportNotRun { owner, request } => match self.nth_request(request) {
                Some(request) if self.states[&request] == RequestState::NotRun => {
                    self.report(owner, request, ClaimOutcome::NotRun)
                }
                _ => Ok(()),
            },
            Step::Deliver { at } => self.deliver(at, false),
            Step::LoseReply { at } => self.deliver(at, true),
            Step::Delay { at } => self.fail(at, true),
            Step::Drop { at } => self.fail(at, false),
            Step::Advance { millis, awake } => self.advance(TimeSpan::from_millis(millis), awake),
            Step::TakeOver { owner } => self.begin(owner),
        }
    }

    /// Checks that a new owner grants a new key once there are no more faults.
    fn finish(&mut self) -> Result<(), String> {
        self.begin(0)?;
        let request = self.keys.len() as u64;
        self.keys.insert(request, KEYS + 1);
        self.states.insert(request, RequestState::Pending);
        for round in 0..40 {
            while !self.in_flight.is_empty() {
                self.deliver(0, false)?;
            }
            if round == 30 {
                self.claim(0, request)?;
            }
            self.advance(TimeSpan::from_millis(120), 1)?;
        }
        let granted = self.decisions.last() == Some(&(request, ClaimDecision::Granted));
        granted
            .then_some(())
            .ok_or_else(|| "a new key was not granted".into())
    }
}

fn run<O>(steps: Vec<Step>) -> Result<(), String>
where
    O: ClaimOwner,
{
    let mut simulation = Simulation::<O>::new();
    simulation.begin(0)?;
    for step in steps {
        simulation.step(step)?;
    }
    simulation.finish()
}

fn check_runs_once<O>(seed: u64, cases: u32) -> Result<(), String>
where
    O: ClaimOwner,
{
    check_histories(seed, cases, steps(), run::<O>)
}

#[test]
fn no_history_runs_a_request_twice() {
    assert_eq!(check_runs_once::<ClaimShard>(11, 3_000), Ok(()));
}

#[test]
fn the_naive_owner_runs_a_request_twice() {
    let error = check_runs_once::<NaiveOwner>(11, 3_000).unwrap_err();
    assert!(error.contains("ran for"), "{error}");
}

struct Fixture {
    shard: ClaimShard,
    store: FakeStore,
    now: TimePoint,
    replies: BTreeMap<CallNumber, ClaimDecision>,
    /// Store calls fail without taking effect.
    store_down: bool,
    /// Store calls take effect, but their replies are lost.
    replies_lost: bool,
}

impl Fixture {
    fn new(options: ClaimOptions) -> Self {
        let mut fixture = Self {
            shard: ClaimShard::new(ShardId(3), holder(0), options),
            store: FakeStore::default(),
            now: TimePoint::START,
            replies: BTreeMap::new(),
            store_down: false,
            replies_lost: false,
        };
        fixture.takeover(1);
        fixture
    }

    fn takeover(&mut self, fencing: u64) {
        let actions = self.shard.begin(self.now, FencingNumber(fencing));
        self.perform(actions);
        assert!(self.shard.is_ready());
    }

    fn perform(&mut self, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Reply { call, decision } => {
                    self.replies.insert(call, decision);
                }
                ClaimAction::Acknowledge { recorded, .. } => assert!(recorded),
                ClaimAction::Store(call) => {
                    let reply = match self.store_down {
                        true => StoreReply::Failed,
                        false => self.store.apply(&call),
                    };
                    let reply = if self.replies_lost {
                        StoreReply::Failed
                    } else {
                        reply
                    };
                    let call = call.call();
                    let event = ClaimEvent::StoreCompleted(StoreCompletion { call, reply });
                    let actions = self.shard.handle(self.now, event);
                    self.perform(actions);
                }
            }
        }
    }

    fn wait(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = self.now + TimeSpan::from_millis(10);
            let actions = self.shard.tick(self.now);
            self.perform(actions);
        }
    }

    fn claim(&mut self, call: u64, request: ClaimRequest) {
        let call = CallNumber(call);
        let actions = self
            .shard
            .handle(self.now, ClaimEvent::Claim { call, request });
        self.perform(actions);
    }

    fn report(&mut self, key: u64, request: u64, outcome: ClaimOutcome) {
        let report = ClaimReport {
            claim: claim_key(key),
            request_id: claim_request(key, request).request_id,
            outcome,
        };
        let call = CallNumber(0);
        let event = ClaimEvent::Report { call, report };
        let actions = self.shard.handle(self.now, event);
        self.perform(actions);
    }

    fn code(&self, call: u64) -> Option<ResultCode> {
        match self.replies.get(&CallNumber(call))? {
            ClaimDecision::Refused(refusal) => Some(refusal.code),
            _ => None,
        }
    }
}

#[test]
fn duplicates_are_answered_by_the_state_of_the_first_request() {
    let mut fixture = Fixture::new(ClaimOptions::default());
    fixture.wait(200);
    fixture.claim(1, claim_request(1, 1));
    assert_eq!(fixture.replies[&CallNumber(1)], ClaimDecision::Granted);
    fixture.claim(2, claim_request(1, 2));
    assert_eq!(fixture.code(2), Some(ResultCode::StillRunning));
    let other = ClaimRequest {
        fingerprint: RequestFingerprint(77),
        ..claim_request(1, 3)
    };
    fixture.claim(3, other);
    assert_eq!(fixture.code(3), Some(ResultCode::ClaimConflict));
    fixture.report(1, 1, ClaimOutcome::Completed(response(1)));
    fixture.claim(4, claim_request(1, 4));
    assert_eq!(
        fixture.replies[&CallNumber(4)],
        ClaimDecision::Replayed(response(1))
    );
    fixture.wait(200);
    fixture.takeover(2);
    fixture.claim(5, claim_request(1, 5));
    assert_eq!(
        fixture.replies[&CallNumber(5)],
        ClaimDecision::Replayed(response(1))
    );
}

#[test]
fn large_responses_and_unknown_outcomes_are_not_replayed() {
    let mut fixture = Fixture::new(ClaimOptions::default());
    fixture.wait(200);
    fixture.claim(1, claim_request(1, 1));
    fixture.claim(2, claim_request(2, 2));
    fixture.claim(3, claim_request(3, 3));
    fixture.wait(400);
    let large = StoredResponse {
        status: 200,
        body: vec![b'x'; 5_000],
    };
    fixture.report(1, 1, ClaimOutcome::Completed(large));
    fixture.report(2, 2, ClaimOutcome::Unknown);
    fixture.wait(200);
    fixture.takeover(2);
    fixture.claim(11, claim_request(1, 11));
    assert_eq!(fixture.code(11), Some(ResultCode::AlreadyRan));
    fixture.claim(12, claim_request(2, 12));
    assert_eq!(fixture.code(12), Some(ResultCode::OutcomeUnknown));
    fixture.claim(13, claim_request(3, 13));
    assert_eq!(fixture.code(13), Some(ResultCode::StillRunning));
    fixture.wait(600_000);
    fixture.claim(14, claim_request(3, 14));
    assert_eq!(fixture.code(14), Some(ResultCode::OutcomeUnknown));
}

#[test]
fn an_outage_refuses_as_not_run_and_frees_the_key() {
    let mut fixture = Fixture::new(ClaimOptions::default());
    fixture.wait(200);
    fixture.store_down = true;
    fixture.claim(1, claim_request(1, 1));
    fixture.wait(2_000);
    assert_eq!(fixture.code(1), Some(ResultCode::ClaimUnavailable));
    fixture.store_down = false;
    fixture.wait(500);
    fixture.claim(2, claim_request(1, 2));
    fixture.wait(500);
    assert_eq!(fixture.replies[&CallNumber(2)], ClaimDecision::Granted);
}

#[test]
fn a_claim_refused_in_an_outage_is_free_for_the_next_owner() {
    let mut fixture = Fixture::new(ClaimOptions::default());
    fixture.wait(200);
    fixture.replies_lost = true;
    fixture.claim(1, claim_request(1, 1));
    fixture.wait(2_000);
    assert_eq!(fixture.code(1), Some(ResultCode::ClaimUnavailable));
    fixture.replies_lost = false;
    fixture.wait(500);
    fixture.takeover(2);
    fixture.claim(2, claim_request(1, 2));
    fixture.wait(500);
    assert_eq!(fixture.replies[&CallNumber(2)], ClaimDecision::Granted);
}

/// Carries out the store calls of `shard` until none is left, and returns its decisions.
fn run_store_calls(
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
    run_store_calls(&mut old, &mut store, now, actions);
    let mut actions = new.begin(now, FencingNumber(2));
    let Some(ClaimAction::Store(page)) = actions.pop() else {
        panic!("no list call");
    };
    let reply = store.apply(&page);
    let mut granted = 0;
    for key in 1..6 {
        now = now + TimeSpan::from_millis(200);
        let call = CallNumber(key);
        let request = claim_request(key, key);
        let actions = old.handle(now, ClaimEvent::Claim { call, request });
        granted += run_store_calls(&mut old, &mut store, now, actions).len();
    }
    assert_eq!(granted, 5);
    let call = page.call();
    let actions = new.handle(
        now,
        ClaimEvent::StoreCompleted(StoreCompletion { call, reply }),
    );
    run_store_calls(&mut new, &mut store, now, actions);
    for _ in 0..10 {
        now = now + TimeSpan::from_millis(200);
        let actions = new.tick(now);
        run_store_calls(&mut new, &mut store, now, actions);
    }
    for key in 1..6 {
        let call = CallNumber(10 + key);
        let request = claim_request(key, 10 + key);
        let actions = new.handle(now, ClaimEvent::Claim { call, request });
        let decisions = run_store_calls(&mut new, &mut store, now, actions);
        let code = match decisions.as_slice() {
            [ClaimDecision::Refused(refusal)] => refusal.code,
            other => panic!("{other:?}"),
        };
        assert_eq!(code, ResultCode::StillRunning);
    }
}

#[test]
fn a_lost_reply_is_resolved_by_reading_back() {
    let mut shard = ClaimShard::new(ShardId(3), holder(0), ClaimOptions::default());
    let mut store = FakeStore::default();
    let mut now = TimePoint::START;
    let mut actions = shard.begin(now, FencingNumber(1));
    let (mut lose_reply, mut reads, mut decisions) = (false, 0, Vec::new());
    for round in 0..100 {
        now = now + TimeSpan::from_millis(10);
        if round == 50 {
            let call = CallNumber(1);
            let request = claim_request(1, 1);
            actions = shard.handle(now, ClaimEvent::Claim { call, request });
            lose_reply = true;
        }
        actions.extend(shard.tick(now));
        for action in std::mem::take(&mut actions) {
            match action {
                ClaimAction::Reply { decision, .. } => decisions.push(decision),
                ClaimAction::Acknowledge { .. } => {}
                ClaimAction::Store(call) => {
                    reads += u64::from(matches!(call, StoreCall::Get { .. }));
                    let reply = store.apply(&call);
                    let reply = if std::mem::take(&mut lose_reply) {
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
fn writes_and_claims_are_bounded_at_any_load() {
    let options = ClaimOptions {
        max_claims: 4_000,
        retention: TimeSpan::from_secs(10),
        max_bucket_age: TimeSpan::from_secs(2),
        ..ClaimOptions::default()
    };
    let mut fixture = Fixture::new(options);
    let before = fixture.store.writes;
    let mut call = 0;
    for _ in 0..200 {
        for _ in 0..100 {
            call += 1;
            fixture.claim(call, claim_request(call, call));
        }
        fixture.wait(100);
    }
    assert!(fixture.shard.row_count() <= 4_000);
    let writes = fixture.store.writes - before;
    assert!(writes <= 20 * 10 + 50, "{writes} writes in 20 s");
    let refused = (1..=call)
        .filter(|call| fixture.code(*call).is_some())
        .count();
    assert!(
        refused > 0 && refused < 16_000,
        "{refused} of {call} refused"
    );
    fixture.wait(14_000);
    fixture.claim(call + 1, claim_request(call + 1, call + 1));
    fixture.wait(3_000);
    let buckets = fixture.store.entries.len();
    assert!(buckets < 4, "{buckets} buckets after the retention time");
}
