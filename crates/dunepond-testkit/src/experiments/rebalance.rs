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

/// Of the queries that may run twice, so many may fail beside a move.
const MAX_NOT_SERVED_RATIO: f64 = 0.01;
/// Load before a move and behind it.
const AROUND_MOVE: Duration = Duration::from_millis(300);

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

/// What all rounds came to.
#[derive(Default)]
struct Measured {
    /// Queries of the fleet in which nothing moved.
    undisturbed: Vec<QueryOutcome>,
    /// Queries beside a move.
    moved: Vec<QueryOutcome>,
    /// The p99 beside a move against undisturbed, round by round.
    p99_ratios: Vec<f64>,
    rejected_fixes: usize,
    longest_rejection_seconds: f64,
    failed_moves: usize,
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<Figures> {
    let rounds = if options.quick { 4 } else { 16 };
    let mut figures = Figures::default();
    let fleet_options = || FleetOptions {
        seed: options.seed,
        extra_lines: vec!["moves \"OWN.plan\" at-once=4 settle=0.1".to_string()],
        ..FleetOptions::new(&options.program, 3, 5)
    };
    let mut fleets =
        [(); 2].map(|()| Moving { fleet: Fleet::start_with_version(fleet_options()), number: 1, home: true });
    fleets.iter().for_each(|one| one.fleet.filler.set_fill_seconds(FILL_SECONDS));
    let measured = measure(&mut fleets, rounds);
    report_latencies(&mut figures, &measured);
    report_rejections(&mut figures, &measured, &fleets[0].fleet.options);
    let done = (rounds - measured.failed_moves) * MOVED_SEGMENTS.len();
    let moved_bytes: u64 = fleets.iter().map(|one| one.fleet.filler.moved_bytes()).sum();
    let ratio = moved_bytes as f64 / (done as u64 * SEGMENT_BYTES).max(1) as f64;
    figures.report_bounded("bytes moved, against the least possible", ratio, 1.0, "times");
    report_findings(&mut figures, &fleets);
    let curves = vec![
        latency_curve("undisturbed", &measured.undisturbed),
        latency_curve("beside a move", &measured.moved),
    ];
    figures.plot("times", "percent of replayable scans", "ms", curves);
    Ok(figures)
}

/// In each round one of the two moves, by turns.
fn measure(fleets: &mut [Moving; 2], rounds: usize) -> Measured {
    let mut measured = Measured::default();
    let brokers = fleets[0].fleet.options.brokers;
    for round in 0..rounds {
        eprintln!("round {} of {rounds} ...", round + 1);
        let turn = round % 2;
        let loads = fleets.each_ref().map(|one| one.fleet.clients(0..brokers, REQUEST_GAP));
        thread::sleep(AROUND_MOVE);
        // Every other fill breaks off half way and goes on from there.
        fleets[turn].fleet.filler.fail_next(1);
        measured.failed_moves += usize::from(!fleets[turn].moves(&format!("round-{round}")));
        thread::sleep(AROUND_MOVE);
        let [one, other] = loads.map(|load| load.stop());
        let (moved, undisturbed) = if turn == 0 { (one, other) } else { (other, one) };
        measured.p99_ratios.push(p99_ms(&moved) / p99_ms(&undisturbed).max(1e-3));
        let (count, seconds) = refused(&moved);
        measured.rejected_fixes += count;
        measured.longest_rejection_seconds = measured.longest_rejection_seconds.max(seconds);
        measured.moved.extend(moved);
        measured.undisturbed.extend(undisturbed);
    }
    measured
}

fn p99_ms(outcomes: &[QueryOutcome]) -> f64 {
    1e3 * latency_quantile(outcomes, QueryOutcome::is_idempotent, 0.99)
}

fn report_latencies(figures: &mut Figures, measured: &Measured) {
    let (undisturbed, moved) = (p99_ms(&measured.undisturbed), p99_ms(&measured.moved));
    figures.report("scans beside a move", measured.moved.len() as f64, "");
    figures.report("replayable scans, p99, undisturbed", undisturbed, "ms");
    figures.report("replayable scans, p99, beside a move", moved, "ms");
    let mut ratios = measured.p99_ratios.clone();
    ratios.sort_by(f64::total_cmp);
    let (pooled, median) = (moved / undisturbed, ratios[ratios.len() / 2]);
    figures.report("p99 beside a move, against undisturbed, all rounds together", pooled, "times");
    figures.report("the same, median of rounds", median, "times");
    // What the machine does lifts the one or the other; what a move costs lifts both.
    figures.report_bounded("the same, the lesser of both", pooled.min(median), MAX_LATENCY_RATIO, "times");
}

fn report_rejections(figures: &mut Figures, measured: &Measured, fleet_options: &FleetOptions) {
    let rejected = measured.undisturbed.iter().filter(|one| one.status == Some(429)).count();
    figures.report("fixes turned away during switches", measured.rejected_fixes as f64, "");
    figures.report("scans turned away where nothing moved", rejected as f64, "");
    let idempotent = measured.moved.iter().filter(|one| !is_fix(one));
    let not_served = idempotent.clone().filter(|one| one.status != Some(200)).count();
    let ratio = not_served as f64 / idempotent.count().max(1) as f64;
    figures.report_bounded("replayable scans not served beside a move", ratio, MAX_NOT_SERVED_RATIO, "share");
    let bound = fleet_options.lease_bound_seconds + fleet_options.lease_seconds;
    let name = "longest time for which fixes of a segment are turned away";
    figures.report_bounded(name, measured.longest_rejection_seconds, bound, "s");
    let failed = measured.failed_moves as f64;
    figures.report_bounded("moves that did not come to their end", failed, 0.0, "");
}

fn report_findings(figures: &mut Figures, fleets: &[Moving; 2]) {
    let found: Vec<_> = fleets.iter().flat_map(|one| one.fleet.audit()).collect();
    found.iter().take(5).for_each(|finding| eprintln!("{finding}"));
    let count = |is: fn(&Finding) -> bool| found.iter().filter(|finding| is(finding)).count() as f64;
    let ran_twice = |finding: &Finding| {
        matches!(
            finding,
            Finding::DuplicateAttempt { .. } | Finding::RanTwice { .. } | Finding::OverlappingRuns { .. }
        )
    };
    let falsely_complete =
        |finding: &Finding| matches!(finding, Finding::FalselyComplete { .. } | Finding::MixedEpochs { .. });
    figures.report_bounded("non-replayable parts doubled, or at two owners", count(ran_twice), 0.0, "");
    figures.report_bounded("answers falsely whole", count(falsely_complete), 0.0, "");
    figures.report_bounded("findings of the auditor in all", found.len() as f64, 0.0, "");
    let contradictions = fleets.iter().map(|one| longest_contradiction(&one.fleet.records()));
    figures.report_bounded("longest contradiction", contradictions.fold(0.0, f64::max), 0.0, "s");
}

fn latency_curve(name: &str, outcomes: &[QueryOutcome]) -> Curve {
    let point = |percent: u32| {
        let percent = f64::from(percent);
        (percent, 1e3 * latency_quantile(outcomes, QueryOutcome::is_idempotent, percent / 100.0))
    };
    Curve { name: name.to_string(), points: (0..100).map(point).collect() }
}
