//! When a part that went down is all that its broker uses: the leader's word, by its clock.

use std::collections::BTreeMap;

use dunepond_quota::{BrokerRun, QuotaEntry, QuotaLedger, ReceivedReport, ReuseDelays, reusable_from};

use super::Voter;
use super::chores::Watch;
use crate::Command;
use crate::state::Item;

impl Watch {
    /// Shrinks that are waited for, each since it was seen first.
    pub fn saw_limits(&mut self, now: f64, ledger: &QuotaLedger) {
        let waiting = ledger.brokers.iter().filter(|(_, seat)| seat.awaits_release());
        let seen = waiting.map(|(broker, seat)| {
            let before = self.shrunk.get(broker).filter(|(shrunk, _)| *shrunk == seat.shrunk_generation);
            (broker.clone(), before.copied().unwrap_or((seat.shrunk_generation, now)))
        });
        self.shrunk = seen.collect();
    }
}

impl Voter {
    /// The longest window of a bound that the fleet shares, seconds on this clock, drift included; 0 where it shares none.
    pub(super) fn limits_window(&self) -> f64 {
        let seconds =
            self.state.quota.shared.as_ref().map_or(0.0, |bounds| bounds.window_millis as f64 / 1e3);
        self.terms.with_drift(seconds).max(self.state.config.with_drift(seconds))
    }

    /// A broker that has let go of what it had, as far as the ledger does not know it yet.
    pub(super) fn limit_to_settle(&self, now: f64) -> Option<Item> {
        let (own, agreed) = (&self.terms, &self.state.config);
        let at_most = |seconds: f64| own.with_drift(seconds).max(agreed.with_drift(seconds));
        let acts = own.quiescence_seconds_for(0.0).max(agreed.quiescence_seconds_for(0.0));
        let lease = at_most(self.state.longest_lease_seconds.max(own.lease_seconds));
        let waits =
            ReuseDelays { lease_seconds: lease, action_seconds: acts, window_seconds: self.limits_window() };
        let over = |(broker, (generation, seen)): (&String, &(u64, f64))| {
            let runs = self.asks.granted.iter().filter(|((name, _), _)| name == broker);
            let runs = runs.map(|(_, granted)| BrokerRun {
                lease_over_at: granted.over,
                acknowledged_at: (granted.shrunk.0 >= *generation).then_some(granted.shrunk.1),
            });
            now >= reusable_from(*seen, self.watch.led_since(), runs, waits)
        };
        let (broker, (generation, _)) = self.watch.shrunk.iter().find(|waiting| over(*waiting))?;
        let entry = QuotaEntry::Release { broker: broker.clone(), generation: *generation };
        Some(Item::Entry(Command::Quota(entry)))
    }

    /// What brokers reported to this leader, and for how many seconds it has led; nothing where it does not.
    pub fn demand_reports(&self, now: f64) -> Option<(BTreeMap<String, ReceivedReport>, f64)> {
        let led = self.watch.led_since().filter(|_| self.is_leader())?;
        let reports = self.asks.reports.iter();
        let heard = reports.map(|(broker, (report, at))| {
            (broker.clone(), ReceivedReport { report: report.clone(), age_seconds: now - at })
        });
        Some((heard.collect(), now - led))
    }
}
