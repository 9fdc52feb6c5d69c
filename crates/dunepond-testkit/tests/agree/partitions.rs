//! Partitions, one-way cuts, slow links and suspended brokers.

use std::thread;
use std::time::Duration;

use dunepond_testkit::auditor::AuditPhase;
use dunepond_testkit::fleet::{
    Fleet, NON_IDEMPOTENT_CLASS, QUERY_CLASSES, QueryOutcome, broker_name, outcome_ratio,
};
use dunepond_testkit::links::{CUT, HEALTHY, LinkConditions};
use dunepond_testkit::processes::wait_until;
use rstest::rstest;

use super::{GAP, all_but, assert_all_answered, assert_consistent, options, wait_joint};

#[rstest]
#[case::two_and_three(&[&[0, 1][..], &[2, 3, 4]])]
#[case::one_one_and_three(&[&[0][..], &[1], &[2, 3, 4]])]
fn only_majority_completes_partitioned_change(#[case] groups: &[&[usize]]) {
    let mut fleet = Fleet::start_with_version(options(5, 5));
    fleet.filler.set_paused(true);
    let next = fleet.config_version(2, &[0, 3], &[2]);
    fleet.propose(3, &next);
    wait_joint(&fleet, &[0, 1, 2, 3, 4], 2);
    let clients = fleet.clients(0..5, GAP);
    fleet.partition(groups);
    fleet.filler.set_paused(false);
    for minority in groups.iter().filter(|group| group.len() < 3).copied().flatten() {
        fleet.wait_for_phase(*minority, AuditPhase::LeaseExpired);
    }
    fleet.wait_active([2, 3, 4], 2);
    thread::sleep(Duration::from_secs(1));
    let outcomes = clients.stop();
    let served = outcome_ratio(&outcomes, QueryOutcome::is_idempotent, |one| one.status == Some(200));
    assert!(served > 0.95, "{served} of replayable scans served while parted");
    assert_all_answered(&outcomes, &[0, 1, 2, 3, 4]);
    fleet.links.set_all(&HEALTHY);
    fleet.wait_active(0..5, 2);
    assert_consistent(&fleet);
}

/// What the leader says gets out to nobody, while all that others say comes in.
#[test]
fn leader_without_outbound_links_is_replaced() {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let leader = fleet.leader();
    let rest = all_but(&fleet, leader);
    let clients = fleet.clients(0..5, GAP);
    rest.iter().for_each(|i| fleet.links.set(&broker_name(leader), &broker_name(*i), &CUT));
    let next = fleet.config_version(2, &[1], &[]);
    fleet.propose(rest[0], &next);
    fleet.wait_active(rest, 2);
    fleet.wait_for_phase(leader, AuditPhase::LeaseExpired);
    fleet.links.set_all(&HEALTHY);
    fleet.wait_active(0..5, 2);
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    assert_consistent(&fleet);
}

/// It stands still while the owners move, with requests for fixes in its sockets, and acts on none by what it knew.
#[test]
fn suspended_broker_resumes_without_lease() {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let stopped = 4;
    let rest = all_but(&fleet, stopped);
    let clients = fleet.clients([stopped], Duration::from_millis(2));
    thread::sleep(Duration::from_millis(300));
    fleet.brokers[stopped].suspend();
    let next = fleet.config_version(2, &[0, 1, 2, 3, 4, 5], &[]);
    fleet.propose(rest[0], &next);
    fleet.wait_active(rest, 2);
    fleet.brokers[stopped].resume();
    fleet.wait_active(0..5, 2);
    thread::sleep(Duration::from_millis(300));
    assert_all_answered(&clients.stop(), &[stopped]);
    assert_consistent(&fleet);
}

#[test]
fn slow_lossy_link_keeps_broker_serving() {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    fleet.links.set_around(&["n5"], &LinkConditions { delay_seconds: 0.8, loss_ratio: 0.2, ..HEALTHY });
    let clients = fleet.clients(0..5, GAP);
    let next = fleet.config_version(2, &[0, 3], &[]);
    fleet.propose(0, &next);
    fleet.wait_active(0..4, 2);
    let outcomes = clients.stop();
    let served =
        outcome_ratio(&outcomes, |one| one.is_idempotent() && one.broker == 4, |one| one.status == Some(200));
    assert!(served > 0.95, "{served} of replayable scans served behind the slow link");
    assert_all_answered(&outcomes, &[0, 1, 2, 3, 4]);
    fleet.links.set_all(&HEALTHY);
    fleet.wait_active(0..5, 2);
    assert_consistent(&fleet);
}

#[test]
fn isolated_brokers_serve_only_idempotent_queries() {
    let fleet = Fleet::start_with_version(options(3, 6));
    fleet.partition(&[]);
    (0..6).for_each(|i| fleet.wait_for_phase(i, AuditPhase::LeaseExpired));
    let clients = fleet.clients(0..6, GAP);
    thread::sleep(Duration::from_secs(2));
    let outcomes = clients.stop();
    let served = outcome_ratio(&outcomes, QueryOutcome::is_idempotent, |one| one.status == Some(200));
    assert!(served > 0.95, "{served} of replayable scans served");
    let fixes = |one: &QueryOutcome| QUERY_CLASSES[one.kind] == NON_IDEMPOTENT_CLASS;
    let refused = |one: &QueryOutcome| matches!(one.status, Some(429 | 503)) && one.latency_seconds < 0.3;
    let refused = outcome_ratio(&outcomes, fixes, refused);
    assert!(refused > 0.99, "{refused} of fixes refused at once");
    assert_all_answered(&outcomes, &[0, 1, 2, 3, 4, 5]);
    fleet.links.set_all(&HEALTHY);
    fleet.wait_active(0..6, 1);
    // Whole again, fixes go out again.
    let served = |i| {
        wait_until(|| {
            let clients = fleet.clients([i], GAP);
            thread::sleep(Duration::from_millis(200));
            clients.stop().iter().any(|one| fixes(one) && one.status == Some(200))
        })
    };
    assert!((0..6).all(served), "not all send fixes again");
    assert_consistent(&fleet);
}
