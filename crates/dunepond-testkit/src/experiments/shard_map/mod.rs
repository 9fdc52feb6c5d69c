//! Injects faults into shard maps, transitions and the parts of queries, one or many at a time, and compares them with the
//! faults that verification detects. Also measures what verification costs by the size of the map.

mod cost;
mod detection;
mod faults;
mod maps;
mod transitions;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::RunOptions;
use crate::report::{Curve, ExperimentReport};
use cost::{CHANGED_SEGMENTS, VerificationCost, measure};
use detection::{inject_into_maps, inject_into_transitions_and_parts};
use transitions::verify_random_transitions;

/// Upper bound on the cost per segment in the largest map divided by that in the smallest, which fits into the CPU caches.
const MAX_GROWTH_RATIO: f64 = 4.0;
/// Upper bound on the cost of verifying a small change divided by that of the whole map.
const MAX_DELTA_RATIO: f64 = 0.05;
/// Rounds of each cost measurement.
const COST_ROUNDS: usize = 5;

/// Cost of verifying a map with this many segments.
struct SizedCost {
    segments: usize,
    cost: VerificationCost,
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<ExperimentReport> {
    let mut experiment_report = ExperimentReport::default();
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let rounds = if options.quick { 10 } else { 200 };
    report_detection(&mut experiment_report, &mut rng, rounds);
    report_transitions(&mut experiment_report, &mut rng, rounds * 20);
    let sizes: &[usize] = if options.quick { &[10_000, 100_000] } else { &[10_000, 100_000, 1_000_000] };
    let mut costs = Vec::new();
    for &segments in sizes {
        costs.push(SizedCost { segments, cost: measure(&mut rng, segments, COST_ROUNDS) });
    }
    report_costs(&mut experiment_report, &costs);
    Ok(experiment_report)
}

/// Reports how many of the injected faults were detected, and the faults that were detected without being injected.
fn report_detection(experiment_report: &mut ExperimentReport, rng: &mut Pcg64Mcg, rounds: usize) {
    let in_maps = inject_into_maps(rng, rounds);
    let in_transitions = inject_into_transitions_and_parts(rng, rounds);
    for (what, detection) in [("maps", in_maps), ("moves and scans", in_transitions)] {
        for kind in &detection.missed_kinds {
            experiment_report.add_value(format!("{what}: not all named: {kind}"), 1.0, "");
        }
        experiment_report.add_value(format!("{what}: faults planted"), detection.injected as f64, "");
        experiment_report.add_value(format!("{what}: named to the letter"), detection.detected as f64, "");
        let missed = (detection.injected - detection.detected) as f64;
        experiment_report.add_bounded_value(format!("{what}: planted and not named"), missed, 0.0, "");
        let unexpected = detection.unexpected as f64;
        experiment_report.add_bounded_value(format!("{what}: named and not planted"), unexpected, 0.0, "");
    }
}

/// Reports the verdicts on random valid transitions and the owners of keys in their joint phase.
fn report_transitions(experiment_report: &mut ExperimentReport, rng: &mut Pcg64Mcg, rounds: usize) {
    let counts = verify_random_transitions(rng, rounds);
    experiment_report.add_value("moves proved", counts.accepted as f64, "");
    experiment_report.add_value("moves refused", counts.rejected as f64, "");
    experiment_report.add_bounded_value(
        "changes judged otherwise than the whole",
        counts.differing_verdicts as f64,
        0.0,
        "",
    );
    experiment_report.add_value("keys looked at in joint steps", counts.keys_checked as f64, "");
    experiment_report.add_value("of these without an owner", counts.keys_without_owner as f64, "");
    experiment_report.add_bounded_value(
        "of these with two owners",
        counts.keys_with_two_owners as f64,
        0.0,
        "",
    );
}

/// Reports the cost of verification at each size, and how it grows with the size.
fn report_costs(experiment_report: &mut ExperimentReport, costs: &[SizedCost]) {
    for SizedCost { segments, cost } in costs {
        experiment_report.add_value(
            format!("{segments} segments: proof"),
            cost.map_nanoseconds,
            "ns a segment",
        );
        experiment_report.add_value(
            format!("{segments} segments: move"),
            cost.transition_nanoseconds,
            "ns a segment",
        );
        let name = format!("{segments} segments: change of {CHANGED_SEGMENTS}");
        experiment_report.add_value(name, cost.delta_nanoseconds, "ns a changed segment");
    }
    if let [smallest, .., largest] = costs {
        let (small, large) = (smallest.cost, largest.cost);
        let growth = large.map_nanoseconds / small.map_nanoseconds;
        experiment_report.add_bounded_value(
            "a segment's proof, largest map against smallest",
            growth,
            MAX_GROWTH_RATIO,
            "times",
        );
        let growth = large.delta_nanoseconds / small.delta_nanoseconds;
        experiment_report.add_bounded_value(
            "a changed segment, largest map against smallest",
            growth,
            MAX_GROWTH_RATIO,
            "times",
        );
        let ratio = large.delta_nanoseconds * CHANGED_SEGMENTS as f64
            / (large.map_nanoseconds * largest.segments as f64);
        let name = "a change against the whole proof, largest map";
        experiment_report.add_bounded_value(name, ratio, MAX_DELTA_RATIO, "times");
    }
    let curve = |name: &str, value: fn(&VerificationCost) -> f64| {
        let point = |sized: &SizedCost| ((sized.segments as f64).log10(), value(&sized.cost) / 1e3);
        Curve { name: name.to_string(), points: costs.iter().map(point).collect() }
    };
    let curves = vec![
        curve("proof", |cost| cost.map_nanoseconds),
        curve("move", |cost| cost.transition_nanoseconds),
        curve("change", |cost| cost.delta_nanoseconds),
    ];
    experiment_report.add_plot("cost", "segments, powers of ten", "µs a segment", curves);
}
