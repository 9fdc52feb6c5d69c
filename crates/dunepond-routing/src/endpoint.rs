//! The rows of the endpoint list.

/// A node, by the index that the host gave its address; another node may get it once
/// [`Router::remove_node`](crate::Router::remove_node) has been called.
pub type NodeId = usize;

/// What the list says of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointState {
    /// It takes new work.
    Active,
    /// It ends what it has and takes nothing new.
    Draining,
    /// It is gone.
    Removed,
}

/// A row of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// The replica group whose segments it serves.
    pub replica_group: usize,
    /// Its zone.
    pub zone: usize,
    /// What the list says of it.
    pub state: EndpointState,
    /// When its process last started, in seconds on the host's clock; 0 if long ago.
    pub started_at: f64,
}
