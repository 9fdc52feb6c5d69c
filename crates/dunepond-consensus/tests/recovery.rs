//! Tests of the recovery of a fleet that has lost the majority of its voters, by an operator's order.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::{config_version, shard_map};
use dunepond_simulation::fleet::Fleet;
use rstest::rstest;

fn propose(number: u64) -> Command {
    Command::Propose(Box::new(config_version(number, Some(shard_map(number, false)))))
}

/// A fleet in which two of the three voters have activated version 2. The third one, which is to remain when the other
/// two are lost, is partitioned from them and does not know version 2.
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
    // Broker 3 acts on version 2 until its lease ends. The simulation checks the fleet's invariants at each step.
    fleet.kill(0);
    fleet.kill(1);
    fleet.heal();
    fleet.recover(2, &order).unwrap();
    // Version 2 is lost by the recovery, so the invariants have to treat it as withdrawn.
    fleet.invariants.withdrawn.insert(2);
    let recovered_at = fleet.now;
    assert!(fleet.run_until(8.0, |fleet| fleet.all_have_leases()));
    assert!(
        fleet.now - recovered_at > 1.5,
        "leases were granted before the quiescence period, after {:.2} s",
        fleet.now - recovered_at
    );
    assert!(fleet.all_in_phase(&ConfigPhase::Active(1)), "version 2 is lost");
    assert!(matches!(fleet.propose(propose(2)), Err(Rejection::WrongNumber { given: 2, expected: 3 })));
    fleet.propose(propose(3)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(3))));
    // The lost voters restart with their folders. They learn from the remaining voter that the fleet was recovered, and
    // their votes do not count.
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
    // One of the lost voters is added again by an ordinary change of voters.
    fleet.change_voters(&[2, 0]).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.voter_indices() == [2, 0] && fleet.are_voters_ready()));
}

#[rstest]
#[case::other_folder(|order: &mut RecoveryOrder| order.folder_id += 1, |error: &RecoveryError| matches!(error, RecoveryError::WrongFolder { .. }))]
#[case::other_position(|order: &mut RecoveryOrder| order.last_index += 1, |error: &RecoveryError| matches!(error, RecoveryError::WrongPosition { .. }))]
#[case::not_a_voter(|order: &mut RecoveryOrder| order.lost_voters.push(String::from("n4")), |error: &RecoveryError| *error == RecoveryError::NotAVoter(String::from("n4")))]
#[case::own_voter(|order: &mut RecoveryOrder| order.lost_voters.push(String::from("n3")), |error: &RecoveryError| *error == RecoveryError::OwnVoter)]
#[case::remaining_majority(|order: &mut RecoveryOrder| drop(order.lost_voters.pop()), |error: &RecoveryError| matches!(error, RecoveryError::MajorityRemains { lost: 1, total: 3 }))]
#[case::earlier_version_number(|order: &mut RecoveryOrder| order.highest_number = 0, |error: &RecoveryError| matches!(error, RecoveryError::VersionTooLow { stated: 0, actual: 1 }))]
#[case::wrong_confirmation(|order: &mut RecoveryOrder| order.confirmation = String::from("yes"), |error: &RecoveryError| *error == RecoveryError::WrongConfirmation)]
fn rejects_invalid_order(
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
fn rejects_order_for_empty_folder() {
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
