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
    InstanceKind, ListedInstance, PeerAction, PeerEvent, PeerOptions, PeerReach, PeerState,
    RunNumber, HEARTBEAT_EVERY, MISSED_HEARTBEATS,
};

#[derive(Clone, Debug)]
struct PeerRow {
    /// What the list said last; `None` where only heartbeats have told of it.
    listed: Option<ListedInstance>,
    /// Whether the last list held it.
    in_list: bool,
    run: RunNumber,
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
    pub fn takes_work(&self, instance: &InstanceId) -> bool {
        self.state(instance) == Some(PeerState::Live)
    }

    /// Returns the instances in a state, in order.
    pub fn in_state(&self, state: PeerState) -> Vec<InstanceId> {
        let rows = self.rows.iter().filter(|(_, row)| row.state == state);
        rows.map(|(instance, _)| instance.clone()).collect()
    }

    /// Returns how many listed instances of a kind there are, and how many are heard.
    pub fn reach(&self, kind: InstanceKind) -> PeerReach {
        let mut reach = PeerReach::default();
        for row in self.rows.values() {
            let counts = row.in_list && row.listed.as_ref().is_some_and(|l| l.kind == kind);
            if counts && matches!(row.state, PeerState::Live | PeerState::Silent) {
                reach.listed += 1;
                reach.heard += u64::from(row.state == PeerState::Live);
            }
        }
        reach
    }

    /// Decides an event.
    pub fn handle(&mut self, now: TimePoint, event: PeerEvent) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        match event {
            PeerEvent::Listed(list) => self.listed(now, list, &mut actions),
            PeerEvent::Heard {
                instance,
                run,
                stopping,
            } => self.heard(now, instance, run, stopping, &mut actions),
        }
        actions.extend(self.tick(now));
        actions
    }

    /// Finds the silent and the gone.
    pub fn tick(&mut self, now: TimePoint) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        let silence = self.options.silence();
        for (instance, row) in &mut self.rows {
            let unheard = row.is_unheard(now, silence);
            let state = match row.state {
                PeerState::Live if unheard => PeerState::Silent,
                PeerState::Silent | PeerState::Leaving if unheard && !row.in_list => {
                    PeerState::Gone
                }
                state => state,
            };
            row.turn(now, instance, state, &mut actions);
        }
        let remember = self.options.remember_gone;
        self.rows
            .retain(|_, row| row.state != PeerState::Gone || now.since(row.since) < remember);
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
                run: RunNumber::default(),
                state: PeerState::Silent,
                stopping: false,
                heard: None,
                since: now,
            });
            row.in_list = true;
            if row.is_unheard(now, self.options.silence()) {
                actions.push(PeerAction::Connect {
                    instance: instance.clone(),
                    address: one.address.clone(),
                });
            }
            if one.leaving && row.state != PeerState::Gone {
                row.turn(now, &instance, PeerState::Leaving, actions);
            }
            row.listed = Some(one);
        }
    }

    fn heard(
        &mut self,
        now: TimePoint,
        instance: InstanceId,
        run: RunNumber,
        stopping: bool,
        actions: &mut Vec<PeerAction>,
    ) {
        let row = self.rows.entry(instance.clone()).or_insert(PeerRow {
            listed: None,
            in_list: false,
            run,
            state: PeerState::Silent,
            stopping: false,
            heard: None,
            since: now,
        });
        let remember = self.options.remember_gone;
        if run < row.run {
            return;
        }
        if run > row.run {
            row.run = run;
            row.stopping = false;
            row.turn(now, &instance, PeerState::Live, actions);
        }
        row.heard = Some(now);
        row.stopping |= stopping;
        let state = match row.state {
            _ if row.stopping => PeerState::Leaving,
            // The list may be stale either way, so that it is given time.
            PeerState::Leaving if row.is_listed_live() && now.since(row.since) >= remember => {
                PeerState::Live
            }
            PeerState::Leaving => PeerState::Leaving,
            _ => PeerState::Live,
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
        actions.push(PeerAction::Turned {
            instance: instance.clone(),
            state,
        });
    }
}
