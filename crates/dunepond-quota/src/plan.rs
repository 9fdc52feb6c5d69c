//! Who gets how much: planned by the leader from what brokers report.

use std::collections::BTreeMap;

use crate::{Agreed, Bounds, Ledger, Part, Report};

/// How spare units are split; which one is taken and why stands in `docs/notes/quota.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The same for each.
    Even,
    /// By need.
    Proportional,
    /// Who needs little gets all of it, the others share the rest evenly; what nobody needs is split evenly on top.
    MaxMin,
}

/// Tuned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Planning {
    pub rule: Rule,
    /// A part is planned for this multiple of the need, as the need may grow until the next plan.
    pub headroom: f64,
    /// Share of an even part: a lack or a surplus below this moves nothing.
    pub step: f64,
    /// Seconds after which a broker that says nothing needs nothing, and after which it has no seat any more. A leader that
    /// has led for less does not know yet who is there, and moves nothing.
    pub silent: f64,
    pub gone: f64,
}

impl Planning {
    /// By the length of a lease, seconds.
    pub fn by(lease: f64) -> Self {
        Self { rule: Rule::MaxMin, headroom: 1.25, step: 0.2, silent: 3.0 * lease, gone: 10.0 * lease }
    }
}

/// What the leader last heard of a broker, and how many seconds ago.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heard {
    pub report: Report,
    pub ago: f64,
}

/// Units beyond the floor for each need (floor included), of so many spare ones; in the order of the needs.
pub fn targets(rule: Rule, spare: u32, floor: u32, needs: &[u32]) -> Vec<u32> {
    let count = needs.len() as u32;
    if count == 0 {
        return Vec::new();
    }
    let even = spare / count;
    match rule {
        Rule::Even => vec![even; needs.len()],
        Rule::Proportional => {
            let sum: u64 = needs.iter().map(|need| u64::from(*need)).sum();
            let part = |need: &u32| u64::from(spare) * u64::from(*need) / sum.max(1);
            if sum == 0 {
                vec![even; needs.len()]
            } else {
                needs.iter().map(|need| part(need) as u32).collect()
            }
        }
        Rule::MaxMin => {
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
pub fn plan(
    ledger: &Ledger,
    own: &Bounds,
    heard: &BTreeMap<String, Heard>,
    led: f64,
    planning: &Planning,
) -> Option<Agreed> {
    if led < planning.silent {
        return None;
    }
    let there = |broker: &str| heard.get(broker).filter(|heard| heard.ago < planning.silent);
    let Some(bounds) = &ledger.bounds else { return Some(Agreed::Bounds(own.clone())) };
    // While files differ only the floors hold: nothing may be leased on what one of them does not reserve.
    let other = heard.values().any(|heard| heard.ago < planning.gone && heard.report.bounds != *bounds);
    if other || bounds != own {
        let parts = all(ledger).filter(|(_, _, now)| *now > 0);
        let parts: Vec<_> = parts.map(|(broker, bound, _)| Part { broker, bound, units: 0 }).collect();
        if !parts.is_empty() {
            return Some(Agreed::Parts { parts });
        }
        let entry = Agreed::Bounds(own.clone());
        return (bounds != own && ledger.check(&entry).is_ok()).then_some(entry);
    }
    let gone = |broker: &&String| heard.get(*broker).map_or(led, |heard| heard.ago) >= planning.gone;
    if let Some(broker) = ledger.seats.keys().find(gone) {
        let entry = Agreed::Free { broker: broker.clone() };
        if ledger.check(&entry).is_ok() {
            return Some(entry);
        }
    }
    let new = heard.keys().find(|broker| !ledger.seats.contains_key(*broker) && there(broker).is_some());
    if let Some(broker) = new {
        let entry = Agreed::Seat { broker: broker.clone() };
        if ledger.check(&entry).is_ok() {
            return Some(entry);
        }
    }
    let parts: Vec<Part> =
        bounds.names.iter().flat_map(|bound| split(ledger, bounds, bound, heard, planning)).collect();
    (!parts.is_empty()).then_some(Agreed::Parts { parts })
}

fn all(ledger: &Ledger) -> impl Iterator<Item = (String, String, u32)> {
    let seats = ledger.seats.iter();
    seats.flat_map(|(broker, seat)| {
        seat.held.iter().map(move |(bound, held)| (broker.clone(), bound.clone(), held.now))
    })
}

/// Changes of one bound: what goes down goes down at once, and what goes up takes only what is free now.
fn split(
    ledger: &Ledger,
    bounds: &Bounds,
    bound: &str,
    heard: &BTreeMap<String, Heard>,
    planning: &Planning,
) -> Vec<Part> {
    let need = |broker: &String| {
        let heard = heard.get(broker).filter(|heard| heard.ago < planning.silent)?;
        Some(heard.report.needs.get(bound).copied().unwrap_or(0))
    };
    let ahead = |need: u32| (f64::from(need) * planning.headroom) as u32;
    let step = (f64::from(bounds.spare() / bounds.brokers) * planning.step) as u32;
    let part = |broker: &String, units| Part { broker: broker.clone(), bound: bound.to_string(), units };
    let (silent, there): (Vec<_>, Vec<_>) =
        ledger.seats.iter().partition(|(broker, _)| need(broker).is_none());
    // Whoever says nothing may not be able to act at all; what it had is taken back, which costs it nothing then.
    let mut parts: Vec<Part> =
        silent.iter().filter(|(_, seat)| seat.now(bound) > 0).map(|(broker, _)| part(broker, 0)).collect();
    let needs: Vec<u32> = there.iter().map(|(broker, _)| need(broker).unwrap_or(0)).collect();
    let ahead: Vec<u32> = needs.iter().map(|need| ahead(*need)).collect();
    let targets = targets(planning.rule, bounds.spare(), bounds.floor, &ahead);
    let seats = || there.iter().zip(&targets).map(|((broker, seat), target)| (*broker, *seat, *target));
    // What it has does not do, and it may have more. That it has less of the headroom is no lack, nor is others' surplus.
    let lacks = |seat: &crate::Seat, target: u32, need: u32| {
        need > bounds.floor + seat.now(bound) && target > seat.now(bound) + step
    };
    if !seats().zip(&needs).any(|((_, seat, target), need)| lacks(seat, target, *need)) {
        return parts;
    }
    for (broker, seat, target) in seats() {
        // While an earlier shrink is waited for another would only begin the wait anew.
        if seat.now(bound) > target + step && !seat.waits() {
            parts.push(part(broker, target));
        }
    }
    let grows: Vec<_> = seats().filter(|(_, seat, target)| *target > seat.now(bound)).collect();
    let (mut free, mut wanted) = (
        u64::from(ledger.free(bound)),
        grows.iter().map(|(_, seat, target)| u64::from(*target - seat.now(bound))).sum::<u64>(),
    );
    for (broker, seat, target) in grows {
        let more = u64::from(target - seat.now(bound));
        // Up to what still counts as its own it may go back without taking from what is free.
        let own = u64::from(seat.counted(bound).saturating_sub(seat.now(bound))).min(more);
        let given = (free * more / wanted.max(1)).min(more - own);
        (free, wanted) = (free - given, wanted - more);
        let units = seat.now(bound) + (own + given) as u32;
        if own + given >= u64::from(step) || units == target && own + given > 0 {
            parts.push(part(broker, units));
        }
    }
    parts
}
