//! The state machine of role changes: weigh, drain, set the role, serve again.

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
    /// The direction that has paid without a break, and since when.
    paying: Option<PayingSpan>,
    last: Option<LastChange>,
}

#[derive(Clone, Copy, Debug)]
struct PayingSpan {
    to: EngineRole,
    since: TimePoint,
}

#[derive(Clone, Copy, Debug)]
struct LastChange {
    to: EngineRole,
    ended: TimePoint,
}

/// Decides which engines change their role, and when.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    settings: RoleSettings,
    engines: EngineTable,
    pools: BTreeMap<PoolId, PoolRow>,
}

impl RolePlanner {
    /// A planner that knows no engine yet.
    pub fn new(settings: RoleSettings) -> Self {
        Self {
            settings,
            engines: EngineTable::default(),
            pools: BTreeMap::new(),
        }
    }

    /// Takes in an event and returns what follows from it at once.
    pub fn handle(
        &mut self,
        now: TimePoint,
        authority: OrderAuthority,
        event: RoleEvent,
    ) -> Vec<RoleAction> {
        match event {
            RoleEvent::Reported(report) => {
                self.note_report(now, report);
                Vec::new()
            }
            RoleEvent::Lost(backend) => {
                self.forget(now, &backend);
                Vec::new()
            }
            RoleEvent::Drained(backend) => self.switch(now, authority, &backend),
            RoleEvent::RoleSet(backend, role) => self.finish(now, authority, &backend, Some(role)),
            RoleEvent::RoleRefused(backend) => self.finish(now, authority, &backend, None),
        }
    }

    /// Weighs changes and repeats or gives up what has taken too long.
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
        let mut actions = self.adopt_strays(now);
        for pool in pools {
            let demand = forecast.demand(&pool, self.settings.switch_time);
            actions.extend(self.assign_new(now, &pool, &demand));
            match self.pools.entry(pool.clone()).or_default().change.is_some() {
                true => actions.extend(self.pursue(now, &pool)),
                false => actions.extend(self.consider(now, &pool, &demand)),
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

    fn note_report(&mut self, now: TimePoint, report: EngineReport) {
        let row = self
            .engines
            .rows
            .entry(report.backend.clone())
            .or_insert_with(|| EngineRow {
                report: report.clone(),
                assigned: None,
                asked_at: TimePoint::START,
                draining_since: None,
            });
        let draining = report.state == EngineState::Draining;
        row.draining_since = draining.then(|| row.draining_since.unwrap_or(now));
        if report.role.is_some() {
            row.assigned = None;
        }
        row.report = report;
    }

    fn forget(&mut self, now: TimePoint, backend: &BackendId) {
        let Some(row) = self.engines.rows.remove(backend) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&row.report.pool) {
            pool.end_change_of(now, backend);
        }
    }

    fn change_mut(&mut self, backend: &BackendId) -> Option<&mut ChangeRow> {
        let row = self.engines.rows.get(backend)?;
        let change = self.pools.get_mut(&row.report.pool)?.change.as_mut()?;
        (change.decision.backend == *backend).then_some(change)
    }

    fn switch(
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
        let known = self.change_mut(backend).is_some();
        if !known || authority == OrderAuthority::Absent {
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

    /// Puts engines back to work whose drain no change accounts for, such as a predecessor's.
    fn adopt_strays(&mut self, now: TimePoint) -> Vec<RoleAction> {
        let limit = self.settings.order_timeout;
        let overdue = |row: &&EngineRow| match row.draining_since {
            Some(since) => now.since(since) > limit,
            None => false,
        };
        let strays: Vec<BackendId> = self
            .engines
            .rows
            .values()
            .filter(overdue)
            .map(|row| row.report.backend.clone())
            .collect();
        let mut actions = Vec::new();
        for backend in strays {
            if self.change_mut(&backend).is_none() {
                actions.extend(self.undrain(now, &backend));
            }
        }
        actions
    }

    /// Gives new engines the role in which they serve most.
    fn assign_new(
        &mut self,
        now: TimePoint,
        pool: &PoolId,
        demand: &PoolDemand,
    ) -> Vec<RoleAction> {
        let limit = self.settings.order_timeout;
        let waiting = |row: &&EngineRow| {
            let asked = row.assigned.is_some() && now.since(row.asked_at) <= limit;
            row.report.pool == *pool
                && row.report.role.is_none()
                && row.report.state != EngineState::Leaving
                && !asked
        };
        let fresh: Vec<BackendId> = self
            .engines
            .rows
            .values()
            .filter(waiting)
            .map(|row| row.report.backend.clone())
            .collect();
        let mut actions = Vec::new();
        for backend in fresh {
            let decision = self
                .engines
                .first_role(pool, &backend, demand, &self.settings);
            if let Some(row) = self.engines.rows.get_mut(&backend) {
                row.assigned = Some(decision.to);
                row.asked_at = now;
            }
            actions.push(RoleAction::SetRole { decision });
        }
        actions
    }

    /// Repeats an unanswered order and gives up a drain that does not end.
    fn pursue(&mut self, now: TimePoint, pool: &PoolId) -> Vec<RoleAction> {
        let settings = self.settings;
        let Some(change) = self.pools.get_mut(pool).and_then(|row| row.change.as_mut()) else {
            return Vec::new();
        };
        let waited = now.since(change.since);
        match change.phase {
            ChangePhase::Draining if waited > settings.drain_timeout => {
                let backend = change.decision.backend.clone();
                self.undrain(now, &backend)
            }
            ChangePhase::Switching if waited > settings.order_timeout => {
                change.since = now;
                let decision = change.decision.clone();
                vec![RoleAction::SetRole { decision }]
            }
            _ => Vec::new(),
        }
    }

    /// A drain that this planner did not start is settled before another begins.
    fn pool_drains(&self, pool: &PoolId) -> bool {
        let mut rows = self.engines.rows.values();
        rows.any(|row| row.report.pool == *pool && row.draining_since.is_some())
    }

    fn consider(&mut self, now: TimePoint, pool: &PoolId, demand: &PoolDemand) -> Vec<RoleAction> {
        if self.pool_drains(pool) || demand.observed < self.settings.warmup {
            return Vec::new();
        }
        let best = self.engines.best_change(pool, demand, &self.settings);
        let settings = self.settings;
        let row = self.pools.entry(pool.clone()).or_default();
        let Some(decision) = best else {
            row.paying = None;
            return Vec::new();
        };
        let paying = match row.paying {
            Some(span) if span.to == decision.to => span,
            _ => PayingSpan {
                to: decision.to,
                since: now,
            },
        };
        row.paying = Some(paying);
        let settled = now.since(paying.since) >= settings.stabilization;
        if !settled || !row.rested(now, decision.to, &settings) {
            return Vec::new();
        }
        row.change = Some(ChangeRow {
            decision: decision.clone(),
            phase: ChangePhase::Draining,
            since: now,
        });
        let cost = self.engines.rows.get(&decision.backend);
        let hand_over = cost.is_some_and(|row| drain_cost(&row.report, &settings).hand_over);
        vec![RoleAction::Drain {
            hand_over,
            decision,
        }]
    }
}

impl PoolRow {
    fn end_change_of(&mut self, now: TimePoint, backend: &BackendId) {
        let ours = |change: &ChangeRow| change.decision.backend == *backend;
        if self.change.as_ref().is_some_and(ours) {
            let change = self.change.take();
            self.last = change.map(|change| LastChange {
                to: change.decision.to,
                ended: now,
            });
        }
    }

    fn rested(&self, now: TimePoint, to: EngineRole, settings: &RoleSettings) -> bool {
        let Some(last) = self.last else {
            return true;
        };
        let rest: TimeSpan = match last.to == to {
            true => settings.cooldown,
            false => settings.reversal_cooldown,
        };
        now.since(last.ended) >= rest
    }
}
