//! Bounds that the fleet shares: what this broker needs of them goes out with its questions, and the leader plans.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use dunepond_consensus::{Acting, Entry};
use dunepond_quota::{Agreed, Bounds, Own, Planning, Report, plan};
use tracing::{debug, info};

use super::Host;
use crate::record::Act;

/// In leases: between two looks at what is needed; and after an entry that only says who is there, before the next.
const LOOK: f64 = 0.1;

pub struct Limiting {
    bounds: Bounds,
    own: Own,
    planning: Planning,
    every: f64,
    lease: f64,
    needs: Arc<ArcSwap<BTreeMap<String, u32>>>,
    reported: f64,
    planned: f64,
}

impl Limiting {
    pub fn new(
        bounds: Bounds,
        every: f64,
        lease: f64,
        needs: Arc<ArcSwap<BTreeMap<String, u32>>>,
        now: f64,
    ) -> Self {
        let (own, planning) = (Own::new(&bounds, now), Planning::by(lease));
        Self { bounds, own, planning, every, lease, needs, reported: f64::NEG_INFINITY, planned: 0.0 }
    }

    /// For the record.
    pub fn act(&self, acting: &Acting, until: f64) -> Act {
        let told = acting.limits(until).told;
        Act::Share {
            generation: told.map_or(0, |told| told.generation),
            counted: told.is_none_or(|told| told.counted),
            floor: told.map_or(self.own.floor, |told| told.floor.min(self.own.floor)),
            parts: told.map(|told| told.parts.clone()).unwrap_or_default(),
            from: self.own.started + self.own.window,
            until,
            window: self.own.window,
        }
    }
}

impl Host {
    pub(super) fn report_needs(&mut self, now: f64) {
        let Some(limiting) = &mut self.limiting else { return };
        if now >= limiting.reported + LOOK * limiting.lease {
            limiting.reported = now;
            let needs = (**limiting.needs.load()).clone();
            self.member.report(Some(Report { shrunk: 0, bounds: limiting.bounds.clone(), needs }));
        }
    }

    /// At the leader: who gets how much from now on.
    pub(super) fn plan_limits(&mut self, now: f64) {
        let (Some(limiting), Some(voter)) = (&mut self.limiting, &self.voter) else { return };
        if now < limiting.planned {
            return;
        }
        limiting.planned = now + LOOK * limiting.lease;
        let Some((heard, led)) = voter.reports(now) else { return };
        let ledger = &voter.state().limits;
        let Some(entry) = plan(ledger, &limiting.bounds, &heard, led, &limiting.planning) else { return };
        match &entry {
            Agreed::Parts { parts } => {
                limiting.planned = now + limiting.every;
                for part in parts {
                    let before = ledger.seats.get(&part.broker).map_or(0, |seat| seat.now(&part.bound));
                    let need = heard.get(&part.broker).and_then(|heard| heard.report.needs.get(&part.bound));
                    info!(
                        "fleet: limits: {} of {}: {} for {before} beyond the floor; it needs {}, {} are free",
                        part.bound,
                        part.broker,
                        part.units,
                        need.map_or("what is not known".to_string(), u32::to_string),
                        ledger.free(&part.bound)
                    );
                }
            }
            other => info!("fleet: limits: {other:?}"),
        }
        if let Err(why) = self.enter(Entry::Limit(entry)) {
            debug!("fleet: limits: {why} ({})", why.help());
        }
    }
}
