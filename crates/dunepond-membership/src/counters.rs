//! Counters since the start of the process. Operators rely on the printed names, so these must not change.

use crate::error::PeerError;
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident as $printed:literal,)*) => {
        /// The values of the counters since the start of the membership; they never decrease.
        #[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct Counters { $($(#[$doc])* #[serde(rename = $printed)] pub $field: u64,)* }

        /// The counters as atomics, which the membership's thread and its callers increment.
        #[derive(Default)]
        pub(crate) struct CounterCells { $(pub $field: AtomicU64,)* }

        impl Counters {
            /// Returns all counters with the names under which they are printed.
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                vec![$(($printed, self.$field),)*]
            }
        }

        impl CounterCells {
            /// Returns the current values.
            pub fn read(&self) -> Counters {
                Counters { $($field: self.$field.load(Relaxed),)* }
            }
        }
    };
}

counters! {
    /// Datagrams received.
    datagrams_in as "datagrams_in",
    /// Datagrams sent.
    datagrams_out as "datagrams_out",
    /// Requests of this broker that were accepted for sending.
    requests_sent as "asks",
    /// Requests of this broker that received a response.
    responses as "answered",
    /// Requests of this broker that the peer refused.
    refused_by_peer as "refused_by_peer",
    /// Requests of this broker that received no response before the deadline.
    timed_out as "late",
    /// Requests of this broker to peers that could not be reached.
    unreachable as "unreachable",
    /// Requests of this broker whose connection was lost before the response was complete.
    connections_lost as "broken",
    /// Requests of this broker that were not sent because the peer was in backoff.
    backed_off as "rested",
    /// Requests of this broker that were not accepted, because there were too many or they were too large.
    requests_rejected as "not_taken",
    /// Requests of peers that were passed to the caller.
    requests_received as "asked",
    /// Requests of peers that were refused with [`RefusalReason::Busy`](crate::RefusalReason::Busy), for example
    /// because a limit was reached.
    requests_shed as "asked_busy",
    /// Liveness checks that were sent to suspected members.
    liveness_checks_sent as "signs",
    /// Liveness checks of this broker that received a valid response.
    liveness_checks_passed as "signs_came",
    /// Liveness checks of peers that this broker answered.
    liveness_checks_answered as "signs_given",
    /// Connections that were accepted from peers.
    connections_in as "connections_in",
    /// Connections from peers that were closed because a limit was reached, or because they sent no verified request in
    /// time.
    connections_refused as "connections_refused",
    /// Messages that were rejected because they cannot be decoded.
    malformed as "garbled",
    /// Messages that were rejected because their protocol version is not supported.
    unsupported_version as "other_version",
    /// Messages that were rejected because their sender is not verified.
    unverified_sender as "claimed",
    /// Messages that were rejected because of a wrong authentication code.
    authentication_failed as "bad_seal",
    /// Messages that were rejected because their sender's incarnation is earlier than the latest one known under its
    /// name.
    stale_incarnation as "stale",
    /// Messages that were rejected because they do not echo this broker's current address token.
    invalid_token as "unproven",
    /// Messages that were rejected because they were received before.
    replayed as "old",
    /// Messages that were rejected because they are addressed to another broker.
    wrong_recipient as "not_us",
    /// Messages that were rejected because their sender exceeds the limit on messages per second.
    rate_limited as "flood",
    /// Messages that were rejected because they exceed the limit on bodies or datagrams.
    too_large as "too_large",
    /// Messages that were rejected because too many names that are not configured are known.
    too_many_members as "full",
    /// Refusals that were received by datagram. If this counter grows, the key, name or version of this broker does not
    /// match the other brokers.
    refusals_received as "refused_us",
    /// Membership changes that the caller did not receive, because a later change of the same peer replaced them in the
    /// event queue.
    coalesced as "coalesced",
}

/// Adds one to a counter.
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

impl CounterCells {
    /// Increments the counter for the error with which a message was rejected.
    pub fn record_rejected(&self, error: &PeerError) {
        increment(match error {
            PeerError::Malformed { .. } | PeerError::Gossip { .. } => &self.malformed,
            PeerError::UnsupportedVersion { .. } => &self.unsupported_version,
            PeerError::UnverifiedSender { .. } => &self.unverified_sender,
            PeerError::AuthenticationFailed { .. } => &self.authentication_failed,
            PeerError::StaleIncarnation { .. } => &self.stale_incarnation,
            PeerError::InvalidToken { .. } => &self.invalid_token,
            PeerError::Replayed { .. } => &self.replayed,
            PeerError::WrongRecipient { .. } => &self.wrong_recipient,
            PeerError::RateLimited { .. } => &self.rate_limited,
            PeerError::TooLarge { .. } => &self.too_large,
            PeerError::TooManyMembers { .. } => &self.too_many_members,
            PeerError::Refused { .. } => &self.refusals_received,
            _ => return,
        });
    }

    /// Increments the counter for the outcome of a request of this broker.
    pub fn record_response(&self, result: &Result<Vec<u8>, PeerError>) {
        increment(match result {
            Ok(_) => &self.responses,
            Err(PeerError::Refused { .. }) => &self.refused_by_peer,
            Err(PeerError::Timeout { .. }) => &self.timed_out,
            Err(PeerError::Unreachable { .. }) => &self.unreachable,
            Err(PeerError::BackingOff { .. }) => &self.backed_off,
            Err(PeerError::ConnectionLost { .. }) => &self.connections_lost,
            Err(error) => return self.record_rejected(error),
        });
    }
}
