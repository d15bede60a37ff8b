//! The HTTP API for callers: authentication, admission and planning of requests.

use std::convert::Infallible;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderMap, AUTHORIZATION};
use actix_http::{HttpMessage, Request, Response};
use applefold_core::claim::{ClaimKey, ClaimRequest, RequestFingerprint};
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::config::{key_digest, ServiceConfig, ServiceRoute, ServingConfig};
use applefold_core::direct::ScarceResource;
use applefold_core::id::{IdempotencyKey, ModelId, RequestId, TeamId};
use applefold_core::response::{ResponseAssembler, ResponseFormat};
use applefold_core::routing::PrefixHashes;
use applefold_core::unit::{TimeSpan, TokenCount};
use applefold_wire::dispatch::HeaderPair;
use eyre::Result;
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::chat::{estimate_prompt, ChatFields};
use super::driver;
use super::operator;
use super::plan::{engine_priority, CallerId, RequestPlan};
use super::receive::{self, ReceivedBody};
use super::response::{refusal_response, respond, ResponseMeta, ResponseStart, ResponseWriter};
use super::state::EntryState;
use crate::account::HolderGuard;
use crate::http::{self, HttpServer};

const CHAT_PATH: &str = "/v1/chat/completions";
const MODELS_PATH: &str = "/v1/models";
const HEALTH_PATH: &str = "/healthz";
const OPERATOR_PREFIX: &str = "/operator/";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const BEARER: &str = "Bearer ";
/// The retry delay in refusals of a draining instance; another instance can serve the request.
const RETRY_SOON: TimeSpan = TimeSpan::from_secs(1);
/// The request headers that are forwarded to backend servers. None of them holds the caller key.
const FORWARDED_HEADERS: [&str; 4] = ["content-type", "accept", "accept-language", "user-agent"];

/// Starts serving callers and operators.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) async fn serve(state: Rc<EntryState>) -> Result<HttpServer> {
    let address = state.settings.listen;
    let limits = receive::port_limits(&state.settings);
    let account = state.account.clone();
    let make_room = move || {
        account.make_room(ScarceResource::Descriptors);
    };
    let handle = move |request| handle(state.clone(), request);
    http::serve_with_room(address, limits, make_room, handle).await
}

async fn handle(state: Rc<EntryState>, request: Request) -> Result<Response<BoxBody>, Infallible> {
    let serving = http::activity(&request).map(|activity| activity.serve());
    let path = request.path().to_owned();
    if path == HEALTH_PATH {
        return Ok(health_response(&state));
    }
    if path.starts_with(OPERATOR_PREFIX) {
        return Ok(operator::handle(&state, request).await);
    }
    let request_id = state.next_request_id();
    let mut closing = state.gate.is_closing();
    let guard = match state.gate.admit() {
        Ok(guard) => guard,
        Err(refusal) => return Ok(closing_response(refusal)),
    };
    let start = match admit(&state, request, &request_id).await {
        Ok(AdmittedCall::Direct(response)) => return Ok(response),
        Ok(AdmittedCall::Planned(plan)) => run(&state, *plan).await,
        Err(refusal) => {
            closing |= receive::leaves_body(refusal.code);
            ResponseStart::Refused(refusal)
        }
    };
    let meta = ResponseMeta {
        request: SmolStr::new(&request_id),
        closing,
    };
    Ok(respond(start, meta, guard, serving))
}

/// Returns a refusal that also closes the connection.
fn closing_response(refusal: CallRefusal) -> Response<BoxBody> {
    let mut response = refusal_response(refusal);
    response
        .head_mut()
        .set_connection_type(actix_http::ConnectionType::Close);
    response
}

/// A call that was not refused.
enum AdmittedCall {
    /// The entry responds itself.
    Direct(Response<BoxBody>),
    /// A backend server has to run it.
    Planned(Box<PlannedCall>),
}

struct PlannedCall {
    plan: RequestPlan,
    /// The memory that the request holds until it has ended.
    holder: HolderGuard,
    traceparent: Option<SmolStr>,
}

/// Returns the response to health checks: an error once the instance is stopping, so that the
/// load balancer takes it out.
fn health_response(state: &EntryState) -> Response<BoxBody> {
    if state.gate.is_closing() {
        return refusal_response(CallRefusal::retryable(
            ResultCode::InstanceDraining,
            RETRY_SOON,
        ));
    }
    Response::ok().set_body(BoxBody::new("ok\n"))
}

async fn run(state: &Rc<EntryState>, call: PlannedCall) -> ResponseStart {
    let parent = call.traceparent.and_then(|text| text.parse().ok());
    let mut span = state.spans.start_span("entry.request", parent.as_ref());
    span.set_attribute("request", call.plan.id.to_string());
    span.set_attribute("service", call.plan.service.to_string());
    state.record_demand(&call.plan);
    let (sender, receiver) = oneshot::channel();
    let buffer_limit = state.settings.hold_limit;
    let format = match call.plan.stream {
        true => ResponseFormat::TokenStream,
        false => ResponseFormat::Bytes { buffer_limit },
    };
    let assembler = ResponseAssembler::new(call.plan.id.clone(), format);
    let writer = ResponseWriter::new(sender, assembler, call.plan.idempotent);
    let drive = driver::drive(state.clone(), call.plan, writer, span);
    let holder = call.holder;
    actix_rt::spawn(async move {
        drive.await;
        drop(holder);
    });
    let lost = CallRefusal::permanent(ResultCode::OutcomeUnknown);
    receiver.await.unwrap_or(ResponseStart::Refused(lost))
}

async fn admit(
    state: &Rc<EntryState>,
    mut request: Request,
    request_id: &str,
) -> Result<AdmittedCall, CallRefusal> {
    let arrived = state.now();
    let bearer = bearer_token(request.headers());
    if request.path() == MODELS_PATH {
        return models(state, bearer.as_deref()).map(AdmittedCall::Direct);
    }
    let traceparent = header_text(request.headers(), "traceparent");
    let ReceivedBody {
        bytes: body,
        holder,
    } = receive::read_body(state, &mut request).await?;
    let fields = match request.path() {
        CHAT_PATH => Some(parse_chat(&body)?),
        _ => None,
    };
    let plan = state.config.with(|config| {
        let service = find_service(config, request.path(), fields.as_ref())?;
        if body.len() as u64 > service.max_body_bytes.0 {
            return Err(CallRefusal::permanent(ResultCode::RequestTooLarge));
        }
        let caller = authorize(config, service, bearer.as_deref())?;
        if caller.is_some() {
            state.config.serves_keyed(arrived)?;
        }
        let caller_team = caller.as_ref().map(|caller| &caller.team);
        let internal = CallRefusal::permanent(ResultCode::RequestMalformed);
        let id: RequestId = request_id.parse().map_err(|_| internal)?;
        let path = backend_path(service, &request);
        let team = caller_team.unwrap_or(&state.public_team);
        let method = request.method().as_str();
        let fingerprint = RequestFingerprint::of(team, method, &path, &body);
        Ok(RequestPlan {
            caller: caller.clone(),
            service: service.id.clone(),
            pool: service.pool.clone(),
            model: fields.as_ref().map(|fields| fields.model.clone()),
            method: SmolStr::new(request.method().as_str()),
            path,
            headers: forwarded_headers(request.headers()),
            stream: fields.as_ref().is_some_and(|fields| fields.stream),
            idempotent: is_idempotent(service, &request),
            deadline: arrived + service.deadline,
            prompt_tokens: estimate_prompt(&body),
            answer_tokens: fields
                .as_ref()
                .map_or(TokenCount::ZERO, |fields| fields.answer_tokens),
            priority: engine_priority(service),
            prefix_hashes: PrefixHashes::of_prompt(&body),
            fingerprint,
            claim: claim_request(&request, service, caller_team, &id, &body)?,
            body,
            id,
        })
    })?;
    Ok(AdmittedCall::Planned(Box::new(PlannedCall {
        plan,
        holder,
        traceparent,
    })))
}

fn find_service<'a>(
    config: &'a ServingConfig,
    path: &str,
    fields: Option<&ChatFields>,
) -> Result<&'a ServiceConfig, CallRefusal> {
    match fields {
        Some(fields) => {
            let unknown = CallRefusal::permanent(ResultCode::ModelUnknown);
            config.service_for_model(&fields.model).ok_or(unknown)
        }
        None => {
            let unknown = CallRefusal::permanent(ResultCode::RouteUnknown);
            config.service_for_path(path).ok_or(unknown)
        }
    }
}

fn authorize(
    config: &ServingConfig,
    service: &ServiceConfig,
    bearer: Option<&str>,
) -> Result<Option<CallerId>, CallRefusal> {
    if service.open {
        return Ok(None);
    }
    let caller = authenticate(config, bearer)?;
    if !service.allows(&caller.team) {
        return Err(CallRefusal::permanent(ResultCode::TeamForbidden));
    }
    Ok(Some(caller))
}

fn authenticate(config: &ServingConfig, bearer: Option<&str>) -> Result<CallerId, CallRefusal> {
    let bearer = bearer.ok_or(CallRefusal::permanent(ResultCode::KeyMissing))?;
    let key = config.find_key(&key_digest(bearer)).active();
    let key = key.ok_or(CallRefusal::permanent(ResultCode::KeyRefused))?;
    Ok(CallerId::from(key))
}

fn models(state: &EntryState, bearer: Option<&str>) -> Result<Response<BoxBody>, CallRefusal> {
    state.config.serves_keyed(state.now())?;
    let models = state.config.with(|config| {
        let caller = authenticate(config, bearer)?;
        let models = config.models_for(&caller.team).into_iter().cloned();
        Ok(models.collect::<Vec<ModelId>>())
    })?;
    let rows = models.iter();
    let rows = rows.map(|id| json!({"id": id, "object": "model", "owned_by": "applefold"}));
    let body = json!({"object": "list", "data": rows.collect::<Vec<_>>()});
    let mut response = Response::ok().set_body(BoxBody::new(body.to_string()));
    let kind = actix_http::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(actix_http::header::CONTENT_TYPE, kind);
    Ok(response)
}

fn parse_chat(body: &[u8]) -> Result<ChatFields, CallRefusal> {
    let malformed = CallRefusal::permanent(ResultCode::RequestMalformed);
    serde_json::from_slice(body).map_err(|_| malformed)
}

/// Returns the path and query for the backend server. The path prefix of a plain route is
/// stripped.
fn backend_path(service: &ServiceConfig, request: &Request) -> String {
    let uri = request.uri();
    let full = uri
        .path_and_query()
        .map_or(uri.path(), |path| path.as_str());
    match &service.route {
        ServiceRoute::Model { .. } => full.to_owned(),
        ServiceRoute::Plain { path_prefix } => {
            let rest = full.strip_prefix(path_prefix.as_str());
            format!("/{}", rest.unwrap_or(full))
        }
    }
}

fn is_idempotent(service: &ServiceConfig, request: &Request) -> bool {
    service.is_idempotent(request.path())
}

/// Returns the claim on the caller's idempotency key. Idempotent calls and calls without a key
/// need none.
///
/// # Errors
///
/// Refuses with [`ResultCode::RequestMalformed`] if the key is invalid.
fn claim_request(
    request: &Request,
    service: &ServiceConfig,
    team: Option<&TeamId>,
    id: &RequestId,
    body: &[u8],
) -> Result<Option<ClaimRequest>, CallRefusal> {
    let key = header_text(request.headers(), IDEMPOTENCY_HEADER);
    let (Some(key), Some(team)) = (key, team) else {
        return Ok(None);
    };
    if is_idempotent(service, request) {
        return Ok(None);
    }
    let malformed = CallRefusal::permanent(ResultCode::RequestMalformed);
    let key: IdempotencyKey = key.parse().map_err(|_| malformed)?;
    let method = request.method().as_str();
    let path = request.uri().path_and_query();
    let path = path.map_or(request.path(), |path| path.as_str());
    Ok(Some(ClaimRequest {
        claim: ClaimKey {
            team: team.clone(),
            key,
        },
        fingerprint: RequestFingerprint::of(team, method, path, body),
        request_id: id.clone(),
    }))
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<HeaderPair> {
    let passed = FORWARDED_HEADERS.iter().filter_map(|name| {
        let value = header_text(headers, name)?;
        let name = SmolStr::new_static(name);
        Some(HeaderPair { name, value })
    });
    passed.collect()
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<SmolStr> {
    let value = headers.get(name)?;
    value.to_str().ok().map(SmolStr::new)
}

/// Returns the bearer token of a caller or an operator.
pub(crate) fn bearer_token(headers: &HeaderMap) -> Option<SmolStr> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value
        .strip_prefix(BEARER)
        .map(|text| SmolStr::new(text.trim()))
}
