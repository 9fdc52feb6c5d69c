//! One play: scans, needs, brokers that count and tell, the planner and its fills, second by second.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dunepond_settlement::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const PARTNERS: [&str; 5] = ["east", "mid", "north", "south", "west"];
/// The one that claims ten times what it carried.
const INFLATING_PARTNER: &str = "west";
/// Scans as in the even mix, and the first partner asks for far more fills than all can carry.
pub const FLOOD: &str = "flood of needs";
const KB: f64 = 1024.0;
/// Bytes a second of all scans that another partner answers, and of a link; one pair of partners has a slow one.
const QUERY_BYTES_PER_SECOND: f64 = 1200.0 * KB;
const LINK_BYTES_PER_SECOND: f64 = 2048.0 * KB;
const SLOW_LINK_BYTES_PER_SECOND: f64 = 256.0 * KB;
/// A need comes every so many seconds, of so many bytes at most.
const DEMAND_INTERVAL_SECONDS: f64 = 8.0;
const MAX_DEMAND_BYTES: u64 = 64 << 20;
/// What is left for settled: a share of what was open when the scans ended, or so many bytes, as fills go on.
const SETTLED_RATIO: f64 = 0.1;
const SETTLED_BYTES: f64 = 2.0 * MAX_DEMAND_BYTES as f64;
const COLD_CAPACITY: NodeCapacity = NodeCapacity { expected_units: 4.0, used_units: 6.0 };
const UNIT_BYTES: u64 = 256 << 10;

pub fn terms() -> SettlementTerms {
    SettlementTerms {
        window_seconds: 600.0,
        half_life_seconds: 1800.0,
        max_fill_bytes: 128 << 20,
        max_debt_speed: 2.0 * LINK_BYTES_PER_SECOND,
        max_debt_bytes: 4 << 30,
        max_carried_bytes: 640 << 20,
        min_fill_rate: 64.0 * KB,
        max_fill_rate: LINK_BYTES_PER_SECOND,
        ..SettlementTerms::default()
    }
}

/// Bytes a second that `carrier` carries for customers of `owed_by`.
fn traffic(mix: &str, carrier: usize, owed_by: usize, now: f64) -> f64 {
    let all = PARTNERS.len();
    match mix {
        "even" | FLOOD => QUERY_BYTES_PER_SECOND / (all * (all - 1)) as f64,
        // Nearly all customers are the first partner's.
        "lopsided" => QUERY_BYTES_PER_SECOND * if owed_by == 0 { 0.8 / 4.0 } else { 0.2 / 16.0 },
        _ => {
            let burst = ((now / 600.0) as usize) % all == owed_by;
            let ring = (owed_by + 1) % all == carrier;
            QUERY_BYTES_PER_SECOND
                * (if ring { 0.5 / 5.0 } else { 0.0 } + if burst { 0.5 / 4.0 } else { 0.0 })
        }
    }
}

/// What one play gave.
#[derive(Default)]
pub struct SimulationResult {
    /// Open bytes over time; their mean while scans came, after the first quarter.
    pub open: Vec<(f64, f64)>,
    pub spread: f64,
    /// The same of the one partner to which most is owed.
    pub worst: f64,
    pub settles_in: f64,
    /// Of what each partner carried to what was carried for it.
    pub jain: f64,
    /// The greatest of load to bound: links, cold nodes, carried in a window; the longest that a partner which needed
    /// fills went without one.
    pub link: f64,
    pub cold: f64,
    pub carried: f64,
    pub waited: f64,
    pub fills: f64,
    /// Bytes of needs, and of those planned, by partner.
    pub demanded: [f64; 5],
    pub served: [f64; 5],
    /// Bytes by which the book differs from what was carried in truth.
    pub off: f64,
    /// Of the liar: what counts of what it carried, and what is named as disputed.
    pub counted: f64,
    pub disputed: f64,
    pub cells: f64,
}

/// Counts of a broker on their way to the planner.
struct SentCounts {
    due: f64,
    broker: String,
    counts: CarriedCounts,
}

/// A fill that one partner carries for another.
struct CarriedFill {
    at: f64,
    from: String,
    bytes: u64,
}

struct Simulation {
    now: f64,
    rng: Pcg64Mcg,
    /// Scans and needs: the same under every rule.
    traffic_rng: Pcg64Mcg,
    /// Two a partner would be more than is needed: one broker a partner, on that side.
    local_counts: Vec<LocalCounts>,
    broker_partners: BrokerPartners,
    /// Counts on their way to whoever plans.
    in_transit: Vec<SentCounts>,
    merged_counts: CarriedCounts,
    balances: Balances,
    planner: FillPlanner,
    demands: VecDeque<FillDemand>,
    /// Since when each partner that needs fills has had none.
    waiting_since: BTreeMap<String, f64>,
    running_fills: Vec<(f64, FillProgress)>,
    /// In truth: carrier, owed by, bytes.
    actual: BTreeMap<(usize, usize), u64>,
    /// Bytes of each holder that is being filled, by second.
    delivered: BTreeMap<String, VecDeque<f64>>,
    recent_fills: Vec<CarriedFill>,
    result: SimulationResult,
}

fn index(partner: &str) -> usize {
    PARTNERS.iter().position(|it| *it == partner).unwrap_or(0)
}

impl Simulation {
    fn new(rule: Option<PlanningRule>, seed: u64) -> Simulation {
        let broker = |partner: &str| format!("{partner}-1");
        let broker_partners = BrokerPartners {
            partner_of: PARTNERS.iter().map(|p| (broker(p), p.to_string())).collect(),
            metered: PARTNERS.iter().map(|p| p.to_string()).collect::<BTreeSet<_>>(),
        };
        let open = |p: &&str| {
            LocalCounts::open(None, &broker(p), 1).expect("a first start has nothing that could differ")
        };
        Simulation {
            now: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            traffic_rng: Pcg64Mcg::seed_from_u64(seed ^ 0x0de6),
            local_counts: PARTNERS.iter().map(open).collect(),
            balances: Balances::new(terms(), broker_partners.clone(), SettlementLedger::default())
                .expect("the terms above are in order"),
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

    /// Both sides count; the liar says ten times.
    fn carried(&mut self, carrier: usize, owed_by: usize, bytes: u64) {
        if carrier == owed_by || bytes == 0 {
            return;
        }
        let times = if PARTNERS[carrier] == INFLATING_PARTNER { 10 } else { 1 };
        self.local_counts[carrier].record(PARTNERS[carrier], PARTNERS[owed_by], bytes * times);
        self.local_counts[owed_by].record(PARTNERS[carrier], PARTNERS[owed_by], bytes);
    }

    /// A broker tells, and now and then starts anew; what it told comes late, and often twice.
    fn send_counts(&mut self) {
        for (partner, local) in PARTNERS.iter().zip(&mut self.local_counts) {
            let (broker, sent_counts) = (format!("{partner}-1"), local.counts().clone());
            for _ in 0..1 + usize::from(self.rng.random::<f64>() < 0.3) {
                let due = self.now + self.rng.random::<f64>() * 60.0;
                self.in_transit.push(SentCounts { due, broker: broker.clone(), counts: sent_counts.clone() });
            }
            if self.rng.random::<f64>() < 0.02 {
                let restarted = LocalCounts::open(Some(local.clone()), &broker, local.incarnation() + 1);
                *local = restarted.expect("its own folder, and a later number");
            }
        }
    }

    fn receive_counts(&mut self, all: bool) {
        let (now, broker_partners) = (self.now, &self.broker_partners);
        for sent in self.in_transit.extract_if(.., |sent| all || sent.due <= now) {
            self.merged_counts
                .merge_from(&sent.broker, &sent.counts, broker_partners)
                .expect("fewer cells than a flood has");
        }
        self.balances.update_counts(now, &self.merged_counts);
    }

    fn add_demand(&mut self, segment: u64, one_source: bool, flood: bool) {
        let draw = |rng: &mut Pcg64Mcg, below: usize| (rng.random::<f64>() * below as f64) as usize;
        let (to, floods) =
            (draw(&mut self.traffic_rng, PARTNERS.len()), self.traffic_rng.random::<f64>() < 0.8);
        let to = if flood && floods { 0 } else { to };
        let mut from: Vec<usize> = (0..PARTNERS.len()).collect();
        while from.len() > 3 {
            let out = draw(&mut self.traffic_rng, from.len());
            from.remove(out);
        }
        let one = draw(&mut self.traffic_rng, 3);
        if one_source {
            from = vec![from[one]];
        }
        // What floods comes in small ones, behind which large ones would wait.
        let (least, most) = match (flood, to) {
            (false, _) => (0.125, 1.0),
            (true, 0) => (0.125, 0.5),
            (true, _) => (0.625, 1.0),
        };
        let bytes =
            (MAX_DEMAND_BYTES as f64 * (least + (most - least) * self.traffic_rng.random::<f64>())) as u64;
        self.result.demanded[to] += bytes as f64;
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
            self.result.served[index(&fill.to)] += fill.bytes as f64;
            let waiting_since = self.waiting_since.insert(fill.to.clone(), self.now).unwrap_or(self.now);
            self.result.waited = self.result.waited.max(self.now - waiting_since);
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
        self.result.waited = waited.fold(self.result.waited, f64::max);
        let waiting_since = self.now - terms().window_seconds;
        self.recent_fills.retain(|fill| fill.at > waiting_since);
        for partner in PARTNERS {
            let own = self.recent_fills.iter().filter(|fill| fill.from == partner);
            let carried: u64 = own.map(|fill| fill.bytes).sum();
            self.result.carried = self.result.carried.max(carried as f64 / terms().max_carried_bytes as f64);
        }
    }

    /// A second of all fills: each brings its rate; one in ten fails at its end, and is begun again.
    fn fill(&mut self, links: &LinkCapacities) {
        let mut on: BTreeMap<(String, String), f64> = BTreeMap::new();
        let mut ended = Vec::new();
        for (delivered, running_fill) in &mut self.running_fills {
            if running_fill
                .tick(self.now, &mut self.rng)
                .iter()
                .any(|order| matches!(order, FillAction::Start(_)))
            {
                *delivered = 0.0;
            }
            if !matches!(running_fill.state(), FillState::Running { .. }) {
                continue;
            }
            let fill = running_fill.fill.clone();
            let bytes = fill.rate.min(fill.bytes as f64 - *delivered);
            *delivered += bytes;
            *on.entry((fill.from.clone(), fill.to.clone())).or_default() += bytes;
            *self.delivered.entry(fill.node.clone()).or_default().front_mut().unwrap_or(&mut 0.0) += bytes;
            let end = *delivered >= fill.bytes as f64 - 0.5;
            if end {
                let failed = self.rng.random::<f64>() < 0.1;
                let event =
                    if failed { FillEvent::Failed { reason: "told to".into() } } else { FillEvent::Done };
                let orders =
                    running_fill.handle_event(self.now, event, &mut self.rng).expect("it is under way");
                ended.extend(orders.into_iter().filter_map(|order| match order {
                    FillAction::Propose(fill) => Some(fill),
                    _ => None,
                }));
            }
        }
        for ((from, to), bytes) in on {
            self.result.link = self.result.link.max(bytes / links.rate_cap(&from, &to));
        }
        for fill in ended {
            self.end(&fill);
        }
        self.running_fills.retain(|(_, running_fill)| !running_fill.state().is_final());
    }

    /// Its settlement comes into the log twice; the rest of it is counted as carried.
    fn end(&mut self, fill: &Fill) {
        self.result.fills += 1.0;
        self.planner.fill_ended(&fill.id, true);
        let (from, to) = (index(&fill.from), index(&fill.to));
        if from != to {
            *self.actual.entry((from, to)).or_default() += fill.bytes;
        }
        self.carried(from, to, fill.unsettled_bytes());
        if let Some(settlement) = fill.settles.clone().map(SettlementEntry::Settle) {
            assert_eq!(self.balances.apply(&settlement), Ok(ApplyOutcome::New));
            assert_eq!(self.balances.apply(&settlement), Ok(ApplyOutcome::Duplicate));
        }
    }

    fn open(&self) -> f64 {
        self.balances.net_debts().iter().map(|debt| debt.bytes as f64).sum()
    }

    fn worst(&self) -> f64 {
        let mut owed: BTreeMap<String, f64> = BTreeMap::new();
        let net = self.balances.net_debts();
        net.into_iter().for_each(|debt| *owed.entry(debt.creditor).or_default() += debt.bytes as f64);
        owed.into_values().fold(0.0, f64::max)
    }

    /// What each partner carried to what was carried for it, all in truth.
    fn ratios(&self) -> Vec<f64> {
        let of = |at: usize, carrier: bool| -> f64 {
            let cells = self.actual.iter().filter(|((c, o), _)| if carrier { *c == at } else { *o == at });
            cells.map(|(_, bytes)| *bytes as f64).sum()
        };
        (0..PARTNERS.len()).map(|at| of(at, true) / of(at, false).max(1.0)).collect()
    }
}

/// Open debts while queries come, after the first quarter.
#[derive(Default)]
struct OpenDebts {
    sum: f64,
    worst_sum: f64,
    samples: f64,
    /// When the queries ended.
    at_end: f64,
}

/// Queries for so long, then fills alone until debts are settled, or as long again.
pub fn play(mix: &str, rule: Option<PlanningRule>, seed: u64, seconds: f64) -> SimulationResult {
    let mut simulation = Simulation::new(rule, seed);
    let slow = [("mid", "north"), ("north", "mid")]
        .map(|(from, to)| (PartnerPair::new(from, to), SLOW_LINK_BYTES_PER_SECOND));
    let links = LinkCapacities {
        rate_caps: slow.into(),
        default_rate_cap: LINK_BYTES_PER_SECOND,
        internal_rate_cap: 4.0 * LINK_BYTES_PER_SECOND,
    };
    let (mut next, mut segment) = (0.0, 0);
    let mut debts = OpenDebts::default();
    while simulation.now < 2.0 * seconds {
        let queries = simulation.now < seconds;
        simulation.begin_second();
        if queries {
            simulation.carry_queries(mix);
        }
        while next <= simulation.now {
            next -= (1.0 - simulation.traffic_rng.random::<f64>()).ln()
                * if mix == FLOOD { DEMAND_INTERVAL_SECONDS / 4.0 } else { DEMAND_INTERVAL_SECONDS };
            simulation.add_demand(segment, rule.is_none(), mix == FLOOD);
            segment += 1;
        }
        if simulation.now % 10.0 == 0.0 && simulation.plan_and_look(&links, mix, seconds, &mut debts) {
            break;
        }
        simulation.fill(&links);
        simulation.note_cold_load();
        simulation.now += 1.0;
    }
    let settles_in = simulation.now - seconds;
    simulation.send_counts();
    simulation.receive_counts(true);
    let mut result = simulation.conclude();
    result.spread = debts.sum / debts.samples;
    result.worst = debts.worst_sum / debts.samples;
    result.settles_in = settles_in;
    result
}

impl Simulation {
    fn begin_second(&mut self) {
        for replica in self.delivered.values_mut() {
            replica.push_front(0.0);
            replica.truncate(2);
        }
    }

    fn carry_queries(&mut self, mix: &str) {
        for carrier in 0..PARTNERS.len() {
            for owed_by in (0..PARTNERS.len()).filter(|it| *it != carrier) {
                let bytes = 2.0 * traffic(mix, carrier, owed_by, self.now) * self.traffic_rng.random::<f64>();
                *self.actual.entry((carrier, owed_by)).or_default() += bytes as u64;
                self.carried(carrier, owed_by, bytes as u64);
            }
        }
    }

    /// Exchanges counts and plans; true where the play is over.
    fn plan_and_look(
        &mut self,
        links: &LinkCapacities,
        mix: &str,
        seconds: f64,
        debts: &mut OpenDebts,
    ) -> bool {
        let queries = self.now < seconds;
        self.send_counts();
        self.receive_counts(false);
        self.plan(links);
        let open = self.open();
        self.result.open.push((self.now, open / 1e6));
        if queries && self.now >= seconds / 4.0 {
            debts.sum += open;
            debts.worst_sum += self.worst();
            debts.samples += 1.0;
        }
        if queries {
            debts.at_end = open;
            self.result.jain = jain_index(&self.ratios());
            return false;
        }
        mix == FLOOD || open <= (SETTLED_RATIO * debts.at_end).max(SETTLED_BYTES)
    }

    fn note_cold_load(&mut self) {
        for replica in self.delivered.values() {
            let units =
                replica.front().copied().unwrap_or(0.0) / UNIT_BYTES as f64 + COLD_CAPACITY.used_units;
            self.result.cold =
                self.result.cold.max(units / max_slow_start_units(COLD_CAPACITY.expected_units));
        }
    }

    /// Compares the balances with what was carried in truth.
    fn conclude(mut self) -> SimulationResult {
        let mut result = std::mem::take(&mut self.result);
        let pairs = (0..PARTNERS.len()).flat_map(|c| (0..PARTNERS.len()).map(move |o| (c, o)));
        for (c, o) in pairs.filter(|(c, o)| c < o) {
            let actual = |c, o| i128::from(self.actual.get(&(c, o)).copied().unwrap_or(0));
            let off = self.balances.balance(PARTNERS[o], PARTNERS[c]) - (actual(c, o) - actual(o, c));
            result.off += off.unsigned_abs() as f64;
        }
        let (mut said, mut seen) = (0, 0);
        for discrepancy in self.balances.discrepancies().iter().filter(|it| it.carrier == INFLATING_PARTNER) {
            said += discrepancy.carrier_bytes;
            seen += discrepancy.debtor_bytes;
        }
        let gross: u64 = PARTNERS.iter().map(|owed_by| self.balances.gross(INFLATING_PARTNER, owed_by)).sum();
        let seen_bytes = seen.max(1) as f64;
        result.counted = gross as f64 / seen_bytes;
        result.disputed = (said - seen) as f64 / seen_bytes;
        result.cells = self.merged_counts.cell_count() as f64;
        result
    }
}
