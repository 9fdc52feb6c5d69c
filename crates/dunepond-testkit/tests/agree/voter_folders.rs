//! Voters that restart with a lost, outdated or damaged folder.

use std::thread;
use std::time::Duration;

use dunepond_testkit::auditor::AuditPhase;
use dunepond_testkit::fleet::Fleet;
use dunepond_testkit::links::{HEALTHY, PARTITIONED};
use dunepond_testkit::processes::wait_until;
use rstest::rstest;
use serde_json::json;

use super::{QUERY_PAUSE, assert_all_answered, assert_consistent, options};

#[derive(Clone, Copy)]
enum FolderState {
    Lost,
    /// Restored from a copy of the folder, as from a backup.
    Outdated,
    /// Restored in place, as from a disk image, with the state of an earlier run of the process.
    OutdatedImage,
    TornLastRecord,
}

/// A voter that belonged to the majority for version 2 restarts without knowing of it, and the only other running voter never
/// heard of it. These two must not agree on anything, or version 2 would be lost.
#[rstest]
#[case::without_its_folder(FolderState::Lost)]
#[case::with_an_outdated_folder(FolderState::Outdated)]
#[case::with_an_outdated_image(FolderState::OutdatedImage)]
fn restored_voter_cannot_undo_agreed_version(#[case] folder: FolderState) {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let old_folder = fleet.brokers[1].copy_folder_to_scratch();
    if matches!(folder, FolderState::OutdatedImage) {
        fleet.brokers[1].kill();
        fleet.brokers[1].start();
        fleet.wait_for_active_version(0..5, 1);
        assert!(wait_until(|| fleet.brokers[1].is_ready()));
        thread::sleep(Duration::from_secs_f64(fleet.options.lease_seconds));
    }
    fleet.links.set_conditions_around(&["n3"], &PARTITIONED);
    fleet.wait_for_phase(2, AuditPhase::LeaseExpired);
    let next = fleet.config_version(2, &[0, 3], &[]);
    fleet.propose(0, &next);
    fleet.wait_for_active_version([0, 1, 3, 4], 2);
    fleet.brokers[0].kill();
    fleet.brokers[1].kill();
    match folder {
        FolderState::Lost => fleet.brokers[1].remove_folder(),
        FolderState::OutdatedImage => fleet.brokers[1].restore_image(&old_folder),
        _ => fleet.brokers[1].restore_folder(&old_folder),
    }
    fleet.links.set_all_conditions(&HEALTHY);
    fleet.brokers[1].start();
    assert!(wait_until(|| fleet.brokers[1].is_ready()));
    // A different version 2: if it took effect, the agreed one would have been lost.
    let mut other = fleet.config_version(2, &[0, 3], &[]);
    other["why"] = json!("another");
    fleet.propose(2, &other);
    let clients = fleet.start_clients([1, 2, 3, 4], QUERY_PAUSE);
    thread::sleep(Duration::from_secs_f64(3.0 * fleet.options.lease_seconds));
    let phase = fleet.last_phase(2).unwrap();
    assert_eq!(
        phase.phase,
        AuditPhase::LeaseExpired,
        "n3 has a lease from a majority that lost version 2: {phase:?}"
    );
    fleet.brokers[0].start();
    fleet.wait_for_active_version(0..5, 2);
    clients.stop();
    assert_consistent(&fleet);
}

#[rstest]
#[case::without_its_folder(FolderState::Lost)]
#[case::with_an_outdated_folder(FolderState::Outdated)]
#[case::with_a_torn_last_record(FolderState::TornLastRecord)]
fn voter_with_changed_folder_rejoins(#[case] folder: FolderState) {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let old_folder = fleet.brokers[2].copy_folder_to_scratch();
    let clients = fleet.start_clients([0, 1, 3, 4], QUERY_PAUSE);
    let second = fleet.config_version(2, &[1], &[]);
    fleet.propose(0, &second);
    fleet.wait_for_active_version(0..5, 2);
    fleet.brokers[2].kill();
    match folder {
        FolderState::Lost => fleet.brokers[2].remove_folder(),
        FolderState::Outdated | FolderState::OutdatedImage => fleet.brokers[2].restore_folder(&old_folder),
        FolderState::TornLastRecord => {
            assert!(fleet.brokers[2].truncate_journals() > 0, "there was no journal to truncate")
        }
    }
    fleet.brokers[2].start();
    let third = fleet.config_version(3, &[1, 2], &[]);
    fleet.propose(0, &third);
    fleet.wait_for_active_version(0..5, 3);
    assert_all_answered(&clients.stop(), &[0, 1, 3, 4]);
    assert_consistent(&fleet);
}
