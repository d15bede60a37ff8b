//! Changes of the backend list as entries send them to each other.

use std::net::SocketAddr;

use applefold_core::direct::{ListChange, ListUpdate, ListedState, ServerSpec, StorePosition};
use applefold_core::id::BackendId;
use applefold_core::routing::BackendRole;
use applefold_core::unit::TimeSpan;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The encoding of a [`ListChange`].
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ChangeRecord {
    backend: SmolStr,
    position: u64,
    state: ChangeState,
}

/// The encoding of a [`ListedState`].
#[derive(Clone, Debug, Serialize, Deserialize)]
enum ChangeState {
    Listed(ServerFields),
    Lapsed,
    Gone,
}

/// The encoding of a [`ServerSpec`].
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ServerFields {
    service: SmolStr,
    address: SocketAddr,
    domain: SmolStr,
    role: u8,
    slots: u32,
    draining: bool,
    born: u64,
    models: Vec<SmolStr>,
    version: Option<SmolStr>,
}

/// The encoding of a [`ListUpdate`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct UpdateRecord {
    after: Option<u64>,
    position: u64,
    age_us: Option<u64>,
    changes: Vec<ChangeRecord>,
}

impl UpdateRecord {
    pub(crate) fn new(update: &ListUpdate) -> Self {
        Self {
            after: update.after.map(|after| after.0),
            position: update.position.0,
            age_us: update.age.map(|age| age.0),
            changes: update.changes.iter().map(ChangeRecord::new).collect(),
        }
    }

    /// Decodes the update; `None` if a change is invalid.
    pub(crate) fn read(&self) -> Option<ListUpdate> {
        let changes = self.changes.iter().map(ChangeRecord::read);
        Some(ListUpdate {
            after: self.after.map(StorePosition),
            position: StorePosition(self.position),
            age: self.age_us.map(TimeSpan),
            changes: changes.collect::<Option<_>>()?,
        })
    }
}

impl ChangeRecord {
    fn new(change: &ListChange) -> Self {
        Self {
            backend: SmolStr::new(change.id.as_str()),
            position: change.position.0,
            state: match &change.state {
                ListedState::Listed(spec) => ChangeState::Listed(ServerFields::new(spec)),
                ListedState::Expired => ChangeState::Lapsed,
                ListedState::Removed => ChangeState::Gone,
            },
        }
    }

    /// Decodes the change; `None` if a name or the role is invalid.
    fn read(&self) -> Option<ListChange> {
        let id: BackendId = self.backend.parse().ok()?;
        let state = match &self.state {
            ChangeState::Listed(fields) => ListedState::Listed(fields.read(id.clone())?),
            ChangeState::Lapsed => ListedState::Expired,
            ChangeState::Gone => ListedState::Removed,
        };
        Some(ListChange {
            id,
            position: StorePosition(self.position),
            state,
        })
    }
}

impl ServerFields {
    fn new(spec: &ServerSpec) -> Self {
        Self {
            service: SmolStr::new(spec.service.as_str()),
            address: spec.address,
            domain: SmolStr::new(spec.domain.as_str()),
            role: match spec.role {
                BackendRole::Plain => 0,
                BackendRole::Prefill => 1,
                BackendRole::Decode => 2,
                BackendRole::Both => 3,
            },
            slots: spec.slots,
            draining: spec.draining,
            born: spec.started_at_ms,
            models: spec.models.iter().cloned().collect(),
            version: spec
                .version
                .as_ref()
                .map(|version| SmolStr::new(version.as_str())),
        }
    }

    fn read(&self, id: BackendId) -> Option<ServerSpec> {
        Some(ServerSpec {
            id,
            service: self.service.parse().ok()?,
            address: self.address,
            domain: self.domain.parse().ok()?,
            role: match self.role {
                0 => BackendRole::Plain,
                1 => BackendRole::Prefill,
                2 => BackendRole::Decode,
                3 => BackendRole::Both,
                _ => return None,
            },
            slots: self.slots,
            draining: self.draining,
            started_at_ms: self.born,
            models: self.models.iter().cloned().collect(),
            version: self.version.as_ref().and_then(|text| text.parse().ok()),
        })
    }
}
