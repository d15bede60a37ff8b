//! The duty lease. Its holder is the one entry that reports usage to the platform and orders
//! engines to change their role.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::StoreEra;
use applefold_core::id::{FencingNumber, ScopeId, WindowId};
use applefold_core::lease::{
    HolderName, LeaseAction, LeaseCompletion, LeaseHolder, LeaseOptions, LeaseReply, RecordClaim,
    RecordLease, StoredRecord, TakeoverRule,
};
use applefold_core::rank::NameRank;
use applefold_core::unit::TimeSpan;
use applefold_platform::{
    StoreCall, StoreChange, StoreItem, StoreLease, StoreReply, StoreRevision, OWN_PREFIX,
};
use serde::{Deserialize, Serialize};

use super::state::GatewayState;

const SCOPE: &str = "usage";
/// The period of the lease timer. Several periods fit in [`LEASE_MARGIN`].
const STEP_PERIOD: Duration = Duration::from_millis(150);
/// The time before the end of its lease at which a holder stops acting.
const LEASE_MARGIN: TimeSpan = TimeSpan::from_millis(700);
/// The time between start and first attempt to acquire the lease. By then gossip of the other
/// entries has arrived. Entries that start together spread their attempts over [`START_SPREAD`].
const START_PAUSE: TimeSpan = TimeSpan::from_secs(1);
const START_SPREAD: TimeSpan = TimeSpan::from_secs(2);
/// The time after which a lease held by another entry is checked again.
const RECHECK_DELAY: TimeSpan = TimeSpan::from_secs(1);

/// The fencing numbers of an era of the store. The first holder in an era begins above those of the
/// former ones, which the store may have lost.
const FENCING_PER_ERA: u64 = 1_000_000;

/// The value of the lease key in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct HolderRecord {
    holder: HolderName,
    fencing: FencingNumber,
}

/// This entry's part in the duty lease.
pub(crate) struct DutyLease {
    holder: RefCell<LeaseHolder>,
    /// This entry's claim on the lease key, and the store lease that the key is bound to.
    claim: RefCell<RecordClaim>,
}

impl DutyLease {
    pub(crate) fn new(holder: HolderName, ttl: TimeSpan) -> Self {
        let scope: ScopeId = SCOPE.parse().expect("the name is an identifier");
        let options = LeaseOptions {
            takeover: TakeoverRule::AfterDelivery,
            ..LeaseOptions::new(ttl, LEASE_MARGIN)
        };
        Self {
            claim: RefCell::new(RecordClaim::new(holder.clone())),
            holder: RefCell::new(LeaseHolder::new(scope, holder, options)),
        }
    }

    /// Returns the fencing number if this entry holds the lease now. Call it right before a send,
    /// with no await in between.
    ///
    /// A lease of an earlier era of the store is gone, although its time has not passed.
    pub(crate) fn authority(&self, state: &GatewayState) -> Option<FencingNumber> {
        self.claim.borrow().lease(state.store.era())?;
        let held = self.holder.borrow().authority(state.now());
        held.map(|authority| authority.fencing())
    }
}

fn lease_key() -> String {
    format!("{OWN_PREFIX}duty/holder")
}

/// The key of the first usage window that may be sealed in the current era of the store.
fn era_key() -> String {
    format!("{OWN_PREFIX}duty/era")
}

fn fencing_key() -> String {
    format!("{OWN_PREFIX}duty/fencing")
}

/// Acquires and renews the lease for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    let rank = NameRank::of(SCOPE, state.settings().instance.as_str());
    let pause = START_PAUSE + TimeSpan(rank.value() % START_SPREAD.0);
    actix_rt::time::sleep(Duration::from_micros(pause.0)).await;
    loop {
        let actions = state.duty.holder.borrow_mut().tick(state.now());
        perform(&state, actions).await;
        actix_rt::time::sleep(STEP_PERIOD).await;
    }
}

/// Releases the lease for good, so that another entry can take over at once.
pub(crate) async fn release(state: &GatewayState) {
    let actions = state.duty.holder.borrow_mut().release(state.now());
    perform(state, actions).await;
    // A claim of unknown outcome may still take effect.
    revoke_claims(state).await;
}

/// Releases the lease because a receiver has seen a higher fencing number, and acquires it anew later.
pub(crate) async fn step_down(state: &GatewayState) {
    let actions = state.duty.holder.borrow_mut().step_down(state.now());
    perform(state, actions).await;
    revoke_claims(state).await;
}

/// Revokes the store leases of this entry's claims, so that none of them holds the key or will.
async fn revoke_claims(state: &GatewayState) {
    let leases = state.duty.claim.borrow_mut().release();
    for lease in leases {
        let revoke = StoreCall::Revoke(StoreLease(lease.0));
        let ended = state.store.call(&revoke).await.is_ok();
        log::info!(lease = lease.0, ended; "revoked the store lease of a claim");
    }
}

/// Performs lease actions and those that follow from their replies.
async fn perform(state: &GatewayState, actions: Vec<LeaseAction>) {
    let mut queue = std::collections::VecDeque::from(actions);
    while let Some(action) = queue.pop_front() {
        let answer = match action {
            LeaseAction::Acquire { call, ttl } => {
                let reply = acquire(state, ttl).await;
                Some(LeaseCompletion { call, reply })
            }
            LeaseAction::Renew { call, fencing, .. } => {
                let reply = renew(state, fencing).await;
                Some(LeaseCompletion { call, reply })
            }
            LeaseAction::Release { fencing } => {
                revoke_claims(state).await;
                log::info!(fencing = fencing.0; "lease released");
                None
            }
            LeaseAction::StartActing { fencing } => {
                log::info!(scope = SCOPE, fencing = fencing.0; "authority begins");
                None
            }
            LeaseAction::StopActing { fencing } => {
                log::info!(scope = SCOPE, fencing = fencing.0; "authority ends");
                state.sealer.borrow_mut().reset();
                None
            }
        };
        if let Some(answer) = answer {
            let next = state.duty.holder.borrow_mut().handle(state.now(), answer);
            queue.extend(next);
        }
    }
}

/// Tries to acquire the lease, without a call to the store while a live peer claims to hold it.
///
/// In a new era of the store, a holder that has not heard of it may act until its lease of the
/// former era would have ended.
async fn acquire(state: &GatewayState, ttl: TimeSpan) -> LeaseReply {
    let safe_at = state.store.era_since() + ttl;
    if safe_at > state.now() {
        return LeaseReply::Held {
            holder: None,
            fencing: FencingNumber(0),
            remaining: safe_at.since(state.now()),
        };
    }
    if state.peers.borrow().is_lease_held(state.now()) {
        return LeaseReply::Held {
            holder: None,
            fencing: FencingNumber(0),
            remaining: RECHECK_DELAY,
        };
    }
    match try_acquire(state, ttl).await {
        Some(reply) => reply,
        None => LeaseReply::Failed,
    }
}

/// Acquires the lease unless it is held; `None` if the outcome is unknown or another entry won the
/// race.
async fn try_acquire(state: &GatewayState, ttl: TimeSpan) -> Option<LeaseReply> {
    let era = state.store.era();
    let current = get(state, lease_key()).await?;
    if let Some(item) = current {
        return Some(held_by(state, &item, era));
    }
    let last = get(state, fencing_key()).await?;
    let fencing = last.as_ref().map_or(FencingNumber(0), read_fencing).next();
    let first = FencingNumber(era.number() * FENCING_PER_ERA);
    let new_era = fencing < first;
    let may_have_sealed = last.is_some() || state.store.came_back();
    let fencing = fencing.max(first);
    let first_window = first_sealable(state, new_era && may_have_sealed).await?;
    let lease = match state.store.call(&StoreCall::Grant(ttl)).await.ok()? {
        StoreReply::Leased(Some(lease), _) => lease,
        _ => return None,
    };
    let holder = state.duty.holder.borrow().holder().clone();
    let record = HolderRecord { holder, fencing };
    let record = serde_json::to_vec(&record).ok()?;
    let revision = last.map_or(StoreRevision(0), |item| item.revision);
    let mut change = StoreChange {
        expected: vec![(lease_key(), StoreRevision(0)), (fencing_key(), revision)],
        puts: vec![
            (lease_key(), record, Some(lease)),
            (fencing_key(), fencing.to_string().into_bytes(), None),
        ],
        removed: Vec::new(),
    };
    if first_window > WindowId(0) {
        let value = first_window.to_string().into_bytes();
        change.puts.push((era_key(), value, None));
    }
    // A reply in another era tells nothing about this one, and a revision may be given out twice.
    if state.store.era() != era {
        return None;
    }
    let claimed = RecordLease(lease.0);
    state.duty.claim.borrow_mut().begin(claimed, era);
    match state.store.call(&StoreCall::Change(change)).await {
        Ok(StoreReply::Changed(_)) => {
            state.sealer.borrow_mut().leave_before(first_window);
            state.duty.claim.borrow_mut().confirm(claimed);
            log::info!(lease = lease.0, fencing = fencing.0; "duty lease claimed");
            Some(LeaseReply::Granted { fencing })
        }
        Ok(reply) => {
            state.duty.claim.borrow_mut().settle(claimed);
            let ended = state.store.call(&StoreCall::Revoke(lease)).await;
            log::debug!(lease = lease.0, ended = ended.is_ok();
                "duty lease not claimed: another claim was faster");
            // It may have been an earlier claim of this entry whose reply was lost.
            let StoreReply::Conflict(items) = reply else {
                return None;
            };
            let standing = items.iter().find(|item| item.key == lease_key());
            standing.map(|item| held_by(state, item, era))
        }
        Err(error) => {
            log::info!(lease = lease.0, fencing = fencing.0, error = error.to_string();
                "outcome of a claim on the duty lease is unknown");
            None
        }
    }
}

/// Returns the first usage window that a holder in this era of the store may seal. In a new era, the
/// windows that have ended may have been sealed and reported before, and the seals lost. `None` if
/// the store did not say.
async fn first_sealable(state: &GatewayState, new_era: bool) -> Option<WindowId> {
    if new_era {
        let counter = state.counter.borrow();
        return Some(counter.window_at(state.cluster_time()));
    }
    let item = get(state, era_key()).await?;
    let text = item.and_then(|item| String::from_utf8(item.value).ok());
    let window = text.and_then(|text| text.parse().ok());
    Some(window.unwrap_or_default())
}

async fn renew(state: &GatewayState, fencing: FencingNumber) -> LeaseReply {
    let lost = LeaseReply::Held {
        holder: None,
        fencing,
        remaining: TimeSpan::ZERO,
    };
    let era = state.store.era();
    let lease = state.duty.claim.borrow().lease(era);
    let Some(lease) = lease else {
        log::warn!(fencing = fencing.0, era = era.number();
            "lease lost: the record is not this entry's in the current era of the store");
        return lost;
    };
    match state
        .store
        .call(&StoreCall::Renew(StoreLease(lease.0)))
        .await
    {
        Ok(StoreReply::Leased(..)) => LeaseReply::Granted { fencing },
        Ok(_) => {
            log::info!(lease = lease.0, fencing = fencing.0; "lease lost: its store lease has ended");
            state.duty.claim.borrow_mut().expire();
            lost
        }
        Err(_) => LeaseReply::Failed,
    }
}

/// Reads an item; the outer `None` means that the call failed.
async fn get(state: &GatewayState, key: String) -> Option<Option<StoreItem>> {
    match state.store.call(&StoreCall::Get(key)).await.ok()? {
        StoreReply::Item(item) => Some(item),
        _ => None,
    }
}

/// Returns the reply for a lease that the holder in `item` has. If that is this entry, by a claim whose
/// reply was lost, it renews the store lease that the item is bound to from now on.
fn held_by(state: &GatewayState, item: &StoreItem, era: StoreEra) -> LeaseReply {
    let record: Option<HolderRecord> = serde_json::from_slice(&item.value).ok();
    let Some(HolderRecord { holder, fencing }) = record else {
        log::warn!(key = item.key.as_str();
            "lease record cannot be decoded; the holder is unknown");
        return LeaseReply::Held {
            holder: None,
            fencing: FencingNumber(0),
            remaining: RECHECK_DELAY,
        };
    };
    let record = StoredRecord {
        holder,
        fencing,
        lease: item.lease.map(|lease| RecordLease(lease.0)),
    };
    let own = state.duty.claim.borrow_mut().adopt(&record, era);
    if own {
        log::info!(lease = record.lease.map_or(0, |lease| lease.0), fencing = fencing.0;
            "an earlier claim on the duty lease has taken effect; renewing its store lease");
    }
    LeaseReply::Held {
        holder: own.then_some(record.holder),
        fencing,
        remaining: RECHECK_DELAY,
    }
}

/// Returns the last fencing number. Falls back to the item's revision, which also grows with each
/// change, if the value is malformed.
fn read_fencing(item: &StoreItem) -> FencingNumber {
    let text = std::str::from_utf8(&item.value).ok();
    let number = text.and_then(|text| text.parse().ok());
    number.unwrap_or_else(|| {
        log::warn!(key = item.key.as_str(), revision = item.revision.0;
            "fencing number cannot be decoded; using the item's revision");
        FencingNumber(item.revision.0)
    })
}
