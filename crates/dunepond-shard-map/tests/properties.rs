//! Property tests of maps, transitions, deltas and coverage against a naive model, which counts the segments that contain a
//! key. The model is evaluated at each key where a count can change, and at the keys before and after it.

mod common;

use std::collections::BTreeSet;

use common::*;
use dunepond_shard_map::*;
use proptest::prelude::*;
use proptest::sample::{Index, subsequence};

/// Sets of nodes for the replicas of a segment. Each set satisfies `CONSTRAINTS`.
const REPLICA_SETS: [&[u32]; 8] =
    [&[0, 1], &[1, 2], &[2, 0], &[1, 3, 2], &[0, 1, 2], &[4, 5, 0], &[3, 4, 5, 1], &[5, 3]];

/// Generates maps without faults, of up to eight segments.
fn valid_map(epoch: u64) -> impl Strategy<Value = ShardMap> {
    let cuts = subsequence((1..SLOTS).collect::<Vec<_>>(), 0..8);
    let ids = Just((0..9).collect::<Vec<u64>>()).prop_shuffle();
    let replica_choices = proptest::collection::vec((0..REPLICA_SETS.len(), any::<bool>(), -1..2_i64), 9);
    (cuts, ids, replica_choices).prop_map(move |(cuts, ids, replica_choices)| {
        let ends: Vec<_> = [0].into_iter().chain(cuts).chain([SLOTS]).collect();
        let segments =
            ends.windows(2).zip(ids).zip(&replica_choices).map(|((ends, id), (set, unfilled, _))| {
                let mut segment = segment(id, ends[0], ends[1], REPLICA_SETS[*set]);
                // The last replica may be unfilled if the others satisfy the constraints without it.
                if *unfilled && segment.replicas.len() > 2 && *set != 3 {
                    segment.replicas.last_mut().unwrap().filled = false;
                }
                segment
            });
        let mut segments: Vec<_> = segments.collect();
        // Each boundary between two segments is the first key of a slot; it stays there or moves by one key up or down.
        for i in 1..segments.len() {
            let boundary = segments[i].keys.from.wrapping_add_signed(replica_choices[i].2);
            segments[i].keys.from = boundary;
            segments[i - 1].keys.to = Some(boundary);
        }
        map(epoch, segments)
    })
}

/// Mutates a map in the way that `kind` selects; the kinds from 13 on usually keep a valid map valid.
fn apply_mutation(map: &mut ShardMap, kind: usize, at: &Index, other: &Index, slot: u32) {
    let count = map.segments.len();
    let (i, j) = (at.index(count), other.index(count));
    let n = map.segments[i].replicas.len();
    let one = &mut map.segments[i];
    match kind {
        0 => one.keys.from = key(slot % SLOTS) ^ 1,
        1 => one.keys.to = (slot < SLOTS).then(|| key(slot).wrapping_sub(1)),
        2 if count > 1 => drop(map.segments.remove(i)),
        3 => {
            let copy = map.segments[i].clone();
            map.segments.push(copy);
        }
        4 => one.id = u64::from(slot),
        5 => map.segments[i].id = map.segments[j].id,
        6 => one.owner = format!("n{}", slot % 7),
        7 => one.replicas[other.index(n)].filled ^= true,
        8 => one.replicas[other.index(n)].node = format!("n{}", slot % 8),
        9 => one.replicas[other.index(n)].share = [0.2, -1.0, f64::INFINITY, 1.0][slot as usize % 4],
        10 => one.replicas[other.index(n)].partner = format!("p{}", slot % 3),
        11 => drop(one.replicas.remove(other.index(n))),
        12 => one.keys.to = Some(one.keys.from),
        // Mutations that usually keep a valid map valid: a split, two segments that swap ids, other replicas, a merge,
        // a moved boundary, another epoch.
        13 if one.keys.to.is_some_and(|to| to > one.keys.from.saturating_add(2)) => {
            let mut half = one.clone();
            let middle = one.keys.from + (one.keys.to.unwrap() - one.keys.from) / 2;
            (one.keys.to, half.keys.from, half.id) = (Some(middle), middle, 100 + u64::from(slot));
            map.segments.push(half);
        }
        14 => {
            (map.segments[i].id, map.segments[j].id) = (map.segments[j].id, map.segments[i].id);
        }
        15 => {
            let fresh = segment(0, 0, 1, REPLICA_SETS[slot as usize % REPLICA_SETS.len()]);
            (one.replicas, one.owner) = (fresh.replicas, fresh.owner);
        }
        16 | 17 => {
            // Merges the segment with the next one, or moves the boundary between them.
            let next = map.segments.iter().position(|other| Some(other.keys.from) == map.segments[i].keys.to);
            let Some(next) = next.filter(|next| *next != i) else { return };
            let (from, to) = (map.segments[i].keys.from, map.segments[next].keys.to);
            if kind == 16 {
                map.segments[i].keys.to = to;
                map.segments.remove(next);
            } else if key(slot % SLOTS) > from && to.is_none_or(|to| key(slot % SLOTS) < to) {
                map.segments[i].keys.to = Some(key(slot % SLOTS));
                map.segments[next].keys.from = key(slot % SLOTS);
            }
        }
        _ => map.epoch = u64::from(slot % 4),
    }
}

type Mutation = (usize, Index, Index, u32);

fn mutations(kinds: std::ops::Range<usize>) -> impl Strategy<Value = Vec<Mutation>> {
    proptest::collection::vec((kinds, any::<Index>(), any::<Index>(), 0..=SLOTS), 0..4)
}

/// Applies the mutations to a map and sets its digest.
fn mutated(mut map: ShardMap, mutations: &[Mutation]) -> ShardMap {
    mutations.iter().for_each(|(kind, at, other, slot)| apply_mutation(&mut map, *kind, at, other, *slot));
    map.with_digest()
}

/// Returns the keys at which the naive model is evaluated: each key at which a range begins or ends, the keys before
/// and after it, and the first and last key of the key space.
fn probes<'a>(ranges: impl IntoIterator<Item = &'a KeyRange>) -> BTreeSet<u64> {
    let ends = ranges.into_iter().flat_map(|keys| [keys.from, keys.to.unwrap_or(0)]);
    let ends = ends.flat_map(|key| [key.wrapping_sub(1), key, key.wrapping_add(1)]);
    ends.chain([0, u64::MAX]).collect()
}

/// Returns the [`probes`] of the key ranges of all segments of `maps`.
fn map_probes(maps: &[&ShardMap]) -> BTreeSet<u64> {
    probes(maps.iter().flat_map(|map| &map.segments).map(|segment| &segment.keys))
}

/// Whether a range contains a key, computed independently of the crate.
fn contains(keys: &KeyRange, key: u64) -> bool {
    key >= keys.from && keys.to.is_none_or(|to| key < to)
}

/// The segment that contains a key, found by a linear search.
fn find(map: &ShardMap, key: u64) -> &Segment {
    map.segments.iter().find(|segment| contains(&segment.keys, key)).unwrap()
}

/// Counts the replica faults of a segment by kind, in the order of [`count_replica_faults`].
fn replica_faults(segment: &Segment) -> [usize; 8] {
    let nodes = nodes();
    let known = |replica: &Replica| nodes.iter().find(|node| node.name == replica.node).cloned();
    let all = &segment.replicas;
    let distinct = |names: Vec<String>| names.into_iter().collect::<BTreeSet<_>>().len();
    let filled = all.iter().filter(|replica| replica.filled);
    let zones = filled.clone().filter_map(known).map(|node| node.zone).collect();
    let bad_shares = all.iter().filter(|replica| !(replica.share >= 0.0 && replica.share <= 1.0)).count();
    let sum: f64 = all.iter().map(|replica| replica.share).sum();
    let owned = all.iter().any(|replica| replica.filled && replica.node == segment.owner);
    [
        all.iter().filter(|replica| known(replica).is_none()).count(),
        all.len() - distinct(all.iter().map(|replica| replica.node.clone()).collect()),
        all.iter()
            .filter(|replica| known(replica).is_some_and(|node| node.partner != replica.partner))
            .count(),
        usize::from(distinct(filled.map(|replica| replica.node.clone()).collect()) < 2),
        usize::from(distinct(zones) < 2),
        usize::from(!owned),
        bad_shares,
        usize::from(bad_shares == 0 && (sum - 1.0).abs() > 1e-6),
    ]
}

/// Counts the reported replica faults by kind.
fn count_replica_faults(faults: &[MapFault]) -> [usize; 8] {
    let mut kinds = [0; 8];
    for fault in faults {
        match fault {
            MapFault::UnknownReplica { .. } => kinds[0] += 1,
            MapFault::DuplicateReplica { .. } => kinds[1] += 1,
            MapFault::WrongPartner { .. } => kinds[2] += 1,
            MapFault::TooFewReplicas { .. } => kinds[3] += 1,
            MapFault::TooFewZones { .. } => kinds[4] += 1,
            MapFault::OwnerNotReplica { .. } | MapFault::OwnerNotFilled { .. } => kinds[5] += 1,
            MapFault::ShareOutOfRange { .. } => kinds[6] += 1,
            MapFault::ShareSumNotOne { .. } => kinds[7] += 1,
            _ => {}
        }
    }
    kinds
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(34),
        failure_persistence: None,
        cases: 1000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn faults_match_naive_count(map in valid_map(1), mutations in mutations(0..19)) {
        let map = mutated(map, &mutations);
        let faults = verify(&map, &nodes(), &CONSTRAINTS).err().unwrap_or_default();
        let (mut gaps, mut overlaps, mut bad_ranges, mut duplicate_ids) = (Vec::new(), Vec::new(), 0, 0);
        for fault in &faults {
            match fault {
                MapFault::Gap { keys, before, after } => {
                    prop_assert_eq!((keys.from, keys.to), (before.keys.to.unwrap(), Some(after.keys.from)));
                    gaps.push(*keys);
                }
                MapFault::GapAtStart { keys, .. } | MapFault::GapAtEnd { keys, .. } => gaps.push(*keys),
                MapFault::NoSegments => gaps.push(KeyRange::ALL),
                MapFault::Overlap { keys, first, second } => overlaps.push((*keys, *first, *second)),
                MapFault::EmptyRange { .. } | MapFault::InvertedRange { .. } => bad_ranges += 1,
                MapFault::DuplicateId { .. } => duplicate_ids += 1,
                _ => {}
            }
        }
        for key in map_probes(&[&map]) {
            let count = map.segments.iter().filter(|segment| contains(&segment.keys, key)).count();
            prop_assert_eq!(gaps.iter().any(|keys| contains(keys, key)), count == 0, "key {:#x}", key);
            prop_assert_eq!(overlaps.iter().any(|(keys, ..)| contains(keys, key)), count > 1, "key {:#x}", key);
            for (keys, first, second) in &overlaps {
                prop_assert_eq!(contains(keys, key), contains(&first.keys, key) && contains(&second.keys, key));
            }
        }
        for segment in &map.segments {
            let others = map.segments.iter().filter(|other| other.keys.intersection(&segment.keys).is_some()).count();
            let named = overlaps.iter().any(|(_, a, b)| [a, b].contains(&&SegmentRef::from(segment)));
            prop_assert_eq!(named, others > 1, "{:?}", segment);
        }
        let ids: BTreeSet<_> = map.segments.iter().map(|segment| segment.id).collect();
        prop_assert_eq!(duplicate_ids, map.segments.len() - ids.len());
        prop_assert_eq!(bad_ranges, map.segments.iter().filter(|s| s.keys.to.is_some_and(|to| to <= s.keys.from)).count());
        let mut expected = [0; 8];
        for segment in &map.segments {
            expected.iter_mut().zip(replica_faults(segment)).for_each(|(sum, more)| *sum += more);
        }
        prop_assert_eq!(count_replica_faults(&faults), expected);
        prop_assert_eq!(faults.len(), gaps.len() + overlaps.len() + bad_ranges + duplicate_ids + expected.iter().sum::<usize>());
    }

    #[test]
    fn lookup_matches_linear_search(map in valid_map(1)) {
        let verified_map = verified(&map);
        for key in map_probes(&[&map]) {
            prop_assert_eq!(verified_map.segment_for_key(key), find(&map, key));
            for other in map_probes(&[&map]) {
                let keys = KeyRange { from: key, to: Some(other) };
                let overlapping: Vec<_> = verified_map.overlapping(keys).collect();
                let mut naive: Vec<_> = map.segments.iter().filter(|s| s.keys.intersection(&keys).is_some()).collect();
                naive.sort_by_key(|segment| segment.keys.from);
                prop_assert_eq!(overlapping, naive);
            }
        }
        for segment in &map.segments {
            prop_assert_eq!(verified_map.segment(segment.id), Some(segment));
        }
    }

    #[test]
    fn transition_matches_comparison_by_key(
        from in valid_map(1),
        other in valid_map(2),
        mutations in proptest::option::of(mutations(13..18)),
        filled in proptest::collection::vec((0..9_u64, 0..6_u32), 0..6),
    ) {
        // The new map is either independent of the old one or a mutation of it.
        let to = match mutations {
            Some(mutations) => mutated(ShardMap { epoch: 2, ..from.clone() }, &mutations),
            None => other,
        };
        let names: Vec<_> = filled.iter().map(|(id, node)| (*id, format!("n{node}"))).collect();
        let verified_map = verified(&from).with_filled(names.iter().map(|(id, node)| (*id, node.as_str())));
        let Ok(verified_to) = verify(&to, &nodes(), &CONSTRAINTS) else { return Ok(()) };
        let probes = map_probes(&[&from, &to]);
        let has_data = |segment: &Segment, node: &str| {
            let filled = |replica: &Replica| replica.filled || names.contains(&(segment.id, replica.node.clone()));
            segment.replicas.iter().any(|replica| replica.node == node && filled(replica))
        };
        let (mut fills, mut without_source, mut lost) = (Vec::new(), 0, false);
        let mut sorted: Vec<_> = to.segments.iter().collect();
        sorted.sort_by_key(|segment| segment.keys.from);
        for new in sorted {
            let unchanged = from.segments.contains(new);
            let old_segments: Vec<_> =
                probes.iter().filter(|key| contains(&new.keys, **key)).map(|key| find(&from, *key)).collect();
            lost |= !unchanged
                && old_segments.iter().any(|old| !new.replicas.iter().any(|replica| replica.filled && has_data(old, &replica.node)));
            let mut replicas: Vec<_> = new.replicas.iter().collect();
            replicas.sort_by_key(|replica| replica.node.clone());
            for replica in replicas {
                let refilled = !replica.filled && !unchanged;
                let missing: Vec<_> =
                    old_segments.iter().filter(|old| refilled || !has_data(old, &replica.node)).collect();
                let is_source = |node: &String| *node != replica.node && missing.iter().all(|old| has_data(old, node));
                let sources: Vec<_> = (0..6).map(|node| format!("n{node}")).filter(is_source).collect();
                if missing.is_empty() {
                    continue;
                }
                without_source += usize::from(sources.is_empty());
                fills.push(RequiredFill { segment: new.id, replica: replica.node.clone(), sources });
            }
        }
        match verify_transition(&verified_map, &verified_to) {
            Err(faults) => {
                let reports_loss = faults.iter().any(|fault| matches!(fault, MapFault::LastReplicaLost { .. }));
                let no_source = faults.iter().filter(|fault| matches!(fault, MapFault::NoSource { .. })).count();
                prop_assert_eq!((reports_loss, no_source), (lost, without_source));
            }
            Ok(transition) => {
                prop_assert_eq!((lost, without_source), (false, 0));
                prop_assert_eq!(transition.required_fills(), &fills[..]);
                let removed = from.segments.iter().filter(|segment| !to.segments.contains(segment)).count();
                let added = to.segments.iter().filter(|segment| !from.segments.contains(segment)).count();
                prop_assert_eq!(transition.changed_segments(), removed.max(added));
                for key in &probes {
                    let [old, new] = [&from, &to].map(|map| find(map, *key).owner.as_str());
                    let joint = (old == new).then_some(new);
                    let owners = [TransitionPhase::Old, TransitionPhase::Joint, TransitionPhase::New].map(|phase| transition.owner_of_key(*key, phase));
                    prop_assert_eq!(owners, [Some(old), joint, Some(new)]);
                }
                // Two brokers that are at most one phase apart never see two owners of a key, whichever segment ids
                // they look up.
                for (one, other) in [(TransitionPhase::Old, TransitionPhase::Joint), (TransitionPhase::Joint, TransitionPhase::New), (TransitionPhase::Joint, TransitionPhase::Joint)] {
                    for key in &probes {
                        let owners = |phase| {
                            let maps: &[&ShardMap] = match phase {
                                TransitionPhase::Old => &[&from],
                                TransitionPhase::Joint => &[&from, &to],
                                TransitionPhase::New => &[&to],
                            };
                            let ids = maps.iter().map(|map| find(map, *key).id);
                            ids.filter_map(|id| transition.owner_of_segment(id, phase)).collect::<BTreeSet<_>>()
                        };
                        let all: BTreeSet<_> = owners(one).union(&owners(other)).copied().collect();
                        prop_assert!(all.len() <= 1, "key {:#x}: {:?}", key, all);
                    }
                }
            }
        }
    }

    /// Applies several deltas, each to the map that results from the previous one.
    #[test]
    fn delta_result_matches_full_verification(
        from in valid_map(1),
        steps in proptest::collection::vec((mutations(0..19), any::<bool>()), 1..5),
        filled in proptest::collection::vec((0..9_u64, 0..6_u32), 0..6),
    ) {
        let names: Vec<_> = filled.iter().map(|(id, node)| (*id, format!("n{node}"))).collect();
        let mut verified_map = verified(&from).with_filled(names.iter().map(|(id, node)| (*id, node.as_str())));
        for (mutations, mostly_valid) in steps {
            let mutations: Vec<_> = mutations.into_iter().filter(|mutation| !mostly_valid || mutation.0 > 12).collect();
            let next = ShardMap { epoch: verified_map.epoch() + 1, ..verified_map.map().clone() };
            let next = mutated(next, &mutations);
            let full = verify(&next, &nodes(), &CONSTRAINTS).and_then(|to| verify_transition(&verified_map, &to));
            let change = MapDelta::between(&verified_map, &next);
            match (full, verify_delta(&verified_map, &change)) {
                (Ok(full), Ok(delta)) => {
                    prop_assert_eq!(full.required_fills(), delta.required_fills());
                    prop_assert_eq!(full.changed_segments(), delta.changed_segments());
                    prop_assert_eq!(full.to().map(), delta.to().map());
                    prop_assert_eq!(&delta.to().map().digest, &delta.to().map().compute_digest());
                    prop_assert_eq!(&change.clone().with_digests(&verified_map), &change);
                    for id in 0..140 {
                        prop_assert_eq!(full.to().segment(id), delta.to().segment(id));
                        for phase in [TransitionPhase::Old, TransitionPhase::Joint, TransitionPhase::New] {
                            prop_assert_eq!(full.owner_of_segment(id, phase), delta.owner_of_segment(id, phase));
                        }
                    }
                    // Unchanged segments are shared, not copied, which shows that the full map was not built.
                    for segment in delta.to().segments().filter(|s| verified_map.segment(s.id) == Some(*s)) {
                        let shared = verified_map.segment(segment.id).is_some_and(|old| std::ptr::eq(old, segment));
                        prop_assert!(shared || change.upserted.contains(segment), "{:?}", segment);
                    }
                    // The recorded fills are equal too; a difference would affect later deltas.
                    prop_assert_eq!(format!("{:?}", FilledReplicas(full.to())), format!("{:?}", FilledReplicas(delta.to())));
                    verified_map = delta.to().clone();
                }
                (full, delta) => prop_assert_eq!(format!("{:?}", full.err()), format!("{:?}", delta.err())),
            }
        }
    }

    #[test]
    fn coverage_matches_naive_count(
        map in valid_map(1),
        queried in proptest::collection::vec((0..SLOTS, 1..=SLOTS), 1..3),
        mutations in proptest::collection::vec((0..12_usize, any::<Index>(), 0..SLOTS), 0..2),
    ) {
        let verified_map = verified(&map);
        let queried: Vec<_> = queried.into_iter().map(|(from, to)| keys(from.min(to - 1), to)).collect();
        let mut parts = Vec::new();
        // One part for each queried range and each segment that overlaps it. These parts are a complete answer, unless
        // queried ranges overlap: the keys in both ranges are then covered twice, which must be reported as a fault.
        for range in &queried {
            for segment in verified_map.overlapping(*range) {
                parts.push(AnsweredPart { segment: segment.id, keys: segment.keys.intersection(range).unwrap(), epoch: 1 });
            }
        }
        for (kind, at, slot) in &mutations {
            if parts.is_empty() {
                break;
            }
            let i = at.index(parts.len());
            match kind {
                0 => drop(parts.remove(i)),
                1 => parts.push(parts[i]),
                2 => parts[i].epoch += 1,
                3 => parts[i].segment += 1,
                4 => parts[i].keys.from = key(*slot),
                5 => parts[i].keys.to = Some(key(*slot)),
                6 => parts[i].keys.from ^= 1,
                7 => {
                    let found = map.segments.iter().find(|segment| segment.id == parts[i].segment);
                    parts[i].keys = found.map_or(KeyRange::ALL, |segment| segment.keys);
                }
                // Splits a part in two.
                8 if parts[i].keys.contains(key(*slot)) && parts[i].keys.from < key(*slot) => {
                    let second_half = AnsweredPart { keys: KeyRange { from: key(*slot), ..parts[i].keys }, ..parts[i] };
                    parts[i].keys.to = Some(key(*slot));
                    parts.insert(0, second_half);
                }
                _ => parts.reverse(),
            }
        }
        let segment = |id| map.segments.iter().find(|segment| segment.id == id);
        let within = |part: &AnsweredPart| {
            let probes = probes([&part.keys]);
            let mut inside = probes.iter().filter(|key| contains(&part.keys, **key)).peekable();
            inside.peek().is_some() && segment(part.segment).is_some_and(|s| inside.all(|key| contains(&s.keys, *key)))
        };
        let count = |key| parts.iter().filter(|part| contains(&part.keys, key)).count();
        let is_queried = |key| queried.iter().any(|range| contains(range, key));
        let probes = probes(queried.iter().chain(parts.iter().map(|part| &part.keys)));
        let covered_once = probes.iter().all(|key| count(*key) == usize::from(is_queried(*key)));
        let complete = parts.iter().all(|part| part.epoch == 1 && within(part)) && covered_once;
        let result = verify_coverage(&verified_map, &queried, &parts);
        prop_assert_eq!(result.is_ok(), complete, "{:?}", result);
        // The reported keys really have the fault.
        let (keys, expected): (KeyRange, &dyn Fn(u64) -> bool) = match result {
            Err(MapFault::NotCovered { keys, .. }) => (keys, &|key| count(key) == 0 && is_queried(key)),
            Err(MapFault::CoveredTwice { keys, .. }) => (keys, &|key| count(key) > 1),
            Err(MapFault::NotQueried { keys, .. }) => (keys, &|key| count(key) == 1 && !is_queried(key)),
            _ => return Ok(()),
        };
        prop_assert!(!keys.is_empty());
        for key in probes.iter().filter(|key| contains(&keys, **key)) {
            prop_assert!(expected(*key), "{:#x} in {}", key, keys);
        }
    }
}

/// Formats the observable state of a verified map: its segments, and which of their replicas count as filled.
struct FilledReplicas<'a>(&'a VerifiedMap);

impl std::fmt::Debug for FilledReplicas<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for segment in self.0.segments() {
            let filled = segment.replicas.iter().map(|replica| self.0.is_filled(segment, &replica.node));
            writeln!(f, "{segment:?} {:?}", filled.collect::<Vec<_>>())?;
        }
        Ok(())
    }
}
