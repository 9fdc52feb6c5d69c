//! Whether the fleet is overloaded, by its brokers' reports, with hysteresis: a plan must not pause and resume every second.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

/// From this ratio of overloaded brokers on, for so long, plans pause.
const PAUSE_RATIO: f64 = 0.3;
const PAUSE_SECONDS: f64 = 1.0;
/// Down to this ratio, for so long, they resume.
const RESUME_RATIO: f64 = 0.1;
const RESUME_SECONDS: f64 = 5.0;

/// The brokers' last reports, by the leader's clock.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    said: BTreeMap<String, (f64, bool)>,
    pressed: bool,
    /// Since when the ratio is beyond the threshold of a change.
    since: Option<f64>,
}

impl Pressure {
    /// Takes a broker's report.
    pub fn heard(&mut self, now: f64, broker: &str, pressed: bool) {
        self.said.insert(broker.to_string(), (now, pressed));
    }

    /// Ratio of the brokers that report overload, of those with a recent report.
    pub fn share(&self) -> f64 {
        if self.said.is_empty() {
            return 0.0;
        }
        self.said.values().filter(|(_, pressed)| *pressed).count() as f64 / self.said.len() as f64
    }

    /// Whether plans have to pause; to be called each turn. Reports older than `within` seconds are dropped.
    pub fn pressed(&mut self, now: f64, within: f64) -> bool {
        self.said.retain(|_, (at, _)| now - *at <= within);
        let share = self.share();
        let (beyond, lasts) = if self.pressed {
            (share <= RESUME_RATIO, RESUME_SECONDS)
        } else {
            (share >= PAUSE_RATIO, PAUSE_SECONDS)
        };
        if !beyond {
            self.since = None;
            return self.pressed;
        }
        let since = *self.since.get_or_insert(now);
        if now - since >= lasts {
            (self.pressed, self.since) = (!self.pressed, None);
        }
        self.pressed
    }
}
