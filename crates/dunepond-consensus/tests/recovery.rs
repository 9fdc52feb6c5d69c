//! Recovery of a fleet that lost the majority of its voters, by an operator's order.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::{config_version, shard_map};
use dunepond_simulation::fleet::Fleet;
use rstest::rstest;

fn propose(number: u64) -> Command {
    Command::Propose(Box::new(config_version(number, Some(shard_map(number, false)))))
}

/// Two of three voters commit and activate version 2; the third was cut off, and is the one that is left.
fn fleet_without_majority() -> Fleet {
    let mut fleet = Fleet::with_map(3, 2, 80);
    fleet.partition(&[&[0, 1, 3], &[2, 4]]);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some_and(|n| n != 2)));
    fleet.propose(propose(2)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.phase(3) == ConfigPhase::Active(2)));
    fleet
}

#[test]
fn recovered_voter_waits_for_leases_of_lost_majority() {
    let mut fleet = fleet_without_majority();
    let order = RecoveryOrder { highest_number: 2, ..fleet.recovery_order(2, &["n1", "n2"]) };
    // Broker 3 acts on version 2 until the end of its lease; the fleet checks its invariants at each step.
    fleet.kill(0);
    fleet.kill(1);
    fleet.heal();
    fleet.recover(2, &order).unwrap();
    // The order gives version 2 up, so the invariants treat it as withdrawn.
    fleet.invariants.withdrawn.insert(2);
    let from = fleet.now;
    assert!(fleet.run_until(8.0, |fleet| fleet.all_have_leases()));
    assert!(fleet.now - from > 1.5, "not before the quiescence period: {:.2} s", fleet.now - from);
    assert!(fleet.all_in_phase(&ConfigPhase::Active(1)), "version 2 is lost");
    assert!(matches!(fleet.propose(propose(2)), Err(Rejection::WrongNumber { given: 2, expected: 3 })));
    fleet.propose(propose(3)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(3))));
    // The lost majority restarts with its folders: it learns of the recovery, and its votes do not count.
    fleet.start(0);
    fleet.start(1);
    for _ in 0..500 {
        fleet.step();
        assert!(
            !fleet.brokers[0].voter.as_ref().unwrap().is_leader()
                && !fleet.brokers[1].voter.as_ref().unwrap().is_leader()
        );
    }
    assert!(fleet.brokers[0].log.iter().any(|line| line.contains("recovered without this voter")));
    assert!(
        fleet.all_in_phase(&ConfigPhase::Active(3))
            && fleet.all_have_leases()
            && fleet.voter_indices() == [2]
    );
    // An ordinary change of voters includes them again.
    fleet.change_voters(&[2, 0]).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.voter_indices() == [2, 0] && fleet.are_voters_ready()));
}

#[rstest]
#[case::other_folder(|w: &mut RecoveryOrder| w.folder_id += 1, |e: &RecoveryError| matches!(e, RecoveryError::WrongFolder { .. }))]
#[case::other_position(|w: &mut RecoveryOrder| w.last_index += 1, |e: &RecoveryError| matches!(e, RecoveryError::WrongPosition { .. }))]
#[case::not_a_voter(|w: &mut RecoveryOrder| w.lost_voters.push(String::from("n4")), |e: &RecoveryError| *e == RecoveryError::NotAVoter(String::from("n4")))]
#[case::own_voter(|w: &mut RecoveryOrder| w.lost_voters.push(String::from("n3")), |e: &RecoveryError| *e == RecoveryError::OwnVoter)]
#[case::remaining_majority(|w: &mut RecoveryOrder| drop(w.lost_voters.pop()), |e: &RecoveryError| matches!(e, RecoveryError::MajorityRemains { lost: 1, total: 3 }))]
#[case::earlier_version_number(|w: &mut RecoveryOrder| w.highest_number = 0, |e: &RecoveryError| matches!(e, RecoveryError::VersionTooLow { stated: 0, actual: 1 }))]
#[case::wrong_confirmation(|w: &mut RecoveryOrder| w.confirmation = String::from("yes"), |e: &RecoveryError| *e == RecoveryError::WrongConfirmation)]
fn rejects_order_that_does_not_fit(
    #[case] invalidate: fn(&mut RecoveryOrder),
    #[case] is_expected: fn(&RecoveryError) -> bool,
) {
    let mut fleet = Fleet::with_map(3, 1, 81);
    let mut order = fleet.recovery_order(2, &["n1", "n2"]);
    invalidate(&mut order);
    let Err(ConsensusError::Recovery(error)) = fleet.recover(2, &order) else {
        panic!("the order has to be rejected")
    };
    assert!(is_expected(&error) && error.help().len() > 20, "{error}");
}

#[test]
fn rejects_empty_folder() {
    let order = RecoveryOrder {
        folder_id: 1,
        last_index: 1,
        lost_voters: vec![],
        highest_number: 0,
        confirmation: String::from(RECOVERY_CONFIRMATION),
    };
    let config = dunepond_simulation::fixtures::consensus_config("n1", 3);
    let error = Voter::recover(config, StoredVoter::new(), &order, 0.0, 1).err().unwrap();
    assert_eq!(error, ConsensusError::Recovery(RecoveryError::NoState));
    assert!(RecoveryError::UnknownEntry(String::new()).help().contains("build"));
}
