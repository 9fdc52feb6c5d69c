//! What can be wrong, and what an operator can do about it.

use thiserror::Error;

#[derive(Clone, Debug, PartialEq, Error)]
pub enum LimitError {
    #[error("limits: the share of floors is {0}, expected above 0 and up to 1")]
    Share(f64),
    #[error("limits: {given} brokers, expected 1 to {most}")]
    Brokers { given: u32, most: u32 },
    #[error("limits: {given} bounds, expected 1 to {most}")]
    Count { given: usize, most: usize },
    #[error("limits: the bound `{0}` is named twice")]
    Doubled(String),
    #[error("limits: floors of {floor} units for {brokers} brokers are more than the whole")]
    Floors { floor: u32, brokers: u32 },
    #[error("limits: a window of {given} ms, expected 1 to {most}")]
    Window { given: u64, most: u64 },
    #[error("limits: nothing is shared yet")]
    NoBounds,
    #[error("limits: other bounds come while {units} units of `{bound}` count as leased")]
    Leased { bound: String, units: u32 },
    #[error("limits: these bounds are agreed on already")]
    Same,
    #[error("limits: `{broker}` comes, and all {brokers} that may exist are there")]
    Full { broker: String, brokers: u32 },
    #[error("limits: `{0}` is one of the brokers already")]
    Seated(String),
    #[error("limits: `{0}` is none of the brokers that share")]
    NoSeat(String),
    #[error("limits: `{broker}` goes while {units} units of `{bound}` count as its own")]
    Holds { broker: String, bound: String, units: u32 },
    #[error("limits: no bound `{0}` is shared")]
    NoBound(String),
    #[error(
        "limits: the parts of `{bound}` would come to {units} units beyond the floors, and {spare} are spare"
    )]
    PastWhole { bound: String, units: u64, spare: u32 },
    #[error("limits: nothing would change")]
    Nothing,
    #[error("limits: `{broker}` is not waited for at generation {generation}")]
    NotWaited { broker: String, generation: u64 },
    #[error("limits: only the leader's clock may say that `{0}` has let go")]
    LeaderOnly(String),
}

impl LimitError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Share(_) => "set `limits floor` to a share such as 0.25",
            Self::Brokers { .. } => "set the settings' number of brokers to how many may exist at once",
            Self::Count { .. } => "name cold, further or customers in `limits`, or leave `limits` out",
            Self::Doubled(_) => "name each customer once",
            Self::Floors { .. } => {
                "lower `limits floor`, or see that all files state the same number of brokers"
            }
            Self::Window { .. } => "set the settings' windows of budgets to some seconds",
            Self::NoBounds => "nothing to do: the leader enters the bounds of its file first",
            Self::Leased { .. } => {
                "nothing to do: the leader takes all parts back first; it takes some leases"
            }
            Self::Same => "nothing to do: a leader entered them before",
            Self::Full { .. } => {
                "raise the number of brokers in all settings and restart those that run, then start one more"
            }
            Self::Seated(_) => "nothing to do: it was entered twice",
            Self::NoSeat(_) => "nothing to do: a plan was overtaken; the next names who is there",
            Self::Holds { .. } => "nothing to do: it goes once its last lease has surely run out",
            Self::NoBound(_) => "see that all files state the same `limits`",
            Self::PastWhole { .. } => {
                "a plan was overtaken, the next fits; if it stays, look at the leader's build"
            }
            Self::Nothing => "nothing to do: a plan came twice",
            Self::NotWaited { .. } => {
                "nothing to do: it was settled before, or its part went down again since"
            }
            Self::LeaderOnly(_) => "nothing to do: the leader says so by itself",
        }
    }
}
