//! Versions: each is confirmed with one content or withdrawn; and records that brokers lost.

use std::collections::{BTreeMap, BTreeSet};

use super::{AuditEvent, Finding, Records};

pub(super) fn check(records: &Records, found: &mut Vec<Finding>) {
    let mut confirmed: BTreeMap<u64, BTreeSet<&String>> = BTreeMap::new();
    let mut withdrawn = BTreeSet::new();
    for record in &records.lines {
        match &record.event {
            AuditEvent::Confirmed { number, digest } => {
                confirmed.entry(*number).or_default().insert(digest);
            }
            AuditEvent::Withdrawn { number, .. } => {
                withdrawn.insert(*number);
            }
            AuditEvent::RecordsLost { count } => {
                found.push(Finding::RecordsLost { broker: record.broker.clone(), count: *count });
            }
            _ => {}
        }
    }
    for (number, digests) in confirmed {
        if digests.len() > 1 {
            let digests = digests.into_iter().cloned().collect();
            found.push(Finding::DigestConflict { number, digests });
        }
        if withdrawn.contains(&number) {
            found.push(Finding::ConfirmedAndWithdrawn { number });
        }
    }
}
