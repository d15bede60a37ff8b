//! The arguments of each subcommand.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use applefold_standins::{
    EngineOptions, EngineRole, LoadPlan, PlainOptions, PlatformOptions, StandinOptions,
};
use argh::FromArgs;

/// The model that an engine has unless told otherwise.
const DEFAULT_MODEL: &str = "tiny-1";
/// The length of answers in a load.
const DEFAULT_ANSWER_TOKENS: u64 = 16;
/// The length of prompts in a load.
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

/// Run a platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct PlatformArgs {
    /// the address to listen on, with port 0 for a free one
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// writes per second before calls are refused
    #[argh(option)]
    writes_per_sec: Option<u64>,
    /// reads per second before calls are refused
    #[argh(option)]
    reads_per_sec: Option<u64>,
    /// by how many milliseconds the list of instances lags
    #[argh(option)]
    list_lag_ms: Option<u64>,
    /// bytes per second of the weight store
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

/// Run a model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub(crate) struct EngineArgs {
    /// the address to listen on, with port 0 for a free one
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// a model that is loaded at the start; may be given several times
    #[argh(option)]
    model: Vec<String>,
    /// the role at the start: both, prefill or decode
    #[argh(option)]
    role: Option<EngineRole>,
    /// prompt tokens per second
    #[argh(option)]
    prefill_rate: Option<u64>,
    /// answer tokens per second over all requests
    #[argh(option)]
    decode_rate: Option<u64>,
    /// answer tokens per second of one request
    #[argh(option)]
    stream_rate: Option<u64>,
    /// tokens that fit in memory
    #[argh(option)]
    memory_tokens: Option<u64>,
    /// requests that run at a time
    #[argh(option)]
    max_running: Option<usize>,
    /// milliseconds between two steps of the batch; 0 answers at once
    #[argh(option)]
    step_ms: Option<u64>,
    /// by how many milliseconds the load report lags
    #[argh(option)]
    load_lag_ms: Option<u64>,
    /// by how many milliseconds cache events lag
    #[argh(option)]
    cache_lag_ms: Option<u64>,
    /// every so many cache events one is left out; 0 leaves none out
    #[argh(option)]
    cache_gap_every: Option<u64>,
    /// milliseconds that an order takes
    #[argh(option)]
    order_ms: Option<u64>,
    /// refuse orders with an old fencing number
    #[argh(switch)]
    check_fencing: bool,
    /// the platform whose weight store models are loaded from
    #[argh(option)]
    weights: Option<SocketAddr>,
    /// the size of a model in the weight store
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

/// Run a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "plain")]
pub(crate) struct PlainArgs {
    /// the address to listen on, with port 0 for a free one
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// milliseconds that a call takes
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

/// Call a stand-in or applefold and print the answer.
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
pub(crate) struct CallArgs {
    /// the address to call
    #[argh(option)]
    pub(crate) address: SocketAddr,
    /// the path, with its query
    #[argh(option)]
    pub(crate) path: String,
    /// the method; GET without a body, else POST
    #[argh(option)]
    pub(crate) method: Option<Method>,
    /// the body
    #[argh(option)]
    pub(crate) body: Option<String>,
    /// a bearer credential
    #[argh(option)]
    pub(crate) bearer: Option<String>,
    /// a header as name:value; may be given several times
    #[argh(option)]
    pub(crate) header: Vec<String>,
    /// print the text of a streamed answer as it comes
    #[argh(switch)]
    pub(crate) stream: bool,
    /// fail unless the answer holds just these first tokens of an engine's answer
    #[argh(option)]
    pub(crate) expect_tokens: Option<u64>,
}

/// Send a bounded load of chat requests and print the latencies.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct LoadArgs {
    /// the address to call
    #[argh(option)]
    address: SocketAddr,
    /// a bearer credential
    #[argh(option)]
    bearer: Option<String>,
    /// the model
    #[argh(option, default = "DEFAULT_MODEL.to_owned()")]
    model: String,
    /// how many requests in all
    #[argh(option)]
    requests: u64,
    /// how many requests at a time
    #[argh(option, default = "1")]
    concurrency: usize,
    /// ask for streamed answers
    #[argh(switch)]
    stream: bool,
    /// the answers' length in tokens
    #[argh(option, default = "DEFAULT_ANSWER_TOKENS")]
    max_tokens: u64,
    /// the prompts' length in bytes
    #[argh(option, default = "DEFAULT_PROMPT_BYTES")]
    prompt_bytes: usize,
    /// print JSON
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
