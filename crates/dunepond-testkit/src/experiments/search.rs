//! Sends the same queries through the broker's own HTTP interface and through the search API, in front of nodes of both
//! protocols. Checks that the outcomes are the same, and measures what the API costs and how long merging hits takes.

use std::collections::BTreeMap;
use std::time::Instant;

use dunepond_search_api::hits::{Hit, HitMerger, PartResult};
use dunepond_search_api::{ApiRequest, RequestLimits, SortKey, request};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use serde_json::value::RawValue;

use super::RunOptions;
use crate::load::{LoadReport, Workload};
use crate::report::ExperimentReport;
use crate::search_cluster::{NodeProtocol, SearchCluster, SearchNodeBehavior, http_request as api_request};

/// Query rate.
const REQUESTS_PER_SECOND: f64 = 300.0;
/// Upper bound on CPU time per query through the search API divided by that through the broker's own interface, for the same
/// query text.
const MAX_CPU_RATIO: f64 = 1.3;
/// Upper bound on the time to merge 10 parts of 1,000 hits, in milliseconds.
const MAX_MERGE_MS: f64 = 2.0;

/// Returns the CPU time that a process has used so far, in seconds.
fn process_cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit_once(") ").map_or("", |(_, rest)| rest).split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / 100.0
}

/// Returns the body of a search as the broker sends it to nodes, so that both interfaces carry the same query.
fn search_body() -> String {
    let names = ["all".to_string()];
    match request::parse("GET", "/all/_search", b"", &names, &RequestLimits::default()) {
        Ok(ApiRequest::Search(search)) => search.node_request_body(),
        _ => String::new(),
    }
}

/// Returns a query over six segments for the broker's own interface.
fn own_interface_request(id: &str) -> String {
    let buckets: Vec<_> = (0..6).map(|segment| json!({"bucket": segment, "part": 1.0 / 6.0})).collect();
    let body = json!({"buckets": buckets, "body": search_body()}).to_string();
    let length = body.len();
    format!(
        "POST /all HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Budget: 2.0\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Measurements of one run.
struct RunResult {
    /// Results of the queries.
    load_report: LoadReport,
    /// CPU time of the broker per query, in seconds.
    cpu_seconds_per_query: f64,
    /// Parts that ran more than once.
    repeated_parts: usize,
}

/// Runs queries for this many seconds through one interface, in front of nodes of one protocol. `behaviors` lists the nodes
/// that do not serve, each with its behavior.
fn run_queries(
    options: &RunOptions,
    api: bool,
    protocol: NodeProtocol,
    behaviors: &[(usize, SearchNodeBehavior)],
    seconds: f64,
) -> RunResult {
    let cluster = SearchCluster::start(&options.program, &[protocol; 4], "");
    behaviors.iter().for_each(|(node, behavior)| cluster.nodes[*node].set_behavior(*behavior));
    let to = if api { cluster.api_address } else { cluster.broker.address };
    let run_load = |prefix: &'static str, seconds: f64| {
        let workload = Workload {
            broker_address: to,
            requests_per_second: REQUESTS_PER_SECOND,
            duration_seconds: seconds,
            seed: options.seed,
            id_prefix: prefix,
        };
        workload.run_with(
            move |i| {
                if api {
                    api_request("GET", "/all/_search?timeout=2s", "")
                } else {
                    own_interface_request(&format!("{prefix}{i}"))
                }
            },
            |_, _, _| {},
        )
    };
    run_load("w", 0.5);
    let before = process_cpu_seconds(cluster.broker.pid());
    let load_report = run_load("c", seconds);
    let cpu_seconds_per_query = (process_cpu_seconds(cluster.broker.pid()) - before)
        / load_report.latencies_micros.len().max(1) as f64;
    RunResult { load_report, cpu_seconds_per_query, repeated_parts: cluster.repeated_part_count() }
}

/// Returns the median time to merge ten parts of 1,000 hits each, in milliseconds, without parsing them.
fn merge_milliseconds(seed: u64) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let sort = [SortKey { field: "n".to_string(), descending: true, missing_first: false }];
    let mut elapsed_ms = Vec::new();
    for _ in 0..20 {
        let parts: Vec<_> = (0..10)
            .map(|_| {
                let mut keys: Vec<u32> = (0..1000).map(|_| rng.random_range(0..1_000_000)).collect();
                keys.sort_unstable_by(|a, b| b.cmp(a));
                let hits = keys.into_iter().enumerate().map(|(index, key)| Hit {
                    id: index.to_string(),
                    score: None,
                    sort: vec![json!(key)],
                    source: RawValue::from_string(r#"{"path":"src/lib.rs"}"#.to_string()).ok(),
                });
                PartResult {
                    total: 1000,
                    total_is_exact: true,
                    max_score: None,
                    hits: hits.collect(),
                    terminated_early: false,
                }
            })
            .collect();
        let began = Instant::now();
        let mut merger = HitMerger::new(&sort, 1000);
        parts.into_iter().enumerate().for_each(|(segment, part)| merger.add(segment, part));
        let hits = merger.into_hits("all", 0);
        elapsed_ms.push(1e3 * began.elapsed().as_secs_f64());
        assert_eq!(hits.len(), 1000);
    }
    elapsed_ms.sort_by(f64::total_cmp);
    elapsed_ms[elapsed_ms.len() / 2]
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<ExperimentReport> {
    let mut experiment_report = ExperimentReport::default();
    let seconds = if options.quick { 1.5 } else { 8.0 };
    let mut costs = BTreeMap::new();
    let mut not_served = 0u64;
    let scenarios: [(&str, &[(usize, SearchNodeBehavior)]); 3] = [
        ("all serve", &[]),
        ("one faults", &[(0, SearchNodeBehavior::ReportFailure)]),
        ("one hangs", &[(0, SearchNodeBehavior::Hang)]),
    ];
    for (name, behaviors) in scenarios {
        for (interface, api) in [("first door", false), ("API", true)] {
            for (kind, protocol) in [("frames", NodeProtocol::Frames), ("API nodes", NodeProtocol::Api)] {
                eprintln!("{name}, {interface}, {kind} ...");
                let result = run_queries(options, api, protocol, behaviors, seconds);
                let total = result.load_report.latencies_micros.len();
                // Every query has to be served, through both interfaces and with both node protocols.
                not_served += total - result.load_report.served_count;
                let label = format!("{name}, {interface}, {kind}");
                experiment_report.add_value(
                    format!("{label}: served of {total}"),
                    result.load_report.served_count as f64,
                    "",
                );
                experiment_report.add_value(
                    format!("{label}: p50"),
                    1e3 * result.load_report.latency_seconds(0.5),
                    "ms",
                );
                experiment_report.add_value(
                    format!("{label}: p99"),
                    1e3 * result.load_report.latency_seconds(0.99),
                    "ms",
                );
                experiment_report.add_value(
                    format!("{label}: core a scan"),
                    1e6 * result.cpu_seconds_per_query,
                    "us",
                );
                experiment_report.add_value(
                    format!("{label}: parts that ran twice (copies)"),
                    result.repeated_parts as f64,
                    "",
                );
                costs.insert((name, interface, kind), result.cpu_seconds_per_query);
            }
        }
    }
    experiment_report.add_bounded_value(
        "scans not served whole, all combinations",
        not_served as f64,
        0.0,
        "",
    );
    let cost = |interface, kind| costs.get(&("all serve", interface, kind)).copied().unwrap_or(f64::MAX);
    experiment_report.add_bounded_value(
        "core a scan, API against first door, frames",
        cost("API", "frames") / cost("first door", "frames"),
        MAX_CPU_RATIO,
        "times",
    );
    experiment_report.add_value(
        "core a scan, API against first door, API nodes",
        cost("API", "API nodes") / cost("first door", "API nodes"),
        "times",
    );
    experiment_report.add_bounded_value(
        "merging 10 parts of 1,000 hits, median",
        merge_milliseconds(options.seed),
        MAX_MERGE_MS,
        "ms",
    );
    Ok(experiment_report)
}
