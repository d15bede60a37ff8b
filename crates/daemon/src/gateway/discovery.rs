//! Service discovery: keeps the backend list up to date from the store and from other entries.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::{ChangeSource, ListChange, ListedState, StoreEra, StorePosition};
use applefold_core::id::BackendId;
use applefold_core::unit::TimeSpan;
use applefold_platform::{
    read_registration, StoreCall, StoreError, StoreEvent, StoreItem, StoreReply, StoreRevision,
    INSTANCE_PREFIX,
};

use super::replicas::list_policy;
use super::state::GatewayState;
use super::{gossip, peer_sync};

/// The long-poll time of one read of changes. It is short, since changes collect in the pause
/// between reads.
const POLL_WAIT: TimeSpan = TimeSpan::from_millis(1);
/// The longest pause between two runs of the timers.
const TICK_PERIOD: TimeSpan = TimeSpan::from_millis(400);

/// Keeps the table of backend servers in step with the list, for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    let mut reader = ListReader::default();
    loop {
        let round = gossip::round_interval(&state);
        let policy = list_policy(state.settings().drain, round);
        let rank = state.read_rank();
        let replica = &state.replicas.list;
        let wait = replica.next_read_at(&policy, rank).since(state.now());
        let wait = Duration::from_micros(wait.min(TICK_PERIOD).0);
        tokio::select! {
            () = actix_rt::time::sleep(wait) => {}
            () = replica.behind.notified() => peer_sync::fetch_list_changes(&state).await,
        }
        // A peer may have confirmed the replica meanwhile.
        if replica.next_read_at(&policy, rank) <= state.now() {
            let result = reader.poll(&state).await;
            if let Err(error) = result {
                if matches!(error, StoreError::Compacted | StoreError::TooLarge) {
                    reader.compacted = true;
                } else {
                    replica.note_failure(policy.retry_delay(rank), state.now());
                }
            }
        }
        state.backend_list.remove_expired(&state);
        state.tick_health();
        state.pool.close_expired(state.now());
    }
}

/// Reads the backend list from the store.
#[derive(Default)]
struct ListReader {
    /// Whether the store has compacted the history after the replica's position, or there is more of it than is read.
    compacted: bool,
    /// Keys whose malformed value has been logged.
    malformed: BTreeSet<String>,
}

impl ListReader {
    /// Reads the changes since the replica's position, or the full list if there is none or its
    /// history is compacted.
    async fn poll(&mut self, state: &GatewayState) -> Result<(), StoreError> {
        let own = state.replicas.list.position();
        let asked_at = state.now();
        // A position of an earlier era means nothing to the store now.
        let era = state.store.era();
        let known = own.filter(|own| !self.compacted && own.era() == era);
        let position = match known {
            None => self.read_all(state).await?,
            Some(after) => self.read_changes(state, after).await?,
        };
        self.compacted = false;
        let changed = state.backend_list.changed();
        state.replicas.list.confirm(position, changed, asked_at);
        state.list_loaded.set(true);
        Ok(())
    }

    /// Reads the full list; returns the store position of its first page. It reads every page or
    /// fails: what is missing from a part of the list is not gone.
    async fn read_all(&mut self, state: &GatewayState) -> Result<StorePosition, StoreError> {
        let mut start = None;
        let mut after = None;
        let mut present = BTreeSet::new();
        loop {
            let call = StoreCall::Range {
                prefix: INSTANCE_PREFIX.to_owned(),
                after: after.clone(),
                stale: false,
            };
            let (reply, era) = state.store.call_in_era(&call).await?;
            let StoreReply::Page(page) = reply else {
                return Err(StoreError::Unreadable("no page".into()));
            };
            let position = StorePosition::new(era, page.at.0);
            if start.is_some_and(|start: StorePosition| start.era() != era) {
                return Err(StoreError::Compacted);
            }
            start.get_or_insert(position);
            let last = page.items.last().map(|item| item.key.clone());
            if page.truncated && last <= after {
                return Err(StoreError::Unreadable(
                    "a page that leads no further".into(),
                ));
            }
            after = last;
            for item in &page.items {
                present.extend(self.apply_item(state, item, era, ChangeSource::StoreScan));
            }
            if !page.truncated {
                break;
            }
        }
        let position = start.unwrap_or_default();
        for id in state.backend_list.missing(&present) {
            mark_missing(state, id, position, ChangeSource::StoreScan);
        }
        state.backend_list.finish_snapshot(position);
        Ok(position)
    }

    /// Reads the changes after `after`; returns the position up to which they go.
    async fn read_changes(
        &mut self,
        state: &GatewayState,
        after: StorePosition,
    ) -> Result<StorePosition, StoreError> {
        let call = StoreCall::Watch {
            prefix: INSTANCE_PREFIX.to_owned(),
            after: StoreRevision(after.revision()),
            wait: POLL_WAIT,
        };
        let (reply, era) = state.store.call_in_era(&call).await?;
        if era != after.era() {
            return Err(StoreError::Compacted);
        }
        let StoreReply::Events(events, at) = reply else {
            return Err(StoreError::Unreadable("no events".into()));
        };
        for event in events {
            match event {
                StoreEvent::Written(item) => {
                    self.apply_item(state, &item, era, ChangeSource::StoreEvent);
                }
                StoreEvent::Removed(key, revision) => {
                    let id = key.strip_prefix(INSTANCE_PREFIX).map(str::parse);
                    if let Some(Ok(id)) = id {
                        mark_missing(
                            state,
                            id,
                            StorePosition::new(era, revision.0),
                            ChangeSource::StoreEvent,
                        );
                    }
                }
            }
        }
        Ok(StorePosition::new(era, at.0).max(after))
    }

    /// Applies the registration of one backend server; returns its name if it is valid.
    fn apply_item(
        &mut self,
        state: &GatewayState,
        item: &StoreItem,
        era: StoreEra,
        source: ChangeSource,
    ) -> Option<BackendId> {
        let name = item.key.strip_prefix(INSTANCE_PREFIX)?;
        match read_registration(name, &item.value) {
            Ok(spec) => {
                let id = spec.id.clone();
                let change = ListChange {
                    id: id.clone(),
                    position: StorePosition::new(era, item.revision.0),
                    state: ListedState::Listed(spec),
                };
                state.backend_list.apply_change(state, change, source);
                Some(id)
            }
            Err(error) => {
                if self.malformed.insert(item.key.clone()) {
                    log::warn!(key = item.key.as_str(), error = error.to_string();
                        "registration ignored: malformed");
                }
                None
            }
        }
    }
}

/// Marks a backend server whose registration is missing: as gone if no outage of the store can have kept
/// its heartbeats out, else as expired.
fn mark_missing(
    state: &GatewayState,
    id: BackendId,
    position: StorePosition,
    source: ChangeSource,
) {
    let now = state.now();
    let missing = match state.replicas.list.continuity().is_removal(now, now) {
        true => ListedState::Removed,
        false => ListedState::Expired,
    };
    let change = ListChange {
        id,
        position,
        state: missing,
    };
    state.backend_list.apply_change(state, change, source);
}
