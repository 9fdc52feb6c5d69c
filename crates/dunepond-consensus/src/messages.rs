//! What brokers say to each other, what a voter orders its host to do, and what goes to the folder.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, Rejection, ReplicatedState, SettlementUpdate, VoterInfo};
use crate::{docs, old};

/// A broker's question for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub id: u64,
    pub broker: String,
    /// Asker's clock; echoed, and not trusted when it comes back.
    #[serde(rename = "sent")]
    pub sent_at: f64,
    /// Number and digest of the versions whose documents it has.
    #[serde(rename = "knows")]
    pub known_versions: Vec<(u64, String)>,
    /// It acts on the joint step towards this version.
    #[serde(rename = "joint")]
    pub joint_version: Option<u64>,
    /// One number a run of the process.
    pub incarnation: u64,
    /// How many entries about debts it has.
    #[serde(rename = "debts")]
    pub known_settlements: u64,
    /// What it needs of bounds that the fleet shares, and which parts it acts on; nothing where its file shares none.
    #[serde(rename = "limits")]
    pub demand: Option<dunepond_quota::DemandReport>,
    /// A voter that was asked passes it on to the leader once.
    #[serde(rename = "passed")]
    pub forwarded: bool,
    /// Its nodes are pressed: plans of moves pause where many say so.
    #[serde(rename = "pressed")]
    pub overloaded: bool,
}

/// The answer to an [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseReply {
    pub id: u64,
    pub incarnation: u64,
    /// Echoed.
    #[serde(rename = "sent")]
    pub sent_at: f64,
    pub answer: LeaseAnswer,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseAnswer {
    /// A lease on what was agreed after the question came.
    Granted(Box<LeaseGrant>),
    /// The one asked votes no more, by what is agreed on; whom else to ask, as far as it has heard.
    #[serde(rename = "NoVoter")]
    NotAVoter(Vec<VoterInfo>),
    /// The one asked knows no leader, or lost its place while the question waited.
    NoLeader,
}

/// What is agreed, as a quorum confirmed it after the question came.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Seconds from the sending of the question, on the asker's clock.
    #[serde(rename = "lease")]
    pub lease_seconds: f64,
    /// Parts of the answer, later than format 1, without which it must not be acted on.
    #[serde(default)]
    #[serde(rename = "must")]
    pub required_parts: Vec<String>,
    #[serde(default)]
    #[serde(rename = "fleet")]
    pub fleet_id: u64,
    #[serde(default)]
    pub epoch: u64,
    /// Place in the agreed log.
    pub index: u64,
    /// Number and digest.
    #[serde(rename = "in_force")]
    pub active: Option<(u64, String)>,
    #[serde(rename = "open")]
    pub proposed: Option<ProposedVersion>,
    #[serde(rename = "highest")]
    pub highest_number: u64,
    /// By the agreed terms, maps may come.
    #[serde(rename = "maps")]
    pub maps_enabled: bool,
    /// Who votes, by which word of the operator's.
    pub voters: Vec<VoterInfo>,
    #[serde(rename = "voting")]
    pub voters_number: u64,
    /// Of those above, what the asker said that it lacks.
    pub documents: Vec<Arc<ConfigVersion>>,
    /// Fills that count for the map in force: segment, node.
    #[serde(rename = "done")]
    pub completed_fills: Vec<(u64, String)>,
    /// Of debts what the asker lacks, some at a time.
    #[serde(rename = "debts")]
    pub settlements: SettlementUpdate,
    /// Its part of bounds that the fleet shares.
    #[serde(rename = "limits")]
    pub quota: Option<dunepond_quota::Allocation>,
    /// Whose answer: name, run, and its clock as the question came.
    pub leader: String,
    #[serde(rename = "run")]
    pub leader_run: u64,
    #[serde(rename = "heard")]
    pub received_at: f64,
}

/// The version that is proposed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProposedVersion {
    pub number: u64,
    pub digest: String,
    pub step: RolloutStep,
}

/// How far a change has come.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum RolloutStep {
    /// All act on the stricter of both.
    Joint,
    /// This share of the brokers acts on the new version alone, the others are joint.
    Staged(f64),
    /// Taken back: all are joint again, and wait until nobody acts on the new one alone.
    #[serde(rename = "Returning")]
    RollingBack,
}

/// What a voter's host has to do: append `save` to the store and sync it, and only then send the rest.
#[derive(Debug, Default)]
pub struct Effects {
    /// Voter and bytes; [`crate::Voter::receive`] takes them there.
    pub messages: Vec<(String, Vec<u8>)>,
    /// Broker and answer.
    pub replies: Vec<(String, LeaseReply)>,
    pub write_batch: WriteBatch,
    /// [`crate::Voter::state`] changed.
    pub state_changed: bool,
    /// What became of entries that were committed, in their order.
    pub outcomes: Vec<EntryOutcome>,
    /// For people.
    pub log_lines: Vec<String>,
}

/// What became of a committed entry; the same at each voter.
#[derive(Clone, Debug)]
pub struct EntryOutcome {
    pub index: u64,
    pub result: Result<crate::StateChange, Rejection>,
}

/// What a voter has to keep; one record of a journal, read back by [`StoredVoter::apply_record`]. Nothing if [`WriteBatch::is_empty`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WriteBatch {
    pub(crate) folder: Option<Folder>,
    /// Bytes of the library's hard state, if it changed.
    pub(crate) hard: Option<Vec<u8>>,
    /// Index, term and bytes; an index that is there already cuts off what stood from it on.
    pub(crate) entries: Vec<(u64, u64, Vec<u8>)>,
    pub(crate) snapshot: Option<Vec<u8>>,
    /// The snapshot came from the leader in place of all entries so far.
    pub(crate) replaces: bool,
}

/// Which folder it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Folder {
    pub name: String,
    /// Drawn when the folder was empty; the voter's number in the library, so that another folder is another voter.
    pub id: u64,
    /// Starts on this folder, this one counted; and what was drawn at this one.
    pub starts: u64,
    pub run: u64,
}

/// All that a voter's folder holds, put together from its records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredVoter {
    pub(crate) folder: Option<Folder>,
    pub(crate) hard: Option<Vec<u8>>,
    pub(crate) entries: BTreeMap<u64, (u64, Vec<u8>)>,
    pub(crate) snapshot: Option<Vec<u8>>,
}

/// What any broker keeps of what is agreed, so that a restart without a voter in reach knows the strictest of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    pub(crate) versions: Vec<Arc<ConfigVersion>>,
    pub(crate) in_force: u64,
    pub(crate) done: Vec<(u64, String)>,
    pub(crate) voters: Vec<VoterInfo>,
    pub(crate) voting: u64,
    #[serde(default)]
    pub(crate) fleet: u64,
    #[serde(default)]
    pub(crate) epoch: u64,
}

impl WriteBatch {
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// A record for a journal.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data")
    }

    /// It holds a whole picture: all records before it may be left out, the journal may start again with
    /// [`crate::Voter::checkpoint`].
    pub fn is_checkpoint(&self) -> bool {
        self.snapshot.is_some()
    }
}

impl StoredVoter {
    pub fn new() -> Self {
        Self::default()
    }

    /// The next record of the journal, in order.
    pub fn apply_record(&mut self, bytes: &[u8]) -> Result<(), crate::ConsensusError> {
        // The frame of the record; what lasts in it are documents of their own.
        let save: WriteBatch =
            postcard::from_bytes(bytes).map_err(|_| crate::ConsensusError::CorruptRecord("a save"))?;
        self.apply(save);
        Ok(())
    }

    pub(crate) fn apply(&mut self, save: WriteBatch) {
        if let Some(folder) = save.folder {
            if self.folder.as_ref().is_some_and(|old| old.id != folder.id) {
                *self = Self::default();
            }
            self.folder = Some(folder);
        }
        if let Some(snapshot) = save.snapshot {
            self.snapshot = Some(snapshot);
        }
        if save.replaces {
            self.entries.clear();
        }
        if let Some((first, ..)) = save.entries.first() {
            self.entries.split_off(first);
        }
        self.entries.extend(save.entries.into_iter().map(|(index, term, data)| (index, (term, data))));
        if save.hard.is_some() {
            self.hard = save.hard;
        }
    }
}

impl PersistedState {
    pub fn encode(&self) -> Vec<u8> {
        docs::write(self)
    }

    pub fn decode(bytes: &[u8]) -> Result<Self, crate::ConsensusError> {
        let kept = if docs::is_old(bytes) { old::kept(bytes) } else { docs::read(bytes) };
        kept.ok_or(crate::ConsensusError::CorruptRecord("what a broker keeps"))
    }
}

impl LeaseRequest {
    /// As it goes to another broker.
    pub fn encode(&self) -> Vec<u8> {
        docs::write(self)
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        docs::read(bytes)
    }
}

impl LeaseReply {
    /// As it goes to another broker.
    pub fn encode(&self) -> Vec<u8> {
        docs::write(self)
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        docs::read(bytes)
    }
}

impl LeaseGrant {
    /// Of `state`, for an asker that has `knows` and so many entries about debts.
    pub(crate) fn of(state: &ReplicatedState, ask: &LeaseRequest) -> Self {
        let mut documents = Vec::new();
        let named = |version: &Arc<ConfigVersion>, digest: &String| (version.number, digest.clone());
        let active = state.active.as_ref().map(|(v, d)| named(v, d));
        let proposed = state.open.as_ref().map(|o| ProposedVersion {
            number: o.version.number,
            digest: o.digest.clone(),
            step: o.step,
        });
        let both = state
            .active
            .iter()
            .map(|(v, d)| (v, d))
            .chain(state.open.iter().map(|o| (&o.version, &o.digest)));
        for (version, digest) in both {
            if !ask.known_versions.iter().any(|(n, d)| *n == version.number && d == digest) {
                documents.push(version.clone());
            }
        }
        Self {
            lease_seconds: state.config.lease_seconds,
            required_parts: Vec::new(),
            fleet_id: state.fleet_id,
            epoch: state.epoch,
            index: state.index,
            active,
            proposed,
            highest_number: state.highest_number,
            maps_enabled: state.config.maps_enabled,
            voters: state.voters.voters.clone(),
            voters_number: state.voters.number,
            documents,
            completed_fills: state.completed_fills.iter().cloned().collect(),
            settlements: state.settlements.updates_after(ask.known_settlements),
            quota: state.quota.allocation_for(&ask.broker),
            leader: String::new(),
            leader_run: 0,
            received_at: 0.0,
        }
    }
}
