//! Simulates the control plane of fleets with up to thousands of brokers, in simulated time: whether agreement survives
//! faults, and what it costs by the number of brokers.

mod components;
mod cost;
mod fit;

use dunepond_simulation::scenario::{Scenario, ScenarioConfig, ScenarioReport};

use super::RunOptions;
use crate::report::ExperimentReport;

/// Broker counts of the quick runs with faults, each with its number of seeds.
const QUICK_RUNS: [(usize, u64); 2] = [(10, 4), (30, 1)];
/// Broker counts of the full runs with faults, each with its number of seeds.
const FULL_RUNS: [(usize, u64); 4] = [(30, 20), (100, 4), (300, 2), (3000, 1)];

/// Returns a quantile of the samples, with `q` from 0 to 1; `None` if there are no samples.
fn quantile(mut samples: Vec<f64>, q: f64) -> Option<f64> {
    samples.sort_by(f64::total_cmp);
    samples.get(((samples.len().checked_sub(1)?) as f64 * q).round() as usize).copied()
}

/// Runs one scenario. If it panics, the error holds the panic message and the command that reproduces the run.
fn run_scenario(config: ScenarioConfig) -> Result<ScenarioReport, String> {
    let (seed, brokers) = (config.seed, config.broker_count);
    let result = std::panic::catch_unwind(|| Scenario::new(config).run());
    result.map_err(|panic| {
        let message =
            panic.downcast_ref::<String>().cloned().or(panic.downcast_ref::<&str>().map(|s| s.to_string()));
        let message = message.unwrap_or_default();
        format!(
            "seed {seed}: {message}; reproduce with: dunepond-testkit run fleet-at-size --seed {seed} \
             --brokers {brokers}"
        )
    })
}

/// Reports the times and counts of all runs at one size, and the longest time that a broker was alone on an old version.
fn report_fault_runs(experiment_report: &mut ExperimentReport, brokers: usize, reports: &[ScenarioReport]) {
    let mut report_quantiles = |what: &str, select: fn(&ScenarioReport) -> &Vec<f64>| {
        let samples: Vec<f64> = reports.iter().flat_map(select).copied().collect();
        for (name, q) in [("p50", 0.5), ("p99", 0.99)] {
            if let Some(value) = quantile(samples.clone(), q) {
                experiment_report.add_value(
                    format!("{brokers} brokers, faults: {what}, {name} of {}", samples.len()),
                    value,
                    "s",
                );
            }
        }
    };
    report_quantiles("a version agreed on everywhere", |report| &report.rollout_seconds);
    report_quantiles("the same with fills or a stage", |report| &report.slow_rollout_seconds);
    report_quantiles("a fill done until settled", |report| &report.settlement_seconds);
    report_quantiles("settled until a broker has heard", |report| &report.notice_seconds);
    let sum = |select: fn(&ScenarioReport) -> usize| reports.iter().map(select).sum::<usize>() as f64;
    let mut report_count = |what: &str, value| {
        experiment_report.add_value(format!("{brokers} brokers, faults: {what}"), value, "")
    };
    report_count("versions in force", sum(|report| report.activated));
    report_count("versions withdrawn", sum(|report| report.withdrawn));
    report_count("proposals refused", sum(|report| report.rejected));
    report_count("fills done with a settlement", sum(|report| report.fills));
    report_count("settlements agreed on", sum(|report| report.settlements));
    report_count("troubles", sum(|report| report.faults.iter().map(|fault| fault.count).sum()));
    let longest = reports.iter().map(|report| report.longest_alone_seconds).fold(0.0, f64::max);
    let bound = reports.first().map_or(0.0, |report| report.switch_bound_seconds);
    experiment_report.add_bounded_value(
        format!("{brokers} brokers, faults: longest on an old version alone"),
        longest,
        bound,
        "s",
    );
}

/// Runs consecutive seeds at one size. Prints each failed seed with the command that reproduces it.
fn run_fault_seeds(experiment_report: &mut ExperimentReport, brokers: usize, seeds: std::ops::Range<u64>) {
    let mut failed = 0;
    let mut reports = Vec::new();
    for seed in seeds {
        match run_scenario(ScenarioConfig::with_brokers(brokers, seed)) {
            Ok(report) => reports.push(report),
            Err(message) => {
                eprintln!("{message}");
                failed += 1;
            }
        }
    }
    experiment_report.add_bounded_value(
        format!("{brokers} brokers, faults: plays that broke, of {}", reports.len() + failed),
        failed as f64,
        0.0,
        "",
    );
    report_fault_runs(experiment_report, brokers, &reports);
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<ExperimentReport> {
    let mut experiment_report = ExperimentReport::default();
    if let Some(brokers) = options.broker_count {
        run_fault_seeds(&mut experiment_report, brokers, options.seed..options.seed + options.seed_count);
        return Ok(experiment_report);
    }
    if options.includes("cost") {
        cost::run(options, &mut experiment_report);
    }
    if options.includes("parts") {
        components::run(options, &mut experiment_report);
    }
    if options.includes("faults") {
        let sizes: &[(usize, u64)] = if options.quick { &QUICK_RUNS } else { &FULL_RUNS };
        for (brokers, seeds) in sizes {
            run_fault_seeds(&mut experiment_report, *brokers, options.seed..options.seed + seeds);
        }
    }
    Ok(experiment_report)
}
