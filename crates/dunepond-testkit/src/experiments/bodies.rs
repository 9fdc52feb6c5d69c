//! Bodies pushed across every limit: what the broker takes of the memory, what small scans feel of it, what is copied,
//! and whether each scan ended once and nothing ran twice.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use anyhow::ensure;

use super::RunOptions;
use crate::body_cluster::{
    BodyCluster, BodyNodeBehavior, BodyOutcome, BodyRequest, Node, body_request, mib_bytes, repeated_parts,
};
use crate::load::{Load, LoadReport};
use crate::report::{Curve, Figures};

/// The bound on all memory, and what the process may take beside it, in MiB, without the pages of its own file: played whole it
/// stayed 1.5 under the bound at most, so that the slack is 3.5.
const BOUND: u64 = 48;
const BESIDE: f64 = 2.0;
/// Small scans beside large bodies, against small scans alone in the same run.
const RATIO: f64 = 1.5;
/// A budget counts from when the broker reads the first byte; with hundreds that connect at once that is so much later
/// than the client thinks.
const ACCEPTED: f64 = 1.0;
/// A frame's own bytes: its length, letter and line. More for a part would be a copy of its body.
const FRAME: f64 = 100.0;

fn kdl(files: bool, memory_one: &str) -> String {
    let files = match files {
        true => {
            "files folder=\"FOLDER\" one=\"64MiB\" all=\"2GiB\" threads=2 waiting=128 rest=0.2 longest-rest=1"
        }
        false => "",
    };
    format!(
        "bodies {{\n longest \"64MiB\"\n memory one=\"{memory_one}\" all=\"{BOUND}MiB\"\n {files}\n \
         share customer=1.0 table-type=1.0\n window \"256KiB\"\n slowest 1.0\n}}\ncounters every=0.2\n"
    )
}

fn cluster(
    options: &RunOptions,
    behaviors: &[BodyNodeBehavior],
    files: bool,
    memory_one: &str,
) -> BodyCluster {
    let nodes = behaviors.iter().enumerate().map(|(i, behavior)| Node::start(&format!("s-{i}"), *behavior));
    let mut cluster = BodyCluster::start(&options.program, nodes.collect(), &kdl(files, memory_one));
    cluster.broker.suppress_log = true;
    cluster
}

/// Sends all of these at once and waits for what each comes to.
fn together(cluster: &BodyCluster, requests: &[BodyRequest]) -> Vec<BodyOutcome> {
    thread::scope(|scope| {
        let asking: Vec<_> =
            requests.iter().map(|request| scope.spawn(move || cluster.send(request))).collect();
        asking.into_iter().map(|asking| asking.join().expect("a client does not panic")).collect()
    })
}

/// What broke a rule: no answer where one was owed, one that came late, or one that no broker gives.
fn broken(requests: &[BodyRequest], outcomes: &[BodyOutcome]) -> usize {
    let broke = |request: &BodyRequest, outcome: &BodyOutcome| {
        let left = request.disconnect_after_bytes.is_some();
        let known = [200, 408, 413, 429, 502, 503].contains(&outcome.status());
        !left && (!known || outcome.elapsed_seconds > request.budget_seconds + ACCEPTED)
    };
    let broken = requests.iter().zip(outcomes).filter(|(request, outcome)| broke(request, outcome));
    broken.inspect(|(request, outcome)| eprintln!("{}: {outcome:?}", request.id)).count()
}

struct Case {
    name: &'static str,
    files: bool,
    memory_one: &'static str,
    behaviors: [BodyNodeBehavior; 3],
    disk: &'static str,
    requests: Vec<BodyRequest>,
}

fn cases(quick: bool) -> Vec<Case> {
    let many = if quick { 40 } else { 200 };
    let of = |count: usize, each: &dyn Fn(usize) -> BodyRequest| (0..count).map(each).collect::<Vec<_>>();
    let find = |length: u64| move |i: usize| body_request("find", &format!("c{i}"), &[0, 1], length);
    let fix = |length: u64| move |i: usize| body_request("fix", &format!("c{i}"), &[i % 6], length);
    let serve = [BodyNodeBehavior::Serve; 3];
    let case = |name, files, memory_one, behaviors, disk, requests| Case {
        name,
        files,
        memory_one,
        behaviors,
        disk,
        requests,
    };
    vec![
        case("8 MiB each, no files", false, "8MiB", serve, "", of(many, &find(mib_bytes(8)))),
        case("8 MiB each, files", true, "8MiB", serve, "", of(many, &find(mib_bytes(8)))),
        case("64 MiB passing", false, "1MiB", serve, "", of(8, &find(mib_bytes(64)))),
        case(
            "1 MiB each, chunked",
            true,
            "1MiB",
            serve,
            "",
            of(many, &|i| BodyRequest { chunked: true, ..find(mib_bytes(1))(i) }),
        ),
        case(
            "fix-request, a node refuses half way",
            true,
            "4MiB",
            [BodyNodeBehavior::RefuseMidFrame, BodyNodeBehavior::Serve, BodyNodeBehavior::Serve],
            "",
            of(many, &fix(mib_bytes(4))),
        ),
        case(
            "fix-request, a node closes",
            true,
            "4MiB",
            [BodyNodeBehavior::Close, BodyNodeBehavior::Serve, BodyNodeBehavior::Serve],
            "",
            of(many, &fix(mib_bytes(4))),
        ),
        case(
            "a node is stuck",
            false,
            "1MiB",
            [BodyNodeBehavior::StopReading, BodyNodeBehavior::Serve, BodyNodeBehavior::Serve],
            "",
            of(12, &find(mib_bytes(16))),
        ),
        case(
            "clients leave",
            true,
            "1MiB",
            serve,
            "",
            of(many, &|i| BodyRequest {
                disconnect_after_bytes: Some(mib_bytes(2)),
                ..find(mib_bytes(4))(i)
            }),
        ),
        case("the disk is full", true, "1MiB", serve, "full", of(many, &find(mib_bytes(4)))),
        case("the disk stalls", true, "1MiB", serve, "stall 2", of(many, &find(mib_bytes(4)))),
        case("files cannot be read back", true, "1MiB", serve, "unreadable", of(many, &find(mib_bytes(4)))),
    ]
}

/// Sends bodies of 64 MiB one after the other until it is to stop; how many were served.
fn stream(cluster: &BodyCluster, prefix: &str, stop: &AtomicBool, served: &AtomicU64) {
    for i in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        // 128 MB a second: a client on a fast network, not one on this machine's loopback.
        let request = BodyRequest {
            bytes_per_second: Some(128_000_000),
            ..body_request("find", &format!("{prefix}{i}"), &[0, 1], mib_bytes(64))
        };
        served.fetch_add(u64::from(cluster.send(&request).status() == 200), Ordering::Relaxed);
    }
}

fn beside(options: &RunOptions, figures: &mut Figures) -> anyhow::Result<()> {
    // In rounds, of which the middle one counts: a hiccup of the machine in one stretch is not the broker's.
    let (rounds, seconds) = if options.quick { (3, 1.0) } else { (7, 2.0) };
    let cluster = cluster(options, &[BodyNodeBehavior::Serve; 3], true, "1MiB");
    let ids = Mutex::new(0);
    let load = |seed: u64| {
        let prefix = {
            let mut number = ids.lock().expect("no load panics");
            *number += 1;
            &*Box::leak(format!("s{number}-").into_boxed_str())
        };
        Load {
            to: cluster.broker.address,
            requests_per_second: 400.0,
            duration_seconds: seconds,
            seed,
            id_prefix: prefix,
        }
        .run()
    };
    load(options.seed);
    let with = |disk: &str, seed: u64| -> (LoadReport, u64) {
        let (stop, served) = (AtomicBool::new(false), AtomicU64::new(0));
        cluster.set_disk_fault(disk);
        let load_report = thread::scope(|scope| {
            let prefix = format!("{seed}{}-", if disk.is_empty() { "f" } else { "d" });
            let (stop, served) = (&stop, &served);
            let cluster = &cluster;
            scope.spawn(move || stream(cluster, &prefix, stop, served));
            // Stalled for 2 s at a time, and well in between.
            let stalling = scope.spawn(|| {
                while !disk.is_empty() && !stop.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(500));
                    cluster.set_disk_fault("");
                    thread::sleep(Duration::from_millis(500));
                    cluster.set_disk_fault(disk);
                }
            });
            let load_report = load(seed);
            stop.store(true, Ordering::Relaxed);
            let _ = stalling.join();
            cluster.set_disk_fault("");
            load_report
        });
        (load_report, served.into_inner())
    };
    let (mut alone, mut files, mut stalls, mut served) = (Vec::new(), Vec::new(), Vec::new(), 0);
    for round in 0..rounds {
        let seed = options.seed + 10 * round;
        alone.push(load(seed));
        let (load_report, count) = with("", seed + 1);
        files.push(load_report);
        served += count;
        let (load_report, count) = with("stall 2", seed + 2);
        stalls.push(load_report);
        served += count;
    }
    ensure!(served > 0, "no body of 64 MiB was served beside the small scans");
    let middle = |all: &[LoadReport]| {
        let mut at: Vec<_> = all.iter().map(|load_report| load_report.latency_seconds(0.99)).collect();
        at.sort_by(f64::total_cmp);
        (at[at.len() / 2], at[at.len() - 1])
    };
    let ((base, _), (beside, worst), (stalled, worst_stalled)) =
        (middle(&alone), middle(&files), middle(&stalls));
    figures.report("small scans alone, p99, median of rounds", 1e3 * base, "ms");
    figures.report("beside 64 MiB bodies in files, p99, median of rounds", 1e3 * beside, "ms");
    figures.report("the same, worst round", 1e3 * worst, "ms");
    figures.report("the same with a disk that stalls, p99, median of rounds", 1e3 * stalled, "ms");
    figures.report("the same, worst round", 1e3 * worst_stalled, "ms");
    figures.report("64 MiB bodies served meanwhile", served as f64, "");
    figures.report_bounded("p99 beside files, against alone", beside / base, RATIO, "times");
    figures.report_bounded("p99 beside a stalling disk, against alone", stalled / base, RATIO, "times");
    let all = || alone.iter().chain(&files).chain(&stalls);
    let lost: u64 = all().map(|load_report| load_report.failed + load_report.rejected).sum();
    figures.report_bounded("small scans lost or refused", lost as f64, 0.0, "");
    let curve = |name: &str, load_report: &LoadReport| {
        let points = (0..=100).map(|i| (i as f64, 1e3 * load_report.latency_seconds(i as f64 / 100.0)));
        Curve { name: name.to_string(), points: points.collect() }
    };
    let curves =
        vec![curve("alone", &alone[0]), curve("files", &files[0]), curve("stalling disk", &stalls[0])];
    figures.plots.push(("small-scans".to_string(), ["percent of small scans", "ms"], curves));
    Ok(())
}

/// Bytes copied into frames for each part of a kept body, by the broker's own counter.
fn copies(options: &RunOptions, figures: &mut Figures) {
    let cluster = cluster(options, &[BodyNodeBehavior::Serve; 3], true, "8MiB");
    let requests: Vec<_> =
        (0..8).map(|i| body_request("find", &format!("c{i}"), &[0, 1, 2, 3, 4, 5], mib_bytes(4))).collect();
    let outcomes: Vec<_> = requests.iter().map(|request| cluster.send(request)).collect();
    thread::sleep(Duration::from_millis(500));
    let said = cluster.broker.log_text();
    let last =
        said.lines().rev().find_map(|line| line.split_once("copied_into_frames=")?.1.split(' ').next());
    let copied = last.and_then(|count| count.parse::<f64>().ok()).unwrap_or(f64::MAX);
    let parts = outcomes.iter().filter(|outcome| outcome.status() == 200).count() * 6;
    figures.report_bounded(
        "bytes copied for each part of a kept body of 4 MiB",
        copied / parts.max(1) as f64,
        FRAME,
        "bytes",
    );
}

pub fn run(options: &RunOptions) -> anyhow::Result<Figures> {
    let mut figures = Figures::default();
    let (mut ended_wrong, mut ran_twice, mut scans) = (0, 0, 0);
    for case in cases(options.quick).into_iter().filter(|case| options.includes(case.name)) {
        eprintln!("{} ...", case.name);
        let cluster = cluster(options, &case.behaviors, case.files, case.memory_one);
        cluster.set_disk_fault(case.disk);
        let outcomes = together(&cluster, &case.requests);
        let served = outcomes.iter().filter(|outcome| outcome.status() == 200).count();
        figures.report(format!("{}: served of {}", case.name, outcomes.len()), served as f64, "");
        let over = cluster.peak_memory_bytes() as f64 / mib_bytes(1) as f64 - BOUND as f64;
        figures.report_bounded(format!("{}: peak over the bound", case.name), over, BESIDE, "MiB");
        ended_wrong += broken(&case.requests, &outcomes);
        // Replayable parts may run again; none of a fix-request may.
        let unsafe_ids = case.requests.first().is_some_and(|request| request.query_class == "fix");
        ran_twice += if unsafe_ids { repeated_parts(&cluster.nodes, |_| true).len() } else { 0 };
        scans += outcomes.len();
    }
    figures.report("large scans asked", scans as f64, "");
    figures.report_bounded("large scans without one answer in time", ended_wrong as f64, 0.0, "");
    figures.report_bounded("fix-request parts that ran twice", ran_twice as f64, 0.0, "");
    if options.includes("copies") {
        copies(options, &mut figures);
    }
    if options.includes("beside") {
        beside(options, &mut figures)?;
    }
    Ok(figures)
}
