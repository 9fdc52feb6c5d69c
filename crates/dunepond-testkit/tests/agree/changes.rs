//! Changes of the configuration while leaders crash, proposals compete and brokers restart.

use std::thread;
use std::time::Duration;

use dunepond_testkit::auditor::AuditEvent;
use dunepond_testkit::fleet::Fleet;
use dunepond_testkit::processes::wait_until;
use rstest::rstest;
use serde_json::json;

use super::{
    QUERY_PAUSE, all_but, assert_all_answered, assert_consistent, options, settlement, wait_for_joint_phase,
};

#[derive(Clone, Copy, PartialEq)]
enum ChangeStage {
    Proposed,
    Joint,
    /// The fill service has received its first fill request.
    FillRequested,
    Confirmed,
}

#[rstest]
fn leader_killed_during_change(
    #[values(ChangeStage::Proposed, ChangeStage::Joint, ChangeStage::FillRequested, ChangeStage::Confirmed)]
    stage: ChangeStage,
) {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let (leader, all) = (fleet.wait_for_leader(), 0..fleet.options.broker_count);
    let rest = all_but(&fleet, leader);
    let clients = fleet.start_clients(rest.clone(), QUERY_PAUSE);
    fleet.fill_service.set_paused(true);
    let next = fleet.config_version(2, &[0, 3], &[2]);
    // Proposed at a broker that survives: it proposes the version again if the leader's crash loses it.
    let proposer = rest[0];
    fleet.propose(proposer, &next);
    match stage {
        ChangeStage::Proposed => {}
        ChangeStage::Joint => wait_for_joint_phase(&fleet, &rest, 2),
        ChangeStage::FillRequested => {
            assert!(
                wait_until(|| fleet.fill_service.fill_request_count() > 0),
                "the fill service received no fill request"
            );
            fleet.fill_service.set_paused(false);
        }
        ChangeStage::Confirmed => {
            fleet.fill_service.set_paused(false);
            let confirmed = |event: &AuditEvent| matches!(event, AuditEvent::Confirmed { number: 2, .. });
            assert!(wait_until(|| fleet.has_event(confirmed)), "version 2 was not confirmed");
        }
    }
    fleet.brokers[leader].kill();
    fleet.fill_service.set_paused(false);
    fleet.wait_for_active_version(rest.clone(), 2);
    fleet.brokers[leader].start();
    fleet.wait_for_active_version(all, 2);
    assert_all_answered(&clients.stop(), &rest);
    assert_consistent(&fleet);
}

#[test]
fn concurrent_proposals_one_wins() {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    let (mut first, mut second) = (fleet.config_version(2, &[0], &[]), fleet.config_version(2, &[0], &[]));
    (first["why"], second["why"]) = (json!("one"), json!("other"));
    fleet.write_version(3, &first);
    fleet.write_version(4, &second);
    fleet.brokers[3].reload_config();
    fleet.brokers[4].reload_config();
    fleet.wait_for_active_version(0..5, 2);
    let rejected =
        |i| fleet.log_contains(i, "is not what was agreed on") || fleet.log_contains(i, "was used before");
    assert!(wait_until(|| rejected(3) || rejected(4)), "no broker logged that its proposal lost");
    assert!(!(rejected(3) && rejected(4)), "both brokers logged that their proposal lost");
    clients.stop();
    assert_consistent(&fleet);
}

#[test]
fn second_change_waits_for_first() {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    fleet.fill_service.set_paused(true);
    let second = fleet.config_version(2, &[0], &[2]);
    fleet.propose(0, &second);
    wait_for_joint_phase(&fleet, &[0, 1, 2, 3, 4], 2);
    let third = fleet.config_version(3, &[0, 1], &[]);
    fleet.propose(1, &third);
    // The longest that a change waits for leases.
    thread::sleep(Duration::from_secs_f64(fleet.options.switch_bound_seconds));
    assert!(
        !fleet.has_event(|event| matches!(event, AuditEvent::Confirmed { number: 2, .. })),
        "version 2 was confirmed before its replicas were filled"
    );
    assert!(
        !fleet.has_event(|event| matches!(event, AuditEvent::Proposed { number: 3, .. })),
        "version 3 was proposed while the change to version 2 was still in progress"
    );
    fleet.fill_service.set_paused(false);
    fleet.wait_for_active_version(0..5, 3);
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    assert_consistent(&fleet);
}

#[test]
fn rolling_restart_keeps_version() {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    for i in 0..5 {
        let rest = all_but(&fleet, i);
        let clients = fleet.start_clients(rest.clone(), QUERY_PAUSE);
        assert_eq!(fleet.brokers[i].terminate(), Some(0));
        fleet.brokers[i].start();
        assert!(wait_until(|| fleet.brokers[i].is_ready()));
        fleet.wait_for_active_version([i], 1);
        assert_all_answered(&clients.stop(), &rest);
    }
    let next = fleet.config_version(2, &[0], &[]);
    fleet.propose(4, &next);
    fleet.wait_for_active_version(0..5, 2);
    assert_consistent(&fleet);
}

/// The leader crashes after it requested a fill and before the voters agreed that the fill is done. The next leader requests
/// the fill again, and the debt that the fill pays must be settled once.
#[test]
fn crash_after_fill_settles_once() {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let clients = fleet.start_clients(all_but(&fleet, fleet.wait_for_leader()), QUERY_PAUSE);
    // About once a second a broker sends its counts to one random peer. A leader that knows of no debt plans fills from a
    // node of the replica's own partner, and such a fill settles nothing.
    let known = wait_until(|| (0..5).all(|i| settlement::known_debt(&fleet, i) > 0));
    assert!(known, "not all brokers know the debt between the partners");
    fleet.fill_service.set_paused(true);
    let next = fleet.config_version(2, &[], &[1, 3]);
    let leader = fleet.wait_for_leader();
    let rest = all_but(&fleet, leader);
    fleet.propose(rest[0], &next);
    assert!(
        wait_until(|| fleet.fill_service.fill_request_count() > 0),
        "the fill service received no fill request"
    );
    fleet.brokers[leader].kill();
    let before = fleet.fill_service.fill_request_count();
    fleet.fill_service.set_paused(false);
    assert!(
        wait_until(|| fleet.fill_service.fill_request_count() > before),
        "the fill was not requested again"
    );
    fleet.wait_for_active_version(rest.clone(), 2);
    fleet.brokers[leader].start();
    fleet.wait_for_active_version(0..5, 2);
    assert_all_answered(&clients.stop(), &rest);
    assert!(fleet.has_event(|event| matches!(event, AuditEvent::Settled { .. })), "no debt was settled");
    assert_consistent(&fleet);
}
