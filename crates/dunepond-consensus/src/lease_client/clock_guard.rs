//! Detects clocks whose drift exceeds the configured limit. Leases are only safe while every clock stays within that
//! limit.

use crate::{ConsensusConfig, LeaseGrant, Rejection};

/// Age of [`ClockGuard::reference`], in lease durations, above which a newer sample replaces it.
const MAX_REFERENCE_AGE_LEASES: f64 = 3.0;

/// Two times of a granted lease request: when this broker sent it, on this broker's clock, and when the leader received
/// it, on the leader's clock.
#[derive(Clone)]
pub(super) struct ClockSample {
    leader: String,
    leader_run_id: u64,
    received_at: f64,
    sent_at: f64,
}

impl ClockSample {
    pub fn new(grant: &LeaseGrant, sent_at: f64) -> Self {
        Self {
            leader: grant.leader.clone(),
            leader_run_id: grant.leader_run_id,
            received_at: grant.received_at,
            sent_at,
        }
    }

    /// Whether both samples are from the same process of the same leader, so that `received_at` is from the same clock
    /// in both.
    fn same_clock(&self, other: &Self) -> bool {
        self.leader == other.leader && self.leader_run_id == other.leader_run_id
    }
}

/// A leader process whose leases are rejected because the rates of its clock and this broker's differ too much.
struct LeaderDistrust {
    sample: ClockSample,
    reason: Rejection,
}

/// Checks this broker's clock for readings that go back, and for drift against the leader's clock.
pub(super) struct ClockGuard {
    /// The latest reading of this broker's clock.
    last: f64,
    /// The sample of an earlier grant, with which the samples of later grants are compared.
    reference: Option<ClockSample>,
    /// Why the leases of all leaders are rejected until this process is restarted; `None` if this broker's clock never
    /// went back.
    own_distrust: Option<Rejection>,
    /// The leader process whose leases are rejected, and why; `None` if there is none.
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

    /// Why the leases of all leaders, or those of one leader process, are rejected; `None` if leases of every leader
    /// are accepted.
    pub fn distrust_reason(&self) -> Option<&Rejection> {
        self.own_distrust.as_ref().or(self.leader_distrust.as_ref().map(|distrust| &distrust.reason))
    }

    /// Returns an error if this broker's own clock has gone back.
    pub fn check_trusted(&self) -> Result<(), Rejection> {
        self.own_distrust.clone().map_or(Ok(()), Err)
    }

    /// Whether leases granted by the leader process of this sample are accepted.
    pub fn trusts(&self, sample: &ClockSample) -> bool {
        !self.leader_distrust.as_ref().is_some_and(|distrust| distrust.sample.same_clock(sample))
    }

    /// Compares the rates of this broker's clock and the leader's by two grants of the same leader process. Returns an
    /// error only for the unsafe difference: this broker's clock is slower, so that its leases last too long, or the
    /// leader's clock is faster, so that its waits are too short. The comparison cannot tell which of the two clocks is
    /// wrong, so another leader is trusted until its clock differs as well.
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
        // `local` spans from when the reference request was sent until the present reply arrived. The leader received
        // both requests within that time, so `leader` cannot be longer if both clocks run at the same rate.
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
