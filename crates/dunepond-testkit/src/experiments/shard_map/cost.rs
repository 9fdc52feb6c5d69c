//! What a verification costs by the size of the map.

use std::time::Instant;

use dunepond_shard_map::{
    MapDelta, Segment, VerifiedMap, verify, verify_delta, verify_owned, verify_transition,
};
use rand_pcg::Pcg64Mcg;

use super::maps::{CONSTRAINTS, nodes, random_map};

/// Segments that a small change touches.
pub(super) const CHANGED_SEGMENTS: usize = 64;
/// Rounds of a small change for each of a whole map.
const SMALL_CHANGE_ROUNDS: usize = 20;
const NANOSECONDS: f64 = 1e9;

/// What verifying costs, in nanoseconds a segment.
#[derive(Clone, Copy)]
pub(super) struct VerificationCost {
    /// A whole map.
    pub map: f64,
    /// The transition between two whole maps.
    pub transition: f64,
    /// A change of [`CHANGED_SEGMENTS`], for each of these.
    pub delta: f64,
}

pub(super) fn measure(rng: &mut Pcg64Mcg, count: usize, rounds: usize) -> VerificationCost {
    let map = random_map(rng, count);
    let nodes = nodes();
    let map_seconds = min_seconds(rounds, || {
        let map = map.clone();
        let start = Instant::now();
        let verified = verify_owned(map, &nodes, &CONSTRAINTS);
        let seconds = start.elapsed().as_secs_f64();
        assert!(verified.is_ok());
        seconds
    });
    let from = verify(&map, &nodes, &CONSTRAINTS).expect("a sound map");
    let delta = owner_changes(&from);
    let to = verify_delta(&from, &delta).expect("a sound change").to().clone();
    let delta_seconds = min_seconds(rounds * SMALL_CHANGE_ROUNDS, || {
        let start = Instant::now();
        let transition = verify_delta(&from, &delta);
        let seconds = start.elapsed().as_secs_f64();
        assert!(transition.is_ok_and(|transition| transition.changed_segments() == CHANGED_SEGMENTS));
        seconds
    });
    let transition_seconds = min_seconds(rounds, || {
        let start = Instant::now();
        assert!(verify_transition(&from, &to).is_ok());
        start.elapsed().as_secs_f64()
    });
    VerificationCost {
        map: map_seconds / count as f64 * NANOSECONDS,
        transition: transition_seconds / count as f64 * NANOSECONDS,
        delta: delta_seconds / CHANGED_SEGMENTS as f64 * NANOSECONDS,
    }
}

/// A change that gives [`CHANGED_SEGMENTS`] segments, spread over the map, another owner.
fn owner_changes(from: &VerifiedMap) -> MapDelta {
    let segments = &from.map().segments;
    let every = segments.len() / CHANGED_SEGMENTS;
    let changed = segments.iter().step_by(every).take(CHANGED_SEGMENTS).map(|segment| {
        let owner = segment.replicas[1].node.clone();
        Segment { owner, ..segment.clone() }
    });
    let delta = MapDelta {
        epoch: 2,
        base_digest: String::new(),
        removed: vec![],
        upserted: changed.collect(),
        digest: String::new(),
    };
    delta.with_digests(from)
}

/// The least of some rounds: what else the machine does only adds.
fn min_seconds(rounds: usize, mut run: impl FnMut() -> f64) -> f64 {
    (0..rounds).map(|_| run()).fold(f64::MAX, f64::min)
}
