//! Workloads of the two deployments, with arrivals generated from a seed.
//!
//! Sizes and rates are those of
//! [docs/design/experiment.md](../../../../docs/design/experiment.md).

mod arrival;
mod foundation;
mod mtkvari;

use std::str::FromStr;

use applefold_core::unit::{TimePoint, TimeSpan};

pub(crate) use self::arrival::{arrivals, exponential, schedule, swings};

/// Throughput of a prefill engine in prompt tokens per second.
pub(crate) const PREFILL_RATE: u64 = 10_000;
/// Fixed part of the duration of a decode step, independent of the batch size.
pub(crate) const STEP_BASE: TimeSpan = TimeSpan::from_millis(15);
/// Time that each sequence of the batch adds to a decode step.
pub(crate) const STEP_EACH: TimeSpan = TimeSpan(250);
/// Maximum batch size of a decode engine, in sequences.
pub(crate) const BATCH_LIMIT: usize = 64;
/// Throughput of a decode engine at a full batch, in generated tokens per second.
pub(crate) const DECODE_RATE: u64 =
    BATCH_LIMIT as u64 * 1_000_000 / (STEP_BASE.0 + STEP_EACH.0 * BATCH_LIMIT as u64);
/// Tokens per block of the KV cache.
pub(crate) const BLOCK_TOKENS: u64 = 1_024;
/// Minimum number of engines of a pool.
pub(crate) const MIN_ENGINES: u32 = 4;
/// Share of all requests that each team sends, in percent.
pub(crate) const TEAM_SHARES: [u32; 8] = [30, 30, 15, 5, 5, 5, 5, 5];

/// The workloads to simulate, as chosen on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkloadChoice {
    Foundation,
    Mtkvari,
    All,
}

impl FromStr for WorkloadChoice {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "foundation" => Ok(Self::Foundation),
            "mtkvari" => Ok(Self::Mtkvari),
            "all" => Ok(Self::All),
            _ => Err("unknown workload; expected foundation, mtkvari or all".to_owned()),
        }
    }
}

impl WorkloadChoice {
    pub(crate) fn workloads(self) -> Vec<Workload> {
        match self {
            Self::Foundation => vec![foundation::workload()],
            Self::Mtkvari => vec![mtkvari::workload()],
            Self::All => vec![foundation::workload(), mtkvari::workload()],
        }
    }
}

/// A deployment and the load that its callers put on it.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    pub(crate) name: &'static str,
    /// Number of engines at the start of a run; also the maximum size of the pool.
    pub(crate) engines: u32,
    /// Number of these engines that start in the prefill role; also the prefill part of the fixed
    /// split between the roles.
    pub(crate) fixed_prefill: u32,
    /// Number of failure domains.
    pub(crate) domains: u32,
    /// Number of backend servers of the plain service.
    pub(crate) plain_servers: u32,
    /// Service time of a call to the plain service.
    pub(crate) plain_work: TimeSpan,
    /// One-way network latency.
    pub(crate) one_way: TimeSpan,
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) phases: Vec<MixPhase>,
}

/// A class of requests with the same size distribution and deadlines.
#[derive(Clone, Debug)]
pub(crate) struct RequestClass {
    /// Mean prompt length in tokens; zero for a call to the plain service, which is not idempotent.
    pub(crate) prompt: u64,
    /// Mean length of the generated text in tokens.
    pub(crate) answer: u64,
    /// Tokens that all prompts over the same document share as a prefix.
    pub(crate) prefix_tokens: u64,
    /// Number of documents of each team; zero if prompts share no prefix.
    pub(crate) documents: u64,
    /// Deadline of the first token, from the arrival of the request.
    pub(crate) first_within: TimeSpan,
    /// Deadline of the complete response, from the arrival of the request.
    pub(crate) whole_within: TimeSpan,
    pub(crate) urgent: bool,
}

impl RequestClass {
    pub(crate) fn is_plain(&self) -> bool {
        self.prompt == 0
    }

    pub(crate) const fn plain(whole_within: TimeSpan) -> Self {
        Self {
            prompt: 0,
            answer: 0,
            prefix_tokens: 0,
            documents: 0,
            first_within: whole_within,
            whole_within,
            urgent: true,
        }
    }
}

/// A traffic mix that stays constant for minutes.
#[derive(Clone, Debug)]
pub(crate) struct MixPhase {
    /// Arrival rate of each class in requests per second.
    pub(crate) rates: Vec<f64>,
}

/// The interval of a run in which a phase is active.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PhaseSpan {
    /// Index into [`Workload::phases`].
    pub(crate) phase: usize,
    pub(crate) start: TimePoint,
    pub(crate) end: TimePoint,
}

/// A request as its caller sends it.
#[derive(Clone, Debug)]
pub(crate) struct OfferedRequest {
    pub(crate) at: TimePoint,
    /// Index into [`Workload::classes`].
    pub(crate) class: usize,
    /// Index into [`TEAM_SHARES`].
    pub(crate) team: usize,
    /// Prompt length in tokens.
    pub(crate) prompt: u64,
    /// Length of the generated text in tokens.
    pub(crate) answer: u64,
    /// The document that forms the prefix of the prompt.
    pub(crate) document: Option<u64>,
}

impl OfferedRequest {
    /// Returns the engine time of the request in seconds, for engines at full throughput.
    pub(crate) fn work_secs(&self) -> f64 {
        let prefill = self.prompt as f64 / PREFILL_RATE as f64;
        prefill + self.answer as f64 / DECODE_RATE as f64
    }
}
