//! Applies the endpoint list: which nodes there are, and which connections to them may be used.

use std::collections::HashSet;
use std::net::SocketAddr;

use dunepond_recovery::NodeIdentity;
use dunepond_routing::{EndpointState, NodeId};

use super::{ChangedNode, NodeEntry, Upstream};
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;
use crate::endpoint::EndpointInfo;

impl Upstream {
    /// Applies the list's entry of a node, which keeps its index until `next_forgotten` returns it.
    pub fn update_endpoint(&mut self, now: f64, node: NodeId, endpoint: EndpointInfo, timers: &mut Timers) {
        if node >= self.nodes.len() {
            self.nodes.resize_with(node + 1, NodeEntry::default);
        }
        let node_entry = &mut self.nodes[node];
        let (started_at, state) = (endpoint.started_at, endpoint.state);
        if state == EndpointState::Removed && !node_entry.has_state(EndpointState::Removed) {
            self.removed_nodes.push(node);
        }
        let before = node_entry.endpoint.as_ref();
        let moved = before.is_some_and(|b| b.address.is_some() && b.address != endpoint.address);
        let replaced = started_at > before.map_or(0.0, |b| b.started_at);
        node_entry.endpoint = Some(endpoint);
        if moved || replaced || state != EndpointState::Active {
            self.changed_nodes.push(ChangedNode { node, replaced });
        }
        for id in node_entry.connections.clone() {
            let connection = &mut self.connections[id];
            // A connection that is still being established, or was since the restart, is one to the new process.
            if replaced && connection.connected && connection.since < started_at {
                self.close(now, id, ConnectionEnd::Replaced, timers);
                continue;
            }
            connection.retired |= moved || state == EndpointState::Removed;
            // Attempts that wait here might be written long after the node began to drain, or to a new process in slow start.
            if connection.retired || replaced || state != EndpointState::Active {
                self.withdraw_unframed(now, id, |_| true);
                self.close_or_keep_idle(now, id, timers);
            }
        }
    }

    /// Marks every node that a complete list does not name as removed.
    pub fn remove_unlisted(&mut self, now: f64, named: &HashSet<NodeId>, timers: &mut Timers) {
        for node in 0..self.nodes.len() {
            let endpoint = self.nodes[node]
                .endpoint
                .as_ref()
                .filter(|endpoint| endpoint.state != EndpointState::Removed);
            if let Some(endpoint) = endpoint.filter(|_| !named.contains(&node)) {
                let endpoint = EndpointInfo { state: EndpointState::Removed, ..endpoint.clone() };
                self.update_endpoint(now, node, endpoint, timers);
            }
        }
    }

    /// The next removed node without connections or queued attempts, and its name: its index is free again. Guards against
    /// unbounded growth where nodes keep returning under new names.
    pub fn next_forgotten(&mut self) -> Option<(NodeId, String)> {
        let nodes = &self.nodes;
        self.removed_nodes.retain(|node| nodes[*node].has_state(EndpointState::Removed));
        let idle = |node: &NodeId| nodes[*node].connections.is_empty() && nodes[*node].unassigned.is_empty();
        let at = self.removed_nodes.iter().position(idle)?;
        let node = self.removed_nodes.swap_remove(at);
        let endpoint = std::mem::take(&mut self.nodes[node]).endpoint?;
        Some((node, endpoint.name))
    }

    /// Whether any node may get new attempts.
    pub fn any_active(&self) -> bool {
        self.nodes.iter().any(|entry| entry.has_state(EndpointState::Active))
    }

    /// Whether a node has a replica of a segment, which is on `replica_count` of the `group_count` replica groups, from its own on.
    pub fn is_replica(&self, node: NodeId, segment: usize, group_count: usize, replica_count: usize) -> bool {
        let group = self
            .nodes
            .get(node)
            .and_then(|entry| entry.endpoint.as_ref())
            .map(|endpoint| endpoint.replica_group % group_count);
        (0..replica_count).any(|j| group == Some((segment + j) % group_count))
    }

    /// How many nodes the list names, and how many of them may get new attempts.
    pub fn count(&self) -> (usize, usize) {
        let named = self
            .nodes
            .iter()
            .filter(|entry| entry.endpoint.is_some() && !entry.has_state(EndpointState::Removed))
            .count();
        (named, self.nodes.iter().filter(|entry| entry.has_state(EndpointState::Active)).count())
    }

    /// Every node that the list names, as it can be recognised after a restart.
    pub fn identities(&self) -> Vec<NodeIdentity> {
        let named = self.nodes.iter().enumerate().filter_map(|(node, node_entry)| {
            let endpoint =
                node_entry.endpoint.as_ref().filter(|endpoint| endpoint.state != EndpointState::Removed)?;
            let address = endpoint.address.map_or(String::new(), |address| address.to_string());
            Some(NodeIdentity { node, name: endpoint.name.clone(), address, started_at: endpoint.started_at })
        });
        named.collect()
    }

    /// The address of a node that may get new attempts.
    pub fn active_address(&self, node: NodeId) -> Option<SocketAddr> {
        let endpoint = self.nodes.get(node)?.endpoint.as_ref()?;
        endpoint.address.filter(|_| endpoint.state == EndpointState::Active)
    }
}
