//! Measures components whose cost grows with the fleet: versions by the number of segments in the map, counts of carried bytes
//! and membership by the number of brokers.

use std::collections::VecDeque;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use dunepond_membership::{Actions, Core, MembershipOptions, PeerState};
use dunepond_settlement::{Balances, BrokerPartners, CarriedCounts, SettlementLedger, SettlementTerms};
use dunepond_simulation::scenario::{Topology, config_version};

use super::RunOptions;
use super::fit::fit_growth;
use crate::report::{Curve, ExperimentReport};

/// Largest encoded version that a broker accepts, in bytes.
const MAX_VERSION_BYTES: f64 = (3 << 20) as f64;
/// Nodes of the topology from which maps are built.
const NODE_COUNT: usize = 5000;
/// Partners of the fleet.
const PARTNER_COUNT: usize = 200;
/// Pairs of partners for which one broker counts carried bytes.
const PAIRS_PER_BROKER: usize = 30;

/// Runs an operation once and returns its duration in milliseconds.
fn elapsed_ms(operation: impl FnOnce()) -> f64 {
    let start = Instant::now();
    operation();
    start.elapsed().as_secs_f64() * 1e3
}

/// Reports the size of a version, the time to verify its map and the time to compute its digest, by the number of segments.
fn report_maps(options: &RunOptions, experiment_report: &mut ExperimentReport) {
    let sizes: &[u64] =
        if options.quick { &[100, 1000, 10_000] } else { &[100, 1000, 10_000, 30_000, 100_000] };
    let constraints = dunepond_shard_map::MapConstraints { min_replicas: 1, min_zones: 1 };
    let (mut version_bytes, mut proof_times) = (Vec::new(), Vec::new());
    for size in sizes {
        let topology = Topology::new(NODE_COUNT, PARTNER_COUNT, *size);
        let version = config_version(1, topology.map(1));
        let encoded_bytes = postcard::to_stdvec(&version).map_or(f64::NAN, |bytes| bytes.len() as f64);
        let map = version.map.as_ref().expect("the version was created with a map");
        let verify_ms = elapsed_ms(|| {
            drop(black_box(
                dunepond_shard_map::verify(map, &[], &constraints).expect("the generated map is valid"),
            ))
        });
        let digest_ms = elapsed_ms(|| drop(black_box(version.digest())));
        experiment_report.add_value(
            format!("{size} segments: a version"),
            encoded_bytes,
            "bytes to each broker",
        );
        experiment_report.add_value(format!("{size} segments: its proof, at each broker"), verify_ms, "ms");
        experiment_report.add_value(format!("{size} segments: its digest"), digest_ms, "ms");
        version_bytes.push((*size as f64, encoded_bytes));
        proof_times.push((*size as f64, verify_ms));
        if *size <= 30_000 {
            experiment_report.add_bounded_value(
                format!("{size} segments: within what a host takes"),
                encoded_bytes,
                MAX_VERSION_BYTES,
                "bytes",
            );
        }
    }
    for (name, points) in [("bytes of a version", version_bytes), ("proof of a map", proof_times)] {
        let fit = fit_growth(&points);
        experiment_report.add_value(
            format!("{name} grow with segments as S^x: {}", fit.growth),
            fit.exponent,
            "x",
        );
    }
}

/// Reports the encoded size of the counts of bytes that partners carried for each other, and the time to update balances from
/// them, by the number of brokers. Each broker sends all counts that it knows to one other broker per second.
fn report_counts(options: &RunOptions, experiment_report: &mut ExperimentReport) {
    let sizes: &[usize] = if options.quick { &[10, 30, 100] } else { &[10, 30, 100, 300, 1000, 3000] };
    let (mut count_bytes, mut update_times) = (Vec::new(), Vec::new());
    for size in sizes {
        let mut counts = CarriedCounts::new();
        for broker in 0..*size {
            for pair in 0..PAIRS_PER_BROKER {
                let (carrier, other) =
                    ((broker * 7 + pair) % PARTNER_COUNT, (broker * 13 + 5 * pair + 1) % PARTNER_COUNT);
                counts.record(
                    &format!("n{broker}"),
                    1,
                    &format!("p{carrier}"),
                    &format!("p{other}"),
                    1 << 20,
                );
            }
        }
        let encoded_bytes = postcard::to_stdvec(&counts).map_or(f64::NAN, |bytes| bytes.len() as f64);
        let ledger = SettlementLedger::default();
        let mut balances = Balances::new(SettlementTerms::default(), BrokerPartners::default(), ledger)
            .expect("the default terms are valid");
        // Brokers do this update every second. A sample of the pairs would not show its cost, so larger fleets are skipped.
        if *size <= 300 {
            let update_ms = elapsed_ms(|| balances.update_counts(0.0, &counts));
            experiment_report.add_value(
                format!("{size} brokers, {PARTNER_COUNT} partners: a look at the counts"),
                update_ms,
                "ms",
            );
            update_times.push((*size as f64, update_ms));
        }
        experiment_report.add_value(
            format!("{size} brokers: counts as told each second"),
            encoded_bytes,
            "bytes",
        );
        experiment_report.add_value(
            format!("{size} brokers: cells of counts"),
            counts.cell_count() as f64,
            "of 100,000 taken",
        );
        count_bytes.push((*size as f64, encoded_bytes));
    }
    for (name, points) in [("counts told", count_bytes), ("a look at the counts", update_times)] {
        let fit = fit_growth(&points);
        experiment_report.add_value(format!("{name} grow as N^x: {}", fit.growth), fit.exponent, "x");
    }
}

/// Returns the address of the member with this number.
fn member_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 2000 + number as u16))
}

/// Cost of membership per broker and second.
struct MembershipCost {
    /// Datagrams sent.
    messages: f64,
    /// Bytes sent.
    bytes: f64,
    /// Time spent, in microseconds.
    micros: f64,
}

/// Runs the membership protocol of all members over a simulated network with delay, and measures for 5 simulated seconds once
/// every member sees all others alive. Each member has all names in its configuration, so none is unknown. Returns `None` if
/// the members don't all see each other within 60 simulated seconds.
fn measure_membership(count: usize, seed: u64) -> Option<MembershipCost> {
    let member_options = |number: usize| {
        let known_members = (0..count).map(|other| (format!("n{other}"), member_address(other))).collect();
        let mut options = MembershipOptions::new(
            &format!("n{number}"),
            1,
            member_address(number),
            known_members,
            seed + number as u64,
        );
        options.limits.max_members = 2 * count;
        options
    };
    let mut cores: Vec<Core> = (0..count)
        .map(|n| Core::new(&member_options(n), [n as u8; 32], 0.0).expect("the membership options are valid"))
        .collect();
    let mut in_flight: VecDeque<(f64, usize, usize, Vec<u8>)> = VecDeque::new();
    let (mut now, mut sent, mut bytes, mut complete_since) = (0.0, 0u64, 0u64, None);
    let mut measured_from = Instant::now();
    while now < 60.0 {
        now += 0.02;
        let send =
            |actions: Actions, n: usize, in_flight: &mut VecDeque<_>, sent: &mut u64, bytes: &mut u64| {
                for (to, payload) in actions.datagrams {
                    (*sent, *bytes) = (*sent + 1, *bytes + payload.len() as u64);
                    in_flight.push_back((now + 0.01, n, usize::from(to.port()) - 2000, payload));
                }
            };
        while in_flight.front().is_some_and(|next| next.0 <= now) {
            let Some((_, source, to, payload)) = in_flight.pop_front() else { break };
            let actions = cores[to].on_datagram(now, member_address(source), &payload);
            send(actions, to, &mut in_flight, &mut sent, &mut bytes);
        }
        for (n, core) in cores.iter_mut().enumerate() {
            if core.next_tick_at() <= now {
                send(core.tick(now), n, &mut in_flight, &mut sent, &mut bytes);
            }
        }
        let sees_all = |core: &Core| {
            core.members().iter().filter(|peer| peer.state == PeerState::Alive).count() + 1 == count
        };
        match complete_since {
            None if cores.iter().all(sees_all) => {
                (complete_since, sent, bytes, measured_from) = (Some(now), 0, 0, Instant::now());
            }
            Some(start) if now >= start + 5.0 => {
                let broker_seconds = 5.0 * count as f64;
                let micros = measured_from.elapsed().as_secs_f64() * 1e6 / broker_seconds;
                return Some(MembershipCost {
                    messages: sent as f64 / broker_seconds,
                    bytes: bytes as f64 / broker_seconds,
                    micros,
                });
            }
            _ => {}
        }
    }
    None
}

/// Reports the cost of membership per broker, by the number of brokers.
fn report_membership(options: &RunOptions, experiment_report: &mut ExperimentReport) {
    let sizes: &[usize] = if options.quick { &[10, 30] } else { &[10, 30, 100, 300] };
    let (mut messages, mut bytes, mut micros) = (Vec::new(), Vec::new(), Vec::new());
    for size in sizes {
        let Some(cost) = measure_membership(*size, options.seed) else {
            experiment_report.add_bounded_value(
                format!("{size} brokers: members that never found each other"),
                1.0,
                0.0,
                "",
            );
            continue;
        };
        experiment_report.add_value(
            format!("{size} brokers: membership, messages of a broker"),
            cost.messages,
            "a second",
        );
        experiment_report.add_value(
            format!("{size} brokers: membership, bytes of a broker"),
            cost.bytes,
            "a second",
        );
        experiment_report.add_value(
            format!("{size} brokers: membership, time of a broker"),
            cost.micros,
            "us a second",
        );
        messages.push((*size as f64, cost.messages));
        bytes.push((*size as f64, cost.bytes));
        micros.push((*size as f64, cost.micros));
    }
    let to_log10 = |points: &[(f64, f64)]| points.iter().map(|(n, c)| (n.log10(), c.log10())).collect();
    let mut curves = Vec::new();
    for (name, points) in [("messages", &messages), ("bytes", &bytes), ("time", &micros)] {
        let fit = fit_growth(points);
        experiment_report.add_value(
            format!("membership's {name} of a broker grow as N^x: {}", fit.growth),
            fit.exponent,
            "x",
        );
        curves.push(Curve { name: name.to_string(), points: to_log10(points) });
    }

    experiment_report.add_plot("membership", "brokers, powers of ten", "a second, powers of ten", curves);
}

/// Runs the measurements of all components.
pub fn run(options: &RunOptions, experiment_report: &mut ExperimentReport) {
    report_maps(options, experiment_report);
    report_counts(options, experiment_report);
    report_membership(options, experiment_report);
}
