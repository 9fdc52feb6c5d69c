//! Time and memory that verification takes for maps of up to a million segments with three replicas each. Memory is
//! measured by an allocator that adds up the requested sizes; what the system allocator adds by rounding up is not
//! counted.

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput};
use dunepond_shard_map::*;

struct Counting;

static HELD: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

// Safety: all calls are passed on to the system allocator unchanged; only the sizes are counted.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let held = HELD.fetch_add(layout.size(), Relaxed) + layout.size();
        PEAK.fetch_max(held, Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

const TERMS: MapConstraints = MapConstraints { min_replicas: 2, min_zones: 2 };
const NODES: u64 = 60;

fn nodes() -> Vec<Node> {
    let node = |i| Node {
        name: format!("node-{i:02}"),
        zone: format!("z{}", i % 3),
        partner: format!("partner-{}", i % 4),
        draining: false,
    };
    (0..NODES).map(node).collect()
}

fn segment(id: u64, keys: KeyRange, seed: u64) -> Segment {
    let name = |i: u64| format!("node-{:02}", (seed + i) % NODES);
    let holders = (0..3).map(|i| Replica {
        node: name(i),
        partner: format!("partner-{}", (seed + i) % NODES % 4),
        filled: true,
        share: [0.5, 0.25, 0.25][i as usize],
    });
    Segment { id, keys, owner: name(0), replicas: holders.collect() }
}

fn map(count: u64) -> ShardMap {
    let width = u64::MAX / count;
    let keys = |i| KeyRange { from: i * width, to: (i + 1 < count).then(|| (i + 1) * width) };
    let segments = (0..count).map(|i| segment(i, keys(i), i % NODES)).collect();
    ShardMap { epoch: 1, hash: KEY_HASH.to_string(), segments, digest: String::new() }.with_digest()
}

/// Returns a delta that changes `k` segments spread over the map. Each of them gets the next node as its owner and one
/// replica on another node than before.
fn change(from: &VerifiedMap, k: usize) -> MapDelta {
    let every = from.len() / k;
    let old = (0..k).map(|i| from.segment((i * every) as u64).unwrap());
    let put = old.map(|old| segment(old.id, old.keys, old.id % NODES + 1)).collect();
    let change = MapDelta {
        epoch: 2,
        base_digest: String::new(),
        removed: vec![],
        upserted: put,
        digest: String::new(),
    };
    change.with_digests(from)
}

fn mib(bytes: usize) -> f64 {
    bytes as f64 / f64::from(1 << 20)
}

/// Returns the result of `make`, the bytes that `make` leaves allocated, and the peak of the allocated bytes while it
/// runs, both above what was allocated before.
fn counted<T>(make: impl FnOnce() -> T) -> (T, usize, usize) {
    let before = HELD.load(Relaxed);
    PEAK.store(before, Relaxed);
    let made = make();
    (made, HELD.load(Relaxed) - before, PEAK.load(Relaxed) - before)
}

fn memory() {
    let count = 1_000_000;
    let (whole, held, _) = counted(|| map(count));
    println!("memory, {count} segments: map {:.0} MiB", mib(held));
    let (verified_map, held, peak) = counted(|| verify(&whole, &nodes(), &TERMS).unwrap());
    println!(
        "memory, verify: verified map {:.0} MiB beside the map, {:.0} MiB at the highest",
        mib(held),
        mib(peak)
    );
    drop((whole, verified_map));
    let whole = map(count);
    let before = HELD.load(Relaxed);
    PEAK.store(before, Relaxed);
    let verified_map = verify_owned(whole, &nodes(), &TERMS).unwrap();
    let (more, peak) = (HELD.load(Relaxed) as f64 - before as f64, PEAK.load(Relaxed) - before);
    let more = more / f64::from(1 << 20);
    println!(
        "memory, verify_owned: verified map {more:+.0} MiB against the map, {:+.0} MiB at the highest",
        mib(peak)
    );
    for k in [1, 100, 10_000] {
        let change = change(&verified_map, k);
        let (_moved, held, peak) = counted(|| verify_delta(&verified_map, &change).unwrap());
        let (held, peak) = (held / 1024, peak / 1024);
        println!(
            "memory, a delta of {k}: {held} KiB beside the verified map before, {peak} KiB at the highest"
        );
    }
}

fn times(criterion: &mut Criterion) {
    let nodes = nodes();
    for count in [10_000, 100_000, 1_000_000] {
        let whole = map(count);
        let verified_map = verify(&whole, &nodes, &TERMS).unwrap();
        let mut group = criterion.benchmark_group("whole");
        group.sample_size(10).throughput(Throughput::Elements(count));
        group.bench_with_input(BenchmarkId::new("check_own", count), &whole, |bench, whole| {
            let all = |map| verify_owned(map, &nodes, &TERMS).unwrap();
            bench.iter_batched(|| whole.clone(), all, BatchSize::PerIteration);
        });
        let mut shuffled = whole.clone();
        // The stride 617 has no factor in common with the segment count, a power of ten, so each segment is visited
        // once. The order is far from that of the keys.
        let order = |i: usize| (i * 617) % whole.segments.len();
        shuffled.segments = (0..whole.segments.len()).map(|i| whole.segments[order(i)].clone()).collect();
        group.bench_with_input(BenchmarkId::new("check_own, unsorted", count), &shuffled, |bench, whole| {
            let all = |map| verify_owned(map, &nodes, &TERMS).unwrap();
            bench.iter_batched(|| whole.clone(), all, BatchSize::PerIteration);
        });
        drop(shuffled);
        group.bench_with_input(BenchmarkId::new("digest_of", count), &whole, |bench, whole| {
            bench.iter(|| whole.compute_digest());
        });
        drop(whole);
        let other = verify_delta(&verified_map, &change(&verified_map, 100)).unwrap().to().clone();
        group.bench_with_input(BenchmarkId::new("check_move", count), &other, |bench, other| {
            bench.iter(|| verify_transition(&verified_map, other).unwrap());
        });
        group.finish();
        let mut group = criterion.benchmark_group("change");
        for k in [1, 16, 256] {
            let change = change(&verified_map, k);
            group.throughput(Throughput::Elements(k as u64));
            let id = BenchmarkId::new(format!("check_change of {k}"), count);
            group.bench_with_input(id, &change, |bench, change| {
                bench.iter(|| verify_delta(&verified_map, change).unwrap());
            });
        }
        group.finish();
        let mut group = criterion.benchmark_group("scan");
        let moved = verify_delta(&verified_map, &change(&verified_map, 100)).unwrap();
        group.bench_function(BenchmarkId::new("owner_at", count), |bench| {
            let mut key = 1_u64;
            bench.iter(|| {
                key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                black_box(moved.owner_of_key(key, TransitionPhase::Joint));
            });
        });
        let queried = [KeyRange { from: 1 << 62, to: Some((1 << 62) + (u64::MAX / count) * 1000) }];
        let parts: Vec<_> = verified_map
            .overlapping(queried[0])
            .map(|s| AnsweredPart {
                segment: s.id,
                keys: s.keys.intersection(&queried[0]).unwrap(),
                epoch: 1,
            })
            .collect();
        group.throughput(Throughput::Elements(parts.len() as u64));
        group.bench_function(BenchmarkId::new("covers, 1000 parts", count), |bench| {
            bench.iter(|| verify_coverage(&verified_map, &queried, &parts).unwrap());
        });
        group.finish();
    }
}

fn main() {
    memory();
    let mut criterion = Criterion::default().configure_from_args();
    times(&mut criterion);
    criterion.final_summary();
}
