//! Rebalancing plans: the operator's file on its way to the leader ([`offers`]), and the leader carrying out the plan that is
//! agreed on ([`steps`]).
//!
//! A plan's progress is in the log alone, so the next leader continues exactly where the last one stopped.

mod offers;
mod steps;

use std::path::{Path, PathBuf};

use dunepond_rebalance::{OverloadMonitor, Plan, PlanWait};
use tracing::{error, info};

use super::ControlLoop;
use super::leader_search::LeaderSearch;
use crate::error::PlanError;

/// Seconds between two steps where the operator's file does not say.
pub const DEFAULT_SETTLE_SECONDS: f64 = 1.0;
/// Leases after which an offer that another leader is to get, and an entry that is not committed, are sent again.
const RETRY_LEASES: f64 = 0.25;

/// The operator's plan file, and what the leader keeps between two steps.
pub struct Rebalancing {
    path: Option<PathBuf>,
    max_concurrent_actions: usize,
    settle_seconds: f64,
    /// The file is to be read.
    must_read: bool,
    plan: Option<Plan>,
    /// The plan was accepted once: the operator's command in it counts once.
    offered: bool,
    next_offer_at: f64,
    leader_search: LeaderSearch,
    current_turn: Option<CurrentTurn>,
    /// When the last entry was entered, while it may still be committed.
    last_proposal_at: f64,
    overload_monitor: OverloadMonitor,
    /// The reason to wait that was last logged.
    reported_wait: Option<PlanWait>,
}

/// The turn that the leader works on.
struct CurrentTurn {
    plan: String,
    turn: u64,
    /// When this broker first saw it.
    since: f64,
}

impl Rebalancing {
    /// `path`: the operator's plan file; the limits apply to plans that this broker offers.
    pub fn new(path: Option<PathBuf>, max_concurrent_actions: usize, settle_seconds: f64) -> Self {
        Self {
            must_read: path.is_some(),
            path,
            max_concurrent_actions,
            settle_seconds,
            plan: None,
            offered: false,
            next_offer_at: 0.0,
            leader_search: LeaderSearch::default(),
            current_turn: None,
            last_proposal_at: f64::NEG_INFINITY,
            overload_monitor: OverloadMonitor::default(),
            reported_wait: None,
        }
    }

    /// Has the file read again, from this path.
    pub fn reload(&mut self, path: Option<PathBuf>) {
        self.path = path;
        self.must_read = true;
        self.next_offer_at = 0.0;
    }

    /// Reads the file if that is due; an invalid plan is logged and not offered.
    fn read(&mut self) {
        if !std::mem::take(&mut self.must_read) {
            return;
        }
        self.plan = None;
        self.offered = false;
        let Some(path) = &self.path else { return };
        match read_plan(path) {
            Ok(plan) => self.plan = Some(plan),
            Err(e @ PlanError::NotFound { .. }) => info!("fleet: moves: {e} ({})", e.help()),
            Err(e) => error!("fleet: moves: {e} ({})", e.help()),
        }
    }

    /// Since when this turn has been the current one.
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
    /// Whether the running plan is paused during a step: no further fill of it starts.
    pub(super) fn fills_are_paused(&self) -> bool {
        let state = self.voter.as_ref().map(|voter| voter.state());
        let running = state.and_then(|state| state.rebalance().running.as_ref());
        running.is_some_and(|running| running.pause.is_some() && running.started.is_some())
    }

    /// Offers the file's plan to the leader until it is known, and carries out the agreed plan where this broker leads.
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
