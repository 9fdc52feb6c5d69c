//! Sends request bodies beyond every configured limit. Measures the broker's peak memory, the latency of small queries and
//! the bytes copied, and checks that each query gets exactly one answer and that no non-idempotent part runs twice.

mod cases;
mod small_queries;

use std::thread;
use std::time::Duration;

use super::RunOptions;
use crate::body_cluster::{
    BodyCluster, BodyNodeBehavior, BodyOutcome, BodyRequest, Node, body_request, mib_bytes, repeated_part_ids,
};
use crate::report::ExperimentReport;
use cases::cases;
use small_queries::report_small_queries;

/// Configured limit on the memory of all bodies together, in MiB.
const MEMORY_LIMIT_MIB: u64 = 48;
/// Upper bound on how far the broker's peak memory, without the pages of its executable, may exceed `MEMORY_LIMIT_MIB`, in
/// MiB. In full runs the peak was at least 1.5 MiB below the limit, which leaves 3.5 MiB of slack.
const MAX_EXCESS_MIB: f64 = 2.0;
/// Extra time for an answer beyond the client's budget, in seconds. The broker's budget starts when it reads the first
/// byte, which can be this much later than the client's start when hundreds of clients connect at once.
const ACCEPT_GRACE_SECONDS: f64 = 1.0;
/// Upper bound on the bytes copied into a frame per part: its length, type byte and header line. More than this would
/// mean that the body is copied.
const MAX_FRAME_OVERHEAD_BYTES: f64 = 100.0;

/// Operator configuration of the broker; `max_body_memory` is the memory limit of a single body.
fn operator_kdl(spill_to_files: bool, max_body_memory: &str) -> String {
    let files = match spill_to_files {
        true => {
            "files folder=\"FOLDER\" one=\"64MiB\" all=\"2GiB\" threads=2 waiting=128 rest=0.2 longest-rest=1"
        }
        false => "",
    };
    format!(
        "bodies {{\n longest \"64MiB\"\n memory one=\"{max_body_memory}\" all=\"{MEMORY_LIMIT_MIB}MiB\"\n {files}\n \
         share customer=1.0 table-type=1.0\n window \"256KiB\"\n slowest 1.0\n}}\ncounters every=0.2\n"
    )
}

/// Starts a broker in front of one node per entry of `behaviors`.
fn cluster(
    options: &RunOptions,
    behaviors: &[BodyNodeBehavior],
    spill_to_files: bool,
    max_body_memory: &str,
) -> BodyCluster {
    let nodes = behaviors.iter().enumerate().map(|(i, behavior)| Node::start(&format!("s-{i}"), *behavior));
    let mut cluster =
        BodyCluster::start(&options.program, nodes.collect(), &operator_kdl(spill_to_files, max_body_memory));
    cluster.broker.suppress_log = true;
    cluster
}

/// Sends all requests concurrently and returns their outcomes in the order of the requests.
fn send_concurrently(cluster: &BodyCluster, requests: &[BodyRequest]) -> Vec<BodyOutcome> {
    thread::scope(|scope| {
        let clients: Vec<_> =
            requests.iter().map(|request| scope.spawn(move || cluster.send(request))).collect();
        clients.into_iter().map(|client| client.join().expect("client threads do not panic")).collect()
    })
}

/// Prints and counts the requests that got no answer, a late answer or a status that the broker never sends. Requests whose
/// client disconnects early are not counted.
fn count_invalid_outcomes(requests: &[BodyRequest], outcomes: &[BodyOutcome]) -> usize {
    let is_invalid = |request: &BodyRequest, outcome: &BodyOutcome| {
        let disconnects = request.disconnect_after_bytes.is_some();
        let expected_status = [200, 408, 413, 429, 502, 503].contains(&outcome.status());
        !disconnects
            && (!expected_status || outcome.elapsed_seconds > request.budget_seconds + ACCEPT_GRACE_SECONDS)
    };
    let invalid = requests.iter().zip(outcomes).filter(|(request, outcome)| is_invalid(request, outcome));
    invalid.inspect(|(request, outcome)| eprintln!("{}: {outcome:?}", request.id)).count()
}

/// Reports the bytes copied into frames per part of a buffered body, read from the counter in the broker's log.
fn report_copied_bytes(options: &RunOptions, experiment_report: &mut ExperimentReport) {
    let cluster = cluster(options, &[BodyNodeBehavior::Serve; 3], true, "8MiB");
    let requests: Vec<_> =
        (0..8).map(|i| body_request("find", &format!("c{i}"), &[0, 1, 2, 3, 4, 5], mib_bytes(4))).collect();
    let outcomes: Vec<_> = requests.iter().map(|request| cluster.send(request)).collect();
    thread::sleep(Duration::from_millis(500));
    let log = cluster.broker.log_text();
    let last_count =
        log.lines().rev().find_map(|line| line.split_once("copied_into_frames=")?.1.split(' ').next());
    let copied = last_count.and_then(|count| count.parse::<f64>().ok()).unwrap_or(f64::MAX);
    let parts = outcomes.iter().filter(|outcome| outcome.status() == 200).count() * 6;
    experiment_report.add_bounded_value(
        "bytes copied for each part of a kept body of 4 MiB",
        copied / parts.max(1) as f64,
        MAX_FRAME_OVERHEAD_BYTES,
        "bytes",
    );
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<ExperimentReport> {
    let mut experiment_report = ExperimentReport::default();
    let (mut invalid_outcomes, mut repeated_count, mut query_count) = (0, 0, 0);
    for case in cases(options.quick).into_iter().filter(|case| options.includes(case.name)) {
        eprintln!("{} ...", case.name);
        let cluster = cluster(options, &case.behaviors, case.spill_to_files, case.max_body_memory);
        cluster.set_disk_fault(case.disk_fault);
        let outcomes = send_concurrently(&cluster, &case.requests);
        let served = outcomes.iter().filter(|outcome| outcome.status() == 200).count();
        experiment_report.add_value(
            format!("{}: served of {}", case.name, outcomes.len()),
            served as f64,
            "",
        );
        let excess_mib = cluster.peak_memory_bytes() as f64 / mib_bytes(1) as f64 - MEMORY_LIMIT_MIB as f64;
        experiment_report.add_bounded_value(
            format!("{}: peak over the bound", case.name),
            excess_mib,
            MAX_EXCESS_MIB,
            "MiB",
        );
        invalid_outcomes += count_invalid_outcomes(&case.requests, &outcomes);
        // Parts of "find" queries are idempotent and may be repeated; parts of "fix" queries must not be.
        let non_idempotent = case.requests.first().is_some_and(|request| request.query_class == "fix");
        repeated_count += if non_idempotent { repeated_part_ids(&cluster.nodes, |_| true).len() } else { 0 };
        query_count += outcomes.len();
    }
    experiment_report.add_value("large scans asked", query_count as f64, "");
    experiment_report.add_bounded_value(
        "large scans without one answer in time",
        invalid_outcomes as f64,
        0.0,
        "",
    );
    experiment_report.add_bounded_value("fix-request parts that ran twice", repeated_count as f64, 0.0, "");
    if options.includes("copies") {
        report_copied_bytes(options, &mut experiment_report);
    }
    if options.includes("beside") {
        report_small_queries(options, &mut experiment_report)?;
    }
    Ok(experiment_report)
}
