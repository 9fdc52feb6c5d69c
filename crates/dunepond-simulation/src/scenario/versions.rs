//! Proposes configuration versions during a run, and measures how long it takes until all brokers act on each of them.

use dunepond_consensus::{Command, ConfigVersion, Rejection};
use rand::RngExt;

use super::{Scenario, config_version};

/// Maximum number of fills of one version.
const MAX_FILL_COUNT: usize = 3;
/// Ratio of the brokers that act only on the proposed version in its first stage, if it has one.
const FIRST_STAGE_RATIO: f64 = 0.3;

/// A version that was proposed and that not all brokers act on yet.
pub(super) struct PendingVersion {
    number: u64,
    /// Whether the version requires fills or has a first stage.
    is_slow: bool,
}

impl Scenario {
    /// Proposes a version at the leader. If the proposal is accepted, the version's rollout is tracked; otherwise the
    /// rejection is counted.
    pub(super) fn propose(&mut self, version: ConfigVersion) -> Result<(), Rejection> {
        let is_slow = version.first_stage_ratio.is_some() || self.topology.requires_fills(&version);
        let number = version.number;
        let result = self.fleet.propose(Command::Propose(Box::new(version)));
        match &result {
            Ok(()) => self.pending.push(PendingVersion { number, is_slow }),
            Err(_) => self.report.rejected += 1,
        }
        result
    }

    /// Proposes a version with random changes to the active shard map. `fill_ratio` is the probability that the version
    /// requires fills, `stage_ratio` the probability that it has a first stage.
    pub(super) fn propose_next_version(&mut self, fill_ratio: f64, stage_ratio: f64) {
        let Some(leader) = self.fleet.leader() else { return };
        let state = self.fleet.state(leader);
        let next = state.highest_number + 1;
        let has_fills = self.rng.random::<f64>() < fill_ratio;
        let fill_count = if has_fills { self.rng.random_range(1..MAX_FILL_COUNT + 1) } else { 0 };
        let map = self.topology.changed_map(state, next, fill_count, &mut self.rng);
        let mut version = config_version(next, map);
        let has_stage = self.rng.random::<f64>() < stage_ratio;
        version.first_stage_ratio = has_stage.then_some(FIRST_STAGE_RATIO);
        let _ = self.propose(version);
    }

    /// Adds the rollout times of pending versions that all brokers now act on to the report. Removes these versions and
    /// withdrawn ones from the pending versions.
    pub(super) fn track_rollouts(&mut self) {
        let (now, invariants) = (self.fleet.now, &self.fleet.invariants);
        let report = &mut self.report;
        self.pending.retain(|version| {
            let number = version.number;
            let is_withdrawn = invariants.withdrawn.contains(&number);
            let Some(proposed_at) = invariants.proposed_at.get(&number) else { return !is_withdrawn };
            let is_active =
                invariants.activated_at.contains_key(&number) && invariants.all_act_on_at_least(number);
            if is_active {
                let rollouts = if version.is_slow {
                    &mut report.slow_rollout_seconds
                } else {
                    &mut report.rollout_seconds
                };
                rollouts.push(now - proposed_at);
            }
            !is_active && !is_withdrawn
        });
    }
}
