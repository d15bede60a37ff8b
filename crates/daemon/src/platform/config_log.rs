//! The calls for the configuration's log, which need to know whether a write was lost.

use std::time::Duration;

use applefold_core::claim::store::StoreVersion as PutVersion;
use applefold_core::ticket::{StoreCall, StoreReply, StoreVersion, StoredEntry, WriteCondition};
use awc::http::{Method, StatusCode};
use smol_str::SmolStr;

use super::http::{CallAnswer, CallPlan, EntriesBody, PutBody};
use super::message::{KeyValue, WatchBatch};
use super::{PlatformError, PlatformResult};

/// Returns how a call is made.
pub(super) fn plan(call: &StoreCall) -> CallPlan {
    match call {
        StoreCall::Read { key } => CallPlan::new("get", Method::GET, format!("/kv/{key}")),
        StoreCall::List {
            prefix,
            after,
            limit,
        } => {
            let path = format!("/list?prefix={prefix}&after={after}&limit={limit}");
            CallPlan::new("list", Method::GET, path)
        }
        StoreCall::Watch {
            prefix,
            since,
            wait,
        } => {
            let millis = wait.as_millis();
            let path = format!("/watch?prefix={prefix}&since={since}&wait_ms={millis}");
            let mut plan = CallPlan::new("watch", Method::GET, path);
            plan.wait = Duration::from_millis(millis);
            plan
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
            CallPlan::new("put", Method::PUT, format!("/kv/{key}")).with_body(&body)
        }
        StoreCall::Delete { key, version } => {
            let path = format!("/kv/{key}?expect={version}");
            CallPlan::new("delete", Method::DELETE, path)
        }
    }
}

/// Returns what came of a call.
pub(super) fn answer(call: &StoreCall, answer: PlatformResult<CallAnswer>) -> StoreReply {
    let answer = answer.and_then(|answer| read(call, &answer));
    answer.unwrap_or_else(|fault| match fault {
        PlatformError::Unavailable | PlatformError::Refused => StoreReply::Unavailable,
        PlatformError::Unknown => StoreReply::NoResponse,
    })
}

fn read(call: &StoreCall, answer: &CallAnswer) -> PlatformResult<StoreReply> {
    match answer.status {
        StatusCode::NOT_FOUND => return Ok(StoreReply::Absent),
        StatusCode::CONFLICT => return Ok(StoreReply::Conflict),
        _ => {}
    }
    Ok(match call {
        StoreCall::Read { .. } => StoreReply::Found(entry_of(answer.parse_ok()?)),
        StoreCall::List { .. } => {
            let body: EntriesBody = answer.parse_ok()?;
            StoreReply::Listed(body.entries.into_iter().map(entry_of).collect())
        }
        StoreCall::Watch { .. } => {
            let batch: WatchBatch = answer.parse_ok()?;
            StoreReply::Watched {
                revision: StoreVersion(batch.revision.0),
                entries: batch.entries.into_iter().map(entry_of).collect(),
            }
        }
        StoreCall::Write { .. } | StoreCall::Delete { .. } => {
            let _: serde_json::Value = answer.parse_ok()?;
            StoreReply::Done
        }
    })
}

fn entry_of(value: KeyValue) -> StoredEntry {
    StoredEntry {
        key: SmolStr::new(value.key),
        value: value.value,
        version: StoreVersion(value.version.0),
    }
}
