//! Reads what all brokers of a fleet did and finds what must never be. It knows the lease, the maps and what clients
//! asked for from elsewhere than from brokers: what a broker says of itself is judged, not believed.

pub mod limits;
pub mod records;

use std::collections::{BTreeMap, BTreeSet};

pub use records::{AuditEvent, AuditPhase, AuditRecord, Records};
use thiserror::Error;

/// What the records are judged by, seconds each.
#[derive(Clone, Debug, Default)]
pub struct GroundTruth {
    /// What two clock readings of one act may be apart.
    pub clock_slack_seconds: f64,
    /// For so long after a part was sent to one owner it may still run there: the longest query timeout.
    pub max_query_seconds: f64,
    /// Of each version that has a map: its epoch, and each segment's owner.
    pub maps: BTreeMap<u64, (u64, BTreeMap<u64, String>)>,
    /// What each scan asked for, where the clients tell; from its dispatches otherwise.
    pub requested: BTreeMap<String, BTreeSet<u64>>,
    /// What nodes ran of non-replayable parts, once for each run.
    pub runs: Vec<NodeRun>,
    /// What there is to be settled between any two partners at most, if that is known.
    pub max_debt_bytes: Option<u64>,
}

/// A non-replayable part that came to a node, as the node counted it.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRun {
    pub request_id: String,
    pub segment_id: u64,
    pub at: f64,
    pub node: String,
}

/// What must never be, with what shows it.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Finding {
    #[error(
        "{brk} sent {call}/{seg} on version {on} alone at {at:.3}, while {other} might act on {beside} alone"
    )]
    Contradiction { brk: String, call: String, seg: u64, on: u64, other: String, beside: u64, at: f64 },
    #[error("segment {seg}: non-replayable parts at {first} and {second} within {apart:.3} s")]
    TwoOwners { seg: u64, first: String, second: String, apart: f64 },
    #[error("{brk} sent {call}/{seg} to {node}, which is not its one owner under {numbers:?}")]
    NotOwner { brk: String, call: String, seg: u64, node: String, numbers: Vec<u64> },
    #[error("{brk} sent {call}/{seg} {late:.3} s after the end of its lease")]
    PastLease { brk: String, call: String, seg: u64, late: f64 },
    #[error("{brk} sent the non-replayable {call}/{seg} without a lease")]
    WithoutLease { brk: String, call: String, seg: u64 },
    #[error("the non-replayable {call}/{seg} was sent by {first} and by {second}, or twice in one go")]
    Doubled { call: String, seg: u64, first: String, second: String },
    #[error("nodes ran the non-replayable {call}/{seg} {times} times")]
    RanAgain { call: String, seg: u64, times: usize },
    #[error(
        "the non-replayable {call}/{seg}, sent by {brk} on {numbers:?}, came {late:.3} s after the last lease on that"
    )]
    RanLate { brk: String, call: String, seg: u64, numbers: Vec<u64>, late: f64 },
    #[error("non-replayable parts of segment {seg} came to {first} and {second} within {apart:.3} s")]
    TwoAtWork { seg: u64, first: String, second: String, apart: f64 },
    #[error("at {at:.3} the brokers' parts of {bound} come to {units} of {whole}: {brokers}")]
    PastWhole { bound: String, units: u64, whole: u64, at: f64, brokers: String },
    #[error("plan {id} ended as {first} and as {second}")]
    PlanBothWays { id: String, first: String, second: String },
    #[error("{brk} applied settlement {id} again")]
    SettledAgain { brk: String, id: String },
    #[error("settlement {id} is not the same at {brk} as elsewhere")]
    SettledOtherwise { brk: String, id: String },
    #[error("fill {fill} has settled as {first} and as {second}")]
    FillSettledTwice { fill: String, first: String, second: String },
    #[error(
        "{brk} applied settlements of {settled} bytes that {debtor} owed {creditor}, of a debt of {owed}"
    )]
    SettledPast { brk: String, debtor: String, creditor: String, settled: u64, owed: u64 },
    #[error("{brk} called {call} whole without segments {missing:?}")]
    FalseWhole { brk: String, call: String, missing: Vec<u64> },
    #[error("{brk} called {call} whole under epoch {epoch}, but segment {seg} was sent under {under:?}")]
    MixedEpochs { brk: String, call: String, epoch: u64, seg: u64, under: Vec<u64> },
    #[error("version {number} was confirmed with {digests:?}")]
    TwoDigests { number: u64, digests: Vec<String> },
    #[error("version {number} was both confirmed and withdrawn")]
    BothWays { number: u64 },
    #[error("{brk} has no record of {count} of its acts")]
    Lost { brk: String, count: u64 },
    #[error("{file}, line {line}: not a record")]
    Unreadable { file: String, line: usize },
}

/// A stretch in which a broker might act on one version alone.
#[derive(Clone, Debug, PartialEq)]
struct ActiveInterval {
    brk: String,
    number: u64,
    from: f64,
    to: f64,
}

struct SentAttempt<'a> {
    line: &'a AuditRecord,
    call: &'a str,
    seg: u64,
    node: &'a str,
    shot: u64,
    once: bool,
    phase: AuditPhase,
    numbers: &'a [u64],
}

fn sent(line: &AuditRecord) -> Option<SentAttempt<'_>> {
    let AuditEvent::AttemptSent {
        request_id: call,
        segment_id: seg,
        node,
        attempt: shot,
        non_idempotent: once,
        phase,
        versions: numbers,
    } = &line.event
    else {
        return None;
    };
    let (seg, shot, once, phase) = (*seg, *shot, *once, *phase);
    Some(SentAttempt { line, call, seg, node, shot, once, phase, numbers })
}

/// All that is wrong, each thing once.
pub fn audit(records: &Records, known: &GroundTruth) -> Vec<Finding> {
    let mut found: Vec<_> = records
        .unreadable
        .iter()
        .map(|(file, line)| Finding::Unreadable { file: file.clone(), line: *line })
        .collect();
    let dispatches: Vec<_> = records.lines.iter().filter_map(sent).collect();
    leases(records, known, &mut found);
    contradictions(records, known, &dispatches, &mut found);
    ownership(known, &dispatches, &mut found);
    duplicate_attempts(known, &dispatches, &mut found);
    late_arrivals(records, known, &dispatches, &mut found);
    overlapping_runs(known, &mut found);
    limits::check_quotas(records, &mut found);
    settlements(records, known, &mut found);
    complete_answers(records, known, &dispatches, &mut found);
    versions(records, &mut found);
    found
}

/// The longest that any two brokers might act on different versions alone, in seconds.
pub fn longest_contradiction(records: &Records) -> f64 {
    let plain = active_intervals(records);
    let mut longest: f64 = 0.0;
    for (i, a) in plain.iter().enumerate() {
        for b in &plain[i + 1..] {
            if a.number != b.number && a.brk != b.brk {
                longest = longest.max(a.to.min(b.to) - a.from.max(b.from));
            }
        }
    }
    longest
}

fn active_intervals(records: &Records) -> Vec<ActiveInterval> {
    let mut plain: Vec<ActiveInterval> = Vec::new();
    let mut open: BTreeMap<&str, (u64, usize)> = BTreeMap::new();
    for line in &records.lines {
        // A new life, even if it says nothing of its phase yet, has ended what the last one might do.
        let ended = match (&line.event, open.get(line.broker.as_str())) {
            (AuditEvent::Phase { .. }, Some(_)) => true,
            (_, Some((run, _))) => *run != line.incarnation,
            _ => false,
        };
        let last = if ended { open.remove(line.broker.as_str()) } else { None };
        if let Some((_, place)) = last {
            plain[place].to = plain[place].to.min(line.at);
        }
        let AuditEvent::Phase {
            phase: AuditPhase::Active,
            first_version: from,
            last_version: to,
            lease_expires_at: until,
        } = line.event
        else {
            continue;
        };
        let number = if to > 0 { to } else { from };
        match last {
            // Renewed: it goes on, unless it stood still in between.
            Some((run, place))
                if run == line.incarnation && plain[place].number == number && plain[place].to == line.at =>
            {
                plain[place].to = until;
                open.insert(&line.broker, (run, place));
            }
            _ => {
                open.insert(&line.broker, (line.incarnation, plain.len()));
                plain.push(ActiveInterval { brk: line.broker.clone(), number, from: line.at, to: until });
            }
        }
    }
    plain.retain(|stretch| stretch.to > stretch.from);
    plain
}

/// Acts on a version after the end of the lease that was in force, and non-replayable parts sent without one.
fn leases(records: &Records, known: &GroundTruth, found: &mut Vec<Finding>) {
    let mut until: BTreeMap<(&str, u64), f64> = BTreeMap::new();
    let mut mapped: BTreeSet<(&str, u64)> = BTreeSet::new();
    for line in &records.lines {
        let (brk, life) = (line.broker.clone(), (line.broker.as_str(), line.incarnation));
        if let AuditEvent::Phase { lease_expires_at: end, first_version: from, last_version: to, .. } =
            &line.event
        {
            until.insert(life, *end);
            if known.maps.contains_key(from) || known.maps.contains_key(to) {
                mapped.insert(life);
            }
        }
        let Some(SentAttempt { call, seg, once, phase, .. }) = sent(line) else { continue };
        let call = call.to_string();
        let late = line.at - until.get(&life).copied().unwrap_or(0.0);
        if late <= known.clock_slack_seconds {
            continue;
        }
        match phase {
            AuditPhase::Active | AuditPhase::Joint => found.push(Finding::PastLease { brk, call, seg, late }),
            // Cut off without any map known, a broker goes on by its last rules.
            AuditPhase::LeaseExpired if once && mapped.contains(&life) => {
                found.push(Finding::WithoutLease { brk, call, seg })
            }
            AuditPhase::Unconfigured if once => found.push(Finding::WithoutLease { brk, call, seg }),
            _ => {}
        }
    }
}

/// Non-replayable parts sent on one version alone while another broker might act on another alone.
fn contradictions(
    records: &Records,
    known: &GroundTruth,
    dispatches: &[SentAttempt],
    found: &mut Vec<Finding>,
) {
    let plain = active_intervals(records);
    for one in dispatches.iter().filter(|one| one.once && one.phase == AuditPhase::Active) {
        let (at, Some(&on)) = (one.line.at, one.numbers.last()) else { continue };
        let beside = plain.iter().find(|other| {
            let (from, to) = (other.from + known.clock_slack_seconds, other.to - known.clock_slack_seconds);
            other.brk != one.line.broker && other.number != on && from < at && at < to
        });
        if let Some(other) = beside {
            let (brk, call, seg) = (one.line.broker.clone(), one.call.to_string(), one.seg);
            let (other, beside) = (other.brk.clone(), other.number);
            found.push(Finding::Contradiction { brk, call, seg, on, other, beside, at });
        }
    }
}

/// Non-replayable parts beside the one owner, or at two owners while the first might still be at work.
fn ownership(known: &GroundTruth, dispatches: &[SentAttempt], found: &mut Vec<Finding>) {
    let mut last: BTreeMap<u64, &SentAttempt> = BTreeMap::new();
    for one in dispatches.iter().filter(|one| one.once) {
        let maps: Vec<_> = one.numbers.iter().filter_map(|number| known.maps.get(number)).collect();
        if maps.is_empty() {
            continue;
        }
        let (seg, node) = (one.seg, one.node.to_string());
        if maps.iter().any(|map| map.1.get(&seg).map(String::as_str) != Some(one.node)) {
            let (brk, call, numbers) = (one.line.broker.clone(), one.call.to_string(), one.numbers.to_vec());
            found.push(Finding::NotOwner { brk, call, seg, node: node.clone(), numbers });
        }
        if let Some(before) = last.insert(seg, one) {
            let apart = one.line.at - before.line.at;
            if before.node != one.node && apart < known.max_query_seconds - known.clock_slack_seconds {
                found.push(Finding::TwoOwners { seg, first: before.node.to_string(), second: node, apart });
            }
        }
    }
}

/// Sent again in one of the ways in which nothing can have told that the first never ran; and what nodes counted.
fn duplicate_attempts(known: &GroundTruth, dispatches: &[SentAttempt], found: &mut Vec<Finding>) {
    let mut sent: BTreeMap<(&str, u64), Vec<&SentAttempt>> = BTreeMap::new();
    for one in dispatches.iter().filter(|one| one.once) {
        sent.entry((one.call, one.seg)).or_default().push(one);
    }
    for ((call, seg), all) in sent {
        let first = all[0];
        let shots: BTreeSet<_> = all.iter().map(|one| one.shot).collect();
        let other = all.iter().find(|one| {
            one.line.broker != first.line.broker || one.line.incarnation != first.line.incarnation
        });
        if let Some(second) = other.or((shots.len() < all.len()).then_some(&first)) {
            let (first, second) = (first.line.broker.clone(), second.line.broker.clone());
            found.push(Finding::Doubled { call: call.to_string(), seg, first, second });
        }
    }
    let mut ran: BTreeMap<(&String, u64), usize> = BTreeMap::new();
    known.runs.iter().for_each(|one| *ran.entry((&one.request_id, one.segment_id)).or_default() += 1);
    for ((call, seg), times) in ran.into_iter().filter(|(_, times)| *times > 1) {
        found.push(Finding::RanAgain { call: call.clone(), seg, times });
    }
}

/// Parts that came to a node when all that their broker ever held of the versions they were sent on was long over: it wrote
/// them later than it says.
fn late_arrivals(
    records: &Records,
    known: &GroundTruth,
    dispatches: &[SentAttempt],
    found: &mut Vec<Finding>,
) {
    let once = dispatches.iter().filter(|one| one.once && !one.numbers.is_empty());
    let sent: BTreeMap<_, _> = once.map(|one| ((one.call, one.seg), one)).collect();
    let mut phases: BTreeMap<_, Vec<&AuditRecord>> = BTreeMap::new();
    for line in records.lines.iter().filter(|line| matches!(line.event, AuditEvent::Phase { .. })) {
        phases.entry((&line.broker, line.incarnation)).or_default().push(line);
    }
    for NodeRun { request_id: call, segment_id: seg, at, .. } in &known.runs {
        let Some(sent) = sent.get(&(call.as_str(), *seg)) else { continue };
        let held = phases.get(&(&sent.line.broker, sent.line.incarnation)).map_or(&[][..], Vec::as_slice);
        let until = held.iter().filter(|line| line.at <= *at).filter_map(|line| match &line.event {
            AuditEvent::Phase { phase, first_version: from, last_version: to, lease_expires_at: until } => {
                let joint = *phase == AuditPhase::Joint && sent.numbers.contains(from);
                let on = *phase == AuditPhase::Active || *phase == AuditPhase::Joint;
                (joint || on && sent.numbers.contains(to)).then_some(*until)
            }
            _ => None,
        });
        let late = at - until.fold(sent.line.at, f64::max);
        if late > known.max_query_seconds + known.clock_slack_seconds {
            let (brk, numbers) = (sent.line.broker.clone(), sent.numbers.to_vec());
            found.push(Finding::RanLate { brk, call: call.clone(), seg: *seg, numbers, late });
        }
    }
}

/// Whatever brokers wrote, and under whichever maps: two nodes that both may have been at work on one segment.
fn overlapping_runs(known: &GroundTruth, found: &mut Vec<Finding>) {
    if known.maps.is_empty() {
        return;
    }
    let mut by_seg: BTreeMap<u64, Vec<&NodeRun>> = BTreeMap::new();
    known.runs.iter().for_each(|one| by_seg.entry(one.segment_id).or_default().push(one));
    for (seg, mut all) in by_seg {
        all.sort_by(|a, b| a.at.total_cmp(&b.at));
        let two = all.windows(2).map(|two| (two[0], two[1], two[1].at - two[0].at));
        // Both readings are a node's, of when it came and not when it was sent.
        let close = |apart: f64| apart < known.max_query_seconds - 2.0 * known.clock_slack_seconds;
        if let Some((a, b, apart)) = two.into_iter().find(|(a, b, apart)| a.node != b.node && close(*apart)) {
            found.push(Finding::TwoAtWork { seg, first: a.node.clone(), second: b.node.clone(), apart });
        }
    }
}

fn settlements(records: &Records, known: &GroundTruth, found: &mut Vec<Finding>) {
    let mut applied = BTreeSet::new();
    let mut by_fill: BTreeMap<&str, &str> = BTreeMap::new();
    let mut sums: BTreeMap<_, u64> = BTreeMap::new();
    let mut first: BTreeMap<&str, (&str, &str, u64)> = BTreeMap::new();
    for line in &records.lines {
        let AuditEvent::Settled { id, debtor, creditor, bytes, .. } = &line.event else { continue };
        let (brk, what) = (line.broker.clone(), (debtor.as_str(), creditor.as_str(), *bytes));
        if !applied.insert((&line.broker, line.incarnation, id)) {
            found.push(Finding::SettledAgain { brk, id: id.clone() });
        } else if *first.entry(id).or_insert(what) != what {
            found.push(Finding::SettledOtherwise { brk, id: id.clone() });
        }
        // A settlement is FILL@BROKER: one fill pays once, whoever carried it out.
        let fill = id.rsplit_once('@').map_or(id.as_str(), |(fill, _)| fill);
        let first = *by_fill.entry(fill).or_insert(id);
        if first != id {
            let (first, second) = (first.to_string(), id.clone());
            found.push(Finding::FillSettledTwice { fill: fill.to_string(), first, second });
        }
        *sums.entry((&line.broker, line.incarnation, debtor, creditor)).or_default() += bytes;
    }
    for ((brk, _, debtor, creditor), settled) in sums {
        if let Some(owed) = known.max_debt_bytes.filter(|owed| settled > *owed) {
            let (brk, debtor, creditor) = (brk.clone(), debtor.clone(), creditor.clone());
            found.push(Finding::SettledPast { brk, debtor, creditor, settled, owed });
        }
    }
}

/// Answers called whole that miss what was asked for, or put parts of two maps together.
fn complete_answers(
    records: &Records,
    known: &GroundTruth,
    dispatches: &[SentAttempt],
    found: &mut Vec<Finding>,
) {
    let mut by_call: BTreeMap<(&str, &str), Vec<&SentAttempt>> = BTreeMap::new();
    for one in dispatches {
        by_call.entry((&one.line.broker, one.call)).or_default().push(one);
    }
    for line in &records.lines {
        let AuditEvent::Answer { request_id: call, complete: true, segments: segs, map_epoch: epoch, .. } =
            &line.event
        else {
            continue;
        };
        let parts = by_call.get(&(line.broker.as_str(), call.as_str())).map_or(&[][..], Vec::as_slice);
        let of_parts = || parts.iter().map(|one| one.seg).collect();
        let asked = known.requested.get(call).cloned().unwrap_or_else(of_parts);
        let missing: Vec<_> = asked.into_iter().filter(|seg| !segs.contains(seg)).collect();
        let (brk, call) = (line.broker.clone(), call.clone());
        if !missing.is_empty() {
            found.push(Finding::FalseWhole { brk, call, missing });
            continue;
        }
        let Some(epoch) = *epoch else { continue };
        let epochs = |one: &SentAttempt| -> Vec<u64> {
            one.numbers.iter().filter_map(|number| known.maps.get(number)).map(|map| map.0).collect()
        };
        // A segment that was sent more than once came in under one of these.
        let other = segs.iter().find_map(|seg| {
            let under: Vec<_> =
                parts.iter().filter(|one| one.seg == *seg).flat_map(|one| epochs(one)).collect();
            (!under.is_empty() && !under.contains(&epoch)).then_some((*seg, under))
        });
        if let Some((seg, under)) = other {
            found.push(Finding::MixedEpochs { brk, call, epoch, seg, under });
        }
    }
}

fn versions(records: &Records, found: &mut Vec<Finding>) {
    let mut confirmed: BTreeMap<u64, BTreeSet<&String>> = BTreeMap::new();
    let mut withdrawn = BTreeSet::new();
    for line in &records.lines {
        match &line.event {
            AuditEvent::Confirmed { number, digest } => {
                confirmed.entry(*number).or_default().insert(digest);
            }
            AuditEvent::Withdrawn { number, .. } => drop(withdrawn.insert(*number)),
            AuditEvent::RecordsLost { count } => {
                found.push(Finding::Lost { brk: line.broker.clone(), count: *count })
            }
            _ => {}
        }
    }
    for (number, digests) in confirmed {
        if digests.len() > 1 {
            let digests = digests.into_iter().cloned().collect();
            found.push(Finding::TwoDigests { number, digests });
        }
        if withdrawn.contains(&number) {
            found.push(Finding::BothWays { number });
        }
    }
}
