//! This entry's replica of the backend list, updated from the store and by other entries.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use applefold_core::direct::{
    ChangeSource, ListChange, ListReplica, ListUpdate, ListedState, ServerChange, ServerSpec,
    StorePosition,
};
use applefold_core::id::BackendId;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};

use super::state::GatewayState;

/// How long after a store outage a registration that expired meanwhile may still come back. The
/// platform states about two seconds.
pub(crate) const RETURN_TIME: TimeSpan = TimeSpan::from_millis(2_000);

/// This entry's replica of the list of backend servers.
#[derive(Debug, Default)]
pub(crate) struct BackendList {
    replica: RefCell<ListReplica>,
    /// Backend servers whose registrations expired during a store outage, and until when they may
    /// come back.
    expired: RefCell<BTreeMap<BackendId, TimePoint>>,
}

impl BackendList {
    /// Returns the store position of the last change of the list.
    pub(crate) fn changed(&self) -> StorePosition {
        self.replica.borrow().last_change()
    }

    /// Returns the backend servers on the list that are not in `present`.
    pub(crate) fn missing(&self, present: &BTreeSet<BackendId>) -> Vec<BackendId> {
        self.replica.borrow().missing(present)
    }

    /// Records that the list was read as a snapshot at `position`.
    pub(crate) fn finish_snapshot(&self, position: StorePosition) {
        self.replica.borrow_mut().finish_snapshot(position);
    }

    /// Returns the next changes to gossip, if any.
    pub(crate) fn next_update(&self, state: &GatewayState) -> Option<ListUpdate> {
        let position = state.replicas.list.position()?;
        let confirmed_at = state.replicas.list.confirmed_at()?;
        let age = state.now().since(confirmed_at);
        self.replica.borrow_mut().next_update(position, age)
    }

    /// Returns what a replica at position `after` lacks, or the complete list if `after` is `None`
    /// or too old; `None` before the first read.
    pub(crate) fn delta_since(
        &self,
        state: &GatewayState,
        after: Option<StorePosition>,
    ) -> Option<ListUpdate> {
        let position = state.replicas.list.position()?;
        let confirmed_at = state.replicas.list.confirmed_at()?;
        let age = state.now().since(confirmed_at);
        Some(self.replica.borrow().delta_since(after, position, age))
    }

    /// Applies an update that another entry sent and that took `delay` to arrive. Returns `false`
    /// if it leaves a gap to this replica or is too old for a first list.
    pub(crate) fn apply_update(
        &self,
        state: &GatewayState,
        update: &ListUpdate,
        delay: TimeSpan,
    ) -> bool {
        let tracker = &state.replicas.list;
        let own = tracker.position();
        let applied = self.replica.borrow_mut().apply_update(update, own, delay);
        let Some(applied) = applied else {
            return false;
        };
        for change in applied {
            self.show_change(state, change, ChangeSource::Peer);
        }
        let at = match update.age {
            Some(age) => state.now() - (age + delay),
            None => tracker.confirmed_at().unwrap_or(TimePoint::START),
        };
        tracker.confirm(update.position, self.changed(), at);
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
        if self.replica.borrow_mut().apply(&change, source) {
            self.show_change(state, change, source);
        }
    }

    /// Brings the table of backend servers in line with a change of the list.
    fn show_change(&self, state: &GatewayState, change: ListChange, source: ChangeSource) {
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
            self.replica.borrow_mut().confirm_removed(&id);
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
