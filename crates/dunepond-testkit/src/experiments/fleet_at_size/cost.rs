//! Measures what agreement costs each broker and the leader by the number of brokers, in fleets without faults that agree on
//! a version every few leases.

use dunepond_simulation::fleet::BrokerLoad;
use dunepond_simulation::scenario::{Scenario, ScenarioConfig, ScenarioReport};
use nix::time::{ClockId, clock_gettime};

use super::fit::fit_growth;
use super::{RunOptions, quantile};
use crate::report::{Curve, ExperimentReport};

/// Broker counts that are simulated.
const SIZES: [usize; 6] = [10, 30, 100, 300, 1000, 3000];
/// Largest broker count of a quick run.
const MAX_QUICK_SIZE: usize = 100;
/// Length of the measured part without faults, in simulated seconds.
const STEADY_SECONDS: f64 = 30.0;
/// Upper bound on the exponent x where cost grows as the number of brokers to the power of x; flat and logarithmic growth
/// stay below it.
const MAX_GROWTH_EXPONENT: f64 = 0.25;
/// Messages per second that the leader's host handles easily.
const MAX_LEADER_MESSAGES_PER_SECOND: f64 = 50_000.0;

/// Returns the CPU time of the current thread in nanoseconds.
fn thread_cpu_nanoseconds() -> u64 {
    let time =
        clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("Linux always provides the thread CPU clock");
    time.tv_sec() as u64 * 1_000_000_000 + time.tv_nsec() as u64
}

/// Simulates a fleet of this many brokers without faults.
fn simulate(brokers: usize, seed: u64) -> ScenarioReport {
    let config = ScenarioConfig {
        fault_seconds: 0.0,
        steady_seconds: STEADY_SECONDS,
        ..ScenarioConfig::with_brokers(brokers, seed)
    };
    let mut scenario = Scenario::new(config);
    scenario.fleet.cpu_clock = Some(thread_cpu_nanoseconds);
    scenario.run()
}

/// A kind of cost per second, reported for the leader and as the median of the brokers that are not voters.
struct Cost {
    /// Name in the report.
    name: &'static str,
    /// Unit in the report.
    unit: &'static str,
    /// Total over the measured time, taken from the load of one broker.
    total: fn(&BrokerLoad) -> f64,
}

/// Kinds of cost that are reported.
const COSTS: [Cost; 3] = [
    Cost {
        name: "messages",
        unit: "a second",
        total: |load| (load.messages_sent + load.messages_received) as f64,
    },
    Cost { name: "bytes", unit: "a second", total: |load| (load.bytes_sent + load.bytes_received) as f64 },
    Cost { name: "processor time", unit: "us a second", total: |load| load.cpu_nanoseconds as f64 / 1000.0 },
];

/// Runs the cost measurement at every size and reports how each cost grows with the number of brokers.
pub fn run(options: &RunOptions, experiment_report: &mut ExperimentReport) {
    let sizes = SIZES.into_iter().filter(|size| !options.quick || *size <= MAX_QUICK_SIZE);
    let runs: Vec<(usize, ScenarioReport)> = sizes.map(|size| (size, simulate(size, options.seed))).collect();
    let mut rollout_times = Vec::new();
    for (size, report) in &runs {
        let rollout = |q| quantile(report.rollout_seconds.clone(), q).unwrap_or(f64::NAN);
        experiment_report.add_value(
            format!("{size} brokers, at rest: agreed everywhere, p50"),
            rollout(0.5),
            "s",
        );
        experiment_report.add_bounded_value(
            format!("{size} brokers, at rest: agreed everywhere, p99"),
            rollout(0.99),
            report.switch_bound_seconds,
            "s",
        );
        rollout_times.push((*size as f64, rollout(0.5)));
    }
    let time = fit_growth(&rollout_times);
    experiment_report.add_bounded_value(
        format!("time to agree grows as N^x: {}", time.growth),
        time.exponent,
        MAX_GROWTH_EXPONENT,
        "x",
    );
    let mut curves = Vec::new();
    for cost in &COSTS {
        let per_second =
            |report: &ScenarioReport, n: usize| (cost.total)(&report.loads[n]) / report.measured_seconds;
        let mut broker_points = Vec::new();
        let mut leader_points = Vec::new();
        for (size, report) in &runs {
            let voters = 5.min(*size);
            let broker =
                quantile((voters..*size).map(|n| per_second(report, n)).collect(), 0.5).unwrap_or(f64::NAN);
            let leader = report.leader.map_or(f64::NAN, |n| per_second(report, n));
            experiment_report.add_value(
                format!("{size} brokers: {} of a broker", cost.name),
                broker,
                cost.unit,
            );
            experiment_report.add_value(
                format!("{size} brokers: {} of the leader", cost.name),
                leader,
                cost.unit,
            );
            broker_points.push((*size as f64, broker));
            leader_points.push((*size as f64, leader));
        }
        let (broker, leader) = (fit_growth(&broker_points), fit_growth(&leader_points));
        experiment_report.add_bounded_value(
            format!("{} of a broker grow as N^x: {}", cost.name, broker.growth),
            broker.exponent,
            MAX_GROWTH_EXPONENT,
            "x",
        );
        experiment_report.add_value(
            format!("{} of the leader grow as N^x: {}", cost.name, leader.growth),
            leader.exponent,
            "x",
        );
        if cost.name == "messages"
            && let Some((_, messages)) = leader_points.last()
        {
            experiment_report.add_bounded_value(
                "the leader's messages in the largest fleet",
                *messages,
                MAX_LEADER_MESSAGES_PER_SECOND,
                "a second",
            );
        }
        let to_log10 =
            |points: Vec<(f64, f64)>| points.into_iter().map(|(n, c)| (n.log10(), c.log10())).collect();
        curves.push(Curve { name: format!("{}, a broker", cost.name), points: to_log10(broker_points) });
        curves.push(Curve { name: format!("{}, the leader", cost.name), points: to_log10(leader_points) });
    }
    experiment_report.add_plot("cost", "brokers, powers of ten", "a second, powers of ten", curves);
}
