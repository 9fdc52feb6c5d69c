//! How many units a broker may use, asked before each use.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::SharedQuotas;

/// What a broker is told with its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allocation {
    /// Of the ledger; it only grows.
    pub generation: u64,
    /// Replicated floor, in units.
    #[serde(rename = "floor")]
    pub floor_units: u32,
    /// The broker is one of those that may hold shares, or one more is still allowed. If not, it may use nothing, not even
    /// its floor.
    #[serde(rename = "counted")]
    pub admitted: bool,
    /// Generation of the last entry that shrank one of the broker's shares.
    #[serde(rename = "shrunk")]
    pub shrunk_generation: u64,
    /// Units beyond the floor, by quota.
    #[serde(rename = "parts")]
    pub leased_units: BTreeMap<String, u32>,
}

/// What a broker's own file and start time allow. Times are seconds on its monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalQuota {
    /// Units that it owns without a lease.
    pub floor_units: u32,
    /// Start of this run.
    pub started_at: f64,
    /// For so long after the start nothing may be used: what the previous run used is unknown and still fills a window.
    pub window_seconds: f64,
}

impl LocalQuota {
    /// For a run that starts at `started_at`.
    pub fn new(shared: &SharedQuotas, started_at: f64) -> Self {
        let window_seconds = shared.window_millis as f64 / 1e3;
        Self { floor_units: shared.floor_units, started_at, window_seconds }
    }

    /// Units of `quota` that may be used at `now`. `allocation` is the last one heard in this run; `lease_valid` says
    /// whether its lease covers `now`.
    pub fn available_units(
        &self,
        allocation: Option<&Allocation>,
        lease_valid: bool,
        quota: &str,
        now: f64,
    ) -> u32 {
        if now < self.started_at + self.window_seconds {
            return 0;
        }
        let Some(allocation) = allocation else { return self.floor_units };
        if !allocation.admitted {
            return 0;
        }
        let floor = self.floor_units.min(allocation.floor_units);
        if !lease_valid {
            return floor;
        }
        floor + allocation.leased_units.get(quota).copied().unwrap_or(0)
    }
}
