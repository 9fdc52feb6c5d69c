//! Faults planted in shard maps, transitions and the parts of queries, alone and many at once, against what is detected; and what a
//! verification costs by the size of the map.

mod cost;
mod detection;
mod faults;
mod maps;
mod transitions;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::RunOptions;
use crate::report::{Curve, Figures};
use cost::{CHANGED_SEGMENTS, VerificationCost, measure};
use detection::{plant_in_maps, plant_in_transitions_and_parts};
use transitions::verify_random_transitions;

/// The most that a segment may cost in the largest map against the smallest, which fits the caches.
const MAX_GROWTH: f64 = 4.0;
/// The most that a small change may cost against the whole map.
const MAX_DELTA_RATIO: f64 = 0.05;
const COST_ROUNDS: usize = 5;

/// What verifying a map of a size costs.
struct SizedCost {
    segments: usize,
    cost: VerificationCost,
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<Figures> {
    let mut figures = Figures::default();
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let rounds = if options.quick { 10 } else { 200 };
    report_detection(&mut figures, &mut rng, rounds);
    report_transitions(&mut figures, &mut rng, rounds * 20);
    let sizes: &[usize] = if options.quick { &[10_000, 100_000] } else { &[10_000, 100_000, 1_000_000] };
    let mut costs = Vec::new();
    for &segments in sizes {
        costs.push(SizedCost { segments, cost: measure(&mut rng, segments, COST_ROUNDS) });
    }
    report_costs(&mut figures, &costs);
    Ok(figures)
}

fn report_detection(figures: &mut Figures, rng: &mut Pcg64Mcg, rounds: usize) {
    let in_maps = plant_in_maps(rng, rounds);
    let in_transitions = plant_in_transitions_and_parts(rng, rounds);
    for (what, detection) in [("maps", in_maps), ("moves and scans", in_transitions)] {
        for kind in &detection.missed_kinds {
            figures.report(format!("{what}: not all named: {kind}"), 1.0, "");
        }
        figures.report(format!("{what}: faults planted"), detection.planted as f64, "");
        figures.report(format!("{what}: named to the letter"), detection.named as f64, "");
        let missed = (detection.planted - detection.named) as f64;
        figures.report_bounded(format!("{what}: planted and not named"), missed, 0.0, "");
        let unexpected = detection.unexpected as f64;
        figures.report_bounded(format!("{what}: named and not planted"), unexpected, 0.0, "");
    }
}

fn report_transitions(figures: &mut Figures, rng: &mut Pcg64Mcg, rounds: usize) {
    let counts = verify_random_transitions(rng, rounds);
    figures.report("moves proved", counts.sound as f64, "");
    figures.report("moves refused", counts.refused as f64, "");
    figures.report_bounded(
        "changes judged otherwise than the whole",
        counts.differing_verdicts as f64,
        0.0,
        "",
    );
    figures.report("keys looked at in joint steps", counts.keys_checked as f64, "");
    figures.report("of these without an owner", counts.no_owner as f64, "");
    figures.report_bounded("of these with two owners", counts.two_owners as f64, 0.0, "");
}

fn report_costs(figures: &mut Figures, costs: &[SizedCost]) {
    for SizedCost { segments, cost } in costs {
        figures.report(format!("{segments} segments: proof"), cost.map, "ns a segment");
        figures.report(format!("{segments} segments: move"), cost.transition, "ns a segment");
        let name = format!("{segments} segments: change of {CHANGED_SEGMENTS}");
        figures.report(name, cost.delta, "ns a changed segment");
    }
    if let [smallest, .., largest] = costs {
        let (small, large) = (smallest.cost, largest.cost);
        let growth = large.map / small.map;
        figures.report_bounded(
            "a segment's proof, largest map against smallest",
            growth,
            MAX_GROWTH,
            "times",
        );
        let growth = large.delta / small.delta;
        figures.report_bounded(
            "a changed segment, largest map against smallest",
            growth,
            MAX_GROWTH,
            "times",
        );
        let ratio = large.delta * CHANGED_SEGMENTS as f64 / (large.map * largest.segments as f64);
        let name = "a change against the whole proof, largest map";
        figures.report_bounded(name, ratio, MAX_DELTA_RATIO, "times");
    }
    let curve = |name: &str, of: fn(&VerificationCost) -> f64| {
        let point = |sized: &SizedCost| ((sized.segments as f64).log10(), of(&sized.cost) / 1e3);
        Curve { name: name.to_string(), points: costs.iter().map(point).collect() }
    };
    let curves = vec![
        curve("proof", |cost| cost.map),
        curve("move", |cost| cost.transition),
        curve("change", |cost| cost.delta),
    ];
    figures.plot("cost", "segments, powers of ten", "µs a segment", curves);
}
