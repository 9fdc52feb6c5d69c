//! The planner with which the leader splits spare units between brokers according to their demand reports.

use std::collections::BTreeMap;

use crate::{BrokerShares, DemandReport, QuotaEntry, QuotaLedger, QuotaShare, SharedQuotas};

/// How spare units are split between brokers; `docs/notes/quota.md` compares the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SplitRule {
    /// Each broker gets the same number of units.
    Even,
    /// Each broker gets units in proportion to its demand.
    Proportional,
    /// Max-min fairness: small demands are met in full, larger ones split the rest evenly, and units that nobody demands
    /// are split evenly between all brokers.
    MaxMin,
}

/// Parameters of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerConfig {
    /// The rule by which spare units are split.
    pub rule: SplitRule,
    /// Factor by which the planner multiplies the reported demand, since demand may grow before the next plan.
    pub headroom_ratio: f64,
    /// Shortage or surplus of a broker's share up to which the planner leaves shares as they are, as a fraction of an
    /// even share of the spare units.
    pub min_step_ratio: f64,
    /// Time in seconds without a report after which a broker counts as having no demand. A leader that has led for less than
    /// this time does not yet know which brokers exist, and plans nothing.
    pub silent_after_seconds: f64,
    /// Time in seconds without a report after which a broker is removed.
    pub removed_after_seconds: f64,
}

impl PlannerConfig {
    /// Returns the parameters for leases that last `lease_seconds`.
    pub fn for_lease(lease_seconds: f64) -> Self {
        Self {
            rule: SplitRule::MaxMin,
            headroom_ratio: 1.25,
            min_step_ratio: 0.2,
            silent_after_seconds: 3.0 * lease_seconds,
            removed_after_seconds: 10.0 * lease_seconds,
        }
    }
}

/// The last report that the leader received from a broker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReceivedReport {
    /// The report as the broker sent it.
    pub report: DemandReport,
    /// Seconds since the leader received the report.
    pub age_seconds: f64,
}

/// Splits `spare` units between brokers by `rule`. `demands` lists each broker's demand in units, including the part
/// that its floor of `floor` units covers. Returns each broker's units beyond the floor, in the order of `demands`.
pub fn target_units(rule: SplitRule, spare: u32, floor: u32, demands: &[u32]) -> Vec<u32> {
    let count = demands.len() as u32;
    if count == 0 {
        return Vec::new();
    }
    let even = vec![spare / count; demands.len()];
    match rule {
        SplitRule::Even => even,
        SplitRule::Proportional => {
            let sum: u64 = demands.iter().map(|demand| u64::from(*demand)).sum();
            if sum == 0 {
                return even;
            }
            demands.iter().map(|demand| (u64::from(spare) * u64::from(*demand) / sum) as u32).collect()
        }
        SplitRule::MaxMin => max_min(spare, floor, demands),
    }
}

fn max_min(spare: u32, floor: u32, demands: &[u32]) -> Vec<u32> {
    let count = demands.len() as u32;
    let beyond_floor: Vec<u32> = demands.iter().map(|demand| demand.saturating_sub(floor)).collect();
    let mut smallest_first: Vec<usize> = (0..beyond_floor.len()).collect();
    smallest_first.sort_by_key(|at| beyond_floor[*at]);
    let (mut left, mut targets) = (spare, vec![0; beyond_floor.len()]);
    for (served, at) in smallest_first.into_iter().enumerate() {
        targets[at] = beyond_floor[at].min(left / (count - served as u32));
        left -= targets[at];
    }
    targets.iter_mut().for_each(|target| *target += left / count);
    targets
}

/// Returns the entry that the leader should propose next, if any. `own` is the configuration of shared quotas from the
/// leader's own file; `leading_seconds` is the time in seconds for which the leader has led and received reports.
pub fn next_entry(
    ledger: &QuotaLedger,
    own: &SharedQuotas,
    reports: &BTreeMap<String, ReceivedReport>,
    leading_seconds: f64,
    config: &PlannerConfig,
) -> Option<QuotaEntry> {
    if leading_seconds < config.silent_after_seconds {
        return None;
    }
    let Some(shared) = &ledger.shared else { return Some(QuotaEntry::Configure(own.clone())) };
    let planner = Planner { ledger, shared, own, reports, leading_seconds, config };
    // While configuration files differ, all leases are withdrawn and only the floors remain: a unit that is spare
    // according to one file may belong to a broker's floor according to another.
    if planner.files_differ() {
        return planner.reclaim_all().or_else(|| planner.reconfigure());
    }
    planner.remove_broker().or_else(|| planner.add_broker()).or_else(|| planner.set_shares())
}

struct Planner<'a> {
    ledger: &'a QuotaLedger,
    shared: &'a SharedQuotas,
    own: &'a SharedQuotas,
    reports: &'a BTreeMap<String, ReceivedReport>,
    leading_seconds: f64,
    config: &'a PlannerConfig,
}

/// A broker with a current report, whose share of one quota is being planned.
struct Candidate<'a> {
    broker: &'a String,
    shares: &'a BrokerShares,
    /// Reported demand in units, including the part that the broker's floor covers.
    demand: u32,
    /// Planned units beyond the floor.
    target: u32,
}

impl Candidate<'_> {
    fn growth(&self, quota: &str) -> u64 {
        u64::from(self.target - self.shares.granted_units(quota))
    }
}

impl<'a> Planner<'a> {
    fn files_differ(&self) -> bool {
        let recent =
            self.reports.values().filter(|received| received.age_seconds < self.config.removed_after_seconds);
        self.shared != self.own || recent.into_iter().any(|received| received.report.shared != *self.shared)
    }

    fn reclaim_all(&self) -> Option<QuotaEntry> {
        let grants = self.ledger.brokers.iter().flat_map(|(broker, shares)| {
            shares.grants.iter().map(move |(quota, grant)| (broker, quota, grant.granted))
        });
        let held = grants.filter(|(_, _, granted)| *granted > 0);
        share_entry(
            held.map(|(broker, quota, _)| QuotaShare {
                broker: broker.clone(),
                quota: quota.clone(),
                units: 0,
            })
            .collect(),
        )
    }

    fn reconfigure(&self) -> Option<QuotaEntry> {
        let entry = QuotaEntry::Configure(self.own.clone());
        (self.shared != self.own && self.ledger.check(&entry).is_ok()).then_some(entry)
    }

    /// Returns the entry that removes a broker without a recent report, unless units are still reserved for it.
    fn remove_broker(&self) -> Option<QuotaEntry> {
        let age = |broker: &String| {
            self.reports.get(broker).map_or(self.leading_seconds, |received| received.age_seconds)
        };
        let silent =
            self.ledger.brokers.keys().find(|broker| age(broker) >= self.config.removed_after_seconds)?;
        self.if_applicable(QuotaEntry::RemoveBroker { broker: silent.clone() })
    }

    fn add_broker(&self) -> Option<QuotaEntry> {
        let is_new = |broker: &&String| {
            !self.ledger.brokers.contains_key(*broker) && self.current_report(broker).is_some()
        };
        let new = self.reports.keys().find(is_new)?;
        self.if_applicable(QuotaEntry::AddBroker { broker: new.clone() })
    }

    fn if_applicable(&self, entry: QuotaEntry) -> Option<QuotaEntry> {
        self.ledger.check(&entry).is_ok().then_some(entry)
    }

    fn set_shares(&self) -> Option<QuotaEntry> {
        share_entry(self.shared.names.iter().flat_map(|quota| self.plan_quota(quota)).collect())
    }

    fn current_report(&self, broker: &str) -> Option<&'a DemandReport> {
        let received = self.reports.get(broker)?;
        (received.age_seconds < self.config.silent_after_seconds).then_some(&received.report)
    }

    /// Plans the changes to shares of one quota. A share may shrink by any number of units, but grows only by units
    /// that are not reserved for another broker.
    fn plan_quota(&self, quota: &str) -> Vec<QuotaShare> {
        let share =
            |broker: &String, units| QuotaShare { broker: broker.clone(), quota: quota.to_string(), units };
        let (present, silent): (Vec<_>, Vec<_>) =
            self.ledger.brokers.iter().partition(|(broker, _)| self.current_report(broker).is_some());
        // The share of a broker without a current report is withdrawn: the broker may be unable to send requests, in
        // which case it loses nothing.
        let silent_holders = silent.iter().filter(|(_, shares)| shares.granted_units(quota) > 0);
        let mut changes: Vec<QuotaShare> = silent_holders.map(|(broker, _)| share(broker, 0)).collect();
        let candidates = self.candidates(quota, &present);
        let min_step = self.min_step();
        if !candidates.iter().any(|candidate| self.is_short(candidate, quota, min_step)) {
            return changes;
        }
        for Candidate { broker, shares, target, .. } in &candidates {
            // While the units of an earlier shrink await their release, another shrink of the same broker would restart
            // that wait.
            if shares.granted_units(quota) > target + min_step && !shares.awaits_release() {
                changes.push(share(broker, *target));
            }
        }
        changes.extend(self.grow(quota, &candidates, min_step));
        changes
    }

    fn candidates(&self, quota: &str, present: &[(&'a String, &'a BrokerShares)]) -> Vec<Candidate<'a>> {
        let demand = |broker: &String| {
            let report = self.current_report(broker)?;
            report.demand_units.get(quota).copied()
        };
        let demands: Vec<u32> = present.iter().map(|(broker, _)| demand(broker).unwrap_or(0)).collect();
        let with_headroom =
            demands.iter().map(|demand| (f64::from(*demand) * self.config.headroom_ratio) as u32);
        let with_headroom: Vec<u32> = with_headroom.collect();
        let spare = self.shared.spare_units();
        let targets = target_units(self.config.rule, spare, self.shared.floor_units, &with_headroom);
        let planned = present.iter().zip(demands).zip(targets);
        planned
            .map(|(((broker, shares), demand), target)| Candidate { broker, shares, demand, target })
            .collect()
    }

    /// Returns the number of units up to which a shortage or surplus of a broker's share is ignored.
    fn min_step(&self) -> u32 {
        let even = self.shared.spare_units() / self.shared.max_brokers;
        (f64::from(even) * self.config.min_step_ratio) as u32
    }

    /// Whether the broker needs a larger share: its reported demand exceeds its floor and granted units, and its target
    /// exceeds the granted units by more than `min_step`. A broker whose units cover its demand, but not the headroom
    /// planned on top of that demand, needs none.
    fn is_short(&self, candidate: &Candidate, quota: &str, min_step: u32) -> bool {
        let granted = candidate.shares.granted_units(quota);
        candidate.demand > self.shared.floor_units + granted && candidate.target > granted + min_step
    }

    fn grow(&self, quota: &str, candidates: &[Candidate], min_step: u32) -> Vec<QuotaShare> {
        let growing: Vec<&Candidate> =
            candidates.iter().filter(|it| it.target > it.shares.granted_units(quota)).collect();
        let mut free = u64::from(self.ledger.free_units(quota));
        let mut wanted: u64 = growing.iter().map(|candidate| candidate.growth(quota)).sum();
        let mut changes = Vec::new();
        for candidate in growing {
            let granted = candidate.shares.granted_units(quota);
            let growth = candidate.growth(quota);
            // Units that are still reserved for this broker can be granted to it again without using free units.
            let reserved =
                u64::from(candidate.shares.reserved_units(quota).saturating_sub(granted)).min(growth);
            let from_free = (free * growth / wanted.max(1)).min(growth - reserved);
            (free, wanted) = (free - from_free, wanted - growth);
            let added = reserved + from_free;
            let units = granted + added as u32;
            let reaches_target = units == candidate.target && added > 0;
            if added >= u64::from(min_step) || reaches_target {
                changes.push(QuotaShare {
                    broker: candidate.broker.clone(),
                    quota: quota.to_string(),
                    units,
                });
            }
        }
        changes
    }
}

fn share_entry(shares: Vec<QuotaShare>) -> Option<QuotaEntry> {
    (!shares.is_empty()).then_some(QuotaEntry::SetShares { shares })
}
