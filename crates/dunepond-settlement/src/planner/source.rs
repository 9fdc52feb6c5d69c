//! The source of a fill, and the limits that it has to keep.

use rand::RngExt;

use super::FillPlanner;
use super::round::Round;
use crate::{Fill, FillDemand, FillSource, PlanningRule, Settlement, WaitReason};

/// The better source compares greater, field by field.
#[derive(PartialEq, PartialOrd)]
struct Rank {
    owed_weight: f64,
    is_same_partner: bool,
    negative_carried_bytes: f64,
    link_rate: f64,
    tie_breaker: u64,
}

struct Candidate<'a> {
    rank: Rank,
    source: &'a FillSource,
}

impl FillPlanner {
    pub(super) fn choose_source(&mut self, demand: &FillDemand, round: &Round) -> Result<Fill, WaitReason> {
        let node_rate =
            self.free_rate(round.slow_start.rate_cap(&demand.node), round, |fill| fill.node == demand.node);
        if node_rate < round.balances.terms().min_fill_rate {
            return Err(WaitReason::SlowStart);
        }
        let mut reason = WaitReason::NoSource;
        let mut best: Option<Candidate> = None;
        for source in demand.sources.iter().filter(|source| source.node != demand.node) {
            let link_rate = self.free_link_rate(&source.partner, &demand.partner, round);
            if let Err(wait) = self.check_limits(demand, &source.partner, link_rate, round) {
                reason = reason.max(wait);
                continue;
            }
            let rank = self.rank(&source.partner, &demand.partner, link_rate, round);
            if best.as_ref().is_none_or(|best| rank > best.rank) {
                best = Some(Candidate { rank, source });
            }
        }
        let best = best.ok_or(reason)?;
        Ok(self.fill(demand, best.source, round))
    }

    fn rank(&mut self, from: &str, to: &str, link_rate: f64, round: &Round) -> Rank {
        let tie_breaker = self.rng.random();
        if self.rule == PlanningRule::Cheapest {
            return Rank {
                owed_weight: 0.0,
                is_same_partner: false,
                negative_carried_bytes: 0.0,
                link_rate,
                tie_breaker,
            };
        }
        let carried_bytes = self.carried_bytes(from, round.balances.terms().window_seconds, round.now);
        Rank {
            owed_weight: round.open_debt(from, to).weight,
            is_same_partner: from == to,
            negative_carried_bytes: -(carried_bytes as f64),
            link_rate,
            tie_breaker,
        }
    }

    fn fill(&self, demand: &FillDemand, source: &FillSource, round: &Round) -> Fill {
        let (from, to) = (&source.partner, &demand.partner);
        let mut fill = Fill {
            id: demand.id(),
            segment: demand.segment,
            node: demand.node.clone(),
            source: source.node.clone(),
            from: from.clone(),
            to: to.clone(),
            bytes: demand.bytes,
            rate: round.balances.terms().min_fill_rate,
            settles: None,
        };
        let open_bytes = round.open_debt(from, to).bytes;
        let paid_bytes = demand.bytes.min(open_bytes).min(self.available_share(from, to, round));
        if paid_bytes > 0 {
            fill.settles = Settlement::new(&fill, &self.broker, from, to, paid_bytes).ok();
        }
        fill
    }

    /// What may still be promised of a split debt.
    fn available_share(&self, debtor: &str, creditor: &str, round: &Round) -> u64 {
        let ledger = round.balances.ledger();
        if !ledger.is_split(debtor, creditor) {
            return u64::MAX;
        }
        let is_ours = |settlement: &&Settlement| {
            settlement.debtor == debtor
                && settlement.creditor == creditor
                && !ledger.is_settled(settlement.fill())
        };
        let chosen = round.chosen.iter().filter_map(|fill| fill.settles.as_ref());
        let chosen_bytes: u64 = chosen.filter(is_ours).map(|settlement| settlement.bytes).sum();
        match round.shares {
            // Running and unsettled fills are promised.
            Some(shares) => shares.remaining(ledger, debtor, creditor).saturating_sub(chosen_bytes),
            None => {
                let running = self.running.values().filter_map(|fill| fill.settles.as_ref());
                let unconfirmed = running.chain(self.unsettled.values()).filter(is_ours);
                let unconfirmed_bytes: u64 = unconfirmed.map(|settlement| settlement.bytes).sum();
                let remaining = ledger.share(&self.broker, debtor, creditor).remaining();
                remaining.saturating_sub(chosen_bytes + unconfirmed_bytes)
            }
        }
    }

    /// The limits on carrying, and on how far and how fast a debt may change. None of them applies inside a partner.
    fn check_limits(
        &self,
        demand: &FillDemand,
        from: &str,
        link_rate: f64,
        round: &Round,
    ) -> Result<(), WaitReason> {
        let (terms, to) = (round.balances.terms(), demand.partner.as_str());
        if link_rate < terms.min_fill_rate {
            return Err(WaitReason::Link);
        }
        if from == to {
            return Ok(());
        }
        let max_bytes_per_window = terms.max_debt_speed * terms.window_seconds;
        if demand.bytes > terms.max_carried_bytes.min(terms.max_fill_bytes)
            || demand.bytes as f64 > max_bytes_per_window
        {
            return Err(WaitReason::DebtSize);
        }
        let carried_bytes = self.carried_bytes(from, terms.window_seconds, round.now);
        if carried_bytes.saturating_add(demand.bytes) > terms.max_carried_bytes
            || round.is_source_reserved(from)
        {
            return Err(WaitReason::CarryLimit);
        }
        if self.debt_after(demand, from, round) > i128::from(terms.max_debt_bytes) {
            return Err(WaitReason::DebtSize);
        }
        let recent = self.recent.iter().filter(|fill| fill.is_between(from, to));
        let recent_bytes: u64 = recent.map(|fill| fill.bytes).sum();
        if recent_bytes.saturating_add(demand.bytes) as f64 > max_bytes_per_window
            || round.is_pair_reserved(from, to)
        {
            return Err(WaitReason::DebtSpeed);
        }
        Ok(())
    }

    /// What the filled partner would owe the source's if this, running and chosen fills were complete.
    fn debt_after(&self, demand: &FillDemand, from: &str, round: &Round) -> i128 {
        let to = demand.partner.as_str();
        let bytes_on_way = |from: &str, to: &str| -> i128 {
            let fills = self.running.values().chain(&round.chosen);
            let on_way = fills.filter(|fill| fill.from == from && fill.to == to);
            on_way.map(|fill| i128::from(fill.bytes)).sum()
        };
        let balance = round.balances.balance(to, from);
        balance + bytes_on_way(from, to) - bytes_on_way(to, from) + i128::from(demand.bytes)
    }

    /// Bytes a second that are free on the link if each chosen fill takes its minimum.
    fn free_link_rate(&self, from: &str, to: &str, round: &Round) -> f64 {
        let rate_cap = round.links.rate_cap(from, to);
        self.free_rate(rate_cap, round, |fill| fill.from == from && fill.to == to)
    }

    /// Bytes a second that are free of a resource that the given fills use.
    fn free_rate(&self, rate_cap: f64, round: &Round, uses: impl Fn(&Fill) -> bool) -> f64 {
        let chosen = round.chosen.iter().filter(|fill| uses(fill)).count();
        rate_cap - self.running_rate(uses) - chosen as f64 * round.balances.terms().min_fill_rate
    }

    /// Sum over the running fills that use a resource.
    pub(super) fn running_rate(&self, uses: impl Fn(&Fill) -> bool) -> f64 {
        self.running.values().filter(|fill| uses(fill)).map(|fill| fill.rate).sum()
    }
}
