//! Computes from what time, on the leader's clock, the units that a broker lost when its share shrank may be leased to
//! another broker.

/// Upper bounds on how long a broker may go on using the old size of a share that shrank, in seconds on the leader's
/// clock, including clock drift.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReuseDelays {
    /// Longest duration of a lease.
    pub lease_seconds: f64,
    /// Longest time for which an action that uses the quota may still be in progress after the broker permitted it.
    pub action_seconds: f64,
    /// Longest window over which a quota is counted: use before the shrink counts until it has left the window.
    pub window_seconds: f64,
}

/// A process of a broker to which this leader granted a lease; each restart of the broker starts another process. Times
/// are in seconds on the leader's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeasedProcess {
    /// Time at which the last lease of this broker process has certainly expired.
    pub lease_over_at: f64,
    /// Time at which this broker process first reported that it uses only the smaller share; `None` if it has not
    /// reported so.
    pub acknowledged_at: Option<f64>,
}

/// Returns the time from which a share that shrank is certainly used at its new size only. `shrink_seen_at` is when
/// this leader saw the shrink committed; `leading_since` is when the leader's term began, or `None` if that is not
/// known; `processes` are those of the broker to which this leader granted leases. Times are in seconds on the
/// leader's clock.
pub fn reusable_from(
    shrink_seen_at: f64,
    leading_since: Option<f64>,
    processes: impl Iterator<Item = LeasedProcess>,
    delays: ReuseDelays,
) -> f64 {
    let ReuseDelays { lease_seconds, action_seconds, window_seconds } = delays;
    let latest = shrink_seen_at + lease_seconds + action_seconds + window_seconds;
    // A lease that an earlier leader granted, which this leader does not know of, may still be valid.
    if leading_since.is_none_or(|since| shrink_seen_at - since < lease_seconds) {
        return latest;
    }
    let last_use = processes
        .map(|process| process.acknowledged_at.unwrap_or(process.lease_over_at))
        .fold(shrink_seen_at, f64::max);
    latest.min(last_use + action_seconds + window_seconds)
}
