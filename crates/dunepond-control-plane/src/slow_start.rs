//! Slow start of nodes: how much fill traffic a recently started node may receive.

use dunepond_settlement::{NodeCapacity, max_slow_start_units};

/// Unit in which bytes that are sent to a node in slow start are counted.
pub const COUNTING_UNIT_BYTES: u64 = 64 * 1024;

/// A recently started node.
#[derive(Clone, Debug, PartialEq)]
pub struct StartedNode {
    /// Name of the node in the endpoint list.
    pub node: String,
    /// Incarnation of the node in the endpoint list. It is the same at every broker, and differs after each start of
    /// the node.
    pub incarnation: u64,
    /// When the node started, in seconds on the monotonic clock.
    pub started_at: f64,
}

/// A deployment's limits on traffic to nodes in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartPolicy {
    /// Fraction of its full capacity that a node has when it starts.
    pub initial_share: f64,
    /// Time from its start until a node has its full capacity, in seconds.
    pub warm_up_seconds: f64,
    /// Maximum traffic to a node, as a multiple of its current capacity.
    pub capacity_multiple: f64,
    /// Window over which the traffic is counted, in seconds.
    pub window_seconds: f64,
}

impl SlowStartPolicy {
    /// Capacity that the caller's fills may use on a node that started `age` seconds ago. The node's current capacity
    /// grows during the warm-up to `rate`, in bytes per second. All brokers together may use `multiple` times the
    /// current capacity, and the caller may use the fraction `capacity_ratio` of this product. The limit on the node's
    /// traffic also has a margin for random variation. Fills must not use the margin, so it counts as used by queries.
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
