//! Checks the runs of non-idempotent parts that the nodes counted, which do not depend on what the brokers recorded.

use std::collections::BTreeMap;

use super::{AuditEvent, AuditPhase, AuditRecord, Finding, GroundTruth, NodeRun, Records, SentAttempt};

/// Reports non-idempotent parts that ran more than once.
pub(super) fn check_repeated(truth: &GroundTruth, findings: &mut Vec<Finding>) {
    let mut counts: BTreeMap<(&String, u64), usize> = BTreeMap::new();
    for run in &truth.node_runs {
        *counts.entry((&run.request_id, run.segment_id)).or_default() += 1;
    }
    for ((request_id, segment_id), run_count) in counts {
        if run_count > 1 {
            findings.push(Finding::RanTwice { request_id: request_id.clone(), segment_id, run_count });
        }
    }
}

/// Reports parts that reached a node more than the longest query timeout after the last lease that allowed them had
/// expired. Their broker must have sent them later than it recorded.
pub(super) fn check_late(
    records: &Records,
    truth: &GroundTruth,
    attempts: &[SentAttempt],
    findings: &mut Vec<Finding>,
) {
    let with_versions =
        attempts.iter().filter(|attempt| attempt.non_idempotent && !attempt.versions.is_empty());
    let sent: BTreeMap<_, _> =
        with_versions.map(|attempt| ((attempt.request_id, attempt.segment_id), attempt)).collect();
    let mut phases: BTreeMap<_, Vec<&AuditRecord>> = BTreeMap::new();
    for record in &records.entries {
        if matches!(record.event, AuditEvent::Phase { .. }) {
            phases.entry((&record.broker, record.incarnation)).or_default().push(record);
        }
    }
    for run in &truth.node_runs {
        let Some(attempt) = sent.get(&(run.request_id.as_str(), run.segment_id)) else { continue };
        let incarnation = (&attempt.record.broker, attempt.record.incarnation);
        let phases = phases.get(&incarnation).map_or(&[][..], Vec::as_slice);
        let leases = phases
            .iter()
            .filter(|record| record.at <= run.arrived_at)
            .filter_map(|record| lease_on(&record.event, attempt.versions));
        let late_seconds = run.arrived_at - leases.fold(attempt.record.at, f64::max);
        if late_seconds > truth.max_query_seconds + truth.clock_slack_seconds {
            findings.push(Finding::RanAfterLease {
                broker: attempt.record.broker.clone(),
                request_id: run.request_id.clone(),
                segment_id: run.segment_id,
                versions: attempt.versions.to_vec(),
                late_seconds,
            });
        }
    }
}

/// Returns when the lease of a recorded phase expires; `None` if the phase does not allow attempts under any of these
/// configuration versions.
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

/// Reports segments for which two nodes might have executed non-idempotent parts at the same time, under any maps.
pub(super) fn check_overlapping(truth: &GroundTruth, findings: &mut Vec<Finding>) {
    if truth.maps.is_empty() {
        return;
    }
    // Both times are clock readings of nodes, taken when a part arrived, so that the slack applies twice.
    let min_interval_seconds = truth.max_query_seconds - 2.0 * truth.clock_slack_seconds;
    let mut by_segment: BTreeMap<u64, Vec<&NodeRun>> = BTreeMap::new();
    for run in &truth.node_runs {
        by_segment.entry(run.segment_id).or_default().push(run);
    }
    for (segment_id, mut runs) in by_segment {
        runs.sort_by(|a, b| a.arrived_at.total_cmp(&b.arrived_at));
        let overlap = |pair: &&[&NodeRun]| {
            pair[0].node != pair[1].node && pair[1].arrived_at - pair[0].arrived_at < min_interval_seconds
        };
        if let Some(pair) = runs.windows(2).find(overlap) {
            findings.push(Finding::OverlappingRuns {
                segment_id,
                first_node: pair[0].node.clone(),
                second_node: pair[1].node.clone(),
                interval_seconds: pair[1].arrived_at - pair[0].arrived_at,
            });
        }
    }
}
