//! When units that a broker gave up may be leased to another one, by the leader's clock.

/// Longest delays, in seconds on the leader's clock, drift included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReuseDelays {
    /// A lease may run for so long.
    pub lease_seconds: f64,
    /// An action may be in flight for so long after it was permitted.
    pub action_seconds: f64,
    /// A quota is counted over so long: what was used just before still fills the window.
    pub window_seconds: f64,
}

/// A run of the broker to which this leader granted a lease. Times are seconds on the leader's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrokerRun {
    /// Its last lease is over by then.
    pub lease_over_at: f64,
    /// It was first heard to act on the smaller share; `None`: not yet.
    pub acknowledged_at: Option<f64>,
}

/// From when on a share whose shrink this leader saw committed at `seen` is used at its new size only. `leading_since` is
/// when the leader's term began, `None` if it does not know.
pub fn reusable_from(
    seen: f64,
    leading_since: Option<f64>,
    runs: impl Iterator<Item = BrokerRun>,
    delays: ReuseDelays,
) -> f64 {
    let ReuseDelays { lease_seconds, action_seconds, window_seconds } = delays;
    let latest = seen + lease_seconds + action_seconds + window_seconds;
    // A lease of an earlier leader, unknown to this one, may still run.
    if leading_since.is_none_or(|since| seen - since < lease_seconds) {
        return latest;
    }
    let last_use = runs.map(|run| run.acknowledged_at.unwrap_or(run.lease_over_at)).fold(seen, f64::max);
    latest.min(last_use + action_seconds + window_seconds)
}
