//! Processes the output of the raft library: queues its messages, stores entries, and applies committed entries.

use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, Entry, EntryType, Message, MessageType};
use raft::{ProgressState, SnapshotStatus, StateRole};

use super::envelope::{Body, Envelope};
use super::raft_node::{ELECTION_TICKS, elections_seconds};
use super::{Participation, Voter};
use crate::codec::Blob;
use crate::log_storage::SnapshotPolicy;
use crate::{Effects, EntryOutcome, StateChange, WriteBatch, decode};

/// Number of election timeouts after which a snapshot that was not acknowledged is sent again.
const SNAPSHOT_RETRY_ELECTIONS: f64 = 4.0;

/// A committed entry of the raft library, split into its log entry and its membership change.
struct CommittedEntry {
    index: u64,
    /// The encoded [`crate::log_entry::LogEntry`], if there is one.
    bytes: Option<Vec<u8>>,
    /// The raft library's membership change, if the entry contains a valid one.
    membership_change: Option<ConfChangeV2>,
    /// Whether the raft library treats the entry as a membership change.
    is_membership_entry: bool,
}

impl CommittedEntry {
    fn new(entry: Entry) -> Self {
        let index = entry.index;
        match entry.get_entry_type() {
            EntryType::EntryNormal => {
                let bytes = Some(entry.data.to_vec()).filter(|data| !data.is_empty());
                Self { index, bytes, membership_change: None, is_membership_entry: false }
            }
            // This crate never writes `EntryConfChange`, the library's old form of a membership change.
            EntryType::EntryConfChange => {
                Self { index, bytes: None, membership_change: None, is_membership_entry: true }
            }
            EntryType::EntryConfChangeV2 => Self {
                index,
                bytes: Some(entry.context.to_vec()).filter(|context| !context.is_empty()),
                membership_change: ConfChangeV2::parse_from_bytes(&entry.data).ok(),
                is_membership_entry: true,
            },
        }
    }
}

impl Voter {
    /// Processes everything that the raft library has ready, then replies to lease requests.
    pub(super) fn process_ready(&mut self, now: f64) {
        let mut reads = Vec::new();
        while !self.has_stopped() && self.node.has_ready() {
            let mut ready = self.node.ready();
            self.send_raft_messages(now, ready.take_messages());
            if !ready.snapshot().is_empty() {
                self.node.mut_store().restore(ready.snapshot().clone());
                self.adopt_snapshot(now);
            }
            if !self.apply_all(now, ready.take_committed_entries()) {
                return;
            }
            self.node.mut_store().append(ready.entries());
            if let Some(hard_state) = ready.hs() {
                self.node.mut_store().set_hard_state(hard_state);
            }
            self.send_raft_messages(now, ready.take_persisted_messages());
            reads.extend(ready.take_read_states());
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.node.mut_store().set_commit(commit);
            }
            self.send_raft_messages(now, light.take_messages());
            if !self.apply_all(now, light.take_committed_entries()) {
                return;
            }
            self.node.advance_apply();
            self.pin_election_timeout();
        }
        if self.has_state && !self.has_stopped() {
            self.compact(self.state.index, SnapshotPolicy::WhenLong);
        }
        let leading_term = self.is_leader().then_some(self.node.raft.term);
        self.observations.set_leading(now, leading_term);
        self.reply_to_lease_requests(now, reads);
    }

    /// Replaces the election timeout that the raft library draws at random by a hash of the folder's id and the term,
    /// so that simulations can be replayed. The timeout still differs between voters, and from term to term.
    pub(super) fn pin_election_timeout(&mut self) {
        let term = self.node.raft.term.to_be_bytes();
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&term, self.folder.id);
        self.node.raft.set_randomized_election_timeout(ELECTION_TICKS + hash as usize % ELECTION_TICKS);
    }

    fn compact(&mut self, index: u64, policy: SnapshotPolicy) {
        let state = &self.state;
        self.node.mut_store().compact(index, policy, || state.encode());
    }

    /// Stops the voter, because this build cannot decode an entry or snapshot. The voter no longer processes the raft
    /// library's output, so that its state does not diverge from that of the other voters. The folder is retained for a
    /// build that can decode it.
    pub(super) fn stop_voting(&mut self, reason: &str) {
        self.participation = Participation::Stopped;
        self.log(format!(
            "stopped voting: {reason}; restart this broker with the build that the other voters run"
        ));
        self.lease_requests.reject_all(&mut self.effects);
    }

    /// Applies committed entries in order. Returns `false` if one of them stopped the voter.
    fn apply_all(&mut self, now: f64, entries: Vec<Entry>) -> bool {
        entries.into_iter().all(|entry| self.apply_committed(now, CommittedEntry::new(entry)))
    }

    /// Applies one committed entry. Returns `false` if it stopped the voter.
    fn apply_committed(&mut self, now: f64, entry: CommittedEntry) -> bool {
        let mut applied = true;
        if let Some(bytes) = &entry.bytes {
            match decode::log_entry(bytes, &self.known_keys) {
                Ok(log_entry) => {
                    let result = self.state.apply(entry.index, log_entry);
                    applied = result.is_ok();
                    self.record_outcome(now, EntryOutcome { index: entry.index, result });
                }
                Err(reason) => {
                    self.stop_voting(&format!("a committed entry cannot be decoded: {reason}"));
                    return false;
                }
            }
        }
        // If the log entry is ignored, its membership change is ignored, too. All voters do the same, since they apply
        // the same entries to the same state.
        if let Some(change) = entry.membership_change.filter(|_| applied) {
            self.apply_membership_change(&change);
        }
        self.state.index = entry.index;
        if entry.is_membership_entry {
            self.compact(entry.index, SnapshotPolicy::Now);
        }
        true
    }

    /// Records, logs and queues the outcome of an entry.
    fn record_outcome(&mut self, now: f64, outcome: EntryOutcome) {
        let index = outcome.index;
        match &outcome.result {
            Ok(change) => {
                self.effects.state_changed = true;
                self.observations.observe(now, change);
                if matches!(change, StateChange::Quota(_)) {
                    self.observations.observe_quota(now, &self.state.quota);
                }
                let is_frequent = matches!(
                    change,
                    StateChange::Settlement(_) | StateChange::VoterSlot(_) | StateChange::Quota(_)
                );
                if !is_frequent {
                    self.log(format!("committed at index {index}: {change:?}"));
                }
            }
            Err(reason) => self.log(format!("ignored at index {index}: {reason}; {}", reason.help())),
        }
        self.effects.outcomes.push(outcome);
    }

    fn apply_membership_change(&mut self, change: &ConfChangeV2) {
        let Ok(conf_state) = self.node.apply_conf_change(change) else { return };
        self.node.mut_store().set_conf_state(conf_state);
        // If the change removed this leader, the library would keep it as leader although it cannot commit anything.
        if self.is_removed() && self.node.raft.state == StateRole::Leader {
            let term = self.node.raft.term;
            self.node.raft.become_follower(term, 0);
            self.log(String::from("stepped down as leader: this broker was removed as a voter"));
        }
    }

    /// Adopts the state in a snapshot from the leader, which has replaced the log.
    fn adopt_snapshot(&mut self, now: f64) {
        let (index, data) = self.node.store().last_snapshot();
        self.state = decode::replicated_state(data).expect("the snapshot was checked when it was received");
        self.state.index = index;
        self.has_state = true;
        self.effects.state_changed = true;
        self.log(format!("restored the state up to index {index} from a snapshot"));
        self.observations.restart(now, &self.state);
    }

    /// Queues messages of the raft library.
    fn send_raft_messages(&mut self, now: f64, messages: Vec<Message>) {
        for message in messages {
            let Some(name) = self.name_of(message.to) else { continue };
            if message.get_msg_type() == MessageType::MsgSnapshot {
                self.snapshots_sent.insert(message.to, now);
            }
            let bytes = message.write_to_bytes().expect("all fields are set");
            self.send(&name, message.to, Body::Raft(Blob(bytes)));
        }
    }

    /// Reports snapshots that were not acknowledged in time as failed, so that the raft library sends them again.
    /// Otherwise the library would wait forever for the acknowledgement of a lost snapshot.
    pub(super) fn resend_snapshots(&mut self, now: f64) {
        let timeout_seconds = elections_seconds(SNAPSHOT_RETRY_ELECTIONS, self.config.lease_seconds);
        let late = self.snapshots_sent.iter().filter(|(_, sent_at)| now - **sent_at > timeout_seconds);
        for id in late.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.snapshots_sent.remove(&id);
            let progress = self.node.raft.prs().get(id);
            if progress.is_some_and(|progress| progress.state == ProgressState::Snapshot) {
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Queues a message to the voter `name`. If `to_folder` is not 0, the receiver drops the message unless it runs on
    /// the data folder with this id.
    pub(super) fn send(&mut self, name: &str, to_folder: u64, body: Body) {
        let envelope = Envelope {
            from: self.config.name.clone(),
            folder_start: self.folder_start(),
            fleet_id: self.state.fleet_id,
            epoch: self.state.epoch,
            has_state: self.has_state,
            to_folder,
            body,
        };
        self.effects.messages.push((name.to_string(), envelope.encode()));
    }

    /// Returns the effects since the last call.
    pub(super) fn take_effects(&mut self) -> Effects {
        let batch = self.node.mut_store().take_batch();
        let mut effects = std::mem::take(&mut self.effects);
        effects.write_batch = WriteBatch { folder: effects.write_batch.folder, ..batch };
        effects
    }
}
