//! Scenarios of voters whose data folder is lost, is restored from a copy, ends in a torn record, or is compacted.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::settlement;
use dunepond_simulation::fleet::Fleet;
use dunepond_simulation::settlements;

use crate::support::{assert_activated_within, propose};

#[test]
fn lost_folder_does_not_count_in_quorum() {
    let mut fleet = Fleet::with_map(3, 1, 18);
    // Only voters 0 and 1 have the committed entry.
    fleet.partition(&[&[0, 1, 3]]);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()));
    fleet.propose(settlements::settle_command(settlement("paid"))).unwrap();
    assert!(fleet.run_until(2.0, |fleet| fleet.state(0).settlements.count == 1
        && fleet.state(1).settlements.count == 1));
    // Voter 0 loses its folder and voter 1 is paused. Voters 0 and 2 would be a majority, but do not have the entry.
    fleet.kill(0);
    fleet.wipe_folder(0);
    fleet.start(0);
    fleet.pause(1, 6.0);
    fleet.heal();
    fleet.run_for(5.5);
    assert_eq!(fleet.leader(), None, "a voter with an empty folder does not count in a quorum");
    assert!(
        fleet.run_until(8.0, |fleet| (0..3).all(|n| fleet.state(n).settlements.count == 1)),
        "not all voters have the committed entry"
    );
    assert!(fleet.brokers[0].voter.as_ref().unwrap().has_state());
    // Voter 0 counts in majorities again: voters 0 and 2 continue without voter 1.
    fleet.run_for(1.0);
    fleet.kill(1);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()));
    assert_eq!(
        fleet.propose(settlements::settle_command(settlement("paid"))),
        Err(Rejection::AlreadySettled(settlement("paid").id))
    );
}

#[test]
fn restored_folder_is_treated_as_lost() {
    let mut fleet = Fleet::with_map(3, 1, 19);
    let old_disk = fleet.brokers[0].disk.clone();
    fleet.kill(0);
    fleet.start(0);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()));
    fleet.run_for(1.0);
    fleet.partition(&[&[0, 1, 3], &[2]]);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some_and(|n| n != 2)));
    fleet.propose(settlements::settle_command(settlement("paid"))).unwrap();
    assert!(fleet.run_until(2.0, |fleet| fleet.state(0).settlements.count == 1));
    fleet.kill(0);
    fleet.brokers[0].disk = old_disk;
    fleet.start(0);
    fleet.pause(1, 6.0);
    fleet.heal();
    fleet.run_for(5.5);
    assert!(
        fleet.brokers[0].log.iter().any(|line| line.contains("later start")),
        "{:?}",
        fleet.brokers[0].log
    );
    assert_eq!(fleet.leader(), None);
    assert!(
        fleet.run_until(8.0, |fleet| (0..3).all(|n| fleet.state(n).settlements.count == 1)),
        "not all voters have the committed entry"
    );
}

/// Guards against a voter on a restored folder that votes for a candidate which lacks a committed entry. The voter must
/// not vote until a peer has confirmed its folder, no matter when it starts.
#[test]
fn restored_folder_does_not_vote_before_verification() {
    for offset in 0..24 {
        let mut fleet = Fleet::with_map(3, 0, 190 + offset);
        let old_disk = fleet.brokers[0].disk.clone();
        fleet.kill(0);
        fleet.start(0);
        assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()));
        fleet.run_for(1.0);
        fleet.partition(&[&[0, 1], &[2]]);
        assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some_and(|n| n != 2)));
        fleet.propose(settlements::settle_command(settlement("paid"))).unwrap();
        assert!(fleet.run_until(2.0, |fleet| fleet.state(0).settlements.count == 1));
        fleet.kill(0);
        fleet.brokers[0].disk = old_disk;
        fleet.pause(1, 4.0);
        fleet.heal();
        fleet.run_for(0.1 + 0.013 * offset as f64);
        fleet.start(0);
        fleet.run_for(3.5);
        assert_ne!(fleet.leader(), Some(2), "offset {offset}: the leader does not have the committed entry");
        assert!(
            fleet.run_until(8.0, |fleet| (0..3).all(|n| fleet.state(n).settlements.count == 1)),
            "offset {offset}: not all voters have the committed entry"
        );
    }
}

#[test]
fn torn_last_record_is_dropped() {
    let mut fleet = Fleet::with_map(3, 1, 20);
    for n in [0, 1, 2, 0, 1, 2] {
        fleet.brokers[n].tears_next_record = true;
        let _ = fleet.propose(settlements::settle_command(settlement(&format!("at-{}", fleet.now))));
        assert!(
            fleet.run_until(10.0, |fleet| !fleet.is_running(n)),
            "the broker was not killed during the write"
        );
        fleet.start(n);
        assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some() && fleet.all_have_leases()));
    }
    fleet.propose(propose(2)).unwrap();
    assert_activated_within(&mut fleet, 5.0);
}

#[test]
fn log_stays_bounded_and_snapshot_restores_lagging_voter() {
    let mut fleet = Fleet::with_map(3, 0, 24);
    let lagging = (fleet.leader().unwrap() + 1) % 3;
    fleet.kill(lagging);
    let mut max_records = 0;
    for n in 0..3000 {
        fleet.propose(settlements::settle_command(settlement(&format!("{n}")))).unwrap();
        if n % 10 == 0 {
            fleet.step();
        }
        max_records = max_records.max(fleet.brokers.iter().map(|broker| broker.disk.len()).max().unwrap());
    }
    assert!(max_records < 2200, "{max_records} records in a folder");
    fleet.start(lagging);
    assert!(fleet.run_until(5.0, |fleet| fleet.state(lagging).settlements.count == 3000));
    assert!(fleet.brokers[lagging].log.iter().any(|line| line.contains("from a snapshot")));
    assert_eq!(
        fleet.propose(settlements::settle_command(settlement("7"))),
        Err(Rejection::AlreadySettled(settlement("7").id))
    );
}
