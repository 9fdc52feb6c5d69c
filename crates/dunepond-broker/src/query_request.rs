//! A query of a client, whichever port it arrived at.

use dunepond_routing::Part;

use crate::body::Payload;

/// A validated query of a client.
pub struct QueryRequest {
    /// Unique among the queries in flight; part of the ids of its attempts.
    pub request_id: String,
    /// Index into the configured query classes.
    pub query_class: usize,
    /// Index into the configured tenants; one more than the last for an unlisted tenant.
    pub tenant: usize,
    /// Until when the client waits.
    pub deadline: f64,
    /// The client marks it as a retry.
    pub is_retry: bool,
    /// The segments it searches, each with its weight.
    pub parts: Vec<Part>,
    /// What each part carries.
    pub payload: Payload,
}
