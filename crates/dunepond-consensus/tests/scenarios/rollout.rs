//! Scenarios of proposed versions and their rollout without failures of brokers: activation, withdrawal, first stages
//! and rejected entries.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::{config_version, consensus_config, settlement, shard_map};
use dunepond_simulation::fleet::Fleet;
use dunepond_simulation::settlements;
use rstest::rstest;

use crate::support::{assert_activated_within, is_joint, propose, propose_staged, propose_with_fill};

#[test]
fn activates_before_quiescence_period_when_all_are_joint() {
    let mut fleet = Fleet::with_map(5, 2, 1);
    fleet.run_for(3.0);
    fleet.propose(propose(2)).unwrap();
    assert_activated_within(&mut fleet, 5.0);
    let seconds = fleet.invariants.activated_at[&2] - fleet.invariants.proposed_at[&2];
    assert!(
        seconds < 1.3,
        "activated after {seconds:.2} s; the quiescence period is {:.2} s",
        consensus_config("n1", 5).quiescence_seconds()
    );
}

#[test]
fn activation_waits_for_lease_of_unreachable_broker() {
    let mut fleet = Fleet::with_map(5, 2, 2);
    fleet.run_for(3.0);
    // The lease of the partitioned broker lasts for up to a second more, and the broker may send parts until that lease
    // ends.
    fleet.partition(&[&[0, 1, 2, 3, 4, 5]]);
    fleet.propose(propose(2)).unwrap();
    fleet.run_until(5.0, |fleet| fleet.invariants.activated_at.contains_key(&2));
    let seconds = fleet.invariants.activated_at[&2] - fleet.invariants.proposed_at[&2];
    assert!((1.0..1.8).contains(&seconds), "activated after {seconds:.2} s");
    assert_eq!(fleet.phase(6), ConfigPhase::LeaseExpired(1));
    fleet.heal();
    assert_activated_within(&mut fleet, 5.0);
}

#[test]
fn overdue_fill_withdraws_version_and_its_number_is_not_reused() {
    let mut fleet = Fleet::with_map(5, 1, 7);
    fleet.propose(propose_with_fill(2)).unwrap();
    let unneeded_fill = Command::FillCompleted { number: 2, segment: 1, holder: String::from("s1a") };
    fleet.run_until(2.0, is_joint);
    assert!(matches!(fleet.propose(unneeded_fill), Err(Rejection::FillNotNeeded { .. })));
    assert!(
        fleet.run_until(9.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(1))),
        "version 2 is not withdrawn"
    );
    assert!(matches!(fleet.propose(propose(2)), Err(Rejection::WrongNumber { given: 2, expected: 3 })));
    let leader = fleet.leader().unwrap();
    assert!(
        matches!(&fleet.state(leader).history.back().unwrap().end, ChangeEnd::Withdrawn(why) if why.contains("fills"))
    );
    fleet.propose(propose(3)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(3))));
}

#[test]
fn second_concurrent_proposal_is_rejected() {
    let mut fleet = Fleet::with_map(5, 0, 21);
    fleet.propose(propose(2)).unwrap();
    // The second proposal is rejected both before and after the first one is committed.
    assert_eq!(fleet.propose(propose(2)), Err(Rejection::AlreadyProposed { number: 2 }));
    fleet.run_for(0.2);
    assert_eq!(fleet.propose(propose(3)), Err(Rejection::AlreadyProposed { number: 2 }));
    // If the leader proposes the second version without this check, all voters ignore the entry.
    let leader = fleet.leader().unwrap();
    fleet.propose_unchecked_at(leader, propose(3)).unwrap();
    assert_activated_within(&mut fleet, 5.0);
    assert_eq!(fleet.state(leader).highest_number, 2);
}

/// A version with the fault of the given name, for which the leader rejects it.
fn invalid_version(fault: &str) -> ConfigVersion {
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
    let updates_digest = !["stale digest", "epoch", "no map"].contains(&fault);
    version.map = version.map.map(|map| if updates_digest { map.with_digest() } else { map });
    version
}

#[rstest]
#[case("gap", |rejection: &Rejection| matches!(rejection, Rejection::InvalidMap(_)))]
#[case("stale digest", |rejection: &Rejection| matches!(rejection, Rejection::InvalidMap(_)))]
#[case("owner gone", |rejection: &Rejection| matches!(rejection, Rejection::OwnerExcluded { segment: 0, .. }))]
#[case("epoch", |rejection: &Rejection| matches!(rejection, Rejection::InvalidMap(_)))]
#[case("rules", |rejection: &Rejection| matches!(rejection, Rejection::InvalidRule { key: "budget_share", .. }))]
#[case("follows", |rejection: &Rejection| matches!(rejection, Rejection::WrongBase { given: 0, in_force: 1 }))]
#[case("no map", |rejection: &Rejection| matches!(rejection, Rejection::MapDropped(2)))]
#[case("number", |rejection: &Rejection| matches!(rejection, Rejection::WrongNumber { given: 9, expected: 2 }))]
fn invalid_version_is_rejected_and_ignored(#[case] fault: &str, #[case] is_expected: fn(&Rejection) -> bool) {
    let mut fleet = Fleet::with_map(5, 1, 22);
    let entry = || Command::Propose(Box::new(invalid_version(fault)));
    let rejection = fleet.propose(entry()).unwrap_err();
    assert!(is_expected(&rejection), "{rejection}");
    let leader = fleet.leader().unwrap();
    fleet.propose_unchecked_at(leader, entry()).unwrap();
    fleet.run_for(4.0);
    assert!(fleet.all_in_phase(&ConfigPhase::Active(1)) && fleet.all_have_leases());
    for n in 0..5 {
        assert!(
            fleet.brokers[n].log.iter().any(|line| line.starts_with("ignored")),
            "voter {n} does not ignore the entry"
        );
    }
}

#[test]
fn stage_rolls_back_or_activates() {
    let mut fleet = Fleet::with_map(5, 5, 25);
    let active_count =
        |fleet: &Fleet, number| (0..10).filter(|n| fleet.phase(*n) == ConfigPhase::Active(number)).count();
    fleet.propose(propose_staged(2)).unwrap();
    fleet.run_for(5.0);
    assert!(
        (1..10).contains(&active_count(&fleet, 2)),
        "{} of 10 brokers are in the first stage",
        active_count(&fleet, 2)
    );
    assert_eq!(active_count(&fleet, 1), 0, "a broker outside the first stage acts on version 1 alone");
    // During the rollback no broker may act only on version 1 while another one still acts only on version 2.
    fleet.propose(Command::Withdraw { number: 2, why: String::from("worse") }).unwrap();
    assert!(fleet.run_until(8.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(1))));
    fleet.propose(propose_staged(3)).unwrap();
    fleet.run_for(5.0);
    assert!((1..10).contains(&active_count(&fleet, 3)));
    fleet.propose(Command::Activate { number: 3 }).unwrap();
    assert!(fleet.run_until(3.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(3))));
}

#[test]
fn activation_is_leader_only() {
    let mut fleet = Fleet::with_map(5, 0, 26);
    fleet.propose(propose(2)).unwrap();
    fleet.run_for(0.1);
    assert_eq!(fleet.propose(Command::Activate { number: 2 }), Err(Rejection::LeaderOnly(2)));
}

#[test]
fn duplicate_settlement_counts_once() {
    let mut fleet = Fleet::with_map(5, 1, 23);
    let leader = fleet.leader().unwrap();
    fleet.propose(settlements::settle_command(settlement("one"))).unwrap();
    fleet.propose_unchecked_at(leader, settlements::settle_command(settlement("one"))).unwrap();
    fleet.propose(settlements::settle_command(settlement("two"))).unwrap();
    fleet.run_for(2.0);
    for n in 0..6 {
        let updates = fleet.brokers[n].lease_client.as_mut().unwrap().take_settlement_updates();
        let entries: Vec<Command> = updates
            .into_iter()
            .flat_map(|update| update.entries)
            .map(|record| Command::Settlement(record.entry))
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
fn new_config_waits_for_proposed_version_and_earlier_leases() {
    let mut fleet = Fleet::with_map(3, 1, 32);
    fleet.propose(propose_with_fill(2)).unwrap();
    fleet.run_until(5.0, is_joint);
    fleet.lease_seconds = 0.5;
    for n in 0..4 {
        fleet.kill(n);
        fleet.start(n);
        fleet.run_for(1.0);
    }
    let leases = |fleet: &Fleet| (0..3).map(|n| fleet.state(n).config.lease_seconds).collect::<Vec<_>>();
    assert_eq!(leases(&fleet), [1.0; 3], "the configuration changes while a version is proposed");
    assert!(
        fleet.run_until(12.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(1))
            && leases(fleet) == [0.5; 3])
    );
    let own = ConsensusConfig { lease_seconds: 0.5, ..consensus_config("n1", 3) };
    assert_eq!(
        fleet.state(0).quiescence_seconds(&own),
        consensus_config("n1", 3).quiescence_seconds(),
        "the quiescence period has to cover the earlier leases of one second"
    );
    fleet.propose(propose(3)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(3))));
}
