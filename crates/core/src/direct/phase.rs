//! Which engines read prompts and which generate answers.
//!
//! The mix of the two kinds of work shifts within seconds, and a change takes an
//! engine away for seconds, so an engine is moved only where one side is
//! short, the other side has room after the move, and that has lasted.

use std::collections::BTreeMap;

use crate::direct::{ServerRow, ServerTable};
use crate::id::{BackendId, DomainId, ServiceId};
use crate::routing::BackendRole;
use crate::unit::{TimePoint, TimeSpan};

/// How much of an old average is kept with each look.
const AVERAGE_KEEP: f64 = 0.85;

/// When an engine is moved.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PhasePolicy {
    /// The wait for a prompt to be read above which prompts are short of engines.
    pub max_prefill_wait: TimeSpan,
    /// The wait that prompts may come to when an engine is taken from them.
    pub spare_prefill_wait: TimeSpan,
    /// The share of places taken above which answers are short of engines.
    pub max_decode_utilization: f64,
    /// The share of places that answers may come to when an engine is taken from them.
    pub spare_decode_utilization: f64,
    /// The share of engines that answers keep when one is taken from them.
    pub min_decode_share: f64,
    /// The share of engines below which answers get one back, however long prompts wait.
    pub critical_decode_share: f64,
    /// How long a shortage must have lasted.
    pub shortage_delay: TimeSpan,
    /// The pause between two moves in one direction.
    pub cooldown: TimeSpan,
    /// The pause between two moves in opposite directions.
    pub reversal_cooldown: TimeSpan,
    /// How long a move is waited for before the engine counts as it is listed again.
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
            shortage_delay: TimeSpan::from_millis(800),
            cooldown: TimeSpan::from_millis(3_000),
            reversal_cooldown: TimeSpan::from_secs(8),
            change_timeout: TimeSpan::from_secs(13),
        }
    }
}

/// An engine that is to change, with the figures that decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct PhaseChange {
    /// The service.
    pub service: ServiceId,
    /// The engine.
    pub backend: BackendId,
    /// What it is to do.
    pub to: BackendRole,
    /// The mean wait for a prompt to be read.
    pub prefill_wait: TimeSpan,
    /// The mean share of places that answers take.
    pub decode_utilization: f64,
    /// Engines that read prompts.
    pub prefill_engines: usize,
    /// Engines that generate answers.
    pub decode_engines: usize,
}

#[derive(Clone, Debug, Default)]
struct ServicePressure {
    prefill_wait: f64,
    decode_utilization: f64,
    short: Option<(BackendRole, TimePoint)>,
    last: Option<(BackendRole, TimePoint)>,
    changing: BTreeMap<BackendId, (BackendRole, TimePoint)>,
}

/// Follows the load of each service's engines and decides on moves.
#[derive(Clone, Debug, Default)]
pub struct PhasePlanner {
    policy: PhasePolicy,
    services: BTreeMap<ServiceId, ServicePressure>,
}

impl PhasePlanner {
    /// A planner that has seen nothing yet.
    pub fn new(policy: PhasePolicy) -> Self {
        Self {
            policy,
            services: BTreeMap::new(),
        }
    }

    /// Looks at the load; call it several times a second.
    pub fn evaluate(
        &mut self,
        table: &ServerTable,
        services: &[ServiceId],
        now: TimePoint,
    ) -> Vec<PhaseChange> {
        self.services.retain(|id, _| services.contains(id));
        let mut moves = Vec::new();
        for service in services {
            let pressure = self.services.entry(service.clone()).or_default();
            let rows: Vec<&ServerRow> = table.of_service(service).collect();
            pressure.finish_changes(&rows, now, &self.policy);
            moves.extend(pressure.evaluate(service, &rows, now, &self.policy));
        }
        moves
    }

    /// Returns the engines that are changing, which are better sent nothing.
    pub fn changing(&self) -> impl Iterator<Item = &BackendId> {
        self.services.values().flat_map(|one| one.changing.keys())
    }

    /// Notes that an engine has record_refusal to change.
    pub fn record_refusal(&mut self, service: &ServiceId, backend: &BackendId) {
        if let Some(pressure) = self.services.get_mut(service) {
            pressure.changing.remove(backend);
        }
    }

    /// Forgets everything, as a process does that loses its authority.
    pub fn reset(&mut self) {
        self.services.clear();
    }
}

impl ServicePressure {
    /// Ends the moves that the list shows to be made, and those that took too long.
    fn finish_changes(&mut self, rows: &[&ServerRow], now: TimePoint, policy: &PhasePolicy) {
        self.changing.retain(|id, (to, since)| {
            let row = rows.iter().find(|row| row.spec.id == *id);
            let pending = row.is_some_and(|row| row.spec.role != *to);
            pending && now.since(*since) < policy.change_timeout
        });
    }

    fn evaluate(
        &mut self,
        service: &ServiceId,
        rows: &[&ServerRow],
        now: TimePoint,
        policy: &PhasePolicy,
    ) -> Option<PhaseChange> {
        let ready = rows
            .iter()
            .copied()
            .filter(|row| row.send_state().is_serving());
        let settled = ready.filter(|row| !self.changing.contains_key(&row.spec.id));
        let (prompts, answers): (Vec<&ServerRow>, Vec<&ServerRow>) =
            settled.partition(|row| row.spec.role == BackendRole::Prefill);
        if prompts.is_empty() || answers.is_empty() {
            return None;
        }
        self.average(&prompts, &answers, now);
        let to = self.shortage(&prompts, &answers, policy);
        self.short = match (to, self.short) {
            (None, _) => None,
            (Some(to), Some((known, since))) if known == to => Some((to, since)),
            (Some(to), _) => Some((to, now)),
        };
        let (to, since) = self.short?;
        if now.since(since) < policy.shortage_delay || !self.cooldown_elapsed(to, now, policy) {
            return None;
        }
        let from = if to == BackendRole::Prefill {
            &answers
        } else {
            &prompts
        };
        let others = if to == BackendRole::Prefill {
            &prompts
        } else {
            &answers
        };
        let chosen = choose(from, others, now)?;
        self.changing.insert(chosen.spec.id.clone(), (to, now));
        self.last = Some((to, now));
        Some(PhaseChange {
            service: service.clone(),
            backend: chosen.spec.id.clone(),
            to,
            prefill_wait: TimeSpan(self.prefill_wait as u64),
            decode_utilization: self.decode_utilization,
            prefill_engines: prompts.len(),
            decode_engines: answers.len(),
        })
    }

    fn average(&mut self, prompts: &[&ServerRow], answers: &[&ServerRow], now: TimePoint) {
        let waits = prompts
            .iter()
            .map(|row| row.prefill_time(row.backlog(now), now).0 as f64);
        let wait = waits.sum::<f64>() / prompts.len() as f64;
        let taken: u64 = answers.iter().map(|row| row.total_in_flight(now)).sum();
        let places: u64 = answers.iter().map(|row| u64::from(row.spec.slots)).sum();
        let share = taken as f64 / places.max(1) as f64;
        self.prefill_wait = ewma(self.prefill_wait, wait);
        self.decode_utilization = ewma(self.decode_utilization, share);
    }

    /// Returns the side that is short while the other one can spare an engine.
    fn shortage(
        &self,
        prompts: &[&ServerRow],
        answers: &[&ServerRow],
        policy: &PhasePolicy,
    ) -> Option<BackendRole> {
        let without_one = |count: usize| count as f64 / (count as f64 - 1.0).max(0.01);
        let share_after = self.decode_utilization * without_one(answers.len());
        let wait_after = self.prefill_wait * without_one(prompts.len());
        let total = (prompts.len() + answers.len()) as f64;
        if prompts.len() > 1 && (answers.len() as f64) < total * policy.critical_decode_share {
            return Some(BackendRole::Decode);
        }
        let long = self.prefill_wait > policy.max_prefill_wait.0 as f64;
        let floor = answers.len() as f64 - 1.0 >= total * policy.min_decode_share;
        if long && floor && share_after < policy.spare_decode_utilization {
            return Some(BackendRole::Prefill);
        }
        let max_decode_utilization = self.decode_utilization > policy.max_decode_utilization;
        if max_decode_utilization
            && prompts.len() > 1
            && wait_after < policy.spare_prefill_wait.0 as f64
        {
            return Some(BackendRole::Decode);
        }
        None
    }

    fn cooldown_elapsed(&self, to: BackendRole, now: TimePoint, policy: &PhasePolicy) -> bool {
        self.last.is_none_or(|(last, at)| {
            let cooldown = if last == to {
                policy.cooldown
            } else {
                policy.reversal_cooldown
            };
            now.since(at) >= cooldown
        })
    }
}

/// Chooses the engine with the least work, in a failure domain where its new side has fewest.
fn choose<'a>(
    from: &[&'a ServerRow],
    others: &[&ServerRow],
    now: TimePoint,
) -> Option<&'a ServerRow> {
    let beside = |domain: &DomainId| {
        others
            .iter()
            .filter(|row| row.spec.domain == *domain)
            .count()
    };
    let key = |row: &&&ServerRow| {
        (
            beside(&row.spec.domain),
            row.total_in_flight(now),
            row.backlog(now),
        )
    };
    from.iter().min_by_key(key).copied()
}

fn ewma(old: f64, new: f64) -> f64 {
    old * AVERAGE_KEEP + new * (1.0 - AVERAGE_KEEP)
}
