//! Bounds that the fleet shares: parts of them leased by need, beside a fleet that splits them evenly, under traffic that
//! comes in at one broker and moves on to another; with brokers cut off, killed and started again meanwhile.

use std::thread;
use std::time::Duration;

use super::RunOptions;
use crate::auditor::limits::{QUOTA_UNITS, peak_units};
use crate::fleet::{Fleet, FleetOptions, QueryOutcome, RetryBudget, outcome_ratio};
use crate::links::{CUT, HEALTHY};
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
/// The node that starts, and for how long it is looked at.
const COLD_NODE: usize = 5;
const COLD_TIME: Duration = Duration::from_secs(4);

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

/// A fleet whose quotas are leased, and one that splits them evenly.
struct Fleets {
    leased: Fleet,
    even: Fleet,
}

/// Queries at each of the two.
#[derive(Default)]
struct Outcomes {
    leased: Vec<QueryOutcome>,
    even: Vec<QueryOutcome>,
}

impl Fleets {
    fn start(options: &RunOptions) -> Self {
        let fleet_options = |extra_lines: Vec<String>| FleetOptions {
            seed: options.seed,
            balancers: BROKERS,
            tenant_quota: QUOTA,
            retry_budget: RetryBudget { ratio: RETRY_RATIO, min_retries: 20.0 },
            extra_lines,
            ..FleetOptions::new(&options.program, 3, BROKERS)
        };
        Self {
            leased: Fleet::start_with_version(fleet_options(vec![LIMITS.to_string()])),
            even: Fleet::start_with_version(fleet_options(Vec::new())),
        }
    }

    fn set_behavior(&self, behavior: NodeBehavior) {
        for node in self.leased.nodes.iter().chain(&self.even.nodes) {
            node.set_behavior(behavior);
        }
    }

    /// Clients of one broker in each, for so long.
    fn load(&self, broker: usize, time: Duration) -> Outcomes {
        let leased = self.leased.clients([broker], REQUEST_GAP);
        let even = self.even.clients([broker], REQUEST_GAP);
        thread::sleep(time);
        Outcomes { leased: leased.stop(), even: even.stop() }
    }
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<Figures> {
    let mut figures = Figures::default();
    let fleets = Fleets::start(options);
    let time = if options.quick { Duration::from_secs(4) } else { Duration::from_secs(20) };
    let mut leased_outcomes = Vec::new();
    fleets.set_behavior(NodeBehavior::FailEveryNth(FAULTS));
    // Where the traffic is first, and where it goes.
    for (broker, name) in [(4, "at one broker"), (3, "moved on to another")] {
        eprintln!("traffic at n{} ...", broker + 1);
        // Alike kinds at both ends of the pair, so that only the split differs.
        leased_outcomes.extend(fleets.load(broker, SETTLE_TIME).leased);
        let outcomes = fleets.load(broker, time);
        report_traffic(&mut figures, name, &outcomes, time);
        leased_outcomes.extend(outcomes.leased);
    }
    fleets.set_behavior(NodeBehavior::Serve);
    leased_outcomes.extend(report_cold_node(&mut figures, &fleets).leased);
    // A quota ranks queries under pressure; this traffic is below it.
    let name = "served in any window against the quota, leases";
    figures.report_bounded(name, most_served(&leased_outcomes), MAX_QUOTA_RATIO, "times");
    eprintln!("cut off, killed, started again ...");
    report_failures(&mut figures, fleets.leased)?;
    Ok(figures)
}

fn report_traffic(figures: &mut Figures, name: &str, outcomes: &Outcomes, time: Duration) {
    let rate = outcomes.leased.len() as f64 / time.as_secs_f64();
    let (leased, even) = (missed_ratio(&outcomes.leased), missed_ratio(&outcomes.even));
    figures.report(format!("traffic {name}: scans a second, offered"), rate, "");
    figures.report(format!("traffic {name}: not served, even parts"), even, "share");
    figures.report(format!("traffic {name}: not served, leases"), leased, "share");
    // Without a bound: clients that wait for each answer ask less where more fails, so that few are counted.
    let ratio = leased / even.max(1e-9);
    figures.report(format!("traffic {name}: not served, leases against even parts"), ratio, "times");
}

/// A node that has just started, under traffic at one broker: what it takes while it is cold.
fn report_cold_node(figures: &mut Figures, fleets: &Fleets) -> Outcomes {
    let parts = |fleet: &Fleet| fleet.nodes[COLD_NODE].part_arrivals().len() as f64;
    let clients = [&fleets.leased, &fleets.even].map(|fleet| fleet.clients([3], REQUEST_GAP));
    fleets.leased.report_restarted(&[COLD_NODE]);
    fleets.even.report_restarted(&[COLD_NODE]);
    let (leased_before, even_before) = (parts(&fleets.leased), parts(&fleets.even));
    thread::sleep(COLD_TIME);
    let per_second = |parts: f64| parts / COLD_TIME.as_secs_f64();
    let even = per_second(parts(&fleets.even) - even_before);
    let leased = per_second(parts(&fleets.leased) - leased_before);
    figures.report("parts a second at a node that has just started, even parts", even, "");
    figures.report("parts a second at a node that has just started, leases", leased, "");
    let [leased, even] = clients.map(|clients| clients.stop());
    Outcomes { leased, even }
}

/// The broker that has most is cut off, and killed, while the others ask for it.
fn report_failures(figures: &mut Figures, mut fleet: Fleet) -> anyhow::Result<()> {
    let clients = fleet.clients(0..BROKERS, REQUEST_GAP);
    fleet.links.set_around(&["n4"], &CUT);
    thread::sleep(Duration::from_secs(3));
    fleet.links.set_all(&HEALTHY);
    thread::sleep(Duration::from_secs(1));
    fleet.brokers[4].kill();
    fleet.brokers[4].start();
    let back = wait_until(|| fleet.brokers[4].ready());
    thread::sleep(Duration::from_secs(2));
    clients.stop();
    figures.report_bounded("brokers that did not come back", f64::from(u8::from(!back)), 0.0, "");
    let records = fleet.records();
    let peaks = peak_units(&records);
    anyhow::ensure!(!peaks.is_empty(), "no part of any bound was ever leased");
    for (bound, units) in &peaks {
        let name = format!("largest sum of all parts of '{bound}', over its window");
        figures.report_bounded(name, *units as f64 / QUOTA_UNITS as f64, 1.0, "wholes");
    }
    let found = fleet.audit();
    found.iter().take(5).for_each(|finding| eprintln!("{finding}"));
    figures.report_bounded("findings of the auditor", found.len() as f64, 0.0, "");
    figures.plot("sums", "seconds", "share of the whole", curves(&records));
    Ok(())
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
