//! What a broker may use of a bound, asked at each act.

use crate::{Allocation, SharedQuotas};

/// What a broker goes by that its own file and start say. Seconds on its own clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalQuota {
    /// Units that it has without any lease.
    pub floor_units: u32,
    /// When this run started, and for how long after it has nothing: what the run before it used is not known, and still
    /// counts for one window.
    pub started_at: f64,
    pub window_seconds: f64,
}

impl LocalQuota {
    pub fn new(bounds: &SharedQuotas, started_at: f64) -> Self {
        Self {
            floor_units: bounds.floor_units,
            started_at,
            window_seconds: bounds.window_millis as f64 / 1e3,
        }
    }

    /// Units of `bound` at `now`. `told`: the last that was heard in this run; `live`: under a lease that is good at `now`.
    pub fn available_units(&self, told: Option<&Allocation>, live: bool, bound: &str, now: f64) -> u32 {
        if now < self.started_at + self.window_seconds {
            return 0;
        }
        let Some(told) = told else { return self.floor_units };
        if !told.admitted {
            // One more than may exist: the floors are the others'.
            return 0;
        }
        let floor = self.floor_units.min(told.floor_units);
        let leased = told.leased_units.get(bound).copied().filter(|_| live).unwrap_or(0);
        floor + leased
    }
}
