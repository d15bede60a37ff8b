//! Claims on idempotency keys: those that this entry owns, and the way to others.

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
use crate::link::dial::PeerLink;

const TICK_PERIOD: Duration = Duration::from_millis(50);
const RETRY_SOON: TimeSpan = TimeSpan::from_secs(1);
/// After this time without a report, a request's outcome counts as unknown: the
/// entry that ran it may have died.
const RUN_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);
/// How often the report of an outcome is repeated until its owner takes it.
const MAX_REPORT_ATTEMPTS: u32 = 20;
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The shards, and who waits for their answers.
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

/// Takes a shard over.
pub(crate) fn begin(state: &Rc<EntryState>, shard: ShardId, fencing: FencingNumber) {
    let now = state.now();
    let actions = step(state, shard, |row| row.begin(now, fencing));
    perform(state, shard, actions);
}

/// Gives a shard up.
pub(crate) fn end(state: &Rc<EntryState>, shard: ShardId) {
    let now = state.now();
    let actions = step(state, shard, |row| row.end(now));
    perform(state, shard, actions);
}

/// Does what is timed.
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

/// Asks the owner of a claim's shard, which may be this entry.
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
        log::warn!(code = refusal.code.number(); "claim was not answered: {error:#}");
        // It may have been granted; as nothing is sent, the key has to be free again.
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
    message::write_ask(claim, request.get().init_ask());
    let limit = Duration::from_micros(CLAIM_WRITE_TIMEOUT.0 * 2);
    let reply = actix_rt::time::timeout(limit, request.send().promise).await;
    let reply = reply.wrap_err("the shard's owner did not answer in time")??;
    Ok(message::read_verdict(reply.get()?.get_verdict()?)?)
}

/// Tells the owner what became of a claimed request, until it is taken.
pub(crate) async fn report(state: Rc<EntryState>, report: ClaimReport) {
    for _ in 0..MAX_REPORT_ATTEMPTS {
        if report_once(&state, &report).await {
            return;
        }
        actix_rt::time::sleep(REPORT_RETRY_DELAY).await;
    }
    log::error!(request = report.request_id.as_str(); "the outcome of a claim was not taken");
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

/// Notes the outcome of a claim whose shard this entry owns.
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
    let reply = reply.wrap_err("the shard's owner did not answer in time")??;
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
