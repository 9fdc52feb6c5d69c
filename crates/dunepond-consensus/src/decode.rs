//! Decoding of stored log entries, snapshots and persisted state, in the present format or in format 1, the first one.

use crate::log_entry::LogEntry;
use crate::{Command, ConsensusError, PersistedState, Rejection, ReplicatedState, codec, format1};

/// Decodes an entry of the log. An entry with a variant, field or required key that this build does not know is rejected.
pub(crate) fn log_entry(bytes: &[u8], known_keys: &[String]) -> Result<LogEntry, Rejection> {
    let entry =
        if codec::is_format1(bytes) { format1::log_entry(bytes) } else { codec::decode_fully_known(bytes) };
    let entry = entry.ok_or(Rejection::UnknownEntry)?;
    if let LogEntry::Command(Command::Propose(version)) = &entry {
        version.check_known_keys(known_keys)?;
    }
    Ok(entry)
}

/// Decodes the state of a snapshot and verifies its shard maps again; `None` if the bytes are malformed, the state has
/// a required part that this build does not know, or a map is invalid.
pub(crate) fn replicated_state(bytes: &[u8]) -> Option<ReplicatedState> {
    let state =
        if codec::is_format1(bytes) { format1::replicated_state(bytes) } else { codec::decode(bytes) };
    state?.with_verified_maps()
}

impl PersistedState {
    /// Decodes the bytes of [`PersistedState::encode`], or a document of format 1.
    ///
    /// # Errors
    /// The document is malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, ConsensusError> {
        let state =
            if codec::is_format1(bytes) { format1::persisted_state(bytes) } else { codec::decode(bytes) };
        state.ok_or(ConsensusError::CorruptRecord("the persisted state of a broker"))
    }
}
