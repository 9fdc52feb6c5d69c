//! Voters that come back with another folder than they left.

use std::thread;
use std::time::Duration;

use dunepond_testkit::auditor::AuditPhase;
use dunepond_testkit::fleet::Fleet;
use dunepond_testkit::links::{CUT, HEALTHY};
use dunepond_testkit::processes::wait_until;
use rstest::rstest;
use serde_json::json;

use super::{GAP, assert_all_answered, assert_consistent, options};

#[derive(Clone, Copy)]
enum Folder {
    Lost,
    Old,
    /// Old, by an image of the disk that was made in an earlier life.
    Image,
    Torn,
}

/// A voter that was part of the majority for version 2 comes back without knowing it, and the only other one that is
/// there never heard of it: those two must not agree on anything, or what was agreed would be forgotten.
#[rstest]
#[case::without_its_folder(Folder::Lost)]
#[case::with_an_old_folder(Folder::Old)]
#[case::with_an_old_image(Folder::Image)]
fn restored_voter_cannot_undo_agreed_version(#[case] folder: Folder) {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let old = fleet.brokers[1].copy_folder_to_scratch();
    if matches!(folder, Folder::Image) {
        fleet.brokers[1].kill();
        fleet.brokers[1].start();
        fleet.wait_active(0..5, 1);
        assert!(wait_until(|| fleet.brokers[1].ready()));
        thread::sleep(Duration::from_secs_f64(fleet.options.lease_seconds));
    }
    fleet.links.set_around(&["n3"], &CUT);
    fleet.wait_for_phase(2, AuditPhase::LeaseExpired);
    let next = fleet.config_version(2, &[0, 3], &[]);
    fleet.propose(0, &next);
    fleet.wait_active([0, 1, 3, 4], 2);
    fleet.brokers[0].kill();
    fleet.brokers[1].kill();
    match folder {
        Folder::Lost => fleet.brokers[1].remove_folder(),
        Folder::Image => fleet.brokers[1].restore_image(&old),
        _ => fleet.brokers[1].restore_folder(&old),
    }
    fleet.links.set_all(&HEALTHY);
    fleet.brokers[1].start();
    assert!(wait_until(|| fleet.brokers[1].ready()));
    // Another second version: if it came into force, the first would have been forgotten.
    let mut other = fleet.config_version(2, &[0, 3], &[]);
    other["why"] = json!("another");
    fleet.propose(2, &other);
    let clients = fleet.clients([1, 2, 3, 4], GAP);
    thread::sleep(Duration::from_secs_f64(3.0 * fleet.options.lease_seconds));
    let phase = fleet.phase(2).unwrap();
    assert_eq!(
        phase.phase,
        AuditPhase::LeaseExpired,
        "n3 has a lease of a majority that has forgotten: {phase:?}"
    );
    fleet.brokers[0].start();
    fleet.wait_active(0..5, 2);
    clients.stop();
    assert_consistent(&fleet);
}

#[rstest]
#[case::without_its_folder(Folder::Lost)]
#[case::with_an_old_folder(Folder::Old)]
#[case::with_a_torn_last_record(Folder::Torn)]
fn voter_with_changed_folder_rejoins(#[case] folder: Folder) {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let old = fleet.brokers[2].copy_folder_to_scratch();
    let clients = fleet.clients([0, 1, 3, 4], GAP);
    let second = fleet.config_version(2, &[1], &[]);
    fleet.propose(0, &second);
    fleet.wait_active(0..5, 2);
    fleet.brokers[2].kill();
    match folder {
        Folder::Lost => fleet.brokers[2].remove_folder(),
        Folder::Old | Folder::Image => fleet.brokers[2].restore_folder(&old),
        Folder::Torn => assert!(fleet.brokers[2].truncate_journals() > 0, "no journal to tear"),
    }
    fleet.brokers[2].start();
    let third = fleet.config_version(3, &[1, 2], &[]);
    fleet.propose(0, &third);
    fleet.wait_active(0..5, 3);
    assert_all_answered(&clients.stop(), &[0, 1, 3, 4]);
    assert_consistent(&fleet);
}
