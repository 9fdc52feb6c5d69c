//! Checks messages from other voters, and handles those that are accepted.

use protobuf::Message as _;
use raft::eraftpb::{EntryType, Message, MessageType};

use super::Voter;
use super::envelope::{Body, Envelope};
use crate::codec::Blob;
use crate::{ConsensusError, Effects, FolderStart, Rejection, decode};

/// Largest number of unknown senders that are remembered until the next hellos.
const MAX_UNKNOWN_SENDER_COUNT: usize = 16;

impl Voter {
    /// Handles a message from the [`Effects::messages`] of another voter. `from` is the name of the peer at the other end
    /// of the connection.
    ///
    /// # Errors
    /// The message is malformed, or not accepted from this sender.
    pub fn receive(&mut self, now: f64, from: &str, bytes: &[u8]) -> Result<Effects, ConsensusError> {
        self.advance_clock(now);
        let envelope = Envelope::decode(from, bytes)?;
        self.check_fleet(&envelope)?;
        if !self.accepts_sender(&envelope) {
            self.handle_unknown_sender(&envelope);
            return Err(ConsensusError::NotAVoter(from.to_string()));
        }
        if self.register_sender(&envelope) {
            self.dispatch(now, envelope)?;
        }
        self.process_ready(now);
        Ok(self.take_effects())
    }

    fn dispatch(&mut self, now: f64, envelope: Envelope) -> Result<(), ConsensusError> {
        let Envelope { from, folder_start, body, .. } = envelope;
        match body {
            Body::Hello { known_keys, .. } => self.handle_hello(&from, folder_start, known_keys),
            Body::HelloReply(reply) => self.handle_hello_reply(now, from, reply),
            Body::Raft(Blob(bytes)) => {
                let message =
                    Message::parse_from_bytes(&bytes).map_err(|_| ConsensusError::MalformedMessage(from))?;
                self.step(folder_start, message);
            }
            Body::LeaseRequest(request) => self.accept_lease_request(now, request, Some(from)),
            Body::LeaseReply { broker, reply } => self.effects.replies.push((broker, reply)),
        }
        Ok(())
    }

    /// Handles a message from a sender that is not a voter as far as this voter knows. The sender or this voter may
    /// have been removed without knowing it yet; the two learn that by exchanging hellos.
    fn handle_unknown_sender(&mut self, envelope: &Envelope) {
        let is_hello = matches!(envelope.body, Body::Hello { .. });
        if !self.has_state || envelope.from == self.config.name || !is_hello {
            return;
        }
        self.send_hello_reply(&envelope.from, envelope.folder_start, None);
        if self.unknown_senders.len() < MAX_UNKNOWN_SENDER_COUNT {
            self.unknown_senders.insert(envelope.from.clone());
        }
    }

    /// Passes a message on to the raft library.
    fn step(&mut self, folder_start: FolderStart, message: Message) {
        if !self.is_active() || message.from != folder_start.folder_id || message.to != self.folder.id {
            return;
        }
        let kind = message.get_msg_type();
        // A leader's heartbeat states no later commit index than this voter has acknowledged. If the log ends before
        // it, the folder is an old copy, even if other voters have confirmed it as the latest one.
        let last_index = self.node.raft.raft_log.last_index();
        if kind == MessageType::MsgHeartbeat && message.commit > last_index {
            self.discard_folder("the leader's commit index is beyond the end of the folder's log");
            return;
        }
        // The snapshot is decoded here, before it replaces the content of the folder.
        let is_snapshot = kind == MessageType::MsgSnapshot;
        if is_snapshot && decode::replicated_state(message.get_snapshot().get_data()).is_none() {
            self.stop_voting("this build cannot use the leader's snapshot");
            return;
        }
        // If this voter acknowledged an entry that its build cannot decode, it would help to commit the entry.
        if kind == MessageType::MsgAppend
            && let Some(reason) = self.unreadable_entry(&message)
        {
            if self.withheld_index != Some(message.index) {
                self.withheld_index = Some(message.index);
                self.log(format!(
                    "withholds acknowledgement of the entries after index {}: {reason} ({})",
                    message.index,
                    reason.help()
                ));
            }
            return;
        }
        // An acknowledgement of entries that this voter does not have cannot refer to its log, so it is dropped.
        if kind == MessageType::MsgAppendResponse && !message.reject && message.index > last_index {
            return;
        }
        // The library returns an error for messages of an earlier term or from a former voter; they are dropped.
        let _ = self.node.step(message);
    }

    /// Why this build cannot decode an entry of the message, if there is such an entry.
    fn unreadable_entry(&self, message: &Message) -> Option<Rejection> {
        message.get_entries().iter().find_map(|entry| {
            let bytes: &[u8] = if entry.context.is_empty() { &entry.data } else { &entry.context };
            let is_membership_only =
                entry.context.is_empty() && entry.get_entry_type() != EntryType::EntryNormal;
            if is_membership_only || bytes.is_empty() {
                return None;
            }
            decode::log_entry(bytes, &self.known_keys).err()
        })
    }
}
