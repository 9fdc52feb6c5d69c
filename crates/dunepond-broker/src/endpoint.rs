//! A row of the endpoint list, as discovery reports it.

use std::net::SocketAddr;

use dunepond_routing::{Endpoint, EndpointState};

/// A row of the endpoint list.
#[derive(Clone)]
pub struct EndpointRow {
    /// The node as the router needs it.
    pub endpoint: Endpoint,
    /// What connections to the node need.
    pub info: EndpointInfo,
}

/// A node as connections to it need it.
#[derive(Clone)]
pub struct EndpointInfo {
    /// The node's name.
    pub name: String,
    /// Its address; `None` only if it is removed.
    pub address: Option<SocketAddr>,
    /// Its replica group.
    pub replica_group: usize,
    /// When its process started, in Unix seconds; 0 if unknown.
    pub started_at: f64,
    /// Whether it is active, draining or removed.
    pub state: EndpointState,
}
