//! A fleet of brokers in one process and in simulated time, with links that fail, clocks that drift, and brokers that
//! crash and pause. All invariants are checked at each step. Methods identify brokers by index, from 0; the broker of
//! index 0 is named `n1`, and so on.

mod broker;
mod lifecycle;
mod message;
mod network;
mod step;
mod voters;

use std::collections::{BTreeSet, HashMap};

use dunepond_consensus::{Command, ConfigPhase, ConsensusConfig, Rejection, ReplicatedState, Voter};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::event_queue::EventQueue;
use crate::fixtures::{config_version, consensus_config, shard_map};
use crate::invariants::InvariantChecker;
use message::InFlight;

pub use broker::{Broker, BrokerLoad};
pub use network::LinkConditions;

/// Default of [`Fleet::turn_seconds`], the length of a simulation step, in seconds.
pub const DEFAULT_TURN_SECONDS: f64 = 0.01;
/// Longest time in seconds that a new fleet may take until all brokers have leases. The activation of its first version
/// may take as long again.
const MAX_SETUP_SECONDS: f64 = 10.0;

/// Records when a broker learned of a settlement.
#[derive(Clone, Debug, PartialEq)]
pub struct SettlementNotice {
    /// True time at which the broker learned of the settlement.
    pub at: f64,
    /// Index of the broker that learned of the settlement.
    pub broker: usize,
    /// Id of the settlement that the broker learned of.
    pub id: String,
}

/// A simulated fleet of brokers with its network.
pub struct Fleet {
    /// Current true time: the simulated time in seconds, from which the brokers' clocks deviate.
    pub now: f64,
    /// Length of a simulation step in seconds. In each step, each broker that is neither down nor paused takes one
    /// turn: its voter and lease client run once, as in an iteration of a real broker's event loop. Messages that
    /// arrive between two steps are delivered in the next step.
    pub turn_seconds: f64,
    /// All brokers, running or not, by index.
    pub brokers: Vec<Broker>,
    /// Random number generator of the fleet and its network.
    pub rng: Pcg64Mcg,
    /// Messages that were sent and have not arrived yet.
    in_flight: EventQueue<InFlight>,
    index_by_name: HashMap<String, usize>,
    /// Checks the invariants, and records when versions and settlements were committed and activated.
    pub invariants: InvariantChecker,
    /// Number of each broker's partition, by index of the broker; brokers in different partitions receive no messages
    /// from each other.
    pub partitions: Vec<u32>,
    /// Blocked links as (index of the sender, index of the receiver): messages over them are lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Loss, duplication and delay on all links.
    pub links: LinkConditions,
    /// Index of a broker whose links are all slow and lose messages; `None` if there is no such broker.
    pub slow_broker: Option<usize>,
    /// Length of a lease in seconds, for brokers that are started after this is set.
    pub lease_seconds: f64,
    /// Segments that are checked for conflicting owners. At each step, each broker that is neither down nor paused is
    /// assumed to send a non-idempotent part of a query for each of these segments to any node that it considers the
    /// segment's owner.
    pub watched_segments: Vec<u64>,
    /// Number of messages sent so far, including those that brokers sent to themselves.
    pub messages_sent: u64,
    /// Hash of all messages that arrived and all log entries that were applied, in order. Equal hashes mean that two
    /// runs were the same.
    pub trace: u64,
    /// Function that returns the processor time that the process has used so far, in nanoseconds. If set, it is called
    /// before and after each call of a voter or lease client to measure the broker's load; it does not influence the
    /// run.
    pub cpu_clock: Option<fn() -> u64>,
    /// Records of when brokers learned of settlements; `None` if this is not recorded.
    pub settlement_notices: Option<Vec<SettlementNotice>>,
}

impl Fleet {
    /// Starts a fleet in which the first `voter_count` brokers vote and the other `other_count` ones do not.
    pub fn new(voter_count: usize, other_count: usize, seed: u64) -> Self {
        let config = consensus_config("", voter_count);
        Self::with_config(&config, voter_count + other_count, vec![0, 1, 2, 3], seed)
    }

    /// Starts a fleet whose brokers all have the configuration `config`, except that they are named `n1`, `n2` and so
    /// on. As many brokers vote as `config` has voters: the first ones.
    pub fn with_config(
        config: &ConsensusConfig,
        broker_count: usize,
        watched_segments: Vec<u64>,
        seed: u64,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let brokers: Vec<Broker> = (0..broker_count).map(|n| Self::new_broker(n, config, &mut rng)).collect();
        let index_by_name = brokers.iter().enumerate().map(|(n, broker)| (broker.name.clone(), n)).collect();
        let mut fleet = Self {
            now: 0.0,
            turn_seconds: DEFAULT_TURN_SECONDS,
            rng,
            in_flight: EventQueue::default(),
            index_by_name,
            invariants: InvariantChecker::default(),
            partitions: vec![0; broker_count],
            blocked_links: BTreeSet::new(),
            links: LinkConditions::default(),
            slow_broker: None,
            lease_seconds: config.lease_seconds,
            watched_segments,
            messages_sent: 0,
            trace: seed,
            cpu_clock: None,
            settlement_notices: None,
            brokers,
        };
        (0..broker_count).for_each(|n| fleet.start(n));
        fleet
    }

    /// Creates broker `n` with a random clock. The clock runs at the true rate, or as fast or as slow as the configured
    /// drift allows.
    fn new_broker(n: usize, config: &ConsensusConfig, rng: &mut Pcg64Mcg) -> Broker {
        let name = format!("n{}", n + 1);
        let clock_rate = 1.0 + config.drift_ratio * [-1.0, 0.0, 1.0][rng.random_range(0..3)];
        let clock_offset = rng.random_range(0.0..1000.0);
        let config = ConsensusConfig { name: name.clone(), ..config.clone() };
        let is_voter = n < config.voters.len();
        Broker::new(name, config, is_voter, clock_rate, clock_offset)
    }

    /// Starts a fleet and runs it until all brokers have a lease.
    ///
    /// # Panics
    /// Some broker gets no lease in time.
    pub fn with_leases(voter_count: usize, other_count: usize, seed: u64) -> Self {
        let mut fleet = Self::new(voter_count, other_count, seed);
        let has_leases = fleet.run_until(MAX_SETUP_SECONDS, Self::all_have_leases);
        assert!(has_leases, "not all brokers have a lease after {MAX_SETUP_SECONDS} s");
        fleet
    }

    /// Starts a fleet and runs it until all brokers have a lease and act on configuration version 1, which has a shard
    /// map.
    ///
    /// # Panics
    /// Some broker gets no lease in time, or does not act on version 1 in time.
    pub fn with_map(voter_count: usize, other_count: usize, seed: u64) -> Self {
        let mut fleet = Self::with_leases(voter_count, other_count, seed);
        let version = config_version(1, Some(shard_map(1, false)));
        fleet.propose(Command::Propose(Box::new(version))).expect("the first version");
        let is_active =
            fleet.run_until(MAX_SETUP_SECONDS, |fleet| fleet.all_in_phase(&ConfigPhase::Active(1)));
        assert!(is_active, "not all brokers act on version 1 after {MAX_SETUP_SECONDS} s");
        fleet
    }

    /// Current reading of a broker's clock.
    pub fn clock(&self, n: usize) -> f64 {
        self.brokers[n].clock(self.now)
    }

    /// Whether a broker is up; a paused broker is up, too.
    pub fn is_running(&self, n: usize) -> bool {
        self.brokers[n].lease_client.is_some()
    }

    /// Whether a broker is up and not paused.
    fn is_active(&self, n: usize) -> bool {
        self.is_running(n) && self.now >= self.brokers[n].paused_until
    }

    /// Index of the broker with this name.
    fn index_of(&self, name: &str) -> usize {
        *self.index_by_name.get(name).expect("a broker of the fleet")
    }

    /// Index of the first broker that is leader and neither down nor paused; `None` if there is none.
    pub fn leader(&self) -> Option<usize> {
        let leads =
            |n: &usize| self.is_active(*n) && self.brokers[*n].voter.as_ref().is_some_and(Voter::is_leader);
        (0..self.brokers.len()).find(leads)
    }

    /// The configuration phase in which a broker is now; [`ConfigPhase::Unconfigured`] if it is down.
    pub fn phase(&self, n: usize) -> ConfigPhase {
        match &self.brokers[n].lease_client {
            Some(client) => client.active_config().phase(self.clock(n)),
            None => ConfigPhase::Unconfigured,
        }
    }

    /// Whether a broker is up and its lease is valid.
    pub fn has_lease(&self, n: usize) -> bool {
        let client = self.brokers[n].lease_client.as_ref();
        client.is_some_and(|client| client.active_config().lease_expires_at() > self.clock(n))
    }

    /// Whether all brokers that are up have valid leases.
    pub fn all_have_leases(&self) -> bool {
        (0..self.brokers.len()).all(|n| !self.is_running(n) || self.has_lease(n))
    }

    /// Whether all brokers that are up are in this configuration phase.
    pub fn all_in_phase(&self, phase: &ConfigPhase) -> bool {
        (0..self.brokers.len()).all(|n| !self.is_running(n) || self.phase(n) == *phase)
    }

    /// Replicated state of a voter.
    ///
    /// # Panics
    /// The broker is down, or does not vote.
    pub fn state(&self, n: usize) -> &ReplicatedState {
        self.brokers[n].voter.as_ref().expect("a voter that is up").state()
    }

    /// Proposes a command at the leader, as the process that runs the leader's voter would.
    ///
    /// # Errors
    /// There is no leader, or the leader rejects the command.
    pub fn propose(&mut self, command: Command) -> Result<(), Rejection> {
        let leader = self.leader().ok_or(Rejection::NotLeader(None))?;
        self.propose_at(leader, command)
    }

    /// Proposes a command at broker `n`.
    ///
    /// # Errors
    /// The broker's voter rejects the command.
    ///
    /// # Panics
    /// The broker is down, or does not vote.
    pub fn propose_at(&mut self, n: usize, command: Command) -> Result<(), Rejection> {
        let clock = self.clock(n);
        let voter = self.brokers[n].voter.as_mut().expect("a voter that is up");
        let effects = voter.propose(clock, command)?;
        self.apply_effects(n, effects);
        Ok(())
    }

    /// Proposes a command at broker `n` without the check of the command's content, as a faulty proposer would.
    ///
    /// # Errors
    /// The broker is not leader, or too many entries are uncommitted.
    ///
    /// # Panics
    /// The broker is down, or does not vote.
    pub fn propose_unchecked_at(&mut self, n: usize, command: Command) -> Result<(), Rejection> {
        let clock = self.clock(n);
        let voter = self.brokers[n].voter.as_mut().expect("a voter that is up");
        let effects = voter.propose_unchecked(clock, command)?;
        self.apply_effects(n, effects);
        Ok(())
    }
}
