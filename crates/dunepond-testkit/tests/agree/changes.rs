//! Changes of the configuration while leaders die, proposals compete and brokers restart.

use std::thread;
use std::time::Duration;

use dunepond_testkit::auditor::AuditEvent;
use dunepond_testkit::fleet::Fleet;
use dunepond_testkit::processes::wait_until;
use rstest::rstest;
use serde_json::json;

use super::{GAP, all_but, assert_all_answered, assert_consistent, options, settlement, wait_joint};

#[derive(Clone, Copy, PartialEq)]
enum When {
    Proposed,
    Joint,
    Filled,
    Confirmed,
}

#[rstest]
fn leader_killed_during_change(
    #[values(When::Proposed, When::Joint, When::Filled, When::Confirmed)] when: When,
) {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let (leader, all) = (fleet.leader(), 0..fleet.options.brokers);
    let rest = all_but(&fleet, leader);
    let clients = fleet.clients(rest.clone(), GAP);
    fleet.filler.set_paused(true);
    let next = fleet.config_version(2, &[0, 3], &[2]);
    // At a broker that lives on; it proposes again whatever the leader took with it.
    let by = rest[0];
    fleet.propose(by, &next);
    match when {
        When::Proposed => {}
        When::Joint => wait_joint(&fleet, &rest, 2),
        When::Filled => {
            assert!(wait_until(|| fleet.filler.order_count() > 0), "nothing is filled");
            fleet.filler.set_paused(false);
        }
        When::Confirmed => {
            fleet.filler.set_paused(false);
            let confirmed = |act: &AuditEvent| matches!(act, AuditEvent::Confirmed { number: 2, .. });
            assert!(wait_until(|| fleet.any_event(confirmed)), "not confirmed");
        }
    }
    fleet.brokers[leader].kill();
    fleet.filler.set_paused(false);
    fleet.wait_active(rest.clone(), 2);
    fleet.brokers[leader].start();
    fleet.wait_active(all, 2);
    assert_all_answered(&clients.stop(), &rest);
    assert_consistent(&fleet);
}

#[test]
fn concurrent_proposals_one_wins() {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let clients = fleet.clients(0..5, GAP);
    let (mut one, mut other) = (fleet.config_version(2, &[0], &[]), fleet.config_version(2, &[0], &[]));
    (one["why"], other["why"]) = (json!("one"), json!("other"));
    fleet.place_version(3, &one);
    fleet.place_version(4, &other);
    fleet.brokers[3].reload_config();
    fleet.brokers[4].reload_config();
    fleet.wait_active(0..5, 2);
    let told =
        |i| fleet.log_contains(i, "is not what was agreed on") || fleet.log_contains(i, "was used before");
    assert!(wait_until(|| told(3) || told(4)), "nobody is told");
    assert!(!(told(3) && told(4)), "both are told that the other came first");
    clients.stop();
    assert_consistent(&fleet);
}

#[test]
fn second_change_waits_for_first() {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let clients = fleet.clients(0..5, GAP);
    fleet.filler.set_paused(true);
    let second = fleet.config_version(2, &[0], &[2]);
    fleet.propose(0, &second);
    wait_joint(&fleet, &[0, 1, 2, 3, 4], 2);
    let third = fleet.config_version(3, &[0, 1], &[]);
    fleet.propose(1, &third);
    // Longer than any wait for leases.
    thread::sleep(Duration::from_secs_f64(fleet.options.lease_bound_seconds));
    assert!(
        !fleet.any_event(|act| matches!(act, AuditEvent::Confirmed { number: 2, .. })),
        "in force before it is filled"
    );
    assert!(
        !fleet.any_event(|act| matches!(act, AuditEvent::Proposed { number: 3, .. })),
        "two changes are open"
    );
    fleet.filler.set_paused(false);
    fleet.wait_active(0..5, 3);
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    assert_consistent(&fleet);
}

#[test]
fn rolling_restart_keeps_version() {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    for i in 0..5 {
        let rest = all_but(&fleet, i);
        let clients = fleet.clients(rest.clone(), GAP);
        assert_eq!(fleet.brokers[i].terminate(), Some(0));
        fleet.brokers[i].start();
        assert!(wait_until(|| fleet.brokers[i].ready()));
        fleet.wait_active([i], 1);
        assert_all_answered(&clients.stop(), &rest);
    }
    let next = fleet.config_version(2, &[0], &[]);
    fleet.propose(4, &next);
    fleet.wait_active(0..5, 2);
    assert_consistent(&fleet);
}

/// The filler has done its work, and whoever ordered it dies before that is agreed.
#[test]
fn crash_after_fill_settles_once() {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let clients = fleet.clients(all_but(&fleet, fleet.leader()), GAP);
    // Counts go to one random peer about every second. A leader that knows of no debt plans fills from the holder's own
    // partner, which settle nothing.
    let known = wait_until(|| (0..5).all(|i| settlement::known_debt(&fleet, i) > 0));
    assert!(known, "not all brokers heard that the partners carry for each other");
    fleet.filler.set_paused(true);
    let next = fleet.config_version(2, &[], &[1, 3]);
    let leader = fleet.leader();
    let rest = all_but(&fleet, leader);
    fleet.propose(rest[0], &next);
    assert!(wait_until(|| fleet.filler.order_count() > 0), "nothing is filled");
    fleet.brokers[leader].kill();
    let before = fleet.filler.order_count();
    fleet.filler.set_paused(false);
    assert!(wait_until(|| fleet.filler.order_count() > before), "nobody orders it again");
    fleet.wait_active(rest.clone(), 2);
    fleet.brokers[leader].start();
    fleet.wait_active(0..5, 2);
    assert_all_answered(&clients.stop(), &rest);
    assert!(fleet.any_event(|act| matches!(act, AuditEvent::Settled { .. })), "nothing is settled");
    assert_consistent(&fleet);
}
