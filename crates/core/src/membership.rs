//! Who takes part: instances by heartbeats and by the platform's lagging list.
//!
//! A heartbeat is the word of the instance itself and weighs more than the
//! list; what has once been seen to leave is not taken for live again until a
//! later run of it speaks. See
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
    /// What the list said last; `None` where only heartbeats have told of it.
    listed: Option<ListedInstance>,
    /// Whether the last list held it.
    in_list: bool,
    incarnation: IncarnationNumber,
    state: PeerState,
    /// Whether this run has said itself that it stops.
    stopping: bool,
    heard: Option<TimePoint>,
    /// When it turned to its state.
    since: TimePoint,
}

/// The instances that this process knows.
#[derive(Debug)]
pub struct PeerTable {
    options: PeerOptions,
    rows: BTreeMap<InstanceId, PeerRow>,
}

impl PeerTable {
    /// A table that knows nobody.
    pub fn new(options: PeerOptions) -> Self {
        Self {
            options,
            rows: BTreeMap::new(),
        }
    }

    /// Returns an instance's state.
    pub fn state(&self, instance: &InstanceId) -> Option<PeerState> {
        self.rows.get(instance).map(|row| row.state)
    }

    /// Returns whether an instance may be given new work.
    pub fn accepts_work(&self, instance: &InstanceId) -> bool {
        self.state(instance) == Some(PeerState::Alive)
    }

    /// Returns the instances in a state, in order.
    pub fn in_state(&self, state: PeerState) -> Vec<InstanceId> {
        let rows = self.rows.iter().filter(|(_, row)| row.state == state);
        rows.map(|(instance, _)| instance.clone()).collect()
    }

    /// Returns how many listed instances of a kind there are, and how many are heard.
    pub fn liveness_count(&self, kind: InstanceKind) -> LivenessCount {
        let mut count = LivenessCount::default();
        for row in self.rows.values() {
            let counts = row.in_list && row.listed.as_ref().is_some_and(|l| l.kind == kind);
            if counts && matches!(row.state, PeerState::Alive | PeerState::Unresponsive) {
                count.listed += 1;
                count.alive += u64::from(row.state == PeerState::Alive);
            }
        }
        count
    }

    /// Decides an event.
    pub fn handle(&mut self, now: TimePoint, event: PeerEvent) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        match event {
            PeerEvent::Listed(list) => {
                self.listed(now, list, &mut actions);
                actions.extend(self.tick(now));
            }
            PeerEvent::Heartbeat {
                instance,
                incarnation,
                stopping,
            } => self.heard(now, instance, incarnation, stopping, &mut actions),
        }
        actions
    }

    /// Finds the silent and the gone.
    pub fn tick(&mut self, now: TimePoint) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        let silence = self.options.silence_timeout();
        for (instance, row) in &mut self.rows {
            let unheard = row.is_unheard(now, silence);
            let state = match row.state {
                PeerState::Alive if unheard => PeerState::Unresponsive,
                PeerState::Unresponsive | PeerState::Leaving if unheard && !row.in_list => {
                    PeerState::Removed
                }
                state => state,
            };
            row.turn(now, instance, state, &mut actions);
        }
        let remember = self.options.removed_retention;
        self.rows
            .retain(|_, row| row.state != PeerState::Removed || now.since(row.since) < remember);
        actions
    }

    fn listed(&mut self, now: TimePoint, list: Vec<ListedInstance>, actions: &mut Vec<PeerAction>) {
        for row in self.rows.values_mut() {
            row.in_list = false;
        }
        for one in list {
            let instance = one.instance.clone();
            let row = self.rows.entry(instance.clone()).or_insert(PeerRow {
                listed: None,
                in_list: true,
                incarnation: IncarnationNumber::default(),
                state: PeerState::Unresponsive,
                stopping: false,
                heard: None,
                since: now,
            });
            row.in_list = true;
            if row.is_unheard(now, self.options.silence_timeout()) {
                actions.push(PeerAction::Connect {
                    instance: instance.clone(),
                    address: one.address.clone(),
                });
            }
            if one.leaving && row.state != PeerState::Removed {
                row.turn(now, &instance, PeerState::Leaving, actions);
            }
            row.listed = Some(one);
        }
    }

    fn heard(
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
            heard: None,
            since: now,
        });
        let remember = self.options.removed_retention;
        if incarnation < row.incarnation {
            return;
        }
        if incarnation > row.incarnation {
            row.incarnation = incarnation;
            row.stopping = false;
            row.turn(now, &instance, PeerState::Alive, actions);
        }
        row.heard = Some(now);
        row.stopping |= stopping;
        let state = match row.state {
            _ if row.stopping => PeerState::Leaving,
            // The list may be stale either way, so that it is given time.
            PeerState::Leaving if row.is_listed_live() && now.since(row.since) >= remember => {
                PeerState::Alive
            }
            PeerState::Leaving => PeerState::Leaving,
            _ => PeerState::Alive,
        };
        row.turn(now, &instance, state, actions);
    }
}

impl PeerRow {
    fn is_unheard(&self, now: TimePoint, silence: TimeSpan) -> bool {
        self.heard.is_none_or(|heard| now.since(heard) >= silence)
    }

    fn is_listed_live(&self) -> bool {
        self.in_list && self.listed.as_ref().is_some_and(|one| !one.leaving)
    }

    fn turn(
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
