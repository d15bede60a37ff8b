//! A request that has been let in, with all that its attempts need.

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

/// Who calls, as the caller key says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerId {
    pub(crate) team: TeamId,
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

/// A request that has been let in.
#[derive(Clone, Debug)]
pub(crate) struct RequestPlan {
    pub(crate) id: RequestId,
    pub(crate) caller: Option<CallerId>,
    pub(crate) service: ServiceId,
    pub(crate) pool: PoolId,
    pub(crate) model: Option<ModelId>,
    pub(crate) method: SmolStr,
    pub(crate) path: String,
    pub(crate) headers: Vec<HeaderPair>,
    pub(crate) body: Vec<u8>,
    pub(crate) stream: bool,
    pub(crate) idempotent: bool,
    pub(crate) deadline: TimePoint,
    pub(crate) prompt_tokens: TokenCount,
    pub(crate) answer_tokens: TokenCount,
    pub(crate) priority: u8,
    pub(crate) prefix_hashes: PrefixHashes,
    /// Tells requests like this one from others.
    pub(crate) fingerprint: RequestFingerprint,
    /// What the caller's idempotency key claims; `None` where a repeat does no harm.
    pub(crate) claim: Option<ClaimRequest>,
}

/// Returns the priority that engines understand.
pub(crate) fn engine_priority(service: &ServiceConfig) -> u8 {
    match service.priority {
        ServicePriority::Interactive => INTERACTIVE_PRIORITY,
        ServicePriority::Batch => BATCH_PRIORITY,
    }
}

/// What differs from one attempt to the next.
#[derive(Clone, Debug)]
pub(crate) struct AttemptInput {
    pub(crate) attempt: AttemptNumber,
    pub(crate) now: TimePoint,
    pub(crate) confirmation: Confirmation,
    pub(crate) traceparent: SmolStr,
    pub(crate) resume_tokens: TokenCount,
    /// An answer that its caller reads already is due whenever it comes.
    pub(crate) min_deadline: TimeSpan,
    pub(crate) suspects: Vec<SuspectReport>,
}

impl RequestPlan {
    /// Makes the message of one attempt.
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
            repeatable: self.idempotent,
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.answer_tokens,
            priority: self.priority,
            resume_tokens: input.resume_tokens,
            suspects: input.suspects,
        }
    }
}
