//! Whose word counts. A word that an audit contradicts is worth nothing until its node has been right again for a
//! doubling number of audits, and audits of those left out cost only a small share of what they save.

use std::collections::BTreeMap;

use crate::NodeId;

/// Audits that must bear a node out after its first lie; doubled with each further one.
const RIGHT_AGAIN: u32 = 4;
const LONGEST: u32 = 1024;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Standing {
    /// Audits that must still bear it out; 0 where its word counts.
    owed: u32,
    /// What the next lie will cost.
    next: u32,
}

#[derive(Default)]
pub struct Trust {
    standings: BTreeMap<NodeId, Standing>,
}

impl Trust {
    /// Everybody's word counts until it has been found false: two of them are needed anyway.
    pub fn counts(&self, node: NodeId) -> bool {
        self.standings.get(&node).is_none_or(|standing| standing.owed == 0)
    }

    /// It denied what an audit found. True if its word counted until now.
    pub fn lied(&mut self, node: NodeId) -> bool {
        let before = self.counts(node);
        let standing = self.standings.entry(node).or_insert(Standing { owed: 0, next: RIGHT_AGAIN });
        *standing = Standing { owed: standing.next, next: (2 * standing.next).min(LONGEST) };
        before
    }

    /// An audit bears it out.
    pub fn right(&mut self, node: NodeId) {
        if let Some(standing) = self.standings.get_mut(&node) {
            standing.owed = standing.owed.saturating_sub(1);
        }
    }

    /// A new process, or another node under its number.
    pub fn forget(&mut self, node: NodeId) {
        self.standings.remove(&node);
    }

    /// How many have lost their word at this moment.
    pub fn doubted(&self) -> usize {
        self.standings.values().filter(|standing| standing.owed > 0).count()
    }
}

/// Audits that may be made: a share of what is left out, and none beyond it, however often it is asked.
pub struct Allowance {
    share: f64,
    /// Saved up by what was left out; a burst of audits after a quiet hour would be work of its own.
    most: f64,
    saved: f64,
}

impl Allowance {
    pub fn new(share: f64, most: f64) -> Self {
        Self { share, most, saved: 0.0 }
    }

    /// Another share from now on.
    pub fn share(&mut self, share: f64) {
        self.share = share;
    }

    pub fn left_out(&mut self, segs: usize) {
        self.saved = (self.saved + self.share * segs as f64).min(self.most);
    }

    pub fn take(&mut self) -> bool {
        let may = self.saved >= 1.0;
        self.saved -= if may { 1.0 } else { 0.0 };
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_lie_costs_twice_as_many_right_words_as_the_one_before() {
        let mut trust = Trust::default();
        assert!(trust.counts(3));
        for owed in [4, 8, 16] {
            assert!(trust.lied(3));
            for _ in 0..owed {
                assert!(!trust.counts(3));
                trust.right(3);
            }
            assert!(trust.counts(3));
        }
        assert!(trust.counts(4));
    }

    #[test]
    fn audits_stay_within_their_share_of_what_was_left_out() {
        let mut allowance = Allowance::new(0.02, 4.0);
        let mut made = 0;
        for _ in 0..1000 {
            allowance.left_out(10);
            made += usize::from(allowance.take()) + usize::from(allowance.take());
        }
        assert!((190..=200).contains(&made), "{made}");
        // A long time without audits is not made up for at once.
        allowance.left_out(1_000_000);
        assert_eq!((0..100).filter(|_| allowance.take()).count(), 4);
    }
}
