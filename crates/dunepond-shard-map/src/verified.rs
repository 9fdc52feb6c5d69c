//! A verified map, in persistent trees so that a changed one shares all that did not change.

use std::fmt;
use std::sync::{Arc, OnceLock};

use imbl::{OrdMap, OrdSet};

use crate::digest::{DigestSum, KEY_HASH};
use crate::segment_rules::SegmentRules;
use crate::{KEY_SPACE_END, KeyRange, MapConstraints, MapFault, Node, Segment, ShardMap};

/// A map in which [`crate::verify`] found no fault; there is no other way to one. Cheap to clone.
#[derive(Clone)]
pub struct VerifiedMap {
    pub(crate) epoch: u64,
    pub(crate) digest: String,
    pub(crate) sum: DigestSum,
    /// By the first key of each.
    pub(crate) by_key: OrdMap<u64, Arc<Segment>>,
    /// First key by id.
    pub(crate) by_id: OrdMap<u64, u64>,
    /// First keys of segments with a replica that the map states as unfilled.
    pub(crate) unfilled: OrdSet<u64>,
    /// Replicas (segment, node) that the map states as unfilled, and that have been filled since.
    pub(crate) filled_since: OrdSet<(u64, String)>,
    pub(crate) rules: Arc<SegmentRules>,
    /// Made when first asked for.
    whole: Arc<OnceLock<ShardMap>>,
}

impl VerifiedMap {
    /// Of segments in the order of their keys, without a fault.
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

    /// The start of a changed map: all of this one under another epoch.
    pub(crate) fn with_epoch(&self, epoch: u64) -> Self {
        Self { epoch, whole: Arc::default(), ..self.clone() }
    }

    /// The map as a whole, segments in the order of their keys; made when first asked for.
    pub fn map(&self) -> &ShardMap {
        self.whole.get_or_init(|| ShardMap {
            epoch: self.epoch,
            hash: KEY_HASH.to_string(),
            segments: self.by_key.values().map(|segment| Segment::clone(segment)).collect(),
            digest: self.digest.clone(),
        })
    }

    /// The map's epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The map's digest.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// The number of segments.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Always false: a map without segments is not verified.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// The segment with this id.
    pub fn segment(&self, id: u64) -> Option<&Segment> {
        self.by_id.get(&id).and_then(|from| self.by_key.get(from)).map(|segment| &**segment)
    }

    /// Whether a segment has this id.
    pub fn contains_segment(&self, id: u64) -> bool {
        self.by_id.contains_key(&id)
    }

    /// The one segment that has `key`.
    pub fn segment_for_key(&self, key: u64) -> &Segment {
        self.by_key.get_prev(&key).map(|(_, segment)| &**segment).expect("a verified map has every key")
    }

    /// All segments in the order of their keys.
    pub fn segments(&self) -> impl Iterator<Item = &Segment> {
        self.by_key.values().map(|segment| &**segment)
    }

    /// The segments that have any of `keys`, in the order of their keys.
    pub fn overlapping(&self, keys: KeyRange) -> impl Iterator<Item = &Segment> {
        let first = (!keys.is_empty()).then(|| self.segment_for_key(keys.from));
        // Those that begin inside the range, after the one that has its first key.
        let last = if keys.end() < KEY_SPACE_END { keys.end() as u64 } else { u64::MAX };
        let inside = self.by_key.range(keys.from..=last.max(keys.from));
        let inside = inside.map(|(_, segment)| &**segment);
        let begins_inside =
            move |segment: &&Segment| segment.keys.from > keys.from && keys.contains(segment.keys.from);
        first.into_iter().chain(inside.filter(begins_inside))
    }

    /// Whether a node's data of `segment`, one of this map, is complete: as the map states, or filled since.
    pub fn is_filled(&self, segment: &Segment, node: &str) -> bool {
        let stated = segment.replicas.iter().any(|replica| replica.filled && replica.node == node);
        stated
            || (!self.filled_since.is_empty() && self.filled_since.contains(&(segment.id, node.to_string())))
    }

    /// The map with replicas (segment, node) that have been filled since it was made: the next transition counts them as filled. Map and
    /// digest stay as they are. Pairs that are no unfilled replicas are ignored.
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

    /// The same map verified against other nodes or constraints; nothing is sorted or hashed again.
    pub fn reverified(&self, nodes: &[Node], constraints: &MapConstraints) -> Result<Self, Vec<MapFault>> {
        let rules = SegmentRules::new(nodes, constraints);
        let faults = rules.check_all(&self.by_key.values().cloned().collect::<Vec<_>>());
        if faults.is_empty() { Ok(Self { rules: rules.into(), ..self.clone() }) } else { Err(faults) }
    }
}

/// Names the map, without its segments.
impl fmt::Debug for VerifiedMap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { epoch, digest, .. } = self;
        write!(f, "VerifiedMap {{ epoch: {epoch}, digest: {digest}, segments: {} }}", self.len())
    }
}

pub(crate) fn has_unfilled_replica(segment: &Segment) -> bool {
    segment.replicas.iter().any(|replica| !replica.filled)
}
