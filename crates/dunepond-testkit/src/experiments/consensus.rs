//! A fleet that agrees on versions: how long brokers contradict each other over changes and cuts, what a cut costs scans,
//! how long agreement takes and what it costs when nothing changes.

use std::thread;
use std::time::{Duration, Instant};

use super::RunOptions;
use crate::auditor::{AuditEvent, AuditPhase, longest_contradiction};
use crate::fleet::{Fleet, FleetOptions, served_ratio};
use crate::links::{HEALTHY, LinkConditions};
use crate::processes::{BrokerProcess, wait_until};
use crate::report::{Curve, Figures};

/// Load on its own, or behind a change.
const LOAD_TIME: Duration = Duration::from_secs(2);
const REQUEST_GAP: Duration = Duration::from_millis(20);
/// Of the scans served within the target time without a cut, so many may be missed under one.
const MAX_MISSED_RATIO: f64 = 0.05;
const MAX_CPU_RATIO: f64 = 1.05;
/// Of messages a broker sends while nothing changes, in the largest fleet against one of three.
const MAX_MESSAGE_GROWTH: f64 = 1.1;

fn fleet_options(run_options: &RunOptions, voters: usize, brokers: usize) -> FleetOptions {
    FleetOptions { seed: run_options.seed, ..FleetOptions::new(&run_options.program, voters, brokers) }
}

fn median(mut samples: Vec<f64>) -> f64 {
    samples.sort_by(f64::total_cmp);
    samples[samples.len() / 2]
}

/// Size and load of the fleet that changes.
struct Scale {
    brokers: usize,
    rounds: u64,
    request_gap: Duration,
}

/// Changes, and then one under a partition, under load.
fn changes(run_options: &RunOptions, figures: &mut Figures) {
    let scale = match run_options.quick {
        true => Scale { brokers: 5, rounds: 3, request_gap: REQUEST_GAP },
        false => Scale { brokers: 30, rounds: 8, request_gap: 10 * REQUEST_GAP },
    };
    let mut fleet = Fleet::start_with_version(fleet_options(run_options, 5, scale.brokers));
    let objective_seconds = fleet.options.query_timeout_seconds / 2.0;
    let clients = fleet.clients(0..scale.brokers, scale.request_gap);
    thread::sleep(LOAD_TIME);
    let undisturbed = served_ratio(&clients.stop(), objective_seconds, &[]);
    report_changes(figures, &mut fleet, &scale);
    eprintln!("cut in two ...");
    let partitioned = serve_partitioned(&mut fleet, &scale, objective_seconds);
    figures.report("scans served within the target time, undisturbed", undisturbed, "");
    figures.report("scans served within the target time, cut in two", partitioned, "");
    let missed = 1.0 - partitioned / undisturbed;
    figures.report_bounded("missed by the cut, of those served undisturbed", missed, MAX_MISSED_RATIO, "");
    report_audit(figures, &fleet);
}

fn report_changes(figures: &mut Figures, fleet: &mut Fleet, scale: &Scale) {
    let max_seconds = fleet.options.lease_bound_seconds + 3.0 * fleet.options.lease_seconds;
    let segments = fleet.options.segment_count as u64;
    let mut change_seconds = Vec::new();
    let clients = fleet.clients(0..scale.brokers, scale.request_gap);
    for number in 2..2 + scale.rounds {
        let moved = [number % segments, (number + 2) % segments];
        let filled = [(number + 4) % segments];
        let next = fleet.config_version(number, &moved, if number % 2 == 0 { &filled } else { &[] });
        let began = Instant::now();
        fleet.propose(number as usize % scale.brokers, &next);
        fleet.wait_active(0..scale.brokers, number);
        change_seconds.push(began.elapsed().as_secs_f64());
    }
    clients.stop();
    change_seconds.sort_by(f64::total_cmp);
    let quantile = |share: f64| change_seconds[((change_seconds.len() - 1) as f64 * share).round() as usize];
    figures.report("time to agree, p50", quantile(0.5), "s");
    figures.report("time to agree, p99", quantile(0.99), "s");
    let late = change_seconds.iter().filter(|seconds| **seconds > max_seconds).count();
    figures.report_bounded("changes in force later than the bound and three leases", late as f64, 0.0, "");
}

/// The share of queries that is served in time under a partition, while the majority makes a change.
fn serve_partitioned(fleet: &mut Fleet, scale: &Scale, objective_seconds: f64) -> f64 {
    let number = 2 + scale.rounds;
    let minority: Vec<_> = (0..scale.brokers).filter(|i| *i < 2 || *i >= 5 && i % 2 == 0).collect();
    let majority: Vec<_> = (0..scale.brokers).filter(|i| !minority.contains(i)).collect();
    // Fixes of what moves are refused in the joint phase, partitioned or not.
    let next = fleet.config_version(number, &[0], &[]);
    fleet.propose(majority[0], &next);
    let joint = |i: &usize| fleet.phase(*i).is_some_and(|recorded| recorded.phase == AuditPhase::Joint);
    wait_until(|| majority.iter().any(joint));
    fleet.partition(&[&minority, &majority]);
    let clients = fleet.clients(0..scale.brokers, scale.request_gap);
    fleet.wait_active(majority.iter().copied(), number);
    thread::sleep(LOAD_TIME);
    let served = served_ratio(&clients.stop(), objective_seconds, &minority);
    fleet.links.set_all(&LinkConditions {
        delay_seconds: 0.01,
        jitter_seconds: 0.01,
        loss_ratio: 0.02,
        ..HEALTHY
    });
    fleet.wait_active(0..scale.brokers, number);
    served
}

fn report_audit(figures: &mut Figures, fleet: &Fleet) {
    let records = fleet.records();
    let longest = longest_contradiction(&records);
    let name = "longest contradiction, against the bound T";
    figures.report_bounded(name, longest, fleet.options.lease_bound_seconds, "s");
    let found = fleet.audit();
    found.iter().take(5).for_each(|finding| eprintln!("{finding}"));
    figures.report_bounded("findings of the auditor", found.len() as f64, 0.0, "");
    let is_attempt = |event: &AuditEvent| matches!(event, AuditEvent::AttemptSent { .. });
    let attempts = records.lines.iter().filter(|record| is_attempt(&record.event)).count();
    figures.report("dispatches that it judged", attempts as f64, "");
}

/// Messages that a broker sends in a second while nothing changes, by how many brokers there are.
fn message_rates(run_options: &RunOptions, figures: &mut Figures) {
    let sizes: &[usize] = if run_options.quick { &[3, 7] } else { &[3, 7, 15, 30] };
    let mut points = Vec::new();
    for &size in sizes {
        let fleet = Fleet::start_with_version(fleet_options(run_options, 3, size));
        let (before, began) = (fleet.links.total_delivered(), Instant::now());
        thread::sleep(Duration::from_secs(2));
        let sent = (fleet.links.total_delivered() - before) as f64;
        let each = sent / size as f64 / began.elapsed().as_secs_f64();
        figures.report(format!("messages a broker and second, {size} brokers"), each, "");
        points.push((size as f64, each));
    }
    let growth = points[points.len() - 1].1 / points[0].1;
    figures.report_bounded(
        "messages a broker, in the largest fleet against the least",
        growth,
        MAX_MESSAGE_GROWTH,
        "times",
    );
    let curve = Curve { name: "messages".to_string(), points };
    figures.plot("talk", "brokers", "messages a broker and second", vec![curve]);
}

/// Processor time of the loop for each scan, with the fleet off, on without any version, and on with a map in force, each
/// under the same load at the same time. On a busy machine rounds differ by a tenth either way, so that the median of some
/// comes out on either side of the bound: it is told, and the lower quartile is held, which only a real cost lifts over it.
fn cpu(run_options: &RunOptions, figures: &mut Figures) {
    let quiet = |on| {
        Fleet::start_ready(FleetOptions {
            control_plane_enabled: on,
            audit_enabled: false,
            ..fleet_options(run_options, 3, 3)
        })
    };
    let mut fleets = [quiet(false), quiet(true), quiet(true)];
    let cpu = |fleet: &Fleet| fleet.brokers.iter().map(BrokerProcess::loop_cpu_seconds).sum::<f64>();
    let first = fleets[2].config_version(1, &[], &[]);
    fleets[2].propose(0, &first);
    assert!(wait_until(|| fleets[1].log_contains(0, "Alone []") && fleets[2].log_contains(0, "Alone [1]")));
    let rounds = if run_options.quick { 31 } else { 151 };
    let (mut each, mut against) = (Vec::new(), [Vec::new(), Vec::new()]);
    for _ in 0..rounds {
        let before = fleets.each_ref().map(cpu);
        let clients = fleets.each_ref().map(|fleet| fleet.clients(0..3, Duration::from_millis(2)));
        thread::sleep(Duration::from_millis(250));
        let scans = clients.map(|clients| clients.stop().len() as f64);
        let change_seconds: [f64; 3] = std::array::from_fn(|i| (cpu(&fleets[i]) - before[i]) / scans[i]);
        each.push(change_seconds[0]);
        (0..2).for_each(|i| against[i].push(change_seconds[i + 1] / change_seconds[0]));
    }
    figures.report("processor time of the loop a scan, fleet off", 1e6 * median(each), "us");
    for (case, mut against) in ["with nothing agreed on", "with a map in force"].into_iter().zip(against) {
        against.sort_by(f64::total_cmp);
        figures.report(
            format!("the same, on {case} against off, median"),
            against[against.len() / 2],
            "times",
        );
        let quarter = against[against.len() / 4];
        figures.report_bounded(
            format!("the same, on {case} against off, lower quartile"),
            quarter,
            MAX_CPU_RATIO,
            "times",
        );
    }
}

pub fn run(run_options: &RunOptions) -> anyhow::Result<Figures> {
    let mut figures = Figures::default();
    for (case, play) in
        [("changes", changes as fn(&RunOptions, &mut Figures)), ("talk", message_rates), ("cpu", cpu)]
    {
        if run_options.includes(case) {
            eprintln!("{case} ...");
            play(run_options, &mut figures);
        }
    }
    Ok(figures)
}
