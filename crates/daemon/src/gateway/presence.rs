//! The list of entries, kept in the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::id::InstanceId;
use applefold_core::unit::TimeSpan;
use applefold_platform::{StoreCall, StoreChange, StoreLease, StoreReply, OWN_PREFIX};

use super::state::GatewayState;

/// How long an entry's line outlives it.
const PRESENCE_TTL: TimeSpan = TimeSpan::from_secs(10);
const PRESENCE_PERIOD: Duration = Duration::from_secs(3);
/// The pause while no other entry is known, as at a common start.
const LONELY_PERIOD: Duration = Duration::from_secs(1);

fn presence_prefix() -> String {
    format!("{OWN_PREFIX}entries/")
}

/// Keeps this entry's line, and learns of the others, for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    let mut lease = None;
    loop {
        lease = match lease {
            Some(held) => renew(&state, held).await,
            None => enter(&state).await,
        };
        look(&state).await;
        let lonely = state.peers.borrow().is_empty();
        let period = if lonely {
            LONELY_PERIOD
        } else {
            PRESENCE_PERIOD
        };
        actix_rt::time::sleep(period).await;
    }
}

async fn enter(state: &GatewayState) -> Option<StoreLease> {
    let address = state.peer_address();
    let granted = state.store.call(&StoreCall::Grant(PRESENCE_TTL)).await;
    let Ok(StoreReply::Leased(Some(lease), _)) = granted else {
        return None;
    };
    let key = format!("{}{}", presence_prefix(), state.settings().instance);
    let change = StoreChange {
        puts: vec![(key, address.to_string().into_bytes(), Some(lease))],
        ..StoreChange::default()
    };
    let entered = state.store.call(&StoreCall::Change(change)).await;
    matches!(entered, Ok(StoreReply::Changed(_))).then_some(lease)
}

async fn renew(state: &GatewayState, lease: StoreLease) -> Option<StoreLease> {
    match state.store.call(&StoreCall::Renew(lease)).await {
        Ok(StoreReply::LeaseGone) => None,
        Ok(_) | Err(_) => Some(lease),
    }
}

async fn look(state: &GatewayState) {
    let prefix = presence_prefix();
    let call = StoreCall::Range {
        prefix: prefix.clone(),
        after: None,
        stale: true,
    };
    let Ok(StoreReply::Page(page)) = state.store.call(&call).await else {
        return;
    };
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
            _ => log::warn!(key = item.key.as_str(); "line of the list of entries ignored"),
        }
    }
    state.set_entry_count(entries.len() as u64);
    entries.remove(&state.settings().instance);
    state.peers.borrow_mut().set_peers(entries);
}
