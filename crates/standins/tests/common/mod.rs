//! Shared helpers for the stand-in tests.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::future::Future;
use std::time::Duration;

use actix_http::Method;
use applefold_standins::StandinClient;
use serde_json::Value;
use tokio::time::sleep;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls until `check` returns true, without a timeout: a test that hangs here has failed.
pub(crate) async fn eventually<F, Fut>(mut check: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    while !check().await {
        sleep(POLL_INTERVAL).await;
    }
}

/// Runs `call` until `check` returns true, then drops it; panics if it completes first.
pub(crate) async fn abandon<C, F, Fut>(call: C, check: F)
where
    C: Future,
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    tokio::select! {
        _ = call => panic!("the call completed before it was abandoned"),
        () = eventually(check) => {}
    }
}

/// Sends a JSON body and returns the response's status and JSON body.
pub(crate) async fn send(
    client: &StandinClient,
    method: Method,
    path: &str,
    body: Value,
) -> (u16, Value) {
    let body = match body {
        Value::Null => String::new(),
        other => other.to_string(),
    };
    let answer = client.call(method, path, body.into()).await.unwrap();
    (answer.status, answer.json().unwrap())
}
