//! What a broker may use of a bound, asked at each act.

use crate::{Bounds, Told};

/// What a broker goes by that its own file and start say. Seconds on its own clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Own {
    /// Units that it has without any lease.
    pub floor: u32,
    /// When this run started, and for how long after it has nothing: what the run before it used is not known, and still
    /// counts for one window.
    pub started: f64,
    pub window: f64,
}

impl Own {
    pub fn new(bounds: &Bounds, started: f64) -> Self {
        Self { floor: bounds.floor, started, window: bounds.window as f64 / 1e3 }
    }

    /// Units of `bound` at `now`. `told`: the last that was heard in this run; `live`: under a lease that is good at `now`.
    pub fn part(&self, told: Option<&Told>, live: bool, bound: &str, now: f64) -> u32 {
        if now < self.started + self.window {
            return 0;
        }
        let Some(told) = told else { return self.floor };
        if !told.counted {
            // One more than may exist: the floors are the others'.
            return 0;
        }
        let floor = self.floor.min(told.floor);
        let leased = told.parts.get(bound).copied().filter(|_| live).unwrap_or(0);
        floor + leased
    }
}
