//! Tests of the buffer manager: single cases, and properties over random arrivals, failures and releases.

use dunepond_body_buffer::*;
use proptest::prelude::*;
use rstest::rstest;

const MIB: u64 = 1024 * 1024;

fn limits() -> BufferLimits {
    BufferLimits {
        max_body_bytes: 64 * MIB,
        max_body_in_memory_bytes: 2 * MIB,
        max_memory_bytes: 16 * MIB,
        spill: Some(SpillLimits {
            max_body_bytes: 8 * MIB,
            max_total_bytes: 32 * MIB,
            initial_backoff_seconds: 1.0,
            max_backoff_seconds: 8.0,
        }),
        tenant_ratio: 0.5,
        query_class_ratio: 1.0,
        window_bytes: MIB / 4,
        io_timeout_seconds: 2.0,
    }
}

fn body(tenant: usize, length: u64) -> IncomingBody {
    IncomingBody { tenant, query_class: 0, stated_length: Some(length) }
}

#[rstest]
#[case::memory_exactly(2 * MIB, Tier::Memory, None)]
#[case::memory_and_one(2 * MIB + 1, Tier::File, Some(FallbackReason::TooLongForMemory))]
#[case::file_exactly(8 * MIB, Tier::File, Some(FallbackReason::TooLongForMemory))]
#[case::file_and_one(8 * MIB + 1, Tier::PassThrough, Some(FallbackReason::TooLongForSpill))]
#[case::longest_exactly(64 * MIB, Tier::PassThrough, Some(FallbackReason::TooLongForSpill))]
fn limits_are_inclusive(#[case] length: u64, #[case] tier: Tier, #[case] reason: Option<FallbackReason>) {
    let placement = BufferManager::new(limits()).admit(0.0, body(0, length)).unwrap();
    assert_eq!((placement.tier, placement.fallback_reason), (tier, reason));
}

#[test]
fn refuses_too_long_body() {
    let mut manager = BufferManager::new(limits());
    assert_eq!(manager.admit(0.0, body(0, 64 * MIB + 1)), Err(FallbackReason::TooLong));
    assert_eq!(
        manager.fallback_counts().collect::<Vec<_>>(),
        [FallbackCount {
            tier: Tier::PassThrough,
            reason: FallbackReason::TooLong,
            query_class: 0,
            count: 1
        }]
    );
}

#[test]
fn tenant_share_is_reserved() {
    let mut manager = BufferManager::new(limits());
    let admitted: Vec<_> = (0..10).map(|_| manager.admit(0.0, body(1, 2 * MIB)).unwrap()).collect();
    // Bodies may use three quarters of the tenant's half of the memory; the rest is reserved for windows.
    assert_eq!(admitted.iter().filter(|placement| placement.tier == Tier::Memory).count(), 3);
    assert_eq!(admitted[3].fallback_reason, Some(FallbackReason::TenantMemoryFull));
    assert_eq!(manager.admit(0.0, body(2, 2 * MIB)).unwrap().tier, Tier::Memory);
}

/// A body of unknown length moves from memory to a file when it becomes too long for memory. When it becomes too long
/// for a file as well, it is rejected: it cannot be passed through.
#[test]
fn growing_body_changes_tier() {
    let mut manager = BufferManager::new(limits());
    let arrival = IncomingBody { tenant: 0, query_class: 0, stated_length: None };
    let placement = manager.admit(0.0, arrival).unwrap();
    assert_eq!(placement.tier, Tier::Memory);
    assert_eq!(manager.grow(0.0, placement.id, 2 * MIB), Ok(Tier::Memory));
    assert_eq!(manager.grow(0.0, placement.id, 2 * MIB + 1), Ok(Tier::File));
    assert_eq!(manager.grow(0.0, placement.id, 8 * MIB), Ok(Tier::File));
    assert_eq!(manager.grow(0.0, placement.id, 8 * MIB + 1), Err(FallbackReason::LengthUnknown));
}

#[test]
fn backoff_doubles_and_ends_with_probe() {
    let mut manager = BufferManager::new(limits());
    let first = manager.admit(0.0, body(0, 4 * MIB)).unwrap().id;
    assert_eq!(manager.on_disk_fault(0.0, first, DiskFault::Full), Ok(Tier::PassThrough));
    let mut at = |now: f64| {
        manager.admit(now, body(0, 4 * MIB)).map(|placement| (placement.id, placement.tier)).unwrap()
    };
    assert_eq!(at(0.9).1, Tier::PassThrough);
    let (probe, tier) = at(1.1);
    assert_eq!(tier, Tier::File);
    // Only one body is written to probe the disk; the others are passed through and do not wait for the result.
    assert_eq!(at(1.2).1, Tier::PassThrough);
    assert_eq!(manager.on_disk_fault(1.3, probe, DiskFault::Full), Ok(Tier::PassThrough));
    let mut at = |now: f64| {
        manager.admit(now, body(0, 4 * MIB)).map(|placement| (placement.id, placement.tier)).unwrap()
    };
    assert_eq!(at(3.2).1, Tier::PassThrough);
    let (probe, tier) = at(3.4);
    assert_eq!(tier, Tier::File);
    manager.complete(3.5, probe);
    assert_eq!(manager.admit(3.5, body(0, 4 * MIB)).unwrap().tier, Tier::File);
}

#[test]
fn released_probe_is_replaced() {
    let mut manager = BufferManager::new(limits());
    let first = manager.admit(0.0, body(0, 4 * MIB)).unwrap().id;
    let _ = manager.on_disk_fault(0.0, first, DiskFault::Gone);
    let probe = manager.admit(2.0, body(0, 4 * MIB)).unwrap();
    manager.release(probe.id);
    assert_eq!(manager.admit(2.1, body(0, 4 * MIB)).unwrap().tier, Tier::File);
}

#[test]
fn concurrent_failures_count_once() {
    let mut manager = BufferManager::new(limits());
    let ids: Vec<_> = (0..3).map(|_| manager.admit(0.0, body(0, 4 * MIB)).unwrap().id).collect();
    ids.iter()
        .for_each(|id| assert_eq!(manager.on_disk_fault(0.0, *id, DiskFault::Full), Ok(Tier::PassThrough)));
    assert_eq!(manager.admit(1.1, body(0, 4 * MIB)).unwrap().tier, Tier::File);
}

/// A body that is being spilled still counts as in memory until its write is finished.
#[test]
fn spills_least_recently_used() {
    let mut manager = BufferManager::new(BufferLimits { tenant_ratio: 1.0, ..limits() });
    let ids: Vec<_> = (0..5)
        .map(|i| {
            let id = manager.admit(i as f64, body(0, 2 * MIB)).unwrap().id;
            manager.complete(i as f64, id);
            id
        })
        .collect();
    manager.touch(9.0, ids[0]);
    let spilled: Vec<_> = manager.start_spills(10.0);
    assert_eq!(spilled, [ids[1], ids[2], ids[3]]);
    assert_eq!(manager.start_spills(10.0), []);
    let before = manager.usage();
    assert_eq!((before.memory_bytes, before.spill_bytes), (10 * MIB, 6 * MIB));
    spilled.iter().for_each(|id| manager.finish_spill(*id));
    assert_eq!(manager.usage().memory_bytes, 4 * MIB + 3 * MIB / 4);
}

#[test]
fn failed_spill_stays_in_memory() {
    let mut manager = BufferManager::new(BufferLimits { tenant_ratio: 1.0, ..limits() });
    for i in 0..5 {
        let id = manager.admit(i as f64, body(0, 2 * MIB)).unwrap().id;
        manager.complete(i as f64, id);
    }
    let spilled = manager.start_spills(10.0);
    assert_eq!(manager.on_disk_fault(10.0, spilled[0], DiskFault::InputOutput), Ok(Tier::Memory));
    assert_eq!(manager.usage().memory_bytes, 10 * MIB);
}

#[test]
fn lowered_limits_keep_bodies() {
    let mut manager = BufferManager::new(limits());
    let kept = manager.admit(0.0, body(0, 2 * MIB)).unwrap();
    manager.set_limits(BufferLimits {
        max_memory_bytes: MIB,
        max_body_in_memory_bytes: MIB / 4,
        spill: None,
        ..limits()
    });
    assert_eq!(manager.usage().body_memory_bytes, 2 * MIB);
    assert_eq!(manager.admit(0.0, body(0, MIB)), Err(FallbackReason::NoWindow));
    manager.release(kept.id);
    assert_eq!(manager.admit(0.0, body(0, MIB / 8)).unwrap().tier, Tier::Memory);
}

#[derive(Clone, Debug)]
enum Step {
    Admit { tenant: usize, query_class: usize, length: Option<u64> },
    Grow(usize, u64),
    Complete(usize),
    StartSpills,
    FinishSpill(usize),
    DiskFault(usize),
    Release(usize),
    SetOtherUsage(u64),
    Wait(f64),
}

fn step() -> impl Strategy<Value = Step> {
    let length = prop_oneof![0..4 * MIB, 0..70 * MIB];
    prop_oneof![
        4 => (0..3usize, 0..2usize, prop::option::weighted(0.8, length))
            .prop_map(|(tenant, query_class, length)| Step::Admit { tenant, query_class, length }),
        2 => (0..40usize, 0..MIB).prop_map(|(at, more)| Step::Grow(at, more)),
        2 => (0..40usize).prop_map(Step::Complete),
        1 => Just(Step::StartSpills),
        1 => (0..40usize).prop_map(Step::FinishSpill),
        1 => (0..40usize).prop_map(Step::DiskFault),
        3 => (0..40usize).prop_map(Step::Release),
        1 => (0..MIB).prop_map(Step::SetOtherUsage),
        1 => (0.0..3.0f64).prop_map(Step::Wait),
    ]
}

proptest! {
    // A fixed seed gives the same cases in each run, so that CI is deterministic.
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    /// In any order of steps, usage stays within the memory and file limits, and is 0 once all bodies are released.
    #[test]
    fn limits_hold_for_any_steps(steps in prop::collection::vec(step(), 1..200)) {
        let limits = BufferLimits { query_class_ratio: 0.75, ..limits() };
        let mut manager = BufferManager::new(limits.clone());
        // For each body that is not released: its number, its tenant, the bytes that have arrived, and whether it may
        // still grow.
        let mut live: Vec<(BodyId, usize, u64, bool)> = Vec::new();
        let mut now = 0.0;
        for step in steps {
            match step {
                Step::Admit { tenant, query_class, length } => {
                    let before = manager.usage();
                    match manager.admit(now, IncomingBody { tenant, query_class, stated_length: length }) {
                        Ok(placement) => live.push((placement.id, tenant, 0, length.is_none())),
                        Err(_) => prop_assert_eq!(manager.usage(), before),
                    }
                }
                Step::Grow(at, more) if !live.is_empty() => {
                    let at = at % live.len();
                    if live[at].3 {
                        live[at].2 += more;
                        if manager.grow(now, live[at].0, live[at].2).is_err() {
                            manager.release(live.swap_remove(at).0);
                        }
                    }
                }
                Step::Complete(at) if !live.is_empty() => {
                    let at = at % live.len();
                    manager.complete(now, live[at].0);
                    live[at].3 = false;
                }
                Step::StartSpills => drop(manager.start_spills(now)),
                Step::FinishSpill(at) if !live.is_empty() => manager.finish_spill(live[at % live.len()].0),
                Step::DiskFault(at) if !live.is_empty() => {
                    let at = at % live.len();
                    let _ = manager.on_disk_fault(now, live[at].0, DiskFault::Full);
                }
                Step::Release(at) if !live.is_empty() => {
                    let at = at % live.len();
                    manager.release(live.swap_remove(at).0);
                }
                Step::SetOtherUsage(bytes) => manager.set_other_usage(OtherUsage::Buffers, bytes),
                Step::Wait(seconds) => now += seconds,
                _ => {}
            }
            let usage = manager.usage();
            prop_assert_eq!(usage.bodies, live.len());
            // Other usage is reported to the manager, which cannot limit it. So only the memory of bodies is checked.
            prop_assert!(usage.body_memory_bytes <= limits.max_memory_bytes);
            prop_assert!(usage.spill_bytes <= limits.spill.as_ref().unwrap().max_total_bytes);
        }
        live.into_iter().for_each(|body| manager.release(body.0));
        let usage = manager.usage();
        prop_assert_eq!((usage.bodies, usage.body_memory_bytes, usage.spill_bytes), (0, 0, 0));
    }

    /// With an empty buffer and a working disk, each body gets the best tier that its length permits.
    #[test]
    fn empty_buffer_uses_best_tier(length in 0..70 * MIB) {
        let placement = BufferManager::new(BufferLimits { tenant_ratio: 1.0, ..limits() }).admit(0.0, body(0, length));
        let expected = match length {
            l if l > 64 * MIB => Err(FallbackReason::TooLong),
            l if l <= 2 * MIB => Ok(Tier::Memory),
            l if l <= 8 * MIB => Ok(Tier::File),
            _ => Ok(Tier::PassThrough),
        };
        prop_assert_eq!(placement.map(|placement| placement.tier), expected);
    }
}
