//! Entries of rebalancing plans, and the check that configuration versions do not interfere with a running plan.

use dunepond_rebalance::{CommittedEntry, PlanProgress, RebalanceContext};

use super::{ReplicatedState, StateChange};
use crate::{ConfigVersion, Rejection};

impl ReplicatedState {
    /// Progress of the running rebalancing plan, and the plans that have ended.
    pub fn rebalance(&self) -> &PlanProgress {
        &self.rebalance
    }

    /// The part of the state against which entries of rebalancing plans are checked.
    pub fn rebalance_context(&self) -> RebalanceContext<'_> {
        RebalanceContext {
            open_version: self.proposed.as_ref().map(|proposed| proposed.version.number),
            highest_version: self.highest_number,
            active_map: self.verified_map.as_ref(),
            max_changed_ratio: self.config.max_changed_ratio,
        }
    }

    /// Whether the node is draining or removed in the active version.
    pub fn is_excluded(&self, node: &str) -> bool {
        self.active.as_ref().is_some_and(|(version, _)| version.excluded_nodes.contains(node))
    }

    pub(super) fn check_rebalance(&self, entry: &CommittedEntry) -> Result<(), Rejection> {
        Ok(self.rebalance.check(entry, &self.rebalance_context())?)
    }

    pub(super) fn apply_rebalance(&mut self, entry: CommittedEntry) -> Result<StateChange, Rejection> {
        let plan = entry.plan_id().to_string();
        let mut progress = std::mem::take(&mut self.rebalance);
        let applied = progress.apply(entry, &self.rebalance_context());
        self.rebalance = progress;
        applied?;
        let status = self.rebalance.status(&plan).unwrap_or_default();
        Ok(StateChange::Rebalance { plan, status })
    }

    /// Checks that a configuration version does not change the shard map while a rebalancing plan runs, unless it is a
    /// step of that plan.
    pub(super) fn check_against_running_plan(&self, version: &ConfigVersion) -> Result<(), Rejection> {
        let digest = version.map.as_ref().map(|map| map.digest.as_str());
        let active = self.verified_map.as_ref().map(|verified_map| verified_map.digest());
        let changed_map = digest.filter(|digest| active != Some(*digest));
        Ok(self.rebalance.check_version(version.number, changed_map)?)
    }
}
