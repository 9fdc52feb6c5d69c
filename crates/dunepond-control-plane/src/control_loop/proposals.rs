//! The operator's version file on its way into the log.

use std::path::PathBuf;
use std::sync::Arc;

use arc_swap::ArcSwap;
use dunepond_consensus::Rejection;
use dunepond_membership::{RefusalReason, RequestKind, Responder};
use dunepond_shard_map::{MapConstraints, Node};
use serde::{Deserialize, Serialize};
use tracing::{error, info, warn};

use super::{ControlLoop, SentRequest};
use crate::clock::monotonic_seconds;
use crate::documents::{self, Document, MAX_DOCUMENT_BYTES};
use crate::error::VersionError;
use crate::handle::increment;

/// The longest that a proposal may take to be answered, in leases.
const PROPOSAL_TIMEOUT_LEASES: f64 = 1.0;

/// A version that is to be proposed, and how far that has come.
pub struct Proposals {
    pub path: Option<PathBuf>,
    pub query_class_count: usize,
    pub listed_nodes: Arc<ArcSwap<Vec<Node>>>,
    pub map_terms: MapConstraints,
    /// The file is to be read.
    must_read: bool,
    document: Option<Document>,
    /// When it is proposed next, and by whom: as whoever was asked last said.
    next_proposal_at: f64,
    next_voter: Option<String>,
    voters_tried: usize,
    /// Since when its number is known to have been used.
    number_used_since: Option<f64>,
}

/// What a voter says of a proposal.
#[derive(Debug, Serialize, Deserialize)]
enum ProposalReply {
    Accepted,
    /// Somebody else leads.
    NotLeader(Option<String>),
    /// Not now.
    RetryLater(String),
    /// The number was proposed before, by this file perhaps: what is known next tells.
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
            Err(Rejection::Rebalance(why)) if why.passes() => Self::RetryLater(why.to_string()),
            Err(
                Rejection::WrongNumber { given, expected } | Rejection::WrongVotersNumber { given, expected },
            ) if given < expected => Self::NumberUsed { expected },
            Err(why) => Self::Refused { why: why.to_string(), help: why.help().to_string() },
        }
    }
}

impl Proposals {
    pub fn new(
        path: Option<PathBuf>,
        query_class_count: usize,
        listed_nodes: Arc<ArcSwap<Vec<Node>>>,
        map_terms: MapConstraints,
    ) -> Self {
        let (must_read, document, next_proposal_at, next_voter) = (path.is_some(), None, 0.0, None);
        Self {
            path,
            query_class_count,
            listed_nodes,
            map_terms,
            must_read,
            document,
            next_proposal_at,
            next_voter,
            voters_tried: 0,
            number_used_since: None,
        }
    }

    pub fn reload(&mut self, path: Option<PathBuf>) {
        (self.path, self.must_read, self.next_proposal_at) = (path, true, 0.0);
    }

    /// Reads the file if that is due; a version that will not do changes nothing.
    fn read(&mut self) {
        if !std::mem::take(&mut self.must_read) {
            return;
        }
        (self.document, self.number_used_since) = (None, None);
        let Some(path) = &self.path else { return };
        match documents::read_document(
            path,
            self.query_class_count,
            &self.listed_nodes.load(),
            &self.map_terms,
        ) {
            Ok(word) => self.document = Some(word),
            Err(e @ VersionError::NotFound { .. }) => info!("fleet: version: {e} ({})", e.help()),
            Err(e) => error!("fleet: version: {e} ({})", e.help()),
        }
    }
}

impl ControlLoop {
    /// Proposes the file's version where it is above what is known, at whoever leads; again until it stands in the log.
    pub(super) fn propose_document(&mut self) {
        let now = monotonic_seconds();
        let acting = self.member.active_config();
        // Without a lease we know too little, and nobody who could take it may be in reach.
        if now < self.proposals.next_proposal_at || now >= acting.lease_expires_at() {
            return;
        }
        self.proposals.read();
        let Some(word) = &self.proposals.document else { return };
        let (in_force, open) = acting.versions();
        let known = match word {
            Document::Version(version) => {
                let highest = in_force.map_or(0, |v| v.number).max(open.map_or(0, |v| v.number));
                let same =
                    [in_force, open].into_iter().flatten().find(|known| known.number == version.number);
                if same.is_some_and(|known| known.digest() != version.digest()) {
                    warn!(
                        "fleet: version {}: the file is not what was agreed on under this number; give it the next",
                        version.number
                    );
                }
                version.number <= highest
            }
            Document::Voters(voting) => voting.number <= self.member.voters_number(),
        };
        if known {
            info!("fleet: {} is known", word.name());
            self.proposals.document = None;
            return;
        }
        // A change is under way, and this one would be refused.
        self.proposals.next_proposal_at = now + self.lease_seconds / 4.0;
        if open.is_some() && matches!(word, Document::Version(_)) {
            return;
        }
        let word = word.clone();
        let to = self.proposals.next_voter.take().or(self.member.leader().map(str::to_string));
        let to = to.unwrap_or_else(|| {
            self.proposals.voters_tried += 1;
            let voters = self.member.voters();
            voters[self.proposals.voters_tried % voters.len()].clone()
        });
        if to == self.name {
            let answer = ProposalReply::of(self.enter_on_behalf_of(&to, word.entry()));
            return self.apply_proposal_reply(&to, answer);
        }
        let Ok(body) = postcard::to_stdvec(&word) else { return };
        info!("fleet: {}: proposed to {to}", word.name());
        self.send_request(
            &to.clone(),
            RequestKind::Propose,
            body,
            self.lease_seconds * PROPOSAL_TIMEOUT_LEASES,
            SentRequest::Proposal { voter: to },
        );
    }

    pub(super) fn handle_proposal(&mut self, from: &str, body: &[u8], token: Responder) {
        if body.len() > MAX_DOCUMENT_BYTES {
            return self
                .peers
                .respond(token, Err(RefusalReason::TooLarge { max_bytes: MAX_DOCUMENT_BYTES as u64 }));
        }
        let Ok(word) = postcard::from_bytes::<Document>(body) else {
            return self.peers.respond(token, Err(RefusalReason::Malformed));
        };
        let answer = ProposalReply::of(self.enter_on_behalf_of(from, word.entry()));
        info!("fleet: {}, proposed by {from}: {answer:?}", word.name());
        let body = postcard::to_stdvec(&answer).map_err(|_| RefusalReason::Malformed);
        self.peers.respond(token, body);
    }

    pub(super) fn on_proposal_reply(&mut self, voter: &str, body: Option<Vec<u8>>) {
        if let Some(answer) = body.and_then(|body| postcard::from_bytes(&body).ok()) {
            self.apply_proposal_reply(voter, answer);
        }
    }

    fn apply_proposal_reply(&mut self, voter: &str, answer: ProposalReply) {
        let proposing = &mut self.proposals;
        let named = proposing.document.as_ref().map_or(String::from("what was proposed"), Document::name);
        if !matches!(answer, ProposalReply::NotLeader(_)) {
            // It stands in a log, or waits for another: we hear of that with the next leases.
            proposing.next_proposal_at = monotonic_seconds() + self.lease_seconds;
        }
        match answer {
            ProposalReply::Accepted => info!("fleet: {named}: taken by {voter}"),
            ProposalReply::NotLeader(leader) => proposing.next_voter = leader,
            ProposalReply::RetryLater(why) => info!("fleet: {named}: {voter}: not now: {why}"),
            ProposalReply::NumberUsed { expected } => {
                // With two leases from now on we would have heard of it, if it were in force or open.
                let since = *proposing.number_used_since.get_or_insert(monotonic_seconds());
                if monotonic_seconds() > since + 2.0 * self.lease_seconds {
                    increment(&self.counters.refused);
                    error!("fleet: {named}: this number was used before; give the file {expected}");
                    proposing.document = None;
                }
            }
            ProposalReply::Refused { why, help } => {
                increment(&self.counters.refused);
                error!("fleet: {named}: refused by {voter}: {why} ({help})");
                proposing.document = None;
            }
        }
    }
}

#[cfg(test)]
mod golden;
