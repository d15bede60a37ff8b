//! Help for the tests of the stand-ins.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::future::Future;
use std::time::Duration;

use actix_http::Method;
use applefold_standins::StandinClient;
use serde_json::Value;
use tokio::time::sleep;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until `check` holds; a test that hangs here has failed.
pub(crate) async fn eventually<F, Fut>(mut check: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    while !check().await {
        sleep(POLL_INTERVAL).await;
    }
}

/// Drops a call that is not answered, once `check` holds.
pub(crate) async fn abandon<C, F, Fut>(call: C, check: F)
where
    C: Future,
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    tokio::select! {
        _ = call => panic!("the call was answered"),
        () = eventually(check) => {}
    }
}

/// Sends JSON and returns the status with the body.
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
