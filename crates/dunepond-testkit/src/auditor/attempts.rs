//! Attempts as brokers recorded them: to whom they went, and whether they could run twice.

use std::collections::{BTreeMap, BTreeSet};

use super::{AuditEvent, AuditPhase, AuditRecord, Finding, GroundTruth, MapVersion};

/// An attempt, and the record that speaks of it.
pub(super) struct SentAttempt<'a> {
    pub record: &'a AuditRecord,
    pub request_id: &'a str,
    pub segment_id: u64,
    pub node: &'a str,
    pub attempt: u64,
    pub non_idempotent: bool,
    pub phase: AuditPhase,
    /// The versions that the broker acted on.
    pub versions: &'a [u64],
}

impl<'a> SentAttempt<'a> {
    pub fn of(record: &'a AuditRecord) -> Option<Self> {
        let AuditEvent::AttemptSent {
            request_id,
            segment_id,
            node,
            attempt,
            non_idempotent,
            phase,
            versions,
        } = &record.event
        else {
            return None;
        };
        Some(Self {
            record,
            request_id,
            segment_id: *segment_id,
            node,
            attempt: *attempt,
            non_idempotent: *non_idempotent,
            phase: *phase,
            versions,
        })
    }

    fn broker(&self) -> String {
        self.record.broker.clone()
    }

    /// By the same process of the same broker.
    fn same_incarnation(&self, other: &Self) -> bool {
        self.record.broker == other.record.broker && self.record.incarnation == other.record.incarnation
    }

    /// The maps of the versions that it was sent on.
    pub fn maps<'t>(&self, truth: &'t GroundTruth) -> Vec<&'t MapVersion> {
        self.versions.iter().filter_map(|version| truth.maps.get(version)).collect()
    }
}

/// Parts that must not run twice, sent to others than the owner, or to two owners while the first might still be at work.
pub(super) fn check_ownership(truth: &GroundTruth, attempts: &[SentAttempt], found: &mut Vec<Finding>) {
    let mut last: BTreeMap<u64, &SentAttempt> = BTreeMap::new();
    for attempt in attempts.iter().filter(|attempt| attempt.non_idempotent) {
        let maps = attempt.maps(truth);
        if maps.is_empty() {
            continue;
        }
        let segment_id = attempt.segment_id;
        let owned_by_node =
            |map: &&MapVersion| map.owners.get(&segment_id).is_some_and(|owner| owner == attempt.node);
        if !maps.iter().all(owned_by_node) {
            found.push(Finding::NotOwner {
                broker: attempt.broker(),
                request_id: attempt.request_id.to_string(),
                segment_id,
                node: attempt.node.to_string(),
                versions: attempt.versions.to_vec(),
            });
        }
        let Some(before) = last.insert(segment_id, attempt) else { continue };
        let apart = attempt.record.at - before.record.at;
        if before.node != attempt.node && apart < truth.max_query_seconds - truth.clock_slack_seconds {
            let (first, second) = (before.node.to_string(), attempt.node.to_string());
            found.push(Finding::TwoOwners { segment_id, first, second, apart });
        }
    }
}

/// Parts that must not run twice, sent again in one of the ways in which nothing can have told that the first never ran.
pub(super) fn check_duplicates(attempts: &[SentAttempt], found: &mut Vec<Finding>) {
    let mut by_part: BTreeMap<(&str, u64), Vec<&SentAttempt>> = BTreeMap::new();
    for attempt in attempts.iter().filter(|attempt| attempt.non_idempotent) {
        by_part.entry((attempt.request_id, attempt.segment_id)).or_default().push(attempt);
    }
    for ((request_id, segment_id), sent) in by_part {
        let first = sent[0];
        let numbers: BTreeSet<_> = sent.iter().map(|attempt| attempt.attempt).collect();
        let elsewhere = sent.iter().find(|attempt| !attempt.same_incarnation(first));
        let number_repeats = numbers.len() < sent.len();
        if let Some(second) = elsewhere.or(number_repeats.then_some(&first)) {
            found.push(Finding::DuplicateAttempt {
                request_id: request_id.to_string(),
                segment_id,
                first: first.broker(),
                second: second.broker(),
            });
        }
    }
}
