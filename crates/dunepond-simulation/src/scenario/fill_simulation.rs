//! Simulates how the leader's host, the process that runs the leader, handles fills (copies of segments to new
//! replicas) and settlements (log entries by which a fill pays off a transfer debt between partners). It plans fills by
//! the balances that it has computed itself, starts them, and proposes the settlement and the completion of each
//! complete fill. A new leader's host starts from the committed log and the transfer counts alone, as in a real fleet.

use std::collections::BTreeMap;

use dunepond_consensus::{Command, Rejection};
use dunepond_settlement::{
    ApplyOutcome, Balances, BrokerPartners, CarriedCounts, Fill, FillDemand, FillPlanner, FillSource,
    LinkCapacities, PlanningRule, Settlement, SettlementEntry, SettlementLedger, SettlementTerms,
    SlowStartCapacity,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Topology;
use crate::fleet::Fleet;
use crate::settlements;

/// Seconds between two calls of the planner.
const PLAN_INTERVAL_SECONDS: f64 = 0.1;
/// Seconds after which the log entry that records a fill (a copy of a segment to a new replica) as complete is
/// proposed again.
const PROPOSE_INTERVAL_SECONDS: f64 = 1.0;
/// Name of each leader's planner, which plans fills and the settlements by which they pay off transfer debts between
/// partners.
const PLANNER_NAME: &str = "fleet";
/// Size of each segment's data, in bytes.
const SEGMENT_BYTES: u64 = 1 << 20;
/// Shortest time in seconds that a fill takes.
const MIN_FILL_SECONDS: f64 = 0.1;
/// Longest time in seconds that a fill takes.
const MAX_FILL_SECONDS: f64 = 1.5;
/// Probability that a fill fails.
const FILL_FAILURE_RATIO: f64 = 0.1;
/// Number of brokers through which partners transfer (carry) traffic for each other. Each counts what passes through it.
const COUNTING_BROKERS: usize = 8;
/// Number of transfers of traffic between partners in each round; the rounds are [`CARRY_INTERVAL_SECONDS`] apart.
const TRANSFERS_PER_INTERVAL: usize = 6;
/// Upper limit of the traffic that one partner carries for another in one transfer, in bytes.
const MAX_CARRIED_BYTES: u64 = 1 << 20;
/// Seconds between two rounds in which partners carry (transfer) traffic for each other, and owe each other for it.
const CARRY_INTERVAL_SECONDS: f64 = 1.0;
/// Number of readings of the transfer counts that are stored. The leader uses the oldest of them, because its counts
/// lag behind the actual ones, as with gossip.
const COUNTS_LAG: usize = 3;
/// Maximum rate of fills over each link between partners or within a partner, in bytes per second.
const LINK_RATE: f64 = 1e9;
/// Combined with the scenario's seed, so that the random numbers of this module differ from those of the fleet.
const SEED_MASK: u64 = 0xf111;

/// A fill that the leader has started.
struct RunningFill {
    fill: Fill,
    ends_at: f64,
    /// Whether the fill will fail at `ends_at`.
    fails: bool,
    /// Whether the fill has ended successfully.
    is_complete: bool,
    next_proposal_at: f64,
}

/// State of the host of one leader, that is, of the process that runs the leader.
struct LeaderState {
    /// Index of the leader.
    leader: usize,
    /// Number of the open version, which is proposed and neither active nor withdrawn; 0 if there is none.
    version: u64,
    balances: Balances,
    planner: FillPlanner,
    /// Fills that were started and have not been ended or dropped, by id.
    running: BTreeMap<String, RunningFill>,
}

/// Simulated transfers between partners, and the fills that open versions require. A version is open if it is proposed
/// and neither active nor withdrawn.
pub(super) struct FillSimulation {
    rng: Pcg64Mcg,
    /// Actual counts of the bytes that partners have transferred for each other, without the lag of the leader's
    /// counts.
    carried: CarriedCounts,
    /// The counts of carried traffic after each of the last [`COUNTS_LAG`] rounds of transfers, oldest first.
    earlier_counts: Vec<CarriedCounts>,
    leader_state: Option<LeaderState>,
    next_plan_at: f64,
    next_carry_at: f64,
    /// Committed settlements in the order of the log.
    settled: Vec<Settlement>,
    /// Number of settlement entries in the log that were read so far.
    known_entry_count: u64,
    /// Total bytes of transfer debt that committed settlements have paid off, by debtor and creditor.
    settled_bytes: BTreeMap<(String, String), u64>,
    /// Time at which each fill with a settlement was complete, by the settlement's id.
    pub filled_at: BTreeMap<String, f64>,
}

impl FillSimulation {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed ^ SEED_MASK),
            carried: CarriedCounts::new(),
            earlier_counts: Vec::new(),
            leader_state: None,
            next_plan_at: 0.0,
            next_carry_at: 0.0,
            settled: Vec::new(),
            known_entry_count: 0,
            settled_bytes: BTreeMap::new(),
            filled_at: BTreeMap::new(),
        }
    }

    /// Simulates transfers between partners and the work of the leader's host, up to the fleet's current time.
    pub fn step(&mut self, fleet: &mut Fleet, topology: &Topology) {
        if fleet.now >= self.next_carry_at {
            self.next_carry_at = fleet.now + CARRY_INTERVAL_SECONDS;
            self.carry_traffic(topology);
        }
        if fleet.now < self.next_plan_at {
            return;
        }
        self.next_plan_at = fleet.now + PLAN_INTERVAL_SECONDS;
        let Some(leader) = fleet.leader() else { return };
        self.check_settlements(fleet, leader);
        if self.leader_state.as_ref().is_none_or(|state| state.leader != leader) {
            self.leader_state = Some(self.new_leader_state(leader));
        }
        self.plan(fleet, topology, leader);
        self.end_fills(fleet);
    }

    /// Simulates one round in which random partners carry traffic for each other. Each transfer is counted by one of a few
    /// brokers.
    fn carry_traffic(&mut self, topology: &Topology) {
        let partner_count = topology.partner_count();
        for _ in 0..TRANSFERS_PER_INTERVAL {
            let carrier = self.rng.random_range(0..partner_count);
            let debtor = self.rng.random_range(0..partner_count);
            let broker = format!("n{}", self.rng.random_range(1..=COUNTING_BROKERS));
            let bytes = self.rng.random_range(1..MAX_CARRIED_BYTES);
            self.carried.record(&broker, 1, &topology.partner(carrier), &topology.partner(debtor), bytes);
        }
        self.earlier_counts.push(self.carried.clone());
        if self.earlier_counts.len() > COUNTS_LAG {
            self.earlier_counts.remove(0);
        }
    }

    /// Reads the new settlements in the log, and checks that no debtor settles more bytes than the creditor has
    /// actually transferred for it.
    fn check_settlements(&mut self, fleet: &Fleet, leader: usize) {
        let logged = settlements::settlements_after(fleet.state(leader), self.known_entry_count);
        self.known_entry_count = logged.entry_count;
        for settlement in logged.settlements {
            let pair = (settlement.debtor.clone(), settlement.creditor.clone());
            let settled = self.settled_bytes.entry(pair).or_default();
            *settled += settlement.bytes;
            let owed = self.carried.total(&settlement.creditor, &settlement.debtor);
            assert!(*settled <= owed, "{:.2}: {settlement:?} settles {settled} of {owed}", fleet.now);
            self.settled.push(settlement);
        }
    }

    /// Creates the state of a new leader's host from the committed settlements alone.
    fn new_leader_state(&self, leader: usize) -> LeaderState {
        let mut ledger = SettlementLedger::default();
        for settlement in &self.settled {
            let applied = ledger.apply(&SettlementEntry::Settle(settlement.clone()));
            assert_eq!(applied, Ok(ApplyOutcome::New), "{settlement:?}");
        }
        let balances = Balances::new(SettlementTerms::default(), BrokerPartners::default(), ledger)
            .expect("valid terms");
        let planner = FillPlanner::new(PLANNER_NAME, PlanningRule::MaxMin, leader as u64);
        LeaderState { leader, version: 0, balances, planner, running: BTreeMap::new() }
    }

    /// Updates the leader's balances, and plans and starts the fills of the open version.
    fn plan(&mut self, fleet: &Fleet, topology: &Topology, leader: usize) {
        let Some(state) = &mut self.leader_state else { return };
        for settlement in &self.settled {
            let _ = state.balances.apply(&SettlementEntry::Settle(settlement.clone()));
        }
        if let Some(counts) = self.earlier_counts.first() {
            state.balances.update_counts(fleet.now, counts);
        }
        let open_version = OpenVersion::of(fleet, topology, leader);
        state.switch_version(open_version.as_ref().map_or(0, |open| open.number));
        let Some(open_version) = open_version else { return };
        for fill in state.plan(fleet.now, open_version.demands) {
            let ends_at = fleet.now + self.rng.random_range(MIN_FILL_SECONDS..MAX_FILL_SECONDS);
            let fails = self.rng.random::<f64>() < FILL_FAILURE_RATIO;
            let running = RunningFill { fill, ends_at, fails, is_complete: false, next_proposal_at: 0.0 };
            state.running.insert(running.fill.id.clone(), running);
        }
    }

    /// Ends the fills that are due. For a complete fill, the settlement is proposed before the entry that records the
    /// fill as complete, so that the fill is still open after a crash between the two.
    fn end_fills(&mut self, fleet: &mut Fleet) {
        let Some(state) = &mut self.leader_state else { return };
        let now = fleet.now;
        state.drop_failed(now);
        let due = |fill: &&mut RunningFill| now >= fill.ends_at && now >= fill.next_proposal_at;
        for running in state.running.values_mut().filter(due) {
            running.is_complete = true;
            running.next_proposal_at = now + PROPOSE_INTERVAL_SECONDS;
            let settled = match &running.fill.settles {
                None => Ok(()),
                Some(settlement) => {
                    self.filled_at.entry(settlement.id.clone()).or_insert(now);
                    fleet.propose(settlements::settle_command(settlement.clone()))
                }
            };
            if matches!(settled, Ok(()) | Err(Rejection::AlreadySettled(_))) {
                let Fill { segment, node: holder, .. } = running.fill.clone();
                let _ = fleet.propose(Command::FillCompleted { number: state.version, segment, holder });
            }
        }
    }
}

impl LeaderState {
    /// Switches to the open version `version`, and ends the fills of the previous one, which are not required any more.
    fn switch_version(&mut self, version: u64) {
        if self.version == version {
            return;
        }
        for (id, _) in std::mem::take(&mut self.running) {
            self.planner.fill_ended(&id, false);
        }
        self.version = version;
    }

    /// Ends the fills that `demands` does not require any more, and returns the new fills to start.
    fn plan(&mut self, now: f64, mut demands: Vec<FillDemand>) -> Vec<Fill> {
        let is_demanded = |id: &str| demands.iter().any(|demand| demand.id() == id);
        let ended: Vec<String> = self.running.keys().filter(|id| !is_demanded(id)).cloned().collect();
        for id in ended {
            let is_complete = self.running.remove(&id).is_some_and(|running| running.is_complete);
            self.planner.fill_ended(&id, is_complete);
        }
        demands.retain(|demand| !self.running.contains_key(&demand.id()));
        let links = LinkCapacities {
            rate_caps: BTreeMap::new(),
            default_rate_cap: LINK_RATE,
            internal_rate_cap: LINK_RATE,
        };
        let slow_start = SlowStartCapacity { window_seconds: 1.0, unit_bytes: 1, nodes: BTreeMap::new() };
        self.planner.plan(&self.balances, &demands, &links, &slow_start, None, now).fills
    }

    /// Drops the fills that have failed by now.
    fn drop_failed(&mut self, now: f64) {
        let failed = self.running.values().filter(|running| now >= running.ends_at && running.fails);
        let failed: Vec<String> = failed.map(|running| running.fill.id.clone()).collect();
        for id in failed {
            self.running.remove(&id);
            self.planner.fill_ended(&id, false);
        }
    }
}

/// The open version (proposed and neither active nor withdrawn), as known to the leader, with the fills that it still
/// requires.
struct OpenVersion {
    number: u64,
    demands: Vec<FillDemand>,
}

impl OpenVersion {
    /// The open version, as known to `leader`; `None` if there is none or it does not change the shard map.
    fn of(fleet: &Fleet, topology: &Topology, leader: usize) -> Option<Self> {
        let state = fleet.state(leader);
        let open = state.proposed.as_ref()?;
        let transition = state.map_transition()?;
        let number = open.version.number;
        let mut demands = Vec::new();
        for required in transition.required_fills() {
            if open.completed_fills.contains(&(required.segment, required.replica.clone())) {
                continue;
            }
            let source =
                |node: &String| FillSource { node: node.clone(), partner: topology.partner_of(node) };
            demands.push(FillDemand {
                version: number,
                segment: required.segment,
                node: required.replica.clone(),
                partner: topology.partner_of(&required.replica),
                sources: required.sources.iter().map(source).collect(),
                bytes: SEGMENT_BYTES,
                start: 0,
            });
        }
        Some(Self { number, demands })
    }
}
