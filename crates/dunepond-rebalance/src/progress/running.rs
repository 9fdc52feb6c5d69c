//! The running plan, and how plans ended. Serialised names must not change.

use std::collections::{BTreeSet, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use super::PauseReason;
use crate::{Action, ActionBatch, Plan, PlannedAction, Step};

/// A step whose version has its number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartedStep {
    /// Number of the version.
    pub number: u64,
    /// Digest of the version's map.
    pub digest: String,
}

/// An operator's order to undo a plan. Stored as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct Withdrawal {
    /// Name of the operator.
    pub withdrawn_by: String,
    /// Reason, for people.
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

/// The plan that is under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningPlan {
    /// The plan as the operator wrote it.
    pub plan: Plan,
    /// Steps in their order.
    pub steps: Vec<Step>,
    /// How many of `steps` are done.
    #[serde(rename = "done")]
    pub steps_done: usize,
    /// Set once the plan is to be undone.
    #[serde(rename = "undoing")]
    pub withdrawal: Option<Withdrawal>,
    /// What is left to be undone; set once the plan is to be undone and no version of it is under way.
    #[serde(rename = "back")]
    pub rollback: Option<VecDeque<ActionBatch>>,
    /// The step whose version has its number.
    #[serde(rename = "begun")]
    pub started: Option<StartedStep>,
    /// Counts every version that a step of this plan was given, so that nothing late is taken for something new.
    pub turn: u64,
    /// Versions of the current step that were withdrawn.
    #[serde(rename = "tries")]
    pub failed_attempts: u32,
    /// While no step may start.
    #[serde(rename = "paused")]
    pub pause: Option<PauseReason>,
}

/// How a plan ended. One that was refused never ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanOutcome {
    /// All steps are done.
    Done,
    /// All that was done is undone.
    Undone {
        /// Name of the operator.
        #[serde(rename = "who")]
        withdrawn_by: String,
        /// Reason, for people.
        #[serde(rename = "why")]
        reason: String,
    },
}

impl fmt::Display for PlanOutcome {
    /// As it stands in log lines and in replies between brokers.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Done => f.write_str("Done"),
            Self::Undone { withdrawn_by, reason } => {
                write!(f, "Undone {{ who: {withdrawn_by:?}, why: {reason:?} }}")
            }
        }
    }
}

/// A plan that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedPlan {
    /// Id of the plan, never used again.
    pub id: String,
    /// Name of the operator.
    #[serde(rename = "who")]
    pub proposed_by: String,
    /// Done or undone.
    #[serde(rename = "how")]
    pub outcome: PlanOutcome,
    /// Versions that it took.
    pub turns: u64,
}

impl RunningPlan {
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

    /// The batch that is next or under way.
    pub fn current_batch(&self) -> Option<&ActionBatch> {
        match &self.rollback {
            Some(rollback) => rollback.front(),
            None => self.steps.get(self.steps_done).map(|step| &step.forward),
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.started.is_none() && self.current_batch().is_none()
    }

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

    /// Undoes the steps that are done, last first.
    pub(super) fn start_rollback(&mut self) {
        let done = &self.steps[..self.steps_done];
        let switched = switched_operations(done);
        let mut rollback = VecDeque::new();
        for batch in done.iter().rev().flat_map(|step| &step.rollback) {
            // A replica that took over is removed by the switch back.
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

fn switched_operations(steps: &[Step]) -> BTreeSet<usize> {
    let actions = steps.iter().flat_map(|step| &step.forward.actions);
    let switches = actions.filter(|planned| matches!(planned.action, Action::Switch { .. }));
    switches.map(|planned| planned.operation).collect()
}
