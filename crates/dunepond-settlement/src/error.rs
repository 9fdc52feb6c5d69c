//! What can be wrong, and what an operator can do about it.

use thiserror::Error;

#[derive(Clone, Debug, PartialEq, Error)]
pub enum DebtError {
    #[error("the name {name:?} is empty or holds '@'")]
    Name { name: String },
    #[error("the folder holds the counts of broker {kept}, this is {broker}")]
    OtherBroker { kept: String, broker: String },
    #[error("broker {broker} starts as incarnation {incarnation}, its folder already holds {kept}")]
    OldIncarnation { broker: String, incarnation: u64, kept: u64 },
    #[error("counts of {brokers} brokers and {cells} pairs came from {from}, at most {most} are taken")]
    TooMany { from: String, brokers: usize, cells: usize, most: usize },
    #[error("terms of debts: {key} is {value}, wanted is {wanted}")]
    Terms { key: &'static str, value: f64, wanted: &'static str },
    #[error("settlement {id}: fill {fill} has settled already, as {before}")]
    Contradicts { id: String, fill: String, before: String },
    #[error("settlement {id} belongs to version {version:?}, versions before {floor} are closed")]
    Closed { id: String, version: Option<u64>, floor: u64 },
    #[error(
        "settlement {id} takes {bytes} off what {debtor} owes {creditor}; the share of {by} has {left} left"
    )]
    PastShare { id: String, by: String, debtor: String, creditor: String, bytes: u64, left: u64 },
    #[error("shares of {wanted} in what {debtor} owes {creditor}, a debt of {debt}")]
    PastDebt { debtor: String, creditor: String, wanted: u64, debt: u64 },
    #[error("{by} gives back {bytes} of its share in what {debtor} owes {creditor}, and has {left}")]
    PastRelease { by: String, debtor: String, creditor: String, bytes: u64, left: u64 },
    #[error("an entry about {debtor} and {creditor} with the number {number}, {wanted} is next")]
    Ahead { debtor: String, creditor: String, number: u64, wanted: u64 },
    #[error("an entry of {bytes} bytes between {debtor} and {creditor} moves nothing")]
    Nothing { debtor: String, creditor: String, bytes: u64 },
    #[error("fill {fill} is {state}, which cannot be followed by {event}")]
    Step { fill: String, state: &'static str, event: &'static str },
}

impl DebtError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            DebtError::Name { .. } => "name every broker in `fleet` by letters, digits and dashes",
            DebtError::OtherBroker { .. } => "give each broker a folder of its own, or clear this one",
            DebtError::OldIncarnation { .. } => {
                "the folder is newer than the start counter: do not put back one without the other"
            }
            DebtError::TooMany { .. } => "look at the peer named: a broker sends rows for brokers that exist",
            DebtError::Terms { .. } => "put the key named right in the operator's file",
            DebtError::Contradicts { .. } => {
                "nothing is lost, the first settlement stands; a fill was carried out twice, look for a filler that is slow to answer"
            }
            DebtError::Closed { .. } => {
                "the broker was away for whole versions; its debt stays open and is paid by a later fill"
            }
            DebtError::PastShare { .. } => "split more of the debt (an `Allot` entry) before the next fill",
            DebtError::PastDebt { .. } => {
                "let the counts merge first; who proposes sees a smaller debt than it splits"
            }
            DebtError::PastRelease { .. } => {
                "only the broker itself may give back, and only what it has not spent"
            }
            DebtError::Ahead { .. } => {
                "the proposer has not applied the log; it has to catch up and propose again"
            }
            DebtError::Nothing { .. } => "a fault of the proposer: it names one partner twice, or no bytes",
            DebtError::Step { .. } => {
                "a fault of the host, or a filler that answers twice: nothing was changed"
            }
        }
    }
}
