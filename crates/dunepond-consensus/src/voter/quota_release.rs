//! Release of units that were taken from a broker's quota share. After a share shrinks, the broker may use the old
//! share until it adopts the new one or its lease ends. Queries that it sent before may be in flight after that, and
//! the units that they used count in the quota's window for some time. Once all of this has ended by the leader's
//! clock, the leader releases the units, so that they can be granted to other brokers.

use std::collections::BTreeMap;

use dunepond_quota::{LeasedProcess, QuotaEntry, ReceivedReport, ReuseDelays, reusable_from};

use super::Voter;
use super::observations::SeenShrink;
use crate::Command;

impl Voter {
    /// Lengthens a duration in seconds by the clock drift in the configuration in force, and by that in this broker's
    /// own file, and returns the larger result, so that no wait is too short.
    fn with_drift(&self, seconds: f64) -> f64 {
        self.config.with_drift(seconds).max(self.state.config.with_drift(seconds))
    }

    /// Duration of the shared quotas' window in seconds on this leader's clock, lengthened by the drift; 0 if no quota
    /// is shared.
    pub(super) fn quota_window_seconds(&self) -> f64 {
        let millis = self.state.quota.shared.as_ref().map_or(0, |shared| shared.window_millis);
        self.with_drift(millis as f64 / 1e3)
    }

    /// Longest time between a broker's check whether it may send a part and the end of the query, in seconds on this
    /// leader's clock.
    pub(super) fn action_seconds(&self) -> f64 {
        self.state.config.quiescence_seconds_for(0.0).max(self.config.quiescence_seconds_for(0.0))
    }

    /// The command that releases the units taken from a broker's shrunk quota share, once the broker's use of them has
    /// ended and no longer counts in the quota's window; `None` if there are no such units.
    pub(super) fn next_quota_release(&self, now: f64) -> Option<Command> {
        let lease = self.state.longest_lease_seconds.max(self.config.lease_seconds);
        let delays = ReuseDelays {
            lease_seconds: self.with_drift(lease),
            action_seconds: self.action_seconds(),
            window_seconds: self.quota_window_seconds(),
        };
        let is_released =
            |broker: &str, shrink: SeenShrink| now >= self.reusable_from(broker, shrink, delays);
        let mut shrinks = self.observations.quota_shrinks.iter();
        let (broker, shrink) = shrinks.find(|(broker, shrink)| is_released(broker, **shrink))?;
        let (broker, generation) = (broker.clone(), shrink.generation);
        Some(Command::Quota(QuotaEntry::Release { broker, generation }))
    }

    /// The time on this leader's clock from which the units taken from a broker's shrunk quota share can be granted to
    /// other brokers.
    fn reusable_from(&self, broker: &str, shrink: SeenShrink, delays: ReuseDelays) -> f64 {
        let leases = self.lease_requests.granted.iter().filter(|((name, _), _)| name == broker);
        let processes = leases.map(|(_, lease)| LeasedProcess {
            lease_over_at: lease.over_at,
            acknowledged_at: (lease.shrink.number >= shrink.generation).then_some(lease.shrink.at),
        });
        reusable_from(shrink.seen_at, self.observations.leading_since(), processes, delays)
    }

    /// The last demand report of each broker, by name, and the seconds for which this voter has led; `None` if it does not
    /// lead.
    pub fn demand_reports(&self, now: f64) -> Option<(BTreeMap<String, ReceivedReport>, f64)> {
        let since = self.observations.leading_since().filter(|_| self.is_leader())?;
        let reports = self.lease_requests.reports.iter();
        let received = reports.map(|(broker, timed)| {
            let age_seconds = now - timed.received_at;
            (broker.clone(), ReceivedReport { report: timed.report.clone(), age_seconds })
        });
        Some((received.collect(), now - since))
    }
}
