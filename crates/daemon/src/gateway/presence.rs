//! The membership list of entries, kept in the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::id::InstanceId;
use applefold_core::unit::TimeSpan;
use applefold_platform::{StoreCall, StoreChange, StoreLease, StoreReply, OWN_PREFIX};

use super::state::GatewayState;

/// The time for which the registration of an entry outlives it.
const REGISTRATION_TTL: TimeSpan = TimeSpan::from_secs(10);
/// The period of lease renewal and of reading the list.
const REFRESH_PERIOD: Duration = Duration::from_secs(3);
/// The period while no other entry is known, as after a common start.
const ALONE_PERIOD: Duration = Duration::from_secs(1);

/// How often the registration checks for a new era of the store. Entries learn of one at different
/// times, so they do not all register at once.
const ERA_CHECK_PERIOD: Duration = Duration::from_millis(250);

fn entries_prefix() -> String {
    format!("{OWN_PREFIX}entries/")
}

fn own_key(state: &GatewayState) -> String {
    format!("{}{}", entries_prefix(), state.settings().instance)
}

/// Keeps this entry registered and reads the membership list, for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    let mut lease = None;
    loop {
        let renewed = match lease {
            Some(held) => renew(&state, held).await,
            None => None,
        };
        lease = match renewed {
            Some(held) => Some(held),
            None => register(&state).await,
        };
        let era = state.store.era();
        let listed = refresh_peers(&state).await;
        match (lease, listed) {
            (Some(held), OwnListing::Read(bound)) if bound != Some(held) => {
                restore(&state, held).await;
            }
            _ => {}
        }
        let alone = state.peers.borrow().is_empty();
        let period = if alone { ALONE_PERIOD } else { REFRESH_PERIOD };
        let next = state.now() + TimeSpan(period.as_micros() as u64);
        while state.now() < next && state.store.era() == era {
            actix_rt::time::sleep(ERA_CHECK_PERIOD).await;
        }
    }
}

/// Registers this entry under a store lease; `None` if that failed.
async fn register(state: &GatewayState) -> Option<StoreLease> {
    let granted = state.store.call(&StoreCall::Grant(REGISTRATION_TTL)).await;
    let Ok(StoreReply::Leased(Some(lease), _)) = granted else {
        return None;
    };
    write(state, lease).await.then_some(lease)
}

/// Writes the registration under a store lease; returns whether the store has confirmed it.
async fn write(state: &GatewayState, lease: StoreLease) -> bool {
    let address = state.peer_address().to_string().into_bytes();
    let change = StoreChange {
        puts: vec![(own_key(state), address, Some(lease))],
        ..StoreChange::default()
    };
    let written = state.store.call(&StoreCall::Change(change)).await;
    matches!(written, Ok(StoreReply::Changed(_)))
}

/// Writes the registration again if it is not bound to the lease that this entry renews. An earlier
/// write without a reply may have been executed late: the registration would expire with its lease.
async fn restore(state: &GatewayState, held: StoreLease) {
    // The list may be stale, so it is not enough to tell.
    let read = state.store.call(&StoreCall::Get(own_key(state))).await;
    let Ok(StoreReply::Item(item)) = read else {
        return;
    };
    let bound = item.and_then(|item| item.lease);
    if bound == Some(held) {
        return;
    }
    let restored = write(state, held).await;
    log::warn!(lease = held.0, bound = bound.map_or(0, |lease| lease.0), restored;
        "registration of this entry was not bound to its lease; written again");
}

/// Renews the registration. Returns `None` if its lease is gone, so that the entry registers anew.
async fn renew(state: &GatewayState, lease: StoreLease) -> Option<StoreLease> {
    match state.store.call(&StoreCall::Renew(lease)).await {
        Ok(StoreReply::LeaseGone) => None,
        Ok(_) | Err(_) => Some(lease),
    }
}

/// What the membership list says of this entry. It may be stale.
enum OwnListing {
    /// The lease that its registration is bound to; `None` if there is no registration.
    Read(Option<StoreLease>),
    /// The list could not be read.
    Unknown,
}

/// Reads the membership list; keeps the known peers if the store does not reply.
async fn refresh_peers(state: &GatewayState) -> OwnListing {
    let prefix = entries_prefix();
    let call = StoreCall::Range {
        prefix: prefix.clone(),
        after: None,
        stale: true,
    };
    let Ok(StoreReply::Page(page)) = state.store.call(&call).await else {
        return OwnListing::Unknown;
    };
    let own_key = own_key(state);
    let own = page.items.iter().find(|item| item.key == own_key);
    let listed = own.and_then(|item| item.lease);
    let mut entries: BTreeMap<InstanceId, SocketAddr> = BTreeMap::new();
    for item in &page.items {
        let name = item
            .key
            .strip_prefix(&prefix)
            .and_then(|name| name.parse().ok());
        let address = std::str::from_utf8(&item.value).ok();
        let address = address.and_then(|address| address.parse().ok());
        match (name, address) {
            (Some(name), Some(address)) => {
                entries.insert(name, address);
            }
            _ => log::warn!(key = item.key.as_str(); "registration of an entry ignored: malformed"),
        }
    }
    state.set_entry_count(entries.len() as u64);
    entries.remove(&state.settings().instance);
    state.peers.borrow_mut().set_peers(entries);
    OwnListing::Read(listed)
}
