//! Tests of the shares of fleet-wide quotas in a simulated fleet: when the units taken from a shrunk share are
//! released, and how many units a broker may use without a lease.

use std::collections::BTreeMap;

use dunepond_consensus::*;
use dunepond_quota::{DemandReport, LocalQuota, QuotaEntry, QuotaError, QuotaShare, SharedQuotas};
use dunepond_simulation::fleet::Fleet;
use rstest::rstest;

fn shared_quotas() -> SharedQuotas {
    SharedQuotas::new(vec![String::from("cold")], 7, 0.35, 500).unwrap()
}

fn set_shares(broker: &str, units: u32) -> Command {
    let share = QuotaShare { broker: broker.to_string(), quota: String::from("cold"), units };
    Command::Quota(QuotaEntry::SetShares { shares: vec![share] })
}

/// A fleet of five voters and two other brokers, in which all units above the floors are leased to n7.
fn fleet_with_leases(seed: u64) -> Fleet {
    let mut fleet = Fleet::with_map(5, 2, seed);
    let report = DemandReport { shared: shared_quotas(), ..DemandReport::default() };
    for broker in &mut fleet.brokers {
        broker.lease_client.as_mut().unwrap().set_demand_report(Some(report.clone()));
    }
    fleet.run_for(3.0);
    fleet.propose(Command::Quota(QuotaEntry::Configure(shared_quotas()))).unwrap();
    fleet.run_for(0.2);
    for broker in ["n6", "n7"] {
        fleet.propose(Command::Quota(QuotaEntry::AddBroker { broker: broker.to_string() })).unwrap();
        fleet.run_for(0.2);
    }
    fleet.propose(set_shares("n7", 650_000)).unwrap();
    fleet.run_for(1.0);
    assert_eq!(available_units(&fleet, 6), 700_000);
    fleet
}

/// The number of units of the quota `cold` that broker `n` may use now.
fn available_units(fleet: &Fleet, n: usize) -> u32 {
    let now = fleet.clock(n);
    let active_config = fleet.brokers[n].lease_client.as_ref().unwrap().active_config();
    let quota_view = active_config.quota(now);
    LocalQuota::new(&shared_quotas(), f64::NEG_INFINITY).available_units(
        quota_view.allocation,
        quota_view.lease_valid,
        "cold",
        now,
    )
}

fn reserved_units(fleet: &Fleet) -> u64 {
    fleet.state(fleet.leader().unwrap()).quota.reserved_units("cold")
}

/// Shrinks the quota share of n7, and returns the time in seconds until the units taken from it are released.
fn release_seconds(fleet: &mut Fleet) -> f64 {
    fleet.propose(set_shares("n7", 0)).unwrap();
    let shrunk_at = fleet.now;
    assert!(matches!(
        fleet.propose(set_shares("n6", 10)),
        Err(Rejection::Quota(QuotaError::ExceedsTotal { .. }))
    ));
    assert!(fleet.run_until(9.0, |fleet| fleet.leader().is_some() && reserved_units(fleet) == 0));
    fleet.now - shrunk_at
}

/// The lease lasts 1 s; query timeout and quota window are 0.5 s each. The release waits until queries in flight have
/// ended, and then for the quota window. If the broker is partitioned, this wait begins at the end of its lease.
#[rstest]
#[case::acknowledged(false, 1.0, 2.0)]
#[case::partitioned(true, 1.2, 3.2)]
fn shrunk_share_is_released_after_its_last_use(
    #[case] partitioned: bool,
    #[case] min_seconds: f64,
    #[case] max_seconds: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = fleet_with_leases(seed);
    if partitioned {
        fleet.partition(&[&[0, 1, 2, 3, 4, 5]]);
    }
    let seconds = release_seconds(&mut fleet);
    assert!((min_seconds..max_seconds).contains(&seconds), "released after {seconds:.2} s");
    if partitioned {
        assert_eq!(available_units(&fleet, 6), 50_000, "without a lease the broker has its floor");
        let expires_at = fleet.brokers[6].lease_client.as_ref().unwrap().active_config().lease_expires_at();
        assert!(
            fleet.clock(6) > expires_at + 1.05,
            "the release waits for actions in flight and a window after the lease"
        );
    }
    fleet.propose(set_shares("n6", 650_000)).unwrap();
    assert!(fleet.run_until(3.0, |fleet| available_units(fleet, 5) == 700_000));
}

#[test]
fn release_is_leader_only() {
    let mut fleet = fleet_with_leases(3);
    fleet.propose(set_shares("n7", 0)).unwrap();
    fleet.run_for(0.1);
    let generation = fleet.state(fleet.leader().unwrap()).quota.brokers["n7"].shrunk_generation;
    let release = Command::Quota(QuotaEntry::Release { broker: String::from("n7"), generation });
    assert!(matches!(fleet.propose(release), Err(Rejection::Quota(QuotaError::LeaderOnly(_)))));
}

#[test]
fn new_leader_restarts_wait_for_release() {
    let mut fleet = fleet_with_leases(4);
    fleet.propose(set_shares("n7", 0)).unwrap();
    fleet.run_for(0.1);
    let (shrunk_at, leader) = (fleet.now, fleet.leader().unwrap());
    fleet.kill(leader);
    assert!(fleet.run_until(9.0, |fleet| {
        fleet.leader().is_some_and(|n| fleet.state(n).quota.reserved_units("cold") == 0)
    }));
    assert!(fleet.now - shrunk_at > 1.9, "released after {:.2} s", fleet.now - shrunk_at);
    let no_shares: BTreeMap<String, u32> = BTreeMap::new();
    let allocation = fleet.state(fleet.leader().unwrap()).quota.allocation_for("n7").unwrap();
    assert_eq!(allocation.leased_units, no_shares);
}
