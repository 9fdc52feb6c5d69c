//! Bounds that the fleet shares: parts of them leased by need, beside a fleet that splits them evenly, under traffic that
//! comes in at one broker and moves on to another; with brokers cut off, killed and started again meanwhile.

use std::thread;
use std::time::Duration;

use super::RunOptions;
use crate::auditor::limits::{QUOTA_UNITS, peak_units};
use crate::fleet::{Fleet, FleetOptions, QueryOutcome, RetryBudget, outcome_ratio};
use crate::links::CUT;
use crate::processes::wait_until;
use crate::report::{Curve, Figures};
use crate::stand_ins::NodeBehavior;

const BROKERS: usize = 5;
/// Of the one customer, scans a second at all brokers together.
const QUOTA: f64 = 200.0;
const REQUEST_GAP: Duration = Duration::from_millis(20);
/// Every so many parts a node fails: what comes of it needs a further dispatch.
const FAULTS: usize = 5;
/// Further dispatches that are allowed as a share of what is taken: next to none, so that the free ones decide.
const RETRY_RATIO: f64 = 0.02;
/// Until parts have followed the traffic: need reported, planned, and what others had surely let go.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Over the quota in any window, at the clients' end: a scan counts from when it was asked for, its broker's admission is a
/// moment later.
const MAX_QUOTA_RATIO: f64 = 1.1;
const WINDOW_SECONDS: f64 = 2.0;

const LIMITS: &str = "limits floor=0.25 every=0.3 { further; customer \"mill\"; cold rate=40.0; }";

fn missed_ratio(outcomes: &[QueryOutcome]) -> f64 {
    1.0 - outcome_ratio(outcomes, |one| one.is_idempotent(), |one| one.status == Some(200))
}

/// The most that was served in any window, against the quota.
fn most_served(outcomes: &[QueryOutcome]) -> f64 {
    let Some(first) = outcomes.iter().map(|one| one.started_at).min() else { return 0.0 };
    let served = outcomes.iter().filter(|one| one.status == Some(200));
    let mut at: Vec<f64> = served.map(|one| one.started_at.duration_since(first).as_secs_f64()).collect();
    at.sort_by(f64::total_cmp);
    let (mut from, mut most) = (0, 0);
    for to in 0..at.len() {
        while at[to] - at[from] > WINDOW_SECONDS {
            from += 1;
        }
        most = most.max(to + 1 - from);
    }
    most as f64 / (QUOTA * WINDOW_SECONDS)
}

pub fn run(options: &RunOptions) -> anyhow::Result<Figures> {
    let mut figures = Figures::default();
    let fleet_options = |more: Vec<String>| FleetOptions {
        seed: options.seed,
        balancers: BROKERS,
        tenant_quota: QUOTA,
        retry_budget: RetryBudget { ratio: RETRY_RATIO, min_retries: 20.0 },
        extra_lines: more,
        ..FleetOptions::new(&options.program, 3, BROKERS)
    };
    let fleets =
        [fleet_options(vec![LIMITS.to_string()]), fleet_options(Vec::new())].map(Fleet::start_with_version);
    let [leased, _] = &fleets;
    let stretch = if options.quick { Duration::from_secs(4) } else { Duration::from_secs(20) };
    let mut all: [Vec<QueryOutcome>; 2] = Default::default();
    let faults =
        |behavior| fleets.iter().for_each(|f| f.nodes.iter().for_each(|node| node.set_behavior(behavior)));
    faults(NodeBehavior::FailEveryNth(FAULTS));
    // Where the traffic is first, and where it goes.
    for place in [4, 3] {
        eprintln!("traffic at n{} ...", place + 1);
        // Alike kinds at both ends of the pair, so that only the split differs.
        let loads = fleets.each_ref().map(|fleet| fleet.clients([place], REQUEST_GAP));
        thread::sleep(SETTLE_TIME);
        let before = loads.map(|load| load.stop());
        let loads = fleets.each_ref().map(|fleet| fleet.clients([place], REQUEST_GAP));
        thread::sleep(stretch);
        let outcomes = loads.map(|load| load.stop());
        let shares = outcomes.each_ref().map(|outcomes| missed_ratio(outcomes));
        let name = if place == 4 { "at one broker" } else { "moved on to another" };
        figures.report(
            format!("traffic {name}: scans a second, offered"),
            outcomes[0].len() as f64 / stretch.as_secs_f64(),
            "",
        );
        figures.report(format!("traffic {name}: not served, even parts"), shares[1], "share");
        figures.report(format!("traffic {name}: not served, leases"), shares[0], "share");
        let ratio = shares[0] / shares[1].max(1e-9);
        // Told and not held: clients that wait for each answer ask less where more fails, so that few are counted.
        figures.report(format!("traffic {name}: not served, leases against even parts"), ratio, "times");
        for ((all, before), outcomes) in all.iter_mut().zip(before).zip(outcomes) {
            all.extend(before);
            all.extend(outcomes);
        }
    }
    faults(NodeBehavior::Serve);
    // A node that has just started, under traffic at one broker: what it takes while it is cold.
    let parts = |fleet: &Fleet| fleet.nodes[5].part_arrivals().len();
    let loads = fleets.each_ref().map(|fleet| fleet.clients([3], REQUEST_GAP));
    fleets.iter().for_each(|fleet| fleet.report_cold("s-5"));
    let before = fleets.each_ref().map(parts);
    thread::sleep(Duration::from_secs(4));
    let took: [f64; 2] = std::array::from_fn(|i| (parts(&fleets[i]) - before[i]) as f64 / 4.0);
    figures.report("parts a second at a node that has just started, even parts", took[1], "");
    figures.report("parts a second at a node that has just started, leases", took[0], "");
    for (all, load) in all.iter_mut().zip(loads) {
        all.extend(load.stop());
    }
    // A quota ranks scans under pressure; this traffic is below it.
    figures.report_bounded(
        "served in any window against the quota, leases",
        most_served(&all[0]),
        MAX_QUOTA_RATIO,
        "times",
    );
    eprintln!("cut off, killed, started again ...");
    // Who has most is cut off, and killed, while the others ask for it.
    let load = leased.clients(0..BROKERS, REQUEST_GAP);
    leased.links.set_around(&["n4"], &CUT);
    thread::sleep(Duration::from_secs(3));
    leased.links.set_all(&crate::links::HEALTHY);
    thread::sleep(Duration::from_secs(1));
    let [mut leased, _] = fleets;
    leased.brokers[4].kill();
    leased.brokers[4].start();
    let back = wait_until(|| leased.brokers[4].ready());
    thread::sleep(Duration::from_secs(2));
    load.stop();
    figures.report_bounded("brokers that did not come back", f64::from(u8::from(!back)), 0.0, "");
    let records = leased.records();
    let largest = peak_units(&records);
    anyhow::ensure!(!largest.is_empty(), "no part of any bound was ever leased");
    for (bound, units) in &largest {
        let sum = *units as f64 / QUOTA_UNITS as f64;
        figures.report_bounded(
            format!("largest sum of all parts of '{bound}', over its window"),
            sum,
            1.0,
            "wholes",
        );
    }
    let found = leased.audit();
    found.iter().take(5).for_each(|finding| eprintln!("{finding}"));
    figures.report_bounded("findings of the auditor", found.len() as f64, 0.0, "");
    figures.plots.push(("sums".to_string(), ["seconds", "share of the whole"], curves(&records)));
    Ok(figures)
}

fn curves(records: &crate::auditor::Records) -> Vec<Curve> {
    let stretches = crate::auditor::limits::quota_intervals(records);
    let names: std::collections::BTreeSet<_> = stretches.iter().map(|one| one.bound.clone()).collect();
    let start = stretches.iter().map(|one| one.from).fold(f64::INFINITY, f64::min);
    let curve = |name: &String| {
        let sums = crate::auditor::limits::sums(&stretches, name);
        let points = sums.into_iter().map(|sum| (sum.at - start, sum.units as f64 / QUOTA_UNITS as f64));
        Curve { name: name.clone(), points: points.collect() }
    };
    names.iter().map(curve).collect()
}
