//! Answers called complete that miss what was asked for, or put parts of two maps together.

use std::collections::BTreeMap;

use super::{AuditEvent, Finding, GroundTruth, Records, SentAttempt};

pub(super) fn check(
    records: &Records,
    truth: &GroundTruth,
    attempts: &[SentAttempt],
    found: &mut Vec<Finding>,
) {
    let mut by_request: BTreeMap<(&str, &str), Vec<&SentAttempt>> = BTreeMap::new();
    for attempt in attempts {
        by_request.entry((&attempt.record.broker, attempt.request_id)).or_default().push(attempt);
    }
    for record in &records.lines {
        let AuditEvent::Answer { request_id, complete: true, segments, map_epoch, .. } = &record.event else {
            continue;
        };
        let parts =
            by_request.get(&(record.broker.as_str(), request_id.as_str())).map_or(&[][..], Vec::as_slice);
        let from_attempts = || parts.iter().map(|attempt| attempt.segment_id).collect();
        let requested = truth.requested.get(request_id).cloned().unwrap_or_else(from_attempts);
        let missing: Vec<_> = requested.into_iter().filter(|segment| !segments.contains(segment)).collect();
        let (broker, request_id) = (record.broker.clone(), request_id.clone());
        if !missing.is_empty() {
            found.push(Finding::FalselyComplete { broker, request_id, missing });
            continue;
        }
        let Some(epoch) = *map_epoch else { continue };
        let foreign = segments.iter().find_map(|segment| {
            let under = epochs_of(*segment, parts, truth);
            (!under.is_empty() && !under.contains(&epoch)).then_some((*segment, under))
        });
        if let Some((segment_id, under)) = foreign {
            found.push(Finding::MixedEpochs { broker, request_id, epoch, segment_id, under });
        }
    }
}

/// The epochs of all maps that attempts for a segment were sent on: one that was sent more than once came in under one of these.
fn epochs_of(segment_id: u64, parts: &[&SentAttempt], truth: &GroundTruth) -> Vec<u64> {
    let attempts = parts.iter().filter(|attempt| attempt.segment_id == segment_id);
    attempts.flat_map(|attempt| attempt.maps(truth)).map(|map| map.epoch).collect()
}
