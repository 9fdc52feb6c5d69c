//! The local limit on the units that a broker may use, which the broker checks before each use.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::SharedQuotas;

/// The units that a broker is allocated, as sent to it with its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allocation {
    /// Ledger generation of this allocation; of two allocations, the one with the higher generation is newer.
    pub generation: u64,
    /// Units of each quota that every broker owns without a lease, according to the replicated configuration.
    #[serde(rename = "floor")]
    pub floor_units: u32,
    /// Whether the broker has been added to the ledger, or the maximum number of brokers is not reached yet. If false,
    /// the broker may use nothing, not even its floor.
    #[serde(rename = "counted")]
    pub admitted: bool,
    /// Ledger generation of the last entry that shrank one of the broker's shares; 0 if none did.
    #[serde(rename = "shrunk")]
    pub shrunk_generation: u64,
    /// Leased units beyond the floor, by quota name.
    #[serde(rename = "parts")]
    pub leased_units: BTreeMap<String, u32>,
}

/// A broker's limits that follow from its own configuration file and start time, without the ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalQuota {
    /// Units of each quota that the broker owns without a lease, according to its own configuration file.
    pub floor_units: u32,
    /// Time at which the broker's process started, in seconds on its monotonic clock.
    pub started_at: f64,
    /// Number of seconds after the start during which the broker may use nothing: what its previous process used is
    /// unknown and still counts in the window of a quota.
    pub window_seconds: f64,
}

impl LocalQuota {
    /// Returns the local limits of a broker process that starts at `started_at`, in seconds on the broker's monotonic
    /// clock.
    pub fn new(shared: &SharedQuotas, started_at: f64) -> Self {
        let window_seconds = shared.window_millis as f64 / 1e3;
        Self { floor_units: shared.floor_units, started_at, window_seconds }
    }

    /// Returns the units of `quota` that the broker may use at `now`, in seconds on its monotonic clock. `allocation`
    /// is the last allocation that the broker received since its start; `lease_valid` states whether the lease that
    /// came with it is valid at `now`.
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
