//! Cancels cycles of debts. Equal amounts of debt along a cycle cancel out, so they need no settlement.

use std::collections::{BTreeMap, BTreeSet};

/// A debt between two partners, by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DebtEdge<'a> {
    pub debtor: &'a str,
    pub creditor: &'a str,
}

/// Open debts in bytes, by debtor and creditor.
#[derive(Default)]
pub(crate) struct OpenDebts<'a>(BTreeMap<DebtEdge<'a>, u64>);

/// A partner on the current search path, and its debts that the search has not followed yet.
struct PathNode<'a> {
    partner: &'a str,
    unvisited: Vec<DebtEdge<'a>>,
}

impl<'a> OpenDebts<'a> {
    pub fn insert(&mut self, edge: DebtEdge<'a>, bytes: u64) {
        self.0.insert(edge, bytes);
    }

    /// Cancels all cycles and returns the remaining debts. What each partner owes minus what it is owed stays the same. The
    /// result is deterministic.
    pub fn without_cycles(mut self) -> impl Iterator<Item = (DebtEdge<'a>, u64)> {
        while let Some(cycle) = self.find_cycle() {
            self.cancel(&cycle);
        }
        self.0.into_iter()
    }

    /// Subtracts the smallest debt of the cycle from each of its debts.
    fn cancel(&mut self, cycle: &[DebtEdge<'a>]) {
        let smallest = cycle.iter().map(|edge| self.0[edge]).min().unwrap_or(0);
        for edge in cycle {
            let left = self.0[edge] - smallest;
            if left == 0 {
                self.0.remove(edge);
            } else {
                self.0.insert(*edge, left);
            }
        }
    }

    fn debts_of(&self, debtor: &'a str) -> Vec<DebtEdge<'a>> {
        let first = DebtEdge { debtor, creditor: "" };
        self.0.range(first..).map(|(edge, _)| *edge).take_while(|edge| edge.debtor == debtor).collect()
    }

    /// Returns the first cycle that a depth-first search finds.
    fn find_cycle(&self) -> Option<Vec<DebtEdge<'a>>> {
        let mut cycle_free: BTreeSet<&str> = BTreeSet::new();
        let debtors: BTreeSet<&str> = self.0.keys().map(|edge| edge.debtor).collect();
        for debtor in debtors {
            let mut path = vec![PathNode { partner: debtor, unvisited: self.debts_of(debtor) }];
            while let Some(node) = path.last_mut() {
                let Some(edge) = node.unvisited.pop() else {
                    cycle_free.insert(node.partner);
                    path.pop();
                    continue;
                };
                if let Some(start) = path.iter().position(|node| node.partner == edge.creditor) {
                    return Some(cycle_of(&path[start..]));
                }
                if !cycle_free.contains(edge.creditor) {
                    let unvisited = self.debts_of(edge.creditor);
                    path.push(PathNode { partner: edge.creditor, unvisited });
                }
            }
        }
        None
    }
}

/// Returns the debts along the path, and the debt from its last partner back to its first.
fn cycle_of<'a>(path: &[PathNode<'a>]) -> Vec<DebtEdge<'a>> {
    let creditors = path[1..].iter().chain(&path[..1]);
    let edges = path.iter().zip(creditors);
    edges.map(|(node, next)| DebtEdge { debtor: node.partner, creditor: next.partner }).collect()
}
