//! Orders, drains and releases, one decision at a time.

use std::collections::BTreeMap;

use super::need::figures;
use super::table::{BackendPhase, FleetTable, OrderRow};
use super::{FleetAction, FleetDecision, FleetEvent, FleetFigures, FleetSettings, PoolPlan};
use crate::forecast::DemandForecast;
use crate::id::{BackendId, DomainId, FencingNumber, OrderId, PoolId};
use crate::role::{EngineReport, EngineRole, EngineState, OrderAuthority};
use crate::unit::{TimePoint, TimeSpan};

/// How long after a drain was taken back a report may still show it.
const REPORT_SETTLE: TimeSpan = TimeSpan::from_secs(15);

#[derive(Clone, Debug)]
struct PoolRow {
    plan: PoolPlan,
    /// For each surplus backend server, since when there has been that many.
    surplus_since: Vec<TimePoint>,
}

/// Decides what is ordered and released in each pool.
#[derive(Clone, Debug)]
pub struct FleetPlanner {
    settings: FleetSettings,
    pools: BTreeMap<PoolId, PoolRow>,
    table: FleetTable,
    refused_until: BTreeMap<DomainId, TimePoint>,
    next_order: u64,
}

impl FleetPlanner {
    /// A planner that knows no pool and no backend server yet.
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            settings,
            pools: BTreeMap::new(),
            table: FleetTable::default(),
            refused_until: BTreeMap::new(),
            next_order: 0,
        }
    }

    /// Takes in an event and returns what follows from it at once.
    pub fn handle(
        &mut self,
        now: TimePoint,
        authority: OrderAuthority,
        event: FleetEvent,
    ) -> Vec<FleetAction> {
        match event {
            FleetEvent::Planned(plan) => self.note_plan(plan),
            FleetEvent::Removed(pool) => {
                self.pools.remove(&pool);
            }
            FleetEvent::Reported(report) => self.note_report(now, &report),
            FleetEvent::Listed {
                backend,
                pool,
                domain,
                leaving,
            } => {
                let row = self.table.note(now, &backend, &pool, &domain);
                if leaving {
                    row.phase = BackendPhase::Gone;
                }
            }
            FleetEvent::Unlisted(backend) => {
                self.table.backends.remove(&backend);
            }
            FleetEvent::Lost(backend) => return self.note_lost(now, authority, &backend),
            FleetEvent::Drained(backend) => return self.release(now, authority, &backend),
            FleetEvent::OrderRecovered {
                order,
                pool,
                domain,
                age,
            } => {
                let sent = now - age;
                let row = OrderRow { pool, domain, sent };
                self.table.orders.entry(order).or_insert(row);
            }
            FleetEvent::OrderRefused(order) => self.note_refused(now, &order),
        }
        Vec::new()
    }

    /// Compares each pool with its target, then orders, drains or puts back to work.
    pub fn tick(
        &mut self,
        now: TimePoint,
        authority: OrderAuthority,
        forecast: &DemandForecast,
    ) -> Vec<FleetAction> {
        let deadline = self.settings.order_timeout;
        let table = &mut self.table;
        table
            .orders
            .retain(|_, row| now.since(row.sent) <= deadline);
        let OrderAuthority::Held(fencing) = authority else {
            self.pools
                .values_mut()
                .for_each(|row| row.surplus_since.clear());
            return Vec::new();
        };
        let pools: Vec<PoolId> = self.pools.keys().cloned().collect();
        let mut actions = Vec::new();
        for pool in pools {
            let figures = self.figures(now, &pool, forecast);
            let have = figures.serving + figures.ordered;
            match have < figures.target {
                true => actions.extend(self.grow(now, fencing, &pool, figures)),
                false => actions.extend(self.shrink(now, &pool, figures)),
            }
        }
        actions
    }

    fn note_plan(&mut self, plan: PoolPlan) {
        let row = self.pools.entry(plan.pool.clone()).or_insert(PoolRow {
            plan: plan.clone(),
            surplus_since: Vec::new(),
        });
        row.plan = plan;
    }

    fn note_report(&mut self, now: TimePoint, report: &EngineReport) {
        let row = self
            .table
            .note(now, &report.backend, &report.pool, &report.domain);
        row.role = report.role;
        row.held = report.held_tokens;
        if let BackendPhase::Lost(_) = row.phase {
            row.phase = BackendPhase::Serving;
        }
        let settled = now.since(row.since) >= REPORT_SETTLE;
        if report.state == EngineState::Leaving && row.phase == BackendPhase::Serving && settled {
            row.phase = BackendPhase::Draining;
        }
    }

    /// A crash ends a drain: nothing is left to wait for.
    fn note_lost(
        &mut self,
        now: TimePoint,
        authority: OrderAuthority,
        backend: &BackendId,
    ) -> Vec<FleetAction> {
        if let Some(row) = self.table.backends.get_mut(backend) {
            if row.phase == BackendPhase::Serving {
                row.phase = BackendPhase::Lost(now);
            }
        }
        self.release(now, authority, backend)
    }

    fn note_refused(&mut self, now: TimePoint, order: &OrderId) {
        if let Some(row) = self.table.orders.remove(order) {
            let until = now + self.settings.domain_cooldown;
            self.refused_until.insert(row.domain, until);
        }
    }

    /// A crashed backend server counts while it may still restart.
    fn counts(&self, now: TimePoint, phase: BackendPhase) -> bool {
        match phase {
            BackendPhase::Serving => true,
            BackendPhase::Lost(since) => now.since(since) <= self.settings.restart_grace,
            BackendPhase::Draining | BackendPhase::Gone => false,
        }
    }

    fn figures(&self, now: TimePoint, pool: &PoolId, forecast: &DemandForecast) -> FleetFigures {
        let Some(row) = self.pools.get(pool) else {
            return FleetFigures::default();
        };
        let demand = forecast.demand(pool, self.settings.lead_time);
        let counted = self
            .table
            .of_pool(pool)
            .filter(|(_, row)| self.counts(now, row.phase));
        FleetFigures {
            serving: counted.count() as u32,
            ordered: self.table.ordered(pool),
            ..figures(&row.plan, &demand, &self.settings)
        }
    }

    fn grow(
        &mut self,
        now: TimePoint,
        fencing: FencingNumber,
        pool: &PoolId,
        figures: FleetFigures,
    ) -> Vec<FleetAction> {
        if let Some(row) = self.pools.get_mut(pool) {
            row.surplus_since.clear();
        }
        let mut actions = Vec::new();
        let missing = figures.target - figures.serving - figures.ordered;
        for _ in 0..missing {
            let action = match self.undrain(now, pool) {
                Some(action) => Some(action),
                None => self.order(now, fencing, pool, figures),
            };
            actions.extend(action);
        }
        actions
    }

    fn undrain(&mut self, now: TimePoint, pool: &PoolId) -> Option<FleetAction> {
        let rows = self.table.backends.iter_mut();
        let mut draining =
            rows.filter(|(_, row)| row.pool == *pool && row.phase == BackendPhase::Draining);
        let (backend, row) = draining.next()?;
        row.phase = BackendPhase::Serving;
        row.since = now;
        Some(FleetAction::Undrain {
            backend: backend.clone(),
        })
    }

    fn order(
        &mut self,
        now: TimePoint,
        fencing: FencingNumber,
        pool: &PoolId,
        figures: FleetFigures,
    ) -> Option<FleetAction> {
        let domains = self.open_domains(now, pool);
        let spread = self.table.spread(pool, &domains);
        let (domain, _) = spread.iter().min_by_key(|(_, count)| **count)?;
        let order = self.next_order_id(fencing)?;
        let row = OrderRow {
            pool: pool.clone(),
            domain: domain.clone(),
            sent: now,
        };
        self.table.orders.insert(order.clone(), row);
        Some(FleetAction::Order {
            order,
            decision: FleetDecision {
                pool: pool.clone(),
                domain: domain.clone(),
                figures,
            },
        })
    }

    fn open_domains(&self, now: TimePoint, pool: &PoolId) -> Vec<DomainId> {
        let Some(row) = self.pools.get(pool) else {
            return Vec::new();
        };
        let closed = |domain: &&DomainId| {
            let until = self.refused_until.get(*domain);
            until.is_none_or(|until| *until <= now)
        };
        row.plan.domains.iter().filter(closed).cloned().collect()
    }

    fn next_order_id(&mut self, fencing: FencingNumber) -> Option<OrderId> {
        self.next_order += 1;
        format!("fleet-{fencing}-{}", self.next_order).parse().ok()
    }

    fn shrink(&mut self, now: TimePoint, pool: &PoolId, figures: FleetFigures) -> Vec<FleetAction> {
        let surplus = (figures.serving + figures.ordered - figures.target) as usize;
        let break_even = self.settings.break_even;
        let Some(row) = self.pools.get_mut(pool) else {
            return Vec::new();
        };
        row.surplus_since.resize(surplus, now);
        let overdue = |since: &&TimePoint| now.since(**since) >= break_even;
        let idle = row.surplus_since.iter().filter(overdue).count();
        let mut actions = Vec::new();
        for _ in 0..idle {
            actions.extend(self.drain_one(pool, figures));
        }
        actions
    }

    fn drain_one(&mut self, pool: &PoolId, figures: FleetFigures) -> Option<FleetAction> {
        let backend = self.release_choice(pool)?;
        let row = self.table.backends.get_mut(&backend)?;
        row.phase = BackendPhase::Draining;
        let domain = row.domain.clone();
        if let Some(row) = self.pools.get_mut(pool) {
            row.surplus_since.remove(0);
        }
        Some(FleetAction::Drain {
            backend,
            decision: FleetDecision {
                pool: pool.clone(),
                domain,
                figures,
            },
        })
    }

    /// The emptiest backend server of the fullest failure domain, never the last of a role.
    fn release_choice(&self, pool: &PoolId) -> Option<BackendId> {
        let domains: Vec<DomainId> = self.pools.get(pool)?.plan.domains.iter().cloned().collect();
        let spread = self.table.spread(pool, &domains);
        let mut roles: BTreeMap<Option<EngineRole>, u32> = BTreeMap::new();
        for (_, row) in self.serving(pool) {
            *roles.entry(row.role).or_default() += 1;
        }
        let last = |role: Option<EngineRole>| role.is_some() && roles.get(&role) == Some(&1);
        let free = self.serving(pool).filter(|(_, row)| !last(row.role));
        let fullest = |domain: &DomainId| spread.get(domain).copied().unwrap_or(u32::MAX);
        let choice = free.min_by_key(|(backend, row)| {
            let rank = std::cmp::Reverse(fullest(&row.domain));
            (rank, row.held, *backend)
        });
        choice.map(|(backend, _)| backend.clone())
    }

    fn serving<'a>(
        &'a self,
        pool: &'a PoolId,
    ) -> impl Iterator<Item = (&'a BackendId, &'a super::table::BackendRow)> {
        let rows = self.table.of_pool(pool);
        rows.filter(|(_, row)| row.phase == BackendPhase::Serving)
    }

    fn release(
        &mut self,
        now: TimePoint,
        authority: OrderAuthority,
        backend: &BackendId,
    ) -> Vec<FleetAction> {
        let OrderAuthority::Held(fencing) = authority else {
            return Vec::new();
        };
        let Some(row) = self.table.backends.get_mut(backend) else {
            return Vec::new();
        };
        if row.phase != BackendPhase::Draining {
            return Vec::new();
        }
        row.phase = BackendPhase::Gone;
        row.since = now;
        let backend = backend.clone();
        let order = self.next_order_id(fencing);
        let release = order.map(|order| FleetAction::Release { order, backend });
        release.into_iter().collect()
    }
}
