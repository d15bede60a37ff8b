//! The backend servers, and the orders that the server list does not show yet.

use std::collections::BTreeMap;

use crate::id::{BackendId, DomainId, OrderId, PoolId};
use crate::role::EngineRole;
use crate::unit::{TimePoint, TokenCount};

/// The lifecycle phase of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BackendPhase {
    /// In service.
    Serving,
    /// Draining before its release.
    Draining,
    /// The release was sent, or the platform is withdrawing it.
    Removed,
    /// Crashed or unreachable since the given time.
    Lost(TimePoint),
}

#[derive(Clone, Debug)]
pub(super) struct BackendRow {
    pub(super) pool: PoolId,
    pub(super) domain: DomainId,
    pub(super) role: Option<EngineRole>,
    pub(super) held_tokens: TokenCount,
    pub(super) phase: BackendPhase,
    pub(super) since: TimePoint,
}

#[derive(Clone, Debug)]
pub(super) struct OrderRow {
    pub(super) pool: PoolId,
    pub(super) domain: DomainId,
    pub(super) sent_at: TimePoint,
}

#[derive(Clone, Debug, Default)]
pub(super) struct FleetTable {
    pub(super) backends: BTreeMap<BackendId, BackendRow>,
    pub(super) orders: BTreeMap<OrderId, OrderRow>,
}

impl FleetTable {
    /// Returns the row of a backend server and adds it if it is new.
    ///
    /// A new backend server fulfils the oldest order for its pool and failure domain.
    pub(super) fn row_or_insert(
        &mut self,
        now: TimePoint,
        backend: &BackendId,
        pool: &PoolId,
        domain: &DomainId,
    ) -> &mut BackendRow {
        if !self.backends.contains_key(backend) {
            self.remove_oldest_order(pool, domain);
        }
        self.backends
            .entry(backend.clone())
            .or_insert_with(|| BackendRow {
                pool: pool.clone(),
                domain: domain.clone(),
                role: None,
                held_tokens: TokenCount::ZERO,
                phase: BackendPhase::Serving,
                since: now,
            })
    }

    fn remove_oldest_order(&mut self, pool: &PoolId, domain: &DomainId) {
        let matching = self
            .orders
            .iter()
            .filter(|(_, row)| row.pool == *pool && row.domain == *domain);
        let oldest = matching.min_by_key(|(_, row)| row.sent_at);
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

    /// Returns the number of open orders of a pool.
    pub(super) fn order_count(&self, pool: &PoolId) -> u32 {
        let rows = self.orders.values().filter(|row| row.pool == *pool);
        rows.count() as u32
    }

    /// Returns the number of serving and ordered backend servers in each failure domain.
    pub(super) fn count_by_domain(
        &self,
        pool: &PoolId,
        domains: &[DomainId],
    ) -> BTreeMap<DomainId, u32> {
        let mut counts: BTreeMap<DomainId, u32> =
            domains.iter().map(|domain| (domain.clone(), 0)).collect();
        let serving = self
            .of_pool(pool)
            .filter(|(_, row)| row.phase == BackendPhase::Serving)
            .map(|(_, row)| &row.domain);
        let ordered = self.orders.values().filter(|row| row.pool == *pool);
        for domain in serving.chain(ordered.map(|row| &row.domain)) {
            if let Some(count) = counts.get_mut(domain) {
                *count += 1;
            }
        }
        counts
    }
}
