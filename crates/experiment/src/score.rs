//! What is counted of a run; the definitions are in
//! [docs/design/experiment.md](../../../docs/design/experiment.md).

use std::collections::BTreeMap;

use applefold_core::unit::TimeSpan;
use serde::Serialize;

use crate::report::{self, ReportScore};
use crate::workload::{PhaseSpan, TEAM_SHARES};
use crate::world::World;

const WINDOW: TimeSpan = TimeSpan::from_secs(60);
const EARLY_PART: u64 = 4;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// Whole, and on time throughout.
    Good,
    /// Whole, and not on time.
    Late,
    /// Not whole, or its outcome unknown.
    Broken,
    /// Told that it has not run.
    Refused { after: TimeSpan },
}

/// The figures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RunScore {
    pub(crate) offered: u64,
    pub(crate) good: u64,
    pub(crate) late: u64,
    pub(crate) broken: u64,
    pub(crate) refused: u64,
    pub(crate) good_per_sec: f64,
    pub(crate) good_share: f64,
    /// The worst team's delivered work over its fair share.
    pub(crate) worst_team: f64,
    pub(crate) role_changes: u32,
    pub(crate) engine_secs_per_good: f64,
    /// `None` where nothing was refused.
    pub(crate) early_refusals: Option<f64>,
    pub(crate) run_twice: u64,
    pub(crate) reports: ReportScore,
    pub(crate) phases: Vec<PhaseScore>,
}

/// The figures of the requests that arrived in one phase of a run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct PhaseScore {
    pub(crate) phase: usize,
    pub(crate) offered: u64,
    pub(crate) good: u64,
    pub(crate) refused: u64,
}

impl PhaseScore {
    pub(crate) fn good_share(&self) -> f64 {
        self.good as f64 / self.offered.max(1) as f64
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamWork {
    offered: f64,
    good: f64,
}

impl RunScore {
    /// Counts a run that has ended.
    pub(crate) fn of(world: &World<'_>) -> Self {
        let mut score = Self {
            offered: world.rows.len() as u64,
            role_changes: world.control.role_changes,
            ..Self::default()
        };
        let mut early = 0;
        let mut model_good = 0;
        for (request, row) in world.rows.iter().enumerate() {
            let class = world.class(request);
            score.run_twice += u64::from(class.is_plain() && row.executions > 1);
            match row.outcome {
                Some(CallOutcome::Good) => {
                    score.good += 1;
                    model_good += u64::from(!class.is_plain());
                }
                Some(CallOutcome::Late) | None => score.late += 1,
                Some(CallOutcome::Broken) => score.broken += 1,
                Some(CallOutcome::Refused { after }) => {
                    score.refused += 1;
                    early += u64::from(after.0 * EARLY_PART <= class.first_within.0);
                }
            }
        }
        let paid = (0..world.engines.len()).map(|engine| world.paid_span(engine));
        let paid_secs: f64 = paid.map(TimeSpan::as_secs_f64).sum();
        score.good_per_sec = score.good as f64 / world.plan.span.as_secs_f64();
        score.good_share = score.good as f64 / score.offered.max(1) as f64;
        score.engine_secs_per_good = paid_secs / model_good.max(1) as f64;
        score.early_refusals = (score.refused > 0).then(|| early as f64 / score.refused as f64);
        score.worst_team = worst_team(world);
        score.phases = phase_scores(world);
        score.reports = report::simulate(world);
        score
    }
}

fn phase_scores(world: &World<'_>) -> Vec<PhaseScore> {
    let spans = world.plan.phases;
    let fresh = |span: &PhaseSpan| PhaseScore {
        phase: span.phase,
        ..PhaseScore::default()
    };
    let mut scores: Vec<PhaseScore> = spans.iter().map(fresh).collect();
    for (request, row) in world.rows.iter().enumerate() {
        let at = world.offered(request).at;
        let place = spans.partition_point(|span| span.end <= at);
        if let Some(score) = scores.get_mut(place) {
            score.offered += 1;
            score.good += u64::from(row.outcome == Some(CallOutcome::Good));
            let refused = matches!(row.outcome, Some(CallOutcome::Refused { .. }));
            score.refused += u64::from(refused);
        }
    }
    scores
}

fn worst_team(world: &World<'_>) -> f64 {
    let mut windows: BTreeMap<u64, Vec<TeamWork>> = BTreeMap::new();
    for (request, row) in world.rows.iter().enumerate() {
        let offered = world.offered(request);
        let window = windows
            .entry(offered.at.0 / WINDOW.0)
            .or_insert_with(|| vec![TeamWork::default(); TEAM_SHARES.len()]);
        let work = offered.work_secs();
        window[offered.team].offered += work;
        if row.outcome == Some(CallOutcome::Good) {
            window[offered.team].good += work;
        }
    }
    let mut delivered = vec![0.0; TEAM_SHARES.len()];
    let mut due = vec![0.0; TEAM_SHARES.len()];
    for window in windows.values() {
        let fair = fair_shares(window);
        for (team, work) in window.iter().enumerate() {
            delivered[team] += work.good.min(fair[team]);
            due[team] += fair[team];
        }
    }
    let ratios = delivered.iter().zip(&due);
    let known = ratios.filter(|(_, due)| **due > 0.0);
    known.map(|(got, due)| got / due).fold(1.0, f64::min)
}

/// Shares out what was delivered, max-min fairly over what was offered.
fn fair_shares(window: &[TeamWork]) -> Vec<f64> {
    let mut left: f64 = window.iter().map(|work| work.good).sum();
    let mut teams: Vec<usize> = (0..window.len()).collect();
    teams.sort_by(|a, b| window[*a].offered.total_cmp(&window[*b].offered));
    let mut shares = vec![0.0; window.len()];
    let mut waiting = teams.len();
    for team in teams {
        let part = left / waiting as f64;
        shares[team] = window[team].offered.min(part);
        left -= shares[team];
        waiting -= 1;
    }
    shares
}
