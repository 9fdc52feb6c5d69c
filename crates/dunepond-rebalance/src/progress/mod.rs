//! Progress of a plan, which is the same at all voters. Committed log entries and the outcomes of configuration
//! versions update it, and the leader derives its next action from it.
//!
//! A step is *started* when an entry with the number of the step's configuration version and the digest of the
//! version's map is committed. The version is then proposed. During the joint phase of the version (brokers do only
//! what both the old and the new map allow), replicas are filled or, where owners change, non-idempotent parts are
//! rejected. The entry that activates the version also marks the step as *done*.
//!
//! A withdrawn plan is undone. If the version of the current step has a number but is not proposed, the number is
//! released; if the version is proposed, it is withdrawn. Further versions undo the steps that are done. A *turn* is
//! one started attempt at a step and has one version. Turns are numbered per plan, whoever leads.

mod apply;
mod check;
mod entry;
mod next_action;
mod running;

use std::collections::VecDeque;

use dunepond_shard_map::VerifiedMap;
use serde::{Deserialize, Serialize};

use crate::RebalanceError;

pub use entry::{CommittedEntry, PauseReason, ResumeTrigger};
pub use next_action::{LeaderAction, PlanWait};
pub use running::{EndedPlan, PlanOutcome, RunningPlan, StartedStep, Withdrawal};

/// Progress of the running plan, and the plans that have ended. Part of the replicated state and its snapshots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanProgress {
    /// The running plan, if any; only one plan runs at a time.
    pub running: Option<RunningPlan>,
    /// Plans that have ended, oldest first; at most [`MAX_ENDED_PLANS`](crate::MAX_ENDED_PLANS).
    pub ended: VecDeque<EndedPlan>,
    /// Steps that were abandoned after they were started and before their versions were proposed. A proposal of such a
    /// version may still arrive and is rejected.
    #[serde(rename = "given_up")]
    abandoned: Vec<StartedStep>,
}

/// Replicated state outside [`PlanProgress`] that is needed to check and apply entries about plans.
pub struct RebalanceContext<'a> {
    /// Number of the configuration version that is proposed and neither active nor withdrawn, if there is one.
    pub open_version: Option<u64>,
    /// Highest version number used so far.
    pub highest_version: u64,
    /// The active map; `None` before the first version with a map.
    pub active_map: Option<&'a VerifiedMap>,
    /// Maximum fraction of the map's segments that one configuration version may change, from 0 to 1.
    pub max_changed_ratio: f64,
}

/// How a configuration version ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionEnd<'a> {
    /// The version became active.
    Activated,
    /// The version was withdrawn, for this reason.
    Withdrawn(&'a str),
}

impl PlanProgress {
    /// The running plan, if it has this id.
    fn running(&self, id: &str) -> Result<&RunningPlan, RebalanceError> {
        let running = self.running.as_ref().filter(|running| running.plan.id == id);
        running.ok_or(RebalanceError::NotRunning { id: id.to_string() })
    }

    /// The running plan's started step, if there is one.
    fn started(&self) -> Option<&StartedStep> {
        self.running.as_ref()?.started.as_ref()
    }

    /// Checks whether the configuration version with this number may be proposed, given the running plan and the
    /// abandoned steps. `new_map`: digest of the version's map, if the map differs from the active one.
    ///
    /// # Errors
    /// The version of a started step has to be proposed first, the version belongs to an abandoned step, or the version
    /// changes the map, which only the steps of a running plan may do.
    pub fn check_version(&self, number: u64, new_map: Option<&str>) -> Result<(), RebalanceError> {
        let is_version_of = |step: &StartedStep| step.number == number && Some(&step.digest[..]) == new_map;
        if self.started().is_some_and(is_version_of) {
            return Ok(());
        }
        if self.abandoned.iter().any(is_version_of) {
            return Err(RebalanceError::VersionAbandoned { number });
        }
        let Some(running) = &self.running else { return Ok(()) };
        let id = running.plan.id.clone();
        match &running.started {
            Some(started) => {
                Err(RebalanceError::StepPending { id, turn: running.turn, number: started.number })
            }
            None if new_map.is_some() => Err(RebalanceError::MapLocked { id }),
            None => Ok(()),
        }
    }

    /// State of the running plan or of an ended plan as text, for log lines and replies between brokers; `None` if no
    /// running or recorded plan has this id.
    pub fn status(&self, id: &str) -> Option<String> {
        if let Some(running) = self.running.as_ref().filter(|running| running.plan.id == id) {
            return Some(running.status());
        }
        let ended = self.ended.iter().find(|ended| ended.id == id)?;
        Some(format!("ended: {}", ended.outcome))
    }
}
