//! Decoding of documents of format 1, the first stored format, which data folders of early fleets contain. Such
//! documents are read but never written. They are encoded with postcard, so the order of fields and variants is
//! significant.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use dunepond_settlement::{Settlement, SettlementEntry};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};

use crate::log_entry::LogEntry;
use crate::{
    Command, ConfigVersion, ConsensusConfig, FolderStart, PastChange, PersistedState, ProposedChange,
    ReplicatedState, RolloutStep,
};

/// A configuration version whose fields are encoded inline; later formats embed the packed configuration version as a
/// byte string.
struct Version1(ConfigVersion);

impl<'de> Deserialize<'de> for Version1 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        ConfigVersion::deserialize(deserializer).map(Version1)
    }
}

#[derive(Deserialize)]
struct Settlement1 {
    id: String,
    debtor: String,
    creditor: String,
    bytes: u64,
    segment: u64,
    holder: String,
    source: String,
}

#[derive(Deserialize)]
enum Command1 {
    Propose(Box<Version1>),
    FillCompleted { number: u64, segment: u64, holder: String },
    Activate { number: u64 },
    Withdraw { number: u64, why: String },
    Settle(Settlement1),
}

#[derive(Deserialize)]
enum LogEntry1 {
    Command(Command1),
    Config(ConsensusConfig),
    StartStage { number: u64 },
    RollbackCompleted { number: u64 },
    VoterSlot { voter: String, folder_start: FolderStart },
}

#[derive(Deserialize)]
struct ProposedChange1 {
    version: Version1,
    digest: String,
    step: RolloutStep,
    required_fills: BTreeSet<(u64, String)>,
    completed_fills: BTreeSet<(u64, String)>,
    withdraw_reason: Option<String>,
}

#[derive(Deserialize)]
struct ReplicatedState1 {
    index: u64,
    config: ConsensusConfig,
    longest_lease_seconds: f64,
    active: Option<(Version1, String)>,
    completed_fills: BTreeSet<(u64, String)>,
    proposed: Option<ProposedChange1>,
    highest_number: u64,
    history: VecDeque<PastChange>,
    settled_count: u64,
    settlements: VecDeque<Settlement1>,
    settlement_ids: BTreeSet<String>,
    folder_starts: BTreeMap<String, FolderStart>,
}

#[derive(Deserialize)]
struct PersistedState1 {
    versions: Vec<Version1>,
    active_number: u64,
    completed_fills: Vec<(u64, String)>,
}

/// Decodes a document; `None` if it is malformed or followed by further bytes.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (document, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(document)
}

fn settlement(old: Settlement1) -> SettlementEntry {
    let Settlement1 { id, debtor, creditor, bytes, segment, holder, source } = old;
    SettlementEntry::Settle(Settlement { id, debtor, creditor, bytes, segment, holder, source })
}

pub(crate) fn log_entry(bytes: &[u8]) -> Option<LogEntry> {
    Some(match decode(bytes)? {
        LogEntry1::Command(old) => LogEntry::Command(command(old)),
        LogEntry1::Config(config) => LogEntry::Config(config),
        LogEntry1::StartStage { number } => LogEntry::StartStage { number },
        LogEntry1::RollbackCompleted { number } => LogEntry::RollbackCompleted { number },
        LogEntry1::VoterSlot { voter, folder_start } => LogEntry::VoterSlot { voter, folder_start },
    })
}

fn command(old: Command1) -> Command {
    match old {
        Command1::Propose(version) => Command::Propose(Box::new(version.0)),
        Command1::FillCompleted { number, segment, holder } => {
            Command::FillCompleted { number, segment, holder }
        }
        Command1::Activate { number } => Command::Activate { number },
        Command1::Withdraw { number, why } => Command::Withdraw { number, why },
        Command1::Settle(old) => Command::Settlement(settlement(old)),
    }
}

/// Decodes the state of a snapshot. The voters are taken from the consensus configuration in the snapshot, since format
/// 1 stored no other list of voters. A settlement is omitted if its id does not identify the fill that paid off the
/// debt, since the ledger rejects it then.
pub(crate) fn replicated_state(bytes: &[u8]) -> Option<ReplicatedState> {
    let old: ReplicatedState1 = decode(bytes)?;
    let mut state = ReplicatedState::new(old.config, old.folder_starts);
    state.index = old.index;
    state.longest_lease_seconds = old.longest_lease_seconds;
    state.active = old.active.map(|(version, digest)| (Arc::new(version.0), digest));
    state.completed_fills = old.completed_fills;
    state.highest_number = old.highest_number;
    state.history = old.history;
    state.proposed = old.proposed.map(proposed_change);
    let ids_complete = old.settlement_ids.len() as u64 <= old.settled_count;
    for entry in old.settlements.into_iter().filter(|_| ids_complete).map(settlement) {
        if state.settlements.check(&entry).is_ok() {
            state.settlements.apply(entry);
        }
    }
    Some(state)
}

fn proposed_change(old: ProposedChange1) -> ProposedChange {
    ProposedChange {
        version: Arc::new(old.version.0),
        digest: old.digest,
        step: old.step,
        required_fills: old.required_fills,
        completed_fills: old.completed_fills,
        withdraw_reason: old.withdraw_reason,
    }
}

pub(crate) fn persisted_state(bytes: &[u8]) -> Option<PersistedState> {
    let old: PersistedState1 = decode(bytes)?;
    let versions = old.versions.into_iter().map(|version| Arc::new(version.0)).collect();
    Some(PersistedState {
        versions,
        active_number: old.active_number,
        completed_fills: old.completed_fills,
        ..PersistedState::default()
    })
}
