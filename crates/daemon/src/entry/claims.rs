//! Claims on idempotency keys: the shards that this entry owns, and calls to the owners of others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::claim::store::{CallNumber, StoreCall};
use applefold_core::claim::{
    ClaimAction, ClaimDecision, ClaimEvent, ClaimOptions, ClaimOutcome, ClaimReport, ClaimRequest,
    ClaimShard, CLAIM_SHARDS, CLAIM_WRITE_TIMEOUT,
};
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::id::{FencingNumber, ShardId};
use applefold_core::lease::HolderName;
use applefold_core::unit::TimeSpan;
use applefold_wire::claim as message;
use eyre::{Result, WrapErr};
use tokio::sync::oneshot;

use super::leases::{self, WorkScope};
use super::state::EntryState;
use crate::link::client::PeerLink;

/// The period of shard timers.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// The retry delay in refusals of claims.
const RETRY_SOON: TimeSpan = TimeSpan::from_secs(1);
/// How long a claim waits for the report of its outcome. After it the outcome counts as unknown,
/// since the entry that ran the request may have crashed.
const RUN_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);
/// How often an entry tries to report an outcome to the owner of the shard.
const MAX_REPORT_ATTEMPTS: u32 = 20;
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The claim shards, and the calls that wait for their replies.
pub(crate) struct ClaimManager {
    shards: RefCell<BTreeMap<ShardId, ClaimShard>>,
    pending_decisions: RefCell<BTreeMap<CallNumber, oneshot::Sender<ClaimDecision>>>,
    pending_reports: RefCell<BTreeMap<CallNumber, oneshot::Sender<bool>>>,
    last_call: Cell<u64>,
}

impl ClaimManager {
    pub(crate) fn new(holder: &HolderName) -> Self {
        let shards = (0..CLAIM_SHARDS).map(ShardId).map(|shard| {
            let options = ClaimOptions {
                run_timeout: RUN_TIMEOUT,
                ..ClaimOptions::default()
            };
            let row = ClaimShard::new(shard, holder.clone(), options);
            (shard, row)
        });
        Self {
            shards: RefCell::new(shards.collect()),
            pending_decisions: RefCell::default(),
            pending_reports: RefCell::default(),
            last_call: Cell::new(0),
        }
    }

    fn next_call(&self) -> CallNumber {
        self.last_call.set(self.last_call.get() + 1);
        CallNumber(self.last_call.get())
    }
}

/// Starts to serve a shard, whose lease this entry has acquired.
pub(crate) fn begin(state: &Rc<EntryState>, shard: ShardId, fencing: FencingNumber) {
    let now = state.now();
    let actions = step(state, shard, |row| row.begin(now, fencing));
    perform(state, shard, actions);
}

/// Stops serving a shard, whose lease this entry has lost or released.
pub(crate) fn end(state: &Rc<EntryState>, shard: ShardId) {
    let now = state.now();
    let actions = step(state, shard, |row| row.end(now));
    perform(state, shard, actions);
}

/// Runs the timers of all shards until the process ends.
pub(crate) async fn run(state: Rc<EntryState>) {
    loop {
        actix_rt::time::sleep(TICK_PERIOD).await;
        let now = state.now();
        for shard in (0..CLAIM_SHARDS).map(ShardId) {
            let actions = step(&state, shard, |row| row.tick(now));
            perform(&state, shard, actions);
        }
    }
}

fn step<F>(state: &EntryState, shard: ShardId, decide: F) -> Vec<ClaimAction>
where
    F: FnOnce(&mut ClaimShard) -> Vec<ClaimAction>,
{
    let mut shards = state.claims.shards.borrow_mut();
    shards.get_mut(&shard).map_or_else(Vec::new, decide)
}

fn perform(state: &Rc<EntryState>, shard: ShardId, actions: Vec<ClaimAction>) {
    for action in actions {
        match action {
            ClaimAction::Store(call) => spawn_store(state, shard, call),
            ClaimAction::Reply { call, decision } => {
                if let Some(reply) = state.claims.pending_decisions.borrow_mut().remove(&call) {
                    let _ = reply.send(decision);
                }
            }
            ClaimAction::Acknowledge { call, recorded } => {
                if let Some(reply) = state.claims.pending_reports.borrow_mut().remove(&call) {
                    let _ = reply.send(recorded);
                }
            }
        }
    }
}

fn spawn_store(state: &Rc<EntryState>, shard: ShardId, call: StoreCall) {
    let state = state.clone();
    actix_rt::spawn(async move {
        let completion = state.platform.store(call).await;
        let now = state.now();
        let event = ClaimEvent::StoreCompleted(completion);
        let actions = step(&state, shard, |row| row.handle(now, event));
        perform(&state, shard, actions);
    });
}

/// Sends a claim to the owner of its shard, which may be this entry, and returns the decision.
///
/// The claim is refused with [`ResultCode::ClaimUnavailable`] if no owner can be reached or none
/// replies in time.
pub(crate) async fn claim(state: &Rc<EntryState>, request: ClaimRequest) -> ClaimDecision {
    let refusal = CallRefusal::retryable(ResultCode::ClaimUnavailable, RETRY_SOON);
    let shard = request.claim.shard();
    if is_owned(state, shard) {
        return claim_locally(state, request).await;
    }
    let Some(link) = owner_link(state, shard).await else {
        return ClaimDecision::Refused(refusal);
    };
    let decision = claim_remotely(&link, &request).await;
    decision.unwrap_or_else(|error| {
        log::warn!(code = refusal.code.number(); "could not claim an idempotency key; refusing the request: {error:#}");
        // The claim may have been granted. The request is not sent, so the key is freed again.
        let unused = ClaimReport {
            claim: request.claim,
            request_id: request.request_id,
            outcome: ClaimOutcome::NotRun,
        };
        actix_rt::spawn(report(state.clone(), unused));
        ClaimDecision::Refused(refusal)
    })
}

/// Decides a claim whose shard this entry owns.
pub(crate) async fn claim_locally(state: &Rc<EntryState>, request: ClaimRequest) -> ClaimDecision {
    let shard = request.claim.shard();
    let call = state.claims.next_call();
    let (reply, decision) = oneshot::channel();
    state
        .claims
        .pending_decisions
        .borrow_mut()
        .insert(call, reply);
    let now = state.now();
    let event = ClaimEvent::Claim { call, request };
    let actions = step(state, shard, |row| row.handle(now, event));
    perform(state, shard, actions);
    let refusal = CallRefusal::retryable(ResultCode::ClaimUnavailable, RETRY_SOON);
    decision.await.unwrap_or(ClaimDecision::Refused(refusal))
}

async fn claim_remotely(link: &PeerLink, claim: &ClaimRequest) -> Result<ClaimDecision> {
    let mut request = link.session.claim_request();
    message::write_request(claim, request.get().init_ask());
    let limit = Duration::from_micros(CLAIM_WRITE_TIMEOUT.0 * 2);
    let reply = actix_rt::time::timeout(limit, request.send().promise).await;
    let reply = reply.wrap_err("the owner of the claim shard did not reply in time")??;
    Ok(message::read_decision(reply.get()?.get_verdict()?)?)
}

/// Reports the outcome of a claimed request to the shard's owner, and retries until it is recorded
/// or [`MAX_REPORT_ATTEMPTS`] have failed.
pub(crate) async fn report(state: Rc<EntryState>, report: ClaimReport) {
    for _ in 0..MAX_REPORT_ATTEMPTS {
        if report_once(&state, &report).await {
            return;
        }
        actix_rt::time::sleep(REPORT_RETRY_DELAY).await;
    }
    log::error!(request = report.request_id.as_str(); "could not report the outcome of a claim; it counts as unknown after the run timeout");
}

async fn report_once(state: &Rc<EntryState>, report: &ClaimReport) -> bool {
    let shard = report.claim.shard();
    if is_owned(state, shard) {
        return report_locally(state, report.clone()).await;
    }
    let Some(link) = owner_link(state, shard).await else {
        return false;
    };
    report_remotely(&link, report).await.unwrap_or(false)
}

/// Records the outcome of a claim whose shard this entry owns; returns whether it was recorded.
pub(crate) async fn report_locally(state: &Rc<EntryState>, report: ClaimReport) -> bool {
    let shard = report.claim.shard();
    let call = state.claims.next_call();
    let (reply, recorded) = oneshot::channel();
    state
        .claims
        .pending_reports
        .borrow_mut()
        .insert(call, reply);
    let now = state.now();
    let event = ClaimEvent::Report { call, report };
    let actions = step(state, shard, |row| row.handle(now, event));
    perform(state, shard, actions);
    recorded.await.unwrap_or(false)
}

async fn report_remotely(link: &PeerLink, report: &ClaimReport) -> Result<bool> {
    let mut request = link.session.settle_request();
    message::write_report(report, request.get().init_report());
    let limit = Duration::from_micros(CLAIM_WRITE_TIMEOUT.0);
    let reply = actix_rt::time::timeout(limit, request.send().promise).await;
    let reply = reply.wrap_err("the owner of the claim shard did not reply in time")??;
    Ok(reply.get()?.get_taken())
}

fn is_owned(state: &EntryState, shard: ShardId) -> bool {
    let shards = state.claims.shards.borrow();
    shards.get(&shard).is_some_and(ClaimShard::is_ready)
}

async fn owner_link(state: &Rc<EntryState>, shard: ShardId) -> Option<PeerLink> {
    let work = WorkScope::Claims(shard);
    leases::refresh_owner(state, work).await;
    let owner = state.leases.owner(work)?;
    state.links.borrow().peer(&owner)
}
