//! The replicated state machine. Each voter applies the same entries in the same order and checks each entry itself, so
//! that all voters ignore an invalid one. No clock is read here; the leader enforces waits before it writes an entry. The
//! serialized names are part of the snapshot format.

mod quota;
mod rebalance;
mod settlement_log;
mod state_change;
#[cfg(test)]
mod tests;
mod version_change;
mod voter_list;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use dunepond_quota::QuotaLedger;
use dunepond_rebalance::PlanProgress;
use dunepond_shard_map::{self as maps, VerifiedMap};
use serde::{Deserialize, Serialize};

use crate::log_entry::LogEntry;
use crate::{Command, ConfigVersion, ConsensusConfig, FolderStart, Rejection, codec};
pub use settlement_log::{SettlementLog, SettlementRecord, SettlementUpdate};
pub use state_change::StateChange;
pub use version_change::{ChangeEnd, PastChange, ProposedChange, RolloutStep};
pub(crate) use version_change::{ValidatedProposal, validate_proposal, with_completed_fills};
pub use voter_list::VoterList;

/// The state that results from all committed entries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Random id drawn when the fleet was founded; 0 if the fleet was founded by a build that drew none.
    #[serde(default)]
    #[serde(rename = "fleet")]
    pub fleet_id: u64,
    /// Epoch of the fleet: 1 at its founding, increased by each recovery without a majority; 0 if it was founded by a
    /// build without epochs.
    #[serde(default)]
    pub epoch: u64,
    /// Whether no leases are granted for now, since the fleet was recovered and earlier leases may still be valid.
    #[serde(default)]
    #[serde(rename = "quiet")]
    pub leases_suspended: bool,
    /// Index in the log up to which all entries are applied.
    pub index: u64,
    /// The consensus configuration in force, by which all voters check entries regardless of their own files.
    #[serde(rename = "terms")]
    pub config: ConsensusConfig,
    /// Duration in seconds of the longest lease under any consensus configuration that was ever in force. The
    /// quiescence period covers a lease of this duration.
    #[serde(rename = "longest_lease")]
    pub longest_lease_seconds: f64,
    /// The active version and its digest, if there is one.
    #[serde(rename = "in_force")]
    pub active: Option<(Arc<ConfigVersion>, String)>,
    /// Replicas of the active shard map whose fills are complete, as segment id and node name.
    #[serde(rename = "done")]
    pub completed_fills: BTreeSet<(u64, String)>,
    /// The proposed version and its progress, if there is one.
    #[serde(rename = "open")]
    pub proposed: Option<ProposedChange>,
    /// Highest configuration version number ever proposed.
    #[serde(rename = "highest")]
    pub highest_number: u64,
    /// The configuration versions that were activated or withdrawn most recently, the oldest one first.
    pub history: VecDeque<PastChange>,
    /// The ledger of transfer debts between partners (organisations that run nodes) and of the fills that paid off these
    /// debts, and its most recent entries.
    #[serde(rename = "debts")]
    pub settlements: SettlementLog,
    /// The list of voters in force, and the pending list.
    pub voters: VoterList,
    /// Each voter's data folder and the latest committed process start on it, by the voter's name.
    #[serde(rename = "seats")]
    pub folder_starts: BTreeMap<String, FolderStart>,
    /// Each broker's shares of fleet-wide quotas.
    #[serde(rename = "limits")]
    pub quota: QuotaLedger,
    /// Progress of rebalancing plans.
    #[serde(rename = "moves")]
    rebalance: PlanProgress,
    /// Names of the parts of the state that a voter must know before it may act on the state; none exist yet.
    #[serde(rename = "must")]
    required_parts: BTreeSet<String>,
    /// Parts of the state that a later build added and that a voter need not know; they are preserved in each snapshot.
    #[serde(flatten)]
    unknown_parts: BTreeMap<String, ciborium::Value>,
    /// The active shard map, as verified by this voter. It is derived from the active version, and not stored.
    #[serde(skip)]
    verified_map: Option<VerifiedMap>,
    /// The proposed version's verified shard map and the transition to it. They are derived from the versions, and not
    /// stored.
    #[serde(skip)]
    proposal: Option<ValidatedProposal>,
}

impl ReplicatedState {
    pub(crate) fn new(config: ConsensusConfig, folder_starts: BTreeMap<String, FolderStart>) -> Self {
        Self {
            fleet_id: 0,
            epoch: 0,
            leases_suspended: false,
            index: 0,
            longest_lease_seconds: config.lease_seconds,
            voters: VoterList::founding(&config.voters),
            config,
            active: None,
            completed_fills: BTreeSet::new(),
            proposed: None,
            highest_number: 0,
            history: VecDeque::new(),
            settlements: SettlementLog::default(),
            folder_starts,
            quota: QuotaLedger::default(),
            rebalance: PlanProgress::default(),
            required_parts: BTreeSet::new(),
            unknown_parts: BTreeMap::new(),
            verified_map: None,
            proposal: None,
        }
    }

    /// Encodes the state as the data of a snapshot.
    pub(crate) fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Verifies the shard maps of a decoded state again, since verified maps are not stored. Returns `None` if this
    /// build does not know a required part of the state, a version's digest differs or a map is invalid; the voter must
    /// not act on such a state.
    pub(crate) fn with_verified_maps(mut self) -> Option<Self> {
        if !self.required_parts.is_empty() {
            return None;
        }
        if let Some((version, digest)) = &self.active {
            if version.digest() != *digest {
                return None;
            }
            if let Some(map) = &version.map {
                let verified_map = maps::verify(map, &[], &self.config.map_requirements).ok()?;
                self.verified_map = Some(with_completed_fills(&verified_map, &self.completed_fills));
            }
        }
        if let Some(proposed) = &self.proposed {
            self.proposal = Some(self.validate(&proposed.version).ok()?);
        }
        Some(self)
    }

    /// The quiescence period in seconds on the leader's clock, counted from when the leader saw an entry committed. It
    /// covers both the configuration in force and `own`, the one in the leader's file; see
    /// [`ConsensusConfig::quiescence_seconds`].
    pub fn quiescence_seconds(&self, own: &ConsensusConfig) -> f64 {
        let lease = self.longest_lease_seconds.max(own.lease_seconds);
        self.config.quiescence_seconds_for(lease).max(own.quiescence_seconds_for(lease))
    }

    /// Checks whether the entry is valid in the present state, or returns why it would be ignored.
    pub(crate) fn check(&self, entry: &LogEntry) -> Result<(), Rejection> {
        match entry {
            LogEntry::Command(command) => self.check_command(command),
            LogEntry::StartStage { number } => self.check_rollout(*number),
            LogEntry::RollbackCompleted { number } => self.check_rollback_completed(*number),
            LogEntry::Config(_) => match &self.proposed {
                Some(proposed) => Err(Rejection::ConfigWhileProposed(proposed.version.number)),
                None => Ok(()),
            },
            LogEntry::VoterSlot { voter, .. } if !self.voters.contains(voter) => {
                Err(Rejection::NotAVoter(voter.clone()))
            }
            LogEntry::VoterSlot { .. } => Ok(()),
            LogEntry::VotersReplaced(replacement) => self.check_replacement(replacement),
            LogEntry::ResumeLeases { epoch } if self.leases_suspended && *epoch == self.epoch => Ok(()),
            LogEntry::ResumeLeases { .. } => Err(Rejection::AlreadyApplied),
        }
    }

    fn check_command(&self, command: &Command) -> Result<(), Rejection> {
        match command {
            Command::Propose(version) => self.check_proposal(version).map(drop),
            Command::FillCompleted { number, segment, holder } => self.check_fill(*number, *segment, holder),
            Command::Activate { number } => self.check_rollout(*number),
            Command::Withdraw { number, .. } => self.check_withdraw(*number),
            Command::Settlement(entry) => self.settlements.check(entry),
            Command::Quota(entry) => self.check_quota(entry),
            Command::Rebalance(entry) => self.check_rebalance(entry),
            Command::ChangeVoters(change) => self.check_voter_change(change),
        }
    }

    /// Applies the entry at `index`, or returns why it is ignored.
    pub(crate) fn apply(&mut self, index: u64, entry: LogEntry) -> Result<StateChange, Rejection> {
        self.index = index;
        if let LogEntry::Command(Command::Propose(version)) = entry {
            let proposal = self.check_proposal(&version)?;
            return Ok(self.propose(Arc::new(*version), proposal));
        }
        self.check(&entry)?;
        match entry {
            LogEntry::Command(command) => self.apply_command(command),
            LogEntry::StartStage { number } => Ok(self.start_stage(number)),
            LogEntry::RollbackCompleted { number } => Ok(self.complete_rollback(number)),
            LogEntry::Config(config) => {
                self.longest_lease_seconds = self.longest_lease_seconds.max(config.lease_seconds);
                self.config = config;
                Ok(StateChange::Config)
            }
            LogEntry::VoterSlot { voter, folder_start } => {
                self.folder_starts.insert(voter.clone(), folder_start);
                Ok(StateChange::VoterSlot(voter))
            }
            LogEntry::VotersReplaced(replacement) => Ok(self.replace_voters(replacement)),
            LogEntry::ResumeLeases { epoch } => {
                self.leases_suspended = false;
                Ok(StateChange::LeasesResumed(epoch))
            }
        }
    }

    /// Applies a command that [`Self::check`] has accepted.
    fn apply_command(&mut self, command: Command) -> Result<StateChange, Rejection> {
        match command {
            Command::Propose(_) => unreachable!("`apply` handles proposals"),
            Command::FillCompleted { number, segment, holder } => {
                Ok(self.complete_fill(number, segment, holder))
            }
            Command::Activate { number } => Ok(self.activate(number)),
            Command::Withdraw { number, why } => Ok(self.withdraw_or_roll_back(number, why)),
            Command::Settlement(entry) => {
                self.settlements.apply(entry.clone());
                Ok(StateChange::Settlement(entry))
            }
            Command::Quota(entry) => self.apply_quota(&entry),
            Command::Rebalance(entry) => self.apply_rebalance(entry),
            Command::ChangeVoters(change) => Ok(self.change_voters(*change)),
        }
    }
}
