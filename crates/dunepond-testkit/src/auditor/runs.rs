//! Runs as nodes counted them, whatever brokers wrote.

use std::collections::BTreeMap;

use super::{AuditEvent, AuditPhase, AuditRecord, Finding, GroundTruth, NodeRun, Records, SentAttempt};

/// Parts that must not run twice and did.
pub(super) fn check_repeated(truth: &GroundTruth, found: &mut Vec<Finding>) {
    let mut counts: BTreeMap<(&String, u64), usize> = BTreeMap::new();
    for run in &truth.runs {
        *counts.entry((&run.request_id, run.segment_id)).or_default() += 1;
    }
    for ((request_id, segment_id), times) in counts {
        if times > 1 {
            found.push(Finding::RanTwice { request_id: request_id.clone(), segment_id, times });
        }
    }
}

/// Parts that came to a node when all that their broker ever held of the versions they were sent on was long over: it sent them
/// later than it says.
pub(super) fn check_late(
    records: &Records,
    truth: &GroundTruth,
    attempts: &[SentAttempt],
    found: &mut Vec<Finding>,
) {
    let on_versions =
        attempts.iter().filter(|attempt| attempt.non_idempotent && !attempt.versions.is_empty());
    let sent: BTreeMap<_, _> =
        on_versions.map(|attempt| ((attempt.request_id, attempt.segment_id), attempt)).collect();
    let mut phases: BTreeMap<_, Vec<&AuditRecord>> = BTreeMap::new();
    for record in &records.lines {
        if matches!(record.event, AuditEvent::Phase { .. }) {
            phases.entry((&record.broker, record.incarnation)).or_default().push(record);
        }
    }
    for run in &truth.runs {
        let Some(attempt) = sent.get(&(run.request_id.as_str(), run.segment_id)) else { continue };
        let incarnation = (&attempt.record.broker, attempt.record.incarnation);
        let phases = phases.get(&incarnation).map_or(&[][..], Vec::as_slice);
        let leases = phases
            .iter()
            .filter(|record| record.at <= run.at)
            .filter_map(|record| lease_on(&record.event, attempt.versions));
        let late = run.at - leases.fold(attempt.record.at, f64::max);
        if late > truth.max_query_seconds + truth.clock_slack_seconds {
            found.push(Finding::RanAfterLease {
                broker: attempt.record.broker.clone(),
                request_id: run.request_id.clone(),
                segment_id: run.segment_id,
                versions: attempt.versions.to_vec(),
                late,
            });
        }
    }
}

/// When the lease of a phase expires, if that phase allows acting on one of these versions.
fn lease_on(event: &AuditEvent, versions: &[u64]) -> Option<f64> {
    let AuditEvent::Phase { phase, first_version, last_version, lease_expires_at } = event else {
        return None;
    };
    let allows = match phase {
        AuditPhase::Joint => versions.contains(first_version) || versions.contains(last_version),
        AuditPhase::Active => versions.contains(last_version),
        _ => false,
    };
    allows.then_some(*lease_expires_at)
}

/// Two nodes that both may have been at work on one segment, under whichever maps.
pub(super) fn check_overlapping(truth: &GroundTruth, found: &mut Vec<Finding>) {
    if truth.maps.is_empty() {
        return;
    }
    // Both readings are a node's, of when it came and not when it was sent.
    let min_apart = truth.max_query_seconds - 2.0 * truth.clock_slack_seconds;
    let mut by_segment: BTreeMap<u64, Vec<&NodeRun>> = BTreeMap::new();
    for run in &truth.runs {
        by_segment.entry(run.segment_id).or_default().push(run);
    }
    for (segment_id, mut runs) in by_segment {
        runs.sort_by(|a, b| a.at.total_cmp(&b.at));
        let overlap =
            |pair: &&[&NodeRun]| pair[0].node != pair[1].node && pair[1].at - pair[0].at < min_apart;
        if let Some(pair) = runs.windows(2).find(overlap) {
            found.push(Finding::OverlappingRuns {
                segment_id,
                first: pair[0].node.clone(),
                second: pair[1].node.clone(),
                apart: pair[1].at - pair[0].at,
            });
        }
    }
}
