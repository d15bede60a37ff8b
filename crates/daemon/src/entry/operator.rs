//! The calls of operators.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderValue, CONTENT_TYPE};
use actix_http::{HttpMessage, Method, Request, Response};
use applefold_core::claim::store::{CallNumber, StoreCall, StoreKey, StoreReply, StoreVersion};
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::ticket::{ChangeTicket, TicketRefusal};
use applefold_core::unit::TimeSpan;
use serde_json::{json, Value};

use super::api::{bearer_of, read_body};
use super::control::log_key;
use super::reply::refusal_response;
use super::state::EntryState;

const RETRY_SOON: TimeSpan = TimeSpan::from_secs(1);

/// Answers an operator's call.
pub(crate) async fn handle(state: &Rc<EntryState>, mut request: Request) -> Response<BoxBody> {
    let bearer = bearer_of(request.headers());
    let known = bearer.is_some_and(|text| state.settings.operator_credential.matches(&text));
    if !known {
        return refusal_response(CallRefusal::lasting(ResultCode::OperatorRefused));
    }
    let body = match read_body(&mut request).await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(refusal) => return refusal_response(refusal),
    };
    let method = request.method().clone();
    match (&method, request.path()) {
        (&Method::POST, "/operator/tickets") => file(state, &body).await,
        (&Method::GET, "/operator/status") => json_response(status(state)),
        _ => refusal_response(CallRefusal::lasting(ResultCode::RouteUnknown)),
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
    let base = refusal_response(CallRefusal::lasting(code));
    let body = json!({"error": {
        "code": code.number(),
        "message": code.meaning(),
        "run_state": code.run_state().as_str(),
        "faults": refusal.faults,
    }});
    base.map_body(|_, _| BoxBody::new(body.to_string()))
}

async fn file(state: &Rc<EntryState>, body: &str) -> Response<BoxBody> {
    let ticket = match ChangeTicket::parse(body) {
        Ok(ticket) => ticket,
        Err(refusal) => return ticket_response(&refusal),
    };
    let mut config = state.config.with(Clone::clone);
    let applied = match config.apply(&ticket) {
        Ok(applied) => applied,
        Err(refusal) => return ticket_response(&refusal),
    };
    if !applied.repeat {
        let put = StoreCall::Put {
            call: CallNumber(0),
            key: StoreKey::new(log_key(applied.revision)),
            value: ticket.to_json(),
            expect: StoreVersion::ABSENT,
        };
        if !matches!(
            state.platform.store(put).await.reply,
            StoreReply::Written(_)
        ) {
            let code = ResultCode::TicketUnsettled;
            return refusal_response(CallRefusal::passing(code, RETRY_SOON));
        }
        state.apply(config);
    }
    json_response(json!({
        "ticket": ticket.number,
        "revision": applied.revision,
        "repeat": applied.repeat,
    }))
}

fn status(state: &Rc<EntryState>) -> Value {
    let now = state.now();
    let note = state.config.note(now);
    let table = state.links.borrow();
    let instances = table.rows.iter().map(|(id, row)| {
        json!({
            "id": id,
            "kind": if row.pool.is_some() { "backend" } else { "entry" },
            "domain": row.domain,
            "revision": row.revision,
            "age_ms": now.since(row.last_beat).as_millis(),
            "state": if row.link.is_some() { "live" } else { "unreached" },
        })
    });
    let notes = state.leases.notes(state);
    let leases = notes.iter().map(|note| {
        json!({
            "scope": note.scope,
            "holder": note.owner,
            "fencing": note.fencing,
            "held_here": note.fencing.is_some(),
        })
    });
    json!({
        "instance": state.settings.instance,
        "revision": note.revision,
        "confirmed_ms_ago": note.age.as_millis(),
        "reach": {"reached": 0, "listed": table.rows.len(), "holds": note.reach_holds},
        "instances": instances.collect::<Vec<_>>(),
        "leases": leases.collect::<Vec<_>>(),
        "alarms": [],
    })
}
