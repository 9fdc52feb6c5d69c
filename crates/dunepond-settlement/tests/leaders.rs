//! Leaders that die: what the next one has to know so that what is bounded over a window stays so.

use std::collections::BTreeMap;

use dunepond_settlement::*;
use rstest::rstest;

const WINDOW: f64 = 600.0;
const CARRY: u64 = 1_000_000;
const SPEED: f64 = 2_000.0;
const FILL: u64 = 100_000;
/// Clocks of leaders differ by so many seconds at most.
const CLOCKS: u64 = 20;

/// For twelve windows south needs more than north may carry, and the leader is killed every `life` seconds: what north
/// carried at most in any stretch of a window, less what clocks differ by, and how many fills began.
fn most_carried(life: f64, resumed: bool) -> (u64, usize) {
    let terms = SettlementTerms {
        window_seconds: WINDOW,
        max_carried_bytes: CARRY,
        max_debt_speed: SPEED,
        max_fill_bytes: CARRY,
        min_fill_rate: 1.0,
        max_fill_rate: 1e6,
        ..SettlementTerms::default()
    };
    let mut book = Balances::new(terms, BrokerPartners::default(), SettlementLedger::default()).unwrap();
    let links = LinkCapacities { rate_caps: BTreeMap::new(), default_rate_cap: 1e9, internal_rate_cap: 1e9 };
    let cold = SlowStartCapacity { window_seconds: 1.0, unit_bytes: 1, nodes: BTreeMap::new() };
    let mut planner = FillPlanner::new("fleet", PlanningRule::MaxMin, 1);
    let (mut began, mut born, mut segment) = (Vec::new(), 0.0, 0);
    let mut now = 0.0;
    while now < 12.0 * WINDOW {
        if now >= born + life {
            (planner, born) = (FillPlanner::new("fleet", PlanningRule::MaxMin, now as u64), now);
            // By a clock of its own.
            let clock = now as u64 + if ((now / life) as u64).is_multiple_of(2) { CLOCKS } else { 0 };
            for begun in book.ledger().started_fills().filter(|_| resumed) {
                let age = clock.saturating_sub(begun.at) as f64;
                planner.resume(&begun.fill(), now - age, false);
                planner.resume(&begun.fill(), now, false);
            }
        }
        let sources = vec![FillSource { node: "north-s".to_string(), partner: "north".to_string() }];
        let need = |segment: u64| FillDemand {
            version: 1,
            segment,
            holder: format!("south-{segment}"),
            holder_partner: "south".to_string(),
            sources: sources.clone(),
            bytes: FILL,
            start: 0,
        };
        let needs: Vec<_> = (segment..segment + 3).map(need).collect();
        for fill in planner.plan(&book, &needs, &links, &cold, None, now).fills {
            // The log has it before it begins.
            book.apply(&SettlementEntry::StartFill(StartedFill::new(&fill, now as u64))).unwrap();
            began.push(now);
            planner.fill_ended(&fill.id, false);
            segment = segment.max(fill.segment + 1);
        }
        now += 5.0;
    }
    // What two clocks may differ by is what a window may be shorter by.
    let stretch = WINDOW - CLOCKS as f64;
    let in_stretch =
        |from: &f64| began.iter().filter(|at| **at >= *from && **at < from + stretch).count() as u64;
    (began.iter().map(in_stretch).max().unwrap_or(0) * FILL, began.len())
}

#[rstest]
#[case::never(f64::INFINITY)]
#[case::every_half_window(WINDOW / 2.0)]
#[case::every_ten_seconds(10.0)]
fn carry_limit_holds_across_leaders(#[case] life: f64) {
    let (most, fills) = most_carried(life, true);
    // A clock that is ahead by twenty seconds lets a window be as much shorter.
    assert!(most <= CARRY, "{most} in a window");
    assert!(fills >= 60, "only {fills} fills in twelve windows: too much is held back");
}

/// The guard that is not there: it is this that holds the bound.
#[test]
fn leader_without_history_exceeds_limit() {
    let (most, _) = most_carried(WINDOW / 2.0, false);
    assert!(most > CARRY, "{most} in a window");
}

#[test]
fn started_fills_are_bounded() {
    let mut ledger = SettlementLedger::default();
    let fill = |id: u64, at: u64| {
        let fill = Fill {
            id: format!("1/{id}/s"),
            segment: id,
            holder: "s".to_string(),
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
    assert!((8_000..=16_400).contains(&kept), "{kept} are kept");
    assert!(ledger.has_started("1/39999/s", "north"));
    ledger.apply(&fill(99_999, 100_000)).unwrap();
    assert_eq!(ledger.started_fills().count(), 1);
}
