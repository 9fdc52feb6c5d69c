//! Kills a broker in the middle of an outage and restarts it, with and without a folder in which it persists its state, and
//! measures what the persistence costs.

use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::RunOptions;
use crate::load::{LoadReport, Workload};
use crate::report::ExperimentReport;
use crate::restart_cluster::{RestartCluster, SEGMENT_COUNT, unix_ms};
use crate::stand_ins::{Broker, Client, NodeBehavior, query_request};

/// Nodes of the cluster.
const NODE_COUNT: usize = 24;
/// In an outage, the first of each this many nodes hangs.
const HUNG_NODE_INTERVAL: usize = 4;
/// Time a node takes to answer a part, in milliseconds. The broker derives from it how long a node may be silent.
const PART_DELAY_MILLIS: u64 = 40;
/// Operator configuration that persists state, with a snapshot every second.
const STATE_KDL: &str = "state folder=\"FOLDER\" every=1.0\n";
/// Query rate.
const REQUESTS_PER_SECOND: f64 = 150.0;
/// Latency objective of the stand-in settings, in seconds; later answers count as late.
const LATENCY_TARGET_SECONDS: f64 = 0.4;
/// Number of outages. The bound applies to the median, since the machine may stall during one of them.
const OUTAGE_COUNT: u64 = 3;
/// Upper bound on the queries that are late, rejected or lost with the folder divided by those without it.
const MAX_MISSED_RATIO: f64 = 0.5;
/// Upper bound on the event loop's CPU time with persistence divided by that without it, over all rounds. CPU time does not
/// depend on what else waits for a core, but it does depend on what else is in the core's caches: on a machine with five times
/// the load it can handle, the ratio was 0.97 to 1.09.
const MAX_CPU_RATIO: f64 = 1.2;
/// Upper bound on the time that reading the folder adds to a start, in milliseconds.
const MAX_EXTRA_START_MS: f64 = 20.0;

/// Sends queries of four segments each to the broker for this long.
fn run_load(broker: &Broker, seconds: f64, seed: u64, prefix: &'static str) -> LoadReport {
    let workload = Workload {
        broker_address: broker.address,
        requests_per_second: REQUESTS_PER_SECOND,
        duration_seconds: seconds,
        seed,
        id_prefix: prefix,
    };
    workload.run_with(
        move |i| {
            let segments: Vec<_> = (0..4).map(|j| (i * 7 + j * 11) % SEGMENT_COUNT).collect();
            query_request("find", &format!("{prefix}{i}"), &segments, "2.0")
        },
        |_, _, _| {},
    )
}

/// Returns the number of queries that were late, rejected or lost.
fn not_served_in_time(load_report: &LoadReport) -> f64 {
    let late = load_report.latencies_micros.len()
        - load_report.latencies_micros.count_between(0, (1e6 * LATENCY_TARGET_SECONDS) as u64);
    (late + load_report.rejected_count + load_report.failed_count) as f64
}

/// Measurements of the first seconds after a restart in the middle of an outage.
struct Outage {
    /// Results of the queries after the restart.
    report: LoadReport,
    /// Parts that were sent to hung nodes after the restart.
    sent_to_hung: usize,
}

/// Runs an outage in which the broker is killed and restarted.
fn run_outage(options: &RunOptions, kdl: &str, seconds: f64, seed: u64) -> Outage {
    let mut cluster = RestartCluster::new(&options.program, NODE_COUNT);
    // The retry budget is small, like that of a deployment that has just used it up, so parts sent to hung nodes are late.
    cluster.adjust_config = |config| {
        let rules = &mut config["settings"]["rules"];
        (rules["freeResends"], rules["repeatRatio"]) = (json!(5.0), json!(0.02));
    };
    cluster.set_behavior_of_every(1, NodeBehavior::DelayMillis(PART_DELAY_MILLIS));
    let mut first = cluster.start_broker(kdl);
    run_load(&first, 2.0, seed, "a");
    cluster.set_behavior_of_every(HUNG_NODE_INTERVAL, NodeBehavior::Hang);
    run_load(&first, 3.0, seed + 1, "b");
    first.signal("KILL");
    first.exit_code();
    let parts_to_hung = || {
        cluster
            .nodes
            .iter()
            .step_by(HUNG_NODE_INTERVAL)
            .map(|node| node.frames_of_type('A').len())
            .sum::<usize>()
    };
    let before = parts_to_hung();
    let second = cluster.start_broker(kdl);
    let report = run_load(&second, seconds, seed + 2, "c");
    Outage { report, sent_to_hung: parts_to_hung() - before }
}

/// Returns the time from the start of a broker to its first served query, in seconds, after an earlier broker was killed.
/// Returns `f64::MAX` if the query was not served.
fn seconds_to_first_query(cluster: &RestartCluster, kdl: &str) -> f64 {
    let mut broker = cluster.start_broker(kdl);
    run_load(&broker, 0.5, 5, "w");
    thread::sleep(Duration::from_millis(200));
    broker.signal("KILL");
    broker.exit_code();
    let began = Instant::now();
    let broker = cluster.start_broker(kdl);
    let answer = Client::connect(&broker).request(&query_request("find", "first", &[0, 1], "2.0"));
    let elapsed = began.elapsed().as_secs_f64();
    if answer.status == 200 { elapsed } else { f64::MAX }
}

/// Returns the CPU time that the event loop's thread has used so far, in seconds. Other load on the machine is not included.
fn total_loop_cpu_seconds(broker: &Broker) -> f64 {
    let pid = broker.pid();
    let stat = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/schedstat")).unwrap_or_default();
    stat.split(' ').next().and_then(|nanos| nanos.parse::<f64>().ok()).map_or(f64::NAN, |nanos| nanos / 1e9)
}

/// Measurements of a round without any faults.
struct Round {
    /// Results of the queries.
    report: LoadReport,
    /// CPU time of the event loop's thread per query, in seconds.
    loop_cpu_seconds_per_query: f64,
}

/// Runs a round without any faults, which starts when both sides have reached the barrier.
fn run_round(broker: &Broker, seconds: f64, seed: u64, barrier: &Barrier) -> Round {
    run_load(broker, 0.5, 3, "w");
    barrier.wait();
    let before = total_loop_cpu_seconds(broker);
    let report = run_load(broker, seconds, seed, "o");
    let loop_cpu_seconds_per_query =
        (total_loop_cpu_seconds(broker) - before) / report.latencies_micros.len() as f64;
    Round { report, loop_cpu_seconds_per_query }
}

/// Returns the bytes written by snapshots, read from the last log line about them, per second of the broker's uptime.
fn snapshot_bytes_per_second(broker: &Broker, seconds: f64) -> f64 {
    thread::sleep(Duration::from_millis(600));
    let log = broker.log_text();
    let line = log.lines().rev().find(|line| line.contains("snapshot: "));
    let bytes = line.and_then(|line| line.split(" s, ").nth(1)?.split(' ').next()?.parse::<f64>().ok());
    bytes.unwrap_or(f64::MAX) / seconds
}

fn median(mut samples: Vec<f64>) -> f64 {
    samples.sort_by(f64::total_cmp);
    samples[samples.len() / 2]
}

/// Measurements of a crash loop.
struct CrashLoop {
    /// Smallest margin of the retry budget over all incarnations, in retries; negative if the budget was exceeded.
    budget_margin: f64,
    /// Largest number of parts that the node in slow start got within one second.
    max_cold_parts: f64,
}

/// Kills and restarts the broker about every 300 ms while all nodes fail their parts except one in slow start.
fn run_crash_loop(options: &RunOptions, kdl: &str, seconds: f64) -> CrashLoop {
    let mut cluster = RestartCluster::new(&options.program, NODE_COUNT);
    cluster.publish_node_restart(1, unix_ms());
    // All other nodes fail, so that every part needs retries.
    cluster.set_behavior_of_every(1, NodeBehavior::ReplyStatus("fault"));
    cluster.nodes[1].set_behavior(NodeBehavior::Serve);
    let began = Instant::now();
    let (mut incarnation, mut request_times) = (0, Vec::new());
    while began.elapsed().as_secs_f64() < seconds {
        let mut broker = cluster.start_broker(kdl);
        let client_start = Instant::now();
        let mut client = Client::connect(&broker);
        let mut i = 0;
        while client_start.elapsed() < Duration::from_millis(260) {
            i += 1;
            request_times.push(Instant::now());
            client.try_request(&query_request(
                "find",
                &format!("l{incarnation}-{i}"),
                &[i % SEGMENT_COUNT, (i + 7) % SEGMENT_COUNT],
                "0.3",
            ));
            thread::sleep(Duration::from_millis(15));
        }
        broker.signal("KILL");
        broker.exit_code();
        incarnation += 1;
    }
    let mut max_cold_parts = 0;
    let arrivals: Vec<_> = cluster.nodes[1].part_arrivals().into_iter().map(|(at, _)| at).collect();
    for (i, at) in arrivals.iter().enumerate() {
        let within =
            arrivals[..=i].iter().filter(|earlier| *at - **earlier <= Duration::from_secs(1)).count();
        max_cold_parts = max_cold_parts.max(within);
    }
    let budget_margin = cluster.retry_budget_margin(&request_times, 20.0, 0.1, 2.0);
    CrashLoop { budget_margin, max_cold_parts: max_cold_parts as f64 }
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<ExperimentReport> {
    let mut experiment_report = ExperimentReport::default();
    report_outages(options, &mut experiment_report);
    eprintln!("ordinary path ...");
    // Each side has a cluster of its own, so that its nodes do not do work of the other side.
    let cluster = RestartCluster::new(&options.program, NODE_COUNT);
    let other = RestartCluster::new(&options.program, NODE_COUNT);
    report_cost_without_faults(options, &mut experiment_report, &cluster, &other)?;
    report_starts(options, &mut experiment_report, &cluster);
    eprintln!("crash loops ...");
    report_crash_loops(options, &mut experiment_report);
    Ok(experiment_report)
}

/// A value for each side of a comparison.
struct Sides<T> {
    /// Value of the side that persists its state in a folder.
    with: T,
    /// Value of the side without a folder.
    without: T,
}

/// Runs all outages on both sides and reports the queries that were late, rejected or lost.
fn report_outages(options: &RunOptions, experiment_report: &mut ExperimentReport) {
    let seconds = if options.quick { 3.0 } else { 10.0 };
    let mut not_served = Sides { with: 0.0, without: 0.0 };
    let mut sent_to_hung = Sides { with: 0, without: 0 };
    let mut ratios = Vec::new();
    for round in 0..OUTAGE_COUNT {
        eprintln!("outage {round} ...");
        let seed = options.seed + 10 * round;
        // Both sides run at the same time, so that a stall of the machine makes both late.
        let [with, without] = thread::scope(|scope| {
            let sides =
                [STATE_KDL, ""].map(|kdl| scope.spawn(move || run_outage(options, kdl, seconds, seed)));
            sides.map(|side| side.join().expect("the thread of a side does not panic"))
        });
        let (missed, missed_without) =
            (not_served_in_time(&with.report), not_served_in_time(&without.report));
        not_served.with += missed;
        not_served.without += missed_without;
        ratios.push(missed / missed_without.max(1.0));
        sent_to_hung.with += with.sent_to_hung;
        sent_to_hung.without += without.sent_to_hung;
        if round == 0 {
            let curves =
                vec![with.report.latency_curve("with the folder"), without.report.latency_curve("without")];
            experiment_report.add_plot("first-seconds", "percent of scans", "ms", curves);
        }
    }
    experiment_report.add_value("scans a run after the start", REQUESTS_PER_SECOND * seconds, "");
    experiment_report.add_value("late or lost without the folder, all runs", not_served.without, "");
    experiment_report.add_value("late or lost with the folder, all runs", not_served.with, "");
    let name = "late or lost, with against without, middle of runs";
    experiment_report.add_bounded_value(name, median(ratios), MAX_MISSED_RATIO, "times");
    experiment_report.add_value("parts sent to nodes that hang, without", sent_to_hung.without as f64, "");
    experiment_report.add_value("parts sent to nodes that hang, with", sent_to_hung.with as f64, "");
}

/// Reports what snapshots cost without any faults. Both sides get the same load at the same time in each round, so that other
/// load on the machine affects both.
fn report_cost_without_faults(
    options: &RunOptions,
    experiment_report: &mut ExperimentReport,
    cluster: &RestartCluster,
    other: &RestartCluster,
) -> anyhow::Result<()> {
    let (seconds, rounds) = if options.quick { (0.8, 11) } else { (2.0, 15) };
    let mut sides = Sides { with: Vec::new(), without: Vec::new() };
    let mut bytes_an_hour = 0.0;
    for round in 0..rounds {
        // State persisted in the previous round would save this one retries, so the folder starts empty.
        std::fs::remove_dir_all(&cluster.state_folder)?;
        std::fs::create_dir(&cluster.state_folder)?;
        let with = cluster.start_broker(&format!("{STATE_KDL}counters every=0.5\n"));
        let without = other.start_broker("");
        let (barrier, seed) = (&Barrier::new(2), options.seed + round);
        thread::scope(|scope| {
            let start = |broker| scope.spawn(move || run_round(broker, seconds, seed, barrier));
            let [with, without] = [&with, &without].map(start);
            sides.with.push(with.join().expect("the thread of a side does not panic"));
            sides.without.push(without.join().expect("the thread of a side does not panic"));
        });
        if round + 1 == rounds {
            bytes_an_hour = 3600.0 * snapshot_bytes_per_second(&with, seconds + 1.1);
        }
    }
    let p99_ms =
        |side: &[Round]| 1e3 * median(side.iter().map(|round| round.report.latency_seconds(0.99)).collect());
    experiment_report.add_value("p99 without snapshots, middle of rounds", p99_ms(&sides.without), "ms");
    experiment_report.add_value("p99 with a snapshot a second, middle of rounds", p99_ms(&sides.with), "ms");
    let cpu_micros = |side: &[Round]| {
        1e6 * side.iter().map(|round| round.loop_cpu_seconds_per_query).sum::<f64>() / side.len() as f64
    };
    let (with, without) = (cpu_micros(&sides.with), cpu_micros(&sides.without));
    experiment_report.add_value("core time of the loop a scan, without", without, "us");
    experiment_report.add_value("core time of the loop a scan, with", with, "us");
    let name = "core time of the loop, with against without";
    experiment_report.add_bounded_value(name, with / without, MAX_CPU_RATIO, "times");
    experiment_report.add_value("bytes written an hour", bytes_an_hour, "bytes");
    Ok(())
}

/// Reports the time from the start of a broker to its first served query, and what the folder adds to it.
fn report_starts(options: &RunOptions, experiment_report: &mut ExperimentReport, cluster: &RestartCluster) {
    let count = if options.quick { 5 } else { 9 };
    let (mut without, mut added_seconds) = (Vec::new(), Vec::new());
    for _ in 0..count {
        // The two sides alternate, so that other load on the machine affects both.
        let start_with = seconds_to_first_query(cluster, STATE_KDL);
        let start_without = seconds_to_first_query(cluster, "");
        without.push(start_without);
        added_seconds.push(start_with - start_without);
    }
    let name = "start to first scan served, without, middle of starts";
    experiment_report.add_value(name, 1e3 * median(without), "ms");
    let name = "start to first scan served, with less without, middle of starts";
    experiment_report.add_bounded_value(name, 1e3 * median(added_seconds), MAX_EXTRA_START_MS, "ms");
}

/// Reports retries over the budget and the load of a node in slow start during crash loops.
fn report_crash_loops(options: &RunOptions, experiment_report: &mut ExperimentReport) {
    let seconds = if options.quick { 3.0 } else { 20.0 };
    let with = run_crash_loop(options, STATE_KDL, seconds);
    let without = run_crash_loop(options, "", seconds);
    let over_budget = |side: &CrashLoop| (-side.budget_margin).max(0.0);
    let name = "crash loop: further dispatches over the budget, with";
    experiment_report.add_bounded_value(name, over_budget(&with), 0.0, "");
    experiment_report.add_value(
        "crash loop: further dispatches over the budget, without",
        over_budget(&without),
        "",
    );
    let name = "crash loop: parts to a cold node in a second, without";
    experiment_report.add_value(name, without.max_cold_parts, "");
    let name = "crash loop: parts to a cold node in a second, with";
    experiment_report.add_bounded_value(name, with.max_cold_parts, without.max_cold_parts.max(1.0), "");
}
