//! The options of the membership, and their validation.

use crate::codec::MAX_OVERHEAD_BYTES;
use crate::error::PeerError;
use crate::version::VersionRange;
use std::net::SocketAddr;

/// Largest value of [`Limits::max_datagram_bytes`], slightly below the largest payload of a UDP datagram.
const MAX_UDP_PAYLOAD_BYTES: usize = 65_000;
/// Exclusive upper bound of all durations, in seconds.
const DURATION_BOUND_SECONDS: f64 = 1e6;

/// Limits on concurrent work, queues and sizes. Whatever exceeds a limit is refused with a typed error.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest size of the body of one request or response, in bytes.
    pub max_body_bytes: usize,
    /// Largest size of one datagram in bytes, including header and authentication code.
    pub max_datagram_bytes: usize,
    /// Largest number of this broker's requests in flight, over all peers.
    pub max_requests: usize,
    /// Largest number of this broker's requests in flight to one peer.
    pub max_requests_per_peer: usize,
    /// Largest number of connections to one peer; each connection carries one request at a time.
    pub max_connections_per_peer: usize,
    /// Largest number of connections from peers.
    pub max_incoming_connections: usize,
    /// Largest number of requests of all peers together that were passed to the caller (the code that uses this crate)
    /// and that it has not answered yet.
    pub max_pending_requests: usize,
    /// Largest number of requests of one peer that were passed to the caller (the code that uses this crate) and that it
    /// has not answered yet.
    pub max_pending_requests_per_peer: usize,
    /// Largest number of events that wait for the caller.
    pub max_queued_events: usize,
    /// Largest number of members that are not configured peers, including those that are down.
    pub max_members: usize,
    /// Largest total size of all bodies that are being received, in bytes; the same limit applies separately to the
    /// total size of the bodies in all events that wait for the caller.
    pub max_receive_bytes: usize,
    /// Largest total size of the bodies of this broker's requests in flight, in bytes.
    pub max_send_bytes: usize,
    /// Largest number of datagrams per second from one peer.
    pub max_datagrams_per_second: u32,
    /// Largest number of requests per second from one peer.
    pub max_requests_per_second: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_body_bytes: 4 << 20,
            max_datagram_bytes: 1400,
            max_requests: 512,
            max_requests_per_peer: 64,
            max_connections_per_peer: 4,
            max_incoming_connections: 128,
            max_pending_requests: 256,
            max_pending_requests_per_peer: 64,
            max_queued_events: 1024,
            max_members: 256,
            max_receive_bytes: 32 << 20,
            max_send_bytes: 32 << 20,
            max_datagrams_per_second: 400,
            max_requests_per_second: 2000,
        }
    }
}

/// Intervals and timeouts, in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Interval at which this broker probes one member, in seconds.
    pub probe_interval_seconds: f64,
    /// Time within which a probed member must answer, in seconds; otherwise other members are asked to probe it.
    pub probe_timeout_seconds: f64,
    /// Time for which a suspected member may refute the suspicion before it is declared down, in seconds.
    pub suspicion_timeout_seconds: f64,
    /// Interval of announcements (requests to join) to configured peers that are not members, in seconds.
    pub announce_interval_seconds: f64,
    /// Gap between two updates of the core's clock above which this process counts as stalled, in seconds; all timers
    /// of the gossip protocol are then postponed by the length of the gap.
    pub stall_threshold_seconds: f64,
    /// Timeout for opening a connection, in seconds.
    pub connect_timeout_seconds: f64,
    /// Backoff after the first failure to reach a peer, in seconds; it doubles with each further failure, with jitter.
    pub initial_backoff_seconds: f64,
    /// Longest backoff, in seconds.
    pub max_backoff_seconds: f64,
    /// Time within which a new connection must deliver a verified request, in seconds; otherwise it is closed.
    pub first_request_timeout_seconds: f64,
    /// Time for which a connection without a request stays open, in seconds.
    pub idle_timeout_seconds: f64,
    /// Timeout for receiving the body of a peer's request, and for each write of a response, in seconds.
    pub transfer_timeout_seconds: f64,
    /// Longest timeout of a request, whether this broker or a peer sends it, in seconds; longer timeouts are reduced to
    /// this value.
    pub max_request_timeout_seconds: f64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            probe_interval_seconds: 1.0,
            probe_timeout_seconds: 0.4,
            suspicion_timeout_seconds: 3.0,
            announce_interval_seconds: 1.0,
            stall_threshold_seconds: 1.0,
            connect_timeout_seconds: 1.0,
            initial_backoff_seconds: 0.05,
            max_backoff_seconds: 1.0,
            first_request_timeout_seconds: 2.0,
            idle_timeout_seconds: 60.0,
            transfer_timeout_seconds: 5.0,
            max_request_timeout_seconds: 30.0,
        }
    }
}

/// The options with which the membership is started.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// Name of this broker.
    pub name: String,
    /// Incarnation of this broker, which must increase with each start under the same name: members replace the earlier
    /// incarnation by the greater one.
    pub incarnation: u64,
    /// Address on which to listen, with UDP and TCP on one port; port 0 selects a free one.
    pub listen_address: SocketAddr,
    /// Configured peers: names, with the addresses to which messages are sent. An address may be that of a relay, and
    /// is never replaced by the address that a peer states. This broker's own name may be among the names, and is
    /// ignored.
    pub known_peers: Vec<(String, SocketAddr)>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// The fleet's shared secret of 16 bytes or more. With a key, each message is authenticated, and its source address
    /// is not checked; without a key, a configured peer must send from its configured address, which excludes relays
    /// between brokers.
    pub key: Option<String>,
    /// The protocol versions that this broker supports; with a smaller range than [`VersionRange::SUPPORTED`], the
    /// broker acts as an older release.
    pub supported_versions: VersionRange,
    /// Limits on concurrent work, queues and sizes.
    pub limits: Limits,
    /// Intervals and timeouts.
    pub timing: Timing,
}

impl MembershipOptions {
    /// Creates options without a key, with default limits and timing.
    pub fn new(
        name: &str,
        incarnation: u64,
        listen_address: SocketAddr,
        known_peers: Vec<(String, SocketAddr)>,
        seed: u64,
    ) -> MembershipOptions {
        MembershipOptions {
            name: name.into(),
            incarnation,
            listen_address,
            known_peers,
            seed,
            key: None,
            supported_versions: VersionRange::SUPPORTED,
            limits: Limits::default(),
            timing: Timing::default(),
        }
    }

    /// Checks limits and timing. The error names the first option with an invalid value.
    pub(crate) fn check(&self) -> Result<(), PeerError> {
        self.limits.check()?;
        self.timing.check()
    }
}

fn invalid(option: &'static str, value: f64) -> Result<(), PeerError> {
    Err(PeerError::InvalidOption { option, value })
}

impl Limits {
    fn check(&self) -> Result<(), PeerError> {
        for (option, value) in [
            ("max_body_bytes", self.max_body_bytes),
            ("max_requests", self.max_requests),
            ("max_requests_per_peer", self.max_requests_per_peer),
            ("max_connections_per_peer", self.max_connections_per_peer),
            ("max_incoming_connections", self.max_incoming_connections),
            ("max_pending_requests", self.max_pending_requests),
            ("max_pending_requests_per_peer", self.max_pending_requests_per_peer),
            ("max_queued_events", self.max_queued_events),
            ("max_members", self.max_members),
        ] {
            if value == 0 {
                return invalid(option, 0.0);
            }
        }
        let datagram = self.max_datagram_bytes;
        if datagram <= 2 * MAX_OVERHEAD_BYTES || datagram > MAX_UDP_PAYLOAD_BYTES {
            return invalid("max_datagram_bytes", datagram as f64);
        }
        if self.max_receive_bytes < self.max_body_bytes {
            return invalid("max_receive_bytes", self.max_receive_bytes as f64);
        }
        if self.max_send_bytes < self.max_body_bytes {
            return invalid("max_send_bytes", self.max_send_bytes as f64);
        }
        Ok(())
    }
}

impl Timing {
    fn check(&self) -> Result<(), PeerError> {
        for (option, value) in [
            ("probe_interval_seconds", self.probe_interval_seconds),
            ("probe_timeout_seconds", self.probe_timeout_seconds),
            ("suspicion_timeout_seconds", self.suspicion_timeout_seconds),
            ("announce_interval_seconds", self.announce_interval_seconds),
            ("stall_threshold_seconds", self.stall_threshold_seconds),
            ("connect_timeout_seconds", self.connect_timeout_seconds),
            ("initial_backoff_seconds", self.initial_backoff_seconds),
            ("max_backoff_seconds", self.max_backoff_seconds),
            ("first_request_timeout_seconds", self.first_request_timeout_seconds),
            ("idle_timeout_seconds", self.idle_timeout_seconds),
            ("transfer_timeout_seconds", self.transfer_timeout_seconds),
            ("max_request_timeout_seconds", self.max_request_timeout_seconds),
        ] {
            if !(value > 0.0 && value < DURATION_BOUND_SECONDS) {
                return invalid(option, value);
            }
        }
        if self.probe_timeout_seconds >= self.probe_interval_seconds {
            return invalid("probe_timeout_seconds", self.probe_timeout_seconds);
        }
        if self.initial_backoff_seconds > self.max_backoff_seconds {
            return invalid("initial_backoff_seconds", self.initial_backoff_seconds);
        }
        Ok(())
    }
}
