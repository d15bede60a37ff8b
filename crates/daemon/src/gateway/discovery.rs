//! Follows the list of backend servers, in the store or by what other entries pass on.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::{ListChange, ListedState, StorePosition};
use applefold_core::id::BackendId;
use applefold_core::unit::TimeSpan;
use applefold_platform::{
    read_registration, StoreCall, StoreError, StoreEvent, StoreItem, StoreReply, StoreRevision,
    INSTANCE_PREFIX,
};

use super::backend_list::{ChangeSource, RETURN_TIME};
use super::replicas::list_policy;
use super::state::GatewayState;
use super::{gossip, peer_sync};

/// How long one look waits for a change: the pause between looks gathers them.
const LOOK_WAIT: TimeSpan = TimeSpan::from_millis(1);
/// The longest pause between two checks of what is timed.
const TICK_PERIOD: TimeSpan = TimeSpan::from_millis(400);
/// The most pages of the list.
const MAX_PAGES: usize = 64;

/// Keeps the table of backend servers at what the list says, for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    let mut reader = ListReader::default();
    loop {
        let round = gossip::round_interval(&state);
        let policy = list_policy(state.settings().drain, round);
        let place = state.reader_place();
        let book = &state.replicas.list;
        let wait = book.due(&policy, place).since(state.now());
        let wait = Duration::from_micros(wait.min(TICK_PERIOD).0);
        tokio::select! {
            () = actix_rt::time::sleep(wait) => {}
            () = book.behind.notified() => peer_sync::fetch_list_changes(&state).await,
        }
        // News may have come meanwhile.
        if book.due(&policy, place) <= state.now() {
            let looked = reader.look(&state).await;
            if let Err(error) = looked {
                if error == StoreError::Compacted {
                    reader.compacted = true;
                } else {
                    book.note_failure(policy.retry_pause(place), state.now());
                }
            }
        }
        state.backend_list.settle(&state);
        state.tick_health();
        state.pool.close_expired(state.now());
    }
}

#[derive(Default)]
struct ListReader {
    /// Whether the store has no history from this entry's position on.
    compacted: bool,
    malformed: BTreeSet<String>,
}

impl ListReader {
    async fn look(&mut self, state: &GatewayState) -> Result<(), StoreError> {
        let known = state.replicas.list.position();
        let asked_at = state.now();
        let position = match known.filter(|_| !self.compacted) {
            None => self.read_all(state).await?,
            Some(after) => self.read_changes(state, after).await?,
        };
        self.compacted = false;
        let changed = state.backend_list.changed();
        state.replicas.list.confirm(position, changed, asked_at);
        state.list_loaded.set(true);
        Ok(())
    }

    async fn read_all(&mut self, state: &GatewayState) -> Result<StorePosition, StoreError> {
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
                present.extend(self.take_item(state, item, ChangeSource::Store));
            }
            if !page.truncated || after.is_none() {
                break;
            }
        }
        let position = StorePosition(first.unwrap_or_default().0);
        for id in state.backend_list.missing(&present) {
            vanish(state, id, position, ChangeSource::Store);
        }
        Ok(position)
    }

    async fn read_changes(
        &mut self,
        state: &GatewayState,
        after: StorePosition,
    ) -> Result<StorePosition, StoreError> {
        let call = StoreCall::Watch {
            prefix: INSTANCE_PREFIX.to_owned(),
            after: StoreRevision(after.0),
            wait: LOOK_WAIT,
        };
        let StoreReply::Events(events, at) = state.store.call(&call).await? else {
            return Err(StoreError::Unreadable("no events".into()));
        };
        for event in events {
            match event {
                StoreEvent::Written(item) => {
                    self.take_item(state, &item, ChangeSource::Change);
                }
                StoreEvent::Removed(key, revision) => {
                    let id = key.strip_prefix(INSTANCE_PREFIX).map(str::parse);
                    if let Some(Ok(id)) = id {
                        vanish(state, id, StorePosition(revision.0), ChangeSource::Change);
                    }
                }
            }
        }
        Ok(StorePosition(at.0).max(after))
    }

    fn take_item(
        &mut self,
        state: &GatewayState,
        item: &StoreItem,
        source: ChangeSource,
    ) -> Option<BackendId> {
        let name = item.key.strip_prefix(INSTANCE_PREFIX)?;
        match read_registration(name, &item.value) {
            Ok(spec) => {
                let id = spec.id.clone();
                let row = ListChange {
                    id: id.clone(),
                    position: StorePosition(item.revision.0),
                    state: ListedState::Listed(spec),
                };
                state.backend_list.apply_change(state, row, source);
                Some(id)
            }
            Err(error) => {
                if self.malformed.insert(item.key.clone()) {
                    log::warn!(key = item.key.as_str(), error = error.to_string();
                        "entry of the list ignored");
                }
                None
            }
        }
    }
}

fn vanish(state: &GatewayState, id: BackendId, position: StorePosition, source: ChangeSource) {
    let listed = match state.store.is_steady(RETURN_TIME) {
        true => ListedState::Gone,
        false => ListedState::Lapsed,
    };
    let row = ListChange {
        id,
        position,
        state: listed,
    };
    state.backend_list.apply_change(state, row, source);
}
