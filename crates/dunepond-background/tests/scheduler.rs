//! Stories of background work, each of a failure that the scheduler is there for, and properties.

use std::collections::BTreeMap;
use std::time::Duration;

use dunepond_background::*;
use proptest::prelude::*;
use rstest::rstest;

fn budget() -> Budget {
    Budget { time: 0.1, bytes: 1000.0, at_once: 2 }
}

fn spec(name: &'static str, priority: Priority, kind: Kind) -> Spec {
    let cost = Cost::default();
    Spec { name, priority, kind, cost, not_before: 0.0, deadline: None, retry: None }
}

fn step(name: &'static str, priority: Priority) -> Spec {
    spec(name, priority, Kind::Step)
}

fn used(seconds: f64, bytes: u64) -> Used {
    Used { seconds, bytes }
}

/// Runs steps of 5 ms, one after the other, for so long; how many of each name.
fn run(scheduler: &mut Scheduler, from: f64, to: f64, more: bool) -> BTreeMap<&'static str, usize> {
    let (mut now, mut ran) = (from, BTreeMap::new());
    while now < to {
        match scheduler.next(now, true) {
            Some(given) => {
                *ran.entry(given.name).or_default() += 1;
                now += 0.005;
                let outcome = if more { Outcome::More } else { Outcome::Done };
                scheduler.ended(now, given.id, outcome, used(0.005, 0));
            }
            None => now += 0.001,
        }
    }
    ran
}

#[test]
fn the_urgent_goes_first_and_of_two_alike_the_one_that_came_first() {
    let mut scheduler = Scheduler::new(budget(), 1);
    for (name, priority) in
        [("idle", Priority::Idle), ("first", Priority::Usual), ("second", Priority::Usual)]
    {
        scheduler.add(0.0, step(name, priority));
    }
    scheduler.add(0.0, step("urgent", Priority::Urgent));
    let mut order = Vec::new();
    while let Some(given) = scheduler.next(0.0, true) {
        order.push(given.name);
        scheduler.ended(0.0, given.id, Outcome::Done, used(0.0, 0));
    }
    assert_eq!(order, ["urgent", "first", "second", "idle"]);
}

#[test]
fn no_step_is_begun_while_scans_wait_and_a_blocking_job_is() {
    let mut scheduler = Scheduler::new(budget(), 1);
    scheduler.add(0.0, step("step", Priority::Urgent));
    assert_eq!(scheduler.next(0.0, false), None);
    scheduler.add(0.0, spec("disk", Priority::Idle, Kind::Blocking));
    assert_eq!(scheduler.next(0.0, false).map(|given| given.name), Some("disk"));
    assert_eq!(scheduler.next(0.0, true).map(|given| given.name), Some("step"));
}

/// One that never ends, of the highest priority, and nobody else: it gets its share of the time and no more.
#[test]
fn steps_take_their_share_of_the_time_however_many_there_are() {
    let mut scheduler = Scheduler::new(budget(), 1);
    for _ in 0..5 {
        scheduler.add(0.0, step("endless", Priority::Urgent));
    }
    let ran = run(&mut scheduler, 0.0, 20.0, true);
    let share = ran["endless"] as f64 * 0.005 / 20.0;
    assert!((0.09..0.11).contains(&share), "{share}");
}

#[test]
fn the_lowest_gets_its_turn_beside_one_that_never_ends() {
    let mut scheduler = Scheduler::new(budget(), 1);
    scheduler.add(0.0, step("endless", Priority::Urgent));
    scheduler.add(0.0, step("lowest", Priority::Idle));
    let ran = run(&mut scheduler, 0.0, 30.0, true);
    assert!(ran["lowest"] >= 4, "{ran:?}");
    assert!(ran["endless"] > 10 * ran["lowest"], "{ran:?}");
    let waited = scheduler.counts().find(|(name, _)| *name == "lowest").unwrap().1.longest_wait;
    assert!(waited < 8.0, "{waited}");
}

#[test]
fn what_is_worthless_by_its_deadline_is_dropped_and_told() {
    let mut scheduler = Scheduler::new(budget(), 1);
    let id = scheduler.add(0.0, Spec { deadline: Some(1.0), ..step("late", Priority::Idle) });
    assert_eq!(scheduler.next(0.5, false), None);
    assert_eq!(scheduler.next(1.0, true), None);
    assert_eq!((scheduler.take_dropped(), scheduler.count()), (vec![(id, "late")], 0));
    assert_eq!(scheduler.counts().next().unwrap().1.expired, 1);
}

#[test]
fn a_job_that_fails_is_tried_again_after_a_doubling_jittered_capped_back_off() {
    let retry = Some(Retry { first: 1.0, longest: 4.0, tries: None });
    let mut waits = Vec::new();
    for seed in 0..20 {
        let mut scheduler = Scheduler::new(budget(), seed);
        scheduler.add(0.0, Spec { retry, ..spec("disk", Priority::Usual, Kind::Blocking) });
        let mut now = 0.0;
        for longest in [1.0, 2.0, 4.0, 4.0, 4.0] {
            let given = scheduler.next(now, true).unwrap();
            scheduler.ended(now, given.id, Outcome::Failed, used(0.0, 0));
            let due = scheduler.next_due(now).unwrap();
            assert!((0.5 * longest..=longest).contains(&(due - now)), "{} of {longest}", due - now);
            assert_eq!(scheduler.next(due - 0.01, true), None);
            now = due;
        }
        waits.push((now * 1e6) as u64);
    }
    waits.dedup();
    assert!(waits.len() > 15, "they all come back together");
}

#[test]
fn after_its_last_try_a_job_is_given_up_and_told() {
    let retry = Some(Retry { first: 1.0, longest: 1.0, tries: Some(2) });
    let mut scheduler = Scheduler::new(budget(), 1);
    let id = scheduler.add(0.0, Spec { retry, ..step("fails", Priority::Usual) });
    for now in [0.0, 1.0] {
        assert_eq!(scheduler.take_dropped(), []);
        let given = scheduler.next(now, true).unwrap();
        scheduler.ended(now, given.id, Outcome::Failed, used(0.0, 0));
    }
    assert_eq!(scheduler.take_dropped(), [(id, "fails")]);
}

#[rstest]
#[case::waiting(false)]
#[case::running(true)]
fn a_job_taken_back_is_not_run_again(#[case] running: bool) {
    let retry = Some(Retry { first: 0.1, longest: 0.1, tries: None });
    let mut scheduler = Scheduler::new(budget(), 1);
    let id = scheduler.add(0.0, Spec { retry, ..step("gone", Priority::Usual) });
    if running {
        scheduler.next(0.0, true).unwrap();
    }
    scheduler.cancel(id);
    scheduler.ended(0.0, id, Outcome::Failed, used(0.0, 0));
    assert_eq!((scheduler.next(9.0, true), scheduler.count()), (None, 0));
}

#[test]
fn bytes_to_the_disk_stay_within_their_budget_and_are_taken_ahead() {
    let mut scheduler = Scheduler::new(budget(), 1);
    let mut wrote = 0;
    for tick in 0..2000 {
        let now = tick as f64 * 0.01;
        let cost = Cost { bytes: 400 };
        scheduler.add(
            now,
            Spec { cost, deadline: Some(now + 0.005), ..spec("disk", Priority::Idle, Kind::Blocking) },
        );
        // Two at once never go on the room of one.
        let given = [scheduler.next(now, true), scheduler.next(now, true)];
        for given in given.into_iter().flatten() {
            wrote += 400;
            scheduler.ended(now, given.id, Outcome::Done, used(0.0, 400));
        }
    }
    assert!((18_000..=22_000).contains(&wrote), "{wrote}");
}

#[test]
fn the_pool_tells_each_end_and_a_panic_is_a_failure() {
    let (tell, told) = crossbeam_channel::unbounded();
    let pool = Pool::start("test", 2, move |finished| {
        let _ = tell.send(finished);
    })
    .unwrap();
    pool.run(1, || (Outcome::Done, 7));
    pool.run(2, || panic!("a job of ours"));
    pool.run(3, || (Outcome::More, 0));
    let mut ends: Vec<_> = (0..3).map(|_| told.recv_timeout(Duration::from_secs(10)).unwrap()).collect();
    ends.sort_by_key(|end| end.id);
    let outcomes: Vec<_> = ends.iter().map(|end| end.outcome).collect();
    assert_eq!(outcomes, [Outcome::Done, Outcome::Failed, Outcome::More]);
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

    /// In whatever order: no more at once than allowed, nothing before its time or after its deadline, no step while
    /// others wait, time and bytes within their budgets, each job ended once, and what is due is named as due.
    #[test]
    fn bounds_hold_whatever_happens(all in prop::collection::vec(steps(), 1..300)) {
        let mut scheduler = Scheduler::new(budget(), 3);
        let (mut now, mut seconds, mut bytes) = (0.0, 0.0, 0.0);
        let mut specs: BTreeMap<JobId, Spec> = BTreeMap::new();
        let mut running: Vec<Given> = Vec::new();
        let mut over: Vec<JobId> = Vec::new();
        for step in all {
            match step {
                Step::Add { priority, blocking, bytes, wait, life, tries } => {
                    let priority = [Priority::Idle, Priority::Usual, Priority::Urgent][priority as usize];
                    let kind = if blocking { Kind::Blocking } else { Kind::Step };
                    let retry = tries.map(|tries| Retry { first: 0.1, longest: 1.0, tries: Some(tries) });
                    let spec = Spec {
                        name: "job",
                        priority,
                        kind,
                        cost: Cost { bytes },
                        not_before: now + wait,
                        deadline: life.map(|life| now + wait + life),
                        retry,
                    };
                    specs.insert(scheduler.add(now, spec.clone()), spec);
                }
                Step::Next(calm) => {
                    if let Some(given) = scheduler.next(now, calm) {
                        let spec = &specs[&given.id];
                        prop_assert!(now >= spec.not_before && spec.deadline.is_none_or(|d| now < d));
                        prop_assert!(calm || given.kind == Kind::Blocking);
                        prop_assert!(!running.iter().any(|r| r.id == given.id) && !over.contains(&given.id));
                        running.push(given);
                    } else if calm && running.is_empty() {
                        prop_assert!(scheduler.next_due(now).is_none_or(|due| due > now), "something is due");
                    }
                    prop_assert!(running.iter().filter(|r| r.kind == Kind::Blocking).count() <= 2);
                }
                Step::End(at, how, took) if !running.is_empty() => {
                    let given = running.remove(at % running.len());
                    let outcome = [Outcome::Done, Outcome::More, Outcome::Failed][how as usize];
                    let took = if given.kind == Kind::Step { took } else { 0.0 };
                    let wrote = specs[&given.id].cost.bytes;
                    (seconds, bytes) = (seconds + took, bytes + wrote as f64);
                    scheduler.ended(now, given.id, outcome, used(took, wrote));
                    if outcome == Outcome::Done {
                        over.push(given.id);
                    }
                }
                Step::Cancel(at) => {
                    let id = at as JobId + 1;
                    scheduler.cancel(id);
                    over.extend(specs.contains_key(&id).then_some(id));
                    running.retain(|r| r.id != id || { scheduler.ended(now, id, Outcome::Done, used(0.0, 0)); false });
                }
                Step::Wait(wait) => now += wait,
                _ => {}
            }
            over.extend(scheduler.take_dropped().into_iter().map(|(id, _)| id));
            // One step more than the budget may be under way when it runs out.
            prop_assert!(seconds <= 0.1 * (now + 0.5) + 0.02 * 9.0 + 1e-9);
            prop_assert!(bytes <= 1000.0 * (now + 0.5) + 500.0 * 9.0);
        }
    }
}
