//! Helpers for the tests of direct serving.

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::direct::{PeerLoad, ServerSpec, ServerTable};
use applefold_core::id::{BackendId, DomainId, InstanceId, ServiceId};
use applefold_core::routing::BackendRole;
use applefold_core::unit::{TimePoint, TokenCount};

pub(crate) fn service() -> ServiceId {
    "s".parse().unwrap()
}

pub(crate) fn domain() -> DomainId {
    "a".parse().unwrap()
}

pub(crate) fn backend(number: usize) -> BackendId {
    format!("e-{number}").parse().unwrap()
}

pub(crate) fn peer() -> InstanceId {
    "entry-9".parse().unwrap()
}

pub(crate) fn spec(number: usize, role: BackendRole) -> ServerSpec {
    ServerSpec {
        id: backend(number),
        service: service(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: domain(),
        role,
        slots: 8,
        draining: false,
        started_at_ms: 1,
        version: None,
        models: BTreeSet::new(),
    }
}

pub(crate) fn table(roles: &[BackendRole]) -> ServerTable {
    let mut table = ServerTable::default();
    for (number, role) in roles.iter().enumerate() {
        table.upsert(spec(number, *role), TimePoint::START);
    }
    table
}

/// Records in-flight requests of a peer, as (backend number, requests, prompt tokens to prefill).
pub(crate) fn record_loads(table: &mut ServerTable, loads: &[(usize, u32, u64)], now: TimePoint) {
    let loads: BTreeMap<BackendId, PeerLoad> = loads
        .iter()
        .map(|(number, flights, backlog)| {
            let load = PeerLoad {
                flights: *flights,
                backlog: TokenCount(*backlog),
                ..PeerLoad::default()
            };
            (backend(*number), load)
        })
        .collect();
    table.record_peer_loads(&peer(), &loads, now);
}
