//! Applies the settlement entries of the replicated log to this broker's balances and commitments.

use dunepond_consensus::{SettlementUpdate, Voter};
use dunepond_settlement::{ApplyOutcome, Settlement, SettlementEntry};
use tracing::{debug, info, warn};

use crate::audit_log::AuditEvent;
use crate::control_loop::ControlLoop;
use crate::explain::Explanation;
use crate::handle::increment;

impl ControlLoop {
    /// Applies new settlement entries from the log of this broker's voter, if this broker is a voter.
    pub(in crate::control_loop) fn apply_voter_entries(&mut self) {
        while let Some(state) = self.voter.as_ref().map(Voter::state) {
            // After a restart the voter may have applied fewer entries of the log than are applied in this broker's
            // stored ledger.
            if state.settlements.count <= self.settlement.applied_entries {
                break;
            }
            let update = state.settlements.updates_after(self.settlement.applied_entries);
            self.apply_entries(update);
        }
    }

    /// Applies the settlement entries that came with a lease. A voter applies the entries of its own log instead. From
    /// a lease it applies only a ledger of another fleet, which replaces its own.
    pub(in crate::control_loop) fn apply_leased_entries(&mut self) {
        for update in self.lease_client.take_settlement_updates() {
            // A ledger with fewer entries than this broker has applied belongs to another fleet and replaces this
            // broker's ledger.
            let is_behind = update.ledger.is_some() && update.count < self.settlement.applied_entries;
            if self.voter.is_none() || is_behind {
                self.apply_entries(update);
            }
        }
        if self.voter.is_some() {
            self.lease_client.set_known_settlements(self.settlement.applied_entries);
        }
    }

    /// Replaces the ledger if the update has one, then applies the update's entries. Ignores entries that do not
    /// directly follow the last applied entry.
    fn apply_entries(&mut self, update: SettlementUpdate) {
        if let Some(ledger) = update.ledger {
            self.traffic.balances.replace_ledger(*ledger);
            self.settlement.applied_entries = update.from;
        }
        if update.from != self.settlement.applied_entries {
            return;
        }
        for logged in update.entries {
            self.settlement.applied_entries += 1;
            let balances = &mut self.traffic.balances;
            balances.close_versions(logged.oldest_open_version);
            match balances.apply(&logged.entry) {
                Ok(ApplyOutcome::New) => self.on_applied(logged.entry),
                Ok(ApplyOutcome::Duplicate) => {}
                Err(e) => warn!("fleet: settlement entry not applied: {e} ({})", e.help()),
            }
        }
        self.note_started_fills();
        self.release_logged_commitments();
    }

    /// Logs and counts an entry that was applied for the first time.
    fn on_applied(&mut self, entry: SettlementEntry) {
        match entry {
            SettlementEntry::Settle(settlement) => self.on_settled(settlement),
            SettlementEntry::Allot(allotment) => {
                let bytes: u64 = allotment.parts.iter().map(|share| share.bytes).sum();
                let (debtor, creditor) = (allotment.debtor, allotment.creditor);
                info!("fleet: {bytes} bytes that {debtor} owes {creditor} are split in advance");
            }
            SettlementEntry::Release(release) => {
                debug!("fleet: {} releases {} bytes of its share", release.broker, release.bytes);
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

    /// Drops the commitments for which the log has an entry by now.
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
}
