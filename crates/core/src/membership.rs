//! Cluster membership, from heartbeats and from the platform's list of instances, which lags.
//!
//! A heartbeat comes from the instance itself and takes precedence over the list. An instance that
//! announced its shutdown becomes alive again only with a heartbeat of a later incarnation, and a
//! removed one never by the list, so that stale information does not bring it back. See
//! [docs/design/membership.md](../../../docs/design/membership.md).

mod types;

use std::collections::BTreeMap;

use crate::id::InstanceId;
use crate::unit::{TimePoint, TimeSpan};

pub use types::{
    IncarnationNumber, InstanceKind, ListedInstance, LivenessCount, PeerAction, PeerEvent,
    PeerOptions, PeerState, HEARTBEAT_INTERVAL, MISSED_HEARTBEATS,
};

#[derive(Clone, Debug)]
struct PeerRow {
    /// The latest list entry; `None` if the instance is known from heartbeats only.
    listed: Option<ListedInstance>,
    /// Whether the latest list contains it.
    in_list: bool,
    incarnation: IncarnationNumber,
    state: PeerState,
    /// Whether this incarnation has announced its shutdown.
    stopping: bool,
    /// When its latest heartbeat arrived.
    last_heartbeat: Option<TimePoint>,
    /// When it entered its state.
    since: TimePoint,
}

/// The instances known to this process.
#[derive(Debug)]
pub struct PeerTable {
    options: PeerOptions,
    rows: BTreeMap<InstanceId, PeerRow>,
}

impl PeerTable {
    /// Creates an empty table.
    pub fn new(options: PeerOptions) -> Self {
        Self {
            options,
            rows: BTreeMap::new(),
        }
    }

    /// Returns the state of an instance, or `None` if it is unknown.
    pub fn state(&self, instance: &InstanceId) -> Option<PeerState> {
        self.rows.get(instance).map(|row| row.state)
    }

    /// Returns whether an instance may be sent new requests.
    pub fn accepts_work(&self, instance: &InstanceId) -> bool {
        self.state(instance) == Some(PeerState::Alive)
    }

    /// Returns the instances in a state, sorted by name.
    pub fn in_state(&self, state: PeerState) -> Vec<InstanceId> {
        let rows = self.rows.iter().filter(|(_, row)| row.state == state);
        rows.map(|(instance, _)| instance.clone()).collect()
    }

    /// Returns how many instances of a kind are listed and not leaving, and how many of these are
    /// alive.
    pub fn liveness_count(&self, kind: InstanceKind) -> LivenessCount {
        let mut count = LivenessCount::default();
        for row in self.rows.values() {
            let is_counted = row.in_list
                && row
                    .listed
                    .as_ref()
                    .is_some_and(|listed| listed.kind == kind);
            if is_counted && matches!(row.state, PeerState::Alive | PeerState::Unresponsive) {
                count.listed += 1;
                count.alive += u64::from(row.state == PeerState::Alive);
            }
        }
        count
    }

    /// Applies an event and returns the actions that follow.
    pub fn handle(&mut self, now: TimePoint, event: PeerEvent) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        match event {
            PeerEvent::Listed(list) => {
                self.apply_list(now, list, &mut actions);
                actions.extend(self.tick(now));
            }
            PeerEvent::Heartbeat {
                instance,
                incarnation,
                stopping,
            } => self.apply_heartbeat(now, instance, incarnation, stopping, &mut actions),
        }
        actions
    }

    /// Marks instances without recent heartbeats as unresponsive, or as removed if they are also
    /// no longer listed, and forgets removed ones after the retention time.
    pub fn tick(&mut self, now: TimePoint) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        let timeout = self.options.silence_timeout();
        for (instance, row) in &mut self.rows {
            let silent = row.is_silent(now, timeout);
            let state = match row.state {
                PeerState::Alive if silent => PeerState::Unresponsive,
                PeerState::Unresponsive | PeerState::Leaving if silent && !row.in_list => {
                    PeerState::Removed
                }
                state => state,
            };
            row.set_state(now, instance, state, &mut actions);
        }
        let retention = self.options.removed_retention;
        self.rows
            .retain(|_, row| row.state != PeerState::Removed || now.since(row.since) < retention);
        actions
    }

    fn apply_list(
        &mut self,
        now: TimePoint,
        list: Vec<ListedInstance>,
        actions: &mut Vec<PeerAction>,
    ) {
        for row in self.rows.values_mut() {
            row.in_list = false;
        }
        for listed in list {
            let instance = listed.instance.clone();
            let row = self.rows.entry(instance.clone()).or_insert(PeerRow {
                listed: None,
                in_list: true,
                incarnation: IncarnationNumber::default(),
                state: PeerState::Unresponsive,
                stopping: false,
                last_heartbeat: None,
                since: now,
            });
            row.in_list = true;
            if row.is_silent(now, self.options.silence_timeout()) {
                actions.push(PeerAction::Connect {
                    instance: instance.clone(),
                    address: listed.address.clone(),
                });
            }
            if listed.leaving && row.state != PeerState::Removed {
                row.set_state(now, &instance, PeerState::Leaving, actions);
            }
            row.listed = Some(listed);
        }
    }

    fn apply_heartbeat(
        &mut self,
        now: TimePoint,
        instance: InstanceId,
        incarnation: IncarnationNumber,
        stopping: bool,
        actions: &mut Vec<PeerAction>,
    ) {
        let row = self.rows.entry(instance.clone()).or_insert(PeerRow {
            listed: None,
            in_list: false,
            incarnation,
            state: PeerState::Unresponsive,
            stopping: false,
            last_heartbeat: None,
            since: now,
        });
        let retention = self.options.removed_retention;
        if incarnation < row.incarnation {
            return;
        }
        if incarnation > row.incarnation {
            row.incarnation = incarnation;
            row.stopping = false;
            row.set_state(now, &instance, PeerState::Alive, actions);
        }
        row.last_heartbeat = Some(now);
        row.stopping |= stopping;
        let state = match row.state {
            _ if row.stopping => PeerState::Leaving,
            // The latest list says that it is not leaving, an earlier one that it is. Either may be
            // stale, so the peer stays in this state for the retention time.
            PeerState::Leaving
                if row.is_listed_as_staying() && now.since(row.since) >= retention =>
            {
                PeerState::Alive
            }
            PeerState::Leaving => PeerState::Leaving,
            _ => PeerState::Alive,
        };
        row.set_state(now, &instance, state, actions);
    }
}

impl PeerRow {
    fn is_silent(&self, now: TimePoint, timeout: TimeSpan) -> bool {
        self.last_heartbeat
            .is_none_or(|arrived_at| now.since(arrived_at) >= timeout)
    }

    fn is_listed_as_staying(&self) -> bool {
        self.in_list && self.listed.as_ref().is_some_and(|listed| !listed.leaving)
    }

    fn set_state(
        &mut self,
        now: TimePoint,
        instance: &InstanceId,
        state: PeerState,
        actions: &mut Vec<PeerAction>,
    ) {
        if state == self.state {
            return;
        }
        self.state = state;
        self.since = now;
        actions.push(PeerAction::StateChanged {
            instance: instance.clone(),
            state,
        });
    }
}
