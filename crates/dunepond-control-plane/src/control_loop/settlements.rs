//! The agreed part of debts at this broker: entries as the log has them, shares that are allotted in advance, and what this
//! broker promised out of its own shares while it was partitioned.

use dunepond_consensus::{Command, Rejection, SettlementUpdate, Voter};
use dunepond_membership::{PeerState, RefusalReason, RequestKind, Responder};
use dunepond_settlement::{ApplyOutcome, Settlement, SettlementEntry, allot_evenly};
use tracing::{debug, info, warn};

use super::{ControlLoop, LOG_SHARE_HOLDER, SentRequest};
use crate::audit_log::AuditEvent;
use crate::clock::monotonic_seconds;
use crate::commitments::{Commitments, MAX_ENTRIES_PER_MESSAGE};
use crate::explain::Explanation;
use crate::handle::increment;

/// Seconds after which promises are sent to the leader again, and debts are reviewed for what is to be allotted or
/// released.
const REVIEW_INTERVAL_SECONDS: f64 = 0.5;
const ENTRIES_TIMEOUT_SECONDS: f64 = 1.0;
/// Least amount that is allotted or released at once, as a ratio of a segment: an entry for every few bytes would be costly.
const MIN_PART_OF_SEGMENT: u64 = 8;

/// Settlement at this broker: what it has committed to, and how much of the log it has applied.
pub struct Settlements {
    pub commitments: Commitments,
    /// Holders are kept warm by fills of each broker's own: debts are allotted in advance.
    pub fill_started_nodes: bool,
    /// Entries of the log that the ledger has applied.
    pub applied_entries: u64,
    /// Commitments have changed since they were last stored.
    pub unsaved: bool,
    next_review_at: f64,
}

impl Settlements {
    pub fn new(commitments: Commitments, fill_started_nodes: bool) -> Self {
        Self {
            applied_entries: commitments.applied_entries,
            commitments,
            fill_started_nodes,
            unsaved: false,
            next_review_at: 0.0,
        }
    }
}

/// Whether `from` may propose it: only a broker itself knows what it promised and what it has left.
fn may_propose(entry: &SettlementEntry, from: &str) -> bool {
    match entry {
        SettlementEntry::Settle(settlement) => settlement.by() == from,
        SettlementEntry::Release(release) => release.by == from,
        SettlementEntry::Allot(_) | SettlementEntry::Begin(_) => false,
    }
}

impl ControlLoop {
    /// A voter hears of debts from its own log, others with their leases.
    pub(super) fn apply_voter_entries(&mut self) {
        while let Some(state) = self.voter.as_ref().map(Voter::state) {
            // A voter that was just started may have applied less of the log than this broker knew before.
            if state.settlements.count == self.settlement.applied_entries
                || self.settlement.applied_entries > state.settlements.count
            {
                break;
            }
            let told = state.settlements.updates_after(self.settlement.applied_entries);
            self.apply_entries(told);
        }
    }

    pub(super) fn apply_leased_entries(&mut self) {
        for told in self.member.take_settlement_updates() {
            // A voter's own log has them; an answer that has less than we know is of another fleet, and replaces all.
            if self.voter.is_none() || told.ledger.is_some() && told.count < self.settlement.applied_entries {
                self.apply_entries(told);
            }
        }
        if self.voter.is_some() {
            self.member.set_known_settlements(self.settlement.applied_entries);
        }
    }

    fn apply_entries(&mut self, told: SettlementUpdate) {
        let book = &mut self.traffic.balances;
        if let Some(ledger) = told.ledger {
            book.replace(*ledger);
            self.settlement.applied_entries = told.from;
        }
        if told.from != self.settlement.applied_entries {
            return;
        }
        for noted in told.entries {
            self.settlement.applied_entries += 1;
            let book = &mut self.traffic.balances;
            book.close(noted.floor);
            match book.apply(&noted.entry) {
                Ok(ApplyOutcome::New) => {}
                Ok(ApplyOutcome::Duplicate) => continue,
                Err(e) => {
                    warn!("fleet: an entry about a debt: {e} ({})", e.help());
                    continue;
                }
            }
            match noted.entry {
                SettlementEntry::Settle(settlement) => self.on_settled(settlement),
                SettlementEntry::Allot(allot) => {
                    let sum: u64 = allot.parts.iter().map(|part| part.1).sum();
                    let (debtor, creditor) = (allot.debtor, allot.creditor);
                    info!("fleet: {sum} bytes that {debtor} owes {creditor} are split in advance");
                }
                SettlementEntry::Release(release) => {
                    debug!("fleet: {} gives back {} bytes of its share", release.by, release.bytes);
                }
                SettlementEntry::Begin(_) => {}
            }
        }
        self.note_begun_fills();
        self.release_logged_commitments();
    }

    fn on_settled(&mut self, settlement: Settlement) {
        increment(&self.counters.settled);
        Explanation::for_settlement(&settlement, &self.traffic.balances).log();
        let number = settlement.version().unwrap_or(0);
        let Settlement { id, debtor, creditor, bytes, .. } = settlement;
        info!("fleet: settled {id}: {bytes} bytes that {debtor} owed {creditor}");
        if let Some(recorder) = &self.audit_log {
            recorder.record(AuditEvent::Settled { id, debtor, creditor, bytes, number });
        }
    }

    /// The log has moved: what it shows is promised no more.
    fn release_logged_commitments(&mut self) {
        let (promises, ledger) = (&mut self.settlement.commitments, self.traffic.balances.ledger());
        let (open, giving) = (promises.due_entries().len(), promises.shares.releasing().is_some());
        promises.shares.reconcile(ledger, &[]);
        let shares = &promises.shares;
        promises.fills.retain(|id, pledged| !pledged.done || shares.promised(id).is_some());
        if open != promises.due_entries().len() || giving != promises.shares.releasing().is_some() {
            self.settlement.unsaved = true;
        }
    }

    /// Into the folder, with the ledger that it rests on. False if it could not be written: nothing may rest on it.
    pub(super) fn save_commitments(&mut self) -> bool {
        let promises = &mut self.settlement.commitments;
        (promises.ledger, promises.applied_entries) =
            (self.traffic.balances.ledger().clone(), self.settlement.applied_entries);
        match self.data.save_commitments(promises) {
            Ok(()) => {
                self.settlement.unsaved = false;
                true
            }
            Err(e) => {
                self.settlement.unsaved = true;
                debug!("fleet: folder: promises: {e}");
                false
            }
        }
    }

    /// Brings what is due into the log, splits what is owed, gives back what is not needed.
    pub(super) fn review_settlements(&mut self) {
        let now = monotonic_seconds();
        if now < self.settlement.next_review_at || self.traffic.partners.is_empty() {
            return;
        }
        self.settlement.next_review_at = now + REVIEW_INTERVAL_SECONDS;
        if self.settlement.unsaved && !self.save_commitments() {
            return;
        }
        let leads =
            self.state.storage_failed_until.is_none() && self.voter.as_ref().is_some_and(Voter::is_leader);
        if now < self.member.active_config().lease_expires_at() || leads {
            self.release_surplus();
            self.send_due_entries(leads);
        }
        if leads && self.settlement.fill_started_nodes {
            self.split_debts();
        }
    }

    fn send_due_entries(&mut self, leads: bool) {
        let due = self.settlement.commitments.due_entries();
        if due.is_empty() {
            return;
        }
        if leads {
            return due.into_iter().for_each(|entry| drop(self.enter_settlement(entry)));
        }
        let Some(leader) = self.member.leader().map(str::to_string).filter(|it| *it != self.name) else {
            return;
        };
        if let Ok(body) = postcard::to_stdvec(&due) {
            self.send_request(
                &leader,
                RequestKind::Fill,
                body,
                ENTRIES_TIMEOUT_SECONDS,
                SentRequest::SettlementEntries,
            );
        }
    }

    /// What another broker brings, where this one leads. The answer says only that it came: the log tells the rest.
    pub(super) fn handle_entries(&mut self, from: &str, body: &[u8], token: Responder) {
        if self.state.storage_failed_until.is_some() || !self.voter.as_ref().is_some_and(Voter::is_leader) {
            return self.peers.respond(token, Err(RefusalReason::Declined("another leads".to_string())));
        }
        let Ok(entries) = postcard::from_bytes::<Vec<SettlementEntry>>(body) else {
            return self.peers.respond(token, Err(RefusalReason::Malformed));
        };
        for entry in entries.into_iter().take(MAX_ENTRIES_PER_MESSAGE) {
            if !may_propose(&entry, from) {
                warn!("fleet: {from} brings what is not its own to promise: left out");
                continue;
            }
            let _ = self.enter_settlement(entry);
        }
        self.peers.respond(token, Ok(Vec::new()));
    }

    pub(super) fn enter_settlement(&mut self, entry: SettlementEntry) -> Result<(), Rejection> {
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

    fn min_split_bytes(&self) -> u64 {
        (self.version_fills.segment_bytes / MIN_PART_OF_SEGMENT).max(1)
    }

    /// Allots what is owed and not allotted yet evenly: over all brokers that are known, and the log itself, out of which
    /// whoever leads settles the fills of versions. Nobody knows which of them will be cut off.
    fn split_debts(&mut self) {
        let mut brokers = self.all_brokers();
        brokers.push(LOG_SHARE_HOLDER.to_string());
        for debt in self.traffic.balances.net_debts() {
            let (debtor, creditor) = (debt.debtor, debt.creditor);
            // What is planned before the first allotment has no share to be taken from: it comes into the log first.
            if !self.traffic.balances.ledger().is_split(&debtor, &creditor)
                && self.version_fills.settles(&debtor, &creditor)
            {
                continue;
            }
            let Some(allot) = allot_evenly(&self.traffic.balances, &debtor, &creditor, &brokers) else {
                continue;
            };
            if allot.parts.iter().map(|part| part.1).sum::<u64>() >= self.min_split_bytes() {
                let _ = self.enter_settlement(SettlementEntry::Allot(allot));
            }
        }
    }

    /// All brokers that are known, this one among them; those that are away too.
    pub(super) fn all_brokers(&self) -> Vec<String> {
        let mut all: Vec<String> = self.peers.members().into_iter().map(|peer| peer.name).collect();
        all.push(self.name.clone());
        all.extend(self.configured_brokers.iter().cloned());
        all.sort();
        all.dedup();
        all
    }

    pub(super) fn is_alive(&self, broker: &str) -> bool {
        broker == self.name
            || self.peers.members().iter().any(|peer| peer.name == broker && peer.state == PeerState::Alive)
    }

    /// Gives back what this broker will not spend: all of it if it carries out no fills, and its part of what is allotted
    /// beyond the debt as it stands now, when the other side has carried in the meantime.
    fn release_surplus(&mut self) {
        let ledger = self.traffic.balances.ledger();
        if self.settlement.commitments.shares.releasing().is_some() {
            return;
        }
        let pairs: Vec<(String, String)> =
            ledger.pairs().map(|(debtor, creditor)| (debtor.to_string(), creditor.to_string())).collect();
        for (debtor, creditor) in pairs {
            let ledger = self.traffic.balances.ledger();
            let left = self.settlement.commitments.shares.remaining(ledger, &debtor, &creditor);
            let unspent = ledger.allotted(&debtor, &creditor) - ledger.settled(&debtor, &creditor);
            let beyond = unspent.saturating_sub(self.traffic.balances.net_debt(&debtor, &creditor));
            let part = (beyond as f64 * left as f64 / unspent.max(1) as f64) as u64;
            let back = if self.settlement.fill_started_nodes { part.min(left) } else { left };
            if back < self.min_split_bytes() {
                continue;
            }
            let ledger = self.traffic.balances.ledger().clone();
            if let Err(e) = self.settlement.commitments.shares.release(&ledger, &debtor, &creditor, back) {
                debug!("fleet: {e} ({})", e.help());
            }
            // From here on it is not promised to anybody; the log hears of it once the folder has it.
            self.save_commitments();
            return;
        }
    }
}
