//! Errors for rejected entries, messages and settings, with advice for the operator.

use thiserror::Error;

/// Reason why an entry, a message, a setting or stored data was rejected. The rejected input has changed no state.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettlementError {
    /// A broker's name cannot be used in settlement ids.
    #[error("the broker name {name:?} is empty or contains '@'")]
    InvalidName {
        /// The rejected name.
        name: String,
    },
    /// The stored counts belong to another broker.
    #[error("the folder holds the counts of broker {stored}, but this is broker {broker}")]
    OtherBroker {
        /// Name of the broker whose counts are in the folder.
        stored: String,
        /// Name of this broker.
        broker: String,
    },
    /// The stored counts are from this incarnation of the broker or a later one.
    #[error(
        "broker {broker} starts as incarnation {incarnation}, but its folder already holds counts of incarnation {stored}"
    )]
    StaleIncarnation {
        /// Name of this broker.
        broker: String,
        /// Incarnation with which the broker starts.
        incarnation: u64,
        /// Incarnation of the stored counts.
        stored: u64,
    },
    /// A peer's counts have more cells than are accepted in one message.
    #[error(
        "the counts from {from} have {cells} cells for {brokers} brokers; at most {max} cells are accepted"
    )]
    TooManyCells {
        /// Name of the peer that sent the message.
        from: String,
        /// Number of brokers whose counts are in the message.
        brokers: usize,
        /// Number of cells in the message, one for each broker, incarnation, carrier and debtor.
        cells: usize,
        /// Maximum number of cells in a message.
        max: usize,
    },
    /// A settlement term is out of range. The operator's file sets only one of the terms: `most-rate`, by `fills rate=`, and
    /// every value that the file accepts for it is in range.
    #[error("settlement terms: {key} is {value}, expected {expected}")]
    InvalidTerm {
        /// Name of the term.
        key: &'static str,
        /// Value of the term that was rejected.
        value: f64,
        /// Description of the accepted values.
        expected: &'static str,
    },
    /// The fill was already settled under another settlement id.
    #[error("settlement {id}: fill {fill} is already settled by settlement {before}")]
    AlreadySettledOtherwise {
        /// Id of the rejected settlement.
        id: String,
        /// Id of the fill that both settlements name.
        fill: String,
        /// Id of the settlement that was applied.
        before: String,
    },
    /// The settlement belongs to a configuration version for which settlements are no longer accepted.
    #[error("settlement {id} belongs to version {version:?}, but versions before {floor} are closed")]
    VersionClosed {
        /// Id of the rejected settlement.
        id: String,
        /// Number of the settlement's configuration version; `None` if its id contains no number.
        version: Option<u64>,
        /// Number of the first version for which settlements are accepted.
        floor: u64,
    },
    /// The settlement is larger than what remains of its broker's share of the debt.
    #[error(
        "settlement {id} takes {bytes} bytes off what {debtor} owes {creditor}, but the share of {broker} has {remaining} bytes left"
    )]
    ExceedsShare {
        /// Id of the rejected settlement.
        id: String,
        /// Broker whose share is too small.
        broker: String,
        /// Partner that owes the debt.
        debtor: String,
        /// Partner to which the debt is owed.
        creditor: String,
        /// Bytes of the settlement.
        bytes: u64,
        /// Bytes left in the broker's share.
        remaining: u64,
    },
    /// An allotment would make the shares of a debt exceed the debt.
    #[error(
        "the shares of what {debtor} owes {creditor} would add up to {allotted} bytes, but the debt is {debt} bytes"
    )]
    ExceedsDebt {
        /// Partner that owes the debt.
        debtor: String,
        /// Partner to which the debt is owed.
        creditor: String,
        /// Bytes of all shares together, the rejected ones included.
        allotted: u64,
        /// Bytes of the debt.
        debt: u64,
    },
    /// A broker would release (give back) more of its share than it has left.
    #[error(
        "{broker} returns {bytes} bytes of its share of what {debtor} owes {creditor}, but has {remaining} left"
    )]
    ExceedsRemaining {
        /// Broker that gives back a part of its share.
        broker: String,
        /// Partner that owes the debt.
        debtor: String,
        /// Partner to which the debt is owed.
        creditor: String,
        /// Bytes to give back.
        bytes: u64,
        /// Bytes left in the broker's share.
        remaining: u64,
    },
    /// The entry's number is above the next number of its pair of partners.
    #[error(
        "an entry for debtor {debtor} and creditor {creditor} has number {number}, but {expected} is next"
    )]
    SkippedNumber {
        /// Partner that owes the debt.
        debtor: String,
        /// Partner to which the debt is owed.
        creditor: String,
        /// Number of the rejected entry.
        number: u64,
        /// Next number of the pair.
        expected: u64,
    },
    /// The entry has no bytes, or its debtor is its creditor.
    #[error(
        "an entry of {bytes} bytes for debtor {debtor} and creditor {creditor} has no effect: it needs bytes and two different partners"
    )]
    EmptyEntry {
        /// Partner that the entry names as the debtor.
        debtor: String,
        /// Partner that the entry names as the creditor.
        creditor: String,
        /// Bytes of the entry.
        bytes: u64,
    },
    /// The event is impossible in the fill's present state.
    #[error("fill {fill} is {state} and cannot take the event `{event}`")]
    InvalidEvent {
        /// Id of the fill.
        fill: String,
        /// Name of the fill's present state.
        state: &'static str,
        /// Name of the rejected event.
        event: &'static str,
    },
}

impl SettlementError {
    /// Advice for the operator: the likely cause, or what to do about the error.
    pub fn help(&self) -> &'static str {
        match self {
            SettlementError::InvalidName { .. } => {
                "use only letters, digits and dashes in the broker names of `fleet`"
            }
            SettlementError::OtherBroker { .. } => "give each broker its own folder, or clear this one",
            SettlementError::StaleIncarnation { .. } => {
                "the folder is newer than the start counter: always restore both from the same backup"
            }
            SettlementError::TooManyCells { .. } => {
                "check the peer that is named: a broker sends counts only for brokers that exist"
            }
            SettlementError::InvalidTerm { .. } => {
                "the operator's file sets only `most-rate`, as `rate` of its `fills` node; the other terms are built in: report this as a bug"
            }
            SettlementError::AlreadySettledOtherwise { .. } => {
                "no data is lost and the first settlement stays valid; the fill ran twice: check for a fill service that answers slowly"
            }
            SettlementError::VersionClosed { .. } => {
                "the broker was cut off for several versions; the debt stays open and a later fill pays it"
            }
            SettlementError::ExceedsShare { .. } => {
                "allot more of the debt to the broker (an `Allot` entry) before its next fill"
            }
            SettlementError::ExceedsDebt { .. } => {
                "wait until the counts are merged: the proposer knows of a smaller debt than it splits"
            }
            SettlementError::ExceedsRemaining { .. } => {
                "a broker may return only its own share, and only what it has not spent"
            }
            SettlementError::SkippedNumber { .. } => {
                "the proposer has not applied the whole log; it must catch up and propose again"
            }
            SettlementError::EmptyEntry { .. } => {
                "a bug in the proposer: the entry names one partner twice or has no bytes"
            }
            SettlementError::InvalidEvent { .. } => {
                "a bug in the caller, or a fill service that answers twice; the state of the fill is unchanged"
            }
        }
    }
}
