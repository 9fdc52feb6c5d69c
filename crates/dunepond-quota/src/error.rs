//! Errors of quota entries and quota configurations, each with advice for the operator.

use thiserror::Error;

/// Why a quota entry or a quota configuration is rejected. A rejected entry changes nothing.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum QuotaError {
    /// The configured fraction of each quota that is split into the brokers' floors is out of range.
    #[error("limits: `floor` is {0}, expected a ratio above 0 and at most 1")]
    FloorRatio(f64),
    /// The configured number of brokers is out of range.
    #[error("limits: {given} brokers are configured, expected 1 to {max}")]
    BrokerCount {
        /// Configured number of brokers.
        given: u32,
        /// Largest allowed number of brokers.
        max: u32,
    },
    /// The configured number of quotas is out of range.
    #[error("limits: {given} quotas are configured, expected 1 to {max}")]
    QuotaCount {
        /// Configured number of quotas.
        given: usize,
        /// Largest allowed number of quotas.
        max: usize,
    },
    /// The configuration names a quota twice.
    #[error("limits: the quota `{0}` is named twice")]
    DuplicateQuota(String),
    /// The floors of all brokers add up to more than the [`crate::TOTAL_UNITS`] of a quota.
    #[error("limits: the floors of {brokers} brokers, each of {floor_units} units, exceed the total")]
    FloorsExceedTotal {
        /// Configured floor: the units of each quota that every broker owns without a lease.
        floor_units: u32,
        /// Configured number of brokers that may exist at the same time.
        brokers: u32,
    },
    /// The configured window over which quotas are counted is out of range.
    #[error("limits: a window of {given} ms is configured, expected 1 to {max} ms")]
    Window {
        /// Configured window, in milliseconds.
        given: u64,
        /// Longest allowed window, in milliseconds.
        max: u64,
    },
    /// The entry adds a broker or sets shares, but no quotas have been configured yet.
    #[error("limits: no quotas are configured yet")]
    NotConfigured,
    /// The entry replaces the shared quotas while units are reserved for a broker.
    #[error(
        "limits: the quotas cannot be changed while {units} units of `{quota}` are reserved for a broker"
    )]
    StillLeased {
        /// Name of a quota of which units are reserved.
        quota: String,
        /// Number of units of `quota` that are reserved for one of the brokers.
        units: u32,
    },
    /// The proposed quotas are already in force.
    #[error("limits: the proposed quotas are already in force")]
    AlreadyConfigured,
    /// A broker cannot be added because the largest number of brokers is already present.
    #[error(
        "limits: broker `{broker}` cannot be added, as the configured maximum of {brokers} brokers is reached"
    )]
    TooManyBrokers {
        /// Name of the broker that would be added.
        broker: String,
        /// Configured number of brokers that may exist at the same time.
        brokers: u32,
    },
    /// The entry adds a broker that was already added.
    #[error("limits: broker `{0}` was already added")]
    BrokerExists(String),
    /// The entry names a broker that has not been added, or that was removed.
    #[error("limits: broker `{0}` has not been added")]
    UnknownBroker(String),
    /// The entry removes a broker for which units are reserved.
    #[error(
        "limits: broker `{broker}` cannot be removed while {units} units of `{quota}` are reserved for it"
    )]
    BrokerHoldsUnits {
        /// Name of the broker that would be removed.
        broker: String,
        /// Name of a quota of which units are reserved.
        quota: String,
        /// Number of units of the quota that are reserved for the broker.
        units: u32,
    },
    /// The entry names a quota that is not configured.
    #[error("limits: quota `{0}` is not configured")]
    UnknownQuota(String),
    /// The entry would reserve more units of a quota for brokers than the quota has beyond the floors.
    #[error(
        "limits: {units} units of `{quota}` would be reserved beyond the floors, but only {spare} are spare"
    )]
    ExceedsTotal {
        /// Name of the quota whose shares would be too large.
        quota: String,
        /// Number of units of the quota that would be reserved beyond the floors, for all brokers together.
        units: u64,
        /// Number of units of the quota that belong to no broker's floor.
        spare: u32,
    },
    /// The entry sets shares to the sizes that they already have.
    #[error("limits: the entry would change nothing")]
    NoChange,
    /// The entry releases units after a shrink, but those units were already released, or the broker's shares have
    /// shrunk again since.
    #[error("limits: no release of units of broker `{broker}` is awaited at generation {generation}")]
    NotAwaited {
        /// Name of the broker whose units would be released.
        broker: String,
        /// Ledger generation that the entry names: that of the shrink whose units it would release.
        generation: u64,
    },
    /// A broker other than the leader proposed a release.
    #[error("limits: only the leader may release units of broker `{0}`")]
    LeaderOnly(String),
}

impl QuotaError {
    /// Returns advice for the operator on how to resolve the error.
    pub fn help(&self) -> &'static str {
        match self {
            Self::FloorRatio(_) => "set `limits floor` to a ratio such as 0.25",
            Self::BrokerCount { .. } => {
                "set the number of brokers in the settings to how many may exist at once"
            }
            Self::QuotaCount { .. } => "name cold, further or customers in `limits`, or leave `limits` out",
            Self::DuplicateQuota(_) => "name each customer once",
            Self::FloorsExceedTotal { .. } => {
                "lower `limits floor`, or make sure that all files state the same number of brokers"
            }
            Self::Window { .. } => "set the budget windows in the settings to a few seconds",
            Self::NotConfigured => "nothing to do: the leader first proposes the quotas of its own file",
            Self::StillLeased { .. } => {
                "nothing to do: the leader first reclaims all shares, which takes a few lease durations"
            }
            Self::AlreadyConfigured => "nothing to do: a leader configured them earlier",
            Self::TooManyBrokers { .. } => {
                "raise the number of brokers in all settings and restart the running brokers before starting another one"
            }
            Self::BrokerExists(_) => "nothing to do: the entry was proposed twice",
            Self::UnknownBroker(_) => {
                "nothing to do: the plan was out of date; the next plan uses the brokers that are present"
            }
            Self::BrokerHoldsUnits { .. } => {
                "nothing to do: the broker is removed once its last lease has expired"
            }
            Self::UnknownQuota(_) => "make sure that all files state the same `limits`",
            Self::ExceedsTotal { .. } => {
                "nothing to do if it occurs once: the plan was out of date; if it recurs, check the build of the leader"
            }
            Self::NoChange => "nothing to do: the plan was proposed twice",
            Self::NotAwaited { .. } => {
                "nothing to do: the units were already released, or the share has shrunk again since"
            }
            Self::LeaderOnly(_) => "nothing to do: the leader proposes the release itself",
        }
    }
}
