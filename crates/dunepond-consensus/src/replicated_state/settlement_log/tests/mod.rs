use dunepond_settlement::{
    Allotment, ApplyOutcome, Settlement, SettlementEntry, SettlementError, SettlementLedger,
};

use super::{RETAINED_ENTRY_COUNT, SettlementLog};
use crate::Rejection;

const FILLS: u64 = 5000;
const FILLS_PER_VERSION: u64 = 100;

fn settle(version: u64, fill: u64) -> SettlementEntry {
    let text = String::from;
    SettlementEntry::Settle(Settlement {
        id: format!("{version}/{fill}/h@fleet"),
        debtor: text("north"),
        creditor: text("south"),
        bytes: 3,
        segment: fill,
        holder: text("h"),
        source: text("s"),
    })
}

fn allot() -> SettlementEntry {
    let text = String::from;
    let (debtor, creditor, parts) = (text("north"), text("south"), vec![(text("fleet"), 15_000).into()]);
    SettlementEntry::Allot(Allotment { number: 0, debtor, creditor, debt: 15_000, parts })
}

/// A log that first allots the shares of a debt, and then settles the debt by 5000 fills of 50 configuration versions.
fn long_log() -> SettlementLog {
    let mut log = SettlementLog::default();
    log.check(&allot()).unwrap();
    log.apply(allot());
    for fill in 0..FILLS {
        if fill % FILLS_PER_VERSION == 0 {
            log.close_old_versions(1 + fill / FILLS_PER_VERSION);
        }
        let entry = settle(1 + fill / FILLS_PER_VERSION, fill);
        log.check(&entry).unwrap();
        log.apply(entry);
    }
    log
}

/// The ledger of a broker that has the first `count` entries. Of the tested counts, only 4900 is within the retained
/// entries. With another `count` the broker receives the complete ledger, so its own may be empty.
fn ledger_at(log: &SettlementLog, count: u64) -> SettlementLedger {
    if count != 4_900 {
        return SettlementLedger::default();
    }
    // Begins with the ledger as of the first retained entry, and then applies the retained entries one by one.
    let first_retained = log.count - log.last.len() as u64;
    let mut earlier = SettlementLog::default();
    earlier.apply(allot());
    (0..first_retained - 1).for_each(|fill| earlier.apply(settle(1 + fill / FILLS_PER_VERSION, fill)));
    let mut ledger = earlier.ledger;
    for record in log.last.iter().take((count - first_retained) as usize) {
        ledger.close_versions(record.oldest_open_version);
        ledger.apply(&record.entry).unwrap();
    }
    ledger
}

#[test]
fn updates_from_any_position_yield_same_ledger() {
    let log = long_log();
    for from in [0, 4_900, 9_999] {
        let (mut known, mut ledger, mut update_count) = (from, ledger_at(&log, from), 0);
        while known != log.count {
            let update = log.updates_after(known);
            if let Some(whole_ledger) = update.ledger {
                ledger = *whole_ledger;
                known = update.from;
            }
            for record in update.entries {
                ledger.close_versions(record.oldest_open_version);
                assert_eq!(ledger.apply(&record.entry), Ok(ApplyOutcome::New));
                known += 1;
            }
            update_count += 1;
            assert!(update_count < 100, "the updates from entry {from} do not end");
        }
        assert_eq!(ledger, log.ledger, "updates from entry {from}");
    }
}

#[test]
fn retained_entries_are_bounded_and_closed_versions_are_rejected() {
    let log = long_log();
    assert!(log.last.len() <= RETAINED_ENTRY_COUNT);
    assert_eq!(log.check(&settle(50, 4999)), Err(Rejection::AlreadySettled("50/4999/h@fleet".to_string())));
    let closed = log.check(&settle(41, 1));
    assert!(
        matches!(closed, Err(Rejection::Settlement(SettlementError::VersionClosed { floor: 42, .. }))),
        "{closed:?}"
    );
    let excess = log.check(&settle(50, 5000));
    assert!(matches!(excess, Err(Rejection::Settlement(SettlementError::ExceedsShare { .. }))), "{excess:?}");
    let size = postcard::to_stdvec(&log.ledger).unwrap().len();
    assert!(size < 900 * 64, "the ledger takes {size} bytes for 9 open versions of 100 fills");
}
