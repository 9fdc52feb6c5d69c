//! Limits of the links between brokers, scaled with the number of brokers.

use std::collections::BTreeSet;

use dunepond_membership::Limits;

use crate::config::ControlPlaneConfig;

/// Maximum size of a message between brokers.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Maximum number of events that are queued for each connection: a request from the peer, and a response to a request
/// from this broker.
const EVENTS_PER_CONNECTION: usize = 2;

/// Limits for the brokers that are named in the configuration. All these brokers may use all their connections to the
/// leader at the same time, so the limits of each broker allow for that. Brokers that are not named add nothing to the
/// limits.
pub fn limits_for(config: &ControlPlaneConfig) -> Limits {
    let known = config.known_brokers.iter().map(|known| &known.0);
    let partners = config.partners.iter().flat_map(|partner| &partner.brokers);
    let brokers: BTreeSet<_> = known.chain(partners).chain(&config.consensus.voters).collect();
    limits_for_count(brokers.len())
}

/// Limits for this number of brokers, never lower than the default limits.
fn limits_for_count(brokers: usize) -> Limits {
    let default = Limits::default();
    let connections = brokers.saturating_mul(default.max_connections_per_peer);
    Limits {
        max_body_bytes: MAX_MESSAGE_BYTES,
        max_receive_bytes: 4 * MAX_MESSAGE_BYTES,
        max_send_bytes: 4 * MAX_MESSAGE_BYTES,
        max_incoming_connections: default.max_incoming_connections.max(connections),
        max_pending_requests: default.max_pending_requests.max(connections),
        max_requests: default.max_requests.max(connections),
        max_queued_events: default.max_queued_events.max(connections.saturating_mul(EVENTS_PER_CONNECTION)),
        ..default
    }
}

#[cfg(test)]
mod tests;
