//! Finds the route, team and service of a request before a backend server is chosen.

use std::rc::Rc;

use applefold_core::claim::RequestFingerprint;
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::{PromptShape, RouteRule, RuleSet};
use applefold_core::drain::WorkGuard;
use applefold_core::id::{ServiceId, TeamId};
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_platform::{render_refusal, CallerRequest};
use opentelemetry::KeyValue;
use smol_str::SmolStr;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use super::accept::{ConnectionAction, ReceivedRequest};
use super::state::GatewayState;
use super::suspect_parts::part_fingerprints;

/// `Retry-After` of an entry that has no configuration yet.
const NO_CONFIG_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);
/// `Retry-After` of a route that has no service.
const NO_SERVICE_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(400);

/// The refusal of a request for which no backend server is chosen.
pub(super) struct EarlyRefusal {
    /// The request ID, if the request has a valid one.
    id: Option<SmolStr>,
    refusal: CallRefusal,
}

impl EarlyRefusal {
    /// Refuses a request with this valid ID.
    pub(super) fn new(id: &SmolStr, refusal: CallRefusal) -> Self {
        Self {
            id: Some(id.clone()),
            refusal,
        }
    }

    /// Logs the refusal and sends it to the caller.
    pub(super) async fn respond(
        self,
        state: &GatewayState,
        request: &ReceivedRequest,
        writer: &mut OwnedWriteHalf,
    ) -> ConnectionAction {
        let id = self.id.as_deref();
        log::info!(request = id.unwrap_or(""), code = self.refusal.code.number(),
            path = request.head.target.as_str(), revision = state.revision().0;
            "request refused: {}", self.refusal.code.meaning());
        let keep = keeps_alive(state, request);
        let mut bytes = Vec::new();
        render_refusal(&self.refusal, id, keep, &mut bytes);
        count_request(state, self.refusal.code.status());
        write_last(writer, &bytes, keep).await
    }
}

/// A request whose route, team and service are known.
pub(super) struct PreparedRequest {
    pub(super) caller: CallerRequest,
    pub(super) rules: Rc<RuleSet>,
    pub(super) route: RouteRule,
    pub(super) service: ServiceId,
    pub(super) team: Option<TeamId>,
    pub(super) urgency: u8,
    pub(super) fingerprint: RequestFingerprint,
    /// The fingerprints of the parts of the prompt that other requests may share.
    pub(super) shared_parts: Vec<RequestFingerprint>,
    pub(super) deadline: TimePoint,
    /// Keeps a draining process running until the request ends.
    _work: WorkGuard,
}

impl PreparedRequest {
    /// Finds the route, team and service of a request, or refuses it. Its deadline is the timeout
    /// of the route, or an earlier one that the caller states, or the end of a stopping process.
    pub(super) fn new(
        state: &GatewayState,
        request: &ReceivedRequest,
    ) -> Result<Self, EarlyRefusal> {
        let caller = CallerRequest::read(&request.head);
        let caller = caller.map_err(|refusal| EarlyRefusal { id: None, refusal })?;
        let refuse = |refusal| EarlyRefusal {
            id: Some(caller.id.clone()),
            refusal,
        };
        let work = state.drain.borrow().admit().map_err(refuse)?;
        let work_end = state.drain.borrow().work_end();
        let no_config = CallRefusal::retryable(ResultCode::ConfigMissing, NO_CONFIG_RETRY_AFTER);
        let rules = state.rules().filter(|_| state.is_config_current());
        let rules = rules.ok_or_else(|| refuse(no_config))?;
        let route = rules.route(&caller.host, &caller.path).map_err(refuse)?;
        let team = rules
            .team(route, caller.api_key.as_deref())
            .map_err(refuse)?;
        let no_service = CallRefusal::retryable(ResultCode::BackendMissing, NO_SERVICE_RETRY_AFTER);
        let service = route.service_of(&caller.id);
        let service = service.ok_or_else(|| refuse(no_service))?;
        let head = &request.head;
        let owner = team.map_or("", TeamId::as_str);
        let fingerprint =
            RequestFingerprint::digest(owner, &head.method, &head.target, &request.body);
        let prompt = caller.prompt.as_ref();
        let shared_parts = part_fingerprints(prompt.map_or(&[], PromptShape::shared));
        let timeout = caller.timeout.unwrap_or(route.timeout);
        let deadline = request.arrived + timeout.min(route.timeout);
        if !can_end(state, route, deadline) {
            return Err(refuse(state.drain.borrow().refusal()));
        }
        Ok(Self {
            service: service.clone(),
            team: team.cloned(),
            urgency: rules.priority(route, team),
            route: route.clone(),
            fingerprint,
            shared_parts,
            deadline: work_end.map_or(deadline, |end| deadline.min(end)),
            rules: Rc::clone(&rules),
            _work: work,
            caller,
        })
    }
}

/// Returns whether a stopping process may pass on a request of this route. One that may not be
/// repeated would be lost if it outlasted the process, and another entry can serve it.
fn can_end(state: &GatewayState, route: &RouteRule, deadline: TimePoint) -> bool {
    let work_end = state.drain.borrow().work_end();
    let Some(work_end) = work_end.filter(|_| !route.retry_rule.allows_retry()) else {
        return true;
    };
    let expected = state.durations.borrow().expected(&route.name);
    deadline <= work_end || expected.is_none_or(|expected| state.now() + expected <= work_end)
}

/// Returns whether the caller connection stays open after the response.
pub(super) fn keeps_alive(state: &GatewayState, request: &ReceivedRequest) -> bool {
    request.head.keep_alive && !state.drain.borrow().is_stopping()
}

/// Counts a finished request by its status.
pub(super) fn count_request(state: &GatewayState, status: u16) {
    let status = KeyValue::new("status", i64::from(status));
    state.metrics.requests.add(1, &[status]);
}

/// Writes the last bytes of a response.
pub(super) async fn write_last(
    writer: &mut OwnedWriteHalf,
    bytes: &[u8],
    keep: bool,
) -> ConnectionAction {
    match (writer.write_all(bytes).await, keep) {
        (Ok(()), true) => ConnectionAction::Keep,
        (Ok(()), false) | (Err(_), _) => ConnectionAction::Close,
    }
}
