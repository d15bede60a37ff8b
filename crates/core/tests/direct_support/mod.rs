//! Backend servers and requests for the tests of direct serving.

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::direct::{InstanceSpec, InstanceTable, PeerLoad, PromptPart, PromptShape};
use applefold_core::id::{BackendId, DomainId, InstanceId, ServiceId};
use applefold_core::routing::BackendRole;
use applefold_core::unit::{TimePoint, TokenCount};
use smol_str::SmolStr;

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

pub(crate) fn spec(number: usize, role: BackendRole) -> InstanceSpec {
    InstanceSpec {
        id: backend(number),
        service: service(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: domain(),
        role,
        slots: 8,
        draining: false,
        born: 1,
        models: BTreeSet::new(),
    }
}

pub(crate) fn table(roles: &[BackendRole]) -> InstanceTable {
    let mut table = InstanceTable::default();
    for (number, role) in roles.iter().enumerate() {
        table.upsert(spec(number, *role));
    }
    table
}

/// A prompt of a shared part and a part of its own.
pub(crate) fn prompt(shared: &str, shared_tokens: u64, own_tokens: u64) -> PromptShape {
    let part = |name: &str, tokens: u64| PromptPart {
        name: SmolStr::new(name),
        tokens: TokenCount(tokens),
    };
    PromptShape {
        model: SmolStr::new("m"),
        prompt_tokens: TokenCount(shared_tokens + own_tokens),
        answer_tokens: TokenCount(100),
        parts: vec![part(shared, shared_tokens), part("own", own_tokens)],
    }
}

/// Lets a peer have this much on each backend server.
pub(crate) fn load(table: &mut InstanceTable, loads: &[(usize, u32, u64)], now: TimePoint) {
    let loads: BTreeMap<BackendId, PeerLoad> = loads
        .iter()
        .map(|(number, flights, backlog)| {
            let load = PeerLoad {
                flights: *flights,
                backlog: TokenCount(*backlog),
            };
            (backend(*number), load)
        })
        .collect();
    table.note_peer(&peer(), &loads, now);
}
