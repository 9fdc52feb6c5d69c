//! Long runs, full disks and clock jumps: stored state stays bounded, and no promise is lost.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::{config_version, consensus_config, shard_map};
use dunepond_simulation::fleet::Fleet;

/// Writes the batch to a journal as the host does.
fn write_batch_to_journal(voter: &Voter, effects: &Effects, journal: &mut Vec<Vec<u8>>, longest: &mut usize) {
    if !effects.write_batch.is_empty() {
        match effects.write_batch.is_checkpoint() {
            true => *journal = vec![voter.checkpoint().encode()],
            false => journal.push(effects.write_batch.encode()),
        }
        *longest = (*longest).max(journal.iter().map(Vec::len).sum());
    }
}

#[test]
fn stored_state_stays_bounded_over_ten_thousand_versions() {
    let mut voter = Voter::open(
        ConsensusConfig { maps_enabled: false, ..consensus_config("n1", 1) },
        StoredVoter::new(),
        0.0,
        1,
    )
    .unwrap();
    let (mut journal, mut longest, mut now, mut sizes) = (Vec::new(), 0, 0.0, Vec::new());
    let mut client_count = 0_u64;
    while sizes.len() < 2 {
        now += 0.24;
        let effects = voter.tick(now);
        write_batch_to_journal(&voter, &effects, &mut journal, &mut longest);
        let number = voter.state().active_number();
        if voter.is_leader() && voter.state().open.is_none() {
            if [1_000, 10_000].contains(&number) {
                sizes.push((voter.checkpoint().encode().len(), std::mem::take(&mut longest)));
            }
            let effects =
                voter.propose(now, Command::Propose(Box::new(config_version(number + 1, None)))).unwrap();
            write_batch_to_journal(&voter, &effects, &mut journal, &mut longest);
            client_count += 1;
        }
        // Each client sends one request.
        let request = LeaseRequest {
            id: 1,
            broker: format!("b{}", client_count % 1_000),
            sent_at: now,
            known_versions: Vec::new(),
            joint_version: None,
            incarnation: client_count,
            known_settlements: 0,
            demand: None,
            overloaded: false,
            forwarded: false,
        };
        let name = request.broker.clone();
        let effects = voter.handle_lease_request(now, &name, request);
        write_batch_to_journal(&voter, &effects, &mut journal, &mut longest);
    }
    println!("bytes of the whole stored state, and of the longest journal: {sizes:?}");
    let [(first_size, journal), (later_size, longer)] = sizes[..] else { panic!("{sizes:?}") };
    // 513 entries and their marks; the numbers of digits make the difference.
    assert!(
        later_size < 2 * first_size.max(1 << 16) && longer < journal + journal / 4 && longer < 1 << 20,
        "{sizes:?}"
    );
}

#[test]
fn leader_with_full_disk_is_replaced() {
    let mut fleet = Fleet::with_map(3, 2, 90);
    let leader = fleet.leader().unwrap();
    // As with its host: no record is written, so it sends and receives nothing until it can write again.
    let voter = fleet.brokers[leader].voter.take();
    assert!(
        fleet.run_until(5.0, |fleet| fleet.leader().is_some() && fleet.all_have_leases()),
        "another voter leads"
    );
    fleet.propose(Command::Propose(Box::new(config_version(2, Some(shard_map(2, false)))))).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2))));
    let voter = voter.unwrap();
    assert_eq!(
        (voter.is_leader(), voter.state().active_number()),
        (true, 1),
        "it does not know of version 2 yet"
    );
    fleet.brokers[leader].disk = vec![voter.checkpoint().encode()];
    fleet.brokers[leader].voter = Some(voter);
    for _ in 0..300 {
        fleet.step();
        assert!(fleet.all_in_phase(&ConfigPhase::Active(2)), "its messages have no effect");
    }
    assert!(
        fleet.run_until(3.0, |fleet| fleet.state(leader).active_number() == 2 && fleet.all_have_leases())
    );
}

#[test]
fn forward_clock_jump_restarts_waits() {
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
    // The clock jumps by 10 s: almost no time has passed for the others, whose leases still run.
    let wait = consensus_config("n1", 1).quiescence_seconds();
    let log = ticks(&mut voter, 13.0, 0.5);
    assert!(log.iter().any(|line| line.contains("restarting waits")) && voter.state().active_number() == 0);
    ticks(&mut voter, 13.5, wait);
    assert_eq!(voter.state().active_number(), 1);
}
