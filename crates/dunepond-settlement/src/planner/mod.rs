//! Planner that chooses which node is filled next, and from which source.

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

/// Plans fills, and tracks the running fills and those planned in the current window of [`crate::SettlementTerms`].
///
/// Only the leader plans. A new leader passes the fills of earlier leaders to its planner by [`FillPlanner::resume`].
#[derive(Clone, Debug)]
pub struct FillPlanner {
    broker: String,
    rule: PlanningRule,
    rng: Pcg64Mcg,
    /// Fills that were planned and have not ended, by id.
    running: BTreeMap<String, Fill>,
    /// Settlements of complete fills that are not yet in the log, by id of the fill. Their debts still look open and must not
    /// be paid twice.
    unsettled: BTreeMap<String, Settlement>,
    /// Fills planned in the current window, including those that have ended or failed since. The limits per window apply to
    /// planned fills.
    recent: Vec<RecentFill>,
    /// Time in seconds since which each partner with open demands has waited: that of its last planned fill, or of its first
    /// demand after a time without any.
    waiting_since: BTreeMap<String, f64>,
    /// Deficit counters of the round robin: bytes that each partner may still receive.
    deficits: BTreeMap<String, f64>,
    /// Position of the round robin: its next turn goes to the first partner whose name is not below this one.
    next_partner: String,
}

impl FillPlanner {
    /// Creates a planner without fills. `broker` is the broker from whose shares of debts the fills are settled.
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

    /// Adds a fill that an earlier leader planned at `planned_at`. It counts once towards the limits per window, however often
    /// it is added. If `is_running`, it also counts as running.
    pub fn resume(&mut self, fill: &Fill, planned_at: f64, is_running: bool) {
        if !self.recent.iter().any(|recent| recent.id == fill.id && recent.from == fill.from) {
            self.recent.push(RecentFill::new(fill, planned_at));
        }
        if is_running {
            self.running.insert(fill.id.clone(), fill.clone());
        }
    }

    /// Removes a fill that has ended from the running fills. The settlement of a complete fill is remembered until the ledger
    /// has it or [`FillPlanner::settlement_rejected`] is called.
    ///
    /// The fill still counts towards the limits per window even if it failed, and counts again if it is planned again, because
    /// fills count when they are planned.
    pub fn fill_ended(&mut self, id: &str, is_complete: bool) {
        let settles = self.running.remove(id).and_then(|fill| fill.settles);
        if let Some(settlement) = settles.filter(|_| is_complete) {
            self.unsettled.insert(id.to_string(), settlement);
        }
    }

    /// Forgets the settlement of a fill after the ledger has rejected it permanently.
    pub fn settlement_rejected(&mut self, id: &str) {
        self.unsettled.remove(id);
    }

    /// Returns the fills that were planned and have not ended.
    pub fn running(&self) -> impl Iterator<Item = &Fill> {
        self.running.values()
    }

    /// Returns the total bytes of the fills from `partner` to other partners that were planned in the `window_seconds`
    /// before `now`. A fill counts in full from when it is planned, even if it is still running or has failed.
    pub fn carried_bytes(&self, partner: &str, window_seconds: f64, now: f64) -> u64 {
        let is_carried = |fill: &&RecentFill| {
            fill.planned_at > now - window_seconds && fill.from == partner && fill.from != fill.to
        };
        self.recent.iter().filter(is_carried).map(|fill| fill.bytes).sum()
    }

    /// Returns the fills to start now, and the demands that must wait. The result is deterministic for the same seed and calls.
    ///
    /// `shares` are this broker's promises, if it stores any; without them the ledger's shares are used, less what running and
    /// unsettled fills pay.
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
        self.pay_pending(&mut round);
        let mut plan = FillPlan::default();
        let (mut queues, mut partner_order) = self.queue_demands(demands, &mut plan);
        self.track_waiting(&queues, now);
        while let Some(partner) = partner_order.pop_front().or_else(|| self.next_to_serve(&queues, &round)) {
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

    /// Subtracts from the open debts what running fills, and complete fills whose settlements are not yet in the log, pay off.
    fn pay_pending(&self, round: &mut Round) {
        let running = self.running.values().filter_map(|fill| fill.settles.as_ref());
        for settlement in running.chain(self.unsettled.values()) {
            if !round.balances.ledger().is_settled(settlement.fill()) {
                round.pay(&settlement.debtor, &settlement.creditor, settlement.bytes);
            }
        }
    }

    /// Returns queues of the demands by partner, without duplicates. A demand whose fill is already running is not queued, but
    /// added to `plan.waiting` with [`WaitReason::Running`], since no new fill starts for it. The second result contains the
    /// partner of each queued demand, in the order of `demands`, for [`PlanningRule::Cheapest`]; for other rules it is empty.
    fn queue_demands<'a>(
        &self,
        demands: &'a [FillDemand],
        plan: &mut FillPlan,
    ) -> (DemandQueues<'a>, VecDeque<&'a str>) {
        let (mut queues, mut partner_order) = (DemandQueues::default(), VecDeque::new());
        let mut seen = BTreeSet::new();
        for demand in demands.iter().filter(|demand| seen.insert(demand.id())) {
            if self.running.contains_key(&demand.id()) {
                plan.waiting.push(WaitingDemand { id: demand.id(), reason: WaitReason::Running });
                continue;
            }
            queues.by_partner.entry(&demand.partner).or_default().push_back(demand);
            if self.rule == PlanningRule::Cheapest {
                partner_order.push_back(demand.partner.as_str());
            }
        }
        (queues, partner_order)
    }

    /// Adds a chosen fill to the round, and counts it towards the limits per window and in the order in which partners are
    /// served.
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

/// Returns the fills to start now by [`PlanningRule::MaxMin`], from a new planner that is used only once.
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
