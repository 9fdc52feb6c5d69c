//! How much the links take at once, by how many brokers there are.

use std::collections::BTreeSet;

use dunepond_membership::Limits;

use crate::config::ControlPlaneConfig;

/// Bytes of one message between brokers.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Events that may wait for each connection: a peer's request, and the response to one of this broker's.
const EVENTS_PER_CONNECTION: usize = 2;

/// Never under what the links have of themselves. Each broker may ask one leader over all its connections at the same
/// moment, so that many places are there for each that the file names; strangers share what is there anyway.
pub fn bounds(told: &ControlPlaneConfig) -> Limits {
    let named = told.known_brokers.iter().map(|known| &known.0);
    let named = named.chain(told.partners.iter().flat_map(|partner| &partner.brokers));
    let brokers: BTreeSet<_> = named.chain(&told.terms.voters).collect();
    bounds_for(brokers.len())
}

fn bounds_for(brokers: usize) -> Limits {
    let usual = Limits::default();
    let places = brokers.saturating_mul(usual.max_connections_per_peer);
    Limits {
        max_body_bytes: MAX_MESSAGE_BYTES,
        max_receive_bytes: 4 * MAX_MESSAGE_BYTES,
        max_send_bytes: 4 * MAX_MESSAGE_BYTES,
        max_incoming_connections: usual.max_incoming_connections.max(places),
        max_pending_requests: usual.max_pending_requests.max(places),
        max_requests: usual.max_requests.max(places),
        max_queued_events: usual.max_queued_events.max(places.saturating_mul(EVENTS_PER_CONNECTION)),
        ..usual
    }
}

#[cfg(test)]
mod tests;
