//! A fleet whose brokers agree on configuration versions. Measures how long two brokers have different versions active during
//! changes and network partitions, how many queries a partition costs, how long agreement takes, and what it costs while idle.

use std::thread;
use std::time::{Duration, Instant};

use super::RunOptions;
use crate::auditor::{AuditEvent, AuditPhase, longest_version_conflict_seconds};
use crate::fleet::{Fleet, FleetOptions, served_ratio};
use crate::links::{HEALTHY, LinkConditions};
use crate::processes::{BrokerProcess, wait_until};
use crate::report::{Curve, ExperimentReport};

/// Duration of the load without a partition, and of the load that continues once a change under a partition is active.
const LOAD_DURATION: Duration = Duration::from_secs(2);
/// Pause of each client between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// Upper bound on the share of queries missed under a partition, of those served within the target time without one.
const MAX_MISSED_RATIO: f64 = 0.05;
/// Upper bound on CPU time per query with the control plane on divided by that with it off.
const MAX_CPU_RATIO: f64 = 1.05;
/// Upper bound on the messages that a broker sends while nothing changes in the largest fleet, divided by those in a fleet
/// of three.
const MAX_MESSAGE_GROWTH: f64 = 1.1;

fn fleet_options(run_options: &RunOptions, voters: usize, brokers: usize) -> FleetOptions {
    FleetOptions { seed: run_options.seed, ..FleetOptions::new(&run_options.program, voters, brokers) }
}

fn median(mut samples: Vec<f64>) -> f64 {
    samples.sort_by(f64::total_cmp);
    samples[samples.len() / 2]
}

/// Size of the fleet, number of changes, and load during the changes.
struct Scale {
    /// Number of brokers.
    brokers: usize,
    /// Number of changes before the partition.
    rounds: u64,
    /// Pause of each client between two requests.
    request_pause: Duration,
}

/// Makes changes under load, and then one more under a partition.
fn run_changes(run_options: &RunOptions, experiment_report: &mut ExperimentReport) {
    let scale = match run_options.quick {
        true => Scale { brokers: 5, rounds: 3, request_pause: REQUEST_PAUSE },
        false => Scale { brokers: 30, rounds: 8, request_pause: 10 * REQUEST_PAUSE },
    };
    let mut fleet = Fleet::start_with_active_version(fleet_options(run_options, 5, scale.brokers));
    let objective_seconds = fleet.options.query_timeout_seconds / 2.0;
    let clients = fleet.start_clients(0..scale.brokers, scale.request_pause);
    thread::sleep(LOAD_DURATION);
    let baseline = served_ratio(&clients.stop(), objective_seconds, &[]);
    report_changes(experiment_report, &mut fleet, &scale);
    eprintln!("partitioned ...");
    let partitioned = serve_partitioned(&mut fleet, &scale, objective_seconds);
    experiment_report.add_value("scans served within the target time, undisturbed", baseline, "");
    experiment_report.add_value("scans served within the target time, cut in two", partitioned, "");
    let missed = 1.0 - partitioned / baseline;
    experiment_report.add_bounded_value(
        "missed by the cut, of those served undisturbed",
        missed,
        MAX_MISSED_RATIO,
        "",
    );
    report_audit(experiment_report, &fleet);
}

/// Proposes one version after another and reports how long each takes until it is active at all brokers.
fn report_changes(experiment_report: &mut ExperimentReport, fleet: &mut Fleet, scale: &Scale) {
    let max_seconds = fleet.options.switch_bound_seconds + 3.0 * fleet.options.lease_seconds;
    let segments = fleet.options.segment_count as u64;
    let mut change_seconds = Vec::new();
    let clients = fleet.start_clients(0..scale.brokers, scale.request_pause);
    for number in 2..2 + scale.rounds {
        let moved_segments = [number % segments, (number + 2) % segments];
        let filled_segments = [(number + 4) % segments];
        let next_version = fleet.config_version(
            number,
            &moved_segments,
            if number % 2 == 0 { &filled_segments } else { &[] },
        );
        let began = Instant::now();
        fleet.propose(number as usize % scale.brokers, &next_version);
        fleet.wait_for_active_version(0..scale.brokers, number);
        change_seconds.push(began.elapsed().as_secs_f64());
    }
    clients.stop();
    change_seconds.sort_by(f64::total_cmp);
    let quantile =
        |quantile: f64| change_seconds[((change_seconds.len() - 1) as f64 * quantile).round() as usize];
    experiment_report.add_value("time to agree, p50", quantile(0.5), "s");
    experiment_report.add_value("time to agree, p99", quantile(0.99), "s");
    let late_count = change_seconds.iter().filter(|seconds| **seconds > max_seconds).count();
    experiment_report.add_bounded_value(
        "changes in force later than the bound and three leases",
        late_count as f64,
        0.0,
        "",
    );
}

/// Returns the share of queries served in time under a partition while the majority side completes a change.
fn serve_partitioned(fleet: &mut Fleet, scale: &Scale, objective_seconds: f64) -> f64 {
    let number = 2 + scale.rounds;
    let minority: Vec<_> = (0..scale.brokers).filter(|i| *i < 2 || *i >= 5 && i % 2 == 0).collect();
    let majority: Vec<_> = (0..scale.brokers).filter(|i| !minority.contains(i)).collect();
    // Non-idempotent queries of segments that move are rejected in the joint phase, with or without a partition.
    let next_version = fleet.config_version(number, &[0], &[]);
    fleet.propose(majority[0], &next_version);
    let is_joint =
        |i: &usize| fleet.last_phase(*i).is_some_and(|recorded| recorded.phase == AuditPhase::Joint);
    wait_until(|| majority.iter().any(is_joint));
    fleet.partition(&[&minority, &majority]);
    let clients = fleet.start_clients(0..scale.brokers, scale.request_pause);
    fleet.wait_for_active_version(majority.iter().copied(), number);
    thread::sleep(LOAD_DURATION);
    let served = served_ratio(&clients.stop(), objective_seconds, &minority);
    fleet.links.set_all_conditions(&LinkConditions {
        delay_seconds: 0.01,
        jitter_seconds: 0.01,
        loss_ratio: 0.02,
        ..HEALTHY
    });
    fleet.wait_for_active_version(0..scale.brokers, number);
    served
}

/// Reports the auditor's findings and the longest time for which two brokers had different versions active.
fn report_audit(experiment_report: &mut ExperimentReport, fleet: &Fleet) {
    let records = fleet.records();
    let longest = longest_version_conflict_seconds(&records);
    let name = "longest contradiction, against the bound T";
    experiment_report.add_bounded_value(name, longest, fleet.options.switch_bound_seconds, "s");
    let findings = fleet.audit();
    findings.iter().take(5).for_each(|finding| eprintln!("{finding}"));
    experiment_report.add_bounded_value("findings of the auditor", findings.len() as f64, 0.0, "");
    let is_attempt = |event: &AuditEvent| matches!(event, AuditEvent::AttemptSent { .. });
    let attempts = records.entries.iter().filter(|record| is_attempt(&record.event)).count();
    experiment_report.add_value("dispatches that it judged", attempts as f64, "");
}

/// Reports the messages per broker and second while nothing changes, by the number of brokers.
fn report_message_rates(run_options: &RunOptions, experiment_report: &mut ExperimentReport) {
    let sizes: &[usize] = if run_options.quick { &[3, 7] } else { &[3, 7, 15, 30] };
    let mut points = Vec::new();
    for &size in sizes {
        let fleet = Fleet::start_with_active_version(fleet_options(run_options, 3, size));
        let (before, began) = (fleet.links.total_delivered_count(), Instant::now());
        thread::sleep(Duration::from_secs(2));
        let sent = (fleet.links.total_delivered_count() - before) as f64;
        let rate = sent / size as f64 / began.elapsed().as_secs_f64();
        experiment_report.add_value(format!("messages a broker and second, {size} brokers"), rate, "");
        points.push((size as f64, rate));
    }
    let growth = points[points.len() - 1].1 / points[0].1;
    experiment_report.add_bounded_value(
        "messages a broker, in the largest fleet against the least",
        growth,
        MAX_MESSAGE_GROWTH,
        "times",
    );
    let curve = Curve { name: "messages".to_string(), points };
    experiment_report.add_plot("talk", "brokers", "messages a broker and second", vec![curve]);
}

/// Compares the event loop's CPU time per query with the control plane off, on without any version, and on with an active
/// map, all under the same load at the same time. On a busy machine rounds vary by a tenth in either direction, which moves
/// the median to either side of the bound. The median is therefore only reported, and the bound applies to the lower
/// quartile, which exceeds it only if there is a real cost.
fn compare_loop_cpu(run_options: &RunOptions, experiment_report: &mut ExperimentReport) {
    let start_idle_fleet = |control_plane_enabled| {
        Fleet::start_ready(FleetOptions {
            control_plane_enabled,
            audit_enabled: false,
            ..fleet_options(run_options, 3, 3)
        })
    };
    let mut fleets = [start_idle_fleet(false), start_idle_fleet(true), start_idle_fleet(true)];
    let total_loop_cpu =
        |fleet: &Fleet| fleet.brokers.iter().map(BrokerProcess::loop_cpu_seconds).sum::<f64>();
    let first = fleets[2].config_version(1, &[], &[]);
    fleets[2].propose(0, &first);
    assert!(wait_until(|| fleets[1].log_contains(0, "Alone []") && fleets[2].log_contains(0, "Alone [1]")));
    let rounds = if run_options.quick { 31 } else { 151 };
    let (mut baseline, mut ratios) = (Vec::new(), [Vec::new(), Vec::new()]);
    for _ in 0..rounds {
        let before = fleets.each_ref().map(total_loop_cpu);
        let clients = fleets.each_ref().map(|fleet| fleet.start_clients(0..3, Duration::from_millis(2)));
        thread::sleep(Duration::from_millis(250));
        let query_counts = clients.map(|clients| clients.stop().len() as f64);
        let cpu_per_query: [f64; 3] =
            std::array::from_fn(|i| (total_loop_cpu(&fleets[i]) - before[i]) / query_counts[i]);
        baseline.push(cpu_per_query[0]);
        (0..2).for_each(|i| ratios[i].push(cpu_per_query[i + 1] / cpu_per_query[0]));
    }
    experiment_report.add_value("processor time of the loop a scan, fleet off", 1e6 * median(baseline), "us");
    for (case, mut case_ratios) in ["with nothing agreed on", "with a map in force"].into_iter().zip(ratios) {
        case_ratios.sort_by(f64::total_cmp);
        experiment_report.add_value(
            format!("the same, on {case} against off, median"),
            case_ratios[case_ratios.len() / 2],
            "times",
        );
        let lower_quartile = case_ratios[case_ratios.len() / 4];
        experiment_report.add_bounded_value(
            format!("the same, on {case} against off, lower quartile"),
            lower_quartile,
            MAX_CPU_RATIO,
            "times",
        );
    }
}

/// Runs the experiment.
pub fn run(run_options: &RunOptions) -> anyhow::Result<ExperimentReport> {
    let mut experiment_report = ExperimentReport::default();
    for (case, run_case) in [
        ("changes", run_changes as fn(&RunOptions, &mut ExperimentReport)),
        ("talk", report_message_rates),
        ("cpu", compare_loop_cpu),
    ] {
        if run_options.includes(case) {
            eprintln!("{case} ...");
            run_case(run_options, &mut experiment_report);
        }
    }
    Ok(experiment_report)
}
