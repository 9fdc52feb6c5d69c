//! Slow start of nodes: how much fills may send to a node that was started not long ago.

use dunepond_settlement::{NodeCapacity, max_slow_start_units};

/// Unit in which the bytes that a warming node is sent are counted.
pub const COUNTING_UNIT_BYTES: u64 = 64 * 1024;

/// A node that was started not long ago.
#[derive(Clone, Debug, PartialEq)]
pub struct StartedNode {
    /// Its name in the endpoint list.
    pub node: String,
    /// From the endpoint list, so the same at each broker; another one with each start.
    pub incarnation: u64,
    /// When it was started, in seconds on the monotonic clock.
    pub started_at: f64,
}

/// How a deployment limits what is sent to nodes in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartPolicy {
    /// Ratio of its capacity that it has at its start.
    pub initial_share: f64,
    /// Seconds after its start when it has all of it.
    pub warm_up_seconds: f64,
    /// Multiple of its present capacity that it is sent at most.
    pub capacity_multiple: f64,
    /// Window over which that is counted, in seconds.
    pub window_seconds: f64,
}

impl SlowStartPolicy {
    /// What fills may send to a node of this age in seconds: from all brokers together at most `multiple` times its present
    /// share of `rate` (bytes a second of a warm node). `capacity_ratio` is the part of it that the caller may use. The margin
    /// for random variation above it is left to queries.
    pub fn fill_capacity(&self, age: f64, multiple: f64, rate: f64, capacity_ratio: f64) -> NodeCapacity {
        let warmth = (age / self.warm_up_seconds).clamp(0.0, 1.0);
        let share = self.initial_share + (1.0 - self.initial_share) * warmth;
        let expected_units =
            multiple * share * rate * self.window_seconds / COUNTING_UNIT_BYTES as f64 * capacity_ratio;
        NodeCapacity { expected_units, used_units: max_slow_start_units(expected_units) - expected_units }
    }
}

#[cfg(test)]
mod tests;
