//! Which backend server a request is sent to.
//!
//! Cached prefixes and queues are weighed in the same unit, predicted seconds
//! to the first token. The ways weighed are in
//! [docs/design/routing.md](../../../docs/design/routing.md).

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
