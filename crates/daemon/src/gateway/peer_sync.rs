//! Passes the configuration and the list of backend servers on between entries.
//!
//! The store may turn some instances away for as long as it likes while the
//! operator goes on changing the configuration. An entry that hears of a newer
//! one than its own asks the entry that has it. It is read like one from the
//! store, so an older one is never put in force. Changes of the list are told to
//! all; an entry that has missed some asks for them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use applefold_core::unit::{TimePoint, TimeSpan};
use bytes::Bytes;
use eyre::{eyre, Result};

use super::connection::ClientConnection;
use super::rules;
use super::state::GatewayState;
use super::store::MAX_ANSWER_BYTES;
use crate::http;

const CONFIG_PATH: &str = "/configuration";
const LIST_PATH: &str = "/list";
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// How long a newer configuration may be known to others before it is asked for; the store
/// tells all entries within a fraction of it.
const STORE_LEAD: TimeSpan = TimeSpan::from_millis(300);
/// How long an entry's answer may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Serves this entry's configuration and list to the others for as long as the process runs.
pub(crate) async fn serve(state: &Rc<GatewayState>) -> Result<()> {
    let state = Rc::clone(state);
    let server = http::serve(state.peer_address(), move |request| {
        let body = match request.path() {
            CONFIG_PATH => state.config.borrow().clone(),
            LIST_PATH => list_body(&state, request.uri().query()),
            _ => None,
        };
        let response = match body {
            Some(body) => Response::ok().set_body(BoxBody::new(body)),
            None => Response::new(StatusCode::NOT_FOUND).map_into_boxed_body(),
        };
        async move { Ok(response) }
    });
    std::mem::forget(server.await?);
    Ok(())
}

/// Asks others for a configuration that the store has not shown, for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    let mut behind_since: Option<TimePoint> = None;
    loop {
        actix_rt::time::sleep(LOOK_PERIOD).await;
        let now = state.now();
        let newer = state.peers.borrow().newer_config(state.revision(), now);
        let Some((address, revision)) = newer else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert(now);
        if now.since(since) < STORE_LEAD {
            continue;
        }
        if let Err(error) = fetch(&state, address).await {
            log::warn!(from = address.to_string(), newer = revision.0,
                own = state.revision().0, error = format!("{error:#}");
                "newer configuration not had from another entry");
            state.peers.borrow_mut().distrust_config(address);
        }
    }
}

/// Returns the changes of the list after the position that the query names.
fn list_body(state: &GatewayState, query: Option<&str>) -> Option<Bytes> {
    let after = query.and_then(|after| after.parse().ok());
    let news = state.backend_list.delta_since(state, after)?;
    match postcard::to_stdvec(&news) {
        Ok(body) => Some(Bytes::from(body)),
        Err(error) => {
            log::error!(error = error.to_string(); "the list is not passed on");
            None
        }
    }
}

/// Asks the entry that told of them for the changes of the list that are missing here.
pub(crate) async fn fetch_list_changes(state: &GatewayState) {
    let Some(address) = state.replicas.list.take_source() else {
        return;
    };
    if let Err(error) = fetch_changes(state, address).await {
        log::info!(from = address.to_string(), error = format!("{error:#}");
            "changes of the list not had from another entry");
    }
}

async fn fetch_changes(state: &GatewayState, address: SocketAddr) -> Result<()> {
    let asked_at = state.now();
    let path = match state.replicas.list.position() {
        Some(after) => format!("{LIST_PATH}?{}", after.0),
        None => LIST_PATH.to_owned(),
    };
    let body = ask(address, &path).await?;
    let news = postcard::from_bytes(&body)?;
    let delay = state.now().since(asked_at);
    match state.backend_list.apply_update(state, &news, delay) {
        true => Ok(()),
        false => Err(eyre!("the answer could not be used")),
    }
}

async fn ask(address: SocketAddr, path: &str) -> Result<Vec<u8>> {
    let mut connection = ClientConnection::open(address, CALL_TIMEOUT).await?;
    let bytes = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let head = connection.call(bytes.as_bytes(), CALL_TIMEOUT).await?;
    if head.status != 200 {
        return Err(eyre!("answered {}", head.status));
    }
    let read = connection.read_full_body(&head, MAX_ANSWER_BYTES);
    Ok(tokio::time::timeout(CALL_TIMEOUT, read).await??)
}

async fn fetch(state: &GatewayState, address: SocketAddr) -> Result<()> {
    let body = ask(address, CONFIG_PATH).await?;
    log::info!(from = address.to_string(), length = body.len(); "configuration had from another entry");
    rules::take(state, &body)
}
