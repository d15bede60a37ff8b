//! Tests of the platform's key-value store: races, watches, lost responses, outages and
//! rate limits.

mod common;

use std::time::Duration;

use actix_http::Method;
use applefold_standins::{ClientError, PlatformOptions, StandinClient, StandinHandle};
use futures_util::future::join_all;
use serde_json::{json, Value};
use tokio::time::timeout;

use common::{abandon, eventually, send};

fn start() -> (StandinHandle, StandinClient) {
    start_with(PlatformOptions {
        writes_per_sec: 100_000,
        reads_per_sec: 100_000,
        ..PlatformOptions::default()
    })
}

fn start_with(options: PlatformOptions) -> (StandinHandle, StandinClient) {
    let handle = StandinHandle::platform(options).unwrap();
    let client = StandinClient::new(handle.address);
    (handle, client)
}

async fn put(client: &StandinClient, key: &str, value: &str, expect: Value) -> (u16, Value) {
    let body = json!({ "value": value, "expect": expect });
    send(client, Method::PUT, &format!("/kv/{key}"), body).await
}

#[actix_rt::test]
async fn one_of_many_concurrent_creations_succeeds() {
    let (_handle, client) = start();
    let writes = (0..32).map(|number| {
        let client = client.clone();
        async move { put(&client, "log/1", &number.to_string(), json!(0)).await.0 }
    });
    let statuses = join_all(writes).await;
    assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 1);
    assert_eq!(statuses.iter().filter(|status| **status == 409).count(), 31);
}

#[actix_rt::test]
async fn compare_and_swap_loses_no_increment() {
    let (_handle, client) = start();
    put(&client, "sum", "0", Value::Null).await;
    let adders = (0..8).map(|_| {
        let client = client.clone();
        async move {
            let mut added = 0;
            while added < 10 {
                let (_, entry) = send(&client, Method::GET, "/kv/sum", Value::Null).await;
                let sum: u64 = entry["value"].as_str().unwrap().parse().unwrap();
                let next = (sum + 1).to_string();
                let (status, _) = put(&client, "sum", &next, entry["version"].clone()).await;
                added += u64::from(status == 200);
            }
        }
    });
    join_all(adders).await;
    let (_, entry) = send(&client, Method::GET, "/kv/sum", Value::Null).await;
    assert_eq!(entry["value"], "80");
}

#[actix_rt::test]
async fn writes_are_checked_against_the_version() {
    let (_handle, client) = start();
    assert_eq!(
        put(&client, "a", "1", json!(0)).await,
        (200, json!({ "version": 1 }))
    );
    assert_eq!(
        put(&client, "b", "1", Value::Null).await,
        (200, json!({ "version": 2 }))
    );
    assert_eq!(
        put(&client, "a", "2", json!(7)).await,
        (409, json!({ "version": 1 }))
    );
    assert_eq!(
        put(&client, "a", "2", json!(1)).await,
        (200, json!({ "version": 3 }))
    );
    let (status, _) = send(&client, Method::DELETE, "/kv/a?expect=1", Value::Null).await;
    assert_eq!(status, 409);
    let (status, _) = send(&client, Method::DELETE, "/kv/a?expect=3", Value::Null).await;
    assert_eq!(status, 200);
    let (status, _) = send(&client, Method::GET, "/kv/a", Value::Null).await;
    assert_eq!(status, 404);
    let large = "x".repeat((1 << 20) + 1);
    assert_eq!(put(&client, "c", &large, Value::Null).await.0, 413);
}

#[actix_rt::test]
async fn lists_continue_after_a_key() {
    let (_handle, client) = start();
    for key in ["p/1", "p/2", "p/3", "q/1"] {
        put(&client, key, key, Value::Null).await;
    }
    let cases = [
        ("/list?prefix=p%2F&limit=2", vec!["p/1", "p/2"]),
        ("/list?prefix=p/&after=p/2", vec!["p/3"]),
        ("/list?prefix=z", vec![]),
    ];
    for (path, expected) in cases {
        let (_, list) = send(&client, Method::GET, path, Value::Null).await;
        let entries = list["entries"].as_array().unwrap();
        let keys: Vec<_> = entries
            .iter()
            .map(|entry| entry["key"].as_str().unwrap())
            .collect();
        assert_eq!(keys, expected, "{path}");
    }
}

#[actix_rt::test]
async fn watch_ends_with_a_write_or_a_deletion_under_its_prefix() {
    let (_handle, client) = start();
    put(&client, "p/1", "old", Value::Null).await;
    let watch = |since: u64| {
        let client = client.clone();
        let path = format!("/watch?prefix=p/&since={since}&wait_ms=600000");
        actix_rt::spawn(async move { send(&client, Method::GET, &path, Value::Null).await.1 })
    };
    let written = watch(1);
    put(&client, "q/1", "elsewhere", Value::Null).await;
    put(&client, "p/2", "new", Value::Null).await;
    let change = written.await.unwrap();
    let entry = json!({ "key": "p/2", "value": "new", "version": 3 });
    assert_eq!(change, json!({ "revision": 3, "entries": [entry] }));
    let deleted = watch(3);
    send(&client, Method::DELETE, "/kv/p/2", Value::Null).await;
    assert_eq!(
        deleted.await.unwrap(),
        json!({ "revision": 4, "entries": [] })
    );
}

#[actix_rt::test]
async fn writes_with_lost_responses_take_effect() {
    let (_handle, client) = start();
    client
        .set_faults(&json!({ "lose_answers": 1 }))
        .await
        .unwrap();
    let body = json!({ "value": "x", "expect": 0 }).to_string();
    let lost = client.call(Method::PUT, "/kv/a", body.clone().into()).await;
    assert!(matches!(lost, Err(ClientError::Unanswered(_))), "{lost:?}");
    let (status, entry) = send(&client, Method::GET, "/kv/a", Value::Null).await;
    assert_eq!((status, &entry["value"]), (200, &json!("x")));
    assert_eq!(put(&client, "a", "x", json!(0)).await.0, 409);
}

#[actix_rt::test]
async fn frozen_call_takes_effect_after_its_caller_disconnects() {
    let (_handle, client) = start();
    client.set_faults(&json!({ "freeze": true })).await.unwrap();
    let write = put(&client, "late", "x", Value::Null);
    let has_arrived = || async { client.stats().await.unwrap().kinds.contains_key("PUT kv") };
    abandon(write, has_arrived).await;
    client.set_faults(&json!({})).await.unwrap();
    eventually(|| async { send(&client, Method::GET, "/kv/late", Value::Null).await.0 == 200 })
        .await;
}

#[actix_rt::test]
async fn rejected_writes_consume_no_lost_response() {
    let (_handle, client) = start();
    put(&client, "a", "x", Value::Null).await;
    client
        .set_faults(&json!({ "lose_answers": 1 }))
        .await
        .unwrap();
    assert_eq!(put(&client, "a", "y", json!(0)).await.0, 409);
    let lost = client
        .call(Method::DELETE, "/kv/a", Vec::new().into())
        .await;
    assert!(matches!(lost, Err(ClientError::Unanswered(_))));
}

#[actix_rt::test]
async fn frozen_calls_wait_and_a_down_platform_rejects_calls() {
    let (_handle, client) = start();
    client.set_faults(&json!({ "freeze": true })).await.unwrap();
    let frozen = timeout(
        Duration::from_millis(50),
        put(&client, "a", "x", Value::Null),
    )
    .await;
    assert!(frozen.is_err());
    client.set_faults(&json!({ "down": true })).await.unwrap();
    assert_eq!(put(&client, "a", "x", Value::Null).await.0, 503);
    client.set_faults(&json!({})).await.unwrap();
    assert_eq!(put(&client, "a", "x", Value::Null).await.0, 200);
}

#[actix_rt::test]
async fn calls_beyond_the_rate_limit_are_rejected_and_counted() {
    let (_handle, client) = start_with(PlatformOptions {
        writes_per_sec: 5,
        ..PlatformOptions::default()
    });
    let client = client.with_header("x-client", "entry-1");
    let writes = (0..40).map(|_| put(&client, "a", "x", Value::Null));
    let statuses: Vec<u16> = join_all(writes)
        .await
        .into_iter()
        .map(|(status, _)| status)
        .collect();
    let refused = statuses.iter().filter(|status| **status == 429).count() as u64;
    assert!(refused > 0);
    let stats = client.stats().await.unwrap();
    assert_eq!(stats.refused, refused);
    assert_eq!(stats.clients["entry-1"]["PUT kv"], 40);
}
