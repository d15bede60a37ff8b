//! This entry's replica of the backend list, updated from the store and by other entries.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use applefold_core::direct::{
    ChangeOrigin, ListChange, ListDelta, ListedState, ServerChange, ServerSpec, StorePosition,
    VersionedList,
};
use applefold_core::id::BackendId;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};

use super::list_updates::{ChangeQueue, ChangeRecord, ListUpdate};
use super::state::GatewayState;

/// How long after a store outage a registration that expired meanwhile may still come back. The
/// platform states about two seconds.
pub(crate) const RETURN_TIME: TimeSpan = TimeSpan::from_millis(2_000);
/// The age up to which an entry accepts its first list from a peer. An older one may still hold
/// backend servers that are gone.
const MAX_FIRST_AGE: TimeSpan = TimeSpan::from_secs(2);

/// The source of a change of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeSource {
    /// A change event of the store, which is gossiped to the other entries.
    StoreEvent,
    /// A full read of the store.
    StoreScan,
    /// Another entry.
    Peer,
}

impl ChangeSource {
    const fn origin(self) -> ChangeOrigin {
        match self {
            Self::StoreEvent | Self::Peer => ChangeOrigin::Change,
            Self::StoreScan => ChangeOrigin::Snapshot,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::StoreEvent | Self::StoreScan => "store",
            Self::Peer => "another entry",
        }
    }
}

/// This entry's replica of the list of backend servers.
#[derive(Debug, Default)]
pub(crate) struct BackendList {
    versions: RefCell<VersionedList>,
    /// Changes to gossip.
    unsent: RefCell<ChangeQueue>,
    /// Backend servers whose registrations expired during a store outage, and until when they may
    /// come back.
    expired: RefCell<BTreeMap<BackendId, TimePoint>>,
}

impl BackendList {
    /// Returns the store position of the last change of the list.
    pub(crate) fn changed(&self) -> StorePosition {
        self.versions.borrow().last_change()
    }

    /// Returns the backend servers on the list that are not in `present`.
    pub(crate) fn missing(&self, present: &BTreeSet<BackendId>) -> Vec<BackendId> {
        let versions = self.versions.borrow();
        let missing = versions.present_ids().filter(|id| !present.contains(*id));
        missing.cloned().collect()
    }

    /// Returns the next changes to gossip, if any.
    pub(crate) fn next_update(&self, state: &GatewayState) -> Option<ListUpdate> {
        let position = state.replicas.list.position()?;
        let confirmed_at = state.replicas.list.confirmed_at()?;
        let batch = self.unsent.borrow_mut().next()?;
        let age = state.now().since(confirmed_at);
        Some(ListUpdate {
            after: Some(batch.after),
            position: batch.up_to.unwrap_or(position.0).min(position.0),
            age_us: batch.up_to.is_none().then_some(age.0),
            changes: batch.changes,
        })
    }

    /// Returns what a replica at position `after` lacks, or the full list if `after` is `None` or
    /// too old; `None` before the first read.
    pub(crate) fn delta_since(
        &self,
        state: &GatewayState,
        after: Option<u64>,
    ) -> Option<ListUpdate> {
        let position = state.replicas.list.position()?;
        let confirmed_at = state.replicas.list.confirmed_at()?;
        let ListDelta { complete, changes } =
            self.versions.borrow().delta(after.map(StorePosition));
        Some(ListUpdate {
            after: after.filter(|_| !complete),
            position: position.0,
            age_us: Some(state.now().since(confirmed_at).0),
            changes: changes.iter().map(ChangeRecord::new).collect(),
        })
    }

    /// Applies an update that another entry sent and that took `delay` to arrive. Returns `false`
    /// if it leaves a gap to this replica, is too old for a first list, or cannot be decoded.
    pub(crate) fn apply_update(
        &self,
        state: &GatewayState,
        update: &ListUpdate,
        delay: TimeSpan,
    ) -> bool {
        let replica = &state.replicas.list;
        let own = replica.position();
        if update
            .after
            .is_some_and(|after| own < Some(StorePosition(after)))
        {
            return false;
        }
        let age = update.age_us.map(|age| TimeSpan(age) + delay);
        if own.is_none() && age.is_none_or(|age| age > MAX_FIRST_AGE) {
            return false;
        }
        let mut present = BTreeSet::new();
        for change in &update.changes {
            let Some(change) = change.read() else {
                log::warn!(backend = change.backend.as_str();
                    "list update rejected: a change cannot be decoded");
                return false;
            };
            present.insert(change.id.clone());
            if own.is_none_or(|own| change.position > own) {
                self.apply_change(state, change, ChangeSource::Peer);
            }
        }
        let position = StorePosition(update.position);
        if update.after.is_none() && own.is_none_or(|own| position > own) {
            for id in self.missing(&present) {
                let change = ListChange {
                    id,
                    position,
                    state: ListedState::Removed,
                };
                self.apply_change(state, change, ChangeSource::Peer);
            }
        }
        let at = match age {
            Some(age) => TimePoint(state.now().0.saturating_sub(age.0)),
            None => replica.confirmed_at().unwrap_or(TimePoint::START),
        };
        replica.confirm(position, self.changed(), at);
        state.list_loaded.set(true);
        true
    }

    /// Applies a change to the list and to the table of backend servers. Ignores it if it is older
    /// than what is known.
    pub(crate) fn apply_change(
        &self,
        state: &GatewayState,
        change: ListChange,
        source: ChangeSource,
    ) {
        if !self.versions.borrow_mut().apply(&change, source.origin()) {
            return;
        }
        match source {
            ChangeSource::StoreEvent => self.unsent.borrow_mut().push(ChangeRecord::new(&change)),
            ChangeSource::StoreScan | ChangeSource::Peer => {
                self.unsent.borrow_mut().skip_to(change.position.0);
            }
        }
        match change.state {
            ListedState::Listed(spec) => self.upsert(state, spec, change.position, source),
            ListedState::Expired => self.keep_expired(state, change.id, source),
            ListedState::Removed => {
                self.expired.borrow_mut().remove(&change.id);
                remove(state, &change.id, source.name());
            }
        }
    }

    /// Adds a backend server to the table, or updates it there.
    fn upsert(
        &self,
        state: &GatewayState,
        spec: ServerSpec,
        position: StorePosition,
        source: ChangeSource,
    ) {
        let (id, service) = (spec.id.clone(), spec.service.clone());
        let (address, role, draining) = (spec.address, spec.role, spec.draining);
        self.expired.borrow_mut().remove(&id);
        let change = state.table.borrow_mut().upsert(spec, state.now());
        match change {
            Some(ServerChange::Added) => state.watch_health(&id, &service),
            Some(ServerChange::Restarted) => {
                state.pool.remove(&id);
                state.forget_health(&id);
                state.watch_health(&id, &service);
            }
            Some(ServerChange::Changed | ServerChange::Draining) => {}
            Some(ServerChange::Removed) | None => return,
        }
        let rules = state.rules();
        let rule = rules
            .as_ref()
            .and_then(|rules| rules.services.get(&service));
        if let Some(rule) = rule.filter(|rule| rule.kv_capacity_tokens > 0) {
            let memory = TokenCount(rule.kv_capacity_tokens);
            state.table.borrow_mut().set_kv_capacity(&service, memory);
        }
        log::info!(backend = id.as_str(), service = service.as_str(),
            address = address.to_string(), role = role.as_str(), draining,
            revision = position.0, source = source.name(), change = format!("{change:?}");
            "backend server listed");
    }

    /// Keeps a backend server whose registration expired during a store outage, since it may only
    /// have missed heartbeats.
    fn keep_expired(&self, state: &GatewayState, id: BackendId, source: ChangeSource) {
        let deadline = state.now() + RETURN_TIME;
        log::info!(backend = id.as_str(), source = source.name();
            "backend server expired during a store outage; kept for now");
        state.table.borrow_mut().mark_expired(&id);
        self.expired.borrow_mut().entry(id).or_insert(deadline);
    }

    /// Removes the backend servers that expired during a store outage and have not come back in
    /// time.
    pub(crate) fn remove_expired(&self, state: &GatewayState) {
        let Some(confirmed_at) = state.replicas.list.confirmed_at() else {
            return;
        };
        let expired = self.expired.borrow();
        let overdue = expired
            .iter()
            .filter(|(_, deadline)| **deadline <= confirmed_at);
        let overdue: Vec<BackendId> = overdue.map(|(id, _)| id.clone()).collect();
        drop(expired);
        for id in overdue {
            self.expired.borrow_mut().remove(&id);
            self.versions.borrow_mut().confirm_removed(&id);
            remove(state, &id, "no return");
        }
    }
}

fn remove(state: &GatewayState, id: &BackendId, source: &str) {
    if state.table.borrow_mut().remove(id).is_none() {
        return;
    }
    state.pool.remove(id);
    state.forget_health(id);
    log::info!(backend = id.as_str(), source; "backend server is gone");
}
