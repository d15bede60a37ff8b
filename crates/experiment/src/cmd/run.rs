//! The `run` subcommand: simulates the workloads and prints the results.

use applefold_core::unit::TimeSpan;
use eyre::WrapErr;

use super::args::RunArgs;
use crate::fault::faults;
use crate::mechanism::{Mechanism, VersionSet};
use crate::score::RunScore;
use crate::table::{self, RowLabel, VersionRow};
use crate::workload::{arrivals, schedule, swings, Workload};
use crate::world::{RunPlan, World};

const SECS_PER_MINUTE: u64 = 60;

/// A set of mechanisms to measure, with its name in the results.
struct NamedVersion {
    name: String,
    version: VersionSet,
}

pub(super) fn run(args: RunArgs) -> eyre::Result<()> {
    let versions = versions(&args);
    let mut rows = Vec::new();
    for workload in args.workload.workloads() {
        rows.extend(measure(&workload, &args, &versions));
    }
    if !args.json {
        table::print(&rows);
        return Ok(());
    }
    let text =
        serde_json::to_string_pretty(&rows).wrap_err("could not serialize the results as JSON")?;
    println!("{text}");
    Ok(())
}

/// Returns the versions to measure; the naive one comes first.
fn versions(args: &RunArgs) -> Vec<NamedVersion> {
    let mut applefold = VersionSet::whole();
    let mut name = "applefold".to_owned();
    for mechanism in &args.without {
        applefold = applefold.without(*mechanism);
        name.push_str(&format!(" -{mechanism}"));
    }
    let mut versions = vec![
        NamedVersion {
            name: "naive".to_owned(),
            version: VersionSet::naive(),
        },
        NamedVersion {
            name,
            version: applefold.clone(),
        },
    ];
    if args.ablate {
        versions.extend(Mechanism::SWITCHED.iter().map(|mechanism| NamedVersion {
            name: format!("without {mechanism}"),
            version: applefold.clone().without(*mechanism),
        }));
    }
    versions
}

/// Runs all versions on the same seeds and returns one row of results for each version.
///
/// The first version is the baseline of the comparison.
fn measure(workload: &Workload, args: &RunArgs, versions: &[NamedVersion]) -> Vec<VersionRow> {
    let span = TimeSpan::from_secs(args.minutes * SECS_PER_MINUTE);
    let mut swing_counts = Vec::new();
    let mut runs: Vec<Vec<RunScore>> = versions.iter().map(|_| Vec::new()).collect();
    for seed in 1..=args.seeds {
        let phases = schedule(workload, seed, span);
        swing_counts.push(swings(workload, &phases));
        let requests = arrivals(workload, &phases, seed);
        let faults = faults(seed, span);
        let plan = RunPlan {
            workload,
            phases: &phases,
            requests: &requests,
            faults: &faults,
            seed,
            span,
        };
        for (scores, named) in runs.iter_mut().zip(versions) {
            scores.push(World::run(plan, &named.version));
        }
    }
    let naive = runs[0].clone();
    let named = versions.iter().zip(runs);
    named
        .map(|(named, runs)| {
            let label = RowLabel {
                workload: workload.name.to_owned(),
                version: named.name.clone(),
            };
            VersionRow::new(label, &swing_counts, &naive, runs)
        })
        .collect()
}
