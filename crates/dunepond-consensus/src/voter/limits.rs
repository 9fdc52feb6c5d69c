//! When a part that went down is all that its broker uses: the leader's word, by its clock.

use std::collections::BTreeMap;

use dunepond_quota::{Agreed, Heard, Ledger, Run, Waits, settled_from};

use super::Voter;
use super::chores::Watch;
use crate::Entry;
use crate::state::Item;

impl Watch {
    /// Shrinks that are waited for, each since it was seen first.
    pub fn saw_limits(&mut self, now: f64, ledger: &Ledger) {
        let waiting = ledger.seats.iter().filter(|(_, seat)| seat.waits());
        let seen = waiting.map(|(broker, seat)| {
            let before = self.shrunk.get(broker).filter(|(shrunk, _)| *shrunk == seat.shrunk);
            (broker.clone(), before.copied().unwrap_or((seat.shrunk, now)))
        });
        self.shrunk = seen.collect();
    }
}

impl Voter {
    /// The longest window of a bound that the fleet shares, seconds on this clock, drift included; 0 where it shares none.
    pub(super) fn limits_window(&self) -> f64 {
        let seconds = self.state.limits.bounds.as_ref().map_or(0.0, |bounds| bounds.window as f64 / 1e3);
        self.terms.at_most(seconds).max(self.state.terms.at_most(seconds))
    }

    /// A broker that has let go of what it had, as far as the ledger does not know it yet.
    pub(super) fn limit_to_settle(&self, now: f64) -> Option<Item> {
        let (own, agreed) = (&self.terms, &self.state.terms);
        let at_most = |seconds: f64| own.at_most(seconds).max(agreed.at_most(seconds));
        let acts = own.waited(0.0).max(agreed.waited(0.0));
        let lease = at_most(self.state.longest_lease.max(own.lease));
        let waits = Waits { lease, acts, window: self.limits_window() };
        let over = |(broker, (generation, seen)): (&String, &(u64, f64))| {
            let runs = self.asks.granted.iter().filter(|((name, _), _)| name == broker);
            let runs = runs.map(|(_, granted)| Run {
                over: granted.over,
                acked: (granted.shrunk.0 >= *generation).then_some(granted.shrunk.1),
            });
            now >= settled_from(*seen, self.watch.led_since(), runs, waits)
        };
        let (broker, (generation, _)) = self.watch.shrunk.iter().find(|waiting| over(*waiting))?;
        let entry = Agreed::Settled { broker: broker.clone(), generation: *generation };
        Some(Item::Entry(Entry::Limit(entry)))
    }

    /// What brokers reported to this leader, and for how many seconds it has led; nothing where it does not.
    pub fn reports(&self, now: f64) -> Option<(BTreeMap<String, Heard>, f64)> {
        let led = self.watch.led_since().filter(|_| self.leads())?;
        let reports = self.asks.reports.iter();
        let heard = reports
            .map(|(broker, (report, at))| (broker.clone(), Heard { report: report.clone(), ago: now - at }));
        Some((heard.collect(), now - led))
    }
}
