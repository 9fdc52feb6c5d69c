//! When a part that went down may count at its new size: by the leader's clock.

/// Seconds on the leader's clock, drift included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReuseDelays {
    /// The longest that a lease may run.
    pub lease_seconds: f64,
    /// The longest that an act may be under way after it was judged.
    pub action_seconds: f64,
    /// The longest over which a bound is counted: what was used just before still fills it.
    pub window_seconds: f64,
}

/// A run of the broker to which this leader granted a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrokerRun {
    /// Its last lease is over by then.
    pub lease_over_at: f64,
    /// When it was first heard to act on the smaller part; `None`: never.
    pub acknowledged_at: Option<f64>,
}

/// From when on a smaller part, whose entry this leader saw agreed on at `seen`, is all that its broker uses. `led`: since
/// when it leads, `None` if it does not know.
pub fn reusable_from(
    seen: f64,
    led: Option<f64>,
    runs: impl Iterator<Item = BrokerRun>,
    waits: ReuseDelays,
) -> f64 {
    let ReuseDelays { lease_seconds: lease, action_seconds: acts, window_seconds: window } = waits;
    let late = seen + lease + acts + window;
    // A lease of another leader may run of which this one knows nothing.
    if led.is_none_or(|led| seen - led < lease) {
        return late;
    }
    let last = runs.map(|run| run.acknowledged_at.unwrap_or(run.lease_over_at)).fold(seen, f64::max);
    late.min(last + acts + window)
}
