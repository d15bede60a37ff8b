//! The HTTP API for operators.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderValue, CONTENT_TYPE};
use actix_http::{HttpMessage, Method, Request, Response};
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::id::TicketNumber;
use applefold_core::ticket::{log_key, ChangeTicket, StoreCall, StoreReply, TicketRefusal};
use serde_json::{json, Value};

use super::api::bearer_token;
use super::filing::{self, FilingError};
use super::receive;
use super::report;
use super::response::refusal_response;
use super::state::EntryState;

const TICKET_PREFIX: &str = "/operator/tickets/";

/// Responds to an operator's call, after checking the operator credential.
pub(crate) async fn handle(state: &Rc<EntryState>, mut request: Request) -> Response<BoxBody> {
    let bearer = bearer_token(request.headers());
    let known = bearer.is_some_and(|text| state.settings.operator_credential.matches(&text));
    if !known {
        return refusal_response(CallRefusal::permanent(ResultCode::OperatorRefused));
    }
    let received = match receive::read_body(state, &mut request).await {
        Ok(received) => received,
        Err(refusal) => return refusal_response(refusal),
    };
    let body = String::from_utf8_lossy(&received.bytes).into_owned();
    let method = request.method().clone();
    match (&method, request.path()) {
        (&Method::POST, "/operator/tickets") => file(state, &body).await,
        (&Method::POST, "/operator/tickets/check") => check(state, &body),
        (&Method::GET, "/operator/status") => json_response(report::status(state)),
        (&Method::GET, "/operator/report") => json_response(report::report(state)),
        (&Method::GET, path) if path.starts_with(TICKET_PREFIX) => {
            show(state, &path[TICKET_PREFIX.len()..]).await
        }
        _ => refusal_response(CallRefusal::permanent(ResultCode::RouteUnknown)),
    }
}

fn json_response(value: Value) -> Response<BoxBody> {
    let mut response = Response::ok().set_body(BoxBody::new(value.to_string()));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn ticket_response(refusal: &TicketRefusal) -> Response<BoxBody> {
    let code = refusal.code;
    let base = refusal_response(CallRefusal::permanent(code));
    let body = json!({"error": {
        "code": code.number(),
        "message": code.meaning(),
        "run_state": code.run_state().as_str(),
        "faults": refusal.faults,
    }});
    base.map_body(|_, _| BoxBody::new(body.to_string()))
}

fn check(state: &EntryState, body: &str) -> Response<BoxBody> {
    let checked = ChangeTicket::parse(body).and_then(|ticket| {
        state.config.with(|config| ticket.check(config))?;
        Ok(ticket)
    });
    match checked {
        Err(refusal) => ticket_response(&refusal),
        Ok(ticket) => {
            let touches = ticket.object_ids();
            let touches: Vec<String> = touches.iter().map(ToString::to_string).collect();
            json_response(json!({"ticket": ticket.number, "touches": touches}))
        }
    }
}

async fn file(state: &Rc<EntryState>, body: &str) -> Response<BoxBody> {
    let ticket = match ChangeTicket::parse(body) {
        Ok(ticket) => ticket,
        Err(refusal) => return ticket_response(&refusal),
    };
    let number = ticket.number;
    match filing::file(state, ticket).await {
        Ok(filed) => json_response(json!({
            "ticket": number,
            "revision": filed.revision,
            "repeat": filed.duplicate,
        })),
        Err(FilingError::Ticket(refusal)) => ticket_response(&refusal),
        Err(FilingError::Call(refusal)) => refusal_response(refusal),
    }
}

/// Returns a ticket as it is stored in the log.
async fn show(state: &EntryState, number: &str) -> Response<BoxBody> {
    let unknown = refusal_response(CallRefusal::permanent(ResultCode::RouteUnknown));
    let Ok(number) = number.parse::<TicketNumber>() else {
        return unknown;
    };
    let record = state
        .config
        .with(|config| config.ticket_record(number).copied());
    let Some(record) = record else {
        return unknown;
    };
    let key = log_key(record.revision);
    let body = match state.platform.config(StoreCall::Read { key }).await {
        StoreReply::Found(entry) => serde_json::from_str(&entry.value).unwrap_or(Value::Null),
        _ => Value::Null,
    };
    json_response(json!({"ticket": number, "revision": record.revision, "body": body}))
}
