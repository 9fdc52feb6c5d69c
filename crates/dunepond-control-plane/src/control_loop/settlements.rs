//! Settlement at this broker: entries as the log has them, shares that are allotted in advance, and commitments that are
//! sent to the leader until the log has them.

use dunepond_consensus::{Command, Rejection, SettlementUpdate, Voter};
use dunepond_membership::{PeerState, RefusalReason, RequestKind, Responder};
use dunepond_settlement::{ApplyOutcome, Settlement, SettlementEntry, allot_evenly};
use tracing::{debug, info, warn};

use super::messages::SentRequest;
use super::{ControlLoop, LOG_SHARE_HOLDER};
use crate::audit_log::AuditEvent;
use crate::clock::monotonic_seconds;
use crate::commitments::{Commitments, MAX_ENTRIES_PER_MESSAGE};
use crate::explain::Explanation;
use crate::handle::increment;

/// Seconds between two reviews: of commitments to be sent to the leader, and of debts to be allotted or released.
const REVIEW_INTERVAL_SECONDS: f64 = 0.5;
const ENTRIES_TIMEOUT_SECONDS: f64 = 1.0;
/// Smallest amount that is allotted or released at once, as a divisor of a segment's size: an entry for every few bytes
/// would be costly.
const SEGMENT_PARTS: u64 = 8;

/// What this broker has committed to, and how much of the log it has applied.
pub struct Settlements {
    pub commitments: Commitments,
    /// Each broker fills nodes in slow start, and debts are allotted in advance.
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

/// A part of this broker's share that it will not spend.
struct Surplus {
    debtor: String,
    creditor: String,
    bytes: u64,
}

/// Whether a broker may propose the entry: only it knows what it promised and what it has left.
fn may_propose(broker: &str, entry: &SettlementEntry) -> bool {
    match entry {
        SettlementEntry::Settle(settlement) => settlement.broker() == broker,
        SettlementEntry::Release(release) => release.broker == broker,
        SettlementEntry::Allot(_) | SettlementEntry::StartFill(_) => false,
    }
}

impl ControlLoop {
    /// A voter applies the entries of its own log.
    pub(super) fn apply_voter_entries(&mut self) {
        while let Some(state) = self.voter.as_ref().map(Voter::state) {
            // A voter that was just started may have applied less of the log than this broker knew before.
            if state.settlements.count <= self.settlement.applied_entries {
                break;
            }
            let update = state.settlements.updates_after(self.settlement.applied_entries);
            self.apply_entries(update);
        }
    }

    /// Other brokers apply the entries that come with their leases.
    pub(super) fn apply_leased_entries(&mut self) {
        for update in self.member.take_settlement_updates() {
            // A ledger with fewer entries than this broker has applied is of another fleet, and replaces its own.
            let is_behind = update.ledger.is_some() && update.count < self.settlement.applied_entries;
            if self.voter.is_none() || is_behind {
                self.apply_entries(update);
            }
        }
        if self.voter.is_some() {
            self.member.set_known_settlements(self.settlement.applied_entries);
        }
    }

    fn apply_entries(&mut self, update: SettlementUpdate) {
        if let Some(ledger) = update.ledger {
            self.traffic.balances.replace(*ledger);
            self.settlement.applied_entries = update.from;
        }
        if update.from != self.settlement.applied_entries {
            return;
        }
        for logged in update.entries {
            self.settlement.applied_entries += 1;
            let balances = &mut self.traffic.balances;
            balances.close(logged.floor);
            match balances.apply(&logged.entry) {
                Ok(ApplyOutcome::New) => self.on_applied(logged.entry),
                Ok(ApplyOutcome::Duplicate) => {}
                Err(e) => warn!("fleet: an entry about a debt: {e} ({})", e.help()),
            }
        }
        self.note_started_fills();
        self.release_logged_commitments();
    }

    fn on_applied(&mut self, entry: SettlementEntry) {
        match entry {
            SettlementEntry::Settle(settlement) => self.on_settled(settlement),
            SettlementEntry::Allot(allotment) => {
                let bytes: u64 = allotment.parts.iter().map(|share| share.bytes).sum();
                let (debtor, creditor) = (allotment.debtor, allotment.creditor);
                info!("fleet: {bytes} bytes that {debtor} owes {creditor} are split in advance");
            }
            SettlementEntry::Release(release) => {
                debug!("fleet: {} gives back {} bytes of its share", release.broker, release.bytes);
            }
            SettlementEntry::StartFill(_) => {}
        }
    }

    fn on_settled(&mut self, settlement: Settlement) {
        increment(&self.counters.settled);
        Explanation::for_settlement(&settlement, &self.traffic.balances).log();
        let number = settlement.version().unwrap_or(0);
        let Settlement { id, debtor, creditor, bytes, .. } = settlement;
        info!("fleet: settled {id}: {bytes} bytes that {debtor} owed {creditor}");
        if let Some(audit_log) = &self.audit_log {
            audit_log.record(AuditEvent::Settled { id, debtor, creditor, bytes, number });
        }
    }

    /// Drops the commitments that the log has by now.
    fn release_logged_commitments(&mut self) {
        let (commitments, ledger) = (&mut self.settlement.commitments, self.traffic.balances.ledger());
        let due_before = commitments.due_entries().len();
        let releasing_before = commitments.shares.releasing().is_some();
        commitments.shares.reconcile(ledger, &[]);
        let shares = &commitments.shares;
        commitments.fills.retain(|id, committed| !committed.done || shares.promised(id).is_some());
        if due_before != commitments.due_entries().len()
            || releasing_before != commitments.shares.releasing().is_some()
        {
            self.settlement.unsaved = true;
        }
    }

    /// Stores the commitments together with the ledger. False if they could not be stored: nothing may rest on them.
    pub(super) fn save_commitments(&mut self) -> bool {
        let commitments = &mut self.settlement.commitments;
        commitments.ledger = self.traffic.balances.ledger().clone();
        commitments.applied_entries = self.settlement.applied_entries;
        let saved = self.data.save_commitments(commitments);
        self.settlement.unsaved = saved.is_err();
        if let Err(e) = &saved {
            debug!("fleet: folder: promises: {e}");
        }
        saved.is_ok()
    }

    /// Sends due entries to the leader, releases surplus shares, and at the leader splits debts.
    pub(super) fn review_settlements(&mut self) {
        let now = monotonic_seconds();
        if now < self.settlement.next_review_at || self.traffic.partners.is_empty() {
            return;
        }
        self.settlement.next_review_at = now + REVIEW_INTERVAL_SECONDS;
        if self.settlement.unsaved && !self.save_commitments() {
            return;
        }
        let is_leading = self.is_leading();
        if is_leading || now < self.member.active_config().lease_expires_at() {
            self.release_surplus();
            self.send_due_entries(is_leading);
        }
        if is_leading && self.settlement.fill_started_nodes {
            self.split_debts();
        }
    }

    fn send_due_entries(&mut self, is_leading: bool) {
        let due = self.settlement.commitments.due_entries();
        if due.is_empty() {
            return;
        }
        if is_leading {
            for entry in due {
                let _ = self.enter_settlement(entry);
            }
            return;
        }
        let Some(leader) = self.member.leader().map(str::to_string) else { return };
        if leader == self.name {
            return;
        }
        if let Ok(body) = postcard::to_stdvec(&due) {
            let (kind, timeout) = (RequestKind::Fill, ENTRIES_TIMEOUT_SECONDS);
            self.send_request(&leader, kind, body, timeout, SentRequest::SettlementEntries);
        }
    }

    /// At the leader: enters what another broker sends. The response says only that it was received; what became of it, the
    /// log tells.
    pub(super) fn handle_entries(&mut self, from: &str, body: &[u8], responder: Responder) {
        if !self.is_leading() {
            let reason = RefusalReason::Declined("another leads".to_string());
            return self.peers.respond(responder, Err(reason));
        }
        let Ok(entries) = postcard::from_bytes::<Vec<SettlementEntry>>(body) else {
            return self.peers.respond(responder, Err(RefusalReason::Malformed));
        };
        for entry in entries.into_iter().take(MAX_ENTRIES_PER_MESSAGE) {
            if !may_propose(from, &entry) {
                warn!("fleet: {from} brings what is not its own to promise: left out");
                continue;
            }
            let _ = self.enter_settlement(entry);
        }
        self.peers.respond(responder, Ok(Vec::new()));
    }

    /// Enters an entry, where this broker leads.
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

    /// Smallest amount that is allotted or released at once.
    fn min_split_bytes(&self) -> u64 {
        (self.version_fills.limits.segment_bytes / SEGMENT_PARTS).max(1)
    }

    /// Allots debts that are not allotted yet evenly to all known brokers and to the log itself, from whose share the leader
    /// settles fills of versions. Any of them may be partitioned later, and settles from its share then.
    fn split_debts(&mut self) {
        let mut holders = self.all_brokers();
        holders.push(LOG_SHARE_HOLDER.to_string());
        for debt in self.traffic.balances.net_debts() {
            let (debtor, creditor) = (debt.debtor, debt.creditor);
            // A fill that was planned before the first allotment has no share to be taken from: it is settled first.
            let is_split = self.traffic.balances.ledger().is_split(&debtor, &creditor);
            if !is_split && self.version_fills.settles(&debtor, &creditor) {
                continue;
            }
            let Some(allotment) = allot_evenly(&self.traffic.balances, &debtor, &creditor, &holders) else {
                continue;
            };
            if allotment.parts.iter().map(|share| share.bytes).sum::<u64>() >= self.min_split_bytes() {
                let _ = self.enter_settlement(SettlementEntry::Allot(allotment));
            }
        }
    }

    /// All known brokers in the order of their names, this one among them, alive or not.
    pub(super) fn all_brokers(&self) -> Vec<String> {
        let mut brokers: Vec<String> = self.peers.members().into_iter().map(|peer| peer.name).collect();
        brokers.push(self.name.clone());
        brokers.extend(self.configured_brokers.iter().cloned());
        brokers.sort();
        brokers.dedup();
        brokers
    }

    pub(super) fn is_alive(&self, broker: &str) -> bool {
        if broker == self.name {
            return true;
        }
        let members = self.peers.members();
        members.iter().any(|peer| peer.name == broker && peer.state == PeerState::Alive)
    }

    /// Releases what this broker will not spend, of one pair of partners at a time.
    fn release_surplus(&mut self) {
        if self.settlement.commitments.shares.releasing().is_some() {
            return;
        }
        let Some(Surplus { debtor, creditor, bytes }) = self.first_surplus() else { return };
        let ledger = self.traffic.balances.ledger().clone();
        if let Err(e) = self.settlement.commitments.shares.release(&ledger, &debtor, &creditor, bytes) {
            debug!("fleet: {e} ({})", e.help());
        }
        // Stored before it is sent: from here on it is not promised to anybody.
        self.save_commitments();
    }

    fn first_surplus(&self) -> Option<Surplus> {
        for (debtor, creditor) in self.traffic.balances.ledger().pairs() {
            let bytes = self.surplus_bytes(debtor, creditor);
            if bytes >= self.min_split_bytes() {
                let (debtor, creditor) = (debtor.to_string(), creditor.to_string());
                return Some(Surplus { debtor, creditor, bytes });
            }
        }
        None
    }

    /// Bytes of this broker's share that it will not spend: all of it if it has no fills of its own, else its part of what is
    /// allotted beyond the present debt, which shrinks when the other partner carries in turn.
    fn surplus_bytes(&self, debtor: &str, creditor: &str) -> u64 {
        let ledger = self.traffic.balances.ledger();
        let remaining = self.settlement.commitments.shares.remaining(ledger, debtor, creditor);
        if !self.settlement.fill_started_nodes {
            return remaining;
        }
        let unspent = ledger.allotted(debtor, creditor) - ledger.settled(debtor, creditor);
        let excess = unspent.saturating_sub(self.traffic.balances.net_debt(debtor, creditor));
        let part = (excess as f64 * remaining as f64 / unspent.max(1) as f64) as u64;
        part.min(remaining)
    }
}
