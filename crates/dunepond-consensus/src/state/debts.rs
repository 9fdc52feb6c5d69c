//! What is agreed on about debts: the ledger, and the last entries for those that have most of it.

use std::collections::VecDeque;

use dunepond_settlement::{Agreed, Applied, Ledger};
use serde::{Deserialize, Serialize};

use crate::Rejection;

/// Entries that are kept for brokers that are a little behind; one that is further behind gets the ledger whole.
const LAST: usize = 4096;
/// Entries in one answer.
const TOLD_AT_ONCE: usize = 256;
/// Versions behind the one in force for which settlements are taken still. A broker that was away for longer than so
/// many versions settles no more what it promised before; the debt then stays open.
const OPEN_VERSIONS: u64 = 8;

/// An entry as it was applied, and the ledger's floor at that time: whoever applies it after its floor has the same
/// ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettlementRecord {
    pub floor: u64,
    pub entry: Agreed,
}

/// A part of [`SettlementLog`], for a broker that has the rest. First the ledger, if it comes, and then the entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SettlementUpdate {
    /// Entries that were applied before the first of `entries`; by now there are `count`.
    pub from: u64,
    pub count: u64,
    /// All that came before `from`.
    pub ledger: Option<Box<Ledger>>,
    pub entries: Vec<SettlementRecord>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SettlementLog {
    pub ledger: Ledger,
    /// Entries that were applied, ever.
    pub count: u64,
    last: VecDeque<SettlementRecord>,
}

impl SettlementLog {
    pub(crate) fn check(&self, entry: &Agreed) -> Result<(), Rejection> {
        match self.ledger.check(entry) {
            Ok(Applied::Now) => Ok(()),
            Ok(Applied::Before) => Err(match entry {
                Agreed::Settle(settlement) => Rejection::AlreadySettled(settlement.id.clone()),
                _ => Rejection::AlreadyApplied,
            }),
            Err(why) => Err(Rejection::Settlement(why)),
        }
    }

    /// After [`SettlementLog::check`].
    pub(crate) fn apply(&mut self, entry: Agreed) {
        let applied = self.ledger.apply(&entry);
        debug_assert_eq!(applied, Ok(Applied::Now));
        self.count += 1;
        self.last.push_back(SettlementRecord { floor: self.ledger.floor(), entry });
        if self.last.len() > LAST {
            self.last.pop_front();
        }
    }

    /// Another version is in force.
    pub(crate) fn in_force(&mut self, number: u64) {
        self.ledger.close(number.saturating_sub(OPEN_VERSIONS));
    }

    /// For one that has the first `known` entries, some at a time.
    pub fn updates_after(&self, known: u64) -> SettlementUpdate {
        let first = self.count - self.last.len() as u64;
        // One that knows more than there is has known another fleet.
        if known < first || known > self.count {
            let ledger = Some(Box::new(self.ledger.clone()));
            return SettlementUpdate { from: self.count, count: self.count, ledger, entries: Vec::new() };
        }
        let entries = self.last.iter().skip((known - first) as usize).take(TOLD_AT_ONCE).cloned().collect();
        SettlementUpdate { from: known, count: self.count, ledger: None, entries }
    }
}

#[cfg(test)]
mod tests {
    use dunepond_settlement::{Allot, DebtError, Settlement};

    use super::*;

    fn settle(version: u64, fill: u64) -> Agreed {
        let text = String::from;
        Agreed::Settle(Settlement {
            id: format!("{version}/{fill}/h@fleet"),
            debtor: text("north"),
            creditor: text("south"),
            bytes: 3,
            segment: fill,
            holder: text("h"),
            source: text("s"),
        })
    }

    /// Five thousand settlements over fifty versions, the debt split in advance.
    fn long() -> SettlementLog {
        let mut debts = SettlementLog::default();
        let text = String::from;
        let (debtor, creditor, parts) = (text("north"), text("south"), vec![(text("fleet"), 15_000)]);
        let allot = Allot { number: 0, debtor, creditor, debt: 15_000, parts };
        debts.check(&Agreed::Allot(allot.clone())).unwrap();
        debts.apply(Agreed::Allot(allot));
        for fill in 0..5000 {
            if fill % 100 == 0 {
                debts.in_force(1 + fill / 100);
            }
            let entry = settle(1 + fill / 100, fill);
            debts.check(&entry).unwrap();
            debts.apply(entry);
        }
        debts
    }

    #[test]
    fn whoever_takes_what_it_is_told_from_wherever_it_was_has_the_same_ledger() {
        let debts = long();
        // The ledger at a place, as one has it that heard of all up to there.
        let at = |count: u64| {
            let mut ledger = Ledger::default();
            let all = long();
            let kept = all.last.iter().map(|noted| (noted.floor, noted.entry.clone())).collect::<Vec<_>>();
            (count == 4_900).then(|| {
                // From the ledger whole up to the first that is kept, then entry by entry.
                let first = all.count - kept.len() as u64;
                let mut begun = SettlementLog::default();
                let allot = Allot {
                    number: 0,
                    debtor: "north".to_string(),
                    creditor: "south".to_string(),
                    debt: 15_000,
                    parts: vec![("fleet".to_string(), 15_000)],
                };
                begun.apply(Agreed::Allot(allot));
                (0..first - 1).for_each(|fill| begun.apply(settle(1 + fill / 100, fill)));
                ledger = begun.ledger;
                for (floor, entry) in &kept[..(count - first) as usize] {
                    ledger.close(*floor);
                    ledger.apply(entry).unwrap();
                }
            });
            ledger
        };
        for from in [0, 4_900, 9_999] {
            let (mut known, mut ledger, mut times) = (from, at(from), 0);
            while known != debts.count {
                let told = debts.updates_after(known);
                if let Some(whole) = told.ledger {
                    ledger = *whole;
                    known = told.from;
                }
                for noted in told.entries {
                    ledger.close(noted.floor);
                    assert_eq!(ledger.apply(&noted.entry), Ok(Applied::Now));
                    known += 1;
                }
                times += 1;
                assert!(times < 100, "no end of it from {from}");
            }
            assert_eq!(ledger, debts.ledger, "from {from}");
        }
    }

    #[test]
    fn what_is_remembered_is_bounded_and_what_is_closed_is_refused() {
        let debts = long();
        assert!(debts.last.len() <= LAST);
        assert_eq!(
            debts.check(&settle(50, 4999)),
            Err(Rejection::AlreadySettled("50/4999/h@fleet".to_string()))
        );
        let late = debts.check(&settle(41, 1));
        assert!(matches!(late, Err(Rejection::Settlement(DebtError::Closed { floor: 42, .. }))), "{late:?}");
        let past = debts.check(&settle(50, 5000));
        assert!(matches!(past, Err(Rejection::Settlement(DebtError::PastShare { .. }))), "{past:?}");
        let size = postcard::to_stdvec(&debts.ledger).unwrap().len();
        assert!(size < 900 * 64, "{size} bytes for nine versions of a hundred fills");
    }
}
