//! When a part that went down may count at its new size: by the leader's clock.

/// Seconds on the leader's clock, drift included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waits {
    /// The longest that a lease may run.
    pub lease: f64,
    /// The longest that an act may be under way after it was judged.
    pub acts: f64,
    /// The longest over which a bound is counted: what was used just before still fills it.
    pub window: f64,
}

/// A run of the broker to which this leader granted a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Run {
    /// Its last lease is over by then.
    pub over: f64,
    /// When it was first heard to act on the smaller part; `None`: never.
    pub acked: Option<f64>,
}

/// From when on a smaller part, whose entry this leader saw agreed on at `seen`, is all that its broker uses. `led`: since
/// when it leads, `None` if it does not know.
pub fn settled_from(seen: f64, led: Option<f64>, runs: impl Iterator<Item = Run>, waits: Waits) -> f64 {
    let Waits { lease, acts, window } = waits;
    let late = seen + lease + acts + window;
    // A lease of another leader may run of which this one knows nothing.
    if led.is_none_or(|led| seen - led < lease) {
        return late;
    }
    let last = runs.map(|run| run.acked.unwrap_or(run.over)).fold(seen, f64::max);
    late.min(last + acts + window)
}
