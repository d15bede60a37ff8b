//! Serving where entries send straight to backend servers.
//!
//! On a platform that publishes routes and a list of backend servers, an entry
//! relays a request itself, without a sidecar in between. What it decides then
//! stands here: which route a request takes, where it is placed, what follows
//! a failed attempt, and how requests are counted. See
//! [docs/design/platform.md](../../../../docs/design/platform.md).

mod attempt;
mod replica;
mod count;
mod estimate;
mod send_state;
mod server;
mod versioned_list;
mod phase;
mod placement;
mod prompt;
mod rule;
mod seal;
mod wall_clock;

pub use attempt::{AttemptEnd, AttemptLimits, NextStep, RequestProgress};
pub use replica::{ReplicaDigest, StorePosition, ReplicaAction, ReadPolicy, StoreReplica};
pub use count::{RunCounter, WindowCounts};
pub use send_state::{SendEvent, SendState, SendDecision, TrialCause};
pub use server::{
    BackendHash, FlightId, FlightRecord, ServerChange, ServerRow, ServerSpec, ServerTable,
    LoadSample, PeerLoad,
};
pub use versioned_list::{ChangeOrigin, ListDelta, VersionedList, ListChange, ListedState};
pub use phase::{PhaseChange, PhasePlanner, PhasePolicy};
pub use placement::{Placement, PlacementPolicy, PlacementRequest, PlacementStage, PlacementWork};
pub use prompt::{PromptPart, PromptShape};
pub use rule::{CallerLimits, RetryRule, RouteRule, RuleSet, ServiceRule, ServiceShare, TeamRule};
pub use seal::{SealStep, WindowSealer};
pub use wall_clock::WallClock;
