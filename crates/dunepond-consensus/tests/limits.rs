//! Parts of shared bounds in a fleet: when a part that went down is settled, and what is left without a lease.

use std::collections::BTreeMap;

use dunepond_consensus::*;
use dunepond_quota::{DemandReport, LocalQuota, QuotaEntry, QuotaError, QuotaShare, SharedQuotas};
use dunepond_simulation::fleet::Fleet;
use rstest::rstest;

fn bounds() -> SharedQuotas {
    SharedQuotas::new(vec![String::from("cold")], 7, 0.35, 500).unwrap()
}

fn parts(broker: &str, units: u32) -> Command {
    let part = QuotaShare { broker: broker.to_string(), quota: String::from("cold"), units };
    Command::Quota(QuotaEntry::SetShares { shares: vec![part] })
}

/// Five voters and two others; all that is spare is leased to n7.
fn leased(seed: u64) -> Fleet {
    let mut fleet = Fleet::with_map(5, 2, seed);
    let report = DemandReport { shared: bounds(), ..DemandReport::default() };
    for broker in &mut fleet.brokers {
        broker.lease_client.as_mut().unwrap().set_demand_report(Some(report.clone()));
    }
    fleet.run_for(3.0);
    fleet.propose(Command::Quota(QuotaEntry::Configure(bounds()))).unwrap();
    fleet.run_for(0.2);
    for broker in ["n6", "n7"] {
        fleet.propose(Command::Quota(QuotaEntry::AddBroker { broker: broker.to_string() })).unwrap();
        fleet.run_for(0.2);
    }
    fleet.propose(parts("n7", 650_000)).unwrap();
    fleet.run_for(1.0);
    assert_eq!(part(&fleet, 6), 700_000);
    fleet
}

fn part(fleet: &Fleet, n: usize) -> u32 {
    let now = fleet.clock(n);
    let acting = fleet.brokers[n].lease_client.as_ref().unwrap().active_config();
    let heard = acting.quota(now);
    LocalQuota::new(&bounds(), f64::NEG_INFINITY).available_units(
        heard.allocation,
        heard.lease_valid,
        "cold",
        now,
    )
}

fn counted(fleet: &Fleet) -> u64 {
    fleet.state(fleet.leader().unwrap()).quota.reserved_units("cold")
}

/// Seconds until the part that went down is let go.
fn settles(fleet: &mut Fleet) -> f64 {
    fleet.propose(parts("n7", 0)).unwrap();
    let from = fleet.now;
    assert!(matches!(fleet.propose(parts("n6", 10)), Err(Rejection::Quota(QuotaError::ExceedsTotal { .. }))));
    assert!(fleet.run_until(9.0, |fleet| fleet.leader().is_some() && counted(fleet) == 0));
    fleet.now - from
}

/// Lease 1 s, query timeout 0.5 s, window 0.5 s: acts and window at least, and the lease before them for who is cut off.
#[rstest]
#[case::heard(false, 1.0, 2.0)]
#[case::cut_off(true, 1.2, 3.2)]
fn a_part_that_went_down_is_settled_once_its_broker_has_surely_let_go(
    #[case] cut: bool,
    #[case] least: f64,
    #[case] most: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = leased(seed);
    if cut {
        fleet.partition(&[&[0, 1, 2, 3, 4, 5]]);
    }
    let took = settles(&mut fleet);
    assert!((least..most).contains(&took), "{took:.2} s");
    if cut {
        assert_eq!(part(&fleet, 6), 50_000, "its floor");
        let over = fleet.brokers[6].lease_client.as_ref().unwrap().active_config().lease_expires_at();
        assert!(fleet.clock(6) > over + 1.05, "acts under way and a window after its lease ran out");
    }
    fleet.propose(parts("n6", 650_000)).unwrap();
    assert!(fleet.run_until(3.0, |fleet| part(fleet, 5) == 700_000));
}

#[test]
fn nobody_but_the_leaders_clock_says_that_a_broker_has_let_go() {
    let mut fleet = leased(3);
    fleet.propose(parts("n7", 0)).unwrap();
    fleet.run_for(0.1);
    let generation = fleet.state(fleet.leader().unwrap()).quota.brokers["n7"].shrunk_generation;
    let word = Command::Quota(QuotaEntry::Release { broker: String::from("n7"), generation });
    assert!(matches!(fleet.propose(word), Err(Rejection::Quota(QuotaError::LeaderOnly(_)))));
}

#[test]
fn a_part_outlasts_its_leader_and_a_new_one_takes_the_long_way() {
    let mut fleet = leased(4);
    fleet.propose(parts("n7", 0)).unwrap();
    fleet.run_for(0.1);
    let (from, leader) = (fleet.now, fleet.leader().unwrap());
    fleet.kill(leader);
    assert!(fleet.run_until(9.0, |fleet| {
        fleet.leader().is_some_and(|n| fleet.state(n).quota.reserved_units("cold") == 0)
    }));
    assert!(fleet.now - from > 1.9, "{:.2} s", fleet.now - from);
    let parts: BTreeMap<String, u32> = BTreeMap::new();
    let told = fleet.state(fleet.leader().unwrap()).quota.allocation_for("n7").unwrap();
    assert_eq!(told.leased_units, parts);
}
