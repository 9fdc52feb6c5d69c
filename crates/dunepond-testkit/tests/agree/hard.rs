//! Moves of segments while targets die, sources leave, sides are parted, disks fill up and old messages come again.

use super::*;

fn number_of(fleet: &Fleet, number: u64, is: fn(&AuditEvent, u64) -> bool) -> bool {
    fleet.did(|act| is(act, number))
}

fn withdrawn(act: &AuditEvent, number: u64) -> bool {
    matches!(act, AuditEvent::Withdrawn { number: of, .. } if *of == number)
}

fn confirmed(act: &AuditEvent, number: u64) -> bool {
    matches!(act, AuditEvent::Confirmed { number: of, .. } if *of == number)
}

/// Half of the bytes are there when its connection ends. What is there is not moved again.
#[test]
fn a_target_that_dies_half_filled_and_comes_back_is_filled_to_its_end() {
    let mut fleet = Fleet::agreed(plan(3, 5));
    let clients = fleet.clients(0..5, GAP);
    fleet.filler.lasts(0.2);
    fleet.filler.break_off(1);
    let next = fleet.version(2, &[0], &[2]);
    fleet.propose(0, &next);
    fleet.wait_alone(0..5, 2);
    assert!(fleet.filler.asked() >= 2, "it never broke off");
    assert_eq!(fleet.filler.moved(), SEGMENT);
    answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    clean(&fleet);
}

/// It does not come back: the version is given up at its deadline, everybody goes on with the old map, and the next move
/// without it goes through.
#[test]
fn a_target_that_dies_half_filled_for_good_leaves_the_old_map_in_force() {
    let mut fleet = Fleet::agreed(Plan { deadline: 5.0, ..plan(3, 5) });
    let clients = fleet.clients(0..5, GAP);
    fleet.filler.dies(Some("s-4"));
    let next = fleet.version(2, &[0], &[2]);
    fleet.propose(0, &next);
    assert!(wait(|| number_of(&fleet, 2, withdrawn)), "it is not given up");
    fleet.wait_alone(0..5, 1);
    assert!(!number_of(&fleet, 2, confirmed), "in force with a holder that is half filled");
    let without = fleet.version(3, &[0], &[]);
    fleet.propose(0, &without);
    fleet.wait_alone(0..5, 3);
    answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    clean(&fleet);
}

/// Where one source is gone in the middle of the fill another one takes over.
#[test]
fn a_source_that_leaves_during_the_fill_is_replaced_by_another() {
    let mut fleet = Fleet::agreed(plan(3, 5));
    let clients = fleet.clients(0..5, GAP);
    fleet.filler.hold(true);
    let next = fleet.version(2, &[0], &[2]);
    fleet.propose(0, &next);
    assert!(wait(|| fleet.filler.asked() > 0), "nothing is filled");
    let first = fleet.filler.orders()[0]["source"].as_str().unwrap().to_string();
    fleet.filler.dies(Some(&first));
    fleet.drain(&[&first]);
    fleet.filler.hold(false);
    fleet.wait_alone(0..5, 2);
    let orders = fleet.filler.orders();
    assert_ne!(orders[orders.len() - 1]["source"], first, "{orders:?}");
    // A fix of what the drained node owns is refused by now, and not sent to it.
    clients.stop();
    clean(&fleet);
}

/// The two sides want the same segment at different owners. One side has no majority, and its word is void for good.
#[test]
fn both_sides_of_a_partition_move_the_same_segment_and_one_owner_comes_of_it() {
    let mut fleet = Fleet::agreed(plan(5, 5));
    fleet.part(&[&[0, 1], &[2, 3, 4]]);
    let clients = fleet.clients(0..5, GAP);
    let (few, many) = (fleet.version(2, &[0], &[0]), fleet.version(2, &[1], &[0]));
    fleet.put(0, &few);
    fleet.put(3, &many);
    fleet.brokers[0].reread();
    fleet.brokers[3].reread();
    fleet.wait_alone([2, 3, 4], 2);
    fleet.wait_phase(0, AuditPhase::LeaseExpired);
    fleet.links.set_all(&WHOLE);
    fleet.wait_alone(0..5, 2);
    assert!(wait(|| fleet.said(0, "is not what was agreed on")), "its operator is told nothing");
    answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    clean(&fleet);
}

/// No promise reaches its disk, one record is torn in the middle. Others lead on; with room again it votes as before.
#[test]
fn a_full_disk_at_the_voter_that_leads_costs_no_agreement() {
    let mut fleet = Fleet::agreed(Plan { disks: true, ..plan(3, 5) });
    let leader = fleet.leader();
    let rest = but(&fleet, leader);
    let clients = fleet.clients(0..5, GAP);
    fleet.disk(leader, "brim");
    let next = fleet.version(2, &[0, 3], &[2]);
    fleet.propose(rest[0], &next);
    fleet.wait_alone(rest.clone(), 2);
    assert!(wait(|| fleet.said(leader, "this voter is silent")), "its operator is told nothing");
    assert_ne!(fleet.leader_of(&rest), leader, "it leads without a disk");
    fleet.disk(leader, "");
    fleet.wait_alone(0..5, 2);
    // What it promised since stands on its disk.
    fleet.brokers[leader].kill();
    fleet.brokers[leader].start();
    let third = fleet.version(3, &[0], &[]);
    fleet.propose(rest[0], &third);
    fleet.wait_alone(0..5, 3);
    clients.stop();
    clean(&fleet);
}

/// All that a leader and another broker told a third in an earlier version comes once more, after two changes.
#[test]
fn messages_of_long_ago_change_nothing() {
    let mut fleet = Fleet::agreed(plan(3, 5));
    let (leader, all) = (name(fleet.leader()), 0..5);
    let pairs: Vec<_> = all.clone().map(name).filter(|of| *of != leader).collect();
    for peer in &pairs {
        fleet.links.keep(&leader, peer);
        fleet.links.keep(peer, &leader);
    }
    let clients = fleet.clients(all.clone(), GAP);
    let second = fleet.version(2, &[0, 3], &[]);
    fleet.propose(4, &second);
    fleet.wait_alone(all.clone(), 2);
    let third = fleet.version(3, &[], &[]);
    fleet.propose(4, &third);
    fleet.wait_alone(all.clone(), 3);
    let mut brought = 0;
    for peer in &pairs {
        brought += fleet.links.deliver(&leader, peer).0 + fleet.links.deliver(peer, &leader).0;
    }
    assert!(brought > 0, "nothing was kept");
    thread::sleep(Duration::from_secs_f64(fleet.plan.lease));
    let late: Vec<_> = all.clone().map(|i| fleet.phase(i)).collect();
    assert!(late.iter().all(|phase| matches!(phase, Some((AuditPhase::Active, _, 3)))), "{late:?}");
    // The second version's file is known under its number, and stays over.
    let fourth = fleet.version(4, &[0], &[]);
    fleet.propose(4, &fourth);
    fleet.wait_alone(all, 4);
    answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    clean(&fleet);
}

/// Its whole folder is yesterday's, when another owned the segments; nobody can tell it so yet.
#[rstest]
#[case::a_voter(2)]
#[case::no_voter(4)]
fn a_broker_with_yesterdays_folder_sends_no_fix_before_it_hears_of_today(#[case] broker: usize) {
    let mut fleet = Fleet::agreed(plan(3, 5));
    let old = fleet.brokers[broker].copy();
    let next = fleet.version(2, &[0, 1, 2, 3, 4, 5], &[]);
    fleet.propose(0, &next);
    fleet.wait_alone(0..5, 2);
    fleet.brokers[broker].kill();
    fleet.brokers[broker].put_back(&old);
    fleet.links.set_around(&[&name(broker)], &CUT);
    fleet.brokers[broker].start();
    assert!(wait(|| fleet.brokers[broker].ready()));
    let clients = fleet.clients([broker], GAP);
    thread::sleep(Duration::from_secs_f64(fleet.plan.lease));
    let went = clients.stop();
    let fixes = |one: &Went| !one.replayable();
    assert_eq!(share(&went, fixes, |one| one.status == Some(200)), 0.0, "fixes by yesterday's map");
    assert!(share(&went, Went::replayable, |one| one.status == Some(200)) > 0.95);
    fleet.links.set_all(&WHOLE);
    fleet.wait_alone(0..5, 2);
    let clients = fleet.clients(0..5, GAP);
    thread::sleep(Duration::from_millis(500));
    answered(&clients.stop(), &[0, 1, 2, 3, 4]);
    clean(&fleet);
}
