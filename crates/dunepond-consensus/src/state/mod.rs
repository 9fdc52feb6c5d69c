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

use crate::{Entry, Refusal, Step, Terms, Version};
use crate::{docs, old};
pub use debts::{Debts, DebtsTold, Noted};
use dunepond_shard_map::{self as maps, Proof};
pub(crate) use versions::{Ahead, judge, with_done};
pub use versions::{Ended, Opened, Past};
pub(crate) use voters::Voted;
pub use voters::{Named, Voters, Voting};

/// What stands in the log: the entries, and what voters settle among themselves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Item {
    Entry(Entry),
    /// Another voter's file says other terms than those agreed; it leads now.
    Terms(Terms),
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
        seat: Seat,
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
pub struct Seat {
    #[serde(rename = "folder")]
    pub folder: u64,
    #[serde(rename = "starts")]
    pub starts: u64,
    #[serde(rename = "run")]
    pub run: u64,
}

/// What an entry changed.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Proposed(u64),
    Filled {
        number: u64,
        segment: u64,
        holder: String,
    },
    Staged(u64),
    InForce(u64),
    Returning(u64),
    Withdrawn(u64),
    Debt(Agreed),
    /// Generation of the parts.
    Limit(u64),
    /// A plan of moves, and how it stands now.
    Moves {
        plan: String,
        told: String,
    },
    Terms,
    Seat(String),
    /// Who votes is to change, and has changed; its number.
    Voting(u64),
    Voters(u64),
    /// The epoch from which leases are granted again.
    Calm(u64),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    /// Drawn as the fleet was founded (0: before fleets had one), and how often it was brought back without a majority.
    #[serde(default)]
    #[serde(rename = "fleet")]
    pub fleet: u64,
    #[serde(default)]
    pub epoch: u64,
    /// Leases of before it was brought back may run.
    #[serde(default)]
    #[serde(rename = "quiet")]
    pub quiet: bool,
    /// Place in the log up to which all is applied.
    pub index: u64,
    /// By which all voters judge, whatever their files say.
    #[serde(rename = "terms")]
    pub terms: Terms,
    /// Seconds; of all leases that were ever allowed. The wait counts by it.
    #[serde(rename = "longest_lease")]
    pub longest_lease: f64,
    /// With its digest.
    #[serde(rename = "in_force")]
    pub in_force: Option<(Arc<Version>, String)>,
    /// Fills (segment, node) that count for the map in force.
    #[serde(rename = "done")]
    pub done: BTreeSet<(u64, String)>,
    pub open: Option<Opened>,
    /// Highest number that was ever proposed.
    #[serde(rename = "highest")]
    pub highest: u64,
    pub history: VecDeque<Past>,
    #[serde(rename = "debts")]
    pub debts: Debts,
    pub voters: Voters,
    #[serde(rename = "seats")]
    pub seats: BTreeMap<String, Seat>,
    /// Each broker's part of what holds for the whole fleet.
    #[serde(rename = "limits")]
    pub limits: dunepond_quota::Ledger,
    moves: dunepond_rebalance::Book,
    /// Names of parts that a voter has to know, or take no part; none as yet.
    pub(crate) must: BTreeSet<String>,
    /// Parts of a later program that need not be known: passed on with each snapshot.
    #[serde(flatten)]
    pub(crate) more: BTreeMap<String, ciborium::Value>,
    /// Of the map in force, and of the move to the proposed one; made again from what stands above.
    #[serde(skip)]
    proof: Option<Proof>,
    #[serde(skip)]
    ahead: Option<Ahead>,
}

impl State {
    pub(crate) fn new(terms: Terms, seats: BTreeMap<String, Seat>) -> Self {
        Self {
            fleet: 0,
            epoch: 0,
            quiet: false,
            index: 0,
            longest_lease: terms.lease,
            voters: Voters::founded(&terms.voters),
            terms,
            in_force: None,
            done: BTreeSet::new(),
            open: None,
            highest: 0,
            history: VecDeque::new(),
            debts: Debts::default(),
            seats,
            limits: dunepond_quota::Ledger::default(),
            moves: dunepond_rebalance::Book::default(),
            must: BTreeSet::new(),
            more: BTreeMap::new(),
            proof: None,
            ahead: None,
        }
    }

    /// Of an entry, with what this program does not know of it as a reason to leave it alone.
    pub(crate) fn item(bytes: &[u8], knows: &[String]) -> Result<Item, Refusal> {
        let item = if docs::is_old(bytes) { old::item(bytes) } else { docs::read_all(bytes) };
        let item = item.ok_or(Refusal::UnknownEntry)?;
        if let Item::Entry(Entry::Propose(version)) = &item {
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
        if let Some((version, digest)) = &state.in_force {
            if version.digest() != *digest {
                return None;
            }
            if let Some(map) = &version.map {
                state.proof = Some(with_done(&maps::check(map, &[], &state.terms.map).ok()?, &state.done));
            }
        }
        if let Some(open) = &state.open {
            let in_force = state.in_force.as_ref().map(|(version, _)| &**version);
            state.ahead = Some(judge(in_force, state.proof.as_ref(), &open.version, &state.terms).ok()?);
        }
        Some(state)
    }

    /// Seconds on the leader's clock from when it saw a change committed, see [`Terms::wait`].
    pub fn wait(&self, own: &Terms) -> f64 {
        let lease = self.longest_lease.max(own.lease);
        self.terms.waited(lease).max(own.waited(lease))
    }

    /// Whether it would change anything, as things stand.
    pub(crate) fn check(&self, item: &Item) -> Result<(), Refusal> {
        match item {
            Item::Entry(Entry::Propose(version)) => self.check_version(version).map(drop),
            Item::Entry(Entry::Filled { number, segment, holder }) => {
                let open = self.opened(*number)?;
                let need = (*segment, holder.clone());
                if !open.needs.contains(&need) || open.filled.contains(&need) {
                    return Err(Refusal::NotNeeded {
                        number: *number,
                        segment: *segment,
                        holder: holder.clone(),
                    });
                }
                Ok(())
            }
            Item::Entry(Entry::Confirm { number }) | Item::Stage { number } => {
                let open = self.opened(*number)?;
                if open.step == Step::Returning {
                    return Err(Refusal::Returning(*number));
                }
                match self.left() {
                    0 => Ok(()),
                    left => Err(Refusal::Unfilled { number: *number, left }),
                }
            }
            Item::Entry(Entry::Withdraw { number, .. }) => match self.opened(*number)?.step {
                Step::Returning => Err(Refusal::Returning(*number)),
                _ => Ok(()),
            },
            Item::Entry(Entry::Debt(entry)) => self.debts.check(entry),
            Item::Entry(Entry::Limit(entry)) => self.check_limit(entry),
            Item::Entry(Entry::Move(entry)) => self.check_move(entry),
            Item::Entry(Entry::Vote(voting)) => self.check_voting(voting),
            Item::Seat { voter, .. } if !self.voters.votes(voter) => Err(Refusal::VotesNot(voter.clone())),
            Item::Seat { .. } => Ok(()),
            Item::Voted(voted) => self.check_voted(voted),
            Item::Calm { epoch } if self.quiet && *epoch == self.epoch => Ok(()),
            Item::Calm { .. } => Err(Refusal::Known),
            Item::Returned { number } => match self.opened(*number)?.step {
                Step::Returning => Ok(()),
                _ => Err(Refusal::NotOpen(*number)),
            },
            Item::Terms(_) => match &self.open {
                Some(open) => Err(Refusal::TermsWhileOpen(open.version.number)),
                None => Ok(()),
            },
        }
    }

    /// Applies the entry at `index`, or says why it is ignored.
    pub(crate) fn apply(&mut self, index: u64, item: Item) -> Result<Change, Refusal> {
        self.index = index;
        if let Item::Entry(Entry::Propose(version)) = item {
            let ahead = self.check_version(&version)?;
            return Ok(self.propose(Arc::new(*version), ahead));
        }
        self.check(&item)?;
        Ok(match item {
            Item::Entry(Entry::Propose(_)) => unreachable!("taken above"),
            Item::Entry(Entry::Filled { number, segment, holder }) => {
                self.opening().filled.insert((segment, holder.clone()));
                Change::Filled { number, segment, holder }
            }
            Item::Entry(Entry::Confirm { number }) => self.confirm(number),
            Item::Entry(Entry::Withdraw { number, why }) => self.take_back(number, why),
            Item::Returned { number } => {
                let why = self.opening().why.take().unwrap_or_default();
                self.withdraw(number, why)
            }
            Item::Stage { number } => {
                let open = self.opening();
                open.step = Step::Staged(open.version.stage.unwrap_or(1.0));
                Change::Staged(number)
            }
            Item::Entry(Entry::Debt(entry)) => {
                self.debts.apply(entry.clone());
                Change::Debt(entry)
            }
            Item::Entry(Entry::Limit(entry)) => self.limit(&entry)?,
            Item::Entry(Entry::Move(entry)) => self.apply_move(entry)?,
            Item::Terms(terms) => {
                self.longest_lease = self.longest_lease.max(terms.lease);
                self.terms = terms;
                Change::Terms
            }
            Item::Entry(Entry::Vote(voting)) => self.vote(*voting),
            Item::Voted(voted) => self.voted(voted),
            Item::Calm { epoch } => {
                self.quiet = false;
                Change::Calm(epoch)
            }
            Item::Seat { voter, seat } => {
                self.seats.insert(voter.clone(), seat);
                Change::Seat(voter)
            }
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_of_a_later_program_are_passed_on_unless_they_have_to_be_known() {
        let terms = Terms {
            name: String::from("n1"),
            voters: vec![String::from("n1")],
            lease: 1.0,
            drift: 0.01,
            bound: 3.0,
            longest_timeout: 1.0,
            fills_deadline: 1.0,
            most_changed: 1.0,
            maps: false,
            map: maps::Terms { least_holders: 1, least_zones: 1 },
        };
        let mut later = State::new(terms, BTreeMap::new());
        later.more.insert(String::from("omens"), ciborium::Value::from(vec![1, 2, 3]));
        let read = State::of(&later.bytes()).unwrap();
        assert_eq!(read.more, later.more);
        assert_eq!(read.bytes(), later.bytes());
        later.must.insert(String::from("omens"));
        assert!(State::of(&later.bytes()).is_none());
    }
}
