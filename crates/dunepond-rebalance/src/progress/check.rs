//! Checks log entries about plans against the current progress.

use super::{CommittedEntry, PauseReason, PlanProgress, RebalanceContext, ResumeTrigger};
use crate::{Plan, RebalanceError, Step, StepLimits, verify_steps};

impl PlanProgress {
    /// Checks whether the entry can be applied in the current state. All voters reach the same result.
    ///
    /// # Errors
    /// The reason for which [`PlanProgress::apply`] would ignore the entry.
    pub fn check(
        &self,
        entry: &CommittedEntry,
        context: &RebalanceContext<'_>,
    ) -> Result<(), RebalanceError> {
        match entry {
            CommittedEntry::Accepted { plan, steps, max_actions } => {
                self.check_accepted(plan, steps, *max_actions, context)
            }
            CommittedEntry::StepStarted { plan, turn, number, digest } => {
                self.check_step_started(plan, *turn, *number, digest, context)
            }
            CommittedEntry::Paused { plan, reason } => self.check_paused(plan, reason),
            CommittedEntry::Resumed { plan, trigger } => self.check_resumed(plan, trigger),
            CommittedEntry::Withdrawn { plan, .. } => match &self.running(plan)?.withdrawal {
                Some(_) => Err(RebalanceError::AlreadyWithdrawn { id: plan.clone() }),
                None => Ok(()),
            },
        }
    }

    fn check_accepted(
        &self,
        plan: &Plan,
        steps: &[Step],
        max_actions: usize,
        context: &RebalanceContext<'_>,
    ) -> Result<(), RebalanceError> {
        if let Some(ended) = self.ended.iter().find(|ended| ended.id == plan.id) {
            let outcome = ended.outcome.to_string();
            return Err(RebalanceError::PlanEnded { id: plan.id.clone(), outcome });
        }
        if let Some(running) = &self.running {
            return Err(RebalanceError::OtherPlanRunning { running: running.plan.id.clone() });
        }
        if let Some(open) = context.open_version {
            return Err(RebalanceError::VersionOpen { open });
        }
        let limits = StepLimits { max_actions, max_changed_ratio: context.max_changed_ratio };
        let map = context.active_map.ok_or(RebalanceError::NoMap)?;
        // The proposer has checked that no destination is draining or removed, so this is not checked again. A switch
        // to such a node would not give a valid version.
        verify_steps(plan, steps, map, limits, |_| false)
    }

    fn check_step_started(
        &self,
        plan: &str,
        turn: u64,
        number: u64,
        digest: &str,
        context: &RebalanceContext<'_>,
    ) -> Result<(), RebalanceError> {
        let running = self.running(plan)?;
        let id = plan.to_string();
        if running.turn != turn || running.started.is_some() {
            return Err(RebalanceError::StaleTurn { id, given: turn, current: running.turn });
        }
        if let Some(reason) = &running.pause {
            return Err(RebalanceError::Paused { id, reason: reason.to_string() });
        }
        if let Some(open) = context.open_version {
            return Err(RebalanceError::VersionOpen { open });
        }
        let expected = context.highest_version + 1;
        if number != expected {
            return Err(RebalanceError::WrongNumber { given: number, expected });
        }
        // Each voter computes the step's map itself and compares the digest.
        let batch = running.current_batch().ok_or(RebalanceError::NotRunning { id })?;
        let map = context.active_map.ok_or(RebalanceError::NoMap)?;
        let transition = batch.transition(map, running.steps_done)?;
        let actual = transition.to().digest();
        if actual != digest {
            let reason = format!("its map has digest {actual}, but the entry names {digest}");
            return Err(RebalanceError::InvalidStep { step: running.steps_done, reason });
        }
        Ok(())
    }

    /// A paused plan can be paused again only by an operator, and only if it is paused for overload. The operator's
    /// pause then replaces the pause for overload and lasts beyond the overload.
    fn check_paused(&self, plan: &str, reason: &PauseReason) -> Result<(), RebalanceError> {
        match (&self.running(plan)?.pause, reason) {
            (None, _) | (Some(PauseReason::Overload { .. }), PauseReason::Operator { .. }) => Ok(()),
            (Some(current), _) => {
                Err(RebalanceError::Paused { id: plan.to_string(), reason: current.to_string() })
            }
        }
    }

    /// An operator can end any pause. The end of an overload can end only a pause for overload.
    fn check_resumed(&self, plan: &str, trigger: &ResumeTrigger) -> Result<(), RebalanceError> {
        match (&self.running(plan)?.pause, trigger) {
            (Some(PauseReason::Overload { .. }), _) | (Some(_), ResumeTrigger::Operator(_)) => Ok(()),
            _ => Err(RebalanceError::NotPaused { id: plan.to_string() }),
        }
    }
}
