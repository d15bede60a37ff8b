//! Synchronizes the configuration and the backend list between entries.
//!
//! The store may refuse some instances for any length of time while the operator
//! goes on changing the configuration. An entry that learns by gossip of a newer
//! revision than its own fetches it from the entry that has it. A fetched
//! configuration is checked like one from the store, so an older one never comes
//! into force. Changes of the backend list are gossiped to all entries; an entry
//! that has missed some fetches them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use applefold_core::direct::StorePosition;
use applefold_core::unit::{TimePoint, TimeSpan};
use bytes::Bytes;
use eyre::{eyre, Result};

use super::connection::{ClientConnection, TransferMeter};
use super::list_updates::UpdateRecord;
use super::rules;
use super::state::GatewayState;
use super::store::MAX_RESPONSE_BYTES;
use crate::http;

const CONFIG_PATH: &str = "/configuration";
const LIST_PATH: &str = "/list";
/// How often the revisions of other entries are compared with the own one.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How long a newer revision is known at another entry before it is fetched from there. The store
/// normally delivers it to all entries within a fraction of this time.
const STORE_GRACE: TimeSpan = TimeSpan::from_millis(300);
/// How long the connection to another entry, the response head and the body may each take.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Serves the configuration and the backend list to the other entries for as long as the process
/// runs.
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

/// Fetches newer configurations that the store has not delivered from other entries, for as long
/// as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    let mut behind_since: Option<TimePoint> = None;
    loop {
        actix_rt::time::sleep(CHECK_PERIOD).await;
        let now = state.now();
        let newer = state.peers.borrow().newer_config(state.revision(), now);
        let Some((address, revision)) = newer else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert(now);
        if now.since(since) < STORE_GRACE {
            continue;
        }
        if let Err(error) = fetch_config(&state, address).await {
            log::warn!(from = address.to_string(), newer = revision.0,
                own = state.revision().0, error = format!("{error:#}");
                "could not fetch a newer configuration from another entry");
            state.peers.borrow_mut().distrust_config(address);
        }
    }
}

/// Returns the encoded changes of the backend list after the position in the query.
fn list_body(state: &GatewayState, query: Option<&str>) -> Option<Bytes> {
    let after = query.and_then(|after| after.parse().ok());
    let update = state
        .backend_list
        .delta_since(state, after.map(StorePosition))?;
    match postcard::to_stdvec(&UpdateRecord::new(&update)) {
        Ok(body) => Some(Bytes::from(body)),
        Err(error) => {
            log::error!(error = error.to_string();
                "could not encode the changes of the backend list for another entry");
            None
        }
    }
}

/// Fetches the missing changes of the backend list from the entry whose gossip named them.
pub(crate) async fn fetch_list_changes(state: &GatewayState) {
    let Some(address) = state.replicas.list.take_source() else {
        return;
    };
    if let Err(error) = fetch_changes(state, address).await {
        log::info!(from = address.to_string(), error = format!("{error:#}");
            "could not fetch changes of the backend list from another entry");
    }
}

async fn fetch_changes(state: &GatewayState, address: SocketAddr) -> Result<()> {
    let sent_at = state.now();
    let path = match state.replicas.list.position() {
        Some(after) => format!("{LIST_PATH}?{}", after.0),
        None => LIST_PATH.to_owned(),
    };
    let body = get(address, &path).await?;
    let update: UpdateRecord = postcard::from_bytes(&body)?;
    let update = update
        .read()
        .ok_or_else(|| eyre!("a change of the backend list cannot be decoded"))?;
    let delay = state.now().since(sent_at);
    match state.backend_list.apply_update(state, &update, delay) {
        true => Ok(()),
        false => Err(eyre!(
            "the changes cannot be applied to the own backend list"
        )),
    }
}

/// Sends a GET request to another entry and returns the body of its response.
async fn get(address: SocketAddr, path: &str) -> Result<Vec<u8>> {
    let mut connection = ClientConnection::open(address, CALL_TIMEOUT).await?;
    let bytes = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let head = connection.call(bytes.as_bytes(), CALL_TIMEOUT).await?;
    if head.status != 200 {
        return Err(eyre!(
            "the other entry responded with status {}",
            head.status
        ));
    }
    let meter = TransferMeter::default();
    let read = connection.read_counted_body(&head, MAX_RESPONSE_BYTES, &meter);
    match tokio::time::timeout(CALL_TIMEOUT, read).await {
        Ok(body) => Ok(body?),
        Err(_) => Err(eyre!(
            "the transfer timed out after {} bytes",
            meter.received()
        )),
    }
}

async fn fetch_config(state: &GatewayState, address: SocketAddr) -> Result<()> {
    let body = get(address, CONFIG_PATH).await?;
    log::info!(from = address.to_string(), length = body.len();
        "configuration fetched from another entry");
    rules::apply(state, &body, &address.to_string())
}
