//! Network partitions, one-way cuts, slow links and suspended brokers.

use std::thread;
use std::time::Duration;

use dunepond_testkit::auditor::AuditPhase;
use dunepond_testkit::fleet::{
    Fleet, NON_IDEMPOTENT_CLASS, QUERY_CLASSES, QueryOutcome, broker_name, outcome_ratio,
};
use dunepond_testkit::links::{HEALTHY, LinkConditions, PARTITIONED};
use dunepond_testkit::processes::wait_until;
use rstest::rstest;

use super::{QUERY_PAUSE, all_but, assert_all_answered, assert_consistent, options, wait_for_joint_phase};

#[rstest]
#[case::minority_of_two(&[&[0, 1][..], &[2, 3, 4]])]
#[case::two_minorities_of_one(&[&[0][..], &[1], &[2, 3, 4]])]
fn only_majority_completes_partitioned_change(#[case] groups: &[&[usize]]) {
    let mut fleet = Fleet::start_with_active_version(options(5, 5));
    fleet.fill_service.set_paused(true);
    let next = fleet.config_version(2, &[0, 3], &[2]);
    fleet.propose(3, &next);
    wait_for_joint_phase(&fleet, &[0, 1, 2, 3, 4], 2);
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    fleet.partition(groups);
    fleet.fill_service.set_paused(false);
    for broker in groups.iter().filter(|group| group.len() < 3).copied().flatten() {
        fleet.wait_for_phase(*broker, AuditPhase::LeaseExpired);
    }
    fleet.wait_for_active_version([2, 3, 4], 2);
    thread::sleep(Duration::from_secs(1));
    let outcomes = clients.stop();
    let served = outcome_ratio(&outcomes, QueryOutcome::is_idempotent, |outcome| outcome.status == Some(200));
    assert!(served > 0.95, "only {served} of the idempotent queries were served during the partition");
    assert_all_answered(&outcomes, &[0, 1, 2, 3, 4]);
    fleet.links.set_all_conditions(&HEALTHY);
    fleet.wait_for_active_version(0..5, 2);
    assert_consistent(&fleet);
}

/// The leader still receives messages, but none of the messages that it sends arrive.
#[test]
fn leader_without_outbound_links_is_replaced() {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let leader = fleet.wait_for_leader();
    let rest = all_but(&fleet, leader);
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    rest.iter()
        .for_each(|i| fleet.links.set_conditions(&broker_name(leader), &broker_name(*i), &PARTITIONED));
    let next = fleet.config_version(2, &[1], &[]);
    fleet.propose(rest[0], &next);
    fleet.wait_for_active_version(rest, 2);
    fleet.wait_for_phase(leader, AuditPhase::LeaseExpired);
    fleet.links.set_all_conditions(&HEALTHY);
    fleet.wait_for_active_version(0..5, 2);
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    assert_consistent(&fleet);
}

/// A broker is suspended with non-idempotent queries waiting in its sockets, while the owners of all segments change. When
/// it resumes, it must not send any of them by its outdated map.
#[test]
fn suspended_broker_resumes_without_lease() {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let suspended = 4;
    let rest = all_but(&fleet, suspended);
    let clients = fleet.start_clients([suspended], Duration::from_millis(2));
    thread::sleep(Duration::from_millis(300));
    fleet.brokers[suspended].suspend();
    let next = fleet.config_version(2, &[0, 1, 2, 3, 4, 5], &[]);
    fleet.propose(rest[0], &next);
    fleet.wait_for_active_version(rest, 2);
    fleet.brokers[suspended].resume();
    fleet.wait_for_active_version(0..5, 2);
    thread::sleep(Duration::from_millis(300));
    assert_all_answered(&clients.stop(), &[suspended]);
    assert_consistent(&fleet);
}

#[test]
fn slow_lossy_link_keeps_broker_serving() {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    fleet
        .links
        .set_conditions_around(&["n5"], &LinkConditions { delay_seconds: 0.8, loss_ratio: 0.2, ..HEALTHY });
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    let next = fleet.config_version(2, &[0, 3], &[]);
    fleet.propose(0, &next);
    fleet.wait_for_active_version(0..4, 2);
    let outcomes = clients.stop();
    let served = outcome_ratio(
        &outcomes,
        |outcome| outcome.is_idempotent() && outcome.broker_index == 4,
        |outcome| outcome.status == Some(200),
    );
    assert!(served > 0.95, "only {served} of the idempotent queries were served behind the slow link");
    assert_all_answered(&outcomes, &[0, 1, 2, 3, 4]);
    fleet.links.set_all_conditions(&HEALTHY);
    fleet.wait_for_active_version(0..5, 2);
    assert_consistent(&fleet);
}

#[test]
fn isolated_brokers_serve_only_idempotent_queries() {
    let fleet = Fleet::start_with_active_version(options(3, 6));
    fleet.partition(&[]);
    (0..6).for_each(|i| fleet.wait_for_phase(i, AuditPhase::LeaseExpired));
    let clients = fleet.start_clients(0..6, QUERY_PAUSE);
    thread::sleep(Duration::from_secs(2));
    let outcomes = clients.stop();
    let served = outcome_ratio(&outcomes, QueryOutcome::is_idempotent, |outcome| outcome.status == Some(200));
    assert!(served > 0.95, "only {served} of the idempotent queries were served");
    let is_non_idempotent =
        |outcome: &QueryOutcome| QUERY_CLASSES[outcome.query_class_index] == NON_IDEMPOTENT_CLASS;
    let refused_at_once =
        |outcome: &QueryOutcome| matches!(outcome.status, Some(429 | 503)) && outcome.latency_seconds < 0.3;
    let refused = outcome_ratio(&outcomes, is_non_idempotent, refused_at_once);
    assert!(refused > 0.99, "only {refused} of the non-idempotent queries were refused within 0.3 s");
    assert_all_answered(&outcomes, &[0, 1, 2, 3, 4, 5]);
    fleet.links.set_all_conditions(&HEALTHY);
    fleet.wait_for_active_version(0..6, 1);
    // With the links restored, non-idempotent queries are served again.
    let serves_non_idempotent = |i| {
        wait_until(|| {
            let clients = fleet.start_clients([i], QUERY_PAUSE);
            thread::sleep(Duration::from_millis(200));
            clients.stop().iter().any(|outcome| is_non_idempotent(outcome) && outcome.status == Some(200))
        })
    };
    assert!((0..6).all(serves_non_idempotent), "not all brokers serve non-idempotent queries again");
    assert_consistent(&fleet);
}
