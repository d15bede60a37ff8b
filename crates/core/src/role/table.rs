//! The table of engines, and what a change of one of them is worth.

use std::collections::{BTreeMap, BTreeSet};

use super::payback::{drain_cost, weigh, SplitCapacity};
use super::{EngineReport, EngineRole, EngineState, RoleDecision, RoleFigures, RoleSettings};
use crate::forecast::PoolDemand;
use crate::id::{BackendId, PoolId};
use crate::unit::TimePoint;

#[derive(Clone, Debug)]
pub(super) struct EngineRow {
    pub(super) report: EngineReport,
    /// The role that a new engine is being given.
    pub(super) assigned: Option<EngineRole>,
    pub(super) asked_at: TimePoint,
    pub(super) draining_since: Option<TimePoint>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct EngineTable {
    pub(super) rows: BTreeMap<BackendId, EngineRow>,
}

impl EngineTable {
    /// The rates of the engines in service and of new ones that are being given a role.
    pub(super) fn capacity(
        &self,
        pool: &PoolId,
        without: Option<&BackendId>,
        settings: &RoleSettings,
    ) -> SplitCapacity {
        let mut capacity = SplitCapacity::default();
        for row in self.rows.values().filter(|row| row.report.pool == *pool) {
            let counted = row.report.state == EngineState::Serving;
            let role = row.report.role.or(row.assigned);
            if let (true, Some(role)) = (counted && without != Some(&row.report.backend), role) {
                capacity.add(&row.report, role, settings);
            }
        }
        capacity
    }

    /// The change that gains most over what it loses, where one pays.
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
                let Some(decision) = self.weigh_engine(&before, &row.report, to, demand, settings)
                else {
                    continue;
                };
                let margin = |decision: &RoleDecision| {
                    decision.figures.gain_secs - decision.figures.loss_secs
                };
                if best
                    .as_ref()
                    .is_none_or(|held| margin(&decision) > margin(held))
                {
                    best = Some(decision);
                }
            }
        }
        best
    }

    /// Tells whether each kind of work keeps an engine that is in service now.
    fn covers_without(&self, engine: &EngineReport) -> bool {
        let left = self.rows.values().filter(|row| {
            row.report.pool == engine.pool
                && row.report.state == EngineState::Serving
                && row.report.backend != engine.backend
        });
        let roles: BTreeSet<EngineRole> = left.filter_map(|row| row.report.role).collect();
        let both = roles.contains(&EngineRole::Both);
        let split = [EngineRole::Prefill, EngineRole::Decode];
        both || split.iter().all(|role| roles.contains(role))
    }

    fn weigh_engine(
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
        let loss = drain_cost(engine, settings).span + settings.switch_time;
        let figures = weigh(before, &after, demand, loss, settings);
        let pays = figures.gain_secs > figures.loss_secs * settings.payback_factor;
        pays.then(|| RoleDecision {
            pool: engine.pool.clone(),
            backend: engine.backend.clone(),
            from: Some(from),
            to,
            figures,
        })
    }

    /// The role in which a new engine serves most.
    pub(super) fn first_role(
        &self,
        pool: &PoolId,
        backend: &BackendId,
        demand: &PoolDemand,
        settings: &RoleSettings,
    ) -> RoleDecision {
        let before = self.capacity(pool, Some(backend), settings);
        let usable = settings.max_utilization;
        let (prefill, decode) = (demand.prefill.upper, demand.decode.upper);
        let used = |capacity: f64, rate: u64| rate.max(1) as f64 / capacity.max(1.0);
        let prefill_use = used(before.prefill, prefill.0);
        let decode_use = used(before.decode, decode.0);
        let to = match prefill_use >= decode_use {
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
                served_before: before.served(prefill, decode, usable),
                served_after: after.served(prefill, decode, usable),
                gain_secs: 0.0,
                loss_secs: 0.0,
            },
        }
    }
}
