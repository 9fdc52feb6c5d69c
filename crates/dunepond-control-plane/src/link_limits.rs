//! Limits of the links between brokers, by the number of brokers.

use std::collections::BTreeSet;

use dunepond_membership::Limits;

use crate::config::ControlPlaneConfig;

/// Largest message between brokers.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Events that may wait for each connection: a peer's request, and the response to one of this broker's.
const EVENTS_PER_CONNECTION: usize = 2;

/// Limits for the brokers that the configuration names. All of them may use all their connections to one leader at the
/// same moment, so there is room for each; brokers that are not named share the default limits.
pub fn limits_for(config: &ControlPlaneConfig) -> Limits {
    let known = config.known_brokers.iter().map(|known| &known.0);
    let partners = config.partners.iter().flat_map(|partner| &partner.brokers);
    let brokers: BTreeSet<_> = known.chain(partners).chain(&config.terms.voters).collect();
    limits_for_count(brokers.len())
}

/// Never less than the default limits.
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
