//! Lifecycle of a configuration version: it is validated, proposed, rolled out, and activated or withdrawn.

use std::collections::BTreeSet;
use std::sync::Arc;

use dunepond_rebalance::VersionEnd;
use dunepond_shard_map::{self as maps, MapTransition, VerifiedMap};
use serde::{Deserialize, Serialize};

use super::{ReplicatedState, StateChange};
use crate::{ConfigVersion, ConsensusConfig, Rejection};

/// Largest number of activated or withdrawn versions in [`ReplicatedState::history`].
const HISTORY_COUNT: usize = 64;

/// Progress of the rollout of a proposed configuration version.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum RolloutStep {
    /// Brokers act on the joint configuration: the stricter values of the active and the proposed version.
    Joint,
    /// This ratio of the brokers acts only on the proposed version; the others act on the joint configuration.
    Staged(f64),
    /// The version is being withdrawn from its first stage: brokers that act only on it return to the joint
    /// configuration. Once no broker acts only on the proposed version any more, the version is withdrawn.
    #[serde(rename = "Returning")]
    RollingBack,
}

/// A version that is proposed, and neither active nor withdrawn yet, and the progress of its rollout.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProposedChange {
    /// The proposed version.
    pub version: Arc<ConfigVersion>,
    /// Digest of the proposed version.
    pub digest: String,
    /// Progress of the version's rollout.
    pub step: RolloutStep,
    /// Fills that have to be complete before the version can be activated, as segment id and node name.
    #[serde(rename = "needs")]
    pub required_fills: BTreeSet<(u64, String)>,
    /// Required fills that are complete, as segment id and node name.
    #[serde(rename = "filled")]
    pub completed_fills: BTreeSet<(u64, String)>,
    /// Why the version is being rolled back; `None` if it is not.
    #[serde(rename = "why")]
    pub withdraw_reason: Option<String>,
}

/// Whether a proposed version was activated or withdrawn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeEnd {
    /// The version became the only active one.
    #[serde(rename = "InForce")]
    Activated,
    /// The version was withdrawn; the value is the reason.
    Withdrawn(String),
}

/// A proposed version that was activated or withdrawn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PastChange {
    /// Number of the version.
    pub number: u64,
    /// Who proposed the version.
    #[serde(rename = "who")]
    pub proposed_by: String,
    /// The reason, in the proposer's words.
    #[serde(rename = "why")]
    pub reason: String,
    /// When the version was proposed, in Unix seconds, as the proposer stated.
    #[serde(rename = "at")]
    pub proposed_at_unix_seconds: f64,
    /// Whether the version was activated or withdrawn.
    #[serde(rename = "ended")]
    pub end: ChangeEnd,
}

/// The verified shard map of a valid proposed version, and the transition to it from the active map.
#[derive(Clone, Debug)]
pub(crate) struct ValidatedProposal {
    /// The verified shard map of the proposed version, if it has one.
    pub verified_map: Option<VerifiedMap>,
    /// Transition from the active shard map to the proposed one, if both exist and they differ.
    pub transition: Option<MapTransition>,
}

/// Validates a proposed version against the active one. Voters and lease clients both use this function.
pub(crate) fn validate_proposal(
    active: Option<&ConfigVersion>,
    active_map: Option<&VerifiedMap>,
    version: &ConfigVersion,
    config: &ConsensusConfig,
) -> Result<ValidatedProposal, Rejection> {
    version.check_rules()?;
    let Some(map) = &version.map else {
        return match active_map {
            Some(_) => Err(Rejection::MapDropped(version.number)),
            None => Ok(ValidatedProposal { verified_map: None, transition: None }),
        };
    };
    if !config.maps_enabled {
        return Err(Rejection::MapsDisabled);
    }
    let excluded = map.segments.iter().find(|segment| version.excluded_nodes.contains(&segment.owner));
    if let Some(segment) = excluded {
        return Err(Rejection::OwnerExcluded { segment: segment.id, owner: segment.owner.clone() });
    }
    let unchanged = active.and_then(|version| version.map.as_ref()) == Some(map);
    if unchanged {
        return Ok(ValidatedProposal { verified_map: active_map.cloned(), transition: None });
    }
    let to = maps::verify(map, &[], &config.map_requirements).map_err(Rejection::InvalidMap)?;
    let Some(from) = active_map else {
        return Ok(ValidatedProposal { verified_map: Some(to), transition: None });
    };
    let transition = maps::verify_transition(from, &to).map_err(Rejection::InvalidMap)?;
    let (changed, total) = (transition.changed_segments(), from.len().max(to.len()));
    if changed as f64 > config.max_changed_ratio * total as f64 {
        return Err(Rejection::TooManySegments { changed, total, max_ratio: config.max_changed_ratio });
    }
    Ok(ValidatedProposal { verified_map: Some(transition.to().clone()), transition: Some(transition) })
}

/// Returns the verified shard map with the replicas whose fills are complete marked as filled.
pub(crate) fn with_completed_fills(
    verified_map: &VerifiedMap,
    fills: &BTreeSet<(u64, String)>,
) -> VerifiedMap {
    verified_map.with_filled(fills.iter().map(|(segment, node)| (*segment, node.as_str())))
}

impl ReplicatedState {
    /// Number of the active version; 0 if there is none.
    pub fn active_number(&self) -> u64 {
        self.active.as_ref().map_or(0, |(version, _)| version.number)
    }

    /// The verified shard map of the active version, if it has one.
    pub fn verified_map(&self) -> Option<&VerifiedMap> {
        self.verified_map.as_ref()
    }

    /// The transition from the active shard map to the proposed one, with the fills that it requires and their source
    /// nodes; `None` if no version with another map is proposed.
    pub fn map_transition(&self) -> Option<&MapTransition> {
        self.proposal.as_ref()?.transition.as_ref()
    }

    /// Number of fills that the proposed version requires and that are not complete; 0 if no version is proposed.
    pub fn missing_fills(&self) -> usize {
        self.proposed
            .as_ref()
            .map_or(0, |proposed| proposed.required_fills.difference(&proposed.completed_fills).count())
    }

    /// The change to the proposed version, if that version has the given number; otherwise an error.
    fn proposed_with_number(&self, number: u64) -> Result<&ProposedChange, Rejection> {
        self.proposed
            .as_ref()
            .filter(|proposed| proposed.version.number == number)
            .ok_or(Rejection::NotProposed(number))
    }

    /// The change to the proposed version. The caller has checked that a version is proposed.
    fn proposed_mut(&mut self) -> &mut ProposedChange {
        self.proposed.as_mut().expect("the caller has checked that a change is open")
    }

    pub(super) fn check_proposal(&self, version: &ConfigVersion) -> Result<ValidatedProposal, Rejection> {
        if let Some(proposed) = &self.proposed {
            return Err(Rejection::AlreadyProposed { number: proposed.version.number });
        }
        self.check_against_running_plan(version)?;
        let expected = self.highest_number + 1;
        if version.number != expected {
            return Err(Rejection::WrongNumber { given: version.number, expected });
        }
        if let Some(given) = version.based_on
            && given != self.active_number()
        {
            return Err(Rejection::WrongBase { given, in_force: self.active_number() });
        }
        self.validate(version)
    }

    pub(super) fn validate(&self, version: &ConfigVersion) -> Result<ValidatedProposal, Rejection> {
        let active = self.active.as_ref().map(|(version, _)| &**version);
        validate_proposal(active, self.verified_map.as_ref(), version, &self.config)
    }

    pub(super) fn check_fill(&self, number: u64, segment: u64, holder: &str) -> Result<(), Rejection> {
        let proposed = self.proposed_with_number(number)?;
        let fill = (segment, holder.to_string());
        if proposed.required_fills.contains(&fill) && !proposed.completed_fills.contains(&fill) {
            return Ok(());
        }
        Err(Rejection::FillNotNeeded { number, segment, holder: fill.1 })
    }

    /// Checks whether the version may enter its first stage or be activated.
    pub(super) fn check_rollout(&self, number: u64) -> Result<(), Rejection> {
        if self.proposed_with_number(number)?.step == RolloutStep::RollingBack {
            return Err(Rejection::RollingBack(number));
        }
        match self.missing_fills() {
            0 => Ok(()),
            missing => Err(Rejection::FillsMissing { number, missing }),
        }
    }

    pub(super) fn check_withdraw(&self, number: u64) -> Result<(), Rejection> {
        match self.proposed_with_number(number)?.step {
            RolloutStep::RollingBack => Err(Rejection::RollingBack(number)),
            RolloutStep::Joint | RolloutStep::Staged(_) => Ok(()),
        }
    }

    pub(super) fn check_rollback_completed(&self, number: u64) -> Result<(), Rejection> {
        match self.proposed_with_number(number)?.step {
            RolloutStep::RollingBack => Ok(()),
            RolloutStep::Joint | RolloutStep::Staged(_) => Err(Rejection::NotProposed(number)),
        }
    }

    pub(super) fn propose(
        &mut self,
        version: Arc<ConfigVersion>,
        proposal: ValidatedProposal,
    ) -> StateChange {
        let number = version.number;
        self.highest_number = number;
        let required_fills = proposal.transition.iter().flat_map(MapTransition::required_fills);
        self.proposed = Some(ProposedChange {
            digest: version.digest(),
            version,
            step: RolloutStep::Joint,
            required_fills: required_fills.map(|fill| (fill.segment, fill.replica.clone())).collect(),
            completed_fills: BTreeSet::new(),
            withdraw_reason: None,
        });
        self.proposal = Some(proposal);
        StateChange::Proposed(number)
    }

    pub(super) fn complete_fill(&mut self, number: u64, segment: u64, holder: String) -> StateChange {
        self.proposed_mut().completed_fills.insert((segment, holder.clone()));
        StateChange::FillCompleted { number, segment, holder }
    }

    pub(super) fn start_stage(&mut self, number: u64) -> StateChange {
        let proposed = self.proposed_mut();
        proposed.step = RolloutStep::Staged(proposed.version.first_stage_ratio.unwrap_or(1.0));
        StateChange::Staged(number)
    }

    pub(super) fn activate(&mut self, number: u64) -> StateChange {
        let proposed = self.proposed.take().expect("the caller has checked that a change is open");
        self.record_end(&proposed.version, ChangeEnd::Activated);
        let proposal = self.proposal.take().expect("an open change has a validated proposal");
        self.verified_map = proposal
            .verified_map
            .map(|verified_map| with_completed_fills(&verified_map, &proposed.completed_fills));
        let fills = std::mem::take(&mut self.completed_fills).into_iter().chain(proposed.completed_fills);
        if let Some(verified_map) = &self.verified_map {
            let is_in_map = |id: u64, node: &str| {
                verified_map.segment(id).is_some_and(|segment| verified_map.is_filled(segment, node))
            };
            self.completed_fills = fills.filter(|(id, node)| is_in_map(*id, node)).collect();
        }
        self.active = Some((proposed.version, proposed.digest));
        self.settlements.close_old_versions(number);
        self.rebalance.on_version_ended(number, VersionEnd::Activated);
        StateChange::Activated(number)
    }

    /// Withdraws the version, or begins its rollback if some brokers may already act only on it.
    pub(super) fn withdraw_or_roll_back(&mut self, number: u64, reason: String) -> StateChange {
        let proposed = self.proposed_mut();
        if matches!(proposed.step, RolloutStep::Staged(_)) {
            proposed.step = RolloutStep::RollingBack;
            proposed.withdraw_reason = Some(reason);
            return StateChange::RollingBack(number);
        }
        self.withdraw(number, reason)
    }

    pub(super) fn complete_rollback(&mut self, number: u64) -> StateChange {
        let reason = self.proposed_mut().withdraw_reason.take().unwrap_or_default();
        self.withdraw(number, reason)
    }

    fn withdraw(&mut self, number: u64, reason: String) -> StateChange {
        let proposed = self.proposed.take().expect("the caller has checked that a change is open");
        self.proposal = None;
        self.rebalance.on_version_ended(number, VersionEnd::Withdrawn(&reason));
        self.record_end(&proposed.version, ChangeEnd::Withdrawn(reason));
        StateChange::Withdrawn(number)
    }

    fn record_end(&mut self, version: &ConfigVersion, end: ChangeEnd) {
        if self.history.len() == HISTORY_COUNT {
            self.history.pop_front();
        }
        self.history.push_back(PastChange {
            number: version.number,
            proposed_by: version.proposed_by.clone(),
            reason: version.reason.clone(),
            proposed_at_unix_seconds: version.proposed_at_unix_seconds,
            end,
        });
    }
}
