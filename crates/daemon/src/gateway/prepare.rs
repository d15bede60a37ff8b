//! What a request is before anything is decided about backend servers.

use std::rc::Rc;

use applefold_core::claim::RequestFingerprint;
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::{RouteRule, RuleSet};
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

/// When callers may return to an entry that knows no configuration yet.
const START_RETRY: TimeSpan = TimeSpan::from_millis(500);
/// When callers may return to a route that no service serves.
const UNSERVED_RETRY: TimeSpan = TimeSpan::from_millis(400);

/// A request that is refused before anything is decided about backend servers.
pub(super) struct EarlyRefusal {
    name: Option<SmolStr>,
    refusal: CallRefusal,
}

impl EarlyRefusal {
    /// Answers the caller.
    pub(super) async fn answer(
        self,
        state: &GatewayState,
        request: &ReceivedRequest,
        writer: &mut OwnedWriteHalf,
    ) -> ConnectionAction {
        let name = self.name.as_deref();
        log::info!(request = name.unwrap_or(""), code = self.refusal.code.number(),
            path = request.head.target.as_str(), revision = state.revision().0;
            "request refused: {}", self.refusal.code.meaning());
        let keep = keeps_open(state, request);
        let mut bytes = Vec::new();
        render_refusal(&self.refusal, name, keep, &mut bytes);
        count_request(state, self.refusal.code.status());
        write(writer, &bytes, keep).await
    }
}

/// A request whose route and team are known.
pub(super) struct PreparedRequest {
    pub(super) caller: CallerRequest,
    pub(super) rules: Rc<RuleSet>,
    pub(super) route: RouteRule,
    pub(super) service: ServiceId,
    pub(super) team: Option<TeamId>,
    pub(super) urgency: u8,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) deadline: TimePoint,
    _work: WorkGuard,
}

impl PreparedRequest {
    /// Finds route, team and service of a request, or refuses it.
    pub(super) fn new(
        state: &GatewayState,
        request: &ReceivedRequest,
    ) -> Result<Self, EarlyRefusal> {
        let caller = CallerRequest::read(&request.head);
        let caller = caller.map_err(|refusal| EarlyRefusal {
            name: None,
            refusal,
        })?;
        let refuse = |refusal| EarlyRefusal {
            name: Some(caller.name.clone()),
            refusal,
        };
        let work = state.drain.borrow().admit().map_err(refuse)?;
        let starting = CallRefusal::passing(ResultCode::ConfigMissing, START_RETRY);
        let rules = state.rules().ok_or_else(|| refuse(starting))?;
        let route = rules.route(&caller.host, &caller.path).map_err(refuse)?;
        let team = rules.team(route, caller.key.as_deref()).map_err(refuse)?;
        let missing = CallRefusal::passing(ResultCode::BackendMissing, UNSERVED_RETRY);
        let service = route.service_of(&caller.name);
        let service = service.ok_or_else(|| refuse(missing))?;
        let head = &request.head;
        let owner = team.map_or("", TeamId::as_str);
        let fingerprint =
            RequestFingerprint::digest(owner, &head.method, &head.target, &request.body);
        let patience = caller.patience.unwrap_or(route.timeout);
        Ok(Self {
            service: service.clone(),
            team: team.cloned(),
            urgency: rules.urgency(route, team),
            route: route.clone(),
            fingerprint,
            deadline: request.arrived + patience.min(route.timeout),
            rules: Rc::clone(&rules),
            _work: work,
            caller,
        })
    }
}

/// Returns whether the connection may be used again after the answer.
pub(super) fn keeps_open(state: &GatewayState, request: &ReceivedRequest) -> bool {
    request.head.keep_alive && !state.drain.borrow().is_stopping()
}

/// Counts how a request ended.
pub(super) fn count_request(state: &GatewayState, status: u16) {
    let status = KeyValue::new("status", i64::from(status));
    state.metrics.requests.add(1, &[status]);
}

/// Writes the last bytes of an answer.
pub(super) async fn write(
    writer: &mut OwnedWriteHalf,
    bytes: &[u8],
    keep: bool,
) -> ConnectionAction {
    match (writer.write_all(bytes).await, keep) {
        (Ok(()), true) => ConnectionAction::Keep,
        (Ok(()), false) | (Err(_), _) => ConnectionAction::Close,
    }
}
