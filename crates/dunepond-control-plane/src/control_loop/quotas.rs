//! Fleet-wide quotas: this broker's demand goes out with its lease requests, and the leader plans the shares.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use dunepond_consensus::{ActiveConfig, Command};
use dunepond_quota::{DemandReport, LocalQuota, PlannerConfig, QuotaEntry, SharedQuotas, next_entry};
use tracing::{debug, info};

use super::ControlLoop;
use crate::audit_log::AuditEvent;
use crate::config::QuotaConfig;

/// Interval, in leases, between two demand reports and between two plans.
const REVIEW_INTERVAL_LEASES: f64 = 0.1;

pub struct QuotaSharing {
    shared: SharedQuotas,
    local: LocalQuota,
    planning: PlannerConfig,
    plan_interval_seconds: f64,
    lease_seconds: f64,
    demand: Arc<ArcSwap<BTreeMap<String, u32>>>,
    reported_at: f64,
    next_plan_at: f64,
}

impl QuotaSharing {
    pub fn new(
        config: QuotaConfig,
        lease_seconds: f64,
        demand: Arc<ArcSwap<BTreeMap<String, u32>>>,
        now: f64,
    ) -> Self {
        Self {
            local: LocalQuota::new(&config.shared, now),
            shared: config.shared,
            planning: PlannerConfig::for_lease(lease_seconds),
            plan_interval_seconds: config.plan_interval_seconds,
            lease_seconds,
            demand,
            reported_at: f64::NEG_INFINITY,
            next_plan_at: 0.0,
        }
    }

    /// The event for the audit log.
    pub fn audit_event(&self, acting: &ActiveConfig, until: f64) -> AuditEvent {
        let told = acting.quota(until).allocation;
        AuditEvent::QuotaShare {
            generation: told.map_or(0, |told| told.generation),
            counted: told.is_none_or(|told| told.admitted),
            floor: told.map_or(self.local.floor_units, |told| told.floor_units.min(self.local.floor_units)),
            parts: told.map(|told| told.leased_units.clone()).unwrap_or_default(),
            from: self.local.started_at + self.local.window_seconds,
            until,
            window: self.local.window_seconds,
        }
    }
}

impl ControlLoop {
    pub(super) fn report_demand(&mut self, now: f64) {
        let Some(limiting) = &mut self.quotas else { return };
        if now >= limiting.reported_at + REVIEW_INTERVAL_LEASES * limiting.lease_seconds {
            limiting.reported_at = now;
            let needs = (**limiting.demand.load()).clone();
            self.member.set_demand_report(Some(DemandReport {
                shrunk_generation: 0,
                shared: limiting.shared.clone(),
                demand_units: needs,
            }));
        }
    }

    /// At the leader: proposes the next change of shares.
    pub(super) fn plan_quotas(&mut self, now: f64) {
        let (Some(limiting), Some(voter)) = (&mut self.quotas, &self.voter) else { return };
        if now < limiting.next_plan_at {
            return;
        }
        limiting.next_plan_at = now + REVIEW_INTERVAL_LEASES * limiting.lease_seconds;
        let Some((heard, led)) = voter.demand_reports(now) else { return };
        let ledger = &voter.state().quota;
        let Some(entry) = next_entry(ledger, &limiting.shared, &heard, led, &limiting.planning) else {
            return;
        };
        match &entry {
            QuotaEntry::SetShares { shares } => {
                limiting.next_plan_at = now + limiting.plan_interval_seconds;
                for part in shares {
                    let before =
                        ledger.brokers.get(&part.broker).map_or(0, |seat| seat.granted_units(&part.quota));
                    let need =
                        heard.get(&part.broker).and_then(|heard| heard.report.demand_units.get(&part.quota));
                    info!(
                        "fleet: limits: {} of {}: {} for {before} beyond the floor; it needs {}, {} are free",
                        part.quota,
                        part.broker,
                        part.units,
                        need.map_or("what is not known".to_string(), u32::to_string),
                        ledger.free_units(&part.quota)
                    );
                }
            }
            other => info!("fleet: limits: {other:?}"),
        }
        if let Err(why) = self.enter(Command::Quota(entry)) {
            debug!("fleet: limits: {why} ({})", why.help());
        }
    }
}
