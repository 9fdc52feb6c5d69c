//! A foreground at four fifths of its core beside background work that never ends, in simulated time: what the foreground
//! feels of it, and whether every job gets its turn.

use std::collections::BTreeMap;

use dunepond_background::{Budget, JobCost, JobKind, JobSpec, Outcome, Priority, ResourceUse, Scheduler};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::RunOptions;
use crate::report::{Curve, Figures};

const FOREGROUND_LOAD: f64 = 0.8;
/// What a request takes, and a step of background work.
const SERVICE_SECONDS: f64 = 500e-6;
const STEP_SECONDS: f64 = 200e-6;
const MAX_LATENCY_RATIO: f64 = 1.1;
/// No job waits longer for its first step.
const MAX_WAIT_SECONDS: f64 = 10.0;

struct SimulatedRun {
    times: Histogram<u64>,
    /// Steps of each job, and the longest wait for a first one.
    steps: BTreeMap<&'static str, u64>,
    waited: f64,
    share: f64,
    /// Idle jobs that were handed in.
    added: u64,
}

fn spec(name: &'static str, priority: Priority, now: f64) -> JobSpec {
    let kind = JobKind::Step;
    JobSpec { name, priority, kind, cost: JobCost::default(), not_before: now, deadline: None, retry: None }
}

/// One core: requests that have come go first; where none is there, a step may run, and a request that comes in the
/// middle of it waits for its end.
fn play(seed: u64, seconds: f64, background: Option<Budget>) -> SimulatedRun {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut scheduler = background.map(|budget| {
        let mut scheduler = Scheduler::new(budget, seed);
        scheduler.add(0.0, spec("endless and urgent", Priority::Urgent, 0.0));
        scheduler.add(0.0, spec("endless", Priority::Normal, 0.0));
        scheduler
    });
    let mut draw = || -(1.0 - rng.random::<f64>()).ln() * SERVICE_SECONDS / FOREGROUND_LOAD;
    let (mut now, mut next, mut idle_at) = (0.0, draw(), 0.0);
    let mut ran = SimulatedRun {
        times: Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds are in order"),
        steps: BTreeMap::new(),
        waited: 0.0,
        share: 0.0,
        added: 0,
    };
    while now < seconds {
        if next <= now {
            now += SERVICE_SECONDS;
            let _ = ran.times.record(((now - next) * 1e6) as u64);
            next += draw();
            continue;
        }
        let step = scheduler.as_mut().and_then(|scheduler| {
            // One that nobody minds comes every half second, beside those that never end.
            if now >= idle_at {
                idle_at = now + 0.5;
                ran.added += 1;
                scheduler.add(now, spec("idle", Priority::Idle, now));
            }
            let given = scheduler.next(now, true)?;
            let outcome = if given.name == "idle" { Outcome::Done } else { Outcome::Yielded };
            scheduler.finish(
                now + STEP_SECONDS,
                given.id,
                outcome,
                ResourceUse { seconds: STEP_SECONDS, bytes: 0 },
            );
            Some(given.name)
        });
        match step {
            Some(name) => {
                *ran.steps.entry(name).or_default() += 1;
                now += STEP_SECONDS;
                ran.share += STEP_SECONDS / seconds;
            }
            // Nothing may run before the next request, or the next time at which something is due.
            None => {
                let due = scheduler.as_ref().and_then(|s| s.next_wakeup(now)).unwrap_or(f64::MAX);
                now = next.min(due.max(now + 1e-6));
            }
        }
    }
    let counts =
        scheduler.iter().flat_map(Scheduler::counters).map(|(_, counts)| counts.longest_wait_seconds);
    ran.waited = counts.fold(0.0, f64::max);
    ran
}

pub fn run(options: &RunOptions) -> anyhow::Result<Figures> {
    let mut figures = Figures::default();
    let seconds = if options.quick { 60.0 } else { 600.0 };
    let budget = Budget { time_ratio: 0.02, bytes_per_second: 1e6, max_blocking_jobs: 1 };
    let alone = play(options.seed, seconds, None);
    let beside = play(options.seed, seconds, Some(budget.clone()));
    let unbounded = play(options.seed, seconds, Some(Budget { time_ratio: 1.0, ..budget }));
    let at = |ran: &SimulatedRun, q: f64| ran.times.value_at_quantile(q) as f64 / 1e3;
    figures.report("foreground alone, p50", at(&alone, 0.5), "ms, simulated");
    figures.report("foreground alone, p99", at(&alone, 0.99), "ms, simulated");
    figures.report("beside endless work, p99", at(&beside, 0.99), "ms, simulated");
    figures.report(
        "beside endless work without a budget of time, p99",
        at(&unbounded, 0.99),
        "ms, simulated",
    );
    figures.report_bounded(
        "p99 beside endless work, against alone",
        at(&beside, 0.99) / at(&alone, 0.99),
        MAX_LATENCY_RATIO,
        "times",
    );
    figures.report_bounded("share of the core for background work", beside.share, 0.021, "");
    figures.report_bounded("longest wait for a first step", beside.waited, MAX_WAIT_SECONDS, "s, simulated");
    for name in ["endless and urgent", "endless", "idle"] {
        figures.report(format!("steps: {name}"), beside.steps.get(name).copied().unwrap_or(0) as f64, "");
    }
    let jobs = beside.added as f64;
    let done = beside.steps.get("idle").copied().unwrap_or(0) as f64;
    figures.report_bounded("idle jobs not done", (jobs - done).max(0.0), MAX_WAIT_SECONDS / 0.5, "");
    let curve = |name: &str, ran: &SimulatedRun| {
        let points = (0..=100).map(|i| (i as f64, at(ran, i as f64 / 100.0)));
        Curve { name: name.to_string(), points: points.collect() }
    };
    let curves =
        vec![curve("alone", &alone), curve("beside", &beside), curve("beside, no budget", &unbounded)];
    figures.plot("foreground", "percent of requests", "ms", curves);
    Ok(figures)
}
