//! Inputs of one call of the planner, and the fills that it has chosen so far.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{Balances, Fill, FillDemand, LinkCapacities, PartnerPair, SharePromises, SlowStartCapacity};

/// A fill that counts in the windows of its partners.
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

    /// Whether it goes from one of the partners to the other.
    pub fn is_between(&self, one: &str, other: &str) -> bool {
        (self.from == one && self.to == other) || (self.from == other && self.to == one)
    }
}

/// What is still owed of a net debt, less what running and chosen fills pay.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenDebt {
    pub bytes: u64,
    /// Weight by which the creditor is served.
    pub weight: f64,
}

/// One call of the planner.
pub struct Round<'a> {
    pub balances: &'a Balances,
    pub links: &'a LinkCapacities,
    pub slow_start: &'a SlowStartCapacity,
    pub shares: Option<&'a SharePromises>,
    pub now: f64,
    /// By debtor (`from`) and creditor (`to`).
    open: BTreeMap<PartnerPair, OpenDebt>,
    pub chosen: Vec<Fill>,
    /// Source and filled partner, reserved for one that has waited too long. Without it a large fill would wait forever
    /// behind small ones.
    pub reserved: BTreeSet<PartnerPair>,
}

/// Demands by partner, each in its order; no queue is empty.
#[derive(Default)]
pub struct DemandQueues<'a> {
    pub by_partner: BTreeMap<&'a str, VecDeque<&'a FillDemand>>,
}

impl<'a> DemandQueues<'a> {
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
        Self { balances, links, slow_start, shares, now, open: open_debts(balances, now), chosen, reserved }
    }

    pub fn open_debt(&self, debtor: &str, creditor: &str) -> OpenDebt {
        self.open.get(&PartnerPair::new(debtor, creditor)).copied().unwrap_or_default()
    }

    /// Sum of the weights of what is still owed to a partner.
    pub fn owed_weight(&self, creditor: &str) -> f64 {
        self.open.iter().filter(|(pair, _)| pair.to == creditor).map(|(_, debt)| debt.weight).sum()
    }

    /// A fill pays off a part of a debt.
    pub fn pay(&mut self, debtor: &str, creditor: &str, bytes: u64) {
        if let Some(debt) = self.open.get_mut(&PartnerPair::new(debtor, creditor)) {
            let left = debt.bytes.saturating_sub(bytes);
            debt.weight *= if debt.bytes == 0 { 0.0 } else { left as f64 / debt.bytes as f64 };
            debt.bytes = left;
        }
    }

    /// Whether the sources of this partner are reserved for a partner that has waited too long.
    pub fn is_source_reserved(&self, from: &str) -> bool {
        self.reserved.iter().any(|pair| pair.from == from)
    }

    /// Whether fills between the two, in either direction, are reserved for a partner that has waited too long.
    pub fn is_pair_reserved(&self, from: &str, to: &str) -> bool {
        let is_pair =
            |pair: &PartnerPair| (pair.from == from && pair.to == to) || (pair.from == to && pair.to == from);
        self.reserved.iter().any(is_pair)
    }
}

/// Net debts with their weights.
fn open_debts(balances: &Balances, now: f64) -> BTreeMap<PartnerPair, OpenDebt> {
    let mut open = BTreeMap::new();
    for debt in balances.net_debts() {
        let weight = balances.service_weight(&debt, now);
        let pair = PartnerPair { from: debt.debtor, to: debt.creditor };
        open.insert(pair, OpenDebt { bytes: debt.bytes, weight });
    }
    open
}
