//! The engines of all pools, and the selection of the best role change.

use std::collections::{BTreeMap, BTreeSet};

use super::payback::{drain_cost, evaluate_change, SplitCapacity};
use super::{EngineReport, EngineRole, EngineState, RoleDecision, RoleFigures, RoleSettings};
use crate::forecast::PoolDemand;
use crate::id::{BackendId, PoolId};
use crate::unit::TimePoint;

#[derive(Clone, Debug)]
pub(super) struct EngineRow {
    pub(super) report: EngineReport,
    /// The role that a new engine has been ordered to take.
    pub(super) assigned: Option<EngineRole>,
    /// When that order was sent.
    pub(super) ordered_at: TimePoint,
    pub(super) draining_since: Option<TimePoint>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct EngineTable {
    pub(super) rows: BTreeMap<BackendId, EngineRow>,
}

impl EngineTable {
    /// Returns the capacity of the engines in service, including new ones whose role is ordered.
    pub(super) fn capacity(
        &self,
        pool: &PoolId,
        excluded: Option<&BackendId>,
        settings: &RoleSettings,
    ) -> SplitCapacity {
        let mut capacity = SplitCapacity::default();
        for row in self.rows.values().filter(|row| row.report.pool == *pool) {
            let serving = row.report.state == EngineState::Serving;
            let role = row.report.role.or(row.assigned);
            if let (true, Some(role)) = (serving && excluded != Some(&row.report.backend), role) {
                capacity.add(&row.report, role, settings);
            }
        }
        capacity
    }

    /// Returns the change with the highest net gain, or `None` if none pays off.
    pub(super) fn best_change(
        &self,
        pool: &PoolId,
        demand: &PoolDemand,
        settings: &RoleSettings,
    ) -> Option<RoleDecision> {
        let before = self.capacity(pool, None, settings);
        let serving =
            |row: &&EngineRow| row.report.pool == *pool && row.report.state == EngineState::Serving;
        let mut best: Option<RoleDecision> = None;
        for row in self.rows.values().filter(serving) {
            for to in [EngineRole::Prefill, EngineRole::Decode] {
                let Some(decision) =
                    self.evaluate_engine(&before, &row.report, to, demand, settings)
                else {
                    continue;
                };
                let net_gain = |decision: &RoleDecision| {
                    decision.figures.gain_secs - decision.figures.loss_secs
                };
                if best
                    .as_ref()
                    .is_none_or(|held| net_gain(&decision) > net_gain(held))
                {
                    best = Some(decision);
                }
            }
        }
        best
    }

    /// Returns whether other engines in service still cover both prefill and decode.
    fn covers_without(&self, engine: &EngineReport) -> bool {
        let others = self.rows.values().filter(|row| {
            row.report.pool == engine.pool
                && row.report.state == EngineState::Serving
                && row.report.backend != engine.backend
        });
        let roles: BTreeSet<EngineRole> = others.filter_map(|row| row.report.role).collect();
        let both = roles.contains(&EngineRole::Both);
        let split = [EngineRole::Prefill, EngineRole::Decode];
        both || split.iter().all(|role| roles.contains(role))
    }

    /// Returns the change of `engine` to the role `to` if it is possible and pays off.
    fn evaluate_engine(
        &self,
        before: &SplitCapacity,
        engine: &EngineReport,
        to: EngineRole,
        demand: &PoolDemand,
        settings: &RoleSettings,
    ) -> Option<RoleDecision> {
        let from = engine.role.filter(|from| *from != to)?;
        if !self.covers_without(engine) {
            return None;
        }
        let mut after = self.capacity(&engine.pool, Some(&engine.backend), settings);
        after.add(engine, to, settings);
        let loss = drain_cost(engine, settings).duration + settings.switch_time;
        let figures = evaluate_change(before, &after, demand, loss, settings);
        let pays_off = figures.gain_secs > figures.loss_secs * settings.payback_factor;
        pays_off.then(|| RoleDecision {
            pool: engine.pool.clone(),
            backend: engine.backend.clone(),
            from: Some(from),
            to,
            figures,
        })
    }

    /// Chooses for a new engine the role whose capacity is more heavily used.
    pub(super) fn first_role(
        &self,
        pool: &PoolId,
        backend: &BackendId,
        demand: &PoolDemand,
        settings: &RoleSettings,
    ) -> RoleDecision {
        let before = self.capacity(pool, Some(backend), settings);
        let max_utilization = settings.max_utilization;
        let (prefill, decode) = (demand.prefill.upper, demand.decode.upper);
        let utilization = |capacity: f64, rate: u64| rate.max(1) as f64 / capacity.max(1.0);
        let prefill_utilization = utilization(before.prefill, prefill.0);
        let decode_utilization = utilization(before.decode, decode.0);
        let to = match prefill_utilization >= decode_utilization {
            true => EngineRole::Prefill,
            false => EngineRole::Decode,
        };
        let mut after = before;
        if let Some(row) = self.rows.get(backend) {
            after.add(&row.report, to, settings);
        }
        RoleDecision {
            pool: pool.clone(),
            backend: backend.clone(),
            from: None,
            to,
            figures: RoleFigures {
                prefill_demand: demand.prefill.expected,
                decode_demand: demand.decode.expected,
                prefill_engines: before.prefill_engines + before.both_engines,
                decode_engines: before.decode_engines + before.both_engines,
                served_before: before.served_share(prefill, decode, max_utilization),
                served_after: after.served_share(prefill, decode, max_utilization),
                gain_secs: 0.0,
                loss_secs: 0.0,
            },
        }
    }
}
