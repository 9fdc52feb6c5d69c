//! Brokers told to end under clients that keep using their connections, by seed: what was lost, and by whom.

use super::RunOptions;
use crate::report::Figures;
use crate::shutdown::{ShutdownPlan, Verdict, Violation, run_seeds};
use crate::stand_ins::broker_program;

/// Seeds of a full run and of a quick one, where none are asked for.
const SEEDS: u64 = 50;
const QUICK_SEEDS: u64 = 8;
/// Faults of one seed that are printed one by one.
const SHOWN: usize = 6;

fn show(plan: &ShutdownPlan, verdict: &Verdict) {
    println!(
        "seed {}: timeout {:.3} s, {} brokers, {} of {} nodes {:?} at {:.2} s, {} sockets: {} requests, {} after \
         SIGTERM, {} late; {} faults; {:.0} ms left at the least",
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
    for fault in verdict.violations.iter().take(SHOWN) {
        let request = &fault.request;
        println!(
            "  {:?}: {} of {:?} at broker {}, written {:.3} s after SIGTERM, forwarded {:?}, ended {:?}, {:?}",
            fault.violation,
            request.id,
            request.behavior,
            request.broker,
            fault.written_after,
            fault.forwarded_after,
            request.ended.map(|(_, end)| end),
            plan.brokers[request.broker].pauses,
        );
    }
}

pub fn run(way: &RunOptions) -> anyhow::Result<Figures> {
    let seeds = match (way.seed_count, way.quick) {
        (1, true) => QUICK_SEEDS,
        (1, false) => SEEDS,
        (plays, _) => plays,
    };
    let (mut all, mut bad_seeds) = (Verdict::default(), 0);
    for (plan, verdict) in run_seeds(&broker_program(), way.seed..way.seed + seeds) {
        bad_seeds += usize::from(!verdict.violations.is_empty() || verdict.failed > 0);
        show(&plan, &verdict);
        all.merge(verdict);
    }
    let mut figures = Figures::default();
    figures.report("seeds", seeds as f64, "");
    figures.report("requests", all.requests as f64, "");
    figures.report("requests after SIGTERM", all.after_signal as f64, "");
    figures.report("requests more than 0.7 s after SIGTERM", all.late_after_signal as f64, "");
    for (status, count) in &all.answered {
        figures.report(format!("answers {status}"), *count as f64, "");
    }
    figures.report("crossed by a close, never forwarded", all.crossed_by_close as f64, "");
    figures.report("brokers still there at the kill", all.killed as f64, "");
    let left = all.min_time_to_kill.map_or(0.0, |left| 1000.0 * left.as_secs_f64());
    figures.report("least time from an answer to the kill", left, "ms");
    let breaches = [
        ("forwarded and never answered", Violation::ForwardedUnanswered),
        ("unanswered at the kill", Violation::ReadUnanswered),
        ("answered over 0.5 s late", Violation::AnsweredLate),
        ("attempts after the end", Violation::AttemptAfterEnd),
        ("attempts after the client had left", Violation::AttemptAfterDisconnect),
        ("ran twice", Violation::RanTwice),
    ];
    for (name, breach) in breaches {
        figures.report_bounded(name, all.violation_count(breach) as f64, 0.0, "requests");
    }
    figures.report_bounded("brokers that failed", all.failed as f64, 0.0, "");
    figures.report_bounded("seeds with a fault", bad_seeds as f64, 0.0, "");
    Ok(figures)
}
