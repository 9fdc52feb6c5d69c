//! Whether the fleet is pressed, by what its brokers say, with hysteresis: a plan must not stop and go by the second.

use std::collections::BTreeMap;

use crate::{AT_EASE, PRESSED};

/// What brokers said last, on the leader's clock.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    said: BTreeMap<String, (f64, bool)>,
    pressed: bool,
    /// Since when the share is beyond the mark that would turn it.
    since: Option<f64>,
}

impl Pressure {
    pub fn heard(&mut self, now: f64, broker: &str, pressed: bool) {
        self.said.insert(broker.to_string(), (now, pressed));
    }

    /// Share of the brokers that say so; of those that said anything in the last `within` seconds.
    pub fn share(&self) -> f64 {
        if self.said.is_empty() {
            return 0.0;
        }
        self.said.values().filter(|(_, pressed)| *pressed).count() as f64 / self.said.len() as f64
    }

    /// To be asked each turn. What was said longer than `within` seconds ago is forgotten.
    pub fn pressed(&mut self, now: f64, within: f64) -> bool {
        self.said.retain(|_, (at, _)| now - *at <= within);
        let share = self.share();
        let (beyond, lasts) =
            if self.pressed { (share <= AT_EASE.0, AT_EASE.1) } else { (share >= PRESSED.0, PRESSED.1) };
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

#[cfg(test)]
mod tests {
    use super::*;

    /// Seconds in which two of four brokers are pressed, and when it turns.
    fn turns(pressed: impl Fn(f64) -> bool) -> Vec<(f64, bool)> {
        let (mut pressure, mut was, mut turned) = (Pressure::default(), false, Vec::new());
        for tenth in 0..400 {
            let now = f64::from(tenth) / 10.0;
            for (n, broker) in ["a", "b", "c", "d"].iter().enumerate() {
                pressure.heard(now, broker, n < 2 && pressed(now));
            }
            let is = pressure.pressed(now, 3.0);
            if is != was {
                turned.push((now, is));
            }
            was = is;
        }
        turned
    }

    #[test]
    fn a_plan_does_not_stop_and_go_by_the_second() {
        assert_eq!(turns(|now| (10.0..20.0).contains(&now)), [(11.0, true), (25.0, false)]);
        // Half a second in each second is neither.
        assert_eq!(turns(|now| now.fract() < 0.5), []);
        assert_eq!(turns(|now| now < 5.0 || now.fract() < 0.5), [(1.0, true)]);
    }

    #[test]
    fn a_broker_that_is_gone_presses_no_more() {
        let mut pressure = Pressure::default();
        pressure.heard(0.0, "a", true);
        assert!(!pressure.pressed(0.0, 3.0));
        assert!(pressure.pressed(1.0, 3.0));
        assert!(pressure.pressed(4.0, 3.0));
        assert!(!pressure.pressed(9.0, 3.0));
    }
}
