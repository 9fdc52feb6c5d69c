//! Quotas that all brokers share: this broker reports its demand with its lease requests, and the leader plans the
//! brokers' shares.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use dunepond_consensus::{ActiveConfig, Command};
use dunepond_quota::{DemandReport, LocalQuota, PlannerConfig, QuotaEntry, SharedQuotas, next_entry};
use tracing::{debug, info};

use super::ControlLoop;
use crate::audit_log::AuditEvent;
use crate::config::QuotaConfig;

/// Interval between two demand reports, and between two reviews of the shares, as a multiple of the lease duration.
const REVIEW_INTERVAL_LEASES: f64 = 0.1;

/// State of the shared quotas at this broker.
pub struct QuotaSharing {
    shared: SharedQuotas,
    local: LocalQuota,
    planner: PlannerConfig,
    plan_interval_seconds: f64,
    review_interval_seconds: f64,
    /// This broker's demand in units, by quota. Set by the event loop.
    demand: Arc<ArcSwap<BTreeMap<String, u32>>>,
    /// When the demand is reported next.
    next_report_at: f64,
    /// When the shares are reviewed next, if this broker leads.
    next_plan_at: f64,
}

impl QuotaSharing {
    /// Creates the state of the quotas at `now`. `demand` is set by the event loop.
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

    /// The audit event with the units of the shared quotas that this broker may use from now on.
    pub fn audit_event(&self, config: &ActiveConfig, lease_expires_at: f64) -> AuditEvent {
        let (floor_units, usable_from) =
            (self.local.floor_units, self.local.started_at + self.local.window_seconds);
        let allocation = config.quota(lease_expires_at).allocation;
        AuditEvent::QuotaShare {
            generation: allocation.map_or(0, |allocation| allocation.generation),
            admitted: allocation.is_none_or(|allocation| allocation.admitted),
            floor_units: allocation.map_or(floor_units, |allocation| allocation.floor_units.min(floor_units)),
            leased_units: allocation.map(|allocation| allocation.leased_units.clone()).unwrap_or_default(),
            usable_from,
            lease_expires_at,
            window_seconds: self.local.window_seconds,
        }
    }
}

impl ControlLoop {
    /// Passes this broker's demand to the lease client, which sends it with the next lease request.
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

    /// Proposes the next change of the quota allocation, if this broker leads and a review of the shares is due.
    pub(super) fn plan_quotas(&mut self, now: f64) {
        let (Some(quotas), Some(voter)) = (&mut self.quotas, &self.voter) else { return };
        if now < quotas.next_plan_at {
            return;
        }
        quotas.next_plan_at = now + quotas.review_interval_seconds;
        let Some((reports, leading_seconds)) = voter.demand_reports(now) else { return };
        let ledger = &voter.state().quota;
        let Some(entry) = next_entry(ledger, &quotas.shared, &reports, leading_seconds, &quotas.planner)
        else {
            return;
        };
        let QuotaEntry::SetShares { shares } = &entry else {
            info!("fleet: quotas: {entry:?}");
            return self.propose_quota(entry);
        };
        quotas.next_plan_at = now + quotas.plan_interval_seconds;
        for share in shares {
            let broker = ledger.brokers.get(&share.broker);
            let previous_units = broker.map_or(0, |broker| broker.granted_units(&share.quota));
            let report = reports.get(&share.broker);
            let demand = report.and_then(|report| report.report.demand_units.get(&share.quota));
            info!(
                "fleet: quotas: {} of {}: {} units above the floor, previously {previous_units}; \
                 demand {}, {} units free",
                share.quota,
                share.broker,
                share.units,
                demand.map_or("unknown".to_string(), u32::to_string),
                ledger.free_units(&share.quota)
            );
        }
        self.propose_quota(entry);
    }

    fn propose_quota(&mut self, entry: QuotaEntry) {
        if let Err(why) = self.propose(Command::Quota(entry)) {
            debug!("fleet: quotas: {why} ({})", why.help());
        }
    }
}
