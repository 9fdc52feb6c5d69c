//! Bounds that the fleet shares: what this broker needs of them goes out with its questions, and the leader plans.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use dunepond_consensus::{ActiveConfig, Command};
use dunepond_quota::{DemandReport, LocalQuota, PlannerConfig, QuotaEntry, SharedQuotas, next_entry};
use tracing::{debug, info};

use super::Host;
use crate::record::AuditEvent;

/// In leases: between two looks at what is needed; and after an entry that only says who is there, before the next.
const LOOK: f64 = 0.1;

pub struct Limiting {
    bounds: SharedQuotas,
    own: LocalQuota,
    planning: PlannerConfig,
    every: f64,
    lease: f64,
    needs: Arc<ArcSwap<BTreeMap<String, u32>>>,
    reported: f64,
    planned: f64,
}

impl Limiting {
    pub fn new(
        bounds: SharedQuotas,
        every: f64,
        lease: f64,
        needs: Arc<ArcSwap<BTreeMap<String, u32>>>,
        now: f64,
    ) -> Self {
        let (own, planning) = (LocalQuota::new(&bounds, now), PlannerConfig::for_lease(lease));
        Self { bounds, own, planning, every, lease, needs, reported: f64::NEG_INFINITY, planned: 0.0 }
    }

    /// For the record.
    pub fn act(&self, acting: &ActiveConfig, until: f64) -> AuditEvent {
        let told = acting.quota(until).allocation;
        AuditEvent::Share {
            generation: told.map_or(0, |told| told.generation),
            counted: told.is_none_or(|told| told.admitted),
            floor: told.map_or(self.own.floor_units, |told| told.floor_units.min(self.own.floor_units)),
            parts: told.map(|told| told.leased_units.clone()).unwrap_or_default(),
            from: self.own.started_at + self.own.window_seconds,
            until,
            window: self.own.window_seconds,
        }
    }
}

impl Host {
    pub(super) fn report_needs(&mut self, now: f64) {
        let Some(limiting) = &mut self.limiting else { return };
        if now >= limiting.reported + LOOK * limiting.lease {
            limiting.reported = now;
            let needs = (**limiting.needs.load()).clone();
            self.member.set_demand_report(Some(DemandReport {
                shrunk_generation: 0,
                shared: limiting.bounds.clone(),
                demand_units: needs,
            }));
        }
    }

    /// At the leader: who gets how much from now on.
    pub(super) fn plan_limits(&mut self, now: f64) {
        let (Some(limiting), Some(voter)) = (&mut self.limiting, &self.voter) else { return };
        if now < limiting.planned {
            return;
        }
        limiting.planned = now + LOOK * limiting.lease;
        let Some((heard, led)) = voter.demand_reports(now) else { return };
        let ledger = &voter.state().quota;
        let Some(entry) = next_entry(ledger, &limiting.bounds, &heard, led, &limiting.planning) else {
            return;
        };
        match &entry {
            QuotaEntry::SetShares { shares } => {
                limiting.planned = now + limiting.every;
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
