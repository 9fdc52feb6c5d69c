//! A broker that is killed in the middle of an outage and started again, with and without a folder that lasts; and what
//! keeping it costs.

use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::RunOptions;
use crate::load::{Load, LoadReport};
use crate::report::Figures;
use crate::restart_cluster::{RestartCluster, SEGMENT_COUNT, unix_ms};
use crate::stand_ins::{Broker, Client, NodeBehavior, query_request};

const NODES: usize = 24;
const HUNG_EVERY: usize = 4;
/// Milliseconds that a node takes over a part: what silence is, is told by that.
const PART_MILLIS: u64 = 40;
const WITH_FOLDER: &str = "state folder=\"FOLDER\" every=1.0\n";
const RATE: f64 = 150.0;
/// The target time of the stand-in settings: later than this counts as late.
const TARGET: f64 = 0.4;
/// Outages that are played; the middle one counts, as the machine may stand still in one of them.
const OUTAGES: u64 = 3;
/// Of the scans late or lost without the folder, so many may be left with it.
const MAX_BAD_RATIO: f64 = 0.5;
/// What keeping may cost the loop, in core time over all rounds: a count that does not hang on who else waits for a core, but
/// still on what else is in its caches. Beside five times the load that the machine can bear it was 0.97 to 1.09.
const MAX_CPU_RATIO: f64 = 1.2;
/// What reading the folder may add to a start.
const MAX_EXTRA_START_MS: f64 = 20.0;

fn load(broker: &Broker, seconds: f64, seed: u64, prefix: &'static str) -> LoadReport {
    let load = Load {
        to: broker.address,
        requests_per_second: RATE,
        duration_seconds: seconds,
        seed,
        id_prefix: prefix,
    };
    load.run_with(
        move |i| {
            let segs: Vec<_> = (0..4).map(|j| (i * 7 + j * 11) % SEGMENT_COUNT).collect();
            query_request("find", &format!("{prefix}{i}"), &segs, "2.0")
        },
        |_, _, _| {},
    )
}

/// Late, refused or lost.
fn not_served_in_time(load_report: &LoadReport) -> f64 {
    let late = load_report.latencies.len() - load_report.latencies.count_between(0, (1e6 * TARGET) as u64);
    (late + load_report.rejected + load_report.failed) as f64
}

/// The first seconds after a start in the middle of an outage.
struct Outage {
    report: LoadReport,
    /// Parts that were sent to nodes that hang.
    sent_to_hung: usize,
}

/// An outage in which the broker is killed and started again.
fn outage(options: &RunOptions, kdl: &str, seconds: f64, seed: u64) -> Outage {
    let mut cluster = RestartCluster::new(&options.program, NODES);
    // Copies are few, as on a deployment that has just spent them: what goes to nodes that hang is late.
    cluster.adjust_config = |config| {
        let rules = &mut config["settings"]["rules"];
        (rules["freeResends"], rules["repeatRatio"]) = (json!(5.0), json!(0.02));
    };
    cluster.set_behavior_of_every(1, NodeBehavior::DelayMillis(PART_MILLIS));
    let mut first = cluster.start_broker(kdl);
    load(&first, 2.0, seed, "a");
    cluster.set_behavior_of_every(HUNG_EVERY, NodeBehavior::Hang);
    load(&first, 3.0, seed + 1, "b");
    first.signal("KILL");
    first.exit_code();
    let hung = || cluster.nodes.iter().step_by(HUNG_EVERY).map(|node| node.frames('A').len()).sum::<usize>();
    let before = hung();
    let second = cluster.start_broker(kdl);
    let report = load(&second, seconds, seed + 2, "c");
    Outage { report, sent_to_hung: hung() - before }
}

/// Seconds from the beginning of a life to its first scan served, after one that was killed.
fn first_scan(cluster: &RestartCluster, kdl: &str) -> f64 {
    let mut broker = cluster.start_broker(kdl);
    load(&broker, 0.5, 5, "w");
    thread::sleep(Duration::from_millis(200));
    broker.signal("KILL");
    broker.exit_code();
    let began = Instant::now();
    let broker = cluster.start_broker(kdl);
    let answer = Client::connect(&broker).request(&query_request("find", "first", &[0, 1], "2.0"));
    let took = began.elapsed().as_secs_f64();
    if answer.status == 200 { took } else { f64::MAX }
}

/// Seconds of core time that the loop's thread has taken so far: what else the machine does is not in it.
fn loop_time(broker: &Broker) -> f64 {
    let pid = broker.pid();
    let stat = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/schedstat")).unwrap_or_default();
    stat.split(' ').next().and_then(|nanos| nanos.parse::<f64>().ok()).map_or(f64::NAN, |nanos| nanos / 1e9)
}

/// A round of the ordinary path.
struct Round {
    report: LoadReport,
    /// What each query cost the loop's thread.
    loop_cpu_seconds: f64,
}

fn ordinary(broker: &Broker, seconds: f64, seed: u64, together: &Barrier) -> Round {
    load(broker, 0.5, 3, "w");
    together.wait();
    let before = loop_time(broker);
    let report = load(broker, seconds, seed, "o");
    let loop_cpu_seconds = (loop_time(broker) - before) / report.latencies.len() as f64;
    Round { report, loop_cpu_seconds }
}

/// What the last snapshot came to, in bytes for each second of a life of which so many have passed.
fn wrote(broker: &Broker, seconds: f64) -> f64 {
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

/// What a crash loop came to.
struct CrashLoop {
    /// The least margin of the retry budget over all incarnations; below 0 it was broken.
    budget_margin: f64,
    /// The most parts that a cold node got in a second.
    max_cold_parts: f64,
}

/// Killed and started every 300 ms while all nodes but a cold one fail what they are given.
fn crash_loop(options: &RunOptions, kdl: &str, seconds: f64) -> CrashLoop {
    let mut cluster = RestartCluster::new(&options.program, NODES);
    cluster.restart_node(1, unix_ms());
    // All but the cold one fail, so that every part would need its further dispatches.
    cluster.set_behavior_of_every(1, NodeBehavior::ReplyStatus("fault"));
    cluster.nodes[1].set_behavior(NodeBehavior::Serve);
    let began = Instant::now();
    let (mut life, mut request_times) = (0, Vec::new());
    while began.elapsed().as_secs_f64() < seconds {
        let mut broker = cluster.start_broker(kdl);
        let asking = Instant::now();
        let mut client = Client::connect(&broker);
        let mut i = 0;
        while asking.elapsed() < Duration::from_millis(260) {
            i += 1;
            request_times.push(Instant::now());
            client.try_request(&query_request(
                "find",
                &format!("l{life}-{i}"),
                &[i % SEGMENT_COUNT, (i + 7) % SEGMENT_COUNT],
                "0.3",
            ));
            thread::sleep(Duration::from_millis(15));
        }
        broker.signal("KILL");
        broker.exit_code();
        life += 1;
    }
    let mut most = 0;
    let times: Vec<_> = cluster.nodes[1].part_arrivals().into_iter().map(|(at, _)| at).collect();
    for (i, at) in times.iter().enumerate() {
        let within = times[..=i].iter().filter(|then| *at - **then <= Duration::from_secs(1)).count();
        most = most.max(within);
    }
    let budget_margin = cluster.retry_budget_margin(&request_times, 20.0, 0.1, 2.0);
    CrashLoop { budget_margin, max_cold_parts: most as f64 }
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<Figures> {
    let mut figures = Figures::default();
    report_outages(options, &mut figures);
    eprintln!("ordinary path ...");
    // Two clusters, so that neither side's work at the nodes is the other's.
    let cluster = RestartCluster::new(&options.program, NODES);
    let other = RestartCluster::new(&options.program, NODES);
    report_ordinary_path(options, &mut figures, &cluster, &other)?;
    report_starts(options, &mut figures, &cluster);
    eprintln!("crash loops ...");
    report_crash_loops(options, &mut figures);
    Ok(figures)
}

/// With and without the folder.
struct Sides<T> {
    with: T,
    without: T,
}

fn report_outages(options: &RunOptions, figures: &mut Figures) {
    let seconds = if options.quick { 3.0 } else { 10.0 };
    let mut not_served = Sides { with: 0.0, without: 0.0 };
    let mut sent_to_hung = Sides { with: 0, without: 0 };
    let mut ratios = Vec::new();
    for round in 0..OUTAGES {
        eprintln!("outage {round} ...");
        let seed = options.seed + 10 * round;
        // Both at the same time: where the machine itself stands still, both are late.
        let [with, without] = thread::scope(|scope| {
            let sides = [WITH_FOLDER, ""].map(|kdl| scope.spawn(move || outage(options, kdl, seconds, seed)));
            sides.map(|side| side.join().expect("a side ends"))
        });
        let (bad, bad_without) = (not_served_in_time(&with.report), not_served_in_time(&without.report));
        not_served.with += bad;
        not_served.without += bad_without;
        ratios.push(bad / bad_without.max(1.0));
        sent_to_hung.with += with.sent_to_hung;
        sent_to_hung.without += without.sent_to_hung;
        if round == 0 {
            let curves =
                vec![with.report.latency_curve("with the folder"), without.report.latency_curve("without")];
            figures.plot("first-seconds", "percent of scans", "ms", curves);
        }
    }
    figures.report("scans a run after the start", RATE * seconds, "");
    figures.report("late or lost without the folder, all runs", not_served.without, "");
    figures.report("late or lost with the folder, all runs", not_served.with, "");
    let name = "late or lost, with against without, middle of runs";
    figures.report_bounded(name, median(ratios), MAX_BAD_RATIO, "times");
    figures.report("parts sent to nodes that hang, without", sent_to_hung.without as f64, "");
    figures.report("parts sent to nodes that hang, with", sent_to_hung.with as f64, "");
}

/// Both sides take the same load at the same time in each round: what else the machine does weighs on both.
fn report_ordinary_path(
    options: &RunOptions,
    figures: &mut Figures,
    cluster: &RestartCluster,
    other: &RestartCluster,
) -> anyhow::Result<()> {
    let (seconds, rounds) = if options.quick { (0.8, 11) } else { (2.0, 15) };
    let mut sides = Sides { with: Vec::new(), without: Vec::new() };
    let mut bytes_an_hour = 0.0;
    for round in 0..rounds {
        // What the last round learned would spare this one's retries.
        std::fs::remove_dir_all(&cluster.folder)?;
        std::fs::create_dir(&cluster.folder)?;
        let with = cluster.start_broker(&format!("{WITH_FOLDER}counters every=0.5\n"));
        let without = other.start_broker("");
        let (together, seed) = (&Barrier::new(2), options.seed + round);
        thread::scope(|scope| {
            let start = |broker| scope.spawn(move || ordinary(broker, seconds, seed, together));
            let [with, without] = [&with, &without].map(start);
            sides.with.push(with.join().expect("a side ends"));
            sides.without.push(without.join().expect("a side ends"));
        });
        if round + 1 == rounds {
            bytes_an_hour = 3600.0 * wrote(&with, seconds + 1.1);
        }
    }
    let p99_ms =
        |side: &[Round]| 1e3 * median(side.iter().map(|round| round.report.latency_seconds(0.99)).collect());
    figures.report("p99 without snapshots, middle of rounds", p99_ms(&sides.without), "ms");
    figures.report("p99 with a snapshot a second, middle of rounds", p99_ms(&sides.with), "ms");
    let cpu_micros = |side: &[Round]| {
        1e6 * side.iter().map(|round| round.loop_cpu_seconds).sum::<f64>() / side.len() as f64
    };
    let (with, without) = (cpu_micros(&sides.with), cpu_micros(&sides.without));
    figures.report("core time of the loop a scan, without", without, "us");
    figures.report("core time of the loop a scan, with", with, "us");
    let name = "core time of the loop, with against without";
    figures.report_bounded(name, with / without, MAX_CPU_RATIO, "times");
    figures.report("bytes written an hour", bytes_an_hour, "bytes");
    Ok(())
}

fn report_starts(options: &RunOptions, figures: &mut Figures, cluster: &RestartCluster) {
    let count = if options.quick { 5 } else { 9 };
    let (mut without, mut more) = (Vec::new(), Vec::new());
    for _ in 0..count {
        // By turns, so that what else the machine does falls on both.
        let start_with = first_scan(cluster, WITH_FOLDER);
        let start_without = first_scan(cluster, "");
        without.push(start_without);
        more.push(start_with - start_without);
    }
    let name = "start to first scan served, without, middle of starts";
    figures.report(name, 1e3 * median(without), "ms");
    let name = "start to first scan served, with less without, middle of starts";
    figures.report_bounded(name, 1e3 * median(more), MAX_EXTRA_START_MS, "ms");
}

fn report_crash_loops(options: &RunOptions, figures: &mut Figures) {
    let seconds = if options.quick { 3.0 } else { 20.0 };
    let with = crash_loop(options, WITH_FOLDER, seconds);
    let without = crash_loop(options, "", seconds);
    let over_budget = |side: &CrashLoop| (-side.budget_margin).max(0.0);
    let name = "crash loop: further dispatches over the budget, with";
    figures.report_bounded(name, over_budget(&with), 0.0, "");
    figures.report("crash loop: further dispatches over the budget, without", over_budget(&without), "");
    let name = "crash loop: parts to a cold node in a second, without";
    figures.report(name, without.max_cold_parts, "");
    let name = "crash loop: parts to a cold node in a second, with";
    figures.report_bounded(name, with.max_cold_parts, without.max_cold_parts.max(1.0), "");
}
