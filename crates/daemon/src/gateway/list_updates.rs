//! Changes of the backend list as entries gossip them, and the queue of changes to send.

use std::collections::VecDeque;
use std::net::SocketAddr;

use applefold_core::direct::{ListChange, ListedState, ServerSpec, StorePosition};
use applefold_core::id::BackendId;
use applefold_core::routing::BackendRole;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The number of gossip rounds that send each change, since a datagram may be lost.
const SENDS_PER_CHANGE: u8 = 3;
/// The most queued changes. Entries that miss more fetch them over HTTP.
const MAX_QUEUED: usize = 64;
/// The most changes in one datagram.
const MAX_BATCH: usize = 6;

/// The encoding of a [`ListChange`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ChangeRecord {
    pub(crate) backend: SmolStr,
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
}

/// A full copy of the list or its changes since a position, as entries send each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ListUpdate {
    /// The position that a replica must have reached for this to be all it lacks; `None` if this
    /// is the full list.
    pub(crate) after: Option<u64>,
    /// The position that a replica reaches by applying this.
    pub(crate) position: u64,
    /// The time since the store confirmed that position, in microseconds; `None` if more changes
    /// follow.
    pub(crate) age_us: Option<u64>,
    pub(crate) changes: Vec<ChangeRecord>,
}

impl ChangeRecord {
    pub(crate) fn new(change: &ListChange) -> Self {
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
    pub(crate) fn read(&self) -> Option<ListChange> {
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
        })
    }
}

/// Changes that are still to be gossiped.
#[derive(Debug, Default)]
pub(crate) struct ChangeQueue {
    /// The queued changes by store position, each with its number of remaining sends.
    queue: VecDeque<(ChangeRecord, u8)>,
    /// The position after which the queue holds every change.
    after: u64,
}

/// The changes of one datagram.
#[derive(Debug)]
pub(crate) struct ChangeBatch {
    /// The position that a replica must have reached for these to be all it lacks.
    pub(crate) after: u64,
    pub(crate) changes: Vec<ChangeRecord>,
    /// The position that a replica reaches with them if later changes are queued; else `None`.
    pub(crate) up_to: Option<u64>,
}

impl ChangeQueue {
    /// Queues a change. Drops the oldest one if the queue is full.
    pub(crate) fn push(&mut self, change: ChangeRecord) {
        let index = self
            .queue
            .partition_point(|(known, _)| known.position <= change.position);
        self.queue.insert(index, (change, SENDS_PER_CHANGE));
        if self.queue.len() > MAX_QUEUED {
            let dropped = self.queue.pop_front();
            self.skip_to(dropped.map_or(0, |(change, _)| change.position));
        }
    }

    /// Drops the changes up to `position` from gossip. Entries that lack them fetch them.
    pub(crate) fn skip_to(&mut self, position: u64) {
        self.after = self.after.max(position);
        let after = self.after;
        self.queue.retain(|(change, _)| change.position > after);
    }

    /// Returns the next batch, and drops changes that have been sent often enough.
    pub(crate) fn next(&mut self) -> Option<ChangeBatch> {
        let after = self.after;
        let count = self.queue.len().min(MAX_BATCH);
        let later = self.queue.get(count).map(|(change, _)| change.position);
        let batch = self.queue.iter_mut().take(count);
        let changes: Vec<ChangeRecord> = batch
            .map(|(change, sends_left)| {
                *sends_left -= 1;
                change.clone()
            })
            .collect();
        let finished = self
            .queue
            .iter()
            .take_while(|(_, sends_left)| *sends_left == 0);
        if let Some(last) = finished.map(|(change, _)| change.position).last() {
            self.skip_to(last);
        }
        (!changes.is_empty()).then(|| ChangeBatch {
            after,
            changes,
            up_to: later.map(|later| later - 1),
        })
    }
}
