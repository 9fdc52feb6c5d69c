//! Log entries for the fills that the proposed configuration version requires: an entry before a fill starts, and
//! entries for its settlement and its completion once the fill is done.

use dunepond_consensus::{Command, Rejection};
use dunepond_settlement::{
    Fill, FillDemand, Settlement, SettlementEntry, SettlementError, SettlementLedger, StartedFill,
};
use tracing::{info, warn};

use super::ControlLoop;
use super::scheduler::StartedFillKey;
use crate::clock::{monotonic_seconds, unix_seconds};
use crate::config::CrashPoint;
use crate::fill_client::FillResult;

/// Time after which a proposed entry is proposed again if the log does not have it.
const ENTRY_RETRY_SECONDS: f64 = 1.0;
/// Share holder that settles the fills that a configuration version requires. Its name is the same under every leader:
/// otherwise a fill could be settled once under the name of each leader. When a debt is split into shares in advance,
/// this holder gets a share too, which only settlements of these fills use.
pub const LOG_SHARE_HOLDER: &str = "fleet";

impl ControlLoop {
    /// Records when this broker first saw each started fill in the log. This time is never before the leader planned
    /// the fill. If this broker knew of no started fill before, for example after a restart, it computes the time from
    /// the fill's start time in the log, which was taken from the leader's clock: the fill may have started long ago,
    /// and must not count as just started in the planner's time windows.
    pub(in crate::control_loop) fn note_started_fills(&mut self) {
        let (now, fills) = (monotonic_seconds(), &mut self.version_fills);
        let ledger = self.traffic.balances.ledger();
        let at_start = fills.first_seen_at.is_empty();
        for started in ledger.started_fills() {
            let age = if at_start { (unix_seconds() - started.at as f64).max(0.0) } else { 0.0 };
            fills.first_seen_at.entry(StartedFillKey::from(started)).or_insert(now - age);
        }
        fills.first_seen_at.retain(|fill, _| ledger.has_started(&fill.id, &fill.source_partner));
    }

    /// If this broker has just become the leader, resumes the fills that the previous leader started, and counts them
    /// in the planner's time windows.
    pub(super) fn resume_started_fills(&mut self, demands: &[FillDemand], now: f64) {
        let fills = &mut self.version_fills;
        if std::mem::replace(&mut fills.is_leading, true) {
            return;
        }
        let mut resumed = Vec::new();
        for started in self.traffic.balances.ledger().started_fills() {
            let started_at = fills.first_seen_at.get(&StartedFillKey::from(started)).copied().unwrap_or(now);
            let fill = started.fill();
            fills.planner.resume(&fill, started_at, false);
            // A started fill that is no longer required is not resumed, but still counts in the planner's time windows.
            if demands.iter().any(|demand| demand.id() == started.id) {
                resumed.push(fill);
            }
        }
        if !resumed.is_empty() {
            info!("fleet: resuming {} fills of the previous leader", resumed.len());
        }
        fills.resume(resumed, now);
    }

    /// Proposes log entries for the fills that are about to start, so that the next leader knows of them.
    pub(super) fn propose_fill_starts(&mut self, now: f64) {
        let ledger = self.traffic.balances.ledger();
        let mut due = Vec::new();
        for active in self.version_fills.active.values_mut().filter(|active| active.result.is_none()) {
            if has_started(ledger, &active.progress.fill) {
                continue;
            }
            // The entry may be committed at any time. The next review is due at once, so that the fill starts soon
            // after the commit.
            self.version_fills.next_review_at = now;
            if now >= active.next_start_entry_at {
                active.next_start_entry_at = now + ENTRY_RETRY_SECONDS;
                due.push(active.progress.fill.clone());
            }
        }
        for fill in due {
            let started = StartedFill::new(&fill, unix_seconds() as u64);
            let _ = self.propose_settlement(SettlementEntry::StartFill(started));
        }
        self.apply_voter_entries();
    }

    /// Proposes the settlement and then the completion of each finished fill, repeatedly until the log has both. In
    /// this order a crash between the two proposals is harmless: the fill is still required, so the next leader
    /// requests it again, and the fill service responds at once because the fill is done.
    pub(super) fn propose_finished_fills(&mut self) {
        for (fill, result) in self.due_finished_fills() {
            let settled = match self.settlement_of(&fill, &result) {
                Some(settlement) => self.propose_settlement(SettlementEntry::Settle(settlement)),
                None => Ok(()),
            };
            if self.reach_crash_point(CrashPoint::SettlementProposed) {
                return;
            }
            let completed = match settled {
                Ok(()) | Err(Rejection::AlreadySettled(_)) => self.propose_completed_fill(&fill),
                Err(Rejection::Settlement(why)) => {
                    self.on_settlement_refused(&fill, &why);
                    self.propose_completed_fill(&fill)
                }
                Err(e) => Err(e),
            };
            if let Err(why) = completed
                && !matches!(why, Rejection::FillNotNeeded { .. } | Rejection::NotLeader(_))
            {
                warn!("fleet: fill {}: {why} ({})", fill.id, why.help());
            }
        }
    }

    /// Finished fills whose completion is due to be proposed.
    fn due_finished_fills(&mut self) -> Vec<(Fill, FillResult)> {
        let now = monotonic_seconds();
        let mut due = Vec::new();
        for active in self.version_fills.active.values_mut() {
            if now >= active.next_completion_entry_at
                && let Some(result) = active.result.clone()
            {
                active.next_completion_entry_at = now + ENTRY_RETRY_SECONDS;
                due.push((active.progress.fill.clone(), result));
            }
        }
        due
    }

    /// Proposes the log entry that the fill is completed.
    fn propose_completed_fill(&mut self, fill: &Fill) -> Result<(), Rejection> {
        let (segment, holder) = (fill.segment, fill.node.clone());
        self.propose(Command::FillCompleted { number: self.version_fills.version, segment, holder })
    }

    /// Handles a settlement that is refused permanently, because the share is spent or the fill is already settled. The
    /// fill is completed nevertheless, as the segment is already copied.
    fn on_settlement_refused(&mut self, fill: &Fill, why: &SettlementError) {
        info!("fleet: fill {}: settlement refused: {why} ({})", fill.id, why.help());
        self.version_fills.planner.settlement_rejected(&fill.id);
        if let Some(active) = self.version_fills.active.get_mut(&fill.id) {
            active.settlement_refused = !self.traffic.balances.ledger().is_settled(&fill.id);
        }
    }

    /// The settlement of a finished fill, recomputed if the segment was copied from another source than planned. `None`
    /// if the fill settles nothing.
    fn settlement_of(&self, fill: &Fill, result: &FillResult) -> Option<Settlement> {
        if result.source == fill.source {
            return fill.settles.clone();
        }
        let transition = self.voter.as_ref()?.state().map_transition()?;
        let keys = transition.to().segment(fill.segment)?.keys;
        let mut old_replicas = transition.from().overlapping(keys).flat_map(|old| &old.replicas);
        let from = old_replicas.find(|replica| replica.node == result.source)?.partner.clone();
        let fill = Fill { source: result.source.clone(), from, bytes: result.bytes, ..fill.clone() };
        let bytes = fill.bytes.min(self.traffic.balances.net_debt(&fill.from, &fill.to));
        if bytes == 0 {
            return None;
        }
        Settlement::new(&fill, LOG_SHARE_HOLDER, &fill.from, &fill.to, bytes).ok()
    }
}

/// Whether the log has an entry that the fill has started from its source's partner.
pub(super) fn has_started(ledger: &SettlementLedger, fill: &Fill) -> bool {
    ledger.has_started(&fill.id, &fill.from)
}
