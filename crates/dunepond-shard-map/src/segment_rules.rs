//! What one segment must satisfy: its replicas, owner and read shares.

use std::collections::HashMap;
use std::sync::Arc;

use crate::fault::{MapFault, SegmentContext, SegmentRef};
use crate::{MapConstraints, Node, Replica, Segment};

/// How far the shares of a segment may be from 1 in total: thirds written with seven digits pass.
const SHARE_SUM_TOLERANCE: f64 = 1e-6;

/// The nodes and constraints that segments are checked against.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentRules {
    /// By name; empty where no list was given.
    nodes: HashMap<String, Node>,
    min_replicas: usize,
    min_zones: usize,
    duplicate_nodes: Vec<String>,
}

/// What the replicas of one segment are, in total.
#[derive(Default)]
struct ReplicaSummary<'a> {
    names: Vec<&'a str>,
    filled: Vec<&'a str>,
    zones: Vec<&'a str>,
    share_sum: f64,
    has_invalid_share: bool,
}

/// A segment with its neighbours.
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

    /// Checks one segment; `context` places it in the reports.
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
        // A replica that stands twice is one replica.
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
            // Not a number is in no range.
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

    /// Checks a replica against the list of nodes, and returns its node.
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
