//! Settlements between partners: each is applied once, the same everywhere, and within the debt.

use std::collections::{BTreeMap, BTreeSet};

use super::{AuditEvent, Finding, GroundTruth, Records};

/// What a settlement says.
#[derive(Clone, Copy, PartialEq)]
struct Terms<'a> {
    debtor: &'a str,
    creditor: &'a str,
    bytes: u64,
}

/// Whose settlements are summed up: those that one process applied, between two partners.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SumKey<'a> {
    broker: &'a String,
    incarnation: u64,
    debtor: &'a String,
    creditor: &'a String,
}

pub(super) fn check(records: &Records, truth: &GroundTruth, found: &mut Vec<Finding>) {
    let mut applied = BTreeSet::new();
    let mut first_ids: BTreeMap<&str, &str> = BTreeMap::new();
    let mut first_terms: BTreeMap<&str, Terms> = BTreeMap::new();
    let mut sums: BTreeMap<SumKey, u64> = BTreeMap::new();
    for record in &records.lines {
        let AuditEvent::Settled { id, debtor, creditor, bytes, .. } = &record.event else { continue };
        let (broker, incarnation) = (&record.broker, record.incarnation);
        let terms = Terms { debtor, creditor, bytes: *bytes };
        if !applied.insert((broker, incarnation, id)) {
            found.push(Finding::SettlementReapplied { broker: broker.clone(), id: id.clone() });
        } else if *first_terms.entry(id).or_insert(terms) != terms {
            found.push(Finding::SettlementMismatch { broker: broker.clone(), id: id.clone() });
        }
        // A settlement is FILL@BROKER: one fill pays once, whoever carried it out.
        let fill = id.rsplit_once('@').map_or(id.as_str(), |(fill, _)| fill);
        let first_id = *first_ids.entry(fill).or_insert(id);
        if first_id != id {
            found.push(Finding::FillSettledTwice {
                fill: fill.to_string(),
                first: first_id.to_string(),
                second: id.clone(),
            });
        }
        *sums.entry(SumKey { broker, incarnation, debtor, creditor }).or_default() += bytes;
    }
    let Some(owed) = truth.max_debt_bytes else { return };
    for (key, settled) in sums {
        if settled > owed {
            found.push(Finding::SettledBeyondDebt {
                broker: key.broker.clone(),
                debtor: key.debtor.clone(),
                creditor: key.creditor.clone(),
                settled,
                owed,
            });
        }
    }
}
