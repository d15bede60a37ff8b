//! Assignment of engines to the prefill phase or the decode phase.
//!
//! The mix of the two kinds of work shifts within seconds, and a change takes an engine out of
//! service for seconds. An engine therefore changes its phase only if one phase is short of engines,
//! the other one has capacity to spare after the change, and the shortage has lasted.

use std::collections::BTreeMap;

use crate::direct::{ServerRow, ServerTable};
use crate::id::{BackendId, DomainId, ServiceId};
use crate::routing::BackendRole;
use crate::unit::{TimePoint, TimeSpan};

/// The weight of the old average with each new sample.
const EWMA_OLD_WEIGHT: f64 = 0.85;

/// The limits by which an engine changes its phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PhasePolicy {
    /// The prefill wait above which the prefill phase is short of engines.
    pub max_prefill_wait: TimeSpan,
    /// The highest prefill wait that may result from taking an engine from the prefill phase.
    pub spare_prefill_wait: TimeSpan,
    /// The share of used slots above which the decode phase is short of engines.
    pub max_decode_utilization: f64,
    /// The highest share of used slots that may result from taking an engine from the decode phase.
    pub spare_decode_utilization: f64,
    /// The share of all engines that the decode phase keeps when an engine is taken from it.
    pub min_decode_share: f64,
    /// The share of all engines below which the decode phase gets one back, however long prefills
    /// wait.
    pub critical_decode_share: f64,
    /// The time that a shortage must have lasted.
    pub stabilization: TimeSpan,
    /// The minimum time between two changes to the same phase.
    pub cooldown: TimeSpan,
    /// The minimum time between two changes to opposite phases.
    pub reversal_cooldown: TimeSpan,
    /// The time after which an unfinished change is given up, and the engine counts as listed.
    pub change_timeout: TimeSpan,
}

impl Default for PhasePolicy {
    fn default() -> Self {
        Self {
            max_prefill_wait: TimeSpan::from_millis(60),
            spare_prefill_wait: TimeSpan::from_millis(30),
            max_decode_utilization: 0.85,
            spare_decode_utilization: 0.50,
            min_decode_share: 0.40,
            critical_decode_share: 0.34,
            stabilization: TimeSpan::from_millis(800),
            cooldown: TimeSpan::from_millis(3_000),
            reversal_cooldown: TimeSpan::from_secs(8),
            change_timeout: TimeSpan::from_secs(13),
        }
    }
}

/// An engine that is to change its phase, with the figures that led to the decision.
#[derive(Clone, Debug, PartialEq)]
pub struct PhaseChange {
    /// The service of the engine.
    pub service: ServiceId,
    /// The engine.
    pub backend: BackendId,
    /// The new role.
    pub to: BackendRole,
    /// The average prefill wait.
    pub prefill_wait: TimeSpan,
    /// The average share of used slots of the decode engines.
    pub decode_utilization: f64,
    /// The number of engines in the prefill phase.
    pub prefill_engines: usize,
    /// The number of engines in the decode phase.
    pub decode_engines: usize,
}

/// The averages and pending changes of one service.
#[derive(Clone, Debug, Default)]
struct ServicePressure {
    /// In microseconds.
    prefill_wait: f64,
    decode_utilization: f64,
    /// The phase that is short of engines, and since when.
    shortage: Option<(BackendRole, TimePoint)>,
    /// The last change, and when it was decided.
    last_change: Option<(BackendRole, TimePoint)>,
    /// The engines that are changing, with their new role and the time of the decision.
    changing: BTreeMap<BackendId, (BackendRole, TimePoint)>,
}

/// Tracks the load of each service's engines and decides which of them change their phase.
#[derive(Clone, Debug, Default)]
pub struct PhasePlanner {
    policy: PhasePolicy,
    services: BTreeMap<ServiceId, ServicePressure>,
}

impl PhasePlanner {
    /// Creates a planner without any samples.
    pub fn new(policy: PhasePolicy) -> Self {
        Self {
            policy,
            services: BTreeMap::new(),
        }
    }

    /// Samples the load and returns the engines that are to change. Call it several times a second.
    pub fn evaluate(
        &mut self,
        table: &ServerTable,
        services: &[ServiceId],
        now: TimePoint,
    ) -> Vec<PhaseChange> {
        self.services.retain(|id, _| services.contains(id));
        let mut changes = Vec::new();
        for service in services {
            let pressure = self.services.entry(service.clone()).or_default();
            let rows: Vec<&ServerRow> = table.of_service(service).collect();
            pressure.finish_changes(&rows, now, &self.policy);
            changes.extend(pressure.evaluate(service, &rows, now, &self.policy));
        }
        changes
    }

    /// Returns the engines that are changing, which should get no requests.
    pub fn changing(&self) -> impl Iterator<Item = &BackendId> {
        self.services
            .values()
            .flat_map(|pressure| pressure.changing.keys())
    }

    /// Records that an engine has refused to change.
    pub fn record_refusal(&mut self, service: &ServiceId, backend: &BackendId) {
        if let Some(pressure) = self.services.get_mut(service) {
            pressure.changing.remove(backend);
        }
    }

    /// Drops all averages and changes; called when the process loses its authority.
    pub fn reset(&mut self) {
        self.services.clear();
    }
}

impl ServicePressure {
    /// Drops the changes that the list shows as done, and those that took too long.
    fn finish_changes(&mut self, rows: &[&ServerRow], now: TimePoint, policy: &PhasePolicy) {
        self.changing.retain(|id, (to, since)| {
            let row = rows.iter().find(|row| row.spec.id == *id);
            let pending = row.is_some_and(|row| row.spec.role != *to);
            pending && now.since(*since) < policy.change_timeout
        });
    }

    /// Updates the averages and returns the engine that is to change, if any.
    fn evaluate(
        &mut self,
        service: &ServiceId,
        rows: &[&ServerRow],
        now: TimePoint,
        policy: &PhasePolicy,
    ) -> Option<PhaseChange> {
        let serving = rows
            .iter()
            .copied()
            .filter(|row| row.send_state().is_serving());
        let unchanging = serving.filter(|row| !self.changing.contains_key(&row.spec.id));
        let (prefill_rows, decode_rows): (Vec<&ServerRow>, Vec<&ServerRow>) =
            unchanging.partition(|row| row.spec.role == BackendRole::Prefill);
        if prefill_rows.is_empty() || decode_rows.is_empty() {
            return None;
        }
        self.update_averages(&prefill_rows, &decode_rows, now);
        let to = self.find_shortage(&prefill_rows, &decode_rows, policy);
        self.shortage = match (to, self.shortage) {
            (None, _) => None,
            (Some(to), Some((known, since))) if known == to => Some((to, since)),
            (Some(to), _) => Some((to, now)),
        };
        let (to, since) = self.shortage?;
        if now.since(since) < policy.stabilization || !self.cooldown_elapsed(to, now, policy) {
            return None;
        }
        let from = if to == BackendRole::Prefill {
            &decode_rows
        } else {
            &prefill_rows
        };
        let others = if to == BackendRole::Prefill {
            &prefill_rows
        } else {
            &decode_rows
        };
        let chosen = choose(from, others, now)?;
        self.changing.insert(chosen.spec.id.clone(), (to, now));
        self.last_change = Some((to, now));
        Some(PhaseChange {
            service: service.clone(),
            backend: chosen.spec.id.clone(),
            to,
            prefill_wait: TimeSpan(self.prefill_wait as u64),
            decode_utilization: self.decode_utilization,
            prefill_engines: prefill_rows.len(),
            decode_engines: decode_rows.len(),
        })
    }

    /// Adds a sample to the averages.
    fn update_averages(
        &mut self,
        prefill_rows: &[&ServerRow],
        decode_rows: &[&ServerRow],
        now: TimePoint,
    ) {
        let waits = prefill_rows
            .iter()
            .map(|row| row.prefill_time(row.backlog(now), now).0 as f64);
        let wait = waits.sum::<f64>() / prefill_rows.len() as f64;
        let used: u64 = decode_rows.iter().map(|row| row.total_in_flight(now)).sum();
        let slots: u64 = decode_rows
            .iter()
            .map(|row| u64::from(row.spec.slots))
            .sum();
        let share = used as f64 / slots.max(1) as f64;
        self.prefill_wait = ewma(self.prefill_wait, wait);
        self.decode_utilization = ewma(self.decode_utilization, share);
    }

    /// Returns the phase that is short of engines, if the other one can spare an engine.
    fn find_shortage(
        &self,
        prefill_rows: &[&ServerRow],
        decode_rows: &[&ServerRow],
        policy: &PhasePolicy,
    ) -> Option<BackendRole> {
        let without_one = |count: usize| count as f64 / (count as f64 - 1.0).max(0.01);
        let share_after = self.decode_utilization * without_one(decode_rows.len());
        let wait_after = self.prefill_wait * without_one(prefill_rows.len());
        let total = (prefill_rows.len() + decode_rows.len()) as f64;
        if prefill_rows.len() > 1
            && (decode_rows.len() as f64) < total * policy.critical_decode_share
        {
            return Some(BackendRole::Decode);
        }
        let long_wait = self.prefill_wait > policy.max_prefill_wait.0 as f64;
        let keeps_share = decode_rows.len() as f64 - 1.0 >= total * policy.min_decode_share;
        if long_wait && keeps_share && share_after < policy.spare_decode_utilization {
            return Some(BackendRole::Prefill);
        }
        let overloaded = self.decode_utilization > policy.max_decode_utilization;
        if overloaded && prefill_rows.len() > 1 && wait_after < policy.spare_prefill_wait.0 as f64 {
            return Some(BackendRole::Decode);
        }
        None
    }

    /// Returns whether enough time has passed since the last change.
    fn cooldown_elapsed(&self, to: BackendRole, now: TimePoint, policy: &PhasePolicy) -> bool {
        self.last_change.is_none_or(|(last, at)| {
            let cooldown = if last == to {
                policy.cooldown
            } else {
                policy.reversal_cooldown
            };
            now.since(at) >= cooldown
        })
    }
}

/// Returns the engine of `from` that is to change. It comes from the failure domain with the fewest
/// engines of the new phase, `others`; among several, it is the one with the least work.
fn choose<'a>(
    from: &[&'a ServerRow],
    others: &[&ServerRow],
    now: TimePoint,
) -> Option<&'a ServerRow> {
    let count_in_domain = |domain: &DomainId| {
        others
            .iter()
            .filter(|row| row.spec.domain == *domain)
            .count()
    };
    let key = |row: &&&ServerRow| {
        (
            count_in_domain(&row.spec.domain),
            row.total_in_flight(now),
            row.backlog(now),
        )
    };
    from.iter().min_by_key(key).copied()
}

/// Returns the exponentially weighted moving average after a new sample.
fn ewma(average: f64, sample: f64) -> f64 {
    average * EWMA_OLD_WEIGHT + sample * (1.0 - EWMA_OLD_WEIGHT)
}
