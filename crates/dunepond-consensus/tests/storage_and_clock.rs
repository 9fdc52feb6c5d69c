//! Tests of the size of the stored state over many versions, of a leader with a full disk, and of a clock that jumps
//! forward.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::{config_version, consensus_config, shard_map};
use dunepond_simulation::fleet::Fleet;

/// Writes the batch in `effects` to the journal as a host does, and updates the largest size in bytes that the journal
/// has had.
fn write_batch_to_journal(
    voter: &Voter,
    effects: &Effects,
    journal: &mut Vec<Vec<u8>>,
    max_journal_bytes: &mut usize,
) {
    if !effects.write_batch.is_empty() {
        match effects.write_batch.is_checkpoint() {
            true => *journal = vec![voter.checkpoint().encode()],
            false => journal.push(effects.write_batch.encode()),
        }
        *max_journal_bytes = (*max_journal_bytes).max(journal.iter().map(Vec::len).sum());
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
    let (mut journal, mut max_journal_bytes, mut now, mut sizes) = (Vec::new(), 0, 0.0, Vec::new());
    let mut client_count = 0_u64;
    while sizes.len() < 2 {
        now += 0.24;
        let effects = voter.tick(now);
        write_batch_to_journal(&voter, &effects, &mut journal, &mut max_journal_bytes);
        let number = voter.state().active_number();
        if voter.is_leader() && voter.state().proposed.is_none() {
            if [1_000, 10_000].contains(&number) {
                sizes.push((voter.checkpoint().encode().len(), std::mem::take(&mut max_journal_bytes)));
            }
            let effects =
                voter.propose(now, Command::Propose(Box::new(config_version(number + 1, None)))).unwrap();
            write_batch_to_journal(&voter, &effects, &mut journal, &mut max_journal_bytes);
            client_count += 1;
        }
        // Each request has the name of one of a thousand brokers and a new run id, as if that broker had
        // restarted.
        let request = LeaseRequest {
            id: 1,
            broker: format!("b{}", client_count % 1_000),
            sent_at: now,
            known_versions: Vec::new(),
            joint_version: None,
            run_id: client_count,
            known_settlements: 0,
            demand: None,
            overloaded: false,
            forwarded: false,
        };
        let name = request.broker.clone();
        let effects = voter.handle_lease_request(now, &name, request);
        write_batch_to_journal(&voter, &effects, &mut journal, &mut max_journal_bytes);
    }
    println!("bytes of the checkpoint and of the largest journal, after 1000 and 10000 versions: {sizes:?}");
    let [(first_checkpoint, first_journal), (later_checkpoint, later_journal)] = sizes[..] else {
        panic!("two sizes are expected: {sizes:?}")
    };
    // Both of the largest journals contain up to 513 entries. They differ in size because later indices and version
    // numbers have more digits.
    assert!(
        later_checkpoint < 2 * first_checkpoint.max(1 << 16)
            && later_journal < first_journal + first_journal / 4
            && later_journal < 1 << 20,
        "{sizes:?}"
    );
}

#[test]
fn leader_with_full_disk_is_replaced() {
    let mut fleet = Fleet::with_map(3, 2, 90);
    let leader = fleet.leader().unwrap();
    // The leader's host cannot write records, so it neither calls the voter nor sends its messages. The test simulates
    // that by removing the voter from the fleet.
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
        "the former leader does not know of version 2 yet"
    );
    fleet.brokers[leader].disk = vec![voter.checkpoint().encode()];
    fleet.brokers[leader].voter = Some(voter);
    for _ in 0..300 {
        fleet.step();
        assert!(fleet.all_in_phase(&ConfigPhase::Active(2)), "messages of the former leader have no effect");
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
    let run = |voter: &mut Voter, from: f64, seconds: f64| -> Vec<String> {
        let count = (seconds / 0.02) as u32;
        (0..count).flat_map(|n| voter.tick(from + 0.02 * f64::from(n)).log_lines).collect()
    };
    run(&mut voter, 0.0, 3.0);
    voter.propose(3.0, Command::Propose(Box::new(config_version(1, None)))).unwrap();
    // The clock jumps by 10 s. For other brokers almost no time has passed, so their leases may still be valid.
    let wait = consensus_config("n1", 1).quiescence_seconds();
    let log = run(&mut voter, 13.0, 0.5);
    assert!(log.iter().any(|line| line.contains("restarting waits")) && voter.state().active_number() == 0);
    run(&mut voter, 13.5, wait);
    assert_eq!(voter.state().active_number(), 1);
}
