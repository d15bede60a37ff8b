//! The table of a measurement, as text and as JSON.

use serde::Serialize;

use crate::score::RunScore;

/// One version on one workload, over all seeds.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct VersionRow {
    pub(crate) workload: String,
    pub(crate) version: String,
    pub(crate) seeds: u64,
    pub(crate) swings: u32,
    pub(crate) runs: Vec<RunScore>,
    pub(crate) summary: VersionSummary,
}

/// Median and worst over the seeds.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct VersionSummary {
    pub(crate) good_per_sec: SpreadFigure,
    pub(crate) good_share: SpreadFigure,
    pub(crate) worst_team: SpreadFigure,
    pub(crate) role_changes: SpreadFigure,
    pub(crate) engine_secs_per_good: SpreadFigure,
    pub(crate) early_refusals: Option<SpreadFigure>,
    pub(crate) broken: SpreadFigure,
    pub(crate) run_twice: SpreadFigure,
}

/// A figure over the seeds.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct SpreadFigure {
    pub(crate) median: f64,
    pub(crate) worst: f64,
}

/// Which end of a figure is the worse one.
#[derive(Clone, Copy, Debug)]
enum WorseEnd {
    Low,
    High,
}

impl VersionRow {
    pub(crate) fn new(workload: &str, version: &str, swings: u32, runs: Vec<RunScore>) -> Self {
        let of = |end, figure: fn(&RunScore) -> f64| {
            spread(runs.iter().map(figure).collect(), end).unwrap_or(SpreadFigure {
                median: 0.0,
                worst: 0.0,
            })
        };
        let early = runs.iter().filter_map(|run| run.early_refusals).collect();
        let summary = VersionSummary {
            good_per_sec: of(WorseEnd::Low, |run| run.good_per_sec),
            good_share: of(WorseEnd::Low, |run| run.good_share),
            worst_team: of(WorseEnd::Low, |run| run.worst_team),
            role_changes: of(WorseEnd::High, |run| f64::from(run.role_changes)),
            engine_secs_per_good: of(WorseEnd::High, |run| run.engine_secs_per_good),
            early_refusals: spread(early, WorseEnd::Low),
            broken: of(WorseEnd::High, |run| run.broken as f64),
            run_twice: of(WorseEnd::High, |run| run.run_twice as f64),
        };
        Self {
            workload: workload.to_owned(),
            version: version.to_owned(),
            seeds: runs.len() as u64,
            swings,
            runs,
            summary,
        }
    }
}

fn spread(mut values: Vec<f64>, end: WorseEnd) -> Option<SpreadFigure> {
    values.sort_by(f64::total_cmp);
    let (first, last) = (*values.first()?, *values.last()?);
    let middle = values.len() / 2;
    let median = match values.len() % 2 {
        0 => (values[middle - 1] + values[middle]) / 2.0,
        _ => values[middle],
    };
    let worst = match end {
        WorseEnd::Low => first,
        WorseEnd::High => last,
    };
    Some(SpreadFigure { median, worst })
}

/// Prints the rows as a table; each figure is the median, then the worst.
pub(crate) fn print(rows: &[VersionRow]) {
    println!(
        "{:<11} {:<19} {:>15} {:>15} {:>13} {:>13} {:>7} {:>15} {:>15} {:>13} {:>11}",
        "workload",
        "version",
        "good/s",
        "good share",
        "worst team",
        "role changes",
        "swings",
        "engine-s/good",
        "early refusals",
        "broken",
        "run twice",
    );
    for row in rows {
        let summary = &row.summary;
        let early = summary.early_refusals;
        println!(
            "{:<11} {:<19} {:>15} {:>15} {:>13} {:>13} {:>7} {:>15} {:>15} {:>13} {:>11}",
            row.workload,
            row.version,
            pair(summary.good_per_sec, 2),
            pair(summary.good_share, 3),
            pair(summary.worst_team, 3),
            pair(summary.role_changes, 0),
            row.swings,
            pair(summary.engine_secs_per_good, 3),
            early.map_or_else(|| "none".to_owned(), |figure| pair(figure, 3)),
            pair(summary.broken, 0),
            pair(summary.run_twice, 0),
        );
    }
    println!("usage reports (late, differing): not measured by this command");
}

fn pair(figure: SpreadFigure, digits: usize) -> String {
    format!("{:.digits$} {:.digits$}", figure.median, figure.worst)
}
