//! The closed sets of words in tickets.

use crate::config::{EngineRole, ObjectState, PoolKind, ServicePriority};
use crate::ticket::field::KnownWord;

pub(crate) const STATES: [KnownWord<ObjectState>; 2] = [
    KnownWord {
        word: "active",
        value: ObjectState::Active,
    },
    KnownWord {
        word: "withdrawn",
        value: ObjectState::Withdrawn,
    },
];

pub(crate) const KINDS: [KnownWord<PoolKind>; 2] = [
    KnownWord {
        word: "model",
        value: PoolKind::Model,
    },
    KnownWord {
        word: "plain",
        value: PoolKind::Plain,
    },
];

pub(crate) const PRIORITIES: [KnownWord<ServicePriority>; 2] = [
    KnownWord {
        word: "interactive",
        value: ServicePriority::Interactive,
    },
    KnownWord {
        word: "batch",
        value: ServicePriority::Batch,
    },
];

pub(crate) const ROLES: [KnownWord<EngineRole>; 3] = [
    KnownWord {
        word: "both",
        value: EngineRole::Both,
    },
    KnownWord {
        word: "prefill",
        value: EngineRole::Prefill,
    },
    KnownWord {
        word: "decode",
        value: EngineRole::Decode,
    },
];

/// The kinds of objects that a ticket can remove.
#[derive(Clone, Copy)]
pub(crate) enum RemoveKind {
    Team,
    Key,
    Service,
    Pool,
    Engine,
}

pub(crate) const REMOVE_KINDS: [KnownWord<RemoveKind>; 5] = [
    KnownWord {
        word: "team",
        value: RemoveKind::Team,
    },
    KnownWord {
        word: "key",
        value: RemoveKind::Key,
    },
    KnownWord {
        word: "service",
        value: RemoveKind::Service,
    },
    KnownWord {
        word: "pool",
        value: RemoveKind::Pool,
    },
    KnownWord {
        word: "engine",
        value: RemoveKind::Engine,
    },
];
