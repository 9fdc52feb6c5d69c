//! Entries of the consensus log about plans. Serialised names must not change.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Plan, Step};

/// What ends a pause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResumeTrigger {
    /// An operator, by name.
    Operator(String),
    /// The fleet is not overloaded any more; percentage of its brokers that still report overload.
    #[serde(rename = "Pressure")]
    LoadNormal(u32),
}

/// Why a plan is paused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PauseReason {
    /// Too many brokers report overload.
    #[serde(rename = "Pressed")]
    Overload {
        /// Percentage of the fleet's brokers.
        #[serde(rename = "hundredths")]
        overloaded_percent: u32,
    },
    /// An operator asked for it.
    #[serde(rename = "Word")]
    Operator {
        /// Name of the operator.
        #[serde(rename = "who")]
        name: String,
    },
    /// A step's version was withdrawn too often, or its map is invalid.
    #[serde(rename = "Failed")]
    StepFailed {
        /// The last error, for people.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// An entry of the log about a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CommittedEntry {
    /// A plan is accepted, as its proposer ordered it.
    #[serde(rename = "Taken")]
    Accepted {
        /// The plan as the operator wrote it.
        plan: Box<Plan>,
        /// Steps in their order.
        steps: Vec<Step>,
        /// The limit that the steps keep.
        #[serde(rename = "at_once")]
        max_actions: usize,
    },
    /// This turn's step is to be this version, with a map of this digest; no other may come before it.
    #[serde(rename = "Begun")]
    StepStarted {
        /// Id of the plan.
        plan: String,
        /// The plan's turn at that time; a late entry has an earlier one.
        turn: u64,
        /// Number of the version.
        number: u64,
        /// Digest of the version's map.
        digest: String,
    },
    /// No further step starts.
    Paused {
        /// Id of the plan.
        plan: String,
        /// For the log and the operator.
        #[serde(rename = "why")]
        reason: PauseReason,
    },
    /// The plan continues.
    Resumed {
        /// Id of the plan.
        plan: String,
        /// An operator, or the end of an overload.
        #[serde(rename = "by")]
        trigger: ResumeTrigger,
    },
    /// All that is done is to be undone.
    Withdrawn {
        /// Id of the plan.
        plan: String,
        /// Name of the operator.
        #[serde(rename = "who")]
        withdrawn_by: String,
        /// Reason, for people.
        #[serde(rename = "why")]
        reason: String,
    },
}

impl fmt::Display for PauseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Overload { overloaded_percent } => {
                write!(f, "{overloaded_percent}% of the brokers are pressed")
            }
            Self::Operator { name } => write!(f, "on the word of {name}"),
            Self::StepFailed { reason } => write!(f, "a step came to nothing: {reason}"),
        }
    }
}

impl CommittedEntry {
    /// Id of the plan.
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
