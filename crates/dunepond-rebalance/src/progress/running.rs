//! The running plan, and records of plans that have ended. The serialized names must not change.

use std::collections::{BTreeSet, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use super::PauseReason;
use crate::{Action, ActionBatch, Plan, PlannedAction, Step};

/// A step that has started: the number and the map of its configuration version are assigned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartedStep {
    /// Number of the step's configuration version.
    pub number: u64,
    /// Digest of the shard map after the step.
    pub digest: String,
}

/// An operator's request to undo a plan. Serialized as a pair of the operator's name and the reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct Withdrawal {
    /// Name of the operator who withdrew the plan.
    pub withdrawn_by: String,
    /// Why the operator withdrew the plan, as free text.
    pub reason: String,
}

impl From<(String, String)> for Withdrawal {
    fn from((withdrawn_by, reason): (String, String)) -> Self {
        Self { withdrawn_by, reason }
    }
}

impl From<Withdrawal> for (String, String) {
    fn from(withdrawal: Withdrawal) -> Self {
        (withdrawal.withdrawn_by, withdrawal.reason)
    }
}

/// State of the running plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningPlan {
    /// The plan as the operator wrote it.
    pub plan: Plan,
    /// Steps of the plan, in the order in which they run.
    pub steps: Vec<Step>,
    /// Number of steps that are done.
    #[serde(rename = "done")]
    pub steps_done: usize,
    /// Set once the plan is withdrawn and has to be undone.
    #[serde(rename = "undoing")]
    pub withdrawal: Option<Withdrawal>,
    /// Batches that are still needed to undo the plan. Set once the plan is withdrawn and no step is started.
    #[serde(rename = "back")]
    pub rollback: Option<VecDeque<ActionBatch>>,
    /// The started step, whose version is neither active nor withdrawn yet.
    #[serde(rename = "begun")]
    pub started: Option<StartedStep>,
    /// Number of configuration versions of this plan that were activated, withdrawn or abandoned. Log entries that
    /// start a step name the turn, so that a late entry is not applied to a later step.
    pub turn: u64,
    /// Number of failed attempts at the current step since the plan was last resumed.
    #[serde(rename = "tries")]
    pub failed_attempts: u32,
    /// Why the plan is paused, if it is; no step starts during a pause.
    #[serde(rename = "paused")]
    pub pause: Option<PauseReason>,
}

/// How a plan ended. A plan that was rejected never ran and has no outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanOutcome {
    /// All steps were carried out.
    Done,
    /// The plan was withdrawn, and the steps that were done have been undone.
    Undone {
        /// Name of the operator who withdrew the plan.
        #[serde(rename = "who")]
        withdrawn_by: String,
        /// Why the operator withdrew the plan, as free text.
        #[serde(rename = "why")]
        reason: String,
    },
}

impl fmt::Display for PlanOutcome {
    /// Writes the form that log lines and replies between brokers use; it must not change.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Done => f.write_str("Done"),
            Self::Undone { withdrawn_by, reason } => {
                write!(f, "Undone {{ who: {withdrawn_by:?}, why: {reason:?} }}")
            }
        }
    }
}

/// Record of a plan that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedPlan {
    /// Id of the plan. A new plan with this id is rejected as long as this record is kept.
    pub id: String,
    /// Name of the operator who proposed the plan.
    #[serde(rename = "who")]
    pub proposed_by: String,
    /// How the plan ended.
    #[serde(rename = "how")]
    pub outcome: PlanOutcome,
    /// Number of configuration versions of this plan that were activated, withdrawn or abandoned.
    pub turns: u64,
}

impl RunningPlan {
    /// A plan that was just accepted: no step is done or started.
    pub(super) fn new(plan: Plan, steps: Vec<Step>) -> Self {
        Self {
            plan,
            steps,
            steps_done: 0,
            withdrawal: None,
            rollback: None,
            started: None,
            turn: 0,
            failed_attempts: 0,
            pause: None,
        }
    }

    /// The batch of the started step or, if no step is started, of the next one. `None` if nothing is left to do.
    pub fn current_batch(&self) -> Option<&ActionBatch> {
        match &self.rollback {
            Some(rollback) => rollback.front(),
            None => self.steps.get(self.steps_done).map(|step| &step.forward),
        }
    }

    /// Whether no step is started and nothing is left to do.
    pub(super) fn is_over(&self) -> bool {
        self.started.is_none() && self.current_batch().is_none()
    }

    /// Progress as text, for log lines and replies between brokers.
    pub(super) fn status(&self) -> String {
        if let Some(rollback) = &self.rollback {
            return format!("being undone, {} versions left", rollback.len());
        }
        let (done, count) = (self.steps_done, self.steps.len());
        match &self.pause {
            Some(reason) => format!("{done} of {count} steps, paused: {reason}"),
            None => format!("{done} of {count} steps"),
        }
    }

    /// Computes the batches that undo the steps that are done, the last step first.
    pub(super) fn start_rollback(&mut self) {
        let done = &self.steps[..self.steps_done];
        let switched = switched_operations(done);
        let mut rollback = VecDeque::new();
        for batch in done.iter().rev().flat_map(|step| &step.rollback) {
            // If the operation's switch is done, the switch back already removes the replica that was filled.
            let is_needed = |planned: &&PlannedAction| {
                !(matches!(planned.action, Action::RemoveReplica { .. })
                    && switched.contains(&planned.operation))
            };
            let actions: Vec<_> = batch.actions.iter().filter(is_needed).cloned().collect();
            if !actions.is_empty() {
                rollback.push_back(ActionBatch { kind: batch.kind, actions });
            }
        }
        self.rollback = Some(rollback);
    }
}

/// Indexes of the operations whose switch is carried out by one of these steps.
fn switched_operations(steps: &[Step]) -> BTreeSet<usize> {
    let actions = steps.iter().flat_map(|step| &step.forward.actions);
    let switches = actions.filter(|planned| matches!(planned.action, Action::Switch { .. }));
    switches.map(|planned| planned.operation).collect()
}
