//! The version in force and the one that is proposed: judged, opened, ended.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{ReplicatedState, StateChange};
use crate::{ConfigVersion, ConsensusConfig, Rejection, RolloutStep, rules};
use dunepond_shard_map::{self as maps, MapTransition, VerifiedMap};

/// Ends of changes that are remembered.
const PASTS: usize = 64;

/// The version that is proposed, and how far it has come.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenChange {
    pub version: Arc<ConfigVersion>,
    pub digest: String,
    pub step: RolloutStep,
    /// Fills without which it cannot come into force: segment and holder; and those that are done.
    #[serde(rename = "needs")]
    pub required_fills: BTreeSet<(u64, String)>,
    #[serde(rename = "filled")]
    pub completed_fills: BTreeSet<(u64, String)>,
    /// Why it is taken back.
    #[serde(rename = "why")]
    pub withdraw_reason: Option<String>,
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeEnd {
    #[serde(rename = "InForce")]
    Activated,
    Withdrawn(String),
}

/// A change that is over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PastChange {
    pub number: u64,
    #[serde(rename = "who")]
    pub proposed_by: String,
    #[serde(rename = "why")]
    pub reason: String,
    /// Unix seconds, as the proposer said.
    #[serde(rename = "at")]
    pub proposed_at_unix_seconds: f64,
    #[serde(rename = "ended")]
    pub end: ChangeEnd,
}

/// What the maps of a proposed version proved to be.
#[derive(Clone, Debug)]
pub(crate) struct Ahead {
    pub proof: Option<VerifiedMap>,
    pub moving: Option<MapTransition>,
}

/// Judges `version` against what is in force. One way for proposers, voters and adopters.
pub(crate) fn judge(
    in_force: Option<&ConfigVersion>,
    proof: Option<&VerifiedMap>,
    version: &ConfigVersion,
    terms: &ConsensusConfig,
) -> Result<Ahead, Rejection> {
    rules::check(version)?;
    let Some(map) = &version.map else {
        return if proof.is_some() {
            Err(Rejection::MapDropped(version.number))
        } else {
            Ok(Ahead { proof: None, moving: None })
        };
    };
    if !terms.maps_enabled {
        return Err(Rejection::MapsDisabled);
    }
    let leaves = |owner: &String| {
        version.excluded_nodes.draining.contains(owner) || version.excluded_nodes.removed.contains(owner)
    };
    if let Some(segment) = map.segments.iter().find(|segment| leaves(&segment.owner)) {
        return Err(Rejection::OwnerExcluded { segment: segment.id, owner: segment.owner.clone() });
    }
    // The same map goes on: nothing moves, nothing is judged again.
    if in_force.and_then(|version| version.map.as_ref()) == Some(map) {
        return Ok(Ahead { proof: proof.cloned(), moving: None });
    }
    let to = maps::verify(map, &[], &terms.map_requirements).map_err(Rejection::InvalidMap)?;
    let Some(from) = proof else { return Ok(Ahead { proof: Some(to), moving: None }) };
    let moving = maps::verify_transition(from, &to).map_err(Rejection::InvalidMap)?;
    let (changed, of) = (moving.changed_segments(), from.len().max(to.len()));
    if changed as f64 > terms.max_changed_ratio * of as f64 {
        return Err(Rejection::TooManySegments { changed, of, most: terms.max_changed_ratio });
    }
    Ok(Ahead { proof: Some(moving.to().clone()), moving: Some(moving) })
}

/// A fill of the move is done: by the new map's segment and holder.
pub(crate) fn with_done(proof: &VerifiedMap, done: &BTreeSet<(u64, String)>) -> VerifiedMap {
    proof.with_filled(done.iter().map(|(segment, node)| (*segment, node.as_str())))
}

impl ReplicatedState {
    pub fn active_number(&self) -> u64 {
        self.active.as_ref().map_or(0, |(version, _)| version.number)
    }

    /// Of the map in force.
    pub fn map_proof(&self) -> Option<&VerifiedMap> {
        self.proof.as_ref()
    }

    /// From the map in force to the proposed one: what has to be filled, and from where.
    pub fn map_transition(&self) -> Option<&MapTransition> {
        self.ahead.as_ref()?.moving.as_ref()
    }

    /// Fills that the proposed version still waits for.
    pub fn missing_fills(&self) -> usize {
        self.open.as_ref().map_or(0, |open| open.required_fills.difference(&open.completed_fills).count())
    }

    pub(super) fn opened(&self, number: u64) -> Result<&OpenChange, Rejection> {
        self.open.as_ref().filter(|open| open.version.number == number).ok_or(Rejection::NotProposed(number))
    }

    pub(super) fn check_version(&self, version: &ConfigVersion) -> Result<Ahead, Rejection> {
        if let Some(open) = &self.open {
            return Err(Rejection::ChangeOpen { open: open.version.number });
        }
        self.check_beside_moves(version)?;
        if version.number != self.highest_number + 1 {
            return Err(Rejection::WrongNumber { given: version.number, expected: self.highest_number + 1 });
        }
        if let Some(given) = version.based_on
            && given != self.active_number()
        {
            return Err(Rejection::WrongBase { given, in_force: self.active_number() });
        }
        let in_force = self.active.as_ref().map(|(version, _)| &**version);
        judge(in_force, self.proof.as_ref(), version, &self.config)
    }

    /// The proposed version is in force alone.
    pub(super) fn confirm(&mut self, number: u64) -> StateChange {
        let open = self.open.take().expect("checked");
        self.past(&open.version, ChangeEnd::Activated);
        let ahead = self.ahead.take().expect("with what is open");
        self.proof = ahead.proof.map(|proof| with_done(&proof, &open.completed_fills));
        let fills = std::mem::take(&mut self.completed_fills).into_iter().chain(open.completed_fills);
        if let Some(proof) = &self.proof {
            self.completed_fills = fills
                .filter(|(id, node)| proof.segment(*id).is_some_and(|s| proof.is_filled(s, node)))
                .collect();
        }
        self.active = Some((open.version, open.digest));
        self.settlements.in_force(number);
        self.moves.ended(number, None);
        StateChange::Activated(number)
    }

    /// Given up, or, where some act on it alone already, on the way back.
    pub(super) fn take_back(&mut self, number: u64, why: String) -> StateChange {
        let open = self.opening();
        if matches!(open.step, RolloutStep::Staged(_)) {
            (open.step, open.withdraw_reason) = (RolloutStep::RollingBack, Some(why));
            return StateChange::RollingBack(number);
        }
        self.withdraw(number, why)
    }

    pub(super) fn opening(&mut self) -> &mut OpenChange {
        self.open.as_mut().expect("checked")
    }

    pub(super) fn propose(&mut self, version: Arc<ConfigVersion>, ahead: Ahead) -> StateChange {
        let number = version.number;
        self.highest_number = number;
        let needs = ahead
            .moving
            .iter()
            .flat_map(MapTransition::required_fills)
            .map(|need| (need.segment, need.replica.clone()))
            .collect();
        let (digest, filled) = (version.digest(), BTreeSet::new());
        self.open = Some(OpenChange {
            version,
            digest,
            step: RolloutStep::Joint,
            required_fills: needs,
            completed_fills: filled,
            withdraw_reason: None,
        });
        self.ahead = Some(ahead);
        StateChange::Proposed(number)
    }

    pub(super) fn withdraw(&mut self, number: u64, why: String) -> StateChange {
        let open = self.open.take().expect("checked");
        self.ahead = None;
        self.moves.ended(number, Some(&why));
        self.past(&open.version, ChangeEnd::Withdrawn(why));
        StateChange::Withdrawn(number)
    }

    fn past(&mut self, version: &ConfigVersion, ended: ChangeEnd) {
        if self.history.len() == PASTS {
            self.history.pop_front();
        }
        let (who, why) = (version.proposed_by.clone(), version.reason.clone());
        self.history.push_back(PastChange {
            number: version.number,
            proposed_by: who,
            reason: why,
            proposed_at_unix_seconds: version.proposed_at_unix_seconds,
            end: ended,
        });
    }
}
