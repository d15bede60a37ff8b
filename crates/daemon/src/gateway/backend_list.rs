//! This entry's replica of the backend list, updated from the store and by other entries.

use std::cell::RefCell;
use std::collections::BTreeSet;

use applefold_core::direct::{
    ChangeSource, ExpiredServers, ListChange, ListReplica, ListUpdate, ListedState, ServerChange,
    ServerSpec, StorePosition,
};
use applefold_core::id::BackendId;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};

use super::state::GatewayState;

/// This entry's replica of the list of backend servers.
#[derive(Debug, Default)]
pub(crate) struct BackendList {
    replica: RefCell<ListReplica>,
    /// Backend servers whose registrations are missing, perhaps because of a store outage.
    expired: RefCell<ExpiredServers>,
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
        if matches!(change, Some(ServerChange::Added | ServerChange::Restarted)) {
            state.renew_cooldown(&id);
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

    /// Keeps a backend server whose registration may have expired because of a store outage, unless
    /// this entry knows that there was none: the one that found it missing may have started lately.
    fn keep_expired(&self, state: &GatewayState, id: BackendId, source: ChangeSource) {
        let continuity = state.replicas.list.continuity();
        let available = continuity.span(state.now());
        log::info!(backend = id.as_str(), source = source.name(),
            available_ms = available.map_or(0, TimeSpan::as_millis);
            "backend server expired during a store outage; kept for now");
        state.table.borrow_mut().mark_expired(&id);
        let mut expired = self.expired.borrow_mut();
        expired.insert(id, &continuity, state.now());
        drop(expired);
        self.remove_expired(state);
    }

    /// Removes the backend servers whose registrations expired and that have not come back in time, or
    /// without an outage.
    pub(crate) fn remove_expired(&self, state: &GatewayState) {
        let list = &state.replicas.list;
        let confirmed_at = list.confirmed_at().unwrap_or(TimePoint::START);
        let mut expired = self.expired.borrow_mut();
        let gone = expired.take_gone(&list.continuity(), confirmed_at, state.now());
        drop(expired);
        for (id, cause) in gone {
            self.replica.borrow_mut().confirm_removed(&id);
            remove(state, &id, cause.name());
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
