//! What the agreed log comes to. Each voter applies the same entries in the same order and judges each of them for
//! itself, so that one that should not have been proposed is ignored by all alike. No clock is read here: what takes
//! time is the leader's to wait for.

mod debts;
mod limits;
mod moves;
mod versions;
mod voters;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use dunepond_settlement::Agreed;
use serde::{Deserialize, Serialize};

use crate::{Command, ConfigVersion, ConsensusConfig, Rejection, RolloutStep};
use crate::{docs, old};
pub use debts::{SettlementLog, SettlementRecord, SettlementUpdate};
use dunepond_shard_map::{self as maps, VerifiedMap};
pub(crate) use versions::{Ahead, judge, with_done};
pub use versions::{ChangeEnd, OpenChange, PastChange};
pub(crate) use voters::Voted;
pub use voters::{VoterChange, VoterInfo, VoterList};

/// What stands in the log: the entries, and what voters settle among themselves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Item {
    Entry(Command),
    /// Another voter's file says other terms than those agreed; it leads now.
    Terms(ConsensusConfig),
    /// The share named in the version goes first.
    Stage {
        number: u64,
    },
    /// A change that was taken back after its stage is over.
    Returned {
        number: u64,
    },
    /// What a voter's folder was last seen to be.
    Seat {
        voter: String,
        seat: VoterSlot,
    },
    /// The voters that were asked for are in force.
    Voted(Voted),
    /// All leases of before this epoch are over.
    Calm {
        epoch: u64,
    },
}

/// A voter's folder as its peers saw it last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSlot {
    #[serde(rename = "folder")]
    pub folder_id: u64,
    #[serde(rename = "starts")]
    pub start_count: u64,
    #[serde(rename = "run")]
    pub run_id: u64,
}

/// What an entry changed.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    Proposed(u64),
    FillCompleted {
        number: u64,
        segment: u64,
        holder: String,
    },
    Staged(u64),
    Activated(u64),
    RollingBack(u64),
    Withdrawn(u64),
    Settlement(Agreed),
    /// Generation of the parts.
    Quota(u64),
    /// A plan of moves, and how it stands now.
    Rebalance {
        plan: String,
        status: String,
    },
    Config,
    VoterSlot(String),
    /// Who votes is to change, and has changed; its number.
    VotersPending(u64),
    VotersChanged(u64),
    /// The epoch from which leases are granted again.
    LeasesResumed(u64),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Drawn as the fleet was founded (0: before fleets had one), and how often it was brought back without a majority.
    #[serde(default)]
    #[serde(rename = "fleet")]
    pub fleet_id: u64,
    #[serde(default)]
    pub epoch: u64,
    /// Leases of before it was brought back may run.
    #[serde(default)]
    #[serde(rename = "quiet")]
    pub leases_suspended: bool,
    /// Place in the log up to which all is applied.
    pub index: u64,
    /// By which all voters judge, whatever their files say.
    #[serde(rename = "terms")]
    pub config: ConsensusConfig,
    /// Seconds; of all leases that were ever allowed. The wait counts by it.
    #[serde(rename = "longest_lease")]
    pub longest_lease_seconds: f64,
    /// With its digest.
    #[serde(rename = "in_force")]
    pub active: Option<(Arc<ConfigVersion>, String)>,
    /// Fills (segment, node) that count for the map in force.
    #[serde(rename = "done")]
    pub completed_fills: BTreeSet<(u64, String)>,
    pub open: Option<OpenChange>,
    /// Highest number that was ever proposed.
    #[serde(rename = "highest")]
    pub highest_number: u64,
    pub history: VecDeque<PastChange>,
    #[serde(rename = "debts")]
    pub settlements: SettlementLog,
    pub voters: VoterList,
    #[serde(rename = "seats")]
    pub voter_slots: BTreeMap<String, VoterSlot>,
    /// Each broker's part of what holds for the whole fleet.
    #[serde(rename = "limits")]
    pub quota: dunepond_quota::QuotaLedger,
    moves: dunepond_rebalance::Book,
    /// Names of parts that a voter has to know, or take no part; none as yet.
    pub(crate) must: BTreeSet<String>,
    /// Parts of a later program that need not be known: passed on with each snapshot.
    #[serde(flatten)]
    pub(crate) more: BTreeMap<String, ciborium::Value>,
    /// Of the map in force, and of the move to the proposed one; made again from what stands above.
    #[serde(skip)]
    proof: Option<VerifiedMap>,
    #[serde(skip)]
    ahead: Option<Ahead>,
}

impl ReplicatedState {
    pub(crate) fn new(config: ConsensusConfig, voter_slots: BTreeMap<String, VoterSlot>) -> Self {
        Self {
            fleet_id: 0,
            epoch: 0,
            leases_suspended: false,
            index: 0,
            longest_lease_seconds: config.lease_seconds,
            voters: VoterList::founded(&config.voters),
            config,
            active: None,
            completed_fills: BTreeSet::new(),
            open: None,
            highest_number: 0,
            history: VecDeque::new(),
            settlements: SettlementLog::default(),
            voter_slots,
            quota: dunepond_quota::QuotaLedger::default(),
            moves: dunepond_rebalance::Book::default(),
            must: BTreeSet::new(),
            more: BTreeMap::new(),
            proof: None,
            ahead: None,
        }
    }

    /// Of an entry, with what this program does not know of it as a reason to leave it alone.
    pub(crate) fn item(bytes: &[u8], knows: &[String]) -> Result<Item, Rejection> {
        let item = if docs::is_old(bytes) { old::item(bytes) } else { docs::read_all(bytes) };
        let item = item.ok_or(Rejection::UnknownEntry)?;
        if let Item::Entry(Command::Propose(version)) = &item {
            docs::understood(version, knows)?;
        }
        Ok(item)
    }

    pub(crate) fn bytes(&self) -> Vec<u8> {
        docs::write(self)
    }

    /// With the proofs made again; what does not prove is not believed.
    pub(crate) fn of(bytes: &[u8]) -> Option<Self> {
        let mut state: Self = if docs::is_old(bytes) { old::state(bytes)? } else { docs::read(bytes)? };
        if !state.must.is_empty() {
            return None;
        }
        if let Some((version, digest)) = &state.active {
            if version.digest() != *digest {
                return None;
            }
            if let Some(map) = &version.map {
                state.proof = Some(with_done(
                    &maps::verify(map, &[], &state.config.map_requirements).ok()?,
                    &state.completed_fills,
                ));
            }
        }
        if let Some(open) = &state.open {
            let in_force = state.active.as_ref().map(|(version, _)| &**version);
            state.ahead = Some(judge(in_force, state.proof.as_ref(), &open.version, &state.config).ok()?);
        }
        Some(state)
    }

    /// Seconds on the leader's clock from when it saw a change committed, see [`ConsensusConfig::quiescence_seconds`].
    pub fn quiescence_seconds(&self, own: &ConsensusConfig) -> f64 {
        let lease = self.longest_lease_seconds.max(own.lease_seconds);
        self.config.quiescence_seconds_for(lease).max(own.quiescence_seconds_for(lease))
    }

    /// Whether it would change anything, as things stand.
    pub(crate) fn check(&self, item: &Item) -> Result<(), Rejection> {
        match item {
            Item::Entry(Command::Propose(version)) => self.check_version(version).map(drop),
            Item::Entry(Command::FillCompleted { number, segment, holder }) => {
                let open = self.opened(*number)?;
                let need = (*segment, holder.clone());
                if !open.required_fills.contains(&need) || open.completed_fills.contains(&need) {
                    return Err(Rejection::FillNotNeeded {
                        number: *number,
                        segment: *segment,
                        holder: holder.clone(),
                    });
                }
                Ok(())
            }
            Item::Entry(Command::Activate { number }) | Item::Stage { number } => {
                let open = self.opened(*number)?;
                if open.step == RolloutStep::RollingBack {
                    return Err(Rejection::RollingBack(*number));
                }
                match self.missing_fills() {
                    0 => Ok(()),
                    left => Err(Rejection::FillsMissing { number: *number, left }),
                }
            }
            Item::Entry(Command::Withdraw { number, .. }) => match self.opened(*number)?.step {
                RolloutStep::RollingBack => Err(Rejection::RollingBack(*number)),
                _ => Ok(()),
            },
            Item::Entry(Command::Settlement(entry)) => self.settlements.check(entry),
            Item::Entry(Command::Quota(entry)) => self.check_limit(entry),
            Item::Entry(Command::Rebalance(entry)) => self.check_move(entry),
            Item::Entry(Command::ChangeVoters(voting)) => self.check_voting(voting),
            Item::Seat { voter, .. } if !self.voters.contains(voter) => {
                Err(Rejection::NotAVoter(voter.clone()))
            }
            Item::Seat { .. } => Ok(()),
            Item::Voted(voted) => self.check_voted(voted),
            Item::Calm { epoch } if self.leases_suspended && *epoch == self.epoch => Ok(()),
            Item::Calm { .. } => Err(Rejection::AlreadyApplied),
            Item::Returned { number } => match self.opened(*number)?.step {
                RolloutStep::RollingBack => Ok(()),
                _ => Err(Rejection::NotProposed(*number)),
            },
            Item::Terms(_) => match &self.open {
                Some(open) => Err(Rejection::ConfigWhileOpen(open.version.number)),
                None => Ok(()),
            },
        }
    }

    /// Applies the entry at `index`, or says why it is ignored.
    pub(crate) fn apply(&mut self, index: u64, item: Item) -> Result<StateChange, Rejection> {
        self.index = index;
        if let Item::Entry(Command::Propose(version)) = item {
            let ahead = self.check_version(&version)?;
            return Ok(self.propose(Arc::new(*version), ahead));
        }
        self.check(&item)?;
        Ok(match item {
            Item::Entry(Command::Propose(_)) => unreachable!("taken above"),
            Item::Entry(Command::FillCompleted { number, segment, holder }) => {
                self.opening().completed_fills.insert((segment, holder.clone()));
                StateChange::FillCompleted { number, segment, holder }
            }
            Item::Entry(Command::Activate { number }) => self.confirm(number),
            Item::Entry(Command::Withdraw { number, why }) => self.take_back(number, why),
            Item::Returned { number } => {
                let why = self.opening().withdraw_reason.take().unwrap_or_default();
                self.withdraw(number, why)
            }
            Item::Stage { number } => {
                let open = self.opening();
                open.step = RolloutStep::Staged(open.version.first_stage_ratio.unwrap_or(1.0));
                StateChange::Staged(number)
            }
            Item::Entry(Command::Settlement(entry)) => {
                self.settlements.apply(entry.clone());
                StateChange::Settlement(entry)
            }
            Item::Entry(Command::Quota(entry)) => self.limit(&entry)?,
            Item::Entry(Command::Rebalance(entry)) => self.apply_move(entry)?,
            Item::Terms(terms) => {
                self.longest_lease_seconds = self.longest_lease_seconds.max(terms.lease_seconds);
                self.config = terms;
                StateChange::Config
            }
            Item::Entry(Command::ChangeVoters(voting)) => self.vote(*voting),
            Item::Voted(voted) => self.voted(voted),
            Item::Calm { epoch } => {
                self.leases_suspended = false;
                StateChange::LeasesResumed(epoch)
            }
            Item::Seat { voter, seat } => {
                self.voter_slots.insert(voter.clone(), seat);
                StateChange::VoterSlot(voter)
            }
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_of_a_later_program_are_passed_on_unless_they_have_to_be_known() {
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
            map_requirements: maps::MapConstraints { min_replicas: 1, min_zones: 1 },
        };
        let mut later = ReplicatedState::new(terms, BTreeMap::new());
        later.more.insert(String::from("omens"), ciborium::Value::from(vec![1, 2, 3]));
        let read = ReplicatedState::of(&later.bytes()).unwrap();
        assert_eq!(read.more, later.more);
        assert_eq!(read.bytes(), later.bytes());
        later.must.insert(String::from("omens"));
        assert!(ReplicatedState::of(&later.bytes()).is_none());
    }
}
