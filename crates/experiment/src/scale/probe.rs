use std::fs;
use std::time::Instant;

use eyre::WrapErr;
use serde::Serialize;

use super::fit::{GrowthFit, GrowthPoint};

const STATM: &str = "/proc/self/statm";
const PAGE_BYTES: u64 = 4_096;
const RESIDENT_FIELD: usize = 1;
/// Tables are repeated up to so many rows, so that the pages of small ones can be counted.
const ROWS_FOR_BYTES: u64 = 20_000;
const BATCHES: usize = 31;
const BATCH_MICROS: u128 = 4_000;
const NANOS_PER_SEC: f64 = 1e9;

/// What a table holds and is asked for.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct SeriesPlan {
    /// The table.
    pub(crate) table: &'static str,
    /// What one row stands for.
    pub(crate) row: &'static str,
    /// The decision that is timed.
    pub(crate) event: &'static str,
    /// The sizes measured, in rows.
    #[serde(skip)]
    pub(crate) sizes: &'static [u64],
}

/// What was measured of a table.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ScaleSeries {
    #[serde(flatten)]
    pub(crate) plan: SeriesPlan,
    pub(crate) bytes: Vec<GrowthPoint>,
    pub(crate) nanos: Vec<GrowthPoint>,
}

impl ScaleSeries {
    pub(crate) fn bytes_fit(&self) -> GrowthFit {
        GrowthFit::linear(&self.bytes)
    }

    /// Returns the time between the measured points, or on the fitted line beyond them.
    pub(crate) fn nanos_at(&self, rows: u64) -> f64 {
        let above = self.nanos.iter().position(|point| point.rows >= rows);
        let Some(above) = above else {
            return self.nanos_fit().at(rows);
        };
        let high = self.nanos[above];
        let low = self.nanos[above.saturating_sub(1)];
        if high.rows == low.rows {
            return high.value;
        }
        let part = rows.saturating_sub(low.rows) as f64 / (high.rows - low.rows) as f64;
        low.value + part * (high.value - low.value)
    }

    pub(crate) fn nanos_fit(&self) -> GrowthFit {
        GrowthFit::best(&self.nanos)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeTurn {
    Bytes,
    Time,
}

/// Grows tables and measures them, in one turn their memory and in the next their time.
#[derive(Debug)]
pub(crate) struct ScaleProbe {
    turn: ProbeTurn,
    next: usize,
    series: Vec<ScaleSeries>,
}

impl ScaleProbe {
    pub(crate) fn for_bytes() -> Self {
        Self {
            turn: ProbeTurn::Bytes,
            next: 0,
            series: Vec::new(),
        }
    }

    pub(crate) fn turn_to_time(&mut self) {
        self.turn = ProbeTurn::Time;
        self.next = 0;
    }

    pub(crate) fn into_series(self) -> Vec<ScaleSeries> {
        self.series
    }

    /// Measures a table that `build` fills with rows and `decide` is asked of.
    pub(crate) fn measure<T, B, D>(
        &mut self,
        plan: SeriesPlan,
        build: B,
        decide: D,
    ) -> eyre::Result<()>
    where
        B: Fn(u64) -> T,
        D: Fn(&mut T, u64),
    {
        match self.turn {
            ProbeTurn::Bytes => self.push(plan, bytes_of(plan.sizes, build)?),
            ProbeTurn::Time => self.note_time(nanos_of(plan.sizes, build, decide)),
        }
        Ok(())
    }

    /// Measures a text, whose size is its length.
    pub(crate) fn measure_text<B, D>(&mut self, plan: SeriesPlan, build: B, decide: D)
    where
        B: Fn(u64) -> String,
        D: Fn(&mut String, u64),
    {
        match self.turn {
            ProbeTurn::Bytes => {
                let points = plan.sizes.iter().map(|&rows| GrowthPoint {
                    rows,
                    value: build(rows).len() as f64,
                });
                self.push(plan, points.collect());
            }
            ProbeTurn::Time => self.note_time(nanos_of(plan.sizes, build, decide)),
        }
    }

    fn push(&mut self, plan: SeriesPlan, bytes: Vec<GrowthPoint>) {
        self.series.push(ScaleSeries {
            plan,
            bytes,
            nanos: Vec::new(),
        });
    }

    fn note_time(&mut self, nanos: Vec<GrowthPoint>) {
        self.series[self.next].nanos = nanos;
        self.next += 1;
    }
}

/// What was measured is kept for good, so that the next measurement takes fresh pages.
fn bytes_of<T, B>(sizes: &[u64], build: B) -> eyre::Result<Vec<GrowthPoint>>
where
    B: Fn(u64) -> T,
{
    let mut points = Vec::new();
    for &rows in sizes {
        let copies = (ROWS_FOR_BYTES / rows).max(1);
        let before = resident_bytes()?;
        let tables: Vec<T> = (0..copies).map(|_| build(rows)).collect();
        let taken = resident_bytes()?.saturating_sub(before);
        std::mem::forget(tables);
        points.push(GrowthPoint {
            rows,
            value: taken as f64 / copies as f64,
        });
    }
    Ok(points)
}

fn resident_bytes() -> eyre::Result<u64> {
    let text = fs::read_to_string(STATM).wrap_err_with(|| format!("could not read {STATM}"))?;
    let field = text.split_whitespace().nth(RESIDENT_FIELD);
    let pages: u64 = field
        .unwrap_or_default()
        .parse()
        .wrap_err_with(|| format!("could not read the resident pages in {STATM}"))?;
    Ok(pages * PAGE_BYTES)
}

/// Returns the median over batches of the mean time of a decision.
fn nanos_of<T, B, D>(sizes: &[u64], build: B, decide: D) -> Vec<GrowthPoint>
where
    B: Fn(u64) -> T,
    D: Fn(&mut T, u64),
{
    let measured = sizes.iter().map(|&rows| {
        let mut table = build(rows);
        let mut turn = 0;
        let mut means: Vec<f64> = (0..BATCHES)
            .map(|_| batch_mean(&mut table, &mut turn, &decide))
            .collect();
        means.sort_by(f64::total_cmp);
        GrowthPoint {
            rows,
            value: means[BATCHES / 2],
        }
    });
    measured.collect()
}

fn batch_mean<T, D>(table: &mut T, turn: &mut u64, decide: &D) -> f64
where
    D: Fn(&mut T, u64),
{
    let start = Instant::now();
    let first = *turn;
    while start.elapsed().as_micros() < BATCH_MICROS {
        for _ in 0..8 {
            decide(table, *turn);
            *turn += 1;
        }
    }
    start.elapsed().as_secs_f64() * NANOS_PER_SEC / (*turn - first) as f64
}
