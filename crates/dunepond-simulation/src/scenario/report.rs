//! Measurements of a scenario's run.

use crate::fleet::BrokerLoad;

/// How often faults of one kind were injected.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultCount {
    /// Name of the kind of fault.
    pub kind: &'static str,
    /// Number of faults of this kind that were injected; at least 1.
    pub count: usize,
}

/// Measurements of a scenario's run. Times are in simulated seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScenarioReport {
    /// Time from the commit of a version's proposal until all brokers that act on any version act only on this or later
    /// versions, for each version that neither requires fills nor has a first stage.
    pub rollout_seconds: Vec<f64>,
    /// Time from the commit of a version's proposal until all brokers that act on any version act only on this or later
    /// versions, for each version that requires fills or has a first stage.
    pub slow_rollout_seconds: Vec<f64>,
    /// Longest time from the commit of a version's proposal until no broker acted only on the previous version any more.
    pub longest_alone_seconds: f64,
    /// The configured upper limit of `longest_alone_seconds`.
    pub switch_bound_seconds: f64,
    /// Time from the end of each fill until the fill's settlement was committed.
    pub settlement_seconds: Vec<f64>,
    /// Times from the commit of a settlement until a broker learned of it, one for each settlement and broker.
    pub notice_seconds: Vec<f64>,
    /// Number of versions that were activated.
    pub activated: usize,
    /// Number of versions that were withdrawn.
    pub withdrawn: usize,
    /// Number of versions that could not be proposed, because the leader rejected them or there was no leader.
    pub rejected: usize,
    /// Number of committed settlements.
    pub settlements: usize,
    /// Number of complete fills with a settlement.
    pub fills: usize,
    /// Number of faults by kind, in the order in which the kinds first occurred.
    pub faults: Vec<FaultCount>,
    /// Length of the steady part of the run (the part without faults), in which `loads` is measured.
    pub measured_seconds: f64,
    /// Load of each broker during the steady part of the run (the part without faults), by index of the broker.
    pub loads: Vec<BrokerLoad>,
    /// Index of the leader at the end of the steady part of the run (the part without faults).
    pub leader: Option<usize>,
    /// Hash of the run; see [`crate::fleet::Fleet::trace`].
    pub trace: u64,
}

impl ScenarioReport {
    /// Counts a fault of this kind.
    pub(super) fn count_fault(&mut self, kind: &'static str) {
        match self.faults.iter_mut().find(|fault| fault.kind == kind) {
            Some(fault) => fault.count += 1,
            None => self.faults.push(FaultCount { kind, count: 1 }),
        }
    }
}
