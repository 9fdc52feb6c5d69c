//! The operator's version file on its way into the log.

use std::path::PathBuf;
use std::sync::Arc;

use arc_swap::ArcSwap;
use dunepond_consensus::Rejection;
use dunepond_membership::{RefusalReason, RequestKind, Responder};
use dunepond_shard_map::{MapConstraints, Node};
use serde::{Deserialize, Serialize};
use tracing::{error, info, warn};

use super::{Asked, Host};
use crate::clock::monotonic_seconds;
use crate::error::VersionError;
use crate::hand::add;
use crate::version::{self, LONGEST, Word};

/// The longest that a proposal may take to be answered, in leases.
const WITHIN: f64 = 1.0;

/// A version that is to be proposed, and how far that has come.
pub struct Proposing {
    pub path: Option<PathBuf>,
    pub table_types: usize,
    pub nodes: Arc<ArcSwap<Vec<Node>>>,
    pub terms: MapConstraints,
    /// The file is to be read.
    unread: bool,
    word: Option<Word>,
    /// When it is proposed next, and by whom: as whoever was asked last said.
    next: f64,
    to: Option<String>,
    asked: usize,
    /// Since when its number is known to have been used.
    passed: Option<f64>,
}

/// What a voter says of a proposal.
#[derive(Debug, Serialize, Deserialize)]
enum Answer {
    Taken,
    /// Somebody else leads.
    Leads(Option<String>),
    /// Not now.
    Wait(String),
    /// The number was proposed before, by this file perhaps: what is known next tells.
    Passed {
        expected: u64,
    },
    Refused {
        why: String,
        help: String,
    },
}

impl Answer {
    fn of(outcome: Result<(), Rejection>) -> Self {
        match outcome {
            Ok(()) => Self::Taken,
            Err(Rejection::NotLeader(leader)) => Self::Leads(leader),
            Err(why @ (Rejection::ChangeOpen { .. } | Rejection::NoLeader | Rejection::RollingBack(_))) => {
                Self::Wait(why.to_string())
            }
            Err(Rejection::Rebalance(why)) if why.passes() => Self::Wait(why.to_string()),
            Err(
                Rejection::WrongNumber { given, expected } | Rejection::WrongVotersNumber { given, expected },
            ) if given < expected => Self::Passed { expected },
            Err(why) => Self::Refused { why: why.to_string(), help: why.help().to_string() },
        }
    }
}

impl Proposing {
    pub fn new(
        path: Option<PathBuf>,
        table_types: usize,
        nodes: Arc<ArcSwap<Vec<Node>>>,
        terms: MapConstraints,
    ) -> Self {
        let (unread, word, next, to) = (path.is_some(), None, 0.0, None);
        Self { path, table_types, nodes, terms, unread, word, next, to, asked: 0, passed: None }
    }

    pub fn reread(&mut self, path: Option<PathBuf>) {
        (self.path, self.unread, self.next) = (path, true, 0.0);
    }

    /// Reads the file if that is due; a version that will not do changes nothing.
    fn read(&mut self) {
        if !std::mem::take(&mut self.unread) {
            return;
        }
        (self.word, self.passed) = (None, None);
        let Some(path) = &self.path else { return };
        match version::word(path, self.table_types, &self.nodes.load(), &self.terms) {
            Ok(word) => self.word = Some(word),
            Err(e @ VersionError::NotThere { .. }) => info!("fleet: version: {e} ({})", e.help()),
            Err(e) => error!("fleet: version: {e} ({})", e.help()),
        }
    }
}

impl Host {
    /// Proposes the file's version where it is above what is known, at whoever leads; again until it stands in the log.
    pub(super) fn propose(&mut self) {
        let now = monotonic_seconds();
        let acting = self.member.active_config();
        // Without a lease we know too little, and nobody who could take it may be in reach.
        if now < self.proposing.next || now >= acting.lease_expires_at() {
            return;
        }
        self.proposing.read();
        let Some(word) = &self.proposing.word else { return };
        let (in_force, open) = acting.versions();
        let known = match word {
            Word::Version(version) => {
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
            Word::Voters(voting) => voting.number <= self.member.voters_number(),
        };
        if known {
            info!("fleet: {} is known", word.named());
            self.proposing.word = None;
            return;
        }
        // A change is under way, and this one would be refused.
        self.proposing.next = now + self.lease / 4.0;
        if open.is_some() && matches!(word, Word::Version(_)) {
            return;
        }
        let word = word.clone();
        let to = self.proposing.to.take().or(self.member.leader().map(str::to_string));
        let to = to.unwrap_or_else(|| {
            self.proposing.asked += 1;
            let voters = self.member.voters();
            voters[self.proposing.asked % voters.len()].clone()
        });
        if to == self.name {
            let answer = Answer::of(self.enter_for(&to, word.entry()));
            return self.proposal_said(&to, answer);
        }
        let Ok(body) = postcard::to_stdvec(&word) else { return };
        info!("fleet: {}: proposed to {to}", word.named());
        self.ask(&to.clone(), RequestKind::Propose, body, self.lease * WITHIN, Asked::Propose { voter: to });
    }

    pub(super) fn proposal_asked(&mut self, from: &str, body: &[u8], token: Responder) {
        if body.len() > LONGEST {
            return self.peers.respond(token, Err(RefusalReason::TooLarge { max_bytes: LONGEST as u64 }));
        }
        let Ok(word) = postcard::from_bytes::<Word>(body) else {
            return self.peers.respond(token, Err(RefusalReason::Malformed));
        };
        let answer = Answer::of(self.enter_for(from, word.entry()));
        info!("fleet: {}, proposed by {from}: {answer:?}", word.named());
        let body = postcard::to_stdvec(&answer).map_err(|_| RefusalReason::Malformed);
        self.peers.respond(token, body);
    }

    pub(super) fn proposal_answered(&mut self, voter: &str, body: Option<Vec<u8>>) {
        if let Some(answer) = body.and_then(|body| postcard::from_bytes(&body).ok()) {
            self.proposal_said(voter, answer);
        }
    }

    fn proposal_said(&mut self, voter: &str, answer: Answer) {
        let proposing = &mut self.proposing;
        let named = proposing.word.as_ref().map_or(String::from("what was proposed"), Word::named);
        if !matches!(answer, Answer::Leads(_)) {
            // It stands in a log, or waits for another: we hear of that with the next leases.
            proposing.next = monotonic_seconds() + self.lease;
        }
        match answer {
            Answer::Taken => info!("fleet: {named}: taken by {voter}"),
            Answer::Leads(leader) => proposing.to = leader,
            Answer::Wait(why) => info!("fleet: {named}: {voter}: not now: {why}"),
            Answer::Passed { expected } => {
                // With two leases from now on we would have heard of it, if it were in force or open.
                let since = *proposing.passed.get_or_insert(monotonic_seconds());
                if monotonic_seconds() > since + 2.0 * self.lease {
                    add(&self.tally.refused);
                    error!("fleet: {named}: this number was used before; give the file {expected}");
                    proposing.word = None;
                }
            }
            Answer::Refused { why, help } => {
                add(&self.tally.refused);
                error!("fleet: {named}: refused by {voter}: {why} ({help})");
                proposing.word = None;
            }
        }
    }
}

#[cfg(test)]
mod golden;
