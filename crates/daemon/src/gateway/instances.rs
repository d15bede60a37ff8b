//! Follows the list of backend servers.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::InstanceChange;
use applefold_core::id::BackendId;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use applefold_platform::{
    read_instance, StoreCall, StoreError, StoreEvent, StoreItem, StoreReply, StoreRevision,
    INSTANCE_PREFIX,
};

use super::state::GatewayState;

/// The pause between two looks at the list, as a part of the time for which a backend server
/// serves after it has said that it leaves, in percent. Entries change several times a second,
/// so a watch would return at once; the pause gathers changes and bounds the calls.
const LOOK_PERCENT: u64 = 35;
/// The longest such pause.
const MAX_LOOK_PAUSE: TimeSpan = TimeSpan::from_millis(1_200);
/// How long one look waits for a change.
const LOOK_WAIT: TimeSpan = TimeSpan::from_millis(1_000);
/// How long after the store's return an entry that lapsed meanwhile may still come back;
/// the platform says about two seconds.
const RETURN_TIME: TimeSpan = TimeSpan::from_millis(2_000);
/// The most pages of the list.
const MAX_PAGES: usize = 64;

/// What the list said, between two looks.
#[derive(Default)]
struct ListReader {
    known: Option<StoreRevision>,
    /// Entries that vanished while the store was failing, and when that is believed.
    lapsed: BTreeMap<BackendId, TimePoint>,
    malformed: BTreeSet<String>,
}

/// Keeps the table of backend servers at what the list says, for as long as the process runs.
pub(crate) async fn follow(state: Rc<GatewayState>) {
    let mut reader = ListReader::default();
    loop {
        let looked = match reader.known {
            None => reader.read_all(&state).await,
            Some(after) => reader.look(&state, after).await,
        };
        match looked {
            Ok(at) => reader.known = Some(at),
            Err(StoreError::Compacted) => reader.known = None,
            Err(_) => {}
        }
        reader.settle_lapsed(&state);
        state.tick_health();
        state.pool.tick(state.now());
        let pause = TimeSpan(state.settings().drain.0 * LOOK_PERCENT / 100);
        let pause = Duration::from_micros(pause.min(MAX_LOOK_PAUSE).0);
        actix_rt::time::sleep(pause).await;
    }
}

impl ListReader {
    async fn read_all(&mut self, state: &GatewayState) -> Result<StoreRevision, StoreError> {
        let mut first = None;
        let mut after = None;
        let mut present = BTreeSet::new();
        for _ in 0..MAX_PAGES {
            let call = StoreCall::Range {
                prefix: INSTANCE_PREFIX.to_owned(),
                after: after.clone(),
                stale: false,
            };
            let StoreReply::Page(page) = state.store.call(&call).await? else {
                return Err(StoreError::Unreadable("no page".into()));
            };
            first.get_or_insert(page.at);
            after = page.items.last().map(|item| item.key.clone());
            for item in &page.items {
                present.extend(self.take_item(state, item));
            }
            if !page.truncated || after.is_none() {
                break;
            }
        }
        let table = state.table.borrow();
        let rows = table.rows().map(|row| row.spec.id.clone());
        let missing: Vec<BackendId> = rows.filter(|id| !present.contains(id)).collect();
        drop(table);
        for id in missing {
            self.vanish(state, id);
        }
        state.listed.set(true);
        Ok(first.unwrap_or_default())
    }

    async fn look(
        &mut self,
        state: &GatewayState,
        after: StoreRevision,
    ) -> Result<StoreRevision, StoreError> {
        let call = StoreCall::Watch {
            prefix: INSTANCE_PREFIX.to_owned(),
            after,
            wait: LOOK_WAIT,
        };
        let StoreReply::Events(events, at) = state.store.call(&call).await? else {
            return Err(StoreError::Unreadable("no events".into()));
        };
        for event in events {
            match event {
                StoreEvent::Written(item) => {
                    self.take_item(state, &item);
                }
                StoreEvent::Removed(key) => {
                    let id = key.strip_prefix(INSTANCE_PREFIX).map(str::parse);
                    if let Some(Ok(id)) = id {
                        self.vanish(state, id);
                    }
                }
            }
        }
        Ok(at.max(after))
    }

    fn take_item(&mut self, state: &GatewayState, item: &StoreItem) -> Option<BackendId> {
        let name = item.key.strip_prefix(INSTANCE_PREFIX)?;
        let spec = match read_instance(name, &item.value) {
            Ok(spec) => spec,
            Err(error) => {
                if self.malformed.insert(item.key.clone()) {
                    log::warn!(key = item.key.as_str(), error = error.to_string();
                        "entry of the list ignored");
                }
                return None;
            }
        };
        let (id, service) = (spec.id.clone(), spec.service.clone());
        let (address, role, draining) = (spec.address, spec.role, spec.draining);
        self.lapsed.remove(&id);
        let change = state.table.borrow_mut().upsert(spec, state.now());
        match change {
            Some(InstanceChange::Added) => state.watch_health(&id, &service),
            Some(InstanceChange::Restarted) => {
                state.pool.forget(&id);
                state.forget_health(&id);
                state.watch_health(&id, &service);
            }
            Some(InstanceChange::Changed | InstanceChange::Draining) => {}
            Some(InstanceChange::Removed) | None => return Some(id),
        }
        let rules = state.rules();
        let rule = rules
            .as_ref()
            .and_then(|rules| rules.services.get(&service));
        if let Some(rule) = rule.filter(|rule| rule.memory_tokens > 0) {
            let memory = TokenCount(rule.memory_tokens);
            state.table.borrow_mut().set_memory(&service, memory);
        }
        log::info!(backend = id.as_str(), service = service.as_str(),
            address = address.to_string(), role = role.as_str(), draining,
            revision = item.revision.0, change = format!("{change:?}");
            "backend server listed");
        Some(id)
    }

    /// An entry that lapses while the store fails may only have missed its heartbeats.
    fn vanish(&mut self, state: &GatewayState, id: BackendId) {
        if state.store.is_steady(RETURN_TIME) {
            remove(state, &id);
            return;
        }
        let until = state.now() + RETURN_TIME;
        log::info!(backend = id.as_str(); "backend server lapsed while the store failed");
        state.table.borrow_mut().set_lapsed(&id);
        self.lapsed.entry(id).or_insert(until);
    }

    fn settle_lapsed(&mut self, state: &GatewayState) {
        if !state.store.is_steady(RETURN_TIME) {
            return;
        }
        let now = state.now();
        let over = self.lapsed.iter().filter(|(_, until)| **until <= now);
        let over: Vec<BackendId> = over.map(|(id, _)| id.clone()).collect();
        for id in over {
            self.lapsed.remove(&id);
            remove(state, &id);
        }
    }
}

fn remove(state: &GatewayState, id: &BackendId) {
    if state.table.borrow_mut().remove(id).is_none() {
        return;
    }
    state.pool.forget(id);
    state.forget_health(id);
    log::info!(backend = id.as_str(); "backend server is gone");
}
