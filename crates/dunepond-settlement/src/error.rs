//! Why an entry, a message or a setting is rejected, and what an operator can do about it.

use thiserror::Error;

/// Something was rejected; nothing changed by it.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettlementError {
    /// A name is not usable in ids.
    #[error("the name {name:?} is empty or holds '@'")]
    InvalidName {
        /// The name that was given.
        name: String,
    },
    /// The folder belongs to another broker.
    #[error("the folder holds the counts of broker {stored}, this is {broker}")]
    OtherBroker {
        /// What the folder holds.
        stored: String,
        /// This broker.
        broker: String,
    },
    /// The folder is newer than this start.
    #[error("broker {broker} starts as incarnation {incarnation}, its folder already holds {stored}")]
    StaleIncarnation {
        /// This broker.
        broker: String,
        /// Incarnation of this start.
        incarnation: u64,
        /// What the folder holds.
        stored: u64,
    },
    /// A message has more cells than are accepted.
    #[error("counts of {brokers} brokers and {cells} pairs came from {from}, at most {max} are taken")]
    TooManyCells {
        /// Sender.
        from: String,
        /// Brokers in the message.
        brokers: usize,
        /// Cells in the message.
        cells: usize,
        /// Most cells of a message.
        max: usize,
    },
    /// A term is out of range. Of the terms the operator's file sets one: `most-rate`, by `fills rate=`, whose own range lies
    /// within that of the term.
    #[error("terms of debts: {key} is {value}, wanted is {expected}")]
    InvalidTerm {
        /// Name of the term.
        key: &'static str,
        /// Value of the term.
        value: f64,
        /// What was expected.
        expected: &'static str,
    },
    /// The fill has settled otherwise.
    #[error("settlement {id}: fill {fill} has settled already, as {before}")]
    AlreadySettledOtherwise {
        /// Id of the settlement.
        id: String,
        /// Id of the fill.
        fill: String,
        /// The settlement that counts.
        before: String,
    },
    /// The version is closed.
    #[error("settlement {id} belongs to version {version:?}, versions before {floor} are closed")]
    VersionClosed {
        /// Id of the settlement.
        id: String,
        /// Number of the settlement's version; none if its id has none.
        version: Option<u64>,
        /// The first open version.
        floor: u64,
    },
    /// The settlement exceeds its broker's share.
    #[error(
        "settlement {id} takes {bytes} off what {debtor} owes {creditor}; the share of {broker} has {remaining} left"
    )]
    ExceedsShare {
        /// Id of the settlement.
        id: String,
        /// Name of the broker.
        broker: String,
        /// Partner that owes.
        debtor: String,
        /// Partner that is owed.
        creditor: String,
        /// Bytes that the entry moves.
        bytes: u64,
        /// Amount that is left.
        remaining: u64,
    },
    /// Shares would exceed the debt.
    #[error("shares of {allotted} in what {debtor} owes {creditor}, a debt of {debt}")]
    ExceedsDebt {
        /// Partner that owes.
        debtor: String,
        /// Partner that is owed.
        creditor: String,
        /// Bytes of all shares together.
        allotted: u64,
        /// Amount that is owed.
        debt: u64,
    },
    /// More would be returned than is left.
    #[error("{broker} gives back {bytes} of its share in what {debtor} owes {creditor}, and has {remaining}")]
    ExceedsRemaining {
        /// Name of the broker.
        broker: String,
        /// Partner that owes.
        debtor: String,
        /// Partner that is owed.
        creditor: String,
        /// Bytes that the entry moves.
        bytes: u64,
        /// Amount that is left.
        remaining: u64,
    },
    /// The proposer has skipped an entry.
    #[error("an entry about {debtor} and {creditor} with the number {number}, {expected} is next")]
    SkippedNumber {
        /// Partner that owes.
        debtor: String,
        /// Partner that is owed.
        creditor: String,
        /// Number of the entry.
        number: u64,
        /// What was expected.
        expected: u64,
    },
    /// The entry moves nothing.
    #[error("an entry of {bytes} bytes between {debtor} and {creditor} moves nothing")]
    EmptyEntry {
        /// Partner that owes.
        debtor: String,
        /// Partner that is owed.
        creditor: String,
        /// Bytes that the entry moves.
        bytes: u64,
    },
    /// The event is impossible in this state.
    #[error("fill {fill} is {state}, which cannot be followed by {event}")]
    InvalidEvent {
        /// Id of the fill.
        fill: String,
        /// State of the fill.
        state: &'static str,
        /// Event that came.
        event: &'static str,
    },
}

impl SettlementError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            SettlementError::InvalidName { .. } => {
                "name every broker in `fleet` by letters, digits and dashes"
            }
            SettlementError::OtherBroker { .. } => "give each broker a folder of its own, or clear this one",
            SettlementError::StaleIncarnation { .. } => {
                "the folder is newer than the start counter: do not put back one without the other"
            }
            SettlementError::TooManyCells { .. } => {
                "look at the peer named: a broker sends rows for brokers that exist"
            }
            SettlementError::InvalidTerm { .. } => {
                "of these terms the operator's file sets only `most-rate`, as `rate` of its `fills` node; the others are built in: report it"
            }
            SettlementError::AlreadySettledOtherwise { .. } => {
                "nothing is lost, the first settlement stands; a fill was carried out twice, look for a filler that is slow to answer"
            }
            SettlementError::VersionClosed { .. } => {
                "the broker was away for whole versions; its debt stays open and is paid by a later fill"
            }
            SettlementError::ExceedsShare { .. } => {
                "split more of the debt (an `Allot` entry) before the next fill"
            }
            SettlementError::ExceedsDebt { .. } => {
                "let the counts merge first; who proposes sees a smaller debt than it splits"
            }
            SettlementError::ExceedsRemaining { .. } => {
                "only the broker itself may give back, and only what it has not spent"
            }
            SettlementError::SkippedNumber { .. } => {
                "the proposer has not applied the log; it has to catch up and propose again"
            }
            SettlementError::EmptyEntry { .. } => {
                "a fault of the proposer: it names one partner twice, or no bytes"
            }
            SettlementError::InvalidEvent { .. } => {
                "a fault of the host, or a filler that answers twice: nothing was changed"
            }
        }
    }
}
