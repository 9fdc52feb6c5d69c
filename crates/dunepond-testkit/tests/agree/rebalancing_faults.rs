//! Moves of segments while targets die, sources leave, sides are parted, disks fill up and old messages come again.

use std::thread;
use std::time::Duration;

use dunepond_testkit::auditor::{AuditEvent, AuditPhase};
use dunepond_testkit::fleet::{
    Fleet, FleetOptions, QueryOutcome, RecordedPhase, SEGMENT_BYTES, broker_name, outcome_ratio,
};
use dunepond_testkit::links::{CUT, HEALTHY};
use dunepond_testkit::processes::wait_until;
use rstest::rstest;

use super::{GAP, all_but, assert_all_answered, assert_consistent, options};

fn number_of(fleet: &Fleet, number: u64, is: fn(&AuditEvent, u64) -> bool) -> bool {
    fleet.any_event(|act| is(act, number))
}

fn withdrawn(act: &AuditEvent, number: u64) -> bool {
    matches!(act, AuditEvent::Withdrawn { number: of, .. } if *of == number)
}

fn confirmed(act: &AuditEvent, number: u64) -> bool {
    matches!(act, AuditEvent::Confirmed { number: of, .. } if *of == number)
}

/// Half of the bytes are there when its connection ends. What is there is not moved again.
#[test]
fn interrupted_fill_resumes() {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let clients = fleet.clients(0..5, GAP);
    fleet.filler.set_fill_seconds(0.2);
    fleet.filler.fail_next(1);
    let next = fleet.config_version(2, &[0], &[2]);
    fleet.propose(0, &next);
    fleet.wait_active(0..5, 2);
    assert!(fleet.filler.order_count() >= 2, "it never broke off");
    assert_eq!(fleet.filler.moved_bytes(), SEGMENT_BYTES);
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    assert_consistent(&fleet);
}

/// It does not come back: the version is given up at its deadline, everybody goes on with the old map, and the next move
/// without it goes through.
#[test]
fn dead_fill_target_keeps_old_map() {
    let mut fleet = Fleet::start_with_version(FleetOptions { fill_deadline_seconds: 5.0, ..options(3, 5) });
    let clients = fleet.clients(0..5, GAP);
    fleet.filler.fail_node(Some("s-4"));
    let next = fleet.config_version(2, &[0], &[2]);
    fleet.propose(0, &next);
    assert!(wait_until(|| number_of(&fleet, 2, withdrawn)), "it is not given up");
    fleet.wait_active(0..5, 1);
    assert!(!number_of(&fleet, 2, confirmed), "in force with a holder that is half filled");
    let without = fleet.config_version(3, &[0], &[]);
    fleet.propose(0, &without);
    fleet.wait_active(0..5, 3);
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    assert_consistent(&fleet);
}

/// Where one source is gone in the middle of the fill another one takes over.
#[test]
fn leaving_fill_source_is_replaced() {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let clients = fleet.clients(0..5, GAP);
    fleet.filler.set_paused(true);
    let next = fleet.config_version(2, &[0], &[2]);
    fleet.propose(0, &next);
    assert!(wait_until(|| fleet.filler.order_count() > 0), "nothing is filled");
    let first = fleet.filler.orders()[0]["source"].as_str().unwrap().to_string();
    fleet.filler.fail_node(Some(&first));
    fleet.drain_nodes(&[&first]);
    fleet.filler.set_paused(false);
    fleet.wait_active(0..5, 2);
    let orders = fleet.filler.orders();
    assert_ne!(orders[orders.len() - 1]["source"], first, "{orders:?}");
    // A fix of what the drained node owns is refused by now, and not sent to it.
    clients.stop();
    assert_consistent(&fleet);
}

/// The two sides want the same segment at different owners. One side has no majority, and its word is void for good.
#[test]
fn partition_moves_segment_to_one_owner() {
    let mut fleet = Fleet::start_with_version(options(5, 5));
    fleet.partition(&[&[0, 1], &[2, 3, 4]]);
    let clients = fleet.clients(0..5, GAP);
    let (few, many) = (fleet.config_version(2, &[0], &[0]), fleet.config_version(2, &[1], &[0]));
    fleet.place_version(0, &few);
    fleet.place_version(3, &many);
    fleet.brokers[0].reload_config();
    fleet.brokers[3].reload_config();
    fleet.wait_active([2, 3, 4], 2);
    fleet.wait_for_phase(0, AuditPhase::LeaseExpired);
    fleet.links.set_all(&HEALTHY);
    fleet.wait_active(0..5, 2);
    assert!(
        wait_until(|| fleet.log_contains(0, "is not what was agreed on")),
        "its operator is told nothing"
    );
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    assert_consistent(&fleet);
}

/// No promise reaches its disk, one record is torn in the middle. Others lead on; with room again it votes as before.
#[test]
fn leader_with_full_disk_keeps_agreement() {
    let mut fleet = Fleet::start_with_version(FleetOptions { faulty_disks: true, ..options(3, 5) });
    let leader = fleet.leader();
    let rest = all_but(&fleet, leader);
    let clients = fleet.clients(0..5, GAP);
    fleet.set_disk_fault(leader, "brim");
    let next = fleet.config_version(2, &[0, 3], &[2]);
    fleet.propose(rest[0], &next);
    fleet.wait_active(rest.clone(), 2);
    assert!(
        wait_until(|| fleet.log_contains(leader, "this voter is silent")),
        "its operator is told nothing"
    );
    assert_ne!(fleet.leader_of(&rest), leader, "it leads without a disk");
    fleet.set_disk_fault(leader, "");
    fleet.wait_active(0..5, 2);
    // What it promised since stands on its disk.
    fleet.brokers[leader].kill();
    fleet.brokers[leader].start();
    let third = fleet.config_version(3, &[0], &[]);
    fleet.propose(rest[0], &third);
    fleet.wait_active(0..5, 3);
    clients.stop();
    assert_consistent(&fleet);
}

/// All that a leader and another broker told a third in an earlier version comes once more, after two changes.
#[test]
fn messages_of_long_ago_change_nothing() {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let (leader, all) = (broker_name(fleet.leader()), 0..5);
    let pairs: Vec<_> = all.clone().map(broker_name).filter(|of| *of != leader).collect();
    for peer in &pairs {
        fleet.links.record(&leader, peer);
        fleet.links.record(peer, &leader);
    }
    let clients = fleet.clients(all.clone(), GAP);
    let second = fleet.config_version(2, &[0, 3], &[]);
    fleet.propose(4, &second);
    fleet.wait_active(all.clone(), 2);
    let third = fleet.config_version(3, &[], &[]);
    fleet.propose(4, &third);
    fleet.wait_active(all.clone(), 3);
    let mut brought = 0;
    for peer in &pairs {
        brought += fleet.links.replay(&leader, peer).0 + fleet.links.replay(peer, &leader).0;
    }
    assert!(brought > 0, "nothing was kept");
    thread::sleep(Duration::from_secs_f64(fleet.options.lease_seconds));
    let late: Vec<_> = all.clone().map(|i| fleet.phase(i)).collect();
    let active =
        |recorded: &RecordedPhase| recorded.phase == AuditPhase::Active && recorded.last_version == 3;
    assert!(late.iter().all(|phase| phase.as_ref().is_some_and(active)), "{late:?}");
    // The second version's file is known under its number, and stays over.
    let fourth = fleet.config_version(4, &[0], &[]);
    fleet.propose(4, &fourth);
    fleet.wait_active(all, 4);
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    assert_consistent(&fleet);
}

/// Its whole folder is yesterday's, when another owned the segments; nobody can tell it so yet.
#[rstest]
#[case::a_voter(2)]
#[case::no_voter(4)]
fn old_folder_sends_no_stale_fix(#[case] broker: usize) {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let old = fleet.brokers[broker].copy_folder_to_scratch();
    let next = fleet.config_version(2, &[0, 1, 2, 3, 4, 5], &[]);
    fleet.propose(0, &next);
    fleet.wait_active(0..5, 2);
    fleet.brokers[broker].kill();
    fleet.brokers[broker].restore_folder(&old);
    fleet.links.set_around(&[&broker_name(broker)], &CUT);
    fleet.brokers[broker].start();
    assert!(wait_until(|| fleet.brokers[broker].ready()));
    let clients = fleet.clients([broker], GAP);
    thread::sleep(Duration::from_secs_f64(fleet.options.lease_seconds));
    let outcomes = clients.stop();
    let fixes = |one: &QueryOutcome| !one.is_idempotent();
    assert_eq!(
        outcome_ratio(&outcomes, fixes, |one| one.status == Some(200)),
        0.0,
        "fixes by yesterday's map"
    );
    assert!(outcome_ratio(&outcomes, QueryOutcome::is_idempotent, |one| one.status == Some(200)) > 0.95);
    fleet.links.set_all(&HEALTHY);
    fleet.wait_active(0..5, 2);
    let clients = fleet.clients(0..5, GAP);
    thread::sleep(Duration::from_millis(500));
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    assert_consistent(&fleet);
}
