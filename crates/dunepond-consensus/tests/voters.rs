//! Tests of changes of voters, one at a time, by an operator's document: whether they complete under failures, and
//! whether removed voters still affect the fleet.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::{config_version, settlement, shard_map};
use dunepond_simulation::fleet::Fleet;
use rstest::rstest;

fn propose(number: u64) -> Command {
    Command::Propose(Box::new(config_version(number, Some(shard_map(number, false)))))
}

fn names(indices: &[usize]) -> Vec<String> {
    indices.iter().map(|n| format!("n{}", n + 1)).collect()
}

/// Changes the voters as an operator does: proposes the list, starts the new voter, and waits until the list is in force.
fn complete_change(fleet: &mut Fleet, to: &[usize]) {
    let before = fleet.voter_indices();
    fleet.change_voters(to).expect("one voter at a time");
    assert!(fleet.run_until(2.0, |fleet| fleet.leader().is_some()));
    let all: Vec<usize> = before.iter().chain(to.iter().filter(|n| !before.contains(n))).copied().collect();
    for n in to.iter().filter(|n| !before.contains(n)) {
        fleet.start_as_voter(*n, &names(&all));
    }
    let is_complete =
        |fleet: &Fleet| fleet.leader().is_some() && fleet.voter_indices() == to && fleet.are_voters_ready();
    assert!(fleet.run_until(5.0, is_complete), "the change from {before:?} to {to:?} does not complete");
}

fn has_logged(fleet: &Fleet, n: usize, text: &str) -> bool {
    fleet.brokers[n].log.iter().any(|line| line.contains(text))
}

#[rstest]
#[case::one_joins(&[0, 1, 2, 3])]
#[case::one_leaves(&[0, 1])]
#[case::one_replaces_another(&[0, 1, 3])]
fn fleet_continues_after_change_of_voters(#[case] to: &[usize]) {
    let mut fleet = Fleet::with_map(3, 2, 40);
    complete_change(&mut fleet, to);
    // As many voters are killed as the new list tolerates. A removed voter still runs, but does not count in
    // majorities.
    fleet.run_for(1.0);
    if to.len() > 2 {
        fleet.kill(to[0]);
    }
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some() && fleet.all_have_leases()));
    fleet.propose(propose(2)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2))));
}

#[test]
fn all_voters_are_replaced_one_by_one() {
    let mut fleet = Fleet::with_map(3, 4, 41);
    (fleet.links.loss_ratio, fleet.links.duplicate_ratio) = (0.05, 0.05);
    let mut list = vec![0, 1, 2];
    for (number, new) in (2..).zip([3, 4, 5]) {
        fleet.propose(propose(number)).unwrap();
        // Each change replaces the leader if it is one of the original voters, otherwise the first voter of the list.
        let leader = fleet.leader().unwrap();
        let removed = if list.contains(&leader) && leader < 3 { leader } else { list[0] };
        let at = list.iter().position(|n| *n == removed).unwrap();
        list[at] = new;
        complete_change(&mut fleet, &list);
        fleet.kill(removed);
        assert!(
            fleet.run_until(8.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(number))
                && fleet.all_have_leases()),
            "version {number} is not active everywhere"
        );
    }
    assert!(list.iter().all(|n| *n > 2));
    fleet.propose(propose(5)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(5))));
    // A broker whose file still lists the original voters, none of which is a voter any more, gets a lease even after a
    // restart, and reports that the voters differ from its file.
    fleet.kill(6);
    fleet.start(6);
    assert!(fleet.run_until(3.0, |fleet| fleet.has_lease(6)));
    let client = fleet.brokers[6].lease_client.as_ref().unwrap();
    let committed: Vec<String> =
        client.voters_differing_from_file().unwrap().iter().map(|voter| voter.name.clone()).collect();
    assert_eq!(committed, names(&list));
}

#[test]
fn leaving_leader_transfers_leadership() {
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
fn only_voter_is_replaced() {
    let mut fleet = Fleet::with_map(1, 2, 51);
    complete_change(&mut fleet, &[1]);
    assert!(fleet.run_until(3.0, |fleet| has_logged(fleet, 0, "stepped down") && fleet.leader() == Some(1)));
    fleet.propose(propose(2)).unwrap();
    assert!(
        fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2)) && fleet.all_have_leases()),
        "{}",
        fleet.summary()
    );
}

#[test]
fn removed_voter_does_not_count_and_redirects_clients() {
    let mut fleet = Fleet::with_map(3, 3, 52);
    // The voter n1 is down while it is removed.
    fleet.kill(0);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()));
    complete_change(&mut fleet, &[3, 1, 2]);
    fleet
        .propose(Command::Settlement(dunepond_settlement::SettlementEntry::Settle(settlement("paid"))))
        .unwrap();
    fleet.run_for(0.5);
    fleet.start(0);
    assert!(fleet.run_until(3.0, |fleet| has_logged(fleet, 0, "removed as a voter")));
    assert!(!fleet.brokers[0].voter.as_ref().unwrap().is_leader());
    // Two of the three voters are down, and the removed voter does not replace one of them in the majority.
    fleet.kill(1);
    fleet.kill(2);
    for _ in 0..500 {
        fleet.step();
        assert_eq!(fleet.leader(), None, "the removed voter does not count in a majority");
    }
    let request = LeaseRequest {
        id: 1,
        broker: String::from("n6"),
        sent_at: 0.0,
        known_versions: Vec::new(),
        joint_version: None,
        run_id: 1,
        known_settlements: 0,
        demand: None,
        overloaded: false,
        forwarded: false,
    };
    let clock = fleet.clock(0);
    let replies = fleet.brokers[0].voter.as_mut().unwrap().handle_lease_request(clock, "n6", request).replies;
    assert!(matches!(&replies[0].1.answer, LeaseAnswer::NotAVoter(others) if others.len() == 3));
    // A broker that only knows the original voters asks the removed voter, which replies with the voters of the list in
    // force.
    fleet.start(1);
    fleet.start(2);
    fleet.kill(5);
    fleet.wipe_folder(5);
    fleet.blocked_links.extend([(5, 2), (5, 3), (5, 4)]);
    fleet.start(5);
    assert!(fleet.run_until(5.0, |fleet| fleet.has_lease(5)), "no lease through n2: {}", fleet.summary());
    assert!(fleet.brokers[5].rejections.contains(&Rejection::NotAVoter(String::from("n1"))));
}

#[test]
fn removed_voters_form_no_fleet() {
    let mut fleet = Fleet::with_map(3, 4, 53);
    for (at, n) in [(0, 3), (1, 4), (2, 5)] {
        let mut list = fleet.voter_indices();
        list[at] = n;
        complete_change(&mut fleet, &list);
    }
    fleet.propose(propose(2)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2))), "{}", fleet.summary());
    // The removed voters restart with their folders, partitioned from all voters in force.
    (0..3).for_each(|n| fleet.kill(n));
    fleet.partition(&[&[0, 1, 2, 6][..], &[3, 4, 5]]);
    (0..3).for_each(|n| fleet.start(n));
    for _ in 0..1000 {
        fleet.step();
        assert!(
            (0..3).all(|n| !fleet.brokers[n].voter.as_ref().unwrap().is_leader()),
            "a removed voter leads at {:.2} s",
            fleet.now
        );
    }
    assert_eq!(fleet.phase(6), ConfigPhase::LeaseExpired(2));
    fleet.heal();
    assert!(
        fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2)) && fleet.all_have_leases())
    );
}

#[test]
fn removed_voter_rejoins_with_its_folder() {
    let mut fleet = Fleet::with_map(3, 1, 54);
    complete_change(&mut fleet, &[0, 1]);
    fleet.run_for(1.0);
    fleet.change_voters(&[0, 1, 2]).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.voter_indices() == [0, 1, 2] && fleet.are_voters_ready()));
    fleet.kill(0);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()), "the voter that rejoined votes again");
}

#[test]
fn pending_change_waits_and_can_be_withdrawn() {
    let mut fleet = Fleet::with_map(3, 1, 55);
    fleet.change_voters(&[0, 1, 2, 3]).unwrap();
    fleet.run_for(3.0);
    assert_eq!(fleet.voter_indices(), [0, 1, 2], "the change is pending");
    assert_eq!(fleet.change_voters(&[0, 1]), Err(Rejection::VotersPending { number: 1 }));
    fleet.change_voters(&[0, 1, 2]).unwrap();
    fleet.run_for(0.5);
    let state = fleet.state(fleet.leader().unwrap());
    assert_eq!((state.voters.number, &state.voters.pending), (2, &None));
    // A broker that starts as a voter after the change was withdrawn does not become a voter.
    fleet.start_as_voter(3, &names(&[0, 1, 2, 3]));
    fleet.run_for(3.0);
    assert!(!fleet.brokers[3].voter.as_ref().unwrap().has_state() && fleet.voter_indices() == [0, 1, 2]);
}

#[rstest]
#[case::no_voters(1, &[], Rejection::NoVoters)]
#[case::duplicate(1, &[0, 1, 2, 2], Rejection::DuplicateVoter(String::from("n3")))]
#[case::earlier_number(0, &[0, 1], Rejection::WrongVotersNumber { given: 0, expected: 1 })]
#[case::unchanged(1, &[0, 1, 2], Rejection::VotersUnchanged)]
#[case::two_join(1, &[0, 1, 2, 3, 4], Rejection::TooManyVoterChanges { joins: names(&[3, 4]), leaves: vec![] })]
#[case::two_leave(1, &[0, 3], Rejection::TooManyVoterChanges { joins: names(&[3]), leaves: names(&[1, 2]) })]
fn invalid_change_is_rejected_and_ignored(
    #[case] number: u64,
    #[case] indices: &[usize],
    #[case] rejection: Rejection,
) {
    let mut fleet = Fleet::with_map(3, 2, 56);
    let voters: Vec<_> = names(indices).into_iter().map(|name| VoterInfo { name, address: None }).collect();
    let (proposed_by, reason) = (String::from("ann"), String::new());
    let entry = Command::ChangeVoters(Box::new(VoterChange {
        number,
        voters,
        proposed_by,
        reason,
        proposed_at_unix_seconds: 0.0,
    }));
    assert_eq!(fleet.propose(entry.clone()), Err(rejection));
    let leader = fleet.leader().unwrap();
    fleet.propose_unchecked_at(leader, entry).unwrap();
    fleet.run_for(0.5);
    assert!((0..3).all(|n| fleet.state(n).voters == fleet.state(leader).voters && fleet.state(n).voters.number == 0));
}

#[rstest]
fn change_of_voters_completes_after_leader_is_killed(
    #[values(0.0, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.3)] after: f64,
    #[values(57, 58)] seed: u64,
) {
    let mut fleet = Fleet::with_map(3, 2, seed);
    let leader = fleet.leader().unwrap();
    let replaced = (leader + 1) % 3;
    let mut list = vec![0, 1, 2];
    list[replaced] = 3;
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
