//! Long life in simulated time: versions, brokers that are replaced, settlements; memory and folders stay flat. Memory is
//! what is asked of the allocator and not given back, so nothing else may run beside: one test a program.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicIsize, Ordering::Relaxed};

use dunepond_consensus::*;
use dunepond_settlement::Settlement;
use dunepond_simulation::fixtures::{config_version, consensus_config, settlement, shard_map};
use dunepond_simulation::fleet::Fleet;
use dunepond_simulation::settlements;

struct Counting;

static HELD: AtomicIsize = AtomicIsize::new(0);

// SAFETY: hands all to the system's allocator, and only counts.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size() as isize, Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size() as isize, Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

const VOTERS: usize = 3;
const OTHERS: usize = 3;
/// Folders may have a log that has just been cut, or is about to be: what is looked at is the highest of so many.
const LOOKS: u64 = 16;
/// Settlements before the first version: more than are kept for those that are behind.
const SETTLED: u64 = 4200;
/// Of growth over the second half, so much is let pass: lists of a bounded length that were not full yet.
const GROWTH: f64 = 1.05;

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    memory: isize,
    folder: usize,
}

fn held(fleet: &Fleet) -> Held {
    let bytes = |broker: &dunepond_simulation::fleet::Broker| broker.disk.iter().map(Vec::len).sum::<usize>();
    Held { memory: HELD.load(Relaxed), folder: fleet.brokers.iter().map(bytes).max().unwrap_or(0) }
}

/// The most in the second quarter, and in the second half.
fn live(versions: u64, replacements: u64) -> (Held, Held) {
    let config = ConsensusConfig {
        lease_seconds: 0.2,
        longest_query_seconds: 0.05,
        switch_bound_seconds: 1.0,
        ..consensus_config("", VOTERS)
    };
    let mut fleet = Fleet::with_config(&config, VOTERS + OTHERS, vec![0, 1], 1);
    fleet.settlement_notices = Some(Vec::new());
    assert!(fleet.run_until(10.0, |fleet| fleet.leader().is_some() && fleet.all_have_leases()));
    // Lists of a bounded length are full from the beginning.
    for fill in 0..SETTLED {
        fleet.propose(settlements::settle_command(settlement(&fill.to_string()))).expect("a new settlement");
        if fill % 50 == 0 {
            fleet.run_until(0.02, |_| false);
        }
    }
    let mut most = [Held::default(); 2];
    for number in 1..=versions {
        let entry =
            Command::Propose(Box::new(config_version(number, Some(shard_map(number, number % 3 == 0)))));
        let _ = fleet.propose(entry);
        fleet.run_until(0.1, |_| false);
        if number % 3 == 0 {
            let _ =
                fleet.propose(Command::FillCompleted { number, segment: 0, holder: format!("cold{number}") });
            let paid = Settlement { id: format!("{number}/0/cold{number}@fleet"), ..settlement("") };
            fleet.propose(settlements::settle_command(paid)).expect("a new settlement");
        }
        // Another broker comes in the place of one, under a name that was never there.
        if number * replacements / versions != (number - 1) * replacements / versions {
            fleet.replace(VOTERS + number as usize % OTHERS, &format!("b{number}"));
        }
        let done = |fleet: &Fleet| fleet.leader().is_some_and(|n| fleet.state(n).open.is_none());
        assert!(fleet.run_until(20.0, done), "{:.1}: version {number} is over", fleet.now);
        let leader = fleet.leader().expect("it leads");
        assert_eq!(fleet.state(leader).active_number(), number, "it came into force");
        let index = fleet.state(leader).index;
        fleet.invariants.forget_before(index.saturating_sub(1000), number.saturating_sub(8));
        fleet.settlement_notices = Some(Vec::new());
        fleet.brokers.iter_mut().for_each(|broker| (broker.log.clear(), broker.rejections.clear()).0);
        // The first quarter fills what is bounded.
        if number > versions / 4 && number % (versions / 2 / LOOKS).max(1) == 0 {
            let (now, half) = (held(&fleet), &mut most[usize::from(number > versions / 2)]);
            (half.memory, half.folder) = (half.memory.max(now.memory), half.folder.max(now.folder));
        }
    }
    (most[0], most[1])
}

fn assert_flat(versions: u64, replacements: u64) {
    let (first, second) = live(versions, replacements);
    println!("{versions} versions, {replacements} members: {first:?}, then {second:?}");
    assert!((second.memory as f64) < GROWTH * first.memory as f64, "memory grows: {first:?}, {second:?}");
    assert!((second.folder as f64) < GROWTH * first.folder as f64, "folders grow: {first:?}, {second:?}");
}

#[test]
fn memory_and_folders_stay_flat() {
    assert_flat(600, 60);
}

#[test]
#[ignore = "minutes; by hand, in release"]
fn memory_and_folders_stay_flat_for_long() {
    assert_flat(10_000, 1_000);
}
