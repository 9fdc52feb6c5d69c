//! A broker that votes. It replicates entries with the other voters, applies them and grants leases.
//!
//! The raft library orders the entries. This module decides which messages are accepted and what becomes of committed
//! entries, and it ensures that nothing is sent before what it relies on is stored. The submodules handle received
//! messages (`receive`), what the library has ready (`ready`), the other voters (`handshake`, `membership`), leases
//! (`lease_requests`), what the leader does by its own clock (`leader_watch`, `housekeeping`, `quota_release`), and the
//! recovery of a lost majority (`recovery`).

mod envelope;
mod handshake;
mod housekeeping;
mod leader_watch;
mod lease_requests;
mod membership;
mod quota_release;
mod raft_node;
mod ready;
mod receive;
mod recovery;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use raft::{RawNode, StateRole};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::config_version::known_keys;
use crate::log_entry::LogEntry;
use crate::log_storage::LogStorage;
use crate::persistence::FolderIdentity;
use crate::{
    Command, ConfigVersion, ConsensusConfig, ConsensusError, Effects, LeaseRequest, Rejection,
    ReplicatedState, RolloutStep, StoredVoter, VoterInfo, VoterSlot, WriteBatch, codec, decode,
};
use handshake::PeerVoter;
use leader_watch::LeaderWatch;
use lease_requests::LeaseRequests;
use raft_node::{MAX_CATCH_UP_TICKS, TICKS_PER_LEASE, elections_seconds, raft_node};

/// Whether the voter takes part in votes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Participation {
    /// No majority has confirmed yet that the voter's folder is the latest one.
    Unverified,
    Active,
    /// Another build wrote something that this one does not understand, see [`Voter::mute`].
    Muted,
}

/// A voter of the fleet.
pub struct Voter {
    config: ConsensusConfig,
    folder: FolderIdentity,
    rng: Pcg64Mcg,
    node: RawNode<LogStorage>,
    state: ReplicatedState,
    /// Whether this voter founded the fleet or received a snapshot.
    has_state: bool,
    participation: Participation,
    /// Names of the voters that confirmed that the folder is the latest one.
    confirmed_by: Vec<String>,
    /// Whether others reported that this voter does not vote any more, see [`Voter::is_removed`].
    dismissed: bool,
    /// The voters in force instead, as others reported.
    successors: Vec<VoterInfo>,
    /// Since when this voter leads a recovered fleet whose leases are suspended.
    suspended_since: Option<f64>,
    /// Index before the entries for which it last withheld its vote.
    withheld_index: Option<u64>,
    /// Senders that are not voters as far as this voter knows; they are greeted next.
    strangers: BTreeSet<String>,
    peers: BTreeMap<String, PeerVoter>,
    /// Keys of version extensions that this build implements.
    known_keys: Vec<String>,
    lease_requests: LeaseRequests,
    watch: LeaderWatch,
    last_now: f64,
    /// Time in seconds for which the library has not been ticked yet.
    untimed_seconds: f64,
    next_greeting_at: f64,
    /// Snapshots in flight: the time of sending, by the id of the receiving folder.
    snapshots_sent: BTreeMap<u64, f64>,
    effects: Effects,
}

impl Voter {
    /// Opens a voter with the content of its folder, which may be empty. `now` is the broker's own monotonic clock;
    /// `seed` has to differ at each start and broker.
    ///
    /// # Errors
    /// The configuration is invalid, or this broker is not one of its voters, or the folder is not usable.
    pub fn open(
        config: ConsensusConfig,
        stored: StoredVoter,
        now: f64,
        seed: u64,
    ) -> Result<Self, ConsensusError> {
        config.check()?;
        if !config.voters.contains(&config.name) {
            return Err(ConsensusError::NotAVoter(config.name.clone()));
        }
        if let Some(folder) = stored.folder.as_ref().filter(|folder| folder.name != config.name) {
            return Err(ConsensusError::ForeignFolder { owner: folder.name.clone(), name: config.name });
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut folder = stored.folder.clone().unwrap_or_else(|| new_folder(&config.name, &mut rng));
        folder.start_count += 1;
        folder.run_id = rng.random();
        let log = LogStorage::open(&stored)?;
        let (index, data) = log.last_snapshot();
        let has_state = index > 0;
        let state = if has_state {
            decode::replicated_state(data).ok_or(ConsensusError::CorruptRecord("the state of a snapshot"))?
        } else {
            ReplicatedState::new(config.clone(), BTreeMap::new())
        };
        // A voter with an empty folder has promised nothing, and a lone voter has promised nothing to others.
        let verified = !has_state || config.voters.len() == 1;
        let mut voter = Self {
            participation: if verified { Participation::Active } else { Participation::Unverified },
            node: raft_node(folder.id, index, log),
            folder,
            state,
            has_state,
            confirmed_by: Vec::new(),
            dismissed: false,
            successors: Vec::new(),
            suspended_since: None,
            withheld_index: None,
            strangers: BTreeSet::new(),
            peers: BTreeMap::new(),
            known_keys: known_keys(),
            lease_requests: LeaseRequests::default(),
            watch: LeaderWatch::new(now),
            last_now: now,
            untimed_seconds: 0.0,
            next_greeting_at: now,
            snapshots_sent: BTreeMap::new(),
            effects: Effects::default(),
            rng,
            config,
        };
        voter.effects.write_batch.folder = Some(voter.folder.clone());
        voter.watch.restart(now, &voter.state);
        Ok(voter)
    }

    /// Advances the voter's clock. The host has to call this about forty times per lease. The first effects record the
    /// start in the folder.
    pub fn tick(&mut self, now: f64) -> Effects {
        self.advance_clock(now);
        self.greet(now);
        if self.is_active() {
            self.tick_node();
            self.resend_snapshots(now);
        }
        self.process_ready(now);
        self.run_housekeeping(now);
        self.process_ready(now);
        self.take_effects()
    }

    fn tick_node(&mut self) {
        let tick_seconds = self.config.lease_seconds / TICKS_PER_LEASE;
        let ticks = (self.untimed_seconds / tick_seconds).floor();
        self.untimed_seconds -= ticks * tick_seconds;
        for _ in 0..(ticks as usize).min(MAX_CATCH_UP_TICKS) {
            self.node.tick();
            self.pin_election_timeout();
        }
    }

    fn advance_clock(&mut self, now: f64) {
        if now < self.last_now {
            self.log(format!("the monotonic clock went back from {} to {now}", self.last_now));
            self.watch.restart(now, &self.state);
            self.lease_requests.drop_all(&mut self.effects);
        }
        // A clock that jumped ahead looks like a stall: in both cases it is not known whether the other brokers had
        // that time, too.
        let gap = now - self.last_now;
        let is_long = gap > elections_seconds(1.0, self.config.lease_seconds);
        if is_long && self.node.raft.state == StateRole::Leader {
            self.log(format!("no tick for {gap:.2} s, by a stall or a clock that jumped: waits restart"));
            self.watch.restart(now, &self.state);
            self.suspended_since = None;
        }
        self.untimed_seconds += gap.max(0.0);
        self.last_now = now;
    }

    /// Proposes a command. `Ok` means that it is in the leader's log; [`Effects::outcomes`] reports the outcome later.
    ///
    /// # Errors
    /// This voter does not lead, or the command would be ignored.
    pub fn propose(&mut self, now: f64, command: Command) -> Result<Effects, Rejection> {
        self.advance_clock(now);
        if !self.is_leader() {
            return Err(Rejection::NotLeader(self.leader().filter(|name| *name != self.config.name)));
        }
        if self.state.leases_suspended {
            return Err(Rejection::LeasesSuspended);
        }
        self.check_leader_only(&command)?;
        let proposed = match &command {
            Command::Propose(version) => Some(version.number),
            _ => None,
        };
        if proposed.is_some()
            && let Some(open) = self.watch.uncommitted_proposal(self.state.index)
        {
            return Err(Rejection::ChangeOpen { open });
        }
        if let Command::Propose(version) = &command {
            self.check_keys_known_by_all(version)?;
        }
        let entry = LogEntry::Command(command);
        self.state.check(&entry)?;
        self.append(&entry)?;
        if let Some(number) = proposed {
            self.watch.proposed(self.node.raft.raft_log.last_index(), number);
        }
        self.process_ready(now);
        Ok(self.take_effects())
    }

    /// Rejects commands that only the leader may write, by its own clock.
    fn check_leader_only(&self, command: &Command) -> Result<(), Rejection> {
        match command {
            Command::Activate { number } => {
                // An operator may end a stage. Before a stage nobody but the leader can know that all brokers are
                // joint.
                let open = self.state.open.as_ref();
                let staged = open.is_some_and(|open| matches!(open.step, RolloutStep::Staged(_)));
                if staged { Ok(()) } else { Err(Rejection::LeaderOnly(*number)) }
            }
            Command::Quota(dunepond_quota::QuotaEntry::Release { broker, .. }) => {
                Err(Rejection::Quota(dunepond_quota::QuotaError::LeaderOnly(broker.clone())))
            }
            _ => Ok(()),
        }
    }

    /// Checks that all voters implement the version's required keys: otherwise it would be committed without some of
    /// them.
    fn check_keys_known_by_all(&self, version: &ConfigVersion) -> Result<(), Rejection> {
        version.check_known_keys(&self.known_keys)?;
        let others = self.state.voters.voters.iter().filter(|voter| voter.name != self.config.name);
        for voter in others {
            let known_keys = self.peers.get(&voter.name).map_or(&[][..], |peer| &peer.known_keys);
            if let Err(Rejection::UnknownKey { number, key }) = version.check_known_keys(known_keys) {
                return Err(Rejection::UnknownKeyAtVoter { number, key, voter: voter.name.clone() });
            }
        }
        Ok(())
    }

    /// Proposes a command like [`Self::propose`], without any check: a faulty proposer, for tests.
    ///
    /// # Errors
    /// This voter does not lead.
    #[doc(hidden)]
    pub fn propose_unchecked(&mut self, now: f64, command: Command) -> Result<Effects, Rejection> {
        self.advance_clock(now);
        if !self.is_leader() {
            return Err(Rejection::NotLeader(self.leader()));
        }
        self.append(&LogEntry::Command(command))?;
        self.process_ready(now);
        Ok(self.take_effects())
    }

    fn append(&mut self, entry: &LogEntry) -> Result<(), Rejection> {
        self.node.propose(Vec::new(), codec::encode(entry)).map_err(|_| Rejection::Busy)
    }

    /// Handles a broker's request. The reply is in the effects of this call or of a later one, or another voter sends
    /// it through this one.
    pub fn handle_lease_request(&mut self, now: f64, from: &str, request: LeaseRequest) -> Effects {
        self.advance_clock(now);
        // A reply only goes to the sender of the request.
        if request.broker == from && !request.forwarded {
            self.accept_lease_request(now, request, None);
        }
        self.process_ready(now);
        self.take_effects()
    }

    /// The committed state, as far as this voter has received it.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Brokers that were granted a lease by this voter, and whether they reported that their nodes are overloaded.
    pub fn broker_overloads(&self) -> impl Iterator<Item = (&str, bool)> {
        self.lease_requests.overloads()
    }

    /// Whether this voter leads and has applied everything that was committed before its term.
    pub fn is_leader(&self) -> bool {
        self.is_active()
            && !self.is_removed()
            && self.node.raft.state == StateRole::Leader
            && self.node.raft.commit_to_current_term()
    }

    /// Name of the leader, as far as it is known.
    pub fn leader(&self) -> Option<String> {
        let id = self.node.raft.leader_id;
        if id == self.folder.id { Some(self.config.name.clone()) } else { self.name_of(id) }
    }

    /// Whether the folder holds a state, because the voter founded the fleet or received a snapshot.
    pub fn has_state(&self) -> bool {
        self.has_state
    }

    /// The whole content of the folder as one record, for a journal that is rewritten; see
    /// [`WriteBatch::is_checkpoint`].
    pub fn checkpoint(&self) -> WriteBatch {
        WriteBatch { folder: Some(self.folder.clone()), ..self.node.store().checkpoint() }
    }

    /// Turns this into a later build for tests, which also implements these keys.
    #[doc(hidden)]
    pub fn add_known_keys(&mut self, keys: &[&str]) {
        self.known_keys.extend(keys.iter().map(ToString::to_string));
    }

    fn is_active(&self) -> bool {
        self.participation == Participation::Active
    }

    fn is_muted(&self) -> bool {
        self.participation == Participation::Muted
    }

    fn slot(&self) -> VoterSlot {
        VoterSlot {
            folder_id: self.folder.id,
            start_count: self.folder.start_count,
            run_id: self.folder.run_id,
        }
    }

    /// Continues as another voter, with a new folder.
    fn begin_new_folder(&mut self) {
        self.folder = new_folder(&self.config.name, &mut self.rng);
        self.folder.start_count = 1;
        self.folder.run_id = self.rng.random();
        self.effects.write_batch.folder = Some(self.folder.clone());
    }

    fn log(&mut self, line: String) {
        self.effects.log_lines.push(line);
    }
}

/// Creates the identity of an empty folder.
fn new_folder(name: &str, rng: &mut Pcg64Mcg) -> FolderIdentity {
    let id = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), rng.random());
    // The raft library does not accept the id 0.
    FolderIdentity { name: name.to_string(), id: id.max(1), start_count: 0, run_id: 0 }
}
