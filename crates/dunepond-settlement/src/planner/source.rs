//! Chooses the source of a fill, and checks the limits that apply to it.

use rand::RngExt;

use super::FillPlanner;
use super::round::Round;
use crate::{Fill, FillDemand, FillSource, PlanningRule, Settlement, WaitReason};

/// Rank of a source. A better source compares greater; fields are compared in the order of their declaration.
#[derive(PartialEq, PartialOrd)]
struct Rank {
    /// Weight of what the source's partner owes the filled partner.
    owed_weight: f64,
    is_same_partner: bool,
    negative_carried_bytes: f64,
    link_rate: f64,
    tie_breaker: u64,
}

/// A source that meets all limits, with its rank.
struct Candidate<'a> {
    rank: Rank,
    source: &'a FillSource,
}

impl FillPlanner {
    /// Returns the fill of a demand from the best source, or the reason why the demand must wait.
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
        Ok(self.build_fill(demand, best.source, round))
    }

    /// Ranks a source partner for fills to `to`. Draws one random number to break ties.
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

    /// Builds the fill of a demand from a source, with the part of a debt that it settles.
    fn build_fill(&self, demand: &FillDemand, source: &FillSource, round: &Round) -> Fill {
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

    /// Bytes of a debt that this broker may still settle; unlimited if the debt is not split into shares of brokers.
    fn available_share(&self, debtor: &str, creditor: &str, round: &Round) -> u64 {
        let ledger = round.balances.ledger();
        if !ledger.is_split(debtor, creditor) {
            return u64::MAX;
        }
        let is_open_payment = |settlement: &&Settlement| {
            settlement.debtor == debtor
                && settlement.creditor == creditor
                && !ledger.is_settled(settlement.fill())
        };
        let chosen = round.chosen.iter().filter_map(|fill| fill.settles.as_ref());
        let chosen_bytes: u64 = chosen.filter(is_open_payment).map(|settlement| settlement.bytes).sum();
        match round.shares {
            // The settlements of running and unsettled fills are among the promises, which `remaining` has already
            // subtracted.
            Some(shares) => shares.remaining(ledger, debtor, creditor).saturating_sub(chosen_bytes),
            None => {
                let running = self.running.values().filter_map(|fill| fill.settles.as_ref());
                let unconfirmed = running.chain(self.unsettled.values()).filter(is_open_payment);
                let unconfirmed_bytes: u64 = unconfirmed.map(|settlement| settlement.bytes).sum();
                let remaining = ledger.share(&self.broker, debtor, creditor).remaining();
                remaining.saturating_sub(chosen_bytes + unconfirmed_bytes)
            }
        }
    }

    /// Checks the limits on the link, on carried bytes, and on the size and the change of debts. Only the limit on the link
    /// applies inside a partner.
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

    /// The debt of the filled partner to the source partner, in bytes, once this fill and all running and chosen fills are
    /// complete.
    fn debt_after(&self, demand: &FillDemand, from: &str, round: &Round) -> i128 {
        let to = demand.partner.as_str();
        let pending_bytes = |from: &str, to: &str| -> i128 {
            let fills = self.running.values().chain(&round.chosen);
            let pending = fills.filter(|fill| fill.from == from && fill.to == to);
            pending.map(|fill| i128::from(fill.bytes)).sum()
        };
        let balance = round.balances.balance(to, from);
        balance + pending_bytes(from, to) - pending_bytes(to, from) + i128::from(demand.bytes)
    }

    /// Free rate of a link in bytes per second, if each fill chosen in this round uses the minimum rate.
    fn free_link_rate(&self, from: &str, to: &str, round: &Round) -> f64 {
        let rate_cap = round.links.rate_cap(from, to);
        self.free_rate(rate_cap, round, |fill| fill.from == from && fill.to == to)
    }

    /// Free rate in bytes per second of a resource with the capacity `rate_cap`, if each fill chosen in this round uses the
    /// minimum rate. `uses` selects the fills that use the resource.
    fn free_rate(&self, rate_cap: f64, round: &Round, uses: impl Fn(&Fill) -> bool) -> f64 {
        let chosen = round.chosen.iter().filter(|fill| uses(fill)).count();
        rate_cap - self.running_rate(uses) - chosen as f64 * round.balances.terms().min_fill_rate
    }

    /// Sum of the rates of the running fills that `uses` selects, in bytes per second.
    pub(super) fn running_rate(&self, uses: impl Fn(&Fill) -> bool) -> f64 {
        self.running.values().filter(|fill| uses(fill)).map(|fill| fill.rate).sum()
    }
}
