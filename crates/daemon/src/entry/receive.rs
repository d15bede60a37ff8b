//! Reads the bodies of requests within the memory that all callers share.
//!
//! See [docs/design/memory-account.md](../../../../docs/design/memory-account.md).

use std::time::Duration;

use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{HttpMessage, Method, Payload, Request, Version};
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::{DescriptorShares, HolderStage, ScarceResource, YieldCause};
use applefold_core::unit::{ByteSize, TimeSpan};
use futures_util::StreamExt;

use super::state::EntryState;
use super::EntrySettings;
use crate::account::HolderGuard;
use crate::body::BodySegments;
use crate::http::PortLimits;

/// The largest request body that is read. The service's own limit applies once it is known.
const MAX_BODY_SIZE: ByteSize = ByteSize(8 * 1024 * 1024);
/// How long a caller may take to send its request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the rest of a body that was refused is read, so that its caller receives the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// What a request is charged with besides its body: its head, its fields and its connection to a sidecar.
const REQUEST_BYTES: usize = 32 << 10;
/// What a request is charged with while a body of unknown length is received. The HTTP library queues up to 32 KiB of the
/// body in the pieces in which it came, and each may be one byte with 32 bytes of its own; the queue doubles as it grows.
const CHUNKED_BYTES: usize = 5 << 19;
/// The copies of a body while its request is served: the body, the message to the sidecar, and its encoding.
const BODY_COPIES: usize = 3;
/// The most that the HTTP library holds for a connection: two buffers for the head and the body, and one for responses.
const CONNECTION_BYTES: u64 = 160 << 10;
/// The share of the memory of the process that the connections of callers may take besides the bodies of their
/// requests, in percent.
const CONNECTION_PERCENT: u64 = 25;
/// How long a connection of a caller may be idle while newer ones wait.
const MIN_IDLE: Duration = Duration::from_secs(1);
/// The retry delay in refusals for lack of memory.
const FULL_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// A complete body, and the memory that it is charged with until its request has ended.
#[derive(Debug)]
pub(super) struct ReceivedBody {
    pub(super) bytes: Vec<u8>,
    pub(super) holder: HolderGuard,
}

/// Returns how many connections callers and operators may have open.
pub(super) fn port_limits(settings: &EntrySettings) -> PortLimits {
    let by_memory = (settings.max_memory_mb << 20) / 100 * CONNECTION_PERCENT / CONNECTION_BYTES;
    let by_descriptors = DescriptorShares::of(settings.max_descriptors).callers;
    PortLimits {
        most: by_memory.min(by_descriptors).max(1) as usize,
        min_idle: MIN_IDLE,
    }
}

/// Reads a request body, limited to [`MAX_BODY_SIZE`] and [`BODY_TIMEOUT`].
///
/// # Errors
///
/// Refuses with [`ResultCode::RequestTooLarge`] if the body is too large, with [`ResultCode::RequestMalformed`] if it
/// cannot be read or takes too long, and with [`ResultCode::RequestStalled`] or [`ResultCode::InstanceFull`] if it has to
/// give way to other requests.
pub(super) async fn read_body(
    state: &EntryState,
    request: &mut Request,
) -> Result<ReceivedBody, CallRefusal> {
    let mut payload = request.take_payload();
    let holder = state.account.begin(request.peer_addr());
    holder.enter(HolderStage::Receiving);
    match receive_within_limits(state, request, &mut payload, &holder).await {
        Ok(bytes) => {
            holder.enter(HolderStage::Serving);
            Ok(ReceivedBody { bytes, holder })
        }
        Err(refusal) => {
            let is_known = has_known_length(request);
            let is_full = refusal.code == ResultCode::InstanceFull;
            // What the library has queued of a body of unknown length is freed by closing the connection.
            if leaves_body(refusal.code) && (is_known || !is_full) {
                holder.try_resize(if is_known { 0 } else { CHUNKED_BYTES });
                discard(&mut payload, &holder).await;
            }
            Err(refusal)
        }
    }
}

async fn receive_within_limits(
    state: &EntryState,
    request: &Request,
    payload: &mut Payload,
    holder: &HolderGuard,
) -> Result<Vec<u8>, CallRefusal> {
    if announced_length(request).is_some_and(|length| length > MAX_BODY_SIZE.0) {
        return Err(CallRefusal::permanent(ResultCode::RequestTooLarge));
    }
    let overhead = match has_known_length(request) {
        true => REQUEST_BYTES,
        // The library fills its queue whether this waits for memory or not.
        false if holder.try_resize(CHUNKED_BYTES) => CHUNKED_BYTES,
        false => {
            state.account.make_room(ScarceResource::Memory);
            return Err(full_refusal());
        }
    };
    let read = async {
        tokio::select! {
            biased;
            cause = holder.closing() => Err(closing_refusal(cause)),
            body = receive(payload, holder, overhead) => body,
        }
    };
    let slow = CallRefusal::permanent(ResultCode::RequestMalformed);
    let body = actix_rt::time::timeout(BODY_TIMEOUT, read).await;
    body.unwrap_or(Err(slow))
}

/// Reads the rest of a refused body without keeping it, unless the connection has to make room: a caller that is still
/// sending when its connection is closed loses the refusal.
async fn discard(payload: &mut Payload, holder: &HolderGuard) {
    if holder.is_closing() {
        return;
    }
    holder.enter(HolderStage::Lingering);
    let rest = async { while let Some(Ok(_)) = payload.next().await {} };
    let discarded = async {
        tokio::select! {
            biased;
            _ = holder.closing() => {}
            () = rest => {}
        }
    };
    if actix_rt::time::timeout(DISCARD_TIMEOUT, discarded)
        .await
        .is_err()
    {
        log::debug!(connection = holder.number(); "rest of a refused body was not awaited");
    }
}

/// Receives a body in segments that are charged before they are filled.
async fn receive(
    payload: &mut Payload,
    holder: &HolderGuard,
    overhead: usize,
) -> Result<Vec<u8>, CallRefusal> {
    let limit = MAX_BODY_SIZE.0 as usize;
    let mut body = BodySegments::new(limit);
    holder.resize(overhead).await;
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| CallRefusal::permanent(ResultCode::RequestMalformed))?;
        holder.record_received(chunk.len());
        if body.len() + chunk.len() > limit {
            return Err(CallRefusal::permanent(ResultCode::RequestTooLarge));
        }
        while let Some(size) = body.needed_segment(chunk.len()) {
            let charge = overhead + body.capacity() + size;
            holder.resize(charge).await;
            body.add_segment(size);
        }
        body.receive(|segment| segment.extend_from_slice(&chunk));
    }
    holder
        .resize(REQUEST_BYTES + BODY_COPIES * body.len())
        .await;
    Ok(body.join())
}

/// Returns whether it is known how long the body is. A request that announces no length has no body, unless it is chunked
/// or came over HTTP/2.
fn has_known_length(request: &Request) -> bool {
    let is_framed = request.version() < Version::HTTP_2;
    let may_have_body = !matches!(*request.method(), Method::GET | Method::HEAD);
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    announced_length(request).is_some() || !is_chunked && (is_framed || !may_have_body)
}

fn announced_length(request: &Request) -> Option<u64> {
    let value = request.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Returns the refusal of a request that gives way. It is incomplete and has not run.
fn closing_refusal(cause: YieldCause) -> CallRefusal {
    match cause {
        YieldCause::Stalled => CallRefusal::permanent(ResultCode::RequestStalled),
        YieldCause::Unserved | YieldCause::Idle | YieldCause::Lingering => full_refusal(),
    }
}

fn full_refusal() -> CallRefusal {
    CallRefusal::retryable(ResultCode::InstanceFull, FULL_RETRY_AFTER)
}

/// Returns whether the connection of a request that was refused with this code has to close, since the rest of its body
/// may still come.
pub(super) fn leaves_body(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::RequestTooLarge | ResultCode::RequestStalled | ResultCode::InstanceFull
    )
}
