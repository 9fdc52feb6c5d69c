//! The network between brokers: it loses, doubles, delays and reorders, and it is cut, one way or between sides.

use rand::RngExt;

use crate::fleet::Fleet;

/// What a slow broker's links lose, and how much longer they take, seconds.
const SLOW: (f64, f64) = (0.2, 0.8);

impl Fleet {
    /// Seconds after which each copy comes; none if it is lost. What a broker says to itself comes at once.
    pub(crate) fn copies(&mut self, from: usize, to: usize) -> (Option<f64>, Option<f64>) {
        if from == to {
            return (Some(0.0), None);
        }
        let slow = [from, to].iter().any(|n| self.slow == Some(*n));
        let (loss, more) = if slow { SLOW } else { (self.loss, 0.0) };
        let apart = self.sides[from] != self.sides[to] || self.cut.contains(&(from, to));
        if apart || self.rng.random::<f64>() < loss {
            return (None, None);
        }
        let (least, most) = (more + self.delay.0, more + self.delay.1);
        let (first, again) = (self.rng.random_range(least..most), self.rng.random_range(least..most));
        (Some(first), (self.rng.random::<f64>() < self.double).then_some(again))
    }

    /// Nothing is cut, one way or both.
    pub fn is_whole(&self) -> bool {
        self.cut.is_empty() && self.sides.iter().all(|side| *side == 0)
    }
}
