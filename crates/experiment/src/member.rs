//! Names of the fakes, and what the entry is told of them.

use std::collections::BTreeSet;
use std::str::FromStr;

use applefold_core::id::{BackendId, DomainId, PoolId, RegionId, TeamId};
use applefold_core::role::EngineRole;
use applefold_core::routing::{BackendRole, BackendSpec};

pub(crate) const ENGINE_POOL: &str = "engines";
pub(crate) const PLAIN_POOL: &str = "plain";
const REGION: &str = "region";

/// Makes an identifier of a text that is one by construction.
pub(crate) fn named<I>(text: &str) -> I
where
    I: FromStr,
    I::Err: std::fmt::Debug,
{
    text.parse()
        .expect("the experiment's names are identifiers")
}

pub(crate) fn engine_id(index: usize) -> BackendId {
    named(&format!("engine-{index:03}"))
}

pub(crate) fn plain_id(index: usize) -> BackendId {
    named(&format!("plain-{index}"))
}

pub(crate) fn domain_id(domain: u32) -> DomainId {
    named(&format!("domain-{domain}"))
}

pub(crate) fn team_id(team: usize) -> TeamId {
    named(&format!("team-{team}"))
}

pub(crate) fn region_id() -> RegionId {
    named(REGION)
}

/// What the entry is told of an engine.
pub(crate) fn engine_spec(id: &BackendId, domain: u32, role: EngineRole) -> BackendSpec {
    spec(id, ENGINE_POOL, domain, role.into())
}

/// What the entry is told of a plain server.
pub(crate) fn plain_spec(id: &BackendId, domain: u32) -> BackendSpec {
    spec(id, PLAIN_POOL, domain, BackendRole::Plain)
}

fn spec(id: &BackendId, pool: &str, domain: u32, role: BackendRole) -> BackendSpec {
    BackendSpec {
        id: id.clone(),
        pool: named::<PoolId>(pool),
        domain: domain_id(domain),
        region: region_id(),
        role,
        models: BTreeSet::new(),
    }
}
