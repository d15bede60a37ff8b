//! Serves the configuration and the backend list to the other entries, and fetches them from there.
//!
//! The store may refuse some instances for any length of time while the operator
//! goes on changing the configuration, and the links of many entries are narrow. So an
//! entry fetches only the parts of a configuration that it lacks, and keeps those that have arrived
//! whatever happens to the rest. Changes of the backend list are gossiped to all entries; an entry
//! that has missed some fetches them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use applefold_core::direct::{ConfigPart, PartId, PartList, ReplicaDigest, StorePosition};
use applefold_core::unit::{ByteSize, TimePoint};
use bytes::Bytes;
use eyre::{eyre, Result};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::connection::{ClientConnection, TransferLimits, TransferMeter};
use super::list_updates::UpdateRecord;
use super::replicas::DigestFields;
use super::state::GatewayState;
use super::store::MAX_RESPONSE_BYTES;
use crate::http::{self, PortLimits};

/// The connections of other entries; each lasts for one response.
const PEER_LIMITS: PortLimits = PortLimits {
    most: 48,
    ..PortLimits::SIDE
};
const CONFIG_PATH: &str = "/configuration";
const OFFER_PATH: &str = "/configuration/offer";
const PARTS_PATH: &str = "/configuration/parts";
const LIST_PATH: &str = "/list";
/// How long the connection to another entry, the response head and each stall of the body may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The most parts in one request, so that its head stays short.
const MAX_PARTS: usize = 32;

/// What an entry tells one that is behind of its configuration.
#[derive(Debug, Serialize, Deserialize)]
struct OfferRecord {
    /// What its replica of the store has reached with this configuration.
    digest: Option<DigestFields>,
    parts: PartList,
}

/// The configuration that another entry has in force.
#[derive(Debug)]
pub(crate) struct ConfigOffer {
    pub(crate) parts: PartList,
    /// What the replica of that entry has reached with it, and when that entry was asked.
    pub(crate) digest: Option<ReplicaDigest>,
    pub(crate) asked_at: TimePoint,
}

/// Serves the configuration and the backend list to the other entries for as long as the process
/// runs.
pub(crate) async fn serve(state: &Rc<GatewayState>) -> Result<()> {
    let state = Rc::clone(state);
    let server = http::serve(state.peer_address(), PEER_LIMITS, move |request| {
        let query = request.uri().query();
        let body = match request.path() {
            // Entries of earlier builds fetch it whole.
            CONFIG_PATH => whole_body(&state),
            OFFER_PATH => offer_body(&state),
            PARTS_PATH => parts_body(&state, query.unwrap_or_default()),
            LIST_PATH => list_body(&state, query),
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

fn whole_body(state: &GatewayState) -> Option<Bytes> {
    let archive = state.config.borrow();
    let bytes = archive.bytes();
    (!bytes.is_empty()).then(|| Bytes::copy_from_slice(bytes))
}

fn offer_body(state: &GatewayState) -> Option<Bytes> {
    state.rules()?;
    let digest = state.replicas.config.digest(state.now());
    encode(&OfferRecord {
        digest: digest.map(DigestFields::new),
        parts: state.config.borrow().parts().clone(),
    })
}

/// Returns the parts that the query names, each empty if it is not here.
fn parts_body(state: &GatewayState, query: &str) -> Option<Bytes> {
    let archive = state.config.borrow();
    let ids = query.split(',').take(MAX_PARTS);
    let parts = ids.map(|id| {
        let id: Option<PartId> = id.parse().ok();
        id.and_then(|id| archive.part(&id)).unwrap_or_default()
    });
    encode(&parts.collect::<Vec<&[u8]>>())
}

/// Returns the encoded changes of the backend list after the position in the query.
fn list_body(state: &GatewayState, query: Option<&str>) -> Option<Bytes> {
    let after = query.and_then(|after| after.parse().ok());
    let update = state
        .backend_list
        .delta_since(state, after.map(StorePosition))?;
    encode(&UpdateRecord::new(&update))
}

fn encode<T>(message: &T) -> Option<Bytes>
where
    T: Serialize,
{
    match postcard::to_stdvec(message) {
        Ok(body) => Some(Bytes::from(body)),
        Err(error) => {
            log::error!(error = error.to_string(); "could not encode a response to another entry");
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

/// Fetches what another entry has in force, without the parts themselves.
pub(crate) async fn fetch_offer(state: &GatewayState, address: SocketAddr) -> Result<ConfigOffer> {
    let asked_at = state.now();
    let body = get(address, OFFER_PATH).await?;
    let record: OfferRecord = postcard::from_bytes(&body)?;
    Ok(ConfigOffer {
        parts: record.parts,
        digest: record.digest.map(DigestFields::digest),
        asked_at,
    })
}

/// Fetches the first of these parts from another entry, up to this size or one part, and keeps those that it
/// has. Returns how many bytes these are.
pub(crate) async fn fetch_parts(
    state: &GatewayState,
    address: SocketAddr,
    missing: &[ConfigPart],
    size: ByteSize,
) -> Result<usize> {
    let mut asked = ByteSize::ZERO;
    let batch = missing.iter().take(MAX_PARTS).take_while(|part| {
        let fits = asked == ByteSize::ZERO || asked < size;
        asked += ByteSize(part.length.into());
        fits
    });
    let ids: Vec<String> = batch.map(|part| part.id.to_string()).collect();
    let body = get(address, &format!("{PARTS_PATH}?{}", ids.join(","))).await?;
    let parts: Vec<&[u8]> = postcard::from_bytes(&body)?;
    let mut archive = state.config.borrow_mut();
    let mut received = 0;
    for part in parts.into_iter().filter(|part| !part.is_empty()) {
        received += part.len();
        archive.insert(part.to_vec());
    }
    Ok(received)
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
    let limits = TransferLimits {
        max_bytes: MAX_RESPONSE_BYTES,
        deadline: Instant::now() + CALL_TIMEOUT,
        stall: CALL_TIMEOUT,
    };
    let meter = TransferMeter::default();
    Ok(connection.read_moving_body(&head, &limits, &meter).await?)
}
