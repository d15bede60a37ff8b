//! Tests of the engine's batch: admission by priority, rates, and the load report.

mod common;

use std::time::Duration;

use actix_http::Method;
use applefold_standins::{ChatCall, EngineOptions, LoadReport, StandinClient, StandinHandle};
use serde_json::{json, Value};
use tokio::time::timeout;

use common::{eventually, send};

const ENDLESS_TOKENS: u64 = 100_000;

fn start_with(options: EngineOptions) -> (StandinHandle, StandinClient) {
    let handle = StandinHandle::engine(options).unwrap();
    let client = StandinClient::new(handle.address);
    (handle, client)
}

fn chat(id: &str, tokens: u64) -> ChatCall {
    ChatCall::new("tiny-1", id, tokens).with_header("x-request-id", id)
}

async fn load(client: &StandinClient) -> LoadReport {
    client.get("/load").await.unwrap()
}

#[actix_rt::test]
async fn waiting_requests_run_by_priority() {
    let (_handle, client) = start_with(EngineOptions {
        max_running: 1,
        load_lag: Duration::ZERO,
        ..EngineOptions::default()
    });
    let mut first = client
        .chat_stream(&chat("first", ENDLESS_TOKENS))
        .await
        .unwrap();
    first.next_text().await.unwrap();
    let batch = chat("batch", ENDLESS_TOKENS).with_header("x-priority", "9");
    let _batch = client.chat_stream(&batch).await.unwrap();
    let urgent = chat("urgent", ENDLESS_TOKENS).with_header("x-priority", "0");
    let mut urgent = client.chat_stream(&urgent).await.unwrap();
    eventually(|| async { load(&client).await.waiting == 2 }).await;
    send(&client, Method::POST, "/cancel/first", Value::Null).await;
    urgent.next_text().await.unwrap();
    let history = client.engine_history().await.unwrap();
    let tokens: Vec<u64> = history
        .requests
        .iter()
        .map(|row| row.answer_tokens)
        .collect();
    assert_eq!(tokens[1], 0);
    assert!(tokens[2] > 0);
}

#[actix_rt::test]
async fn load_report_is_delayed() {
    for (lag, running) in [(Duration::ZERO, 1), (Duration::from_secs(600), 0)] {
        let (_handle, client) = start_with(EngineOptions {
            load_lag: lag,
            ..EngineOptions::default()
        });
        let mut stream = client
            .chat_stream(&chat("long", ENDLESS_TOKENS))
            .await
            .unwrap();
        stream.next_text().await.unwrap();
        assert_eq!(load(&client).await.running, running, "{lag:?}");
    }
}

#[actix_rt::test]
async fn slow_engine_generates_the_same_response_later() {
    let (_handle, client) = start_with(EngineOptions::default());
    client
        .set_faults(&json!({ "slow_factor": 1_000_000 }))
        .await
        .unwrap();
    let chat = chat("slow", 5);
    let mut stream = client.chat_stream(&chat).await.unwrap();
    assert!(timeout(Duration::from_millis(100), stream.next_text())
        .await
        .is_err());
    client.set_faults(&json!({})).await.unwrap();
    assert_eq!(stream.read_to_end().await.unwrap(), chat.expected_text());
}
