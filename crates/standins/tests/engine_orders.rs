//! Tests of orders to the engine: one at a time, fencing where enabled, and the requests
//! that an order aborts.

mod common;

use std::time::Duration;

use actix_http::Method;
use applefold_standins::{
    ChatCall, ClientError, EngineOptions, EngineRole, LoadReport, OrderState, PlatformOptions,
    StandinClient, StandinHandle,
};
use serde_json::{json, Value};

use common::{eventually, send};

fn start_with(options: EngineOptions) -> (StandinHandle, StandinClient) {
    let handle = StandinHandle::engine(options).unwrap();
    let client = StandinClient::new(handle.address);
    (handle, client)
}

fn quick_options() -> EngineOptions {
    EngineOptions {
        order_time: Duration::from_millis(1),
        load_lag: Duration::ZERO,
        ..EngineOptions::default()
    }
}

fn order(id: &str, fencing: u64, kind: &str, model: Value, role: Value) -> Value {
    json!({ "order_id": id, "fencing": fencing, "kind": kind, "model": model, "role": role })
}

async fn order_states(client: &StandinClient) -> Vec<OrderState> {
    let history = client.engine_history().await.unwrap();
    history.orders.iter().map(|record| record.state).collect()
}

#[actix_rt::test]
async fn orders_load_and_unload_models_and_change_the_role() {
    let (_handle, client) = start_with(quick_options());
    let cases = [
        order("o1", 1, "load_model", json!("tiny-2"), Value::Null),
        order("o2", 1, "unload_model", json!("tiny-1"), Value::Null),
        order("o3", 1, "set_role", Value::Null, json!("decode")),
    ];
    for body in cases {
        let answer = send(&client, Method::POST, "/orders", body).await;
        assert_eq!(answer, (200, json!({ "done": true })));
    }
    let load: LoadReport = client.get("/load").await.unwrap();
    assert_eq!(
        (load.models, load.role),
        (vec!["tiny-2".to_owned()], EngineRole::Decode)
    );
    let unloaded = client.chat_stream(&ChatCall::new("tiny-1", "hi", 1)).await;
    assert!(matches!(unloaded, Err(ClientError::Refused(answer)) if answer.status == 404));
    let bad = order("o4", 1, "load_model", Value::Null, Value::Null);
    assert_eq!(send(&client, Method::POST, "/orders", bad).await.0, 400);
}

#[actix_rt::test]
async fn concurrent_order_is_a_conflict() {
    let (_handle, client) = start_with(EngineOptions {
        order_time: Duration::from_secs(600),
        ..quick_options()
    });
    let other = client.clone();
    let first = order("o1", 1, "set_role", Value::Null, json!("prefill"));
    actix_rt::spawn(async move {
        other
            .call(Method::POST, "/orders", first.to_string().into())
            .await
    });
    eventually(|| async { order_states(&client).await == [OrderState::Running] }).await;
    let second = order("o2", 1, "set_role", Value::Null, json!("decode"));
    assert_eq!(send(&client, Method::POST, "/orders", second).await.0, 409);
    assert_eq!(
        order_states(&client).await,
        [OrderState::Running, OrderState::Conflict]
    );
    let rejected = client.chat_stream(&ChatCall::new("tiny-1", "hi", 1)).await;
    assert!(matches!(rejected, Err(ClientError::Refused(answer)) if answer.status == 503));
}

#[actix_rt::test]
async fn outdated_fencing_numbers_are_rejected_only_if_checked() {
    for (check_fencing, status) in [(true, 409), (false, 200)] {
        let (_handle, client) = start_with(EngineOptions {
            check_fencing,
            ..quick_options()
        });
        let new = order("o1", 5, "set_role", Value::Null, json!("decode"));
        assert_eq!(send(&client, Method::POST, "/orders", new).await.0, 200);
        let old = order("o2", 4, "set_role", Value::Null, json!("both"));
        assert_eq!(send(&client, Method::POST, "/orders", old).await.0, status);
    }
}

#[actix_rt::test]
async fn orders_abort_running_requests() {
    let cases = [
        order("o1", 1, "set_role", Value::Null, json!("decode")),
        order("o1", 1, "unload_model", json!("tiny-1"), Value::Null),
    ];
    for body in cases {
        let (_handle, client) = start_with(quick_options());
        let mut stream = client
            .chat_stream(&ChatCall::new("tiny-1", "hi", 10_000))
            .await
            .unwrap();
        stream.next_text().await.unwrap();
        send(&client, Method::POST, "/orders", body).await;
        assert_eq!(stream.read_to_end().await, Err(ClientError::Cut));
    }
}

#[actix_rt::test]
async fn weights_are_fetched_from_the_platform() {
    let platform = StandinHandle::platform(PlatformOptions::default()).unwrap();
    let (_handle, client) = start_with(EngineOptions {
        weights: Some(platform.address),
        weight_bytes: 1_000,
        ..quick_options()
    });
    let body = order("o1", 1, "load_model", json!("tiny-2"), Value::Null);
    assert_eq!(send(&client, Method::POST, "/orders", body).await.0, 200);
    let stats = StandinClient::new(platform.address).stats().await.unwrap();
    assert_eq!(stats.kinds["GET weights"], 1);
}
