//! The store calls for the configuration log. Its callers need to know whether the outcome of a
//! write is unknown.

use std::time::Duration;

use applefold_core::claim::store::StoreVersion as PutVersion;
use applefold_core::ticket::{StoreCall, StoreReply, StoreVersion, StoredEntry, WriteCondition};
use awc::http::{Method, StatusCode};
use smol_str::SmolStr;

use super::http::{EntriesBody, PlatformRequest, PlatformResponse, PutBody};
use super::message::{KeyValue, WatchBatch};
use super::{PlatformError, PlatformResult};

/// Returns the HTTP request for a call.
pub(super) fn request(call: &StoreCall) -> PlatformRequest {
    match call {
        StoreCall::Read { key } => PlatformRequest::new("get", Method::GET, format!("/kv/{key}")),
        StoreCall::List {
            prefix,
            after,
            limit,
        } => {
            let path = format!("/list?prefix={prefix}&after={after}&limit={limit}");
            PlatformRequest::new("list", Method::GET, path)
        }
        StoreCall::Watch {
            prefix,
            since,
            wait,
        } => {
            let millis = wait.as_millis();
            let path = format!("/watch?prefix={prefix}&since={since}&wait_ms={millis}");
            let mut request = PlatformRequest::new("watch", Method::GET, path);
            request.wait = Duration::from_millis(millis);
            request
        }
        StoreCall::Write {
            key,
            value,
            condition,
        } => {
            let expect = match condition {
                WriteCondition::Absent => PutVersion::ABSENT,
                WriteCondition::Version(version) => PutVersion(version.0),
            };
            let body = PutBody { value, expect };
            PlatformRequest::new("put", Method::PUT, format!("/kv/{key}")).with_body(&body)
        }
        StoreCall::Delete { key, version } => {
            let path = format!("/kv/{key}?expect={version}");
            PlatformRequest::new("delete", Method::DELETE, path)
        }
    }
}

/// Converts the result of a call to the reply.
pub(super) fn reply(call: &StoreCall, response: PlatformResult<PlatformResponse>) -> StoreReply {
    let reply = response.and_then(|response| parse_reply(call, &response));
    reply.unwrap_or_else(|error| match error {
        PlatformError::Unavailable | PlatformError::Refused => StoreReply::Unavailable,
        PlatformError::Unknown => StoreReply::NoResponse,
    })
}

fn parse_reply(call: &StoreCall, response: &PlatformResponse) -> PlatformResult<StoreReply> {
    match response.status {
        StatusCode::NOT_FOUND => return Ok(StoreReply::Absent),
        StatusCode::CONFLICT => return Ok(StoreReply::Conflict),
        _ => {}
    }
    Ok(match call {
        StoreCall::Read { .. } => StoreReply::Found(stored_entry(response.parse_ok()?)),
        StoreCall::List { .. } => {
            let body: EntriesBody = response.parse_ok()?;
            StoreReply::Listed(body.entries.into_iter().map(stored_entry).collect())
        }
        StoreCall::Watch { .. } => {
            let batch: WatchBatch = response.parse_ok()?;
            StoreReply::Watched {
                revision: StoreVersion(batch.revision.0),
                entries: batch.entries.into_iter().map(stored_entry).collect(),
            }
        }
        StoreCall::Write { .. } | StoreCall::Delete { .. } => {
            let _: serde_json::Value = response.parse_ok()?;
            StoreReply::Done
        }
    })
}

fn stored_entry(value: KeyValue) -> StoredEntry {
    StoredEntry {
        key: SmolStr::new(value.key),
        value: value.value,
        version: StoreVersion(value.version.0),
    }
}
