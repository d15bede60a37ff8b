//! The plan of a request: everything that its attempts need.

use applefold_core::claim::{ClaimRequest, RequestFingerprint};
use applefold_core::config::{KeyConfig, ServiceConfig, ServicePriority};
use applefold_core::id::{AttemptNumber, KeyId, ModelId, PoolId, RequestId, ServiceId, TeamId};
use applefold_core::quarantine::SuspectReport;
use applefold_core::replication::Confirmation;
use applefold_core::routing::PrefixHashes;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use applefold_wire::dispatch::{AttemptId, DispatchMessage, HeaderPair};
use smol_str::SmolStr;

const INTERACTIVE_PRIORITY: u8 = 0;
const BATCH_PRIORITY: u8 = 9;

/// The caller, as identified by its caller key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerId {
    /// The caller's team.
    pub(crate) team: TeamId,
    /// The id of the caller key.
    pub(crate) key: KeyId,
}

impl From<&KeyConfig> for CallerId {
    fn from(key: &KeyConfig) -> Self {
        Self {
            team: key.team.clone(),
            key: key.id.clone(),
        }
    }
}

/// An authenticated request, ready to be attempted.
#[derive(Clone, Debug)]
pub(crate) struct RequestPlan {
    /// The request id.
    pub(crate) id: RequestId,
    /// The caller; `None` on public routes.
    pub(crate) caller: Option<CallerId>,
    /// The service that the route belongs to.
    pub(crate) service: ServiceId,
    /// The pool of backend servers that runs the service.
    pub(crate) pool: PoolId,
    /// The requested model; `None` for plain services.
    pub(crate) model: Option<ModelId>,
    /// The HTTP method.
    pub(crate) method: SmolStr,
    /// The path and query that the backend server gets.
    pub(crate) path: String,
    /// The headers that the backend server gets.
    pub(crate) headers: Vec<HeaderPair>,
    /// The request body.
    pub(crate) body: Vec<u8>,
    /// Whether the response is streamed as events.
    pub(crate) stream: bool,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// When the response is due to begin.
    pub(crate) deadline: TimePoint,
    /// The estimated prompt length.
    pub(crate) prompt_tokens: TokenCount,
    /// The expected decode length; zero for plain services.
    pub(crate) answer_tokens: TokenCount,
    /// The priority at engines; lower is more urgent.
    pub(crate) priority: u8,
    /// The hashes of the prompt's prefix blocks.
    pub(crate) prefix_hashes: PrefixHashes,
    /// The fingerprint by which crashes are attributed to requests with the same content.
    pub(crate) fingerprint: RequestFingerprint,
    /// The claim on the caller's idempotency key; `None` if the request needs none.
    pub(crate) claim: Option<ClaimRequest>,
}

/// Returns the priority of a service's requests in the scale of engines.
pub(crate) fn engine_priority(service: &ServiceConfig) -> u8 {
    match service.priority {
        ServicePriority::Interactive => INTERACTIVE_PRIORITY,
        ServicePriority::Batch => BATCH_PRIORITY,
    }
}

/// The parts of a dispatch message that differ between attempts.
#[derive(Clone, Debug)]
pub(crate) struct AttemptInput {
    /// The number of the attempt.
    pub(crate) attempt: AttemptNumber,
    /// The current time.
    pub(crate) now: TimePoint,
    /// The configuration revision of this entry and its confirmation.
    pub(crate) confirmation: Confirmation,
    /// The trace context.
    pub(crate) traceparent: SmolStr,
    /// The tokens that the caller already has.
    pub(crate) resume_tokens: TokenCount,
    /// The least time that the attempt gets, for responses that the caller is already receiving.
    pub(crate) min_deadline: TimeSpan,
    /// The crash reports on this request.
    pub(crate) suspects: Vec<SuspectReport>,
}

impl RequestPlan {
    /// Builds the dispatch message of one attempt.
    pub(crate) fn dispatch(&self, input: AttemptInput) -> DispatchMessage {
        DispatchMessage {
            id: AttemptId {
                request: self.id.clone(),
                attempt: input.attempt,
            },
            team: self.caller.as_ref().map(|caller| caller.team.clone()),
            key: self.caller.as_ref().map(|caller| caller.key.clone()),
            service: self.service.clone(),
            model: self.model.clone(),
            confirmation: input.confirmation,
            deadline: self.deadline.since(input.now).max(input.min_deadline),
            traceparent: input.traceparent,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            stream: self.stream,
            idempotent: self.idempotent,
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.answer_tokens,
            priority: self.priority,
            resume_tokens: input.resume_tokens,
            suspects: input.suspects,
        }
    }
}
