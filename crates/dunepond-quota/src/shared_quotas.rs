//! The configuration of shared quotas: their names, the number of brokers, the floor and the window.

use serde::{Deserialize, Serialize};

use crate::QuotaError;

/// Total units of each quota. Shares are whole numbers of units, so that their sums are exact.
pub const TOTAL_UNITS: u32 = 1_000_000;
/// Largest number of quotas in [`SharedQuotas::names`].
pub const MAX_QUOTA_COUNT: usize = 256;
/// Largest allowed value of [`SharedQuotas::max_brokers`].
pub const MAX_BROKER_COUNT: u32 = 10_000;
/// Largest allowed value of [`SharedQuotas::window_millis`], in milliseconds.
pub const MAX_WINDOW_MILLIS: u64 = 3_600_000;

/// The quotas that a fleet shares. The configuration files of all brokers must state the same quotas, number of
/// brokers, floor and window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SharedQuotas {
    /// Names of the quotas, without duplicates.
    pub names: Vec<String>,
    /// Number of brokers that may exist at the same time.
    #[serde(rename = "brokers")]
    pub max_brokers: u32,
    /// Units of each quota that every broker owns without a lease.
    #[serde(rename = "floor")]
    pub floor_units: u32,
    /// Longest window over which one of the quotas is counted, in milliseconds.
    #[serde(rename = "window")]
    pub window_millis: u64,
}

impl SharedQuotas {
    /// Creates the configuration. The fraction `floor_ratio` of each quota is split evenly into the floors of
    /// `max_brokers` brokers.
    ///
    /// # Errors
    /// The ratio is not in (0, 1], or [`SharedQuotas::check`] fails.
    pub fn new(
        names: Vec<String>,
        max_brokers: u32,
        floor_ratio: f64,
        window_millis: u64,
    ) -> Result<Self, QuotaError> {
        if !(floor_ratio > 0.0 && floor_ratio <= 1.0) {
            return Err(QuotaError::FloorRatio(floor_ratio));
        }
        let floor_units = (f64::from(TOTAL_UNITS) * floor_ratio) as u32 / max_brokers.max(1);
        let shared = Self { names, max_brokers, floor_units, window_millis };
        shared.check()?;
        Ok(shared)
    }

    /// Checks that all values are in range, that no quota is named twice, and that the floors do not exceed the total.
    ///
    /// # Errors
    /// An error for the first value found to be invalid.
    pub fn check(&self) -> Result<(), QuotaError> {
        if !(1..=MAX_BROKER_COUNT).contains(&self.max_brokers) {
            return Err(QuotaError::BrokerCount { given: self.max_brokers, max: MAX_BROKER_COUNT });
        }
        if self.names.is_empty() || self.names.len() > MAX_QUOTA_COUNT {
            return Err(QuotaError::QuotaCount { given: self.names.len(), max: MAX_QUOTA_COUNT });
        }
        if let Some(name) = self.first_duplicate() {
            return Err(QuotaError::DuplicateQuota(name.clone()));
        }
        // The product of two 32-bit values may not fit in 32 bits, so it is computed in 64 bits.
        if u64::from(self.floor_units) * u64::from(self.max_brokers) > u64::from(TOTAL_UNITS) {
            return Err(QuotaError::FloorsExceedTotal {
                floor_units: self.floor_units,
                brokers: self.max_brokers,
            });
        }
        if !(1..=MAX_WINDOW_MILLIS).contains(&self.window_millis) {
            return Err(QuotaError::Window { given: self.window_millis, max: MAX_WINDOW_MILLIS });
        }
        Ok(())
    }

    fn first_duplicate(&self) -> Option<&String> {
        let duplicates = self.names.iter().enumerate().filter(|(at, name)| self.names[..*at].contains(name));
        duplicates.map(|(_, name)| name).next()
    }

    /// Returns the units of each quota that belong to no floor and can be leased.
    pub fn spare_units(&self) -> u32 {
        TOTAL_UNITS - self.floor_units * self.max_brokers
    }
}
