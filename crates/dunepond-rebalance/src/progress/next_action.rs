//! What the leader does next for the running plan.

use std::fmt::Display;

use dunepond_shard_map::MapTransition;

use super::{CommittedEntry, PauseReason, PlanProgress, RebalanceContext, RunningPlan, StartedStep};
use crate::RebalanceError;

/// Why nothing is to be done now.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanWait {
    /// No plan runs, or the time between two steps has not passed.
    NoPlan,
    /// Until an operator resumes it, or the overload ends.
    Paused(PauseReason),
    /// The step's version of this number is proposed.
    StepInProgress(u64),
    /// Another version of this number is proposed.
    OtherVersion(u64),
}

/// What the leader does next.
#[derive(Debug)]
pub enum LeaderAction {
    /// Nothing.
    Wait(PlanWait),
    /// Enters this into the log.
    Enter(CommittedEntry),
    /// Proposes the version of a step.
    Propose {
        /// Number of the version.
        number: u64,
        /// Transition from the active map to the version's.
        transition: Box<MapTransition>,
    },
    /// Withdraws the version of a step.
    Withdraw {
        /// Number of the version.
        number: u64,
        /// Reason, for people.
        reason: String,
    },
}

impl PlanProgress {
    /// What the leader does next. `is_settled`: the time between two steps has passed.
    pub fn next_action(&self, context: &RebalanceContext<'_>, is_settled: bool) -> LeaderAction {
        let Some(running) = &self.running else { return LeaderAction::Wait(PlanWait::NoPlan) };
        match &running.started {
            Some(step) => running.continue_step(step, context),
            None => running.start_step(context, is_settled),
        }
    }

    /// Pauses the plan until an operator has looked: its step cannot be made of the active map, or is rejected.
    pub fn pause_after_failure(&self, error: &dyn Display) -> LeaderAction {
        match &self.running {
            Some(running) => running.pause_after_failure(error),
            None => LeaderAction::Wait(PlanWait::NoPlan),
        }
    }
}

impl RunningPlan {
    fn continue_step(&self, step: &StartedStep, context: &RebalanceContext<'_>) -> LeaderAction {
        let number = step.number;
        if context.open_version != Some(number) {
            // Started by an earlier leader, and not proposed as far as the log says.
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

    fn start_step(&self, context: &RebalanceContext<'_>, is_settled: bool) -> LeaderAction {
        if let Some(reason) = &self.pause {
            return LeaderAction::Wait(PlanWait::Paused(reason.clone()));
        }
        if let Some(open) = context.open_version {
            return LeaderAction::Wait(PlanWait::OtherVersion(open));
        }
        if !is_settled || self.current_batch().is_none() {
            return LeaderAction::Wait(PlanWait::NoPlan);
        }
        match self.current_transition(context) {
            Ok(transition) => LeaderAction::Enter(CommittedEntry::StepStarted {
                plan: self.plan.id.clone(),
                turn: self.turn,
                number: context.highest_version + 1,
                digest: transition.to().digest().to_string(),
            }),
            Err(error) => self.pause_after_failure(&error),
        }
    }

    fn current_transition(&self, context: &RebalanceContext<'_>) -> Result<MapTransition, RebalanceError> {
        match (self.current_batch(), context.active_map) {
            (Some(batch), Some(map)) => batch.transition(map, self.steps_done),
            _ => Err(RebalanceError::NoMap),
        }
    }

    fn pause_after_failure(&self, error: &dyn Display) -> LeaderAction {
        match &self.pause {
            Some(reason) => LeaderAction::Wait(PlanWait::Paused(reason.clone())),
            None => LeaderAction::Enter(CommittedEntry::Paused {
                plan: self.plan.id.clone(),
                reason: PauseReason::StepFailed { reason: error.to_string() },
            }),
        }
    }
}
