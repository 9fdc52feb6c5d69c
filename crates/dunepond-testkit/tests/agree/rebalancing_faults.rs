//! Segment moves while target nodes fail, source nodes drain, the network is partitioned, disks fill up and old messages are
//! delivered again.

use std::thread;
use std::time::Duration;

use dunepond_testkit::auditor::{AuditEvent, AuditPhase};
use dunepond_testkit::fleet::{
    Fleet, FleetOptions, QueryOutcome, RecordedPhase, SEGMENT_BYTES, broker_name, outcome_ratio,
};
use dunepond_testkit::links::{HEALTHY, PARTITIONED};
use dunepond_testkit::processes::wait_until;
use rstest::rstest;

use super::{QUERY_PAUSE, all_but, assert_all_answered, assert_consistent, options};

fn any_event_of_version(fleet: &Fleet, version_number: u64, matches: fn(&AuditEvent, u64) -> bool) -> bool {
    fleet.has_event(|event| matches(event, version_number))
}

fn is_withdrawn(event: &AuditEvent, version_number: u64) -> bool {
    matches!(event, AuditEvent::Withdrawn { number, .. } if *number == version_number)
}

fn is_confirmed(event: &AuditEvent, version_number: u64) -> bool {
    matches!(event, AuditEvent::Confirmed { number, .. } if *number == version_number)
}

/// The connection of a fill ends after half of the bytes. The second attempt must not move these bytes again.
#[test]
fn interrupted_fill_resumes() {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    fleet.fill_service.set_fill_seconds(0.2);
    fleet.fill_service.fail_next_fills(1);
    let next = fleet.config_version(2, &[0], &[2]);
    fleet.propose(0, &next);
    fleet.wait_for_active_version(0..5, 2);
    assert!(fleet.fill_service.fill_request_count() >= 2, "the fill was not interrupted");
    assert_eq!(fleet.fill_service.moved_bytes(), SEGMENT_BYTES);
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    assert_consistent(&fleet);
}

/// The target node of a fill fails for good. The change is withdrawn at its deadline, all brokers continue with the old map,
/// and the next change, which does not need this node, succeeds.
#[test]
fn failed_fill_target_keeps_old_map() {
    let mut fleet =
        Fleet::start_with_active_version(FleetOptions { fill_deadline_seconds: 5.0, ..options(3, 5) });
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    fleet.fill_service.set_failing_node(Some("s-4"));
    let next = fleet.config_version(2, &[0], &[2]);
    fleet.propose(0, &next);
    assert!(wait_until(|| any_event_of_version(&fleet, 2, is_withdrawn)), "version 2 was not withdrawn");
    fleet.wait_for_active_version(0..5, 1);
    assert!(
        !any_event_of_version(&fleet, 2, is_confirmed),
        "version 2 was confirmed with a half-filled replica"
    );
    let without_failed_node = fleet.config_version(3, &[0], &[]);
    fleet.propose(0, &without_failed_node);
    fleet.wait_for_active_version(0..5, 3);
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    assert_consistent(&fleet);
}

/// The source node of a fill drains and fails during the fill. Another source has to take over.
#[test]
fn draining_fill_source_is_replaced() {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    fleet.fill_service.set_paused(true);
    let next = fleet.config_version(2, &[0], &[2]);
    fleet.propose(0, &next);
    assert!(
        wait_until(|| fleet.fill_service.fill_request_count() > 0),
        "the fill service received no fill request"
    );
    let first_source = fleet.fill_service.fill_requests()[0]["source"].as_str().unwrap().to_string();
    fleet.fill_service.set_failing_node(Some(&first_source));
    fleet.drain_nodes(&[&first_source]);
    fleet.fill_service.set_paused(false);
    fleet.wait_for_active_version(0..5, 2);
    let fill_requests = fleet.fill_service.fill_requests();
    assert_ne!(
        fill_requests[fill_requests.len() - 1]["source"],
        first_source,
        "the last fill request still names the failed source: {fill_requests:?}"
    );
    // Not all queries may have been served: non-idempotent parts of segments that the draining node owns are refused.
    clients.stop();
    assert_consistent(&fleet);
}

/// The two sides of a partition propose different owners for the same segment. The proposal of the minority must never take
/// effect.
#[test]
fn partition_moves_segment_to_one_owner() {
    let mut fleet = Fleet::start_with_active_version(options(5, 5));
    fleet.partition(&[&[0, 1], &[2, 3, 4]]);
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    let (minority_version, majority_version) =
        (fleet.config_version(2, &[0], &[0]), fleet.config_version(2, &[1], &[0]));
    fleet.write_version(0, &minority_version);
    fleet.write_version(3, &majority_version);
    fleet.brokers[0].reload_config();
    fleet.brokers[3].reload_config();
    fleet.wait_for_active_version([2, 3, 4], 2);
    fleet.wait_for_phase(0, AuditPhase::LeaseExpired);
    fleet.links.set_all_conditions(&HEALTHY);
    fleet.wait_for_active_version(0..5, 2);
    assert!(
        wait_until(|| fleet.log_contains(0, "is not what was agreed on")),
        "the minority did not log that its version lost"
    );
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    assert_consistent(&fleet);
}

/// The leader's disk is full: no vote or entry can be stored, and one record is cut off in the middle. Another broker has to
/// become leader, and the first one has to vote again once there is space.
#[test]
fn leader_with_full_disk_keeps_agreement() {
    let mut fleet =
        Fleet::start_with_active_version(FleetOptions { disk_faults_enabled: true, ..options(3, 5) });
    let leader = fleet.wait_for_leader();
    let rest = all_but(&fleet, leader);
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    fleet.set_disk_fault(leader, "brim");
    let next = fleet.config_version(2, &[0, 3], &[2]);
    fleet.propose(rest[0], &next);
    fleet.wait_for_active_version(rest.clone(), 2);
    assert!(
        wait_until(|| fleet.log_contains(leader, "this voter is silent")),
        "the leader with the full disk did not log that it stopped voting"
    );
    assert_ne!(fleet.wait_for_leader_of(&rest), leader, "the broker with the full disk is still the leader");
    fleet.set_disk_fault(leader, "");
    fleet.wait_for_active_version(0..5, 2);
    // After a crash the broker has to recover from its disk what it has stored since the space came back.
    fleet.brokers[leader].kill();
    fleet.brokers[leader].start();
    let third = fleet.config_version(3, &[0], &[]);
    fleet.propose(rest[0], &third);
    fleet.wait_for_active_version(0..5, 3);
    clients.stop();
    assert_consistent(&fleet);
}

/// All messages between the leader and the other brokers from before two changes are delivered again afterwards.
#[test]
fn replayed_old_messages_change_nothing() {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let (leader, all) = (broker_name(fleet.wait_for_leader()), 0..5);
    let peers: Vec<_> = all.clone().map(broker_name).filter(|name| *name != leader).collect();
    for peer in &peers {
        fleet.links.start_recording(&leader, peer);
        fleet.links.start_recording(peer, &leader);
    }
    let clients = fleet.start_clients(all.clone(), QUERY_PAUSE);
    let second = fleet.config_version(2, &[0, 3], &[]);
    fleet.propose(4, &second);
    fleet.wait_for_active_version(all.clone(), 2);
    let third = fleet.config_version(3, &[], &[]);
    fleet.propose(4, &third);
    fleet.wait_for_active_version(all.clone(), 3);
    let mut replayed_count = 0;
    for peer in &peers {
        replayed_count += fleet.links.replay(&leader, peer).0 + fleet.links.replay(peer, &leader).0;
    }
    assert!(replayed_count > 0, "no message was replayed");
    thread::sleep(Duration::from_secs_f64(fleet.options.lease_seconds));
    let phases: Vec<_> = all.clone().map(|i| fleet.last_phase(i)).collect();
    let is_active_on_third =
        |recorded: &RecordedPhase| recorded.phase == AuditPhase::Active && recorded.last_version == 3;
    assert!(
        phases.iter().all(|phase| phase.as_ref().is_some_and(is_active_on_third)),
        "not all brokers are still active on version 3: {phases:?}"
    );
    // The brokers still accept the next version after the replayed messages of the second one.
    let fourth = fleet.config_version(4, &[0], &[]);
    fleet.propose(4, &fourth);
    fleet.wait_for_active_version(all, 4);
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    assert_consistent(&fleet);
}

/// A broker restarts with an outdated copy of its folder, from before all segments changed owners, and is cut off from the
/// others. It must not send non-idempotent parts by the outdated map.
#[rstest]
#[case::voter(2)]
#[case::non_voter(4)]
fn outdated_folder_sends_no_non_idempotent_part(#[case] broker: usize) {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let old_folder = fleet.brokers[broker].copy_folder_to_scratch();
    let next = fleet.config_version(2, &[0, 1, 2, 3, 4, 5], &[]);
    fleet.propose(0, &next);
    fleet.wait_for_active_version(0..5, 2);
    fleet.brokers[broker].kill();
    fleet.brokers[broker].restore_folder(&old_folder);
    fleet.links.set_conditions_around(&[&broker_name(broker)], &PARTITIONED);
    fleet.brokers[broker].start();
    assert!(wait_until(|| fleet.brokers[broker].is_ready()));
    let clients = fleet.start_clients([broker], QUERY_PAUSE);
    thread::sleep(Duration::from_secs_f64(fleet.options.lease_seconds));
    let outcomes = clients.stop();
    let is_non_idempotent = |outcome: &QueryOutcome| !outcome.is_idempotent();
    assert_eq!(
        outcome_ratio(&outcomes, is_non_idempotent, |outcome| outcome.status == Some(200)),
        0.0,
        "non-idempotent queries were served by the outdated map"
    );
    let served = outcome_ratio(&outcomes, QueryOutcome::is_idempotent, |outcome| outcome.status == Some(200));
    assert!(served > 0.95, "only {served} of the idempotent queries were served");
    fleet.links.set_all_conditions(&HEALTHY);
    fleet.wait_for_active_version(0..5, 2);
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    thread::sleep(Duration::from_millis(500));
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    assert_consistent(&fleet);
}
