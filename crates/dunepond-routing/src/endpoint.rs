//! The rows of the endpoint list, which states the replica group, the zone and the state of each node.

/// Index of a node, which the host assigns to the node's address. The index may be reused for another node
/// after [`Router::remove_node`](crate::Router::remove_node).
pub type NodeId = usize;

/// State of a node according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointState {
    /// The node accepts new work.
    Active,
    /// The node finishes its work and accepts no new work.
    Draining,
    /// The node has been removed.
    Removed,
}

/// A row of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// The replica group whose segments the node serves.
    pub replica_group: usize,
    /// The zone of the node.
    pub zone: usize,
    /// The state of the node.
    pub state: EndpointState,
    /// When the node's process last started, in seconds on the host's clock; 0 if the process started long
    /// ago.
    pub started_at: f64,
}
