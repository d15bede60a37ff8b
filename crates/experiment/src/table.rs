//! The table of a measurement, as text and as JSON.

use serde::Serialize;

use crate::score::RunScore;

/// The phases of naive runs with a smaller share of good answers are overloaded.
const OVERLOADED_BELOW: f64 = 0.95;

/// What a row is about.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RowLabel {
    pub(crate) workload: String,
    pub(crate) version: String,
}

/// One version on one workload, over all seeds.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct VersionRow {
    pub(crate) label: RowLabel,
    pub(crate) seeds: u64,
    pub(crate) runs: Vec<RunScore>,
    pub(crate) summary: VersionSummary,
}

/// Median and worst over the seeds.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct VersionSummary {
    pub(crate) good_per_sec: SpreadFigure,
    pub(crate) good_share: SpreadFigure,
    pub(crate) worst_team: SpreadFigure,
    /// Good answers over naive's, in the phases in which naive is overloaded.
    pub(crate) overload_gain: Option<SpreadFigure>,
    /// Good answers over naive's, in the other phases.
    pub(crate) steady_gain: Option<SpreadFigure>,
    pub(crate) role_changes: SpreadFigure,
    /// Role changes for each true swing.
    pub(crate) changes_per_swing: Option<SpreadFigure>,
    pub(crate) engine_secs_per_good: SpreadFigure,
    pub(crate) early_refusals: Option<SpreadFigure>,
    pub(crate) broken: SpreadFigure,
    pub(crate) run_twice: SpreadFigure,
    pub(crate) reports: SpreadFigure,
    pub(crate) late_reports: SpreadFigure,
    pub(crate) differing_reports: SpreadFigure,
    pub(crate) miscounted: SpreadFigure,
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
    pub(crate) fn new(
        label: RowLabel,
        swings: &[u32],
        naive: &[RunScore],
        runs: Vec<RunScore>,
    ) -> Self {
        let of = |end, figure: fn(&RunScore) -> f64| {
            spread(runs.iter().map(figure).collect(), end).unwrap_or(SpreadFigure {
                median: 0.0,
                worst: 0.0,
            })
        };
        let pairs = || naive.iter().zip(&runs);
        let overload = pairs().filter_map(|(naive, run)| gain(naive, run, true));
        let steady = pairs().filter_map(|(naive, run)| gain(naive, run, false));
        let swung = swings.iter().zip(&runs).filter(|(swings, _)| **swings > 0);
        let per_swing = swung.map(|(swings, run)| f64::from(run.role_changes) / f64::from(*swings));
        let early = runs.iter().filter_map(|run| run.early_refusals).collect();
        let summary = VersionSummary {
            good_per_sec: of(WorseEnd::Low, |run| run.good_per_sec),
            good_share: of(WorseEnd::Low, |run| run.good_share),
            worst_team: of(WorseEnd::Low, |run| run.worst_team),
            overload_gain: spread(overload.collect(), WorseEnd::Low),
            steady_gain: spread(steady.collect(), WorseEnd::Low),
            changes_per_swing: spread(per_swing.collect(), WorseEnd::High),
            role_changes: of(WorseEnd::High, |run| f64::from(run.role_changes)),
            engine_secs_per_good: of(WorseEnd::High, |run| run.engine_secs_per_good),
            early_refusals: spread(early, WorseEnd::Low),
            broken: of(WorseEnd::High, |run| run.broken as f64),
            run_twice: of(WorseEnd::High, |run| run.run_twice as f64),
            reports: of(WorseEnd::Low, |run| run.reports.reports as f64),
            late_reports: of(WorseEnd::High, |run| run.reports.late as f64),
            miscounted: of(WorseEnd::High, |run| run.reports.miscounted as f64),
            differing_reports: of(WorseEnd::High, |run| run.reports.differing as f64),
        };
        Self {
            label,
            seeds: runs.len() as u64,
            runs,
            summary,
        }
    }
}

/// Good answers over naive's, in the phases in which naive is or is not overloaded.
fn gain(naive: &RunScore, run: &RunScore, overloaded: bool) -> Option<f64> {
    let phases = naive.phases.iter().zip(&run.phases);
    let chosen = phases.filter(|(naive, _)| {
        let short = naive.good_share() < OVERLOADED_BELOW;
        naive.offered > 0 && short == overloaded
    });
    let (mut theirs, mut ours, mut any) = (0, 0, false);
    for (naive, run) in chosen {
        theirs += naive.good;
        ours += run.good;
        any = true;
    }
    any.then(|| ours as f64 / theirs.max(1) as f64)
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

const HEADINGS: [&str; 15] = [
    "good/s",
    "good share",
    "x naive over",
    "x naive else",
    "worst team",
    "role changes",
    "per swing",
    "engine-s/good",
    "early refusals",
    "broken",
    "run twice",
    "reports",
    "late",
    "differing",
    "miscounted",
];

/// Prints the rows as a table; each figure is the median, then the worst.
pub(crate) fn print(rows: &[VersionRow]) {
    print!("{:<11} {:<19}", "workload", "version");
    for heading in HEADINGS {
        print!(" {heading:>15}");
    }
    println!();
    for row in rows {
        print!("{:<11} {:<19}", row.label.workload, row.label.version);
        for cell in cells(&row.summary) {
            print!(" {cell:>15}");
        }
        println!();
    }
}

fn cells(summary: &VersionSummary) -> [String; HEADINGS.len()] {
    [
        pair(Some(summary.good_per_sec), 2),
        pair(Some(summary.good_share), 3),
        pair(summary.overload_gain, 2),
        pair(summary.steady_gain, 3),
        pair(Some(summary.worst_team), 3),
        pair(Some(summary.role_changes), 0),
        pair(summary.changes_per_swing, 1),
        pair(Some(summary.engine_secs_per_good), 3),
        pair(summary.early_refusals, 3),
        pair(Some(summary.broken), 0),
        pair(Some(summary.run_twice), 0),
        pair(Some(summary.reports), 0),
        pair(Some(summary.late_reports), 0),
        pair(Some(summary.differing_reports), 0),
        pair(Some(summary.miscounted), 0),
    ]
}

fn pair(figure: Option<SpreadFigure>, digits: usize) -> String {
    let Some(figure) = figure else {
        return "none".to_owned();
    };
    format!("{:.digits$} {:.digits$}", figure.median, figure.worst)
}
