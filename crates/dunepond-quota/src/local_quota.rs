//! The units that a broker may use; the broker asks before each use.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::SharedQuotas;

/// The allocation that a broker receives with its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allocation {
    /// Generation of the ledger, which only grows.
    pub generation: u64,
    /// Floor by the replicated configuration, in units.
    #[serde(rename = "floor")]
    pub floor_units: u32,
    /// Whether the broker may hold shares, or one more broker is still allowed. If not, it may use nothing, not even
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

/// What a broker's own file and start time allow. Times are in seconds on its monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalQuota {
    /// Units that the broker owns without a lease.
    pub floor_units: u32,
    /// When this run started.
    pub started_at: f64,
    /// How long after the start nothing may be used: the use by the previous run is unknown and still counts in a
    /// window.
    pub window_seconds: f64,
}

impl LocalQuota {
    /// The local limits of a run that starts at `started_at`.
    pub fn new(shared: &SharedQuotas, started_at: f64) -> Self {
        let window_seconds = shared.window_millis as f64 / 1e3;
        Self { floor_units: shared.floor_units, started_at, window_seconds }
    }

    /// Units of `quota` that may be used at `now`. `allocation` is the last one received in this run; `lease_valid` is
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
