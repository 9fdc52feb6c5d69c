//! Bounds that the fleet shares: what all brokers together might use of one, at each moment and over each window.

use std::collections::{BTreeMap, BTreeSet};

use super::{AuditEvent, AuditRecord, Finding, Records};

/// Units in the whole of each bound.
pub const QUOTA_UNITS: u64 = 1_000_000;

/// What one broker might use of one bound for a while. What it used still counts until the window behind it is over.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaInterval {
    pub brk: String,
    pub bound: String,
    pub units: u64,
    pub from: f64,
    pub to: f64,
}

/// Sums at each moment at which one changes: time, bound, units, and who has how many of them.
pub fn sums<'a>(stretches: &'a [QuotaInterval], bound: &str) -> Vec<(f64, u64, BTreeMap<&'a str, u64>)> {
    let of: Vec<_> = stretches.iter().filter(|one| one.bound == bound && one.to > one.from).collect();
    let mut edges: Vec<(f64, bool, usize)> = Vec::new();
    for (i, one) in of.iter().enumerate() {
        edges.push((one.from, true, i));
        edges.push((one.to, false, i));
    }
    // What ends at a moment has ended when something else begins at it.
    edges.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut open: BTreeMap<&str, BTreeSet<(u64, usize)>> = BTreeMap::new();
    let mut sums = Vec::new();
    for (at, begins, i) in edges {
        let all = open.entry(&of[i].brk).or_default();
        match begins {
            true => drop(all.insert((of[i].units, i))),
            false => drop(all.remove(&(of[i].units, i))),
        }
        let each: BTreeMap<_, _> = open.iter().filter_map(|(brk, all)| Some((*brk, all.last()?.0))).collect();
        sums.push((at, each.values().sum(), each));
    }
    sums
}

/// The most that all together might use of each bound over any window, in units.
pub fn peak_units(records: &Records) -> BTreeMap<String, u64> {
    let stretches = quota_intervals(records);
    let bounds: BTreeSet<_> = stretches.iter().map(|one| one.bound.clone()).collect();
    let most = |bound: &String| sums(&stretches, bound).into_iter().map(|sum| sum.1).max().unwrap_or(0);
    bounds.iter().map(|bound| (bound.clone(), most(bound))).collect()
}

pub fn check_quotas(records: &Records, found: &mut Vec<Finding>) {
    let stretches = quota_intervals(records);
    let bounds: BTreeSet<_> = stretches.iter().map(|one| &one.bound).collect();
    for bound in bounds {
        let over = sums(&stretches, bound).into_iter().find(|sum| sum.1 > QUOTA_UNITS);
        if let Some((at, units, each)) = over {
            let brokers = format!("{each:?}");
            found.push(Finding::PastWhole { bound: bound.clone(), units, whole: QUOTA_UNITS, at, brokers });
        }
    }
}

/// By what brokers were told they may, each line up to the next of any life of the same broker.
pub fn quota_intervals(records: &Records) -> Vec<QuotaInterval> {
    let shares = || records.lines.iter().filter(|line| matches!(line.event, AuditEvent::QuotaShare { .. }));
    let names: BTreeSet<&String> = shares()
        .flat_map(|line| match &line.event {
            AuditEvent::QuotaShare { leased_units, .. } => leased_units.keys().collect::<Vec<_>>(),
            _ => Vec::new(),
        })
        .collect();
    let mut by_broker: BTreeMap<&str, Vec<&AuditRecord>> = BTreeMap::new();
    shares().for_each(|line| by_broker.entry(&line.broker).or_default().push(line));
    let mut all = Vec::new();
    for (brk, lines) in by_broker {
        for (i, line) in lines.iter().enumerate() {
            let AuditEvent::QuotaShare {
                admitted: true,
                floor_units: floor,
                leased_units: parts,
                usable_from: from,
                lease_expires_at: until,
                window_seconds: window,
                ..
            } = &line.event
            else {
                continue;
            };
            // Nothing says when the last one stops: its lease does, and its floor is its own for good.
            let next = lines.get(i + 1).map_or(until.max(line.at), |next| next.at);
            let begins = line.at.max(*from);
            for name in &names {
                let part = parts.get(*name).copied().unwrap_or(0);
                for (units, to) in [(floor + part, until.min(next)), (*floor, next)] {
                    if to > begins && units > 0 {
                        let (brk, bound, units) = (brk.to_string(), name.to_string(), u64::from(units));
                        all.push(QuotaInterval { brk, bound, units, from: begins, to: to + window });
                    }
                }
            }
        }
    }
    all
}
