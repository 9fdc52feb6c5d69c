//! One story for each way in which a change may be disturbed. What must hold at every moment is checked by the fleet
//! itself at each step; the stories check what comes of it.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::{config_version, consensus_config, settlement, shard_map};
use dunepond_simulation::fleet::{Fleet, LinkConditions};
use dunepond_simulation::settlements;
use rstest::rstest;

fn propose(number: u64) -> Command {
    Command::Propose(Box::new(config_version(number, Some(shard_map(number, false)))))
}

/// Needs one fill.
fn cold(number: u64) -> Command {
    Command::Propose(Box::new(config_version(number, Some(shard_map(number, true)))))
}

fn filled(number: u64) -> Command {
    Command::FillCompleted { number, segment: 0, holder: format!("cold{number}") }
}

fn staged(number: u64) -> Command {
    let mut version = config_version(number, Some(shard_map(number, false)));
    version.first_stage_ratio = Some(0.5);
    Command::Propose(Box::new(version))
}

fn joint(fleet: &Fleet) -> bool {
    fleet.all_in_phase(&ConfigPhase::Joint(1, 2))
}

/// How the change from 1 to 2 ended at all, seconds allowed.
fn in_force(fleet: &mut Fleet, seconds: f64) {
    assert!(
        fleet.run_until(seconds, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2))
            && fleet.all_have_leases()),
        "version 2 everywhere"
    );
    let (from, last) = (fleet.invariants.proposed_at[&2], fleet.invariants.last_alone_at[&1]);
    assert!(
        last - from <= consensus_config("n1", 5).switch_bound_seconds,
        "version 1 alone until {:.2} s after",
        last - from
    );
}

#[test]
fn a_version_comes_into_force_everywhere_and_sooner_than_the_wait_if_all_have_heard() {
    let mut fleet = Fleet::with_map(5, 2, 1);
    fleet.run_for(3.0);
    fleet.propose(propose(2)).unwrap();
    in_force(&mut fleet, 5.0);
    let took = fleet.invariants.activated_at[&2] - fleet.invariants.proposed_at[&2];
    assert!(took < 1.3, "{took:.2} s, and the wait is {:.2}", consensus_config("n1", 5).quiescence_seconds());
}

#[test]
fn one_that_has_not_heard_is_waited_for_as_long_as_its_lease_may_run() {
    let mut fleet = Fleet::with_map(5, 2, 2);
    fleet.run_for(3.0);
    // It has a lease of up to a second when it stops hearing, and may send to its very end.
    fleet.partition(&[&[0, 1, 2, 3, 4, 5]]);
    fleet.propose(propose(2)).unwrap();
    fleet.run_until(5.0, |fleet| fleet.invariants.activated_at.contains_key(&2));
    let took = fleet.invariants.activated_at[&2] - fleet.invariants.proposed_at[&2];
    assert!((1.0..1.8).contains(&took), "{took:.2} s");
    assert_eq!(fleet.phase(6), ConfigPhase::LeaseExpired(1));
    fleet.heal();
    in_force(&mut fleet, 5.0);
}

#[rstest]
#[case::before_it_is_agreed(0.0)]
#[case::as_it_is_agreed(0.02)]
#[case::early_in_the_joint_step(0.1)]
#[case::late_in_the_joint_step(0.9)]
#[case::as_it_comes_into_force(1.0)]
#[case::after(1.3)]
fn the_leader_is_killed(#[case] after: f64, #[values(3, 4, 5)] seed: u64) {
    let mut fleet = Fleet::with_map(5, 2, seed);
    fleet.propose(propose(2)).unwrap();
    fleet.run_for(after);
    let leader = fleet.leader().unwrap();
    fleet.kill(leader);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()));
    let other = fleet.leader().unwrap();
    // Killed before it was agreed: then it is not, unless another had heard.
    let number = fleet.state(other).highest_number;
    assert!(number == 2 || after < 0.05, "what was agreed on is not forgotten");
    if number == 2 {
        in_force(&mut fleet, 8.0);
    }
    fleet.start(leader);
    assert!(
        fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(number))
            && fleet.all_have_leases())
    );
}

#[test]
fn the_leader_is_killed_while_a_fill_is_waited_for() {
    let mut fleet = Fleet::with_map(5, 1, 6);
    fleet.propose(cold(2)).unwrap();
    fleet.run_until(5.0, joint);
    let leader = fleet.leader().unwrap();
    fleet.kill(leader);
    fleet.run_for(2.5);
    assert!(joint(&fleet), "nothing comes into force without its fill");
    assert_eq!(fleet.propose(filled(2)), Ok(()));
    in_force(&mut fleet, 8.0);
    assert_eq!(fleet.propose(filled(2)).unwrap_err(), Rejection::NotProposed(2));
}

#[test]
fn fills_that_are_not_done_in_time_take_the_version_back_and_its_number_is_gone() {
    let mut fleet = Fleet::with_map(5, 1, 7);
    fleet.propose(cold(2)).unwrap();
    let wrong = Command::FillCompleted { number: 2, segment: 1, holder: String::from("s1a") };
    fleet.run_until(2.0, joint);
    assert!(matches!(fleet.propose(wrong), Err(Rejection::FillNotNeeded { .. })));
    assert!(fleet.run_until(9.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(1))), "taken back");
    assert!(matches!(fleet.propose(propose(2)), Err(Rejection::WrongNumber { given: 2, expected: 3 })));
    let leader = fleet.leader().unwrap();
    assert!(
        matches!(&fleet.state(leader).history.back().unwrap().end, ChangeEnd::Withdrawn(why) if why.contains("fills"))
    );
    fleet.propose(propose(3)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(3))));
}

#[rstest]
#[case::two_against_three(vec![&[0, 1, 5][..], &[2, 3, 4, 6]], Some(2))]
#[case::one_one_three(vec![&[0, 5][..], &[1], &[2, 3, 4, 6]], Some(2))]
#[case::no_majority(vec![&[0, 1, 5][..], &[2, 3], &[4, 6]], None)]
fn partitions_in_the_joint_step(
    #[case] groups: Vec<&[usize]>,
    #[case] comes: Option<u64>,
    #[values(8, 9)] seed: u64,
) {
    let mut fleet = Fleet::with_map(5, 2, seed);
    fleet.propose(propose(2)).unwrap();
    fleet.run_for(0.05);
    fleet.partition(&groups);
    fleet.run_for(8.0);
    match comes {
        // The side with a majority goes on; the other is cut off, on the strictest of what it knows.
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
    let acting = fleet.brokers[0].lease_client.as_ref().unwrap().active_config();
    let now = fleet.clock(0);
    assert!(acting.rules(now).is_some(), "and nothing stops: replayable work has its rules");
    assert!(matches!(acting.owner(0, now), SegmentOwner::Unavailable(_)));
    fleet.heal();
    in_force_late(&mut fleet);
}

fn in_force_late(fleet: &mut Fleet) {
    assert!(
        fleet.run_until(10.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2)) && fleet.all_have_leases()),
        "version 2 everywhere"
    );
}

#[test]
fn all_are_cut_from_all() {
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
fn a_one_way_cut(#[values(true, false)] hears: bool, #[values(11, 12, 13)] seed: u64) {
    let mut fleet = Fleet::with_map(5, 2, seed);
    let leader = fleet.leader().unwrap();
    for n in (0..7).filter(|n| *n != leader) {
        fleet.blocked_links.insert(if hears { (leader, n) } else { (n, leader) });
    }
    fleet.run_for(3.0);
    let other = fleet.leader().expect("another leads");
    assert_ne!(other, leader);
    fleet.propose(propose(2)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.invariants.activated_at.contains_key(&2)));
    fleet.heal();
    in_force_late(&mut fleet);
}

#[test]
fn a_broker_cut_from_the_leader_alone_has_its_lease_through_another_voter() {
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
fn one_that_stood_still_past_its_lease_refuses_in_its_first_turn() {
    let mut fleet = Fleet::with_map(5, 2, 15);
    fleet.pause(6, 5.0);
    fleet.propose(propose(2)).unwrap();
    fleet.run_for(4.95);
    assert!(fleet.invariants.activated_at.contains_key(&2), "the others did not wait for it");
    // As it wakes it has heard nothing yet, and holds a part for the old owner.
    let (acting, wakes) =
        (fleet.brokers[6].lease_client.as_ref().unwrap().active_config(), fleet.clock(6) + 0.05);
    assert_eq!(acting.phase(wakes), ConfigPhase::LeaseExpired(1));
    assert!(matches!(acting.owner(1, wakes), SegmentOwner::Unavailable(_)));
    in_force(&mut fleet, 5.0);
}

/// Stopped, and its clock set back meanwhile. `wakes`: what it shows then, by what it showed
/// last.
fn set_back(wakes: f64, seed: u64) -> Fleet {
    let mut fleet = Fleet::with_map(5, 2, seed);
    // A lease of this moment: its question is older than any reading that follows.
    fleet.run_until(2.0, |fleet| {
        fleet.brokers[6].lease_client.as_ref().unwrap().active_config().lease_expires_at() - fleet.clock(6)
            < 0.8
    });
    let last = fleet.clock(6);
    fleet.pause(6, 5.0);
    fleet.propose(propose(2)).unwrap();
    fleet.run_for(4.95);
    assert!(fleet.invariants.activated_at.contains_key(&2), "the others did not wait for it");
    let by = fleet.clock(6) + 0.05 * fleet.brokers[6].clock_rate - last - wakes;
    fleet.set_clock_back(6, by);
    fleet
}

#[test]
fn one_whose_clock_went_back_behind_its_last_look_refuses_in_its_first_turn() {
    let mut fleet = set_back(-0.1, 15);
    fleet.run_for(0.2);
    let member = fleet.brokers[6].lease_client.as_ref().unwrap();
    assert!(
        matches!(member.distrust_reason(), Some(Rejection::ClockWentBack { .. })),
        "{:?}",
        member.distrust_reason()
    );
    assert!(!fleet.has_lease(6));
}

/// Nothing in it can tell before it hears from others; then the first answer does. The judge excuses it until then.
#[test]
fn one_whose_clock_hid_a_stand_still_is_cut_by_the_first_answer() {
    let mut fleet = set_back(0.1, 15);
    fleet.run_for(0.07);
    assert_eq!(
        (fleet.has_lease(6), fleet.phase(6)),
        (true, ConfigPhase::Active(1)),
        "by its clock its lease lasts"
    );
    fleet.run_for(0.4);
    let member = fleet.brokers[6].lease_client.as_ref().unwrap();
    assert!(
        matches!(member.distrust_reason(), Some(Rejection::ClockDrift { .. })),
        "{:?}",
        member.distrust_reason()
    );
    assert!(!fleet.has_lease(6));
}

#[test]
fn a_leader_that_stood_still_grants_nothing_before_a_majority_confirms_it() {
    let mut fleet = Fleet::with_map(5, 2, 16);
    let leader = fleet.leader().unwrap();
    fleet.pause(leader, 1000.0);
    assert!(fleet.run_until(3.0, |fleet| fleet.leader().is_some()));
    fleet.propose(propose(2)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.invariants.activated_at.contains_key(&2)));
    // It wakes; first of all it reads a question that has just been sent, and it still believes that it leads.
    let ask = LeaseRequest {
        sent_at: 0.0,
        id: 1,
        broker: String::from("n7"),
        known_versions: Vec::new(),
        joint_version: None,
        incarnation: 1,
        known_settlements: 0,
        demand: None,
        overloaded: false,
        forwarded: false,
    };
    let clock = fleet.clock(leader);
    let voter = fleet.brokers[leader].voter.as_mut().unwrap();
    assert!(voter.is_leader() && voter.state().active_number() == 1);
    let mut told = voter.handle_lease_request(clock, "n7", ask).replies;
    told.extend((0..100).flat_map(|n| voter.tick(clock + 0.01 * f64::from(n)).replies));
    assert!(told.iter().all(|(_, told)| told.answer == LeaseAnswer::NoLeader), "{told:?}");
    assert_eq!(told.len(), 1, "and it is answered");
}

#[test]
fn a_broker_restarted_in_the_joint_step_knows_both_sides() {
    let mut fleet = Fleet::with_map(5, 2, 17);
    fleet.propose(cold(2)).unwrap();
    fleet.run_until(5.0, joint);
    fleet.kill(6);
    fleet.start(6);
    assert_eq!(fleet.phase(6), ConfigPhase::LeaseExpired(1));
    fleet.run_until(2.0, |fleet| fleet.has_lease(6));
    let acting = fleet.brokers[6].lease_client.as_ref().unwrap().active_config();
    assert!(
        matches!(acting.owner(1, fleet.clock(6)), SegmentOwner::Unavailable(_)),
        "segment 1 moves from version 1 to 2"
    );
    assert_eq!(acting.owner(0, fleet.clock(6)), SegmentOwner::Node("s0b"));
}

#[test]
fn a_voter_without_its_folder_does_not_make_the_others_forget() {
    let mut fleet = Fleet::with_map(3, 1, 18);
    // Agreed on by 0 and 1 alone.
    fleet.partition(&[&[0, 1, 3]]);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()));
    fleet.propose(settlements::settle_command(settlement("paid"))).unwrap();
    assert!(fleet.run_until(2.0, |fleet| fleet.state(0).settlements.count == 1
        && fleet.state(1).settlements.count == 1));
    // 0 loses its folder, 1 stands still: 0 and 2 are a majority by count, and know nothing of it.
    fleet.kill(0);
    fleet.wipe_folder(0);
    fleet.start(0);
    fleet.pause(1, 6.0);
    fleet.heal();
    fleet.run_for(5.5);
    assert_eq!(fleet.leader(), None, "an empty folder counts for nothing");
    assert!(
        fleet.run_until(8.0, |fleet| (0..3).all(|n| fleet.state(n).settlements.count == 1)),
        "known to all"
    );
    assert!(fleet.brokers[0].voter.as_ref().unwrap().has_state());
    // It counts again: with 1 gone the two others go on.
    fleet.run_for(1.0);
    fleet.kill(1);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()));
    assert_eq!(
        fleet.propose(settlements::settle_command(settlement("paid"))),
        Err(Rejection::AlreadySettled(settlement("paid").id))
    );
}

#[test]
fn a_change_that_stands_in_every_snapshot_ends_after_all_are_restarted() {
    let mut fleet = Fleet::with_map(3, 0, 31);
    fleet.propose(cold(2)).unwrap();
    fleet.run_until(5.0, joint);
    // A folder that takes the place of another is the reason of a snapshot.
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
        "taken back, as its fill was never done"
    );
}

#[test]
fn a_voter_with_an_old_folder_is_taken_for_one_without() {
    let mut fleet = Fleet::with_map(3, 1, 19);
    let old = fleet.brokers[0].disk.clone();
    fleet.kill(0);
    fleet.start(0);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()));
    fleet.run_for(1.0);
    fleet.partition(&[&[0, 1, 3], &[2]]);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some_and(|n| n != 2)));
    fleet.propose(settlements::settle_command(settlement("paid"))).unwrap();
    assert!(fleet.run_until(2.0, |fleet| fleet.state(0).settlements.count == 1));
    fleet.kill(0);
    fleet.brokers[0].disk = old;
    fleet.start(0);
    fleet.pause(1, 6.0);
    fleet.heal();
    fleet.run_for(5.5);
    assert!(
        fleet.brokers[0].log.iter().any(|line| line.contains("later start")),
        "{:?}",
        fleet.brokers[0].log
    );
    assert_eq!(fleet.leader(), None);
    assert!(
        fleet.run_until(8.0, |fleet| (0..3).all(|n| fleet.state(n).settlements.count == 1)),
        "known to all"
    );
}

/// Whenever it starts, beside one that asks for votes and does not know what was agreed on: until a peer has told it of
/// its later start it votes for nobody.
#[test]
fn a_voter_with_an_old_folder_votes_for_nobody_before_it_was_told() {
    for offset in 0..24 {
        let mut fleet = Fleet::with_map(3, 0, 190 + offset);
        let old = fleet.brokers[0].disk.clone();
        fleet.kill(0);
        fleet.start(0);
        assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()));
        fleet.run_for(1.0);
        fleet.partition(&[&[0, 1], &[2]]);
        assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some_and(|n| n != 2)));
        fleet.propose(settlements::settle_command(settlement("paid"))).unwrap();
        assert!(fleet.run_until(2.0, |fleet| fleet.state(0).settlements.count == 1));
        fleet.kill(0);
        fleet.brokers[0].disk = old;
        fleet.pause(1, 4.0);
        fleet.heal();
        fleet.run_for(0.1 + 0.013 * offset as f64);
        fleet.start(0);
        fleet.run_for(3.5);
        assert_ne!(fleet.leader(), Some(2), "offset {offset}: led by one that knows nothing of it");
        assert!(
            fleet.run_until(8.0, |fleet| (0..3).all(|n| fleet.state(n).settlements.count == 1)),
            "offset {offset}"
        );
    }
}

#[test]
fn a_torn_last_record_is_read_without_and_nothing_rested_on_it() {
    let mut fleet = Fleet::with_map(3, 1, 20);
    for n in [0, 1, 2, 0, 1, 2] {
        fleet.brokers[n].tears_next_record = true;
        let _ = fleet.propose(settlements::settle_command(settlement(&format!("at-{}", fleet.now))));
        assert!(fleet.run_until(10.0, |fleet| !fleet.is_running(n)), "it died as it wrote");
        fleet.start(n);
        assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some() && fleet.all_have_leases()));
    }
    fleet.propose(propose(2)).unwrap();
    in_force(&mut fleet, 5.0);
}

#[test]
fn of_two_proposals_at_once_the_first_opens_and_the_second_is_refused() {
    let mut fleet = Fleet::with_map(5, 0, 21);
    fleet.propose(propose(2)).unwrap();
    // Not agreed on yet, and refused; agreed on, and refused.
    assert_eq!(fleet.propose(propose(2)), Err(Rejection::ChangeOpen { open: 2 }));
    fleet.run_for(0.2);
    assert_eq!(fleet.propose(propose(3)), Err(Rejection::ChangeOpen { open: 2 }));
    // From a proposer that does not ask: ignored by all.
    let leader = fleet.leader().unwrap();
    fleet.propose_unchecked_at(leader, propose(3)).unwrap();
    in_force(&mut fleet, 5.0);
    assert_eq!(fleet.state(leader).highest_number, 2);
}

/// As its own check would not let it pass.
fn faulty(fault: &str) -> ConfigVersion {
    let mut version = config_version(2, Some(shard_map(2, false)));
    let map = version.map.as_mut().unwrap();
    match fault {
        "gap" => drop(map.segments.remove(1)),
        "stale digest" => map.digest = String::from("0123"),
        "owner gone" => version.excluded_nodes.removed.push(String::from("s0b")),
        "epoch" => *map = shard_map(1, true),
        "rules" => version.rules.retry_budget_ratio = f64::NAN,
        "follows" => version.based_on = Some(0),
        "no map" => version.map = None,
        "number" => version.number = 9,
        _ => unreachable!(),
    }
    let sealed = !["stale digest", "epoch", "no map"].contains(&fault);
    version.map = version.map.map(|map| if sealed { map.with_digest() } else { map });
    version
}

#[rstest]
#[case("gap", |why: &Rejection| matches!(why, Rejection::InvalidMap(_)))]
#[case("stale digest", |why: &Rejection| matches!(why, Rejection::InvalidMap(_)))]
#[case("owner gone", |why: &Rejection| matches!(why, Rejection::OwnerExcluded { segment: 0, .. }))]
#[case("epoch", |why: &Rejection| matches!(why, Rejection::InvalidMap(_)))]
#[case("rules", |why: &Rejection| matches!(why, Rejection::InvalidRule { key: "budget_share", .. }))]
#[case("follows", |why: &Rejection| matches!(why, Rejection::WrongBase { given: 0, in_force: 1 }))]
#[case("no map", |why: &Rejection| matches!(why, Rejection::MapDropped(2)))]
#[case("number", |why: &Rejection| matches!(why, Rejection::WrongNumber { given: 9, expected: 2 }))]
fn a_faulty_version_is_refused_and_ignored_even_from_a_proposer_that_skips_its_check(
    #[case] fault: &str,
    #[case] as_told: fn(&Rejection) -> bool,
) {
    let mut fleet = Fleet::with_map(5, 1, 22);
    let entry = || Command::Propose(Box::new(faulty(fault)));
    let why = fleet.propose(entry()).unwrap_err();
    assert!(as_told(&why), "{why}");
    let leader = fleet.leader().unwrap();
    fleet.propose_unchecked_at(leader, entry()).unwrap();
    fleet.run_for(4.0);
    assert!(fleet.all_in_phase(&ConfigPhase::Active(1)) && fleet.all_have_leases());
    for n in 0..5 {
        assert!(fleet.brokers[n].log.iter().any(|line| line.starts_with("ignored")), "judged by each voter");
    }
}

#[test]
fn a_settlement_that_is_told_twice_counts_once() {
    let mut fleet = Fleet::with_map(5, 1, 23);
    let leader = fleet.leader().unwrap();
    fleet.propose(settlements::settle_command(settlement("one"))).unwrap();
    fleet.propose_unchecked_at(leader, settlements::settle_command(settlement("one"))).unwrap();
    fleet.propose(settlements::settle_command(settlement("two"))).unwrap();
    fleet.run_for(2.0);
    for n in 0..6 {
        let told = fleet.brokers[n].lease_client.as_mut().unwrap().take_settlement_updates();
        let entries: Vec<Command> = told
            .into_iter()
            .flat_map(|told| told.entries)
            .map(|noted| Command::Settlement(noted.entry))
            .collect();
        assert_eq!(
            entries,
            [settlements::settle_command(settlement("one")), settlements::settle_command(settlement("two"))],
            "n{}",
            n + 1
        );
    }
}

#[test]
fn the_log_and_the_folder_stay_bounded_and_one_that_was_away_is_brought_up_by_a_snapshot() {
    let mut fleet = Fleet::with_map(3, 0, 24);
    let away = (fleet.leader().unwrap() + 1) % 3;
    fleet.kill(away);
    let mut most = 0;
    for n in 0..3000 {
        fleet.propose(settlements::settle_command(settlement(&format!("{n}")))).unwrap();
        if n % 10 == 0 {
            fleet.step();
        }
        most = most.max(fleet.brokers.iter().map(|broker| broker.disk.len()).max().unwrap());
    }
    assert!(most < 2200, "{most} records in a folder");
    fleet.start(away);
    assert!(fleet.run_until(5.0, |fleet| fleet.state(away).settlements.count == 3000));
    assert!(fleet.brokers[away].log.iter().any(|line| line.contains("by a snapshot")));
    assert_eq!(
        fleet.propose(settlements::settle_command(settlement("7"))),
        Err(Rejection::AlreadySettled(settlement("7").id))
    );
}

#[test]
fn a_stage_goes_first_and_has_a_way_back_and_a_way_on() {
    let mut fleet = Fleet::with_map(5, 5, 25);
    let ahead =
        |fleet: &Fleet, number| (0..10).filter(|n| fleet.phase(*n) == ConfigPhase::Active(number)).count();
    fleet.propose(staged(2)).unwrap();
    fleet.run_for(5.0);
    assert!((1..10).contains(&ahead(&fleet, 2)), "{} of 10 go first", ahead(&fleet, 2));
    assert_eq!(ahead(&fleet, 1), 0, "the others are joint");
    // Back: no one may act on 1 alone before the last has left 2.
    fleet.propose(Command::Withdraw { number: 2, why: String::from("worse") }).unwrap();
    assert!(fleet.run_until(8.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(1))));
    fleet.propose(staged(3)).unwrap();
    fleet.run_for(5.0);
    assert!((1..10).contains(&ahead(&fleet, 3)));
    fleet.propose(Command::Activate { number: 3 }).unwrap();
    assert!(fleet.run_until(3.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(3))));
}

#[test]
fn nobody_but_the_leader_says_that_a_version_is_in_force() {
    let mut fleet = Fleet::with_map(5, 0, 26);
    fleet.propose(propose(2)).unwrap();
    fleet.run_for(0.1);
    assert_eq!(fleet.propose(Command::Activate { number: 2 }), Err(Rejection::LeaderOnly(2)));
}

#[test]
fn a_fleet_is_founded_once_all_voters_are_there_and_by_one_of_them() {
    let mut fleet = Fleet::new(3, 0, 27);
    fleet.kill(2);
    fleet.run_for(5.0);
    assert_eq!(fleet.leader(), None, "one may have known what was agreed on");
    fleet.start(2);
    assert!(fleet.run_until(5.0, |fleet| fleet.all_have_leases()));
    let founded = |n: usize| fleet.brokers[n].log.iter().any(|line| line.contains("founded"));
    assert_eq!([founded(0), founded(1), founded(2)], [true, false, false]);
}

#[test]
fn all_are_restarted_one_after_the_other_while_a_version_comes() {
    let mut fleet = Fleet::with_map(5, 2, 28);
    fleet.propose(propose(2)).unwrap();
    for n in 0..7 {
        fleet.kill(n);
        fleet.run_for(0.3);
        fleet.start(n);
        fleet.run_for(0.7);
    }
    in_force_late(&mut fleet);
    let leader = fleet.leader().unwrap();
    assert!(fleet.run_until(5.0, |fleet| {
        (0..5).all(|n| fleet.state(leader).voter_slots[&format!("n{}", n + 1)].start_count == 2)
    }));
}

#[test]
fn a_slow_lossy_fleet_still_comes_to_agree() {
    let mut fleet = Fleet::with_map(5, 2, 29);
    fleet.links = LinkConditions {
        loss_ratio: 0.2,
        duplicate_ratio: 0.05,
        min_delay_seconds: 0.005,
        max_delay_seconds: 0.05,
        ..LinkConditions::default()
    };
    fleet.propose(propose(2)).unwrap();
    in_force_late(&mut fleet);
}

#[rstest]
fn one_voter_behind_links_of_800_ms_that_lose_a_fifth_holds_nobody_up(#[values(0, 1, 2, 3, 4)] slow: usize) {
    let mut fleet = Fleet::with_map(5, 2, 30);
    fleet.slow_broker = Some(slow);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some_and(|n| n != slow)));
    fleet.propose(propose(2)).unwrap();
    let others =
        |fleet: &Fleet| (0..7).filter(|n| *n != slow).all(|n| fleet.phase(n) == ConfigPhase::Active(2));
    assert!(fleet.run_until(5.0, others));
    // Its answers come after the lease that they bring is over: it refuses, and is not mistaken.
    assert!(!matches!(fleet.phase(slow), ConfigPhase::Active(_)));
    assert!(
        fleet.run_until(10.0, |fleet| fleet.state(slow).active_number() == 2),
        "its log comes along all the same"
    );
    fleet.slow_broker = None;
    in_force_late(&mut fleet);
}

#[test]
fn terms_of_another_file_are_agreed_on_once_nothing_is_open_and_the_longest_lease_is_waited_for() {
    let mut fleet = Fleet::with_map(3, 1, 32);
    fleet.propose(cold(2)).unwrap();
    fleet.run_until(5.0, joint);
    fleet.lease_seconds = 0.5;
    for n in 0..4 {
        fleet.kill(n);
        fleet.start(n);
        fleet.run_for(1.0);
    }
    let leases = |fleet: &Fleet| (0..3).map(|n| fleet.state(n).config.lease_seconds).collect::<Vec<_>>();
    assert_eq!(leases(&fleet), [1.0; 3], "not while a version is proposed");
    assert!(
        fleet.run_until(12.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(1))
            && leases(fleet) == [0.5; 3])
    );
    let own = ConsensusConfig { lease_seconds: 0.5, ..consensus_config("n1", 3) };
    assert_eq!(
        fleet.state(0).quiescence_seconds(&own),
        consensus_config("n1", 3).quiescence_seconds(),
        "one of a second may run yet"
    );
    fleet.propose(propose(3)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(3))));
}
