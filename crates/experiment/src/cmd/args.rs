//! Argument types of all subcommands.

use argh::FromArgs;

use crate::mechanism::Mechanism;
use crate::workload::WorkloadChoice;

/// Measures the decisions of applefold.
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

/// Plays seeded workloads and faults to applefold and to the naive version.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub(crate) struct RunArgs {
    /// foundation, mtkvari or all (default: all)
    #[argh(option, default = "WorkloadChoice::All")]
    pub(crate) workload: WorkloadChoice,

    /// number of seeds, counted from 1 (default: 10)
    #[argh(option, default = "10")]
    pub(crate) seeds: u64,

    /// minutes of arrivals in a run (default: 20)
    #[argh(option, default = "20")]
    pub(crate) minutes: u64,

    /// a mechanism to switch off: routing, admission, fairness, roles or fleet; may be repeated
    #[argh(option)]
    pub(crate) without: Vec<Mechanism>,

    /// also measure applefold with each mechanism switched off in turn
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
