//! A fleet in one process, in simulated time: links that fail, clocks that drift, brokers that crash and pause. After each
//! step all invariants are checked. Brokers are named by their index, from 0; their names are `n1` and so on.

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

/// Seconds between two turns of each broker, unless stated otherwise.
pub const DEFAULT_TURN_SECONDS: f64 = 0.01;
/// Longest that a new fleet may take to its leases, and to its first version.
const MAX_SETUP_SECONDS: f64 = 10.0;

/// A broker has learned of a settlement.
#[derive(Clone, Debug, PartialEq)]
pub struct SettlementNotice {
    /// True time of the notice.
    pub at: f64,
    /// Index of the broker.
    pub broker: usize,
    /// Id of the settlement.
    pub id: String,
}

/// The fleet, its network and its faults.
pub struct Fleet {
    /// True time of this moment.
    pub now: f64,
    /// Seconds between two turns of each broker; what arrives in between waits for the next, as in a host.
    pub turn_seconds: f64,
    /// All brokers, running or not, by index.
    pub brokers: Vec<Broker>,
    /// Source of all randomness.
    pub rng: Pcg64Mcg,
    in_flight: EventQueue<InFlight>,
    index_by_name: HashMap<String, usize>,
    /// What must hold, and when what was committed and activated.
    pub invariants: InvariantChecker,
    /// Partition of each broker: those of different partitions receive nothing of each other.
    pub partitions: Vec<u32>,
    /// Links over which nothing passes, from one broker to another.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Conditions of all links.
    pub links: LinkConditions,
    /// A broker all of whose links are slow and lose messages.
    pub slow_broker: Option<usize>,
    /// Length of a lease in the files that a start reads.
    pub lease_seconds: f64,
    /// Segments whose non-idempotent parts are sent wherever they may be, at each step.
    pub watched_segments: Vec<u64>,
    /// Messages sent so far, those to the sender itself included.
    pub messages_sent: u64,
    /// Hash of all that arrived and what became of it, in order: two runs are the same if this is.
    pub trace: u64,
    /// Nanoseconds of processor time so far; read around each call of a core, and no part of the run.
    pub cpu_clock: Option<fn() -> u64>,
    /// Settlements that brokers learned of, if they are to be recorded.
    pub settlement_notices: Option<Vec<SettlementNotice>>,
}

impl Fleet {
    /// Starts a fleet in which the first `voter_count` brokers vote, `other_count` do not.
    pub fn new(voter_count: usize, other_count: usize, seed: u64) -> Self {
        let config = consensus_config("", voter_count);
        Self::with_config(&config, voter_count + other_count, vec![0, 1, 2, 3], seed)
    }

    /// Starts a fleet by this configuration, each broker under a name of its own; the first ones vote.
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

    /// Its clock runs at a limit of the drift, or at the true rate.
    fn new_broker(n: usize, config: &ConsensusConfig, rng: &mut Pcg64Mcg) -> Broker {
        let name = format!("n{}", n + 1);
        let clock_rate = 1.0 + config.drift_ratio * [-1.0, 0.0, 1.0][rng.random_range(0..3)];
        let clock_offset = rng.random_range(0.0..1000.0);
        let config = ConsensusConfig { name: name.clone(), ..config.clone() };
        let is_voter = n < config.voters.len();
        Broker::new(name, config, is_voter, clock_rate, clock_offset)
    }

    /// Starts a fleet and waits until it has a leader and all brokers have a lease.
    ///
    /// # Panics
    /// It takes too long.
    pub fn with_leases(voter_count: usize, other_count: usize, seed: u64) -> Self {
        let mut fleet = Self::new(voter_count, other_count, seed);
        let has_leases = fleet.run_until(MAX_SETUP_SECONDS, Self::all_have_leases);
        assert!(has_leases, "no lease within {MAX_SETUP_SECONDS} s");
        fleet
    }

    /// As [`Fleet::with_leases`], with version 1 and its map active.
    ///
    /// # Panics
    /// It takes too long.
    pub fn with_map(voter_count: usize, other_count: usize, seed: u64) -> Self {
        let mut fleet = Self::with_leases(voter_count, other_count, seed);
        let version = config_version(1, Some(shard_map(1, false)));
        fleet.propose(Command::Propose(Box::new(version))).expect("the first version");
        let is_active =
            fleet.run_until(MAX_SETUP_SECONDS, |fleet| fleet.all_in_phase(&ConfigPhase::Active(1)));
        assert!(is_active, "version 1 is active everywhere");
        fleet
    }

    /// What the broker's clock shows now.
    pub fn clock(&self, n: usize) -> f64 {
        self.brokers[n].clock(self.now)
    }

    /// Whether the broker's process is up, paused or not.
    pub fn is_running(&self, n: usize) -> bool {
        self.brokers[n].lease_client.is_some()
    }

    /// Running and not paused.
    fn is_active(&self, n: usize) -> bool {
        self.is_running(n) && self.now >= self.brokers[n].paused_until
    }

    fn index_of(&self, name: &str) -> usize {
        *self.index_by_name.get(name).expect("a name of the fleet")
    }

    /// An active broker that leads, if there is one.
    pub fn leader(&self) -> Option<usize> {
        let leads =
            |n: &usize| self.is_active(*n) && self.brokers[*n].voter.as_ref().is_some_and(Voter::is_leader);
        (0..self.brokers.len()).find(leads)
    }

    /// By which version the broker acts now.
    pub fn phase(&self, n: usize) -> ConfigPhase {
        match &self.brokers[n].lease_client {
            Some(client) => client.active_config().phase(self.clock(n)),
            None => ConfigPhase::Unconfigured,
        }
    }

    /// Whether the broker runs and its lease is valid.
    pub fn has_lease(&self, n: usize) -> bool {
        let client = self.brokers[n].lease_client.as_ref();
        client.is_some_and(|client| client.active_config().lease_expires_at() > self.clock(n))
    }

    /// Whether all running brokers have valid leases.
    pub fn all_have_leases(&self) -> bool {
        (0..self.brokers.len()).all(|n| !self.is_running(n) || self.has_lease(n))
    }

    /// Whether all running brokers are in this phase.
    pub fn all_in_phase(&self, phase: &ConfigPhase) -> bool {
        (0..self.brokers.len()).all(|n| !self.is_running(n) || self.phase(n) == *phase)
    }

    /// Replicated state of a voter.
    ///
    /// # Panics
    /// It is down, or does not vote.
    pub fn state(&self, n: usize) -> &ReplicatedState {
        self.brokers[n].voter.as_ref().expect("a voter that is up").state()
    }

    /// Proposes at the leader, as its host would.
    ///
    /// # Errors
    /// There is no leader, or it rejects the command.
    pub fn propose(&mut self, command: Command) -> Result<(), Rejection> {
        let leader = self.leader().ok_or(Rejection::NotLeader(None))?;
        self.propose_at(leader, command)
    }

    /// Proposes at this broker.
    ///
    /// # Errors
    /// It rejects the command.
    ///
    /// # Panics
    /// It is down, or does not vote.
    pub fn propose_at(&mut self, n: usize, command: Command) -> Result<(), Rejection> {
        let clock = self.clock(n);
        let voter = self.brokers[n].voter.as_mut().expect("a voter that is up");
        let effects = voter.propose(clock, command)?;
        self.apply_effects(n, effects);
        Ok(())
    }

    /// Proposes at this broker, which does not check the command, as a faulty one.
    ///
    /// # Errors
    /// It does not lead, or too many entries are uncommitted.
    ///
    /// # Panics
    /// It is down, or does not vote.
    pub fn propose_unchecked_at(&mut self, n: usize, command: Command) -> Result<(), Rejection> {
        let clock = self.clock(n);
        let voter = self.brokers[n].voter.as_mut().expect("a voter that is up");
        let effects = voter.propose_unchecked(clock, command)?;
        self.apply_effects(n, effects);
        Ok(())
    }
}
