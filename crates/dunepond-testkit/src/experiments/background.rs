//! Simulates one core with a foreground load of 80% next to background work that never ends. Measures how much the
//! background work raises foreground latency, and whether every background job eventually runs.

use std::collections::BTreeMap;

use dunepond_background::{Budget, JobCost, JobKind, JobSpec, Outcome, Priority, ResourceUse, Scheduler};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::RunOptions;
use crate::report::{Curve, ExperimentReport};

/// Share of the core that foreground requests use.
const FOREGROUND_LOAD: f64 = 0.8;
/// Core time of one foreground request, in seconds.
const SERVICE_SECONDS: f64 = 500e-6;
/// Core time of one step of a background job, in seconds.
const STEP_SECONDS: f64 = 200e-6;
/// Upper bound on the foreground p99 with background work divided by that without it.
const MAX_LATENCY_RATIO: f64 = 1.1;
/// Upper bound on the time that a background job waits for its first step, in simulated seconds.
const MAX_WAIT_SECONDS: f64 = 10.0;

/// Measurements of one simulated run.
struct SimulatedRun {
    /// Latencies of foreground requests, in microseconds.
    latencies_micros: Histogram<u64>,
    /// Number of steps that ran, by job name.
    steps_by_job: BTreeMap<&'static str, u64>,
    /// Longest time that a background job waited for its first step, in simulated seconds.
    longest_wait_seconds: f64,
    /// Share of the core that background work used.
    core_share: f64,
    /// Number of idle-priority jobs added to the scheduler.
    idle_jobs_added: u64,
}

fn job_spec(name: &'static str, priority: Priority, now: f64) -> JobSpec {
    let kind = JobKind::Step;
    JobSpec { name, priority, kind, cost: JobCost::default(), not_before: now, deadline: None, retry: None }
}

/// Simulates one core for this many seconds, with background work if a budget is given. Queued requests run first; a
/// background step runs only when no request is queued, and a request that arrives during the step waits for its end.
fn simulate(seed: u64, seconds: f64, background: Option<Budget>) -> SimulatedRun {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut scheduler = background.map(|budget| {
        let mut scheduler = Scheduler::new(budget, seed);
        scheduler.add(0.0, job_spec("endless and urgent", Priority::Urgent, 0.0));
        scheduler.add(0.0, job_spec("endless", Priority::Normal, 0.0));
        scheduler
    });
    let mut draw_interarrival = || -(1.0 - rng.random::<f64>()).ln() * SERVICE_SECONDS / FOREGROUND_LOAD;
    let (mut now, mut next, mut next_idle_job_at) = (0.0, draw_interarrival(), 0.0);
    let mut result = SimulatedRun {
        latencies_micros: Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds are in order"),
        steps_by_job: BTreeMap::new(),
        longest_wait_seconds: 0.0,
        core_share: 0.0,
        idle_jobs_added: 0,
    };
    while now < seconds {
        if next <= now {
            now += SERVICE_SECONDS;
            let _ = result.latencies_micros.record(((now - next) * 1e6) as u64);
            next += draw_interarrival();
            continue;
        }
        let step = scheduler.as_mut().and_then(|scheduler| {
            // Adds an idle-priority job every half second, next to the endless jobs.
            if now >= next_idle_job_at {
                next_idle_job_at = now + 0.5;
                result.idle_jobs_added += 1;
                scheduler.add(now, job_spec("idle", Priority::Idle, now));
            }
            let job = scheduler.next(now, true)?;
            let outcome = if job.name == "idle" { Outcome::Done } else { Outcome::Yielded };
            scheduler.finish(
                now + STEP_SECONDS,
                job.id,
                outcome,
                ResourceUse { seconds: STEP_SECONDS, bytes: 0 },
            );
            Some(job.name)
        });
        match step {
            Some(name) => {
                *result.steps_by_job.entry(name).or_default() += 1;
                now += STEP_SECONDS;
                result.core_share += STEP_SECONDS / seconds;
            }
            // No background step may run now: advances to the next request or the scheduler's next wakeup.
            None => {
                let due = scheduler.as_ref().and_then(|s| s.next_wakeup(now)).unwrap_or(f64::MAX);
                now = next.min(due.max(now + 1e-6));
            }
        }
    }
    let counts =
        scheduler.iter().flat_map(Scheduler::counters).map(|(_, counts)| counts.longest_wait_seconds);
    result.longest_wait_seconds = counts.fold(0.0, f64::max);
    result
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<ExperimentReport> {
    let mut experiment_report = ExperimentReport::default();
    let seconds = if options.quick { 60.0 } else { 600.0 };
    let budget = Budget { time_ratio: 0.02, bytes_per_second: 1e6, max_blocking_jobs: 1 };
    let baseline = simulate(options.seed, seconds, None);
    let budgeted = simulate(options.seed, seconds, Some(budget.clone()));
    let unbudgeted = simulate(options.seed, seconds, Some(Budget { time_ratio: 1.0, ..budget }));
    let latency_ms = |result: &SimulatedRun, quantile: f64| {
        result.latencies_micros.value_at_quantile(quantile) as f64 / 1e3
    };
    experiment_report.add_value("foreground alone, p50", latency_ms(&baseline, 0.5), "ms, simulated");
    experiment_report.add_value("foreground alone, p99", latency_ms(&baseline, 0.99), "ms, simulated");
    experiment_report.add_value("beside endless work, p99", latency_ms(&budgeted, 0.99), "ms, simulated");
    experiment_report.add_value(
        "beside endless work without a budget of time, p99",
        latency_ms(&unbudgeted, 0.99),
        "ms, simulated",
    );
    experiment_report.add_bounded_value(
        "p99 beside endless work, against alone",
        latency_ms(&budgeted, 0.99) / latency_ms(&baseline, 0.99),
        MAX_LATENCY_RATIO,
        "times",
    );
    experiment_report.add_bounded_value(
        "share of the core for background work",
        budgeted.core_share,
        0.021,
        "",
    );
    experiment_report.add_bounded_value(
        "longest wait for a first step",
        budgeted.longest_wait_seconds,
        MAX_WAIT_SECONDS,
        "s, simulated",
    );
    for name in ["endless and urgent", "endless", "idle"] {
        experiment_report.add_value(
            format!("steps: {name}"),
            budgeted.steps_by_job.get(name).copied().unwrap_or(0) as f64,
            "",
        );
    }
    let idle_jobs = budgeted.idle_jobs_added as f64;
    let idle_jobs_done = budgeted.steps_by_job.get("idle").copied().unwrap_or(0) as f64;
    experiment_report.add_bounded_value(
        "idle jobs not done",
        (idle_jobs - idle_jobs_done).max(0.0),
        MAX_WAIT_SECONDS / 0.5,
        "",
    );
    let curve = |name: &str, result: &SimulatedRun| {
        let points = (0..=100).map(|i| (i as f64, latency_ms(result, i as f64 / 100.0)));
        Curve { name: name.to_string(), points: points.collect() }
    };
    let curves =
        vec![curve("alone", &baseline), curve("beside", &budgeted), curve("beside, no budget", &unbudgeted)];
    experiment_report.add_plot("foreground", "percent of requests", "ms", curves);
    Ok(experiment_report)
}
