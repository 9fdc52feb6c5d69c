//! Sound changes of a map, verified as a whole and by what changes.

use dunepond_shard_map::{
    MapDelta, Segment, ShardMap, TransitionPhase, verify, verify_delta, verify_transition,
};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::maps::{CONSTRAINTS, NODE_COUNT, SEGMENT_COUNT, nodes, random_map, replica};

/// One sound step of a map: another owner, another holder, a split, a merge, a boundary elsewhere, two ids exchanged.
fn random_step(rng: &mut Pcg64Mcg, segments: &mut Vec<Segment>, fresh: &mut u64) {
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
            segments[i].replicas[2] = replica((number + 3) % NODE_COUNT, 0.25);
        }
        2 if width > 2 => {
            *fresh += 1;
            let mut half = segments[i].clone();
            (half.id, half.keys.from, segments[i].keys.to) = (*fresh, middle, Some(middle));
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

#[derive(Default)]
pub(super) struct TransitionCounts {
    pub sound: usize,
    pub refused: usize,
    /// Verdicts of the change alone that differ from those on the whole map.
    pub differing_verdicts: usize,
    /// Keys that two brokers one step apart would send to two owners.
    pub two_owners: usize,
    pub keys_checked: usize,
    pub no_owner: usize,
}

pub(super) fn verify_random_transitions(rng: &mut Pcg64Mcg, rounds: usize) -> TransitionCounts {
    let (mut counts, mut fresh) = (TransitionCounts::default(), 1 << 32);
    let mut from = verify(&random_map(rng, SEGMENT_COUNT), &nodes(), &CONSTRAINTS).expect("a sound map");
    for _ in 0..rounds {
        let mut to = ShardMap { epoch: from.epoch() + 1, ..from.map().clone() };
        (0..rng.random_range(1..8)).for_each(|_| random_step(rng, &mut to.segments, &mut fresh));
        let to = to.with_digest();
        let full = verify(&to, &nodes(), &CONSTRAINTS).and_then(|to| verify_transition(&from, &to));
        let delta = verify_delta(&from, &MapDelta::between(&from, &to));
        let (full, delta) = match (full, delta) {
            (Ok(full), Ok(delta)) => (full, delta),
            (full, delta) => {
                counts.differing_verdicts += usize::from(full.err() != delta.err());
                counts.refused += 1;
                continue;
            }
        };
        counts.sound += 1;
        let same = full.required_fills() == delta.required_fills() && full.to().map() == delta.to().map();
        counts.differing_verdicts += usize::from(!same);
        for segment in delta.from().segments().chain(delta.to().segments()) {
            let key = segment.keys.from;
            counts.keys_checked += 1;
            counts.no_owner += usize::from(delta.owner_of_key(key, TransitionPhase::Joint).is_none());
            let (old, new) = (delta.from().segment_for_key(key), delta.to().segment_for_key(key));
            let joint = [
                delta.owner_of_segment(old.id, TransitionPhase::Joint),
                delta.owner_of_segment(new.id, TransitionPhase::Joint),
                delta.owner_of_key(key, TransitionPhase::Joint),
            ];
            // Joint beside joint, and beside each of the plain ones.
            let mut owners = joint.into_iter().flatten();
            let two = owners.any(|owner| owner != old.owner || owner != new.owner);
            counts.two_owners += usize::from(two);
        }
        from = delta.to().clone();
    }
    counts
}
