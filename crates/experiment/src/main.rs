//! Measures the decisions of applefold: simulations in virtual time, and scale benchmarks.
//!
//! The workloads, measures and targets are in
//! [docs/design/experiment.md](../../../docs/design/experiment.md).

mod answer;
mod beat;
mod cmd;
mod control;
mod engine;
mod entry;
mod fault;
mod mechanism;
mod member;
mod plain;
mod platform;
mod prefix;
mod queue;
mod report;
mod scale;
mod score;
mod serve;
mod table;
mod workload;
mod world;

fn main() -> eyre::Result<()> {
    let args: cmd::Args = argh::from_env();
    cmd::run(args)
}
