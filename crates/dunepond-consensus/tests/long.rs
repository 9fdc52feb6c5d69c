//! A long life and a bad disk: what is kept stays as large as it was, and what was promised is not lost.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::{config_version, consensus_config, shard_map};
use dunepond_simulation::fleet::Fleet;

/// Keeps a journal as the host does.
fn keep(voter: &Voter, orders: &Effects, journal: &mut Vec<Vec<u8>>, longest: &mut usize) {
    if !orders.write_batch.is_empty() {
        match orders.write_batch.is_checkpoint() {
            true => *journal = vec![voter.checkpoint().encode()],
            false => journal.push(orders.write_batch.encode()),
        }
        *longest = (*longest).max(journal.iter().map(Vec::len).sum());
    }
}

#[test]
fn ten_thousand_versions_and_a_thousand_members_leave_no_more_than_a_thousand_do() {
    let mut voter = Voter::open(
        ConsensusConfig { maps_enabled: false, ..consensus_config("n1", 1) },
        StoredVoter::new(),
        0.0,
        1,
    )
    .unwrap();
    let (mut journal, mut longest, mut now, mut sizes) = (Vec::new(), 0, 0.0, Vec::new());
    let mut members = 0_u64;
    while sizes.len() < 2 {
        now += 0.24;
        let orders = voter.tick(now);
        keep(&voter, &orders, &mut journal, &mut longest);
        let number = voter.state().active_number();
        if voter.is_leader() && voter.state().open.is_none() {
            if [1_000, 10_000].contains(&number) {
                sizes.push((voter.checkpoint().encode().len(), std::mem::take(&mut longest)));
            }
            let orders =
                voter.propose(now, Command::Propose(Box::new(config_version(number + 1, None)))).unwrap();
            keep(&voter, &orders, &mut journal, &mut longest);
            members += 1;
        }
        // Each comes once, and goes.
        let ask = LeaseRequest {
            id: 1,
            broker: format!("b{}", members % 1_000),
            sent_at: now,
            known_versions: Vec::new(),
            joint_version: None,
            incarnation: members,
            known_settlements: 0,
            demand: None,
            overloaded: false,
            forwarded: false,
        };
        let name = ask.broker.clone();
        let orders = voter.handle_lease_request(now, &name, ask);
        keep(&voter, &orders, &mut journal, &mut longest);
    }
    println!("bytes of all that is kept, and of the longest journal: {sizes:?}");
    let [(whole, journal), (later, longer)] = sizes[..] else { panic!("{sizes:?}") };
    // 513 entries and what their marks take; digits of numbers make the difference.
    assert!(
        later < 2 * whole.max(1 << 16) && longer < journal + journal / 4 && longer < 1 << 20,
        "{sizes:?}"
    );
}

#[test]
fn a_leader_whose_disk_is_full_is_silent_another_leads_and_nothing_promised_is_lost() {
    let mut fleet = Fleet::with_map(3, 2, 90);
    let leader = fleet.leader().unwrap();
    // As its host does: no record is written, so nothing leaves it and nothing is heard, until it could write all.
    let voter = fleet.brokers[leader].voter.take();
    assert!(
        fleet.run_until(5.0, |fleet| fleet.leader().is_some() && fleet.all_have_leases()),
        "another leads"
    );
    fleet.propose(Command::Propose(Box::new(config_version(2, Some(shard_map(2, false)))))).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2))));
    let voter = voter.unwrap();
    assert_eq!((voter.is_leader(), voter.state().active_number()), (true, 1), "it has not heard");
    fleet.brokers[leader].disk = vec![voter.checkpoint().encode()];
    fleet.brokers[leader].voter = Some(voter);
    for _ in 0..300 {
        fleet.step();
        assert!(fleet.all_in_phase(&ConfigPhase::Active(2)), "its word counts for nothing");
    }
    assert!(
        fleet.run_until(3.0, |fleet| fleet.state(leader).active_number() == 2 && fleet.all_have_leases())
    );
}

#[test]
fn a_leader_whose_clock_jumps_forward_does_not_take_that_for_time_that_went_by() {
    let mut voter = Voter::open(
        ConsensusConfig { maps_enabled: false, ..consensus_config("n1", 1) },
        StoredVoter::new(),
        0.0,
        1,
    )
    .unwrap();
    let ticks = |voter: &mut Voter, from: f64, seconds: f64| -> Vec<String> {
        let count = (seconds / 0.02) as u32;
        (0..count).flat_map(|n| voter.tick(from + 0.02 * f64::from(n)).log_lines).collect()
    };
    ticks(&mut voter, 0.0, 3.0);
    voter.propose(3.0, Command::Propose(Box::new(config_version(1, None)))).unwrap();
    // Ten seconds at once: for the others next to nothing went by, and their leases run.
    let wait = consensus_config("n1", 1).quiescence_seconds();
    let log = ticks(&mut voter, 13.0, 0.5);
    assert!(log.iter().any(|line| line.contains("waits restart")) && voter.state().active_number() == 0);
    ticks(&mut voter, 13.5, wait);
    assert_eq!(voter.state().active_number(), 1);
}
