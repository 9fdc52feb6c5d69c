//! Plans of moves beside the versions that carry them out: what a plan's entries find, and what they change.

use dunepond_rebalance::{Agreed, Book, Seen};

use super::{Change, State};
use crate::{Refusal, Version};

impl State {
    /// How far the plan has come that is under way, and those that have ended.
    pub fn moves(&self) -> &Book {
        &self.moves
    }

    /// What a plan's entry finds.
    pub fn seen(&self) -> Seen<'_> {
        Seen {
            open: self.open.as_ref().map(|open| open.version.number),
            highest: self.highest,
            proof: self.proof.as_ref(),
            most_changed: self.terms.most_changed,
        }
    }

    /// Draining or gone by the version in force.
    pub fn leaves(&self, node: &str) -> bool {
        let standings = self.in_force.as_ref().map(|(version, _)| &version.standings);
        standings.is_some_and(|s| s.draining.iter().chain(&s.gone).any(|name| name == node))
    }

    pub(super) fn check_move(&self, entry: &Agreed) -> Result<(), Refusal> {
        Ok(self.moves.check(entry, &self.seen())?)
    }

    pub(super) fn apply_move(&mut self, entry: Agreed) -> Result<Change, Refusal> {
        let plan = match &entry {
            Agreed::Taken { plan, .. } => plan.id.clone(),
            Agreed::Begun { plan, .. }
            | Agreed::Paused { plan, .. }
            | Agreed::Resumed { plan, .. }
            | Agreed::Withdrawn { plan, .. } => plan.clone(),
        };
        let mut moves = std::mem::take(&mut self.moves);
        let applied = moves.apply(entry, &self.seen());
        self.moves = moves;
        applied?;
        let told = self.moves.told(&plan).unwrap_or_default();
        Ok(Change::Moves { plan, told })
    }

    /// A version that is no step waits for the plan; only the step itself goes through.
    pub(super) fn check_beside_moves(&self, version: &Version) -> Result<(), Refusal> {
        let digest = version.map.as_ref().map(|map| map.digest.as_str());
        let other = digest.filter(|digest| self.proof.as_ref().is_none_or(|proof| proof.digest() != *digest));
        Ok(self.moves.allows(version.number, other)?)
    }
}
