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

/// Interval between two demand reports and between two reviews of the shares, in leases.
const REVIEW_INTERVAL_LEASES: f64 = 0.1;

/// What this broker knows of the shared quotas.
pub struct QuotaSharing {
    shared: SharedQuotas,
    local: LocalQuota,
    planner: PlannerConfig,
    plan_interval_seconds: f64,
    review_interval_seconds: f64,
    /// Units that the event loop would use, by quota.
    demand: Arc<ArcSwap<BTreeMap<String, u32>>>,
    next_report_at: f64,
    next_plan_at: f64,
}

impl QuotaSharing {
    /// `demand` is filled by the event loop.
    pub fn new(
        config: QuotaConfig,
        lease_seconds: f64,
        demand: Arc<ArcSwap<BTreeMap<String, u32>>>,
        now: f64,
    ) -> Self {
        Self {
            local: LocalQuota::new(&config.shared, now),
            shared: config.shared,
            planner: PlannerConfig::for_lease(lease_seconds),
            plan_interval_seconds: config.plan_interval_seconds,
            review_interval_seconds: REVIEW_INTERVAL_LEASES * lease_seconds,
            demand,
            next_report_at: f64::NEG_INFINITY,
            next_plan_at: 0.0,
        }
    }

    /// What this broker may use from now on, for the audit log.
    pub fn audit_event(&self, config: &ActiveConfig, lease_expires_at: f64) -> AuditEvent {
        let (floor_units, usable_from) =
            (self.local.floor_units, self.local.started_at + self.local.window_seconds);
        let allocation = config.quota(lease_expires_at).allocation;
        AuditEvent::QuotaShare {
            generation: allocation.map_or(0, |it| it.generation),
            admitted: allocation.is_none_or(|it| it.admitted),
            floor_units: allocation.map_or(floor_units, |it| it.floor_units.min(floor_units)),
            leased_units: allocation.map(|it| it.leased_units.clone()).unwrap_or_default(),
            usable_from,
            lease_expires_at,
            window_seconds: self.local.window_seconds,
        }
    }
}

impl ControlLoop {
    /// Hands this broker's demand to the lease client, which sends it with the next request.
    pub(super) fn report_demand(&mut self, now: f64) {
        let Some(quotas) = &mut self.quotas else { return };
        if now < quotas.next_report_at {
            return;
        }
        quotas.next_report_at = now + quotas.review_interval_seconds;
        self.lease_client.set_demand_report(Some(DemandReport {
            shrunk_generation: 0,
            shared: quotas.shared.clone(),
            demand_units: (**quotas.demand.load()).clone(),
        }));
    }

    /// At the leader: enters the next change of shares.
    pub(super) fn plan_quotas(&mut self, now: f64) {
        let (Some(quotas), Some(voter)) = (&mut self.quotas, &self.voter) else { return };
        if now < quotas.next_plan_at {
            return;
        }
        quotas.next_plan_at = now + quotas.review_interval_seconds;
        let Some((reports, led)) = voter.demand_reports(now) else { return };
        let ledger = &voter.state().quota;
        let Some(entry) = next_entry(ledger, &quotas.shared, &reports, led, &quotas.planner) else {
            return;
        };
        let QuotaEntry::SetShares { shares } = &entry else {
            info!("fleet: limits: {entry:?}");
            return self.propose_quota(entry);
        };
        quotas.next_plan_at = now + quotas.plan_interval_seconds;
        for share in shares {
            let broker = ledger.brokers.get(&share.broker);
            let before = broker.map_or(0, |broker| broker.granted_units(&share.quota));
            let report = reports.get(&share.broker);
            let demand = report.and_then(|report| report.report.demand_units.get(&share.quota));
            info!(
                "fleet: limits: {} of {}: {} for {before} beyond the floor; it needs {}, {} are free",
                share.quota,
                share.broker,
                share.units,
                demand.map_or("what is not known".to_string(), u32::to_string),
                ledger.free_units(&share.quota)
            );
        }
        self.propose_quota(entry);
    }

    fn propose_quota(&mut self, entry: QuotaEntry) {
        if let Err(why) = self.propose(Command::Quota(entry)) {
            debug!("fleet: limits: {why} ({})", why.help());
        }
    }
}
