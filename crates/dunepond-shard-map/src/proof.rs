//! A map that is proved, kept so that a changed one shares all that did not change.

use std::fmt;
use std::sync::{Arc, OnceLock};

use imbl::{OrdMap, OrdSet};

use crate::check::Judge;
use crate::digest::{HASH, Sum};
use crate::{END, Fault, Map, Node, Range, Segment, Terms};

/// A map of which [`crate::check`] found no fault; there is no other way to one. Cheap to clone.
#[derive(Clone)]
pub struct Proof {
    pub(crate) epoch: u64,
    pub(crate) digest: String,
    pub(crate) sum: Sum,
    /// By the first key of each.
    pub(crate) by_key: OrdMap<u64, Arc<Segment>>,
    /// First key by id.
    pub(crate) by_id: OrdMap<u64, u64>,
    /// First keys of segments that have a holder which the map says is to be filled.
    pub(crate) unfilled: OrdSet<u64>,
    /// Holders that the map says are to be filled, and that have been since.
    pub(crate) done: OrdSet<(u64, String)>,
    pub(crate) judge: Arc<Judge>,
    /// Made when first asked for.
    whole: Arc<OnceLock<Map>>,
}

impl Proof {
    /// Of segments in the order of their keys, without a fault.
    pub(crate) fn new(
        epoch: u64,
        digest: String,
        sum: Sum,
        segments: Vec<Arc<Segment>>,
        judge: Arc<Judge>,
    ) -> Self {
        let by_id = segments.iter().map(|segment| (segment.id, segment.keys.from)).collect();
        let unfilled = segments.iter().filter(|segment| wants(segment)).map(|segment| segment.keys.from);
        let unfilled = unfilled.collect();
        let by_key = segments.into_iter().map(|segment| (segment.keys.from, segment)).collect();
        let (done, whole) = (OrdSet::new(), Arc::default());
        Self { epoch, digest, sum, by_key, by_id, unfilled, done, judge, whole }
    }

    /// The start of a proof that shares all with this one, and has another epoch.
    pub(crate) fn changing(&self, epoch: u64) -> Self {
        Self { epoch, whole: Arc::default(), ..self.clone() }
    }

    /// The whole map, segments in the order of their keys; written out when it is asked for first.
    pub fn map(&self) -> &Map {
        self.whole.get_or_init(|| Map {
            epoch: self.epoch,
            hash: HASH.to_string(),
            segments: self.by_key.values().map(|segment| Segment::clone(segment)).collect(),
            digest: self.digest.clone(),
        })
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// How many segments.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Never: a map without segments is not proved.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    pub fn segment(&self, id: u64) -> Option<&Segment> {
        self.by_id.get(&id).and_then(|from| self.by_key.get(from)).map(|segment| &**segment)
    }

    pub fn has(&self, id: u64) -> bool {
        self.by_id.contains_key(&id)
    }

    /// The one segment that has `key`.
    pub fn at(&self, key: u64) -> &Segment {
        self.by_key.get_prev(&key).map(|(_, segment)| &**segment).expect("a proved map has every key")
    }

    /// All segments in the order of their keys.
    pub fn segments(&self) -> impl Iterator<Item = &Segment> {
        self.by_key.values().map(|segment| &**segment)
    }

    /// Those that have keys of `keys`, in their order.
    pub fn over(&self, keys: Range) -> impl Iterator<Item = &Segment> {
        let first = (!keys.is_empty()).then(|| self.at(keys.from));
        // Those that begin inside, after the one that has the first key.
        let last = if keys.end() < END { keys.end() as u64 } else { u64::MAX };
        let inside = self.by_key.range(keys.from..=last.max(keys.from));
        let inside = inside.map(|(_, segment)| &**segment);
        first.into_iter().chain(inside.filter(move |s| s.keys.from > keys.from && keys.holds(s.keys.from)))
    }

    /// Whether a node's data of `segment`, one of this map, is there: as the map says, or filled since.
    pub fn filled(&self, segment: &Segment, node: &str) -> bool {
        let said = segment.holders.iter().any(|holder| holder.filled && holder.node == node);
        said || (!self.done.is_empty() && self.done.contains(&(segment.id, node.to_string())))
    }

    /// With holders (segment, node) that have been filled since the map was made: the next move takes them for filled.
    /// The map and its digest stay as they are. Those that are no holders are left out.
    pub fn with_filled<'a>(&self, filled: impl IntoIterator<Item = (u64, &'a str)>) -> Self {
        let mut proof = self.clone();
        for (id, node) in filled {
            let Some(segment) = self.segment(id) else { continue };
            if segment.holders.iter().any(|holder| holder.node == node && !holder.filled) {
                proof.done.insert((id, node.to_string()));
            }
        }
        proof
    }

    /// The same map judged by another list of nodes or other terms; nothing is sorted or hashed again.
    pub fn judged_by(&self, nodes: &[Node], terms: &Terms) -> Result<Self, Vec<Fault>> {
        let judge = Judge::new(nodes, terms);
        let faults = judge.all(&self.by_key.values().cloned().collect::<Vec<_>>());
        if faults.is_empty() { Ok(Self { judge: judge.into(), ..self.clone() }) } else { Err(faults) }
    }
}

/// Which map, not all of it.
impl fmt::Debug for Proof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { epoch, digest, .. } = self;
        write!(f, "Proof {{ epoch: {epoch}, digest: {digest}, segments: {} }}", self.len())
    }
}

/// Whether a holder is to be filled.
pub(crate) fn wants(segment: &Segment) -> bool {
    segment.holders.iter().any(|holder| !holder.filled)
}
