//! The query of a client, independent of the port at which it arrived.

use dunepond_routing::Part;

use crate::body::Payload;

/// A validated query of a client.
pub struct QueryRequest {
    /// The request's id, which is unique among the queries in flight and part of the ids of its parts.
    pub request_id: String,
    /// Index of the query's class among the configured query classes.
    pub query_class: usize,
    /// Index of the tenant among the configured tenants; the number of configured tenants if the tenant is not
    /// configured.
    pub tenant: usize,
    /// When the client stops waiting, in Unix seconds.
    pub deadline: f64,
    /// Whether the client marks the query as a retry.
    pub is_retry: bool,
    /// The segments that the query searches, each with its weight.
    pub parts: Vec<Part>,
    /// The payload of each part.
    pub payload: Payload,
}
