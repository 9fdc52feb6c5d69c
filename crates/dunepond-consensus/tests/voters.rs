//! Voters that change, one at a time: an operator's word, what becomes of it while things fail, and what those that were
//! voters once can still do.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::{config_version, settlement, shard_map};
use dunepond_simulation::fleet::Fleet;
use rstest::rstest;

fn propose(number: u64) -> Command {
    Command::Propose(Box::new(config_version(number, Some(shard_map(number, false)))))
}

fn names(places: &[usize]) -> Vec<String> {
    places.iter().map(|n| format!("n{}", n + 1)).collect()
}

/// As the operator does it: the word, then the new voter's start; until it is in force.
fn change(fleet: &mut Fleet, to: &[usize]) {
    let before = fleet.voter_indices();
    fleet.change_voters(to).expect("one voter at a time");
    assert!(fleet.run_until(2.0, |fleet| fleet.leader().is_some()));
    let all: Vec<usize> = before.iter().chain(to.iter().filter(|n| !before.contains(n))).copied().collect();
    for n in to.iter().filter(|n| !before.contains(n)) {
        fleet.start_as_voter(*n, &names(&all));
    }
    let done =
        |fleet: &Fleet| fleet.leader().is_some() && fleet.voter_indices() == to && fleet.are_voters_ready();
    assert!(fleet.run_until(5.0, done), "{before:?} to {to:?}");
}

fn log(fleet: &Fleet, n: usize, what: &str) -> bool {
    fleet.brokers[n].log.iter().any(|line| line.contains(what))
}

#[rstest]
#[case::one_joins(&[0, 1, 2, 3])]
#[case::one_leaves(&[0, 1])]
#[case::one_takes_the_place_of_another(&[0, 1, 3])]
fn a_change_of_voters_is_in_force_and_the_new_ones_alone_go_on(#[case] to: &[usize]) {
    let mut fleet = Fleet::with_map(3, 2, 40);
    change(&mut fleet, to);
    // As many of them as may fail do, and one that votes no more is there without being asked.
    fleet.run_for(1.0);
    if to.len() > 2 {
        fleet.kill(to[0]);
    }
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some() && fleet.all_have_leases()));
    fleet.propose(propose(2)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2))));
}

#[test]
fn voters_are_replaced_one_by_one_under_load_until_none_of_the_first_is_left() {
    let mut fleet = Fleet::with_map(3, 4, 41);
    (fleet.links.loss_ratio, fleet.links.duplicate_ratio) = (0.05, 0.05);
    let mut list = vec![0, 1, 2];
    for (number, new) in (2..).zip([3, 4, 5]) {
        fleet.propose(propose(number)).unwrap();
        // The one that leads goes each time.
        let leader = fleet.leader().unwrap();
        let gone = if list.contains(&leader) && leader < 3 { leader } else { list[0] };
        let at = list.iter().position(|n| *n == gone).unwrap();
        list[at] = new;
        change(&mut fleet, &list);
        fleet.kill(gone);
        assert!(
            fleet.run_until(8.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(number))
                && fleet.all_have_leases()),
            "{number}"
        );
    }
    assert!(list.iter().all(|n| *n > 2));
    fleet.propose(propose(5)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(5))));
    // A broker whose file still names the first ones has its lease, also after a restart, and says what to change.
    fleet.kill(6);
    fleet.start(6);
    assert!(fleet.run_until(3.0, |fleet| fleet.has_lease(6)));
    let member = fleet.brokers[6].lease_client.as_ref().unwrap();
    let agreed: Vec<String> =
        member.voters_unlike_file().unwrap().iter().map(|voter| voter.name.clone()).collect();
    assert_eq!(agreed, names(&list));
}

#[test]
fn a_leader_that_leaves_hands_the_lead_on_and_nobody_loses_its_lease() {
    for seed in 42..50 {
        let mut fleet = Fleet::with_map(3, 2, seed);
        fleet.run_for(2.0);
        let leader = fleet.leader().unwrap();
        let stay: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
        fleet.change_voters(&stay).unwrap();
        for _ in 0..300 {
            fleet.step();
            assert!(fleet.all_have_leases(), "seed {seed}: {:.2}\n{}", fleet.now, fleet.summary());
        }
        assert!(fleet.leader().is_some_and(|n| n != leader) && fleet.voter_indices() == stay, "seed {seed}");
    }
}

#[test]
fn the_only_voter_is_replaced_and_steps_down_by_itself() {
    let mut fleet = Fleet::with_map(1, 2, 51);
    change(&mut fleet, &[1]);
    assert!(fleet.run_until(3.0, |fleet| log(fleet, 0, "stepped down") && fleet.leader() == Some(1)));
    fleet.propose(propose(2)).unwrap();
    assert!(
        fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2)) && fleet.all_have_leases()),
        "{}",
        fleet.summary()
    );
}

#[test]
fn a_voter_that_was_removed_votes_for_nothing_and_those_who_ask_it_go_on() {
    let mut fleet = Fleet::with_map(3, 3, 52);
    // From before it was removed.
    fleet.kill(0);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()));
    change(&mut fleet, &[3, 1, 2]);
    fleet
        .propose(Command::Settlement(dunepond_settlement::SettlementEntry::Settle(settlement("paid"))))
        .unwrap();
    fleet.run_for(0.5);
    fleet.start(0);
    assert!(fleet.run_until(3.0, |fleet| log(fleet, 0, "removed as a voter")));
    assert!(!fleet.brokers[0].voter.as_ref().unwrap().is_leader());
    // Of the three that vote two are down: the old one is no second.
    fleet.kill(1);
    fleet.kill(2);
    for _ in 0..500 {
        fleet.step();
        assert_eq!(fleet.leader(), None, "two of the first three, and none of them counts");
    }
    let ask = LeaseRequest {
        id: 1,
        broker: String::from("n6"),
        sent_at: 0.0,
        known_versions: Vec::new(),
        joint_version: None,
        incarnation: 1,
        known_settlements: 0,
        demand: None,
        overloaded: false,
        forwarded: false,
    };
    let clock = fleet.clock(0);
    let told = fleet.brokers[0].voter.as_mut().unwrap().handle_lease_request(clock, "n6", ask).replies;
    assert!(matches!(&told[0].1.answer, LeaseAnswer::NotAVoter(others) if others.len() == 3));
    // A broker that knows only the first voters asks it, is refused by type, and finds the others.
    fleet.start(1);
    fleet.start(2);
    fleet.kill(5);
    fleet.wipe_folder(5);
    fleet.blocked_links.extend([(5, 2), (5, 3), (5, 4)]);
    fleet.start(5);
    assert!(fleet.run_until(5.0, |fleet| fleet.has_lease(5)), "through n2: {}", fleet.summary());
    assert!(fleet.brokers[5].rejections.contains(&Rejection::NotAVoter(String::from("n1"))));
}

#[test]
fn all_that_were_removed_together_are_no_fleet() {
    let mut fleet = Fleet::with_map(3, 4, 53);
    for (at, n) in [(0, 3), (1, 4), (2, 5)] {
        let mut list = fleet.voter_indices();
        list[at] = n;
        change(&mut fleet, &list);
    }
    fleet.propose(propose(2)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2))), "{}", fleet.summary());
    // On their own folders, restarted, and cut from all that vote now.
    (0..3).for_each(|n| fleet.kill(n));
    fleet.partition(&[&[0, 1, 2, 6][..], &[3, 4, 5]]);
    (0..3).for_each(|n| fleet.start(n));
    for _ in 0..1000 {
        fleet.step();
        assert!((0..3).all(|n| !fleet.brokers[n].voter.as_ref().unwrap().is_leader()), "{:.2}", fleet.now);
    }
    assert_eq!(fleet.phase(6), ConfigPhase::LeaseExpired(2));
    fleet.heal();
    assert!(
        fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2)) && fleet.all_have_leases())
    );
}

#[test]
fn one_that_left_can_join_again_on_its_own_folder() {
    let mut fleet = Fleet::with_map(3, 1, 54);
    change(&mut fleet, &[0, 1]);
    fleet.run_for(1.0);
    fleet.change_voters(&[0, 1, 2]).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.voter_indices() == [0, 1, 2] && fleet.are_voters_ready()));
    fleet.kill(0);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()), "it counts");
}

#[test]
fn a_change_whose_new_voter_does_not_come_waits_and_is_given_up_by_a_word() {
    let mut fleet = Fleet::with_map(3, 1, 55);
    fleet.change_voters(&[0, 1, 2, 3]).unwrap();
    fleet.run_for(3.0);
    assert_eq!(fleet.voter_indices(), [0, 1, 2], "it waits");
    assert_eq!(fleet.change_voters(&[0, 1]), Err(Rejection::VotersPending { number: 1 }));
    fleet.change_voters(&[0, 1, 2]).unwrap();
    fleet.run_for(0.5);
    let state = fleet.state(fleet.leader().unwrap());
    assert_eq!((state.voters.number, &state.voters.pending), (2, &None));
    // The one that came too late gets no seat.
    fleet.start_as_voter(3, &names(&[0, 1, 2, 3]));
    fleet.run_for(3.0);
    assert!(!fleet.brokers[3].voter.as_ref().unwrap().has_state() && fleet.voter_indices() == [0, 1, 2]);
}

#[rstest]
#[case::nobody(1, &[], Rejection::NoVoters)]
#[case::twice(1, &[0, 1, 2, 2], Rejection::DuplicateVoter(String::from("n3")))]
#[case::a_number_of_before(0, &[0, 1], Rejection::WrongVotersNumber { given: 0, expected: 1 })]
#[case::the_same(1, &[0, 1, 2], Rejection::VotersUnchanged)]
#[case::two_join(1, &[0, 1, 2, 3, 4], Rejection::TooManyVoterChanges { joins: names(&[3, 4]), leaves: vec![] })]
#[case::two_leave(1, &[0, 3], Rejection::TooManyVoterChanges { joins: names(&[3]), leaves: names(&[1, 2]) })]
fn a_word_that_will_not_do_is_refused_by_its_kind_and_ignored_by_all(
    #[case] number: u64,
    #[case] places: &[usize],
    #[case] why: Rejection,
) {
    let mut fleet = Fleet::with_map(3, 2, 56);
    let voters: Vec<_> = names(places).into_iter().map(|name| VoterInfo { name, address: None }).collect();
    let (who, why_not) = (String::from("ann"), String::new());
    let entry = Command::ChangeVoters(Box::new(VoterChange {
        number,
        voters,
        proposed_by: who,
        reason: why_not,
        proposed_at_unix_seconds: 0.0,
    }));
    assert_eq!(fleet.propose(entry.clone()), Err(why));
    let leader = fleet.leader().unwrap();
    fleet.propose_unchecked_at(leader, entry).unwrap();
    fleet.run_for(0.5);
    assert!((0..3).all(|n| fleet.state(n).voters == fleet.state(leader).voters && fleet.state(n).voters.number == 0));
}

#[rstest]
fn the_leader_dies_at_each_step_of_a_change(
    #[values(0.0, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.3)] after: f64,
    #[values(57, 58)] seed: u64,
) {
    let mut fleet = Fleet::with_map(3, 2, seed);
    let leader = fleet.leader().unwrap();
    let other = (leader + 1) % 3;
    let mut list = vec![0, 1, 2];
    list[other] = 3;
    fleet.change_voters(&list).unwrap();
    fleet.run_for(0.1);
    fleet.start_as_voter(3, &names(&list));
    fleet.run_for(after);
    fleet.kill(leader);
    fleet.run_for(3.0);
    fleet.start(leader);
    assert!(fleet.run_until(8.0, |fleet| fleet.leader().is_some()
        && fleet.voter_indices() == list
        && fleet.are_voters_ready()));
    fleet.propose(propose(2)).unwrap();
    assert!(
        fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2)) && fleet.all_have_leases())
    );
}
