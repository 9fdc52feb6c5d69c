//! State of one planning round: the inputs, the open debts and the fills chosen so far.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{Balances, Fill, FillDemand, LinkCapacities, PartnerPair, SharePromises, SlowStartCapacity};

/// A fill planned in the current window, which counts towards the limits per window.
#[derive(Clone, Debug)]
pub struct RecentFill {
    pub id: String,
    pub planned_at: f64,
    pub from: String,
    pub to: String,
    pub bytes: u64,
}

impl RecentFill {
    pub fn new(fill: &Fill, planned_at: f64) -> Self {
        let (from, to) = (fill.from.clone(), fill.to.clone());
        Self { id: fill.id.clone(), planned_at, from, to, bytes: fill.bytes }
    }

    /// Whether the fill goes from one of the two partners to the other, in either direction.
    pub fn is_between(&self, one: &str, other: &str) -> bool {
        (self.from == one && self.to == other) || (self.from == other && self.to == one)
    }
}

/// The part of a net debt that no running, unsettled or chosen fill pays off.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenDebt {
    pub bytes: u64,
    /// Weight of the debt in the choice of the partner that is served next.
    pub weight: f64,
}

/// State of one call of [`super::FillPlanner::plan`].
pub struct Round<'a> {
    pub balances: &'a Balances,
    pub links: &'a LinkCapacities,
    pub slow_start: &'a SlowStartCapacity,
    pub shares: Option<&'a SharePromises>,
    pub now: f64,
    /// Open debts by debtor (`from`) and creditor (`to`).
    open_debts: BTreeMap<PartnerPair, OpenDebt>,
    /// Fills chosen in this round.
    pub chosen: Vec<Fill>,
    /// Pairs of a source's partner (`from`) and a partner that has waited too long for a fill (`to`). In this round their
    /// capacity is reserved for the waiting partner. Without the reservation a large fill would wait forever behind small ones.
    pub reserved: BTreeSet<PartnerPair>,
}

/// Demands by partner in their given order. No queue is empty.
#[derive(Default)]
pub struct DemandQueues<'a> {
    pub by_partner: BTreeMap<&'a str, VecDeque<&'a FillDemand>>,
}

impl<'a> DemandQueues<'a> {
    /// Removes and returns the first demand of a partner; `None` if it has no demands.
    pub fn pop(&mut self, partner: &str) -> Option<&'a FillDemand> {
        let queue = self.by_partner.get_mut(partner)?;
        let demand = queue.pop_front();
        if queue.is_empty() {
            self.by_partner.remove(partner);
        }
        demand
    }
}

impl<'a> Round<'a> {
    pub fn new(
        balances: &'a Balances,
        links: &'a LinkCapacities,
        slow_start: &'a SlowStartCapacity,
        shares: Option<&'a SharePromises>,
        now: f64,
    ) -> Self {
        let (chosen, reserved) = (Vec::new(), BTreeSet::new());
        Self {
            balances,
            links,
            slow_start,
            shares,
            now,
            open_debts: open_debts(balances, now),
            chosen,
            reserved,
        }
    }

    /// The open debt of `debtor` to `creditor`; empty if there is none.
    pub fn open_debt(&self, debtor: &str, creditor: &str) -> OpenDebt {
        self.open_debts.get(&PartnerPair::new(debtor, creditor)).copied().unwrap_or_default()
    }

    /// Sum of the weights of the open debts to `creditor`.
    pub fn owed_weight(&self, creditor: &str) -> f64 {
        self.open_debts.iter().filter(|(pair, _)| pair.to == creditor).map(|(_, debt)| debt.weight).sum()
    }

    /// Subtracts `bytes` that a fill pays off from an open debt, and reduces the debt's weight in proportion.
    pub fn pay(&mut self, debtor: &str, creditor: &str, bytes: u64) {
        if let Some(debt) = self.open_debts.get_mut(&PartnerPair::new(debtor, creditor)) {
            let left = debt.bytes.saturating_sub(bytes);
            debt.weight *= if debt.bytes == 0 { 0.0 } else { left as f64 / debt.bytes as f64 };
            debt.bytes = left;
        }
    }

    /// Whether the source partner `from` is reserved for a partner that has waited too long.
    pub fn is_source_reserved(&self, from: &str) -> bool {
        self.reserved.iter().any(|pair| pair.from == from)
    }

    /// Whether fills between the two partners, in either direction, are reserved for a partner that has waited too long.
    pub fn is_pair_reserved(&self, from: &str, to: &str) -> bool {
        let is_pair =
            |pair: &PartnerPair| (pair.from == from && pair.to == to) || (pair.from == to && pair.to == from);
        self.reserved.iter().any(is_pair)
    }
}

/// Returns the net debts with their weights, by debtor and creditor.
fn open_debts(balances: &Balances, now: f64) -> BTreeMap<PartnerPair, OpenDebt> {
    let mut open = BTreeMap::new();
    for debt in balances.net_debts() {
        let weight = balances.service_weight(&debt, now);
        let pair = PartnerPair { from: debt.debtor, to: debt.creditor };
        open.insert(pair, OpenDebt { bytes: debt.bytes, weight });
    }
    open
}
