//! Limits of the links between brokers, scaled with the number of brokers and the memory for messages.

use std::collections::BTreeSet;

use dunepond_membership::Limits;

use crate::config::ControlPlaneConfig;

/// Maximum size of a message between brokers.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// The received messages, the sent ones and those that wait for the control loop each have this part of the memory.
const MEMORY_PARTS: usize = 3;
/// Memory for the head of a request on a connection, and for what the operating system holds for it.
const CONNECTION_BYTES: usize = 64 * 1024;
/// The least number of connections from brokers that are not named in the configuration.
const MIN_INCOMING_CONNECTIONS: usize = 16;
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
    limits_for_count(brokers.len(), config.max_message_memory_bytes)
}

/// Limits for this number of brokers and this memory for messages. Numbers that do not depend on the memory are never lower than the
/// default limits.
fn limits_for_count(brokers: usize, memory_bytes: usize) -> Limits {
    let default = Limits::default();
    let connections = brokers.saturating_mul(default.max_connections_per_peer);
    let part_bytes = memory_bytes / MEMORY_PARTS;
    let unnamed_connections =
        (part_bytes / CONNECTION_BYTES).clamp(MIN_INCOMING_CONNECTIONS, default.max_incoming_connections);
    Limits {
        max_body_bytes: MAX_MESSAGE_BYTES.min(part_bytes),
        max_receive_bytes: (4 * MAX_MESSAGE_BYTES).min(part_bytes),
        max_send_bytes: (4 * MAX_MESSAGE_BYTES).min(part_bytes),
        max_incoming_connections: unnamed_connections.max(connections),
        max_pending_requests: default.max_pending_requests.max(connections),
        max_requests: default.max_requests.max(connections),
        max_queued_events: default.max_queued_events.max(connections.saturating_mul(EVENTS_PER_CONNECTION)),
        ..default
    }
}

#[cfg(test)]
mod tests;
