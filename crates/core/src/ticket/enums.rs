//! The JSON names of the enum values in tickets.

use crate::config::{EngineRole, ObjectState, PoolKind, ServicePriority};
use crate::ticket::field::EnumName;

pub(crate) const STATES: [EnumName<ObjectState>; 2] = [
    EnumName {
        name: "active",
        value: ObjectState::Active,
    },
    EnumName {
        name: "withdrawn",
        value: ObjectState::Withdrawn,
    },
];

pub(crate) const KINDS: [EnumName<PoolKind>; 2] = [
    EnumName {
        name: "model",
        value: PoolKind::Model,
    },
    EnumName {
        name: "plain",
        value: PoolKind::Plain,
    },
];

pub(crate) const PRIORITIES: [EnumName<ServicePriority>; 2] = [
    EnumName {
        name: "interactive",
        value: ServicePriority::Interactive,
    },
    EnumName {
        name: "batch",
        value: ServicePriority::Batch,
    },
];

pub(crate) const ROLES: [EnumName<EngineRole>; 3] = [
    EnumName {
        name: "both",
        value: EngineRole::Both,
    },
    EnumName {
        name: "prefill",
        value: EngineRole::Prefill,
    },
    EnumName {
        name: "decode",
        value: EngineRole::Decode,
    },
];

/// The kind of an object that a ticket removes.
#[derive(Clone, Copy)]
pub(crate) enum RemoveKind {
    Team,
    Key,
    Service,
    Pool,
    Engine,
}

pub(crate) const REMOVE_KINDS: [EnumName<RemoveKind>; 5] = [
    EnumName {
        name: "team",
        value: RemoveKind::Team,
    },
    EnumName {
        name: "key",
        value: RemoveKind::Key,
    },
    EnumName {
        name: "service",
        value: RemoveKind::Service,
    },
    EnumName {
        name: "pool",
        value: RemoveKind::Pool,
    },
    EnumName {
        name: "engine",
        value: RemoveKind::Engine,
    },
];
