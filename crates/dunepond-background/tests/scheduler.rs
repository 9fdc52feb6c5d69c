//! Tests of the scheduler and the pool: single cases, and properties over random sequences of calls.

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

/// Runs steps of 5 ms each from time `from` to time `to`, and returns the number of steps by job name. If `is_endless`
/// is true, each step yields instead of completing its job.
fn run(scheduler: &mut Scheduler, from: f64, to: f64, is_endless: bool) -> BTreeMap<&'static str, usize> {
    let (mut now, mut ran) = (from, BTreeMap::new());
    while now < to {
        match scheduler.next(now, true) {
            Some(started) => {
                *ran.entry(started.name).or_default() += 1;
                now += 0.005;
                let outcome = if is_endless { Outcome::Yielded } else { Outcome::Done };
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

/// Jobs that never end, all of the highest priority, use about the budgeted share of the time.
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
        for max_backoff in [1.0, 2.0, 4.0, 4.0, 4.0] {
            let started = scheduler.next(now, true).unwrap();
            scheduler.finish(now, started.id, Outcome::Failed, used(0.0, 0));
            let due = scheduler.next_wakeup(now).unwrap();
            assert!(
                (0.5 * max_backoff..=max_backoff).contains(&(due - now)),
                "{} of {max_backoff}",
                due - now
            );
            assert_eq!(scheduler.next(due - 0.01, true), None);
            now = due;
        }
        waits.push((now * 1e6) as u64);
    }
    waits.dedup();
    assert!(waits.len() > 15, "retry times of different seeds coincide: {waits:?}");
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
    let mut written_bytes = 0;
    for tick in 0..2000 {
        let now = tick as f64 * 0.01;
        let cost = JobCost { bytes: 400 };
        scheduler.add(
            now,
            JobSpec { cost, deadline: Some(now + 0.005), ..spec("disk", Priority::Idle, JobKind::Blocking) },
        );
        // The second call comes at the same time: no second job may start on the budget that the first job has taken.
        let started = [scheduler.next(now, true), scheduler.next(now, true)];
        for started in started.into_iter().flatten() {
            written_bytes += 400;
            scheduler.finish(now, started.id, Outcome::Done, used(0.0, 400));
        }
    }
    assert!((18_000..=22_000).contains(&written_bytes), "{written_bytes}");
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
    Add {
        priority: u8,
        blocking: bool,
        bytes: u64,
        wait: f64,
        lifetime: Option<f64>,
        max_attempts: Option<u32>,
    },
    Next(bool),
    Finish(usize, u8, f64),
    Cancel(usize),
    Wait(f64),
}

fn steps() -> impl Strategy<Value = Step> {
    let lifetime = prop::option::of(0.01..5.0f64);
    let add = (0..3u8, any::<bool>(), 0..500u64, 0.0..1.0f64, lifetime, prop::option::of(1..4u32));
    prop_oneof![
        3 => add.prop_map(|(priority, blocking, bytes, wait, lifetime, max_attempts)| {
            Step::Add { priority, blocking, bytes, wait, lifetime, max_attempts }
        }),
        5 => any::<bool>().prop_map(Step::Next),
        4 => (0..9usize, 0..3u8, 0.0..0.02f64).prop_map(|(at, outcome_index, seconds_used)| Step::Finish(at, outcome_index, seconds_used)),
        1 => (0..9usize).prop_map(Step::Cancel),
        3 => (0.0..0.5f64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        ..ProptestConfig::default()
    })]

    /// Properties for any order of calls to the scheduler: at most two blocking jobs run at the same time. No job
    /// starts too early, after its deadline or after it has ended, and no `JobKind::Step` job starts while the caller
    /// is busy. Time and bytes stay within their budgets. If no job runs and an idle caller can start none, the next
    /// wakeup, if any, lies in the future.
    #[test]
    fn limits_hold_for_any_steps(all in prop::collection::vec(steps(), 1..300)) {
        let mut scheduler = Scheduler::new(budget(), 3);
        let (mut now, mut seconds, mut bytes) = (0.0, 0.0, 0.0);
        let mut specs: BTreeMap<JobId, JobSpec> = BTreeMap::new();
        let mut running: Vec<StartedJob> = Vec::new();
        let mut ended: Vec<JobId> = Vec::new();
        for step in all {
            match step {
                Step::Add { priority, blocking, bytes, wait, lifetime, max_attempts } => {
                    let priority = [Priority::Idle, Priority::Normal, Priority::Urgent][priority as usize];
                    let kind = if blocking { JobKind::Blocking } else { JobKind::Step };
                    let retry = max_attempts.map(|max| RetryPolicy { initial_backoff_seconds: 0.1, max_backoff_seconds: 1.0, max_attempts: Some(max) });
                    let spec = JobSpec {
                        name: "job",
                        priority,
                        kind,
                        cost: JobCost { bytes },
                        not_before: now + wait,
                        deadline: lifetime.map(|lifetime| now + wait + lifetime),
                        retry,
                    };
                    specs.insert(scheduler.add(now, spec.clone()), spec);
                }
                Step::Next(caller_idle) => {
                    if let Some(started) = scheduler.next(now, caller_idle) {
                        let spec = &specs[&started.id];
                        prop_assert!(now >= spec.not_before && spec.deadline.is_none_or(|d| now < d));
                        prop_assert!(caller_idle || started.kind == JobKind::Blocking);
                        prop_assert!(!running.iter().any(|r| r.id == started.id) && !ended.contains(&started.id));
                        running.push(started);
                    } else if caller_idle && running.is_empty() {
                        prop_assert!(scheduler.next_wakeup(now).is_none_or(|due| due > now), "a job is due but was not started");
                    }
                    prop_assert!(running.iter().filter(|r| r.kind == JobKind::Blocking).count() <= 2);
                }
                Step::Finish(at, outcome_index, seconds_used) if !running.is_empty() => {
                    let started = running.remove(at % running.len());
                    let outcome = [Outcome::Done, Outcome::Yielded, Outcome::Failed][outcome_index as usize];
                    let seconds_used = if started.kind == JobKind::Step { seconds_used } else { 0.0 };
                    let bytes_written = specs[&started.id].cost.bytes;
                    (seconds, bytes) = (seconds + seconds_used, bytes + bytes_written as f64);
                    scheduler.finish(now, started.id, outcome, used(seconds_used, bytes_written));
                    if outcome == Outcome::Done {
                        ended.push(started.id);
                    }
                }
                Step::Cancel(at) => {
                    let id = at as JobId + 1;
                    scheduler.cancel(id);
                    ended.extend(specs.contains_key(&id).then_some(id));
                    running.retain(|r| r.id != id || { scheduler.finish(now, id, Outcome::Done, used(0.0, 0)); false });
                }
                Step::Wait(wait) => now += wait,
                _ => {}
            }
            ended.extend(scheduler.drain_dropped().into_iter().map(|job| job.id));
            // A run that starts within the budget may end after the budget is used up, so some excess is allowed.
            prop_assert!(seconds <= 0.1 * (now + 0.5) + 0.02 * 9.0 + 1e-9);
            prop_assert!(bytes <= 1000.0 * (now + 0.5) + 500.0 * 9.0);
        }
    }
}
