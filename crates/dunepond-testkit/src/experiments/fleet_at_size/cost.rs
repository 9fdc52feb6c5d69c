//! A fleet at rest that agrees on a version every few leases: what each broker, and the leader, has to do for it, by the
//! number of brokers.

use dunepond_simulation::fleet::BrokerLoad;
use dunepond_simulation::scenario::{Scenario, ScenarioConfig, ScenarioReport};
use nix::time::{ClockId, clock_gettime};

use super::fit::fit;
use super::{RunOptions, at};
use crate::report::{Curve, Figures};

const SIZES: [usize; 6] = [10, 30, 100, 300, 1000, 3000];
const QUICK: usize = 100;
const REST: f64 = 30.0;
/// Cost goes at most as this power of the number of brokers: flat, or logarithmic.
const MOST: f64 = 0.25;
/// Messages a second that a leader's host bears with ease; see the note.
const LEADER: f64 = 50_000.0;

/// Processor time of this thread, nanoseconds.
fn meter() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("this clock is always there");
    time.tv_sec() as u64 * 1_000_000_000 + time.tv_nsec() as u64
}

fn play(brokers: usize, seed: u64) -> ScenarioReport {
    let config = ScenarioConfig {
        fault_seconds: 0.0,
        steady_seconds: REST,
        ..ScenarioConfig::with_brokers(brokers, seed)
    };
    let mut scenario = Scenario::new(config);
    scenario.fleet.cpu_clock = Some(meter);
    scenario.run()
}

/// A cost, a second, of a broker that does not vote at the median, and of the leader.
struct Cost {
    name: &'static str,
    unit: &'static str,
    of: fn(&BrokerLoad) -> f64,
}

const COSTS: [Cost; 3] = [
    Cost {
        name: "messages",
        unit: "a second",
        of: |load| (load.messages_sent + load.messages_received) as f64,
    },
    Cost { name: "bytes", unit: "a second", of: |load| (load.bytes_sent + load.bytes_received) as f64 },
    Cost { name: "processor time", unit: "us a second", of: |load| load.cpu_nanoseconds as f64 / 1000.0 },
];

pub fn run(options: &RunOptions, figures: &mut Figures) {
    let sizes = SIZES.into_iter().filter(|size| !options.quick || *size <= QUICK);
    let plays: Vec<(usize, ScenarioReport)> = sizes.map(|size| (size, play(size, options.seed))).collect();
    let mut times = Vec::new();
    for (size, report) in &plays {
        let p = |q| at(report.rollout_seconds.clone(), q).unwrap_or(f64::NAN);
        figures.report(format!("{size} brokers, at rest: agreed everywhere, p50"), p(0.5), "s");
        figures.report_bounded(
            format!("{size} brokers, at rest: agreed everywhere, p99"),
            p(0.99),
            report.switch_bound_seconds,
            "s",
        );
        times.push((*size as f64, p(0.5)));
    }
    let time = fit(&times);
    figures.report_bounded(format!("time to agree grows as N^x: {}", time.name), time.power, MOST, "x");
    let mut curves = Vec::new();
    for cost in &COSTS {
        let of = |report: &ScenarioReport, n: usize| (cost.of)(&report.loads[n]) / report.measured_seconds;
        let mut each = Vec::new();
        let mut leaders = Vec::new();
        for (size, report) in &plays {
            let voters = 5.min(*size);
            let broker = at((voters..*size).map(|n| of(report, n)).collect(), 0.5).unwrap_or(f64::NAN);
            let leader = report.leader.map_or(f64::NAN, |n| of(report, n));
            figures.report(format!("{size} brokers: {} of a broker", cost.name), broker, cost.unit);
            figures.report(format!("{size} brokers: {} of the leader", cost.name), leader, cost.unit);
            each.push((*size as f64, broker));
            leaders.push((*size as f64, leader));
        }
        let (broker, leader) = (fit(&each), fit(&leaders));
        figures.report_bounded(
            format!("{} of a broker grow as N^x: {}", cost.name, broker.name),
            broker.power,
            MOST,
            "x",
        );
        figures.report(
            format!("{} of the leader grow as N^x: {}", cost.name, leader.name),
            leader.power,
            "x",
        );
        if cost.name == "messages"
            && let Some((_, most)) = leaders.last()
        {
            figures.report_bounded("the leader's messages in the largest fleet", *most, LEADER, "a second");
        }
        let logs =
            |points: Vec<(f64, f64)>| points.into_iter().map(|(n, c)| (n.log10(), c.log10())).collect();
        curves.push(Curve { name: format!("{}, a broker", cost.name), points: logs(each) });
        curves.push(Curve { name: format!("{}, the leader", cost.name), points: logs(leaders) });
    }
    figures.plot("cost", "brokers, powers of ten", "a second, powers of ten", curves);
}
