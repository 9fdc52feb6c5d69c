//! Wide queries with and without the prefilter, at several match rates and with several troubles: work at the nodes,
//! times, and whether any answer was falsely complete.

mod side;

use super::RunOptions;
use crate::prefilter_cluster::{ProbeBehavior, REPLICA_GROUP_COUNT};
use crate::report::{Curve, Figures};
use side::{Queries, Side, SideReport, run_sides};

/// What the prefilter may cost where it saves nothing, in parts searched.
const MAX_SEARCHED_RATIO: f64 = 1.05;
/// What it may cost in time: where it saves nothing, and while nodes stall, lie or lag; no trouble of the prefilter may make
/// queries much slower than without it.
const MAX_LATENCY_RATIO: f64 = 1.25;
/// Of how many queries it may be so that they wait until their probes are given up, beyond those searched without any.
const MAX_LONG_RATIO: f64 = 0.05;
/// The most that may be left to search where one segment in a hundred matches, in the best round of a few tries: nodes that a busy
/// machine lets answer late are rightly not asked for a while, and their segments searched.
const MAX_LEFT_RATIO: f64 = 0.2;
const TRIES: usize = 3;
const OPERATOR_KDL: &str = "phases least-segments=6 share=0.3 fresh=0 audits=0.01\ncounters every=0.5\n";
const MATCH_PERCENTS: [u64; 4] = [1, 10, 50, 100];
/// Queries of a comparison, of a whole run and of a quick one.
const QUERY_COUNT: f64 = 1500.0;
const QUICK_QUERY_COUNT: f64 = 400.0;

/// How each node behaves, by its number.
type Behaviors = Box<dyn Fn(usize) -> ProbeBehavior + Sync>;

/// What is wrong with nodes or their content.
struct Trouble {
    name: &'static str,
    behavior: Behaviors,
    content_changes: bool,
}

/// Sums over all sides.
#[derive(Default)]
struct Totals {
    falsely_complete: u64,
    late: u64,
    queries: u64,
}

impl Totals {
    fn add(&mut self, side: &SideReport) {
        self.falsely_complete += side.falsely_complete;
        self.late += side.late;
        self.queries += side.latencies.len();
    }
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<Figures> {
    let mut figures = Figures::default();
    let mut totals = Totals::default();
    let count = if options.quick { QUICK_QUERY_COUNT } else { QUERY_COUNT };
    let (mut work_saved, mut latency_percents) = (Vec::new(), Vec::new());
    for match_percent in MATCH_PERCENTS {
        eprintln!("{match_percent}% match ...");
        let queries = Queries { match_percent, count };
        let [off, on] = compare_at_rate(options, queries, &mut totals);
        report_rate(&mut figures, match_percent, &off, &on);
        let x = match_percent as f64;
        work_saved.push((x, 100.0 * (1.0 - on.searched / off.searched)));
        latency_percents.push((x, 100.0 * on.p50_against(&off).median));
    }
    let curves = vec![
        Curve { name: "work saved".to_string(), points: work_saved },
        Curve { name: "p50 on, percent of off".to_string(), points: latency_percents },
    ];
    figures.plot("work-saved", "percent of shards that match", "percent", curves);
    for trouble in troubles() {
        eprintln!("{} ...", trouble.name);
        // At a match rate at which much is pruned.
        let queries = Queries { match_percent: 10, count: count / 1.5 };
        let troubled = Side {
            operator_kdl: OPERATOR_KDL,
            behavior: &*trouble.behavior,
            content_changes: trouble.content_changes,
        };
        let [plain, side] = run_sides(options, queries, [honest_side(""), troubled]);
        totals.add(&side);
        report_trouble(&mut figures, trouble.name, &plain, &side);
    }
    figures.report("nodes, one a cell", REPLICA_GROUP_COUNT as f64, "");
    figures.report("scans asked", totals.queries as f64, "");
    figures.report_bounded("answers falsely whole", totals.falsely_complete as f64, 0.0, "");
    figures.report_bounded("scans without an answer in time", totals.late as f64, 0.0, "");
    Ok(figures)
}

fn honest_side(operator_kdl: &str) -> Side<'_> {
    Side { operator_kdl, behavior: &|_| ProbeBehavior::Honest, content_changes: false }
}

/// Without and with the prefilter; more than once where it has to save much.
fn compare_at_rate(options: &RunOptions, queries: Queries, totals: &mut Totals) -> [SideReport; 2] {
    let mut run = || {
        let sides = run_sides(options, queries, [honest_side(""), honest_side(OPERATOR_KDL)]);
        sides.iter().for_each(|side| totals.add(side));
        sides
    };
    let mut sides = run();
    for _ in 1..TRIES {
        let [off, on] = &sides;
        if queries.match_percent == 1 && on.min_searched > MAX_LEFT_RATIO * off.searched {
            sides = run();
        }
    }
    sides
}

fn report_rate(figures: &mut Figures, match_percent: u64, off: &SideReport, on: &SideReport) {
    let name = |what: &str| format!("{match_percent}% match: {what}");
    figures.report(name("parts searched a scan, off"), off.searched, "");
    figures.report(name("parts searched a scan, on"), on.searched, "");
    figures.report(name("questions a scan"), on.probes, "");
    figures.report(name("bytes of questions and answers a scan"), on.probe_bytes, "");
    for (what, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        figures.report(name(&format!("{what}, off")), 1e3 * off.latency_seconds(quantile), "ms");
        figures.report(name(&format!("{what}, on")), 1e3 * on.latency_seconds(quantile), "ms");
    }
    let ratio = on.searched / off.searched;
    match match_percent {
        1 => {
            figures.report(name("parts searched, on against off"), ratio, "times");
            let best = on.min_searched / off.searched;
            let name = name("parts searched, on against off, best round");
            figures.report_bounded(name, best, MAX_LEFT_RATIO, "times");
        }
        100 => {
            figures.report_bounded(
                name("parts searched, on against off"),
                ratio,
                MAX_SEARCHED_RATIO,
                "times",
            );
            let ratios = on.p50_against(off);
            figures.report(name("p50, on against off, middle of rounds"), ratios.median, "times");
            let name = name("p50, on against off, best round");
            figures.report_bounded(name, ratios.min, MAX_LATENCY_RATIO, "times");
        }
        _ => figures.report(name("parts searched, on against off"), ratio, "times"),
    }
}

fn report_trouble(figures: &mut Figures, trouble: &str, plain: &SideReport, side: &SideReport) {
    let name = |what: &str| format!("{trouble}: {what}");
    figures.report(name("parts searched a scan"), side.searched, "");
    figures.report(name("p50"), 1e3 * side.latency_seconds(0.5), "ms");
    let ratios = side.p50_against(plain);
    figures.report(name("p50 against searched plainly, middle of rounds"), ratios.median, "times");
    let best = name("p50 against searched plainly, best round");
    figures.report_bounded(best, ratios.min, MAX_LATENCY_RATIO, "times");
    let long = (side.long_ratio() - plain.long_ratio()).max(0.0);
    let beyond = name("share over the target time, beyond plainly");
    figures.report_bounded(beyond, long, MAX_LONG_RATIO, "");
    figures.report(name("p99"), 1e3 * side.latency_seconds(0.99), "ms");
    figures.report(name("refused"), side.rejected as f64, "");
}

fn troubles() -> Vec<Trouble> {
    let stable = |name, behavior| Trouble { name, behavior, content_changes: false };
    let changing = |name, behavior| Trouble { name, behavior, content_changes: true };
    vec![
        stable("one node stalls", every(usize::MAX, ProbeBehavior::Stall)),
        stable("a third stall", every(3, ProbeBehavior::Stall)),
        stable("all stall", every(1, ProbeBehavior::Stall)),
        stable("a third deny all", every(3, ProbeBehavior::DenyAll)),
        changing("a third say the old truth, content moves", every(3, ProbeBehavior::StaleContent)),
        changing("a third lag, content moves", every(3, ProbeBehavior::PreviousVersion)),
        stable("a third speak of a version to come", every(3, ProbeBehavior::FutureVersion)),
        stable("a third do not know the letter", every(3, ProbeBehavior::RejectProbe)),
        changing("all answer after 40 ms, content moves", every(1, ProbeBehavior::ReplyAfterMillis(40))),
        stable("a third garble", every(3, ProbeBehavior::Malformed)),
        changing("content moves", every(1, ProbeBehavior::Honest)),
    ]
}

/// The first node of each `interval` behaves so, the others are honest.
fn every(interval: usize, behavior: ProbeBehavior) -> Behaviors {
    Box::new(move |i| if i.is_multiple_of(interval) { behavior } else { ProbeBehavior::Honest })
}
