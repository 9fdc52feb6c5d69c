//! Plans: which partner is served first, from which source, within which limits; fills from plan to end.

use std::collections::{BTreeMap, VecDeque};

use dunepond_settlement::*;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const PARTNERS: [&str; 4] = ["a", "b", "c", "d"];

fn terms() -> SettlementTerms {
    SettlementTerms {
        window_seconds: 100.0,
        max_debt_speed: 1e6,
        max_fill_bytes: 10_000,
        max_debt_bytes: 1_000_000,
        max_carried_bytes: 40_000,
        min_fill_rate: 10.0,
        max_fill_rate: 1000.0,
        ..SettlementTerms::default()
    }
}

/// Debtor, creditor, bytes.
fn balances(terms: SettlementTerms, owes: &[(&str, &str, u64)]) -> Balances {
    let mut counts = CarriedCounts::new();
    owes.iter().for_each(|(debtor, creditor, bytes)| counts.record("w", 1, creditor, debtor, *bytes));
    let mut balances = Balances::new(terms, BrokerPartners::default(), SettlementLedger::default()).unwrap();
    balances.update_counts(0.0, &counts);
    balances
}

/// A node of `to` that each of `from` could fill; sources are named like their partners.
fn demand(segment: u64, to: &str, from: &[&str], bytes: u64) -> FillDemand {
    let sources = from.iter().map(|partner| (format!("{partner}-s"), partner.to_string()).into()).collect();
    let node = format!("{to}-{segment}");
    FillDemand { version: 1, segment, node, partner: to.to_string(), sources, bytes, start: 0 }
}

fn links(cap: f64) -> LinkCapacities {
    LinkCapacities { rate_caps: BTreeMap::new(), default_rate_cap: cap, internal_rate_cap: 1e9 }
}

fn no_slow_start() -> SlowStartCapacity {
    SlowStartCapacity { window_seconds: 1.0, unit_bytes: 1, nodes: BTreeMap::new() }
}

fn wait_reasons(plan: &FillPlan) -> Vec<WaitReason> {
    plan.waiting.iter().map(|demand| demand.reason).collect()
}

#[rstest]
fn largest_debtor_is_source() {
    let balances = balances(terms(), &[("b", "a", 300), ("c", "a", 5000)]);
    let demands = [demand(1, "a", &["a", "b", "c", "d"], 4000), demand(2, "a", &["a", "b", "c", "d"], 4000)];
    let fills = plan(&balances, &demands, &links(1e4), &no_slow_start(), 0.0, 1);
    let seen: Vec<_> = fills
        .iter()
        .map(|f| (f.from.as_str(), f.settles.as_ref().unwrap().bytes, f.unsettled_bytes()))
        .collect();
    // The second one is paid from the rest of the same debt, which is still the greatest.
    assert_eq!(seen, [("c", 4000, 0), ("c", 1000, 3000)]);
}

/// Without debts: the same partner first, as that makes no debt; else the one that has carried least.
#[rstest]
fn least_carried_is_source_without_debts() {
    let balances = balances(terms(), &[]);
    let home = plan(&balances, &[demand(1, "a", &["b", "a"], 100)], &links(1e4), &no_slow_start(), 0.0, 1);
    assert_eq!((home[0].from.as_str(), &home[0].settles), ("a", &None));
    let demands: Vec<_> = (0..6).map(|i| demand(i, "a", &["b", "c", "d"], 100)).collect();
    let away = plan(&balances, &demands, &links(1e4), &no_slow_start(), 0.0, 1);
    let from = |partner| away.iter().filter(|fill| fill.from == partner).count();
    assert_eq!((from("b"), from("c"), from("d")), (2, 2, 2));
}

#[rstest]
#[case(PlanningRule::MaxMin, "b")]
#[case(PlanningRule::Cheapest, "a")]
fn largest_shortfall_first(#[case] rule: PlanningRule, #[case] first: &str) {
    // Only one more fill goes out of c in this window.
    let terms = SettlementTerms { max_carried_bytes: 1000, ..terms() };
    let balances = balances(terms, &[("c", "a", 2000), ("c", "b", 9000)]);
    let demands = [demand(1, "a", &["c"], 1000), demand(2, "b", &["c"], 1000)];
    let plan =
        FillPlanner::new("x", rule, 1).plan(&balances, &demands, &links(1e4), &no_slow_start(), None, 0.0);
    assert_eq!(
        (plan.fills.len(), plan.fills[0].to.as_str(), wait_reasons(&plan)),
        (1, first, vec![WaitReason::CarryLimit])
    );
}

#[rstest]
fn links_and_slow_start_limit_rates() {
    let balances = balances(terms(), &[("b", "a", 1_000_000)]);
    let mut planner = FillPlanner::new("x", PlanningRule::MaxMin, 1);
    let demands: Vec<_> = (0..9).map(|i| demand(i, "a", &["b"], 1000)).collect();
    let first = planner.plan(&balances, &demands[..2], &links(35.0), &no_slow_start(), None, 0.0);
    assert_eq!(first.fills.iter().map(|fill| fill.rate).collect::<Vec<_>>(), [17.5, 17.5]);
    let second = planner.plan(&balances, &demands, &links(35.0), &no_slow_start(), None, 1.0);
    assert_eq!(
        (second.fills.len(), wait_reasons(&second).iter().filter(|why| **why == WaitReason::Link).count()),
        (0, 7)
    );
    planner.fill_ended(&first.fills[0].id, true);
    assert_eq!(planner.plan(&balances, &demands, &links(35.0), &no_slow_start(), None, 2.0).fills.len(), 1);
    // 4 expected: 4 + 3 * 2 + 3 = 13 units at most, 3 taken by scans, one left free: 9 units of 10 bytes in 2 seconds.
    let room = NodeCapacity { expected_units: 4.0, used_units: 3.0 };
    let slow_start =
        SlowStartCapacity { window_seconds: 2.0, unit_bytes: 10, nodes: [("a-7".to_string(), room)].into() };
    let cooled = FillPlanner::new("x", PlanningRule::MaxMin, 1).plan(
        &balances,
        &demands[7..8],
        &links(1e4),
        &slow_start,
        None,
        0.0,
    );
    assert_eq!(cooled.fills[0].rate, 45.0);
    let full = SlowStartCapacity {
        nodes: [("a-7".to_string(), NodeCapacity { used_units: 12.0, ..room })].into(),
        ..slow_start
    };
    let full = FillPlanner::new("x", PlanningRule::MaxMin, 1).plan(
        &balances,
        &demands[7..8],
        &links(1e4),
        &full,
        None,
        0.0,
    );
    assert_eq!(wait_reasons(&full), [WaitReason::SlowStart]);
}

#[rstest]
#[case::too_large(SettlementTerms { max_fill_bytes: 999, ..terms() }, WaitReason::DebtSize)]
#[case::owed_too_much(SettlementTerms { max_debt_bytes: 999, ..terms() }, WaitReason::DebtSize)]
#[case::more_than_a_window_bears(SettlementTerms { max_carried_bytes: 999, ..terms() }, WaitReason::DebtSize)]
#[case::never_so_fast(SettlementTerms { max_debt_speed: 9.99, ..terms() }, WaitReason::DebtSize)]
fn debt_limits(#[case] terms: SettlementTerms, #[case] why: WaitReason) {
    let balances = balances(terms, &[]);
    let plan = FillPlanner::new("x", PlanningRule::MaxMin, 1).plan(
        &balances,
        &[demand(1, "a", &["b"], 1000)],
        &links(1e4),
        &no_slow_start(),
        None,
        0.0,
    );
    assert_eq!((plan.fills.len(), wait_reasons(&plan)), (0, vec![why]));
}

/// Running fills count as complete: together they make a debt no greater than one may.
#[rstest]
fn running_fills_count_towards_debt_limit() {
    let balances = balances(SettlementTerms { max_debt_bytes: 1500, ..terms() }, &[]);
    let mut planner = FillPlanner::new("x", PlanningRule::MaxMin, 1);
    let demands = [demand(1, "a", &["b"], 1000), demand(2, "a", &["b"], 1000)];
    let plan = planner.plan(&balances, &demands, &links(1e4), &no_slow_start(), None, 0.0);
    assert_eq!((plan.fills.len(), wait_reasons(&plan)), (1, vec![WaitReason::DebtSize]));
    assert_eq!(
        wait_reasons(&planner.plan(&balances, &demands, &links(1e4), &no_slow_start(), None, 1.0)),
        [WaitReason::Running, WaitReason::DebtSize]
    );
    // One in the other direction reduces the debt.
    let back =
        planner.plan(&balances, &[demand(3, "b", &["a"], 1000)], &links(1e4), &no_slow_start(), None, 2.0);
    assert_eq!(back.fills.len(), 1);
    assert_eq!(
        planner.plan(&balances, &demands[1..], &links(1e4), &no_slow_start(), None, 3.0).fills.len(),
        1
    );
}

#[rstest]
fn debt_speed_per_window() {
    let balances = balances(SettlementTerms { max_debt_speed: 15.0, ..terms() }, &[]);
    let mut planner = FillPlanner::new("x", PlanningRule::MaxMin, 1);
    let demands = [demand(1, "a", &["b"], 1000), demand(2, "a", &["b"], 1000)];
    let first = planner.plan(&balances, &demands, &links(1e4), &no_slow_start(), None, 0.0);
    assert_eq!((first.fills.len(), wait_reasons(&first)), (1, vec![WaitReason::DebtSpeed]));
    assert_eq!(
        wait_reasons(&planner.plan(&balances, &demands[1..], &links(1e4), &no_slow_start(), None, 99.0)),
        [WaitReason::DebtSpeed]
    );
    assert_eq!(
        planner.plan(&balances, &demands[1..], &links(1e4), &no_slow_start(), None, 100.0).fills.len(),
        1
    );
}

/// A complete fill whose entry is not in the log yet: the debt is not paid twice.
#[rstest]
fn unsettled_fills_count_as_paid() {
    let mut balances = balances(terms(), &[("b", "a", 1000)]);
    let mut planner = FillPlanner::new("x", PlanningRule::MaxMin, 1);
    let demands: Vec<_> = (0..3).map(|i| demand(i, "a", &["b"], 1000)).collect();
    let first =
        planner.plan(&balances, &demands[..1], &links(1e4), &no_slow_start(), None, 0.0).fills.remove(0);
    let settles = |plan: &FillPlan| plan.fills[0].settles.clone();
    assert_eq!(
        settles(&planner.plan(&balances, &demands[..2], &links(1e4), &no_slow_start(), None, 1.0)),
        None
    );
    planner.fill_ended(&first.id, true);
    assert_eq!(
        settles(&planner.plan(&balances, &demands[2..], &links(1e4), &no_slow_start(), None, 2.0)),
        None
    );
    assert_eq!(balances.apply(&SettlementEntry::Settle(first.settles.unwrap())), Ok(ApplyOutcome::New));
    assert_eq!(balances.net_debt("a", "b") + balances.net_debt("b", "a"), 0);
}

/// A new leader knows the running fills and those of the window, and does not plan them again.
#[rstest]
fn new_leader_resumes() {
    let balances = balances(SettlementTerms { max_carried_bytes: 2000, ..terms() }, &[("b", "a", 1500)]);
    let demands: Vec<_> = (0..3).map(|i| demand(i, "a", &["b"], 1000)).collect();
    let first = FillPlanner::new("x", PlanningRule::MaxMin, 1).plan(
        &balances,
        &demands[..1],
        &links(1e4),
        &no_slow_start(),
        None,
        0.0,
    );
    let mut next = FillPlanner::new("y", PlanningRule::MaxMin, 2);
    next.resume(&first.fills[0], 0.0, true);
    let plan = next.plan(&balances, &demands, &links(1e4), &no_slow_start(), None, 1.0);
    assert_eq!(wait_reasons(&plan), [WaitReason::Running, WaitReason::CarryLimit]);
    assert_eq!(plan.fills[0].settles.as_ref().map(|settlement| settlement.bytes), Some(500));
}

/// A debt that is split is paid from the planner's own share, less what it has promised.
#[rstest]
fn plan_stays_within_share() {
    let mut balances = balances(terms(), &[("b", "a", 1000)]);
    let entry = allot_evenly(&balances, "b", "a", &["x".to_string(), "y".to_string()]).unwrap();
    balances.apply(&SettlementEntry::Allot(entry)).unwrap();
    let (mut planner, mut shares) =
        (FillPlanner::new("x", PlanningRule::MaxMin, 1), SharePromises::new("x").unwrap());
    let demands = [demand(1, "a", &["b"], 300), demand(2, "a", &["b"], 300), demand(3, "a", &["b"], 300)];
    let first = planner.plan(&balances, &demands[..1], &links(1e4), &no_slow_start(), Some(&shares), 0.0);
    shares.promise(balances.ledger(), first.fills[0].settles.clone().unwrap()).unwrap();
    let rest = planner.plan(&balances, &demands, &links(1e4), &no_slow_start(), Some(&shares), 1.0);
    let pays: Vec<_> = rest.fills.iter().map(|fill| fill.settles.as_ref().map(|s| s.bytes)).collect();
    assert_eq!(pays, [Some(200), None]);
}

fn progress(policy: FillRetryPolicy) -> (FillProgress, Pcg64Mcg) {
    let balances = balances(terms(), &[]);
    let fill =
        plan(&balances, &[demand(1, "a", &["b"], 1000)], &links(100.0), &no_slow_start(), 0.0, 1).remove(0);
    (FillProgress::new(fill, policy, 0.0), Pcg64Mcg::seed_from_u64(1))
}

#[rstest]
fn retries_back_off() {
    let policy = FillRetryPolicy { max_attempts: 3, deadline_seconds: 1e6, ..FillRetryPolicy::default() };
    let (mut progress, mut rng) = progress(policy);
    let (mut now, mut begun) = (0.0, Vec::new());
    while let Some(due) = progress.next_tick_at() {
        now = due;
        for order in progress.tick(now, &mut rng) {
            match order {
                FillAction::Start(_) => begun.push(now),
                FillAction::Stop(_) => assert!(now - begun.last().unwrap() >= 20.0),
                order => assert!(matches!(order, FillAction::ReleaseCapacity(_)) && begun.len() == 3),
            }
        }
    }
    assert!(matches!(progress.state(), FillState::Failed { .. }));
    // 10 s at its rate, a timeout of twice that, then backoffs of 0.5 to 1 s and of 1 to 2 s.
    let pauses: Vec<f64> = begun.windows(2).map(|pair| pair[1] - pair[0] - 20.0).collect();
    assert!((0.5..=1.0).contains(&pauses[0]) && (1.0..=2.0).contains(&pauses[1]), "{pauses:?}");
    let late = progress.handle_event(now, FillEvent::Done, &mut rng);
    assert!(matches!(late, Err(SettlementError::InvalidEvent { state: "failed", event: "done", .. })));
}

#[rstest]
fn deadline_withdraws() {
    let (mut progress, mut rng) =
        progress(FillRetryPolicy { deadline_seconds: 30.0, ..FillRetryPolicy::default() });
    progress.tick(0.0, &mut rng);
    assert!(matches!(progress.tick(20.0, &mut rng)[..], [FillAction::Stop(_)]));
    let mut late = progress.clone();
    let done = late.handle_event(20.1, FillEvent::Done, &mut rng).unwrap();
    assert!(matches!(done[..], [FillAction::ReleaseCapacity(_), FillAction::Propose(_)]));
    assert_eq!(late.handle_event(20.2, FillEvent::Done, &mut rng), Ok(vec![]));
    // After a crash between the end and the entry it is proposed again.
    assert!(matches!(late.resume(21.0)[..], [FillAction::Propose(_)]));
    progress.tick(21.5, &mut rng);
    assert!(matches!(
        progress.tick(30.0, &mut rng)[..],
        [FillAction::Stop(_), FillAction::ReleaseCapacity(_)]
    ));
    assert!(matches!(progress.state(), FillState::Withdrawn { .. }) && progress.next_tick_at().is_none());
}

/// After a crash a running fill starts again under the same id, and no attempt is counted for it.
#[rstest]
fn resume_after_crash() {
    let (mut progress, mut rng) = progress(FillRetryPolicy { max_attempts: 1, ..FillRetryPolicy::default() });
    progress.tick(0.0, &mut rng);
    let mut progress: FillProgress = postcard::from_bytes(&postcard::to_stdvec(&progress).unwrap()).unwrap();
    assert_eq!(progress.resume(5.0), vec![]);
    assert!(matches!(&progress.tick(5.0, &mut rng)[..], [FillAction::Start(fill)] if fill.id == "1/1/a-1"));
    assert!(progress.handle_event(6.0, FillEvent::Failed { reason: "full".into() }, &mut rng).is_ok());
    assert!(matches!(progress.state(), FillState::Failed { .. }));
}

/// One unit at a time to the one that has least among those that demand more.
fn naive(demands: &[u64], capacity: u64) -> Vec<u64> {
    let mut given = vec![0; demands.len()];
    for _ in 0..capacity {
        let open = (0..demands.len()).filter(|&i| given[i] < demands[i]);
        let Some(least) = open.min_by_key(|&i| (given[i], i)) else { break };
        given[least] += 1;
    }
    given
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(34), ..ProptestConfig::with_cases(200) })]

    #[test]
    fn max_min_matches_naive(demands in prop::collection::vec(0..40u64, 0..8), capacity in 0..200u64) {
        prop_assert_eq!(max_min(&demands, capacity), naive(&demands, capacity));
    }

    /// No resource bears more than its cap, and each flow is held by a full resource on which none is faster.
    #[test]
    fn rates_are_max_min(flows in prop::collection::vec(prop::collection::vec(0..4usize, 1..4), 1..8), caps in prop::collection::vec(1.0..100.0f64, 4)) {
        let flows: Vec<Vec<usize>> = flows.into_iter().map(|mut f| { f.sort(); f.dedup(); f }).collect();
        let rates = max_min_rates(&flows, &caps);
        let load = |r: usize| flows.iter().zip(&rates).filter(|(f, _)| f.contains(&r)).map(|(_, rate)| rate).sum::<f64>();
        prop_assert!((0..4).all(|r| load(r) <= caps[r] * (1.0 + 1e-9)));
        for (flow, rate) in flows.iter().zip(&rates) {
            let holds = |r: &usize| load(*r) >= caps[*r] * (1.0 - 1e-9)
                && flows.iter().zip(&rates).all(|(f, other)| !f.contains(r) || *other <= rate * (1.0 + 1e-9));
            prop_assert!(flow.iter().any(holds), "{:?} {:?} {:?}", flows, caps, rates);
        }
    }

}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(34), ..ProptestConfig::with_cases(60) })]

    /// Endless demands for three minutes of simulated time: at each moment the limits on links, slow start, carrying in any
    /// window and the speed of debts hold, no debt is overpaid, and no partner waits longer than a window and a half and the
    /// longest fill.
    #[test]
    fn limits_hold_without_starvation(
        seed in any::<u64>(), turns in any::<bool>(), flood in 0..4usize, cap in 60.0..200.0f64, sizes in prop::collection::vec(200..1800u64, 4),
    ) {
        let terms = SettlementTerms { max_carried_bytes: 9000, max_debt_speed: 60.0, window_seconds: 30.0, ..terms() };
        let owes: Vec<_> = (0..3).map(|i| (PARTNERS[i + 1], PARTNERS[flood], 900 * (i as u64 + 1))).collect();
        let mut balances = balances(terms.clone(), &owes);
        let rule = if turns { PlanningRule::DeficitRoundRobin } else { PlanningRule::MaxMin };
        let mut planner = FillPlanner::new("x", rule, seed);
        let room = NodeCapacity { expected_units: 4.0, used_units: 2.0 };
        let nodes = PARTNERS.iter().flat_map(|p| (0..400).map(move |i| (format!("{p}-{i}"), room))).collect();
        let slow_start = SlowStartCapacity { window_seconds: 1.0, unit_bytes: 20, nodes };
        let mut queues: Vec<VecDeque<FillDemand>> = vec![VecDeque::new(); 4];
        let mut under_way: Vec<(f64, Fill)> = Vec::new();
        let (mut log, mut waits, mut segment) = (Vec::new(), [0.0f64; 4], 0);
        for step in 0..180 {
            let now = step as f64;
            let (ended, still): (Vec<_>, Vec<_>) = under_way.into_iter().partition(|(end, _)| *end <= now);
            under_way = still;
            for (_, fill) in ended {
                planner.fill_ended(&fill.id, true);
                if let Some(settlement) = fill.settles {
                    prop_assert_eq!(balances.apply(&SettlementEntry::Settle(settlement)), Ok(ApplyOutcome::New));
                }
            }
            for (p, queue) in queues.iter_mut().enumerate() {
                // One partner has many demands, the others one at a time.
                while queue.len() < if p == flood { 8 } else { 1 } {
                    let from: Vec<&str> = PARTNERS.into_iter().filter(|it| *it != PARTNERS[p]).collect();
                    queue.push_back(demand(segment, PARTNERS[p], &from, sizes[p]));
                    segment = (segment + 1) % 400;
                }
            }
            let demands: Vec<FillDemand> = queues.iter().flatten().cloned().collect();
            let plan = planner.plan(&balances, &demands, &links(cap), &slow_start, None, now);
            for (p, queue) in queues.iter_mut().enumerate() {
                let before = queue.len();
                queue.retain(|demand| plan.fills.iter().all(|fill| fill.id != demand.id()));
                waits[p] = if queue.len() < before { 0.0 } else { waits[p] + 1.0 };
                let longest = sizes[p] as f64 / terms.min_fill_rate.max(20.0);
                prop_assert!(waits[p] <= 1.5 * terms.window_seconds + longest.min(100.0) + 1.0, "{} waits {}", PARTNERS[p], waits[p]);
            }
            for fill in plan.fills {
                prop_assert!(fill.rate >= terms.min_fill_rate * (1.0 - 1e-9) && fill.rate <= terms.max_fill_rate);
                log.push((now, fill.from.clone(), fill.to.clone(), fill.bytes));
                under_way.push((now + fill.duration_seconds(), fill));
            }
            for from in PARTNERS {
                let recent = || log.iter().filter(|(at, ..)| *at > now - terms.window_seconds);
                let carried: u64 = recent().filter(|(_, f, ..)| f == from).map(|(.., bytes)| bytes).sum();
                prop_assert!(carried <= terms.max_carried_bytes);
                for to in PARTNERS {
                    let on = |fill: &Fill| fill.from == from && fill.to == to;
                    let rate: f64 = under_way.iter().filter(|(_, fill)| on(fill)).map(|(_, fill)| fill.rate).sum();
                    prop_assert!(rate <= cap * (1.0 + 1e-9));
                    let pair = recent().filter(|(_, f, t, _)| (f == from && t == to) || (f == to && t == from));
                    prop_assert!(pair.map(|(.., bytes)| *bytes).sum::<u64>() as f64 <= terms.max_debt_speed * terms.window_seconds);
                    prop_assert_eq!(balances.settled_beyond_debt(from, to), 0);
                }
            }
            for (_, fill) in &under_way {
                let rate: f64 = under_way.iter().filter(|(_, it)| it.node == fill.node).map(|(_, it)| it.rate).sum();
                prop_assert!(rate + 2.0 * 20.0 <= max_slow_start_units(4.0) * 20.0 + 1e-6);
            }
        }
    }
}
