//! A voter: it replicates log entries with the other voters, applies them and grants leases.
//!
//! The raft library orders the entries. This module decides which messages are accepted, applies committed entries, and
//! returns messages together with the changes that the host has to store before it sends them. Submodules:
//!
//! - `receive` accepts or rejects messages from other voters, and `envelope` encodes them.
//! - `ready` processes the output of the raft library, which `raft_node` configures.
//! - `handshake` verifies folders and founds the fleet; `membership` writes changes of voters and of their folders.
//! - `lease_requests` grants leases.
//! - `observations`, `housekeeping` and `quota_release` write entries that depend on the leader's clock.
//! - `recovery` continues a fleet whose majority is lost.

mod envelope;
mod handshake;
mod housekeeping;
mod lease_requests;
mod membership;
mod observations;
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
    Command, ConfigVersion, ConsensusConfig, ConsensusError, Effects, FolderStart, LeaseRequest, Rejection,
    ReplicatedState, RolloutStep, StoredVoter, VoterInfo, WriteBatch, codec, decode,
};
use handshake::PeerVoter;
use lease_requests::LeaseRequests;
use observations::Observations;
use raft_node::{MAX_CATCH_UP_TICKS, TICKS_PER_LEASE, elections_seconds, raft_node};

/// Whether the voter takes part in elections and acknowledges entries.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Participation {
    /// The voter does not take part, because no majority has confirmed yet that its data folder is the latest one.
    Unverified,
    /// The voter takes part.
    Active,
    /// The voter has stopped, because this build cannot decode an entry or snapshot; see [`Voter::stop_voting`].
    Stopped,
}

/// A voter of the fleet. It replicates log entries, applies them and grants leases. Its host carries out the [`Effects`]
/// that its methods return.
pub struct Voter {
    config: ConsensusConfig,
    folder: FolderIdentity,
    rng: Pcg64Mcg,
    node: RawNode<LogStorage>,
    state: ReplicatedState,
    /// Whether `state` is a state of the fleet, because this voter founded the fleet or received a snapshot.
    has_state: bool,
    participation: Participation,
    /// Names of the other voters that have confirmed that this voter's folder is the latest one. Until a majority has
    /// done so, a folder that contains a state may have been restored from a copy, so this voter does not take part.
    confirmed_by: Vec<String>,
    /// Whether another voter reported that the committed list no longer contains this voter; see [`Voter::is_removed`].
    reported_removed: bool,
    /// The voters of the list in force, as reported to this voter after its removal.
    reported_voters: Vec<VoterInfo>,
    /// When this voter became leader of a recovered fleet whose leases are suspended, on its own clock.
    suspended_since: Option<f64>,
    /// Log index directly before the last entries that this voter refused to acknowledge because its build cannot
    /// decode one of them.
    withheld_index: Option<u64>,
    /// Names of senders that are not voters as far as this voter knows. The next hellos are also sent to them.
    unknown_senders: BTreeSet<String>,
    /// The other voters from which a message was accepted, by name.
    peers: BTreeMap<String, PeerVoter>,
    /// Keys of version extensions that this build implements.
    known_keys: Vec<String>,
    lease_requests: LeaseRequests,
    observations: Observations,
    /// The latest reading of this voter's clock.
    last_now: f64,
    /// Elapsed time in seconds that has not been passed on to the raft library as ticks yet.
    unticked_seconds: f64,
    next_hello_at: f64,
    /// When each snapshot that is not acknowledged yet was sent, by the id of the receiver's folder.
    snapshots_sent: BTreeMap<u64, f64>,
    effects: Effects,
}

impl Voter {
    /// Opens a voter with the content of its folder, which may be empty. `now` is the present reading of the broker's
    /// monotonic clock; `seed` has to differ at each process start and for each broker.
    ///
    /// # Errors
    /// The configuration is invalid, this broker is not one of its voters, or the folder is corrupt or another broker's.
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
        // In two cases the folder needs no confirmation: a voter with an empty folder has not voted or acknowledged
        // anything yet, and no other voter relies on the only voter of a fleet.
        let verified = !has_state || config.voters.len() == 1;
        let mut voter = Self {
            participation: if verified { Participation::Active } else { Participation::Unverified },
            node: raft_node(folder.id, index, log),
            folder,
            state,
            has_state,
            confirmed_by: Vec::new(),
            reported_removed: false,
            reported_voters: Vec::new(),
            suspended_since: None,
            withheld_index: None,
            unknown_senders: BTreeSet::new(),
            peers: BTreeMap::new(),
            known_keys: known_keys(),
            lease_requests: LeaseRequests::default(),
            observations: Observations::new(now),
            last_now: now,
            unticked_seconds: 0.0,
            next_hello_at: now,
            snapshots_sent: BTreeMap::new(),
            effects: Effects::default(),
            rng,
            config,
        };
        voter.effects.write_batch.folder = Some(voter.folder.clone());
        voter.observations.restart(now, &voter.state);
        Ok(voter)
    }

    /// Advances the voter's clock to `now`, and sends messages and writes entries that are due. The host has to call
    /// this method about forty times per lease duration. The effects of the first call record the process start in the
    /// folder.
    pub fn tick(&mut self, now: f64) -> Effects {
        self.advance_clock(now);
        self.send_hellos(now);
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
        let ticks = (self.unticked_seconds / tick_seconds).floor();
        self.unticked_seconds -= ticks * tick_seconds;
        for _ in 0..(ticks as usize).min(MAX_CATCH_UP_TICKS) {
            self.node.tick();
            self.pin_election_timeout();
        }
    }

    fn advance_clock(&mut self, now: f64) {
        if now < self.last_now {
            self.log(format!("the monotonic clock went back from {} to {now}", self.last_now));
            self.observations.restart(now, &self.state);
            self.lease_requests.reject_all(&mut self.effects);
        }
        // A forward jump of the clock cannot be distinguished from a stall of this process. After a jump, less time has
        // passed on the other brokers' clocks, so the waits start again.
        let gap = now - self.last_now;
        let is_long = gap > elections_seconds(1.0, self.config.lease_seconds);
        if is_long && self.node.raft.state == StateRole::Leader {
            self.log(format!(
                "no tick for {gap:.2} s (a stall, or the clock jumped forward): restarting waits"
            ));
            self.observations.restart(now, &self.state);
            self.suspended_since = None;
        }
        self.unticked_seconds += gap.max(0.0);
        self.last_now = now;
    }

    /// Proposes a command. `Ok` means that the command is in this leader's log. Once it is committed,
    /// [`Effects::outcomes`] of this or a later call contains its outcome.
    ///
    /// # Errors
    /// This voter does not lead, the command is invalid in the present state, or it cannot be written at present.
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
            && let Some(number) = self.observations.uncommitted_proposal(self.state.index)
        {
            return Err(Rejection::AlreadyProposed { number });
        }
        if let Command::Propose(version) = &command {
            self.check_keys_known_by_all(version)?;
        }
        let entry = LogEntry::Command(command);
        self.state.check(&entry)?;
        self.append(&entry)?;
        if let Some(number) = proposed {
            self.observations.record_proposal(self.node.raft.raft_log.last_index(), number);
        }
        self.process_ready(now);
        Ok(self.take_effects())
    }

    /// Rejects commands that hosts may not propose, because the leader writes them by itself once enough time has
    /// passed on its clock.
    fn check_leader_only(&self, command: &Command) -> Result<(), Rejection> {
        match command {
            Command::Activate { number } => {
                // An operator may end the first stage. If the version is not in that stage, only the leader knows when
                // all brokers act on the joint configuration.
                let proposed = self.state.proposed.as_ref();
                let staged = proposed.is_some_and(|proposed| matches!(proposed.step, RolloutStep::Staged(_)));
                if staged { Ok(()) } else { Err(Rejection::LeaderOnly(*number)) }
            }
            Command::Quota(dunepond_quota::QuotaEntry::Release { broker, .. }) => {
                Err(Rejection::Quota(dunepond_quota::QuotaError::LeaderOnly(broker.clone())))
            }
            _ => Ok(()),
        }
    }

    /// Checks that all voters' builds know the version's required keys. Otherwise a majority could commit the version,
    /// and voters whose builds lack a key would then stop voting.
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

    /// Proposes a command like [`Self::propose`], but without any check; for tests that simulate a faulty leader.
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

    /// Handles a lease request that arrived from the broker `from`. The reply is in the effects of this call or a later
    /// one; a follower forwards the request to the leader, and the leader's reply back to the broker.
    pub fn handle_lease_request(&mut self, now: f64, from: &str, request: LeaseRequest) -> Effects {
        self.advance_clock(now);
        // A request that states another broker than its sender is ignored, so that no reply goes to a broker that did
        // not ask.
        if request.broker == from && !request.forwarded {
            self.accept_lease_request(now, request, None);
        }
        self.process_ready(now);
        self.take_effects()
    }

    /// The replicated state, as far as this voter has applied the log.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Names of the brokers to which this voter recently granted a lease, and whether each reported overloaded nodes.
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

    /// Name of the leader, if this voter knows it.
    pub fn leader(&self) -> Option<String> {
        let id = self.node.raft.leader_id;
        if id == self.folder.id { Some(self.config.name.clone()) } else { self.name_of(id) }
    }

    /// Whether this voter has a state of the fleet, because it founded the fleet or received a snapshot.
    pub fn has_state(&self) -> bool {
        self.has_state
    }

    /// The complete content of the folder as one record, which the host may write to the journal in place of all
    /// earlier ones; see [`WriteBatch::is_checkpoint`].
    pub fn checkpoint(&self) -> WriteBatch {
        WriteBatch { folder: Some(self.folder.clone()), ..self.node.store().checkpoint() }
    }

    /// Lets this voter act like a later build that also implements `keys`; for tests.
    #[doc(hidden)]
    pub fn add_known_keys(&mut self, keys: &[&str]) {
        self.known_keys.extend(keys.iter().map(ToString::to_string));
    }

    fn is_active(&self) -> bool {
        self.participation == Participation::Active
    }

    fn has_stopped(&self) -> bool {
        self.participation == Participation::Stopped
    }

    /// This voter's data folder and the present process start on it.
    fn folder_start(&self) -> FolderStart {
        FolderStart {
            folder_id: self.folder.id,
            start_count: self.folder.start_count,
            run_id: self.folder.run_id,
        }
    }

    /// Draws a new folder identity, with which this broker continues as another voter.
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

/// Draws the identity of an empty folder.
fn new_folder(name: &str, rng: &mut Pcg64Mcg) -> FolderIdentity {
    let id = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), rng.random());
    // The raft library does not accept the id 0.
    FolderIdentity { name: name.to_string(), id: id.max(1), start_count: 0, run_id: 0 }
}
