//! Serving where entries send straight to backend servers.
//!
//! On a platform that publishes routes and a list of backend servers, an entry
//! relays a request itself, without a sidecar in between. What it decides then
//! stands here: which route a request takes, where it is placed, what follows
//! a failed attempt, and how requests are counted. See
//! [docs/design/platform.md](../../../../docs/design/platform.md).

mod attempt;
mod count;
mod estimate;
mod phase;
mod placement;
mod prompt;
mod replica;
mod rule;
mod seal;
mod send_state;
mod server;
mod versioned_list;
mod wall_clock;

pub use attempt::{AttemptEnd, AttemptLimits, NextStep, RequestProgress};
pub use count::{RunCounter, WindowCounts};
pub use phase::{PhaseChange, PhasePlanner, PhasePolicy};
pub use placement::{Placement, PlacementPolicy, PlacementRequest, PlacementStage, PlacementWork};
pub use prompt::{PromptPart, PromptShape};
pub use replica::{ReadPolicy, ReplicaAction, ReplicaDigest, StorePosition, StoreReplica};
pub use rule::{CallerLimits, RetryRule, RouteRule, RuleSet, ServiceRule, ServiceShare, TeamRule};
pub use seal::{SealStep, WindowSealer};
pub use send_state::{SendDecision, SendEvent, SendState, TrialCause};
pub use server::{
    BackendHash, FlightId, FlightRecord, LoadSample, PeerLoad, ServerChange, ServerRow, ServerSpec,
    ServerTable,
};
pub use versioned_list::{ChangeOrigin, ListChange, ListDelta, ListedState, VersionedList};
pub use wall_clock::WallClock;
