//! Prefix-cache-aware and load-aware routing of requests to backend servers.
//!
//! Candidates are ranked by their predicted time to first token (TTFT), so that
//! cache hits and queueing delay are compared in the same unit. The alternatives
//! considered are in [docs/design/routing.md](../../../docs/design/routing.md).

mod backend;
mod planner;
mod prefix;
mod subset;
mod table;

pub use backend::{
    BackendAvailability, BackendRole, BackendSpec, BackendState, InFlightRequest, LoadReport,
    RoleError, RoutePhase,
};
pub use planner::{
    InstanceLocality, RouteCandidate, RouteChoice, RoutePlanner, RoutePolicy, RouteRequest,
};
pub use prefix::{
    BlockHash, CacheChange, CacheEvent, PrefixHashes, PrefixIndex, MAX_BLOCKS_PER_BACKEND,
};
pub use subset::BackendSubset;
pub use table::{BackendTable, FlightId, PoolSummary};
