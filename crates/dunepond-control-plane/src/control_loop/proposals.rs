//! Proposals of the operator's document, a configuration version or a list of voters. The document is read from its
//! file and proposed to the leader repeatedly until the log has it.

use std::path::PathBuf;
use std::sync::Arc;

use arc_swap::ArcSwap;
use dunepond_consensus::{ActiveConfig, Rejection};
use dunepond_membership::{RefusalReason, RequestKind, Responder};
use dunepond_shard_map::{MapConstraints, Node};
use serde::{Deserialize, Serialize};
use tracing::{error, info, warn};

use super::ControlLoop;
use super::leader_search::LeaderSearch;
use super::messages::SentRequest;
use crate::clock::monotonic_seconds;
use crate::documents::{self, Document, decode_message};
use crate::error::VersionError;
use crate::handle::increment;

/// Timeout of a proposal, as a multiple of the lease duration.
const PROPOSAL_TIMEOUT_LEASES: f64 = 1.0;
/// Time after which a document is proposed again if no reply has arrived, as a multiple of the lease duration.
const PROPOSAL_INTERVAL_LEASES: f64 = 0.25;
/// Time for which a document is still proposed after a voter has reported its number as used, as a multiple of the
/// lease duration. If the log had this same document, this broker's leases would show it as known by then.
const NUMBER_USED_LEASES: f64 = 2.0;

/// The operator's document that is to be proposed, and the state of its proposal.
pub struct Proposals {
    /// Path of the operator's document.
    path: Option<PathBuf>,
    query_class_count: usize,
    /// The nodes that discovery lists, set by the event loop.
    pub(super) listed_nodes: Arc<ArcSwap<Vec<Node>>>,
    constraints: MapConstraints,
    /// Whether the file must be read before the next proposal.
    must_read: bool,
    /// The document that is to be proposed; `None` if there is none, and once the log has it or it was refused.
    document: Option<Document>,
    /// When the document is proposed next.
    next_proposal_at: f64,
    leader_search: LeaderSearch,
    /// When a voter first reported the document's number as used. The number may be used by this same document, if an
    /// earlier reply was lost; then the next leases show the document as known.
    number_used_since: Option<f64>,
}

/// A voter's response to a proposal.
#[derive(Debug, Serialize, Deserialize)]
enum ProposalReply {
    /// The document was added to the leader's log.
    Accepted,
    /// The voter does not lead. Names the leader if the voter knows it.
    NotLeader(Option<String>),
    /// The document cannot be accepted now, for this reason, but may be later.
    RetryLater(String),
    /// The document's number was used by an earlier proposal, possibly of the same document. The next leases show
    /// whether it was the same document.
    NumberUsed {
        /// The next free number.
        expected: u64,
    },
    /// The voter refused the document, and would refuse it again.
    Refused { why: String, help: String },
}

impl ProposalReply {
    /// The reply that reports the outcome of a proposal to this broker's voter.
    fn of(outcome: Result<(), Rejection>) -> Self {
        match outcome {
            Ok(()) => Self::Accepted,
            Err(Rejection::NotLeader(leader)) => Self::NotLeader(leader),
            Err(
                why @ (Rejection::AlreadyProposed { .. } | Rejection::NoLeader | Rejection::RollingBack(_)),
            ) => Self::RetryLater(why.to_string()),
            Err(Rejection::Rebalance(why)) if why.is_transient() => Self::RetryLater(why.to_string()),
            Err(
                Rejection::WrongNumber { given, expected } | Rejection::WrongVotersNumber { given, expected },
            ) if given < expected => Self::NumberUsed { expected },
            Err(why) => Self::Refused { why: why.to_string(), help: why.help().to_string() },
        }
    }
}

impl Proposals {
    /// Creates the state for the operator's document at `path`. When the document is read, it is verified against the
    /// other arguments.
    pub fn new(
        path: Option<PathBuf>,
        query_class_count: usize,
        listed_nodes: Arc<ArcSwap<Vec<Node>>>,
        constraints: MapConstraints,
    ) -> Self {
        Self {
            must_read: path.is_some(),
            path,
            query_class_count,
            listed_nodes,
            constraints,
            document: None,
            next_proposal_at: 0.0,
            leader_search: LeaderSearch::default(),
            number_used_since: None,
        }
    }

    /// Requests that the document is read again, from this path; `None` if there is no document any more.
    pub fn reload(&mut self, path: Option<PathBuf>) {
        self.path = path;
        self.must_read = true;
        self.next_proposal_at = 0.0;
    }

    /// Reads the document if that was requested. An invalid document is logged and not proposed.
    fn read(&mut self) {
        if !std::mem::take(&mut self.must_read) {
            return;
        }
        self.document = None;
        self.number_used_since = None;
        let Some(path) = &self.path else { return };
        let nodes = self.listed_nodes.load();
        match documents::read_document(path, self.query_class_count, &nodes, &self.constraints) {
            Ok(document) => self.document = Some(document),
            Err(e @ VersionError::NotFound { .. }) => info!("fleet: version file: {e} ({})", e.help()),
            Err(e) => error!("fleet: version file: {e} ({})", e.help()),
        }
    }
}

impl ControlLoop {
    /// Proposes the operator's document to the leader, repeatedly until a lease shows that the log has it. A document
    /// whose number is already known is dropped.
    pub(super) fn propose_document(&mut self) {
        let now = monotonic_seconds();
        let config = self.lease_client.active_config();
        // Without a lease this broker's knowledge of the configuration versions may be outdated, and the leader may be
        // unreachable.
        if now < self.proposals.next_proposal_at || now >= config.lease_expires_at() {
            return;
        }
        self.proposals.read();
        let Some(document) = self.proposals.document.clone() else { return };
        if self.is_known(&document, &config) {
            info!("fleet: {} is already known and not proposed again", document.name());
            self.proposals.document = None;
            return;
        }
        self.proposals.next_proposal_at = now + self.lease_seconds * PROPOSAL_INTERVAL_LEASES;
        // As long as another version is proposed, the leader would refuse this one.
        if config.proposed_number().is_some() && matches!(document, Document::Version(_)) {
            return;
        }
        let to = self.proposals.leader_search.next_voter(&self.lease_client);
        if to == self.name {
            let reply = ProposalReply::of(self.propose_on_behalf_of(&to, document.command()));
            return self.apply_proposal_reply(&to, reply);
        }
        let Ok(body) = postcard::to_stdvec(&document) else { return };
        info!("fleet: {}: proposed to {to}", document.name());
        let timeout_seconds = self.lease_seconds * PROPOSAL_TIMEOUT_LEASES;
        let sent = SentRequest::Proposal { voter: to.clone() };
        self.send_request(&to, RequestKind::Propose, body, timeout_seconds, sent);
    }

    /// Whether the document's number or a higher one is active or proposed. Logs a warning if another version has the
    /// same number.
    fn is_known(&self, document: &Document, config: &ActiveConfig) -> bool {
        let version = match document {
            Document::Version(version) => version,
            Document::Voters(voters) => return voters.number <= self.lease_client.voters_number(),
        };
        let (active, proposed) = config.versions();
        let known = [active, proposed].into_iter().flatten();
        if let Some(same) = known.clone().find(|known| known.number == version.number)
            && same.digest() != version.digest()
        {
            warn!(
                "fleet: version {}: the file is not what was agreed on under this number; give it the next number",
                version.number
            );
        }
        version.number <= known.map(|known| known.number).max().unwrap_or(0)
    }

    /// Handles a document that a peer proposes to this broker's voter.
    pub(super) fn handle_proposal(&mut self, from: &str, body: &[u8], responder: Responder) {
        let document: Document = match decode_message(body) {
            Ok(document) => document,
            Err(reason) => return self.peers.respond(responder, Err(reason)),
        };
        let reply = ProposalReply::of(self.propose_on_behalf_of(from, document.command()));
        info!("fleet: {}, proposed by {from}: {reply:?}", document.name());
        let body = postcard::to_stdvec(&reply).map_err(|_| RefusalReason::Malformed);
        self.peers.respond(responder, body);
    }

    /// Handles the response to a proposal. `body` is `None` if the request failed; then the document is proposed again.
    pub(super) fn on_proposal_reply(&mut self, voter: &str, body: Option<Vec<u8>>) {
        if let Some(reply) = body.and_then(|body| postcard::from_bytes(&body).ok()) {
            self.apply_proposal_reply(voter, reply);
        }
    }

    fn apply_proposal_reply(&mut self, voter: &str, reply: ProposalReply) {
        let now = monotonic_seconds();
        let proposals = &mut self.proposals;
        let name = proposals.document.as_ref().map_or(String::from("the proposed document"), Document::name);
        if !matches!(reply, ProposalReply::NotLeader(_)) {
            // Waits for the next leases, which show whether the log has the document.
            proposals.next_proposal_at = now + self.lease_seconds;
        }
        match reply {
            ProposalReply::Accepted => info!("fleet: {name}: accepted by {voter}"),
            ProposalReply::NotLeader(leader) => proposals.leader_search.on_not_leader(leader),
            ProposalReply::RetryLater(why) => {
                info!("fleet: {name}: {voter} cannot accept it now, retrying later: {why}")
            }
            ProposalReply::NumberUsed { expected } => {
                let since = *proposals.number_used_since.get_or_insert(now);
                if now > since + NUMBER_USED_LEASES * self.lease_seconds {
                    increment(&self.counters.refused);
                    error!("fleet: {name}: this number was used before; set the file's number to {expected}");
                    proposals.document = None;
                }
            }
            ProposalReply::Refused { why, help } => {
                increment(&self.counters.refused);
                error!("fleet: {name}: refused by {voter}: {why} ({help})");
                proposals.document = None;
            }
        }
    }
}

#[cfg(test)]
mod tests;
