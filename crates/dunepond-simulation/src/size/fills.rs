//! What the leader's host does for fills and debts: plans by its own book, has them carried out, enters what is done.
//! A new leader begins with the agreed log and the counts alone, as a host does.

use std::collections::BTreeMap;

use dunepond_consensus::{Command, Rejection};
use dunepond_settlement::{
    ApplyOutcome, Balances, BrokerPartners, CarriedCounts, Fill, FillDemand, FillPlanner, LinkCapacities,
    PlanningRule, Settlement, SettlementEntry, SettlementLedger, SettlementTerms, SlowStartCapacity,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::World;
use crate::debts;
use crate::fleet::Fleet;

/// Seconds between two looks, and after which what is done is entered again.
const EVERY: f64 = 0.1;
const AGAIN: f64 = 1.0;
/// In whose name settlements are planned, at each leader.
const BY: &str = "fleet";
/// Bytes of a segment; seconds that a fill takes, least and most; how often one fails.
const SEGMENT: u64 = 1 << 20;
const LASTS: (f64, f64) = (0.1, 1.5);
const FAILS: f64 = 0.1;
/// Brokers that count, pairs of partners that carry for each other in a second, and bytes.
const COUNTING: usize = 8;
const PAIRS: usize = 6;
const CARRIED: u64 = 1 << 20;
/// Seconds by which counts come late to the leader: as gossip would bring them.
const LAG: usize = 3;

struct Under {
    fill: Fill,
    ends: f64,
    fails: bool,
    done: bool,
    enter: f64,
}

/// At one leader.
struct Desk {
    leader: usize,
    number: u64,
    book: Balances,
    planner: FillPlanner,
    under: BTreeMap<String, Under>,
}

pub struct Fills {
    chance: Pcg64Mcg,
    /// What was really carried, and as it was known some seconds ago.
    truth: CarriedCounts,
    before: Vec<CarriedCounts>,
    desk: Option<Desk>,
    next: f64,
    second: f64,
    /// As one voter after the other had them in its log.
    settled: Vec<Settlement>,
    /// Entries about debts.
    known: u64,
    taken: BTreeMap<(String, String), u64>,
    /// When a fill was done, by its settlement's id.
    pub done_at: BTreeMap<String, f64>,
}

impl Fills {
    pub fn new(_: &World, seed: u64) -> Self {
        Self {
            chance: Pcg64Mcg::seed_from_u64(seed ^ 0xf111),
            truth: CarriedCounts::new(),
            before: Vec::new(),
            desk: None,
            next: 0.0,
            second: 0.0,
            settled: Vec::new(),
            known: 0,
            taken: BTreeMap::new(),
            done_at: BTreeMap::new(),
        }
    }

    pub fn step(&mut self, fleet: &mut Fleet, world: &World) {
        if fleet.now >= self.second {
            self.second = fleet.now + 1.0;
            self.carry(world);
        }
        if fleet.now < self.next {
            return;
        }
        self.next = fleet.now + EVERY;
        let Some(leader) = fleet.leader() else { return };
        self.judge(fleet, leader);
        if self.desk.as_ref().is_none_or(|desk| desk.leader != leader) {
            self.desk = Some(self.desk(leader));
        }
        self.plan(fleet, world, leader);
        self.end(fleet);
    }

    /// Partners carry for each other; a few brokers see it.
    fn carry(&mut self, world: &World) {
        for _ in 0..PAIRS {
            let (carrier, other) =
                (self.chance.random_range(0..world.partners), self.chance.random_range(0..world.partners));
            let broker = format!("n{}", self.chance.random_range(1..=COUNTING));
            let bytes = self.chance.random_range(1..CARRIED);
            self.truth.record(&broker, 1, &world.partner(carrier), &world.partner(other), bytes);
        }
        self.before.push(self.truth.clone());
        if self.before.len() > LAG {
            self.before.remove(0);
        }
    }

    /// Settlements stay within what was really carried.
    fn judge(&mut self, fleet: &Fleet, leader: usize) {
        let (known, new) = debts::since(fleet.state(leader), self.known);
        self.known = known;
        for settlement in new {
            let pair = (settlement.debtor.clone(), settlement.creditor.clone());
            let taken = self.taken.entry(pair).or_default();
            *taken += settlement.bytes;
            let owed = self.truth.total(&settlement.creditor, &settlement.debtor);
            assert!(*taken <= owed, "{:.2}: {settlement:?} settles {taken} of {owed}", fleet.now);
            self.settled.push(settlement);
        }
    }

    fn desk(&self, leader: usize) -> Desk {
        let mut ledger = SettlementLedger::default();
        for settlement in &self.settled {
            let applied = ledger.apply(&SettlementEntry::Settle(settlement.clone()));
            assert_eq!(applied, Ok(ApplyOutcome::New), "{settlement:?}");
        }
        let book = Balances::new(SettlementTerms::default(), BrokerPartners::default(), ledger)
            .expect("the terms stand");
        let planner = FillPlanner::new(BY, PlanningRule::MaxMin, leader as u64);
        Desk { leader, number: 0, book, planner, under: BTreeMap::new() }
    }

    fn plan(&mut self, fleet: &Fleet, world: &World, leader: usize) {
        let Some(desk) = &mut self.desk else { return };
        let now = fleet.now;
        for settlement in &self.settled {
            let _ = desk.book.apply(&SettlementEntry::Settle(settlement.clone()));
        }
        if let Some(counts) = self.before.first() {
            desk.book.update_counts(now, counts);
        }
        let state = fleet.state(leader);
        let open = state.open.as_ref().and_then(|open| Some((open, state.map_transition()?)));
        let number = open.as_ref().map_or(0, |(open, _)| open.version.number);
        if desk.number != number {
            for (id, _) in std::mem::take(&mut desk.under) {
                desk.planner.fill_ended(&id, false);
            }
            desk.number = number;
        }
        let Some((open, moving)) = open else { return };
        let needs = moving
            .required_fills()
            .iter()
            .filter(|need| !open.completed_fills.contains(&(need.segment, need.replica.clone())));
        let needs: Vec<FillDemand> = needs
            .map(|need| FillDemand {
                version: number,
                segment: need.segment,
                holder: need.replica.clone(),
                holder_partner: world.partner_of(&need.replica),
                sources: need.sources.iter().map(|s| (s.clone(), world.partner_of(s)).into()).collect(),
                bytes: SEGMENT,
                start: 0,
            })
            .collect();
        let gone: Vec<String> =
            desk.under.keys().filter(|id| !needs.iter().any(|need| need.id() == **id)).cloned().collect();
        for id in gone {
            let done = desk.under.remove(&id).is_some_and(|under| under.done);
            desk.planner.fill_ended(&id, done);
        }
        let new: Vec<FillDemand> =
            needs.into_iter().filter(|need| !desk.under.contains_key(&need.id())).collect();
        let links =
            LinkCapacities { rate_caps: BTreeMap::new(), default_rate_cap: 1e9, internal_rate_cap: 1e9 };
        let cold = SlowStartCapacity { window_seconds: 1.0, unit_bytes: 1, nodes: BTreeMap::new() };
        for fill in desk.planner.plan(&desk.book, &new, &links, &cold, None, now).fills {
            let ends = now + self.chance.random_range(LASTS.0..LASTS.1);
            let fails = self.chance.random::<f64>() < FAILS;
            let under = Under { fill, ends, fails, done: false, enter: 0.0 };
            desk.under.insert(under.fill.id.clone(), under);
        }
    }

    /// The settlement first: a crash behind it leaves the fill open.
    fn end(&mut self, fleet: &mut Fleet) {
        let Some(desk) = &mut self.desk else { return };
        let now = fleet.now;
        let failed: Vec<String> = desk
            .under
            .values()
            .filter(|under| now >= under.ends && under.fails)
            .map(|under| under.fill.id.clone())
            .collect();
        for id in failed {
            desk.under.remove(&id);
            desk.planner.fill_ended(&id, false);
        }
        for under in desk.under.values_mut().filter(|u| now >= u.ends && now >= u.enter) {
            (under.done, under.enter) = (true, now + AGAIN);
            let settled = match &under.fill.settles {
                None => Ok(()),
                Some(settlement) => {
                    self.done_at.entry(settlement.id.clone()).or_insert(now);
                    fleet.propose(debts::settle(settlement.clone()))
                }
            };
            if matches!(settled, Ok(()) | Err(Rejection::AlreadySettled(_))) {
                let Fill { segment, holder, .. } = under.fill.clone();
                let _ = fleet.propose(Command::FillCompleted { number: desk.number, segment, holder });
            }
        }
    }
}
