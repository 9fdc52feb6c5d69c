//! Shuts brokers down under clients that keep using their connections, by seed, and reports the requests that were lost and at
//! which broker.

use super::RunOptions;
use crate::report::ExperimentReport;
use crate::shutdown::{ShutdownPlan, ShutdownReport, Violation, run_seeds};
use crate::stand_ins::broker_program;

/// Number of seeds of a full run if the option for it, `--plays`, has its default value of 1.
const SEEDS: u64 = 50;
/// Number of seeds of a quick run if the option for it, `--plays`, has its default value of 1.
const QUICK_SEEDS: u64 = 8;
/// Maximum number of violations that are printed per seed.
const MAX_PRINTED_VIOLATIONS: usize = 6;

/// Prints what a seed does and the violations that it found.
fn print_seed(plan: &ShutdownPlan, report: &ShutdownReport) {
    println!(
        "seed {}: timeout {:.3} s, {} brokers, {} of {} nodes {:?} at {:.2} s, {} sockets, {} flooding clients: {} requests, {} after \
         SIGTERM, {} late; {} violations; least time to the kill {:.0} ms",
        plan.seed,
        plan.timeout.as_secs_f64(),
        plan.brokers.len(),
        plan.misbehaving_node_count,
        plan.node_count,
        plan.node_behavior,
        plan.misbehaving_after_seconds,
        plan.max_file_descriptors,
        plan.flooding_clients,
        report.request_count,
        report.requests_after_signal,
        report.late_requests_after_signal,
        report.violations.len(),
        report.min_time_to_kill.map_or(f64::NAN, |left| 1000.0 * left.as_secs_f64()),
    );
    for violated in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        let request = &violated.request;
        println!(
            "  {:?}: {} of {:?} at broker {}, written {:.3} s after SIGTERM, forwarded {:?}, ended {:?}, {:?}",
            violated.violation,
            request.id,
            request.behavior,
            request.broker_index,
            violated.written_after_seconds,
            violated.forwarded_after_seconds,
            request.connection_ended.map(|(_, end)| end),
            plan.brokers[request.broker_index].pauses,
        );
    }
    report.process_records.iter().for_each(|record| println!("{record}"));
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<ExperimentReport> {
    let seeds = match (options.seed_count, options.quick) {
        (1, true) => QUICK_SEEDS,
        (1, false) => SEEDS,
        (seed_count, _) => seed_count,
    };
    let (mut total, mut failed_seeds) = (ShutdownReport::default(), 0);
    for (plan, report) in run_seeds(&broker_program(), options.seed..options.seed + seeds) {
        failed_seeds += usize::from(!report.violations.is_empty() || report.failed_broker_count > 0);
        print_seed(&plan, &report);
        total.merge(report);
    }
    let mut experiment_report = ExperimentReport::default();
    experiment_report.add_value("seeds", seeds as f64, "");
    experiment_report.add_value("requests", total.request_count as f64, "");
    experiment_report.add_value("requests after SIGTERM", total.requests_after_signal as f64, "");
    experiment_report.add_value(
        "requests more than 0.7 s after SIGTERM",
        total.late_requests_after_signal as f64,
        "",
    );
    for (status, count) in &total.answers_by_status {
        experiment_report.add_value(format!("answers {status}"), *count as f64, "");
    }
    experiment_report.add_value("crossed by a close, never forwarded", total.unforwarded_at_close as f64, "");
    experiment_report.add_value("brokers still there at the kill", total.killed_broker_count as f64, "");
    let left = total.min_time_to_kill.map_or(0.0, |left| 1000.0 * left.as_secs_f64());
    experiment_report.add_value("least time from an answer to the kill", left, "ms");
    let violations = [
        ("forwarded and never answered", Violation::ForwardedUnanswered),
        ("unanswered at the kill", Violation::UnansweredAtKill),
        ("answered over 0.5 s late", Violation::AnsweredLate),
        ("attempts after the end", Violation::AttemptAfterEnd),
        ("attempts after the client had left", Violation::AttemptAfterDisconnect),
        ("ran twice", Violation::RanTwice),
    ];
    for (name, violation) in violations {
        experiment_report.add_bounded_value(name, total.violation_count(violation) as f64, 0.0, "requests");
    }
    experiment_report.add_bounded_value("brokers that failed", total.failed_broker_count as f64, 0.0, "");
    experiment_report.add_bounded_value("seeds with a fault", failed_seeds as f64, 0.0, "");
    Ok(experiment_report)
}
