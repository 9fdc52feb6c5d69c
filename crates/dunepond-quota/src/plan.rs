//! Who gets how much: planned by the leader from what brokers report.

use std::collections::BTreeMap;

use crate::{DemandReport, QuotaEntry, QuotaLedger, QuotaShare, SharedQuotas};

/// How spare units are split; which one is taken and why stands in `docs/notes/quota.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SplitRule {
    /// The same for each.
    Even,
    /// By need.
    Proportional,
    /// Who needs little gets all of it, the others share the rest evenly; what nobody needs is split evenly on top.
    MaxMin,
}

/// Tuned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerConfig {
    pub rule: SplitRule,
    /// A part is planned for this multiple of the need, as the need may grow until the next plan.
    pub headroom_ratio: f64,
    /// Share of an even part: a lack or a surplus below this moves nothing.
    pub min_step_ratio: f64,
    /// Seconds after which a broker that says nothing needs nothing, and after which it has no seat any more. A leader that
    /// has led for less does not know yet who is there, and moves nothing.
    pub silent_after_seconds: f64,
    pub removed_after_seconds: f64,
}

impl PlannerConfig {
    /// By the length of a lease, seconds.
    pub fn for_lease(lease: f64) -> Self {
        Self {
            rule: SplitRule::MaxMin,
            headroom_ratio: 1.25,
            min_step_ratio: 0.2,
            silent_after_seconds: 3.0 * lease,
            removed_after_seconds: 10.0 * lease,
        }
    }
}

/// What the leader last heard of a broker, and how many seconds ago.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReceivedReport {
    pub report: DemandReport,
    pub age_seconds: f64,
}

/// Units beyond the floor for each need (floor included), of so many spare ones; in the order of the needs.
pub fn target_units(rule: SplitRule, spare: u32, floor: u32, needs: &[u32]) -> Vec<u32> {
    let count = needs.len() as u32;
    if count == 0 {
        return Vec::new();
    }
    let even = spare / count;
    match rule {
        SplitRule::Even => vec![even; needs.len()],
        SplitRule::Proportional => {
            let sum: u64 = needs.iter().map(|need| u64::from(*need)).sum();
            let part = |need: &u32| u64::from(spare) * u64::from(*need) / sum.max(1);
            if sum == 0 {
                vec![even; needs.len()]
            } else {
                needs.iter().map(|need| part(need) as u32).collect()
            }
        }
        SplitRule::MaxMin => {
            let wants: Vec<u32> = needs.iter().map(|need| need.saturating_sub(floor)).collect();
            let mut order: Vec<usize> = (0..wants.len()).collect();
            order.sort_by_key(|at| wants[*at]);
            let (mut left, mut parts) = (spare, vec![0; wants.len()]);
            for (done, at) in order.into_iter().enumerate() {
                parts[at] = wants[at].min(left / (count - done as u32));
                left -= parts[at];
            }
            parts.iter_mut().for_each(|part| *part += left / count);
            parts
        }
    }
}

/// What the leader should enter next, if anything. `own`: what its own file shares. `led`: for how many seconds it has led
/// and listened.
pub fn next_entry(
    ledger: &QuotaLedger,
    own: &SharedQuotas,
    heard: &BTreeMap<String, ReceivedReport>,
    led: f64,
    planning: &PlannerConfig,
) -> Option<QuotaEntry> {
    if led < planning.silent_after_seconds {
        return None;
    }
    let there =
        |broker: &str| heard.get(broker).filter(|heard| heard.age_seconds < planning.silent_after_seconds);
    let Some(bounds) = &ledger.shared else { return Some(QuotaEntry::Configure(own.clone())) };
    // While files differ only the floors hold: nothing may be leased on what one of them does not reserve.
    let other = heard
        .values()
        .any(|heard| heard.age_seconds < planning.removed_after_seconds && heard.report.shared != *bounds);
    if other || bounds != own {
        let parts = all(ledger).filter(|(_, _, now)| *now > 0);
        let parts: Vec<_> =
            parts.map(|(broker, bound, _)| QuotaShare { broker, quota: bound, units: 0 }).collect();
        if !parts.is_empty() {
            return Some(QuotaEntry::SetShares { parts });
        }
        let entry = QuotaEntry::Configure(own.clone());
        return (bounds != own && ledger.check(&entry).is_ok()).then_some(entry);
    }
    let gone = |broker: &&String| {
        heard.get(*broker).map_or(led, |heard| heard.age_seconds) >= planning.removed_after_seconds
    };
    if let Some(broker) = ledger.brokers.keys().find(gone) {
        let entry = QuotaEntry::RemoveBroker { broker: broker.clone() };
        if ledger.check(&entry).is_ok() {
            return Some(entry);
        }
    }
    let new = heard.keys().find(|broker| !ledger.brokers.contains_key(*broker) && there(broker).is_some());
    if let Some(broker) = new {
        let entry = QuotaEntry::AddBroker { broker: broker.clone() };
        if ledger.check(&entry).is_ok() {
            return Some(entry);
        }
    }
    let parts: Vec<QuotaShare> =
        bounds.names.iter().flat_map(|bound| split(ledger, bounds, bound, heard, planning)).collect();
    (!parts.is_empty()).then_some(QuotaEntry::SetShares { parts })
}

fn all(ledger: &QuotaLedger) -> impl Iterator<Item = (String, String, u32)> {
    let seats = ledger.brokers.iter();
    seats.flat_map(|(broker, seat)| {
        seat.grants.iter().map(move |(bound, held)| (broker.clone(), bound.clone(), held.granted))
    })
}

/// Changes of one bound: what goes down goes down at once, and what goes up takes only what is free now.
fn split(
    ledger: &QuotaLedger,
    bounds: &SharedQuotas,
    bound: &str,
    heard: &BTreeMap<String, ReceivedReport>,
    planning: &PlannerConfig,
) -> Vec<QuotaShare> {
    let need = |broker: &String| {
        let heard = heard.get(broker).filter(|heard| heard.age_seconds < planning.silent_after_seconds)?;
        Some(heard.report.demand_units.get(bound).copied().unwrap_or(0))
    };
    let ahead = |need: u32| (f64::from(need) * planning.headroom_ratio) as u32;
    let step = (f64::from(bounds.spare_units() / bounds.max_brokers) * planning.min_step_ratio) as u32;
    let part =
        |broker: &String, units| QuotaShare { broker: broker.clone(), quota: bound.to_string(), units };
    let (silent, there): (Vec<_>, Vec<_>) =
        ledger.brokers.iter().partition(|(broker, _)| need(broker).is_none());
    // Whoever says nothing may not be able to act at all; what it had is taken back, which costs it nothing then.
    let mut parts: Vec<QuotaShare> = silent
        .iter()
        .filter(|(_, seat)| seat.granted_units(bound) > 0)
        .map(|(broker, _)| part(broker, 0))
        .collect();
    let needs: Vec<u32> = there.iter().map(|(broker, _)| need(broker).unwrap_or(0)).collect();
    let ahead: Vec<u32> = needs.iter().map(|need| ahead(*need)).collect();
    let targets = target_units(planning.rule, bounds.spare_units(), bounds.floor_units, &ahead);
    let seats = || there.iter().zip(&targets).map(|((broker, seat), target)| (*broker, *seat, *target));
    // What it has does not do, and it may have more. That it has less of the headroom is no lack, nor is others' surplus.
    let lacks = |seat: &crate::BrokerShares, target: u32, need: u32| {
        need > bounds.floor_units + seat.granted_units(bound) && target > seat.granted_units(bound) + step
    };
    if !seats().zip(&needs).any(|((_, seat, target), need)| lacks(seat, target, *need)) {
        return parts;
    }
    for (broker, seat, target) in seats() {
        // While an earlier shrink is waited for another would only begin the wait anew.
        if seat.granted_units(bound) > target + step && !seat.awaits_release() {
            parts.push(part(broker, target));
        }
    }
    let grows: Vec<_> = seats().filter(|(_, seat, target)| *target > seat.granted_units(bound)).collect();
    let (mut free, mut wanted) = (
        u64::from(ledger.free_units(bound)),
        grows.iter().map(|(_, seat, target)| u64::from(*target - seat.granted_units(bound))).sum::<u64>(),
    );
    for (broker, seat, target) in grows {
        let more = u64::from(target - seat.granted_units(bound));
        // Up to what still counts as its own it may go back without taking from what is free.
        let own = u64::from(seat.reserved_units(bound).saturating_sub(seat.granted_units(bound))).min(more);
        let given = (free * more / wanted.max(1)).min(more - own);
        (free, wanted) = (free - given, wanted - more);
        let units = seat.granted_units(bound) + (own + given) as u32;
        if own + given >= u64::from(step) || units == target && own + given > 0 {
            parts.push(part(broker, units));
        }
    }
    parts
}
