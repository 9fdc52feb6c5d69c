//! Runs of a fleet of any size, determined by a seed. Faults are injected as they occur in operation, singly and
//! together, and the durations and the load of a run are measured. A run that ends without a panic has kept all
//! invariants.

mod config;
mod faults;
mod fill_simulation;
mod report;
mod topology;
mod versions;

use std::collections::BTreeSet;

use dunepond_consensus::{Command, ConfigPhase, Voter};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::event_queue::EventQueue;
use crate::fleet::{BrokerLoad, Fleet};
use faults::ScheduledEvent;
use fill_simulation::FillSimulation;
use versions::PendingVersion;

pub use config::ScenarioConfig;
pub use report::{FaultCount, ScenarioReport};
pub use topology::{Topology, config_version};

/// Upper limit of the random time in seconds between two faults.
const MAX_FAULT_PAUSE_SECONDS: f64 = 1.2;
/// Longest time in seconds that a fleet without faults may take until all brokers have leases. The same limit applies
/// to the activation of a version and to the end of an open version.
const MAX_RECOVERY_SECONDS: f64 = 30.0;
/// Number of turns (runs of its voter and lease client) that each broker takes during a lease, as on a real host.
const TURNS_PER_LEASE: f64 = 100.0;
/// Length of the warm-up before the load is measured in the steady part of a run (the part without faults), as a
/// multiple of the length of a lease.
const WARM_UP_LEASES: f64 = 2.0;
/// Time between the proposals of two configuration versions in the steady part of a run (the part without faults), as a
/// multiple of the length of a lease.
const VERSION_INTERVAL_LEASES: f64 = 3.0;
/// Probability that a version that is proposed in the steady part of a run (the part without faults) requires fills.
const STEADY_FILL_RATIO: f64 = 0.3;
/// Seconds between two attempts to withdraw an open version (one that is proposed and neither active nor withdrawn).
const END_STAGE_INTERVAL_SECONDS: f64 = 0.5;

/// A simulated run of a fleet.
pub struct Scenario {
    /// The simulated fleet, which is started when the scenario is created.
    pub fleet: Fleet,
    /// Configuration of the run.
    pub config: ScenarioConfig,
    /// Measurements of the run, recorded while it runs.
    pub report: ScenarioReport,
    topology: Topology,
    fill_simulation: FillSimulation,
    /// Events that faults have scheduled for later, such as their own ends.
    scheduled: EventQueue<ScheduledEvent>,
    rng: Pcg64Mcg,
    /// Versions that were proposed and that not all brokers act on yet.
    pending: Vec<PendingVersion>,
}

impl Scenario {
    /// Creates a scenario and starts its fleet.
    pub fn new(config: ScenarioConfig) -> Self {
        let topology = Topology::new(config.node_count, config.partner_count, config.segment_count);
        let consensus_config = config.consensus_config();
        let mut fleet = Fleet::with_config(
            &consensus_config,
            config.broker_count,
            topology.watched_segments(),
            config.seed,
        );
        fleet.turn_seconds = config.lease_seconds / TURNS_PER_LEASE;
        fleet.settlement_notices = Some(Vec::new());
        let report = ScenarioReport {
            switch_bound_seconds: consensus_config.switch_bound_seconds,
            ..ScenarioReport::default()
        };
        Self {
            fleet,
            report,
            topology,
            fill_simulation: FillSimulation::new(config.seed),
            scheduled: EventQueue::default(),
            rng: Pcg64Mcg::seed_from_u64(!config.seed),
            pending: Vec::new(),
            config,
        }
    }

    /// Proposes version 1 and runs until all brokers act on it.
    ///
    /// # Panics
    /// Some broker gets no lease in time, or does not act on version 1 in time.
    pub fn activate_first_version(&mut self) {
        let is_up = |fleet: &Fleet| fleet.leader().is_some() && fleet.all_have_leases();
        assert!(
            self.run_until(MAX_RECOVERY_SECONDS, is_up),
            "no leader, or brokers without a lease, after {MAX_RECOVERY_SECONDS} s"
        );
        let first = config_version(1, self.topology.map(1));
        self.propose(first).expect("the first version");
        let is_active = |fleet: &Fleet| fleet.all_in_phase(&ConfigPhase::Active(1));
        assert!(
            self.run_until(MAX_RECOVERY_SECONDS, is_active),
            "not all brokers act on version 1 after {MAX_RECOVERY_SECONDS} s"
        );
    }

    /// Runs the whole scenario: the activation of the first version, the steady part without faults, the part with
    /// faults, and the recovery. Returns the measurements of the run.
    ///
    /// # Panics
    /// An invariant is violated, or the fleet does not recover.
    pub fn run(mut self) -> ScenarioReport {
        self.activate_first_version();
        self.run_steadily();
        let end = self.fleet.now + self.config.fault_seconds;
        while self.fleet.now < end {
            self.inject_fault();
            let pause_seconds = self.rng.random_range(0.0..MAX_FAULT_PAUSE_SECONDS);
            self.run_for(pause_seconds);
        }
        if self.config.fault_seconds > 0.0 {
            self.recover();
        }
        self.finish()
    }

    /// Runs the steady part, in which the brokers' load is measured, nothing fails, and a version is proposed every few
    /// lease lengths.
    fn run_steadily(&mut self) {
        if self.config.steady_seconds <= 0.0 {
            return;
        }
        self.run_for(WARM_UP_LEASES * self.config.lease_seconds);
        let (start, loads_before) = (self.fleet.now, self.loads());
        let mut next_version_at = start;
        while self.fleet.now < start + self.config.steady_seconds {
            if self.fleet.now >= next_version_at {
                self.propose_next_version(STEADY_FILL_RATIO, 0.0);
                next_version_at += VERSION_INTERVAL_LEASES * self.config.lease_seconds;
            }
            self.step();
        }
        self.report.measured_seconds = self.fleet.now - start;
        let loads = self.loads().into_iter().zip(loads_before);
        self.report.loads = loads.map(|(load, before)| load.since(before)).collect();
        self.report.leader = self.fleet.leader();
    }

    /// Loads of all brokers since the start of the fleet.
    fn loads(&self) -> Vec<BrokerLoad> {
        self.fleet.brokers.iter().map(|broker| broker.load).collect()
    }

    /// Ends all faults and withdraws the open version. Checks that all brokers act on the next version, and that all
    /// voters vote again.
    fn recover(&mut self) {
        self.scheduled = EventQueue::default();
        self.heal();
        let is_up = |fleet: &Fleet| fleet.leader().is_some() && fleet.all_have_leases();
        assert!(
            self.run_until(MAX_RECOVERY_SECONDS, is_up),
            "{:.2}: not all brokers have leases again",
            self.fleet.now
        );
        self.end_open_version();
        let leader = self.fleet.leader().expect("a fleet with a leader");
        let next = self.fleet.state(leader).highest_number + 1;
        let map = self.topology.changed_map(self.fleet.state(leader), next, 0, &mut self.rng);
        self.propose(config_version(next, map)).expect("the next version");
        let is_active = |fleet: &Fleet| fleet.all_in_phase(&ConfigPhase::Active(next));
        let is_activated = self.run_until(MAX_RECOVERY_SECONDS, is_active);
        let phases: Vec<_> = (0..self.config.broker_count).map(|n| self.fleet.phase(n)).collect();
        assert!(is_activated, "{:.2}: not all brokers act on version {next}: {phases:?}", self.fleet.now);
        for n in 0..self.config.voter_count {
            let has_state = self.fleet.brokers[n].voter.as_ref().is_some_and(Voter::has_state);
            assert!(has_state, "n{} does not vote again", n + 1);
        }
    }

    /// Withdraws the open version (the one that is proposed and neither active nor withdrawn), and runs until no
    /// version is open.
    fn end_open_version(&mut self) {
        let end = self.fleet.now + MAX_RECOVERY_SECONDS;
        while self.fleet.leader().is_none_or(|leader| self.fleet.state(leader).proposed.is_some()) {
            assert!(self.fleet.now < end, "{:.2}: the open version does not end", self.fleet.now);
            self.end_stage(false);
            self.run_for(END_STAGE_INTERVAL_SECONDS);
        }
    }

    /// Completes the report and returns it.
    fn finish(mut self) -> ScenarioReport {
        self.report_notices();
        let invariants = &self.fleet.invariants;
        self.report.longest_alone_seconds = invariants.longest_alone_seconds;
        self.report.activated = invariants.activated_at.len();
        self.report.withdrawn = invariants.withdrawn.len();
        self.report.settlements = invariants.settled_at.len();
        for (id, settled_at) in &invariants.settled_at {
            if let Some(filled_at) = self.fill_simulation.filled_at.get(id) {
                self.report.settlement_seconds.push((settled_at - filled_at).max(0.0));
            }
        }
        self.report.fills = self.fill_simulation.filled_at.len();
        self.report.trace = self.fleet.trace;
        self.report
    }

    /// Adds to the report how long after its commit each settlement became known to each broker.
    fn report_notices(&mut self) {
        let notices = self.fleet.settlement_notices.replace(Vec::new()).unwrap_or_default();
        let mut known = BTreeSet::new();
        for notice in notices {
            // A restarted broker receives all settlements again, so only the first notice of each settlement at each
            // broker counts.
            if let Some(settled_at) = self.fleet.invariants.settled_at.get(&notice.id)
                && known.insert((notice.broker, notice.id))
            {
                self.report.notice_seconds.push((notice.at - settled_at).max(0.0));
            }
        }
    }

    /// Runs steps until `is_done` returns true, for `max_seconds` at most. Returns whether `is_done` returned true.
    pub fn run_until(&mut self, max_seconds: f64, is_done: impl Fn(&Fleet) -> bool) -> bool {
        let end = self.fleet.now + max_seconds;
        while self.fleet.now < end {
            if is_done(&self.fleet) {
                return true;
            }
            self.step();
        }
        is_done(&self.fleet)
    }

    /// Runs steps for some seconds of simulated time.
    pub fn run_for(&mut self, seconds: f64) {
        self.run_until(seconds, |_| false);
    }

    /// Advances the run by one step of the fleet.
    fn step(&mut self) {
        while let Some(event) = self.scheduled.pop_due(self.fleet.now) {
            self.handle_event(event);
        }
        self.fleet.step();
        self.fill_simulation.step(&mut self.fleet, &self.topology);
        self.track_rollouts();
    }

    /// Proposes at the leader the command with which an operator activates or withdraws the latest version. The leader
    /// rejects it if that version is active or withdrawn already.
    fn end_stage(&mut self, activate: bool) {
        let Some(leader) = self.fleet.leader() else { return };
        let number = self.fleet.state(leader).highest_number;
        let command = if activate {
            Command::Activate { number }
        } else {
            Command::Withdraw { number, why: String::from("by hand") }
        };
        let _ = self.fleet.propose(command);
    }
}
