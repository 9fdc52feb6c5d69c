//! What grows with partners, nodes and segments: one map of many segments, counts of many brokers, the membership.

use std::collections::VecDeque;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use dunepond_membership::{Actions, Core, MembershipOptions, PeerState};
use dunepond_settlement::{Balances, BrokerPartners, CarriedCounts, SettlementLedger, SettlementTerms};
use dunepond_simulation::scenario::{Topology, config_version};

use super::RunOptions;
use super::fit::fit;
use crate::report::{Curve, Figures};

/// What a version's file may have, as the host takes it.
const LONGEST: f64 = (3 << 20) as f64;
const NODES: usize = 5000;
const PARTNERS: usize = 200;
/// Pairs of partners that one broker sees.
const PAIRS: usize = 30;

fn ms(of: impl FnOnce()) -> f64 {
    let from = Instant::now();
    of();
    from.elapsed().as_secs_f64() * 1e3
}

fn maps(options: &RunOptions, figures: &mut Figures) {
    let sizes: &[u64] =
        if options.quick { &[100, 1000, 10_000] } else { &[100, 1000, 10_000, 30_000, 100_000] };
    let terms = dunepond_shard_map::MapConstraints { min_replicas: 1, min_zones: 1 };
    let (mut bytes, mut proofs) = (Vec::new(), Vec::new());
    for size in sizes {
        let topology = Topology::new(NODES, PARTNERS, *size);
        let version = config_version(1, topology.map(1));
        let whole = postcard::to_stdvec(&version).map_or(f64::NAN, |bytes| bytes.len() as f64);
        let map = version.map.as_ref().expect("it has one");
        let proof =
            ms(|| drop(black_box(dunepond_shard_map::verify(map, &[], &terms).expect("a sound map"))));
        let digest = ms(|| drop(black_box(version.digest())));
        figures.report(format!("{size} segments: a version"), whole, "bytes to each broker");
        figures.report(format!("{size} segments: its proof, at each broker"), proof, "ms");
        figures.report(format!("{size} segments: its digest"), digest, "ms");
        bytes.push((*size as f64, whole));
        proofs.push((*size as f64, proof));
        if *size <= 30_000 {
            figures.report_bounded(
                format!("{size} segments: within what a host takes"),
                whole,
                LONGEST,
                "bytes",
            );
        }
    }
    for (name, points) in [("bytes of a version", bytes), ("proof of a map", proofs)] {
        let fit = fit(&points);
        figures.report(format!("{name} grow with segments as S^x: {}", fit.name), fit.power, "x");
    }
}

/// As each broker tells them to one other a second: the whole of what it knows.
fn counts(options: &RunOptions, figures: &mut Figures) {
    let sizes: &[usize] = if options.quick { &[10, 30, 100] } else { &[10, 30, 100, 300, 1000, 3000] };
    let (mut bytes, mut looks) = (Vec::new(), Vec::new());
    for size in sizes {
        let mut counts = CarriedCounts::new();
        for broker in 0..*size {
            for pair in 0..PAIRS {
                let (carrier, other) =
                    ((broker * 7 + pair) % PARTNERS, (broker * 13 + 5 * pair + 1) % PARTNERS);
                counts.record(
                    &format!("n{broker}"),
                    1,
                    &format!("p{carrier}"),
                    &format!("p{other}"),
                    1 << 20,
                );
            }
        }
        let whole = postcard::to_stdvec(&counts).map_or(f64::NAN, |bytes| bytes.len() as f64);
        let ledger = SettlementLedger::default();
        let mut book = Balances::new(SettlementTerms::default(), BrokerPartners::default(), ledger)
            .expect("terms that stand");
        // Looked at each second; a sample of the pairs would not do, so large fleets are left out.
        if *size <= 300 {
            let look = ms(|| book.update_counts(0.0, &counts));
            figures.report(format!("{size} brokers, {PARTNERS} partners: a look at the counts"), look, "ms");
            looks.push((*size as f64, look));
        }
        figures.report(format!("{size} brokers: counts as told each second"), whole, "bytes");
        figures.report(
            format!("{size} brokers: cells of counts"),
            counts.cell_count() as f64,
            "of 100,000 taken",
        );
        bytes.push((*size as f64, whole));
    }
    for (name, points) in [("counts told", bytes), ("a look at the counts", looks)] {
        let fit = fit(&points);
        figures.report(format!("{name} grow as N^x: {}", fit.name), fit.power, "x");
    }
}

fn place(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 2000 + number as u16))
}

struct Members {
    messages: f64,
    bytes: f64,
    us: f64,
}

/// Cores on a wire that delays, each knowing all by its file, so that no name is a stranger's; what one does in a second
/// once all are there. None: they never were.
fn members(count: usize, seed: u64) -> Option<Members> {
    let told = |number: usize| {
        let known = (0..count).map(|other| (format!("n{other}"), place(other))).collect();
        let mut told =
            MembershipOptions::new(&format!("n{number}"), 1, place(number), known, seed + number as u64);
        told.limits.max_members = 2 * count;
        told
    };
    let mut cores: Vec<Core> =
        (0..count).map(|n| Core::new(&told(n), [n as u8; 32], 0.0).expect("told rightly")).collect();
    let mut wire: VecDeque<(f64, usize, usize, Vec<u8>)> = VecDeque::new();
    let (mut now, mut sent, mut bytes, mut since) = (0.0, 0u64, 0u64, None);
    let spent = Instant::now();
    let mut from = spent;
    while now < 60.0 {
        now += 0.02;
        let post = |orders: Actions, n: usize, wire: &mut VecDeque<_>, sent: &mut u64, bytes: &mut u64| {
            for (to, load) in orders.datagrams {
                (*sent, *bytes) = (*sent + 1, *bytes + load.len() as u64);
                wire.push_back((now + 0.01, n, usize::from(to.port()) - 2000, load));
            }
        };
        while wire.front().is_some_and(|next| next.0 <= now) {
            let Some((_, source, to, load)) = wire.pop_front() else { break };
            let orders = cores[to].on_datagram(now, place(source), &load);
            post(orders, to, &mut wire, &mut sent, &mut bytes);
        }
        for (n, core) in cores.iter_mut().enumerate() {
            if core.next_tick_at() <= now {
                post(core.tick(now), n, &mut wire, &mut sent, &mut bytes);
            }
        }
        let whole = |core: &Core| {
            core.members().iter().filter(|peer| peer.state == PeerState::Alive).count() + 1 == count
        };
        match since {
            None if cores.iter().all(whole) => {
                (since, sent, bytes, from) = (Some(now), 0, 0, Instant::now());
            }
            Some(at) if now >= at + 5.0 => {
                let each = 5.0 * count as f64;
                let us = from.elapsed().as_secs_f64() * 1e6 / each;
                return Some(Members { messages: sent as f64 / each, bytes: bytes as f64 / each, us });
            }
            _ => {}
        }
    }
    None
}

fn membership(options: &RunOptions, figures: &mut Figures) {
    let sizes: &[usize] = if options.quick { &[10, 30] } else { &[10, 30, 100, 300] };
    let (mut messages, mut bytes, mut us) = (Vec::new(), Vec::new(), Vec::new());
    for size in sizes {
        let Some(cost) = members(*size, options.seed) else {
            figures.report_bounded(
                format!("{size} brokers: members that never found each other"),
                1.0,
                0.0,
                "",
            );
            continue;
        };
        figures.report(
            format!("{size} brokers: membership, messages of a broker"),
            cost.messages,
            "a second",
        );
        figures.report(format!("{size} brokers: membership, bytes of a broker"), cost.bytes, "a second");
        figures.report(format!("{size} brokers: membership, time of a broker"), cost.us, "us a second");
        messages.push((*size as f64, cost.messages));
        bytes.push((*size as f64, cost.bytes));
        us.push((*size as f64, cost.us));
    }
    let log = |points: &[(f64, f64)]| points.iter().map(|(n, c)| (n.log10(), c.log10())).collect();
    let mut curves = Vec::new();
    for (name, points) in [("messages", &messages), ("bytes", &bytes), ("time", &us)] {
        let fit = fit(points);
        figures.report(format!("membership's {name} of a broker grow as N^x: {}", fit.name), fit.power, "x");
        curves.push(Curve { name: name.to_string(), points: log(points) });
    }

    figures.plot("membership", "brokers, powers of ten", "a second, powers of ten", curves);
}

pub fn run(options: &RunOptions, figures: &mut Figures) {
    maps(options, figures);
    counts(options, figures);
    membership(options, figures);
}
