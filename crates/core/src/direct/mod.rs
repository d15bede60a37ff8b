//! Serving where entries send straight to backend servers.
//!
//! On a platform that publishes routes and a list of backend servers, an entry
//! relays a request itself, without a sidecar in between. What it decides then
//! stands here: which route a request takes, where it is placed, what follows
//! a failed attempt, and how requests are counted. See
//! [docs/design/platform.md](../../../../docs/design/platform.md).

mod attempt;
mod copy;
mod count;
mod estimate;
mod gate;
mod instance;
mod ledger;
mod phase;
mod placement;
mod prompt;
mod rule;
mod seal;
mod wall;

pub use attempt::{AttemptEnd, AttemptLimits, NextStep, RequestProgress};
pub use copy::{CopyNews, CopyPosition, CopyStep, ReadPolicy, StoreCopy};
pub use count::{RunCounter, WindowCounts};
pub use gate::{SendEvent, SendState, SendVerdict, TrialCause};
pub use instance::{
    BackendTag, FlightId, FlightNote, InstanceChange, InstanceRow, InstanceSpec, InstanceTable,
    LoadSample, PeerLoad,
};
pub use ledger::{LineOrigin, ListDelta, ListLedger, ListedRow, ListedState};
pub use phase::{PhaseMove, PhasePlanner, PhasePolicy};
pub use placement::{Placement, PlacementPolicy, PlacementRequest, PlacementStage, PlacementWork};
pub use prompt::{PromptPart, PromptShape};
pub use rule::{CallerLimits, RepeatRule, RouteRule, RuleSet, ServiceRule, ServiceShare, TeamRule};
pub use seal::{SealStep, WindowSealer};
pub use wall::WallReference;
