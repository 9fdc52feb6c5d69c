//! Tests of simulated fleets with 30 seconds of random faults, which a seed determines. Once all faults are healed, a
//! fleet has to continue from its state and activate another version. For a seed that fails, a test is added to
//! `scenarios`.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::{config_version, settlement, shard_map};
use dunepond_simulation::fleet::{Fleet, LinkConditions};
use dunepond_simulation::settlements::settle_command;
use rand::RngExt;

const VOTER_COUNT: usize = 5;
const OTHER_BROKER_COUNT: usize = 2;
const BROKER_COUNT: usize = VOTER_COUNT + OTHER_BROKER_COUNT;

/// Injects a random fault, heals faults, or proposes a random command.
fn inject_fault(fleet: &mut Fleet) {
    let n = fleet.rng.random_range(0..BROKER_COUNT);
    let voters_have_state = |fleet: &Fleet, n: usize| {
        fleet.leader().is_some_and(|leader| fleet.state(leader).voters.pending.is_none())
            && fleet.voter_indices().contains(&n)
            && fleet.voter_indices().into_iter().all(|n| {
                fleet.brokers[n].voter.as_ref().is_none_or(Voter::has_state)
                    && !fleet.brokers[n].disk.is_empty()
            })
    };
    match fleet.rng.random_range(0..18) {
        0 => {
            let split_index = fleet.rng.random_range(1..BROKER_COUNT);
            let mut order: Vec<usize> = (0..BROKER_COUNT).collect();
            order.sort_by_key(|_| fleet.rng.random::<u32>());
            let (a, b) = order.split_at(split_index);
            fleet.partition(&[a, b]);
        }
        1 => {
            let to = fleet.rng.random_range(0..BROKER_COUNT);
            if n != to {
                fleet.blocked_links.insert((n, to));
            }
        }
        2 | 3 => fleet.heal(),
        4 => fleet.kill(n),
        5 => fleet.brokers[n].tears_next_record = fleet.is_running(n),
        6 if !fleet.is_running(n) && voters_have_state(fleet, n) && fleet.blocked_links.is_empty() => {
            // Folders are lost one at a time: the next one is only wiped once all voters have a state again.
            fleet.wipe_folder(n);
            fleet.start(n);
        }
        6..=8 => (0..BROKER_COUNT)
            .filter(|n| !fleet.is_running(*n))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|n| fleet.start(n)),
        9 => {
            let seconds = fleet.rng.random_range(0.05..4.0);
            fleet.pause(n, seconds);
        }
        10..=12 => {
            let Some(leader) = fleet.leader() else { return };
            let next = fleet.state(leader).highest_number + 1;
            let requires_fill = fleet.rng.random::<f64>() < 0.3;
            let mut version = config_version(next, Some(shard_map(next, requires_fill)));
            version.first_stage_ratio = (fleet.rng.random::<f64>() < 0.3).then_some(0.5);
            let _ = fleet.propose(Command::Propose(Box::new(version)));
        }
        13 => {
            let Some(leader) = fleet.leader() else { return };
            let number = fleet.state(leader).highest_number;
            let withdraws = fleet.rng.random::<bool>();
            let command = match withdraws {
                true => Command::Withdraw { number, why: String::from("by hand") },
                false => Command::Activate { number },
            };
            let _ = fleet.propose(command);
        }
        14 => {
            let Some(leader) = fleet.leader() else { return };
            let required_fills: Vec<_> =
                fleet.state(leader).map_transition().map(|m| m.required_fills().to_vec()).unwrap_or_default();
            let number = fleet.state(leader).highest_number;
            for fill in required_fills {
                let _ = fleet.propose(Command::FillCompleted {
                    number,
                    segment: fill.segment,
                    holder: fill.replica,
                });
            }
        }
        15 | 16 => change_voters(fleet, n),
        _ => {
            let id = format!("fill-{}", fleet.rng.random_range(0..20));
            let _ = fleet.propose(settle_command(settlement(&id)));
        }
    }
}

/// Proposes a list of voters that broker `n` joins, leaves, or joins in place of another voter. If a list is already
/// pending, either starts its joining voter or withdraws the list instead.
fn change_voters(fleet: &mut Fleet, n: usize) {
    let Some(leader) = fleet.leader() else { return };
    let mut list = fleet.voter_indices();
    if fleet.state(leader).voters.pending.is_some() {
        return match fleet.rng.random::<f64>() < 0.3 {
            true => drop(fleet.change_voters(&list)),
            false => start_joining_voter(fleet),
        };
    }
    let replaced_index = fleet.rng.random_range(0..list.len());
    match (list.contains(&n), list.len()) {
        (true, 4..) => list.retain(|other| *other != n),
        (true, _) => return,
        (false, ..5) if fleet.rng.random::<bool>() => list.push(n),
        (false, _) => list[replaced_index] = n,
    }
    fleet.change_voters(&list).expect("the list differs by one voter and no change is pending");
    if fleet.rng.random::<bool>() {
        fleet.run_for(0.1);
        start_joining_voter(fleet);
    }
}

/// Starts the voter that joins by the pending list, as an operator has to do. If the joining broker still runs a voter
/// from an earlier list, that voter discards its folder by itself.
fn start_joining_voter(fleet: &mut Fleet) {
    let Some(leader) = fleet.leader() else { return };
    let list = fleet.voter_indices();
    let voters = fleet.state(leader).voters.names_with_joining();
    let joins = (0..BROKER_COUNT).find(|n| voters.contains(&fleet.brokers[*n].name) && !list.contains(n));
    if let Some(n) = joins.filter(|n| fleet.brokers[*n].voter.is_none()) {
        fleet.start_as_voter(n, &voters);
    }
}

fn run_seed(seed: u64) {
    let mut fleet = Fleet::with_map(VOTER_COUNT, OTHER_BROKER_COUNT, seed);
    fleet.links.loss_ratio = [0.0, 0.05, 0.2][seed as usize % 3];
    fleet.links.duplicate_ratio = [0.0, 0.1][seed as usize % 2];
    fleet.links.max_delay_seconds = [0.02, 0.1][seed as usize / 3 % 2];
    while fleet.now < 30.0 {
        inject_fault(&mut fleet);
        let pause = fleet.rng.random_range(0.0..0.6);
        fleet.run_for(pause);
    }
    fleet.heal();
    fleet.links = LinkConditions::default();
    for n in 0..BROKER_COUNT {
        fleet.brokers[n].tears_next_record = false;
        if !fleet.is_running(n) {
            fleet.start(n);
        }
    }
    assert!(
        fleet.run_until(20.0, |fleet| fleet.leader().is_some() && fleet.all_have_leases()),
        "not all brokers have leases again"
    );
    start_joining_voter(&mut fleet);
    // Within this time the leader activates or withdraws a proposed version, unless the version is in its first stage,
    // which an operator has to end.
    fleet.run_for(10.0);
    let leader = fleet.leader().expect("a fleet without faults keeps its leader");
    let number = fleet.state(leader).highest_number;
    if fleet.state(leader).proposed.is_some() {
        fleet.propose(Command::Withdraw { number, why: String::from("by hand") }).unwrap();
        assert!(
            fleet.run_until(10.0, |fleet| fleet.state(leader).proposed.is_none()),
            "the proposed version is not withdrawn"
        );
    }
    fleet
        .propose(Command::Propose(Box::new(config_version(number + 1, Some(shard_map(number + 1, false))))))
        .unwrap();
    assert!(
        fleet.run_until(10.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(number + 1))),
        "version {} is not active everywhere",
        number + 1
    );
    let ready = fleet.run_until(10.0, Fleet::are_voters_ready);
    let leader = fleet.leader().expect("a fleet without faults keeps its leader");
    assert!(ready, "not all voters are ready: {:?}", fleet.state(leader).voters);
}

/// Runs the seeds on four threads, and asserts that none fails.
fn run_seeds(seeds: std::ops::Range<u64>) {
    let mut failed = Vec::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4)
            .map(|part| {
                let seeds = seeds.clone().filter(move |seed| seed % 4 == part);
                scope.spawn(move || {
                    seeds
                        .filter(|seed| std::panic::catch_unwind(|| run_seed(*seed)).is_err())
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        threads
            .into_iter()
            .for_each(|thread| failed.extend(thread.join().expect("panics are caught in the thread")));
    });
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}

#[test]
fn fifty_seeds() {
    run_seeds(0..50);
}

#[test]
#[ignore = "takes minutes"]
fn two_thousand_seeds() {
    run_seeds(1000..3000);
}

/// Runs the seed in the environment variable `SEED`.
#[test]
#[ignore]
fn one() {
    run_seed(std::env::var("SEED").unwrap().parse().unwrap());
}

#[test]
#[ignore = "prints activation times and message rates"]
fn figures() {
    let mut durations: Vec<f64> = Vec::new();
    for seed in 0..100 {
        let mut fleet = Fleet::with_map(VOTER_COUNT, OTHER_BROKER_COUNT, seed);
        fleet.run_for(3.0);
        fleet.propose(Command::Propose(Box::new(config_version(2, Some(shard_map(2, false)))))).unwrap();
        assert!(fleet.run_until(10.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2))));
        durations.push(fleet.now - fleet.invariants.proposed_at[&2]);
    }
    durations.sort_by(f64::total_cmp);
    println!(
        "seconds until a version is active everywhere: p50 {:.2}, p99 {:.2}",
        durations[50], durations[99]
    );
    for other_count in [0, 2, 10, 25] {
        let mut fleet = Fleet::with_map(VOTER_COUNT, other_count, 1);
        fleet.run_for(5.0);
        let sent_before = fleet.messages_sent;
        fleet.run_for(10.0);
        let rate = (fleet.messages_sent - sent_before) as f64 / 10.0 / (VOTER_COUNT + other_count) as f64;
        println!("{} brokers: {rate:.1} messages per broker and second", VOTER_COUNT + other_count);
    }
}
