//! Routing, admission, retry and health decisions of an entry, with the tables they use.

use std::collections::BTreeSet;

use applefold_core::admission::{
    AdmissionControl, AdmissionDeadlines, AdmissionRequest, AdmissionTicket, TeamLimit,
};
use applefold_core::code::CallRefusal;
use applefold_core::config::{PoolKind, ServiceRoute, ServingConfig};
use applefold_core::health::{HealthAction, HealthPolicy, HealthSample, HealthTracker};
use applefold_core::id::{BackendId, ModelId, PoolId, TeamId};
use applefold_core::quarantine::{CrashOptions, CrashTracker};
use applefold_core::retry::{RetryController, RetryPolicy};
use applefold_core::routing::{
    BackendAvailability, BackendRole, BackendSpec, BackendTable, CacheChange, CacheEvent, FlightId,
    InstanceLocality, LoadReport, PrefixHashes, RouteChoice, RoutePhase, RoutePlanner, RoutePolicy,
    RouteRequest,
};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use applefold_wire::heartbeat::LoadStatus;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

use super::plan::RequestPlan;

/// The tables and rules that decide on requests.
pub(crate) struct ServingDecisions {
    /// The state and load of the connected backend servers.
    pub(crate) backends: BackendTable,
    /// The limits and fair shares of teams.
    pub(crate) admission: AdmissionControl,
    /// The retry budgets of services.
    pub(crate) retries: RetryController,
    /// The requests that are suspected of crashing backend servers.
    pub(crate) suspects: CrashTracker,
    health: HealthTracker,
    planner: RoutePlanner,
    rng: Pcg64Mcg,
    /// The teams in the configuration.
    teams: BTreeSet<TeamId>,
    /// The sequence number of the last cache event of each backend server.
    cache_sequences: BTreeMap<BackendId, u64>,
}

/// A backend server on the platform's instance list.
#[derive(Clone, Debug)]
pub(crate) struct ListedBackend {
    /// Its identifier.
    pub(crate) id: BackendId,
    /// Its pool.
    pub(crate) pool: PoolId,
    /// Its failure domain and region.
    pub(crate) locality: InstanceLocality,
}

impl ServingDecisions {
    pub(crate) fn new(
        locality: InstanceLocality,
        heartbeat_interval: TimeSpan,
        seed: u128,
    ) -> Self {
        Self {
            backends: BackendTable::new(),
            admission: AdmissionControl::new(heartbeat_interval),
            retries: RetryController::new(RetryPolicy::default()),
            suspects: CrashTracker::new(CrashOptions::default()),
            health: HealthTracker::new(HealthPolicy::default()),
            planner: RoutePlanner::new(locality, RoutePolicy::default()),
            rng: Pcg64Mcg::new(seed),
            teams: BTreeSet::new(),
            cache_sequences: BTreeMap::new(),
        }
    }

    /// Applies the team limits of the configuration.
    pub(crate) fn apply_config(&mut self, config: &ServingConfig, now: TimePoint) {
        for team in config.teams().values() {
            let limit = TeamLimit {
                call_rate: team.limits.requests_per_s,
                token_rate: team.limits.tokens_per_s,
                max_running: team.limits.running,
            };
            self.admission.set_limit(team.id.clone(), limit, now);
        }
        let teams: BTreeSet<TeamId> = config.teams().keys().cloned().collect();
        for team in self.teams.difference(&teams) {
            self.admission.remove_team(team);
        }
        self.teams = teams;
    }

    /// Adds or updates a backend server.
    pub(crate) fn upsert(&mut self, listed: ListedBackend, config: &ServingConfig, now: TimePoint) {
        let kind = config.pools().get(&listed.pool).map(|pool| pool.kind);
        let role = match kind {
            Some(PoolKind::Plain) => BackendRole::Plain,
            Some(PoolKind::Model) | None => BackendRole::Both,
        };
        self.health.add(listed.id.clone(), listed.pool.clone(), now);
        self.backends.upsert(BackendSpec {
            models: models_of(config, &listed.pool),
            id: listed.id,
            pool: listed.pool,
            domain: listed.locality.domain,
            region: listed.locality.region,
            role,
        });
    }

    pub(crate) fn remove(&mut self, id: &BackendId) {
        self.backends.remove(id);
        let action = self.health.remove(id);
        self.log_health(action);
        self.cache_sequences.remove(id);
    }

    /// Records a load report of a sidecar, together with the health it states.
    pub(crate) fn record_load(&mut self, id: &BackendId, load: &LoadStatus, now: TimePoint) {
        let report = LoadReport {
            running: load.running,
            waiting: load.waiting,
            waiting_tokens: load.waiting_tokens,
            free_tokens: load.free_tokens,
            prefill_rate: load.prefill_rate,
            decode_rate: load.decode_rate,
        };
        self.backends.record_load(id, report, TimeSpan::ZERO, now);
        let sample = match load.healthy {
            true => HealthSample::Alive,
            false => HealthSample::Failed,
        };
        self.record_health(id, sample, now);
    }

    pub(crate) fn record_health(&mut self, id: &BackendId, sample: HealthSample, now: TimePoint) {
        let action = self.health.record(id, sample, now);
        self.log_health(action);
    }

    /// Ejects backend servers that went silent and expires crash reports. Heartbeats serve as the
    /// probes of ejected backend servers.
    pub(crate) fn tick(&mut self, now: TimePoint) {
        self.suspects.tick(now);
        let actions = self.health.tick(now);
        for action in actions {
            self.log_health(Some(action));
        }
    }

    fn log_health(&self, action: Option<HealthAction>) {
        match action {
            Some(HealthAction::Eject(id, reason)) => {
                log::warn!(backend = id.as_str(); "backend server is left out (ejected): {reason:?}");
            }
            Some(HealthAction::Reinstate(id)) => {
                log::info!(backend = id.as_str(); "backend server is taken back (reinstated)");
            }
            Some(HealthAction::Probe(_)) | None => {}
        }
    }

    /// Sets the availability of a backend server from its connection, drain state and health.
    pub(crate) fn set_availability(&mut self, id: &BackendId, linked: bool, draining: bool) {
        let availability = match (linked, draining) {
            (_, true) => BackendAvailability::Draining,
            (true, false) if self.health.is_serving(id) => BackendAvailability::Serving,
            (_, false) => BackendAvailability::Ejected,
        };
        self.backends.set_availability(id, availability);
    }

    /// Chooses candidates for an attempt.
    pub(crate) fn choose(
        &mut self,
        plan: &RequestPlan,
        excluded: &BTreeSet<BackendId>,
        now: TimePoint,
    ) -> RouteChoice {
        let request = RouteRequest {
            pool: plan.pool.clone(),
            model: plan.model.clone(),
            phase: RoutePhase::Unsplit,
            prompt_tokens: plan.prompt_tokens,
            answer_tokens: plan.answer_tokens,
            prefix_hashes: plan.prefix_hashes.clone(),
            deadline: plan.deadline.since(now),
            excluded: excluded.clone(),
        };
        self.planner.choose(&self.backends, &request, &mut self.rng)
    }

    /// Admits a request, or refuses it at once. Callers of public routes get no ticket.
    ///
    /// # Errors
    ///
    /// Refuses if a limit of the team is exceeded or no candidate can meet the deadline.
    pub(crate) fn admit(
        &mut self,
        plan: &RequestPlan,
        choice: &RouteChoice,
        now: TimePoint,
    ) -> Result<Option<AdmissionTicket>, CallRefusal> {
        let Some(caller) = &plan.caller else {
            return Ok(None);
        };
        let request = AdmissionRequest {
            team: caller.team.clone(),
            prompt_tokens: plan.prompt_tokens,
            answer_tokens: plan.answer_tokens,
            deadlines: AdmissionDeadlines {
                ttft: plan.deadline.since(now),
                max_inter_token_latency: None,
            },
        };
        self.admission.admit(&request, choice, now).map(Some)
    }

    /// Counts an attempt as in flight at a backend server.
    pub(crate) fn begin(
        &mut self,
        backend: &BackendId,
        computed: TokenCount,
        now: TimePoint,
    ) -> Option<FlightId> {
        self.backends.begin(backend, computed, now)
    }

    /// Records that a backend server has the blocks of a prompt in its prefix cache.
    pub(crate) fn record_prompt(&mut self, backend: &BackendId, prefix_hashes: &PrefixHashes) {
        if prefix_hashes.hashes().is_empty() {
            return;
        }
        let sequence = self.cache_sequences.entry(backend.clone()).or_default();
        *sequence += 1;
        let event = CacheEvent {
            sequence: *sequence,
            change: CacheChange::Stored(prefix_hashes.hashes().to_vec()),
        };
        self.backends.apply_cache_event(backend, &event);
    }
}

/// Returns the models that the services of a pool offer.
fn models_of(config: &ServingConfig, pool: &PoolId) -> BTreeSet<ModelId> {
    let services = config.services().values();
    let served = services.filter(|service| service.pool == *pool);
    served
        .flat_map(|service| match &service.route {
            ServiceRoute::Model { models } => models.iter().cloned().collect(),
            ServiceRoute::Plain { .. } => Vec::new(),
        })
        .collect()
}
