//! Settlement at this broker: entries of the replicated log, shares of debts that are allotted in advance, and
//! commitments that are sent to the leader until the log has them.

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

/// Time between two reviews of the commitments to send to the leader, the debts to allot and the shares to release.
const REVIEW_INTERVAL_SECONDS: f64 = 0.5;
/// Timeout of a message with settlement entries to the leader.
const ENTRIES_TIMEOUT_SECONDS: f64 = 1.0;

/// This broker's commitments, and how many settlement entries of the log it has applied.
pub struct Settlements {
    /// The commitments. They are stored before this broker starts a fill and before it releases a part of a share.
    pub commitments: Commitments,
    /// Whether each broker fills nodes in slow start. If so, the leader splits debts into shares of the brokers in
    /// advance.
    pub fill_started_nodes: bool,
    /// Number of settlement entries of the log that are applied to this broker's ledger.
    pub applied_entries: u64,
    /// Whether the commitments have changed since they were last stored.
    pub unsaved: bool,
    /// When the next review is due.
    next_review_at: f64,
}

impl Settlements {
    /// Creates the state from the stored commitments.
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

/// Whether `broker`, which is not the leader, may propose this entry. Only the broker whose share is used may propose a
/// settlement or a release of a share, as only that broker knows what it has promised. All other entries may come only
/// from the leader itself.
fn may_propose(broker: &str, entry: &SettlementEntry) -> bool {
    match entry {
        SettlementEntry::Settle(settlement) => settlement.broker() == broker,
        SettlementEntry::Release(release) => release.broker == broker,
        SettlementEntry::Allot(_) | SettlementEntry::StartFill(_) => false,
    }
}

impl ControlLoop {
    /// Stores the commitments together with the ledger. Returns false if they could not be stored; then actions that
    /// depend on them must wait.
    pub(in crate::control_loop) fn save_commitments(&mut self) -> bool {
        let commitments = &mut self.settlement.commitments;
        commitments.ledger = self.traffic.balances.ledger().clone();
        commitments.applied_entries = self.settlement.applied_entries;
        let saved = self.data.save_commitments(commitments);
        self.settlement.unsaved = saved.is_err();
        if let Err(e) = &saved {
            debug!("fleet: data directory: commitments not stored: {e}");
        }
        saved.is_ok()
    }

    /// If a review is due, releases surplus shares and sends due entries to the leader, and splits debts if this broker
    /// leads.
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

    /// Sends the due settlement entries to the leader, or proposes them if this broker leads.
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
            let (kind, timeout) = (RequestKind::SettlementEntries, ENTRIES_TIMEOUT_SECONDS);
            self.send_request(&leader, kind, body, timeout, SentRequest::SettlementEntries);
        }
    }

    /// Handles settlement entries from another broker: proposes them if this broker leads. The response only confirms
    /// that they were received; the sender learns from the log whether they were accepted.
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
                warn!("fleet: settlement entry from {from} ignored: it may not propose this entry");
                continue;
            }
            let _ = self.propose_settlement(entry);
        }
        self.peers.respond(responder, Ok(Vec::new()));
    }

    /// Proposes a settlement entry if this broker leads. Logs rejections that are not routine.
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
            debug!("fleet: settlement entry rejected: {why} ({})", why.help());
        }
        entered
    }

    /// The names of all known brokers in alphabetical order, including this one and brokers that are not alive.
    pub(in crate::control_loop) fn all_brokers(&self) -> Vec<String> {
        let mut brokers: Vec<String> = self.peers.members().into_iter().map(|peer| peer.name).collect();
        brokers.push(self.name.clone());
        brokers.extend(self.configured_brokers.iter().cloned());
        brokers.sort();
        brokers.dedup();
        brokers
    }

    /// Whether the broker is alive according to the membership. This broker always is.
    pub(in crate::control_loop) fn is_alive(&self, broker: &str) -> bool {
        if broker == self.name {
            return true;
        }
        let members = self.peers.members();
        members.iter().any(|peer| peer.name == broker && peer.state == PeerState::Alive)
    }
}
