//! The effects that a voter asks its host to carry out.

use crate::{LeaseReply, Rejection, StateChange, WriteBatch};

/// Effects of a call to a [`crate::Voter`]. The host has to append `write_batch` to the storage and sync it before it
/// sends anything: otherwise a restart could forget a promise on which others rely.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages to other voters: the name of the voter, and the bytes for [`crate::Voter::receive`] there.
    pub messages: Vec<(String, Vec<u8>)>,
    /// Replies to brokers: the name of the broker, and the reply.
    pub replies: Vec<(String, LeaseReply)>,
    /// The changes that the host has to store.
    pub write_batch: WriteBatch,
    /// Whether [`crate::Voter::state`] changed.
    pub state_changed: bool,
    /// The outcomes of entries that were committed, in log order.
    pub outcomes: Vec<EntryOutcome>,
    /// Lines for the operator's log.
    pub log_lines: Vec<String>,
}

/// The outcome of a committed entry, which is the same at each voter.
#[derive(Clone, Debug)]
pub struct EntryOutcome {
    /// Index in the log.
    pub index: u64,
    /// What the entry changed, or why it was ignored.
    pub result: Result<StateChange, Rejection>,
}
