//! The leader's decision, by its clock, that a share that shrank is only used at its new size.

use std::collections::BTreeMap;

use dunepond_quota::{BrokerRun, QuotaEntry, ReceivedReport, ReuseDelays, reusable_from};

use super::Voter;
use super::leader_watch::SeenShrink;
use crate::Command;

impl Voter {
    /// Applies the drift of the two configurations, and returns the larger result, so that no wait is too short.
    fn with_drift(&self, seconds: f64) -> f64 {
        self.config.with_drift(seconds).max(self.state.config.with_drift(seconds))
    }

    /// Longest window of a shared quota, in seconds on this clock, including drift; 0 if no quota is shared.
    pub(super) fn quota_window_seconds(&self) -> f64 {
        let millis = self.state.quota.shared.as_ref().map_or(0, |shared| shared.window_millis);
        self.with_drift(millis as f64 / 1e3)
    }

    /// Longest time that an action may be in flight, in seconds on this clock.
    pub(super) fn action_seconds(&self) -> f64 {
        self.state.config.quiescence_seconds_for(0.0).max(self.config.quiescence_seconds_for(0.0))
    }

    /// The command that releases a share that its broker has stopped using, if there is one.
    pub(super) fn next_quota_release(&self, now: f64) -> Option<Command> {
        let lease = self.state.longest_lease_seconds.max(self.config.lease_seconds);
        let delays = ReuseDelays {
            lease_seconds: self.with_drift(lease),
            action_seconds: self.action_seconds(),
            window_seconds: self.quota_window_seconds(),
        };
        let is_over = |broker: &str, shrink: SeenShrink| now >= self.reusable_from(broker, shrink, delays);
        let mut shrinks = self.watch.quota_shrinks.iter();
        let (broker, shrink) = shrinks.find(|(broker, shrink)| is_over(broker, **shrink))?;
        let (broker, generation) = (broker.clone(), shrink.generation);
        Some(Command::Quota(QuotaEntry::Release { broker, generation }))
    }

    fn reusable_from(&self, broker: &str, shrink: SeenShrink, delays: ReuseDelays) -> f64 {
        let leases = self.lease_requests.granted.iter().filter(|((name, _), _)| name == broker);
        let runs = leases.map(|(_, lease)| BrokerRun {
            lease_over_at: lease.over_at,
            acknowledged_at: (lease.shrink.number >= shrink.generation).then_some(lease.shrink.at),
        });
        reusable_from(shrink.seen_at, self.watch.leading_since(), runs, delays)
    }

    /// The demand that brokers reported to this leader, and for how many seconds it has led; `None` if this voter does
    /// not lead.
    pub fn demand_reports(&self, now: f64) -> Option<(BTreeMap<String, ReceivedReport>, f64)> {
        let since = self.watch.leading_since().filter(|_| self.is_leader())?;
        let reports = self.lease_requests.reports.iter();
        let received = reports.map(|(broker, timed)| {
            let age_seconds = now - timed.received_at;
            (broker.clone(), ReceivedReport { report: timed.report.clone(), age_seconds })
        });
        Some((received.collect(), now - since))
    }
}
