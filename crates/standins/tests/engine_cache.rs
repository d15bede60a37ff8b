//! Tests of the engine's prefix cache: hits, transfers, evictions and events.

mod common;

use std::time::Duration;

use actix_http::Method;
use applefold_standins::{
    CacheEvent, ChatCall, ClientAnswer, EngineOptions, PromptExport, StandinClient, StandinHandle,
    BLOCK_TOKENS,
};
use serde_json::{json, Value};

use common::send;

const CHAT_PATH: &str = "/v1/chat/completions";

fn start_with(options: EngineOptions) -> (StandinHandle, StandinClient) {
    let handle = StandinHandle::engine(options).unwrap();
    let client = StandinClient::new(handle.address);
    (handle, client)
}

fn instant_options() -> EngineOptions {
    EngineOptions {
        step: Duration::ZERO,
        cache_lag: Duration::ZERO,
        ..EngineOptions::default()
    }
}

fn chat(prompt: &str, tokens: u64) -> ChatCall {
    ChatCall::new("tiny-1", prompt, tokens)
}

#[actix_rt::test]
async fn cached_prefixes_are_reused_and_can_be_transferred() {
    let (_handle, first) = start_with(instant_options());
    let (_other, second) = start_with(instant_options());
    let prompt = "prefix ".repeat(2 * BLOCK_TOKENS as usize);
    let send_chat = |client: StandinClient, ending: &str| {
        let body = chat(&format!("{prompt}{ending}"), 1).body(false);
        async move { client.call(Method::POST, CHAT_PATH, body).await.unwrap() }
    };
    let cached_tokens = |answer: &ClientAnswer| {
        let body: Value = answer.json().unwrap();
        body["usage"]["prompt_tokens_details"]["cached_tokens"].clone()
    };
    let cold = send_chat(first.clone(), "a").await;
    assert_eq!(cached_tokens(&cold), 0);
    assert_eq!(
        cached_tokens(&send_chat(first.clone(), "b").await),
        3 * BLOCK_TOKENS
    );
    let path = format!("/kv-cache/{}", cold.headers["x-prompt-hash"]);
    let export: PromptExport = first.get(&path).await.unwrap();
    let imported: Value = second.send(Method::PUT, &path, &export).await.unwrap();
    assert_eq!(imported["tokens"], export.tokens);
    assert_eq!(cached_tokens(&send_chat(second, "a").await), export.tokens);
    first
        .set_faults(&json!({ "export_fails": true }))
        .await
        .unwrap();
    assert_eq!(send(&first, Method::GET, &path, Value::Null).await.0, 500);
}

#[actix_rt::test]
async fn full_cache_evicts_blocks_and_its_events_have_gaps() {
    let (_handle, client) = start_with(EngineOptions {
        memory_tokens: 4 * BLOCK_TOKENS,
        cache_gap_every: 3,
        ..instant_options()
    });
    for letter in ["a", "b", "c"] {
        let prompt = letter.repeat(9_000);
        let body = chat(&prompt, 1).body(false);
        let answer = client.call(Method::POST, CHAT_PATH, body).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let (_, answer) = send(&client, Method::GET, "/cache/events?since=0", Value::Null).await;
    let events: Vec<CacheEvent> = serde_json::from_value(answer["events"].clone()).unwrap();
    let serials: Vec<u64> = events.iter().map(|event| event.serial).collect();
    assert_eq!(serials, [1, 2, 4, 5, 7, 8]);
    assert_eq!(json!(events.last().unwrap().change), "evicted");
}
