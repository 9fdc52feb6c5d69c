//! Scenarios of changes to another configuration version while links between brokers are blocked, lossy or slow.

use dunepond_consensus::*;
use dunepond_simulation::fleet::{Fleet, LinkConditions};
use rstest::rstest;

use crate::support::{assert_active_everywhere, propose};

#[rstest]
#[case::two_against_three(vec![&[0, 1, 5][..], &[2, 3, 4, 6]], Some(2))]
#[case::one_one_three(vec![&[0, 5][..], &[1], &[2, 3, 4, 6]], Some(2))]
#[case::no_majority(vec![&[0, 1, 5][..], &[2, 3], &[4, 6]], None)]
fn only_side_with_majority_completes_change(
    #[case] groups: Vec<&[usize]>,
    #[case] activated: Option<u64>,
    #[values(8, 9)] seed: u64,
) {
    let mut fleet = Fleet::with_map(5, 2, seed);
    fleet.propose(propose(2)).unwrap();
    fleet.run_for(0.05);
    fleet.partition(&groups);
    fleet.run_for(8.0);
    match activated {
        // Brokers on the side of the partition with a majority of the voters continue. Those on the other side act on
        // the strictest rules that they know.
        Some(number) => groups
            .last()
            .unwrap()
            .iter()
            .for_each(|n| assert_eq!(fleet.phase(*n), ConfigPhase::Active(number))),
        None => {
            assert!(!fleet.invariants.activated_at.contains_key(&2), "nothing changes without a majority")
        }
    }
    assert_eq!(fleet.phase(0), ConfigPhase::LeaseExpired(1));
    let config = fleet.brokers[0].lease_client.as_ref().unwrap().active_config();
    let now = fleet.clock(0);
    assert!(config.rules(now).is_some(), "idempotent parts are still sent, under the known rules");
    assert!(matches!(config.owner(0, now), SegmentOwner::Unavailable(_)));
    fleet.heal();
    assert_active_everywhere(&mut fleet);
}

#[test]
fn total_partition_expires_leases_and_heals() {
    let mut fleet = Fleet::with_map(5, 2, 10);
    fleet.partition(&[]);
    fleet.run_for(5.0);
    assert!(fleet.all_in_phase(&ConfigPhase::LeaseExpired(1)));
    assert_eq!(fleet.leader(), None, "a leader without a majority steps down");
    assert_eq!(fleet.propose(propose(2)), Err(Rejection::NotLeader(None)));
    fleet.heal();
    assert!(
        fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(1)) && fleet.all_have_leases())
    );
}

#[rstest]
fn one_way_partition_replaces_leader(#[values(true, false)] receives: bool, #[values(11, 12, 13)] seed: u64) {
    let mut fleet = Fleet::with_map(5, 2, seed);
    let leader = fleet.leader().unwrap();
    for n in (0..7).filter(|n| *n != leader) {
        fleet.blocked_links.insert(if receives { (leader, n) } else { (n, leader) });
    }
    fleet.run_for(3.0);
    let other = fleet.leader().expect("another voter leads");
    assert_ne!(other, leader);
    fleet.propose(propose(2)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.invariants.activated_at.contains_key(&2)));
    fleet.heal();
    assert_active_everywhere(&mut fleet);
}

#[test]
fn follower_forwards_lease_requests_if_leader_is_unreachable() {
    let mut fleet = Fleet::with_map(5, 2, 14);
    let leader = fleet.leader().unwrap();
    fleet.blocked_links.extend([(6, leader), (leader, 6)]);
    fleet.run_for(1.0);
    for _ in 0..100 {
        fleet.run_for(0.1);
        assert_eq!(fleet.phase(6), ConfigPhase::Active(1));
    }
}

#[test]
fn change_completes_over_lossy_links() {
    let mut fleet = Fleet::with_map(5, 2, 29);
    fleet.links = LinkConditions {
        loss_ratio: 0.2,
        duplicate_ratio: 0.05,
        min_delay_seconds: 0.005,
        max_delay_seconds: 0.05,
        ..LinkConditions::default()
    };
    fleet.propose(propose(2)).unwrap();
    assert_active_everywhere(&mut fleet);
}

#[rstest]
fn slow_voter_does_not_delay_others(#[values(0, 1, 2, 3, 4)] slow: usize) {
    let mut fleet = Fleet::with_map(5, 2, 30);
    fleet.slow_broker = Some(slow);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some_and(|n| n != slow)));
    fleet.propose(propose(2)).unwrap();
    let others =
        |fleet: &Fleet| (0..7).filter(|n| *n != slow).all(|n| fleet.phase(n) == ConfigPhase::Active(2));
    assert!(fleet.run_until(5.0, others));
    // Lease replies reach the slow broker only after the lease that they grant has ended, so it has no valid lease.
    assert!(!matches!(fleet.phase(slow), ConfigPhase::Active(_)));
    assert!(
        fleet.run_until(10.0, |fleet| fleet.state(slow).active_number() == 2),
        "the slow voter still receives the log"
    );
    fleet.slow_broker = None;
    assert_active_everywhere(&mut fleet);
}
