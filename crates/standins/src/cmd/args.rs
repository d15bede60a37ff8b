//! Command-line arguments of the subcommands.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use applefold_standins::{
    EngineOptions, EngineRole, LoadPlan, PlainOptions, PlatformOptions, StandinOptions,
};
use argh::FromArgs;

/// Default model of a load test, which a stand-in engine serves by default.
const DEFAULT_MODEL: &str = "tiny-1";
/// Default completion length of a load test.
const DEFAULT_ANSWER_TOKENS: u64 = 16;
/// Default prompt length of a load test.
const DEFAULT_PROMPT_BYTES: usize = 400;

/// Stand-ins for the platform, model engines and plain services, for tests only.
#[derive(FromArgs)]
pub(crate) struct CommandOptions {
    #[argh(subcommand)]
    pub(crate) subcommand: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Subcommand {
    Platform(PlatformArgs),
    Engine(EngineArgs),
    Plain(PlainArgs),
    Call(CallArgs),
    Load(LoadArgs),
}

/// Run a simulated platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct PlatformArgs {
    /// address to listen on; port 0 picks a free port
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// write rate limit per second; requests above it are rejected
    #[argh(option)]
    writes_per_sec: Option<u64>,
    /// read rate limit per second; requests above it are rejected
    #[argh(option)]
    reads_per_sec: Option<u64>,
    /// delay of the instance list, in milliseconds
    #[argh(option)]
    list_lag_ms: Option<u64>,
    /// throughput of the weight store, in bytes per second
    #[argh(option)]
    weight_bytes_per_sec: Option<u64>,
}

impl PlatformArgs {
    pub(crate) fn options(&self) -> StandinOptions {
        let default = PlatformOptions::default();
        let weights = self.weight_bytes_per_sec;
        StandinOptions::Platform(PlatformOptions {
            writes_per_sec: self.writes_per_sec.unwrap_or(default.writes_per_sec),
            reads_per_sec: self.reads_per_sec.unwrap_or(default.reads_per_sec),
            list_lag: self
                .list_lag_ms
                .map_or(default.list_lag, Duration::from_millis),
            weight_bytes_per_sec: weights.unwrap_or(default.weight_bytes_per_sec),
        })
    }
}

/// Run a simulated model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub(crate) struct EngineArgs {
    /// address to listen on; port 0 picks a free port
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// model that is loaded at startup; may be repeated
    #[argh(option)]
    model: Vec<String>,
    /// role at startup: both, prefill or decode
    #[argh(option)]
    role: Option<EngineRole>,
    /// prefill throughput, in prompt tokens per second
    #[argh(option)]
    prefill_rate: Option<u64>,
    /// decode throughput of all requests together, in tokens per second
    #[argh(option)]
    decode_rate: Option<u64>,
    /// decode throughput of one request, in tokens per second
    #[argh(option)]
    stream_rate: Option<u64>,
    /// memory capacity, in tokens
    #[argh(option)]
    memory_tokens: Option<u64>,
    /// maximum number of concurrently running requests
    #[argh(option)]
    max_running: Option<usize>,
    /// interval between batch steps, in milliseconds; 0 responds at once
    #[argh(option)]
    step_ms: Option<u64>,
    /// delay of the load report, in milliseconds
    #[argh(option)]
    load_lag_ms: Option<u64>,
    /// delay of cache events, in milliseconds
    #[argh(option)]
    cache_lag_ms: Option<u64>,
    /// drop one cache event out of this many; 0 drops none
    #[argh(option)]
    cache_gap_every: Option<u64>,
    /// execution time of an order, in milliseconds
    #[argh(option)]
    order_ms: Option<u64>,
    /// reject orders with an outdated fencing number
    #[argh(switch)]
    check_fencing: bool,
    /// address of the platform whose weight store models are loaded from
    #[argh(option)]
    weights: Option<SocketAddr>,
    /// size of a model in the weight store, in bytes
    #[argh(option)]
    weight_bytes: Option<u64>,
}

impl EngineArgs {
    pub(crate) fn options(&self) -> StandinOptions {
        let default = EngineOptions::default();
        let models = match self.model.is_empty() {
            true => default.models,
            false => self.model.clone(),
        };
        StandinOptions::Engine(EngineOptions {
            models,
            role: self.role.unwrap_or(default.role),
            prefill_rate: self.prefill_rate.unwrap_or(default.prefill_rate),
            decode_rate: self.decode_rate.unwrap_or(default.decode_rate),
            stream_rate: self.stream_rate.unwrap_or(default.stream_rate),
            memory_tokens: self.memory_tokens.unwrap_or(default.memory_tokens),
            max_running: self.max_running.unwrap_or(default.max_running),
            step: self.step_ms.map_or(default.step, Duration::from_millis),
            load_lag: self
                .load_lag_ms
                .map_or(default.load_lag, Duration::from_millis),
            cache_lag: self
                .cache_lag_ms
                .map_or(default.cache_lag, Duration::from_millis),
            cache_gap_every: self.cache_gap_every.unwrap_or(default.cache_gap_every),
            order_time: self
                .order_ms
                .map_or(default.order_time, Duration::from_millis),
            check_fencing: self.check_fencing,
            down_time: default.down_time,
            weights: self.weights,
            weight_bytes: self.weight_bytes.unwrap_or(default.weight_bytes),
        })
    }
}

/// Run a simulated plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "plain")]
pub(crate) struct PlainArgs {
    /// address to listen on; port 0 picks a free port
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// time that a request takes, in milliseconds
    #[argh(option)]
    work_ms: Option<u64>,
}

impl PlainArgs {
    pub(crate) fn options(&self) -> StandinOptions {
        let default = PlainOptions::default();
        StandinOptions::Plain(PlainOptions {
            work_time: self
                .work_ms
                .map_or(default.work_time, Duration::from_millis),
            ..default
        })
    }
}

/// Send a request to a stand-in or applefold and print the response.
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
pub(crate) struct CallArgs {
    /// address to send requests to
    #[argh(option)]
    pub(crate) address: SocketAddr,
    /// request path with query string
    #[argh(option)]
    pub(crate) path: String,
    /// HTTP method; defaults to POST with a body and to GET without
    #[argh(option)]
    pub(crate) method: Option<Method>,
    /// request body
    #[argh(option)]
    pub(crate) body: Option<String>,
    /// bearer token
    #[argh(option)]
    pub(crate) bearer: Option<String>,
    /// request header as name:value; may be repeated
    #[argh(option)]
    pub(crate) header: Vec<String>,
    /// print the text of a streamed response as it arrives
    #[argh(switch)]
    pub(crate) stream: bool,
    /// fail unless the response is exactly this many tokens, as a stand-in engine generates them
    #[argh(option)]
    pub(crate) expect_tokens: Option<u64>,
}

/// Run a load test with a fixed number of chat requests and print the latencies.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct LoadArgs {
    /// address to send requests to
    #[argh(option)]
    address: SocketAddr,
    /// bearer token
    #[argh(option)]
    bearer: Option<String>,
    /// model name
    #[argh(option, default = "DEFAULT_MODEL.to_owned()")]
    model: String,
    /// total number of requests
    #[argh(option)]
    requests: u64,
    /// number of concurrent requests
    #[argh(option, default = "1")]
    concurrency: usize,
    /// request streamed responses
    #[argh(switch)]
    stream: bool,
    /// completion length, in tokens
    #[argh(option, default = "DEFAULT_ANSWER_TOKENS")]
    max_tokens: u64,
    /// prompt length, in bytes
    #[argh(option, default = "DEFAULT_PROMPT_BYTES")]
    prompt_bytes: usize,
    /// print the summary as JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl LoadArgs {
    pub(crate) fn plan(&self) -> LoadPlan {
        LoadPlan {
            address: self.address,
            bearer: self.bearer.clone(),
            model: self.model.clone(),
            requests: self.requests,
            concurrency: self.concurrency,
            stream: self.stream,
            max_tokens: self.max_tokens,
            prompt_bytes: self.prompt_bytes,
        }
    }
}
