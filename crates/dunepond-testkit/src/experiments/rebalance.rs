//! Segments moved by plans under a steady load, beside a fleet in which nothing moves: the same load at the same time, and
//! each of the two moves in turn, so that what the machine does to one it does to both.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::RunOptions;
use crate::auditor::{AuditPhase, Finding, longest_contradiction};
use crate::fleet::{
    Fleet, FleetOptions, NON_IDEMPOTENT_CLASS, QUERY_CLASSES, QueryOutcome, SEGMENT_BYTES, latency_quantile,
};
use crate::processes::wait_until;
use crate::report::{Curve, Figures};

const REQUEST_GAP: Duration = Duration::from_millis(15);
const MAX_LATENCY_RATIO: f64 = 1.2;
/// Segments that go to and fro, with who owns them at first and then.
const MOVED_SEGMENTS: [(u64, &str, &str); 2] = [(0, "s-0", "s-2"), (3, "s-3", "s-5")];
/// Of a fill, seconds.
const FILL_SECONDS: f64 = 0.3;

struct Moving {
    fleet: Fleet,
    /// The last version's number, and whether the segments are where they were at first.
    number: u64,
    home: bool,
}

impl Moving {
    fn plan(&self, id: &str) -> Value {
        let operation = |(segment, first, then): (u64, &str, &str)| {
            let (from, to) = if self.home { (first, then) } else { (then, first) };
            json!({"move": {"segment": segment, "from": from, "to": to}})
        };
        json!({"id": id, "who": "lab", "why": "an experiment", "operations": MOVED_SEGMENTS.map(operation)})
    }

    /// Moves the segments by a version that fills and one that switches; false where that did not come.
    fn moves(&mut self, id: &str) -> bool {
        self.fleet.propose_plan(1, &self.plan(id));
        let (brokers, number) = (self.fleet.options.brokers, self.number + 2);
        let there = |i| {
            let recorded = self.fleet.phase(i);
            recorded.is_some_and(|it| it.phase == AuditPhase::Active && it.last_version == number)
        };
        if !wait_until(|| (0..brokers).all(there)) {
            return false;
        }
        self.home = !self.home;
        let owners =
            MOVED_SEGMENTS.map(|(segment, first, then)| (segment, if self.home { first } else { then }));
        self.fleet.expect_plan_step(number - 1, &[]);
        self.fleet.expect_plan_step(number, &owners);
        self.number = number;
        true
    }
}

fn is_fix(one: &QueryOutcome) -> bool {
    QUERY_CLASSES[one.kind] == NON_IDEMPOTENT_CLASS
}

/// Of each segment that moved: from the first fix that was turned away to the end of the last.
fn refused(outcomes: &[QueryOutcome]) -> (usize, f64) {
    let mut spans: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    let Some(first) = outcomes.first().map(|one| one.started_at) else { return (0, 0.0) };
    let refused: Vec<_> = outcomes.iter().filter(|one| is_fix(one) && one.status == Some(429)).collect();
    for one in &refused {
        let began = one.started_at.duration_since(first).as_secs_f64();
        let span = spans.entry(one.segment).or_insert((began, began + one.latency_seconds));
        span.1 = span.1.max(began + one.latency_seconds);
    }
    (refused.len(), spans.values().map(|(from, to)| to - from).fold(0.0, f64::max))
}

pub fn run(run_options: &RunOptions) -> anyhow::Result<Figures> {
    let rounds = if run_options.quick { 4 } else { 16 };
    let mut figures = Figures::default();
    let plan = || FleetOptions {
        seed: run_options.seed,
        extra_lines: vec!["moves \"OWN.plan\" at-once=4 settle=0.1".to_string()],
        ..FleetOptions::new(&run_options.program, 3, 5)
    };
    let mut both =
        [(); 2].map(|()| Moving { fleet: Fleet::start_with_version(plan()), number: 1, home: true });
    both.iter().for_each(|one| one.fleet.filler.set_fill_seconds(FILL_SECONDS));
    let brokers = both[0].fleet.options.brokers;
    let (mut still, mut moved) = (Vec::new(), Vec::new());
    let (mut ratios, mut count, mut longest, mut failed): (Vec<f64>, _, f64, _) = (Vec::new(), 0, 0.0, 0);
    for round in 0..rounds {
        eprintln!("round {} of {rounds} ...", round + 1);
        let turn = round % 2;
        let loads = both.each_ref().map(|one| one.fleet.clients(0..brokers, REQUEST_GAP));
        thread::sleep(Duration::from_millis(300));
        // Every other fill breaks off half way and goes on from there.
        both[turn].fleet.filler.fail_next(1);
        failed += usize::from(!both[turn].moves(&format!("round-{round}")));
        thread::sleep(Duration::from_millis(300));
        let [one, other] = loads.map(|load| load.stop());
        let (with, without) = if turn == 0 { (one, other) } else { (other, one) };
        ratios.push(
            latency_quantile(&with, QueryOutcome::is_idempotent, 0.99)
                / latency_quantile(&without, QueryOutcome::is_idempotent, 0.99).max(1e-6),
        );
        let (more, lasted) = refused(&with);
        (count, longest) = (count + more, longest.max(lasted));
        moved.extend(with);
        still.extend(without);
    }
    let p99 = |outcomes: &[QueryOutcome]| 1e3 * latency_quantile(outcomes, QueryOutcome::is_idempotent, 0.99);
    figures.report("scans beside a move", moved.len() as f64, "");
    figures.report("replayable scans, p99, undisturbed", p99(&still), "ms");
    figures.report("replayable scans, p99, beside a move", p99(&moved), "ms");
    ratios.sort_by(f64::total_cmp);
    let (pooled, median) = (p99(&moved) / p99(&still), ratios[ratios.len() / 2]);
    figures.report("p99 beside a move, against undisturbed, all rounds together", pooled, "times");
    figures.report("the same, median of rounds", median, "times");
    // What the machine does lifts the one or the other; what a move costs lifts both.
    figures.report_bounded("the same, the lesser of both", pooled.min(median), MAX_LATENCY_RATIO, "times");
    let refusals =
        |outcomes: &[QueryOutcome]| outcomes.iter().filter(|one| one.status == Some(429)).count() as f64;
    figures.report("fixes turned away during switches", count as f64, "");
    figures.report("scans turned away where nothing moved", refusals(&still), "");
    let others = moved.iter().filter(|one| !is_fix(one) && one.status != Some(200)).count();
    let others = others as f64 / moved.iter().filter(|one| !is_fix(one)).count().max(1) as f64;
    figures.report_bounded("replayable scans not served beside a move", others, 0.01, "share");
    let bound = both[0].fleet.options.lease_bound_seconds + both[0].fleet.options.lease_seconds;
    figures.report_bounded("longest time for which fixes of a segment are turned away", longest, bound, "s");
    figures.report_bounded("moves that did not come to their end", failed as f64, 0.0, "");
    let done = (rounds - failed) * MOVED_SEGMENTS.len();
    let bytes: u64 = both.iter().map(|one| one.fleet.filler.moved_bytes()).sum();
    let least = (done as u64 * SEGMENT_BYTES).max(1);
    figures.report_bounded(
        "bytes moved, against the least possible",
        bytes as f64 / least as f64,
        1.0,
        "times",
    );
    let found: Vec<_> = both.iter().flat_map(|one| one.fleet.audit()).collect();
    found.iter().take(5).for_each(|finding| eprintln!("{finding}"));
    let of = |is: fn(&Finding) -> bool| found.iter().filter(|finding| is(finding)).count() as f64;
    let doubled = |f: &Finding| {
        matches!(
            f,
            Finding::DuplicateAttempt { .. } | Finding::RanTwice { .. } | Finding::OverlappingRuns { .. }
        )
    };
    let falsely = |f: &Finding| matches!(f, Finding::FalselyComplete { .. } | Finding::MixedEpochs { .. });
    figures.report_bounded("non-replayable parts doubled, or at two owners", of(doubled), 0.0, "");
    figures.report_bounded("answers falsely whole", of(falsely), 0.0, "");
    figures.report_bounded("findings of the auditor in all", found.len() as f64, 0.0, "");
    let contradiction =
        both.iter().map(|one| longest_contradiction(&one.fleet.records())).fold(0.0, f64::max);
    figures.report_bounded("longest contradiction", contradiction, 0.0, "s");
    let curve = |name: &str, outcomes: &[QueryOutcome]| {
        let at = |i: u32| {
            (
                f64::from(i),
                1e3 * latency_quantile(outcomes, QueryOutcome::is_idempotent, f64::from(i) / 100.0),
            )
        };
        Curve { name: name.to_string(), points: (0..100).map(at).collect() }
    };
    let curves = vec![curve("undisturbed", &still), curve("beside a move", &moved)];
    figures.plots.push(("times".to_string(), ["percent of replayable scans", "ms"], curves));
    Ok(figures)
}
