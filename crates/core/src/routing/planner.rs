use std::collections::BTreeSet;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::id::{BackendId, DomainId, ModelId, PoolId, RegionId};
use crate::routing::{
    BackendAvailability, BackendRole, BackendState, BackendTable, PrefixHashes, RoutePhase,
};
use crate::unit::{TimeSpan, TokenCount, TokenRate};

const SAMPLES: usize = 2;
const SAMPLE_TRIES: usize = 8;
const HOLDER_SAMPLES: usize = 4;

/// Where an entry stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceLocality {
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
}

/// What distance costs, as time added to the prediction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutePolicy {
    /// The cost of another failure domain of the region.
    pub domain_cost: TimeSpan,
    /// The cost of another region.
    pub region_cost: TimeSpan,
}

impl Default for RoutePolicy {
    fn default() -> Self {
        Self {
            domain_cost: TimeSpan::from_millis(2),
            region_cost: TimeSpan::from_millis(80),
        }
    }
}

/// A request to be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRequest {
    /// The pool that serves it.
    pub pool: PoolId,
    /// The model that it asks for; `None` for a plain service.
    pub model: Option<ModelId>,
    /// The part of the work that is to be placed.
    pub phase: RoutePhase,
    /// The length of its prompt.
    pub prompt_tokens: TokenCount,
    /// The longest answer that it allows.
    pub answer_tokens: TokenCount,
    /// The pieces of its prompt.
    pub prefix_hashes: PrefixHashes,
    /// The time left until its first token is due.
    pub deadline: TimeSpan,
    /// Backend servers that have failed it.
    pub excluded: BTreeSet<BackendId>,
}

/// A backend server that a request may be sent to, with what to expect of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteCandidate {
    /// The backend server.
    pub backend: BackendId,
    /// The predicted time to the first token.
    pub ttft: TimeSpan,
    /// The same if nothing else ran there.
    pub unloaded_ttft: TimeSpan,
    /// The predicted time between tokens.
    pub inter_token_latency: TimeSpan,
    /// The same if nothing else ran there.
    pub unloaded_inter_token_latency: TimeSpan,
    /// The tokens of the prompt that need no prefill there.
    pub cached_tokens: TokenCount,
    /// The requests that it would share the backend server with.
    pub competing: u32,
}

/// The candidates for a request, the best one first; empty where none can be reached.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteChoice {
    /// The candidates in the order of their predicted time to the first token.
    pub candidates: Vec<RouteCandidate>,
}

impl RouteChoice {
    /// Returns the best candidate.
    pub fn best(&self) -> Option<&RouteCandidate> {
        self.candidates.first()
    }
}

/// Chooses backend servers for requests.
#[derive(Clone, Debug)]
pub struct RoutePlanner {
    locality: InstanceLocality,
    policy: RoutePolicy,
}

impl RoutePlanner {
    /// Creates a planner for an entry at `locality`.
    pub fn new(locality: InstanceLocality, policy: RoutePolicy) -> Self {
        Self { locality, policy }
    }

    /// Chooses candidates among two sampled ones of the region and the best prefix holders.
    ///
    /// Other regions are looked at where the own one has nothing that is on time.
    pub fn choose(
        &self,
        table: &BackendTable,
        request: &RouteRequest,
        rng: &mut Pcg64Mcg,
    ) -> RouteChoice {
        let local = table.group(&request.pool, &self.locality.region);
        let mut picked = sample(table, request, local, rng);
        self.add_holders(table, request, &mut picked, rng);
        let mut choice = self.rank(table, request, &picked);
        let on_time = |best: &RouteCandidate| best.ttft <= request.deadline;
        if choice.best().is_some_and(on_time) {
            return choice;
        }
        let elsewhere = table.elsewhere(&request.pool, &self.locality.region);
        picked.extend(sample(table, request, &elsewhere, rng));
        choice = self.rank(table, request, &picked);
        choice
    }

    /// Predicts what a backend server would give a request.
    pub fn predict(
        &self,
        table: &BackendTable,
        request: &RouteRequest,
        row: &BackendState,
    ) -> RouteCandidate {
        let distance = self.distance(row);
        let (queue, work, cached) = match row.spec.role {
            BackendRole::Plain => {
                let queue = TimeSpan(row.call_time.0 * u64::from(row.competing()));
                (queue, row.call_time, TokenCount::ZERO)
            }
            BackendRole::Both | BackendRole::Prefill | BackendRole::Decode => {
                let cached = table
                    .prefixes()
                    .cached_tokens(&row.spec.id, &request.prefix_hashes);
                let computed = request.prompt_tokens.saturating_sub(cached);
                let queue = time_for(row.backlog(), row.prefill_rate) + memory_wait(request, row);
                (queue, time_for(computed, row.prefill_rate), cached)
            }
        };
        let sharing = u64::from(row.competing()) + 1;
        RouteCandidate {
            backend: row.spec.id.clone(),
            ttft: distance + queue + work,
            unloaded_ttft: distance + work,
            inter_token_latency: time_for(TokenCount(sharing), row.decode_rate),
            unloaded_inter_token_latency: time_for(TokenCount(1), row.decode_rate),
            cached_tokens: cached,
            competing: row.competing(),
        }
    }

    fn distance(&self, row: &BackendState) -> TimeSpan {
        if row.spec.region != self.locality.region {
            return self.policy.region_cost;
        }
        if row.spec.domain != self.locality.domain {
            return self.policy.domain_cost;
        }
        TimeSpan::ZERO
    }

    fn add_holders(
        &self,
        table: &BackendTable,
        request: &RouteRequest,
        picked: &mut BTreeSet<BackendId>,
        rng: &mut Pcg64Mcg,
    ) {
        let mut holders = table.prefixes().best_holders(&request.prefix_hashes);
        holders.retain(|id| {
            let row = table.get(id);
            row.is_some_and(|row| row.spec.region == self.locality.region && may_take(row, request))
        });
        for _ in 0..HOLDER_SAMPLES.min(holders.len()) {
            let place = rng.gen_range(0..holders.len());
            picked.insert(holders.swap_remove(place).clone());
        }
    }

    fn rank(
        &self,
        table: &BackendTable,
        request: &RouteRequest,
        picked: &BTreeSet<BackendId>,
    ) -> RouteChoice {
        let rows = picked.iter().filter_map(|id| table.get(id));
        let mut candidates: Vec<RouteCandidate> =
            rows.map(|row| self.predict(table, request, row)).collect();
        candidates.sort_by_key(|candidate| (candidate.ttft, candidate.competing));
        RouteChoice { candidates }
    }
}

/// Draws places at random, and walks the list only where hardly any may be used.
fn sample<B>(
    table: &BackendTable,
    request: &RouteRequest,
    ids: &[B],
    rng: &mut Pcg64Mcg,
) -> BTreeSet<BackendId>
where
    B: std::borrow::Borrow<BackendId>,
{
    let usable = |id: &BackendId| table.get(id).is_some_and(|row| may_take(row, request));
    let mut picked = BTreeSet::new();
    if ids.is_empty() {
        return picked;
    }
    for _ in 0..SAMPLE_TRIES {
        let id = ids[rng.gen_range(0..ids.len())].borrow();
        if usable(id) {
            picked.insert(id.clone());
        }
        if picked.len() == SAMPLES {
            return picked;
        }
    }
    let mut rest: Vec<&BackendId> = ids.iter().map(B::borrow).filter(|id| usable(id)).collect();
    while picked.len() < SAMPLES && !rest.is_empty() {
        let place = rng.gen_range(0..rest.len());
        picked.insert(rest.swap_remove(place).clone());
    }
    picked
}

fn may_take(row: &BackendState, request: &RouteRequest) -> bool {
    let has_model = |model: &ModelId| row.spec.models.contains(model);
    row.availability == BackendAvailability::Serving
        && row.spec.pool == request.pool
        && row.spec.role.serves(request.phase)
        && request.model.as_ref().is_none_or(has_model)
        && !request.excluded.contains(&row.spec.id)
}

/// The time until enough KV cache is given back, as running answers end.
fn memory_wait(request: &RouteRequest, row: &BackendState) -> TimeSpan {
    if row.measured_at.is_none() {
        return TimeSpan::ZERO;
    }
    let needed = request.prompt_tokens + request.answer_tokens;
    let missing = needed.saturating_sub(row.report.free_tokens);
    time_for(missing, row.decode_rate)
}

fn time_for(tokens: TokenCount, rate: TokenRate) -> TimeSpan {
    let micros = u128::from(tokens.0) * 1_000_000 / u128::from(rate.0.max(1));
    TimeSpan(u64::try_from(micros).unwrap_or(u64::MAX / 4))
}
