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

/// Changes and cuts in turn, under load.
fn changes(run_options: &RunOptions, figures: &mut Figures) {
    let (brokers, rounds, gap) =
        if run_options.quick { (5, 3, REQUEST_GAP) } else { (30, 8, 10 * REQUEST_GAP) };
    let mut fleet = Fleet::start_with_version(fleet_options(run_options, 5, brokers));
    let (bound, target) = (fleet.options.lease_bound_seconds, fleet.options.query_timeout_seconds / 2.0);
    let clients = fleet.clients(0..brokers, gap);
    thread::sleep(Duration::from_secs(2));
    let whole = served_ratio(&clients.stop(), target, &[]);
    let (mut change_seconds, mut late) = (Vec::new(), 0);
    let clients = fleet.clients(0..brokers, gap);
    for number in 2..2 + rounds {
        let segs = fleet.options.segment_count as u64;
        let (moved, filled) = ([number % segs, (number + 2) % segs], [(number + 4) % segs]);
        let next = fleet.config_version(number, &moved, if number % 2 == 0 { &filled } else { &[] });
        let began = Instant::now();
        fleet.propose(number as usize % brokers, &next);
        fleet.wait_active(0..brokers, number);
        change_seconds.push(began.elapsed().as_secs_f64());
        late +=
            u64::from(change_seconds[change_seconds.len() - 1] > bound + 3.0 * fleet.options.lease_seconds);
    }
    clients.stop();
    change_seconds.sort_by(f64::total_cmp);
    let at = |share: f64| change_seconds[((change_seconds.len() - 1) as f64 * share).round() as usize];
    figures.report("time to agree, p50", at(0.5), "s");
    figures.report("time to agree, p99", at(0.99), "s");
    figures.report_bounded("changes in force later than the bound and three leases", late as f64, 0.0, "");
    eprintln!("cut in two ...");
    let minority: Vec<_> = (0..brokers).filter(|i| *i < 2 || *i >= 5 && i % 2 == 0).collect();
    let majority: Vec<_> = (0..brokers).filter(|i| !minority.contains(i)).collect();
    // Fixes of what moves are refused in the joint step, cut or not.
    let next = fleet.config_version(2 + rounds, &[0], &[]);
    fleet.propose(majority[0], &next);
    let joint = |i: &usize| fleet.phase(*i).is_some_and(|recorded| recorded.phase == AuditPhase::Joint);
    wait_until(|| majority.iter().any(joint));
    fleet.partition(&[&minority, &majority]);
    let clients = fleet.clients(0..brokers, gap);
    fleet.wait_active(majority.iter().copied(), 2 + rounds);
    thread::sleep(Duration::from_secs(2));
    let cut = served_ratio(&clients.stop(), target, &minority);
    fleet.links.set_all(&LinkConditions {
        delay_seconds: 0.01,
        jitter_seconds: 0.01,
        loss_ratio: 0.02,
        ..HEALTHY
    });
    fleet.wait_active(0..brokers, 2 + rounds);
    figures.report("scans served within the target time, undisturbed", whole, "");
    figures.report("scans served within the target time, cut in two", cut, "");
    figures.report_bounded(
        "missed by the cut, of those served undisturbed",
        1.0 - cut / whole,
        MAX_MISSED_RATIO,
        "",
    );
    let records = fleet.records();
    figures.report_bounded(
        "longest contradiction, against the bound T",
        longest_contradiction(&records),
        bound,
        "s",
    );
    let found = fleet.audit();
    found.iter().take(5).for_each(|finding| eprintln!("{finding}"));
    figures.report_bounded("findings of the auditor", found.len() as f64, 0.0, "");
    let acts =
        records.lines.iter().filter(|line| matches!(line.event, AuditEvent::AttemptSent { .. })).count();
    figures.report("dispatches that it judged", acts as f64, "");
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
    figures.plots.push(("talk".to_string(), ["brokers", "messages a broker and second"], vec![curve]));
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
