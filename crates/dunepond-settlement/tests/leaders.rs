//! Tests of leader changes: the limits per window hold if the next leader knows the recently started fills.

use std::collections::BTreeMap;

use dunepond_settlement::*;
use rstest::rstest;

const WINDOW_SECONDS: f64 = 600.0;
const MAX_CARRIED_BYTES: u64 = 1_000_000;
const MAX_DEBT_SPEED: f64 = 2_000.0;
const FILL_BYTES: u64 = 100_000;
/// Maximum difference between the clocks of two leaders.
const CLOCK_DIFFERENCE_SECONDS: u64 = 20;

/// Simulates twelve windows in which south demands more than north may carry, and the leader fails every `life_seconds`.
/// `resumes_fills`: whether a new leader resumes the started fills. Returns the most bytes that north carried in any period
/// whose length is the window minus the clock difference, and the number of started fills.
fn most_carried_bytes(life_seconds: f64, resumes_fills: bool) -> (u64, usize) {
    let terms = SettlementTerms {
        window_seconds: WINDOW_SECONDS,
        max_carried_bytes: MAX_CARRIED_BYTES,
        max_debt_speed: MAX_DEBT_SPEED,
        max_fill_bytes: MAX_CARRIED_BYTES,
        min_fill_rate: 1.0,
        max_fill_rate: 1e6,
        ..SettlementTerms::default()
    };
    let mut balances = Balances::new(terms, BrokerPartners::default(), SettlementLedger::default()).unwrap();
    let links = LinkCapacities { rate_caps: BTreeMap::new(), default_rate_cap: 1e9, internal_rate_cap: 1e9 };
    let slow_start = SlowStartCapacity { window_seconds: 1.0, unit_bytes: 1, nodes: BTreeMap::new() };
    let mut planner = FillPlanner::new("fleet", PlanningRule::MaxMin, 1);
    let (mut started_at, mut leader_since, mut segment) = (Vec::new(), 0.0, 0);
    let mut now = 0.0;
    while now < 12.0 * WINDOW_SECONDS {
        if now >= leader_since + life_seconds {
            (planner, leader_since) = (FillPlanner::new("fleet", PlanningRule::MaxMin, now as u64), now);
            // The clock of every second leader is ahead.
            let clock = now as u64
                + if ((now / life_seconds) as u64).is_multiple_of(2) { CLOCK_DIFFERENCE_SECONDS } else { 0 };
            for started in balances.ledger().started_fills().filter(|_| resumes_fills) {
                let age = clock.saturating_sub(started.at) as f64;
                planner.resume(&started.fill(), now - age, false);
                planner.resume(&started.fill(), now, false);
            }
        }
        let sources = vec![FillSource { node: "north-s".to_string(), partner: "north".to_string() }];
        let demand = |segment: u64| FillDemand {
            version: 1,
            segment,
            node: format!("south-{segment}"),
            partner: "south".to_string(),
            sources: sources.clone(),
            bytes: FILL_BYTES,
            start: 0,
        };
        let demands: Vec<_> = (segment..segment + 3).map(demand).collect();
        for fill in planner.plan(&balances, &demands, &links, &slow_start, None, now).fills {
            // The fill is recorded in the log before it starts.
            balances.apply(&SettlementEntry::StartFill(StartedFill::new(&fill, now as u64))).unwrap();
            started_at.push(now);
            planner.fill_ended(&fill.id, false);
            segment = segment.max(fill.segment + 1);
        }
        now += 5.0;
    }
    // For a new leader, a window can be shorter by the difference between two leaders' clocks.
    let period_seconds = WINDOW_SECONDS - CLOCK_DIFFERENCE_SECONDS as f64;
    let starts_in_period = |from: &f64| {
        started_at.iter().filter(|at| **at >= *from && **at < from + period_seconds).count() as u64
    };
    (started_at.iter().map(starts_in_period).max().unwrap_or(0) * FILL_BYTES, started_at.len())
}

#[rstest]
#[case::never(f64::INFINITY)]
#[case::every_half_window(WINDOW_SECONDS / 2.0)]
#[case::every_ten_seconds(10.0)]
fn carry_limit_holds_across_leaders(#[case] life_seconds: f64) {
    let (most_bytes, fills) = most_carried_bytes(life_seconds, true);
    assert!(most_bytes <= MAX_CARRIED_BYTES, "{most_bytes} bytes were carried in a window");
    assert!(fills >= 60, "only {fills} fills started in twelve windows: the limit is applied too strictly");
}

/// A leader that does not resume the started fills exceeds the limit. This shows that `carry_limit_holds_across_leaders`
/// depends on the resumed fills.
#[test]
fn leader_without_history_exceeds_limit() {
    let (most_bytes, _) = most_carried_bytes(WINDOW_SECONDS / 2.0, false);
    assert!(most_bytes > MAX_CARRIED_BYTES, "{most_bytes} bytes were carried in a window");
}

#[test]
fn started_fills_are_bounded() {
    let mut ledger = SettlementLedger::default();
    let fill = |id: u64, at: u64| {
        let fill = Fill {
            id: format!("1/{id}/s"),
            segment: id,
            node: "s".to_string(),
            source: "t".to_string(),
            from: "north".to_string(),
            to: "south".to_string(),
            bytes: 1,
            rate: 1.0,
            settles: None,
        };
        SettlementEntry::StartFill(StartedFill::new(&fill, at))
    };
    assert_eq!(ledger.apply(&fill(0, 1_000)), Ok(ApplyOutcome::New));
    assert_eq!(ledger.apply(&fill(0, 1_000)), Ok(ApplyOutcome::Duplicate));
    for id in 1..40_000 {
        ledger.apply(&fill(id, 1_000 + id / 100)).unwrap();
    }
    let kept = ledger.started_fills().count();
    assert!((8_000..=16_400).contains(&kept), "{kept} fills are kept");
    assert!(ledger.has_started("1/39999/s", "north"));
    ledger.apply(&fill(99_999, 100_000)).unwrap();
    assert_eq!(ledger.started_fills().count(), 1);
}
