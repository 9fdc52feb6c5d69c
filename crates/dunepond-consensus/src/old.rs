//! Documents of format 1, as folders of the first fleets hold them: read, never written.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use dunepond_settlement::{Agreed, Settlement};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};

use crate::state::{Item, OpenChange};
use crate::{
    Command, ConfigVersion, ConsensusConfig, PastChange, PersistedState, ReplicatedState, RolloutStep,
    VoterSlot,
};

/// In place, not packed.
struct Version1(ConfigVersion);

impl<'de> Deserialize<'de> for Version1 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        ConfigVersion::deserialize(deserializer).map(Version1)
    }
}

#[derive(Deserialize)]
struct Settled1 {
    id: String,
    debtor: String,
    creditor: String,
    bytes: u64,
    segment: u64,
    holder: String,
    source: String,
}

#[derive(Deserialize)]
enum Entry1 {
    Propose(Box<Version1>),
    Filled { number: u64, segment: u64, holder: String },
    Confirm { number: u64 },
    Withdraw { number: u64, why: String },
    Settle(Settled1),
}

#[derive(Deserialize)]
enum Item1 {
    Entry(Entry1),
    Terms(ConsensusConfig),
    Stage { number: u64 },
    Returned { number: u64 },
    Seat { voter: String, seat: VoterSlot },
}

#[derive(Deserialize)]
struct Opened1 {
    version: Version1,
    digest: String,
    step: RolloutStep,
    needs: BTreeSet<(u64, String)>,
    filled: BTreeSet<(u64, String)>,
    why: Option<String>,
}

#[derive(Deserialize)]
struct State1 {
    index: u64,
    terms: ConsensusConfig,
    longest_lease: f64,
    in_force: Option<(Version1, String)>,
    done: BTreeSet<(u64, String)>,
    open: Option<Opened1>,
    highest: u64,
    history: VecDeque<PastChange>,
    settled: u64,
    settlements: VecDeque<Settled1>,
    ids: BTreeSet<String>,
    seats: BTreeMap<String, VoterSlot>,
}

#[derive(Deserialize)]
struct Kept1 {
    versions: Vec<Version1>,
    in_force: u64,
    done: Vec<(u64, String)>,
}

/// To the last byte.
fn whole<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(document, _)| document)
}

fn settlement(old: Settled1) -> Agreed {
    let Settled1 { id, debtor, creditor, bytes, segment, holder, source } = old;
    Agreed::Settle(Settlement { id, debtor, creditor, bytes, segment, holder, source })
}

pub(crate) fn item(bytes: &[u8]) -> Option<Item> {
    Some(match whole(bytes)? {
        Item1::Entry(entry) => Item::Entry(match entry {
            Entry1::Propose(version) => Command::Propose(Box::new(version.0)),
            Entry1::Filled { number, segment, holder } => Command::FillCompleted { number, segment, holder },
            Entry1::Confirm { number } => Command::Activate { number },
            Entry1::Withdraw { number, why } => Command::Withdraw { number, why },
            Entry1::Settle(old) => Command::Settlement(settlement(old)),
        }),
        Item1::Terms(terms) => Item::Terms(terms),
        Item1::Stage { number } => Item::Stage { number },
        Item1::Returned { number } => Item::Returned { number },
        Item1::Seat { voter, seat } => Item::Seat { voter, seat },
    })
}

/// The voters are those of its terms: format 1 had no others. A settlement whose id does not say of which fill it is
/// cannot count again and is left out.
pub(crate) fn state(bytes: &[u8]) -> Option<ReplicatedState> {
    let old: State1 = whole(bytes)?;
    let mut state = ReplicatedState::new(old.terms, old.seats);
    state.index = old.index;
    state.longest_lease_seconds = old.longest_lease;
    state.active = old.in_force.map(|(version, digest)| (Arc::new(version.0), digest));
    (state.completed_fills, state.highest_number, state.history) = (old.done, old.highest, old.history);
    state.open = old.open.map(|open| OpenChange {
        version: Arc::new(open.version.0),
        digest: open.digest,
        step: open.step,
        required_fills: open.needs,
        completed_fills: open.filled,
        withdraw_reason: open.why,
    });
    let known = old.ids.len() as u64 <= old.settled;
    for entry in old.settlements.into_iter().filter(|_| known).map(settlement) {
        if state.settlements.check(&entry).is_ok() {
            state.settlements.apply(entry);
        }
    }
    Some(state)
}

pub(crate) fn kept(bytes: &[u8]) -> Option<PersistedState> {
    let old: Kept1 = whole(bytes)?;
    let versions = old.versions.into_iter().map(|version| Arc::new(version.0)).collect();
    Some(PersistedState { versions, in_force: old.in_force, done: old.done, ..PersistedState::default() })
}
