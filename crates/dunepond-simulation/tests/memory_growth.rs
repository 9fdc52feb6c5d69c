//! Memory and folders must not grow during a long run with many versions, replaced brokers and settlements. Memory is
//! counted in the allocator of the whole process, so no other test may run in this program at the same time.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicIsize, Ordering::Relaxed};

use dunepond_consensus::*;
use dunepond_settlement::Settlement;
use dunepond_simulation::fixtures::{config_version, consensus_config, settlement, shard_map};
use dunepond_simulation::fleet::Fleet;
use dunepond_simulation::settlements;

/// An allocator that counts the bytes allocated and not freed.
struct CountingAllocator;

/// Bytes allocated and not freed.
static ALLOCATED_BYTES: AtomicIsize = AtomicIsize::new(0);

// SAFETY: all calls are forwarded to the system allocator; the counter has no effect on them.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size() as isize, Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size() as isize, Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Number of voters.
const VOTER_COUNT: usize = 3;
/// Number of brokers that do not vote.
const OTHER_COUNT: usize = 3;
/// Number of measurements in the second half of the run; the second quarter has half as many. The maximum of each is
/// compared, because the size of a folder depends on how recently its log was compacted.
const SAMPLE_COUNT: u64 = 16;
/// Number of settlements before the first version. This is more than the replicated state keeps for brokers that lag
/// behind.
const SETTLEMENT_COUNT: u64 = 4200;
/// Upper limit of the maximum usage in the second half of the run, as a ratio of that in the second quarter. It is
/// above 1 because lists of bounded length may not have been full yet in the second quarter.
const MAX_GROWTH_RATIO: f64 = 1.05;

/// Memory of the process, and size of the largest broker folder, in bytes.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    memory: isize,
    folder: usize,
}

/// Current memory and folder sizes.
fn usage(fleet: &Fleet) -> Usage {
    let bytes = |broker: &dunepond_simulation::fleet::Broker| broker.disk.iter().map(Vec::len).sum::<usize>();
    Usage {
        memory: ALLOCATED_BYTES.load(Relaxed),
        folder: fleet.brokers.iter().map(bytes).max().unwrap_or(0),
    }
}

/// Runs a fleet through versions and replacements of brokers, and returns the maximum usage in the second quarter and
/// in the second half of the run.
fn run_fleet(versions: u64, replacements: u64) -> (Usage, Usage) {
    let config = ConsensusConfig {
        lease_seconds: 0.2,
        longest_query_seconds: 0.05,
        switch_bound_seconds: 1.0,
        ..consensus_config("", VOTER_COUNT)
    };
    let mut fleet = Fleet::with_config(&config, VOTER_COUNT + OTHER_COUNT, vec![0, 1], 1);
    fleet.settlement_notices = Some(Vec::new());
    assert!(fleet.run_until(10.0, |fleet| fleet.leader().is_some() && fleet.all_have_leases()));
    // Fill the lists of bounded length before the first version.
    for fill in 0..SETTLEMENT_COUNT {
        fleet.propose(settlements::settle_command(settlement(&fill.to_string()))).expect("a new settlement");
        if fill % 50 == 0 {
            fleet.run_until(0.02, |_| false);
        }
    }
    let mut max_usage = [Usage::default(); 2];
    for number in 1..=versions {
        let entry =
            Command::Propose(Box::new(config_version(number, Some(shard_map(number, number % 3 == 0)))));
        let _ = fleet.propose(entry);
        fleet.run_until(0.1, |_| false);
        if number % 3 == 0 {
            let _ =
                fleet.propose(Command::FillCompleted { number, segment: 0, holder: format!("cold{number}") });
            let fill_settlement =
                Settlement { id: format!("{number}/0/cold{number}@fleet"), ..settlement("") };
            fleet.propose(settlements::settle_command(fill_settlement)).expect("a new settlement");
        }
        // Replace a broker by one with a name that was not used before.
        if number * replacements / versions != (number - 1) * replacements / versions {
            fleet.replace(VOTER_COUNT + number as usize % OTHER_COUNT, &format!("b{number}"));
        }
        let has_ended = |fleet: &Fleet| fleet.leader().is_some_and(|n| fleet.state(n).proposed.is_none());
        assert!(fleet.run_until(20.0, has_ended), "{:.1}: version {number} is still open", fleet.now);
        let leader = fleet.leader().expect("a fleet with a leader");
        assert_eq!(fleet.state(leader).active_number(), number, "version {number} is not active");
        let index = fleet.state(leader).index;
        fleet.invariants.forget_before(index.saturating_sub(1000), number.saturating_sub(8));
        fleet.settlement_notices = Some(Vec::new());
        fleet.brokers.iter_mut().for_each(|broker| (broker.log.clear(), broker.rejections.clear()).0);
        // The first quarter is not measured, because lists of bounded length are still filling up in it.
        if number > versions / 4 && number % (versions / 2 / SAMPLE_COUNT).max(1) == 0 {
            let (current, half) = (usage(&fleet), &mut max_usage[usize::from(number > versions / 2)]);
            (half.memory, half.folder) = (half.memory.max(current.memory), half.folder.max(current.folder));
        }
    }
    (max_usage[0], max_usage[1])
}

fn assert_no_growth(versions: u64, replacements: u64) {
    let (first, second) = run_fleet(versions, replacements);
    println!("{versions} versions, {replacements} replaced brokers: {first:?}, then {second:?}");
    assert!(
        (second.memory as f64) < MAX_GROWTH_RATIO * first.memory as f64,
        "memory grows: {first:?}, {second:?}"
    );
    assert!(
        (second.folder as f64) < MAX_GROWTH_RATIO * first.folder as f64,
        "folders grow: {first:?}, {second:?}"
    );
}

#[test]
fn memory_and_folders_do_not_grow() {
    assert_no_growth(600, 60);
}

#[test]
#[ignore = "takes minutes; run by hand with --release"]
fn memory_and_folders_do_not_grow_in_long_run() {
    assert_no_growth(10_000, 1_000);
}
