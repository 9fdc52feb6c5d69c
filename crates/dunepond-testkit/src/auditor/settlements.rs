//! Checks settlements between partners: each is applied once by an incarnation, has the same terms at all brokers, and
//! all together do not exceed the debt.

use std::collections::{BTreeMap, BTreeSet};

use super::{AuditEvent, Finding, GroundTruth, Records};

/// The terms of a settlement.
#[derive(Clone, Copy, PartialEq)]
struct Terms<'a> {
    debtor: &'a str,
    creditor: &'a str,
    bytes: u64,
}

/// Key by which settlements are added up: one incarnation of a broker, and the two partners.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SumKey<'a> {
    broker: &'a String,
    incarnation: u64,
    debtor: &'a String,
    creditor: &'a String,
}

/// Reports settlements that were applied twice, have conflicting terms, settle one fill twice or exceed the debt.
pub(super) fn check(records: &Records, truth: &GroundTruth, findings: &mut Vec<Finding>) {
    let mut applied = BTreeSet::new();
    let mut first_ids: BTreeMap<&str, &str> = BTreeMap::new();
    let mut first_terms: BTreeMap<&str, Terms> = BTreeMap::new();
    let mut sums: BTreeMap<SumKey, u64> = BTreeMap::new();
    for record in &records.entries {
        let AuditEvent::Settled { id, debtor, creditor, bytes, .. } = &record.event else { continue };
        let (broker, incarnation) = (&record.broker, record.incarnation);
        let terms = Terms { debtor, creditor, bytes: *bytes };
        if !applied.insert((broker, incarnation, id)) {
            findings.push(Finding::SettlementReapplied { broker: broker.clone(), settlement_id: id.clone() });
        } else if *first_terms.entry(id).or_insert(terms) != terms {
            findings.push(Finding::SettlementMismatch { broker: broker.clone(), settlement_id: id.clone() });
        }
        // A settlement id has the form FILL@BROKER. A fill is settled once only, whichever broker carried it out.
        let fill = id.rsplit_once('@').map_or(id.as_str(), |(fill, _)| fill);
        let first_id = *first_ids.entry(fill).or_insert(id);
        if first_id != id {
            findings.push(Finding::FillSettledTwice {
                fill_id: fill.to_string(),
                first_settlement_id: first_id.to_string(),
                second_settlement_id: id.clone(),
            });
        }
        *sums.entry(SumKey { broker, incarnation, debtor, creditor }).or_default() += bytes;
    }
    let Some(owed_bytes) = truth.max_debt_bytes else { return };
    for (key, settled_bytes) in sums {
        if settled_bytes > owed_bytes {
            findings.push(Finding::SettledBeyondDebt {
                broker: key.broker.clone(),
                debtor: key.debtor.clone(),
                creditor: key.creditor.clone(),
                settled_bytes,
                owed_bytes,
            });
        }
    }
}
