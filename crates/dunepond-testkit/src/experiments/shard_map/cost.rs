//! Measures what verification costs by the size of the map.

use std::time::Instant;

use dunepond_shard_map::{
    MapDelta, Segment, VerifiedMap, verify, verify_delta, verify_owned, verify_transition,
};
use rand_pcg::Pcg64Mcg;

use super::maps::{CONSTRAINTS, nodes, random_map};

/// Number of segments that a small change modifies.
pub(super) const CHANGED_SEGMENTS: usize = 64;
/// Number of rounds of a small change for each round of a whole map.
const SMALL_CHANGE_ROUNDS: usize = 20;
/// Nanoseconds in a second.
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Cost of verification, in nanoseconds per segment.
#[derive(Clone, Copy)]
pub(super) struct VerificationCost {
    /// Cost of a whole map, per segment of the map.
    pub map_nanoseconds: f64,
    /// Cost of the transition between two whole maps, per segment of a map.
    pub transition_nanoseconds: f64,
    /// Cost of a change of [`CHANGED_SEGMENTS`] segments, per changed segment.
    pub delta_nanoseconds: f64,
}

/// Measures verification of a random map with `count` segments. Each cost is the lowest of several rounds.
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
    let from = verify(&map, &nodes, &CONSTRAINTS).expect("the random map is valid");
    let delta = owner_changes(&from);
    let to = verify_delta(&from, &delta).expect("the change of owners is valid").to().clone();
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
        map_nanoseconds: map_seconds / count as f64 * NANOSECONDS_PER_SECOND,
        transition_nanoseconds: transition_seconds / count as f64 * NANOSECONDS_PER_SECOND,
        delta_nanoseconds: delta_seconds / CHANGED_SEGMENTS as f64 * NANOSECONDS_PER_SECOND,
    }
}

/// Returns a change that gives another owner to [`CHANGED_SEGMENTS`] segments spread over the map.
fn owner_changes(from: &VerifiedMap) -> MapDelta {
    let segments = &from.map().segments;
    let interval = segments.len() / CHANGED_SEGMENTS;
    let changed = segments.iter().step_by(interval).take(CHANGED_SEGMENTS).map(|segment| {
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

/// Returns the shortest of several rounds, since other load on the machine only makes a round longer.
fn min_seconds(rounds: usize, mut run: impl FnMut() -> f64) -> f64 {
    (0..rounds).map(|_| run()).fold(f64::MAX, f64::min)
}
