//! Which node is filled next, and from which source.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::planning_round::{Moved, Queue, Round};
use crate::{
    Balances, Fill, FillDemand, FillPlan, LinkCapacities, PlanningRule, Settlement, SharePromises,
    SlowStartCapacity, WaitReason, max_min_rates,
};

/// A partner that has waited for this part of a window is served before all others.
const MAX_WAIT_WINDOW_RATIO: f64 = 0.5;

/// Plans fills, and remembers the running ones and those of a window. One broker plans at a time: the leader. A new leader
/// hands over what is running by [`FillPlanner::resume`].
#[derive(Clone, Debug)]
pub struct FillPlanner {
    by: String,
    rule: PlanningRule,
    rng: Pcg64Mcg,
    running: BTreeMap<String, Fill>,
    /// Of complete fills, until the log has them: the debt looks open until then.
    unsettled: BTreeMap<String, Settlement>,
    moved: Vec<Moved>,
    /// Since when a partner waits for a fill.
    waiting: BTreeMap<String, f64>,
    /// Of the round robin: bytes that each partner may still get, and whose turn it is.
    deficits: BTreeMap<String, f64>,
    turn: String,
}

/// The better source compares greater, field by field.
#[derive(PartialEq, PartialOrd)]
struct Rank {
    owed_weight: f64,
    same_partner: bool,
    negative_carried: f64,
    link_rate: f64,
    tie_breaker: u64,
}

impl FillPlanner {
    /// For broker `by`.
    pub fn new(by: &str, rule: PlanningRule, seed: u64) -> FillPlanner {
        FillPlanner {
            by: by.to_string(),
            rule,
            rng: Pcg64Mcg::seed_from_u64(seed),
            running: BTreeMap::new(),
            unsettled: BTreeMap::new(),
            moved: Vec::new(),
            waiting: BTreeMap::new(),
            deficits: BTreeMap::new(),
            turn: String::new(),
        }
    }

    /// A fill that another leader planned at `at`, and whether it is still running. A known one counts once.
    pub fn resume(&mut self, fill: &Fill, at: f64, is_running: bool) {
        if !self.moved.iter().any(|moved| moved.fill == fill.id && moved.from == fill.from) {
            self.moved.push(Moved::new(fill, at));
        }
        if is_running {
            self.running.insert(fill.id.clone(), fill.clone());
        }
    }

    /// A fill has ended, complete or not. What a complete one settles is remembered until the ledger has it, or it is
    /// reported by [`FillPlanner::settlement_rejected`].
    pub fn fill_ended(&mut self, id: &str, done: bool) {
        let settles = self.running.remove(id).and_then(|fill| fill.settles);
        self.unsettled.extend(settles.filter(|_| done).map(|settlement| (id.to_string(), settlement)));
    }

    /// The log has rejected the settlement of this fill for good.
    pub fn settlement_rejected(&mut self, id: &str) {
        self.unsettled.remove(id);
    }

    /// Fills that were planned and have not ended.
    pub fn running(&self) -> impl Iterator<Item = &Fill> {
        self.running.values()
    }

    /// Bytes that `partner` carried for others in the window that ends now, planned ones included.
    pub fn carried_bytes(&self, partner: &str, window: f64, now: f64) -> u64 {
        let recent = self.moved.iter().filter(|m| m.at > now - window && m.from == partner && m.from != m.to);
        recent.map(|moved| moved.bytes).sum()
    }

    /// Fills to start now. The same for the same calls and seed.
    pub fn plan(
        &mut self,
        balances: &Balances,
        demands: &[FillDemand],
        links: &LinkCapacities,
        slow_start: &SlowStartCapacity,
        shares: Option<&SharePromises>,
        now: f64,
    ) -> FillPlan {
        let window = balances.terms().window;
        self.moved.retain(|moved| moved.at > now - window);
        self.unsettled.retain(|fill, _| !balances.ledger().is_settled(fill));
        let mut round = Round {
            balances,
            links,
            slow_start,
            shares,
            now,
            open: open_debts(balances, now),
            chosen: Vec::new(),
            reserved: BTreeSet::new(),
        };
        self.pay_running(&mut round);
        let mut plan = FillPlan::default();
        let (mut queue, mut in_order) = self.queue(demands, &mut plan);
        self.track_waiting(&queue, now);
        while let Some(partner) = in_order.pop_front().or_else(|| self.next(&queue, &round)) {
            let Some(demand) = queue.pop(partner) else { continue };
            match self.choose_source(demand, &round) {
                Ok(fill) => self.add_fill(fill, &mut round),
                Err(reason) => {
                    self.reserve(demand, &reason, &mut round);
                    plan.held.push((demand.id(), reason));
                }
            }
        }
        self.set_rates(&mut round);
        plan.fills = round.chosen;
        self.running.extend(plan.fills.iter().map(|fill| (fill.id.clone(), fill.clone())));
        plan
    }

    /// Running and unsettled fills count as if they had paid.
    fn pay_running(&self, round: &mut Round) {
        let running = self.running.values().filter_map(|fill| fill.settles.as_ref());
        for settlement in running.chain(self.unsettled.values()) {
            if !round.balances.ledger().is_settled(settlement.fill()) {
                round.pay(&settlement.debtor, &settlement.creditor, settlement.bytes);
            }
        }
    }

    /// Demands by partner, each once, and for the baseline the partners in the order of the demands.
    fn queue<'a>(&self, demands: &'a [FillDemand], plan: &mut FillPlan) -> (Queue<'a>, VecDeque<&'a str>) {
        let (mut queue, mut in_order) = (Queue::default(), VecDeque::new());
        let mut seen = BTreeSet::new();
        for demand in demands.iter().filter(|demand| seen.insert(demand.id())) {
            if self.running.contains_key(&demand.id()) {
                plan.held.push((demand.id(), WaitReason::Running));
                continue;
            }
            queue.of.entry(&demand.holder_partner).or_default().push_back(demand);
            if self.rule == PlanningRule::Cheapest {
                in_order.push_back(demand.holder_partner.as_str());
            }
        }
        (queue, in_order)
    }

    fn add_fill(&mut self, fill: Fill, round: &mut Round) {
        if let Some(settlement) = &fill.settles {
            round.pay(&settlement.debtor, &settlement.creditor, settlement.bytes);
        }
        self.moved.push(Moved::new(&fill, round.now));
        if let Some(deficit) = self.deficits.get_mut(&fill.to) {
            *deficit -= fill.bytes as f64;
        }
        self.waiting.insert(fill.to.clone(), round.now);
        round.chosen.push(fill);
    }

    /// Keeps the capacity of all sources for a partner that has waited too long.
    fn reserve(&self, demand: &FillDemand, reason: &WaitReason, round: &mut Round) {
        let may_wait_forever = matches!(reason, WaitReason::Carry | WaitReason::Fast);
        if may_wait_forever && self.is_starved(&demand.holder_partner, round) {
            let to = &demand.holder_partner;
            round.reserved.extend(demand.sources.iter().map(|(_, from)| (from.clone(), to.clone())));
        }
    }

    fn track_waiting(&mut self, queue: &Queue, now: f64) {
        self.waiting.retain(|partner, _| queue.of.contains_key(partner.as_str()));
        self.deficits.retain(|partner, _| queue.of.contains_key(partner.as_str()));
        for partner in queue.of.keys() {
            self.waiting.entry(partner.to_string()).or_insert(now);
        }
    }

    /// Whose demand is considered next: that of a partner that has waited too long, else by the rule.
    fn next<'a>(&mut self, queue: &Queue<'a>, round: &Round) -> Option<&'a str> {
        let partners = || queue.of.keys().copied();
        let since = |partner: &str| self.waiting.get(partner).copied().unwrap_or(round.now);
        let starved = partners().filter(|partner| self.is_starved(partner, round));
        if let Some(partner) = starved.min_by(|a, b| since(a).total_cmp(&since(b))) {
            return Some(partner);
        }
        if self.rule == PlanningRule::DeficitRoundRobin {
            return self.next_in_turn(queue, round);
        }
        let served =
            |partner: &str| self.moved.iter().filter(|m| m.to == partner).map(|m| m.bytes).sum::<u64>();
        partners().max_by(|a, b| {
            let short = round.shortfall(a).total_cmp(&round.shortfall(b));
            short.then_with(|| served(b).cmp(&served(a))).then_with(|| b.cmp(a))
        })
    }

    fn is_starved(&self, partner: &str, round: &Round) -> bool {
        let patient = round.now - MAX_WAIT_WINDOW_RATIO * round.balances.terms().window;
        self.rule != PlanningRule::Cheapest
            && self.waiting.get(partner).is_some_and(|since| *since <= patient)
    }

    /// Deficit round robin: each turn adds a quantum, a demand is served once its bytes are covered.
    fn next_in_turn<'a>(&mut self, queue: &Queue<'a>, round: &Round) -> Option<&'a str> {
        let largest = queue.of.values().flatten().map(|demand| demand.bytes).max()? as f64;
        let short: f64 = queue.of.keys().map(|partner| round.shortfall(partner)).sum();
        loop {
            let after = queue.of.iter().find(|(partner, _)| **partner >= self.turn.as_str());
            let (&partner, needs) = after.or_else(|| queue.of.first_key_value())?;
            let head = needs.front()?.bytes as f64;
            let deficit = self.deficits.entry(partner.to_string()).or_default();
            if *deficit >= head {
                self.turn = partner.to_string();
                return Some(partner);
            }
            let part = if short > 0.0 { round.shortfall(partner) / short } else { 0.0 };
            *deficit += largest.max(1.0) * (1.0 + part * queue.of.len() as f64);
            // Right after this name.
            self.turn = format!("{partner}\0");
        }
    }

    /// Rate that is free at a resource if each chosen fill takes its minimum.
    fn free(&self, cap: f64, round: &Round, at: impl Fn(&Fill) -> bool) -> f64 {
        let running: f64 = self.running.values().filter(|fill| at(fill)).map(|fill| fill.rate).sum();
        let chosen = round.chosen.iter().filter(|fill| at(fill)).count();
        cap - running - chosen as f64 * round.balances.terms().least_rate
    }

    fn choose_source(&mut self, demand: &FillDemand, round: &Round) -> Result<Fill, WaitReason> {
        let terms = round.balances.terms();
        let to = demand.holder_partner.as_str();
        let room =
            self.free(round.slow_start.rate_cap(&demand.holder), round, |fill| fill.holder == demand.holder);
        if room < terms.least_rate {
            return Err(WaitReason::Cold);
        }
        let mut why = WaitReason::NoSource;
        let mut best: Option<(Rank, &(String, String))> = None;
        for source in demand.sources.iter().filter(|source| source.0 != demand.holder) {
            let from = source.1.as_str();
            let link =
                self.free(round.links.rate_cap(from, to), round, |fill| fill.from == from && fill.to == to);
            if let Err(held) = self.fits(demand, from, link, round) {
                why = why.max(held);
                continue;
            }
            let owed = round.open(from, to).1;
            let carried = self.carried_bytes(from, terms.window, round.now) as f64;
            let tie_breaker = self.rng.random();
            let rank = match self.rule {
                PlanningRule::Cheapest => Rank {
                    owed_weight: 0.0,
                    same_partner: false,
                    negative_carried: 0.0,
                    link_rate: link,
                    tie_breaker,
                },
                _ => Rank {
                    owed_weight: owed,
                    same_partner: from == to,
                    negative_carried: -carried,
                    link_rate: link,
                    tie_breaker,
                },
            };
            if best.as_ref().is_none_or(|(before, _)| rank > *before) {
                best = Some((rank, source));
            }
        }
        let (_, (source, from)) = best.ok_or(why)?;
        let mut fill = Fill {
            id: demand.id(),
            segment: demand.segment,
            holder: demand.holder.clone(),
            source: source.clone(),
            from: from.clone(),
            to: to.to_string(),
            bytes: demand.bytes,
            rate: terms.least_rate,
            settles: None,
        };
        let pays = demand.bytes.min(round.open(from, to).0).min(self.share(from, to, round));
        if pays > 0 {
            fill.settles = Settlement::new(&fill, &self.by, from, to, pays).ok();
        }
        Ok(fill)
    }

    /// What may still be promised of a split debt.
    fn share(&self, debtor: &str, creditor: &str, round: &Round) -> u64 {
        let ledger = round.balances.ledger();
        if !ledger.is_split(debtor, creditor) {
            return u64::MAX;
        }
        let left = match round.shares {
            Some(shares) => shares.remaining(ledger, debtor, creditor),
            None => ledger.share(&self.by, debtor, creditor).remaining(),
        };
        // Chosen in this call; running ones are promised, or count as running.
        let running = self.running.values().filter(|_| round.shares.is_none());
        let settles = round.chosen.iter().chain(running).filter_map(|fill| fill.settles.as_ref());
        let settles = settles.chain(self.unsettled.values().filter(|_| round.shares.is_none()));
        let ours =
            settles.filter(|s| s.debtor == debtor && s.creditor == creditor && !ledger.is_settled(s.fill()));
        left.saturating_sub(ours.map(|settlement| settlement.bytes).sum())
    }

    /// The limits on carrying, and on how far and how fast a debt may change. None of them applies inside a partner.
    fn fits(&self, demand: &FillDemand, from: &str, link: f64, round: &Round) -> Result<(), WaitReason> {
        let (terms, to) = (round.balances.terms(), demand.holder_partner.as_str());
        if link < terms.least_rate {
            return Err(WaitReason::Link);
        }
        if from == to {
            return Ok(());
        }
        let pace = terms.most_speed * terms.window;
        if demand.bytes > terms.carry.min(terms.most_move) || demand.bytes as f64 > pace {
            return Err(WaitReason::Far);
        }
        let carried = self.carried_bytes(from, terms.window, round.now);
        if carried.saturating_add(demand.bytes) > terms.carry
            || round.reserved.iter().any(|(it, _)| it == from)
        {
            return Err(WaitReason::Carry);
        }
        // What `to` would owe if running and chosen fills were complete.
        let way = |d: &str, c: &str| {
            let under_way = self.running.values().chain(&round.chosen);
            under_way
                .filter(|fill| fill.from == c && fill.to == d)
                .map(|fill| i128::from(fill.bytes))
                .sum::<i128>()
        };
        let after =
            round.balances.balance(to, from) + way(to, from) - way(from, to) + i128::from(demand.bytes);
        if after > i128::from(terms.most_debt) {
            return Err(WaitReason::Far);
        }
        let pair =
            |moved: &&Moved| (moved.from == from && moved.to == to) || (moved.from == to && moved.to == from);
        let moved: u64 = self.moved.iter().filter(pair).map(|moved| moved.bytes).sum();
        let kept = round.reserved.iter().any(|(f, t)| (f == from && t == to) || (f == to && t == from));
        match moved.saturating_add(demand.bytes) as f64 > pace || kept {
            true => Err(WaitReason::Fast),
            false => Ok(()),
        }
    }

    /// Rates of the chosen fills: max-min over links and nodes, as far as running fills leave them.
    fn set_rates(&self, round: &mut Round) {
        let mut resources: BTreeMap<(bool, &str, &str), usize> = BTreeMap::new();
        let mut caps = Vec::new();
        let mut flows = Vec::new();
        for fill in &round.chosen {
            let mut flow = vec![caps.len()];
            caps.push(round.balances.terms().most_rate);
            let running = |at: &dyn Fn(&Fill) -> bool| -> f64 {
                self.running.values().filter(|fill| at(fill)).map(|fill| fill.rate).sum()
            };
            let link = || {
                let taken = running(&|it: &Fill| it.from == fill.from && it.to == fill.to);
                round.links.rate_cap(&fill.from, &fill.to) - taken
            };
            let holder =
                || round.slow_start.rate_cap(&fill.holder) - running(&|it: &Fill| it.holder == fill.holder);
            flow.push(*resources.entry((true, &fill.from, &fill.to)).or_insert_with(|| {
                caps.push(link());
                caps.len() - 1
            }));
            flow.push(*resources.entry((false, &fill.holder, "")).or_insert_with(|| {
                caps.push(holder());
                caps.len() - 1
            }));
            flows.push(flow);
        }
        let paces = max_min_rates(&flows, &caps);
        round.chosen.iter_mut().zip(paces).for_each(|(fill, pace)| fill.rate = pace);
    }
}

/// Net debts with their weights.
fn open_debts(balances: &Balances, now: f64) -> BTreeMap<(String, String), (u64, f64)> {
    let debts = balances.net_debts().into_iter();
    let weighted = debts.map(|debt| {
        let weight = balances.service_weight(&debt, now);
        ((debt.debtor, debt.creditor), (debt.bytes, weight))
    });
    weighted.collect()
}

/// One plan by max-min, for a caller that plans once.
pub fn plan(
    book: &Balances,
    needs: &[FillDemand],
    links: &LinkCapacities,
    cold: &SlowStartCapacity,
    now: f64,
    seed: u64,
) -> Vec<Fill> {
    FillPlanner::new("once", PlanningRule::MaxMin, seed).plan(book, needs, links, cold, None, now).fills
}
