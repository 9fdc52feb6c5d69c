//! A verified map. Its segments are stored in persistent trees, so that a map that results from a delta shares all
//! unchanged segments with the map before it.

use std::fmt;
use std::sync::{Arc, OnceLock};

use imbl::{OrdMap, OrdSet};

use crate::digest::{DigestSum, KEY_HASH};
use crate::segment_rules::SegmentRules;
use crate::{KEY_SPACE_END, KeyRange, MapConstraints, MapFault, Node, Segment, ShardMap};

/// A map in which no fault was found by [`crate::verify`] or, as the result of a delta, by [`crate::verify_delta`]. An
/// unverified map cannot be turned into a verified one in any other way. Cheap to clone.
#[derive(Clone)]
pub struct VerifiedMap {
    pub(crate) epoch: u64,
    pub(crate) digest: String,
    pub(crate) sum: DigestSum,
    /// Segments by their first key.
    pub(crate) by_key: OrdMap<u64, Arc<Segment>>,
    /// First keys of segments by segment id.
    pub(crate) by_id: OrdMap<u64, u64>,
    /// First keys of segments with a replica that the map states as unfilled.
    pub(crate) unfilled: OrdSet<u64>,
    /// Replicas (segment id, node) that the map states as unfilled, and that have been filled since.
    pub(crate) filled_since: OrdSet<(u64, String)>,
    pub(crate) rules: Arc<SegmentRules>,
    /// The map in its exchanged form, built by the first call of [`VerifiedMap::map`].
    whole: Arc<OnceLock<ShardMap>>,
}

impl VerifiedMap {
    /// Creates a verified map from segments without faults, which must be ordered by key.
    pub(crate) fn new(
        epoch: u64,
        digest: String,
        sum: DigestSum,
        segments: Vec<Arc<Segment>>,
        rules: Arc<SegmentRules>,
    ) -> Self {
        let by_id = segments.iter().map(|segment| (segment.id, segment.keys.from)).collect();
        let with_unfilled = segments.iter().filter(|segment| has_unfilled_replica(segment));
        let unfilled = with_unfilled.map(|segment| segment.keys.from).collect();
        let by_key = segments.into_iter().map(|segment| (segment.keys.from, segment)).collect();
        let (filled_since, whole) = (OrdSet::new(), Arc::default());
        Self { epoch, digest, sum, by_key, by_id, unfilled, filled_since, rules, whole }
    }

    /// Returns a copy of this map with another epoch, to which a delta is then applied. The copy's digest is still the
    /// one of this map, until the caller sets a new one.
    pub(crate) fn with_epoch(&self, epoch: u64) -> Self {
        Self { epoch, whole: Arc::default(), ..self.clone() }
    }

    /// Returns the map in its exchanged form, with segments ordered by key. The first call builds this form, and later
    /// calls return the same one.
    pub fn map(&self) -> &ShardMap {
        self.whole.get_or_init(|| ShardMap {
            epoch: self.epoch,
            hash: KEY_HASH.to_string(),
            segments: self.by_key.values().map(|segment| Segment::clone(segment)).collect(),
            digest: self.digest.clone(),
        })
    }

    /// Returns the map's epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the map's digest, in hexadecimal.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// Returns the number of segments.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether the map has no segments; always false, since the verification rejects such a map.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Returns the segment with this id, if there is one.
    pub fn segment(&self, id: u64) -> Option<&Segment> {
        self.by_id.get(&id).and_then(|from| self.by_key.get(from)).map(|segment| &**segment)
    }

    /// Whether a segment has this id.
    pub fn contains_segment(&self, id: u64) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Returns the only segment that contains `key`.
    pub fn segment_for_key(&self, key: u64) -> &Segment {
        self.by_key.get_prev(&key).map(|(_, segment)| &**segment).expect("a verified map has every key")
    }

    /// Returns all segments, ordered by key.
    pub fn segments(&self) -> impl Iterator<Item = &Segment> {
        self.by_key.values().map(|segment| &**segment)
    }

    /// Returns the segments that contain any of `keys`, ordered by key.
    pub fn overlapping(&self, keys: KeyRange) -> impl Iterator<Item = &Segment> {
        let first = (!keys.is_empty()).then(|| self.segment_for_key(keys.from));
        // The segments that begin inside the range, after the one that contains its first key.
        let last = if keys.end() < KEY_SPACE_END { keys.end() as u64 } else { u64::MAX };
        let inside = self.by_key.range(keys.from..=last.max(keys.from));
        let inside = inside.map(|(_, segment)| &**segment);
        let begins_inside =
            move |segment: &&Segment| segment.keys.from > keys.from && keys.contains(segment.keys.from);
        first.into_iter().chain(inside.filter(begins_inside))
    }

    /// Whether a node has complete data for `segment`, which must be a segment of this map: either the map states that
    /// the node's replica is filled, or the replica is recorded as filled since the map was made.
    pub fn is_filled(&self, segment: &Segment, node: &str) -> bool {
        let stated = segment.replicas.iter().any(|replica| replica.filled && replica.node == node);
        stated
            || (!self.filled_since.is_empty() && self.filled_since.contains(&(segment.id, node.to_string())))
    }

    /// Returns a copy of the map that records the replicas `filled`, given by segment id and node, as filled since the
    /// map was made. The next transition counts these replicas as filled; the map's content and digest do not change.
    /// Pairs that are not unfilled replicas of the map are ignored.
    pub fn with_filled<'a>(&self, filled: impl IntoIterator<Item = (u64, &'a str)>) -> Self {
        let mut map = self.clone();
        for (id, node) in filled {
            let Some(segment) = self.segment(id) else { continue };
            if segment.replicas.iter().any(|replica| replica.node == node && !replica.filled) {
                map.filled_since.insert((id, node.to_string()));
            }
        }
        map
    }

    /// Verifies the same map against other nodes or constraints, without sorting or hashing its segments again.
    pub fn reverified(&self, nodes: &[Node], constraints: &MapConstraints) -> Result<Self, Vec<MapFault>> {
        let rules = SegmentRules::new(nodes, constraints);
        let faults = rules.check_all(&self.by_key.values().cloned().collect::<Vec<_>>());
        if faults.is_empty() { Ok(Self { rules: rules.into(), ..self.clone() }) } else { Err(faults) }
    }
}

/// Writes the map's epoch, digest and number of segments, but not the segments.
impl fmt::Debug for VerifiedMap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { epoch, digest, .. } = self;
        write!(f, "VerifiedMap {{ epoch: {epoch}, digest: {digest}, segments: {} }}", self.len())
    }
}

pub(crate) fn has_unfilled_replica(segment: &Segment) -> bool {
    segment.replicas.iter().any(|replica| !replica.filled)
}
