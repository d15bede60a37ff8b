//! The seeded arrivals of the two deployments.
//!
//! Sizes and rates are those of
//! [docs/design/experiment.md](../../../../docs/design/experiment.md).

mod arrival;
mod foundation;
mod mtkvari;

use std::str::FromStr;

use applefold_core::unit::{TimePoint, TimeSpan};

pub(crate) use self::arrival::{arrivals, exponential, schedule, swings};

/// Prompt tokens a second of a prefill engine.
pub(crate) const PREFILL_RATE: u64 = 10_000;
/// Time of a decode step before any answer is counted.
pub(crate) const STEP_BASE: TimeSpan = TimeSpan::from_millis(15);
/// Time that each running answer adds to a decode step.
pub(crate) const STEP_EACH: TimeSpan = TimeSpan(250);
/// The most answers that a decode engine runs at once.
pub(crate) const BATCH_LIMIT: usize = 64;
/// Answer tokens a second at a full batch.
pub(crate) const DECODE_RATE: u64 =
    BATCH_LIMIT as u64 * 1_000_000 / (STEP_BASE.0 + STEP_EACH.0 * BATCH_LIMIT as u64);
/// Tokens of one piece of engine memory.
pub(crate) const BLOCK_TOKENS: u64 = 1_024;
/// The fewest engines of a pool.
pub(crate) const MIN_ENGINES: u32 = 4;
/// Share of the requests of each team, in percent.
pub(crate) const TEAM_SHARES: [u32; 8] = [30, 30, 15, 5, 5, 5, 5, 5];

/// Which workloads to play.
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
            _ => Err("foundation, mtkvari or all".to_owned()),
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

/// A deployment and what its callers ask of it.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    pub(crate) name: &'static str,
    pub(crate) engines: u32,
    pub(crate) fixed_prefill: u32,
    pub(crate) domains: u32,
    pub(crate) plain_servers: u32,
    pub(crate) plain_work: TimeSpan,
    pub(crate) one_way: TimeSpan,
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) phases: Vec<MixPhase>,
}

/// Requests of one kind.
#[derive(Clone, Debug)]
pub(crate) struct RequestClass {
    /// Mean prompt; zero for a plain call that may not be repeated.
    pub(crate) prompt: u64,
    pub(crate) answer: u64,
    pub(crate) prefix_tokens: u64,
    pub(crate) documents: u64,
    pub(crate) first_within: TimeSpan,
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

/// A mix of requests that lasts for minutes.
#[derive(Clone, Debug)]
pub(crate) struct MixPhase {
    /// Requests a second of each class.
    pub(crate) rates: Vec<f64>,
}

/// The stretch of a run that a phase takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PhaseSpan {
    pub(crate) phase: usize,
    pub(crate) start: TimePoint,
    pub(crate) end: TimePoint,
}

/// A request as its caller sends it.
#[derive(Clone, Debug)]
pub(crate) struct OfferedRequest {
    pub(crate) at: TimePoint,
    pub(crate) class: usize,
    pub(crate) team: usize,
    pub(crate) prompt: u64,
    pub(crate) answer: u64,
    /// The document that the prompt begins with.
    pub(crate) document: Option<u64>,
}

impl OfferedRequest {
    /// Seconds of an engine at its full rate.
    pub(crate) fn work_secs(&self) -> f64 {
        let prefill = self.prompt as f64 / PREFILL_RATE as f64;
        prefill + self.answer as f64 / DECODE_RATE as f64
    }
}
