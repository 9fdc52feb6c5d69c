//! Quotas that the fleet shares: what all brokers together might use of one, at each moment and over each window.

use std::collections::{BTreeMap, BTreeSet};

use super::{AuditEvent, AuditRecord, Finding, Records};

/// Units in the whole of each quota.
pub const QUOTA_UNITS: u64 = 1_000_000;

/// What one broker might use of one quota for a while, in seconds of the monotonic clock. What it used still counts until the
/// window behind it is over.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaInterval {
    /// The broker's name.
    pub broker: String,
    /// The quota's name.
    pub bound: String,
    /// Its part, of [`QUOTA_UNITS`].
    pub units: u64,
    /// From when it might use them.
    pub from: f64,
    /// Until when that counts.
    pub to: f64,
}

/// What all brokers together might use of a quota from a moment on.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSum<'a> {
    /// The moment, in seconds of the monotonic clock.
    pub at: f64,
    /// The sum of all parts.
    pub units: u64,
    /// Each broker's part.
    pub by_broker: BTreeMap<&'a str, u64>,
}

/// A moment at which an interval begins or ends.
struct Edge {
    at: f64,
    begins: bool,
    index: usize,
}

/// Sums at each moment at which one changes.
pub fn sums<'a>(intervals: &'a [QuotaInterval], bound: &str) -> Vec<QuotaSum<'a>> {
    let intervals: Vec<_> =
        intervals.iter().filter(|interval| interval.bound == bound && interval.to > interval.from).collect();
    // The largest part that is open counts for its broker: parts of one broker replace each other.
    let mut open: BTreeMap<&str, BTreeSet<(u64, usize)>> = BTreeMap::new();
    let mut sums = Vec::new();
    for Edge { at, begins, index } in edges(&intervals) {
        let part = (intervals[index].units, index);
        let parts = open.entry(&intervals[index].broker).or_default();
        if begins {
            parts.insert(part);
        } else {
            parts.remove(&part);
        }
        let largest = open.iter().filter_map(|(broker, parts)| Some((*broker, parts.last()?.0)));
        let by_broker: BTreeMap<_, _> = largest.collect();
        sums.push(QuotaSum { at, units: by_broker.values().sum(), by_broker });
    }
    sums
}

/// By time; what ends at a moment has ended when something else begins at it.
fn edges(intervals: &[&QuotaInterval]) -> Vec<Edge> {
    let mut edges = Vec::new();
    for (index, interval) in intervals.iter().enumerate() {
        edges.push(Edge { at: interval.from, begins: true, index });
        edges.push(Edge { at: interval.to, begins: false, index });
    }
    edges.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.begins.cmp(&b.begins)));
    edges
}

/// The most that all together might use of each quota over any window, in units.
pub fn peak_units(records: &Records) -> BTreeMap<String, u64> {
    let intervals = quota_intervals(records);
    let bounds: BTreeSet<_> = intervals.iter().map(|interval| interval.bound.clone()).collect();
    let peak = |bound: &String| sums(&intervals, bound).into_iter().map(|sum| sum.units).max().unwrap_or(0);
    bounds.iter().map(|bound| (bound.clone(), peak(bound))).collect()
}

/// Finds the first moment at which more than the whole of a quota might be used.
pub(super) fn check_quotas(records: &Records, found: &mut Vec<Finding>) {
    let intervals = quota_intervals(records);
    let bounds: BTreeSet<_> = intervals.iter().map(|interval| &interval.bound).collect();
    for bound in bounds {
        let exceeded = sums(&intervals, bound).into_iter().find(|sum| sum.units > QUOTA_UNITS);
        if let Some(sum) = exceeded {
            found.push(Finding::QuotaExceeded {
                bound: bound.clone(),
                units: sum.units,
                whole: QUOTA_UNITS,
                at: sum.at,
                brokers: format!("{:?}", sum.by_broker),
            });
        }
    }
}

/// What brokers recorded that they may use, each record up to the next of any incarnation of the same broker.
pub fn quota_intervals(records: &Records) -> Vec<QuotaInterval> {
    let mut names: BTreeSet<&String> = BTreeSet::new();
    let mut by_broker: BTreeMap<&str, Vec<&AuditRecord>> = BTreeMap::new();
    for record in &records.lines {
        if let AuditEvent::QuotaShare { leased_units, .. } = &record.event {
            names.extend(leased_units.keys());
            by_broker.entry(&record.broker).or_default().push(record);
        }
    }
    let mut intervals = Vec::new();
    for records in by_broker.values() {
        for (index, record) in records.iter().enumerate() {
            let next_at = records.get(index + 1).map(|next| next.at);
            intervals.extend(intervals_of(record, next_at, &names));
        }
    }
    intervals
}

/// What one record allows until the broker's next one.
fn intervals_of(record: &AuditRecord, next_at: Option<f64>, names: &BTreeSet<&String>) -> Vec<QuotaInterval> {
    let AuditEvent::QuotaShare {
        admitted: true,
        floor_units,
        leased_units,
        usable_from,
        lease_expires_at,
        window_seconds,
        ..
    } = &record.event
    else {
        return Vec::new();
    };
    // Nothing says when the last one stops: its lease does, and its floor is its own for good.
    let next_at = next_at.unwrap_or(lease_expires_at.max(record.at));
    let from = record.at.max(*usable_from);
    let mut intervals = Vec::new();
    for name in names {
        let leased = leased_units.get(*name).copied().unwrap_or(0);
        let with_lease = (floor_units + leased, lease_expires_at.min(next_at));
        for (units, until) in [with_lease, (*floor_units, next_at)] {
            if until > from && units > 0 {
                intervals.push(QuotaInterval {
                    broker: record.broker.clone(),
                    bound: name.to_string(),
                    units: u64::from(units),
                    from,
                    to: until + window_seconds,
                });
            }
        }
    }
    intervals
}
