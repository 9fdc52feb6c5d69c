//! The agreeing fleet at size, in simulated time: what it bears, and what it costs by the number of brokers.

mod cost;
mod fit;
mod parts;

use dunepond_simulation::scenario::{Scenario, ScenarioConfig, ScenarioReport};

use super::RunOptions;
use crate::report::Figures;

/// Brokers of the plays with faults, and seeds of each.
const QUICK: [(usize, u64); 2] = [(10, 4), (30, 1)];
const FULL: [(usize, u64); 4] = [(30, 20), (100, 4), (300, 2), (3000, 1)];

/// The `q`th part of what was measured.
fn at(mut of: Vec<f64>, q: f64) -> Option<f64> {
    of.sort_by(f64::total_cmp);
    of.get(((of.len().checked_sub(1)?) as f64 * q).round() as usize).copied()
}

/// A play; what broke it, with the command that plays it alone.
fn play(config: ScenarioConfig) -> Result<ScenarioReport, String> {
    let (seed, brokers) = (config.seed, config.broker_count);
    let played = std::panic::catch_unwind(|| Scenario::new(config).run());
    played.map_err(|why| {
        let why = why.downcast_ref::<String>().cloned().or(why.downcast_ref::<&str>().map(|s| s.to_string()));
        let why = why.unwrap_or_default();
        format!(
            "seed {seed}: {why}; alone: dunepond-testkit run fleet-at-size --seed {seed} --brokers {brokers}"
        )
    })
}

fn tell(figures: &mut Figures, brokers: usize, all: &[ScenarioReport]) {
    let mut quantiles = |what: &str, of: fn(&ScenarioReport) -> &Vec<f64>| {
        let of: Vec<f64> = all.iter().flat_map(of).copied().collect();
        for (name, q) in [("p50", 0.5), ("p99", 0.99)] {
            if let Some(value) = at(of.clone(), q) {
                figures.report(
                    format!("{brokers} brokers, faults: {what}, {name} of {}", of.len()),
                    value,
                    "s",
                );
            }
        }
    };
    quantiles("a version agreed on everywhere", |report| &report.rollout_seconds);
    quantiles("the same with fills or a stage", |report| &report.slow_rollout_seconds);
    quantiles("a fill done until settled", |report| &report.settlement_seconds);
    quantiles("settled until a broker has heard", |report| &report.notice_seconds);
    let sum = |of: fn(&ScenarioReport) -> usize| all.iter().map(of).sum::<usize>() as f64;
    let mut told =
        |what: &str, value| figures.report(format!("{brokers} brokers, faults: {what}"), value, "");
    told("versions in force", sum(|report| report.activated));
    told("versions withdrawn", sum(|report| report.withdrawn));
    told("proposals refused", sum(|report| report.rejected));
    told("fills done with a settlement", sum(|report| report.fills));
    told("settlements agreed on", sum(|report| report.settlements));
    told("troubles", sum(|report| report.faults.iter().map(|fault| fault.count).sum()));
    let longest = all.iter().map(|report| report.longest_alone_seconds).fold(0.0, f64::max);
    let bound = all.first().map_or(0.0, |report| report.switch_bound_seconds);
    figures.report_bounded(
        format!("{brokers} brokers, faults: longest on an old version alone"),
        longest,
        bound,
        "s",
    );
}

/// Seeds in a row at one size. A broken one is printed with the command that plays it alone.
fn faults(figures: &mut Figures, brokers: usize, seeds: std::ops::Range<u64>) {
    let mut broken = 0;
    let mut all = Vec::new();
    for seed in seeds {
        match play(ScenarioConfig::with_brokers(brokers, seed)) {
            Ok(report) => all.push(report),
            Err(why) => {
                eprintln!("{why}");
                broken += 1;
            }
        }
    }
    figures.report_bounded(
        format!("{brokers} brokers, faults: plays that broke, of {}", all.len() + broken),
        broken as f64,
        0.0,
        "",
    );
    tell(figures, brokers, &all);
}

pub fn run(options: &RunOptions) -> anyhow::Result<Figures> {
    let mut figures = Figures::default();
    if let Some(brokers) = options.brokers {
        faults(&mut figures, brokers, options.seed..options.seed + options.seed_count);
        return Ok(figures);
    }
    if options.includes("cost") {
        cost::run(options, &mut figures);
    }
    if options.includes("parts") {
        parts::run(options, &mut figures);
    }
    if options.includes("faults") {
        let sizes: &[(usize, u64)] = if options.quick { &QUICK } else { &FULL };
        for (brokers, seeds) in sizes {
            faults(&mut figures, *brokers, options.seed..options.seed + seeds);
        }
    }
    Ok(figures)
}
