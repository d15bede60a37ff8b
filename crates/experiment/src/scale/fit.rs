use serde::Serialize;

/// How a quantity grows with the number of rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum GrowthShape {
    /// In proportion to the rows.
    Linear,
    /// In proportion to the logarithm of the rows.
    Logarithmic,
}

/// A line through measured points by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct GrowthFit {
    pub(crate) shape: GrowthShape,
    pub(crate) start: f64,
    pub(crate) slope: f64,
    pub(crate) r_squared: f64,
}

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct GrowthPoint {
    pub(crate) rows: u64,
    pub(crate) value: f64,
}

impl GrowthFit {
    /// Fits a straight line over the rows.
    pub(crate) fn linear(points: &[GrowthPoint]) -> Self {
        Self::over(points, GrowthShape::Linear)
    }

    /// Fits both shapes and returns the one that leaves less unexplained.
    pub(crate) fn best(points: &[GrowthPoint]) -> Self {
        let linear = Self::linear(points);
        let logarithmic = Self::over(points, GrowthShape::Logarithmic);
        match logarithmic.r_squared > linear.r_squared {
            true => logarithmic,
            false => linear,
        }
    }

    /// Returns what the line says of `rows`.
    pub(crate) fn at(&self, rows: u64) -> f64 {
        let x = match self.shape {
            GrowthShape::Linear => rows as f64,
            GrowthShape::Logarithmic => (rows as f64).ln(),
        };
        self.start + self.slope * x
    }

    fn over(points: &[GrowthPoint], shape: GrowthShape) -> Self {
        let abscissa = |point: &GrowthPoint| match shape {
            GrowthShape::Linear => point.rows as f64,
            GrowthShape::Logarithmic => (point.rows as f64).ln(),
        };
        let count = points.len() as f64;
        let mean_x = points.iter().map(abscissa).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.value).sum::<f64>() / count;
        let mut cross = 0.0;
        let mut square_x = 0.0;
        let mut square_y = 0.0;
        for point in points {
            let x = abscissa(point) - mean_x;
            let y = point.value - mean_y;
            cross += x * y;
            square_x += x * x;
            square_y += y * y;
        }
        let slope = cross / square_x;
        Self {
            shape,
            start: mean_y - slope * mean_x,
            slope,
            r_squared: cross * cross / (square_x * square_y),
        }
    }
}
