//! A bounded load of chat requests, which measures latency and checks every answer.

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

/// The digits that latencies are kept to.
const LATENCY_DIGITS: u8 = 3;

/// The longest latency that is told from longer ones, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// What is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadPlan {
    /// Where it is sent.
    pub address: SocketAddr,
    /// The caller key.
    pub bearer: Option<String>,
    /// The model.
    pub model: String,
    /// How many requests in all.
    pub requests: u64,
    /// How many at a time.
    pub concurrency: usize,
    /// Whether answers are streamed.
    pub stream: bool,
    /// The answers' length in tokens.
    pub max_tokens: u64,
    /// The prompts' length in bytes.
    pub prompt_bytes: usize,
}

/// Latencies in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Half were faster.
    pub median_us: u64,
    /// 99 in 100 were faster.
    pub p99_us: u64,
    /// The slowest.
    pub max_us: u64,
}

/// What came of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Answers that came whole and right.
    pub whole: u64,
    /// Answers that came whole and differ from what the engine gives.
    pub wrong: u64,
    /// Failures by kind: the HTTP status and the result code, or `unanswered`, `cut`.
    pub errors: BTreeMap<String, u64>,
    /// How long it took.
    pub seconds: f64,
    /// Whole and right answers per second.
    pub requests_per_s: f64,
    /// To the first byte of the answer's body, of whole and right answers.
    pub first_byte: LatencySummary,
    /// To the end of the answer, likewise.
    pub end: LatencySummary,
}

struct LoadTally {
    next: Cell<u64>,
    summary: RefCell<LoadSummary>,
    first_bytes: RefCell<Histogram<u64>>,
    ends: RefCell<Histogram<u64>>,
}

struct AnswerTiming {
    text: String,
    first_byte: Duration,
    end: Duration,
}

/// Sends the load and returns when the last request has ended.
pub async fn run_load(plan: &LoadPlan) -> LoadSummary {
    let tally = LoadTally {
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
    let workers = (0..plan.concurrency).map(|_| work(plan, &client, &tally));
    join_all(workers).await;
    let seconds = start.elapsed().as_secs_f64();
    let summary = tally.summary.into_inner();
    LoadSummary {
        seconds,
        requests_per_s: summary.whole as f64 / seconds,
        first_byte: summarize(&tally.first_bytes.into_inner()),
        end: summarize(&tally.ends.into_inner()),
        ..summary
    }
}

async fn work(plan: &LoadPlan, client: &StandinClient, tally: &LoadTally) {
    while tally.next.get() < plan.requests {
        let number = tally.next.get();
        tally.next.set(number + 1);
        let chat = ChatCall::new(&plan.model, &prompt(plan, number), plan.max_tokens);
        let result = match plan.stream {
            true => ask_streamed(client, &chat).await,
            false => ask_whole(client, &chat).await,
        };
        count(&chat, result, tally);
    }
}

fn count(chat: &ChatCall, result: Result<AnswerTiming, ClientError>, tally: &LoadTally) {
    let mut summary = tally.summary.borrow_mut();
    let timing = match result {
        Ok(timing) if timing.text == chat.expected_text() => timing,
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
    tally
        .first_bytes
        .borrow_mut()
        .saturating_record(micros(timing.first_byte));
    tally
        .ends
        .borrow_mut()
        .saturating_record(micros(timing.end));
}

async fn ask_streamed(
    client: &StandinClient,
    chat: &ChatCall,
) -> Result<AnswerTiming, ClientError> {
    let start = Instant::now();
    let mut stream = client.chat_stream(chat).await?;
    let mut text = stream.next_text().await?.unwrap_or_default();
    let first_byte = start.elapsed();
    text.push_str(&stream.read_to_end().await?);
    Ok(AnswerTiming {
        text,
        first_byte,
        end: start.elapsed(),
    })
}

async fn ask_whole(client: &StandinClient, chat: &ChatCall) -> Result<AnswerTiming, ClientError> {
    let start = Instant::now();
    let body = chat.body(false);
    let answer = client
        .call(Method::POST, "/v1/chat/completions", body)
        .await?;
    let end = start.elapsed();
    let answer = answer.checked()?;
    Ok(AnswerTiming {
        text: whole_text(&answer.body).unwrap_or_default(),
        first_byte: end,
        end,
    })
}

/// Returns a prompt of the planned length that no other request has.
fn prompt(plan: &LoadPlan, number: u64) -> String {
    let head = format!("request {number} of {} ", plan.requests);
    let filler = "please check the label ".chars().cycle();
    let missing = plan.prompt_bytes.saturating_sub(head.len());
    head.chars().chain(filler.take(missing)).collect()
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
        .expect("the bounds and digits are within what a histogram takes")
}

fn summarize(histogram: &Histogram<u64>) -> LatencySummary {
    LatencySummary {
        median_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        max_us: histogram.max(),
    }
}
