//! Checks of a single segment: its replicas, its owner and its shares of reads.

use std::collections::HashMap;
use std::sync::Arc;

use crate::fault::{MapFault, SegmentContext, SegmentRef};
use crate::{MapConstraints, Node, Replica, Segment};

/// Largest accepted difference between 1 and the sum of the shares of a segment's replicas (the fractions of the segment's
/// reads that they serve). It is large enough for thirds that are written with seven digits, as in 0.3333333.
const SHARE_SUM_TOLERANCE: f64 = 1e-6;

/// The nodes and constraints that segments are checked against.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentRules {
    /// Nodes by name. If empty, no list of nodes was given, and the checks against nodes are skipped.
    nodes: HashMap<String, Node>,
    min_replicas: usize,
    min_zones: usize,
    /// Names that the list of nodes contains more than once.
    duplicate_nodes: Vec<String>,
}

/// Totals over the replicas of one segment.
#[derive(Default)]
struct ReplicaSummary<'a> {
    /// Names of the nodes of all replicas.
    names: Vec<&'a str>,
    /// Names of the nodes of the filled replicas.
    filled: Vec<&'a str>,
    /// Zones of the filled replicas.
    zones: Vec<&'a str>,
    share_sum: f64,
    has_invalid_share: bool,
}

/// Returns references to the segment at `index` and its neighbours, to be reported with a fault. `segments` must be
/// ordered by key.
pub(crate) fn context(segments: &[Arc<Segment>], index: usize) -> Box<SegmentContext> {
    let reference = |index: usize| segments.get(index).map(|segment| SegmentRef::from(&**segment));
    let before = index.checked_sub(1).and_then(reference);
    Box::new(SegmentContext {
        segment: SegmentRef::from(&*segments[index]),
        before,
        after: reference(index + 1),
    })
}

impl SegmentRules {
    pub fn new(nodes: &[Node], constraints: &MapConstraints) -> Self {
        let MapConstraints { min_replicas, min_zones } = *constraints;
        let mut rules = Self { min_replicas, min_zones, ..Self::default() };
        for node in nodes {
            if rules.nodes.insert(node.name.clone(), node.clone()).is_some() {
                rules.duplicate_nodes.push(node.name.clone());
            }
        }
        rules
    }

    /// Checks the list of nodes itself and all segments of a map, in the order of their keys.
    pub fn check_all(&self, segments: &[Arc<Segment>]) -> Vec<MapFault> {
        let duplicates = self.duplicate_nodes.iter();
        let mut faults = duplicates.map(|node| MapFault::DuplicateNode { node: node.clone() }).collect();
        for (index, segment) in segments.iter().enumerate() {
            self.check(segment, || context(segments, index), &mut faults);
        }
        faults
    }

    /// Checks one segment and adds its faults to `faults`. `context` returns the segment and its neighbours, to be
    /// reported with a fault.
    pub fn check(
        &self,
        segment: &Segment,
        context: impl Fn() -> Box<SegmentContext>,
        faults: &mut Vec<MapFault>,
    ) {
        let mut summary = self.check_each_replica(segment, &context, faults);
        if !summary.has_invalid_share && (summary.share_sum - 1.0).abs() > SHARE_SUM_TOLERANCE {
            faults.push(MapFault::ShareSumNotOne { sum: summary.share_sum, context: context() });
        }
        summary.names.sort_unstable();
        for pair in summary.names.windows(2).filter(|pair| pair[0] == pair[1]) {
            faults.push(MapFault::DuplicateReplica { node: pair[0].to_string(), context: context() });
        }
        // A filled replica that is listed twice counts once.
        sort_unique(&mut summary.filled);
        let filled = summary.filled.len();
        if filled < self.min_replicas {
            let (min, context) = (self.min_replicas, context());
            faults.push(MapFault::TooFewReplicas { filled, min, context });
        }
        sort_unique(&mut summary.zones);
        let zones = summary.zones.len();
        if !self.nodes.is_empty() && zones < self.min_zones {
            let (min, context) = (self.min_zones, context());
            faults.push(MapFault::TooFewZones { zones, min, context });
        }
        let owner = segment.owner.as_str();
        if summary.names.binary_search(&owner).is_err() {
            faults.push(MapFault::OwnerNotReplica { owner: owner.to_string(), context: context() });
        } else if summary.filled.binary_search(&owner).is_err() {
            faults.push(MapFault::OwnerNotFilled { owner: owner.to_string(), context: context() });
        }
    }

    /// Checks each replica of a segment by itself, and returns the totals over all of them.
    fn check_each_replica<'a>(
        &'a self,
        segment: &'a Segment,
        context: &impl Fn() -> Box<SegmentContext>,
        faults: &mut Vec<MapFault>,
    ) -> ReplicaSummary<'a> {
        let mut summary = ReplicaSummary::default();
        for replica in &segment.replicas {
            summary.names.push(&replica.node);
            if replica.filled {
                summary.filled.push(&replica.node);
            }
            if let Some(node) = self.check_node(replica, context, faults)
                && replica.filled
            {
                summary.zones.push(&node.zone);
            }
            // NaN is not in the range either, so it is reported as a fault too.
            if (0.0..=1.0).contains(&replica.share) {
                summary.share_sum += replica.share;
            } else {
                summary.has_invalid_share = true;
                let (node, share) = (replica.node.clone(), replica.share);
                faults.push(MapFault::ShareOutOfRange { node, share, context: context() });
            }
        }
        summary
    }

    /// Checks a replica against the list of nodes, and returns its node if it is in the list.
    fn check_node(
        &self,
        replica: &Replica,
        context: &impl Fn() -> Box<SegmentContext>,
        faults: &mut Vec<MapFault>,
    ) -> Option<&Node> {
        let name = || replica.node.clone();
        let Some(node) = self.nodes.get(&replica.node) else {
            if !self.nodes.is_empty() {
                faults.push(MapFault::UnknownReplica { node: name(), context: context() });
            }
            return None;
        };
        if node.draining {
            faults.push(MapFault::DrainingReplica { node: name(), context: context() });
        }
        if node.partner != replica.partner {
            let (stated, actual) = (replica.partner.clone(), node.partner.clone());
            faults.push(MapFault::WrongPartner { node: name(), stated, actual, context: context() });
        }
        Some(node)
    }
}

fn sort_unique(names: &mut Vec<&str>) {
    names.sort_unstable();
    names.dedup();
}
