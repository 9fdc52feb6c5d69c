//! Rows of the endpoint list.

use std::net::SocketAddr;

use dunepond_routing::{Endpoint, EndpointState};

/// A row of the endpoint list: a node, as the router and the connections need it.
#[derive(Clone)]
pub struct EndpointRow {
    /// The data of the node that the router needs.
    pub endpoint: Endpoint,
    /// The data of the node that connections to it need.
    pub info: EndpointInfo,
}

/// The data of a node that connections to it need.
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
