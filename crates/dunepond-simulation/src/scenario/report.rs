//! Figures of a run.

use crate::fleet::BrokerLoad;

/// How often a kind of fault came.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultCount {
    /// Name of the kind.
    pub kind: &'static str,
    /// How often it came; at least once.
    pub count: usize,
}

/// What came of a run. Times in simulated seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScenarioReport {
    /// From the commit of a version until every broker that acts acts on it alone; versions without fills or stage.
    pub rollout_seconds: Vec<f64>,
    /// As `rollout_seconds`, for versions with fills or a stage.
    pub slow_rollout_seconds: Vec<f64>,
    /// The longest that anybody acted on a version alone after the next was committed.
    pub longest_alone_seconds: f64,
    /// Upper limit of `longest_alone_seconds`, by the configuration.
    pub switch_bound_seconds: f64,
    /// From the end of each fill until its settlement was committed.
    pub settlement_seconds: Vec<f64>,
    /// From the commit of a settlement until a broker learned of it, for each broker.
    pub notice_seconds: Vec<f64>,
    /// Versions that were activated.
    pub activated: usize,
    /// Versions that were withdrawn.
    pub withdrawn: usize,
    /// Proposals that the leader rejected.
    pub rejected: usize,
    /// Committed settlements.
    pub settlements: usize,
    /// Complete fills with a settlement.
    pub fills: usize,
    /// Faults by kind, in the order in which the kinds first came.
    pub faults: Vec<FaultCount>,
    /// Length of the steady part, which is measured.
    pub measured_seconds: f64,
    /// Load of each broker over the steady part.
    pub loads: Vec<BrokerLoad>,
    /// The leader at the end of the steady part.
    pub leader: Option<usize>,
    /// Hash of the run, as [`crate::fleet::Fleet::trace`].
    pub trace: u64,
}

impl ScenarioReport {
    pub(super) fn count_fault(&mut self, kind: &'static str) {
        match self.faults.iter_mut().find(|fault| fault.kind == kind) {
            Some(fault) => fault.count += 1,
            None => self.faults.push(FaultCount { kind, count: 1 }),
        }
    }
}
