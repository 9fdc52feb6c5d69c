//! The leader's next action for the running plan.

use std::fmt::Display;

use dunepond_shard_map::MapTransition;

use super::{CommittedEntry, PauseReason, PlanProgress, RebalanceContext, RunningPlan, StartedStep};
use crate::RebalanceError;

/// Why the leader has nothing to do for a plan now.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanWait {
    /// No plan is running, the waiting time between two steps has not passed, or the plan has no step left to start.
    NoStepDue,
    /// The plan is paused for this reason, until an operator resumes it or, if the reason is overload, the overload
    /// ends.
    Paused(PauseReason),
    /// The started step's version, with this number, is proposed and neither active nor withdrawn yet.
    StepInProgress(u64),
    /// A version that is not a step of the plan, with this number, is proposed and neither active nor withdrawn yet.
    OtherVersion(u64),
}

/// What the leader has to do next for a plan.
#[derive(Debug)]
pub enum LeaderAction {
    /// Do nothing, for this reason.
    Wait(PlanWait),
    /// Propose this entry for the consensus log.
    Append(CommittedEntry),
    /// Propose the configuration version of the started step.
    Propose {
        /// Number of the started step's configuration version.
        number: u64,
        /// Transition from the active map to the version's map.
        transition: Box<MapTransition>,
    },
    /// Withdraw the configuration version of the started step.
    Withdraw {
        /// Number of the started step's configuration version.
        number: u64,
        /// Why the version is withdrawn, as text.
        reason: String,
    },
}

impl PlanProgress {
    /// The leader's next action. `is_settled`: whether the waiting time between two steps has passed, so that the next
    /// step may start.
    pub fn next_action(&self, context: &RebalanceContext<'_>, is_settled: bool) -> LeaderAction {
        let Some(running) = &self.running else { return LeaderAction::Wait(PlanWait::NoStepDue) };
        match &running.started {
            Some(step) => running.continue_step(step, context),
            None => running.start_step(context, is_settled),
        }
    }

    /// The action that pauses the plan until an operator resumes it, because the plan's current step is not possible on
    /// the active map or the step's version was rejected. [`LeaderAction::Wait`] if the plan is already paused or no
    /// plan is running.
    pub fn pause_after_failure(&self, error: &dyn Display) -> LeaderAction {
        match &self.running {
            Some(running) => running.pause_after_failure(error),
            None => LeaderAction::Wait(PlanWait::NoStepDue),
        }
    }
}

impl RunningPlan {
    /// Next action while a step is started.
    fn continue_step(&self, step: &StartedStep, context: &RebalanceContext<'_>) -> LeaderAction {
        let number = step.number;
        if context.open_version != Some(number) {
            // The step is started, possibly by an earlier leader, but the log has no proposal of its version yet.
            return self.propose_step(number, context);
        }
        match &self.withdrawal {
            Some(withdrawal) if self.rollback.is_none() => {
                let (id, by) = (&self.plan.id, &withdrawal.withdrawn_by);
                let reason = format!("plan {id} is withdrawn by {by}: {}", withdrawal.reason);
                LeaderAction::Withdraw { number, reason }
            }
            _ => LeaderAction::Wait(PlanWait::StepInProgress(number)),
        }
    }

    fn propose_step(&self, number: u64, context: &RebalanceContext<'_>) -> LeaderAction {
        match self.current_transition(context) {
            Ok(transition) => LeaderAction::Propose { number, transition: Box::new(transition) },
            Err(error) => self.pause_after_failure(&error),
        }
    }

    /// Next action while no step is started.
    fn start_step(&self, context: &RebalanceContext<'_>, is_settled: bool) -> LeaderAction {
        if let Some(reason) = &self.pause {
            return LeaderAction::Wait(PlanWait::Paused(reason.clone()));
        }
        if let Some(open) = context.open_version {
            return LeaderAction::Wait(PlanWait::OtherVersion(open));
        }
        if !is_settled || self.current_batch().is_none() {
            return LeaderAction::Wait(PlanWait::NoStepDue);
        }
        match self.current_transition(context) {
            Ok(transition) => LeaderAction::Append(CommittedEntry::StepStarted {
                plan: self.plan.id.clone(),
                turn: self.turn,
                number: context.highest_version + 1,
                digest: transition.to().digest().to_string(),
            }),
            Err(error) => self.pause_after_failure(&error),
        }
    }

    /// Transition from the active map to the map after the current batch.
    fn current_transition(&self, context: &RebalanceContext<'_>) -> Result<MapTransition, RebalanceError> {
        match (self.current_batch(), context.active_map) {
            (Some(batch), Some(map)) => batch.transition(map, self.steps_done),
            _ => Err(RebalanceError::NoMap),
        }
    }

    fn pause_after_failure(&self, error: &dyn Display) -> LeaderAction {
        match &self.pause {
            Some(reason) => LeaderAction::Wait(PlanWait::Paused(reason.clone())),
            None => LeaderAction::Append(CommittedEntry::Paused {
                plan: self.plan.id.clone(),
                reason: PauseReason::StepFailed { reason: error.to_string() },
            }),
        }
    }
}
