//! A majority of the voters is gone for good: what an operator's word brings back, and what it keeps out.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::{config_version, shard_map};
use dunepond_simulation::fleet::Fleet;
use rstest::rstest;

fn propose(number: u64) -> Command {
    Command::Propose(Box::new(config_version(number, Some(shard_map(number, false)))))
}

/// Two of three agree on version 2 and have it in force; the third was cut off, and is what is left.
fn lost() -> Fleet {
    let mut fleet = Fleet::with_map(3, 2, 80);
    fleet.partition(&[&[0, 1, 3], &[2, 4]]);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some_and(|n| n != 2)));
    fleet.propose(propose(2)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.phase(3) == ConfigPhase::Active(2)));
    fleet
}

#[test]
fn one_voter_goes_on_by_a_word_and_nobody_contradicts_what_the_lost_ones_allowed() {
    let mut fleet = lost();
    let word = RecoveryOrder { highest_number: 2, ..fleet.recovery_order(2, &["n1", "n2"]) };
    // A broker that acted on version 2 to the last moment; at each step the fleet's judge looks on.
    fleet.kill(0);
    fleet.kill(1);
    fleet.heal();
    fleet.recover(2, &word).unwrap();
    // What the word gives up is no promise any more.
    fleet.invariants.withdrawn.insert(2);
    let from = fleet.now;
    assert!(fleet.run_until(8.0, |fleet| fleet.all_have_leases()));
    assert!(fleet.now - from > 1.5, "not before the wait: {:.2} s", fleet.now - from);
    assert!(fleet.all_in_phase(&ConfigPhase::Active(1)), "version 2 is gone");
    assert!(matches!(fleet.propose(propose(2)), Err(Rejection::WrongNumber { given: 2, expected: 3 })));
    fleet.propose(propose(3)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(3))));
    // The lost majority comes back with its folders: it is told, and counts for nothing.
    fleet.start(0);
    fleet.start(1);
    for _ in 0..500 {
        fleet.step();
        assert!(
            !fleet.brokers[0].voter.as_ref().unwrap().is_leader()
                && !fleet.brokers[1].voter.as_ref().unwrap().is_leader()
        );
    }
    assert!(fleet.brokers[0].log.iter().any(|line| line.contains("recovered without it")));
    assert!(
        fleet.all_in_phase(&ConfigPhase::Active(3))
            && fleet.all_have_leases()
            && fleet.voter_indices() == [2]
    );
    // By a word of the usual kind they vote again.
    fleet.change_voters(&[2, 0]).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.voter_indices() == [2, 0] && fleet.are_voters_ready()));
}

#[rstest]
#[case::another_folder(|w: &mut RecoveryOrder| w.folder_id += 1, |e: &RecoveryError| matches!(e, RecoveryError::WrongFolder { .. }))]
#[case::another_place(|w: &mut RecoveryOrder| w.last_index += 1, |e: &RecoveryError| matches!(e, RecoveryError::WrongPosition { .. }))]
#[case::no_voter(|w: &mut RecoveryOrder| w.lost_voters.push(String::from("n4")), |e: &RecoveryError| *e == RecoveryError::NotAVoter(String::from("n4")))]
#[case::itself(|w: &mut RecoveryOrder| w.lost_voters.push(String::from("n3")), |e: &RecoveryError| *e == RecoveryError::OwnVoter)]
#[case::a_minority(|w: &mut RecoveryOrder| drop(w.lost_voters.pop()), |e: &RecoveryError| matches!(e, RecoveryError::MajorityRemains { lost: 1, of: 3 }))]
#[case::a_number_of_before(|w: &mut RecoveryOrder| w.highest_number = 0, |e: &RecoveryError| matches!(e, RecoveryError::VersionTooLow { said: 0, is: 1 }))]
#[case::other_words(|w: &mut RecoveryOrder| w.confirmation = String::from("yes"), |e: &RecoveryError| *e == RecoveryError::WrongConfirmation)]
fn a_word_that_does_not_fit_the_folder_is_refused_by_its_kind(
    #[case] spoil: fn(&mut RecoveryOrder),
    #[case] as_told: fn(&RecoveryError) -> bool,
) {
    let mut fleet = Fleet::with_map(3, 1, 81);
    let mut word = fleet.recovery_order(2, &["n1", "n2"]);
    spoil(&mut word);
    let Err(ConsensusError::Recovery(why)) = fleet.recover(2, &word) else { panic!("refused") };
    assert!(as_told(&why) && why.help().len() > 20, "{why}");
}

#[test]
fn an_empty_folder_brings_nothing_back() {
    let word = RecoveryOrder {
        folder_id: 1,
        last_index: 1,
        lost_voters: vec![],
        highest_number: 0,
        confirmation: String::from(RECOVERY_CONFIRMATION),
    };
    let terms = dunepond_simulation::fixtures::consensus_config("n1", 3);
    let why = Voter::recover(terms, StoredVoter::new(), &word, 0.0, 1).err().unwrap();
    assert_eq!(why, ConsensusError::Recovery(RecoveryError::NoState));
    assert!(RecoveryError::UnknownEntry(String::new()).help().contains("build"));
}
