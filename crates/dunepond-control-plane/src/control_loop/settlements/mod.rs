//! Settlement at this broker: entries as the log has them, shares that are allotted in advance, and commitments that are
//! sent to the leader until the log has them.

mod log_entries;
mod shares;

use dunepond_consensus::{Command, Rejection};
use dunepond_membership::{PeerState, RefusalReason, RequestKind, Responder};
use dunepond_settlement::SettlementEntry;
use tracing::{debug, warn};

use super::ControlLoop;
use super::messages::SentRequest;
use crate::clock::monotonic_seconds;
use crate::commitments::{Commitments, MAX_ENTRIES_PER_MESSAGE};

/// Seconds between two reviews: of commitments to be sent to the leader, and of debts to be allotted or released.
const REVIEW_INTERVAL_SECONDS: f64 = 0.5;
const ENTRIES_TIMEOUT_SECONDS: f64 = 1.0;

/// What this broker has committed to, and how much of the log it has applied.
pub struct Settlements {
    /// Stored before a fill starts and before a part of a share is given back.
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
    /// Continues from the stored commitments.
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

/// Whether a broker may propose the entry: only it knows what it promised and what it has left.
fn may_propose(broker: &str, entry: &SettlementEntry) -> bool {
    match entry {
        SettlementEntry::Settle(settlement) => settlement.broker() == broker,
        SettlementEntry::Release(release) => release.broker == broker,
        SettlementEntry::Allot(_) | SettlementEntry::StartFill(_) => false,
    }
}

impl ControlLoop {
    /// Stores the commitments together with the ledger. False if they could not be stored: what follows from them must wait.
    pub(in crate::control_loop) fn save_commitments(&mut self) -> bool {
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
    pub(in crate::control_loop) fn review_settlements(&mut self) {
        let now = monotonic_seconds();
        if now < self.settlement.next_review_at || self.traffic.partners.is_empty() {
            return;
        }
        self.settlement.next_review_at = now + REVIEW_INTERVAL_SECONDS;
        if self.settlement.unsaved && !self.save_commitments() {
            return;
        }
        let is_leading = self.is_leading();
        if is_leading || now < self.lease_client.active_config().lease_expires_at() {
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
                let _ = self.propose_settlement(entry);
            }
            return;
        }
        let Some(leader) = self.lease_client.leader().map(str::to_string) else { return };
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
    pub(in crate::control_loop) fn handle_entries(&mut self, from: &str, body: &[u8], responder: Responder) {
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
            let _ = self.propose_settlement(entry);
        }
        self.peers.respond(responder, Ok(Vec::new()));
    }

    /// Enters an entry, where this broker leads.
    pub(in crate::control_loop) fn propose_settlement(
        &mut self,
        entry: SettlementEntry,
    ) -> Result<(), Rejection> {
        let entered = self.propose(Command::Settlement(entry));
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

    /// All known brokers in the order of their names, this one among them, alive or not.
    pub(in crate::control_loop) fn all_brokers(&self) -> Vec<String> {
        let mut brokers: Vec<String> = self.peers.members().into_iter().map(|peer| peer.name).collect();
        brokers.push(self.name.clone());
        brokers.extend(self.configured_brokers.iter().cloned());
        brokers.sort();
        brokers.dedup();
        brokers
    }

    /// Whether the membership has the broker as alive.
    pub(in crate::control_loop) fn is_alive(&self, broker: &str) -> bool {
        if broker == self.name {
            return true;
        }
        let members = self.peers.members();
        members.iter().any(|peer| peer.name == broker && peer.state == PeerState::Alive)
    }
}
