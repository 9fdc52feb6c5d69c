//! Applies the endpoint list to the nodes and to the connections to them.

use std::collections::HashSet;
use std::net::SocketAddr;

use dunepond_recovery::NodeIdentity;
use dunepond_routing::{EndpointState, NodeId};

use super::{ChangedNode, NodeEntry, Upstream};
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;
use crate::endpoint::EndpointInfo;

impl Upstream {
    /// Applies the endpoint list's row of a node. The node keeps its index until `release_removed_node` returns that
    /// index.
    pub fn update_endpoint(&mut self, now: f64, node: NodeId, endpoint: EndpointInfo, timers: &mut Timers) {
        if node >= self.nodes.len() {
            self.nodes.resize_with(node + 1, NodeEntry::default);
        }
        let node_entry = &mut self.nodes[node];
        let (started_at, state) = (endpoint.started_at, endpoint.state);
        if state == EndpointState::Removed && !node_entry.has_state(EndpointState::Removed) {
            self.removed_nodes.push(node);
        }
        let previous = node_entry.endpoint.as_ref();
        let address_changed = previous.is_some_and(|p| p.address.is_some() && p.address != endpoint.address);
        let replaced = started_at > previous.map_or(0.0, |p| p.started_at);
        node_entry.endpoint = Some(endpoint);
        if address_changed || replaced || state != EndpointState::Active {
            self.changed_nodes.push(ChangedNode { node, replaced });
        }
        for id in node_entry.connections.clone() {
            let connection = &mut self.connections[id];
            // A connection that is still being established, or was established after the restart, leads to the new
            // process.
            if replaced && connection.connected && connection.since < started_at {
                self.close(now, id, ConnectionEnd::Replaced, timers);
                continue;
            }
            connection.retired |= address_changed || state == EndpointState::Removed;
            // Attempts queued on this connection might otherwise be written long after the node began to drain, or to a
            // new process that is in slow start.
            if connection.retired || replaced || state != EndpointState::Active {
                self.withdraw_unframed(now, id, |_| true);
                self.close_or_keep_idle(now, id, timers);
            }
        }
    }

    /// Marks every node that is not in `listed`, the nodes of a complete endpoint list, as removed.
    pub fn remove_unlisted(&mut self, now: f64, listed: &HashSet<NodeId>, timers: &mut Timers) {
        for node in 0..self.nodes.len() {
            let endpoint = self.nodes[node]
                .endpoint
                .as_ref()
                .filter(|endpoint| endpoint.state != EndpointState::Removed);
            if let Some(endpoint) = endpoint.filter(|_| !listed.contains(&node)) {
                let endpoint = EndpointInfo { state: EndpointState::Removed, ..endpoint.clone() };
                self.update_endpoint(now, node, endpoint, timers);
            }
        }
    }

    /// Drops a removed node that has no connections and no queued attempts, and returns its index, which is free again,
    /// and its name. Without this, `nodes` would grow without bound if nodes keep returning under new names.
    pub fn release_removed_node(&mut self) -> Option<(NodeId, String)> {
        let nodes = &self.nodes;
        self.removed_nodes.retain(|node| nodes[*node].has_state(EndpointState::Removed));
        let is_unused =
            |node: &NodeId| nodes[*node].connections.is_empty() && nodes[*node].unassigned.is_empty();
        let position = self.removed_nodes.iter().position(is_unused)?;
        let node = self.removed_nodes.swap_remove(position);
        let endpoint = std::mem::take(&mut self.nodes[node]).endpoint?;
        Some((node, endpoint.name))
    }

    /// Returns whether any node may get new attempts.
    pub fn any_active(&self) -> bool {
        self.nodes.iter().any(|entry| entry.has_state(EndpointState::Active))
    }

    /// Returns whether a node has a replica of a segment. The replicas of segment `s` are on the `replica_count`
    /// consecutive replica groups that begin with group `s` modulo `group_count`.
    pub fn is_replica(&self, node: NodeId, segment: usize, group_count: usize, replica_count: usize) -> bool {
        let group = self
            .nodes
            .get(node)
            .and_then(|entry| entry.endpoint.as_ref())
            .map(|endpoint| endpoint.replica_group % group_count);
        (0..replica_count).any(|offset| group == Some((segment + offset) % group_count))
    }

    /// Returns how many nodes the endpoint list names, and how many of them may get new attempts.
    pub fn node_counts(&self) -> (usize, usize) {
        let listed = self
            .nodes
            .iter()
            .filter(|entry| entry.endpoint.is_some() && !entry.has_state(EndpointState::Removed))
            .count();
        (listed, self.nodes.iter().filter(|entry| entry.has_state(EndpointState::Active)).count())
    }

    /// Returns the identity of every node that the endpoint list names. After a restart of the broker, the node is
    /// recognised by this identity.
    pub fn identities(&self) -> Vec<NodeIdentity> {
        let identities = self.nodes.iter().enumerate().filter_map(|(node, node_entry)| {
            let endpoint =
                node_entry.endpoint.as_ref().filter(|endpoint| endpoint.state != EndpointState::Removed)?;
            let address = endpoint.address.map_or(String::new(), |address| address.to_string());
            Some(NodeIdentity { node, name: endpoint.name.clone(), address, started_at: endpoint.started_at })
        });
        identities.collect()
    }

    /// Returns the address of a node; `None` if the node may not get new attempts.
    pub fn active_address(&self, node: NodeId) -> Option<SocketAddr> {
        let endpoint = self.nodes.get(node)?.endpoint.as_ref()?;
        endpoint.address.filter(|_| endpoint.state == EndpointState::Active)
    }
}
