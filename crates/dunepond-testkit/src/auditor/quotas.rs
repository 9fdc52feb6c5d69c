//! Checks quotas that the brokers share: at no time may the brokers together be able to use more than the whole quota
//! within one window.

use std::collections::{BTreeMap, BTreeSet};

use super::{AuditEvent, AuditRecord, Finding, Records};

/// Number of units in each quota: shares are recorded in millionths.
pub const QUOTA_UNITS: u64 = 1_000_000;

/// An interval in which one broker's share of a quota counts, in seconds on the monotonic clock. It ends one window
/// after the broker's permission to use the share, because any use counts against the quota for one window.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaInterval {
    /// Name of the broker.
    pub broker: String,
    /// Name of the quota.
    pub quota: String,
    /// Share of the broker, in units; the whole quota has [`QUOTA_UNITS`].
    pub units: u64,
    /// When the broker may start to use the share.
    pub from: f64,
    /// When the share stops counting.
    pub to: f64,
}

/// Sum of all brokers' shares of a quota after one of these shares has started or stopped counting.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSum<'a> {
    /// When that share started or stopped counting, in seconds on the monotonic clock.
    pub at: f64,
    /// Sum of the shares, in units.
    pub units: u64,
    /// Share of each broker in units, by name of the broker.
    pub by_broker: BTreeMap<&'a str, u64>,
}

/// A moment at which an interval begins or ends.
struct Edge {
    at: f64,
    begins: bool,
    /// Index of the interval in the list that is summed up.
    index: usize,
}

/// Returns the sum of the brokers' shares of a quota at each moment at which an interval begins or ends.
pub fn quota_sums<'a>(intervals: &'a [QuotaInterval], quota: &str) -> Vec<QuotaSum<'a>> {
    let intervals: Vec<_> =
        intervals.iter().filter(|interval| interval.quota == quota && interval.to > interval.from).collect();
    // Shares of one broker replace each other and are not added up: its largest open share counts.
    let mut open: BTreeMap<&str, BTreeSet<(u64, usize)>> = BTreeMap::new();
    let mut sums = Vec::new();
    for Edge { at, begins, index } in edges(&intervals) {
        let share = (intervals[index].units, index);
        let shares = open.entry(&intervals[index].broker).or_default();
        if begins {
            shares.insert(share);
        } else {
            shares.remove(&share);
        }
        let largest = open.iter().filter_map(|(broker, shares)| Some((*broker, shares.last()?.0)));
        let by_broker: BTreeMap<_, _> = largest.collect();
        sums.push(QuotaSum { at, units: by_broker.values().sum(), by_broker });
    }
    sums
}

/// Returns the edges of the intervals in the order of time. Of the edges at one moment, those that end an interval come
/// first.
fn edges(intervals: &[&QuotaInterval]) -> Vec<Edge> {
    let mut edges = Vec::new();
    for (index, interval) in intervals.iter().enumerate() {
        edges.push(Edge { at: interval.from, begins: true, index });
        edges.push(Edge { at: interval.to, begins: false, index });
    }
    edges.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.begins.cmp(&b.begins)));
    edges
}

/// Returns the largest sum of the brokers' shares of each quota over the run, in units, by name of the quota.
pub fn peak_units(records: &Records) -> BTreeMap<String, u64> {
    let intervals = quota_intervals(records);
    let quotas: BTreeSet<_> = intervals.iter().map(|interval| interval.quota.clone()).collect();
    let peak =
        |quota: &String| quota_sums(&intervals, quota).into_iter().map(|sum| sum.units).max().unwrap_or(0);
    quotas.iter().map(|quota| (quota.clone(), peak(quota))).collect()
}

/// Reports, for each quota, the first moment at which the brokers' shares add up to more than the quota.
pub(super) fn check_quotas(records: &Records, findings: &mut Vec<Finding>) {
    let intervals = quota_intervals(records);
    let quotas: BTreeSet<_> = intervals.iter().map(|interval| &interval.quota).collect();
    for quota in quotas {
        let exceeded = quota_sums(&intervals, quota).into_iter().find(|sum| sum.units > QUOTA_UNITS);
        if let Some(sum) = exceeded {
            findings.push(Finding::QuotaExceeded {
                quota: quota.clone(),
                total_units: sum.units,
                quota_units: QUOTA_UNITS,
                at: sum.at,
                shares: format!("{:?}", sum.by_broker),
            });
        }
    }
}

/// Returns the intervals of all recorded quota shares. A record applies until the next one of the same broker, in any
/// incarnation.
pub fn quota_intervals(records: &Records) -> Vec<QuotaInterval> {
    let mut quota_names: BTreeSet<&String> = BTreeSet::new();
    let mut by_broker: BTreeMap<&str, Vec<&AuditRecord>> = BTreeMap::new();
    for record in &records.entries {
        if let AuditEvent::QuotaShare { leased_units, .. } = &record.event {
            quota_names.extend(leased_units.keys());
            by_broker.entry(&record.broker).or_default().push(record);
        }
    }
    let mut intervals = Vec::new();
    for records in by_broker.values() {
        for (index, record) in records.iter().enumerate() {
            let next_at = records.get(index + 1).map(|next| next.at);
            intervals.extend(intervals_of(record, next_at, &quota_names));
        }
    }
    intervals
}

/// Returns the intervals in which the shares of one record count. `next_at` is the time of the broker's next record, if
/// there is one.
fn intervals_of(
    record: &AuditRecord,
    next_at: Option<f64>,
    quota_names: &BTreeSet<&String>,
) -> Vec<QuotaInterval> {
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
    // The last record of a broker applies until its lease expires. Its floor does not expire, but is counted no longer
    // than that.
    let next_at = next_at.unwrap_or(lease_expires_at.max(record.at));
    let from = record.at.max(*usable_from);
    let mut intervals = Vec::new();
    for name in quota_names {
        let leased = leased_units.get(*name).copied().unwrap_or(0);
        let with_lease = (floor_units + leased, lease_expires_at.min(next_at));
        for (units, until) in [with_lease, (*floor_units, next_at)] {
            if until > from && units > 0 {
                intervals.push(QuotaInterval {
                    broker: record.broker.clone(),
                    quota: name.to_string(),
                    units: u64::from(units),
                    from,
                    to: until + window_seconds,
                });
            }
        }
    }
    intervals
}
