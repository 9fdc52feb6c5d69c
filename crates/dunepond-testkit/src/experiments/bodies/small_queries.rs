//! Measures how large bodies that pass through the broker at the same time affect the latency of small queries.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use anyhow::ensure;

use super::{RunOptions, cluster};
use crate::body_cluster::{BodyCluster, BodyNodeBehavior, BodyRequest, body_request, mib_bytes};
use crate::load::{LoadReport, Workload};
use crate::report::ExperimentReport;

/// Upper bound on the p99 of small queries next to large bodies divided by that of small queries alone in the same run.
const MAX_LATENCY_RATIO: f64 = 1.5;
/// Rate of small queries.
const REQUESTS_PER_SECOND: f64 = 400.0;
/// Upload rate of a large body: that of a client on a fast network, since loopback would be faster than any real client.
const STREAM_BYTES_PER_SECOND: u64 = 128_000_000;
/// Disk fault that makes operations stall for 2 s; it is switched on and off every `STALL_TOGGLE_INTERVAL`.
const DISK_STALL_FAULT: &str = "stall 2";
/// Time between switching the disk fault on and off.
const STALL_TOGGLE_INTERVAL: Duration = Duration::from_millis(500);

/// Results of the small queries, one per round for each condition.
#[derive(Default)]
struct Rounds {
    /// Small queries without any large bodies.
    alone: Vec<LoadReport>,
    /// Small queries next to large bodies that are spilled to files.
    with_files: Vec<LoadReport>,
    /// Small queries next to large bodies on a disk that stalls from time to time.
    with_stalls: Vec<LoadReport>,
}

/// Median and maximum of the rounds' p99 latencies, in seconds.
struct RoundP99s {
    median: f64,
    max: f64,
}

impl RoundP99s {
    fn of(rounds: &[LoadReport]) -> Self {
        let mut latencies: Vec<_> = rounds.iter().map(|round| round.latency_seconds(0.99)).collect();
        latencies.sort_by(f64::total_cmp);
        Self { median: latencies[latencies.len() / 2], max: latencies[latencies.len() - 1] }
    }
}

/// Runs small queries on one cluster, with a distinct request id prefix per run.
struct SmallQueries<'a> {
    cluster: &'a BodyCluster,
    seconds: f64,
    runs: AtomicU64,
}

impl SmallQueries<'_> {
    fn run(&self, seed: u64) -> LoadReport {
        let number = self.runs.fetch_add(1, Ordering::Relaxed) + 1;
        let workload = Workload {
            broker_address: self.cluster.broker.address,
            requests_per_second: REQUESTS_PER_SECOND,
            duration_seconds: self.seconds,
            seed,
            id_prefix: Box::leak(format!("s{number}-").into_boxed_str()),
        };
        workload.run()
    }

    /// Runs small queries next to a stream of large bodies, with the given disk fault toggled, or a working disk if it is empty.
    /// Adds the number of large bodies answered with status 200 to `served`.
    fn run_with_large_bodies(&self, disk_fault: &str, seed: u64, served: &AtomicU64) -> LoadReport {
        let stop = &AtomicBool::new(false);
        let cluster = self.cluster;
        cluster.set_disk_fault(disk_fault);
        thread::scope(|scope| {
            let prefix = format!("{seed}{}-", if disk_fault.is_empty() { "f" } else { "d" });
            scope.spawn(move || stream_large_bodies(cluster, &prefix, stop, served));
            let toggler = scope.spawn(|| toggle_disk_fault(cluster, disk_fault, stop));
            let report = self.run(seed);
            stop.store(true, Ordering::Relaxed);
            let _ = toggler.join();
            cluster.set_disk_fault("");
            report
        })
    }
}

/// Switches the disk fault off and on until stopped; returns at once if `disk_fault` is empty.
fn toggle_disk_fault(cluster: &BodyCluster, disk_fault: &str, stop: &AtomicBool) {
    while !disk_fault.is_empty() && !stop.load(Ordering::Relaxed) {
        thread::sleep(STALL_TOGGLE_INTERVAL);
        cluster.set_disk_fault("");
        thread::sleep(STALL_TOGGLE_INTERVAL);
        cluster.set_disk_fault(disk_fault);
    }
}

/// Sends 64 MiB bodies one after the other until stopped, and counts those answered with status 200.
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

/// Measures in several rounds and compares medians, so that a stall of the machine in one round does not decide the result.
pub(super) fn report_small_queries(
    options: &RunOptions,
    experiment_report: &mut ExperimentReport,
) -> anyhow::Result<()> {
    let (round_count, seconds) = if options.quick { (3, 1.0) } else { (7, 2.0) };
    let cluster = cluster(options, &[BodyNodeBehavior::Serve; 3], true, "1MiB");
    let small_queries = SmallQueries { cluster: &cluster, seconds, runs: AtomicU64::new(0) };
    let served = AtomicU64::new(0);
    small_queries.run(options.seed);
    let mut rounds = Rounds::default();
    for round in 0..round_count {
        let seed = options.seed + 10 * round;
        rounds.alone.push(small_queries.run(seed));
        rounds.with_files.push(small_queries.run_with_large_bodies("", seed + 1, &served));
        rounds.with_stalls.push(small_queries.run_with_large_bodies(DISK_STALL_FAULT, seed + 2, &served));
    }
    let served = served.into_inner();
    ensure!(served > 0, "none of the 64 MiB bodies was answered with status 200 while small queries ran");
    report(experiment_report, &rounds, served);
    Ok(())
}

fn report(experiment_report: &mut ExperimentReport, rounds: &Rounds, served: u64) {
    let alone = RoundP99s::of(&rounds.alone);
    let with_files = RoundP99s::of(&rounds.with_files);
    let with_stalls = RoundP99s::of(&rounds.with_stalls);
    experiment_report.add_value("small scans alone, p99, median of rounds", 1e3 * alone.median, "ms");
    let name = "beside 64 MiB bodies in files, p99, median of rounds";
    experiment_report.add_value(name, 1e3 * with_files.median, "ms");
    experiment_report.add_value("the same, worst round", 1e3 * with_files.max, "ms");
    let name = "the same with a disk that stalls, p99, median of rounds";
    experiment_report.add_value(name, 1e3 * with_stalls.median, "ms");
    experiment_report.add_value("the same, worst round", 1e3 * with_stalls.max, "ms");
    experiment_report.add_value("64 MiB bodies served meanwhile", served as f64, "");
    let ratio = with_files.median / alone.median;
    experiment_report.add_bounded_value("p99 beside files, against alone", ratio, MAX_LATENCY_RATIO, "times");
    let ratio = with_stalls.median / alone.median;
    experiment_report.add_bounded_value(
        "p99 beside a stalling disk, against alone",
        ratio,
        MAX_LATENCY_RATIO,
        "times",
    );
    let all_rounds = rounds.alone.iter().chain(&rounds.with_files).chain(&rounds.with_stalls);
    let not_served: u64 = all_rounds.map(|round| round.failed_count + round.rejected_count).sum();
    experiment_report.add_bounded_value("small scans lost or refused", not_served as f64, 0.0, "");
    let curves = vec![
        rounds.alone[0].latency_curve("alone"),
        rounds.with_files[0].latency_curve("files"),
        rounds.with_stalls[0].latency_curve("stalling disk"),
    ];
    experiment_report.add_plot("small-scans", "percent of small scans", "ms", curves);
}
