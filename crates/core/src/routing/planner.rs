use std::collections::BTreeSet;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::id::{BackendId, DomainId, ModelId, PoolId, RegionId};
use crate::routing::{
    BackendAvailability, BackendRole, BackendState, BackendTable, PrefixHashes, RoutePhase,
};
use crate::unit::{TimeSpan, TokenCount, TokenRate};

/// The number of random candidates, as in power-of-two-choices balancing.
const RANDOM_CANDIDATES: usize = 2;
/// How many random draws are made before the whole list is searched.
const SAMPLE_ATTEMPTS: usize = 8;
/// The number of candidates taken from those that hold the longest cached prefix.
const PREFIX_CANDIDATES: usize = 4;

/// The failure domain and region that an instance runs in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceLocality {
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
}

/// The cost of distance, added to the predicted time to first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutePolicy {
    /// The cost of another failure domain in the same region.
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

/// A request to be routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRequest {
    /// The pool that serves the request.
    pub pool: PoolId,
    /// The requested model; `None` for a plain service.
    pub model: Option<ModelId>,
    /// The part of the request that is routed.
    pub phase: RoutePhase,
    /// The length of the prompt.
    pub prompt_tokens: TokenCount,
    /// The maximum number of output tokens.
    pub answer_tokens: TokenCount,
    /// The block hashes of the prompt.
    pub prefix_hashes: PrefixHashes,
    /// The time left until the first token is due.
    pub deadline: TimeSpan,
    /// Backend servers on which the request has already failed.
    pub excluded: BTreeSet<BackendId>,
}

/// A backend server that a request may be sent to, with its predicted latency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteCandidate {
    /// The backend server.
    pub backend: BackendId,
    /// The predicted time to first token.
    pub ttft: TimeSpan,
    /// The predicted time to first token on an idle backend server.
    pub unloaded_ttft: TimeSpan,
    /// The predicted inter-token latency.
    pub inter_token_latency: TimeSpan,
    /// The predicted inter-token latency on an idle backend server.
    pub unloaded_inter_token_latency: TimeSpan,
    /// The prompt tokens in its prefix cache, which need no prefill.
    pub cached_tokens: TokenCount,
    /// The number of requests that share the backend server.
    pub competing: u32,
}

/// The candidates for a request, best first; empty if no backend server is available.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteChoice {
    /// The candidates in order of their predicted time to first token.
    pub candidates: Vec<RouteCandidate>,
}

impl RouteChoice {
    /// Returns the best candidate.
    pub fn best(&self) -> Option<&RouteCandidate> {
        self.candidates.first()
    }
}

/// Selects backend servers for requests.
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

    /// Ranks two random backend servers of the local region and some of the holders of the
    /// longest cached prefix.
    ///
    /// Two random ones of the other regions join them if no local candidate is predicted to
    /// meet the deadline.
    pub fn choose(
        &self,
        table: &BackendTable,
        request: &RouteRequest,
        rng: &mut Pcg64Mcg,
    ) -> RouteChoice {
        let local = table.group(&request.pool, &self.locality.region);
        let mut selected = sample(table, request, local, rng);
        self.add_prefix_holders(table, request, &mut selected, rng);
        let mut choice = self.rank(table, request, &selected);
        let on_time = |best: &RouteCandidate| best.ttft <= request.deadline;
        if choice.best().is_some_and(on_time) {
            return choice;
        }
        let remote = table.in_other_regions(&request.pool, &self.locality.region);
        selected.extend(sample(table, request, &remote, rng));
        choice = self.rank(table, request, &selected);
        choice
    }

    /// Predicts the latency of a request on a backend server.
    pub fn predict(
        &self,
        table: &BackendTable,
        request: &RouteRequest,
        row: &BackendState,
    ) -> RouteCandidate {
        let distance = self.distance_cost(row);
        let (queue, work, cached) = match row.spec.role {
            BackendRole::Plain => {
                let queue = TimeSpan(row.call_time.0 * u64::from(row.competing()));
                (queue, row.call_time, TokenCount::ZERO)
            }
            BackendRole::Both | BackendRole::Prefill | BackendRole::Decode => {
                let cached = table
                    .prefixes()
                    .cached_tokens(&row.spec.id, &request.prefix_hashes);
                let uncached = request.prompt_tokens.saturating_sub(cached);
                let queue = time_for(row.backlog(), row.prefill_rate) + kv_cache_wait(request, row);
                (queue, time_for(uncached, row.prefill_rate), cached)
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

    fn distance_cost(&self, row: &BackendState) -> TimeSpan {
        if row.spec.region != self.locality.region {
            return self.policy.region_cost;
        }
        if row.spec.domain != self.locality.domain {
            return self.policy.domain_cost;
        }
        TimeSpan::ZERO
    }

    fn add_prefix_holders(
        &self,
        table: &BackendTable,
        request: &RouteRequest,
        selected: &mut BTreeSet<BackendId>,
        rng: &mut Pcg64Mcg,
    ) {
        let mut holders = table.prefixes().best_holders(&request.prefix_hashes);
        holders.retain(|id| {
            let row = table.get(id);
            row.is_some_and(|row| {
                row.spec.region == self.locality.region && is_eligible(row, request)
            })
        });
        for _ in 0..PREFIX_CANDIDATES.min(holders.len()) {
            let index = rng.gen_range(0..holders.len());
            selected.insert(holders.swap_remove(index).clone());
        }
    }

    fn rank(
        &self,
        table: &BackendTable,
        request: &RouteRequest,
        selected: &BTreeSet<BackendId>,
    ) -> RouteChoice {
        let rows = selected.iter().filter_map(|id| table.get(id));
        let mut candidates: Vec<RouteCandidate> =
            rows.map(|row| self.predict(table, request, row)).collect();
        candidates.sort_by_key(|candidate| (candidate.ttft, candidate.competing));
        RouteChoice { candidates }
    }
}

/// Selects up to two eligible backend servers at random.
///
/// Random draws come first, so that the list is searched as a whole only if few of its backend
/// servers are eligible.
fn sample<B>(
    table: &BackendTable,
    request: &RouteRequest,
    ids: &[B],
    rng: &mut Pcg64Mcg,
) -> BTreeSet<BackendId>
where
    B: std::borrow::Borrow<BackendId>,
{
    let eligible = |id: &BackendId| table.get(id).is_some_and(|row| is_eligible(row, request));
    let mut selected = BTreeSet::new();
    if ids.is_empty() {
        return selected;
    }
    for _ in 0..SAMPLE_ATTEMPTS {
        let id = ids[rng.gen_range(0..ids.len())].borrow();
        if eligible(id) {
            selected.insert(id.clone());
        }
        if selected.len() == RANDOM_CANDIDATES {
            return selected;
        }
    }
    let mut rest: Vec<&BackendId> = ids
        .iter()
        .map(B::borrow)
        .filter(|id| eligible(id))
        .collect();
    while selected.len() < RANDOM_CANDIDATES && !rest.is_empty() {
        let index = rng.gen_range(0..rest.len());
        selected.insert(rest.swap_remove(index).clone());
    }
    selected
}

fn is_eligible(row: &BackendState, request: &RouteRequest) -> bool {
    let has_model = |model: &ModelId| row.spec.models.contains(model);
    row.availability == BackendAvailability::Serving
        && row.spec.pool == request.pool
        && row.spec.role.serves(request.phase)
        && request.model.as_ref().is_none_or(has_model)
        && !request.excluded.contains(&row.spec.id)
}

/// Returns the estimated time until running requests have freed enough KV cache.
fn kv_cache_wait(request: &RouteRequest, row: &BackendState) -> TimeSpan {
    if row.measured_at.is_none() {
        return TimeSpan::ZERO;
    }
    let needed = request.prompt_tokens + request.answer_tokens;
    let missing = needed.saturating_sub(row.report.free_tokens);
    time_for(missing, row.decode_rate)
}

/// Returns the time that `tokens` take at `rate`.
fn time_for(tokens: TokenCount, rate: TokenRate) -> TimeSpan {
    let micros = u128::from(tokens.0) * 1_000_000 / u128::from(rate.0.max(1));
    TimeSpan(u64::try_from(micros).unwrap_or(u64::MAX / 4))
}
