//! Applies the active configuration to the endpoint list, and reports the listed nodes to the control plane's thread.

use dunepond_control_plane::{StartedNode, monotonic_seconds};
use dunepond_routing::{EndpointState, NodeId};
use dunepond_shard_map::Node;
use tracing::info;

use super::ControlPlaneClient;
use crate::endpoint::{EndpointInfo, EndpointRow};

impl ControlPlaneClient {
    /// Records rows of the endpoint list, and returns them with the active configuration applied. `complete` says
    /// whether the rows are the complete list; `zone_name` returns a zone's name by its index.
    pub fn on_endpoint_update(
        &mut self,
        now: f64,
        complete: bool,
        endpoints: Vec<EndpointRow>,
        zone_name: impl Fn(usize) -> String,
    ) -> Vec<EndpointRow> {
        if complete {
            self.endpoints.clear();
        }
        for row in &endpoints {
            self.insert(row, zone_name(row.endpoint.zone));
        }
        self.gate.control.set_listed_nodes(self.listed_nodes());
        self.gate.control.set_started_nodes(self.started_nodes(now));
        endpoints.into_iter().map(|row| self.apply_exclusion(row)).collect()
    }

    /// Records one row, with the zone and the partner of its node.
    fn insert(&mut self, row: &EndpointRow, zone: String) {
        let node = row.endpoint.node;
        self.node_by_name.insert(row.info.name.clone(), node);
        if self.partner_by_node.len() <= node {
            self.partner_by_node.resize(node + 1, None);
        }
        self.partner_by_node[node] = self.partner_by_zone.get(&zone).copied();
        self.zone_by_node.insert(node, zone);
        self.endpoints.insert(node, row.clone());
    }

    /// Returns the rows of the nodes that are active or draining.
    fn present(&self) -> impl Iterator<Item = &EndpointRow> {
        self.endpoints.values().filter(|row| row.info.state != EndpointState::Removed)
    }

    /// Returns the nodes that are active or draining, as the control plane needs them.
    fn listed_nodes(&self) -> Vec<Node> {
        let nodes = self.present().map(|row| Node {
            name: row.info.name.clone(),
            zone: self.zone_by_node.get(&row.endpoint.node).cloned().unwrap_or_default(),
            partner: self.partner_name(row.endpoint.node),
            draining: row.info.state == EndpointState::Draining,
        });
        nodes.collect()
    }

    /// Returns the nodes in slow start. `now` is a Unix time; the returned start times are on the monotonic clock.
    fn started_nodes(&self, now: f64) -> Vec<StartedNode> {
        let in_slow_start =
            |info: &EndpointInfo| info.started_at > 0.0 && now < info.started_at + self.slow_start_seconds;
        let starting = self.present().map(|row| &row.info).filter(|info| in_slow_start(info));
        let started = starting.map(|info| StartedNode {
            node: info.name.clone(),
            incarnation: (info.started_at * 1000.0).round() as u64,
            started_at: monotonic_seconds() - (now - info.started_at),
        });
        started.collect()
    }

    /// Applies the active configuration to a row: a node that the configuration excludes is set to draining, even if
    /// discovery reports it as active.
    pub(super) fn apply_exclusion(&self, mut row: EndpointRow) -> EndpointRow {
        let is_excluded =
            self.last_applied.as_ref().is_some_and(|applied| applied.config.is_excluded(&row.info.name));
        if is_excluded && row.info.state == EndpointState::Active {
            info!("fleet: node {} is drained by the active configuration", row.info.name);
            row.endpoint.state = EndpointState::Draining;
            row.info.state = EndpointState::Draining;
        }
        row
    }

    /// Forgets a removed node.
    pub fn forget(&mut self, node: NodeId, host: &str) {
        self.node_by_name.remove(host);
        self.endpoints.remove(&node);
        self.zone_by_node.remove(&node);
        if let Some(partner) = self.partner_by_node.get_mut(node) {
            *partner = None;
        }
    }

    /// Returns the index of the partner that a node belongs to.
    pub(super) fn partner_of(&self, node: NodeId) -> Option<usize> {
        self.partner_by_node.get(node).copied().flatten()
    }

    /// Returns the name of the partner that a node belongs to; empty if there is none.
    fn partner_name(&self, node: NodeId) -> String {
        self.partner_of(node).map_or(String::new(), |partner| self.config.partners[partner].name.clone())
    }
}
