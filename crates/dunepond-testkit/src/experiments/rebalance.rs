//! Moves segments by plans under a steady load and compares the latency with a fleet in which nothing moves. Both fleets get
//! the same load at the same time and alternate in moving, so that other load on the machine affects both alike.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::RunOptions;
use crate::auditor::{AuditPhase, Finding, longest_version_conflict_seconds};
use crate::fleet::{
    Fleet, FleetOptions, NON_IDEMPOTENT_CLASS, QUERY_CLASSES, QueryOutcome, SEGMENT_BYTES,
    latency_quantile_seconds,
};
use crate::processes::wait_until;
use crate::report::{Curve, ExperimentReport};

/// Pause of each client between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(15);
/// Upper bound on the p99 next to a move divided by that in the undisturbed fleet.
const MAX_LATENCY_RATIO: f64 = 1.2;
/// Segments that move back and forth, each with its original owner and its other owner.
const MOVED_SEGMENTS: [(u64, &str, &str); 2] = [(0, "s-0", "s-2"), (3, "s-3", "s-5")];
/// Duration of a fill, in seconds.
const FILL_SECONDS: f64 = 0.3;
/// Upper bound on the share of idempotent queries that fail next to a move.
const MAX_NOT_SERVED_RATIO: f64 = 0.01;
/// Duration of the load before a move starts and after it ends.
const AROUND_MOVE_DURATION: Duration = Duration::from_millis(300);

/// A fleet and the state of its moves.
struct MovingFleet {
    fleet: Fleet,
    /// Number of the last version.
    last_version: u64,
    /// Whether the moved segments are at their original owners.
    at_original_owners: bool,
}

impl MovingFleet {
    /// Returns a plan that moves each of [`MOVED_SEGMENTS`] to the owner that it does not have now.
    fn plan(&self, id: &str) -> Value {
        let operation = |(segment, original, other): (u64, &str, &str)| {
            let (from, to) = if self.at_original_owners { (original, other) } else { (other, original) };
            json!({"move": {"segment": segment, "from": from, "to": to}})
        };
        json!({"id": id, "who": "lab", "why": "an experiment", "operations": MOVED_SEGMENTS.map(operation)})
    }

    /// Moves the segments by one version that fills and one that switches owners. Returns false if the switch did not become
    /// active at all brokers.
    fn run_move(&mut self, id: &str) -> bool {
        self.fleet.propose_plan(1, &self.plan(id));
        let (brokers, number) = (self.fleet.options.broker_count, self.last_version + 2);
        let is_active = |i| {
            let recorded = self.fleet.last_phase(i);
            recorded.is_some_and(|state| state.phase == AuditPhase::Active && state.last_version == number)
        };
        if !wait_until(|| (0..brokers).all(is_active)) {
            return false;
        }
        self.at_original_owners = !self.at_original_owners;
        let owners = MOVED_SEGMENTS.map(|(segment, original, other)| {
            (segment, if self.at_original_owners { original } else { other })
        });
        self.fleet.expect_plan_step(number - 1, &[]);
        self.fleet.expect_plan_step(number, &owners);
        self.last_version = number;
        true
    }
}

/// Whether the query is of the class that must not run twice.
fn is_non_idempotent(outcome: &QueryOutcome) -> bool {
    QUERY_CLASSES[outcome.query_class_index] == NON_IDEMPOTENT_CLASS
}

/// Returns the number of rejected non-idempotent queries, and the longest time for which those of one segment were rejected,
/// from the start of the first to the end of the last, in seconds.
fn rejection_times(outcomes: &[QueryOutcome]) -> (usize, f64) {
    let mut spans: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    let Some(first) = outcomes.first().map(|outcome| outcome.started_at) else { return (0, 0.0) };
    let rejected: Vec<_> =
        outcomes.iter().filter(|outcome| is_non_idempotent(outcome) && outcome.status == Some(429)).collect();
    for outcome in &rejected {
        let began = outcome.started_at.duration_since(first).as_secs_f64();
        let span = spans.entry(outcome.first_segment_id).or_insert((began, began + outcome.latency_seconds));
        span.1 = span.1.max(began + outcome.latency_seconds);
    }
    (rejected.len(), spans.values().map(|(from, to)| to - from).fold(0.0, f64::max))
}

/// Measurements of all rounds.
#[derive(Default)]
struct Measured {
    /// Outcomes in the fleet in which nothing moved.
    undisturbed: Vec<QueryOutcome>,
    /// Outcomes in the fleet that moved segments.
    moved: Vec<QueryOutcome>,
    /// The p99 next to a move divided by that in the undisturbed fleet, for each round.
    p99_ratios: Vec<f64>,
    /// Non-idempotent queries that were rejected next to a move.
    rejected_non_idempotent: usize,
    /// Longest time for which non-idempotent queries of one segment were rejected, in seconds.
    longest_rejection_seconds: f64,
    /// Moves that did not complete in time.
    failed_moves: usize,
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<ExperimentReport> {
    let rounds = if options.quick { 4 } else { 16 };
    let mut experiment_report = ExperimentReport::default();
    let fleet_options = || FleetOptions {
        seed: options.seed,
        extra_kdl_lines: vec!["moves \"OWN.plan\" at-once=4 settle=0.1".to_string()],
        ..FleetOptions::new(&options.program, 3, 5)
    };
    let mut fleets = [(); 2].map(|()| MovingFleet {
        fleet: Fleet::start_with_active_version(fleet_options()),
        last_version: 1,
        at_original_owners: true,
    });
    fleets.iter().for_each(|moving| moving.fleet.fill_service.set_fill_seconds(FILL_SECONDS));
    let measured = measure(&mut fleets, rounds);
    report_latencies(&mut experiment_report, &measured);
    report_rejections(&mut experiment_report, &measured, &fleets[0].fleet.options);
    let done = (rounds - measured.failed_moves) * MOVED_SEGMENTS.len();
    let moved_bytes: u64 = fleets.iter().map(|moving| moving.fleet.fill_service.moved_bytes()).sum();
    let ratio = moved_bytes as f64 / (done as u64 * SEGMENT_BYTES).max(1) as f64;
    experiment_report.add_bounded_value("bytes moved, against the least possible", ratio, 1.0, "times");
    report_findings(&mut experiment_report, &fleets);
    let curves = vec![
        latency_curve("undisturbed", &measured.undisturbed),
        latency_curve("beside a move", &measured.moved),
    ];
    experiment_report.add_plot("times", "percent of replayable scans", "ms", curves);
    Ok(experiment_report)
}

/// Runs all rounds; the two fleets alternate in moving.
fn measure(fleets: &mut [MovingFleet; 2], rounds: usize) -> Measured {
    let mut measured = Measured::default();
    let brokers = fleets[0].fleet.options.broker_count;
    for round in 0..rounds {
        eprintln!("round {} of {rounds} ...", round + 1);
        let moving_index = round % 2;
        let loads = fleets.each_ref().map(|moving| moving.fleet.start_clients(0..brokers, REQUEST_PAUSE));
        thread::sleep(AROUND_MOVE_DURATION);
        // One of the two fills fails half way and resumes from there.
        fleets[moving_index].fleet.fill_service.fail_next_fills(1);
        measured.failed_moves += usize::from(!fleets[moving_index].run_move(&format!("round-{round}")));
        thread::sleep(AROUND_MOVE_DURATION);
        let [first, second] = loads.map(|load| load.stop());
        let (moved, undisturbed) = if moving_index == 0 { (first, second) } else { (second, first) };
        measured.p99_ratios.push(p99_ms(&moved) / p99_ms(&undisturbed).max(1e-3));
        let (count, seconds) = rejection_times(&moved);
        measured.rejected_non_idempotent += count;
        measured.longest_rejection_seconds = measured.longest_rejection_seconds.max(seconds);
        measured.moved.extend(moved);
        measured.undisturbed.extend(undisturbed);
    }
    measured
}

/// Returns the p99 latency of idempotent queries in milliseconds.
fn p99_ms(outcomes: &[QueryOutcome]) -> f64 {
    1e3 * latency_quantile_seconds(outcomes, QueryOutcome::is_idempotent, 0.99)
}

/// Reports the latency of idempotent queries next to a move, compared with the undisturbed fleet.
fn report_latencies(experiment_report: &mut ExperimentReport, measured: &Measured) {
    let (undisturbed, moved) = (p99_ms(&measured.undisturbed), p99_ms(&measured.moved));
    experiment_report.add_value("scans beside a move", measured.moved.len() as f64, "");
    experiment_report.add_value("replayable scans, p99, undisturbed", undisturbed, "ms");
    experiment_report.add_value("replayable scans, p99, beside a move", moved, "ms");
    let mut ratios = measured.p99_ratios.clone();
    ratios.sort_by(f64::total_cmp);
    let (pooled, median) = (moved / undisturbed, ratios[ratios.len() / 2]);
    experiment_report.add_value(
        "p99 beside a move, against undisturbed, all rounds together",
        pooled,
        "times",
    );
    experiment_report.add_value("the same, median of rounds", median, "times");
    // Other load on the machine raises one of the two ratios; a real cost of a move raises both.
    experiment_report.add_bounded_value(
        "the same, the lesser of both",
        pooled.min(median),
        MAX_LATENCY_RATIO,
        "times",
    );
}

/// Reports the queries that were rejected or failed next to a move.
fn report_rejections(
    experiment_report: &mut ExperimentReport,
    measured: &Measured,
    fleet_options: &FleetOptions,
) {
    let rejected = measured.undisturbed.iter().filter(|outcome| outcome.status == Some(429)).count();
    experiment_report.add_value(
        "fixes turned away during switches",
        measured.rejected_non_idempotent as f64,
        "",
    );
    experiment_report.add_value("scans turned away where nothing moved", rejected as f64, "");
    let idempotent = measured.moved.iter().filter(|outcome| !is_non_idempotent(outcome));
    let not_served = idempotent.clone().filter(|outcome| outcome.status != Some(200)).count();
    let ratio = not_served as f64 / idempotent.count().max(1) as f64;
    experiment_report.add_bounded_value(
        "replayable scans not served beside a move",
        ratio,
        MAX_NOT_SERVED_RATIO,
        "share",
    );
    let bound = fleet_options.switch_bound_seconds + fleet_options.lease_seconds;
    let name = "longest time for which fixes of a segment are turned away";
    experiment_report.add_bounded_value(name, measured.longest_rejection_seconds, bound, "s");
    let failed = measured.failed_moves as f64;
    experiment_report.add_bounded_value("moves that did not come to their end", failed, 0.0, "");
}

/// Reports the auditor's findings in both fleets.
fn report_findings(experiment_report: &mut ExperimentReport, fleets: &[MovingFleet; 2]) {
    let findings: Vec<_> = fleets.iter().flat_map(|moving| moving.fleet.audit()).collect();
    findings.iter().take(5).for_each(|finding| eprintln!("{finding}"));
    let count =
        |matches: fn(&Finding) -> bool| findings.iter().filter(|finding| matches(finding)).count() as f64;
    let ran_twice = |finding: &Finding| {
        matches!(
            finding,
            Finding::DuplicateAttempt { .. } | Finding::RanTwice { .. } | Finding::OverlappingRuns { .. }
        )
    };
    let falsely_complete =
        |finding: &Finding| matches!(finding, Finding::FalselyComplete { .. } | Finding::MixedEpochs { .. });
    experiment_report.add_bounded_value(
        "non-replayable parts doubled, or at two owners",
        count(ran_twice),
        0.0,
        "",
    );
    experiment_report.add_bounded_value("answers falsely whole", count(falsely_complete), 0.0, "");
    experiment_report.add_bounded_value("findings of the auditor in all", findings.len() as f64, 0.0, "");
    let conflict_seconds =
        fleets.iter().map(|moving| longest_version_conflict_seconds(&moving.fleet.records()));
    experiment_report.add_bounded_value(
        "longest contradiction",
        conflict_seconds.fold(0.0, f64::max),
        0.0,
        "s",
    );
}

/// Returns the latency of idempotent queries in milliseconds by percentile.
fn latency_curve(name: &str, outcomes: &[QueryOutcome]) -> Curve {
    let point = |percent: u32| {
        let percent = f64::from(percent);
        (percent, 1e3 * latency_quantile_seconds(outcomes, QueryOutcome::is_idempotent, percent / 100.0))
    };
    Curve { name: name.to_string(), points: (0..100).map(point).collect() }
}
