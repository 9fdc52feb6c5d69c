//! Starts attempts at the active fills, up to the maximum number of concurrent attempts, and handles the attempts'
//! results.

use dunepond_settlement::{Fill, FillAction, FillEvent};
use tracing::{info, warn};

use super::log_entries::has_started;
use super::scheduler::AttemptResult;
use super::{ControlLoop, FillKind};
use crate::audit_log::AuditEvent;
use crate::clock::monotonic_seconds;
use crate::handle::increment;

// States of a fill in the audit log. They are stored, so they must not change.
const AUDITED_START: &str = "begun";
const AUDITED_SUCCESS: &str = "done";
const AUDITED_FAILURE: &str = "failed";

impl ControlLoop {
    /// Starts the attempts that are due, within the limit on concurrent attempts.
    pub(super) fn advance_fills(&mut self, kind: FillKind, now: f64) {
        if kind == FillKind::Version {
            self.propose_fill_starts(now);
        }
        let mut actions = Vec::new();
        // While the rebalancing plan is paused no further attempt starts, but running attempts continue.
        let paused = kind == FillKind::Version && self.fills_are_paused();
        let ledger = self.traffic.balances.ledger();
        let fills = match kind {
            FillKind::Version => &mut self.version_fills,
            FillKind::Own => &mut self.own_fills,
        };
        let mut running = fills.active.values().filter(|active| active.attempt_running).count();
        for active in fills.active.values_mut().filter(|active| active.result.is_none()) {
            let in_log = kind == FillKind::Own || has_started(ledger, &active.progress.fill);
            let may_start = in_log && !paused && running < fills.limits.max_concurrent;
            if !active.attempt_running && !may_start {
                continue;
            }
            let next = active.progress.tick(now, &mut fills.rng);
            let starts = next.iter().any(|action| matches!(action, FillAction::Start(_)));
            if starts && !active.attempt_running {
                active.attempt_running = true;
                running += 1;
            }
            actions.extend(next);
        }
        self.execute_fill_actions(kind, actions);
        self.propose_finished_fills();
    }

    /// Carries out the actions of the fills' state machines.
    fn execute_fill_actions(&mut self, kind: FillKind, actions: Vec<FillAction>) {
        for action in actions {
            match action {
                FillAction::Start(fill) => {
                    info!(
                        "fleet: fill {}: attempt from {} at {:.0} bytes per second",
                        fill.id, fill.source, fill.rate
                    );
                    self.audit_fill(&fill, AUDITED_START);
                    self.scheduler(kind).start_attempt(&fill);
                }
                // The fill service cannot stop a fill, so the next attempt requests the same fill again, with the same
                // id.
                FillAction::Stop(fill) => info!("fleet: fill {}: attempt timed out", fill.id),
                // Handled elsewhere: `propose_finished_fills` proposes a finished fill, and `remove_unneeded_fills`
                // releases its capacity once the log records the fill as completed. For own fills,
                // `finish_own_fill_if_done` releases the capacity.
                FillAction::ReleaseCapacity(_) | FillAction::Propose(_) => {}
            }
        }
        self.remove_failed_fills(kind);
    }

    /// Removes fills for which all attempts have failed. The planner plans these fills again, possibly from another
    /// source.
    fn remove_failed_fills(&mut self, kind: FillKind) {
        let mut failed = Vec::new();
        for (id, active) in &self.scheduler(kind).active {
            if active.progress.state().is_final() && active.result.is_none() {
                failed.push(id.clone());
            }
        }
        for id in failed {
            self.scheduler(kind).planner.fill_ended(&id, false);
            self.scheduler(kind).active.remove(&id);
            if kind == FillKind::Own {
                self.abandon_commitment(&id);
            }
        }
    }

    /// Handles the result of an attempt. `result` is `None` once all senders of results are dropped.
    pub(in crate::control_loop) fn on_attempt_result(&mut self, result: Option<AttemptResult>) {
        let Some(AttemptResult { kind, id, outcome }) = result else { return };
        let now = monotonic_seconds();
        let counters = self.counters.clone();
        let fills = self.scheduler(kind);
        let Some(active) = fills.active.get_mut(&id) else { return };
        active.attempt_running = false;
        let succeeded = outcome.is_ok();
        let event = match outcome {
            Ok(result) => {
                active.result = Some(result);
                FillEvent::Done
            }
            Err(e) => {
                increment(&counters.fills_failed);
                warn!("fleet: fill {id}: {e} ({})", e.help());
                FillEvent::Failed { reason: e.to_string() }
            }
        };
        let fill = active.progress.fill.clone();
        let actions = active.progress.handle_event(now, event, &mut fills.rng).unwrap_or_default();
        if succeeded {
            increment(&counters.fills);
        }
        self.audit_fill(&fill, if succeeded { AUDITED_SUCCESS } else { AUDITED_FAILURE });
        self.execute_fill_actions(kind, actions);
        match kind {
            FillKind::Version => {
                if !succeeded {
                    self.avoid_source(&fill);
                }
                self.propose_finished_fills();
            }
            FillKind::Own => self.finish_own_fill_if_done(&id),
        }
    }

    /// Handles a failed attempt at a fill of the proposed version. If another source is usable, removes the fill, so
    /// that the next review plans it from that source. Otherwise the fill stays active and is retried from the same
    /// source after the back-off.
    fn avoid_source(&mut self, fill: &Fill) {
        self.version_fills.avoided_sources.note_failure(&fill.id, &fill.source);
        let Some(demands) = self.version_fill_demands() else { return };
        self.version_fills.avoided_sources.retain(|id| demands.iter().any(|demand| demand.id() == id));
        let Some(demand) = demands.iter().find(|demand| demand.id() == fill.id) else { return };
        if demand.sources.iter().all(|source| source.node != fill.source) {
            info!("fleet: fill {}: failed from {}, trying another source", fill.id, fill.source);
            self.version_fills.planner.fill_ended(&fill.id, false);
            self.version_fills.active.remove(&fill.id);
        }
    }

    fn audit_fill(&self, fill: &Fill, state: &str) {
        if let Some(audit_log) = &self.audit_log {
            audit_log.record(AuditEvent::Fill {
                id: fill.id.clone(),
                segment: fill.segment,
                node: fill.node.clone(),
                source: fill.source.clone(),
                bytes: fill.bytes,
                state: state.to_string(),
            });
        }
    }
}
