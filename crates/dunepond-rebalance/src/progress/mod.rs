//! How far a plan has come, the same at all voters: committed entries and the ends of versions in, what the leader does next
//! out.
//!
//! A step is *started* when its version's number and its map's digest stand in the log; then the version is proposed (its
//! replicas are filled during the joint phase; where owners change this is the fence), and with its activation the step is
//! *done*, by the same entry. A withdrawn plan is undone: a started step that is not proposed by releasing its number, a
//! proposed one by withdrawing the version, active ones by versions that lead back. There is one version for one turn, and
//! a turn counts once, whoever leads.

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

/// Progress of the running plan, and the plans that ended. Part of the replicated state and its snapshots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanProgress {
    /// The plan that is under way; there is one at a time.
    pub running: Option<RunningPlan>,
    /// Plans that ended, the oldest first.
    pub ended: VecDeque<EndedPlan>,
    /// Steps that were started and abandoned before they were proposed: their versions may still be on the way.
    #[serde(rename = "given_up")]
    abandoned: Vec<StartedStep>,
}

/// The replicated state beside the plan, as an entry finds it.
pub struct RebalanceContext<'a> {
    /// Number of the version that is proposed and neither active nor withdrawn.
    pub open_version: Option<u64>,
    /// The highest number that any version had.
    pub highest_version: u64,
    /// None before the first version with a map.
    pub active_map: Option<&'a VerifiedMap>,
    /// Ratio of the segments that one version may change.
    pub max_changed_ratio: f64,
}

/// How a version ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionEnd<'a> {
    /// It is active.
    Activated,
    /// It was withdrawn, for this reason.
    Withdrawn(&'a str),
}

impl PlanProgress {
    fn running(&self, id: &str) -> Result<&RunningPlan, RebalanceError> {
        let running = self.running.as_ref().filter(|running| running.plan.id == id);
        running.ok_or(RebalanceError::NotRunning { id: id.to_string() })
    }

    fn started(&self) -> Option<&StartedStep> {
        self.running.as_ref()?.started.as_ref()
    }

    /// Whether a version may be proposed beside the plan. `new_map`: the digest of its map, if that differs from the active
    /// one.
    ///
    /// # Errors
    /// A step comes first, or the map is the plan's to change.
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

    /// State of a plan in words, for a line of the log.
    pub fn status(&self, id: &str) -> Option<String> {
        if let Some(running) = self.running.as_ref().filter(|running| running.plan.id == id) {
            return Some(running.status());
        }
        let ended = self.ended.iter().find(|ended| ended.id == id)?;
        Some(format!("ended: {}", ended.outcome))
    }
}
