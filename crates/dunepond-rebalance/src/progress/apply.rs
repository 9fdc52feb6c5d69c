//! Applies committed log entries and the outcomes of configuration versions to [`PlanProgress`].

use super::{
    CommittedEntry, EndedPlan, PauseReason, PlanOutcome, PlanProgress, RebalanceContext, RunningPlan,
    StartedStep, VersionEnd, Withdrawal,
};
use crate::{MAX_ENDED_PLANS, MAX_STEP_ATTEMPTS, RebalanceError};

impl PlanProgress {
    /// Applies a committed entry. All voters reach the same result.
    ///
    /// # Errors
    /// The entry is ignored, for the reason that [`PlanProgress::check`] returns.
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
        let running = self.running.as_mut().expect("`check` accepts other entries only for a running plan");
        match entry {
            CommittedEntry::Accepted { .. } => unreachable!("handled above"),
            CommittedEntry::StepStarted { number, digest, .. } => {
                let step = StartedStep { number, digest };
                // The same step may have been abandoned before; its version is valid again.
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

    /// Starts to undo the running plan.
    fn withdraw(&mut self, withdrawal: Withdrawal, context: &RebalanceContext<'_>) {
        let Some(running) = &mut self.running else { return };
        // A withdrawal ends every pause except one for overload, which lasts as long as the overload.
        if !matches!(running.pause, Some(PauseReason::Overload { .. })) {
            running.pause = None;
        }
        running.withdrawal = Some(withdrawal);
        running.failed_attempts = 0;
        // A step whose version is not proposed yet releases the version number. If the version is proposed later, it is
        // rejected.
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

    /// Records that a version was activated or withdrawn. If the version belongs to the started step, this ends the
    /// plan's current turn, which is one started attempt at a step.
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

    /// Moves the running plan to the ended plans if nothing is left to do.
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
    /// Counts the current step or rollback batch as done.
    fn on_step_activated(&mut self) {
        self.failed_attempts = 0;
        match &mut self.rollback {
            Some(rollback) => drop(rollback.pop_front()),
            None => self.steps_done += 1,
        }
    }

    /// Counts a failed attempt at the step whose version was withdrawn, and pauses the plan after [`MAX_STEP_ATTEMPTS`]
    /// of them.
    fn on_step_withdrawn(&mut self, reason: &str) {
        // The step has not failed if a pause delayed its fills, or if the version was withdrawn because the plan was.
        let is_withdrawn_with_plan = self.withdrawal.is_some() && self.rollback.is_none();
        if self.pause.is_some() || is_withdrawn_with_plan {
            return;
        }
        self.failed_attempts += 1;
        if self.failed_attempts >= MAX_STEP_ATTEMPTS {
            self.pause = Some(PauseReason::StepFailed { reason: reason.to_string() });
        }
    }
}
