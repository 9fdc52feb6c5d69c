//! Slow start of nodes: how much fills may bring to a node that was started not long ago.

use dunepond_settlement::{NodeCapacity, max_units};

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

/// How a node that was just started is spared, as the deployment states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartPolicy {
    /// Ratio of its capacity that it has at its start.
    pub initial_share: f64,
    /// Seconds after its start when it has all of it.
    pub warm_up_seconds: f64,
    /// Multiple of its present capacity that it is sent at most.
    pub capacity_multiple: f64,
    /// Seconds over which that is counted.
    pub window_seconds: f64,
}

impl SlowStartPolicy {
    /// What fills may bring to a node of this age in seconds: from all brokers together at most `multiple` times its
    /// present part of `rate` (bytes a second of a warm node). `part` is the ratio of that which is ours. The allowance for
    /// chance above it is left to queries.
    pub fn fill_capacity(&self, age: f64, multiple: f64, rate: f64, part: f64) -> NodeCapacity {
        let share =
            self.initial_share + (1.0 - self.initial_share) * (age / self.warm_up_seconds).clamp(0.0, 1.0);
        let expected = multiple * share * rate * self.window_seconds / COUNTING_UNIT_BYTES as f64 * part;
        NodeCapacity { expected, taken: max_units(expected) - expected }
    }
}

#[cfg(test)]
mod tests;
