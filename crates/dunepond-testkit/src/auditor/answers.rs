//! Checks answers that are marked complete: they must contain all requested segments, all under one shard map.

use std::collections::BTreeMap;

use super::{AuditEvent, Finding, GroundTruth, Records, SentAttempt};

/// Reports answers marked complete that lack a requested segment or combine parts of different shard maps.
pub(super) fn check(
    records: &Records,
    truth: &GroundTruth,
    attempts: &[SentAttempt],
    findings: &mut Vec<Finding>,
) {
    let mut by_request: BTreeMap<(&str, &str), Vec<&SentAttempt>> = BTreeMap::new();
    for attempt in attempts {
        by_request.entry((&attempt.record.broker, attempt.request_id)).or_default().push(attempt);
    }
    for record in &records.entries {
        let AuditEvent::Answer { request_id, complete: true, segments, map_epoch, .. } = &record.event else {
            continue;
        };
        let parts =
            by_request.get(&(record.broker.as_str(), request_id.as_str())).map_or(&[][..], Vec::as_slice);
        let from_attempts = || parts.iter().map(|attempt| attempt.segment_id).collect();
        let requested = truth.requested_segments.get(request_id).cloned().unwrap_or_else(from_attempts);
        let missing_segments: Vec<_> =
            requested.into_iter().filter(|segment| !segments.contains(segment)).collect();
        let (broker, request_id) = (record.broker.clone(), request_id.clone());
        if !missing_segments.is_empty() {
            findings.push(Finding::FalselyComplete { broker, request_id, missing_segments });
            continue;
        }
        let Some(epoch) = *map_epoch else { continue };
        let mismatch = segments.iter().find_map(|segment| {
            let attempt_epochs = epochs_of(*segment, parts, truth);
            let differs = !attempt_epochs.is_empty() && !attempt_epochs.contains(&epoch);
            differs.then_some((*segment, attempt_epochs))
        });
        if let Some((segment_id, attempt_epochs)) = mismatch {
            findings.push(Finding::MixedEpochs { broker, request_id, epoch, segment_id, attempt_epochs });
        }
    }
}

/// Returns the epochs of all maps under which attempts for a segment were sent. If there were several attempts, the
/// answer of any of them may have been used, so each of these epochs is possible.
fn epochs_of(segment_id: u64, parts: &[&SentAttempt], truth: &GroundTruth) -> Vec<u64> {
    let attempts = parts.iter().filter(|attempt| attempt.segment_id == segment_id);
    attempts.flat_map(|attempt| attempt.maps(truth)).map(|map| map.epoch).collect()
}
