//! Tests of the platform's control interfaces: leases, the list of instances, orders and
//! usage reports.

mod common;

use std::time::Duration;

use actix_http::Method;
use applefold_standins::{PlatformOptions, StandinClient, StandinHandle};
use serde_json::{json, Value};
use tokio::time::sleep;

use common::{eventually, send};

fn start() -> (StandinHandle, StandinClient) {
    let handle = StandinHandle::platform(PlatformOptions::default()).unwrap();
    let client = StandinClient::new(handle.address);
    (handle, client)
}

#[actix_rt::test]
async fn expired_lease_goes_to_the_next_holder_with_a_higher_fencing_number() {
    let (_handle, client) = start();
    let acquire = |holder: &str, ttl_ms: u64| {
        let body = json!({ "holder": holder, "ttl_ms": ttl_ms });
        send(&client, Method::POST, "/leases/control", body)
    };
    assert_eq!(acquire("a", 100).await, (200, json!({ "fencing": 1 })));
    let (status, held) = acquire("b", 100).await;
    assert_eq!(
        (status, &held["holder"], &held["fencing"]),
        (409, &json!("a"), &json!(1))
    );
    // The holder is paused and does not renew until the lease has expired.
    eventually(|| async {
        send(&client, Method::GET, "/leases/control", Value::Null)
            .await
            .0
            == 404
    })
    .await;
    let renewal = json!({ "holder": "a", "fencing": 1, "ttl_ms": 100 });
    let (status, _) = send(&client, Method::PUT, "/leases/control", renewal.clone()).await;
    assert_eq!(status, 409);
    assert_eq!(acquire("b", 600_000).await, (200, json!({ "fencing": 2 })));
    let (status, held) = send(&client, Method::PUT, "/leases/control", renewal).await;
    assert_eq!(
        (status, &held["holder"], &held["fencing"]),
        (409, &json!("b"), &json!(2))
    );
    let path = "/leases/control?holder=a&fencing=1";
    assert_eq!(
        send(&client, Method::DELETE, path, Value::Null).await.0,
        409
    );
    let path = "/leases/control?holder=b&fencing=2";
    assert_eq!(
        send(&client, Method::DELETE, path, Value::Null).await.0,
        200
    );
    assert_eq!(acquire("a", 100).await, (200, json!({ "fencing": 3 })));
}

#[actix_rt::test]
async fn list_of_instances_is_delayed() {
    let (_handle, client) = start();
    let record = |id: &str| {
        let text = json!({
            "id": id, "kind": "backend", "address": "127.0.0.1:7", "domain": "d1",
            "region": "r1", "pool": "chat", "state": "live",
        });
        serde_json::from_value(text).unwrap()
    };
    client.announce(&record("one")).await.unwrap();
    assert_eq!(client.instances().await.unwrap(), [record("one")]);
    client
        .set_faults(&json!({ "list_lag_ms": 600_000 }))
        .await
        .unwrap();
    client.announce(&record("two")).await.unwrap();
    send(&client, Method::DELETE, "/instances/one", Value::Null).await;
    assert_eq!(client.instances().await.unwrap(), [record("one")]);
    client
        .set_faults(&json!({ "list_lag_ms": 1 }))
        .await
        .unwrap();
    sleep(Duration::from_millis(2)).await;
    assert_eq!(client.instances().await.unwrap(), [record("two")]);
}

#[actix_rt::test]
async fn orders_are_recorded_and_fencing_is_checked_only_if_enabled() {
    let (_handle, client) = start();
    let order = |id: &str, fencing: u64| {
        json!({
            "order_id": id, "holder": "a", "fencing": fencing, "action": "start",
            "pool": "chat", "domain": "d1", "instance": null,
        })
    };
    let cases = [
        (false, 2, 200),
        (false, 1, 200),
        (true, 1, 409),
        (true, 2, 200),
    ];
    for (check, fencing, status) in cases {
        client
            .set_faults(&json!({ "check_fencing": check }))
            .await
            .unwrap();
        let answer = send(&client, Method::POST, "/orders", order("o", fencing)).await;
        assert_eq!(answer.0, status, "{check} {fencing}");
    }
    let orders = client.fleet_orders().await.unwrap();
    let accepted: Vec<bool> = orders.iter().map(|record| record.accepted).collect();
    assert_eq!(accepted, [true, true, false, true]);
    assert_eq!(orders.last().unwrap().serial, 4);
}

#[actix_rt::test]
async fn usage_is_billed_once_and_differing_duplicates_are_violations() {
    let (_handle, client) = start();
    let report = |id: &str, tokens: u64, late: bool| {
        json!({
            "report_id": id, "window": 7, "team": "t", "service": "s", "prompt_tokens": tokens,
            "answer_tokens": 1, "requests": 1, "late": late, "holder": "a", "fencing": 1,
        })
    };
    let cases = [
        ("r1", 10, false, 200),
        ("r2", 10, false, 200),
        ("r3", 11, false, 409),
    ];
    for (id, tokens, late, status) in cases {
        let answer = send(&client, Method::POST, "/usage", report(id, tokens, late)).await;
        assert_eq!(answer.0, status, "{id}");
    }
    assert_eq!(
        send(&client, Method::POST, "/usage", report("r4", 3, true))
            .await
            .0,
        200
    );
    let usage = client.usage().await.unwrap();
    let billed: Vec<&str> = usage
        .reports
        .iter()
        .map(|row| row.report_id.as_str())
        .collect();
    assert_eq!(billed, ["r1", "r4"]);
    assert_eq!(usage.repeats, 1);
    assert_eq!(usage.violations[0].reported.report_id, "r3");
}
