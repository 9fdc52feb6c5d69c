//! Why quotas are not shared as asked, and what an operator can do about it.

use thiserror::Error;

/// Why an entry or a configuration is rejected; nothing changes because of it.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum QuotaError {
    /// The ratio of floors is out of range.
    #[error("limits: the share of floors is {0}, expected above 0 and up to 1")]
    FloorRatio(f64),
    /// The number of brokers is out of range.
    #[error("limits: {given} brokers, expected 1 to {max}")]
    BrokerCount {
        /// Configured number of brokers.
        given: u32,
        /// Upper limit.
        max: u32,
    },
    /// The number of quotas is out of range.
    #[error("limits: {given} quotas, expected 1 to {max}")]
    QuotaCount {
        /// Configured number of quotas.
        given: usize,
        /// Upper limit.
        max: usize,
    },
    /// A quota is named twice.
    #[error("limits: the quota `{0}` is named twice")]
    DuplicateQuota(String),
    /// The floors of all brokers add up to more than the total.
    #[error("limits: floors of {floor_units} units for {brokers} brokers exceed the total")]
    FloorsExceedTotal {
        /// Floor of each broker, in units.
        floor_units: u32,
        /// Number of brokers that may exist.
        brokers: u32,
    },
    /// The window is out of range.
    #[error("limits: a window of {given} ms, expected 1 to {max}")]
    Window {
        /// Configured window, in milliseconds.
        given: u64,
        /// Upper limit, in milliseconds.
        max: u64,
    },
    /// No quota is configured.
    #[error("limits: no quota is shared yet")]
    NotConfigured,
    /// Quotas cannot be reconfigured while units are leased.
    #[error("limits: other quotas are proposed while {units} units of `{quota}` are reserved")]
    StillLeased {
        /// Name of a quota with reserved units.
        quota: String,
        /// Number of reserved units.
        units: u32,
    },
    /// The configuration is the one in force.
    #[error("limits: these quotas are in force already")]
    AlreadyConfigured,
    /// A broker joins, and no further broker may be added.
    #[error("limits: `{broker}` joins, and all {brokers} brokers that may exist are present")]
    TooManyBrokers {
        /// Name of the broker that would join.
        broker: String,
        /// Number of brokers that may exist.
        brokers: u32,
    },
    /// The broker was already added.
    #[error("limits: `{0}` shares already")]
    BrokerExists(String),
    /// The broker was never added.
    #[error("limits: `{0}` is none of the brokers that share")]
    UnknownBroker(String),
    /// A broker with reserved units cannot be removed.
    #[error("limits: `{broker}` leaves while {units} units of `{quota}` are reserved for it")]
    BrokerHoldsUnits {
        /// Name of the broker that would be removed.
        broker: String,
        /// Name of a quota with reserved units.
        quota: String,
        /// Number of reserved units.
        units: u32,
    },
    /// The quota is not configured.
    #[error("limits: no quota `{0}` is shared")]
    UnknownQuota(String),
    /// More units would be reserved than are spare.
    #[error(
        "limits: shares of `{quota}` would come to {units} units beyond the floors, and {spare} are spare"
    )]
    ExceedsTotal {
        /// Name of the quota whose shares would be too large.
        quota: String,
        /// Number of units that would be reserved in total.
        units: u64,
        /// Number of units that belong to no floor.
        spare: u32,
    },
    /// The entry repeats the state in force.
    #[error("limits: nothing would change")]
    NoChange,
    /// The shrink was already released, or another one followed it.
    #[error("limits: `{broker}` is not waited for at generation {generation}")]
    NotAwaited {
        /// Name of the broker.
        broker: String,
        /// Generation of the shrink.
        generation: u64,
    },
    /// A release was proposed by another broker than the leader.
    #[error("limits: only the leader's clock may release the units of `{0}`")]
    LeaderOnly(String),
}

impl QuotaError {
    /// What an operator can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::FloorRatio(_) => "set `limits floor` to a share such as 0.25",
            Self::BrokerCount { .. } => "set the settings' number of brokers to how many may exist at once",
            Self::QuotaCount { .. } => "name cold, further or customers in `limits`, or leave `limits` out",
            Self::DuplicateQuota(_) => "name each customer once",
            Self::FloorsExceedTotal { .. } => {
                "lower `limits floor`, or see that all files state the same number of brokers"
            }
            Self::Window { .. } => "set the settings' windows of budgets to some seconds",
            Self::NotConfigured => "nothing to do: the leader enters the quotas of its file first",
            Self::StillLeased { .. } => {
                "nothing to do: the leader takes all shares back first; it takes some leases"
            }
            Self::AlreadyConfigured => "nothing to do: a leader entered them before",
            Self::TooManyBrokers { .. } => {
                "raise the number of brokers in all settings and restart those that run, then start one more"
            }
            Self::BrokerExists(_) => "nothing to do: it was entered twice",
            Self::UnknownBroker(_) => "nothing to do: a plan is out of date; the next names who is present",
            Self::BrokerHoldsUnits { .. } => "nothing to do: it is removed once its last lease has expired",
            Self::UnknownQuota(_) => "see that all files state the same `limits`",
            Self::ExceedsTotal { .. } => {
                "a plan is out of date, the next fits; if it stays, look at the leader's build"
            }
            Self::NoChange => "nothing to do: a plan came twice",
            Self::NotAwaited { .. } => {
                "nothing to do: it was released before, or its share shrank again since"
            }
            Self::LeaderOnly(_) => "nothing to do: the leader says so by itself",
        }
    }
}
