//! Injects faults into maps, transitions and the parts of queries, and compares them with the faults that are detected.

use dunepond_shard_map::{
    AnsweredPart, KeyRange, MapDelta, MapFault, SegmentRef, ShardMap, verify, verify_coverage, verify_delta,
};
use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_pcg::Pcg64Mcg;

use super::faults::{MAP_FAULTS, SEGMENT_FAULTS};
use super::maps::{CONSTRAINTS, SEGMENT_COUNT, nodes, random_map, segment};

/// Counts of injected and detected faults.
#[derive(Default)]
pub(super) struct Detection {
    /// Faults that were injected.
    pub injected: usize,
    /// Injected faults that were detected with exactly the expected details.
    pub detected: usize,
    /// Detected faults that were not injected.
    pub unexpected: usize,
    /// Kinds of the injected faults that were not detected.
    pub missed_kinds: Vec<&'static str>,
}

impl Detection {
    /// Adds the faults injected into one map, transition or query, and those detected in it.
    fn compare(&mut self, kind: &'static str, injected: &[MapFault], detected: &[MapFault]) {
        let matched = injected.iter().filter(|fault| detected.contains(fault)).count();
        self.injected += injected.len();
        self.detected += matched;
        self.unexpected += detected.len() - matched.min(detected.len());
        if matched < injected.len() && !self.missed_kinds.contains(&kind) {
            self.missed_kinds.push(kind);
        }
    }
}

/// Returns the faults that verification detects in a map.
fn detect_faults(map: &ShardMap) -> Vec<MapFault> {
    verify(map, &nodes(), &CONSTRAINTS).err().unwrap_or_default()
}

/// Injects every kind of map fault alone, and many segment faults at once, into random maps.
pub(super) fn inject_into_maps(rng: &mut Pcg64Mcg, rounds: usize) -> Detection {
    let mut detection = Detection::default();
    for _ in 0..rounds {
        let sound = random_map(rng, SEGMENT_COUNT);
        detection.compare("none", &[], &detect_faults(&sound));
        let inside = 2..sound.segments.len() - 2;
        for (kind, inject) in SEGMENT_FAULTS {
            let mut map = sound.clone();
            let injected = inject(&mut map.segments, rng.random_range(inside.clone()));
            map.segments.shuffle(rng);
            detection.compare(kind, &injected, &detect_faults(&map.with_digest()));
        }
        for (kind, inject) in MAP_FAULTS {
            let mut map = sound.clone();
            let injected = inject(&mut map);
            detection.compare(kind, &injected, &detect_faults(&map));
        }
        // Injects many faults into one map, five segments apart so that they do not affect each other. Goes from the end
        // to the start, because some faults insert or remove a segment.
        let mut map = sound.clone();
        let mut injected = Vec::new();
        for i in inside.rev().step_by(5) {
            if rng.random_bool(0.5) {
                let (_, inject) =
                    SEGMENT_FAULTS.choose(rng).expect("there is at least one kind of segment fault");
                injected.extend(inject(&mut map.segments, i));
            }
        }
        map.segments.shuffle(rng);
        detection.compare("many", &injected, &detect_faults(&map.with_digest()));
    }
    detection
}

/// Injects faults into transitions between maps and into the answered parts of queries.
pub(super) fn inject_into_transitions_and_parts(rng: &mut Pcg64Mcg, rounds: usize) -> Detection {
    let mut detection = Detection::default();
    for _ in 0..rounds {
        let map = random_map(rng, SEGMENT_COUNT);
        let from = verify(&map, &nodes(), &CONSTRAINTS).expect("the random map is valid");
        let i = rng.random_range(1..map.segments.len() - 2);
        let faults_after = |corrupt: &dyn Fn(&mut ShardMap)| {
            let mut to = ShardMap { epoch: 2, ..map.clone() };
            corrupt(&mut to);
            let change = MapDelta::between(&from, &to.with_digest());
            verify_delta(&from, &change).err().unwrap_or_default()
        };
        let first: u64 = map.segments[i].owner[1..].parse().expect("a node is named 'n' and its number");
        let elsewhere = segment(map.segments[i].id, map.segments[i].keys, first + 30);
        let at = SegmentRef::from(&map.segments[i]);
        detection.compare(
            "last holder",
            &[MapFault::LastReplicaLost { keys: at.keys, old: at, new: at }],
            &faults_after(&|to| to.segments[i] = elsewhere.clone()),
        );
        detection.compare(
            "epoch",
            &[MapFault::EpochNotAbove { from: 1, to: 1 }],
            &faults_after(&|to| to.epoch = 1),
        );
        // Parts of a query over up to three segments.
        let queried = &map.segments[i..i + 3.min(map.segments.len() - i)];
        let wanted = [KeyRange { from: queried[0].keys.from, to: queried[queried.len() - 1].keys.to }];
        let sound: Vec<_> =
            queried.iter().map(|s| AnsweredPart { segment: s.id, keys: s.keys, epoch: 1 }).collect();
        let mut check_coverage = |injected: &[MapFault], corrupt: &dyn Fn(&mut Vec<AnsweredPart>)| {
            let mut parts = sound.clone();
            corrupt(&mut parts);
            parts.reverse();
            let detected: Vec<_> = verify_coverage(&from, &wanted, &parts).err().into_iter().collect();
            detection.compare("scan", injected, &detected);
        };
        let [a, b] = [0, 1].map(|i| SegmentRef::from(&sound[i]));
        let after = sound.get(2).map(SegmentRef::from);
        check_coverage(&[], &|_| {});
        check_coverage(&[MapFault::NotCovered { keys: b.keys, before: Some(a), after }], &|p| {
            p.retain(|p| p.segment != b.id)
        });
        check_coverage(&[MapFault::CoveredTwice { keys: b.keys, first: b, second: b }], &|p| p.push(p[1]));
        check_coverage(&[MapFault::OtherEpoch { part: a, epoch: 2, expected: 1 }], &|p| p[0].epoch = 2);
        check_coverage(
            &[MapFault::PartOutside { part: SegmentRef { id: a.id, ..b }, keys: Some(a.keys) }],
            &|p| p[1].segment = a.id,
        );
        let previous = SegmentRef::from(&map.segments[i - 1]);
        check_coverage(&[MapFault::NotQueried { keys: previous.keys, part: previous }], &|p| {
            p.push(AnsweredPart { segment: previous.id, keys: previous.keys, epoch: 1 });
        });
    }
    detection
}
