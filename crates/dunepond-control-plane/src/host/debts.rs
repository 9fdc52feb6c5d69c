//! The agreed part of debts at this broker: entries as the log has them, shares that are split in advance, and what this
//! broker promised out of its own while it was cut off.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_consensus::{Command, Rejection, SettlementUpdate, Voter};
use dunepond_membership::{PeerState, RefusalReason, RequestKind, Responder};
use dunepond_settlement::{Agreed, Applied, Fill, Ledger, Settlement, Shares, split};
use serde::{Deserialize, Serialize};
use tracing::{debug, info, warn};

use super::{Asked, BY, Host};
use crate::clock::monotonic_seconds;
use crate::hand::add;
use crate::record::AuditEvent;
use crate::why::Why;

/// Seconds after which what is promised is brought to the leader again, and debts are looked through for what is to be
/// split or given back.
const EVERY: f64 = 0.5;
const WITHIN: f64 = 1.0;
/// What is split or given back at once is at least this part of a segment: an entry for every few bytes would be dear.
const LEAST: u64 = 8;
/// Entries that one broker brings at once.
const AT_ONCE: usize = 256;

/// A fill of our own that has begun, and whether it is done and only the log is waited for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pledged {
    pub fill: Fill,
    pub done: bool,
}

/// What this broker has promised, as it stands in its folder before it is acted on. The ledger stands there with it: after
/// a restart neither of the two may be older than the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Promises {
    pub shares: Shares,
    pub ledger: Ledger,
    /// Entries about debts that the ledger has.
    pub known: u64,
    pub fills: BTreeMap<String, Pledged>,
    /// Own fills that are done, of nodes that may still be cold: segment, holder, and the start after which it was.
    pub warmed: BTreeSet<(u64, String, u64)>,
}

impl Promises {
    pub fn new(by: &str) -> Result<Self, dunepond_settlement::DebtError> {
        let (shares, ledger, fills) = (Shares::new(by)?, Ledger::default(), BTreeMap::new());
        Ok(Self { shares, ledger, known: 0, fills, warmed: BTreeSet::new() })
    }

    /// Entries to be brought into the log: settlements of fills that are done, and what is given back.
    fn due(&self) -> Vec<Agreed> {
        let done = |entry: &Agreed| match entry {
            Agreed::Settle(settlement) => self.fills.get(settlement.fill()).is_none_or(|it| it.done),
            _ => true,
        };
        self.shares.owing().filter(done).take(AT_ONCE).collect()
    }
}

pub struct Debts {
    pub promises: Promises,
    /// Holders are kept warm by fills of each broker's own: debts are split in advance.
    pub warm: bool,
    /// Entries of the log that the book has.
    pub known: u64,
    /// What the folder has is not what is promised now.
    pub unsaved: bool,
    next: f64,
}

impl Debts {
    pub fn new(promises: Promises, warm: bool) -> Self {
        Self { known: promises.known, promises, warm, unsaved: false, next: 0.0 }
    }
}

/// Whether `from` may propose it: only a broker itself knows what it promised and what it has left.
fn is_its(entry: &Agreed, from: &str) -> bool {
    match entry {
        Agreed::Settle(settlement) => settlement.by() == from,
        Agreed::Release(release) => release.by == from,
        Agreed::Allot(_) | Agreed::Begin(_) => false,
    }
}

impl Host {
    /// A voter hears of debts from its own log, others with their leases.
    pub(super) fn debts_by_voter(&mut self) {
        while let Some(state) = self.voter.as_ref().map(Voter::state) {
            // A voter that was just started may have applied less of the log than this broker knew before.
            if state.settlements.count == self.debts.known || self.debts.known > state.settlements.count {
                break;
            }
            let told = state.settlements.updates_after(self.debts.known);
            self.debts_told(told);
        }
    }

    pub(super) fn debts_by_member(&mut self) {
        for told in self.member.take_settlement_updates() {
            // A voter's own log has them; an answer that has less than we know is of another fleet, and replaces all.
            if self.voter.is_none() || told.ledger.is_some() && told.count < self.debts.known {
                self.debts_told(told);
            }
        }
        if self.voter.is_some() {
            self.member.set_known_settlements(self.debts.known);
        }
    }

    fn debts_told(&mut self, told: SettlementUpdate) {
        let book = &mut self.counting.book;
        if let Some(ledger) = told.ledger {
            book.replace(*ledger);
            self.debts.known = told.from;
        }
        if told.from != self.debts.known {
            return;
        }
        for noted in told.entries {
            self.debts.known += 1;
            let book = &mut self.counting.book;
            book.close(noted.floor);
            match book.apply(&noted.entry) {
                Ok(Applied::Now) => {}
                Ok(Applied::Before) => continue,
                Err(e) => {
                    warn!("fleet: an entry about a debt: {e} ({})", e.help());
                    continue;
                }
            }
            match noted.entry {
                Agreed::Settle(settlement) => self.settled(settlement),
                Agreed::Allot(allot) => {
                    let sum: u64 = allot.parts.iter().map(|part| part.1).sum();
                    let (debtor, creditor) = (allot.debtor, allot.creditor);
                    info!("fleet: {sum} bytes that {debtor} owes {creditor} are split in advance");
                }
                Agreed::Release(release) => {
                    debug!("fleet: {} gives back {} bytes of its share", release.by, release.bytes);
                }
                Agreed::Begin(_) => {}
            }
        }
        self.begun_seen();
        self.caught_up();
    }

    fn settled(&mut self, settlement: Settlement) {
        add(&self.tally.settled);
        Why::settled(&settlement, &self.counting.book).tell();
        let number = settlement.version().unwrap_or(0);
        let Settlement { id, debtor, creditor, bytes, .. } = settlement;
        info!("fleet: settled {id}: {bytes} bytes that {debtor} owed {creditor}");
        if let Some(recorder) = &self.recorder {
            recorder.wrote(AuditEvent::Settle { id, debtor, creditor, bytes, number });
        }
    }

    /// The log has moved: what it shows is promised no more.
    fn caught_up(&mut self) {
        let (promises, ledger) = (&mut self.debts.promises, self.counting.book.ledger());
        let (open, giving) = (promises.due().len(), promises.shares.releasing().is_some());
        promises.shares.caught_up(ledger, &[]);
        let shares = &promises.shares;
        promises.fills.retain(|id, pledged| !pledged.done || shares.promised(id).is_some());
        if open != promises.due().len() || giving != promises.shares.releasing().is_some() {
            self.debts.unsaved = true;
        }
    }

    /// Into the folder, with the ledger that it rests on. False if it could not be written: nothing may rest on it.
    pub(super) fn save_promises(&mut self) -> bool {
        let promises = &mut self.debts.promises;
        (promises.ledger, promises.known) = (self.counting.book.ledger().clone(), self.debts.known);
        match self.folder.promise(promises) {
            Ok(()) => {
                self.debts.unsaved = false;
                true
            }
            Err(e) => {
                self.debts.unsaved = true;
                debug!("fleet: folder: promises: {e}");
                false
            }
        }
    }

    /// Brings what is due into the log, splits what is owed, gives back what is not needed.
    pub(super) fn see_to_debts(&mut self) {
        let now = monotonic_seconds();
        if now < self.debts.next || self.counting.partners.is_empty() {
            return;
        }
        self.debts.next = now + EVERY;
        if self.debts.unsaved && !self.save_promises() {
            return;
        }
        let leads = self.state.failed.is_none() && self.voter.as_ref().is_some_and(Voter::is_leader);
        if now < self.member.active_config().lease_expires_at() || leads {
            self.give_back();
            self.bring(leads);
        }
        if leads && self.debts.warm {
            self.split();
        }
    }

    fn bring(&mut self, leads: bool) {
        let due = self.debts.promises.due();
        if due.is_empty() {
            return;
        }
        if leads {
            return due.into_iter().for_each(|entry| drop(self.enter_debt(entry)));
        }
        let Some(leader) = self.member.leader().map(str::to_string).filter(|it| *it != self.name) else {
            return;
        };
        if let Ok(body) = postcard::to_stdvec(&due) {
            self.ask(&leader, RequestKind::Fill, body, WITHIN, Asked::Debts);
        }
    }

    /// What another broker brings, where this one leads. The answer says only that it came: the log tells the rest.
    pub(super) fn brought(&mut self, from: &str, body: &[u8], token: Responder) {
        if self.state.failed.is_some() || !self.voter.as_ref().is_some_and(Voter::is_leader) {
            return self.peers.respond(token, Err(RefusalReason::Declined("another leads".to_string())));
        }
        let Ok(entries) = postcard::from_bytes::<Vec<Agreed>>(body) else {
            return self.peers.respond(token, Err(RefusalReason::Malformed));
        };
        for entry in entries.into_iter().take(AT_ONCE) {
            if !is_its(&entry, from) {
                warn!("fleet: {from} brings what is not its own to promise: left out");
                continue;
            }
            let _ = self.enter_debt(entry);
        }
        self.peers.respond(token, Ok(Vec::new()));
    }

    pub(super) fn enter_debt(&mut self, entry: Agreed) -> Result<(), Rejection> {
        let entered = self.enter(Command::Settlement(entry));
        if let Err(why) = &entered
            && !matches!(
                why,
                Rejection::NotLeader(_)
                    | Rejection::AlreadySettled(_)
                    | Rejection::AlreadyApplied
                    | Rejection::Busy
            )
        {
            debug!("fleet: an entry about a debt: {why} ({})", why.help());
        }
        entered
    }

    fn least(&self) -> u64 {
        (self.fills.segment / LEAST).max(1)
    }

    /// Splits what is owed and not split yet evenly: over all brokers that are known, and the log itself, out of which
    /// whoever leads settles the fills of versions. Nobody knows which of them will be cut off.
    fn split(&mut self) {
        let mut brokers = self.brokers();
        brokers.push(BY.to_string());
        for debt in self.counting.book.net() {
            let (debtor, creditor) = (debt.debtor, debt.creditor);
            // What is planned before the first split has no share to be taken from: it comes into the log first.
            if !self.counting.book.ledger().is_split(&debtor, &creditor)
                && self.fills.settles(&debtor, &creditor)
            {
                continue;
            }
            let Some(allot) = split(&self.counting.book, &debtor, &creditor, &brokers) else { continue };
            if allot.parts.iter().map(|part| part.1).sum::<u64>() >= self.least() {
                let _ = self.enter_debt(Agreed::Allot(allot));
            }
        }
    }

    /// All brokers that are known, this one among them; those that are away too.
    pub(super) fn brokers(&self) -> Vec<String> {
        let mut all: Vec<String> = self.peers.members().into_iter().map(|peer| peer.name).collect();
        all.push(self.name.clone());
        all.extend(self.known.iter().cloned());
        all.sort();
        all.dedup();
        all
    }

    pub(super) fn is_here(&self, broker: &str) -> bool {
        broker == self.name
            || self.peers.members().iter().any(|peer| peer.name == broker && peer.state == PeerState::Alive)
    }

    /// Gives back what this broker will not spend: all of it if it carries out no fills, and its part of what is split
    /// beyond the debt as it stands now, when the other side has carried in the meantime.
    fn give_back(&mut self) {
        let ledger = self.counting.book.ledger();
        if self.debts.promises.shares.releasing().is_some() {
            return;
        }
        let pairs: Vec<(String, String)> =
            ledger.pairs().map(|(debtor, creditor)| (debtor.to_string(), creditor.to_string())).collect();
        for (debtor, creditor) in pairs {
            let ledger = self.counting.book.ledger();
            let left = self.debts.promises.shares.left(ledger, &debtor, &creditor);
            let unspent = ledger.allotted(&debtor, &creditor) - ledger.settled(&debtor, &creditor);
            let beyond = unspent.saturating_sub(self.counting.book.open(&debtor, &creditor));
            let part = (beyond as f64 * left as f64 / unspent.max(1) as f64) as u64;
            let back = if self.debts.warm { part.min(left) } else { left };
            if back < self.least() {
                continue;
            }
            let ledger = self.counting.book.ledger().clone();
            if let Err(e) = self.debts.promises.shares.release(&ledger, &debtor, &creditor, back) {
                debug!("fleet: {e} ({})", e.help());
            }
            // From here on it is not promised to anybody; the log hears of it once the folder has it.
            self.save_promises();
            return;
        }
    }
}
