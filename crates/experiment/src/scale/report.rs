use std::fmt;

use serde::Serialize;

use super::capacity::CapacityModel;
use super::fit::{GrowthFit, GrowthPoint, GrowthShape};
use super::probe::ScaleSeries;

/// The series with the lines fitted to them.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ScaleReport {
    series: Vec<ScaleLine>,
    capacity: CapacityModel,
}

#[derive(Clone, Debug, Serialize)]
struct ScaleLine {
    #[serde(flatten)]
    series: ScaleSeries,
    bytes_fit: GrowthFit,
    nanos_fit: GrowthFit,
}

impl ScaleReport {
    pub(crate) fn new(series: Vec<ScaleSeries>) -> Self {
        let capacity = CapacityModel::new(&series);
        let lines = series.into_iter().map(|series| ScaleLine {
            bytes_fit: series.bytes_fit(),
            nanos_fit: series.nanos_fit(),
            series,
        });
        Self {
            series: lines.collect(),
            capacity,
        }
    }
}

impl fmt::Display for ScaleReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| table | row | bytes a row | r² | decision | time at smallest to largest | growth | r² |"
        )?;
        writeln!(f, "| --- | --- | ---: | ---: | --- | --- | --- | ---: |")?;
        for line in &self.series {
            let plan = line.series.plan;
            writeln!(
                f,
                "| {} | {} | {:.0} | {:.3} | {} | {} | {} | {:.3} |",
                plan.table,
                plan.row,
                line.bytes_fit.slope,
                line.bytes_fit.r_squared,
                plan.event,
                ends(&line.series.nanos),
                growth(&line.nanos_fit),
                line.nanos_fit.r_squared,
            )?;
        }
        write!(f, "\n{}", self.capacity)
    }
}

fn ends(points: &[GrowthPoint]) -> String {
    let end = |point: Option<&GrowthPoint>| {
        point.map_or(String::new(), |point| {
            format!("{:.2} us at {}", point.value / 1e3, point.rows)
        })
    };
    format!("{}, {}", end(points.first()), end(points.last()))
}

fn growth(fit: &GrowthFit) -> String {
    match fit.shape {
        GrowthShape::Linear => format!("{:.1} ns a row", fit.slope),
        GrowthShape::Logarithmic => format!("{:.0} ns for each e-fold", fit.slope),
    }
}
