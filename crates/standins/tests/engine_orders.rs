//! Orders to an engine: one at a time, fenced where told, and what they cut.

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

fn quick() -> EngineOptions {
    EngineOptions {
        order_time: Duration::from_millis(1),
        load_lag: Duration::ZERO,
        ..EngineOptions::default()
    }
}

fn order(id: &str, fencing: u64, kind: &str, model: Value, role: Value) -> Value {
    json!({ "order_id": id, "fencing": fencing, "kind": kind, "model": model, "role": role })
}

async fn states(client: &StandinClient) -> Vec<OrderState> {
    let history = client.engine_history().await.unwrap();
    history.orders.iter().map(|record| record.state).collect()
}

#[actix_rt::test]
async fn models_come_and_go_and_roles_change() {
    let (_handle, client) = start_with(quick());
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
    let gone = client.chat_stream(&ChatCall::new("tiny-1", "hi", 1)).await;
    assert!(matches!(gone, Err(ClientError::Refused(answer)) if answer.status == 404));
    let bad = order("o4", 1, "load_model", Value::Null, Value::Null);
    assert_eq!(send(&client, Method::POST, "/orders", bad).await.0, 400);
}

#[actix_rt::test]
async fn second_order_at_a_time_is_a_conflict() {
    let (_handle, client) = start_with(EngineOptions {
        order_time: Duration::from_secs(600),
        ..quick()
    });
    let other = client.clone();
    let first = order("o1", 1, "set_role", Value::Null, json!("prefill"));
    actix_rt::spawn(async move {
        other
            .call(Method::POST, "/orders", first.to_string().into())
            .await
    });
    eventually(|| async { states(&client).await == [OrderState::Running] }).await;
    let second = order("o2", 1, "set_role", Value::Null, json!("decode"));
    assert_eq!(send(&client, Method::POST, "/orders", second).await.0, 409);
    assert_eq!(
        states(&client).await,
        [OrderState::Running, OrderState::Conflict]
    );
    let away = client.chat_stream(&ChatCall::new("tiny-1", "hi", 1)).await;
    assert!(matches!(away, Err(ClientError::Refused(answer)) if answer.status == 503));
}

#[actix_rt::test]
async fn old_numbers_are_refused_only_by_an_engine_that_checks() {
    for (check_fencing, status) in [(true, 409), (false, 200)] {
        let (_handle, client) = start_with(EngineOptions {
            check_fencing,
            ..quick()
        });
        let new = order("o1", 5, "set_role", Value::Null, json!("decode"));
        assert_eq!(send(&client, Method::POST, "/orders", new).await.0, 200);
        let old = order("o2", 4, "set_role", Value::Null, json!("both"));
        assert_eq!(send(&client, Method::POST, "/orders", old).await.0, status);
    }
}

#[actix_rt::test]
async fn orders_cut_what_still_runs() {
    let cases = [
        order("o1", 1, "set_role", Value::Null, json!("decode")),
        order("o1", 1, "unload_model", json!("tiny-1"), Value::Null),
    ];
    for body in cases {
        let (_handle, client) = start_with(quick());
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
async fn weights_come_from_the_platform_at_its_rate() {
    let platform = StandinHandle::platform(PlatformOptions::default()).unwrap();
    let (_handle, client) = start_with(EngineOptions {
        weights: Some(platform.address),
        weight_bytes: 1_000,
        ..quick()
    });
    let body = order("o1", 1, "load_model", json!("tiny-2"), Value::Null);
    assert_eq!(send(&client, Method::POST, "/orders", body).await.0, 200);
    let stats = StandinClient::new(platform.address).stats().await.unwrap();
    assert_eq!(stats.kinds["GET weights"], 1);
}
