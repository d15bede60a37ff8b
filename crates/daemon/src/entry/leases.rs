//! The leases of this entry: acquires and renews them, and starts and stops the work done under
//! them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::claim::CLAIM_SHARDS;
use applefold_core::fence::LeaseStatus;
use applefold_core::id::{FencingNumber, InstanceId, ScopeId, ShardId};
use applefold_core::lease::{
    HolderName, LeaseAction, LeaseCompletion, LeaseHolder, LeaseOptions, LeaseReply,
};
use applefold_core::rank;
use applefold_core::unit::{TimePoint, TimeSpan};

use super::state::EntryState;
use super::{claims, fleet, usage};
use crate::platform::message::{LeaseOperation, LeaseRequest};

/// The period of lease timers. Several fit into the renewal margin of a lease.
const STEP_PERIOD: Duration = Duration::from_millis(200);
/// The number of entries that contend for one lease.
const MAX_CANDIDATES: usize = 3;
/// How long the last known owner of a lease is used before it is read again.
const OWNER_TTL: TimeSpan = TimeSpan::from_secs(2);
const USAGE_SCOPE: &str = "usage";
const FLEET_SCOPE: &str = "fleet";

/// The kind of work that one lease protects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WorkScope {
    /// Serving the claims of a shard.
    Claims(ShardId),
    /// Sealing and reporting usage.
    Usage,
    /// Autoscaling: ordering and releasing backend servers.
    Fleet,
}

impl WorkScope {
    fn all() -> impl Iterator<Item = Self> {
        let shards = (0..CLAIM_SHARDS).map(|number| Self::Claims(ShardId(number)));
        shards.chain([Self::Usage, Self::Fleet])
    }

    /// Returns the name of the lease.
    pub(crate) fn scope_id(self) -> ScopeId {
        let name = match self {
            Self::Claims(shard) => format!("claims:{shard}"),
            Self::Usage => USAGE_SCOPE.to_owned(),
            Self::Fleet => FLEET_SCOPE.to_owned(),
        };
        name.parse().expect("the name is an identifier")
    }

    fn options(self) -> LeaseOptions {
        match self {
            Self::Claims(_) => LeaseOptions::store_fenced(),
            Self::Usage | Self::Fleet => LeaseOptions::default(),
        }
    }
}

/// One lease.
struct LeaseRow {
    lease: LeaseHolder,
    /// The holder at the last reply of the platform; `None` if the lease was free or its
    /// holder unknown.
    owner: Option<InstanceId>,
    /// When the owner was last updated.
    checked_at: TimePoint,
}

/// All leases, as seen by this entry.
pub(crate) struct LeaseTable {
    rows: RefCell<BTreeMap<WorkScope, LeaseRow>>,
}

/// A lease, for reports to operators.
pub(crate) struct LeaseSummary {
    /// The name of the lease.
    pub(crate) scope: ScopeId,
    /// Its last known owner.
    pub(crate) owner: Option<InstanceId>,
    /// The fencing number, if this entry holds the lease.
    pub(crate) fencing: Option<FencingNumber>,
}

impl LeaseTable {
    pub(crate) fn new(holder: &HolderName) -> Self {
        let rows = WorkScope::all().map(|work| {
            let lease = LeaseHolder::new(work.scope_id(), holder.clone(), work.options());
            let row = LeaseRow {
                lease,
                owner: None,
                checked_at: TimePoint::START,
            };
            (work, row)
        });
        let rows = RefCell::new(rows.collect());
        Self { rows }
    }

    /// Calls `look` with a lease, in the same step as the action that needs it.
    pub(crate) fn with<T, F>(&self, work: WorkScope, look: F) -> Option<T>
    where
        F: FnOnce(&LeaseHolder) -> T,
    {
        self.rows.borrow().get(&work).map(|row| look(&row.lease))
    }

    /// Returns the last known owner of a lease.
    pub(crate) fn owner(&self, work: WorkScope) -> Option<InstanceId> {
        self.rows.borrow().get(&work)?.owner.clone()
    }

    pub(crate) fn summaries(&self, state: &EntryState) -> Vec<LeaseSummary> {
        let rows = self.rows.borrow();
        let summaries = rows.values().map(|row| LeaseSummary {
            scope: row.lease.scope().clone(),
            owner: row.owner.clone(),
            fencing: row.lease.authority(state.now()).map(|held| held.fencing()),
        });
        summaries.collect()
    }
}

/// Acquires and renews leases until the process ends. A draining process requests none.
pub(crate) async fn run(state: Rc<EntryState>) {
    loop {
        if !state.gate.is_closing() {
            let wanted = WorkScope::all().filter(|work| is_candidate(&state, *work));
            for work in wanted {
                let actions = step(&state, work, LeaseHolder::tick);
                perform(&state, work, actions);
            }
        }
        actix_rt::time::sleep(STEP_PERIOD).await;
    }
}

/// Returns whether this entry requests a lease: it holds it, or it ranks among the candidates by
/// rendezvous hashing. Few entries are candidates, so that the calls to the platform do not grow
/// with the number of entries.
fn is_candidate(state: &EntryState, work: WorkScope) -> bool {
    let held = state
        .leases
        .with(work, |lease| lease.authority(state.now()).is_some());
    if held.unwrap_or(false) {
        return true;
    }
    let entries = state.entries.borrow();
    let scope = work.scope_id();
    let candidates = rank::highest(scope.as_str(), entries.iter(), MAX_CANDIDATES);
    candidates.contains(&state.settings.instance)
}

/// Releases all leases, so that successors need not wait for them to expire.
pub(crate) async fn release_all(state: &Rc<EntryState>) {
    for work in WorkScope::all() {
        let actions = step(state, work, LeaseHolder::release);
        for action in actions {
            match action {
                LeaseAction::Release { fencing } => {
                    let operation = LeaseOperation::Release { fencing };
                    call_platform(state, work, operation).await;
                }
                LeaseAction::StopActing { .. } => end_work(state, work),
                LeaseAction::Acquire { .. }
                | LeaseAction::Renew { .. }
                | LeaseAction::StartActing { .. } => {}
            }
        }
    }
}

fn step<F>(state: &EntryState, work: WorkScope, decide: F) -> Vec<LeaseAction>
where
    F: FnOnce(&mut LeaseHolder, TimePoint) -> Vec<LeaseAction>,
{
    let mut rows = state.leases.rows.borrow_mut();
    let row = rows.get_mut(&work);
    row.map_or_else(Vec::new, |row| decide(&mut row.lease, state.now()))
}

fn perform(state: &Rc<EntryState>, work: WorkScope, actions: Vec<LeaseAction>) {
    for action in actions {
        match action {
            LeaseAction::Acquire { call, ttl } => {
                spawn_call(state, work, call, LeaseOperation::Acquire { ttl });
            }
            LeaseAction::Renew { call, fencing, ttl } => {
                spawn_call(state, work, call, LeaseOperation::Renew { fencing, ttl });
            }
            LeaseAction::Release { fencing } => {
                let state = state.clone();
                let operation = LeaseOperation::Release { fencing };
                actix_rt::spawn(async move { call_platform(&state, work, operation).await });
            }
            LeaseAction::StartActing { fencing } => begin_work(state, work, fencing),
            LeaseAction::StopActing { .. } => end_work(state, work),
        }
    }
}

fn spawn_call(
    state: &Rc<EntryState>,
    work: WorkScope,
    call: applefold_core::claim::store::CallNumber,
    operation: LeaseOperation,
) {
    let state = state.clone();
    actix_rt::spawn(async move {
        let reply = call_platform(&state, work, operation).await;
        record_owner(&state, work, &reply);
        let completion = LeaseCompletion { call, reply };
        let actions = step(&state, work, |lease, now| lease.handle(now, completion));
        perform(&state, work, actions);
    });
}

async fn call_platform(
    state: &Rc<EntryState>,
    work: WorkScope,
    operation: LeaseOperation,
) -> LeaseReply {
    let holder = state.holder.clone();
    let request = LeaseRequest { holder, operation };
    state.platform.lease(work.scope_id(), request).await
}

fn record_owner(state: &EntryState, work: WorkScope, reply: &LeaseReply) {
    let owner = match reply {
        LeaseReply::Granted { .. } => Some(state.settings.instance.clone()),
        LeaseReply::Held { holder, .. } => holder.as_ref().and_then(instance_of),
        LeaseReply::Failed => return,
    };
    set_owner(state, work, owner);
}

/// Returns the instance of a lease holder, whose name is `instance:incarnation`.
fn instance_of(holder: &HolderName) -> Option<InstanceId> {
    let (instance, _) = holder.as_str().rsplit_once(':')?;
    instance.parse().ok()
}

/// Reads the owner of a lease from the platform, unless it was updated within [`OWNER_TTL`].
///
/// Entries that do not contend for the lease learn its owner only this way.
pub(crate) async fn refresh_owner(state: &Rc<EntryState>, work: WorkScope) {
    let now = state.now();
    let fresh = |row: &LeaseRow| now.since(row.checked_at) < OWNER_TTL;
    let known = state.leases.rows.borrow().get(&work).is_some_and(fresh);
    if known {
        return;
    }
    let reading = state.platform.read_lease(work.scope_id()).await;
    let owner = match reading {
        LeaseStatus::Held { holder, .. } => instance_of(&holder),
        LeaseStatus::Free => None,
        LeaseStatus::Unreadable => return,
    };
    set_owner(state, work, owner);
}

fn set_owner(state: &EntryState, work: WorkScope, owner: Option<InstanceId>) {
    let now = state.now();
    if let Some(row) = state.leases.rows.borrow_mut().get_mut(&work) {
        row.owner = owner;
        row.checked_at = now;
    }
}

fn begin_work(state: &Rc<EntryState>, work: WorkScope, fencing: FencingNumber) {
    log::info!(scope = work.scope_id().as_str(), fencing = fencing.0; "authority has begun");
    match work {
        WorkScope::Claims(shard) => claims::begin(state, shard, fencing),
        WorkScope::Usage => usage::begin(state, fencing),
        WorkScope::Fleet => fleet::begin(state, fencing),
    }
}

fn end_work(state: &Rc<EntryState>, work: WorkScope) {
    log::info!(scope = work.scope_id().as_str(); "authority has ended");
    match work {
        WorkScope::Claims(shard) => claims::end(state, shard),
        WorkScope::Usage => usage::end(state),
        WorkScope::Fleet => fleet::end(state),
    }
}
