//! Detects clocks that break the configured drift. Leases are only safe while every clock keeps to it.

use crate::{ConsensusConfig, LeaseGrant, Rejection};

/// Number of leases between the two grants of one leader by which clocks are compared.
const SAMPLE_LEASES: f64 = 3.0;

/// When a grant's request was sent by this broker's clock, and received by the leader's clock.
#[derive(Clone)]
pub(super) struct ClockSample {
    leader: String,
    leader_run: u64,
    received_at: f64,
    sent_at: f64,
}

impl ClockSample {
    pub fn new(grant: &LeaseGrant, sent_at: f64) -> Self {
        Self {
            leader: grant.leader.clone(),
            leader_run: grant.leader_run,
            received_at: grant.received_at,
            sent_at,
        }
    }

    /// Whether both samples are from the same start of the same leader, so that one clock measured both.
    fn same_clock(&self, other: &Self) -> bool {
        self.leader == other.leader && self.leader_run == other.leader_run
    }
}

struct LeaderDistrust {
    sample: ClockSample,
    reason: Rejection,
}

pub(super) struct ClockGuard {
    last: f64,
    earlier: Option<ClockSample>,
    /// Why no lease of any leader is accepted in this run.
    own_distrust: Option<Rejection>,
    /// Why leases of one leader's run are not accepted.
    leader_distrust: Option<LeaderDistrust>,
}

impl ClockGuard {
    pub fn new(now: f64) -> Self {
        Self { last: now, earlier: None, own_distrust: None, leader_distrust: None }
    }

    /// The latest clock reading.
    pub fn last(&self) -> f64 {
        self.last
    }

    /// Records a reading, and returns whether the clock went back for the first time. That ends all trust in it for
    /// this run.
    pub fn observe(&mut self, now: f64) -> bool {
        let went_back = now < self.last && self.own_distrust.is_none();
        if went_back {
            self.own_distrust = Some(Rejection::ClockWentBack { from: self.last, to: now });
        }
        self.last = self.last.max(now);
        went_back
    }

    pub fn distrust_reason(&self) -> Option<&Rejection> {
        self.own_distrust.as_ref().or(self.leader_distrust.as_ref().map(|distrust| &distrust.reason))
    }

    pub fn check_trusted(&self) -> Result<(), Rejection> {
        self.own_distrust.clone().map_or(Ok(()), Err)
    }

    pub fn trusts(&self, sample: &ClockSample) -> bool {
        !self.leader_distrust.as_ref().is_some_and(|distrust| distrust.sample.same_clock(sample))
    }

    /// Compares the clocks by two grants of one leader, which bound how far they are apart. Only the dangerous
    /// direction is rejected: this clock is slow (leases last too long) or the leader's is fast (its wait is too
    /// short). It is not possible to tell here which of the two is wrong, so another leader is trusted until it
    /// differs, too.
    pub fn compare(
        &mut self,
        now: f64,
        sample: ClockSample,
        config: &ConsensusConfig,
    ) -> Result<(), Rejection> {
        match &self.leader_distrust {
            Some(distrust) if distrust.sample.same_clock(&sample) => return Err(distrust.reason.clone()),
            _ => self.leader_distrust = None,
        }
        let Some(earlier) = self.earlier.as_ref().filter(|earlier| earlier.same_clock(&sample)) else {
            self.earlier = Some(sample);
            return Ok(());
        };
        // Measured from before the first request until after the last reply, so it covers more than the leader
        // measured.
        let here = now - earlier.sent_at;
        let there = sample.received_at - earlier.received_at;
        if config.with_drift(here) < there {
            let reason = Rejection::ClockDrift { here, there };
            self.leader_distrust = Some(LeaderDistrust { sample, reason: reason.clone() });
            return Err(reason);
        }
        if here > SAMPLE_LEASES * config.lease_seconds {
            self.earlier = Some(sample);
        }
        Ok(())
    }
}
