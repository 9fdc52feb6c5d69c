//! The rows of the endpoint list.

/// A node, by the index that the host assigned to its address. Another node may get the index once
/// [`Router::remove_node`](crate::Router::remove_node) has been called.
pub type NodeId = usize;

/// The state of a node by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointState {
    /// The node accepts new work.
    Active,
    /// The node completes its work and accepts no new work.
    Draining,
    /// The node has been removed.
    Removed,
}

/// A row of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// The replica group whose segments it serves.
    pub replica_group: usize,
    /// The zone of the node.
    pub zone: usize,
    /// The state of the node.
    pub state: EndpointState,
    /// When its process last started, in seconds on the host's clock; 0 if that was long ago.
    pub started_at: f64,
}
