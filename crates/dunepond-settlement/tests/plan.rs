//! Tests of the fill planner (service order, choice of sources, limits) and of the progress of a fill.

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

/// Balances with the given debts (debtor, creditor, bytes), counted by a broker that belongs to no partner.
fn balances(terms: SettlementTerms, debts: &[(&str, &str, u64)]) -> Balances {
    let mut counts = CarriedCounts::new();
    debts.iter().for_each(|(debtor, creditor, bytes)| counts.record("w", 1, creditor, debtor, *bytes));
    let mut balances = Balances::new(terms, BrokerPartners::default(), SettlementLedger::default()).unwrap();
    balances.update_counts(0.0, &counts);
    balances
}

/// A demand to fill a node of the partner `to`, with one source of each partner in `from`.
fn demand(segment: u64, to: &str, from: &[&str], bytes: u64) -> FillDemand {
    let sources = from.iter().map(|partner| (format!("{partner}-s"), partner.to_string()).into()).collect();
    let node = format!("{to}-{segment}");
    FillDemand { version: 1, segment, node, partner: to.to_string(), sources, bytes, start: 0 }
}

fn links(rate_cap: f64) -> LinkCapacities {
    LinkCapacities { rate_caps: BTreeMap::new(), default_rate_cap: rate_cap, internal_rate_cap: 1e9 }
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
    let sources_and_payments: Vec<_> = fills
        .iter()
        .map(|fill| (fill.from.as_str(), fill.settles.as_ref().unwrap().bytes, fill.unsettled_bytes()))
        .collect();
    // The second fill pays the rest of the same debt, which is still the largest.
    assert_eq!(sources_and_payments, [("c", 4000, 0), ("c", 1000, 3000)]);
}

/// Without debts, a source of the filled partner is best because it causes no debt. Otherwise the partner that has carried
/// least is the source.
#[rstest]
fn partner_that_carried_least_is_source_without_debts() {
    let balances = balances(terms(), &[]);
    let internal_fills =
        plan(&balances, &[demand(1, "a", &["b", "a"], 100)], &links(1e4), &no_slow_start(), 0.0, 1);
    assert_eq!((internal_fills[0].from.as_str(), &internal_fills[0].settles), ("a", &None));
    let demands: Vec<_> = (0..6).map(|i| demand(i, "a", &["b", "c", "d"], 100)).collect();
    let fills = plan(&balances, &demands, &links(1e4), &no_slow_start(), 0.0, 1);
    let fills_from = |partner| fills.iter().filter(|fill| fill.from == partner).count();
    assert_eq!((fills_from("b"), fills_from("c"), fills_from("d")), (2, 2, 2));
}

#[rstest]
#[case::largest_creditor(PlanningRule::MaxMin, "b")]
#[case::given_order(PlanningRule::Cheapest, "a")]
fn rule_decides_who_is_served_first(#[case] rule: PlanningRule, #[case] first: &str) {
    // The limit on carried bytes allows c only one fill in this window.
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
        (
            second.fills.len(),
            wait_reasons(&second).iter().filter(|reason| **reason == WaitReason::Link).count()
        ),
        (0, 7)
    );
    planner.fill_ended(&first.fills[0].id, true);
    assert_eq!(planner.plan(&balances, &demands, &links(35.0), &no_slow_start(), None, 2.0).fills.len(), 1);
    // 4 expected units allow at most 4 + 3 * 2 + 3 = 13 units. Queries use 3 and one stays free, which leaves 9 units of 10
    // bytes in 2 seconds.
    let capacity = NodeCapacity { expected_units: 4.0, used_units: 3.0 };
    let slow_start = SlowStartCapacity {
        window_seconds: 2.0,
        unit_bytes: 10,
        nodes: [("a-7".to_string(), capacity)].into(),
    };
    let limited_plan = FillPlanner::new("x", PlanningRule::MaxMin, 1).plan(
        &balances,
        &demands[7..8],
        &links(1e4),
        &slow_start,
        None,
        0.0,
    );
    assert_eq!(limited_plan.fills[0].rate, 45.0);
    let no_capacity = SlowStartCapacity {
        nodes: [("a-7".to_string(), NodeCapacity { used_units: 12.0, ..capacity })].into(),
        ..slow_start
    };
    let waiting_plan = FillPlanner::new("x", PlanningRule::MaxMin, 1).plan(
        &balances,
        &demands[7..8],
        &links(1e4),
        &no_capacity,
        None,
        0.0,
    );
    assert_eq!(wait_reasons(&waiting_plan), [WaitReason::SlowStart]);
}

#[rstest]
#[case::exceeds_fill_limit(SettlementTerms { max_fill_bytes: 999, ..terms() }, WaitReason::DebtSize)]
#[case::exceeds_debt_limit(SettlementTerms { max_debt_bytes: 999, ..terms() }, WaitReason::DebtSize)]
#[case::exceeds_carry_limit(SettlementTerms { max_carried_bytes: 999, ..terms() }, WaitReason::DebtSize)]
#[case::exceeds_debt_speed(SettlementTerms { max_debt_speed: 9.99, ..terms() }, WaitReason::DebtSize)]
fn fill_beyond_a_limit_waits(#[case] terms: SettlementTerms, #[case] reason: WaitReason) {
    let balances = balances(terms, &[]);
    let plan = FillPlanner::new("x", PlanningRule::MaxMin, 1).plan(
        &balances,
        &[demand(1, "a", &["b"], 1000)],
        &links(1e4),
        &no_slow_start(),
        None,
        0.0,
    );
    assert_eq!((plan.fills.len(), wait_reasons(&plan)), (0, vec![reason]));
}

/// Guards against several fills that together exceed the limit on a debt. Running fills count as if they were complete.
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
    // A fill in the other direction reduces the debt.
    let reverse =
        planner.plan(&balances, &[demand(3, "b", &["a"], 1000)], &links(1e4), &no_slow_start(), None, 2.0);
    assert_eq!(reverse.fills.len(), 1);
    assert_eq!(
        planner.plan(&balances, &demands[1..], &links(1e4), &no_slow_start(), None, 3.0).fills.len(),
        1
    );
}

#[rstest]
fn debt_speed_is_limited_per_window() {
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

/// Guards against a debt that is paid twice, because a fill is complete but its settlement is not yet in the log.
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

/// Guards against a new leader that plans running fills again, or that ignores the fills of an earlier leader in the limits per
/// window.
#[rstest]
fn new_leader_counts_resumed_fills() {
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

/// A debt that is split into shares is paid only from the share of the planner's broker, minus what the broker has promised.
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
    let paid_bytes: Vec<_> =
        rest.fills.iter().map(|fill| fill.settles.as_ref().map(|settlement| settlement.bytes)).collect();
    assert_eq!(paid_bytes, [Some(200), None]);
}

/// The progress of a fill that takes 10 s at its rate, and a seeded generator.
fn progress(policy: FillRetryPolicy) -> (FillProgress, Pcg64Mcg) {
    let balances = balances(terms(), &[]);
    let fill =
        plan(&balances, &[demand(1, "a", &["b"], 1000)], &links(100.0), &no_slow_start(), 0.0, 1).remove(0);
    (FillProgress::new(fill, policy, 0.0), Pcg64Mcg::seed_from_u64(1))
}

#[rstest]
fn failed_attempts_back_off() {
    let policy = FillRetryPolicy { max_attempts: 3, deadline_seconds: 1e6, ..FillRetryPolicy::default() };
    let (mut progress, mut rng) = progress(policy);
    let (mut now, mut started_at) = (0.0, Vec::new());
    while let Some(due) = progress.next_tick_at() {
        now = due;
        for action in progress.tick(now, &mut rng) {
            match action {
                FillAction::Start(_) => started_at.push(now),
                FillAction::Stop(_) => assert!(now - started_at.last().unwrap() >= 20.0),
                action => assert!(matches!(action, FillAction::ReleaseCapacity(_)) && started_at.len() == 3),
            }
        }
    }
    assert!(matches!(progress.state(), FillState::Failed { .. }));
    // An attempt takes 10 s at its rate and times out after twice that. The backoffs are 0.5 to 1 s, then 1 to 2 s.
    let backoffs: Vec<f64> = started_at.windows(2).map(|pair| pair[1] - pair[0] - 20.0).collect();
    assert!((0.5..=1.0).contains(&backoffs[0]) && (1.0..=2.0).contains(&backoffs[1]), "{backoffs:?}");
    let late = progress.handle_event(now, FillEvent::Done, &mut rng);
    assert!(matches!(late, Err(SettlementError::InvalidEvent { state: "failed", event: "done", .. })));
}

#[rstest]
fn fill_is_withdrawn_at_deadline() {
    let (mut progress, mut rng) =
        progress(FillRetryPolicy { deadline_seconds: 30.0, ..FillRetryPolicy::default() });
    progress.tick(0.0, &mut rng);
    assert!(matches!(progress.tick(20.0, &mut rng)[..], [FillAction::Stop(_)]));
    let mut late = progress.clone();
    let actions = late.handle_event(20.1, FillEvent::Done, &mut rng).unwrap();
    assert!(matches!(actions[..], [FillAction::ReleaseCapacity(_), FillAction::Propose(_)]));
    assert_eq!(late.handle_event(20.2, FillEvent::Done, &mut rng), Ok(vec![]));
    // A complete fill is proposed again after a crash, because its entry may not be in the log yet.
    assert!(matches!(late.resume(21.0)[..], [FillAction::Propose(_)]));
    progress.tick(21.5, &mut rng);
    assert!(matches!(
        progress.tick(30.0, &mut rng)[..],
        [FillAction::Stop(_), FillAction::ReleaseCapacity(_)]
    ));
    assert!(matches!(progress.state(), FillState::Withdrawn { .. }) && progress.next_tick_at().is_none());
}

/// After a crash a running fill is started again under the same id, and the interrupted attempt does not count.
#[rstest]
fn running_fill_restarts_after_crash() {
    let (mut progress, mut rng) = progress(FillRetryPolicy { max_attempts: 1, ..FillRetryPolicy::default() });
    progress.tick(0.0, &mut rng);
    let mut progress: FillProgress = postcard::from_bytes(&postcard::to_stdvec(&progress).unwrap()).unwrap();
    assert_eq!(progress.resume(5.0), vec![]);
    assert!(matches!(&progress.tick(5.0, &mut rng)[..], [FillAction::Start(fill)] if fill.id == "1/1/a-1"));
    assert!(progress.handle_event(6.0, FillEvent::Failed { reason: "full".into() }, &mut rng).is_ok());
    assert!(matches!(progress.state(), FillState::Failed { .. }));
}

/// The max-min fair split computed unit by unit: each unit goes to the smallest share that is below its demand.
fn unit_by_unit_split(demands: &[u64], capacity: u64) -> Vec<u64> {
    let mut shares = vec![0; demands.len()];
    for _ in 0..capacity {
        let unmet = (0..demands.len()).filter(|&i| shares[i] < demands[i]);
        let Some(smallest) = unmet.min_by_key(|&i| (shares[i], i)) else { break };
        shares[smallest] += 1;
    }
    shares
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(34), ..ProptestConfig::with_cases(200) })]

    #[test]
    fn max_min_matches_unit_by_unit_split(demands in prop::collection::vec(0..40u64, 0..8), capacity in 0..200u64) {
        prop_assert_eq!(max_min(&demands, capacity), unit_by_unit_split(&demands, capacity));
    }

    /// No resource exceeds its cap, and each flow uses a full resource on which no other flow is faster.
    #[test]
    fn rates_are_max_min(flows in prop::collection::vec(prop::collection::vec(0..4usize, 1..4), 1..8), caps in prop::collection::vec(1.0..100.0f64, 4)) {
        let flows: Vec<Vec<usize>> = flows.into_iter().map(|mut flow| { flow.sort(); flow.dedup(); flow }).collect();
        let rates = max_min_rates(&flows, &caps);
        let load = |resource: usize| flows.iter().zip(&rates).filter(|(flow, _)| flow.contains(&resource)).map(|(_, rate)| rate).sum::<f64>();
        prop_assert!((0..4).all(|resource| load(resource) <= caps[resource] * (1.0 + 1e-9)));
        for (flow, rate) in flows.iter().zip(&rates) {
            let is_bottleneck = |resource: &usize| load(*resource) >= caps[*resource] * (1.0 - 1e-9)
                && flows.iter().zip(&rates).all(|(other_flow, other)| !other_flow.contains(resource) || *other <= rate * (1.0 + 1e-9));
            prop_assert!(flow.iter().any(is_bottleneck), "{:?} {:?} {:?}", flows, caps, rates);
        }
    }

}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(34), ..ProptestConfig::with_cases(60) })]

    /// Constant demands for three minutes of simulated time. The limits on links, slow start, carried bytes and debt speed hold
    /// in every step, no debt is overpaid, and no partner waits longer than 1.5 windows plus its longest fill.
    #[test]
    fn limits_hold_without_starvation(
        seed in any::<u64>(), round_robin in any::<bool>(), busy_partner in 0..4usize, rate_cap in 60.0..200.0f64, sizes in prop::collection::vec(200..1800u64, 4),
    ) {
        let terms = SettlementTerms { max_carried_bytes: 9000, max_debt_speed: 60.0, window_seconds: 30.0, ..terms() };
        let debts: Vec<_> = (0..3).map(|i| (PARTNERS[i + 1], PARTNERS[busy_partner], 900 * (i as u64 + 1))).collect();
        let mut balances = balances(terms.clone(), &debts);
        let rule = if round_robin { PlanningRule::DeficitRoundRobin } else { PlanningRule::MaxMin };
        let mut planner = FillPlanner::new("x", rule, seed);
        let capacity = NodeCapacity { expected_units: 4.0, used_units: 2.0 };
        let nodes = PARTNERS.iter().flat_map(|p| (0..400).map(move |i| (format!("{p}-{i}"), capacity))).collect();
        let slow_start = SlowStartCapacity { window_seconds: 1.0, unit_bytes: 20, nodes };
        let mut queues: Vec<VecDeque<FillDemand>> = vec![VecDeque::new(); 4];
        let mut running: Vec<(f64, Fill)> = Vec::new();
        let (mut planned, mut waited_seconds, mut segment) = (Vec::new(), [0.0f64; 4], 0);
        for step in 0..180 {
            let now = step as f64;
            let (ended, still_running): (Vec<_>, Vec<_>) = running.into_iter().partition(|(end, _)| *end <= now);
            running = still_running;
            for (_, fill) in ended {
                planner.fill_ended(&fill.id, true);
                if let Some(settlement) = fill.settles {
                    prop_assert_eq!(balances.apply(&SettlementEntry::Settle(settlement)), Ok(ApplyOutcome::New));
                }
            }
            for (p, queue) in queues.iter_mut().enumerate() {
                // One partner has many demands, the others have one each.
                while queue.len() < if p == busy_partner { 8 } else { 1 } {
                    let from: Vec<&str> = PARTNERS.into_iter().filter(|partner| *partner != PARTNERS[p]).collect();
                    queue.push_back(demand(segment, PARTNERS[p], &from, sizes[p]));
                    segment = (segment + 1) % 400;
                }
            }
            let demands: Vec<FillDemand> = queues.iter().flatten().cloned().collect();
            let plan = planner.plan(&balances, &demands, &links(rate_cap), &slow_start, None, now);
            for (p, queue) in queues.iter_mut().enumerate() {
                let before = queue.len();
                queue.retain(|demand| plan.fills.iter().all(|fill| fill.id != demand.id()));
                waited_seconds[p] = if queue.len() < before { 0.0 } else { waited_seconds[p] + 1.0 };
                let longest_fill_seconds = sizes[p] as f64 / terms.min_fill_rate.max(20.0);
                prop_assert!(waited_seconds[p] <= 1.5 * terms.window_seconds + longest_fill_seconds.min(100.0) + 1.0, "{} has waited for {} s", PARTNERS[p], waited_seconds[p]);
            }
            for fill in plan.fills {
                prop_assert!(fill.rate >= terms.min_fill_rate * (1.0 - 1e-9) && fill.rate <= terms.max_fill_rate);
                planned.push((now, fill.from.clone(), fill.to.clone(), fill.bytes));
                running.push((now + fill.duration_seconds(), fill));
            }
            for from in PARTNERS {
                let recent = || planned.iter().filter(|(at, ..)| *at > now - terms.window_seconds);
                let carried: u64 = recent().filter(|(_, f, ..)| f == from).map(|(.., bytes)| bytes).sum();
                prop_assert!(carried <= terms.max_carried_bytes);
                for to in PARTNERS {
                    let uses_link = |fill: &Fill| fill.from == from && fill.to == to;
                    let rate: f64 = running.iter().filter(|(_, fill)| uses_link(fill)).map(|(_, fill)| fill.rate).sum();
                    prop_assert!(rate <= rate_cap * (1.0 + 1e-9));
                    let pair = recent().filter(|(_, f, t, _)| (f == from && t == to) || (f == to && t == from));
                    prop_assert!(pair.map(|(.., bytes)| *bytes).sum::<u64>() as f64 <= terms.max_debt_speed * terms.window_seconds);
                    prop_assert_eq!(balances.settled_beyond_debt(from, to), 0);
                }
            }
            for (_, fill) in &running {
                let rate: f64 = running.iter().filter(|(_, other)| other.node == fill.node).map(|(_, other)| other.rate).sum();
                prop_assert!(rate + 2.0 * 20.0 <= max_slow_start_units(4.0) * 20.0 + 1e-6);
            }
        }
    }
}
