//! Shuts brokers down under clients that keep using their connections, by seed, and reports the requests that were lost and at
//! which broker.

use super::RunOptions;
use crate::report::Figures;
use crate::shutdown::{ShutdownPlan, Verdict, Violation, run_seeds};
use crate::stand_ins::broker_program;

/// Number of seeds of a full run if `--plays` is not given.
const SEEDS: u64 = 50;
/// Number of seeds of a quick run if `--plays` is not given.
const QUICK_SEEDS: u64 = 8;
/// Maximum number of violations that are printed per seed.
const MAX_PRINTED_VIOLATIONS: usize = 6;

/// Prints what a seed does and the violations that it found.
fn print_seed(plan: &ShutdownPlan, verdict: &Verdict) {
    println!(
        "seed {}: timeout {:.3} s, {} brokers, {} of {} nodes {:?} at {:.2} s, {} sockets: {} requests, {} after \
         SIGTERM, {} late; {} violations; least time to the kill {:.0} ms",
        plan.seed,
        plan.timeout.as_secs_f64(),
        plan.brokers.len(),
        plan.misbehaving_nodes,
        plan.nodes,
        plan.node_behavior,
        plan.misbehaving_after_seconds,
        plan.sockets,
        verdict.requests,
        verdict.after_signal,
        verdict.late_after_signal,
        verdict.violations.len(),
        verdict.min_time_to_kill.map_or(f64::NAN, |left| 1000.0 * left.as_secs_f64()),
    );
    for violated in verdict.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        let request = &violated.request;
        println!(
            "  {:?}: {} of {:?} at broker {}, written {:.3} s after SIGTERM, forwarded {:?}, ended {:?}, {:?}",
            violated.violation,
            request.id,
            request.behavior,
            request.broker,
            violated.written_after,
            violated.forwarded_after,
            request.ended.map(|(_, end)| end),
            plan.brokers[request.broker].pauses,
        );
    }
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<Figures> {
    let seeds = match (options.seed_count, options.quick) {
        (1, true) => QUICK_SEEDS,
        (1, false) => SEEDS,
        (seed_count, _) => seed_count,
    };
    let (mut total, mut failed_seeds) = (Verdict::default(), 0);
    for (plan, verdict) in run_seeds(&broker_program(), options.seed..options.seed + seeds) {
        failed_seeds += usize::from(!verdict.violations.is_empty() || verdict.failed > 0);
        print_seed(&plan, &verdict);
        total.merge(verdict);
    }
    let mut figures = Figures::default();
    figures.report("seeds", seeds as f64, "");
    figures.report("requests", total.requests as f64, "");
    figures.report("requests after SIGTERM", total.after_signal as f64, "");
    figures.report("requests more than 0.7 s after SIGTERM", total.late_after_signal as f64, "");
    for (status, count) in &total.answered {
        figures.report(format!("answers {status}"), *count as f64, "");
    }
    figures.report("crossed by a close, never forwarded", total.crossed_by_close as f64, "");
    figures.report("brokers still there at the kill", total.killed as f64, "");
    let left = total.min_time_to_kill.map_or(0.0, |left| 1000.0 * left.as_secs_f64());
    figures.report("least time from an answer to the kill", left, "ms");
    let violations = [
        ("forwarded and never answered", Violation::ForwardedUnanswered),
        ("unanswered at the kill", Violation::ReadUnanswered),
        ("answered over 0.5 s late", Violation::AnsweredLate),
        ("attempts after the end", Violation::AttemptAfterEnd),
        ("attempts after the client had left", Violation::AttemptAfterDisconnect),
        ("ran twice", Violation::RanTwice),
    ];
    for (name, violation) in violations {
        figures.report_bounded(name, total.violation_count(violation) as f64, 0.0, "requests");
    }
    figures.report_bounded("brokers that failed", total.failed as f64, 0.0, "");
    figures.report_bounded("seeds with a fault", failed_seeds as f64, 0.0, "");
    Ok(figures)
}
