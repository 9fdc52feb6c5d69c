//! Which node is filled next, and from which source.

mod rates;
mod round;
mod service_order;
mod source;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::{
    Balances, Fill, FillDemand, FillPlan, LinkCapacities, PlanningRule, Settlement, SharePromises,
    SlowStartCapacity, WaitReason, WaitingDemand,
};
use round::{DemandQueues, RecentFill, Round};

/// Plans fills, and remembers the running ones and those of a window. One broker plans at a time: the leader. A new leader
/// hands over what is running by [`FillPlanner::resume`].
#[derive(Clone, Debug)]
pub struct FillPlanner {
    broker: String,
    rule: PlanningRule,
    rng: Pcg64Mcg,
    running: BTreeMap<String, Fill>,
    /// Settlements of complete fills, until the log has them: their debts look open until then, and must not be paid twice.
    unsettled: BTreeMap<String, Settlement>,
    /// Fills that were planned in the current window, also those that have ended or failed since: the limits of a window hold
    /// for what was planned in it.
    recent: Vec<RecentFill>,
    /// Since when a partner waits for a fill.
    waiting_since: BTreeMap<String, f64>,
    /// For the round robin: bytes that each partner may still get.
    deficits: BTreeMap<String, f64>,
    /// For the round robin: whose turn it is.
    next_partner: String,
}

impl FillPlanner {
    /// A planner without fills. `broker`: in whose name its fills are settled.
    pub fn new(broker: &str, rule: PlanningRule, seed: u64) -> FillPlanner {
        FillPlanner {
            broker: broker.to_string(),
            rule,
            rng: Pcg64Mcg::seed_from_u64(seed),
            running: BTreeMap::new(),
            unsettled: BTreeMap::new(),
            recent: Vec::new(),
            waiting_since: BTreeMap::new(),
            deficits: BTreeMap::new(),
            next_partner: String::new(),
        }
    }

    /// A fill that another leader planned at `planned_at`, and whether it is still running. A known one counts once.
    pub fn resume(&mut self, fill: &Fill, planned_at: f64, is_running: bool) {
        if !self.recent.iter().any(|recent| recent.id == fill.id && recent.from == fill.from) {
            self.recent.push(RecentFill::new(fill, planned_at));
        }
        if is_running {
            self.running.insert(fill.id.clone(), fill.clone());
        }
    }

    /// A fill has ended, complete or not. What a complete one settles is remembered until the ledger has it, or it is
    /// reported by [`FillPlanner::settlement_rejected`].
    ///
    /// A fill that failed still counts in its window, and counts again when it is planned anew: a fill counts when it is
    /// planned, whatever comes of it.
    pub fn fill_ended(&mut self, id: &str, is_complete: bool) {
        let settles = self.running.remove(id).and_then(|fill| fill.settles);
        if let Some(settlement) = settles.filter(|_| is_complete) {
            self.unsettled.insert(id.to_string(), settlement);
        }
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
    pub fn carried_bytes(&self, partner: &str, window_seconds: f64, now: f64) -> u64 {
        let is_carried = |fill: &&RecentFill| {
            fill.planned_at > now - window_seconds && fill.from == partner && fill.from != fill.to
        };
        self.recent.iter().filter(is_carried).map(|fill| fill.bytes).sum()
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
        let window_seconds = balances.terms().window_seconds;
        self.recent.retain(|fill| fill.planned_at > now - window_seconds);
        self.unsettled.retain(|fill, _| !balances.ledger().is_settled(fill));
        let mut round = Round::new(balances, links, slow_start, shares, now);
        self.pay_running(&mut round);
        let mut plan = FillPlan::default();
        let (mut queues, mut in_order) = self.queue(demands, &mut plan);
        self.track_waiting(&queues, now);
        while let Some(partner) = in_order.pop_front().or_else(|| self.next_to_serve(&queues, &round)) {
            let Some(demand) = queues.pop(partner) else { continue };
            match self.choose_source(demand, &round) {
                Ok(fill) => self.add_fill(fill, &mut round),
                Err(reason) => {
                    self.reserve(demand, reason, &mut round);
                    plan.waiting.push(WaitingDemand { id: demand.id(), reason });
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
    fn queue<'a>(
        &self,
        demands: &'a [FillDemand],
        plan: &mut FillPlan,
    ) -> (DemandQueues<'a>, VecDeque<&'a str>) {
        let (mut queues, mut in_order) = (DemandQueues::default(), VecDeque::new());
        let mut seen = BTreeSet::new();
        for demand in demands.iter().filter(|demand| seen.insert(demand.id())) {
            if self.running.contains_key(&demand.id()) {
                plan.waiting.push(WaitingDemand { id: demand.id(), reason: WaitReason::Running });
                continue;
            }
            queues.by_partner.entry(&demand.partner).or_default().push_back(demand);
            if self.rule == PlanningRule::Cheapest {
                in_order.push_back(demand.partner.as_str());
            }
        }
        (queues, in_order)
    }

    fn add_fill(&mut self, fill: Fill, round: &mut Round) {
        if let Some(settlement) = &fill.settles {
            round.pay(&settlement.debtor, &settlement.creditor, settlement.bytes);
        }
        self.recent.push(RecentFill::new(&fill, round.now));
        if let Some(deficit) = self.deficits.get_mut(&fill.to) {
            *deficit -= fill.bytes as f64;
        }
        self.waiting_since.insert(fill.to.clone(), round.now);
        round.chosen.push(fill);
    }
}

/// One plan by max-min, for a caller that plans once.
pub fn plan(
    balances: &Balances,
    demands: &[FillDemand],
    links: &LinkCapacities,
    slow_start: &SlowStartCapacity,
    now: f64,
    seed: u64,
) -> Vec<Fill> {
    let mut planner = FillPlanner::new("once", PlanningRule::MaxMin, seed);
    planner.plan(balances, demands, links, slow_start, None, now).fills
}
