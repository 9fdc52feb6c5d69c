//! One play: scans, needs, brokers that count and tell, the planner and its fills, second by second.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dunepond_settlement::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const PARTNERS: [&str; 5] = ["east", "mid", "north", "south", "west"];
/// The one that claims ten times what it carried.
const LIAR: &str = "west";
/// Scans as in the even mix, and the first partner asks for far more fills than all can carry.
pub const FLOOD: &str = "flood of needs";
const KB: f64 = 1024.0;
/// Bytes a second of all scans that another partner answers, and of a link; one pair of partners has a slow one.
const SCANS: f64 = 1200.0 * KB;
const LINK: f64 = 2048.0 * KB;
const SLOW: f64 = 256.0 * KB;
/// A need comes every so many seconds, of so many bytes at most.
const NEED_EVERY: f64 = 8.0;
const NEED_BYTES: u64 = 64 << 20;
/// What is left for settled: a share of what was open when the scans ended, or so many bytes, as fills go on.
const SETTLED: f64 = 0.1;
const FEW: f64 = 2.0 * NEED_BYTES as f64;
const COLD: NodeCapacity = NodeCapacity { expected_units: 4.0, used_units: 6.0 };
const UNIT: u64 = 256 << 10;

pub fn terms() -> SettlementTerms {
    SettlementTerms {
        window_seconds: 600.0,
        half_life_seconds: 1800.0,
        max_fill_bytes: 128 << 20,
        max_debt_speed: 2.0 * LINK,
        max_debt_bytes: 4 << 30,
        max_carried_bytes: 640 << 20,
        min_fill_rate: 64.0 * KB,
        max_fill_rate: LINK,
        ..SettlementTerms::default()
    }
}

/// Bytes a second that `carrier` carries for customers of `owed_by`.
fn traffic(mix: &str, carrier: usize, owed_by: usize, now: f64) -> f64 {
    let all = PARTNERS.len();
    match mix {
        "even" | FLOOD => SCANS / (all * (all - 1)) as f64,
        // Nearly all customers are the first partner's.
        "lopsided" => SCANS * if owed_by == 0 { 0.8 / 4.0 } else { 0.2 / 16.0 },
        _ => {
            let burst = ((now / 600.0) as usize) % all == owed_by;
            let ring = (owed_by + 1) % all == carrier;
            SCANS * (if ring { 0.5 / 5.0 } else { 0.0 } + if burst { 0.5 / 4.0 } else { 0.0 })
        }
    }
}

/// What one play gave.
#[derive(Default)]
pub struct Played {
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
    pub asked: [f64; 5],
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
    chance: Pcg64Mcg,
    /// Scans and needs: the same under every rule.
    outside: Pcg64Mcg,
    /// Two a partner would be more than is needed: one broker a partner, on that side.
    tallies: Vec<LocalCounts>,
    sides: BrokerPartners,
    /// Counts on their way to whoever plans.
    in_transit: Vec<SentCounts>,
    heard: CarriedCounts,
    book: Balances,
    planner: FillPlanner,
    needs: VecDeque<FillDemand>,
    /// Since when each partner that needs fills has had none.
    since: BTreeMap<String, f64>,
    fillings: Vec<(f64, FillProgress)>,
    /// In truth: carrier, owed by, bytes.
    truth: BTreeMap<(usize, usize), u64>,
    /// Bytes of each holder that is being filled, by second.
    brought: BTreeMap<String, VecDeque<f64>>,
    recent_fills: Vec<CarriedFill>,
    played: Played,
}

fn index(partner: &str) -> usize {
    PARTNERS.iter().position(|it| *it == partner).unwrap_or(0)
}

impl Simulation {
    fn new(rule: Option<PlanningRule>, seed: u64) -> Simulation {
        let broker = |partner: &str| format!("{partner}-1");
        let sides = BrokerPartners {
            partner_of: PARTNERS.iter().map(|p| (broker(p), p.to_string())).collect(),
            metered: PARTNERS.iter().map(|p| p.to_string()).collect::<BTreeSet<_>>(),
        };
        let open = |p: &&str| {
            LocalCounts::open(None, &broker(p), 1).expect("a first start has nothing that could differ")
        };
        Simulation {
            now: 0.0,
            chance: Pcg64Mcg::seed_from_u64(seed),
            outside: Pcg64Mcg::seed_from_u64(seed ^ 0x0de6),
            tallies: PARTNERS.iter().map(open).collect(),
            book: Balances::new(terms(), sides.clone(), SettlementLedger::default())
                .expect("the terms above are in order"),
            sides,
            in_transit: Vec::new(),
            heard: CarriedCounts::new(),
            planner: FillPlanner::new("planner", rule.unwrap_or(PlanningRule::Cheapest), seed),
            needs: VecDeque::new(),
            since: BTreeMap::new(),
            fillings: Vec::new(),
            truth: BTreeMap::new(),
            brought: BTreeMap::new(),
            recent_fills: Vec::new(),
            played: Played::default(),
        }
    }

    /// Both sides count; the liar says ten times.
    fn carried(&mut self, carrier: usize, owed_by: usize, bytes: u64) {
        if carrier == owed_by || bytes == 0 {
            return;
        }
        let times = if PARTNERS[carrier] == LIAR { 10 } else { 1 };
        self.tallies[carrier].record(PARTNERS[carrier], PARTNERS[owed_by], bytes * times);
        self.tallies[owed_by].record(PARTNERS[carrier], PARTNERS[owed_by], bytes);
    }

    /// A broker tells, and now and then starts anew; what it told comes late, and often twice.
    fn tell(&mut self) {
        for (partner, tally) in PARTNERS.iter().zip(&mut self.tallies) {
            let (broker, told) = (format!("{partner}-1"), tally.counts().clone());
            for _ in 0..1 + usize::from(self.chance.random::<f64>() < 0.3) {
                let due = self.now + self.chance.random::<f64>() * 60.0;
                self.in_transit.push(SentCounts { due, broker: broker.clone(), counts: told.clone() });
            }
            if self.chance.random::<f64>() < 0.02 {
                let anew = LocalCounts::open(Some(tally.clone()), &broker, tally.incarnation() + 1);
                *tally = anew.expect("its own folder, and a later number");
            }
        }
    }

    fn hear(&mut self, all: bool) {
        let (now, sides) = (self.now, &self.sides);
        for sent in self.in_transit.extract_if(.., |sent| all || sent.due <= now) {
            self.heard.merge_from(&sent.broker, &sent.counts, sides).expect("fewer cells than a flood has");
        }
        self.book.update_counts(now, &self.heard);
    }

    fn need(&mut self, segment: u64, one_source: bool, flood: bool) {
        let draw = |chance: &mut Pcg64Mcg, below: usize| (chance.random::<f64>() * below as f64) as usize;
        let (to, floods) = (draw(&mut self.outside, PARTNERS.len()), self.outside.random::<f64>() < 0.8);
        let to = if flood && floods { 0 } else { to };
        let mut from: Vec<usize> = (0..PARTNERS.len()).collect();
        while from.len() > 3 {
            let out = draw(&mut self.outside, from.len());
            from.remove(out);
        }
        let one = draw(&mut self.outside, 3);
        if one_source {
            from = vec![from[one]];
        }
        // What floods comes in small ones, behind which large ones would wait.
        let (least, most) = match (flood, to) {
            (false, _) => (0.125, 1.0),
            (true, 0) => (0.125, 0.5),
            (true, _) => (0.625, 1.0),
        };
        let bytes = (NEED_BYTES as f64 * (least + (most - least) * self.outside.random::<f64>())) as u64;
        self.played.asked[to] += bytes as f64;
        let need = FillDemand {
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
        self.since.entry(need.partner.clone()).or_insert(self.now);
        self.needs.push_back(need);
    }

    fn plan(&mut self, links: &LinkCapacities) {
        let nodes = self.needs.iter().map(|need| (need.node.clone(), COLD));
        let running = self.planner.running().map(|fill| (fill.node.clone(), COLD));
        let cold = SlowStartCapacity {
            window_seconds: 1.0,
            unit_bytes: UNIT,
            nodes: nodes.chain(running).collect(),
        };
        let needs: Vec<FillDemand> = self.needs.iter().cloned().collect();
        let plan = self.planner.plan(&self.book, &needs, links, &cold, None, self.now);
        for fill in plan.fills {
            self.needs.retain(|need| need.id() != fill.id);
            self.played.served[index(&fill.to)] += fill.bytes as f64;
            let since = self.since.insert(fill.to.clone(), self.now).unwrap_or(self.now);
            self.played.waited = self.played.waited.max(self.now - since);
            if fill.from != fill.to {
                let (at, from) = (self.now, fill.from.clone());
                self.recent_fills.push(CarriedFill { at, from, bytes: fill.bytes });
            }
            let patience =
                FillRetryPolicy { deadline_seconds: 1e9, max_attempts: 100, ..FillRetryPolicy::default() };
            self.fillings.push((0.0, FillProgress::new(fill, patience, self.now)));
        }
        let (now, needs) = (self.now, &self.needs);
        self.since.retain(|partner, _| needs.iter().any(|need| need.partner == *partner));
        let waited = self.since.values().map(|since| now - since);
        self.played.waited = waited.fold(self.played.waited, f64::max);
        let since = self.now - terms().window_seconds;
        self.recent_fills.retain(|fill| fill.at > since);
        for partner in PARTNERS {
            let own = self.recent_fills.iter().filter(|fill| fill.from == partner);
            let carried: u64 = own.map(|fill| fill.bytes).sum();
            self.played.carried = self.played.carried.max(carried as f64 / terms().max_carried_bytes as f64);
        }
    }

    /// A second of all fills: each brings its rate; one in ten fails at its end, and is begun again.
    fn fill(&mut self, links: &LinkCapacities) {
        let mut on: BTreeMap<(String, String), f64> = BTreeMap::new();
        let mut ended = Vec::new();
        for (brought, filling) in &mut self.fillings {
            if filling
                .tick(self.now, &mut self.chance)
                .iter()
                .any(|order| matches!(order, FillAction::Start(_)))
            {
                *brought = 0.0;
            }
            if !matches!(filling.state(), FillState::Running { .. }) {
                continue;
            }
            let fill = filling.fill.clone();
            let bytes = fill.rate.min(fill.bytes as f64 - *brought);
            *brought += bytes;
            *on.entry((fill.from.clone(), fill.to.clone())).or_default() += bytes;
            *self.brought.entry(fill.node.clone()).or_default().front_mut().unwrap_or(&mut 0.0) += bytes;
            let end = *brought >= fill.bytes as f64 - 0.5;
            if end {
                let failed = self.chance.random::<f64>() < 0.1;
                let event =
                    if failed { FillEvent::Failed { reason: "told to".into() } } else { FillEvent::Done };
                let orders =
                    filling.handle_event(self.now, event, &mut self.chance).expect("it is under way");
                ended.extend(orders.into_iter().filter_map(|order| match order {
                    FillAction::Propose(fill) => Some(fill),
                    _ => None,
                }));
            }
        }
        for ((from, to), bytes) in on {
            self.played.link = self.played.link.max(bytes / links.rate_cap(&from, &to));
        }
        for fill in ended {
            self.end(&fill);
        }
        self.fillings.retain(|(_, filling)| !filling.state().is_final());
    }

    /// Its settlement comes into the log twice; the rest of it is counted as carried.
    fn end(&mut self, fill: &Fill) {
        self.played.fills += 1.0;
        self.planner.fill_ended(&fill.id, true);
        let (from, to) = (index(&fill.from), index(&fill.to));
        if from != to {
            *self.truth.entry((from, to)).or_default() += fill.bytes;
        }
        self.carried(from, to, fill.unsettled_bytes());
        if let Some(settlement) = fill.settles.clone().map(SettlementEntry::Settle) {
            assert_eq!(self.book.apply(&settlement), Ok(ApplyOutcome::New));
            assert_eq!(self.book.apply(&settlement), Ok(ApplyOutcome::Duplicate));
        }
    }

    fn open(&self) -> f64 {
        self.book.net_debts().iter().map(|debt| debt.bytes as f64).sum()
    }

    fn worst(&self) -> f64 {
        let mut owed: BTreeMap<String, f64> = BTreeMap::new();
        let net = self.book.net_debts();
        net.into_iter().for_each(|debt| *owed.entry(debt.creditor).or_default() += debt.bytes as f64);
        owed.into_values().fold(0.0, f64::max)
    }

    /// What each partner carried to what was carried for it, all in truth.
    fn ratios(&self) -> Vec<f64> {
        let of = |at: usize, carrier: bool| -> f64 {
            let cells = self.truth.iter().filter(|((c, o), _)| if carrier { *c == at } else { *o == at });
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
pub fn play(mix: &str, rule: Option<PlanningRule>, seed: u64, seconds: f64) -> Played {
    let mut simulation = Simulation::new(rule, seed);
    let slow = [("mid", "north"), ("north", "mid")].map(|(from, to)| (PartnerPair::new(from, to), SLOW));
    let links =
        LinkCapacities { rate_caps: slow.into(), default_rate_cap: LINK, internal_rate_cap: 4.0 * LINK };
    let (mut next, mut segment) = (0.0, 0);
    let mut debts = OpenDebts::default();
    while simulation.now < 2.0 * seconds {
        let queries = simulation.now < seconds;
        simulation.begin_second();
        if queries {
            simulation.carry_queries(mix);
        }
        while next <= simulation.now {
            next -= (1.0 - simulation.outside.random::<f64>()).ln()
                * if mix == FLOOD { NEED_EVERY / 4.0 } else { NEED_EVERY };
            simulation.need(segment, rule.is_none(), mix == FLOOD);
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
    simulation.tell();
    simulation.hear(true);
    let mut played = simulation.conclude();
    played.spread = debts.sum / debts.samples;
    played.worst = debts.worst_sum / debts.samples;
    played.settles_in = settles_in;
    played
}

impl Simulation {
    fn begin_second(&mut self) {
        for replica in self.brought.values_mut() {
            replica.push_front(0.0);
            replica.truncate(2);
        }
    }

    fn carry_queries(&mut self, mix: &str) {
        for carrier in 0..PARTNERS.len() {
            for owed_by in (0..PARTNERS.len()).filter(|it| *it != carrier) {
                let bytes = 2.0 * traffic(mix, carrier, owed_by, self.now) * self.outside.random::<f64>();
                *self.truth.entry((carrier, owed_by)).or_default() += bytes as u64;
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
        self.tell();
        self.hear(false);
        self.plan(links);
        let open = self.open();
        self.played.open.push((self.now, open / 1e6));
        if queries && self.now >= seconds / 4.0 {
            debts.sum += open;
            debts.worst_sum += self.worst();
            debts.samples += 1.0;
        }
        if queries {
            debts.at_end = open;
            self.played.jain = jain_index(&self.ratios());
            return false;
        }
        mix == FLOOD || open <= (SETTLED * debts.at_end).max(FEW)
    }

    fn note_cold_load(&mut self) {
        for replica in self.brought.values() {
            let units = replica.front().copied().unwrap_or(0.0) / UNIT as f64 + COLD.used_units;
            self.played.cold = self.played.cold.max(units / max_units(COLD.expected_units));
        }
    }

    /// Compares the balances with what was carried in truth.
    fn conclude(mut self) -> Played {
        let mut played = std::mem::take(&mut self.played);
        let pairs = (0..PARTNERS.len()).flat_map(|c| (0..PARTNERS.len()).map(move |o| (c, o)));
        for (c, o) in pairs.filter(|(c, o)| c < o) {
            let truth = |c, o| i128::from(self.truth.get(&(c, o)).copied().unwrap_or(0));
            let off = self.book.balance(PARTNERS[o], PARTNERS[c]) - (truth(c, o) - truth(o, c));
            played.off += off.unsigned_abs() as f64;
        }
        let (mut said, mut seen) = (0, 0);
        for discrepancy in self.book.discrepancies().iter().filter(|it| it.carrier == LIAR) {
            said += discrepancy.carrier_bytes;
            seen += discrepancy.debtor_bytes;
        }
        let gross: u64 = PARTNERS.iter().map(|owed_by| self.book.gross(LIAR, owed_by)).sum();
        let seen_bytes = seen.max(1) as f64;
        played.counted = gross as f64 / seen_bytes;
        played.disputed = (said - seen) as f64 / seen_bytes;
        played.cells = self.heard.cell_count() as f64;
        played
    }
}
