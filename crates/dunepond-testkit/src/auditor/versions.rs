//! Checks configuration versions, each of which is either withdrawn or confirmed with one digest, and reports lost
//! records.

use std::collections::{BTreeMap, BTreeSet};

use super::{AuditEvent, Finding, Records};

/// Reports configuration versions with conflicting outcomes, and each loss of records.
pub(super) fn check(records: &Records, findings: &mut Vec<Finding>) {
    let mut confirmed: BTreeMap<u64, BTreeSet<&String>> = BTreeMap::new();
    let mut withdrawn = BTreeSet::new();
    for record in &records.entries {
        match &record.event {
            AuditEvent::Confirmed { number, digest } => {
                confirmed.entry(*number).or_default().insert(digest);
            }
            AuditEvent::Withdrawn { number, .. } => {
                withdrawn.insert(*number);
            }
            AuditEvent::RecordsLost { count } => {
                findings.push(Finding::RecordsLost { broker: record.broker.clone(), count: *count });
            }
            _ => {}
        }
    }
    for (version, digests) in confirmed {
        if digests.len() > 1 {
            let digests = digests.into_iter().cloned().collect();
            findings.push(Finding::DigestConflict { version, digests });
        }
        if withdrawn.contains(&version) {
            findings.push(Finding::ConfirmedAndWithdrawn { version });
        }
    }
}
