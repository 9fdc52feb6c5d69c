//! Checks leases: at which times each configuration version might be active at each broker, and attempts outside of
//! these times.

use std::collections::{BTreeMap, BTreeSet};

use super::{AuditEvent, AuditPhase, AuditRecord, Finding, GroundTruth, Records, SentAttempt};

/// An interval in which one configuration version might be active at a broker, in seconds on the monotonic clock.
#[derive(Clone, Debug, PartialEq)]
struct ActiveInterval {
    broker: String,
    version: u64,
    from: f64,
    to: f64,
}

/// The latest interval of a broker, which its next record may extend or end.
#[derive(Clone, Copy)]
struct OpenInterval {
    incarnation: u64,
    /// Index in the list of all intervals.
    index: usize,
}

/// Returns the longest time for which any two brokers might have had different configuration versions active, in
/// seconds.
pub fn longest_version_conflict_seconds(records: &Records) -> f64 {
    let intervals = active_intervals(records);
    let mut longest: f64 = 0.0;
    for (index, a) in intervals.iter().enumerate() {
        for b in &intervals[index + 1..] {
            if a.version != b.version && a.broker != b.broker {
                longest = longest.max(a.to.min(b.to) - a.from.max(b.from));
            }
        }
    }
    longest
}

/// Returns all intervals in which a configuration version might have been active at a broker. An interval ends with the
/// broker's lease, with the next change of its phase, or with the first record of its next incarnation.
fn active_intervals(records: &Records) -> Vec<ActiveInterval> {
    let mut intervals: Vec<ActiveInterval> = Vec::new();
    let mut open: BTreeMap<&str, OpenInterval> = BTreeMap::new();
    for record in &records.entries {
        let broker = record.broker.as_str();
        let ended = open.get(broker).copied().filter(|interval| ends_interval(record, *interval));
        if let Some(interval) = ended {
            open.remove(broker);
            let to = &mut intervals[interval.index].to;
            *to = to.min(record.at);
        }
        let AuditEvent::Phase { phase: AuditPhase::Active, first_version, last_version, lease_expires_at } =
            record.event
        else {
            continue;
        };
        let version = if last_version > 0 { last_version } else { first_version };
        // A renewed lease extends the interval, unless the previous lease had already expired.
        let renewed = ended.filter(|interval| {
            let previous = &intervals[interval.index];
            interval.incarnation == record.incarnation
                && previous.version == version
                && previous.to == record.at
        });
        let index = match renewed {
            Some(interval) => {
                intervals[interval.index].to = lease_expires_at;
                interval.index
            }
            None => {
                let broker = record.broker.clone();
                intervals.push(ActiveInterval { broker, version, from: record.at, to: lease_expires_at });
                intervals.len() - 1
            }
        };
        open.insert(broker, OpenInterval { incarnation: record.incarnation, index });
    }
    intervals.retain(|interval| interval.to > interval.from);
    intervals
}

/// Whether a record of the broker ends its interval. Any record of another incarnation does, even if the phase is not
/// recorded yet, because the earlier process no longer runs.
fn ends_interval(record: &AuditRecord, interval: OpenInterval) -> bool {
    matches!(record.event, AuditEvent::Phase { .. }) || interval.incarnation != record.incarnation
}

/// Reports attempts that were sent after the lease that allowed them had expired, and non-idempotent parts sent without
/// a lease.
pub(super) fn check_leases(records: &Records, truth: &GroundTruth, findings: &mut Vec<Finding>) {
    let mut lease_ends: BTreeMap<(&str, u64), f64> = BTreeMap::new();
    let mut incarnations_with_map: BTreeSet<(&str, u64)> = BTreeSet::new();
    for record in &records.entries {
        let incarnation = (record.broker.as_str(), record.incarnation);
        if let AuditEvent::Phase { lease_expires_at, first_version, last_version, .. } = &record.event {
            lease_ends.insert(incarnation, *lease_expires_at);
            if truth.maps.contains_key(first_version) || truth.maps.contains_key(last_version) {
                incarnations_with_map.insert(incarnation);
            }
        }
        let Some(attempt) = SentAttempt::from_record(record) else { continue };
        let late_seconds = record.at - lease_ends.get(&incarnation).copied().unwrap_or(0.0);
        if late_seconds <= truth.clock_slack_seconds {
            continue;
        }
        let (broker, segment_id) = (record.broker.clone(), attempt.segment_id);
        let request_id = attempt.request_id.to_string();
        let needs_lease = attempt.non_idempotent;
        match attempt.phase {
            AuditPhase::Active | AuditPhase::Joint => {
                findings.push(Finding::SentAfterLease { broker, request_id, segment_id, late_seconds });
            }
            // A broker whose lease has expired and that knows no map continues under the rules it had last.
            AuditPhase::LeaseExpired if needs_lease && incarnations_with_map.contains(&incarnation) => {
                findings.push(Finding::SentWithoutLease { broker, request_id, segment_id });
            }
            AuditPhase::Unconfigured if needs_lease => {
                findings.push(Finding::SentWithoutLease { broker, request_id, segment_id });
            }
            _ => {}
        }
    }
}

/// Reports non-idempotent parts sent under an active configuration version while another broker might have had a
/// different one active.
pub(super) fn check_conflicting_versions(
    records: &Records,
    truth: &GroundTruth,
    attempts: &[SentAttempt],
    findings: &mut Vec<Finding>,
) {
    let intervals = active_intervals(records);
    let slack = truth.clock_slack_seconds;
    for attempt in attempts {
        if !attempt.non_idempotent || attempt.phase != AuditPhase::Active {
            continue;
        }
        let Some(&version) = attempt.versions.last() else { continue };
        let at = attempt.record.at;
        let conflicts = |other: &&ActiveInterval| {
            other.broker != attempt.record.broker
                && other.version != version
                && other.from + slack < at
                && at < other.to - slack
        };
        if let Some(other) = intervals.iter().find(conflicts) {
            findings.push(Finding::ConflictingVersions {
                broker: attempt.record.broker.clone(),
                request_id: attempt.request_id.to_string(),
                segment_id: attempt.segment_id,
                version,
                other_broker: other.broker.clone(),
                other_version: other.version,
                at,
            });
        }
    }
}
