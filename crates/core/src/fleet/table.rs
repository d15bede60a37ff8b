//! The tables of backend servers and of orders that the list does not show yet.

use std::collections::BTreeMap;

use crate::id::{BackendId, DomainId, OrderId, PoolId};
use crate::role::EngineRole;
use crate::unit::{TimePoint, TokenCount};

/// Where a backend server stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BackendPhase {
    /// In service.
    Serving,
    /// Drained by this planner, to be released.
    Draining,
    /// The release was sent, or the platform withdraws it.
    Gone,
    /// Crashed or out of reach since.
    Lost(TimePoint),
}

#[derive(Clone, Debug)]
pub(super) struct BackendRow {
    pub(super) pool: PoolId,
    pub(super) domain: DomainId,
    pub(super) role: Option<EngineRole>,
    pub(super) held: TokenCount,
    pub(super) phase: BackendPhase,
    pub(super) since: TimePoint,
}

#[derive(Clone, Debug)]
pub(super) struct OrderRow {
    pub(super) pool: PoolId,
    pub(super) domain: DomainId,
    pub(super) sent: TimePoint,
}

#[derive(Clone, Debug, Default)]
pub(super) struct FleetTable {
    pub(super) backends: BTreeMap<BackendId, BackendRow>,
    pub(super) orders: BTreeMap<OrderId, OrderRow>,
}

impl FleetTable {
    /// Adds a backend server; a new one settles the oldest order for its pool and domain.
    pub(super) fn note(
        &mut self,
        now: TimePoint,
        backend: &BackendId,
        pool: &PoolId,
        domain: &DomainId,
    ) -> &mut BackendRow {
        if !self.backends.contains_key(backend) {
            self.settle_order(pool, domain);
        }
        self.backends
            .entry(backend.clone())
            .or_insert_with(|| BackendRow {
                pool: pool.clone(),
                domain: domain.clone(),
                role: None,
                held: TokenCount::ZERO,
                phase: BackendPhase::Serving,
                since: now,
            })
    }

    fn settle_order(&mut self, pool: &PoolId, domain: &DomainId) {
        let matching = self
            .orders
            .iter()
            .filter(|(_, row)| row.pool == *pool && row.domain == *domain);
        let oldest = matching.min_by_key(|(_, row)| row.sent);
        if let Some(order) = oldest.map(|(order, _)| order.clone()) {
            self.orders.remove(&order);
        }
    }

    pub(super) fn of_pool<'a>(
        &'a self,
        pool: &'a PoolId,
    ) -> impl Iterator<Item = (&'a BackendId, &'a BackendRow)> {
        self.backends
            .iter()
            .filter(move |(_, row)| row.pool == *pool)
    }

    pub(super) fn ordered(&self, pool: &PoolId) -> u32 {
        let rows = self.orders.values().filter(|row| row.pool == *pool);
        rows.count() as u32
    }

    /// Counts what each failure domain has and is to get.
    pub(super) fn spread(&self, pool: &PoolId, domains: &[DomainId]) -> BTreeMap<DomainId, u32> {
        let mut counts: BTreeMap<DomainId, u32> =
            domains.iter().map(|domain| (domain.clone(), 0)).collect();
        let serving = self
            .of_pool(pool)
            .filter(|(_, row)| row.phase == BackendPhase::Serving)
            .map(|(_, row)| &row.domain);
        let coming = self.orders.values().filter(|row| row.pool == *pool);
        for domain in serving.chain(coming.map(|row| &row.domain)) {
            if let Some(count) = counts.get_mut(domain) {
                *count += 1;
            }
        }
        counts
    }
}
