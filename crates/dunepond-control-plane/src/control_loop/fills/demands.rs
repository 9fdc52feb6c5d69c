//! Computes the fills that the proposed configuration version still requires.

use dunepond_consensus::Voter;
use dunepond_settlement::{FillDemand, FillSource};
use dunepond_shard_map::{MapTransition, RequiredFill};

use super::ControlLoop;

impl ControlLoop {
    /// The fills that the map of the proposed configuration version requires and that the log does not record as
    /// completed. `None` if this broker does not lead, or if no version with a map is proposed.
    pub(super) fn version_fill_demands(&mut self) -> Option<Vec<FillDemand>> {
        if !self.is_leading() {
            return None;
        }
        let state = self.voter.as_ref().map(Voter::state)?;
        let (proposed, transition) = (state.proposed.as_ref()?, state.map_transition()?);
        let number = proposed.version.number;
        if self.version_fills.version != number {
            self.version_fills.abandon_all();
            self.version_fills.version = number;
        }
        let listed = self.proposals.listed_nodes.load();
        let is_draining = |name: &str| listed.iter().any(|node| node.name == name && node.draining);
        let fills = &self.version_fills;
        let mut demands = Vec::new();
        for required in transition.required_fills() {
            if proposed.completed_fills.contains(&(required.segment, required.replica.clone())) {
                continue;
            }
            let mut demand = fill_demand(transition, required, number, fills.limits.segment_bytes);
            let sources = std::mem::take(&mut demand.sources);
            demand.sources = fills.avoided_sources.usable(&demand.id(), sources, is_draining);
            demands.push(demand);
        }
        Some(demands)
    }
}

/// The demand for one required fill, with all possible sources.
fn fill_demand(transition: &MapTransition, required: &RequiredFill, version: u64, bytes: u64) -> FillDemand {
    let segment = transition.to().segment(required.segment);
    let replica =
        segment.and_then(|segment| segment.replicas.iter().find(|replica| replica.node == required.replica));
    let source = |node: &String| {
        let old_segments =
            segment.into_iter().flat_map(|segment| transition.from().overlapping(segment.keys));
        let mut old_replicas = old_segments.flat_map(|old| &old.replicas);
        let partner = old_replicas
            .find(|replica| replica.node == *node)
            .map_or(String::new(), |replica| replica.partner.clone());
        FillSource { node: node.clone(), partner }
    };
    FillDemand {
        version,
        segment: required.segment,
        node: required.replica.clone(),
        partner: replica.map_or(String::new(), |replica| replica.partner.clone()),
        sources: required.sources.iter().map(source).collect(),
        bytes,
        start: 0,
    }
}
