//! Leases: when brokers might act on which version, and attempts outside of that.

use std::collections::{BTreeMap, BTreeSet};

use super::{AuditEvent, AuditPhase, AuditRecord, Finding, GroundTruth, Records, SentAttempt};

/// A time in which a broker might act on one version alone, in seconds of the monotonic clock.
#[derive(Clone, Debug, PartialEq)]
struct ActiveInterval {
    broker: String,
    version: u64,
    from: f64,
    to: f64,
}

/// The interval that a broker's process is in.
#[derive(Clone, Copy)]
struct OpenInterval {
    incarnation: u64,
    index: usize,
}

/// The longest that any two brokers might act on different versions alone, in seconds.
pub fn longest_contradiction(records: &Records) -> f64 {
    let intervals = active_intervals(records);
    let mut longest: f64 = 0.0;
    for (i, a) in intervals.iter().enumerate() {
        for b in &intervals[i + 1..] {
            if a.version != b.version && a.broker != b.broker {
                longest = longest.max(a.to.min(b.to) - a.from.max(b.from));
            }
        }
    }
    longest
}

fn active_intervals(records: &Records) -> Vec<ActiveInterval> {
    let mut intervals: Vec<ActiveInterval> = Vec::new();
    let mut open: BTreeMap<&str, OpenInterval> = BTreeMap::new();
    for record in &records.lines {
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
        // Renewed: it goes on, unless it stood still in between.
        let renewed = ended.filter(|interval| {
            let before = &intervals[interval.index];
            interval.incarnation == record.incarnation && before.version == version && before.to == record.at
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

/// A new incarnation, even if it says nothing of its phase yet, has ended what the last one might do.
fn ends_interval(record: &AuditRecord, interval: OpenInterval) -> bool {
    matches!(record.event, AuditEvent::Phase { .. }) || interval.incarnation != record.incarnation
}

/// Attempts on a version after the end of the lease that was in force, and parts that must not run twice sent without one.
pub(super) fn check_leases(records: &Records, truth: &GroundTruth, found: &mut Vec<Finding>) {
    let mut lease_ends: BTreeMap<(&str, u64), f64> = BTreeMap::new();
    let mut with_map: BTreeSet<(&str, u64)> = BTreeSet::new();
    for record in &records.lines {
        let incarnation = (record.broker.as_str(), record.incarnation);
        if let AuditEvent::Phase { lease_expires_at, first_version, last_version, .. } = &record.event {
            lease_ends.insert(incarnation, *lease_expires_at);
            if truth.maps.contains_key(first_version) || truth.maps.contains_key(last_version) {
                with_map.insert(incarnation);
            }
        }
        let Some(attempt) = SentAttempt::of(record) else { continue };
        let late = record.at - lease_ends.get(&incarnation).copied().unwrap_or(0.0);
        if late <= truth.clock_slack_seconds {
            continue;
        }
        let (broker, segment_id) = (record.broker.clone(), attempt.segment_id);
        let request_id = attempt.request_id.to_string();
        let needs_lease = attempt.non_idempotent;
        match attempt.phase {
            AuditPhase::Active | AuditPhase::Joint => {
                found.push(Finding::SentAfterLease { broker, request_id, segment_id, late });
            }
            // Cut off without any map known, a broker goes on by its last rules.
            AuditPhase::LeaseExpired if needs_lease && with_map.contains(&incarnation) => {
                found.push(Finding::SentWithoutLease { broker, request_id, segment_id });
            }
            AuditPhase::Unconfigured if needs_lease => {
                found.push(Finding::SentWithoutLease { broker, request_id, segment_id });
            }
            _ => {}
        }
    }
}

/// Parts that must not run twice, sent on one version alone while another broker might act on another alone.
pub(super) fn check_conflicting_versions(
    records: &Records,
    truth: &GroundTruth,
    attempts: &[SentAttempt],
    found: &mut Vec<Finding>,
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
            found.push(Finding::ConflictingVersions {
                broker: attempt.record.broker.clone(),
                request_id: attempt.request_id.to_string(),
                segment_id: attempt.segment_id,
                version,
                other: other.broker.clone(),
                other_version: other.version,
                at,
            });
        }
    }
}
