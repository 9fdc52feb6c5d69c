//! Who the voters are. Each folder is a voter of its own to the library: its number is drawn when the folder is empty.
//! A voter that comes back with an empty folder is thus a new one, whose word counts for nothing until the others have
//! put it in the place of the old one by an agreed change. A folder that was put back from a copy has promised things
//! that it does not know of: peers remember its starts, and it begins anew as if it had been lost.

use std::collections::BTreeMap;

use raft::StateRole;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState};
use rand::RngExt;

use super::{Body, ELECTION, Parcel, TICKS, Voter, fresh, node};
use crate::ledger::{Ledger, snapshot};
use crate::state::{Item, ReplicatedState, Voted};
use crate::{ConsensusError, VoterInfo, VoterSlot, docs};

/// What another voter last said of itself, and the highest start seen of each of its folders.
#[derive(Default)]
pub(super) struct Met {
    now: Option<(VoterSlot, bool)>,
    /// It said so to this very folder.
    blank: bool,
    /// Keys of versions that its program goes by.
    pub knows: Vec<String>,
    seen: BTreeMap<u64, VoterSlot>,
}

/// Folders of one voter that are remembered.
const FOLDERS: usize = 16;

impl Voter {
    pub(super) fn seat(&self) -> VoterSlot {
        VoterSlot { folder_id: self.folder.id, start_count: self.folder.starts, run_id: self.folder.run }
    }

    pub(super) fn name_of(&self, id: u64) -> Option<String> {
        let met = self.met.iter().find(|(_, met)| met.now.is_some_and(|(seat, _)| seat.folder_id == id));
        let agreed =
            || self.state.voter_slots.iter().find(|(_, seat)| seat.folder_id == id).map(|(name, _)| name);
        let left = || self.state.voters.left.iter().find(|(_, folder)| *folder == id).map(|(name, _)| name);
        met.map(|(name, _)| name).or_else(agreed).or_else(left).cloned()
    }

    /// Says who it is until a majority has answered; after that now and then, as others may have forgotten.
    pub(super) fn greet(&mut self, now: f64) {
        if now < self.hello_at {
            return;
        }
        let election = ELECTION as f64 * self.terms.lease_seconds / TICKS;
        let settled = self.cleared && self.has_state;
        self.hello_at = now + election * if settled { 8.0 } else { 0.5 };
        let blank = !self.has_state;
        let others = self.partners();
        self.strangers.clear();
        for name in others {
            self.parcel(&name, 0, Body::Hello { blank, knows: self.knows.clone() });
        }
        self.found(now);
    }

    fn others(&self) -> impl Iterator<Item = &String> {
        self.terms.voters.iter().filter(|name| **name != self.terms.name)
    }

    /// By what is agreed on, where it knows of that; else by the file.
    fn partners(&self) -> Vec<String> {
        let mut all =
            if self.has_state { self.state.voters.names_with_joining() } else { self.terms.voters.clone() };
        // The library may still count on it.
        let conf = self.raw.raft.prs();
        all.extend(
            self.state.voters.left.iter().filter(|(_, id)| conf.get(*id).is_some()).map(|(n, _)| n.clone()),
        );
        all.extend(self.strangers.iter().cloned());
        all.sort();
        all.dedup();
        all.retain(|name| *name != self.terms.name);
        all
    }

    /// Whether messages from there count. One that waits for its place hears whoever knows its folder.
    pub(super) fn hears(&self, parcel: &Parcel) -> bool {
        let (from, counts) = (&parcel.from, |id| self.raw.raft.prs().get(id).is_some());
        let known = match (self.has_state, &parcel.body) {
            // Whoever knows this very folder may tell how things stand.
            (_, Body::Heard { .. }) if parcel.to == self.folder.id => true,
            (true, _) => self.state.voters.contains_or_joining(from) || counts(parcel.seat.folder_id),
            (false, Body::Hello { blank: false, .. }) => true,
            (false, _) => parcel.to == self.folder.id || self.terms.voters.contains(from),
        };
        known && *from != self.terms.name
    }

    /// What was brought back by an operator's word is one fleet with what was before, and goes before it.
    pub(super) fn fenced(&mut self, parcel: &Parcel) -> Result<(), ConsensusError> {
        let from = parcel.from.clone();
        if !(self.has_state && parcel.seated) || self.state.fleet_id == 0 || parcel.fleet == 0 {
            return Ok(());
        }
        if parcel.fleet != self.state.fleet_id {
            return Err(ConsensusError::OtherFleet { from });
        }
        if parcel.epoch > self.state.epoch {
            self.lose("the fleet was brought back without it, by an operator's word");
        } else if parcel.epoch < self.state.epoch {
            if matches!(parcel.body, Body::Hello { .. }) {
                self.tell_seats(parcel, None);
            }
            return Err(ConsensusError::StaleEpoch { from, said: parcel.epoch, known: self.state.epoch });
        }
        Ok(())
    }

    /// Its folder counts no more, by what is agreed on.
    pub(super) fn is_out(&self) -> bool {
        self.dismissed || (self.has_state && self.raw.raft.prs().get(self.folder.id).is_none())
    }

    /// How things stand, for one who says hello.
    pub(super) fn tell_seats(&mut self, parcel: &Parcel, seen: Option<VoterSlot>) {
        let agreed = self.state.voter_slots.get(&parcel.from).copied();
        let (index, blank) = (self.state.index, !self.has_state);
        let wanted = self.has_state && self.state.voters.contains_or_joining(&parcel.from);
        let voters = self.state.voters.voters.clone();
        let knows = self.knows.clone();
        let body = Body::Heard { blank, seen, agreed, wanted, voters, index, knows };
        self.parcel(&parcel.from, parcel.seat.folder_id, body);
    }

    /// Whether a parcel is believed; what it says of its sender is remembered.
    pub(super) fn meets(&mut self, parcel: &Parcel) -> bool {
        if parcel.to != 0 && parcel.to != self.folder.id {
            return false;
        }
        let agreed = self
            .state
            .voter_slots
            .get(&parcel.from)
            .filter(|seat| seat.folder_id == parcel.seat.folder_id)
            .copied();
        let met = self.met.entry(parcel.from.clone()).or_default();
        let seen = met.seen.get(&parcel.seat.folder_id).copied().max_by_starts(agreed);
        if seen.is_some_and(|seen| older(parcel.seat, seen)) {
            self.tell_seats(parcel, seen);
            return false;
        }
        if met.seen.len() == FOLDERS && !met.seen.contains_key(&parcel.seat.folder_id) {
            met.seen.pop_first();
        }
        met.seen.insert(parcel.seat.folder_id, parcel.seat);
        let blank = match &parcel.body {
            Body::Hello { blank, .. } | Body::Heard { blank, .. } => *blank,
            _ => met.now.is_some_and(|(seat, blank)| blank && seat.folder_id == parcel.seat.folder_id),
        };
        met.now = Some((parcel.seat, blank));
        true
    }

    pub(super) fn greeted(&mut self, now: f64, parcel: Parcel) {
        match parcel.body {
            Body::Hello { ref knows, .. } => {
                if let Some(met) = self.met.get_mut(&parcel.from) {
                    met.knows.clone_from(knows);
                }
                self.tell_seats(&parcel, None);
            }
            Body::Heard { blank, seen, agreed, wanted, voters, index, knows } => {
                let mine = self.seat();
                if seen.is_some_and(|seen| seen.folder_id == mine.folder_id && older(mine, seen)) {
                    self.lose("another voter saw a later start of it");
                    return;
                }
                let replaced = agreed.is_some_and(|agreed| agreed.folder_id != mine.folder_id);
                if self.has_state && replaced && index > self.state.index {
                    self.lose("another folder has taken its place");
                    return;
                }
                if self.has_state && agreed.is_none() && index > self.state.index {
                    // Its promises stay in the folder as long as nobody wants it anew: a change of voters that is under
                    // way may need its word.
                    match wanted {
                        true => self.lose("it was no voter any more, and shall be one again"),
                        false => self.dismiss(voters),
                    }
                    return;
                }
                if let Some(met) = self.met.get_mut(&parcel.from) {
                    (met.blank, met.knows) = (blank, knows);
                }
                if !self.heard.contains(&parcel.from) {
                    self.heard.push(parcel.from);
                }
                let voters = match self.has_state {
                    true => self.state.voters.voters.len(),
                    false => self.terms.voters.len(),
                };
                if !self.cleared && !self.mute && !self.dismissed && self.heard.len() >= voters / 2 {
                    self.cleared = true;
                    self.owed = 0.0;
                }
                self.found(now);
            }
            _ => {}
        }
    }

    /// The first voter of the file founds the fleet, once every other one has said to it that its folder is empty, too:
    /// so that none can have agreed on anything, and that only one fleet is founded.
    fn found(&mut self, now: f64) {
        if self.has_state || self.mute || self.terms.voters[0] != self.terms.name {
            return;
        }
        let mut seats = BTreeMap::from([(self.terms.name.clone(), self.seat())]);
        for name in self.others() {
            match self.met.get(name) {
                Some(Met { now: Some((seat, true)), blank: true, .. }) => seats.insert(name.clone(), *seat),
                _ => return,
            };
        }
        let ids: Vec<u64> = seats.values().map(|seat| seat.folder_id).collect();
        let mut state = ReplicatedState::new(self.terms.clone(), seats);
        (state.index, state.fleet_id, state.epoch) = (1, self.chance.random::<u64>().max(1), 1);
        let mut ledger = Ledger::default();
        // A term by chance: should a fleet be founded twice before it agreed on anything, their logs must not look alike.
        let term = self.chance.random_range(1..1 << 20);
        ledger.restore(snapshot(1, term, ConfState::from((ids, Vec::new())), state.bytes()));
        self.raw = node(self.folder.id, 1, ledger);
        (self.state, self.has_state, self.cleared) = (state, true, true);
        self.orders.log_lines.push(String::from("founded the fleet: every voter's folder was empty"));
        self.watch.again(now, &self.state);
    }

    /// What the folder holds is worth nothing: begins anew as another voter. The others will put it in its place.
    pub(super) fn lose(&mut self, why: &str) {
        if self.mute {
            return;
        }
        self.orders.log_lines.push(format!(
            "the folder is not gone on from: {why}; begins anew and is brought up by the others"
        ));
        self.folder = fresh(&self.terms.name, &mut self.chance);
        (self.folder.starts, self.folder.run) = (1, self.chance.random());
        self.raw = node(self.folder.id, 0, Ledger::default());
        self.state = ReplicatedState::new(self.terms.clone(), BTreeMap::new());
        (self.has_state, self.cleared, self.dismissed) = (false, true, false);
        self.heard.clear();
        self.snapshots.clear();
        self.asks.drop_all(&mut self.orders);
        self.met.values_mut().for_each(|met| met.blank = false);
        self.hello_at = self.last;
        // What the old folder would have said rests on nothing any more.
        self.orders.messages.clear();
        self.orders.write_batch.folder = Some(self.folder.clone());
        self.orders.state_changed = true;
    }

    /// Others have agreed that it votes no more: it says nothing that could count.
    fn dismiss(&mut self, voters: Vec<VoterInfo>) {
        self.successors = voters;
        if !std::mem::replace(&mut self.dismissed, true) {
            self.cleared = false;
            self.orders.log_lines.push(String::from(
                "votes no more: the others have agreed on voters without it; take it out of the files",
            ));
            self.asks.drop_all(&mut self.orders);
        }
    }

    /// What the leader has to write down of who the voters are; one thing at a time.
    pub(super) fn seat_to_write(&self) -> Option<Item> {
        let mine = (&self.terms.name, self.seat(), false);
        let met = self.met.iter().filter_map(|(name, met)| met.now.map(|(seat, blank)| (name, seat, blank)));
        let met = met.filter(|(name, ..)| self.state.voters.contains(name));
        for (name, seat, blank) in std::iter::once(mine).chain(met) {
            let changed = match self.state.voter_slots.get(name) {
                Some(agreed) if agreed.folder_id == seat.folder_id => seat.start_count > agreed.start_count,
                // A folder that is none of the agreed ones, and holds something, will find out by itself.
                _ => blank,
            };
            if changed {
                return Some(Item::Seat { voter: name.clone(), seat });
            }
        }
        self.voted_to_write()
    }

    /// The list of voters that waits, once the one that joins is there with an empty folder.
    fn voted_to_write(&self) -> Option<Item> {
        let (joins, leaves) = self.state.voters.moving()?;
        let joins = match joins {
            Some(name) => match self.met.get(&name)?.now {
                Some((seat, true)) => Some((name, seat)),
                _ => return None,
            },
            None => None,
        };
        let folder = |name: &String| self.state.voter_slots.get(name).map(|seat| seat.folder_id);
        let leaves = leaves.map(|name| (name.clone(), folder(&name)));
        let number = self.state.voters.pending.as_ref()?.number;
        Some(Item::Voted(Voted { number, joins, leaves }))
    }

    /// One that shall leave hands the lead on first, if anybody else can take it: nobody has to wait for an election.
    fn hands_on(&mut self) -> bool {
        let own = self.folder.id;
        let fit = |id: &u64| {
            let progress = self.raw.raft.prs().get(*id);
            *id != own && progress.is_some_and(|progress| progress.recent_active)
        };
        let other = self.state.voter_slots.values().map(|seat| seat.folder_id).find(fit);
        if let Some(other) = other {
            self.raw.transfer_leader(other);
        }
        // Where nobody has been heard for now it waits: without the others nothing is agreed on, either.
        self.raw.raft.prs().iter().any(|(id, _)| *id != own)
    }

    /// Writes the list of voters that waits, with the library's own change.
    pub(super) fn write_voted(&mut self, voted: &Voted) {
        if self.raw.raft.state != StateRole::Leader {
            return;
        }
        if voted.leaves.as_ref().is_some_and(|(name, _)| *name == self.terms.name) && self.hands_on() {
            return;
        }
        let joins = voted.joins.as_ref().map(|(_, seat)| seat.folder_id);
        let leaves = voted.leaves.as_ref().and_then(|(_, folder)| *folder);
        self.write_change(joins, leaves, &Item::Voted(voted.clone()));
    }

    /// Writes it: a new start as an entry, another folder as a change of voters that takes the place of the old one.
    pub(super) fn write_seat(&mut self, item: &Item) {
        let Item::Seat { voter, seat } = item else { return };
        let old = self.state.voter_slots.get(voter).map(|seat| seat.folder_id);
        if old == Some(seat.folder_id) {
            let _ = self.write(item);
            return;
        }
        if self.raw.raft.state == StateRole::Leader {
            self.write_change(Some(seat.folder_id), old, item);
        }
    }

    fn write_change(&mut self, joins: Option<u64>, leaves: Option<u64>, item: &Item) {
        let single = |kind, id| {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(kind);
            single.node_id = id;
            single
        };
        // The library takes one at a time, and writes an empty entry in the place of another.
        let conf = self.raw.raft.prs().conf().to_conf_state();
        if self.raw.raft.has_pending_conf() || !conf.voters_outgoing.is_empty() {
            return;
        }
        let joins = joins.map(|id| single(ConfChangeType::AddNode, id));
        let changes: Vec<_> =
            joins.into_iter().chain(leaves.map(|id| single(ConfChangeType::RemoveNode, id))).collect();
        let mut change = ConfChangeV2::default();
        change.set_changes(changes.into());
        let context = docs::write(item);
        let _ = self.raw.propose_conf_change(context, change);
    }
}

/// `seat` is an earlier start of its folder than `seen`, or a copy that started beside it.
fn older(seat: VoterSlot, seen: VoterSlot) -> bool {
    seat.start_count < seen.start_count
        || (seat.start_count == seen.start_count && seat.run_id != seen.run_id)
}

trait Later {
    fn max_by_starts(self, other: Option<VoterSlot>) -> Option<VoterSlot>;
}

impl Later for Option<VoterSlot> {
    fn max_by_starts(self, other: Option<VoterSlot>) -> Option<VoterSlot> {
        match (self, other) {
            (Some(a), Some(b)) => Some(if a.start_count >= b.start_count { a } else { b }),
            (a, b) => a.or(b),
        }
    }
}
