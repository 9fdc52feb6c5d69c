//! How much of a bound a broker would use, from what it used and what it was refused.

use crate::TOTAL_UNITS;

/// What the newest sample weighs: a third of what came before is left after four.
const NEWEST: f64 = 0.25;
/// Refusals are the same few parts that ask again and again: what they add is at most this multiple of the use.
const REFUSED: f64 = 1.0;

/// Of one bound at one broker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Share of the whole; nothing before the first sample.
    smoothed: Option<f64>,
}

impl Demand {
    /// Since the sample before: what was used, as a share of the whole; how much was refused beyond it; and the share of the
    /// whole that this broker has, as who has next to nothing can use no more.
    pub fn record_sample(&mut self, used: f64, refused: f64, has: f64) {
        let ok = |value: f64| if value.is_finite() { value.max(0.0) } else { 0.0 };
        let (used, has) = (ok(used), ok(has));
        let new = used + ok(refused).min(REFUSED * used.max(has));
        let before = self.smoothed.unwrap_or(new);
        self.smoothed = Some(before + NEWEST * (new - before));
    }

    /// Units.
    pub fn units(&self) -> u32 {
        (self.smoothed.unwrap_or(0.0) * f64::from(TOTAL_UNITS)).clamp(0.0, f64::from(TOTAL_UNITS)) as u32
    }
}
