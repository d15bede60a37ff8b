//! Argument types of all subcommands.

use argh::FromArgs;

use crate::mechanism::Mechanism;
use crate::workload::WorkloadChoice;

/// Measures the decisions of applefold in simulations and scale benchmarks.
#[derive(FromArgs)]
pub(crate) struct Args {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Run(RunArgs),
    Scale(ScaleArgs),
}

/// Simulates applefold and the naive version under the same seeded workloads and faults.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub(crate) struct RunArgs {
    /// workload to simulate: foundation, mtkvari or all (default: all)
    #[argh(option, default = "WorkloadChoice::All")]
    pub(crate) workload: WorkloadChoice,

    /// number of seeds, counted up from 1 (default: 10)
    #[argh(option, default = "10")]
    pub(crate) seeds: u64,

    /// minutes of simulated time in which requests arrive in each run (default: 20)
    #[argh(option, default = "20")]
    pub(crate) minutes: u64,

    /// mechanism to disable: routing, admission, fairness, roles or fleet; may be repeated
    #[argh(option)]
    pub(crate) without: Vec<Mechanism>,

    /// also measure applefold with each mechanism disabled in turn
    #[argh(switch)]
    pub(crate) ablate: bool,

    /// print JSON instead of a table
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Measures how time and memory grow with the size of each table.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
pub(crate) struct ScaleArgs {
    /// print JSON instead of a table
    #[argh(switch)]
    pub(crate) json: bool,
}
