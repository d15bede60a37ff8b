//! Decides orders, drains and releases of backend servers.

use std::collections::BTreeMap;

use super::sizing::target_figures;
use super::table::{BackendPhase, FleetTable, OrderRow};
use super::{FleetAction, FleetDecision, FleetEvent, FleetFigures, FleetSettings, PoolPlan};
use crate::forecast::DemandForecast;
use crate::id::{BackendId, DomainId, FencingNumber, OrderId, PoolId};
use crate::role::{EngineReport, EngineRole, EngineState, OrderAuthority};
use crate::unit::{TimePoint, TimeSpan};

/// How long after a drain was cancelled reports may still show it.
const STALE_DRAIN_WINDOW: TimeSpan = TimeSpan::from_secs(15);

#[derive(Clone, Debug)]
struct PoolRow {
    plan: PoolPlan,
    /// For each surplus backend server, since when the surplus has been at least that large.
    surplus_since: Vec<TimePoint>,
}

/// Decides which backend servers are ordered and released in each pool.
#[derive(Clone, Debug)]
pub struct FleetPlanner {
    settings: FleetSettings,
    pools: BTreeMap<PoolId, PoolRow>,
    table: FleetTable,
    refused_until: BTreeMap<DomainId, TimePoint>,
    next_order: u64,
}

impl FleetPlanner {
    /// Creates a planner without pools and backend servers.
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            settings,
            pools: BTreeMap::new(),
            table: FleetTable::default(),
            refused_until: BTreeMap::new(),
            next_order: 0,
        }
    }

    /// Applies an event and returns the actions that follow at once.
    pub fn handle(
        &mut self,
        now: TimePoint,
        authority: OrderAuthority,
        event: FleetEvent,
    ) -> Vec<FleetAction> {
        match event {
            FleetEvent::Planned(plan) => self.set_plan(plan),
            FleetEvent::Removed(pool) => {
                self.pools.remove(&pool);
            }
            FleetEvent::Reported(report) => self.record_report(now, &report),
            FleetEvent::Listed {
                backend,
                pool,
                domain,
                leaving,
            } => {
                let row = self.table.row_or_insert(now, &backend, &pool, &domain);
                if leaving {
                    row.phase = BackendPhase::Removed;
                }
            }
            FleetEvent::Unlisted(backend) => {
                self.table.backends.remove(&backend);
            }
            FleetEvent::Lost(backend) => return self.record_loss(now, authority, &backend),
            FleetEvent::Drained(backend) => return self.release(now, authority, &backend),
            FleetEvent::OrderRecovered {
                order,
                pool,
                domain,
                age,
            } => {
                let sent_at = now - age;
                let row = OrderRow {
                    pool,
                    domain,
                    sent_at,
                };
                self.table.orders.entry(order).or_insert(row);
            }
            FleetEvent::OrderRefused(order) => self.record_refusal(now, &order),
        }
        Vec::new()
    }

    /// Compares each pool with its target size and orders, drains or undrains backend servers.
    pub fn tick(
        &mut self,
        now: TimePoint,
        authority: OrderAuthority,
        forecast: &DemandForecast,
    ) -> Vec<FleetAction> {
        let timeout = self.settings.order_timeout;
        let table = &mut self.table;
        table
            .orders
            .retain(|_, row| now.since(row.sent_at) <= timeout);
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
            let capacity = figures.serving + figures.ordered;
            match capacity < figures.target {
                true => actions.extend(self.grow(now, fencing, &pool, figures)),
                false => actions.extend(self.shrink(now, &pool, figures)),
            }
        }
        actions
    }

    fn set_plan(&mut self, plan: PoolPlan) {
        let row = self.pools.entry(plan.pool.clone()).or_insert(PoolRow {
            plan: plan.clone(),
            surplus_since: Vec::new(),
        });
        row.plan = plan;
    }

    fn record_report(&mut self, now: TimePoint, report: &EngineReport) {
        let row = self
            .table
            .row_or_insert(now, &report.backend, &report.pool, &report.domain);
        row.role = report.role;
        row.held_tokens = report.held_tokens;
        if let BackendPhase::Lost(_) = row.phase {
            row.phase = BackendPhase::Serving;
        }
        let is_current = now.since(row.since) >= STALE_DRAIN_WINDOW;
        if report.state == EngineState::Leaving && row.phase == BackendPhase::Serving && is_current
        {
            row.phase = BackendPhase::Draining;
        }
    }

    /// Marks a backend server as lost; releases it at once if it was draining, since no requests
    /// are left to wait for.
    fn record_loss(
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

    fn record_refusal(&mut self, now: TimePoint, order: &OrderId) {
        if let Some(row) = self.table.orders.remove(order) {
            let until = now + self.settings.domain_cooldown;
            self.refused_until.insert(row.domain, until);
        }
    }

    /// Returns whether a backend server counts as capacity; a crashed one does while it may still
    /// restart.
    fn counts_as_capacity(&self, now: TimePoint, phase: BackendPhase) -> bool {
        match phase {
            BackendPhase::Serving => true,
            BackendPhase::Lost(since) => now.since(since) <= self.settings.restart_grace,
            BackendPhase::Draining | BackendPhase::Removed => false,
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
            .filter(|(_, row)| self.counts_as_capacity(now, row.phase));
        FleetFigures {
            serving: counted.count() as u32,
            ordered: self.table.order_count(pool),
            ..target_figures(&row.plan, &demand, &self.settings)
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
        let domains = self.accepting_domains(now, pool);
        let counts = self.table.count_by_domain(pool, &domains);
        let (domain, _) = counts.iter().min_by_key(|(_, count)| **count)?;
        let order = self.next_order_id(fencing)?;
        let row = OrderRow {
            pool: pool.clone(),
            domain: domain.clone(),
            sent_at: now,
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

    /// Returns the failure domains of a pool in which no order was refused recently.
    fn accepting_domains(&self, now: TimePoint, pool: &PoolId) -> Vec<DomainId> {
        let Some(row) = self.pools.get(pool) else {
            return Vec::new();
        };
        let accepting = |domain: &&DomainId| {
            let until = self.refused_until.get(*domain);
            until.is_none_or(|until| *until <= now)
        };
        row.plan.domains.iter().filter(accepting).cloned().collect()
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
        let expired = |since: &&TimePoint| now.since(**since) >= break_even;
        let excess = row.surplus_since.iter().filter(expired).count();
        let mut actions = Vec::new();
        for _ in 0..excess {
            actions.extend(self.drain_one(pool, figures));
        }
        actions
    }

    fn drain_one(&mut self, pool: &PoolId, figures: FleetFigures) -> Option<FleetAction> {
        let backend = self.drain_candidate(pool)?;
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

    /// Returns the backend server to drain next: the one with the fewest tokens in its KV cache in
    /// the failure domain with the most backend servers, but never the last of its role.
    ///
    /// A failure domain that the plan no longer has counts as the one with the most.
    fn drain_candidate(&self, pool: &PoolId) -> Option<BackendId> {
        let domains: Vec<DomainId> = self.pools.get(pool)?.plan.domains.iter().cloned().collect();
        let counts = self.table.count_by_domain(pool, &domains);
        let mut roles: BTreeMap<Option<EngineRole>, u32> = BTreeMap::new();
        for (_, row) in self.serving(pool) {
            *roles.entry(row.role).or_default() += 1;
        }
        let is_last = |role: Option<EngineRole>| role.is_some() && roles.get(&role) == Some(&1);
        let candidates = self.serving(pool).filter(|(_, row)| !is_last(row.role));
        let domain_count = |domain: &DomainId| counts.get(domain).copied().unwrap_or(u32::MAX);
        let choice = candidates.min_by_key(|(backend, row)| {
            let rank = std::cmp::Reverse(domain_count(&row.domain));
            (rank, row.held_tokens, *backend)
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
        row.phase = BackendPhase::Removed;
        row.since = now;
        let backend = backend.clone();
        let order = self.next_order_id(fencing);
        let release = order.map(|order| FleetAction::Release { order, backend });
        release.into_iter().collect()
    }
}
