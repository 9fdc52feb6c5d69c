//! Plans of segment moves under a steady load that includes non-idempotent queries. Each step of a plan makes a version of
//! the configuration, and the leader may crash during any of them.

use std::thread;
use std::time::Duration;

use dunepond_testkit::auditor::{AuditEvent, AuditPhase};
use dunepond_testkit::fleet::{Fleet, FleetOptions, SEGMENT_BYTES};
use dunepond_testkit::links::HEALTHY;
use dunepond_testkit::processes::wait_until;
use rstest::rstest;
use serde_json::{Value, json};

use super::{QUERY_PAUSE, all_but, assert_all_answered, assert_consistent, options, wait_for_joint_phase};

/// A fleet that carries out one action of a plan at a time: version 2 adds the filled replica, version 3 changes the owner.
fn fleet_options() -> FleetOptions {
    FleetOptions {
        extra_kdl_lines: vec!["moves \"OWN.plan\" at-once=1 settle=0.1".to_string()],
        ..options(3, 5)
    }
}

fn move_plan(id: &str, segment: u64, from: &str, to: &str) -> Value {
    json!({"id": id, "who": "lab", "why": "a test", "operations": [
        {"move": {"segment": segment, "from": from, "to": to}}]})
}

/// Waits until non-idempotent parts of this segment are sent to this node.
fn wait_for_owner(fleet: &Fleet, segment: u64, node: &str) {
    let arrived = wait_until(|| fleet.last_non_idempotent_node(segment).as_deref() == Some(node));
    assert!(
        arrived,
        "non-idempotent parts of segment {segment} go to {:?} instead of {node}",
        fleet.last_non_idempotent_node(segment)
    );
}

#[derive(Clone, Copy, PartialEq)]
enum MoveStage {
    PlanAccepted,
    Filling,
    /// Version 2, with the filled replica, is confirmed.
    Filled,
    /// Version 3, which changes the owner, is in its joint phase.
    OwnerChangeJoint,
    /// Version 3 is confirmed.
    OwnerChanged,
}

#[rstest]
fn leader_killed_during_move(
    #[values(
        MoveStage::PlanAccepted,
        MoveStage::Filling,
        MoveStage::Filled,
        MoveStage::OwnerChangeJoint,
        MoveStage::OwnerChanged
    )]
    stage: MoveStage,
) {
    let mut fleet = Fleet::start_with_active_version(fleet_options());
    let (leader, all) = (fleet.wait_for_leader(), 0..fleet.options.broker_count);
    let rest = all_but(&fleet, leader);
    let clients = fleet.start_clients(rest.clone(), QUERY_PAUSE);
    fleet.fill_service.set_paused(true);
    fleet.propose_plan(rest[0], &move_plan("one", 0, "s-0", "s-2"));
    let wait_confirmed = |fleet: &Fleet, version_number| {
        wait_until(|| {
            fleet.has_event(
                |event| matches!(event, AuditEvent::Confirmed { number, .. } if *number == version_number),
            )
        })
    };
    match stage {
        MoveStage::PlanAccepted => assert!(wait_until(|| fleet.log_contains(rest[0], "plan one: "))),
        MoveStage::Filling => {
            assert!(
                wait_until(|| fleet.fill_service.fill_request_count() > 0),
                "the fill service received no fill request"
            )
        }
        MoveStage::Filled | MoveStage::OwnerChangeJoint | MoveStage::OwnerChanged => {
            fleet.fill_service.set_paused(false)
        }
    }
    match stage {
        MoveStage::Filled => assert!(wait_confirmed(&fleet, 2)),
        MoveStage::OwnerChangeJoint => wait_for_joint_phase(&fleet, &rest, 3),
        MoveStage::OwnerChanged => assert!(wait_confirmed(&fleet, 3)),
        _ => {}
    }
    fleet.brokers[leader].kill();
    fleet.fill_service.set_paused(false);
    fleet.wait_for_active_version(rest.clone(), 3);
    wait_for_owner(&fleet, 0, "s-2");
    fleet.brokers[leader].start();
    fleet.wait_for_active_version(all, 3);
    assert_all_answered(&clients.stop(), &rest);
    assert_eq!(
        fleet.fill_service.moved_bytes(),
        SEGMENT_BYTES,
        "the fill service moved another number of bytes than one segment has"
    );
    fleet.expect_plan_step(2, &[]);
    fleet.expect_plan_step(3, &[(0, "s-2")]);
    assert_consistent(&fleet);
}

/// On each side of a partition an operator submits a plan to move the same segment. The minority must not start its plan, and
/// refuses it after the majority has completed the other one.
#[test]
fn partition_plans_move_segment_once() {
    let mut fleet = Fleet::start_with_active_version(FleetOptions { voter_count: 5, ..fleet_options() });
    fleet.partition(&[&[0, 1], &[2, 3, 4]]);
    fleet.wait_for_phase(0, AuditPhase::LeaseExpired);
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    fleet.propose_plan(0, &move_plan("few", 0, "s-0", "s-2"));
    fleet.propose_plan(3, &move_plan("many", 0, "s-0", "s-3"));
    fleet.wait_for_active_version([2, 3, 4], 3);
    fleet.links.set_all_conditions(&HEALTHY);
    fleet.wait_for_active_version(0..5, 3);
    assert!(
        wait_until(|| fleet.log_contains(0, "plan few: refused")),
        "the minority did not log that it refused its plan"
    );
    wait_for_owner(&fleet, 0, "s-3");
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    fleet.expect_plan_step(2, &[]);
    fleet.expect_plan_step(3, &[(0, "s-3")]);
    assert_consistent(&fleet);
}

/// The operator withdraws a plan after a segment has got its new owner. Further versions return the segment to its old owner,
/// and no non-idempotent part runs at both.
#[test]
fn withdrawn_move_is_undone() {
    let fleet = Fleet::start_with_active_version(fleet_options());
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    let mut plan = move_plan("back", 0, "s-0", "s-2");
    let second_move = json!({"move": {"segment": 3, "from": "s-3", "to": "s-5"}});
    plan["operations"].as_array_mut().unwrap().push(second_move);
    plan["ordered"] = json!(true);
    fleet.propose_plan(1, &plan);
    wait_for_owner(&fleet, 0, "s-2");
    fleet.fill_service.set_paused(true);
    plan["word"] = json!("withdraw");
    fleet.propose_plan(2, &plan);
    assert!(
        wait_until(|| (0..3).any(|i| fleet.log_contains(i, ", back: "))),
        "no broker logged that it undoes the plan"
    );
    fleet.fill_service.set_paused(false);
    wait_for_owner(&fleet, 0, "s-0");
    thread::sleep(Duration::from_secs(1));
    assert_eq!(fleet.last_non_idempotent_node(3).as_deref(), Some("s-3"));
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    // A later plan for the same segment is carried out.
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    fleet.propose_plan(1, &move_plan("again", 0, "s-0", "s-4"));
    wait_for_owner(&fleet, 0, "s-4");
    clients.stop();
    assert_consistent(&fleet);
}
