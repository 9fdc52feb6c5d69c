//! Valid random transitions between maps, verified once as whole maps and once by the changed segments only.

use dunepond_shard_map::{
    MapDelta, Segment, ShardMap, TransitionPhase, verify, verify_delta, verify_transition,
};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::maps::{CONSTRAINTS, NODE_COUNT, SEGMENT_COUNT, nodes, random_map, replica};

/// Applies one valid random change: a new owner, a new replica, a split, a merge, a moved boundary or two swapped ids.
/// `last_new_id` is the last id given to a new segment.
fn apply_random_change(rng: &mut Pcg64Mcg, segments: &mut Vec<Segment>, last_new_id: &mut u64) {
    let i = rng.random_range(1..segments.len() - 1);
    let keys = segments[i].keys;
    let width = keys.end() - u128::from(keys.from);
    let middle = keys.from + (width / 2) as u64;
    match rng.random_range(0..6) {
        0 => segments[i].owner = segments[i].replicas[1].node.clone(),
        // Replaces the third replica by one on another node of the same zone.
        1 => {
            let number: u64 =
                segments[i].replicas[2].node[1..].parse().expect("a node is named 'n' and its number");
            segments[i].owner = segments[i].replicas[0].node.clone();
            segments[i].replicas[2] = replica((number + 3) % NODE_COUNT, 0.25);
        }
        2 if width > 2 => {
            *last_new_id += 1;
            let mut half = segments[i].clone();
            (half.id, half.keys.from, segments[i].keys.to) = (*last_new_id, middle, Some(middle));
            segments.insert(i + 1, half);
        }
        3 if segments.len() > SEGMENT_COUNT / 2 => {
            segments[i].keys.to = segments[i + 1].keys.to;
            segments.remove(i + 1);
        }
        4 if width > 2 => {
            (segments[i].keys.from, segments[i - 1].keys.to) = (middle, Some(middle));
        }
        _ => (segments[i].id, segments[i + 1].id) = (segments[i + 1].id, segments[i].id),
    }
}

/// Counts of verified transitions and of the keys checked in their joint phase.
#[derive(Default)]
pub(super) struct TransitionCounts {
    /// Transitions that were accepted.
    pub accepted: usize,
    /// Transitions that were rejected.
    pub rejected: usize,
    /// Transitions whose verdict by the changed segments differs from that by the whole maps.
    pub differing_verdicts: usize,
    /// Keys that two brokers in adjacent phases of a transition would send to two different owners.
    pub keys_with_two_owners: usize,
    /// Keys whose owner was looked up in the joint phase.
    pub keys_checked: usize,
    /// Keys without an owner in the joint phase.
    pub keys_without_owner: usize,
}

/// Verifies a sequence of random transitions, each from the last accepted map.
pub(super) fn verify_random_transitions(rng: &mut Pcg64Mcg, rounds: usize) -> TransitionCounts {
    let (mut counts, mut last_new_id) = (TransitionCounts::default(), 1 << 32);
    let mut from =
        verify(&random_map(rng, SEGMENT_COUNT), &nodes(), &CONSTRAINTS).expect("the random map is valid");
    for _ in 0..rounds {
        let mut to = ShardMap { epoch: from.epoch() + 1, ..from.map().clone() };
        (0..rng.random_range(1..8))
            .for_each(|_| apply_random_change(rng, &mut to.segments, &mut last_new_id));
        let to = to.with_digest();
        let full = verify(&to, &nodes(), &CONSTRAINTS).and_then(|to| verify_transition(&from, &to));
        let delta = verify_delta(&from, &MapDelta::between(&from, &to));
        let (full, delta) = match (full, delta) {
            (Ok(full), Ok(delta)) => (full, delta),
            (full, delta) => {
                counts.differing_verdicts += usize::from(full.err() != delta.err());
                counts.rejected += 1;
                continue;
            }
        };
        counts.accepted += 1;
        let same = full.required_fills() == delta.required_fills() && full.to().map() == delta.to().map();
        counts.differing_verdicts += usize::from(!same);
        for segment in delta.from().segments().chain(delta.to().segments()) {
            let key = segment.keys.from;
            counts.keys_checked += 1;
            counts.keys_without_owner +=
                usize::from(delta.owner_of_key(key, TransitionPhase::Joint).is_none());
            let (old, new) = (delta.from().segment_for_key(key), delta.to().segment_for_key(key));
            let joint = [
                delta.owner_of_segment(old.id, TransitionPhase::Joint),
                delta.owner_of_segment(new.id, TransitionPhase::Joint),
                delta.owner_of_key(key, TransitionPhase::Joint),
            ];
            // Compares the owners in the joint phase with each other and with those before and after the transition.
            let mut owners = joint.into_iter().flatten();
            let has_two_owners = owners.any(|owner| owner != old.owner || owner != new.owner);
            counts.keys_with_two_owners += usize::from(has_two_owners);
        }
        from = delta.to().clone();
    }
    counts
}
