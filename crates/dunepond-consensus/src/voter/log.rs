//! What the library has ready, worked off: messages out, entries into the log and, once agreed on, into the state.

use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, Entry, EntryType, Message, MessageType};
use raft::{SnapshotStatus, StateRole};

use super::{Body, ELECTION, FORMAT, Parcel, TICKS, Voter};
use crate::docs::{self, Blob};
use crate::state::ReplicatedState;
use crate::{Effects, EntryOutcome, StateChange, WriteBatch};

/// Elections after which a snapshot that was sent and not taken is sent again.
const SNAPSHOT_AGAIN: f64 = 4.0;

impl Voter {
    /// Works off what the library has ready, until it has nothing more.
    pub(super) fn settle(&mut self, now: f64) {
        let mut reads = Vec::new();
        while !self.mute && self.raw.has_ready() {
            let mut ready = self.raw.ready();
            self.post(now, ready.take_messages());
            if !ready.snapshot().is_empty() {
                self.raw.mut_store().restore(ready.snapshot().clone());
                self.restored(now);
            }
            let entries = ready.take_committed_entries();
            if !entries.into_iter().all(|entry| self.commit(now, entry)) {
                return;
            }
            self.raw.mut_store().append(ready.entries());
            if let Some(hard) = ready.hs() {
                self.raw.mut_store().set_hard(hard);
            }
            self.post(now, ready.take_persisted_messages());
            reads.extend(ready.take_read_states());
            let mut light = self.raw.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.raw.mut_store().set_commit(commit);
            }
            self.post(now, light.take_messages());
            if !light.take_committed_entries().into_iter().all(|entry| self.commit(now, entry)) {
                return;
            }
            self.raw.advance_apply();
            self.pin();
        }
        if self.has_state && !self.mute {
            let state = &self.state;
            self.raw.mut_store().compact(state.index, false, || state.bytes());
        }
        self.watch.leads(now, self.is_leader().then_some(self.raw.raft.term));
        self.answer(now, reads);
    }

    /// The library draws the time of its next election by chance of its own; here it follows from folder and term, so
    /// that a run can be played again. Voters differ, and each differs from term to term.
    pub(super) fn pin(&mut self) {
        let mixed = xxhash_rust::xxh3::xxh3_64_with_seed(&self.raw.raft.term.to_be_bytes(), self.folder.id);
        self.raw.raft.set_randomized_election_timeout(ELECTION + mixed as usize % ELECTION);
    }

    /// Another build wrote what this one cannot follow. It says nothing more, so that no state goes on without what the
    /// others have; the folder stays as it is, for a build that can.
    pub(super) fn mutes(&mut self, why: &str) {
        (self.mute, self.cleared) = (true, false);
        self.orders
            .log_lines
            .push(format!("votes no more: {why}; start it with the build that the others have"));
        self.asks.drop_all(&mut self.orders);
    }

    /// Whether it can go on.
    fn commit(&mut self, now: f64, entry: Entry) -> bool {
        let (index, mut bytes, mut change) = (entry.index, None, None);
        match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => {}
            EntryType::EntryNormal => bytes = Some(entry.data.to_vec()),
            // The old form of a change of voters is never written here.
            EntryType::EntryConfChange => {}
            EntryType::EntryConfChangeV2 => {
                change = ConfChangeV2::parse_from_bytes(&entry.data).ok();
                bytes = Some(entry.context.to_vec()).filter(|context| !context.is_empty());
            }
        }
        let confs = !matches!(entry.get_entry_type(), EntryType::EntryNormal);
        // What is ignored changes no voters, either: all ignore it alike.
        let mut refused = false;
        if let Some(bytes) = bytes {
            let item = match ReplicatedState::item(&bytes, &self.knows) {
                Ok(item) => item,
                Err(why) => {
                    self.mutes(&format!("an entry that was agreed on: {why}"));
                    return false;
                }
            };
            let what = self.state.apply(index, item);
            match &what {
                Ok(change) => {
                    self.orders.state_changed = true;
                    self.watch.saw(now, change);
                    if matches!(change, StateChange::Quota(_)) {
                        self.watch.saw_limits(now, &self.state.quota);
                    }
                    if !matches!(
                        change,
                        StateChange::Settlement(_) | StateChange::VoterSlot(_) | StateChange::Quota(_)
                    ) {
                        self.orders.log_lines.push(format!("agreed at {index}: {change:?}"));
                    }
                }
                Err(why) => self.orders.log_lines.push(format!("ignored at {index}: {why}; {}", why.help())),
            }
            refused = what.is_err();
            self.orders.outcomes.push(EntryOutcome { index, result: what });
        }
        if let Some(change) = change.filter(|_| !refused)
            && let Ok(conf) = self.raw.apply_conf_change(&change)
        {
            self.raw.mut_store().set_conf(conf);
            // One that led the change by which it votes no more: the library would go on, and cannot.
            if self.is_out() && self.raw.raft.state == StateRole::Leader {
                let term = self.raw.raft.term;
                self.raw.raft.become_follower(term, 0);
                self.orders.log_lines.push(String::from("leads no more: it votes no more"));
            }
        }
        self.state.index = index;
        if confs {
            let state = &self.state;
            self.raw.mut_store().compact(index, true, || state.bytes());
        }
        true
    }

    /// A snapshot took the place of the state.
    fn restored(&mut self, now: f64) {
        let (index, data) = self.raw.store().start();
        let state = ReplicatedState::of(data).expect("looked at before it was taken");
        (self.state, self.has_state) = (state, true);
        self.state.index = index;
        self.orders.state_changed = true;
        self.orders.log_lines.push(format!("brought up to {index} by a snapshot"));
        self.watch.again(now, &self.state);
    }

    fn post(&mut self, now: f64, messages: Vec<Message>) {
        for message in messages {
            let Some(name) = self.name_of(message.to) else { continue };
            if message.get_msg_type() == MessageType::MsgSnapshot {
                self.snapshots.insert(message.to, now);
            }
            let to = message.to;
            let bytes = message.write_to_bytes().expect("all fields are set");
            self.parcel(&name, to, Body::Raft(Blob(bytes)));
        }
    }

    /// A snapshot that was lost would be waited for without end.
    pub(super) fn resend(&mut self, now: f64) {
        let patience = SNAPSHOT_AGAIN * ELECTION as f64 * self.terms.lease_seconds / TICKS;
        let late: Vec<u64> =
            self.snapshots.iter().filter(|(_, at)| now - **at > patience).map(|(id, _)| *id).collect();
        for id in late {
            self.snapshots.remove(&id);
            let waits = |progress: &raft::Progress| progress.state == raft::ProgressState::Snapshot;
            if self.raw.raft.prs().get(id).is_some_and(waits) {
                self.raw.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    pub(super) fn parcel(&mut self, name: &str, to: u64, body: Body) {
        let (fleet, epoch, seated) = (self.state.fleet_id, self.state.epoch, self.has_state);
        let from = self.terms.name.clone();
        let parcel = Parcel { from, seat: self.seat(), fleet, epoch, seated, to, body };
        let bytes = [&[FORMAT], &docs::write(&parcel)[..]].concat();
        self.orders.messages.push((name.to_string(), bytes));
    }

    pub(super) fn hand_over(&mut self) -> Effects {
        let save = self.raw.mut_store().save();
        let folder = self.orders.write_batch.folder.take();
        let mut orders = std::mem::take(&mut self.orders);
        orders.write_batch = WriteBatch { folder, ..save };
        orders
    }
}

#[cfg(test)]
mod tests {
    use crate::{ConsensusConfig, StoredVoter, Voter};

    #[test]
    fn an_entry_of_another_build_is_not_passed_over() {
        let terms = ConsensusConfig {
            name: String::from("n1"),
            voters: vec![String::from("n1")],
            lease_seconds: 1.0,
            drift_ratio: 0.01,
            switch_bound_seconds: 3.0,
            longest_query_seconds: 1.0,
            fill_deadline_seconds: 1.0,
            max_changed_ratio: 1.0,
            maps_enabled: false,
            map_requirements: dunepond_shard_map::MapConstraints { min_replicas: 1, min_zones: 1 },
        };
        let mut voter = Voter::open(terms.clone(), StoredVoter::new(), 0.0, 1).unwrap();
        let mut saved = StoredVoter::new();
        let mut turn =
            |voter: &mut Voter, at: f64| saved.apply_record(&voter.tick(at).write_batch.encode()).unwrap();
        (1..100).for_each(|n| turn(&mut voter, 0.02 * f64::from(n)));
        assert!(voter.is_leader());
        voter.raw.propose(Vec::new(), vec![255; 3]).unwrap();
        let before = voter.state().index;
        turn(&mut voter, 2.0);
        assert!(!voter.is_leader() && voter.state().index == before, "it does not go on");
        // Nor after a restart with the same build; the folder is whole.
        let mut again = Voter::open(terms, saved, 0.0, 2).unwrap();
        assert!(again.tick(0.1).log_lines.iter().any(|line| line.starts_with("votes no more")));
        assert!(!again.is_leader() && again.has_state());
    }
}
