//! Checks the recorded attempts of non-idempotent parts: they go to the owner of the segment only, and none is
//! duplicated.

use std::collections::{BTreeMap, BTreeSet};

use super::{AuditEvent, AuditPhase, AuditRecord, Finding, GroundTruth, MapVersion};

/// An attempt, with the record that it was read from.
pub(super) struct SentAttempt<'a> {
    pub record: &'a AuditRecord,
    pub request_id: &'a str,
    pub segment_id: u64,
    pub node: &'a str,
    /// Number of this attempt among the attempts of the part.
    pub attempt: u64,
    pub non_idempotent: bool,
    /// Phase of the configuration by which the attempt was allowed.
    pub phase: AuditPhase,
    /// Numbers of the configuration versions by which the attempt was allowed.
    pub versions: &'a [u64],
}

impl<'a> SentAttempt<'a> {
    /// Returns the attempt that a record describes; `None` for records of other events.
    pub fn from_record(record: &'a AuditRecord) -> Option<Self> {
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

    /// Whether both attempts were sent by the same incarnation of the same broker.
    fn same_incarnation(&self, other: &Self) -> bool {
        self.record.broker == other.record.broker && self.record.incarnation == other.record.incarnation
    }

    /// Returns the shard maps of the configuration versions under which the attempt was sent.
    pub fn maps<'t>(&self, truth: &'t GroundTruth) -> Vec<&'t MapVersion> {
        self.versions.iter().filter_map(|version| truth.maps.get(version)).collect()
    }
}

/// Reports non-idempotent parts that were sent to a node that does not own the segment, or to two owners while the
/// first might still have been executing.
pub(super) fn check_ownership(truth: &GroundTruth, attempts: &[SentAttempt], findings: &mut Vec<Finding>) {
    let mut last_by_segment: BTreeMap<u64, &SentAttempt> = BTreeMap::new();
    for attempt in attempts.iter().filter(|attempt| attempt.non_idempotent) {
        let maps = attempt.maps(truth);
        if maps.is_empty() {
            continue;
        }
        let segment_id = attempt.segment_id;
        let owned_by_node =
            |map: &&MapVersion| map.owners.get(&segment_id).is_some_and(|owner| owner == attempt.node);
        if !maps.iter().all(owned_by_node) {
            findings.push(Finding::NotOwner {
                broker: attempt.broker(),
                request_id: attempt.request_id.to_string(),
                segment_id,
                node: attempt.node.to_string(),
                versions: attempt.versions.to_vec(),
            });
        }
        let Some(previous) = last_by_segment.insert(segment_id, attempt) else { continue };
        let interval_seconds = attempt.record.at - previous.record.at;
        if previous.node != attempt.node
            && interval_seconds < truth.max_query_seconds - truth.clock_slack_seconds
        {
            let (first_node, second_node) = (previous.node.to_string(), attempt.node.to_string());
            findings.push(Finding::TwoOwners { segment_id, first_node, second_node, interval_seconds });
        }
    }
}

/// Reports non-idempotent parts that were sent by two incarnations, or twice under one attempt number. In neither case
/// can the second sender have known that the first attempt never ran.
pub(super) fn check_duplicates(attempts: &[SentAttempt], findings: &mut Vec<Finding>) {
    let mut by_part: BTreeMap<(&str, u64), Vec<&SentAttempt>> = BTreeMap::new();
    for attempt in attempts.iter().filter(|attempt| attempt.non_idempotent) {
        by_part.entry((attempt.request_id, attempt.segment_id)).or_default().push(attempt);
    }
    for ((request_id, segment_id), part_attempts) in by_part {
        let first = part_attempts[0];
        let numbers: BTreeSet<_> = part_attempts.iter().map(|attempt| attempt.attempt).collect();
        let other_incarnation = part_attempts.iter().find(|attempt| !attempt.same_incarnation(first));
        let number_repeats = numbers.len() < part_attempts.len();
        if let Some(second) = other_incarnation.or(number_repeats.then_some(&first)) {
            findings.push(Finding::DuplicateAttempt {
                request_id: request_id.to_string(),
                segment_id,
                first_broker: first.broker(),
                second_broker: second.broker(),
            });
        }
    }
}
