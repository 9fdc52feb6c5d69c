//! The same scans at both doors, before nodes of both kinds: the same outcomes, what the API's door costs, and how long
//! merging takes.

use std::collections::BTreeMap;
use std::time::Instant;

use dunepond_search_api::hits::{Hit, HitMerger, PartResult};
use dunepond_search_api::{ApiRequest, RequestLimits, SortKey, request};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use serde_json::value::RawValue;

use super::RunOptions;
use crate::load::{Load, LoadReport};
use crate::report::Figures;
use crate::search_cluster::{NodeProtocol, SearchCluster, SearchNodeBehavior, http_request as http};

const RATE: f64 = 300.0;
/// The API's door, against the first, for equal texts.
const DEARER: f64 = 1.3;
const MERGE_MS: f64 = 2.0;

/// Seconds of the core that a process has taken so far.
fn cpu(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit_once(") ").map_or("", |(_, rest)| rest).split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / 100.0
}

/// The text of a search as nodes are sent it, so that both doors carry the same.
fn text() -> String {
    let names = ["all".to_string()];
    match request::parse("GET", "/all/_search", b"", &names, &RequestLimits::default()) {
        Ok(ApiRequest::Search(search)) => search.node_request_body(),
        _ => String::new(),
    }
}

fn first(id: &str) -> String {
    let buckets: Vec<_> = (0..6).map(|seg| json!({"bucket": seg, "part": 1.0 / 6.0})).collect();
    let body = json!({"buckets": buckets, "body": text()}).to_string();
    let length = body.len();
    format!(
        "POST /all HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Budget: 2.0\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

struct Ran {
    load_report: LoadReport,
    /// Seconds of the broker's core for each scan.
    cost: f64,
    twice: usize,
}

/// So many seconds of scans at one door, before nodes of one kind that behave as told.
fn ran(
    options: &RunOptions,
    api: bool,
    speech: NodeProtocol,
    behaviors: &[(usize, SearchNodeBehavior)],
    seconds: f64,
) -> Ran {
    let cluster = SearchCluster::start(&options.program, &[speech; 4], "");
    behaviors.iter().for_each(|(node, behavior)| cluster.nodes[*node].set_behavior(*behavior));
    let to = if api { cluster.api_address } else { cluster.broker.address };
    let load = |prefix: &'static str, seconds: f64| {
        let load = Load {
            to,
            requests_per_second: RATE,
            duration_seconds: seconds,
            seed: options.seed,
            id_prefix: prefix,
        };
        load.run_with(
            move |i| {
                if api { http("GET", "/all/_search?timeout=2s", "") } else { first(&format!("{prefix}{i}")) }
            },
            |_, _, _| {},
        )
    };
    load("w", 0.5);
    let before = cpu(cluster.broker.pid());
    let load_report = load("c", seconds);
    let cost = (cpu(cluster.broker.pid()) - before) / load_report.latencies.len().max(1) as f64;
    Ran { load_report, cost, twice: cluster.repeated_parts() }
}

/// The first 100 of ten parts of a thousand hits each, in milliseconds, without their reading.
fn merging(seed: u64) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let sort = [SortKey { field: "n".to_string(), descending: true, missing_first: false }];
    let mut took = Vec::new();
    for _ in 0..20 {
        let parts: Vec<_> = (0..10)
            .map(|_| {
                let mut keys: Vec<u32> = (0..1000).map(|_| rng.random_range(0..1_000_000)).collect();
                keys.sort_unstable_by(|a, b| b.cmp(a));
                let hits = keys.into_iter().enumerate().map(|(at, key)| Hit {
                    id: at.to_string(),
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
        let mut merge = HitMerger::new(&sort, 1000);
        parts.into_iter().enumerate().for_each(|(seg, found)| merge.add(seg, found));
        let hits = merge.into_hits("all", 0);
        took.push(1e3 * began.elapsed().as_secs_f64());
        assert_eq!(hits.len(), 1000);
    }
    took.sort_by(f64::total_cmp);
    took[took.len() / 2]
}

pub fn run(options: &RunOptions) -> anyhow::Result<Figures> {
    let mut figures = Figures::default();
    let seconds = if options.quick { 1.5 } else { 8.0 };
    let mut costs = BTreeMap::new();
    let mut different = 0u64;
    let troubles: [(&str, &[(usize, SearchNodeBehavior)]); 3] = [
        ("all serve", &[]),
        ("one faults", &[(0, SearchNodeBehavior::Fault)]),
        ("one hangs", &[(0, SearchNodeBehavior::Hang)]),
    ];
    for (name, behaviors) in troubles {
        for (door, api) in [("first door", false), ("API", true)] {
            for (kind, speech) in [("frames", NodeProtocol::Frames), ("API nodes", NodeProtocol::Api)] {
                eprintln!("{name}, {door}, {kind} ...");
                let ran = ran(options, api, speech, behaviors, seconds);
                let all = ran.load_report.latencies.len();
                // Whatever the door and the nodes: all of them are served.
                different += all - ran.load_report.served;
                let label = format!("{name}, {door}, {kind}");
                figures.report(format!("{label}: served of {all}"), ran.load_report.served as f64, "");
                figures.report(format!("{label}: p50"), 1e3 * ran.load_report.latency_seconds(0.5), "ms");
                figures.report(format!("{label}: p99"), 1e3 * ran.load_report.latency_seconds(0.99), "ms");
                figures.report(format!("{label}: core a scan"), 1e6 * ran.cost, "us");
                figures.report(format!("{label}: parts that ran twice (copies)"), ran.twice as f64, "");
                costs.insert((name, door, kind), ran.cost);
            }
        }
    }
    figures.report_bounded("scans not served whole, all combinations", different as f64, 0.0, "");
    let cost = |door, kind| costs.get(&("all serve", door, kind)).copied().unwrap_or(f64::MAX);
    figures.report_bounded(
        "core a scan, API against first door, frames",
        cost("API", "frames") / cost("first door", "frames"),
        DEARER,
        "times",
    );
    figures.report(
        "core a scan, API against first door, API nodes",
        cost("API", "API nodes") / cost("first door", "API nodes"),
        "times",
    );
    figures.report_bounded("merging 10 parts of 1,000 hits, median", merging(options.seed), MERGE_MS, "ms");
    Ok(figures)
}
