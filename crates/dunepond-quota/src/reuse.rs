//! The time from which units that a broker gave up may be leased to another one, by the leader's clock.

/// Longest delays, in seconds on the leader's clock, including drift.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReuseDelays {
    /// Longest duration of a lease.
    pub lease_seconds: f64,
    /// Longest time that an action may be in flight after it was permitted.
    pub action_seconds: f64,
    /// Longest window over which a quota is counted: recent use still counts in it.
    pub window_seconds: f64,
}

/// A run of the broker to which this leader granted a lease. Times are in seconds on the leader's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrokerRun {
    /// When its last lease is over for certain.
    pub lease_over_at: f64,
    /// When it first reported that it acts on the smaller share; `None` if it has not yet.
    pub acknowledged_at: Option<f64>,
}

/// The time from which a share, whose shrink this leader saw committed at `seen`, is only used at its new size.
/// `leading_since` is when the leader's term began, `None` if it does not know.
pub fn reusable_from(
    seen: f64,
    leading_since: Option<f64>,
    runs: impl Iterator<Item = BrokerRun>,
    delays: ReuseDelays,
) -> f64 {
    let ReuseDelays { lease_seconds, action_seconds, window_seconds } = delays;
    let latest = seen + lease_seconds + action_seconds + window_seconds;
    // A lease of an earlier leader, which this one does not know, may still run.
    if leading_since.is_none_or(|since| seen - since < lease_seconds) {
        return latest;
    }
    let last_use = runs.map(|run| run.acknowledged_at.unwrap_or(run.lease_over_at)).fold(seen, f64::max);
    latest.min(last_use + action_seconds + window_seconds)
}
