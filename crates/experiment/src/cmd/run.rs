//! `run`: plays the workloads and prints the table.

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

/// A version with the name that the table shows.
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
        serde_json::to_string_pretty(&rows).wrap_err("the table cannot be written as JSON")?;
    println!("{text}");
    Ok(())
}

fn versions(args: &RunArgs) -> Vec<NamedVersion> {
    let mut whole = VersionSet::whole();
    let mut name = "applefold".to_owned();
    for mechanism in &args.without {
        whole = whole.without(*mechanism);
        name.push_str(&format!(" -{mechanism}"));
    }
    let mut versions = vec![
        NamedVersion {
            name: "naive".to_owned(),
            version: VersionSet::naive(),
        },
        NamedVersion {
            name,
            version: whole.clone(),
        },
    ];
    if args.ablate {
        versions.extend(Mechanism::SWITCHED.iter().map(|mechanism| NamedVersion {
            name: format!("without {mechanism}"),
            version: whole.clone().without(*mechanism),
        }));
    }
    versions
}

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
        for (row, named) in runs.iter_mut().zip(versions) {
            row.push(World::run(plan, &named.version));
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
