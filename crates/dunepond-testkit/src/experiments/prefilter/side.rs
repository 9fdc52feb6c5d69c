//! One side of a comparison: a cluster, its load, and what came of it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::RunOptions;
use crate::load::{Load, LoadReport};
use crate::prefilter_cluster::{
    Corpus, PrefilterCluster, ProbeBehavior, SEGMENT_COUNT, parse_answer, query_request, term,
};
use crate::stand_ins::Answer;

/// Segments of one query.
const QUERY_SEGMENTS: usize = 24;
/// How long a node works on one part, one at a time.
const SEARCH_TIME: Duration = Duration::from_micros(800);
const REQUESTS_PER_SECOND: f64 = 200.0;
/// The time that a client gives a query.
const BUDGET_SECONDS: f64 = 2.0;
/// Later than this an answer does not count as in time.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(2050);
const CONTENT_CHANGE_INTERVAL: Duration = Duration::from_millis(2);
/// Both sides of a comparison are asked at the same time, in so many rounds, and the best is held to the bound. Beside five
/// times the load that the machine can bear the middle ones came to 0.3 to 2.4 times where 1.0 is usual, and what is
/// wrong with the code (waiting for probes' time-outs was 70 times) is in all of them.
const ROUNDS: u64 = 7;
/// Longer than this, the latency objective, a query takes that waits for answers to its probes until these are given up.
const LONG_LATENCY_MICROS: u64 = 400_000;

/// How a side is set up.
#[derive(Clone, Copy)]
pub(super) struct Side<'a> {
    /// The text of its operator's file.
    pub operator_kdl: &'a str,
    /// How each node behaves, by its number.
    pub behavior: &'a (dyn Fn(usize) -> ProbeBehavior + Sync),
    /// Whether the nodes' content changes all the time.
    pub content_changes: bool,
}

/// What is asked on both sides.
#[derive(Clone, Copy)]
pub(super) struct Queries {
    /// How many of a hundred segments match.
    pub match_percent: u64,
    /// How many queries, in all rounds together.
    pub count: f64,
}

/// What a side's queries came to.
pub(super) struct SideReport {
    rounds: Vec<LoadReport>,
    /// Of all rounds together, in microseconds.
    pub latencies: Histogram<u64>,
    pub rejected: u64,
    /// Parts searched for each query.
    pub searched: f64,
    /// The same in the round in which it was least.
    pub min_searched: f64,
    /// Probes for each query.
    pub probes: f64,
    /// Bytes of probes and their answers for each query.
    pub probe_bytes: f64,
    pub falsely_complete: u64,
    pub late: u64,
}

/// Ratios of the rounds' p50 to those of the other side in the same rounds.
pub(super) struct RoundRatios {
    pub min: f64,
    pub median: f64,
}

impl SideReport {
    pub fn latency_seconds(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1e6
    }

    /// The share of queries that took longer than the latency objective.
    pub fn long_ratio(&self) -> f64 {
        let in_time = self.latencies.count_between(0, LONG_LATENCY_MICROS);
        1.0 - in_time as f64 / self.latencies.len().max(1) as f64
    }

    pub fn p50_against(&self, other: &Self) -> RoundRatios {
        let ratio = |(ours, others): (&LoadReport, &LoadReport)| {
            ours.latency_seconds(0.5) / others.latency_seconds(0.5)
        };
        let mut ratios: Vec<_> = self.rounds.iter().zip(&other.rounds).map(ratio).collect();
        ratios.sort_by(f64::total_cmp);
        RoundRatios { min: ratios[0], median: ratios[ratios.len() / 2] }
    }
}

/// Asks both sides the same at the same time.
pub(super) fn run_sides(options: &RunOptions, queries: Queries, sides: [Side; 2]) -> [SideReport; 2] {
    let together = &Barrier::new(2);
    thread::scope(|scope| {
        let start = |side| scope.spawn(move || run_side(options, queries, side, together));
        sides.map(start).map(|side| side.join().expect("a side ends"))
    })
}

/// What is counted while answers come.
#[derive(Default)]
struct Counts {
    answers: AtomicU64,
    falsely_complete: AtomicU64,
    late: AtomicU64,
}

impl Counts {
    fn record(&self, corpus: &Corpus, query: &Query, sent: Instant, answer: Option<&Answer>) {
        let now = Instant::now();
        self.answers.fetch_add(1, Ordering::Relaxed);
        let Some(answer) = answer else {
            self.late.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let results = parse_answer(answer);
        if results.is_falsely_complete(corpus, &query.term, &query.segments, sent, now) {
            self.falsely_complete.fetch_add(1, Ordering::Relaxed);
        }
        if now - sent > MAX_ANSWER_TIME {
            self.late.fetch_add(1, Ordering::Relaxed);
        }
    }
}

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

fn run_side(options: &RunOptions, queries: Queries, side: Side, together: &Barrier) -> SideReport {
    let cluster =
        PrefilterCluster::start(&options.program, side.operator_kdl, SEARCH_TIME, true, side.behavior);
    let counts = Arc::new(Counts::default());
    let stop = AtomicBool::new(false);
    let mut min_searched = f64::MAX;
    let rounds: Vec<LoadReport> = thread::scope(|scope| {
        scope.spawn(|| {
            if side.content_changes {
                change_content(&cluster.corpus, &stop);
            }
        });
        let mut rounds = Vec::new();
        for round in 0..ROUNDS {
            together.wait();
            let searches_before = cluster.searches();
            let report = run_round(options, queries, round, &cluster, &counts);
            let searches = (cluster.searches() - searches_before) as f64;
            min_searched = min_searched.min(searches / report.latencies.len().max(1) as f64);
            rounds.push(report);
        }
        stop.store(true, Ordering::Relaxed);
        rounds
    });
    let mut latencies = rounds[0].latencies.clone();
    for round in &rounds[1..] {
        latencies.add(&round.latencies).expect("all have the same bounds");
    }
    let answers = counts.answers.load(Ordering::Relaxed).max(1) as f64;
    let failed: u64 = rounds.iter().map(|round| round.failed).sum();
    SideReport {
        searched: cluster.searches() as f64 / answers,
        min_searched,
        probes: cluster.probes() as f64 / answers,
        probe_bytes: cluster.probe_bytes() as f64 / answers,
        falsely_complete: counts.falsely_complete.load(Ordering::Relaxed),
        late: counts.late.load(Ordering::Relaxed) + failed,
        rejected: rounds.iter().map(|round| round.rejected).sum(),
        latencies,
        rounds,
    }
}

fn run_round(
    options: &RunOptions,
    queries: Queries,
    round: u64,
    cluster: &PrefilterCluster,
    counts: &Arc<Counts>,
) -> LoadReport {
    let match_percent = queries.match_percent;
    let load = Load {
        to: cluster.broker.address,
        requests_per_second: REQUESTS_PER_SECOND,
        duration_seconds: queries.count / REQUESTS_PER_SECOND / ROUNDS as f64,
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

fn change_content(corpus: &Corpus, stop: &AtomicBool) {
    for segment in (0..SEGMENT_COUNT).cycle() {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        corpus.advance_version(segment);
        thread::sleep(CONTENT_CHANGE_INTERVAL);
    }
}
