//! The operator's version file on its way into the log: read, and proposed to the leader until the log has it.

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

/// Timeout of a proposal, in leases.
const PROPOSAL_TIMEOUT_LEASES: f64 = 1.0;
/// Time between two proposals of a document that was not answered, in leases.
const PROPOSAL_INTERVAL_LEASES: f64 = 0.25;
/// Leases after which a version would be known if it were in force or proposed.
const NUMBER_USED_LEASES: f64 = 2.0;

/// The document that is to be proposed, and how far that has come.
pub struct Proposals {
    path: Option<PathBuf>,
    query_class_count: usize,
    /// The nodes as discovery lists them, from the event loop.
    pub(super) listed_nodes: Arc<ArcSwap<Vec<Node>>>,
    constraints: MapConstraints,
    /// The file is to be read.
    must_read: bool,
    document: Option<Document>,
    next_proposal_at: f64,
    leader_search: LeaderSearch,
    /// Since when voters have reported the number as used. It may be this very document, whose reply was lost: the next leases
    /// show that.
    number_used_since: Option<f64>,
}

/// A voter's response to a proposal.
#[derive(Debug, Serialize, Deserialize)]
enum ProposalReply {
    /// It is in the leader's log.
    Accepted,
    /// The leader, if the voter knows it.
    NotLeader(Option<String>),
    RetryLater(String),
    /// The number was proposed before, perhaps by this file: the next leases will tell.
    NumberUsed {
        expected: u64,
    },
    Refused {
        why: String,
        help: String,
    },
}

impl ProposalReply {
    fn of(outcome: Result<(), Rejection>) -> Self {
        match outcome {
            Ok(()) => Self::Accepted,
            Err(Rejection::NotLeader(leader)) => Self::NotLeader(leader),
            Err(why @ (Rejection::ChangeOpen { .. } | Rejection::NoLeader | Rejection::RollingBack(_))) => {
                Self::RetryLater(why.to_string())
            }
            Err(Rejection::Rebalance(why)) if why.is_transient() => Self::RetryLater(why.to_string()),
            Err(
                Rejection::WrongNumber { given, expected } | Rejection::WrongVotersNumber { given, expected },
            ) if given < expected => Self::NumberUsed { expected },
            Err(why) => Self::Refused { why: why.to_string(), help: why.help().to_string() },
        }
    }
}

impl Proposals {
    /// `path`: the operator's document; it is verified against the other arguments when it is read.
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

    /// Has the file read again, from this path.
    pub fn reload(&mut self, path: Option<PathBuf>) {
        self.path = path;
        self.must_read = true;
        self.next_proposal_at = 0.0;
    }

    /// Reads the file if that is due; an invalid document is logged and not proposed.
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
            Err(e @ VersionError::NotFound { .. }) => info!("fleet: version: {e} ({})", e.help()),
            Err(e) => error!("fleet: version: {e} ({})", e.help()),
        }
    }
}

impl ControlLoop {
    /// Proposes the file's document to the leader, again until a lease shows that the log has it. A document whose number is
    /// known already is dropped.
    pub(super) fn propose_document(&mut self) {
        let now = monotonic_seconds();
        let config = self.lease_client.active_config();
        // Without a lease this broker knows too little, and the leader may not be reachable.
        if now < self.proposals.next_proposal_at || now >= config.lease_expires_at() {
            return;
        }
        self.proposals.read();
        let Some(document) = self.proposals.document.clone() else { return };
        if self.is_known(&document, &config) {
            info!("fleet: {} is known", document.name());
            self.proposals.document = None;
            return;
        }
        self.proposals.next_proposal_at = now + self.lease_seconds * PROPOSAL_INTERVAL_LEASES;
        // Another change is open, and this one would be refused.
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

    /// Whether the document's number, or a higher one, is in force or proposed.
    fn is_known(&self, document: &Document, config: &ActiveConfig) -> bool {
        let version = match document {
            Document::Version(version) => version,
            Document::Voters(voters) => return voters.number <= self.lease_client.voters_number(),
        };
        let (in_force, proposed) = config.versions();
        let known = [in_force, proposed].into_iter().flatten();
        if let Some(same) = known.clone().find(|known| known.number == version.number)
            && same.digest() != version.digest()
        {
            warn!(
                "fleet: version {}: the file is not what was agreed on under this number; give it the next",
                version.number
            );
        }
        version.number <= known.map(|known| known.number).max().unwrap_or(0)
    }

    /// A peer's proposal to this voter.
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

    /// `body` is `None` if the request has failed: the document is proposed again.
    pub(super) fn on_proposal_reply(&mut self, voter: &str, body: Option<Vec<u8>>) {
        if let Some(reply) = body.and_then(|body| postcard::from_bytes(&body).ok()) {
            self.apply_proposal_reply(voter, reply);
        }
    }

    fn apply_proposal_reply(&mut self, voter: &str, reply: ProposalReply) {
        let now = monotonic_seconds();
        let proposals = &mut self.proposals;
        let name = proposals.document.as_ref().map_or(String::from("what was proposed"), Document::name);
        if !matches!(reply, ProposalReply::NotLeader(_)) {
            // What has become of it comes with the next leases.
            proposals.next_proposal_at = now + self.lease_seconds;
        }
        match reply {
            ProposalReply::Accepted => info!("fleet: {name}: taken by {voter}"),
            ProposalReply::NotLeader(leader) => proposals.leader_search.on_not_leader(leader),
            ProposalReply::RetryLater(why) => info!("fleet: {name}: {voter}: not now: {why}"),
            ProposalReply::NumberUsed { expected } => {
                let since = *proposals.number_used_since.get_or_insert(now);
                if now > since + NUMBER_USED_LEASES * self.lease_seconds {
                    increment(&self.counters.refused);
                    error!("fleet: {name}: this number was used before; give the file {expected}");
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
