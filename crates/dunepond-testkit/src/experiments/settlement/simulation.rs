//! Simulates queries, fill demands, brokers that count and report carried bytes, and the planner and its fills, in steps of a
//! second.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dunepond_settlement::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Names of the partners.
pub const PARTNERS: [&str; 5] = ["east", "mid", "north", "south", "west"];
/// Partner that claims ten times the bytes that it carried.
const INFLATING_PARTNER: &str = "west";
/// Name of the mix with the queries of the even mix, in which the first partner demands more fills than all can carry.
pub const FLOOD_MIX: &str = "flood of needs";
/// Bytes in a KiB.
const KIB: f64 = 1024.0;
/// Mean rate of the answers that partners carry for each other, summed over all pairs.
const QUERY_BYTES_PER_SECOND: f64 = 1200.0 * KIB;
/// Capacity of the link between two partners.
const LINK_BYTES_PER_SECOND: f64 = 2048.0 * KIB;
/// Capacity of the link between the one pair of partners that has a slow link.
const SLOW_LINK_BYTES_PER_SECOND: f64 = 256.0 * KIB;
/// Mean time between two fill demands; a quarter of it in the flood mix.
const DEMAND_INTERVAL_SECONDS: f64 = 8.0;
/// Largest size of a fill demand.
const MAX_DEMAND_BYTES: u64 = 64 << 20;
/// Debts count as settled below this share of the debts that were open when the queries ended, or below `SETTLED_BYTES`.
const SETTLED_RATIO: f64 = 0.1;
/// Debts count as settled below this, since fills that continue always leave some debt open.
const SETTLED_BYTES: f64 = 2.0 * MAX_DEMAND_BYTES as f64;
/// Capacity of each node that is being filled, in units per second; queries use a part of it.
const COLD_CAPACITY: NodeCapacity = NodeCapacity { expected_units: 4.0, used_units: 6.0 };
/// Size of a unit of node capacity.
const UNIT_BYTES: u64 = 256 << 10;

/// Terms of settlement between the partners.
pub fn settlement_terms() -> SettlementTerms {
    SettlementTerms {
        window_seconds: 600.0,
        half_life_seconds: 1800.0,
        max_fill_bytes: 128 << 20,
        max_debt_speed: 2.0 * LINK_BYTES_PER_SECOND,
        max_debt_bytes: 4 << 30,
        max_carried_bytes: 640 << 20,
        min_fill_rate: 64.0 * KIB,
        max_fill_rate: LINK_BYTES_PER_SECOND,
        ..SettlementTerms::default()
    }
}

/// Returns the mean rate at which `carrier` carries for customers of `debtor`, in bytes per second.
fn traffic(mix: &str, carrier: usize, debtor: usize, now: f64) -> f64 {
    let partner_count = PARTNERS.len();
    match mix {
        "even" | FLOOD_MIX => QUERY_BYTES_PER_SECOND / (partner_count * (partner_count - 1)) as f64,
        // The first partner has 80% of the traffic.
        "lopsided" => QUERY_BYTES_PER_SECOND * if debtor == 0 { 0.8 / 4.0 } else { 0.2 / 16.0 },
        _ => {
            let burst = ((now / 600.0) as usize) % partner_count == debtor;
            let ring = (debtor + 1) % partner_count == carrier;
            QUERY_BYTES_PER_SECOND
                * (if ring { 0.5 / 5.0 } else { 0.0 } + if burst { 0.5 / 4.0 } else { 0.0 })
        }
    }
}

/// Measurements of one simulation.
#[derive(Default)]
pub struct SimulationResult {
    /// Samples of the open debts: time in simulated seconds and the sum over all partners in MB.
    pub open_megabytes: Vec<(f64, f64)>,
    /// Mean of the open debts in bytes while queries ran, without the first quarter.
    pub mean_open_bytes: f64,
    /// Mean of the largest sum owed to one partner in bytes while queries ran, without the first quarter.
    pub mean_worst_creditor_bytes: f64,
    /// Time from the end of the queries until debts counted as settled, in simulated seconds.
    pub settle_seconds: f64,
    /// Jain's fairness index of the partners' ratios of bytes carried to bytes carried for them.
    pub jain_index: f64,
    /// Largest rate of fills on a link divided by its capacity.
    pub max_link_ratio: f64,
    /// Largest load of a node that is being filled divided by its limit.
    pub max_cold_node_ratio: f64,
    /// Largest number of bytes that a partner carried in fills within a window, divided by its limit.
    pub max_carried_ratio: f64,
    /// Longest time that a partner with fill demands went without a new fill, in simulated seconds.
    pub longest_wait_seconds: f64,
    /// Number of completed fills.
    pub fill_count: f64,
    /// Bytes of all fill demands, by partner.
    pub demanded_bytes: [f64; 5],
    /// Bytes of the fill demands that were planned, by partner.
    pub served_bytes: [f64; 5],
    /// Sum over all pairs of partners of the difference between the balance and the bytes actually carried.
    pub balance_error_bytes: f64,
    /// Bytes counted for the inflating partner divided by the bytes that its debtors saw.
    pub counted_ratio: f64,
    /// Disputed bytes of the inflating partner divided by the bytes that its debtors saw.
    pub disputed_ratio: f64,
    /// Number of cells in the merged counts.
    pub cell_count: f64,
}

/// A message in flight from a broker to the planner, with the broker's counts of carried bytes.
struct SentCounts {
    /// Time of arrival, in simulated seconds.
    due: f64,
    broker: String,
    counts: CarriedCounts,
}

/// A fill that one partner carries for another.
struct CarriedFill {
    /// Time at which the fill was planned, in simulated seconds.
    at: f64,
    /// Partner that carries the fill.
    from: String,
    bytes: u64,
}

/// State of one simulation.
struct Simulation {
    /// Simulated time, in seconds.
    now: f64,
    /// Draws delays, duplicates, restarts and failures.
    rng: Pcg64Mcg,
    /// Draws queries and fill demands. It is separate from `rng` so that these are the same under every rule.
    traffic_rng: Pcg64Mcg,
    /// Carried bytes as counted by each partner's broker; one broker per partner is enough.
    local_counts: Vec<LocalCounts>,
    broker_partners: BrokerPartners,
    /// Messages with counts of carried bytes that are in flight to the planner.
    in_transit: Vec<SentCounts>,
    /// Counts of carried bytes that the planner has received.
    merged_counts: CarriedCounts,
    balances: Balances,
    planner: FillPlanner,
    /// Fill demands that are not planned yet.
    demands: VecDeque<FillDemand>,
    /// Time since which each partner with fill demands has got no new fill, in simulated seconds.
    waiting_since: BTreeMap<String, f64>,
    /// Fills in progress, each with the bytes delivered so far.
    running_fills: Vec<(f64, FillProgress)>,
    /// Bytes actually carried, by the indexes of carrier and debtor.
    actual: BTreeMap<(usize, usize), u64>,
    /// Bytes delivered to each node that is being filled, by second, the latest first.
    delivered: BTreeMap<String, VecDeque<f64>>,
    /// Fills that were planned within the last window.
    recent_fills: Vec<CarriedFill>,
    result: SimulationResult,
}

/// Returns the index of a partner in [`PARTNERS`].
fn index(partner: &str) -> usize {
    PARTNERS.iter().position(|name| *name == partner).unwrap_or(0)
}

impl Simulation {
    fn new(rule: Option<PlanningRule>, seed: u64) -> Simulation {
        let broker = |partner: &str| format!("{partner}-1");
        let broker_partners = BrokerPartners {
            partner_of: PARTNERS.iter().map(|p| (broker(p), p.to_string())).collect(),
            metered: PARTNERS.iter().map(|p| p.to_string()).collect::<BTreeSet<_>>(),
        };
        let open =
            |p: &&str| LocalCounts::open(None, &broker(p), 1).expect("counts open without an earlier state");
        Simulation {
            now: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            traffic_rng: Pcg64Mcg::seed_from_u64(seed ^ 0x0de6),
            local_counts: PARTNERS.iter().map(open).collect(),
            balances: Balances::new(settlement_terms(), broker_partners.clone(), SettlementLedger::default())
                .expect("the settlement terms are valid"),
            broker_partners,
            in_transit: Vec::new(),
            merged_counts: CarriedCounts::new(),
            planner: FillPlanner::new("planner", rule.unwrap_or(PlanningRule::Cheapest), seed),
            demands: VecDeque::new(),
            waiting_since: BTreeMap::new(),
            running_fills: Vec::new(),
            actual: BTreeMap::new(),
            delivered: BTreeMap::new(),
            recent_fills: Vec::new(),
            result: SimulationResult::default(),
        }
    }

    /// Records carried bytes at the brokers of both partners. The inflating partner records ten times the bytes.
    fn record_carried(&mut self, carrier: usize, debtor: usize, bytes: u64) {
        if carrier == debtor || bytes == 0 {
            return;
        }
        let factor = if PARTNERS[carrier] == INFLATING_PARTNER { 10 } else { 1 };
        self.local_counts[carrier].record(PARTNERS[carrier], PARTNERS[debtor], bytes * factor);
        self.local_counts[debtor].record(PARTNERS[carrier], PARTNERS[debtor], bytes);
    }

    /// Sends the counts of every broker with a random delay, sometimes twice, and sometimes restarts the broker.
    fn send_counts(&mut self) {
        for (partner, local) in PARTNERS.iter().zip(&mut self.local_counts) {
            let (broker, sent_counts) = (format!("{partner}-1"), local.counts().clone());
            for _ in 0..1 + usize::from(self.rng.random::<f64>() < 0.3) {
                let due = self.now + self.rng.random::<f64>() * 60.0;
                self.in_transit.push(SentCounts { due, broker: broker.clone(), counts: sent_counts.clone() });
            }
            if self.rng.random::<f64>() < 0.02 {
                let restarted = LocalCounts::open(Some(local.clone()), &broker, local.incarnation() + 1);
                *local = restarted.expect(
                    "counts reopen after a restart with the broker's own state and a later incarnation",
                );
            }
        }
    }

    /// Merges the counts that have arrived, or all that are in flight if `all`, and updates the balances.
    fn receive_counts(&mut self, all: bool) {
        let (now, broker_partners) = (self.now, &self.broker_partners);
        for sent in self.in_transit.extract_if(.., |sent| all || sent.due <= now) {
            self.merged_counts
                .merge_from(&sent.broker, &sent.counts, broker_partners)
                .expect("the counts stay below the cell limit");
        }
        self.balances.update_counts(now, &self.merged_counts);
    }

    /// Adds a fill demand with random partner, sources and size; all draws come from the traffic generator.
    fn add_demand(&mut self, segment: u64, one_source: bool, flood: bool) {
        let draw = |rng: &mut Pcg64Mcg, below: usize| (rng.random::<f64>() * below as f64) as usize;
        let (to, floods) =
            (draw(&mut self.traffic_rng, PARTNERS.len()), self.traffic_rng.random::<f64>() < 0.8);
        let to = if flood && floods { 0 } else { to };
        let mut from: Vec<usize> = (0..PARTNERS.len()).collect();
        while from.len() > 3 {
            let removed = draw(&mut self.traffic_rng, from.len());
            from.remove(removed);
        }
        let single_source = draw(&mut self.traffic_rng, 3);
        if one_source {
            from = vec![from[single_source]];
        }
        // In a flood, the first partner's demands are small, and the large ones of the others could be stuck behind them.
        let (min_ratio, max_ratio) = match (flood, to) {
            (false, _) => (0.125, 1.0),
            (true, 0) => (0.125, 0.5),
            (true, _) => (0.625, 1.0),
        };
        let bytes = (MAX_DEMAND_BYTES as f64
            * (min_ratio + (max_ratio - min_ratio) * self.traffic_rng.random::<f64>()))
            as u64;
        self.result.demanded_bytes[to] += bytes as f64;
        let demand = FillDemand {
            version: 1,
            segment,
            node: format!("{}-{segment}", PARTNERS[to]),
            partner: PARTNERS[to].to_string(),
            sources: from
                .iter()
                .map(|p| (format!("{}-s", PARTNERS[*p]), PARTNERS[*p].to_string()).into())
                .collect(),
            bytes,
            start: 0,
        };
        self.waiting_since.entry(demand.partner.clone()).or_insert(self.now);
        self.demands.push_back(demand);
    }

    /// Plans fills for the open demands, and updates the waiting times and the bytes carried per window.
    fn plan(&mut self, links: &LinkCapacities) {
        let nodes = self.demands.iter().map(|demand| (demand.node.clone(), COLD_CAPACITY));
        let running = self.planner.running().map(|fill| (fill.node.clone(), COLD_CAPACITY));
        let cold = SlowStartCapacity {
            window_seconds: 1.0,
            unit_bytes: UNIT_BYTES,
            nodes: nodes.chain(running).collect(),
        };
        let demands: Vec<FillDemand> = self.demands.iter().cloned().collect();
        let plan = self.planner.plan(&self.balances, &demands, links, &cold, None, self.now);
        for fill in plan.fills {
            self.demands.retain(|demand| demand.id() != fill.id);
            self.result.served_bytes[index(&fill.to)] += fill.bytes as f64;
            let waiting_since = self.waiting_since.insert(fill.to.clone(), self.now).unwrap_or(self.now);
            self.result.longest_wait_seconds = self.result.longest_wait_seconds.max(self.now - waiting_since);
            if fill.from != fill.to {
                let (at, from) = (self.now, fill.from.clone());
                self.recent_fills.push(CarriedFill { at, from, bytes: fill.bytes });
            }
            let retry_policy =
                FillRetryPolicy { deadline_seconds: 1e9, max_attempts: 100, ..FillRetryPolicy::default() };
            self.running_fills.push((0.0, FillProgress::new(fill, retry_policy, self.now)));
        }
        let (now, demands) = (self.now, &self.demands);
        self.waiting_since.retain(|partner, _| demands.iter().any(|demand| demand.partner == *partner));
        let waited = self.waiting_since.values().map(|waiting_since| now - waiting_since);
        self.result.longest_wait_seconds = waited.fold(self.result.longest_wait_seconds, f64::max);
        let window_start = self.now - settlement_terms().window_seconds;
        self.recent_fills.retain(|fill| fill.at > window_start);
        for partner in PARTNERS {
            let own = self.recent_fills.iter().filter(|fill| fill.from == partner);
            let carried: u64 = own.map(|fill| fill.bytes).sum();
            self.result.max_carried_ratio = self
                .result
                .max_carried_ratio
                .max(carried as f64 / settlement_terms().max_carried_bytes as f64);
        }
    }

    /// Advances all running fills by a second at their rate. One in ten fails at its end and is retried.
    fn run_fills(&mut self, links: &LinkCapacities) {
        let mut link_bytes: BTreeMap<(String, String), f64> = BTreeMap::new();
        let mut ended = Vec::new();
        for (delivered, progress) in &mut self.running_fills {
            if progress
                .tick(self.now, &mut self.rng)
                .iter()
                .any(|action| matches!(action, FillAction::Start(_)))
            {
                *delivered = 0.0;
            }
            if !matches!(progress.state(), FillState::Running { .. }) {
                continue;
            }
            let fill = progress.fill.clone();
            let bytes = fill.rate.min(fill.bytes as f64 - *delivered);
            *delivered += bytes;
            *link_bytes.entry((fill.from.clone(), fill.to.clone())).or_default() += bytes;
            *self.delivered.entry(fill.node.clone()).or_default().front_mut().unwrap_or(&mut 0.0) += bytes;
            let complete = *delivered >= fill.bytes as f64 - 0.5;
            if complete {
                let failed = self.rng.random::<f64>() < 0.1;
                let event = if failed {
                    FillEvent::Failed { reason: "injected failure".into() }
                } else {
                    FillEvent::Done
                };
                let actions = progress
                    .handle_event(self.now, event, &mut self.rng)
                    .expect("a running fill accepts events");
                ended.extend(actions.into_iter().filter_map(|action| match action {
                    FillAction::Propose(fill) => Some(fill),
                    _ => None,
                }));
            }
        }
        for ((from, to), bytes) in link_bytes {
            self.result.max_link_ratio = self.result.max_link_ratio.max(bytes / links.rate_cap(&from, &to));
        }
        for fill in ended {
            self.finish_fill(&fill);
        }
        self.running_fills.retain(|(_, progress)| !progress.state().is_final());
    }

    /// Completes a fill: records the bytes that settle no debt as carried by the fill's source for the partner that was filled,
    /// and applies the fill's settlement, if any, twice, since the log may repeat it.
    fn finish_fill(&mut self, fill: &Fill) {
        self.result.fill_count += 1.0;
        self.planner.fill_ended(&fill.id, true);
        let (from, to) = (index(&fill.from), index(&fill.to));
        if from != to {
            *self.actual.entry((from, to)).or_default() += fill.bytes;
        }
        self.record_carried(from, to, fill.unsettled_bytes());
        if let Some(settlement) = fill.settles.clone().map(SettlementEntry::Settle) {
            assert_eq!(self.balances.apply(&settlement), Ok(ApplyOutcome::New));
            assert_eq!(self.balances.apply(&settlement), Ok(ApplyOutcome::Duplicate));
        }
    }

    /// Returns the sum of the open debts, in bytes.
    fn open_bytes(&self) -> f64 {
        self.balances.net_debts().iter().map(|debt| debt.bytes as f64).sum()
    }

    /// Returns the largest sum owed to one partner, in bytes.
    fn worst_creditor_bytes(&self) -> f64 {
        let mut owed: BTreeMap<String, f64> = BTreeMap::new();
        let net = self.balances.net_debts();
        net.into_iter().for_each(|debt| *owed.entry(debt.creditor).or_default() += debt.bytes as f64);
        owed.into_values().fold(0.0, f64::max)
    }

    /// Returns the ratio of the bytes that each partner actually carried to those carried for it.
    fn carried_ratios(&self) -> Vec<f64> {
        let total =
            |partner: usize, as_carrier: bool| -> f64 {
                let cells = self.actual.iter().filter(|((carrier, debtor), _)| {
                    if as_carrier { *carrier == partner } else { *debtor == partner }
                });
                cells.map(|(_, bytes)| *bytes as f64).sum()
            };
        (0..PARTNERS.len()).map(|partner| total(partner, true) / total(partner, false).max(1.0)).collect()
    }
}

/// Sums of samples of the open debts while queries run, without the first quarter.
#[derive(Default)]
struct OpenDebts {
    /// Sum of the open debts of all samples, in bytes.
    sum: f64,
    /// Sum of the largest debt to one partner of all samples, in bytes.
    worst_sum: f64,
    /// Number of samples.
    samples: f64,
    /// Open debts at the last sample while queries ran, in bytes.
    at_end: f64,
}

/// Simulates queries for this many seconds, then only fills until debts are settled or the same time has passed again.
pub fn simulate(mix: &str, rule: Option<PlanningRule>, seed: u64, seconds: f64) -> SimulationResult {
    let mut simulation = Simulation::new(rule, seed);
    let slow = [("mid", "north"), ("north", "mid")]
        .map(|(from, to)| (PartnerPair::new(from, to), SLOW_LINK_BYTES_PER_SECOND));
    let links = LinkCapacities {
        rate_caps: slow.into(),
        default_rate_cap: LINK_BYTES_PER_SECOND,
        internal_rate_cap: 4.0 * LINK_BYTES_PER_SECOND,
    };
    let (mut next_demand_at, mut segment) = (0.0, 0);
    let mut debts = OpenDebts::default();
    while simulation.now < 2.0 * seconds {
        let queries_running = simulation.now < seconds;
        simulation.begin_second();
        if queries_running {
            simulation.carry_queries(mix);
        }
        while next_demand_at <= simulation.now {
            next_demand_at -= (1.0 - simulation.traffic_rng.random::<f64>()).ln()
                * if mix == FLOOD_MIX { DEMAND_INTERVAL_SECONDS / 4.0 } else { DEMAND_INTERVAL_SECONDS };
            simulation.add_demand(segment, rule.is_none(), mix == FLOOD_MIX);
            segment += 1;
        }
        if simulation.now % 10.0 == 0.0 && simulation.plan_and_sample(&links, mix, seconds, &mut debts) {
            break;
        }
        simulation.run_fills(&links);
        simulation.update_cold_load();
        simulation.now += 1.0;
    }
    let settle_seconds = simulation.now - seconds;
    simulation.send_counts();
    simulation.receive_counts(true);
    let mut result = simulation.conclude();
    result.mean_open_bytes = debts.sum / debts.samples;
    result.mean_worst_creditor_bytes = debts.worst_sum / debts.samples;
    result.settle_seconds = settle_seconds;
    result
}

impl Simulation {
    /// Starts a new second in the counters of delivered bytes.
    fn begin_second(&mut self) {
        for bytes_by_second in self.delivered.values_mut() {
            bytes_by_second.push_front(0.0);
            bytes_by_second.truncate(2);
        }
    }

    /// Carries a second of queries between all pairs of partners.
    fn carry_queries(&mut self, mix: &str) {
        for carrier in 0..PARTNERS.len() {
            for debtor in (0..PARTNERS.len()).filter(|debtor| *debtor != carrier) {
                let bytes = 2.0 * traffic(mix, carrier, debtor, self.now) * self.traffic_rng.random::<f64>();
                *self.actual.entry((carrier, debtor)).or_default() += bytes as u64;
                self.record_carried(carrier, debtor, bytes as u64);
            }
        }
    }

    /// Exchanges counts, plans fills and samples the open debts. Returns true when the simulation is over.
    fn plan_and_sample(
        &mut self,
        links: &LinkCapacities,
        mix: &str,
        seconds: f64,
        debts: &mut OpenDebts,
    ) -> bool {
        let queries_running = self.now < seconds;
        self.send_counts();
        self.receive_counts(false);
        self.plan(links);
        let open = self.open_bytes();
        self.result.open_megabytes.push((self.now, open / 1e6));
        if queries_running && self.now >= seconds / 4.0 {
            debts.sum += open;
            debts.worst_sum += self.worst_creditor_bytes();
            debts.samples += 1.0;
        }
        if queries_running {
            debts.at_end = open;
            self.result.jain_index = jain_index(&self.carried_ratios());
            return false;
        }
        mix == FLOOD_MIX || open <= (SETTLED_RATIO * debts.at_end).max(SETTLED_BYTES)
    }

    /// Updates the largest load of a node that is being filled.
    fn update_cold_load(&mut self) {
        for bytes_by_second in self.delivered.values() {
            let units = bytes_by_second.front().copied().unwrap_or(0.0) / UNIT_BYTES as f64
                + COLD_CAPACITY.used_units;
            self.result.max_cold_node_ratio = self
                .result
                .max_cold_node_ratio
                .max(units / max_slow_start_units(COLD_CAPACITY.expected_units));
        }
    }

    /// Compares the balances with the bytes actually carried, and computes the ratios for the inflating partner.
    fn conclude(mut self) -> SimulationResult {
        let mut result = std::mem::take(&mut self.result);
        let pairs = (0..PARTNERS.len()).flat_map(|a| (0..PARTNERS.len()).map(move |b| (a, b)));
        for (a, b) in pairs.filter(|(a, b)| a < b) {
            let actual =
                |carrier, debtor| i128::from(self.actual.get(&(carrier, debtor)).copied().unwrap_or(0));
            let error = self.balances.balance(PARTNERS[b], PARTNERS[a]) - (actual(a, b) - actual(b, a));
            result.balance_error_bytes += error.unsigned_abs() as f64;
        }
        let (mut claimed, mut seen) = (0, 0);
        for discrepancy in
            self.balances.discrepancies().iter().filter(|found| found.carrier == INFLATING_PARTNER)
        {
            claimed += discrepancy.carrier_bytes;
            seen += discrepancy.debtor_bytes;
        }
        let gross: u64 = PARTNERS.iter().map(|debtor| self.balances.gross(INFLATING_PARTNER, debtor)).sum();
        let seen_bytes = seen.max(1) as f64;
        result.counted_ratio = gross as f64 / seen_bytes;
        result.disputed_ratio = (claimed - seen) as f64 / seen_bytes;
        result.cell_count = self.merged_counts.cell_count() as f64;
        result
    }
}
