//! What one call of the planner has before it, and what it has chosen so far.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{Balances, Fill, FillDemand, LinkCapacities, SharePromises, SlowStartCapacity};

/// A fill that counts in the windows of its partners.
#[derive(Clone, Debug)]
pub struct Moved {
    pub fill: String,
    pub at: f64,
    pub from: String,
    pub to: String,
    pub bytes: u64,
}

impl Moved {
    pub fn new(fill: &Fill, at: f64) -> Self {
        let (from, to) = (fill.from.clone(), fill.to.clone());
        Self { fill: fill.id.clone(), at, from, to, bytes: fill.bytes }
    }
}

/// One call of the planner.
pub struct Round<'a> {
    pub balances: &'a Balances,
    pub links: &'a LinkCapacities,
    pub slow_start: &'a SlowStartCapacity,
    pub shares: Option<&'a SharePromises>,
    pub now: f64,
    /// Net debts by debtor and creditor, and their weight, less what running and chosen fills pay.
    pub open: BTreeMap<(String, String), (u64, f64)>,
    pub chosen: Vec<Fill>,
    /// Pairs of partners (source, filled) reserved for one that has waited too long. Without it a large fill would
    /// wait forever behind small ones.
    pub reserved: BTreeSet<(String, String)>,
}

/// Demands by partner, each in its order; no queue is empty.
#[derive(Default)]
pub struct Queue<'a> {
    pub of: BTreeMap<&'a str, VecDeque<&'a FillDemand>>,
}

impl<'a> Queue<'a> {
    pub fn pop(&mut self, partner: &str) -> Option<&'a FillDemand> {
        let needs = self.of.get_mut(partner)?;
        let need = needs.pop_front();
        if needs.is_empty() {
            self.of.remove(partner);
        }
        need
    }
}

impl Round<'_> {
    pub fn open(&self, debtor: &str, creditor: &str) -> (u64, f64) {
        self.open.get(&(debtor.to_string(), creditor.to_string())).copied().unwrap_or_default()
    }

    /// Sum of the weights of what is still owed to a partner.
    pub fn shortfall(&self, creditor: &str) -> f64 {
        self.open.iter().filter(|((_, c), _)| c == creditor).map(|(_, (_, weight))| weight).sum()
    }

    /// A fill pays off a part of a debt.
    pub fn pay(&mut self, debtor: &str, creditor: &str, bytes: u64) {
        if let Some((open, weight)) = self.open.get_mut(&(debtor.to_string(), creditor.to_string())) {
            let left = open.saturating_sub(bytes);
            *weight *= if *open == 0 { 0.0 } else { left as f64 / *open as f64 };
            *open = left;
        }
    }
}
