//! Faults planted in shard maps, moves and scans, alone and many at once, against what is named; and what a proof costs
//! by the size of the map.

use std::time::Instant;

use dunepond_shard_map::*;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::RunOptions;
use crate::report::{Curve, Figures};

const TERMS: MapConstraints = MapConstraints { min_replicas: 2, min_zones: 2 };
const NODES: u64 = 60;
/// Segments of the maps in which faults are planted.
const SMALL: usize = 500;
/// A segment's cost in the largest map against that in the smallest, which fits the caches; and that of a change.
const LINEAR: f64 = 4.0;
/// A change of so many segments, against the whole map.
const CHANGED: usize = 64;
const AGAINST_WHOLE: f64 = 0.05;

fn node(i: u64) -> Node {
    let (zone, partner) = (format!("z{}", i % 3), format!("p{}", i % 4));
    Node { name: format!("n{i}"), zone, partner, draining: i == NODES }
}

/// All nodes, and one that drains.
fn nodes() -> Vec<Node> {
    (0..=NODES).map(node).collect()
}

fn holder(i: u64, share: f64) -> Replica {
    let node = node(i);
    Replica { node: node.name, partner: node.partner, filled: true, share }
}

/// Three neighbours by number, so in three zones; the first owns.
fn segment(id: u64, keys: KeyRange, first: u64) -> Segment {
    let holders = (0..3).map(|i| holder((first + i) % NODES, [0.5, 0.25, 0.25][i as usize]));
    Segment { id, keys, owner: node(first % NODES).name, replicas: holders.collect() }
}

fn drawn(rng: &mut Pcg64Mcg, count: usize) -> ShardMap {
    let mut cuts: Vec<u64> = (1..count).map(|_| rng.random_range(1..u64::MAX)).collect();
    cuts.sort_unstable();
    cuts.dedup();
    let from = std::iter::once(0).chain(cuts.iter().copied());
    let to = cuts.iter().copied().map(Some).chain([None]);
    let segments = from.zip(to).zip(0..);
    let segments =
        segments.map(|((from, to), id)| segment(id, KeyRange { from, to }, rng.random_range(0..NODES)));
    let segments = segments.collect();
    ShardMap { epoch: 1, hash: KEY_HASH.to_string(), segments, digest: String::new() }.with_digest()
}

fn spot(segments: &[Segment], i: usize) -> Box<SegmentContext> {
    let place = |i: usize| segments.get(i).map(SegmentRef::from);
    let before = i.checked_sub(1).and_then(place);
    Box::new(SegmentContext { segment: SegmentRef::from(&segments[i]), before, after: place(i + 1) })
}

/// Spoils the segment at a place, which is neither the first nor the last, and says what is to be named.
type Plant = fn(&mut Vec<Segment>, usize) -> Vec<MapFault>;

type PlantWhole = fn(&mut ShardMap) -> Vec<MapFault>;

const PLANTS: [(&str, Plant); 16] = [
    ("gap", |s, i| {
        let from = s[i].keys.from;
        s[i].keys.from += 1;
        let keys = KeyRange { from, to: Some(from + 1) };
        vec![MapFault::Gap { keys, before: (&s[i - 1]).into(), after: (&s[i]).into() }]
    }),
    ("overlap", |s, i| {
        let from = s[i].keys.from - 1;
        s[i].keys.from = from;
        let keys = KeyRange { from, to: Some(from + 1) };
        vec![MapFault::Overlap { keys, first: (&s[i - 1]).into(), second: (&s[i]).into() }]
    }),
    ("empty range", |s, i| {
        let from = s[i].keys.from;
        s.insert(i, segment(u64::MAX - i as u64, KeyRange { from, to: Some(from) }, 0));
        vec![MapFault::EmptyRange { context: spot(s, i) }]
    }),
    ("inverted range", |s, i| {
        let from = s[i].keys.from;
        s.insert(i, segment(u64::MAX - i as u64, KeyRange { from, to: Some(from - 1) }, 0));
        vec![MapFault::InvertedRange { context: spot(s, i) }]
    }),
    ("doubled id", |s, i| {
        s[i].id = s[i - 1].id;
        vec![MapFault::DuplicateId { first: (&s[i - 1]).into(), second: (&s[i]).into() }]
    }),
    ("unknown holder", |s, i| {
        s[i].replicas[1].node = "x".to_string();
        vec![MapFault::UnknownReplica { node: "x".to_string(), context: spot(s, i) }]
    }),
    ("doubled holder", |s, i| {
        let mut twin = s[i].replicas[0].clone();
        twin.share = 0.0;
        s[i].replicas.push(twin.clone());
        vec![MapFault::DuplicateReplica { node: twin.node, context: spot(s, i) }]
    }),
    ("draining holder", |s, i| {
        s[i].replicas.push(holder(NODES, 0.0));
        vec![MapFault::DrainingReplica { node: node(NODES).name, context: spot(s, i) }]
    }),
    ("partner", |s, i| {
        let is = std::mem::replace(&mut s[i].replicas[2].partner, "x".to_string());
        let (node, said) = (s[i].replicas[2].node.clone(), "x".to_string());
        vec![MapFault::WrongPartner { node, stated: said, actual: is, context: spot(s, i) }]
    }),
    ("too few holders", |s, i| {
        s[i].replicas[1..].iter_mut().for_each(|holder| holder.filled = false);
        let holders = MapFault::TooFewReplicas { filled: 1, min: 2, context: spot(s, i) };
        vec![holders, MapFault::TooFewZones { zones: 1, min: 2, context: spot(s, i) }]
    }),
    ("too few zones", |s, i| {
        s[i].replicas = vec![holder(3, 0.5), holder(6, 0.5)];
        s[i].owner = node(3).name;
        vec![MapFault::TooFewZones { zones: 1, min: 2, context: spot(s, i) }]
    }),
    ("owner no holder", |s, i| {
        s[i].owner = "x".to_string();
        vec![MapFault::OwnerNotReplica { owner: "x".to_string(), context: spot(s, i) }]
    }),
    ("owner not filled", |s, i| {
        s[i].replicas[0].filled = false;
        vec![MapFault::OwnerNotFilled { owner: s[i].owner.clone(), context: spot(s, i) }]
    }),
    ("share", |s, i| {
        s[i].replicas[0].share = f64::INFINITY;
        let node = s[i].replicas[0].node.clone();
        vec![MapFault::ShareOutOfRange { node, share: f64::INFINITY, context: spot(s, i) }]
    }),
    ("shares", |s, i| {
        s[i].replicas[0].share = 0.25;
        vec![MapFault::ShareSumNotOne { sum: 0.75, context: spot(s, i) }]
    }),
    ("left out", |s, i| {
        let keys = s.remove(i).keys;
        vec![MapFault::Gap { keys, before: (&s[i - 1]).into(), after: (&s[i]).into() }]
    }),
];

/// Of the whole map, and at both ends of the space.
const WHOLE: [(&str, PlantWhole); 4] = [
    ("start", |map| {
        map.segments[0].keys.from = 1;
        let keys = KeyRange { from: 0, to: Some(1) };
        map.digest = map.compute_digest();
        vec![MapFault::GapAtStart { keys, after: (&map.segments[0]).into() }]
    }),
    ("end", |map| {
        let last = map.segments.len() - 1;
        map.segments[last].keys.to = Some(u64::MAX);
        let keys = KeyRange { from: u64::MAX, to: None };
        map.digest = map.compute_digest();
        vec![MapFault::GapAtEnd { keys, before: (&map.segments[last]).into() }]
    }),
    ("digest", |map| {
        let is = std::mem::replace(&mut map.digest, "x".to_string());
        vec![MapFault::DigestMismatch { stated: "x".to_string(), actual: is }]
    }),
    ("hash", |map| {
        map.hash = "x".to_string();
        map.digest = map.compute_digest();
        vec![MapFault::UnknownHash { hash: "x".to_string(), expected: KEY_HASH.to_string() }]
    }),
];

/// Faults planted, those of them that were named to the letter, and those named that were not planted.
#[derive(Default)]
struct Found {
    planted: usize,
    named: usize,
    beside: usize,
    /// Kinds of those not named.
    missed: Vec<&'static str>,
}

impl Found {
    fn compare(&mut self, kind: &'static str, planted: &[MapFault], named: &[MapFault]) {
        let found = planted.iter().filter(|fault| named.contains(fault)).count();
        self.planted += planted.len();
        self.named += found;
        self.beside += named.len() - found.min(named.len());
        if found < planted.len() && !self.missed.contains(&kind) {
            self.missed.push(kind);
        }
    }
}

fn faults(map: &ShardMap) -> Vec<MapFault> {
    verify(map, &nodes(), &TERMS).err().unwrap_or_default()
}

fn maps(rng: &mut Pcg64Mcg, rounds: usize) -> Found {
    let mut found = Found::default();
    for _ in 0..rounds {
        let sound = drawn(rng, SMALL);
        found.compare("none", &[], &faults(&sound));
        let inside = 2..sound.segments.len() - 2;
        for (kind, plant) in PLANTS {
            let mut map = sound.clone();
            let planted = plant(&mut map.segments, rng.random_range(inside.clone()));
            map.segments.shuffle(rng);
            found.compare(kind, &planted, &faults(&map.with_digest()));
        }
        for (kind, plant) in WHOLE {
            let mut map = sound.clone();
            let planted = plant(&mut map);
            found.compare(kind, &planted, &faults(&map));
        }
        // Many in one map, far enough from each other that none is another's neighbour; from the end, as some of them
        // add or take out a segment.
        let mut map = sound.clone();
        let mut planted = Vec::new();
        for i in inside.rev().step_by(5) {
            if rng.random_bool(0.5) {
                let (_, plant) = PLANTS.choose(rng).expect("some plants");
                planted.extend(plant(&mut map.segments, i));
            }
        }
        map.segments.shuffle(rng);
        found.compare("many", &planted, &faults(&map.with_digest()));
    }
    found
}

/// One sound step of a map: another owner, another holder, a split, a merge, a boundary elsewhere, two ids exchanged.
fn step(rng: &mut Pcg64Mcg, segments: &mut Vec<Segment>, fresh: &mut u64) {
    let i = rng.random_range(1..segments.len() - 1);
    let keys = segments[i].keys;
    let width = keys.end() - u128::from(keys.from);
    let middle = keys.from + (width / 2) as u64;
    match rng.random_range(0..6) {
        0 => segments[i].owner = segments[i].replicas[1].node.clone(),
        // A node farther on, in the zone of the one that goes; the others stay.
        1 => {
            let number: u64 = segments[i].replicas[2].node[1..].parse().expect("a node's number");
            segments[i].owner = segments[i].replicas[0].node.clone();
            segments[i].replicas[2] = holder((number + 3) % NODES, 0.25);
        }
        2 if width > 2 => {
            *fresh += 1;
            let mut half = segments[i].clone();
            (half.id, half.keys.from, segments[i].keys.to) = (*fresh, middle, Some(middle));
            segments.insert(i + 1, half);
        }
        3 if segments.len() > SMALL / 2 => {
            segments[i].keys.to = segments[i + 1].keys.to;
            segments.remove(i + 1);
        }
        4 if width > 2 => {
            (segments[i].keys.from, segments[i - 1].keys.to) = (middle, Some(middle));
        }
        _ => (segments[i].id, segments[i + 1].id) = (segments[i + 1].id, segments[i].id),
    }
}

#[derive(Default)]
struct Moves {
    sound: usize,
    refused: usize,
    /// Verdicts of the change alone that differ from those on the whole map.
    otherwise: usize,
    /// Keys that two brokers one step apart would send to two owners.
    two_owners: usize,
    looked_at: usize,
    no_owner: usize,
}

fn moves(rng: &mut Pcg64Mcg, rounds: usize) -> Moves {
    let (mut told, mut fresh) = (Moves::default(), 1 << 32);
    let mut from = verify(&drawn(rng, SMALL), &nodes(), &TERMS).expect("a sound map");
    for _ in 0..rounds {
        let mut to = ShardMap { epoch: from.epoch() + 1, ..from.map().clone() };
        (0..rng.random_range(1..8)).for_each(|_| step(rng, &mut to.segments, &mut fresh));
        let to = to.with_digest();
        let whole = verify(&to, &nodes(), &TERMS).and_then(|to| verify_transition(&from, &to));
        let few = verify_delta(&from, &MapDelta::between(&from, &to));
        let (whole, few) = match (whole, few) {
            (Ok(whole), Ok(few)) => (whole, few),
            (whole, few) => {
                told.otherwise += usize::from(whole.err() != few.err());
                told.refused += 1;
                continue;
            }
        };
        told.sound += 1;
        let same = whole.required_fills() == few.required_fills() && whole.to().map() == few.to().map();
        told.otherwise += usize::from(!same);
        for segment in few.from().segments().chain(few.to().segments()) {
            let key = segment.keys.from;
            told.looked_at += 1;
            told.no_owner += usize::from(few.owner_of_key(key, TransitionPhase::Joint).is_none());
            let (old, new) = (few.from().segment_for_key(key), few.to().segment_for_key(key));
            let joint = [
                few.owner_of_segment(old.id, TransitionPhase::Joint),
                few.owner_of_segment(new.id, TransitionPhase::Joint),
                few.owner_of_key(key, TransitionPhase::Joint),
            ];
            // Joint beside joint, and beside each of the plain ones.
            let mut owners = joint.into_iter().flatten();
            let two = owners.any(|owner| owner != old.owner || owner != new.owner);
            told.two_owners += usize::from(two);
        }
        from = few.to().clone();
    }
    told
}

/// Planted in moves and in the parts of scans.
fn moves_and_scans(rng: &mut Pcg64Mcg, rounds: usize) -> Found {
    let mut found = Found::default();
    for _ in 0..rounds {
        let map = drawn(rng, SMALL);
        let from = verify(&map, &nodes(), &TERMS).expect("a sound map");
        let i = rng.random_range(1..map.segments.len() - 2);
        let spoil = |spoil: &dyn Fn(&mut ShardMap)| {
            let mut to = ShardMap { epoch: 2, ..map.clone() };
            spoil(&mut to);
            let change = MapDelta::between(&from, &to.with_digest());
            verify_delta(&from, &change).err().unwrap_or_default()
        };
        let first: u64 = map.segments[i].owner[1..].parse().expect("a node's number");
        let elsewhere = segment(map.segments[i].id, map.segments[i].keys, first + 30);
        let at = SegmentRef::from(&map.segments[i]);
        found.compare(
            "last holder",
            &[MapFault::LastReplicaLost { keys: at.keys, old: at, new: at }],
            &spoil(&|to| to.segments[i] = elsewhere.clone()),
        );
        found.compare("epoch", &[MapFault::EpochNotAbove { from: 1, to: 1 }], &spoil(&|to| to.epoch = 1));
        // Parts of a scan over some segments.
        let scan = &map.segments[i..i + 3.min(map.segments.len() - i)];
        let wanted = [KeyRange { from: scan[0].keys.from, to: scan[scan.len() - 1].keys.to }];
        let sound: Vec<_> =
            scan.iter().map(|s| AnsweredPart { segment: s.id, keys: s.keys, epoch: 1 }).collect();
        let mut judge = |planted: &[MapFault], spoil: &dyn Fn(&mut Vec<AnsweredPart>)| {
            let mut pieces = sound.clone();
            spoil(&mut pieces);
            pieces.reverse();
            let named: Vec<_> = verify_coverage(&from, &wanted, &pieces).err().into_iter().collect();
            found.compare("scan", planted, &named);
        };
        let [a, b] = [0, 1].map(|i| SegmentRef::from(&sound[i]));
        let after = sound.get(2).map(SegmentRef::from);
        judge(&[], &|_| {});
        judge(&[MapFault::NotCovered { keys: b.keys, before: Some(a), after }], &|p| {
            p.retain(|p| p.segment != b.id)
        });
        judge(&[MapFault::CoveredTwice { keys: b.keys, first: b, second: b }], &|p| p.push(p[1]));
        judge(&[MapFault::OtherEpoch { part: a, epoch: 2, expected: 1 }], &|p| p[0].epoch = 2);
        judge(&[MapFault::PartOutside { part: SegmentRef { id: a.id, ..b }, keys: Some(a.keys) }], &|p| {
            p[1].segment = a.id
        });
        let early = SegmentRef::from(&map.segments[i - 1]);
        judge(&[MapFault::NotQueried { keys: early.keys, part: early }], &|p| {
            p.push(AnsweredPart { segment: early.id, keys: early.keys, epoch: 1 });
        });
    }
    found
}

/// Least seconds of some rounds: what else the machine does only adds.
fn least(rounds: usize, mut run: impl FnMut() -> f64) -> f64 {
    (0..rounds).map(|_| run()).fold(f64::MAX, f64::min)
}

/// Nanoseconds a segment: the whole map, a whole move, and a change of [`CHANGED`].
fn costs(rng: &mut Pcg64Mcg, count: usize, rounds: usize) -> [f64; 3] {
    let map = drawn(rng, count);
    let nodes = nodes();
    let whole = least(rounds, || {
        let map = map.clone();
        let start = Instant::now();
        let proof = verify_owned(map, &nodes, &TERMS);
        let took = start.elapsed().as_secs_f64();
        assert!(proof.is_ok());
        took
    });
    let from = verify(&map, &nodes, &TERMS).expect("a sound map");
    let every = map.segments.len() / CHANGED;
    let put = map.segments.iter().step_by(every).take(CHANGED).map(|segment| {
        let owner = segment.replicas[1].node.clone();
        Segment { owner, ..segment.clone() }
    });
    let put: Vec<_> = put.collect();
    let change = MapDelta {
        epoch: 2,
        base_digest: String::new(),
        removed: vec![],
        upserted: put,
        digest: String::new(),
    };
    let change = change.with_digests(&from);
    let to = verify_delta(&from, &change).expect("a sound change").to().clone();
    let few = least(rounds * 20, || {
        let start = Instant::now();
        let moved = verify_delta(&from, &change);
        let took = start.elapsed().as_secs_f64();
        assert!(moved.is_ok_and(|moved| moved.changed_segments() == CHANGED));
        took
    });
    let moved = least(rounds, || {
        let start = Instant::now();
        assert!(verify_transition(&from, &to).is_ok());
        start.elapsed().as_secs_f64()
    });
    [whole / count as f64 * 1e9, moved / count as f64 * 1e9, few / CHANGED as f64 * 1e9]
}

pub fn run(way: &RunOptions) -> anyhow::Result<Figures> {
    let mut figures = Figures::default();
    let mut rng = Pcg64Mcg::seed_from_u64(way.seed);
    let rounds = if way.quick { 10 } else { 200 };
    for (what, found) in
        [("maps", maps(&mut rng, rounds)), ("moves and scans", moves_and_scans(&mut rng, rounds))]
    {
        for kind in &found.missed {
            figures.report(format!("{what}: not all named: {kind}"), 1.0, "");
        }
        figures.report(format!("{what}: faults planted"), found.planted as f64, "");
        figures.report(format!("{what}: named to the letter"), found.named as f64, "");
        figures.report_bounded(
            format!("{what}: planted and not named"),
            (found.planted - found.named) as f64,
            0.0,
            "",
        );
        figures.report_bounded(format!("{what}: named and not planted"), found.beside as f64, 0.0, "");
    }
    let moves = moves(&mut rng, rounds * 20);
    figures.report("moves proved", moves.sound as f64, "");
    figures.report("moves refused", moves.refused as f64, "");
    figures.report_bounded("changes judged otherwise than the whole", moves.otherwise as f64, 0.0, "");
    figures.report("keys looked at in joint steps", moves.looked_at as f64, "");
    figures.report("of these without an owner", moves.no_owner as f64, "");
    figures.report_bounded("of these with two owners", moves.two_owners as f64, 0.0, "");
    let sizes: &[usize] = if way.quick { &[10_000, 100_000] } else { &[10_000, 100_000, 1_000_000] };
    let costs: Vec<_> = sizes.iter().map(|count| (*count, costs(&mut rng, *count, 5))).collect();
    for (count, [whole, moved, few]) in &costs {
        figures.report(format!("{count} segments: proof"), *whole, "ns a segment");
        figures.report(format!("{count} segments: move"), *moved, "ns a segment");
        figures.report(format!("{count} segments: change of {CHANGED}"), *few, "ns a changed segment");
    }
    if let [(_, small), .., (count, large)] = costs[..] {
        figures.report_bounded(
            "a segment's proof, largest map against smallest",
            large[0] / small[0],
            LINEAR,
            "times",
        );
        figures.report_bounded(
            "a changed segment, largest map against smallest",
            large[2] / small[2],
            LINEAR,
            "times",
        );
        let whole = large[2] * CHANGED as f64 / (large[0] * count as f64);
        figures.report_bounded(
            "a change against the whole proof, largest map",
            whole,
            AGAINST_WHOLE,
            "times",
        );
    }
    let curve = |name: &str, which: usize| {
        let points = costs.iter().map(|(count, costs)| ((*count as f64).log10(), costs[which] / 1e3));
        Curve { name: name.to_string(), points: points.collect() }
    };
    let curves = vec![curve("proof", 0), curve("move", 1), curve("change", 2)];
    figures.plots.push(("cost".to_string(), ["segments, powers of ten", "µs a segment"], curves));
    Ok(figures)
}
