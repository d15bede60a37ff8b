//! The state machine of role changes: evaluate, drain, set the role, return to service.

use std::collections::BTreeMap;

use super::payback::drain_cost;
use super::table::{EngineRow, EngineTable};
use super::{
    EngineReport, EngineRole, EngineState, OrderAuthority, RoleAction, RoleDecision, RoleEvent,
    RoleSettings,
};
use crate::forecast::{DemandForecast, PoolDemand};
use crate::id::{BackendId, PoolId};
use crate::unit::{TimePoint, TimeSpan};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangePhase {
    Draining,
    Switching,
}

#[derive(Clone, Debug)]
struct ChangeRow {
    decision: RoleDecision,
    phase: ChangePhase,
    since: TimePoint,
}

#[derive(Clone, Debug, Default)]
struct PoolRow {
    change: Option<ChangeRow>,
    /// The change that has been paying off without interruption.
    candidate: Option<CandidateChange>,
    last: Option<LastChange>,
}

#[derive(Clone, Copy, Debug)]
struct CandidateChange {
    to: EngineRole,
    since: TimePoint,
}

#[derive(Clone, Copy, Debug)]
struct LastChange {
    to: EngineRole,
    ended_at: TimePoint,
}

/// Decides which engines change their role, and when.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    settings: RoleSettings,
    engines: EngineTable,
    pools: BTreeMap<PoolId, PoolRow>,
}

impl RolePlanner {
    /// Creates a planner without engines.
    pub fn new(settings: RoleSettings) -> Self {
        Self {
            settings,
            engines: EngineTable::default(),
            pools: BTreeMap::new(),
        }
    }

    /// Applies an event and returns the actions that follow at once.
    pub fn handle(
        &mut self,
        now: TimePoint,
        authority: OrderAuthority,
        event: RoleEvent,
    ) -> Vec<RoleAction> {
        match event {
            RoleEvent::Reported(report) => {
                self.record_report(now, report);
                Vec::new()
            }
            RoleEvent::Lost(backend) => {
                self.remove_engine(now, &backend);
                Vec::new()
            }
            RoleEvent::Drained(backend) => self.start_switch(now, authority, &backend),
            RoleEvent::RoleSet(backend, role) => self.finish(now, authority, &backend, Some(role)),
            RoleEvent::RoleRefused(backend) => self.finish(now, authority, &backend, None),
        }
    }

    /// Starts changes that pay off, and repeats or abandons those that take too long.
    pub fn tick(
        &mut self,
        now: TimePoint,
        authority: OrderAuthority,
        forecast: &DemandForecast,
    ) -> Vec<RoleAction> {
        if authority == OrderAuthority::Absent {
            self.pools.clear();
            return Vec::new();
        }
        let pools = self.pool_ids();
        let mut actions = self.undrain_orphans(now);
        for pool in pools {
            let demand = forecast.demand(&pool, self.settings.switch_time);
            actions.extend(self.assign_new(now, &pool, &demand));
            match self.pools.entry(pool.clone()).or_default().change.is_some() {
                true => actions.extend(self.advance_change(now, &pool)),
                false => actions.extend(self.consider_change(now, &pool, &demand)),
            }
        }
        actions
    }

    fn pool_ids(&self) -> Vec<PoolId> {
        let mut pools: Vec<PoolId> = self
            .engines
            .rows
            .values()
            .map(|row| row.report.pool.clone())
            .collect();
        pools.sort();
        pools.dedup();
        pools
    }

    fn record_report(&mut self, now: TimePoint, report: EngineReport) {
        let row = self
            .engines
            .rows
            .entry(report.backend.clone())
            .or_insert_with(|| EngineRow {
                report: report.clone(),
                assigned: None,
                ordered_at: TimePoint::START,
                draining_since: None,
            });
        let draining = report.state == EngineState::Draining;
        row.draining_since = draining.then(|| row.draining_since.unwrap_or(now));
        if report.role.is_some() {
            row.assigned = None;
        }
        row.report = report;
    }

    fn remove_engine(&mut self, now: TimePoint, backend: &BackendId) {
        let Some(row) = self.engines.rows.remove(backend) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&row.report.pool) {
            pool.end_change_of(now, backend);
        }
    }

    /// Returns the change in progress of this engine.
    fn change_mut(&mut self, backend: &BackendId) -> Option<&mut ChangeRow> {
        let row = self.engines.rows.get(backend)?;
        let change = self.pools.get_mut(&row.report.pool)?.change.as_mut()?;
        (change.decision.backend == *backend).then_some(change)
    }

    fn start_switch(
        &mut self,
        now: TimePoint,
        authority: OrderAuthority,
        backend: &BackendId,
    ) -> Vec<RoleAction> {
        if authority == OrderAuthority::Absent {
            return Vec::new();
        }
        let Some(change) = self.change_mut(backend) else {
            return Vec::new();
        };
        if change.phase == ChangePhase::Switching {
            return Vec::new();
        }
        change.phase = ChangePhase::Switching;
        change.since = now;
        let decision = change.decision.clone();
        vec![RoleAction::SetRole { decision }]
    }

    /// Ends the change of an engine that took `role`, or kept its role if that is `None`.
    fn finish(
        &mut self,
        now: TimePoint,
        authority: OrderAuthority,
        backend: &BackendId,
        role: Option<EngineRole>,
    ) -> Vec<RoleAction> {
        if let Some(row) = self.engines.rows.get_mut(backend) {
            row.assigned = None;
            row.report.role = role.or(row.report.role);
        }
        let in_progress = self.change_mut(backend).is_some();
        if !in_progress || authority == OrderAuthority::Absent {
            return Vec::new();
        }
        self.undrain(now, backend)
    }

    fn undrain(&mut self, now: TimePoint, backend: &BackendId) -> Vec<RoleAction> {
        if let Some(row) = self.engines.rows.get_mut(backend) {
            row.draining_since = None;
            row.report.state = EngineState::Serving;
            if let Some(pool) = self.pools.get_mut(&row.report.pool) {
                pool.end_change_of(now, backend);
            }
        }
        vec![RoleAction::Undrain {
            backend: backend.clone(),
        }]
    }

    /// Returns engines to service whose drain belongs to no change, such as one of a previous
    /// lease holder.
    fn undrain_orphans(&mut self, now: TimePoint) -> Vec<RoleAction> {
        let limit = self.settings.order_timeout;
        let overdue = |row: &&EngineRow| match row.draining_since {
            Some(since) => now.since(since) > limit,
            None => false,
        };
        let orphans: Vec<BackendId> = self
            .engines
            .rows
            .values()
            .filter(overdue)
            .map(|row| row.report.backend.clone())
            .collect();
        let mut actions = Vec::new();
        for backend in orphans {
            if self.change_mut(&backend).is_none() {
                actions.extend(self.undrain(now, &backend));
            }
        }
        actions
    }

    /// Orders new engines to take their first role, and repeats orders that timed out.
    fn assign_new(
        &mut self,
        now: TimePoint,
        pool: &PoolId,
        demand: &PoolDemand,
    ) -> Vec<RoleAction> {
        let limit = self.settings.order_timeout;
        let unassigned = |row: &&EngineRow| {
            let ordered = row.assigned.is_some() && now.since(row.ordered_at) <= limit;
            row.report.pool == *pool
                && row.report.role.is_none()
                && row.report.state != EngineState::Leaving
                && !ordered
        };
        let new_engines: Vec<BackendId> = self
            .engines
            .rows
            .values()
            .filter(unassigned)
            .map(|row| row.report.backend.clone())
            .collect();
        let mut actions = Vec::new();
        for backend in new_engines {
            let decision = self
                .engines
                .first_role(pool, &backend, demand, &self.settings);
            if let Some(row) = self.engines.rows.get_mut(&backend) {
                row.assigned = Some(decision.to);
                row.ordered_at = now;
            }
            actions.push(RoleAction::SetRole { decision });
        }
        actions
    }

    /// Repeats an unconfirmed order, and abandons a drain that takes too long.
    fn advance_change(&mut self, now: TimePoint, pool: &PoolId) -> Vec<RoleAction> {
        let settings = self.settings;
        let Some(change) = self.pools.get_mut(pool).and_then(|row| row.change.as_mut()) else {
            return Vec::new();
        };
        let elapsed = now.since(change.since);
        match change.phase {
            ChangePhase::Draining if elapsed > settings.drain_timeout => {
                let backend = change.decision.backend.clone();
                self.undrain(now, &backend)
            }
            ChangePhase::Switching if elapsed > settings.order_timeout => {
                change.since = now;
                let decision = change.decision.clone();
                vec![RoleAction::SetRole { decision }]
            }
            _ => Vec::new(),
        }
    }

    /// Returns whether an engine of the pool is draining; no other drain starts meanwhile, even if
    /// this planner did not start that one.
    fn has_draining_engine(&self, pool: &PoolId) -> bool {
        let mut rows = self.engines.rows.values();
        rows.any(|row| row.report.pool == *pool && row.draining_since.is_some())
    }

    /// Starts the best change once it has paid off for long enough.
    fn consider_change(
        &mut self,
        now: TimePoint,
        pool: &PoolId,
        demand: &PoolDemand,
    ) -> Vec<RoleAction> {
        if self.has_draining_engine(pool) || demand.observed < self.settings.warmup {
            return Vec::new();
        }
        let best = self.engines.best_change(pool, demand, &self.settings);
        let settings = self.settings;
        let row = self.pools.entry(pool.clone()).or_default();
        let Some(decision) = best else {
            row.candidate = None;
            return Vec::new();
        };
        let candidate = match row.candidate {
            Some(candidate) if candidate.to == decision.to => candidate,
            _ => CandidateChange {
                to: decision.to,
                since: now,
            },
        };
        row.candidate = Some(candidate);
        let stable = now.since(candidate.since) >= settings.stabilization;
        if !stable || !row.is_cooldown_over(now, decision.to, &settings) {
            return Vec::new();
        }
        row.change = Some(ChangeRow {
            decision: decision.clone(),
            phase: ChangePhase::Draining,
            since: now,
        });
        let engine = self.engines.rows.get(&decision.backend);
        let hand_over = engine.is_some_and(|row| drain_cost(&row.report, &settings).hand_over);
        vec![RoleAction::Drain {
            hand_over,
            decision,
        }]
    }
}

impl PoolRow {
    fn end_change_of(&mut self, now: TimePoint, backend: &BackendId) {
        let is_same = |change: &ChangeRow| change.decision.backend == *backend;
        if self.change.as_ref().is_some_and(is_same) {
            let change = self.change.take();
            self.last = change.map(|change| LastChange {
                to: change.decision.to,
                ended_at: now,
            });
        }
    }

    fn is_cooldown_over(&self, now: TimePoint, to: EngineRole, settings: &RoleSettings) -> bool {
        let Some(last) = self.last else {
            return true;
        };
        let cooldown: TimeSpan = match last.to == to {
            true => settings.cooldown,
            false => settings.reversal_cooldown,
        };
        now.since(last.ended_at) >= cooldown
    }
}
