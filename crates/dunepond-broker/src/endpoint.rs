//! Rows of the endpoint list.

use std::net::SocketAddr;

use dunepond_routing::{Endpoint, EndpointState};

/// A row of the endpoint list: a node, as the router and the connections need it.
#[derive(Clone)]
pub struct EndpointRow {
    /// What the router needs to know of the node.
    pub endpoint: Endpoint,
    /// What the connections to the node need to know of it.
    pub info: EndpointInfo,
}

/// What the connections to a node need to know of it.
#[derive(Clone)]
pub struct EndpointInfo {
    /// The node's name.
    pub name: String,
    /// The node's address; `None` only if the node is removed.
    pub address: Option<SocketAddr>,
    /// The node's replica group.
    pub replica_group: usize,
    /// When the node's process started, in Unix seconds; 0 if unknown.
    pub started_at: f64,
    /// Whether the node is active, draining or removed.
    pub state: EndpointState,
}
