//! Plants faults in maps, transitions and the parts of queries, and compares them with those that are detected.

use dunepond_shard_map::{
    AnsweredPart, KeyRange, MapDelta, MapFault, SegmentRef, ShardMap, verify, verify_coverage, verify_delta,
};
use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_pcg::Pcg64Mcg;

use super::faults::{MAP_FAULTS, SEGMENT_FAULTS};
use super::maps::{CONSTRAINTS, SEGMENT_COUNT, nodes, random_map, segment};

/// Faults planted, those of them that were named to the letter, and those named that were not planted.
#[derive(Default)]
pub(super) struct Detection {
    pub planted: usize,
    pub named: usize,
    pub unexpected: usize,
    /// Kinds of those not named.
    pub missed_kinds: Vec<&'static str>,
}

impl Detection {
    fn compare(&mut self, kind: &'static str, planted: &[MapFault], named: &[MapFault]) {
        let found = planted.iter().filter(|fault| named.contains(fault)).count();
        self.planted += planted.len();
        self.named += found;
        self.unexpected += named.len() - found.min(named.len());
        if found < planted.len() && !self.missed_kinds.contains(&kind) {
            self.missed_kinds.push(kind);
        }
    }
}

fn detected(map: &ShardMap) -> Vec<MapFault> {
    verify(map, &nodes(), &CONSTRAINTS).err().unwrap_or_default()
}

pub(super) fn plant_in_maps(rng: &mut Pcg64Mcg, rounds: usize) -> Detection {
    let mut found = Detection::default();
    for _ in 0..rounds {
        let sound = random_map(rng, SEGMENT_COUNT);
        found.compare("none", &[], &detected(&sound));
        let inside = 2..sound.segments.len() - 2;
        for (kind, plant) in SEGMENT_FAULTS {
            let mut map = sound.clone();
            let planted = plant(&mut map.segments, rng.random_range(inside.clone()));
            map.segments.shuffle(rng);
            found.compare(kind, &planted, &detected(&map.with_digest()));
        }
        for (kind, plant) in MAP_FAULTS {
            let mut map = sound.clone();
            let planted = plant(&mut map);
            found.compare(kind, &planted, &detected(&map));
        }
        // Many in one map, far enough from each other that none is another's neighbour; from the end, as some of them
        // add or take out a segment.
        let mut map = sound.clone();
        let mut planted = Vec::new();
        for i in inside.rev().step_by(5) {
            if rng.random_bool(0.5) {
                let (_, plant) = SEGMENT_FAULTS.choose(rng).expect("some plants");
                planted.extend(plant(&mut map.segments, i));
            }
        }
        map.segments.shuffle(rng);
        found.compare("many", &planted, &detected(&map.with_digest()));
    }
    found
}

/// Planted in moves and in the parts of scans.
pub(super) fn plant_in_transitions_and_parts(rng: &mut Pcg64Mcg, rounds: usize) -> Detection {
    let mut found = Detection::default();
    for _ in 0..rounds {
        let map = random_map(rng, SEGMENT_COUNT);
        let from = verify(&map, &nodes(), &CONSTRAINTS).expect("a sound map");
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
