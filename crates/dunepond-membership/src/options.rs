//! What the membership is configured with, and the check of it.

use crate::codec::MAX_OVERHEAD_BYTES;
use crate::error::PeerError;
use crate::version::VersionRange;
use std::net::SocketAddr;

/// The largest datagram that the limits may allow: UDP's own limit, less headers.
const MAX_UDP_PAYLOAD_BYTES: usize = 65_000;
/// No duration may be this long or longer.
const DURATION_BOUND_SECONDS: f64 = 1e6;

/// Limits on concurrent work, queues and sizes. What exceeds one is refused with a typed error.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of one request's or response's body.
    pub max_body_bytes: usize,
    /// Bytes of one datagram, header and authentication code included.
    pub max_datagram_bytes: usize,
    /// Requests of this broker in flight, over all peers.
    pub max_requests: usize,
    /// Requests of this broker in flight to one peer.
    pub max_requests_per_peer: usize,
    /// Connections to one peer; each carries one request at a time.
    pub max_connections_per_peer: usize,
    /// Connections from peers.
    pub max_incoming_connections: usize,
    /// Requests of peers that the caller has not responded to, over all peers.
    pub max_pending_requests: usize,
    /// Requests of one peer that the caller has not responded to.
    pub max_pending_requests_per_peer: usize,
    /// Events that wait for the caller.
    pub max_queued_events: usize,
    /// Names in the member table beyond the configured ones, those that are down included.
    pub max_members: usize,
    /// Bytes of bodies being received, and of events that wait for the caller.
    pub max_receive_bytes: usize,
    /// Bytes of this broker's requests in flight.
    pub max_send_bytes: usize,
    /// Datagrams a second from one peer.
    pub max_datagrams_per_second: u32,
    /// Requests a second from one peer.
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

/// Intervals and timeouts.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// One member is probed this often.
    pub probe_interval_seconds: f64,
    /// A probed member has this long to answer before others are asked to probe it.
    pub probe_timeout_seconds: f64,
    /// A suspected member has this long to refute the suspicion.
    pub suspicion_timeout_seconds: f64,
    /// Configured peers that are not members are announced to this often.
    pub announce_interval_seconds: f64,
    /// A gap this long between two ticks means that this process was stalled: timers that wait for others are extended by the gap.
    pub stall_threshold_seconds: f64,
    /// A connection must be open within this time.
    pub connect_timeout_seconds: f64,
    /// The backoff after the first failed connection, doubling with jitter.
    pub initial_backoff_seconds: f64,
    /// The longest backoff.
    pub max_backoff_seconds: f64,
    /// A new connection must have brought a verified request within this time.
    pub first_request_timeout_seconds: f64,
    /// A connection without a request is closed after this time.
    pub idle_timeout_seconds: f64,
    /// Receiving a body, and each write of a response, may take this long.
    pub transfer_timeout_seconds: f64,
    /// No request may wait longer, whoever sends it.
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

/// What the membership is started with.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// This broker's name.
    pub name: String,
    /// Must grow with each start under the same name: the greater incarnation wins.
    pub incarnation: u64,
    /// Where to listen, UDP and TCP on one port; port 0 takes a free one.
    pub listen_address: SocketAddr,
    /// Configured names with the address to send to, which may be a relay's and is never replaced by what peers say. This broker's own name
    /// may be among them.
    pub known_peers: Vec<(String, SocketAddr)>,
    /// Seeds the random choices.
    pub seed: u64,
    /// The fleet's shared secret, 16 bytes or more. With it each message is authenticated and addresses prove nothing; without it a
    /// configured name must send from its configured address, so no relay can stand between.
    pub key: Option<String>,
    /// The protocol versions to speak; fewer than all lets a newer program stand in for an older one.
    pub supported_versions: VersionRange,
    /// Limits on work and sizes.
    pub limits: Limits,
    /// Intervals and timeouts.
    pub timing: Timing,
}

impl MembershipOptions {
    /// Options without a key, with default limits and timing.
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

    /// Refuses limits and timing that cannot work, naming the first such option.
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
