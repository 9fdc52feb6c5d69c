//! The loop's part in background work, and its counters.

use std::time::Instant;

use dunepond_background::{Cost, Finished, Kind, Outcome, Priority, Spec};
use tracing::{debug, info};

use super::World;
use crate::clock::Due;
use crate::control_plane::Fleet;
use crate::prefilter::Asking;

/// The name of audits among background work; one that has waited so long has met its end, as the content will have moved.
const AUDIT: &str = "audit";
const AUDIT_LIFE: f64 = 5.0;

fn audit(now: f64) -> Spec {
    Spec {
        name: AUDIT,
        priority: Priority::Idle,
        kind: Kind::Step,
        cost: Cost::default(),
        not_before: now,
        deadline: Some(now + AUDIT_LIFE),
        retry: None,
    }
}

impl World {
    pub(super) fn work_ended(&mut self, finished: Finished) {
        let now = self.tick();
        self.background.finished(now, finished);
        let failed = finished.outcome == Outcome::Failed;
        if let Some(keeping) = &mut self.keeping {
            keeping.ended(now, finished.id, failed, &mut self.background);
        }
    }

    /// Background work: blocking jobs go to the pool, and a step runs where the loop has nothing else to do.
    pub(super) fn work(&mut self, calm: bool) {
        let now = self.desk.now;
        if !self.audit && self.asking.as_ref().is_some_and(Asking::has_audits) {
            self.audit = true;
            self.background.add(now, audit(now));
        }
        while let Some(given) = self.background.next(now, calm) {
            if given.kind == Kind::Blocking {
                if let (Some(keeping), Some(pool)) = (&mut self.keeping, self.background.pool()) {
                    keeping.run(given.id, given.name, now, &mut self.broker, &self.desk, pool);
                }
                continue;
            }
            let began = Instant::now();
            let mut outcome = Outcome::Done;
            if let Some(asking) = &mut self.asking {
                asking.audit(&mut self.broker, &mut self.desk);
                if asking.has_audits() {
                    outcome = Outcome::More;
                }
            }
            self.audit = outcome == Outcome::More;
            self.settle();
            self.background.stepped(now, given.id, outcome, began.elapsed().as_secs_f64());
        }
        for (id, name) in self.background.dropped() {
            debug!("{name} will not be done");
            self.audit &= name != AUDIT;
            if let Some(keeping) = &mut self.keeping {
                keeping.ended(now, id, false, &mut self.background);
            }
        }
        self.background.arm(now, &mut self.desk.alarms);
    }

    pub(super) fn report(&mut self) {
        let now = self.desk.now;
        if let Some(every) = self.operator.counters_every {
            self.desk.alarms.set(now + every, Due::Counters);
            let copied = self.desk.servers.copied;
            self.desk.report(copied);
            self.asking.iter().for_each(|asking| asking.report(now));
            self.desk.fleet.iter().for_each(Fleet::report);
            let work = self.background.report();
            if !work.is_empty() {
                info!(work, "background counters");
            }
        }
    }
}
