//! What a voter asks of its host.

use crate::{LeaseReply, Rejection, StateChange, WriteBatch};

/// Effects of a call to a [`crate::Voter`]. The host has to append `write_batch` to the storage and sync it before it sends
/// anything: otherwise a restart could forget a promise that others rely on.
#[derive(Debug, Default)]
pub struct Effects {
    /// Voter and bytes, for [`crate::Voter::receive`] there.
    pub messages: Vec<(String, Vec<u8>)>,
    /// Broker and reply.
    pub replies: Vec<(String, LeaseReply)>,
    /// What has to be stored.
    pub write_batch: WriteBatch,
    /// [`crate::Voter::state`] changed.
    pub state_changed: bool,
    /// What became of the entries that were committed, in their order.
    pub outcomes: Vec<EntryOutcome>,
    /// For the operator's log.
    pub log_lines: Vec<String>,
}

/// What became of a committed entry; the same at each voter.
#[derive(Clone, Debug)]
pub struct EntryOutcome {
    /// Index in the log.
    pub index: u64,
    /// What it changed, or why it was ignored.
    pub result: Result<StateChange, Rejection>,
}
