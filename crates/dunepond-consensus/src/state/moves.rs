//! Plans of moves beside the versions that carry them out: what a plan's entries find, and what they change.

use dunepond_rebalance::{Agreed, Book, Seen};

use super::{ReplicatedState, StateChange};
use crate::{ConfigVersion, Rejection};

impl ReplicatedState {
    /// How far the plan has come that is under way, and those that have ended.
    pub fn rebalance(&self) -> &Book {
        &self.moves
    }

    /// What a plan's entry finds.
    pub fn rebalance_context(&self) -> Seen<'_> {
        Seen {
            open: self.open.as_ref().map(|open| open.version.number),
            highest: self.highest_number,
            proof: self.proof.as_ref(),
            most_changed: self.config.max_changed_ratio,
        }
    }

    /// Draining or gone by the version in force.
    pub fn is_excluded(&self, node: &str) -> bool {
        let standings = self.active.as_ref().map(|(version, _)| &version.excluded_nodes);
        standings.is_some_and(|s| s.draining.iter().chain(&s.removed).any(|name| name == node))
    }

    pub(super) fn check_move(&self, entry: &Agreed) -> Result<(), Rejection> {
        Ok(self.moves.check(entry, &self.rebalance_context())?)
    }

    pub(super) fn apply_move(&mut self, entry: Agreed) -> Result<StateChange, Rejection> {
        let plan = match &entry {
            Agreed::Taken { plan, .. } => plan.id.clone(),
            Agreed::Begun { plan, .. }
            | Agreed::Paused { plan, .. }
            | Agreed::Resumed { plan, .. }
            | Agreed::Withdrawn { plan, .. } => plan.clone(),
        };
        let mut moves = std::mem::take(&mut self.moves);
        let applied = moves.apply(entry, &self.rebalance_context());
        self.moves = moves;
        applied?;
        let told = self.moves.told(&plan).unwrap_or_default();
        Ok(StateChange::Rebalance { plan, status: told })
    }

    /// A version that is no step waits for the plan; only the step itself goes through.
    pub(super) fn check_beside_moves(&self, version: &ConfigVersion) -> Result<(), Rejection> {
        let digest = version.map.as_ref().map(|map| map.digest.as_str());
        let other = digest.filter(|digest| self.proof.as_ref().is_none_or(|proof| proof.digest() != *digest));
        Ok(self.moves.allows(version.number, other)?)
    }
}
