//! What one call of the planner has before it, and has chosen so far.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{Book, Cold, Fill, Links, Need, Shares};

/// A fill's place at link, holder and window.
#[derive(Clone, Debug)]
pub struct Moved {
    pub fill: String,
    pub at: f64,
    pub from: String,
    pub to: String,
    pub bytes: u64,
}

/// What one call has chosen so far.
pub struct Round<'a> {
    pub book: &'a Book,
    pub links: &'a Links,
    pub cold: &'a Cold,
    pub shares: Option<&'a Shares>,
    pub now: f64,
    /// Open debts by debtor and creditor, and their weight, less what fills under way and chosen ones pay.
    pub open: BTreeMap<(String, String), (u64, f64)>,
    pub chosen: Vec<Fill>,
    /// From whom one that has waited too long would be filled: what these may carry, and what may move between the two,
    /// is kept for it. A large fill would otherwise wait for ever behind small ones.
    pub kept: BTreeSet<(String, String)>,
}

/// Needs by the partner that has them, each in its order; none is empty.
#[derive(Default)]
pub struct Queue<'a> {
    pub of: BTreeMap<&'a str, VecDeque<&'a Need>>,
}

impl<'a> Queue<'a> {
    pub fn pop(&mut self, partner: &str) -> Option<&'a Need> {
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

    /// What is still owed to a partner, by weight.
    pub fn shortfall(&self, creditor: &str) -> f64 {
        self.open.iter().filter(|((_, c), _)| c == creditor).map(|(_, (_, weight))| weight).sum()
    }

    pub fn pay(&mut self, debtor: &str, creditor: &str, bytes: u64) {
        if let Some((open, weight)) = self.open.get_mut(&(debtor.to_string(), creditor.to_string())) {
            let left = open.saturating_sub(bytes);
            *weight *= if *open == 0 { 0.0 } else { left as f64 / *open as f64 };
            *open = left;
        }
    }
}
