//! Plans of moves under a steady load of scans that must not run twice: a step is a version, and each may be the last of
//! whoever leads.

use super::*;

/// One act a step: filled by version 2, switched by version 3.
fn moving() -> Plan {
    Plan { more: vec!["moves \"OWN.plan\" at-once=1 settle=0.1".to_string()], ..plan(3, 5) }
}

fn move_of(id: &str, segment: u64, from: &str, to: &str) -> Value {
    json!({"id": id, "who": "lab", "why": "a test", "operations": [
        {"move": {"segment": segment, "from": from, "to": to}}]})
}

/// Waits until fixes of this segment come to this node.
fn wait_at(fleet: &Fleet, segment: u64, node: &str) {
    let there = wait(|| fleet.last_at(segment).as_deref() == Some(node));
    assert!(there, "fixes of {segment} come to {:?}, not to {node}", fleet.last_at(segment));
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
fn a_leader_that_dies_at_any_step_of_a_move_leaves_it_to_the_next(
    #[values(At::Taken, At::Filling, At::Filled, At::Fence, At::Switched)] at: At,
) {
    let mut fleet = Fleet::agreed(moving());
    let (leader, all) = (fleet.leader(), 0..fleet.plan.brokers);
    let rest = but(&fleet, leader);
    let clients = fleet.clients(rest.clone(), GAP);
    fleet.filler.hold(true);
    fleet.plan_moves(rest[0], &move_of("one", 0, "s-0", "s-2"));
    let confirmed = |fleet: &Fleet, number| {
        wait(|| fleet.did(|act| matches!(act, AuditEvent::Confirmed { number: of, .. } if *of == number)))
    };
    match at {
        At::Taken => assert!(wait(|| fleet.said(rest[0], "plan one: "))),
        At::Filling => assert!(wait(|| fleet.filler.asked() > 0), "nothing is filled"),
        At::Filled | At::Fence | At::Switched => fleet.filler.hold(false),
    }
    match at {
        At::Filled => assert!(confirmed(&fleet, 2)),
        At::Fence => wait_joint(&fleet, &rest, 3),
        At::Switched => assert!(confirmed(&fleet, 3)),
        _ => {}
    }
    fleet.brokers[leader].kill();
    fleet.filler.hold(false);
    fleet.wait_alone(rest.clone(), 3);
    wait_at(&fleet, 0, "s-2");
    fleet.brokers[leader].start();
    fleet.wait_alone(all, 3);
    answered(&clients.stop(), &rest);
    assert_eq!(fleet.filler.moved(), SEGMENT, "more was moved than had to be");
    fleet.step(2, &[]);
    fleet.step(3, &[(0, "s-2")]);
    clean(&fleet);
}

/// Each side has a plan for the same segment: the one without a majority begins nothing, and its plan is void once the
/// other's is done.
#[test]
fn plans_of_both_sides_of_a_partition_move_a_segment_once() {
    let mut fleet = Fleet::agreed(Plan { voters: 5, ..moving() });
    fleet.part(&[&[0, 1], &[2, 3, 4]]);
    fleet.wait_phase(0, AuditPhase::LeaseExpired);
    let clients = fleet.clients(0..5, GAP);
    fleet.plan_moves(0, &move_of("few", 0, "s-0", "s-2"));
    fleet.plan_moves(3, &move_of("many", 0, "s-0", "s-3"));
    fleet.wait_alone([2, 3, 4], 3);
    fleet.links.set_all(&WHOLE);
    fleet.wait_alone(0..5, 3);
    assert!(wait(|| fleet.said(0, "plan few: refused")), "its operator is told nothing");
    wait_at(&fleet, 0, "s-3");
    answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    fleet.step(2, &[]);
    fleet.step(3, &[(0, "s-3")]);
    clean(&fleet);
}

/// The segment's new owner is at work when the operator takes the plan back: the old one gets it again, by versions that
/// lead back, and no fix runs at both.
#[test]
fn a_move_withdrawn_after_the_switch_is_undone() {
    let fleet = Fleet::agreed(moving());
    let clients = fleet.clients(0..5, GAP);
    let mut plan = move_of("back", 0, "s-0", "s-2");
    let second = json!({"move": {"segment": 3, "from": "s-3", "to": "s-5"}});
    plan["operations"].as_array_mut().unwrap().push(second);
    plan["ordered"] = json!(true);
    fleet.plan_moves(1, &plan);
    wait_at(&fleet, 0, "s-2");
    fleet.filler.hold(true);
    plan["word"] = json!("withdraw");
    fleet.plan_moves(2, &plan);
    assert!(wait(|| (0..3).any(|i| fleet.said(i, ", back: "))), "nobody turns round");
    fleet.filler.hold(false);
    wait_at(&fleet, 0, "s-0");
    thread::sleep(Duration::from_secs(1));
    assert_eq!(fleet.last_at(3).as_deref(), Some("s-3"));
    answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    // Another plan may follow.
    let clients = fleet.clients(0..5, GAP);
    fleet.plan_moves(1, &move_of("again", 0, "s-0", "s-4"));
    wait_at(&fleet, 0, "s-4");
    clients.stop();
    clean(&fleet);
}
