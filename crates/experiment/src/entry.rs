//! The entry's decisions on requests, or their naive versions.

use std::collections::BTreeSet;

use applefold_core::admission::AdmissionControl;
use applefold_core::health::{HealthAction, HealthPolicy, HealthTracker};
use applefold_core::id::{BackendId, PoolId};
use applefold_core::naive::NaiveRouter;
use applefold_core::retry::{RetryController, RetryPolicy};
use applefold_core::routing::{
    BackendAvailability, BackendRole, BackendSpec, BackendTable, BlockHash, InstanceLocality,
    PrefixHashes, RouteChoice, RoutePhase, RoutePlanner, RoutePolicy, RouteRequest,
};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::mechanism::{Mechanism, VersionSet};
use crate::member::{domain_id, named, region_id, ENGINE_POOL, PLAIN_POOL};
use crate::workload::{OfferedRequest, RequestClass, BATCH_LIMIT, BLOCK_TOKENS};

const HEARTBEAT: TimeSpan = TimeSpan::from_secs(1);
/// Bits that number the pieces of one document.
const PIECE_BITS: u32 = 8;

/// What the entry keeps.
pub(crate) struct EntryState {
    pub(crate) table: BackendTable,
    /// The same backend servers with their role for a pool, as round robin wants them.
    turn_table: BackendTable,
    pub(crate) route: RoutePlanner,
    pub(crate) admission: AdmissionControl,
    pub(crate) retry: RetryController,
    pub(crate) health: HealthTracker,
    turns: [NaiveRouter; 3],
    rng: Pcg64Mcg,
    routing: bool,
}

/// The pieces that a document is cached under.
pub(crate) fn piece_hashes(document: u64, tokens: u64) -> Vec<BlockHash> {
    let pieces = tokens / BLOCK_TOKENS;
    (0..pieces)
        .map(|piece| BlockHash((document << PIECE_BITS) + piece + 1))
        .collect()
}

fn turn_pool(role: BackendRole) -> PoolId {
    named(role.as_str())
}

impl EntryState {
    pub(crate) fn new(version: &VersionSet, seed: u64) -> Self {
        let place = InstanceLocality {
            domain: domain_id(0),
            region: region_id(),
        };
        let policy = RoutePolicy {
            domain_cost: TimeSpan::ZERO,
            ..RoutePolicy::default()
        };
        let retry = RetryPolicy {
            burst: 2 * BATCH_LIMIT as u64,
            ..RetryPolicy::default()
        };
        Self {
            table: BackendTable::new(),
            turn_table: BackendTable::new(),
            route: RoutePlanner::new(place, policy),
            admission: AdmissionControl::new(HEARTBEAT),
            retry: RetryController::new(retry),
            health: HealthTracker::new(HealthPolicy::default()),
            turns: Default::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            routing: version.has(Mechanism::Routing),
        }
    }

    pub(crate) fn note(
        &mut self,
        spec: BackendSpec,
        standing: BackendAvailability,
        now: TimePoint,
    ) {
        let id = spec.id.clone();
        self.health.add(id.clone(), spec.pool.clone(), now);
        let pool = turn_pool(spec.role);
        let turn_spec = BackendSpec {
            pool,
            ..spec.clone()
        };
        self.turn_table.upsert(turn_spec);
        self.turn_table.set_availability(&id, standing);
        self.table.upsert(spec);
        self.table.set_availability(&id, standing);
    }

    pub(crate) fn forget(&mut self, id: &BackendId) {
        if let Some(HealthAction::Reinstate(back)) = self.health.remove(id) {
            self.table
                .set_availability(&back, BackendAvailability::Serving);
            self.turn_table
                .set_availability(&back, BackendAvailability::Serving);
        }
        self.table.remove(id);
        self.turn_table.remove(id);
    }

    /// Chooses where a request goes; empty where nothing serves.
    pub(crate) fn choose(&mut self, request: &RouteRequest, role: BackendRole) -> RouteChoice {
        if self.routing {
            return self.route.choose(&self.table, request, &mut self.rng);
        }
        let turn_request = RouteRequest {
            pool: turn_pool(role),
            ..request.clone()
        };
        let turn = match role {
            BackendRole::Prefill | BackendRole::Both => 0,
            BackendRole::Decode => 1,
            BackendRole::Plain => 2,
        };
        let chosen = self.turns[turn].choose(&self.turn_table, &turn_request);
        let row = chosen.and_then(|id| self.table.get(&id));
        let candidate = row.map(|row| self.route.predict(&self.table, request, row));
        RouteChoice {
            candidates: candidate.into_iter().collect(),
        }
    }
}

/// Describes a request to the router.
pub(crate) fn route_request(
    request: &OfferedRequest,
    class: &RequestClass,
    phase: RoutePhase,
    deadline: TimeSpan,
    excluded: &BTreeSet<BackendId>,
) -> RouteRequest {
    let document = request.document;
    let pieces = document.map(|document| piece_hashes(document, class.prefix_tokens));
    let pool = match class.is_plain() {
        true => PLAIN_POOL,
        false => ENGINE_POOL,
    };
    RouteRequest {
        pool: named(pool),
        model: None,
        phase,
        prompt_tokens: TokenCount(request.prompt),
        answer_tokens: TokenCount(request.answer),
        prefix_hashes: PrefixHashes::from_hashes(pieces.unwrap_or_default()),
        deadline,
        excluded: excluded.clone(),
    }
}
