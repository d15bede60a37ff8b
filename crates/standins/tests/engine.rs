//! Tests of the simulated engine: full and resumed responses, and streams that end early.

mod common;

use std::time::Duration;

use actix_http::Method;
use applefold_standins::{
    whole_text, ChatCall, ChatStream, ClientError, EngineOptions, RequestState, StandinClient,
    StandinHandle,
};
use bytes::Bytes;
use futures_util::future::join;
use serde_json::{json, Value};
use tokio::time::timeout;

use common::{abandon, eventually, send};

const CHAT_PATH: &str = "/v1/chat/completions";
const ENDLESS_TOKENS: u64 = 100_000;
/// Longer than the silenced stream would take to complete.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

fn start() -> (StandinHandle, StandinClient) {
    start_with(EngineOptions {
        step: Duration::from_millis(1),
        stream_rate: 1_000,
        down_time: Duration::from_millis(50),
        ..EngineOptions::default()
    })
}

fn start_with(options: EngineOptions) -> (StandinHandle, StandinClient) {
    let handle = StandinHandle::engine(options).unwrap();
    let client = StandinClient::new(handle.address);
    (handle, client)
}

fn chat(prompt: &str, tokens: u64) -> ChatCall {
    ChatCall::new("tiny-1", prompt, tokens)
}

/// Opens a stream and waits for its first token.
async fn open_stream(client: &StandinClient, chat: &ChatCall) -> ChatStream {
    let mut stream = client.chat_stream(chat).await.unwrap();
    assert!(stream.next_text().await.unwrap().is_some());
    stream
}

async fn state_of(client: &StandinClient, request_id: &str) -> Option<RequestState> {
    let history = client.engine_history().await.ok()?;
    let mut rows = history.requests.iter();
    let row = rows.find(|row| row.request_id == request_id)?;
    Some(row.state)
}

async fn is_cancelled(client: &StandinClient, request_id: &str) -> bool {
    state_of(client, request_id).await == Some(RequestState::Cancelled)
}

async fn raw_stream(client: &StandinClient, chat: &ChatCall) -> Bytes {
    let mut client = client.clone();
    for (name, value) in &chat.headers {
        client = client.with_header(name, value);
    }
    let answer = client
        .call(Method::POST, CHAT_PATH, chat.body(true))
        .await
        .unwrap();
    answer.body
}

#[actix_rt::test]
async fn streamed_and_full_responses_contain_the_same_text() {
    let (_handle, client) = start();
    let chat = chat("which extinguisher?", 20);
    let mut stream = client.chat_stream(&chat).await.unwrap();
    assert_eq!(stream.read_to_end().await.unwrap(), chat.expected_text());
    let answer = client
        .call(Method::POST, CHAT_PATH, chat.body(false))
        .await
        .unwrap();
    assert_eq!(whole_text(&answer.body).unwrap(), chat.expected_text());
    let body: Value = answer.json().unwrap();
    assert_eq!(body["object"], "chat.completion");
    assert_eq!(body["usage"]["completion_tokens"], 20);
    assert_eq!(body["choices"][0]["finish_reason"], "length");
}

#[actix_rt::test]
async fn stream_has_the_format_of_chat_completion_chunks() {
    let (_handle, client) = start();
    let body = json!({
        "model": "tiny-1", "messages": [{ "role": "user", "content": "hi" }],
        "max_tokens": 2, "stream": true, "stream_options": { "include_usage": true },
    });
    let answer = client
        .call(Method::POST, CHAT_PATH, body.to_string().into())
        .await
        .unwrap();
    assert_eq!(answer.headers["content-type"], "text/event-stream");
    let text = answer.text();
    let events: Vec<&str> = text.split_terminator("\n\n").collect();
    assert_eq!(events.last(), Some(&"data: [DONE]"));
    let chunks = events[..events.len() - 1].iter().map(|event| {
        let data = event.strip_prefix("data: ").unwrap();
        serde_json::from_str::<Value>(data).unwrap()
    });
    let chunks: Vec<Value> = chunks.collect();
    assert_eq!(chunks.len(), 5);
    assert!(chunks
        .iter()
        .all(|chunk| chunk["object"] == "chat.completion.chunk"));
    assert_eq!(chunks[0]["choices"][0]["delta"]["role"], "assistant");
    assert_eq!(chunks[3]["choices"][0]["finish_reason"], "length");
    assert_eq!(chunks[4]["choices"], json!([]));
    assert_eq!(chunks[4]["usage"]["total_tokens"], 4);
}

#[actix_rt::test]
async fn response_resumed_at_any_token_is_byte_identical() {
    let (_handle, client) = start_with(EngineOptions {
        step: Duration::ZERO,
        ..EngineOptions::default()
    });
    let tokens = 12;
    let chat = chat("resume me", tokens).with_header("x-request-id", "r");
    let full = raw_stream(&client, &chat).await;
    let events: Vec<&[u8]> = full.split_inclusive(|byte| *byte == b'\n').collect();
    for first in 1..=tokens {
        let resumed = chat
            .clone()
            .with_header("x-resume-tokens", &first.to_string());
        // The first chunk and each token chunk take two lines.
        let rest = events[2 * (first as usize + 1)..].concat();
        assert_eq!(
            raw_stream(&client, &resumed).await,
            rest,
            "from token {first}"
        );
    }
}

#[actix_rt::test]
async fn crossed_response_has_the_headers_of_another_request() {
    let (_handle, client) = start();
    client
        .set_faults(&json!({ "cross_answers": 1 }))
        .await
        .unwrap();
    let client = client.with_header("x-request-id", "mine");
    let chat = chat("mine", 3);
    for (id, is_mine) in [("crossed", false), ("mine", true)] {
        let answer = client
            .call(Method::POST, CHAT_PATH, chat.body(false))
            .await
            .unwrap();
        assert_eq!(answer.headers["x-request-id"], id);
        assert_eq!(
            whole_text(&answer.body).unwrap() == chat.expected_text(),
            is_mine
        );
    }
}

#[actix_rt::test]
async fn prompt_that_crashes_the_engine_aborts_all_streams_and_resets_state() {
    let (_handle, client) = start();
    client
        .set_faults(&json!({ "crash_on": "poison" }))
        .await
        .unwrap();
    let bystander = chat("hello", ENDLESS_TOKENS).with_header("x-request-id", "bystander");
    let mut stream = open_stream(&client, &bystander).await;
    let poison = chat("some poison", 5).with_header("x-request-id", "poison");
    // The response head may or may not arrive before the crash.
    if let Ok(mut stream) = client.chat_stream(&poison).await {
        assert_eq!(stream.read_to_end().await, Err(ClientError::Cut));
    }
    assert_eq!(stream.read_to_end().await, Err(ClientError::Cut));
    eventually(|| async { client.engine_history().await.is_ok() }).await;
    assert_eq!(
        state_of(&client, "bystander").await,
        Some(RequestState::Crashed)
    );
    assert_eq!(
        state_of(&client, "poison").await,
        Some(RequestState::Crashed)
    );
    let again = chat("hello", 3);
    let mut stream = client.chat_stream(&again).await.unwrap();
    assert_eq!(stream.read_to_end().await.unwrap(), again.expected_text());
}

#[actix_rt::test]
async fn crashed_engine_is_down_for_the_given_time() {
    let (_handle, client) = start();
    client
        .set_faults(&json!({ "crash": true, "down_ms": 600_000 }))
        .await
        .unwrap_err();
    let refused = client.call(Method::GET, "/load", Bytes::new()).await;
    assert!(
        matches!(refused, Err(ClientError::Unanswered(_))),
        "{refused:?}"
    );
}

#[actix_rt::test]
async fn crash_aborts_waiting_calls() {
    let (handle, client) = start();
    client.set_faults(&json!({ "freeze": true })).await.unwrap();
    let waiting = client.call(Method::GET, "/load", Bytes::new());
    let crashing = async {
        let operator = StandinClient::new(handle.address);
        let blocked = timeout(Duration::from_millis(50), operator.get::<Value>("/load")).await;
        assert!(blocked.is_err());
        operator.crash().await.unwrap();
    };
    let (waited, ()) = join(waiting, crashing).await;
    assert!(
        matches!(waited, Err(ClientError::Unanswered(_))),
        "{waited:?}"
    );
}

#[actix_rt::test]
async fn stream_is_aborted_once_after_the_given_tokens() {
    let (_handle, client) = start();
    client
        .set_faults(&json!({ "cut_after_tokens": 4 }))
        .await
        .unwrap();
    let chat = chat("cut me", 10);
    let mut stream = client.chat_stream(&chat).await.unwrap();
    let mut words = 0;
    let end = loop {
        match stream.next_text().await {
            Ok(Some(text)) => words += text.split_whitespace().count(),
            other => break other,
        }
    };
    assert_eq!((words, end), (4, Err(ClientError::Cut)));
    let mut stream = client.chat_stream(&chat).await.unwrap();
    assert_eq!(stream.read_to_end().await.unwrap(), chat.expected_text());
}

#[actix_rt::test]
async fn request_ends_when_it_is_cancelled_or_its_caller_disconnects() {
    let (_handle, client) = start();
    let first = chat("a", ENDLESS_TOKENS).with_header("x-request-id", "first");
    let mut stream = open_stream(&client, &first).await;
    let (_, answer) = send(&client, Method::POST, "/cancel/first", Value::Null).await;
    assert_eq!(answer, json!({ "cancelled": 1 }));
    assert_eq!(stream.read_to_end().await, Err(ClientError::Cut));
    assert_eq!(
        state_of(&client, "first").await,
        Some(RequestState::Cancelled)
    );
    let second = chat("b", ENDLESS_TOKENS).with_header("x-request-id", "second");
    drop(open_stream(&client, &second).await);
    eventually(|| is_cancelled(&client, "second")).await;
    let third = client.clone().with_header("x-request-id", "third");
    let call = third.call(Method::POST, CHAT_PATH, second.body(false));
    let running = || async { state_of(&client, "third").await == Some(RequestState::Running) };
    abandon(call, running).await;
    eventually(|| is_cancelled(&client, "third")).await;
}

#[actix_rt::test]
async fn silenced_connections_stay_open_and_new_ones_work() {
    let (handle, client) = start();
    let long = chat("quiet", 1_000);
    let mut stream = open_stream(&client, &long).await;
    let operator = StandinClient::new(handle.address);
    operator
        .set_faults(&json!({ "silent": true }))
        .await
        .unwrap();
    // Data already sent still arrives; then the stream neither ends nor aborts.
    let rest = timeout(SILENCE_TIMEOUT, stream.read_to_end()).await;
    assert!(rest.is_err(), "{rest:?}");
    operator.set_faults(&json!({})).await.unwrap();
    let rest = timeout(SILENCE_TIMEOUT, stream.read_to_end()).await;
    assert!(rest.is_err(), "{rest:?}");
    let fresh = StandinClient::new(handle.address);
    let short = chat("fresh", 3);
    let mut stream = fresh.chat_stream(&short).await.unwrap();
    assert_eq!(stream.read_to_end().await.unwrap(), short.expected_text());
}

#[actix_rt::test]
async fn unfrozen_engine_resumes_its_streams() {
    let (_handle, client) = start();
    let chat = chat("cold", 300);
    let mut stream = client.chat_stream(&chat).await.unwrap();
    let mut text = stream.next_text().await.unwrap().unwrap();
    client.set_faults(&json!({ "freeze": true })).await.unwrap();
    let call = client.call(Method::GET, "/load", Bytes::new());
    assert!(timeout(Duration::from_millis(50), call).await.is_err());
    client.set_faults(&json!({})).await.unwrap();
    text.push_str(&stream.read_to_end().await.unwrap());
    assert_eq!(text, chat.expected_text());
}
