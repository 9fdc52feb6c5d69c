//! Service order: chooses the partner whose demand is served next.

use super::FillPlanner;
use super::round::{DemandQueues, Round};
use crate::{FillDemand, PartnerPair, PlanningRule, WaitReason};

/// Time for which a partner waits before it is served ahead of all others, as a ratio of the window.
const MAX_WAIT_WINDOW_RATIO: f64 = 0.5;

impl FillPlanner {
    /// Starts to track the waiting time of partners that have demands, and drops the state of those that have none.
    pub(super) fn track_waiting(&mut self, queues: &DemandQueues, now: f64) {
        self.waiting_since.retain(|partner, _| queues.by_partner.contains_key(partner.as_str()));
        self.deficits.retain(|partner, _| queues.by_partner.contains_key(partner.as_str()));
        for partner in queues.by_partner.keys() {
            self.waiting_since.entry(partner.to_string()).or_insert(now);
        }
    }

    /// The partner to serve next: the one that has waited longest if any has waited too long, otherwise the one chosen by the
    /// planning rule. `None` if there are no demands.
    pub(super) fn next_to_serve<'a>(&mut self, queues: &DemandQueues<'a>, round: &Round) -> Option<&'a str> {
        let partners = || queues.by_partner.keys().copied();
        let starved = partners().filter(|partner| self.is_starved(partner, round));
        let since = |partner: &str| self.waiting_since.get(partner).copied().unwrap_or(round.now);
        if let Some(partner) = starved.min_by(|a, b| since(a).total_cmp(&since(b))) {
            return Some(partner);
        }
        if self.rule == PlanningRule::DeficitRoundRobin {
            return self.next_by_deficit(queues, round);
        }
        partners().max_by(|a, b| {
            let by_owed = round.owed_weight(a).total_cmp(&round.owed_weight(b));
            let by_received = || self.received_bytes(b).cmp(&self.received_bytes(a));
            by_owed.then_with(by_received).then_with(|| b.cmp(a))
        })
    }

    /// Bytes of the fills to the partner that were planned in the current window.
    fn received_bytes(&self, partner: &str) -> u64 {
        self.recent.iter().filter(|fill| fill.to == partner).map(|fill| fill.bytes).sum()
    }

    /// Whether the partner has waited too long. Never true for the baseline rule, [`PlanningRule::Cheapest`].
    fn is_starved(&self, partner: &str, round: &Round) -> bool {
        let max_wait_seconds = MAX_WAIT_WINDOW_RATIO * round.balances.terms().window_seconds;
        let starved_since = round.now - max_wait_seconds;
        self.rule != PlanningRule::Cheapest
            && self.waiting_since.get(partner).is_some_and(|since| *since <= starved_since)
    }

    /// The next partner by deficit round robin: each turn adds a quantum to the partner's deficit counter, and a demand is
    /// served once the counter covers its bytes.
    fn next_by_deficit<'a>(&mut self, queues: &DemandQueues<'a>, round: &Round) -> Option<&'a str> {
        let demands = queues.by_partner.values().flatten();
        let largest_bytes = demands.map(|demand| demand.bytes).max()? as f64;
        let total_weight: f64 = queues.by_partner.keys().map(|partner| round.owed_weight(partner)).sum();
        loop {
            let from_turn =
                queues.by_partner.iter().find(|(partner, _)| **partner >= self.next_partner.as_str());
            let (&partner, demands) = from_turn.or_else(|| queues.by_partner.first_key_value())?;
            let head_bytes = demands.front()?.bytes as f64;
            let deficit = self.deficits.entry(partner.to_string()).or_default();
            if *deficit >= head_bytes {
                self.next_partner = partner.to_string();
                return Some(partner);
            }
            let ratio = if total_weight > 0.0 { round.owed_weight(partner) / total_weight } else { 0.0 };
            *deficit += largest_bytes.max(1.0) * (1.0 + ratio * queues.by_partner.len() as f64);
            // The least string that is greater than this partner's name, so that the next turn goes to the next partner.
            self.next_partner = format!("{partner}\0");
        }
    }

    /// Reserves all sources of a demand if its partner has waited too long and other fills could delay it forever. For the
    /// rest of the round, the partner of a reserved source starts no fill to another partner, and gets none from the waiting
    /// partner.
    pub(super) fn reserve(&self, demand: &FillDemand, reason: WaitReason, round: &mut Round) {
        let may_wait_forever = matches!(reason, WaitReason::CarryLimit | WaitReason::DebtSpeed);
        if may_wait_forever && self.is_starved(&demand.partner, round) {
            for source in &demand.sources {
                round.reserved.insert(PartnerPair::new(&source.partner, &demand.partner));
            }
        }
    }
}
