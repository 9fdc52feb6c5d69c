//! What entries and ends of versions change.

use super::{
    CommittedEntry, EndedPlan, PauseReason, PlanOutcome, PlanProgress, RebalanceContext, RunningPlan,
    StartedStep, VersionEnd, Withdrawal,
};
use crate::{MAX_ENDED_PLANS, MAX_STEP_ATTEMPTS, RebalanceError};

impl PlanProgress {
    /// Applies an entry of the log; the same at each voter.
    ///
    /// # Errors
    /// Why it is ignored, as of [`PlanProgress::check`].
    pub fn apply(
        &mut self,
        entry: CommittedEntry,
        context: &RebalanceContext<'_>,
    ) -> Result<(), RebalanceError> {
        self.check(&entry, context)?;
        self.abandoned.retain(|step| step.number > context.highest_version);
        if let CommittedEntry::Accepted { plan, steps, .. } = entry {
            self.running = Some(RunningPlan::new(*plan, steps));
            return Ok(());
        }
        let running = self.running.as_mut().expect("checked above");
        match entry {
            CommittedEntry::Accepted { .. } => unreachable!("handled above"),
            CommittedEntry::StepStarted { number, digest, .. } => {
                let step = StartedStep { number, digest };
                // The late version of an abandoned step is now this very one.
                self.abandoned.retain(|abandoned| *abandoned != step);
                running.started = Some(step);
            }
            CommittedEntry::Paused { reason, .. } => running.pause = Some(reason),
            CommittedEntry::Resumed { .. } => {
                running.pause = None;
                running.failed_attempts = 0;
            }
            CommittedEntry::Withdrawn { withdrawn_by, reason, .. } => {
                self.withdraw(Withdrawal { withdrawn_by, reason }, context);
            }
        }
        Ok(())
    }

    fn withdraw(&mut self, withdrawal: Withdrawal, context: &RebalanceContext<'_>) {
        let Some(running) = &mut self.running else { return };
        // The operator's order ends any pause but that of an overload, which goes on.
        if !matches!(running.pause, Some(PauseReason::Overload { .. })) {
            running.pause = None;
        }
        running.withdrawal = Some(withdrawal);
        running.failed_attempts = 0;
        // Not proposed: its number is free again, and the version, should it come, is refused.
        let is_unproposed = |step: &mut StartedStep| context.open_version != Some(step.number);
        if let Some(step) = running.started.take_if(is_unproposed) {
            self.abandoned.push(step);
            running.turn += 1;
        }
        if running.started.is_none() {
            running.start_rollback();
        }
        self.end_if_over();
    }

    /// Takes the end of a version. If that was a step's, the same entry of the log ends the step.
    pub fn on_version_ended(&mut self, number: u64, end: VersionEnd<'_>) {
        self.abandoned.retain(|step| step.number > number);
        let Some(running) = &mut self.running else { return };
        if running.started.take_if(|step| step.number == number).is_none() {
            return;
        }
        running.turn += 1;
        match end {
            VersionEnd::Activated => running.on_step_activated(),
            VersionEnd::Withdrawn(reason) => running.on_step_withdrawn(reason),
        }
        if running.withdrawal.is_some() && running.rollback.is_none() {
            running.start_rollback();
        }
        self.end_if_over();
    }

    fn end_if_over(&mut self) {
        let Some(running) = self.running.take_if(|running| running.is_over()) else { return };
        if self.ended.len() == MAX_ENDED_PLANS {
            self.ended.pop_front();
        }
        let outcome = match running.withdrawal {
            Some(Withdrawal { withdrawn_by, reason }) => PlanOutcome::Undone { withdrawn_by, reason },
            None => PlanOutcome::Done,
        };
        let (id, proposed_by) = (running.plan.id, running.plan.proposed_by);
        self.ended.push_back(EndedPlan { id, proposed_by, outcome, turns: running.turn });
    }
}

impl RunningPlan {
    fn on_step_activated(&mut self) {
        self.failed_attempts = 0;
        match &mut self.rollback {
            Some(rollback) => drop(rollback.pop_front()),
            None => self.steps_done += 1,
        }
    }

    fn on_step_withdrawn(&mut self, reason: &str) {
        // Nothing failed where the pause held fills back, or the plan's withdrawal took the step back.
        let by_plan = self.withdrawal.is_some() && self.rollback.is_none();
        if self.pause.is_some() || by_plan {
            return;
        }
        self.failed_attempts += 1;
        if self.failed_attempts >= MAX_STEP_ATTEMPTS {
            self.pause = Some(PauseReason::StepFailed { reason: reason.to_string() });
        }
    }
}
