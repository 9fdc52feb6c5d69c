//! Small queries beside large bodies: what they feel of it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use anyhow::ensure;

use super::{RunOptions, cluster};
use crate::body_cluster::{BodyCluster, BodyNodeBehavior, BodyRequest, body_request, mib_bytes};
use crate::load::{Load, LoadReport};
use crate::report::Figures;

/// The latency of small queries beside large bodies, against small queries alone in the same run.
const MAX_LATENCY_RATIO: f64 = 1.5;
const REQUESTS_PER_SECOND: f64 = 400.0;
/// A client on a fast network, not one on this machine's loopback.
const STREAM_BYTES_PER_SECOND: u64 = 128_000_000;
/// A disk that stalls for 2 s at a time, and works well in between.
const STALL: &str = "stall 2";
const STALL_TURN: Duration = Duration::from_millis(500);

/// Small queries of all rounds, in each of three circumstances.
#[derive(Default)]
struct Rounds {
    alone: Vec<LoadReport>,
    with_files: Vec<LoadReport>,
    with_stalls: Vec<LoadReport>,
}

/// The p99 of rounds, in seconds.
struct RoundLatencies {
    median: f64,
    max: f64,
}

impl RoundLatencies {
    fn of(rounds: &[LoadReport]) -> Self {
        let mut latencies: Vec<_> = rounds.iter().map(|round| round.latency_seconds(0.99)).collect();
        latencies.sort_by(f64::total_cmp);
        Self { median: latencies[latencies.len() / 2], max: latencies[latencies.len() - 1] }
    }
}

/// Runs small queries through one cluster, each time under ids of their own.
struct SmallQueries<'a> {
    cluster: &'a BodyCluster,
    seconds: f64,
    runs: AtomicU64,
}

impl SmallQueries<'_> {
    fn run(&self, seed: u64) -> LoadReport {
        let number = self.runs.fetch_add(1, Ordering::Relaxed) + 1;
        let load = Load {
            to: self.cluster.broker.address,
            requests_per_second: REQUESTS_PER_SECOND,
            duration_seconds: self.seconds,
            seed,
            id_prefix: Box::leak(format!("s{number}-").into_boxed_str()),
        };
        load.run()
    }

    /// Beside a stream of large bodies, whose answers with 200 are added to `served`.
    fn run_beside(&self, disk: &str, seed: u64, served: &AtomicU64) -> LoadReport {
        let stop = &AtomicBool::new(false);
        let cluster = self.cluster;
        cluster.set_disk_fault(disk);
        thread::scope(|scope| {
            let prefix = format!("{seed}{}-", if disk.is_empty() { "f" } else { "d" });
            scope.spawn(move || stream_large_bodies(cluster, &prefix, stop, served));
            let stalls = scope.spawn(|| stall_by_turns(cluster, disk, stop));
            let report = self.run(seed);
            stop.store(true, Ordering::Relaxed);
            let _ = stalls.join();
            cluster.set_disk_fault("");
            report
        })
    }
}

fn stall_by_turns(cluster: &BodyCluster, disk: &str, stop: &AtomicBool) {
    while !disk.is_empty() && !stop.load(Ordering::Relaxed) {
        thread::sleep(STALL_TURN);
        cluster.set_disk_fault("");
        thread::sleep(STALL_TURN);
        cluster.set_disk_fault(disk);
    }
}

/// Sends bodies of 64 MiB one after the other until it is to stop.
fn stream_large_bodies(cluster: &BodyCluster, prefix: &str, stop: &AtomicBool, served: &AtomicU64) {
    for i in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let request = BodyRequest {
            bytes_per_second: Some(STREAM_BYTES_PER_SECOND),
            ..body_request("find", &format!("{prefix}{i}"), &[0, 1], mib_bytes(64))
        };
        if cluster.send(&request).status() == 200 {
            served.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// In rounds, of which the middle one counts: a hiccup of the machine in one round is not the broker's.
pub(super) fn report_small_queries(options: &RunOptions, figures: &mut Figures) -> anyhow::Result<()> {
    let (round_count, seconds) = if options.quick { (3, 1.0) } else { (7, 2.0) };
    let cluster = cluster(options, &[BodyNodeBehavior::Serve; 3], true, "1MiB");
    let small = SmallQueries { cluster: &cluster, seconds, runs: AtomicU64::new(0) };
    let served = AtomicU64::new(0);
    small.run(options.seed);
    let mut rounds = Rounds::default();
    for round in 0..round_count {
        let seed = options.seed + 10 * round;
        rounds.alone.push(small.run(seed));
        rounds.with_files.push(small.run_beside("", seed + 1, &served));
        rounds.with_stalls.push(small.run_beside(STALL, seed + 2, &served));
    }
    let served = served.into_inner();
    ensure!(served > 0, "no body of 64 MiB was served beside the small scans");
    report(figures, &rounds, served);
    Ok(())
}

fn report(figures: &mut Figures, rounds: &Rounds, served: u64) {
    let alone = RoundLatencies::of(&rounds.alone);
    let with_files = RoundLatencies::of(&rounds.with_files);
    let with_stalls = RoundLatencies::of(&rounds.with_stalls);
    figures.report("small scans alone, p99, median of rounds", 1e3 * alone.median, "ms");
    let name = "beside 64 MiB bodies in files, p99, median of rounds";
    figures.report(name, 1e3 * with_files.median, "ms");
    figures.report("the same, worst round", 1e3 * with_files.max, "ms");
    let name = "the same with a disk that stalls, p99, median of rounds";
    figures.report(name, 1e3 * with_stalls.median, "ms");
    figures.report("the same, worst round", 1e3 * with_stalls.max, "ms");
    figures.report("64 MiB bodies served meanwhile", served as f64, "");
    let ratio = with_files.median / alone.median;
    figures.report_bounded("p99 beside files, against alone", ratio, MAX_LATENCY_RATIO, "times");
    let ratio = with_stalls.median / alone.median;
    figures.report_bounded("p99 beside a stalling disk, against alone", ratio, MAX_LATENCY_RATIO, "times");
    let all = rounds.alone.iter().chain(&rounds.with_files).chain(&rounds.with_stalls);
    let not_served: u64 = all.map(|round| round.failed + round.rejected).sum();
    figures.report_bounded("small scans lost or refused", not_served as f64, 0.0, "");
    let curves = vec![
        rounds.alone[0].latency_curve("alone"),
        rounds.with_files[0].latency_curve("files"),
        rounds.with_stalls[0].latency_curve("stalling disk"),
    ];
    figures.plot("small-scans", "percent of small scans", "ms", curves);
}
