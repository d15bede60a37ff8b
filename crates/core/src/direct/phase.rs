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

/// The ratio of the speeds of engines above which they are told apart.
const SPEED_STEP: f64 = 1.4;
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
    /// The share of used slots below which the decode phase is idle: it gives engines away for a
    /// shorter prefill wait, and keeps fewer of them.
    pub idle_decode_utilization: f64,
    /// The prefill wait above which an idle decode phase gives an engine away, and above which engines
    /// of different speeds are exchanged.
    pub moderate_prefill_wait: TimeSpan,
    /// The share of all engines that an idle decode phase keeps.
    pub idle_min_decode_share: f64,
    /// How many times faster than a prefill engine a decode engine must be for the two to be exchanged.
    /// An exchange costs both engines the time of a change.
    pub min_exchange_ratio: f64,
    /// The share of all engines that may change together, at least one. Each is out of service
    /// meanwhile.
    pub max_joint_share: f64,
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
            idle_decode_utilization: 0.15,
            moderate_prefill_wait: TimeSpan::from_millis(20),
            idle_min_decode_share: 0.25,
            min_exchange_ratio: 1.5,
            max_joint_share: 0.10,
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
    /// Whether the decode utilization has a sample.
    sampled: bool,
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

    /// Updates the averages and returns the engines that are to change.
    fn evaluate(
        &mut self,
        service: &ServiceId,
        rows: &[&ServerRow],
        now: TimePoint,
        policy: &PhasePolicy,
    ) -> Vec<PhaseChange> {
        let serving = rows
            .iter()
            .copied()
            .filter(|row| row.send_state().is_serving());
        let unchanging = serving.filter(|row| !self.changing.contains_key(&row.spec.id));
        let (prefill_rows, decode_rows): (Vec<&ServerRow>, Vec<&ServerRow>) =
            unchanging.partition(|row| row.spec.role == BackendRole::Prefill);
        if prefill_rows.is_empty() || decode_rows.is_empty() {
            return Vec::new();
        }
        self.update_averages(&prefill_rows, &decode_rows, now);
        let to = self.find_shortage(&prefill_rows, &decode_rows, policy);
        self.shortage = match (to, self.shortage) {
            (None, _) => None,
            (Some(to), Some((known, since))) if known == to => Some((to, since)),
            (Some(to), _) => Some((to, now)),
        };
        let chosen = match self.shortage {
            Some((to, since)) if now.since(since) >= policy.stabilization => {
                self.choose_for(to, &prefill_rows, &decode_rows, now, policy)
            }
            Some(_) => Vec::new(),
            None => self.choose_exchange(&prefill_rows, &decode_rows, now, policy),
        };
        let changes = chosen.into_iter().map(|(row, to)| {
            self.changing.insert(row.spec.id.clone(), (to, now));
            self.last_change = Some((to, now));
            PhaseChange {
                service: service.clone(),
                backend: row.spec.id.clone(),
                to,
                prefill_wait: TimeSpan(self.prefill_wait as u64),
                decode_utilization: self.decode_utilization,
                prefill_engines: prefill_rows.len(),
                decode_engines: decode_rows.len(),
            }
        });
        changes.collect()
    }

    /// Returns the engines that change to the phase that is short of engines: several for a large
    /// shortage, as far as each of them alone would be allowed.
    fn choose_for<'a>(
        &self,
        to: BackendRole,
        prefill_rows: &[&'a ServerRow],
        decode_rows: &[&'a ServerRow],
        now: TimePoint,
        policy: &PhasePolicy,
    ) -> Vec<(&'a ServerRow, BackendRole)> {
        if !self.cooldown_elapsed(to, now, policy) {
            return Vec::new();
        }
        let (mut prefill_rows, mut decode_rows) = (prefill_rows.to_vec(), decode_rows.to_vec());
        let total = prefill_rows.len() + decode_rows.len();
        let joint = ((total as f64 * policy.max_joint_share) as usize).max(1);
        let mut chosen = Vec::new();
        while chosen.len() < joint {
            let large = self.prefill_wait > 2.0 * policy.max_prefill_wait.0 as f64;
            let allowed = chosen.is_empty()
                || (large && self.find_shortage(&prefill_rows, &decode_rows, policy) == Some(to));
            let (from, others) = match to {
                BackendRole::Prefill => (&mut decode_rows, &mut prefill_rows),
                BackendRole::Both | BackendRole::Decode | BackendRole::Plain => {
                    (&mut prefill_rows, &mut decode_rows)
                }
            };
            let Some(row) = choose(from, others, to, now).filter(|_| allowed) else {
                break;
            };
            from.retain(|other| other.spec.id != row.spec.id);
            others.push(row);
            chosen.push((row, to));
        }
        chosen
    }

    /// Returns a decode engine and a prefill engine that exchange their phases: prefills, for which
    /// callers wait, belong on the fastest engines.
    fn choose_exchange<'a>(
        &self,
        prefill_rows: &[&'a ServerRow],
        decode_rows: &[&'a ServerRow],
        now: TimePoint,
        policy: &PhasePolicy,
    ) -> Vec<(&'a ServerRow, BackendRole)> {
        let waits = self.prefill_wait > policy.moderate_prefill_wait.0 as f64;
        let idle = self.decode_utilization < policy.idle_decode_utilization;
        let since_change = self.last_change.map(|(_, at)| now.since(at));
        let elapsed = since_change.is_none_or(|span| span >= policy.cooldown);
        if !waits || !idle || !elapsed || prefill_rows.len() < 2 || decode_rows.len() < 2 {
            return Vec::new();
        }
        let time = |row: &&&ServerRow| (row.usual_time_ratio() * 1_000.0) as u64;
        let fast = decode_rows.iter().min_by_key(time);
        let slow = prefill_rows.iter().max_by_key(time);
        match (fast, slow) {
            (Some(fast), Some(slow))
                if slow.usual_time_ratio()
                    >= fast.usual_time_ratio() * policy.min_exchange_ratio =>
            {
                vec![(*slow, BackendRole::Decode), (*fast, BackendRole::Prefill)]
            }
            _ => Vec::new(),
        }
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
        if !self.sampled {
            // A new lease holder would otherwise take a loaded decode phase for an idle one.
            self.decode_utilization = share;
            self.sampled = true;
        }
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
        let idle = self.decode_utilization < policy.idle_decode_utilization;
        let critical_share = match idle {
            true => policy
                .idle_min_decode_share
                .min(policy.critical_decode_share),
            false => policy.critical_decode_share,
        };
        if prefill_rows.len() > 1 && (decode_rows.len() as f64) < total * critical_share {
            return Some(BackendRole::Decode);
        }
        let keeps = |share: f64| decode_rows.len() as f64 - 1.0 >= total * share;
        let waits = |limit: TimeSpan| self.prefill_wait > limit.0 as f64;
        let spare = share_after < policy.spare_decode_utilization;
        let idle_after = share_after < policy.idle_decode_utilization;
        if (waits(policy.max_prefill_wait) && keeps(policy.min_decode_share) && spare)
            || (waits(policy.moderate_prefill_wait)
                && keeps(policy.idle_min_decode_share)
                && idle_after)
        {
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

/// Returns the engine of `from` that is to change to a phase, which `others` have. It is among the fastest
/// ones for prefill, and among the slowest ones for decode. Of engines with like speeds, it comes from the
/// failure domain with the fewest engines of the new phase; among several, it is the one with the
/// least work.
fn choose<'a>(
    from: &[&'a ServerRow],
    others: &[&ServerRow],
    to: BackendRole,
    now: TimePoint,
) -> Option<&'a ServerRow> {
    let count_in_domain = |domain: &DomainId| {
        others
            .iter()
            .filter(|row| row.spec.domain == *domain)
            .count()
    };
    let key = |row: &&&ServerRow| {
        let steps = (row.usual_time_ratio().ln() / SPEED_STEP.ln()).round() as i64;
        (
            match to {
                BackendRole::Prefill => steps,
                BackendRole::Both | BackendRole::Decode | BackendRole::Plain => -steps,
            },
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
