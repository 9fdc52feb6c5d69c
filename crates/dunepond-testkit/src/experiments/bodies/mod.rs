//! Bodies pushed across every limit: what the broker takes of the memory, what small scans feel of it, what is copied,
//! and whether each scan ended once and nothing ran twice.

mod beside;
mod cases;

use std::thread;
use std::time::Duration;

use super::RunOptions;
use crate::body_cluster::{
    BodyCluster, BodyNodeBehavior, BodyOutcome, BodyRequest, Node, body_request, mib_bytes, repeated_parts,
};
use crate::report::Figures;
use beside::report_small_queries;
use cases::cases;

/// The bound on all memory, and what the process may take beside it, in MiB, without the pages of its own file: played whole it
/// stayed 1.5 under the bound at most, so that the slack is 3.5.
const BOUND_MIB: u64 = 48;
const MAX_BESIDE_MIB: f64 = 2.0;
/// A budget counts from when the broker reads the first byte; with hundreds that connect at once that is so much later
/// than the client thinks.
const ACCEPT_GRACE_SECONDS: f64 = 1.0;
/// A frame's own bytes: its length, letter and line. More for a part would be a copy of its body.
const MAX_FRAME_BYTES: f64 = 100.0;

fn kdl(files: bool, memory_one: &str) -> String {
    let files = match files {
        true => {
            "files folder=\"FOLDER\" one=\"64MiB\" all=\"2GiB\" threads=2 waiting=128 rest=0.2 longest-rest=1"
        }
        false => "",
    };
    format!(
        "bodies {{\n longest \"64MiB\"\n memory one=\"{memory_one}\" all=\"{BOUND_MIB}MiB\"\n {files}\n \
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
        !left && (!known || outcome.elapsed_seconds > request.budget_seconds + ACCEPT_GRACE_SECONDS)
    };
    let broken = requests.iter().zip(outcomes).filter(|(request, outcome)| broke(request, outcome));
    broken.inspect(|(request, outcome)| eprintln!("{}: {outcome:?}", request.id)).count()
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
        MAX_FRAME_BYTES,
        "bytes",
    );
}

/// Runs the experiment.
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
        let over = cluster.peak_memory_bytes() as f64 / mib_bytes(1) as f64 - BOUND_MIB as f64;
        figures.report_bounded(format!("{}: peak over the bound", case.name), over, MAX_BESIDE_MIB, "MiB");
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
        report_small_queries(options, &mut figures)?;
    }
    Ok(figures)
}
