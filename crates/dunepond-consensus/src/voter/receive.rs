//! Accepts or rejects messages from other voters.

use protobuf::Message as _;
use raft::eraftpb::{EntryType, Message, MessageType};

use super::Voter;
use super::envelope::{Body, Envelope};
use crate::codec::Blob;
use crate::{ConsensusError, Effects, Rejection, VoterSlot, decode};

/// Largest number of former or future voters that are remembered until the next greeting.
const MAX_STRANGER_COUNT: usize = 16;

impl Voter {
    /// Handles a message that another voter's [`Effects::messages`] contained for this one. `from` is the peer at the
    /// other end of the link.
    ///
    /// # Errors
    /// The message is malformed, or it is not accepted.
    pub fn receive(&mut self, now: f64, from: &str, bytes: &[u8]) -> Result<Effects, ConsensusError> {
        self.advance_clock(now);
        let envelope = Envelope::decode(from, bytes)?;
        self.check_fleet(&envelope)?;
        if !self.accepts_sender(&envelope) {
            self.note_stranger(&envelope);
            return Err(ConsensusError::NotAVoter(from.to_string()));
        }
        if self.register_sender(&envelope) {
            self.dispatch(now, envelope)?;
        }
        self.process_ready(now);
        Ok(self.take_effects())
    }

    fn dispatch(&mut self, now: f64, envelope: Envelope) -> Result<(), ConsensusError> {
        let Envelope { from, slot, body, .. } = envelope;
        match body {
            Body::Hello { known_keys, .. } => self.handle_hello(&from, slot, known_keys),
            Body::HelloReply(reply) => self.handle_hello_reply(now, from, reply),
            Body::Raft(Blob(bytes)) => {
                let message =
                    Message::parse_from_bytes(&bytes).map_err(|_| ConsensusError::MalformedMessage(from))?;
                self.step(slot, message);
            }
            Body::LeaseRequest(request) => self.accept_lease_request(now, request, Some(from)),
            Body::LeaseReply { broker, reply } => self.effects.replies.push((broker, reply)),
        }
        Ok(())
    }

    /// Handles a sender that is not a voter as far as this voter knows. It may have started from an old folder, or this
    /// voter may be the one that was removed: greetings tell both of them.
    fn note_stranger(&mut self, envelope: &Envelope) {
        let is_hello = matches!(envelope.body, Body::Hello { .. });
        if !self.has_state || envelope.from == self.config.name || !is_hello {
            return;
        }
        self.send_hello_reply(&envelope.from, envelope.slot, None);
        if self.strangers.len() < MAX_STRANGER_COUNT {
            self.strangers.insert(envelope.from.clone());
        }
    }

    /// Passes a message on to the raft library.
    fn step(&mut self, slot: VoterSlot, message: Message) {
        if !self.is_active() || message.from != slot.folder_id || message.to != self.folder.id {
            return;
        }
        let kind = message.get_msg_type();
        // The leader counts on entries that this folder does not have: it is an old copy, whatever others confirmed.
        let last_index = self.node.raft.raft_log.last_index();
        if kind == MessageType::MsgHeartbeat && message.commit > last_index {
            self.discard_folder("the leader counts on more than the folder holds");
            return;
        }
        // Checked before it replaces the content of the folder.
        let is_snapshot = kind == MessageType::MsgSnapshot;
        if is_snapshot && decode::replicated_state(message.get_snapshot().get_data()).is_none() {
            self.mute("the leader's snapshot is invalid for this build");
            return;
        }
        // Acknowledging an entry that this build cannot read would help to commit it.
        if kind == MessageType::MsgAppend
            && let Some(reason) = self.unreadable_entry(&message)
        {
            if self.withheld_index != Some(message.index) {
                self.withheld_index = Some(message.index);
                self.log(format!("withholds its vote: {reason} ({})", reason.help()));
            }
            return;
        }
        // An acknowledgement of entries that this voter never had cannot be meant for it.
        if kind == MessageType::MsgAppendResponse && !message.reject && message.index > last_index {
            return;
        }
        // The library rejects messages of an earlier term or of a former voter; there is nothing to do about them.
        let _ = self.node.step(message);
    }

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
