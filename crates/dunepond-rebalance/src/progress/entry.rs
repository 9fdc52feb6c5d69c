//! Entries of the consensus log about plans. The serialized names must not change.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Plan, Step};

/// What ends a pause of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResumeTrigger {
    /// The operator with this name resumes the plan.
    Operator(String),
    /// The fleet is no longer overloaded. The value is the percentage of brokers that still report overload.
    #[serde(rename = "Pressure")]
    LoadNormal(u32),
}

/// Why a plan is paused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PauseReason {
    /// Too many brokers report overload.
    #[serde(rename = "Pressed")]
    Overload {
        /// Percentage of the brokers that report overload.
        #[serde(rename = "hundredths")]
        overloaded_percent: u32,
    },
    /// An operator asked for the pause.
    #[serde(rename = "Word")]
    Operator {
        /// Name of the operator who paused the plan.
        #[serde(rename = "who")]
        name: String,
    },
    /// The configuration version of a step was withdrawn [`MAX_STEP_ATTEMPTS`](crate::MAX_STEP_ATTEMPTS) times, could
    /// not be created, or was rejected.
    #[serde(rename = "Failed")]
    StepFailed {
        /// The last error, as text.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// An entry of the consensus log about a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CommittedEntry {
    /// A plan is accepted, with the steps that its proposer computed.
    #[serde(rename = "Taken")]
    Accepted {
        /// The plan as the operator wrote it.
        plan: Box<Plan>,
        /// Steps of the plan, in the order in which they run.
        steps: Vec<Step>,
        /// Maximum number of actions in one step, against which voters verify `steps`.
        #[serde(rename = "at_once")]
        max_actions: usize,
    },
    /// The plan's current step is started: its configuration version gets this number and map digest. No other version
    /// may be proposed before this one.
    #[serde(rename = "Begun")]
    StepStarted {
        /// Id of the plan.
        plan: String,
        /// Turn of the plan (one started attempt at a step) when the entry was proposed. The entry is rejected as late
        /// if the plan is at another turn when it is committed.
        turn: u64,
        /// Number of the step's configuration version.
        number: u64,
        /// Digest of the shard map after the step.
        digest: String,
    },
    /// The plan is paused: no further step starts.
    Paused {
        /// Id of the plan.
        plan: String,
        /// Why the plan is paused.
        #[serde(rename = "why")]
        reason: PauseReason,
    },
    /// A paused plan continues.
    Resumed {
        /// Id of the plan.
        plan: String,
        /// What ends the pause.
        #[serde(rename = "by")]
        trigger: ResumeTrigger,
    },
    /// The plan is withdrawn: the steps that are done are undone.
    Withdrawn {
        /// Id of the plan.
        plan: String,
        /// Name of the operator who withdraws the plan.
        #[serde(rename = "who")]
        withdrawn_by: String,
        /// Why the operator withdraws the plan, as free text.
        #[serde(rename = "why")]
        reason: String,
    },
}

impl fmt::Display for PauseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Overload { overloaded_percent } => {
                write!(f, "{overloaded_percent}% of the brokers report overload")
            }
            Self::Operator { name } => write!(f, "requested by operator {name}"),
            Self::StepFailed { reason } => write!(f, "a step failed: {reason}"),
        }
    }
}

impl CommittedEntry {
    /// Id of the plan that the entry is about.
    pub fn plan_id(&self) -> &str {
        match self {
            Self::Accepted { plan, .. } => &plan.id,
            Self::StepStarted { plan, .. }
            | Self::Paused { plan, .. }
            | Self::Resumed { plan, .. }
            | Self::Withdrawn { plan, .. } => plan,
        }
    }
}
