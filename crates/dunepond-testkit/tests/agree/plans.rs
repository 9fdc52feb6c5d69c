//! Plans of moves under a steady load of scans that must not run twice: a step is a version, and each may be the last of
//! whoever leads.

use std::thread;
use std::time::Duration;

use dunepond_testkit::auditor::{AuditEvent, AuditPhase};
use dunepond_testkit::fleet::{Fleet, FleetOptions, SEGMENT_BYTES};
use dunepond_testkit::links::HEALTHY;
use dunepond_testkit::processes::wait_until;
use rstest::rstest;
use serde_json::{Value, json};

use super::{GAP, all_but, assert_all_answered, assert_consistent, options, wait_joint};

/// One act a step: filled by version 2, switched by version 3.
fn moving() -> FleetOptions {
    FleetOptions { extra_lines: vec!["moves \"OWN.plan\" at-once=1 settle=0.1".to_string()], ..options(3, 5) }
}

fn move_of(id: &str, segment: u64, from: &str, to: &str) -> Value {
    json!({"id": id, "who": "lab", "why": "a test", "operations": [
        {"move": {"segment": segment, "from": from, "to": to}}]})
}

/// Waits until fixes of this segment come to this node.
fn wait_at(fleet: &Fleet, segment: u64, node: &str) {
    let there = wait_until(|| fleet.last_non_idempotent_node(segment).as_deref() == Some(node));
    assert!(there, "fixes of {segment} come to {:?}, not to {node}", fleet.last_non_idempotent_node(segment));
}

#[derive(Clone, Copy, PartialEq)]
enum At {
    Taken,
    Filling,
    Filled,
    Fence,
    Switched,
}

#[rstest]
fn leader_killed_during_move(#[values(At::Taken, At::Filling, At::Filled, At::Fence, At::Switched)] at: At) {
    let mut fleet = Fleet::start_with_version(moving());
    let (leader, all) = (fleet.leader(), 0..fleet.options.brokers);
    let rest = all_but(&fleet, leader);
    let clients = fleet.clients(rest.clone(), GAP);
    fleet.filler.set_paused(true);
    fleet.propose_plan(rest[0], &move_of("one", 0, "s-0", "s-2"));
    let confirmed = |fleet: &Fleet, number| {
        wait_until(|| {
            fleet.any_event(|act| matches!(act, AuditEvent::Confirmed { number: of, .. } if *of == number))
        })
    };
    match at {
        At::Taken => assert!(wait_until(|| fleet.log_contains(rest[0], "plan one: "))),
        At::Filling => assert!(wait_until(|| fleet.filler.order_count() > 0), "nothing is filled"),
        At::Filled | At::Fence | At::Switched => fleet.filler.set_paused(false),
    }
    match at {
        At::Filled => assert!(confirmed(&fleet, 2)),
        At::Fence => wait_joint(&fleet, &rest, 3),
        At::Switched => assert!(confirmed(&fleet, 3)),
        _ => {}
    }
    fleet.brokers[leader].kill();
    fleet.filler.set_paused(false);
    fleet.wait_active(rest.clone(), 3);
    wait_at(&fleet, 0, "s-2");
    fleet.brokers[leader].start();
    fleet.wait_active(all, 3);
    assert_all_answered(&clients.stop(), &rest);
    assert_eq!(fleet.filler.moved_bytes(), SEGMENT_BYTES, "more was moved than had to be");
    fleet.expect_plan_step(2, &[]);
    fleet.expect_plan_step(3, &[(0, "s-2")]);
    assert_consistent(&fleet);
}

/// Each side has a plan for the same segment: the one without a majority begins nothing, and its plan is void once the
/// other's is done.
#[test]
fn partition_plans_move_segment_once() {
    let mut fleet = Fleet::start_with_version(FleetOptions { voters: 5, ..moving() });
    fleet.partition(&[&[0, 1], &[2, 3, 4]]);
    fleet.wait_for_phase(0, AuditPhase::LeaseExpired);
    let clients = fleet.clients(0..5, GAP);
    fleet.propose_plan(0, &move_of("few", 0, "s-0", "s-2"));
    fleet.propose_plan(3, &move_of("many", 0, "s-0", "s-3"));
    fleet.wait_active([2, 3, 4], 3);
    fleet.links.set_all(&HEALTHY);
    fleet.wait_active(0..5, 3);
    assert!(wait_until(|| fleet.log_contains(0, "plan few: refused")), "its operator is told nothing");
    wait_at(&fleet, 0, "s-3");
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    fleet.expect_plan_step(2, &[]);
    fleet.expect_plan_step(3, &[(0, "s-3")]);
    assert_consistent(&fleet);
}

/// The segment's new owner is at work when the operator takes the plan back: the old one gets it again, by versions that
/// lead back, and no fix runs at both.
#[test]
fn withdrawn_move_is_undone() {
    let fleet = Fleet::start_with_version(moving());
    let clients = fleet.clients(0..5, GAP);
    let mut plan = move_of("back", 0, "s-0", "s-2");
    let second = json!({"move": {"segment": 3, "from": "s-3", "to": "s-5"}});
    plan["operations"].as_array_mut().unwrap().push(second);
    plan["ordered"] = json!(true);
    fleet.propose_plan(1, &plan);
    wait_at(&fleet, 0, "s-2");
    fleet.filler.set_paused(true);
    plan["word"] = json!("withdraw");
    fleet.propose_plan(2, &plan);
    assert!(wait_until(|| (0..3).any(|i| fleet.log_contains(i, ", back: "))), "nobody turns round");
    fleet.filler.set_paused(false);
    wait_at(&fleet, 0, "s-0");
    thread::sleep(Duration::from_secs(1));
    assert_eq!(fleet.last_non_idempotent_node(3).as_deref(), Some("s-3"));
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    // Another plan may follow.
    let clients = fleet.clients(0..5, GAP);
    fleet.propose_plan(1, &move_of("again", 0, "s-0", "s-4"));
    wait_at(&fleet, 0, "s-4");
    clients.stop();
    assert_consistent(&fleet);
}
