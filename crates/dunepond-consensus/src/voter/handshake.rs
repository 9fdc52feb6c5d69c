//! Hellos between voters. From the replies a voter learns whether its data folder is the latest one, and whether it is
//! still a voter.
//!
//! The raft library treats each folder as a separate voter. A voter that restarts with an empty folder is a new one,
//! whose votes do not count until the others have committed a membership change by which the new folder's id replaces
//! the old one's. A folder that was restored from a copy does not record what the voter voted for and acknowledged
//! after the copy was made. Therefore each folder counts the process starts on it, and peers remember the latest start
//! that they know of. If a voter reports an earlier start of the same folder, a peer replies with the later one, and the
//! voter discards its folder and continues with an empty one.

use std::collections::BTreeMap;

use raft::eraftpb::ConfState;
use rand::RngExt;

use super::envelope::{Body, Envelope, HelloReply};
use super::raft_node::{elections_seconds, raft_node};
use super::{Participation, Voter};
use crate::log_storage::{LogStorage, snapshot};
use crate::{ConsensusError, FolderStart, ReplicatedState, VoterInfo};

/// Largest number of folders of one voter for which the latest process start is remembered.
const MAX_FOLDER_COUNT: usize = 16;
/// Number of election timeouts between hellos once a majority has confirmed that this voter's folder is the latest one.
const VERIFIED_HELLO_ELECTIONS: f64 = 8.0;
/// Number of election timeouts between hellos before a majority has confirmed that this voter's folder is the latest
/// one, or while this voter has no state of the fleet.
const UNVERIFIED_HELLO_ELECTIONS: f64 = 0.5;
/// Range from which the founding voter draws the first term at random.
const FOUNDING_TERMS: std::ops::Range<u64> = 1..1 << 20;

/// The data folder of another voter, according to its last accepted message.
#[derive(Clone, Copy)]
pub(super) struct PeerFolder {
    /// Id of the folder, and the process start on it that sent the message.
    pub start: FolderStart,
    /// Whether the folder contains no state of the fleet.
    pub empty: bool,
}

/// What this voter knows about another voter.
#[derive(Default)]
pub(super) struct PeerVoter {
    /// The folder that the voter last reported.
    pub folder: Option<PeerFolder>,
    /// Whether the voter has reported that its own folder is empty, in a reply to a hello from this voter's present
    /// folder.
    reported_empty: bool,
    /// Keys of version extensions that the voter's build implements.
    pub known_keys: Vec<String>,
    /// The latest known process start on each of the voter's folders, by the folder's id.
    latest_starts: BTreeMap<u64, FolderStart>,
}

impl Voter {
    /// Name of the voter whose folder has this id, if it is known.
    pub(super) fn name_of(&self, folder_id: u64) -> Option<String> {
        let has_id = |folder_start: &FolderStart| folder_start.folder_id == folder_id;
        let peer =
            self.peers.iter().find(|(_, peer)| peer.folder.is_some_and(|folder| has_id(&folder.start)));
        let committed = || {
            self.state
                .folder_starts
                .iter()
                .find(|(_, folder_start)| has_id(folder_start))
                .map(|(name, _)| name)
        };
        let removed = || {
            let last_removed = self.state.voters.last_removed.as_ref();
            last_removed.filter(|(_, folder)| *folder == folder_id).map(|(name, _)| name)
        };
        peer.map(|(name, _)| name).or_else(committed).or_else(removed).cloned()
    }

    /// Sends hellos to the other voters when they are due: often until a majority has confirmed that this voter's
    /// folder is the latest one, and less often after that, since other voters may have restarted.
    pub(super) fn send_hellos(&mut self, now: f64) {
        if now < self.next_hello_at {
            return;
        }
        let is_verified = self.is_active() && self.has_state;
        let elections = if is_verified { VERIFIED_HELLO_ELECTIONS } else { UNVERIFIED_HELLO_ELECTIONS };
        self.next_hello_at = now + elections_seconds(1.0, self.config.lease_seconds) * elections;
        let folder_empty = !self.has_state;
        let recipients = self.hello_recipients();
        self.unknown_senders.clear();
        for name in recipients {
            self.send(&name, 0, Body::Hello { folder_empty, known_keys: self.known_keys.clone() });
        }
        self.found_fleet(now);
    }

    /// Names of the voters to which hellos are sent: those of the committed list if there is one, otherwise those of the
    /// file.
    fn hello_recipients(&self) -> Vec<String> {
        let mut names = match self.has_state {
            true => self.state.voters.names_with_joining(),
            false => self.config.voters.clone(),
        };
        if let Some((name, folder)) = &self.state.voters.last_removed
            && self.is_member(*folder)
        {
            // The raft library's membership change is not complete, so it still counts the removed voter as a member.
            names.push(name.clone());
        }
        names.extend(self.unknown_senders.iter().cloned());
        names.sort();
        names.dedup();
        names.retain(|name| *name != self.config.name);
        names
    }

    /// Whether the folder of this id is a member of the raft group.
    pub(super) fn is_member(&self, folder_id: u64) -> bool {
        self.node.raft.prs().get(folder_id).is_some()
    }

    /// Whether a message is accepted, judging by its sender, its kind and the folders that it states.
    pub(super) fn accepts_sender(&self, envelope: &Envelope) -> bool {
        let from = &envelope.from;
        let to_this_folder = envelope.to_folder == self.folder.id;
        let accepted = match &envelope.body {
            // A hello reply that is addressed to this voter's present data folder is accepted from any peer.
            Body::HelloReply(_) if to_this_folder => true,
            _ if self.has_state => {
                self.state.voters.contains_or_joining(from) || self.is_member(envelope.folder_start.folder_id)
            }
            Body::Hello { folder_empty: false, .. } => true,
            _ => to_this_folder || self.config.voters.contains(from),
        };
        accepted && *from != self.config.name
    }

    /// Checks that a message is from the same fleet and the present epoch. A recovered fleet continues in a later epoch;
    /// a voter that receives a message of a later epoch discards its folder.
    pub(super) fn check_fleet(&mut self, envelope: &Envelope) -> Result<(), ConsensusError> {
        let from = envelope.from.clone();
        let both_have_state = self.has_state && envelope.has_state;
        if !both_have_state || self.state.fleet_id == 0 || envelope.fleet_id == 0 {
            return Ok(());
        }
        if envelope.fleet_id != self.state.fleet_id {
            return Err(ConsensusError::OtherFleet { from });
        }
        if envelope.epoch > self.state.epoch {
            self.discard_folder("the fleet was recovered without this voter by an operator's order");
        } else if envelope.epoch < self.state.epoch {
            if matches!(envelope.body, Body::Hello { .. }) {
                self.send_hello_reply(&envelope.from, envelope.folder_start, None);
            }
            let (stated, known) = (envelope.epoch, self.state.epoch);
            return Err(ConsensusError::StaleEpoch { from, stated, known });
        }
        Ok(())
    }

    /// Whether this voter was removed, according to its own committed state or to other voters' reports.
    pub(super) fn is_removed(&self) -> bool {
        self.reported_removed || (self.has_state && !self.is_member(self.folder.id))
    }

    /// Sends a hello reply to the voter `to`, whose message was sent from the folder and process start in
    /// `folder_start`. `seen` is a later process start on that folder, if this voter knows of one; it shows the sender
    /// that its folder was restored from a copy.
    pub(super) fn send_hello_reply(
        &mut self,
        to: &str,
        folder_start: FolderStart,
        seen: Option<FolderStart>,
    ) {
        let reply = HelloReply {
            folder_empty: !self.has_state,
            seen_start: seen,
            committed_start: self.state.folder_starts.get(to).copied(),
            is_wanted: self.has_state && self.state.voters.contains_or_joining(to),
            voters: self.state.voters.voters.clone(),
            index: self.state.index,
            known_keys: self.known_keys.clone(),
        };
        self.send(to, folder_start.folder_id, Body::HelloReply(reply));
    }

    /// Records the folder and process start from which a message was sent. Returns `false`, so that the message is
    /// dropped, if it is addressed to another folder of this voter, or if a later process start on the sender's folder
    /// is known.
    pub(super) fn register_sender(&mut self, envelope: &Envelope) -> bool {
        if envelope.to_folder != 0 && envelope.to_folder != self.folder.id {
            return false;
        }
        let folder_start = envelope.folder_start;
        let committed = self.state.folder_starts.get(&envelope.from).copied();
        let committed = committed.filter(|committed| committed.folder_id == folder_start.folder_id);
        let peer = self.peers.entry(envelope.from.clone()).or_default();
        let seen = later_start(peer.latest_starts.get(&folder_start.folder_id).copied(), committed);
        if seen.is_some_and(|seen| is_earlier_start(folder_start, seen)) {
            self.send_hello_reply(&envelope.from, folder_start, seen);
            return false;
        }
        if peer.latest_starts.len() == MAX_FOLDER_COUNT
            && !peer.latest_starts.contains_key(&folder_start.folder_id)
        {
            peer.latest_starts.pop_first();
        }
        peer.latest_starts.insert(folder_start.folder_id, folder_start);
        let empty = match &envelope.body {
            Body::Hello { folder_empty, .. } => *folder_empty,
            Body::HelloReply(reply) => reply.folder_empty,
            _ => peer
                .folder
                .is_some_and(|known| known.empty && known.start.folder_id == folder_start.folder_id),
        };
        peer.folder = Some(PeerFolder { start: folder_start, empty });
        true
    }

    pub(super) fn handle_hello(&mut self, from: &str, folder_start: FolderStart, known_keys: Vec<String>) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.known_keys = known_keys;
        }
        self.send_hello_reply(from, folder_start, None);
    }

    pub(super) fn handle_hello_reply(&mut self, now: f64, from: String, reply: HelloReply) {
        let own = self.folder_start();
        let is_later_start =
            |seen: FolderStart| seen.folder_id == own.folder_id && is_earlier_start(own, seen);
        if reply.seen_start.is_some_and(is_later_start) {
            self.discard_folder("another voter has seen a later start of this folder");
            return;
        }
        let is_newer = self.has_state && reply.index > self.state.index;
        let is_replaced = reply.committed_start.is_some_and(|committed| committed.folder_id != own.folder_id);
        if is_newer && is_replaced {
            self.discard_folder("another folder of this broker has replaced it");
            return;
        }
        if is_newer && reply.committed_start.is_none() {
            // The folder is retained until a list includes this voter again, since a membership change in progress may
            // still need this voter's vote.
            match reply.is_wanted {
                true => self.discard_folder("this broker was removed as a voter and is joining again"),
                false => self.stop_as_removed(reply.voters),
            }
            return;
        }
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.reported_empty = reply.folder_empty;
            peer.known_keys = reply.known_keys;
        }
        self.confirm_folder(from);
        self.found_fleet(now);
    }

    /// Records that the voter `by` has confirmed that this voter's folder is the latest one. This voter becomes active
    /// once a majority, including itself, has confirmed that.
    fn confirm_folder(&mut self, by: String) {
        if !self.confirmed_by.contains(&by) {
            self.confirmed_by.push(by);
        }
        let voter_count = match self.has_state {
            true => self.state.voters.voters.len(),
            false => self.config.voters.len(),
        };
        let is_majority = self.confirmed_by.len() >= voter_count / 2;
        if self.participation == Participation::Unverified && !self.reported_removed && is_majority {
            self.participation = Participation::Active;
            self.unticked_seconds = 0.0;
        }
    }

    /// Founds the fleet if this is the first voter of the file and every other voter has reported that its folder is
    /// empty, too. In that case no voter has committed anything, and since only the first voter may found the fleet,
    /// only one is founded.
    fn found_fleet(&mut self, now: f64) {
        if self.has_state || self.has_stopped() || self.config.voters[0] != self.config.name {
            return;
        }
        let Some(folder_starts) = self.empty_folder_starts() else { return };
        let folder_ids: Vec<u64> =
            folder_starts.values().map(|folder_start| folder_start.folder_id).collect();
        let mut state = ReplicatedState::new(self.config.clone(), folder_starts);
        state.index = 1;
        state.fleet_id = self.rng.random::<u64>().max(1);
        state.epoch = 1;
        // The term is random, so that the two logs differ if the fleet is founded a second time before the first one
        // committed anything.
        let term = self.rng.random_range(FOUNDING_TERMS);
        let mut log = LogStorage::default();
        log.restore(snapshot(1, term, ConfState::from((folder_ids, Vec::new())), state.encode()));
        self.node = raft_node(self.folder.id, 1, log);
        (self.state, self.has_state, self.participation) = (state, true, Participation::Active);
        self.log(String::from("founded the fleet: every voter's folder was empty"));
        self.observations.restart(now, &self.state);
    }

    /// The folders and process starts of all voters in the configuration file, by the voter's name; `None` unless all
    /// have reported an empty folder.
    fn empty_folder_starts(&self) -> Option<BTreeMap<String, FolderStart>> {
        let mut folder_starts = BTreeMap::from([(self.config.name.clone(), self.folder_start())]);
        for name in self.config.voters.iter().filter(|name| **name != self.config.name) {
            let peer = self.peers.get(name)?;
            let folder = peer.folder.filter(|folder| folder.empty && peer.reported_empty)?;
            folder_starts.insert(name.clone(), folder.start);
        }
        Some(folder_starts)
    }

    /// Discards this voter's data folder because its content is obsolete. This broker continues as a new voter with an
    /// empty folder, which has a new id. The other voters, if their list includes this broker, then commit a membership
    /// change of the raft group by which the new id replaces the old one.
    pub(super) fn discard_folder(&mut self, reason: &str) {
        if self.has_stopped() {
            return;
        }
        self.log(format!(
            "discarded the folder: {reason}; continuing as a new voter, to which the other voters send the state"
        ));
        self.begin_new_folder();
        self.node = raft_node(self.folder.id, 0, LogStorage::default());
        self.state = ReplicatedState::new(self.config.clone(), BTreeMap::new());
        (self.has_state, self.participation, self.reported_removed) = (false, Participation::Active, false);
        self.confirmed_by.clear();
        self.snapshots_sent.clear();
        self.lease_requests.reject_all(&mut self.effects);
        self.peers.values_mut().for_each(|peer| peer.reported_empty = false);
        self.next_hello_at = self.last_now;
        // Messages queued so far were sent in the name of the old folder, so they are no longer valid.
        self.effects.messages.clear();
        self.effects.state_changed = true;
    }

    /// Stops voting because the other voters have committed a list without this voter. `voters` are the voters of that
    /// list.
    fn stop_as_removed(&mut self, voters: Vec<VoterInfo>) {
        self.reported_voters = voters;
        if self.reported_removed {
            return;
        }
        self.reported_removed = true;
        if self.is_active() {
            self.participation = Participation::Unverified;
        }
        self.log(String::from(
            "removed as a voter: the committed list does not contain this broker; remove it from the configuration files",
        ));
        self.lease_requests.reject_all(&mut self.effects);
    }
}

/// Whether `folder_start` is an earlier process start on its folder than `seen`, or has the same start count but
/// another run id, so that one of the two was made on a copy of the folder.
fn is_earlier_start(folder_start: FolderStart, seen: FolderStart) -> bool {
    folder_start.start_count < seen.start_count
        || (folder_start.start_count == seen.start_count && folder_start.run_id != seen.run_id)
}

/// The later one of two process starts on the same folder.
fn later_start(a: Option<FolderStart>, b: Option<FolderStart>) -> Option<FolderStart> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if a.start_count >= b.start_count { a } else { b }),
        (a, b) => a.or(b),
    }
}
