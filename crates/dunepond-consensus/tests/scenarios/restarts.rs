//! Scenarios of changes to another configuration version while brokers are killed and restarted with their data
//! folders.

use dunepond_consensus::*;
use dunepond_simulation::fleet::Fleet;
use rstest::rstest;

use crate::support::{
    assert_activated_within, assert_active_everywhere, fill_completed, is_joint, propose, propose_with_fill,
};

#[rstest]
#[case::before_commit(0.0)]
#[case::at_commit(0.02)]
#[case::early_in_joint_step(0.1)]
#[case::late_in_joint_step(0.9)]
#[case::at_activation(1.0)]
#[case::after_activation(1.3)]
fn change_survives_kill_of_leader(#[case] after: f64, #[values(3, 4, 5)] seed: u64) {
    let mut fleet = Fleet::with_map(5, 2, seed);
    fleet.propose(propose(2)).unwrap();
    fleet.run_for(after);
    let leader = fleet.leader().unwrap();
    fleet.kill(leader);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()));
    let new_leader = fleet.leader().unwrap();
    // If the leader was killed before version 2 was committed, the version is lost unless another voter had received
    // it.
    let number = fleet.state(new_leader).highest_number;
    assert!(number == 2 || after < 0.05, "a committed version is lost");
    if number == 2 {
        assert_activated_within(&mut fleet, 8.0);
    }
    fleet.start(leader);
    assert!(
        fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(number))
            && fleet.all_have_leases())
    );
}

#[test]
fn change_waits_for_fill_after_kill_of_leader() {
    let mut fleet = Fleet::with_map(5, 1, 6);
    fleet.propose(propose_with_fill(2)).unwrap();
    fleet.run_until(5.0, is_joint);
    let leader = fleet.leader().unwrap();
    fleet.kill(leader);
    fleet.run_for(2.5);
    assert!(is_joint(&fleet), "a version is activated without its required fill");
    assert_eq!(fleet.propose(fill_completed(2)), Ok(()));
    assert_activated_within(&mut fleet, 8.0);
    assert_eq!(fleet.propose(fill_completed(2)).unwrap_err(), Rejection::NotProposed(2));
}

#[test]
fn restart_in_joint_step_keeps_both_versions() {
    let mut fleet = Fleet::with_map(5, 2, 17);
    fleet.propose(propose_with_fill(2)).unwrap();
    fleet.run_until(5.0, is_joint);
    fleet.kill(6);
    fleet.start(6);
    assert_eq!(fleet.phase(6), ConfigPhase::LeaseExpired(1));
    fleet.run_until(2.0, |fleet| fleet.has_lease(6));
    let config = fleet.brokers[6].lease_client.as_ref().unwrap().active_config();
    assert!(
        matches!(config.owner(1, fleet.clock(6)), SegmentOwner::Unavailable(_)),
        "the owner of segment 1 differs between versions 1 and 2"
    );
    assert_eq!(config.owner(0, fleet.clock(6)), SegmentOwner::Node("s0b"));
}

#[test]
fn proposal_in_snapshot_is_withdrawn_after_full_restart() {
    let mut fleet = Fleet::with_map(3, 0, 31);
    fleet.propose(propose_with_fill(2)).unwrap();
    fleet.run_until(5.0, is_joint);
    // When voter 0 returns with an empty folder, the other voters take a snapshot, which contains the proposal.
    fleet.kill(0);
    fleet.wipe_folder(0);
    fleet.start(0);
    assert!(fleet.run_until(3.0, |fleet| fleet.brokers[0].voter.as_ref().unwrap().has_state()
        && fleet.all_have_leases()));
    fleet.run_for(0.5);
    (0..3).for_each(|n| fleet.kill(n));
    (0..3).for_each(|n| fleet.start(n));
    assert!(
        fleet.run_until(12.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(1))),
        "version 2 is not withdrawn, although its fill was never completed"
    );
}

#[test]
fn first_voter_founds_fleet_once_all_are_up() {
    let mut fleet = Fleet::new(3, 0, 27);
    fleet.kill(2);
    fleet.run_for(5.0);
    assert_eq!(
        fleet.leader(),
        None,
        "the fleet is founded although the missing voter may know committed entries"
    );
    fleet.start(2);
    assert!(fleet.run_until(5.0, |fleet| fleet.all_have_leases()));
    let founded = |n: usize| fleet.brokers[n].log.iter().any(|line| line.contains("founded"));
    assert_eq!([founded(0), founded(1), founded(2)], [true, false, false]);
}

#[test]
fn change_completes_during_rolling_restart() {
    let mut fleet = Fleet::with_map(5, 2, 28);
    fleet.propose(propose(2)).unwrap();
    for n in 0..7 {
        fleet.kill(n);
        fleet.run_for(0.3);
        fleet.start(n);
        fleet.run_for(0.7);
    }
    assert_active_everywhere(&mut fleet);
    let leader = fleet.leader().unwrap();
    assert!(fleet.run_until(5.0, |fleet| {
        (0..5).all(|n| fleet.state(leader).folder_starts[&format!("n{}", n + 1)].start_count == 2)
    }));
}
