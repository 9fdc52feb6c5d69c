//! Fits a power law to costs and classifies how they grow with the number of brokers.

/// Exponent below which growth is classified as flat.
const MAX_FLAT_EXPONENT: f64 = 0.06;
/// Exponent above which growth is classified as linear.
const MIN_LINEAR_EXPONENT: f64 = 0.85;

/// Growth of a cost with the size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrowthFit {
    /// Exponent x where the cost grows as the number of brokers to the power of x.
    pub exponent: f64,
    /// Class of the growth: flat, logarithmic, linear, or between logarithmic and linear.
    pub growth: &'static str,
}

/// Fits a line by least squares and returns its slope and the sum of squared residuals.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean = |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let covariance_sum: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let slope = covariance_sum / points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    (slope, points.iter().map(|p| (p.1 - mean_y - slope * (p.0 - mean_x)).powi(2)).sum())
}

/// Fits the growth of a cost. Each point is a number of brokers and the cost, both above 0; at least two points are needed.
pub fn fit_growth(points: &[(f64, f64)]) -> GrowthFit {
    let logs: Vec<_> = points.iter().map(|p| (p.0.ln(), p.1.ln())).collect();
    let (exponent, _) = fit_line(&logs);
    // Residuals relative to the largest value, so that fits over different sets of points can be compared.
    let relative_residual = |points: &[(f64, f64)]| {
        let scale = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max).powi(2);
        fit_line(points).1 / scale
    };
    let by_log: Vec<_> = points.iter().map(|p| (p.0.ln(), p.1)).collect();
    let growth = match exponent {
        exponent if exponent < MAX_FLAT_EXPONENT => "flat",
        exponent if exponent > MIN_LINEAR_EXPONENT => "linear",
        _ if relative_residual(&by_log) < relative_residual(points) => "logarithmic",
        _ => "between logarithmic and linear",
    };
    GrowthFit { exponent, growth }
}

#[cfg(test)]
mod tests;
