//! Which holder is filled next, and from whose source.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::round::{Moved, Queue, Round};
use crate::{Book, Cold, Fill, Held, Links, Need, Plan, Rule, Settlement, Shares, rates};

/// A partner that has waited for this part of a window goes before all others.
const PATIENT: f64 = 0.5;

/// Plans, and remembers what is under way and what a window has seen. One broker plans at a time: the one that leads.
/// One that begins to lead tells it by [`Planner::resume`] what is under way.
#[derive(Clone, Debug)]
pub struct Planner {
    by: String,
    rule: Rule,
    chance: Pcg64Mcg,
    running: BTreeMap<String, Fill>,
    /// Of fills that are done, until the log has them: the debt looks open till then.
    unsettled: BTreeMap<String, Settlement>,
    moved: Vec<Moved>,
    /// Since when a partner waits for a fill.
    waiting: BTreeMap<String, f64>,
    /// Of the round robin: bytes that each partner may still take, and whose turn it is.
    deficits: BTreeMap<String, f64>,
    turn: String,
}

/// Owed, of the same partner, little carried, fast, and chance last.
type Rank = (f64, bool, f64, f64, u64);

impl Planner {
    pub fn new(by: &str, rule: Rule, seed: u64) -> Planner {
        Planner {
            by: by.to_string(),
            rule,
            chance: Pcg64Mcg::seed_from_u64(seed),
            running: BTreeMap::new(),
            unsettled: BTreeMap::new(),
            moved: Vec::new(),
            waiting: BTreeMap::new(),
            deficits: BTreeMap::new(),
            turn: String::new(),
        }
    }

    /// A fill that another planned at `at`, and whether it is still under way. One that is known counts once.
    pub fn resume(&mut self, fill: &Fill, at: f64, under_way: bool) {
        if !self.moved.iter().any(|moved| moved.fill == fill.id && moved.from == fill.from) {
            let (id, from, to) = (fill.id.clone(), fill.from.clone(), fill.to.clone());
            self.moved.push(Moved { fill: id, at, from, to, bytes: fill.bytes });
        }
        if under_way {
            self.running.insert(fill.id.clone(), fill.clone());
        }
    }

    /// A fill has come to its end, done or not. What a done one settles is kept in mind until the ledger has it, or is
    /// told to be [`Planner::refused`].
    pub fn ended(&mut self, id: &str, done: bool) {
        let settles = self.running.remove(id).and_then(|fill| fill.settles);
        self.unsettled.extend(settles.filter(|_| done).map(|settlement| (id.to_string(), settlement)));
    }

    /// The log has refused the settlement of this fill, for good.
    pub fn refused(&mut self, id: &str) {
        self.unsettled.remove(id);
    }

    pub fn running(&self) -> impl Iterator<Item = &Fill> {
        self.running.values()
    }

    /// Bytes that `partner` carried for others in the window that ends now, or was planned to.
    pub fn carried(&self, partner: &str, window: f64, now: f64) -> u64 {
        let recent = self.moved.iter().filter(|m| m.at > now - window && m.from == partner && m.from != m.to);
        recent.map(|moved| moved.bytes).sum()
    }

    /// Fills to begin now. Deterministic for the same calls and seed.
    pub fn plan(
        &mut self,
        book: &Book,
        needs: &[Need],
        links: &Links,
        cold: &Cold,
        shares: Option<&Shares>,
        now: f64,
    ) -> Plan {
        let terms = book.terms();
        self.moved.retain(|moved| moved.at > now - terms.window);
        let net = book.net().into_iter();
        let open = net.map(|debt| {
            let weight = book.weight(&debt, now);
            ((debt.debtor, debt.creditor), (debt.bytes, weight))
        });
        let (open, chosen, kept) = (open.collect(), Vec::new(), BTreeSet::new());
        let mut round = Round { book, links, cold, shares, now, open, chosen, kept };
        self.unsettled.retain(|fill, _| !book.ledger().has(fill));
        for settlement in
            self.running.values().filter_map(|fill| fill.settles.as_ref()).chain(self.unsettled.values())
        {
            if !book.ledger().has(settlement.fill()) {
                round.pay(&settlement.debtor, &settlement.creditor, settlement.bytes);
            }
        }
        let mut plan = Plan::default();
        let mut seen = BTreeSet::new();
        let mut queue = Queue::default();
        // The baseline takes needs as they come, held or not; the others ask whose turn it is.
        let mut in_order = VecDeque::new();
        for need in needs.iter().filter(|need| seen.insert(need.id())) {
            match self.running.contains_key(&need.id()) {
                true => plan.held.push((need.id(), Held::Running)),
                false => {
                    queue.of.entry(&need.holder_partner).or_default().push_back(need);
                    in_order.extend((self.rule == Rule::Cheapest).then_some(need.holder_partner.as_str()));
                }
            }
        }
        self.wait(&queue, now);
        while let Some(partner) = in_order.pop_front().or_else(|| self.next(&queue, &round)) {
            let Some(need) = queue.pop(partner) else { continue };
            match self.source(need, &round) {
                Ok(fill) => {
                    if let Some(settlement) = &fill.settles {
                        round.pay(&settlement.debtor, &settlement.creditor, settlement.bytes);
                    }
                    let (id, from, to) = (fill.id.clone(), fill.from.clone(), fill.to.clone());
                    self.moved.push(Moved { fill: id, at: now, from, to: to.clone(), bytes: fill.bytes });
                    if let Some(deficit) = self.deficits.get_mut(&to) {
                        *deficit -= fill.bytes as f64;
                    }
                    self.waiting.insert(to, now);
                    round.chosen.push(fill);
                }
                Err(why) => {
                    if matches!(why, Held::Carry | Held::Fast) && self.starved(&need.holder_partner, &round) {
                        let to = &need.holder_partner;
                        round.kept.extend(need.sources.iter().map(|(_, from)| (from.clone(), to.clone())));
                    }
                    plan.held.push((need.id(), why));
                }
            }
        }
        self.paces(&mut round);
        plan.fills = round.chosen;
        self.running.extend(plan.fills.iter().map(|fill| (fill.id.clone(), fill.clone())));
        plan
    }

    fn wait(&mut self, queue: &Queue, now: f64) {
        self.waiting.retain(|partner, _| queue.of.contains_key(partner.as_str()));
        self.deficits.retain(|partner, _| queue.of.contains_key(partner.as_str()));
        for partner in queue.of.keys() {
            self.waiting.entry(partner.to_string()).or_insert(now);
        }
    }

    /// Whose need is looked at next: a partner that has waited too long, else by the rule.
    fn next<'a>(&mut self, queue: &Queue<'a>, round: &Round) -> Option<&'a str> {
        let partners = || queue.of.keys().copied();
        let since = |partner: &str| self.waiting.get(partner).copied().unwrap_or(round.now);
        let starved = partners().filter(|partner| self.starved(partner, round));
        if let Some(partner) = starved.min_by(|a, b| since(a).total_cmp(&since(b))) {
            return Some(partner);
        }
        if self.rule == Rule::DeficitRoundRobin {
            return self.in_turn(queue, round);
        }
        let served =
            |partner: &str| self.moved.iter().filter(|m| m.to == partner).map(|m| m.bytes).sum::<u64>();
        partners().max_by(|a, b| {
            let short = round.shortfall(a).total_cmp(&round.shortfall(b));
            short.then_with(|| served(b).cmp(&served(a))).then_with(|| b.cmp(a))
        })
    }

    fn starved(&self, partner: &str, round: &Round) -> bool {
        let patient = round.now - PATIENT * round.book.terms().window;
        self.rule != Rule::Cheapest && self.waiting.get(partner).is_some_and(|since| *since <= patient)
    }

    /// Deficit round robin: each turn brings a quantum, a need is served once its bytes are there.
    fn in_turn<'a>(&mut self, queue: &Queue<'a>, round: &Round) -> Option<&'a str> {
        let largest = queue.of.values().flatten().map(|need| need.bytes).max()? as f64;
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
            // Just behind this name.
            self.turn = format!("{partner}\0");
        }
    }

    /// Rates free at a resource, if each fill that was chosen takes its least.
    fn free(&self, cap: f64, round: &Round, at: impl Fn(&Fill) -> bool) -> f64 {
        let running: f64 = self.running.values().filter(|fill| at(fill)).map(|fill| fill.rate).sum();
        let chosen = round.chosen.iter().filter(|fill| at(fill)).count();
        cap - running - chosen as f64 * round.book.terms().least_rate
    }

    fn source(&mut self, need: &Need, round: &Round) -> Result<Fill, Held> {
        let terms = round.book.terms();
        let to = need.holder_partner.as_str();
        let room = self.free(round.cold.cap(&need.holder), round, |fill| fill.holder == need.holder);
        if room < terms.least_rate {
            return Err(Held::Cold);
        }
        let mut why = Held::NoSource;
        let mut best: Option<(Rank, &(String, String))> = None;
        for source in need.sources.iter().filter(|source| source.0 != need.holder) {
            let from = source.1.as_str();
            let link = self.free(round.links.cap(from, to), round, |fill| fill.from == from && fill.to == to);
            if let Err(held) = self.fits(need, from, link, round) {
                why = why.max(held);
                continue;
            }
            let owed = round.open(from, to).1;
            let carried = self.carried(from, terms.window, round.now) as f64;
            let chance = self.chance.random();
            let rank = match self.rule {
                Rule::Cheapest => (0.0, false, 0.0, link, chance),
                _ => (owed, from == to, -carried, link, chance),
            };
            if best.as_ref().is_none_or(|(before, _)| rank > *before) {
                best = Some((rank, source));
            }
        }
        let (_, (source, from)) = best.ok_or(why)?;
        let mut fill = Fill {
            id: need.id(),
            segment: need.segment,
            holder: need.holder.clone(),
            source: source.clone(),
            from: from.clone(),
            to: to.to_string(),
            bytes: need.bytes,
            rate: terms.least_rate,
            settles: None,
        };
        let pays = need.bytes.min(round.open(from, to).0).min(self.share(from, to, round));
        if pays > 0 {
            fill.settles = Settlement::new(&fill, &self.by, from, to, pays).ok();
        }
        Ok(fill)
    }

    /// What may still be promised of a debt that is split.
    fn share(&self, debtor: &str, creditor: &str, round: &Round) -> u64 {
        let ledger = round.book.ledger();
        if !ledger.is_split(debtor, creditor) {
            return u64::MAX;
        }
        let left = match round.shares {
            Some(shares) => shares.left(ledger, debtor, creditor),
            None => ledger.share(&self.by, debtor, creditor).left(),
        };
        // Chosen in this call; those under way are promised, or stand as running.
        let running = self.running.values().filter(|_| round.shares.is_none());
        let settles = round.chosen.iter().chain(running).filter_map(|fill| fill.settles.as_ref());
        let settles = settles.chain(self.unsettled.values().filter(|_| round.shares.is_none()));
        let ours = settles.filter(|s| s.debtor == debtor && s.creditor == creditor && !ledger.has(s.fill()));
        left.saturating_sub(ours.map(|settlement| settlement.bytes).sum())
    }

    /// The bounds on carrying, and on how far and how fast a debt moves. None of them is about a partner's own links.
    fn fits(&self, need: &Need, from: &str, link: f64, round: &Round) -> Result<(), Held> {
        let (terms, to) = (round.book.terms(), need.holder_partner.as_str());
        if link < terms.least_rate {
            return Err(Held::Link);
        }
        if from == to {
            return Ok(());
        }
        let pace = terms.most_speed * terms.window;
        if need.bytes > terms.carry.min(terms.most_move) || need.bytes as f64 > pace {
            return Err(Held::Far);
        }
        let carried = self.carried(from, terms.window, round.now);
        if carried.saturating_add(need.bytes) > terms.carry || round.kept.iter().any(|(it, _)| it == from) {
            return Err(Held::Carry);
        }
        // What `to` would owe: fills under way and chosen ones count as done.
        let way = |d: &str, c: &str| {
            let under_way = self.running.values().chain(&round.chosen);
            under_way
                .filter(|fill| fill.from == c && fill.to == d)
                .map(|fill| i128::from(fill.bytes))
                .sum::<i128>()
        };
        let after = round.book.balance(to, from) + way(to, from) - way(from, to) + i128::from(need.bytes);
        if after > i128::from(terms.most_debt) {
            return Err(Held::Far);
        }
        let pair =
            |moved: &&Moved| (moved.from == from && moved.to == to) || (moved.from == to && moved.to == from);
        let moved: u64 = self.moved.iter().filter(pair).map(|moved| moved.bytes).sum();
        let kept = round.kept.iter().any(|(f, t)| (f == from && t == to) || (f == to && t == from));
        match moved.saturating_add(need.bytes) as f64 > pace || kept {
            true => Err(Held::Fast),
            false => Ok(()),
        }
    }

    /// Rates of what was chosen: max-min over links and holders, as far as those under way leave them.
    fn paces(&self, round: &mut Round) {
        let mut resources: BTreeMap<(bool, &str, &str), usize> = BTreeMap::new();
        let mut caps = Vec::new();
        let mut flows = Vec::new();
        for fill in &round.chosen {
            let mut flow = vec![caps.len()];
            caps.push(round.book.terms().most_rate);
            let running = |at: &dyn Fn(&Fill) -> bool| -> f64 {
                self.running.values().filter(|fill| at(fill)).map(|fill| fill.rate).sum()
            };
            let link = || {
                let taken = running(&|it: &Fill| it.from == fill.from && it.to == fill.to);
                round.links.cap(&fill.from, &fill.to) - taken
            };
            let holder = || round.cold.cap(&fill.holder) - running(&|it: &Fill| it.holder == fill.holder);
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
        let paces = rates(&flows, &caps);
        round.chosen.iter_mut().zip(paces).for_each(|(fill, pace)| fill.rate = pace);
    }
}

/// One plan by max-min for a broker that plans once; who plans on and on keeps a [`Planner`].
pub fn plan(book: &Book, needs: &[Need], links: &Links, cold: &Cold, now: f64, seed: u64) -> Vec<Fill> {
    Planner::new("once", Rule::MaxMin, seed).plan(book, needs, links, cold, None, now).fills
}
