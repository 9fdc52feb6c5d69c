//! The scheduler and the pool by cases, each of a failure that they prevent, and by properties.

use std::collections::BTreeMap;
use std::time::Duration;

use dunepond_background::*;
use proptest::prelude::*;
use rstest::rstest;

fn budget() -> Budget {
    Budget { time_ratio: 0.1, bytes_per_second: 1000.0, max_blocking_jobs: 2 }
}

fn spec(name: &'static str, priority: Priority, kind: JobKind) -> JobSpec {
    let cost = JobCost::default();
    JobSpec { name, priority, kind, cost, not_before: 0.0, deadline: None, retry: None }
}

fn step(name: &'static str, priority: Priority) -> JobSpec {
    spec(name, priority, JobKind::Step)
}

fn used(seconds: f64, bytes: u64) -> ResourceUse {
    ResourceUse { seconds, bytes }
}

/// Runs steps of 5 ms one after the other; how many of each name ran.
fn run(scheduler: &mut Scheduler, from: f64, to: f64, more: bool) -> BTreeMap<&'static str, usize> {
    let (mut now, mut ran) = (from, BTreeMap::new());
    while now < to {
        match scheduler.next(now, true) {
            Some(started) => {
                *ran.entry(started.name).or_default() += 1;
                now += 0.005;
                let outcome = if more { Outcome::Yielded } else { Outcome::Done };
                scheduler.finish(now, started.id, outcome, used(0.005, 0));
            }
            None => now += 0.001,
        }
    }
    ran
}

#[test]
fn orders_by_priority_then_age() {
    let mut scheduler = Scheduler::new(budget(), 1);
    for (name, priority) in
        [("idle", Priority::Idle), ("first", Priority::Normal), ("second", Priority::Normal)]
    {
        scheduler.add(0.0, step(name, priority));
    }
    scheduler.add(0.0, step("urgent", Priority::Urgent));
    let mut order = Vec::new();
    while let Some(started) = scheduler.next(0.0, true) {
        order.push(started.name);
        scheduler.finish(0.0, started.id, Outcome::Done, used(0.0, 0));
    }
    assert_eq!(order, ["urgent", "first", "second", "idle"]);
}

#[test]
fn steps_need_idle_caller() {
    let mut scheduler = Scheduler::new(budget(), 1);
    scheduler.add(0.0, step("step", Priority::Urgent));
    assert_eq!(scheduler.next(0.0, false), None);
    scheduler.add(0.0, spec("disk", Priority::Idle, JobKind::Blocking));
    assert_eq!(scheduler.next(0.0, false).map(|started| started.name), Some("disk"));
    assert_eq!(scheduler.next(0.0, true).map(|started| started.name), Some("step"));
}

/// Endless jobs of the highest priority and no others get their share of the time and no more.
#[test]
fn steps_stay_within_time_ratio() {
    let mut scheduler = Scheduler::new(budget(), 1);
    for _ in 0..5 {
        scheduler.add(0.0, step("endless", Priority::Urgent));
    }
    let ran = run(&mut scheduler, 0.0, 20.0, true);
    let share = ran["endless"] as f64 * 0.005 / 20.0;
    assert!((0.09..0.11).contains(&share), "{share}");
}

#[test]
fn lowest_priority_is_not_starved() {
    let mut scheduler = Scheduler::new(budget(), 1);
    scheduler.add(0.0, step("endless", Priority::Urgent));
    scheduler.add(0.0, step("lowest", Priority::Idle));
    let ran = run(&mut scheduler, 0.0, 30.0, true);
    assert!(ran["lowest"] >= 4, "{ran:?}");
    assert!(ran["endless"] > 10 * ran["lowest"], "{ran:?}");
    let waited = scheduler.counters().find(|(name, _)| *name == "lowest").unwrap().1.longest_wait_seconds;
    assert!(waited < 8.0, "{waited}");
}

#[test]
fn expired_job_is_dropped() {
    let mut scheduler = Scheduler::new(budget(), 1);
    let id = scheduler.add(0.0, JobSpec { deadline: Some(1.0), ..step("late", Priority::Idle) });
    assert_eq!(scheduler.next(0.5, false), None);
    assert_eq!(scheduler.next(1.0, true), None);
    assert_eq!(
        (scheduler.drain_dropped(), scheduler.job_count()),
        (vec![DroppedJob { id, name: "late" }], 0)
    );
    assert_eq!(scheduler.counters().next().unwrap().1.expired, 1);
}

#[test]
fn retry_backoff_doubles_with_jitter() {
    let retry =
        Some(RetryPolicy { initial_backoff_seconds: 1.0, max_backoff_seconds: 4.0, max_attempts: None });
    let mut waits = Vec::new();
    for seed in 0..20 {
        let mut scheduler = Scheduler::new(budget(), seed);
        scheduler.add(0.0, JobSpec { retry, ..spec("disk", Priority::Normal, JobKind::Blocking) });
        let mut now = 0.0;
        for longest in [1.0, 2.0, 4.0, 4.0, 4.0] {
            let started = scheduler.next(now, true).unwrap();
            scheduler.finish(now, started.id, Outcome::Failed, used(0.0, 0));
            let due = scheduler.next_wakeup(now).unwrap();
            assert!((0.5 * longest..=longest).contains(&(due - now)), "{} of {longest}", due - now);
            assert_eq!(scheduler.next(due - 0.01, true), None);
            now = due;
        }
        waits.push((now * 1e6) as u64);
    }
    waits.dedup();
    assert!(waits.len() > 15, "all retries come together");
}

#[test]
fn exhausted_retries_drop_job() {
    let retry =
        Some(RetryPolicy { initial_backoff_seconds: 1.0, max_backoff_seconds: 1.0, max_attempts: Some(2) });
    let mut scheduler = Scheduler::new(budget(), 1);
    let id = scheduler.add(0.0, JobSpec { retry, ..step("fails", Priority::Normal) });
    for now in [0.0, 1.0] {
        assert_eq!(scheduler.drain_dropped(), []);
        let started = scheduler.next(now, true).unwrap();
        scheduler.finish(now, started.id, Outcome::Failed, used(0.0, 0));
    }
    assert_eq!(scheduler.drain_dropped(), [DroppedJob { id, name: "fails" }]);
}

#[rstest]
#[case::waiting(false)]
#[case::running(true)]
fn cancelled_job_does_not_run(#[case] running: bool) {
    let retry =
        Some(RetryPolicy { initial_backoff_seconds: 0.1, max_backoff_seconds: 0.1, max_attempts: None });
    let mut scheduler = Scheduler::new(budget(), 1);
    let id = scheduler.add(0.0, JobSpec { retry, ..step("gone", Priority::Normal) });
    if running {
        scheduler.next(0.0, true).unwrap();
    }
    scheduler.cancel(id);
    scheduler.finish(0.0, id, Outcome::Failed, used(0.0, 0));
    assert_eq!((scheduler.next(9.0, true), scheduler.job_count()), (None, 0));
}

#[test]
fn writes_stay_within_budget() {
    let mut scheduler = Scheduler::new(budget(), 1);
    let mut wrote = 0;
    for tick in 0..2000 {
        let now = tick as f64 * 0.01;
        let cost = JobCost { bytes: 400 };
        scheduler.add(
            now,
            JobSpec { cost, deadline: Some(now + 0.005), ..spec("disk", Priority::Idle, JobKind::Blocking) },
        );
        // Two never start on the budget of one.
        let started = [scheduler.next(now, true), scheduler.next(now, true)];
        for started in started.into_iter().flatten() {
            wrote += 400;
            scheduler.finish(now, started.id, Outcome::Done, used(0.0, 400));
        }
    }
    assert!((18_000..=22_000).contains(&wrote), "{wrote}");
}

#[test]
fn pool_reports_panic_as_failure() {
    let (sender, receiver) = crossbeam_channel::unbounded();
    let pool = Pool::start("test", 2, move |finished| {
        let _ = sender.send(finished);
    })
    .unwrap();
    pool.run(1, || (Outcome::Done, 7));
    pool.run(2, || panic!("a job panics"));
    pool.run(3, || (Outcome::Yielded, 0));
    let mut ends: Vec<_> = (0..3).map(|_| receiver.recv_timeout(Duration::from_secs(10)).unwrap()).collect();
    ends.sort_by_key(|end| end.id);
    let outcomes: Vec<_> = ends.iter().map(|end| end.outcome).collect();
    assert_eq!(outcomes, [Outcome::Done, Outcome::Failed, Outcome::Yielded]);
    assert_eq!(ends[0].used.bytes, 7);
}

#[derive(Clone, Debug)]
enum Step {
    Add { priority: u8, blocking: bool, bytes: u64, wait: f64, life: Option<f64>, tries: Option<u32> },
    Next(bool),
    End(usize, u8, f64),
    Cancel(usize),
    Wait(f64),
}

fn steps() -> impl Strategy<Value = Step> {
    let life = prop::option::of(0.01..5.0f64);
    let add = (0..3u8, any::<bool>(), 0..500u64, 0.0..1.0f64, life, prop::option::of(1..4u32));
    prop_oneof![
        3 => add.prop_map(|(priority, blocking, bytes, wait, life, tries)| {
            Step::Add { priority, blocking, bytes, wait, life, tries }
        }),
        5 => any::<bool>().prop_map(Step::Next),
        4 => (0..9usize, 0..3u8, 0.0..0.02f64).prop_map(|(at, how, took)| Step::End(at, how, took)),
        1 => (0..9usize).prop_map(Step::Cancel),
        3 => (0.0..0.5f64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        ..ProptestConfig::default()
    })]

    /// In any order of steps: no more at once than allowed, no start before its time or after its deadline, no step while
    /// the caller is busy, time and bytes within their budgets, each job ended once, and wakeups for all that is due.
    #[test]
    fn limits_hold_for_any_steps(all in prop::collection::vec(steps(), 1..300)) {
        let mut scheduler = Scheduler::new(budget(), 3);
        let (mut now, mut seconds, mut bytes) = (0.0, 0.0, 0.0);
        let mut specs: BTreeMap<JobId, JobSpec> = BTreeMap::new();
        let mut running: Vec<StartedJob> = Vec::new();
        let mut over: Vec<JobId> = Vec::new();
        for step in all {
            match step {
                Step::Add { priority, blocking, bytes, wait, life, tries } => {
                    let priority = [Priority::Idle, Priority::Normal, Priority::Urgent][priority as usize];
                    let kind = if blocking { JobKind::Blocking } else { JobKind::Step };
                    let retry = tries.map(|tries| RetryPolicy { initial_backoff_seconds: 0.1, max_backoff_seconds: 1.0, max_attempts: Some(tries) });
                    let spec = JobSpec {
                        name: "job",
                        priority,
                        kind,
                        cost: JobCost { bytes },
                        not_before: now + wait,
                        deadline: life.map(|life| now + wait + life),
                        retry,
                    };
                    specs.insert(scheduler.add(now, spec.clone()), spec);
                }
                Step::Next(calm) => {
                    if let Some(started) = scheduler.next(now, calm) {
                        let spec = &specs[&started.id];
                        prop_assert!(now >= spec.not_before && spec.deadline.is_none_or(|d| now < d));
                        prop_assert!(calm || started.kind == JobKind::Blocking);
                        prop_assert!(!running.iter().any(|r| r.id == started.id) && !over.contains(&started.id));
                        running.push(started);
                    } else if calm && running.is_empty() {
                        prop_assert!(scheduler.next_wakeup(now).is_none_or(|due| due > now), "something is due");
                    }
                    prop_assert!(running.iter().filter(|r| r.kind == JobKind::Blocking).count() <= 2);
                }
                Step::End(at, how, took) if !running.is_empty() => {
                    let started = running.remove(at % running.len());
                    let outcome = [Outcome::Done, Outcome::Yielded, Outcome::Failed][how as usize];
                    let took = if started.kind == JobKind::Step { took } else { 0.0 };
                    let wrote = specs[&started.id].cost.bytes;
                    (seconds, bytes) = (seconds + took, bytes + wrote as f64);
                    scheduler.finish(now, started.id, outcome, used(took, wrote));
                    if outcome == Outcome::Done {
                        over.push(started.id);
                    }
                }
                Step::Cancel(at) => {
                    let id = at as JobId + 1;
                    scheduler.cancel(id);
                    over.extend(specs.contains_key(&id).then_some(id));
                    running.retain(|r| r.id != id || { scheduler.finish(now, id, Outcome::Done, used(0.0, 0)); false });
                }
                Step::Wait(wait) => now += wait,
                _ => {}
            }
            over.extend(scheduler.drain_dropped().into_iter().map(|job| job.id));
            // One step more than the budget may be under way when it runs out.
            prop_assert!(seconds <= 0.1 * (now + 0.5) + 0.02 * 9.0 + 1e-9);
            prop_assert!(bytes <= 1000.0 * (now + 0.5) + 500.0 * 9.0);
        }
    }
}
