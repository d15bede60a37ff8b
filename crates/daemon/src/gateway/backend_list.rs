//! What this entry knows of the list of backend servers, from the store and from other entries.

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

/// How long after the store's return an entry that lapsed meanwhile may still come back;
/// the platform says about two seconds.
pub(crate) const RETURN_TIME: TimeSpan = TimeSpan::from_millis(2_000);
/// The oldest list that an entry begins with: an older one may hold backend servers that have
/// left since.
const FIRST_AGE: TimeSpan = TimeSpan::from_secs(2);

/// Where a line of the list was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeSource {
    /// As a change in the store, of which the other entries are told.
    Change,
    /// With all others in the store.
    Store,
    /// From another entry.
    Entry,
}

impl ChangeSource {
    const fn origin(self) -> ChangeOrigin {
        match self {
            Self::Change | Self::Entry => ChangeOrigin::Change,
            Self::Store => ChangeOrigin::Snapshot,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Change | Self::Store => "store",
            Self::Entry => "another entry",
        }
    }
}

/// What this entry knows of the list.
#[derive(Debug, Default)]
pub(crate) struct BackendList {
    ledger: RefCell<VersionedList>,
    told: RefCell<ChangeQueue>,
    /// Entries that vanished while the store was failing, and until when they may come back.
    lapsed: RefCell<BTreeMap<BackendId, TimePoint>>,
}

impl BackendList {
    /// Returns where the list last changed.
    pub(crate) fn changed(&self) -> StorePosition {
        self.ledger.borrow().changed()
    }

    /// Returns the backend servers that are listed, but not among `present`.
    pub(crate) fn missing(&self, present: &BTreeSet<BackendId>) -> Vec<BackendId> {
        let ledger = self.ledger.borrow();
        let missing = ledger.present().filter(|id| !present.contains(*id));
        missing.cloned().collect()
    }

    /// Returns the changes whose turn it is to be told.
    pub(crate) fn next_update(&self, state: &GatewayState) -> Option<ListUpdate> {
        let position = state.replicas.list.position()?;
        let confirmed_at = state.replicas.list.confirmed_at()?;
        let turn = self.told.borrow_mut().next()?;
        let age = state.now().since(confirmed_at);
        Some(ListUpdate {
            after: Some(turn.after),
            position: turn.up_to.unwrap_or(position.0).min(position.0),
            age_us: turn.up_to.is_none().then_some(age.0),
            lines: turn.lines,
        })
    }

    /// Returns what brings a copy up to date that goes up to `after`.
    pub(crate) fn delta_since(
        &self,
        state: &GatewayState,
        after: Option<u64>,
    ) -> Option<ListUpdate> {
        let position = state.replicas.list.position()?;
        let confirmed_at = state.replicas.list.confirmed_at()?;
        let ListDelta { whole, rows } = self.ledger.borrow().delta(after.map(StorePosition));
        Some(ListUpdate {
            after: after.filter(|_| !whole),
            position: position.0,
            age_us: Some(state.now().since(confirmed_at).0),
            lines: rows.iter().map(ChangeRecord::new).collect(),
        })
    }

    /// Takes in what another entry passes on; returns whether it could be used.
    pub(crate) fn apply_update(
        &self,
        state: &GatewayState,
        news: &ListUpdate,
        delay: TimeSpan,
    ) -> bool {
        let copy = &state.replicas.list;
        let own = copy.position();
        if news
            .after
            .is_some_and(|after| own < Some(StorePosition(after)))
        {
            return false;
        }
        let age = news.age_us.map(|age| TimeSpan(age) + delay);
        if own.is_none() && age.is_none_or(|age| age > FIRST_AGE) {
            return false;
        }
        let mut present = BTreeSet::new();
        for line in &news.lines {
            let Some(row) = line.read() else {
                log::warn!(backend = line.backend.as_str(); "line of the list not understood");
                return false;
            };
            present.insert(row.id.clone());
            if own.is_none_or(|own| row.position > own) {
                self.apply_change(state, row, ChangeSource::Entry);
            }
        }
        let position = StorePosition(news.position);
        if news.after.is_none() && own.is_none_or(|own| position > own) {
            for id in self.missing(&present) {
                let row = ListChange {
                    id,
                    position,
                    state: ListedState::Gone,
                };
                self.apply_change(state, row, ChangeSource::Entry);
            }
        }
        let at = match age {
            Some(age) => TimePoint(state.now().0.saturating_sub(age.0)),
            None => copy.confirmed_at().unwrap_or(TimePoint::START),
        };
        copy.confirm(position, self.changed(), at);
        state.list_loaded.set(true);
        true
    }

    /// Takes in a line of the list.
    pub(crate) fn apply_change(&self, state: &GatewayState, row: ListChange, source: ChangeSource) {
        if !self.ledger.borrow_mut().note(&row, source.origin()) {
            return;
        }
        match source {
            ChangeSource::Change => self.told.borrow_mut().push(ChangeRecord::new(&row)),
            ChangeSource::Store | ChangeSource::Entry => {
                self.told.borrow_mut().leave_out(row.position.0);
            }
        }
        match row.state {
            ListedState::Listed(spec) => self.list(state, spec, row.position, source),
            ListedState::Lapsed => self.lapse(state, row.id, source),
            ListedState::Gone => {
                self.lapsed.borrow_mut().remove(&row.id);
                remove(state, &row.id, source.name());
            }
        }
    }

    fn list(
        &self,
        state: &GatewayState,
        spec: ServerSpec,
        position: StorePosition,
        source: ChangeSource,
    ) {
        let (id, service) = (spec.id.clone(), spec.service.clone());
        let (address, role, draining) = (spec.address, spec.role, spec.draining);
        self.lapsed.borrow_mut().remove(&id);
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
        if let Some(rule) = rule.filter(|rule| rule.memory_tokens > 0) {
            let memory = TokenCount(rule.memory_tokens);
            state.table.borrow_mut().set_memory(&service, memory);
        }
        log::info!(backend = id.as_str(), service = service.as_str(),
            address = address.to_string(), role = role.as_str(), draining,
            revision = position.0, source = source.name(), change = format!("{change:?}");
            "backend server listed");
    }

    /// An entry that lapses while the store fails may only have missed its heartbeats.
    fn lapse(&self, state: &GatewayState, id: BackendId, source: ChangeSource) {
        let until = state.now() + RETURN_TIME;
        log::info!(backend = id.as_str(), source = source.name(); "backend server lapsed while the store failed");
        state.table.borrow_mut().set_lapsed(&id);
        self.lapsed.borrow_mut().entry(id).or_insert(until);
    }

    /// Forgets backend servers that lapsed and whose lines the store has not shown again.
    pub(crate) fn settle(&self, state: &GatewayState) {
        let Some(confirmed_at) = state.replicas.list.confirmed_at() else {
            return;
        };
        let lapsed = self.lapsed.borrow();
        let over = lapsed.iter().filter(|(_, until)| **until <= confirmed_at);
        let over: Vec<BackendId> = over.map(|(id, _)| id.clone()).collect();
        drop(lapsed);
        for id in over {
            self.lapsed.borrow_mut().remove(&id);
            self.ledger.borrow_mut().settle(&id);
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
