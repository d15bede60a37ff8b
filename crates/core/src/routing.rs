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
    BackendRole, BackendSpec, BackendStanding, BackendState, LoadReport, OwnFlight, RoleError,
    RoutePhase,
};
pub use planner::{
    RouteCandidate, RouteChoice, RoutePlace, RoutePlanner, RoutePolicy, RouteRequest,
};
pub use prefix::{
    CacheChange, CacheEvent, PieceChain, PieceHash, PrefixIndex, MAX_PIECES_PER_BACKEND,
};
pub use subset::BackendSubset;
pub use table::{BackendTable, FlightId, PoolSummary};
