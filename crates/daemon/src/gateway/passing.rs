//! Passes the configuration on between entries.
//!
//! The store may turn some instances away for as long as it likes while the
//! operator goes on changing the configuration. An entry that hears of a newer
//! one than its own asks the entry that has it. It is read like one from the
//! store, so an older one is never put in force.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use applefold_core::unit::{TimePoint, TimeSpan};
use eyre::{eyre, Result};

use super::connection::ClientConnection;
use super::rules;
use super::state::GatewayState;
use super::store::MAX_ANSWER_BYTES;
use crate::http;

const CONFIG_PATH: &str = "/configuration";
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// How long a newer configuration may be known to others before it is asked for; the store
/// tells all entries within a fraction of it.
const STORE_LEAD: TimeSpan = TimeSpan::from_millis(300);
/// How long an entry's answer may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Serves this entry's configuration to the others for as long as the process runs.
pub(crate) async fn serve(state: &Rc<GatewayState>) -> Result<()> {
    let state = Rc::clone(state);
    let server = http::serve(state.peer_address(), move |request| {
        let config = state.config.borrow();
        let response = match (request.path(), config.as_ref()) {
            (CONFIG_PATH, Some(config)) => Response::ok().set_body(BoxBody::new(config.clone())),
            _ => Response::new(StatusCode::NOT_FOUND).map_into_boxed_body(),
        };
        async move { Ok(response) }
    });
    std::mem::forget(server.await?);
    Ok(())
}

/// Asks others for a configuration that the store has not shown, for as long as the process runs.
pub(crate) async fn follow(state: Rc<GatewayState>) {
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
            state.peers.borrow_mut().doubt_config(address);
        }
    }
}

async fn fetch(state: &GatewayState, address: SocketAddr) -> Result<()> {
    let mut connection = ClientConnection::open(address, CALL_TIMEOUT).await?;
    let bytes = format!("GET {CONFIG_PATH} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let head = connection.call(bytes.as_bytes(), CALL_TIMEOUT).await?;
    if head.status != 200 {
        return Err(eyre!("answered {}", head.status));
    }
    let read = connection.read_whole(&head, MAX_ANSWER_BYTES);
    let body = tokio::time::timeout(CALL_TIMEOUT, read).await??;
    log::info!(from = address.to_string(), length = body.len(); "configuration had from another entry");
    rules::take(state, &body)
}
