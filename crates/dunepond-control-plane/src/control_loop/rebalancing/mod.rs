//! Rebalancing plans: brokers offer the operator's plan to the leader ([`offers`]), and the leader carries out the
//! accepted plan ([`steps`]).
//!
//! The progress of a plan is recorded only in the log, so a new leader continues exactly where the previous leader
//! stopped.

mod offers;
mod steps;

use std::path::{Path, PathBuf};

use dunepond_rebalance::{OverloadMonitor, Plan, PlanWait};
use tracing::{error, info};

use super::ControlLoop;
use super::leader_search::LeaderSearch;
use crate::error::PlanError;

/// Default pause between two steps of a plan, in seconds.
pub const DEFAULT_SETTLE_SECONDS: f64 = 1.0;
/// Time after which a plan is offered to another voter because the first one does not lead, and after which an entry
/// that is not committed is proposed again, as a multiple of the lease duration.
const RETRY_LEASES: f64 = 0.25;

/// The operator's plan and the state of its offer, and the leader's state between two steps.
pub struct Rebalancing {
    /// Path of the operator's plan file.
    path: Option<PathBuf>,
    max_concurrent_actions: usize,
    settle_seconds: f64,
    /// Whether the plan file must be read before the next offer.
    must_read: bool,
    /// The plan that is to be offered. Dropped once a voter reports the plan's status in the log or refuses the plan.
    plan: Option<Plan>,
    /// Whether the leader has accepted an offer of this plan. Later offers are marked as repeats: they must not resume
    /// the plan if it was paused in the meantime.
    offer_accepted: bool,
    /// When the plan is offered next.
    next_offer_at: f64,
    leader_search: LeaderSearch,
    /// The current turn of the running plan, if this broker leads.
    current_turn: Option<CurrentTurn>,
    /// When an entry or a configuration version was last proposed for the plan. Negative infinity if the plan has
    /// nothing to propose at present, so that its next proposal is not delayed.
    last_proposal_at: f64,
    overload_monitor: OverloadMonitor,
    /// The reason to wait that was logged last.
    reported_wait: Option<PlanWait>,
}

/// The current turn of the running plan. A turn is one started attempt at a step; the next turn begins when the
/// configuration version of that attempt is activated, withdrawn or abandoned.
struct CurrentTurn {
    /// Id of the plan.
    plan: String,
    turn: u64,
    /// When this broker first saw the plan in this turn.
    since: f64,
}

impl Rebalancing {
    /// Creates the state for the operator's plan file at `path`. `max_concurrent_actions` applies to the plans that
    /// this broker offers, `settle_seconds` to the plans that it carries out as leader.
    pub fn new(path: Option<PathBuf>, max_concurrent_actions: usize, settle_seconds: f64) -> Self {
        Self {
            must_read: path.is_some(),
            path,
            max_concurrent_actions,
            settle_seconds,
            plan: None,
            offer_accepted: false,
            next_offer_at: 0.0,
            leader_search: LeaderSearch::default(),
            current_turn: None,
            last_proposal_at: f64::NEG_INFINITY,
            overload_monitor: OverloadMonitor::default(),
            reported_wait: None,
        }
    }

    /// Requests that the plan file is read again, from this path.
    pub fn reload(&mut self, path: Option<PathBuf>) {
        self.path = path;
        self.must_read = true;
        self.next_offer_at = 0.0;
    }

    /// Reads the plan file if that was requested. An invalid plan is logged and not offered.
    fn read(&mut self) {
        if !std::mem::take(&mut self.must_read) {
            return;
        }
        self.plan = None;
        self.offer_accepted = false;
        let Some(path) = &self.path else { return };
        match read_plan(path) {
            Ok(plan) => self.plan = Some(plan),
            Err(e @ PlanError::NotFound { .. }) => info!("fleet: rebalancing plan: {e} ({})", e.help()),
            Err(e) => error!("fleet: rebalancing plan: {e} ({})", e.help()),
        }
    }

    /// When this broker first saw the plan in this turn: `now` if the turn is new.
    fn turn_since(&mut self, plan: &str, turn: u64, now: f64) -> f64 {
        match &self.current_turn {
            Some(current) if current.plan == plan && current.turn == turn => current.since,
            _ => {
                self.current_turn = Some(CurrentTurn { plan: plan.to_string(), turn, since: now });
                now
            }
        }
    }
}

fn read_plan(path: &Path) -> Result<Plan, PlanError> {
    let path = path.to_path_buf();
    match std::fs::read_to_string(&path) {
        Ok(text) => Plan::parse(&text).map_err(|why| PlanError::Invalid { path, why: Box::new(why) }),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Err(PlanError::NotFound { path }),
        Err(e) => Err(PlanError::Unreadable { path, why: e.to_string() }),
    }
}

impl ControlLoop {
    /// Whether the running plan was paused during a step, so that no further fill of the step may start.
    pub(super) fn fills_are_paused(&self) -> bool {
        let state = self.voter.as_ref().map(|voter| voter.state());
        let running = state.and_then(|state| state.rebalance().running.as_ref());
        running.is_some_and(|running| running.pause.is_some() && running.started.is_some())
    }

    /// Offers the operator's plan to the leader until a voter reports the plan's status in the log or refuses the plan.
    /// If this broker leads, also carries out the accepted plan.
    pub(super) fn rebalance(&mut self) {
        self.offer_plan();
        if self.is_leading() {
            return self.advance_plan();
        }
        self.rebalancing.current_turn = None;
        self.rebalancing.reported_wait = None;
        self.rebalancing.overload_monitor = OverloadMonitor::default();
    }
}

#[cfg(test)]
mod tests;
