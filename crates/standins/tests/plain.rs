//! Plain service: every execution is recorded, even if its response is lost.

mod common;

use std::time::Duration;

use actix_http::Method;
use applefold_standins::{ClientError, PlainAction, PlainOptions, StandinClient, StandinHandle};
use bytes::Bytes;
use serde_json::{json, Value};

use common::{eventually, send};

fn start() -> (StandinHandle, StandinClient) {
    let options = PlainOptions {
        down_time: Duration::from_millis(50),
        ..PlainOptions::default()
    };
    let handle = StandinHandle::plain(options).unwrap();
    let client = StandinClient::new(handle.address);
    (handle, client)
}

async fn charge(client: &StandinClient, text: &str) -> bool {
    let body = json!({ "till": text }).to_string();
    let result = client.call(Method::POST, "/till/charge", body.into()).await;
    !matches!(result, Err(ClientError::Unanswered(_)))
}

#[actix_rt::test]
async fn each_action_echoes_its_body_with_a_serial() {
    let (_handle, client) = start();
    let client = client.with_header("idempotency-key", "k1");
    let cases = [
        (
            Method::POST,
            "/till/charge",
            json!({ "a": 1 }),
            json!({ "a": 1, "serial": 1 }),
        ),
        (
            Method::POST,
            "/enroll",
            json!([2]),
            json!({ "echo": [2], "serial": 2 }),
        ),
        (
            Method::POST,
            "/label-check",
            json!({}),
            json!({ "serial": 3 }),
        ),
        (Method::GET, "/balance", Value::Null, json!({ "serial": 4 })),
    ];
    for (method, path, body, expected) in cases {
        assert_eq!(
            send(&client, method, path, body).await,
            (200, expected),
            "{path}"
        );
    }
    let executions = client.executions().await.unwrap();
    let actions: Vec<PlainAction> = executions.iter().map(|row| row.action).collect();
    let expected = [
        PlainAction::Charge,
        PlainAction::Enroll,
        PlainAction::LabelCheck,
        PlainAction::Balance,
    ];
    assert_eq!(actions, expected);
    assert_eq!(executions[0].idempotency_key, "k1");
    assert_eq!(
        send(&client, Method::GET, "/charge", Value::Null).await.0,
        404
    );
}

#[actix_rt::test]
async fn unanswered_charges_are_executed() {
    let (_handle, client) = start();
    client
        .set_faults(&json!({ "lose_answers": 1 }))
        .await
        .unwrap();
    assert!(!charge(&client, "one").await);
    assert!(charge(&client, "two").await);
    assert_eq!(client.executions().await.unwrap().len(), 2);
}

#[actix_rt::test]
async fn crash_keeps_what_was_executed() {
    let (_handle, client) = start();
    client
        .set_faults(&json!({ "crash_on": "poison" }))
        .await
        .unwrap();
    assert!(!charge(&client, "poison").await);
    eventually(|| async { client.executions().await.is_ok() }).await;
    let executions = client.executions().await.unwrap();
    assert_eq!(executions.len(), 1);
    assert!(executions[0].body.contains("poison"));
    client
        .set_faults(&json!({ "crash": true, "down_ms": 600_000 }))
        .await
        .unwrap_err();
    let refused = client.call(Method::GET, "/balance", Bytes::new()).await;
    assert!(matches!(refused, Err(ClientError::Unanswered(_))));
}
