//! Load test with a fixed number of chat requests, which measures latency and checks every response.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::Method;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::chat::{whole_text, ChatCall};
use crate::client::{ClientError, StandinClient};

/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Upper bound of recorded latencies, in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Parameters of a load test.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadPlan {
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Bearer token (the caller key), if any.
    pub bearer: Option<String>,
    /// Model name.
    pub model: String,
    /// Total number of requests.
    pub requests: u64,
    /// Number of concurrent requests.
    pub concurrency: usize,
    /// Whether streamed responses are requested.
    pub stream: bool,
    /// Completion length, in tokens.
    pub max_tokens: u64,
    /// Minimum prompt length, in bytes; prompts are padded to it.
    pub prompt_bytes: usize,
}

/// Latency quantiles, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Median.
    pub median_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// Results of a load test.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Number of complete responses with the expected text.
    pub whole: u64,
    /// Number of complete responses whose text differs from what a stand-in engine generates.
    pub wrong: u64,
    /// Number of failures by kind: the HTTP status and the result code, `unanswered`, `cut` or
    /// `malformed`.
    pub errors: BTreeMap<String, u64>,
    /// Duration of the load test, in seconds.
    pub seconds: f64,
    /// Throughput: complete responses with the expected text, per second.
    pub requests_per_s: f64,
    /// Latency until the first text of a streamed response, or until the end of one that is not
    /// streamed; covers only complete responses with the expected text.
    pub first_byte: LatencySummary,
    /// Latency until the end of the response, over the same responses.
    pub end: LatencySummary,
}

struct LoadProgress {
    next: Cell<u64>,
    summary: RefCell<LoadSummary>,
    first_bytes: RefCell<Histogram<u64>>,
    ends: RefCell<Histogram<u64>>,
}

struct TimedResponse {
    text: String,
    first_byte: Duration,
    end: Duration,
}

/// Runs the load test and returns its results after the last request has ended.
pub async fn run_load(plan: &LoadPlan) -> LoadSummary {
    let progress = LoadProgress {
        next: Cell::new(0),
        summary: RefCell::default(),
        first_bytes: RefCell::new(histogram()),
        ends: RefCell::new(histogram()),
    };
    let mut client = StandinClient::new(plan.address);
    if let Some(bearer) = &plan.bearer {
        client = client.with_bearer(bearer);
    }
    let start = Instant::now();
    let workers = (0..plan.concurrency).map(|_| work(plan, &client, &progress));
    join_all(workers).await;
    let seconds = start.elapsed().as_secs_f64();
    let summary = progress.summary.into_inner();
    LoadSummary {
        seconds,
        requests_per_s: summary.whole as f64 / seconds,
        first_byte: summarize(&progress.first_bytes.into_inner()),
        end: summarize(&progress.ends.into_inner()),
        ..summary
    }
}

async fn work(plan: &LoadPlan, client: &StandinClient, progress: &LoadProgress) {
    while progress.next.get() < plan.requests {
        let number = progress.next.get();
        progress.next.set(number + 1);
        let chat = ChatCall::new(&plan.model, &prompt(plan, number), plan.max_tokens);
        let result = match plan.stream {
            true => request_streamed(client, &chat).await,
            false => request_unstreamed(client, &chat).await,
        };
        count(&chat, result, progress);
    }
}

fn count(chat: &ChatCall, result: Result<TimedResponse, ClientError>, progress: &LoadProgress) {
    let mut summary = progress.summary.borrow_mut();
    let response = match result {
        Ok(response) if response.text == chat.expected_text() => response,
        Ok(_) => {
            summary.wrong += 1;
            return;
        }
        Err(error) => {
            *summary.errors.entry(error_kind(&error)).or_default() += 1;
            return;
        }
    };
    summary.whole += 1;
    progress
        .first_bytes
        .borrow_mut()
        .saturating_record(micros(response.first_byte));
    progress
        .ends
        .borrow_mut()
        .saturating_record(micros(response.end));
}

async fn request_streamed(
    client: &StandinClient,
    chat: &ChatCall,
) -> Result<TimedResponse, ClientError> {
    let start = Instant::now();
    let mut stream = client.chat_stream(chat).await?;
    let mut text = stream.next_text().await?.unwrap_or_default();
    let first_byte = start.elapsed();
    text.push_str(&stream.read_to_end().await?);
    Ok(TimedResponse {
        text,
        first_byte,
        end: start.elapsed(),
    })
}

async fn request_unstreamed(
    client: &StandinClient,
    chat: &ChatCall,
) -> Result<TimedResponse, ClientError> {
    let start = Instant::now();
    let body = chat.body(false);
    let answer = client
        .call(Method::POST, "/v1/chat/completions", body)
        .await?;
    let end = start.elapsed();
    let answer = answer.checked()?;
    Ok(TimedResponse {
        text: whole_text(&answer.body).unwrap_or_default(),
        first_byte: end,
        end,
    })
}

/// Returns a prompt that is unique to request `number`, padded to the planned length.
fn prompt(plan: &LoadPlan, number: u64) -> String {
    let head = format!("request {number} of {} ", plan.requests);
    let filler = "please check the label ".chars().cycle();
    let padding = plan.prompt_bytes.saturating_sub(head.len());
    head.chars().chain(filler.take(padding)).collect()
}

fn error_kind(error: &ClientError) -> String {
    match error {
        ClientError::Unanswered(_) => "unanswered".to_owned(),
        ClientError::Cut => "cut".to_owned(),
        ClientError::Malformed(_) => "malformed".to_owned(),
        ClientError::Refused(answer) => {
            let body: Value = answer.json().unwrap_or_default();
            format!("{} {}", answer.status, body["error"]["code"])
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
        .expect("the bounds and the number of digits are valid for a histogram")
}

fn summarize(histogram: &Histogram<u64>) -> LatencySummary {
    LatencySummary {
        median_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        max_us: histogram.max(),
    }
}
