//! One side of a comparison: a cluster, its load and the measurements.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::RunOptions;
use crate::load::{LoadReport, Workload};
use crate::prefilter_cluster::{
    Corpus, PrefilterCluster, ProbeBehavior, SEGMENT_COUNT, parse_response, query_request, term,
};
use crate::stand_ins::Response;

/// Segments that each query covers.
const QUERY_SEGMENTS: usize = 24;
/// Time a node takes to search one part; a node searches one part at a time.
const SEARCH_TIME: Duration = Duration::from_micros(800);
/// Query rate on each side.
const REQUESTS_PER_SECOND: f64 = 200.0;
/// Time budget of a query, in seconds.
const BUDGET_SECONDS: f64 = 2.0;
/// Latency above which an answer counts as late.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(2050);
/// Time between two changes of the nodes' content.
const CONTENT_CHANGE_INTERVAL: Duration = Duration::from_millis(2);
/// Rounds of a comparison. Both sides get their load at the same time, and the bound applies to the best round. On a machine
/// with five times the load it can handle, the median of rounds was 0.3 to 2.4 where 1.0 is usual. A fault in the code shows
/// in every round: waiting for probes to time out gave a ratio of 70.
const ROUNDS: u64 = 7;
/// The latency objective, in microseconds. A query that waits until its probes time out takes longer than this.
const LONG_LATENCY_MICROS: u64 = 400_000;

/// Setup of one side.
#[derive(Clone, Copy)]
pub(super) struct Side<'a> {
    /// Text of the operator file.
    pub operator_kdl: &'a str,
    /// Returns the behavior of each node by its index.
    pub behavior: &'a (dyn Fn(usize) -> ProbeBehavior + Sync),
    /// Whether the content of the nodes changes continuously.
    pub content_changes: bool,
}

/// Queries that are sent to both sides.
#[derive(Clone, Copy)]
pub(super) struct Queries {
    /// Percentage of segments that match.
    pub match_percent: u64,
    /// Number of queries over all rounds.
    pub query_count: f64,
}

/// Measurements of one side.
pub(super) struct SideReport {
    /// Results of each round.
    rounds: Vec<LoadReport>,
    /// Latencies over all rounds, in microseconds.
    pub latencies_micros: Histogram<u64>,
    /// Queries that the broker rejected.
    pub rejected_count: u64,
    /// Average parts searched per query.
    pub searched_per_query: f64,
    /// Average parts searched per query in the round in which this was lowest.
    pub min_searched_per_query: f64,
    /// Average probes per query.
    pub probes_per_query: f64,
    /// Average bytes of probes and their answers per query.
    pub probe_bytes_per_query: f64,
    /// Answers that claimed to be complete and were not.
    pub falsely_complete_count: u64,
    /// Queries without an answer in time.
    pub late_count: u64,
}

/// Ratios of the p50 of one side to that of the other, round by round.
pub(super) struct RoundRatios {
    /// Lowest ratio.
    pub min: f64,
    /// Median ratio.
    pub median: f64,
}

impl SideReport {
    /// Returns a quantile of the latency over all rounds, in seconds.
    pub fn latency_seconds(&self, quantile: f64) -> f64 {
        self.latencies_micros.value_at_quantile(quantile) as f64 / 1e6
    }

    /// Returns the share of queries that took longer than the latency objective.
    pub fn long_ratio(&self) -> f64 {
        let in_time = self.latencies_micros.count_between(0, LONG_LATENCY_MICROS);
        1.0 - in_time as f64 / self.latencies_micros.len().max(1) as f64
    }

    /// Compares the p50 of each round with that of the other side in the same round.
    pub fn p50_against(&self, other: &Self) -> RoundRatios {
        let ratio =
            |(own, other): (&LoadReport, &LoadReport)| own.latency_seconds(0.5) / other.latency_seconds(0.5);
        let mut ratios: Vec<_> = self.rounds.iter().zip(&other.rounds).map(ratio).collect();
        ratios.sort_by(f64::total_cmp);
        RoundRatios { min: ratios[0], median: ratios[ratios.len() / 2] }
    }
}

/// Sends the same queries to both sides at the same time.
pub(super) fn run_sides(options: &RunOptions, queries: Queries, sides: [Side; 2]) -> [SideReport; 2] {
    let barrier = &Barrier::new(2);
    thread::scope(|scope| {
        let start = |side| scope.spawn(move || run_side(options, queries, side, barrier));
        sides.map(start).map(|side| side.join().expect("the thread of a side does not panic"))
    })
}

/// Counters that are updated as answers arrive.
#[derive(Default)]
struct Counts {
    /// Completed queries, with or without an answer.
    answers: AtomicU64,
    /// Answers that claimed to be complete and were not.
    falsely_complete: AtomicU64,
    /// Queries that got no answer or a late one.
    late: AtomicU64,
}

impl Counts {
    fn record(&self, corpus: &Corpus, query: &Query, sent: Instant, answer: Option<&Response>) {
        let now = Instant::now();
        self.answers.fetch_add(1, Ordering::Relaxed);
        let Some(answer) = answer else {
            self.late.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let results = parse_response(answer);
        if results.is_falsely_complete(corpus, &query.term, &query.segments, sent, now) {
            self.falsely_complete.fetch_add(1, Ordering::Relaxed);
        }
        if now - sent > MAX_ANSWER_TIME {
            self.late.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A query, derived from its number.
struct Query {
    segments: Vec<usize>,
    term: String,
}

impl Query {
    fn new(match_percent: u64, number: usize) -> Self {
        let segments = (0..QUERY_SEGMENTS).map(|i| (number * 5 + i) % SEGMENT_COUNT).collect();
        Self { segments, term: term(match_percent, number) }
    }
}

/// Starts a cluster, runs all rounds and sums up the counters. Waits at the barrier before each round.
fn run_side(options: &RunOptions, queries: Queries, side: Side, barrier: &Barrier) -> SideReport {
    let cluster =
        PrefilterCluster::start(&options.program, side.operator_kdl, SEARCH_TIME, true, side.behavior);
    let counts = Arc::new(Counts::default());
    let stop = AtomicBool::new(false);
    let mut min_searched_per_query = f64::MAX;
    let rounds: Vec<LoadReport> = thread::scope(|scope| {
        scope.spawn(|| {
            if side.content_changes {
                change_content(&cluster.corpus, &stop);
            }
        });
        let mut rounds = Vec::new();
        for round in 0..ROUNDS {
            barrier.wait();
            let searches_before = cluster.search_count();
            let report = run_round(options, queries, round, &cluster, &counts);
            let searches = (cluster.search_count() - searches_before) as f64;
            min_searched_per_query =
                min_searched_per_query.min(searches / report.latencies_micros.len().max(1) as f64);
            rounds.push(report);
        }
        stop.store(true, Ordering::Relaxed);
        rounds
    });
    let mut latencies_micros = rounds[0].latencies_micros.clone();
    for round in &rounds[1..] {
        latencies_micros
            .add(&round.latencies_micros)
            .expect("all rounds use histograms with the same bounds");
    }
    let answers = counts.answers.load(Ordering::Relaxed).max(1) as f64;
    let failed: u64 = rounds.iter().map(|round| round.failed_count).sum();
    SideReport {
        searched_per_query: cluster.search_count() as f64 / answers,
        min_searched_per_query,
        probes_per_query: cluster.probe_count() as f64 / answers,
        probe_bytes_per_query: cluster.probe_bytes() as f64 / answers,
        falsely_complete_count: counts.falsely_complete.load(Ordering::Relaxed),
        late_count: counts.late.load(Ordering::Relaxed) + failed,
        rejected_count: rounds.iter().map(|round| round.rejected_count).sum(),
        latencies_micros,
        rounds,
    }
}

/// Runs the queries of one round.
fn run_round(
    options: &RunOptions,
    queries: Queries,
    round: u64,
    cluster: &PrefilterCluster,
    counts: &Arc<Counts>,
) -> LoadReport {
    let match_percent = queries.match_percent;
    let load = Workload {
        broker_address: cluster.broker.address,
        requests_per_second: REQUESTS_PER_SECOND,
        duration_seconds: queries.query_count / REQUESTS_PER_SECOND / ROUNDS as f64,
        seed: options.seed + round,
        id_prefix: "",
    };
    let (corpus, counts) = (cluster.corpus.clone(), counts.clone());
    load.run_with(
        move |number| {
            let query = Query::new(match_percent, number);
            let id = format!("c{round}-{number}");
            query_request("find", &id, &query.segments, BUDGET_SECONDS, &query.term)
        },
        move |number, sent, answer| {
            counts.record(&corpus, &Query::new(match_percent, number), sent, answer);
        },
    )
}

/// Advances the content version of one segment after the other until stopped.
fn change_content(corpus: &Corpus, stop: &AtomicBool) {
    for segment in (0..SEGMENT_COUNT).cycle() {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        corpus.advance_version(segment);
        thread::sleep(CONTENT_CHANGE_INTERVAL);
    }
}
