//! Counters since the start of the process. The names under which they are printed are part of the operators' pages and
//! must not change.

use crate::error::PeerError;
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident as $printed:literal,)*) => {
        /// The values of the counters since the start, which never decrease.
        #[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct Counters { $($(#[$doc])* #[serde(rename = $printed)] pub $field: u64,)* }

        /// The counters as the thread writes them.
        #[derive(Default)]
        pub(crate) struct CounterCells { $(pub $field: AtomicU64,)* }

        impl Counters {
            /// All counters with the names under which they are printed.
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                vec![$(($printed, self.$field),)*]
            }
        }

        impl CounterCells {
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
    /// Own requests that were accepted; the next counters state how they ended.
    requests_sent as "asks",
    /// Own requests with a response.
    responses as "answered",
    /// Own requests that the peer refused.
    refused_by_peer as "refused_by_peer",
    /// Own requests without a response before the deadline.
    timed_out as "late",
    /// Own requests to peers that could not be reached.
    unreachable as "unreachable",
    /// Own requests whose connection was lost.
    connections_lost as "broken",
    /// Own requests that ended at once because the peer is in backoff.
    backed_off as "rested",
    /// Own requests that were not accepted, because there were too many or they were too large.
    requests_rejected as "not_taken",
    /// Requests of peers that the caller received.
    requests_received as "asked",
    /// Requests of peers that were refused because a limit was reached.
    requests_shed as "asked_busy",
    /// Suspected members that were sent a liveness check.
    liveness_checks_sent as "signs",
    /// Liveness checks with a response.
    liveness_checks_passed as "signs_came",
    /// Liveness checks of peers that were answered.
    liveness_checks_answered as "signs_given",
    /// Connections from peers.
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
    /// Messages that were rejected because they are from an earlier incarnation.
    stale_incarnation as "stale",
    /// Messages that were rejected because they do not echo this broker's current address token.
    invalid_token as "unproven",
    /// Messages that were rejected because they were received before.
    replayed as "old",
    /// Messages that were rejected because they are for another broker.
    wrong_recipient as "not_us",
    /// Messages that were rejected because their sender exceeds its rate.
    rate_limited as "flood",
    /// Messages that were rejected because they are larger than the limit.
    too_large as "too_large",
    /// Messages that were rejected because the member table is full.
    too_many_members as "full",
    /// Refusals received by datagram. If this grows, this broker's key, name or version differs from that of the
    /// others.
    refusals_received as "refused_us",
    /// Membership changes that the caller did not receive, because a later change of the same name replaced them in the
    /// queue.
    coalesced as "coalesced",
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

impl CounterCells {
    /// Counts a message that was rejected.
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

    /// Counts the end of an own request.
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
