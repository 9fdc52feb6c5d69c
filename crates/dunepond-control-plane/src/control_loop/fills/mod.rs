//! Fills of replicas, by two schedulers. The leader plans the fills that the map of the proposed configuration version
//! requires. Each broker plans fills of the nodes in slow start that it is responsible for ([`own`]). Attempts run on
//! their own threads ([`scheduler`]).
//!
//! A fill has the same id whichever broker plans it and however often it is planned. So the fill service responds at
//! once if a fill was already done before a crash, and a fill is settled only once. The leader adds a fill to the log
//! before the fill starts ([`log_entries`]), so that the next leader resumes the fill and counts it against the limits.

mod attempts;
mod demands;
mod log_entries;
mod own;
mod scheduler;
mod sources;

use std::collections::BTreeSet;

use dunepond_settlement::{FillDemand, FillPlan};

use super::ControlLoop;
use crate::clock::monotonic_seconds;
use crate::explain::Explanation;
pub use log_entries::LOG_SHARE_HOLDER;
pub use scheduler::{AttemptResult, FillKind, FillLimits, FillScheduler, FillService};

impl ControlLoop {
    fn scheduler(&mut self, kind: FillKind) -> &mut FillScheduler {
        match kind {
            FillKind::Version => &mut self.version_fills,
            FillKind::Own => &mut self.own_fills,
        }
    }

    /// Plans and advances the fills of the proposed version if this broker leads.
    pub(super) fn plan_version_fills(&mut self) {
        let now = monotonic_seconds();
        if !self.version_fills.start_review(now) {
            return;
        }
        let Some(demands) = self.version_fill_demands() else { return self.version_fills.abandon_all() };
        self.resume_started_fills(&demands, now);
        if demands.is_empty() && self.version_fills.active.is_empty() {
            return;
        }
        self.remove_unneeded_fills(&demands);
        self.plan_new_fills(FillKind::Version, demands, now);
        self.advance_fills(FillKind::Version, now);
    }

    /// Plans and advances this broker's own fills of nodes in slow start.
    pub(super) fn plan_own_fills(&mut self) {
        let now = monotonic_seconds();
        if !self.own_fills.start_review(now) {
            return;
        }
        let demands = self.own_fill_demands(now);
        if demands.is_empty() && self.own_fills.active.is_empty() {
            return;
        }
        self.plan_new_fills(FillKind::Own, demands, now);
        self.advance_fills(FillKind::Own, now);
    }

    /// Removes the fills of the proposed version that are completed in the log or no longer required. The bytes that a
    /// completed fill did not settle are counted as traffic between the partners.
    fn remove_unneeded_fills(&mut self, demands: &[FillDemand]) {
        let required: BTreeSet<_> = demands.iter().map(FillDemand::id).collect();
        let fills = &mut self.version_fills;
        let unneeded: Vec<_> = fills.active.keys().filter(|id| !required.contains(*id)).cloned().collect();
        for id in unneeded {
            let completed = fills.active.remove(&id).filter(|active| active.result.is_some());
            fills.planner.fill_ended(&id, completed.is_some());
            let Some(active) = completed else { continue };
            // The unsettled bytes are a new debt of the filled node's partner.
            let fill = active.progress.fill;
            let bytes = if active.settlement_refused { fill.bytes } else { fill.unsettled_bytes() };
            self.traffic.counts.record(&fill.from, &fill.to, bytes);
        }
    }

    /// Plans fills for the demands that have no active fill.
    fn plan_new_fills(&mut self, kind: FillKind, demands: Vec<FillDemand>, now: f64) {
        let active = &self.scheduler(kind).active;
        let new: Vec<_> = demands.into_iter().filter(|demand| !active.contains_key(&demand.id())).collect();
        if new.is_empty() {
            return;
        }
        for fill in self.run_planner(kind, &new, now).fills {
            if kind == FillKind::Own && !self.commit_fill(&fill) {
                self.own_fills.planner.fill_ended(&fill.id, false);
                continue;
            }
            let demand = new.iter().find(|demand| demand.id() == fill.id);
            Explanation::for_fill(&fill, demand, &self.traffic.balances).log();
            self.scheduler(kind).activate(fill, now);
        }
    }

    /// Runs the planner for fills of this kind, with the fraction of the fleet's limits that this broker may use for
    /// them (`capacity_ratio`).
    fn run_planner(&mut self, kind: FillKind, demands: &[FillDemand], now: f64) -> FillPlan {
        let capacity_ratio = self.capacity_ratio(kind);
        let slow_start = self.slow_start_capacity(now, kind);
        let balances = &self.traffic.balances;
        // Own fills are settled from this broker's shares. Fills of the proposed version are settled from the share of
        // [`LOG_SHARE_HOLDER`], which the planner takes from the ledger.
        let shares = (kind == FillKind::Own).then_some(&self.settlement.commitments.shares);
        let fills = match kind {
            FillKind::Version => &mut self.version_fills,
            FillKind::Own => &mut self.own_fills,
        };
        let links = &fills.limits.links;
        if capacity_ratio < 1.0 {
            let (balances, links) =
                (balances.with_limits_scaled(capacity_ratio), links.scaled(capacity_ratio));
            return fills.planner.plan(&balances, demands, &links, &slow_start, shares, now);
        }
        fills.planner.plan(balances, demands, links, &slow_start, shares, now)
    }
}
