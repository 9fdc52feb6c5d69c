//! Figures of a scenario's run.

use crate::fleet::BrokerLoad;

/// How often faults of one kind were injected.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultCount {
    /// Name of the kind of fault.
    pub kind: &'static str,
    /// Number of faults of this kind; at least 1.
    pub count: usize,
}

/// Figures of a scenario's run. Times are in simulated seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScenarioReport {
    /// Time from the commit of each version until every acting broker acts on it or a later one alone, for versions
    /// without fills or a stage.
    pub rollout_seconds: Vec<f64>,
    /// Time from the commit of each version until every acting broker acts on it or a later one alone, for versions
    /// with fills or a stage.
    pub slow_rollout_seconds: Vec<f64>,
    /// Longest time for which a broker acted on a version alone after the next version was committed.
    pub longest_alone_seconds: f64,
    /// Upper limit of `longest_alone_seconds`, by the configuration.
    pub switch_bound_seconds: f64,
    /// Time from the end of each fill until its settlement was committed.
    pub settlement_seconds: Vec<f64>,
    /// Time from the commit of each settlement until a broker learned of it, for each broker.
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
    /// Length of the measured steady part.
    pub measured_seconds: f64,
    /// Load of each broker during the steady part, by index.
    pub loads: Vec<BrokerLoad>,
    /// Index of the leader at the end of the steady part.
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
