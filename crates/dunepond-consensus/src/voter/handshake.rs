//! Greetings between voters, which determine whose folder is the latest one and who is a voter.
//!
//! To the raft library each folder is a voter of its own. A voter that returns with an empty folder is a new one, whose
//! votes do not count until the others have replaced the old one by a committed change. A folder that was restored from
//! a copy has made promises that it does not know of: peers remember its starts, and the voter starts over with an
//! empty folder.

use std::collections::BTreeMap;

use raft::eraftpb::ConfState;
use rand::RngExt;

use super::envelope::{Body, Envelope, HelloReply};
use super::raft_node::{elections_seconds, raft_node};
use super::{Participation, Voter};
use crate::log_storage::{LogStorage, snapshot};
use crate::{ConsensusError, ReplicatedState, VoterInfo, VoterSlot};

/// Number of folders of one voter whose starts are remembered.
const MAX_FOLDER_COUNT: usize = 16;
/// Number of election timeouts between greetings once a majority has confirmed the folder, and before that.
const SETTLED_GREETING_ELECTIONS: f64 = 8.0;
const GREETING_ELECTIONS: f64 = 0.5;
/// Range from which a founder draws its first term.
const FOUNDING_TERMS: std::ops::Range<u64> = 1..1 << 20;

/// The folder of another voter, as it last reported.
#[derive(Clone, Copy)]
pub(super) struct PeerFolder {
    pub slot: VoterSlot,
    pub empty: bool,
}

/// What is known of another voter.
#[derive(Default)]
pub(super) struct PeerVoter {
    pub folder: Option<PeerFolder>,
    /// Whether it has reported to this very folder that its own is empty.
    reported_empty: bool,
    /// Keys of version extensions that its build implements.
    pub known_keys: Vec<String>,
    /// The latest start of each of its folders, by the folder's id.
    latest_starts: BTreeMap<u64, VoterSlot>,
}

impl Voter {
    /// Name of the voter with this folder.
    pub(super) fn name_of(&self, folder_id: u64) -> Option<String> {
        let is_it = |slot: &VoterSlot| slot.folder_id == folder_id;
        let met = self.peers.iter().find(|(_, peer)| peer.folder.is_some_and(|folder| is_it(&folder.slot)));
        let agreed = || self.state.voter_slots.iter().find(|(_, slot)| is_it(slot)).map(|(name, _)| name);
        let removed = || {
            let last_removed = self.state.voters.last_removed.as_ref();
            last_removed.filter(|(_, folder)| *folder == folder_id).map(|(name, _)| name)
        };
        met.map(|(name, _)| name).or_else(agreed).or_else(removed).cloned()
    }

    /// Sends greetings until a majority has replied, and less often after that, since others may have restarted.
    pub(super) fn greet(&mut self, now: f64) {
        if now < self.next_greeting_at {
            return;
        }
        let settled = self.is_active() && self.has_state;
        let elections = if settled { SETTLED_GREETING_ELECTIONS } else { GREETING_ELECTIONS };
        self.next_greeting_at = now + elections_seconds(1.0, self.config.lease_seconds) * elections;
        let folder_empty = !self.has_state;
        let greeted_voters = self.greeted_voters();
        self.strangers.clear();
        for name in greeted_voters {
            self.send(&name, 0, Body::Hello { folder_empty, known_keys: self.known_keys.clone() });
        }
        self.found_fleet(now);
    }

    /// Voters to greet: those of the committed list if there is one, otherwise those of the file.
    fn greeted_voters(&self) -> Vec<String> {
        let mut names = match self.has_state {
            true => self.state.voters.names_with_joining(),
            false => self.config.voters.clone(),
        };
        if let Some((name, folder)) = &self.state.voters.last_removed
            && self.is_member(*folder)
        {
            // The raft library still counts this voter as a member.
            names.push(name.clone());
        }
        names.extend(self.strangers.iter().cloned());
        names.sort();
        names.dedup();
        names.retain(|name| *name != self.config.name);
        names
    }

    /// Whether the folder is a member of the raft group.
    pub(super) fn is_member(&self, folder_id: u64) -> bool {
        self.node.raft.prs().get(folder_id).is_some()
    }

    /// Whether messages of the sender are accepted.
    pub(super) fn accepts_sender(&self, envelope: &Envelope) -> bool {
        let from = &envelope.from;
        let to_this_folder = envelope.to_folder == self.folder.id;
        let accepted = match &envelope.body {
            // A peer that knows this very folder may report what it knows.
            Body::HelloReply(_) if to_this_folder => true,
            _ if self.has_state => {
                self.state.voters.contains_or_joining(from) || self.is_member(envelope.slot.folder_id)
            }
            Body::Hello { folder_empty: false, .. } => true,
            _ => to_this_folder || self.config.voters.contains(from),
        };
        accepted && *from != self.config.name
    }

    /// Checks the fleet and the epoch. A recovered fleet is the same fleet in a later epoch, which overrides earlier
    /// ones.
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
            self.discard_folder("the fleet was recovered without it, by an operator's order");
        } else if envelope.epoch < self.state.epoch {
            if matches!(envelope.body, Body::Hello { .. }) {
                self.send_hello_reply(&envelope.from, envelope.slot, None);
            }
            let (stated, known) = (envelope.epoch, self.state.epoch);
            return Err(ConsensusError::StaleEpoch { from, stated, known });
        }
        Ok(())
    }

    /// Whether this voter's folder is no longer a voter, by what is committed or what others reported.
    pub(super) fn is_removed(&self) -> bool {
        self.dismissed || (self.has_state && !self.is_member(self.folder.id))
    }

    /// Replies to a hello. `seen` is a later start of the addressee's folder than that of its message.
    pub(super) fn send_hello_reply(&mut self, to: &str, slot: VoterSlot, seen: Option<VoterSlot>) {
        let reply = HelloReply {
            folder_empty: !self.has_state,
            seen_slot: seen,
            agreed_slot: self.state.voter_slots.get(to).copied(),
            is_wanted: self.has_state && self.state.voters.contains_or_joining(to),
            voters: self.state.voters.voters.clone(),
            index: self.state.index,
            known_keys: self.known_keys.clone(),
        };
        self.send(to, slot.folder_id, Body::HelloReply(reply));
    }

    /// Records what a message reports about its sender. Returns `false` if the message is for another folder or from an
    /// old start.
    pub(super) fn register_sender(&mut self, envelope: &Envelope) -> bool {
        if envelope.to_folder != 0 && envelope.to_folder != self.folder.id {
            return false;
        }
        let slot = envelope.slot;
        let agreed = self.state.voter_slots.get(&envelope.from).copied();
        let agreed = agreed.filter(|agreed| agreed.folder_id == slot.folder_id);
        let peer = self.peers.entry(envelope.from.clone()).or_default();
        let seen = later_start(peer.latest_starts.get(&slot.folder_id).copied(), agreed);
        if seen.is_some_and(|seen| is_earlier_start(slot, seen)) {
            self.send_hello_reply(&envelope.from, slot, seen);
            return false;
        }
        if peer.latest_starts.len() == MAX_FOLDER_COUNT && !peer.latest_starts.contains_key(&slot.folder_id) {
            peer.latest_starts.pop_first();
        }
        peer.latest_starts.insert(slot.folder_id, slot);
        let empty = match &envelope.body {
            Body::Hello { folder_empty, .. } => *folder_empty,
            Body::HelloReply(reply) => reply.folder_empty,
            _ => peer.folder.is_some_and(|it| it.empty && it.slot.folder_id == slot.folder_id),
        };
        peer.folder = Some(PeerFolder { slot, empty });
        true
    }

    pub(super) fn handle_hello(&mut self, from: &str, slot: VoterSlot, known_keys: Vec<String>) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.known_keys = known_keys;
        }
        self.send_hello_reply(from, slot, None);
    }

    pub(super) fn handle_hello_reply(&mut self, now: f64, from: String, reply: HelloReply) {
        let own = self.slot();
        let is_copy = |seen: VoterSlot| seen.folder_id == own.folder_id && is_earlier_start(own, seen);
        if reply.seen_slot.is_some_and(is_copy) {
            self.discard_folder("another voter saw a later start of it");
            return;
        }
        let is_news = self.has_state && reply.index > self.state.index;
        let is_replaced = reply.agreed_slot.is_some_and(|agreed| agreed.folder_id != own.folder_id);
        if is_news && is_replaced {
            self.discard_folder("another folder has taken its place");
            return;
        }
        if is_news && reply.agreed_slot.is_none() {
            // The folder stays while no list includes this voter again: a membership change in progress may need its
            // vote.
            match reply.is_wanted {
                true => self.discard_folder("it was removed as a voter, and is to be one again"),
                false => self.dismiss(reply.voters),
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

    /// Records that another voter knows of no later start of this folder. A majority, including this voter, has to
    /// confirm it.
    fn confirm_folder(&mut self, by: String) {
        if !self.confirmed_by.contains(&by) {
            self.confirmed_by.push(by);
        }
        let voter_count = match self.has_state {
            true => self.state.voters.voters.len(),
            false => self.config.voters.len(),
        };
        let is_majority = self.confirmed_by.len() >= voter_count / 2;
        if self.participation == Participation::Unverified && !self.dismissed && is_majority {
            self.participation = Participation::Active;
            self.untimed_seconds = 0.0;
        }
    }

    /// Founds the fleet, which the first voter of the file does once every other voter has reported that its folder is
    /// empty, too. Then none can have committed anything, and only one fleet is founded.
    fn found_fleet(&mut self, now: f64) {
        if self.has_state || self.is_muted() || self.config.voters[0] != self.config.name {
            return;
        }
        let Some(slots) = self.empty_slots() else { return };
        let folder_ids: Vec<u64> = slots.values().map(|slot| slot.folder_id).collect();
        let mut state = ReplicatedState::new(self.config.clone(), slots);
        state.index = 1;
        state.fleet_id = self.rng.random::<u64>().max(1);
        state.epoch = 1;
        // The term is random so that the logs differ if a fleet is founded twice before it has committed anything.
        let term = self.rng.random_range(FOUNDING_TERMS);
        let mut log = LogStorage::default();
        log.restore(snapshot(1, term, ConfState::from((folder_ids, Vec::new())), state.encode()));
        self.node = raft_node(self.folder.id, 1, log);
        (self.state, self.has_state, self.participation) = (state, true, Participation::Active);
        self.log(String::from("founded the fleet: every voter's folder was empty"));
        self.watch.restart(now, &self.state);
    }

    /// Identity of every voter's folder, if all folders are empty.
    fn empty_slots(&self) -> Option<BTreeMap<String, VoterSlot>> {
        let mut slots = BTreeMap::from([(self.config.name.clone(), self.slot())]);
        for name in self.config.voters.iter().filter(|name| **name != self.config.name) {
            let peer = self.peers.get(name)?;
            let folder = peer.folder.filter(|folder| folder.empty && peer.reported_empty)?;
            slots.insert(name.clone(), folder.slot);
        }
        Some(slots)
    }

    /// Discards a folder that must not be relied on. The voter starts over as another voter, by which the others
    /// replace this one.
    pub(super) fn discard_folder(&mut self, reason: &str) {
        if self.is_muted() {
            return;
        }
        self.log(format!(
            "the folder is discarded: {reason}; starts over as a new voter and is brought up by the others"
        ));
        self.begin_new_folder();
        self.node = raft_node(self.folder.id, 0, LogStorage::default());
        self.state = ReplicatedState::new(self.config.clone(), BTreeMap::new());
        (self.has_state, self.participation, self.dismissed) = (false, Participation::Active, false);
        self.confirmed_by.clear();
        self.snapshots_sent.clear();
        self.lease_requests.drop_all(&mut self.effects);
        self.peers.values_mut().for_each(|peer| peer.reported_empty = false);
        self.next_greeting_at = self.last_now;
        // Messages that the old folder would have sent are no longer valid.
        self.effects.messages.clear();
        self.effects.state_changed = true;
    }

    /// Stops voting because others have committed a list without this voter. Nothing that it sends counts any more.
    fn dismiss(&mut self, voters: Vec<VoterInfo>) {
        self.successors = voters;
        if self.dismissed {
            return;
        }
        self.dismissed = true;
        if self.is_active() {
            self.participation = Participation::Unverified;
        }
        self.log(String::from(
            "removed as a voter: the others have committed a list without it; remove it from the files",
        ));
        self.lease_requests.drop_all(&mut self.effects);
    }
}

/// Whether `slot` is an earlier start of its folder than `seen`, or a copy that started beside it.
fn is_earlier_start(slot: VoterSlot, seen: VoterSlot) -> bool {
    slot.start_count < seen.start_count
        || (slot.start_count == seen.start_count && slot.run_id != seen.run_id)
}

fn later_start(a: Option<VoterSlot>, b: Option<VoterSlot>) -> Option<VoterSlot> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if a.start_count >= b.start_count { a } else { b }),
        (a, b) => a.or(b),
    }
}
