//! A broker that is killed in the middle of an outage and started again, with and without a folder that lasts; and what
//! keeping it costs.

use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::RunOptions;
use crate::load::{Load, LoadReport};
use crate::report::{Curve, Figures};
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
const MAX_START_SECONDS: f64 = 20.0;

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

/// An outage in which the broker is killed and started again; how its first seconds went.
fn outage(options: &RunOptions, kdl: &str, seconds: f64, seed: u64) -> (LoadReport, usize) {
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
    let load_report = load(&second, seconds, seed + 2, "c");
    (load_report, hung() - before)
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

/// A round of the ordinary path: how it went, and what each scan cost the loop.
fn ordinary(broker: &Broker, seconds: f64, seed: u64, together: &Barrier) -> (LoadReport, f64) {
    load(broker, 0.5, 3, "w");
    together.wait();
    let before = loop_time(broker);
    let load_report = load(broker, seconds, seed, "o");
    let cost = (loop_time(broker) - before) / load_report.latencies.len() as f64;
    (load_report, cost)
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

/// Killed and started every 300 ms while all nodes but a cold one fail what they are given: the least margin of
/// the budget of further dispatches over all lives, and what the cold node got.
fn loops(options: &RunOptions, kdl: &str, seconds: f64) -> (f64, f64) {
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
    (cluster.retry_budget_margin(&request_times, 20.0, 0.1, 2.0), most as f64)
}

pub fn run(options: &RunOptions) -> anyhow::Result<Figures> {
    let mut figures = Figures::default();
    let seconds = if options.quick { 3.0 } else { 10.0 };
    let (mut with, mut without, mut left, mut sent) = (0.0, 0.0, Vec::new(), [0, 0]);
    for round in 0..OUTAGES {
        eprintln!("outage {round} ...");
        let seed = options.seed + 10 * round;
        // Both at the same time: where the machine itself stands still, both are late.
        let [(kept, to_hung), (forgot, to_hung_forgot)] = thread::scope(|scope| {
            let sides = [WITH_FOLDER, ""].map(|kdl| scope.spawn(move || outage(options, kdl, seconds, seed)));
            sides.map(|side| side.join().expect("a side ends"))
        });
        (with, without) = (with + not_served_in_time(&kept), without + not_served_in_time(&forgot));
        left.push(not_served_in_time(&kept) / not_served_in_time(&forgot).max(1.0));
        sent = [sent[0] + to_hung, sent[1] + to_hung_forgot];
        if round == 0 {
            let curve = |name: &str, load_report: &LoadReport| {
                let points =
                    (0..=100).map(|i| (i as f64, 1e3 * load_report.latency_seconds(i as f64 / 100.0)));
                Curve { name: name.to_string(), points: points.collect() }
            };
            let curves = vec![curve("with the folder", &kept), curve("without", &forgot)];
            figures.plots.push(("first-seconds".to_string(), ["percent of scans", "ms"], curves));
        }
    }
    figures.report("scans a run after the start", RATE * seconds, "");
    figures.report("late or lost without the folder, all runs", without, "");
    figures.report("late or lost with the folder, all runs", with, "");
    figures.report_bounded(
        "late or lost, with against without, middle of runs",
        median(left),
        MAX_BAD_RATIO,
        "times",
    );
    figures.report("parts sent to nodes that hang, without", sent[1] as f64, "");
    figures.report("parts sent to nodes that hang, with", sent[0] as f64, "");
    eprintln!("ordinary path ...");
    let (seconds, rounds, starts) = if options.quick { (0.8, 11, 5) } else { (2.0, 15, 9) };
    // Two towns, so that neither side's work at the nodes is the other's.
    let (cluster, other) =
        (RestartCluster::new(&options.program, NODES), RestartCluster::new(&options.program, NODES));
    // In each round both sides are asked at the same time: what else the machine does weighs on both.
    let (mut load_report, mut bytes) = ([Vec::new(), Vec::new()], 0.0);
    for round in 0..rounds {
        // What the last round learned would spare this one's copies.
        std::fs::remove_dir_all(&cluster.folder)?;
        std::fs::create_dir(&cluster.folder)?;
        let lives =
            [cluster.start_broker(&format!("{WITH_FOLDER}counters every=0.5\n")), other.start_broker("")];
        let (together, seed) = (Barrier::new(2), options.seed + round);
        thread::scope(|scope| {
            let together = &together;
            let side = |life| scope.spawn(move || ordinary(life, seconds, seed, together));
            let sides: Vec<_> = lives.iter().map(side).collect();
            for (side, load_report) in sides.into_iter().zip(&mut load_report) {
                load_report.push(side.join().expect("a side ends"));
            }
        });
        if round + 1 == rounds {
            bytes = 3600.0 * wrote(&lives[0], seconds + 1.1);
        }
    }
    let [on, off] = &load_report;
    let p99 = |side: &[(LoadReport, f64)]| {
        1e3 * median(side.iter().map(|(load_report, _)| load_report.latency_seconds(0.99)).collect())
    };
    figures.report("p99 without snapshots, middle of rounds", p99(off), "ms");
    figures.report("p99 with a snapshot a second, middle of rounds", p99(on), "ms");
    let cost =
        |side: &[(LoadReport, f64)]| 1e6 * side.iter().map(|(_, cost)| cost).sum::<f64>() / side.len() as f64;
    figures.report("core time of the loop a scan, without", cost(off), "us");
    figures.report("core time of the loop a scan, with", cost(on), "us");
    figures.report_bounded(
        "core time of the loop, with against without",
        cost(on) / cost(off),
        MAX_CPU_RATIO,
        "times",
    );
    figures.report("bytes written an hour", bytes, "bytes");
    // By turns, so that what else the machine does falls on both.
    let starts: Vec<_> =
        (0..starts).map(|_| (first_scan(&cluster, WITH_FOLDER), first_scan(&cluster, ""))).collect();
    let forgot = median(starts.iter().map(|start| start.1).collect());
    let more = median(starts.iter().map(|(kept, forgot)| kept - forgot).collect());
    figures.report("start to first scan served, without, middle of starts", 1e3 * forgot, "ms");
    figures.report_bounded(
        "start to first scan served, with less without, middle of starts",
        1e3 * more,
        MAX_START_SECONDS,
        "ms",
    );
    eprintln!("crash loops ...");
    let seconds = if options.quick { 3.0 } else { 20.0 };
    let (margin, cold) = loops(options, WITH_FOLDER, seconds);
    let (margin_forgot, cold_forgot) = loops(options, "", seconds);
    figures.report_bounded(
        "crash loop: further dispatches over the budget, with",
        (-margin).max(0.0),
        0.0,
        "",
    );
    figures.report("crash loop: further dispatches over the budget, without", (-margin_forgot).max(0.0), "");
    figures.report("crash loop: parts to a cold node in a second, without", cold_forgot, "");
    figures.report_bounded(
        "crash loop: parts to a cold node in a second, with",
        cold,
        cold_forgot.max(1.0),
        "",
    );
    Ok(figures)
}
