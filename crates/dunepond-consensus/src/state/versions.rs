//! The version in force and the one that is proposed: judged, opened, ended.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Change, State};
use crate::{Refusal, Step, Terms, Version, rules};
use dunepond_shard_map::{self as maps, Move, Proof};

/// Ends of changes that are remembered.
const PASTS: usize = 64;

/// The version that is proposed, and how far it has come.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Opened {
    pub version: Arc<Version>,
    pub digest: String,
    pub step: Step,
    /// Fills without which it cannot come into force: segment and holder; and those that are done.
    #[serde(rename = "needs")]
    pub needs: BTreeSet<(u64, String)>,
    #[serde(rename = "filled")]
    pub filled: BTreeSet<(u64, String)>,
    /// Why it is taken back.
    #[serde(rename = "why")]
    pub why: Option<String>,
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ended {
    #[serde(rename = "InForce")]
    InForce,
    Withdrawn(String),
}

/// A change that is over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Past {
    pub number: u64,
    #[serde(rename = "who")]
    pub who: String,
    #[serde(rename = "why")]
    pub why: String,
    /// Unix seconds, as the proposer said.
    #[serde(rename = "at")]
    pub at: f64,
    #[serde(rename = "ended")]
    pub ended: Ended,
}

/// What the maps of a proposed version proved to be.
#[derive(Clone, Debug)]
pub(crate) struct Ahead {
    pub proof: Option<Proof>,
    pub moving: Option<Move>,
}

/// Judges `version` against what is in force. One way for proposers, voters and adopters.
pub(crate) fn judge(
    in_force: Option<&Version>,
    proof: Option<&Proof>,
    version: &Version,
    terms: &Terms,
) -> Result<Ahead, Refusal> {
    rules::check(version)?;
    let Some(map) = &version.map else {
        return if proof.is_some() {
            Err(Refusal::MapDropped(version.number))
        } else {
            Ok(Ahead { proof: None, moving: None })
        };
    };
    if !terms.maps {
        return Err(Refusal::MapsOff);
    }
    let leaves =
        |owner: &String| version.standings.draining.contains(owner) || version.standings.gone.contains(owner);
    if let Some(segment) = map.segments.iter().find(|segment| leaves(&segment.owner)) {
        return Err(Refusal::OwnerLeaves { segment: segment.id, owner: segment.owner.clone() });
    }
    // The same map goes on: nothing moves, nothing is judged again.
    if in_force.and_then(|version| version.map.as_ref()) == Some(map) {
        return Ok(Ahead { proof: proof.cloned(), moving: None });
    }
    let to = maps::check(map, &[], &terms.map).map_err(Refusal::Map)?;
    let Some(from) = proof else { return Ok(Ahead { proof: Some(to), moving: None }) };
    let moving = maps::check_move(from, &to).map_err(Refusal::Map)?;
    let (changed, of) = (moving.changed(), from.len().max(to.len()));
    if changed as f64 > terms.most_changed * of as f64 {
        return Err(Refusal::TooMany { changed, of, most: terms.most_changed });
    }
    Ok(Ahead { proof: Some(moving.to().clone()), moving: Some(moving) })
}

/// A fill of the move is done: by the new map's segment and holder.
pub(crate) fn with_done(proof: &Proof, done: &BTreeSet<(u64, String)>) -> Proof {
    proof.with_filled(done.iter().map(|(segment, node)| (*segment, node.as_str())))
}

impl State {
    pub fn number(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |(version, _)| version.number)
    }

    /// Of the map in force.
    pub fn proof(&self) -> Option<&Proof> {
        self.proof.as_ref()
    }

    /// From the map in force to the proposed one: what has to be filled, and from where.
    pub fn moving(&self) -> Option<&Move> {
        self.ahead.as_ref()?.moving.as_ref()
    }

    /// Fills that the proposed version still waits for.
    pub fn left(&self) -> usize {
        self.open.as_ref().map_or(0, |open| open.needs.difference(&open.filled).count())
    }

    pub(super) fn opened(&self, number: u64) -> Result<&Opened, Refusal> {
        self.open.as_ref().filter(|open| open.version.number == number).ok_or(Refusal::NotOpen(number))
    }

    pub(super) fn check_version(&self, version: &Version) -> Result<Ahead, Refusal> {
        if let Some(open) = &self.open {
            return Err(Refusal::Open { open: open.version.number });
        }
        self.check_beside_moves(version)?;
        if version.number != self.highest + 1 {
            return Err(Refusal::Number { given: version.number, expected: self.highest + 1 });
        }
        if let Some(given) = version.follows
            && given != self.number()
        {
            return Err(Refusal::Follows { given, in_force: self.number() });
        }
        let in_force = self.in_force.as_ref().map(|(version, _)| &**version);
        judge(in_force, self.proof.as_ref(), version, &self.terms)
    }

    /// The proposed version is in force alone.
    pub(super) fn confirm(&mut self, number: u64) -> Change {
        let open = self.open.take().expect("checked");
        self.past(&open.version, Ended::InForce);
        let ahead = self.ahead.take().expect("with what is open");
        self.proof = ahead.proof.map(|proof| with_done(&proof, &open.filled));
        let fills = std::mem::take(&mut self.done).into_iter().chain(open.filled);
        if let Some(proof) = &self.proof {
            self.done = fills
                .filter(|(id, node)| proof.segment(*id).is_some_and(|s| proof.filled(s, node)))
                .collect();
        }
        self.in_force = Some((open.version, open.digest));
        self.debts.in_force(number);
        self.moves.ended(number, None);
        Change::InForce(number)
    }

    /// Given up, or, where some act on it alone already, on the way back.
    pub(super) fn take_back(&mut self, number: u64, why: String) -> Change {
        let open = self.opening();
        if matches!(open.step, Step::Staged(_)) {
            (open.step, open.why) = (Step::Returning, Some(why));
            return Change::Returning(number);
        }
        self.withdraw(number, why)
    }

    pub(super) fn opening(&mut self) -> &mut Opened {
        self.open.as_mut().expect("checked")
    }

    pub(super) fn propose(&mut self, version: Arc<Version>, ahead: Ahead) -> Change {
        let number = version.number;
        self.highest = number;
        let needs = ahead
            .moving
            .iter()
            .flat_map(Move::needs)
            .map(|need| (need.segment, need.holder.clone()))
            .collect();
        let (digest, filled) = (version.digest(), BTreeSet::new());
        self.open = Some(Opened { version, digest, step: Step::Joint, needs, filled, why: None });
        self.ahead = Some(ahead);
        Change::Proposed(number)
    }

    pub(super) fn withdraw(&mut self, number: u64, why: String) -> Change {
        let open = self.open.take().expect("checked");
        self.ahead = None;
        self.moves.ended(number, Some(&why));
        self.past(&open.version, Ended::Withdrawn(why));
        Change::Withdrawn(number)
    }

    fn past(&mut self, version: &Version, ended: Ended) {
        if self.history.len() == PASTS {
            self.history.pop_front();
        }
        let (who, why) = (version.who.clone(), version.why.clone());
        self.history.push_back(Past { number: version.number, who, why, at: version.at, ended });
    }
}
