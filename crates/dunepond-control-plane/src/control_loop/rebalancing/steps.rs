//! Steps of the accepted plan: the log entries and configuration versions that the leader proposes to carry it out.

use dunepond_consensus::{Command, ConfigVersion, Rejection};
use dunepond_rebalance::{
    Action, CommittedEntry, LeaderAction, Operation, PauseReason, PlanWait, ResumeTrigger, RunningPlan,
};
use dunepond_shard_map::ShardMap;
use tracing::{info, warn};

use super::RETRY_LEASES;
use crate::clock::{monotonic_seconds, unix_seconds};
use crate::control_loop::ControlLoop;

/// Time for which a broker's report that its nodes are overloaded is valid, as a multiple of the lease duration.
const LOAD_REPORT_LEASES: f64 = 2.0;

impl ControlLoop {
    /// Proposes the next log entry or configuration version of the running plan, if one is due.
    pub(super) fn advance_plan(&mut self) {
        let now = monotonic_seconds();
        let Some(next) = self.next_step(now) else { return };
        self.rebalancing.last_proposal_at = now;
        match next {
            LeaderAction::Wait(wait) => {
                self.rebalancing.last_proposal_at = f64::NEG_INFINITY;
                self.log_wait(wait);
            }
            LeaderAction::Append(entry) => {
                self.log_step(&entry);
                self.propose_step(Command::Rebalance(entry));
            }
            LeaderAction::Propose { number, transition } => {
                let Some(version) = self.step_version(number, transition.to().map().clone()) else { return };
                self.propose_step(Command::Propose(Box::new(version)));
            }
            LeaderAction::Withdraw { number, reason } => {
                info!("fleet: withdrawing version {number}: {reason}");
                self.propose_step(Command::Withdraw { number, why: reason });
            }
        }
    }

    /// The next action for the running plan: pausing or resuming the plan if the brokers' load requires it, otherwise
    /// the action that the plan's progress requires. `None` if no plan is running, or if the last proposal is so recent
    /// that it may still be committed.
    fn next_step(&mut self, now: f64) -> Option<LeaderAction> {
        let voter = self.voter.as_ref()?;
        let (state, rebalancing) = (voter.state(), &mut self.rebalancing);
        for (broker, is_overloaded) in voter.broker_overloads() {
            rebalancing.overload_monitor.record_report(now, broker, is_overloaded);
        }
        let is_overloaded = rebalancing.overload_monitor.update(now, LOAD_REPORT_LEASES * self.lease_seconds);
        let Some(running) = &state.rebalance().running else {
            rebalancing.current_turn = None;
            rebalancing.reported_wait = None;
            return None;
        };
        let since = rebalancing.turn_since(&running.plan.id, running.turn, now);
        if now < rebalancing.last_proposal_at + RETRY_LEASES * self.lease_seconds {
            return None;
        }
        let overloaded_percent = (100.0 * rebalancing.overload_monitor.overloaded_ratio()).round() as u32;
        let plan = running.plan.id.clone();
        Some(match (&running.pause, is_overloaded) {
            (None, true) => {
                let reason = PauseReason::Overload { overloaded_percent };
                LeaderAction::Append(CommittedEntry::Paused { plan, reason })
            }
            (Some(PauseReason::Overload { .. }), false) => LeaderAction::Append(CommittedEntry::Resumed {
                plan,
                trigger: ResumeTrigger::LoadNormal(overloaded_percent),
            }),
            _ => {
                let has_settled = now >= since + rebalancing.settle_seconds;
                state.rebalance().next_action(&state.rebalance_context(), has_settled)
            }
        })
    }

    /// Logs why the plan waits, unless the same reason was logged last.
    fn log_wait(&mut self, wait: PlanWait) {
        if self.rebalancing.reported_wait.as_ref() == Some(&wait) {
            return;
        }
        match &wait {
            PlanWait::Paused(why) => info!("fleet: plan {}: paused: {why}", self.plan_id()),
            PlanWait::OtherVersion(open) => {
                info!(
                    "fleet: plan {}: waiting for version {open}, which is not a step of the plan",
                    self.plan_id()
                );
            }
            PlanWait::NoStepDue | PlanWait::StepInProgress(_) => {}
        }
        self.rebalancing.reported_wait = Some(wait);
    }

    fn running_plan(&self) -> Option<&RunningPlan> {
        self.voter.as_ref()?.state().rebalance().running.as_ref()
    }

    /// Id of the running plan; empty if no plan runs.
    fn plan_id(&self) -> String {
        self.running_plan().map_or(String::new(), |running| running.plan.id.clone())
    }

    /// Logs an entry for the running plan. For the start of a step, logs who proposed the plan and why, what the step
    /// changes, and how many operations are left.
    fn log_step(&self, entry: &CommittedEntry) {
        let Some(running) = self.running_plan() else { return };
        let (id, proposer, reason) = (&running.plan.id, &running.plan.proposed_by, &running.plan.reason);
        let (CommittedEntry::StepStarted { turn, number, .. }, Some(batch)) =
            (entry, running.current_batch())
        else {
            return info!("fleet: plan {id}: {entry:?}");
        };
        let map = self.voter.as_ref().and_then(|voter| voter.state().verified_map());
        let changes = batch.changed_segments(map.map_or(0, |map| map.len()));
        let direction = if running.withdrawal.is_some() { "back" } else { "forward" };
        let is_move = |operation: &&Operation| matches!(operation, Operation::Move { .. });
        info!(
            "fleet: plan {id}, turn {turn}, version {number}, {direction}: {batch}; {} concurrent actions, \
             {} of {} segments changed; {} operations left, {} moves in total; proposed by {proposer}: {reason}",
            batch.actions.len(),
            changes.changed,
            changes.total,
            remaining_operations(running),
            running.plan.operations.iter().filter(is_move).count(),
        );
    }

    /// The configuration version that carries out the current step: the active version with the step's map.
    fn step_version(&self, number: u64, map: ShardMap) -> Option<ConfigVersion> {
        let state = self.voter.as_ref()?.state();
        let running = state.rebalance().running.as_ref()?;
        let (active, _) = state.active.as_ref()?;
        let plan = &running.plan;
        let batch = running.current_batch().map_or(String::new(), ToString::to_string);
        let direction = if running.withdrawal.is_some() { ", back" } else { "" };
        Some(ConfigVersion {
            number,
            based_on: Some(active.number),
            first_stage_ratio: None,
            map: Some(map),
            proposed_by: plan.proposed_by.clone(),
            reason: format!("plan {}, turn {}{direction}: {batch}; {}", plan.id, running.turn, plan.reason),
            proposed_at_unix_seconds: unix_seconds(),
            ..ConfigVersion::clone(active)
        })
    }

    /// Proposes a command of the running plan. If it is rejected for a reason that will not pass by itself, pauses the
    /// plan until an operator intervenes, as the voters would reject it again.
    fn propose_step(&mut self, command: Command) {
        let is_proposal = matches!(command, Command::Propose(_));
        let Err(why) = self.propose(command) else { return };
        let is_transient = match &why {
            Rejection::Rebalance(why) => why.is_transient() || !is_proposal,
            Rejection::NotLeader(_)
            | Rejection::Busy
            | Rejection::AlreadyProposed { .. }
            | Rejection::NotProposed(_)
            | Rejection::RollingBack(_) => true,
            _ => false,
        };
        if is_transient {
            return;
        }
        warn!("fleet: plan {}: {why} ({})", self.plan_id(), why.help());
        let failure = self.voter.as_ref().map(|voter| voter.state().rebalance().pause_after_failure(&why));
        if let Some(LeaderAction::Append(entry)) = failure {
            let _ = self.propose(Command::Rebalance(entry));
        }
    }
}

/// Number of the plan's operations that no finished step has carried out.
fn remaining_operations(running: &RunningPlan) -> usize {
    let finished = &running.steps[..running.steps_done];
    let actions = finished.iter().flat_map(|step| &step.forward.actions);
    let done = actions.filter(|planned| !matches!(planned.action, Action::Fill { .. })).count();
    running.plan.operations.len().saturating_sub(done)
}
