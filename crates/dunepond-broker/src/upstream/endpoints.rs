//! What the list says of nodes, and what that means for the connections to them.

use std::collections::HashSet;
use std::net::SocketAddr;

use dunepond_recovery::NodeIdentity;
use dunepond_routing::{EndpointState, NodeId};

use super::{Server, Servers};
use crate::clock::Alarms;
use crate::connection_end::Ending;

/// A line of the list, as far as connections go by it.
#[derive(Clone)]
pub struct Listing {
    pub host: String,
    pub dial: Option<SocketAddr>,
    pub cell: usize,
    pub started: f64,
    pub standing: EndpointState,
}

impl Servers {
    /// What the list says of a node, which keeps its index until it is forgotten.
    pub fn listed(&mut self, now: f64, node: NodeId, row: Listing, alarms: &mut Alarms) {
        if node >= self.servers.len() {
            self.servers.resize_with(node + 1, Server::default);
        }
        let server = &mut self.servers[node];
        let (started, standing) = (row.started, row.standing);
        if standing == EndpointState::Removed && !server.stands(EndpointState::Removed) {
            self.gone.push(node);
        }
        let before = server.row.as_ref();
        let moved = before.is_some_and(|b| b.dial.is_some() && b.dial != row.dial);
        let replaced = started > before.map_or(0.0, |b| b.started);
        server.row = Some(row);
        if moved || replaced || standing != EndpointState::Active {
            self.changed.push((node, replaced));
        }
        for id in server.links.clone() {
            let link = &mut self.links[id];
            // What is still coming up does so with the new process, if it does; one that came up since is its own.
            if replaced && link.up && link.since < started {
                self.end(now, id, Ending::Replaced, alarms);
                continue;
            }
            link.retired |= moved || standing == EndpointState::Removed;
            // What still waits here may be written long after the node was not to get anything new, or to a new process that
            // bears less.
            if link.retired || replaced || standing != EndpointState::Active {
                self.hold(now, id, |_| true);
                self.rest(now, id, alarms);
            }
        }
    }

    /// A whole list is coming: what it does not name has gone.
    pub fn listed_anew(&mut self, now: f64, named: &HashSet<NodeId>, alarms: &mut Alarms) {
        for node in 0..self.servers.len() {
            let row = self.servers[node].row.as_ref().filter(|row| row.standing != EndpointState::Removed);
            if let Some(row) = row.filter(|_| !named.contains(&node)) {
                let row = Listing { standing: EndpointState::Removed, ..row.clone() };
                self.listed(now, node, row, alarms);
            }
        }
    }

    /// The next node that has gone and that nothing of ours can name any more. With new nodes under new names
    /// all day, whoever kept them would grow for ever.
    pub fn forgotten(&mut self) -> Option<(NodeId, String)> {
        let servers = &self.servers;
        self.gone.retain(|node| servers[*node].stands(EndpointState::Removed));
        let idle = |node: &NodeId| servers[*node].links.is_empty() && servers[*node].batch.is_empty();
        let at = self.gone.iter().position(idle)?;
        let node = self.gone.swap_remove(at);
        let row = std::mem::take(&mut self.servers[node]).row?;
        Some((node, row.host))
    }

    pub fn any_active(&self) -> bool {
        self.servers.iter().any(|s| s.stands(EndpointState::Active))
    }

    pub fn holds(&self, node: NodeId, seg: usize, cells: usize, holders: usize) -> bool {
        let cell = self.servers.get(node).and_then(|s| s.row.as_ref()).map(|row| row.cell % cells);
        (0..holders).any(|j| cell == Some((seg + j) % cells))
    }

    /// How many nodes the list names, and how many of them may get something new.
    pub fn count(&self) -> (usize, usize) {
        let named =
            self.servers.iter().filter(|s| s.row.is_some() && !s.stands(EndpointState::Removed)).count();
        (named, self.servers.iter().filter(|s| s.stands(EndpointState::Active)).count())
    }

    /// Every node that the list names, as others may know it again.
    pub fn identities(&self) -> Vec<NodeIdentity> {
        let named = self.servers.iter().enumerate().filter_map(|(node, server)| {
            let row = server.row.as_ref().filter(|row| row.standing != EndpointState::Removed)?;
            let dial = row.dial.map_or(String::new(), |dial| dial.to_string());
            Some(NodeIdentity { node, name: row.host.clone(), address: dial, started_at: row.started })
        });
        named.collect()
    }

    /// Where a node that may get something new is reached.
    pub fn dial(&self, node: NodeId) -> Option<SocketAddr> {
        let row = self.servers.get(node)?.row.as_ref()?;
        row.dial.filter(|_| row.standing == EndpointState::Active)
    }
}
