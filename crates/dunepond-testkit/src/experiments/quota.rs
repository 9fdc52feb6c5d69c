//! Compares a fleet that leases shares of its quotas to brokers by demand with a fleet that splits the quotas evenly. The
//! traffic enters at one broker and then at another; afterwards a broker is partitioned, killed and restarted.

use std::thread;
use std::time::Duration;

use super::RunOptions;
use crate::auditor::quotas::{QUOTA_UNITS, peak_units};
use crate::fleet::{Fleet, FleetOptions, QueryOutcome, RetryBudget, outcome_ratio};
use crate::links::{HEALTHY, PARTITIONED};
use crate::processes::wait_until;
use crate::report::{Curve, ExperimentReport};
use crate::stand_ins::NodeBehavior;

/// Brokers in each fleet.
const BROKER_COUNT: usize = 5;
/// Quota of each tenant over all brokers, in queries per second.
const TENANT_QUOTA: f64 = 200.0;
/// Pause of each client between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// Nodes fail one in this many parts; the broker retries each of them.
const FAULT_INTERVAL: usize = 5;
/// Retry budget as a share of the queries taken. It is nearly zero, so that the minimum number of retries decides.
const RETRY_RATIO: f64 = 0.02;
/// Time until the leased shares have followed the traffic: demand is reported, shares are planned, and other brokers have
/// released theirs.
const SETTLE_DURATION: Duration = Duration::from_secs(6);
/// Upper bound on the queries served in any window divided by the quota, as seen by the clients. Clients count a query from
/// when they send it, and the broker admits it slightly later, so this may exceed 1.
const MAX_QUOTA_RATIO: f64 = 1.1;
/// Length of the window over which served queries are compared with the quota, in seconds.
const WINDOW_SECONDS: f64 = 2.0;
/// Index of the node that restarts and is in slow start.
const COLD_NODE: usize = 5;
/// Time for which the parts sent to the cold node are counted.
const COLD_DURATION: Duration = Duration::from_secs(4);

/// Operator configuration that enables leased quotas.
const LIMITS_KDL: &str = "limits floor=0.25 every=0.3 { further; customer \"mill\"; cold rate=40.0; }";

/// Returns the share of idempotent queries that were not answered with status 200.
fn missed_ratio(outcomes: &[QueryOutcome]) -> f64 {
    1.0 - outcome_ratio(outcomes, |outcome| outcome.is_idempotent(), |outcome| outcome.status == Some(200))
}

/// Returns the largest number of queries served in any window, divided by the quota of a window.
fn peak_quota_ratio(outcomes: &[QueryOutcome]) -> f64 {
    let Some(first) = outcomes.iter().map(|outcome| outcome.started_at).min() else { return 0.0 };
    let served = outcomes.iter().filter(|outcome| outcome.status == Some(200));
    let mut start_times: Vec<f64> =
        served.map(|outcome| outcome.started_at.duration_since(first).as_secs_f64()).collect();
    start_times.sort_by(f64::total_cmp);
    let (mut from, mut most) = (0, 0);
    for to in 0..start_times.len() {
        while start_times[to] - start_times[from] > WINDOW_SECONDS {
            from += 1;
        }
        most = most.max(to + 1 - from);
    }
    most as f64 / (TENANT_QUOTA * WINDOW_SECONDS)
}

/// The two fleets that are compared.
struct Fleets {
    /// Fleet whose quotas are leased by demand.
    leased: Fleet,
    /// Fleet that splits its quotas evenly.
    even: Fleet,
}

/// Outcomes of queries in each of the two fleets.
#[derive(Default)]
struct Outcomes {
    /// Outcomes in the fleet whose quotas are leased by demand.
    leased: Vec<QueryOutcome>,
    /// Outcomes in the fleet that splits its quotas evenly.
    even: Vec<QueryOutcome>,
}

impl Fleets {
    fn start(options: &RunOptions) -> Self {
        let fleet_options = |extra_kdl_lines: Vec<String>| FleetOptions {
            seed: options.seed,
            configured_broker_count: BROKER_COUNT,
            tenant_quota_per_second: TENANT_QUOTA,
            retry_budget: RetryBudget { ratio: RETRY_RATIO, min_retries: 20.0 },
            extra_kdl_lines,
            ..FleetOptions::new(&options.program, 3, BROKER_COUNT)
        };
        Self {
            leased: Fleet::start_with_active_version(fleet_options(vec![LIMITS_KDL.to_string()])),
            even: Fleet::start_with_active_version(fleet_options(Vec::new())),
        }
    }

    /// Sets the behavior of all nodes of both fleets.
    fn set_behavior(&self, behavior: NodeBehavior) {
        for node in self.leased.nodes.iter().chain(&self.even.nodes) {
            node.set_behavior(behavior);
        }
    }

    /// Runs clients of one broker in each fleet for this long.
    fn run_clients(&self, broker: usize, time: Duration) -> Outcomes {
        let leased = self.leased.start_clients([broker], REQUEST_PAUSE);
        let even = self.even.start_clients([broker], REQUEST_PAUSE);
        thread::sleep(time);
        Outcomes { leased: leased.stop(), even: even.stop() }
    }
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<ExperimentReport> {
    let mut experiment_report = ExperimentReport::default();
    let fleets = Fleets::start(options);
    let time = if options.quick { Duration::from_secs(4) } else { Duration::from_secs(20) };
    let mut leased_outcomes = Vec::new();
    fleets.set_behavior(NodeBehavior::FailEveryNth(FAULT_INTERVAL));
    // The traffic first enters at one broker and then at another.
    for (broker, name) in [(4, "at one broker"), (3, "moved on to another")] {
        eprintln!("traffic at n{} ...", broker + 1);
        // Both fleets get the same load before and during the measurement, so that only the split of the quota differs.
        leased_outcomes.extend(fleets.run_clients(broker, SETTLE_DURATION).leased);
        let outcomes = fleets.run_clients(broker, time);
        report_traffic(&mut experiment_report, name, &outcomes, time);
        leased_outcomes.extend(outcomes.leased);
    }
    fleets.set_behavior(NodeBehavior::Serve);
    leased_outcomes.extend(report_cold_node(&mut experiment_report, &fleets).leased);
    // Quotas only rank queries when the brokers are overloaded; this traffic is below that.
    let name = "served in any window against the quota, leases";
    experiment_report.add_bounded_value(name, peak_quota_ratio(&leased_outcomes), MAX_QUOTA_RATIO, "times");
    eprintln!("partitioned, killed and restarted ...");
    report_failures(&mut experiment_report, fleets.leased)?;
    Ok(experiment_report)
}

/// Reports the share of queries that was not served in each fleet.
fn report_traffic(experiment_report: &mut ExperimentReport, name: &str, outcomes: &Outcomes, time: Duration) {
    let rate = outcomes.leased.len() as f64 / time.as_secs_f64();
    let (leased, even) = (missed_ratio(&outcomes.leased), missed_ratio(&outcomes.even));
    experiment_report.add_value(format!("traffic {name}: scans a second, offered"), rate, "");
    experiment_report.add_value(format!("traffic {name}: not served, even parts"), even, "share");
    experiment_report.add_value(format!("traffic {name}: not served, leases"), leased, "share");
    // This ratio has no bound: clients wait for each answer, so they send fewer queries where more of them fail.
    let ratio = leased / even.max(1e-9);
    experiment_report.add_value(
        format!("traffic {name}: not served, leases against even parts"),
        ratio,
        "times",
    );
}

/// Reports the parts that a node in slow start gets per second under traffic at one broker.
fn report_cold_node(experiment_report: &mut ExperimentReport, fleets: &Fleets) -> Outcomes {
    let parts = |fleet: &Fleet| fleet.nodes[COLD_NODE].part_arrivals().len() as f64;
    let clients = [&fleets.leased, &fleets.even].map(|fleet| fleet.start_clients([3], REQUEST_PAUSE));
    fleets.leased.report_nodes_restarted(&[COLD_NODE]);
    fleets.even.report_nodes_restarted(&[COLD_NODE]);
    let (leased_before, even_before) = (parts(&fleets.leased), parts(&fleets.even));
    thread::sleep(COLD_DURATION);
    let per_second = |parts: f64| parts / COLD_DURATION.as_secs_f64();
    let even = per_second(parts(&fleets.even) - even_before);
    let leased = per_second(parts(&fleets.leased) - leased_before);
    experiment_report.add_value("parts a second at a node that has just started, even parts", even, "");
    experiment_report.add_value("parts a second at a node that has just started, leases", leased, "");
    let [leased, even] = clients.map(|clients| clients.stop());
    Outcomes { leased, even }
}

/// Partitions and kills the broker with the largest share while the other brokers request it, and reports whether the sum of
/// all shares stays within each quota.
fn report_failures(experiment_report: &mut ExperimentReport, mut fleet: Fleet) -> anyhow::Result<()> {
    let clients = fleet.start_clients(0..BROKER_COUNT, REQUEST_PAUSE);
    fleet.links.set_conditions_around(&["n4"], &PARTITIONED);
    thread::sleep(Duration::from_secs(3));
    fleet.links.set_all_conditions(&HEALTHY);
    thread::sleep(Duration::from_secs(1));
    fleet.brokers[4].kill();
    fleet.brokers[4].start();
    let restarted = wait_until(|| fleet.brokers[4].is_ready());
    thread::sleep(Duration::from_secs(2));
    clients.stop();
    experiment_report.add_bounded_value(
        "brokers that did not come back",
        f64::from(u8::from(!restarted)),
        0.0,
        "",
    );
    let records = fleet.records();
    let peaks = peak_units(&records);
    anyhow::ensure!(!peaks.is_empty(), "no share of any quota was leased during the experiment");
    for (bound, units) in &peaks {
        let name = format!("largest sum of all parts of '{bound}', over its window");
        experiment_report.add_bounded_value(name, *units as f64 / QUOTA_UNITS as f64, 1.0, "wholes");
    }
    let findings = fleet.audit();
    findings.iter().take(5).for_each(|finding| eprintln!("{finding}"));
    experiment_report.add_bounded_value("findings of the auditor", findings.len() as f64, 0.0, "");
    experiment_report.add_plot("sums", "seconds", "share of the whole", quota_curves(&records));
    Ok(())
}

/// Returns a curve of the sum of all leased shares over time for each quota.
fn quota_curves(records: &crate::auditor::Records) -> Vec<Curve> {
    let intervals = crate::auditor::quotas::quota_intervals(records);
    let names: std::collections::BTreeSet<_> =
        intervals.iter().map(|interval| interval.quota.clone()).collect();
    let start = intervals.iter().map(|interval| interval.from).fold(f64::INFINITY, f64::min);
    let curve = |name: &String| {
        let sums = crate::auditor::quotas::quota_sums(&intervals, name);
        let points = sums.into_iter().map(|sum| (sum.at - start, sum.units as f64 / QUOTA_UNITS as f64));
        Curve { name: name.clone(), points: points.collect() }
    };
    names.iter().map(curve).collect()
}
