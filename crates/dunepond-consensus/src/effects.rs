//! The effects that a voter asks its host to carry out.

use crate::{LeaseReply, Rejection, StateChange, WriteBatch};

/// Effects of a call to a [`crate::Voter`]. The host has to append `write_batch` to its journal and sync it before it
/// sends any message or reply: otherwise a restart could lose a vote or an acknowledgement on which other voters
/// already rely.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages to other voters: the name of the receiver, and the bytes that it passes to [`crate::Voter::receive`].
    pub messages: Vec<(String, Vec<u8>)>,
    /// Replies to brokers: the name of the broker, and the reply.
    pub replies: Vec<(String, LeaseReply)>,
    /// The changes that the host has to store before it sends `messages` and `replies`.
    pub write_batch: WriteBatch,
    /// Whether [`crate::Voter::state`] changed.
    pub state_changed: bool,
    /// Outcomes of the entries that were committed during the call, in log order.
    pub outcomes: Vec<EntryOutcome>,
    /// Lines for the operator's log.
    pub log_lines: Vec<String>,
}

/// The outcome of a committed entry, which is the same at each voter.
#[derive(Clone, Debug)]
pub struct EntryOutcome {
    /// Index of the entry in the log.
    pub index: u64,
    /// What the entry changed, or why it was ignored.
    pub result: Result<StateChange, Rejection>,
}
