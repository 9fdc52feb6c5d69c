//! Tests of the fit with costs whose growth is known.

use super::fit_growth;

const SIZES: [f64; 6] = [10.0, 30.0, 100.0, 300.0, 1000.0, 3000.0];

#[test]
fn growth_kinds_are_classified() {
    let fit_cost = |cost: fn(f64) -> f64| fit_growth(&SIZES.map(|n| (n, cost(n))));
    assert_eq!(fit_cost(|_| 5.0).growth, "flat");
    assert_eq!(fit_cost(|n| 2.0 + n.ln()).growth, "logarithmic");
    assert_eq!(fit_cost(|n| 3.0 * n).growth, "linear");
    assert!((fit_cost(|n| 3.0 * n).exponent - 1.0).abs() < 1e-9);
    assert_eq!(fit_cost(|n| 1.0 + 0.05 * n).growth, "between logarithmic and linear");
}
