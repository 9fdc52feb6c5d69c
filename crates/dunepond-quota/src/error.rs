//! What can be wrong, and what an operator can do about it.

use thiserror::Error;

#[derive(Clone, Debug, PartialEq, Error)]
pub enum QuotaError {
    #[error("limits: the share of floors is {0}, expected above 0 and up to 1")]
    FloorRatio(f64),
    #[error("limits: {given} brokers, expected 1 to {most}")]
    BrokerCount { given: u32, most: u32 },
    #[error("limits: {given} bounds, expected 1 to {most}")]
    QuotaCount { given: usize, most: usize },
    #[error("limits: the bound `{0}` is named twice")]
    DuplicateQuota(String),
    #[error("limits: floors of {floor} units for {brokers} brokers are more than the whole")]
    FloorsExceedTotal { floor: u32, brokers: u32 },
    #[error("limits: a window of {given} ms, expected 1 to {most}")]
    Window { given: u64, most: u64 },
    #[error("limits: nothing is shared yet")]
    NotConfigured,
    #[error("limits: other bounds come while {units} units of `{bound}` count as leased")]
    StillLeased { bound: String, units: u32 },
    #[error("limits: these bounds are agreed on already")]
    AlreadyConfigured,
    #[error("limits: `{broker}` comes, and all {brokers} that may exist are there")]
    TooManyBrokers { broker: String, brokers: u32 },
    #[error("limits: `{0}` is one of the brokers already")]
    BrokerExists(String),
    #[error("limits: `{0}` is none of the brokers that share")]
    UnknownBroker(String),
    #[error("limits: `{broker}` goes while {units} units of `{bound}` count as its own")]
    BrokerHoldsUnits { broker: String, bound: String, units: u32 },
    #[error("limits: no bound `{0}` is shared")]
    UnknownQuota(String),
    #[error(
        "limits: the parts of `{bound}` would come to {units} units beyond the floors, and {spare} are spare"
    )]
    ExceedsTotal { bound: String, units: u64, spare: u32 },
    #[error("limits: nothing would change")]
    NoChange,
    #[error("limits: `{broker}` is not waited for at generation {generation}")]
    NotAwaited { broker: String, generation: u64 },
    #[error("limits: only the leader's clock may say that `{0}` has let go")]
    LeaderOnly(String),
}

impl QuotaError {
    /// What an operator can do.
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
            Self::NotConfigured => "nothing to do: the leader enters the bounds of its file first",
            Self::StillLeased { .. } => {
                "nothing to do: the leader takes all parts back first; it takes some leases"
            }
            Self::AlreadyConfigured => "nothing to do: a leader entered them before",
            Self::TooManyBrokers { .. } => {
                "raise the number of brokers in all settings and restart those that run, then start one more"
            }
            Self::BrokerExists(_) => "nothing to do: it was entered twice",
            Self::UnknownBroker(_) => "nothing to do: a plan was overtaken; the next names who is there",
            Self::BrokerHoldsUnits { .. } => "nothing to do: it goes once its last lease has surely run out",
            Self::UnknownQuota(_) => "see that all files state the same `limits`",
            Self::ExceedsTotal { .. } => {
                "a plan was overtaken, the next fits; if it stays, look at the leader's build"
            }
            Self::NoChange => "nothing to do: a plan came twice",
            Self::NotAwaited { .. } => {
                "nothing to do: it was settled before, or its part went down again since"
            }
            Self::LeaderOnly(_) => "nothing to do: the leader says so by itself",
        }
    }
}
