//! Applies the platform's instance list: which peers to connect to, and what is known of them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use applefold_core::config::ObjectState;
use applefold_core::id::{BackendId, InstanceId, PoolId};
use applefold_core::quorum::ListedInstance;
use applefold_core::routing::{BackendSubset, InstanceLocality};

use super::decisions::ListedBackend;
use super::fleet;
use super::links::{self, LinkTarget};
use super::state::EntryState;
use crate::platform::message::{InstanceKind, InstanceRow, InstanceState};

/// The number of backend servers of one pool in the own region that an entry connects to.
const LOCAL_SUBSET_SIZE: usize = 32;
/// The number of backend servers of one pool in all other regions together that an entry connects
/// to. They serve when the own region cannot meet a deadline.
const REMOTE_SUBSET_SIZE: usize = 4;

/// The backend servers from which one subset is chosen.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BackendGroup {
    pool: PoolId,
    /// Whether they are in the region of this entry.
    local: bool,
}

/// Updates all tables from the platform's instance list.
pub(crate) fn apply_list(state: &Rc<EntryState>, listed: Vec<InstanceRow>) {
    let chosen = choose_backends(state, &listed);
    let kept = listed.iter().filter(|row| {
        row.kind == InstanceKind::Entry || chosen.contains(&links::backend_id(&row.id))
    });
    let ids: BTreeSet<InstanceId> = kept.map(|row| row.id.clone()).collect();
    let backends = listed
        .iter()
        .filter(|row| row.kind == InstanceKind::Backend);
    let backends = backends.map(|row| links::backend_id(&row.id)).collect();
    fleet::retain_listed(state, &backends);
    remove_unlisted(state, &ids);
    let entries = live_entries(&listed);
    state
        .decisions
        .borrow_mut()
        .admission
        .set_entry_count(entries.len() as u32);
    let listed_entries = listed_entries(&listed);
    state.config.update_fleet(&listed_entries);
    state.entries.replace(entries);
    for instance in &listed {
        match instance.kind {
            InstanceKind::Entry if instance.id == state.settings.instance => {}
            InstanceKind::Entry => apply_entry(state, instance),
            InstanceKind::Backend => apply_backend(state, instance, &chosen),
        }
    }
    let now = state.now();
    state.decisions.borrow_mut().tick(now);
}

fn live_entries(listed: &[InstanceRow]) -> BTreeSet<InstanceId> {
    let entries = listed.iter().filter(|row| row.kind == InstanceKind::Entry);
    let live = entries.filter(|row| row.state == InstanceState::Live);
    live.map(|row| row.id.clone()).collect()
}

fn listed_entries(listed: &[InstanceRow]) -> Vec<ListedInstance> {
    let entries = listed.iter().filter(|row| row.kind == InstanceKind::Entry);
    let live = entries.filter(|row| row.state == InstanceState::Live);
    let rows = live.map(|row| ListedInstance {
        id: row.id.clone(),
        domain: row.domain.clone(),
    });
    rows.collect()
}

fn apply_entry(state: &Rc<EntryState>, instance: &InstanceRow) {
    let leaving = instance.state == InstanceState::Leaving;
    let pool = None;
    links::upsert_link(state, instance, LinkTarget { pool, leaving });
}

fn apply_backend(state: &Rc<EntryState>, instance: &InstanceRow, chosen: &BTreeSet<BackendId>) {
    let Some(pool) = pool_of(state, instance) else {
        return;
    };
    fleet::record_listed(state, instance, &pool);
    if !chosen.contains(&links::backend_id(&instance.id)) {
        return;
    }
    upsert_backend(state, instance, &pool);
    let leaving = instance.state == InstanceState::Leaving || is_withdrawn(state, instance);
    let pool = Some(pool);
    links::upsert_link(state, instance, LinkTarget { pool, leaving });
    links::update_availability(state, &instance.id);
}

/// Chooses the backend servers to connect to. The subset is bounded, so that an entry's heartbeat
/// traffic does not grow with the number of backend servers.
fn choose_backends(state: &Rc<EntryState>, listed: &[InstanceRow]) -> BTreeSet<BackendId> {
    let mut groups: BTreeMap<BackendGroup, BTreeSet<BackendId>> = BTreeMap::new();
    for instance in listed {
        if let Some(pool) = pool_of(state, instance) {
            let local = instance.region == state.settings.region;
            let group = groups.entry(BackendGroup { pool, local }).or_default();
            group.insert(links::backend_id(&instance.id));
        }
    }
    let entries = region_entries(state, listed);
    let mut chosen = BTreeSet::new();
    for (group, backends) in groups {
        let size = if group.local {
            LOCAL_SUBSET_SIZE
        } else {
            REMOTE_SUBSET_SIZE
        };
        let own = &state.settings.instance;
        let subset = BackendSubset::pick(own, &entries, &backends, size);
        chosen.extend(subset.backends().iter().cloned());
    }
    chosen
}

/// Returns the entries of this region, including this one even if it is not listed yet.
fn region_entries(state: &EntryState, listed: &[InstanceRow]) -> BTreeSet<InstanceId> {
    let region = &state.settings.region;
    let entries = listed.iter().filter(|row| row.kind == InstanceKind::Entry);
    let local = entries.filter(|row| row.region == *region);
    let ids = local.map(|row| row.id.clone());
    ids.chain([state.settings.instance.clone()]).collect()
}

/// Removes the peers that are no longer listed or chosen. Backend servers with requests in flight
/// stay until these have ended.
fn remove_unlisted(state: &Rc<EntryState>, ids: &BTreeSet<InstanceId>) {
    let mut table = state.links.borrow_mut();
    let mut decisions = state.decisions.borrow_mut();
    table.rows.retain(|id, _| {
        let backend = links::backend_id(id);
        let busy = decisions
            .backends
            .get(&backend)
            .is_some_and(|row| row.in_flight() > 0);
        let kept = ids.contains(id) || busy;
        if !kept {
            decisions.remove(&backend);
        }
        kept
    });
}

/// Returns the pool of a backend server: the one that operators assigned, or else the listed one.
fn pool_of(state: &Rc<EntryState>, instance: &InstanceRow) -> Option<PoolId> {
    let backend = links::backend_id(&instance.id);
    state.config.with(|config| {
        let engine = config.engine_config(&backend, instance.pool.as_ref())?;
        Some(engine.pool)
    })
}

fn is_withdrawn(state: &Rc<EntryState>, instance: &InstanceRow) -> bool {
    let backend = links::backend_id(&instance.id);
    state.config.with(|config| {
        let engine = config.engine_config(&backend, instance.pool.as_ref());
        engine.is_some_and(|engine| engine.state == ObjectState::Withdrawn)
    })
}

fn upsert_backend(state: &Rc<EntryState>, instance: &InstanceRow, pool: &PoolId) {
    let listed = ListedBackend {
        id: links::backend_id(&instance.id),
        pool: pool.clone(),
        locality: InstanceLocality {
            domain: instance.domain.clone(),
            region: instance.region.clone(),
        },
    };
    let now = state.now();
    let mut decisions = state.decisions.borrow_mut();
    state
        .config
        .with(|config| decisions.upsert(listed, config, now));
}
