//! How a cost grows with the number of brokers.

/// Growth slower than this power of the number is called flat, and faster than the next one linear.
const FLAT: f64 = 0.06;
const LINEAR: f64 = 0.85;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Cost goes as this power of the number of brokers.
    pub power: f64,
    pub name: &'static str,
}

/// Slope and the rest that it leaves, by least squares.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let across: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let slope = across / points.iter().map(|p| (p.0 - x).powi(2)).sum::<f64>();
    (slope, points.iter().map(|p| (p.1 - y - slope * (p.0 - x)).powi(2)).sum())
}

/// `points`: brokers and cost, both above 0; two at least.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let logs: Vec<_> = points.iter().map(|p| (p.0.ln(), p.1.ln())).collect();
    let (power, _) = line(&logs);
    // Each left over by its own scale, so that they can be compared.
    let spread = |points: &[(f64, f64)]| {
        let scale = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max).powi(2);
        line(points).1 / scale
    };
    let by_log: Vec<_> = points.iter().map(|p| (p.0.ln(), p.1)).collect();
    let name = match power {
        power if power < FLAT => "flat",
        power if power > LINEAR => "linear",
        _ if spread(&by_log) < spread(points) => "logarithmic",
        _ => "between logarithmic and linear",
    };
    Fit { power, name }
}

#[cfg(test)]
mod tests;
