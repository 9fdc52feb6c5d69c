//! Detects clocks that exceed the configured drift. Leases are only safe while no clock does.

use crate::{ConsensusConfig, LeaseGrant, Rejection};

/// Age of the reference sample, in lease durations, from which a newer sample replaces it.
const MAX_REFERENCE_AGE_LEASES: f64 = 3.0;

/// The times at which this broker sent the request for a grant, by its own clock, and the leader received it, by the
/// leader's clock.
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

    /// Whether both samples are from the same run of the same leader's process, so that one clock measured both.
    fn same_clock(&self, other: &Self) -> bool {
        self.leader == other.leader && self.leader_run == other.leader_run
    }
}

/// A run of a leader's process whose leases are not accepted because its clock and this broker's differ too much.
struct LeaderDistrust {
    sample: ClockSample,
    reason: Rejection,
}

/// Checks this broker's clock for readings that go back, and for drift against the leader's clock.
pub(super) struct ClockGuard {
    /// The latest reading of this broker's clock.
    last: f64,
    /// An earlier grant, against which the next ones are compared.
    reference: Option<ClockSample>,
    /// Why no lease of any leader is accepted until the process is restarted.
    own_distrust: Option<Rejection>,
    /// The run of a leader's process whose leases are not accepted, and why.
    leader_distrust: Option<LeaderDistrust>,
}

impl ClockGuard {
    pub fn new(now: f64) -> Self {
        Self { last: now, reference: None, own_distrust: None, leader_distrust: None }
    }

    /// The latest clock reading.
    pub fn last(&self) -> f64 {
        self.last
    }

    /// Records a clock reading. Returns `true` when the clock has gone back for the first time; from then on no lease is
    /// accepted until the process is restarted.
    pub fn observe(&mut self, now: f64) -> bool {
        let went_back = now < self.last && self.own_distrust.is_none();
        if went_back {
            self.own_distrust = Some(Rejection::ClockWentBack { from: self.last, to: now });
        }
        self.last = self.last.max(now);
        went_back
    }

    /// Why leases are not accepted, either those of all leaders or those of one run of a leader's process; `None` if
    /// all are accepted.
    pub fn distrust_reason(&self) -> Option<&Rejection> {
        self.own_distrust.as_ref().or(self.leader_distrust.as_ref().map(|distrust| &distrust.reason))
    }

    /// Returns an error if this broker's own clock has gone back.
    pub fn check_trusted(&self) -> Result<(), Rejection> {
        self.own_distrust.clone().map_or(Ok(()), Err)
    }

    /// Whether leases of the leader's run that granted this sample are accepted.
    pub fn trusts(&self, sample: &ClockSample) -> bool {
        !self.leader_distrust.as_ref().is_some_and(|distrust| distrust.sample.same_clock(sample))
    }

    /// Compares the rates of this broker's clock and the leader's by two grants of the same run of a leader. Only the
    /// unsafe direction is rejected: this clock is slow, so that leases last too long, or the leader's is fast, so that
    /// its waits are too short. The comparison cannot tell which of the two clocks is wrong, so another leader is trusted
    /// until its clock differs, too.
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
        let Some(reference) = self.reference.as_ref().filter(|reference| reference.same_clock(&sample))
        else {
            self.reference = Some(sample);
            return Ok(());
        };
        // Measured from before the first request until after the last reply, so it includes the whole interval that the
        // leader measured.
        let local = now - reference.sent_at;
        let leader = sample.received_at - reference.received_at;
        if config.with_drift(local) < leader {
            let reason = Rejection::ClockDrift { local, leader };
            self.leader_distrust = Some(LeaderDistrust { sample, reason: reason.clone() });
            return Err(reason);
        }
        if local > MAX_REFERENCE_AGE_LEASES * config.lease_seconds {
            self.reference = Some(sample);
        }
        Ok(())
    }
}
