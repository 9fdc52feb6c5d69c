//! Fits of costs whose growth is known.

use super::fit;

const SIZES: [f64; 6] = [10.0, 30.0, 100.0, 300.0, 1000.0, 3000.0];

#[test]
fn growth_kinds_are_classified() {
    let of = |cost: fn(f64) -> f64| fit(&SIZES.map(|n| (n, cost(n))));
    assert_eq!(of(|_| 5.0).name, "flat");
    assert_eq!(of(|n| 2.0 + n.ln()).name, "logarithmic");
    assert_eq!(of(|n| 3.0 * n).name, "linear");
    assert!((of(|n| 3.0 * n).power - 1.0).abs() < 1e-9);
    assert_eq!(of(|n| 1.0 + 0.05 * n).name, "between logarithmic and linear");
}
