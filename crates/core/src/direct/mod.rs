//! Direct serving: entries send requests straight to backend servers.
//!
//! On a platform that publishes routes and a list of backend servers, an entry relays a request
//! itself, without a sidecar in between. This module holds its decisions: the route of a request,
//! its placement, retries after a failed attempt, and the count of requests for usage reports. See
//! [docs/design/platform.md](../../../../docs/design/platform.md).

mod attempt;
mod bucket;
mod config_parts;
mod config_source;
mod continuity;
mod count;
mod delivery;
mod duration;
mod estimate;
mod hedge;
mod holding;
mod list_replica;
mod origin_memory;
mod permit;
mod phase;
mod placement;
mod prompt;
mod quota;
mod replica;
mod rule;
mod seal;
mod send_state;
mod server;
mod speed;
mod stream_origin;
mod version;
mod version_history;
mod versioned_list;
mod wall_clock;

pub use attempt::{AttemptEnd, AttemptLimits, NextStep, RequestProgress};
pub use config_parts::{ConfigArchive, ConfigPart, PartId, PartIdError, PartList};
pub use config_source::{batch_size, ConfigSource, HolderRotation, SourceInputs};
pub use continuity::{ExpiredServers, RemovalCause, StoreContinuity, RETURN_TIME};
pub use count::{RunCounter, WindowCounts};
pub use delivery::{DeliveryReport, DeliveryStep, DeliveryWatch};
pub use duration::DurationTable;
pub use hedge::{
    has_queue, HedgeController, HedgeDenial, HedgeRequest, HedgeShare, HedgeShareError,
    LatencyClass, ServiceLoad, SlowTime,
};
pub use holding::{
    DescriptorShares, HolderId, HolderStage, HoldingTable, ScarceResource, YieldCause,
    YieldingHolder, MAX_WAIT, MIN_STALL, PROGRESS_BYTES, REFUSAL_SPACING, SMALL_BYTES,
};
pub use list_replica::{ChangeSource, ListReplica, ListUpdate};
pub use origin_memory::{FindingSource, OriginFinding, OriginMemory};
pub use permit::{
    choose_issuer, choose_successor, IssuerChoice, LimitEffect, LimitStatement, LimitedBackend,
    LiveShare, PeerReach, PermitIssuer, PermitReply, RateLimit, PERMIT_TTL,
};
pub use phase::{PhaseChange, PhasePlanner, PhasePolicy};
pub use placement::{Placement, PlacementPolicy, PlacementRequest, PlacementStage, PlacementWork};
pub use prompt::{PromptPart, PromptShape};
pub use quota::{
    grant_ttl, EntryCensus, QuotaAmount, QuotaAsk, QuotaGrant, QuotaIssuer, QuotaLedger,
    QuotaReply, QuotaStep, QuotaTransfer, QuotaUnit, TeamQuota, TimedReply,
};
pub use replica::{
    ReadPolicy, ReplicaAction, ReplicaDigest, StoreEra, StorePosition, StoreReplica,
};
pub use rule::{
    CallerLimits, ResponseStage, RetryRule, RouteRule, RuleSet, ServiceRule, ServiceShare,
    TeamRule, TimeGoal,
};
pub use seal::{SealStep, WindowSealer};
pub use send_state::{SendDecision, SendEvent, SendState, TrialCause};
pub use server::{
    BackendHash, FirstToken, FlightId, FlightRecord, LoadSample, PeerLoad, ServerChange, ServerRow,
    ServerSpec, ServerTable,
};
pub use speed::{PrefillWork, SpeedObservation};
pub use stream_origin::{
    KnownStream, OriginSource, OriginTable, StreamKey, StreamOrigin, MIN_STREAM_LIFE,
};
pub use version::{SoftwareVersion, StreamBinding, VersionBound, VersionError};
pub use version_history::{UnknownCause, VersionHistory, VersionSpan, MAX_LIST_AGE, SETTLE_TIME};
pub use versioned_list::{ChangeOrigin, ListChange, ListDelta, ListedState, VersionedList};
pub use wall_clock::WallClock;
