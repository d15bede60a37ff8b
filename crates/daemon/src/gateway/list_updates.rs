//! Lines of the list of backend servers as entries pass them on.

use std::collections::VecDeque;
use std::net::SocketAddr;

use applefold_core::direct::{ListChange, ListedState, ServerSpec, StorePosition};
use applefold_core::id::BackendId;
use applefold_core::routing::BackendRole;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// In how many rounds of news a change is told, so that a datagram may be lost.
const TELLINGS: u8 = 3;
/// The most changes that wait to be told; entries that miss more fetch them.
const MAX_WAITING: usize = 64;
/// The most changes in one datagram.
const MAX_TOLD: usize = 6;

/// A line of the list, as entries pass it on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ChangeRecord {
    pub(crate) backend: SmolStr,
    position: u64,
    state: ChangeState,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum ChangeState {
    Listed(ServerFields),
    Lapsed,
    Gone,
}

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

/// Changes of the list, as entries pass them on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ListUpdate {
    /// Up to where a copy has to go for the lines to be all that it misses; `None` where the
    /// lines are the whole list.
    pub(crate) after: Option<u64>,
    /// How far a copy goes with them.
    pub(crate) position: u64,
    /// How long ago the store confirmed that; none where more lines follow.
    pub(crate) age_us: Option<u64>,
    pub(crate) lines: Vec<ChangeRecord>,
}

impl ChangeRecord {
    pub(crate) fn new(row: &ListChange) -> Self {
        Self {
            backend: SmolStr::new(row.id.as_str()),
            position: row.position.0,
            state: match &row.state {
                ListedState::Listed(spec) => ChangeState::Listed(ServerFields::new(spec)),
                ListedState::Lapsed => ChangeState::Lapsed,
                ListedState::Gone => ChangeState::Gone,
            },
        }
    }

    /// Returns the change; `None` where a name cannot be one.
    pub(crate) fn read(&self) -> Option<ListChange> {
        let id: BackendId = self.backend.parse().ok()?;
        let state = match &self.state {
            ChangeState::Listed(fields) => ListedState::Listed(fields.read(id.clone())?),
            ChangeState::Lapsed => ListedState::Lapsed,
            ChangeState::Gone => ListedState::Gone,
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
            born: spec.born,
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
            born: self.born,
            models: self.models.iter().cloned().collect(),
        })
    }
}

/// Changes that are still to be told.
#[derive(Debug, Default)]
pub(crate) struct ChangeQueue {
    /// In the order of the store's history, with how often they are still told.
    waiting: VecDeque<(ChangeRecord, u8)>,
    /// All later changes are among those that wait.
    after: u64,
}

/// The changes that are told at one time.
#[derive(Debug)]
pub(crate) struct ChangeBatch {
    /// Up to where a copy has to go for these to be all that it misses.
    pub(crate) after: u64,
    pub(crate) lines: Vec<ChangeRecord>,
    /// How far a copy goes with them where later changes wait.
    pub(crate) up_to: Option<u64>,
}

impl ChangeQueue {
    pub(crate) fn push(&mut self, line: ChangeRecord) {
        let place = self
            .waiting
            .partition_point(|(known, _)| known.position <= line.position);
        self.waiting.insert(place, (line, TELLINGS));
        if self.waiting.len() > MAX_WAITING {
            let dropped = self.waiting.pop_front();
            self.leave_out(dropped.map_or(0, |(line, _)| line.position));
        }
    }

    /// Notes that a change at `position` is not told; entries that miss it fetch it.
    pub(crate) fn leave_out(&mut self, position: u64) {
        self.after = self.after.max(position);
        let after = self.after;
        self.waiting.retain(|(line, _)| line.position > after);
    }

    /// Returns the changes whose turn it is.
    pub(crate) fn next(&mut self) -> Option<ChangeBatch> {
        let after = self.after;
        let count = self.waiting.len().min(MAX_TOLD);
        let later = self.waiting.get(count).map(|(line, _)| line.position);
        let turn = self.waiting.iter_mut().take(count);
        let lines: Vec<ChangeRecord> = turn
            .map(|(line, tellings)| {
                *tellings -= 1;
                line.clone()
            })
            .collect();
        let told = self
            .waiting
            .iter()
            .take_while(|(_, tellings)| *tellings == 0);
        if let Some(last) = told.map(|(line, _)| line.position).last() {
            self.leave_out(last);
        }
        (!lines.is_empty()).then(|| ChangeBatch {
            after,
            lines,
            up_to: later.map(|later| later - 1),
        })
    }
}
