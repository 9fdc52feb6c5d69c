//! Sends the caller's requests and this broker's liveness checks to peers over pooled HTTP connections. Each has a
//! deadline. For the caller's requests, the number in flight to each peer is limited, and none is sent to a peer in
//! backoff, which follows a failure to reach the peer.

use crate::backoff::Backoff;
use crate::context::Context;
use crate::core::LivenessCheck;
use crate::counters::increment;
use crate::error::PeerError;
use crate::event_queue::CompletedRequest;
use crate::http::{CONTENT_TYPE, MAX_HEAD_BYTES, MESSAGE_OVERHEAD_BYTES};
use crate::messages::{Envelope, Message, MessageHeader, MessageType};
use crate::refusal::RefusalReason;
use crate::request_ids::RequestIds;
use crate::request_kind::RequestKind;
use crate::version::VersionRange;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::{Request, header};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Fraction of the idle timeout after which this broker closes an idle pooled connection, so that it does so before the
/// peer, which waits for the whole timeout.
const POOL_IDLE_RATIO: f64 = 0.5;

/// A request that [`Peers::request`](crate::Peers::request) accepted, or a liveness check.
pub(crate) struct OutboundRequest {
    pub id: u64,
    pub to: String,
    pub kind: RequestKind,
    pub body: Vec<u8>,
    pub timeout_seconds: f64,
    pub deadline: Instant,
}

/// A response that was verified to come from the peer to which the request was sent.
pub(crate) struct ReceivedResponse {
    /// Address to which the request was sent.
    pub address: SocketAddr,
    envelope: Envelope,
    header: MessageHeader,
    payload: Vec<u8>,
    /// Reservation of memory for the response's body.
    receive_permit: OwnedSemaphorePermit,
}

impl ReceivedResponse {
    pub fn message(&self) -> Message<'_> {
        Message { envelope: self.envelope, header: self.header.clone(), payload: &self.payload }
    }
}

/// The outcome of a liveness check.
pub(crate) struct LivenessOutcome {
    pub to: String,
    /// The verified response; `None` if the check failed or timed out.
    pub response: Option<ReceivedResponse>,
}

/// An encoded request, with the address to which it is sent.
struct EncodedRequest {
    address: SocketAddr,
    bytes: Vec<u8>,
}

/// The body of a response before it is decoded and verified.
struct RawResponse {
    bytes: Bytes,
    /// Reservation of memory for the body.
    receive_permit: OwnedSemaphorePermit,
}

/// The requests and connections to one peer.
struct PeerConnections {
    /// Number of requests to the peer that have not ended, including those that wait for a connection.
    in_flight: usize,
    /// One permit for each connection to the peer that may be in use at the same time.
    slots: Arc<Semaphore>,
    backoff: Backoff,
}

/// Sends requests to peers, within the limits on requests and connections per peer.
pub(crate) struct Client {
    context: Rc<Context>,
    http: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
    peers: RefCell<BTreeMap<String, PeerConnections>>,
    liveness_ids: RequestIds,
}

impl Client {
    pub fn new(context: Rc<Context>, liveness_ids: RequestIds) -> Client {
        let timing = &context.options.timing;
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs_f64(timing.connect_timeout_seconds)));
        let pool_idle_timeout = Duration::from_secs_f64(timing.idle_timeout_seconds * POOL_IDLE_RATIO);
        let http = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(pool_idle_timeout)
            .pool_max_idle_per_host(context.options.limits.max_connections_per_peer)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(connector);
        Client { context, http, peers: RefCell::default(), liveness_ids }
    }

    /// Sends the request in a separate task, which adds exactly one outcome to the event queue.
    pub fn send(self: &Rc<Self>, request: OutboundRequest) {
        let client = self.clone();
        tokio::task::spawn_local(async move {
            let deadline = tokio::time::Instant::from_std(request.deadline);
            let response = match tokio::time::timeout_at(deadline, client.send_queued(&request)).await {
                Ok(response) => response,
                Err(_) => {
                    let (to, timeout_seconds) = (request.to.clone(), request.timeout_seconds);
                    Err(PeerError::Timeout { to, timeout_seconds })
                }
            };
            let (result, receive_permit) = match response {
                Ok(response) => (Ok(response.payload), Some(response.receive_permit)),
                Err(error) => (Err(error), None),
            };
            client.context.shared.counters.record_response(&result);
            let (id, request_bytes) = (request.id, request.body.len());
            let completed = CompletedRequest { id, to: request.to, result, receive_permit, request_bytes };
            client.context.events.borrow_mut().push_response(completed);
        });
    }

    /// Sends a liveness check in a separate task, which sends exactly one outcome to `outcomes`. Backoff and the limits
    /// on requests and connections per peer do not apply to liveness checks, since at most one check of each peer is in
    /// flight.
    pub fn check_liveness(
        self: &Rc<Self>,
        check: LivenessCheck,
        outcomes: mpsc::UnboundedSender<LivenessOutcome>,
    ) {
        let client = self.clone();
        let counters = &self.context.shared.counters;
        increment(&counters.liveness_checks_sent);
        let id = self.liveness_ids.next();
        tokio::task::spawn_local(async move {
            let timeout = Duration::from_secs_f64(check.timeout_seconds);
            let request = OutboundRequest {
                id,
                to: check.to,
                kind: RequestKind::LivenessCheck,
                body: check.body,
                timeout_seconds: check.timeout_seconds,
                deadline: Instant::now() + timeout,
            };
            let response = tokio::time::timeout(timeout, client.send_with_retry(&request)).await;
            let response = response.ok().and_then(Result::ok);
            let _ = outcomes.send(LivenessOutcome { to: request.to, response });
        });
    }

    /// Waits until a connection to the peer is free, and sends the request. Fails if too many requests to the peer are
    /// in flight, or if the peer is in backoff.
    async fn send_queued(&self, request: &OutboundRequest) -> Result<ReceivedResponse, PeerError> {
        let limit = self.context.options.limits.max_requests_per_peer;
        let slots = self.with_peer(&request.to, |peer| {
            (peer.in_flight < limit).then(|| {
                peer.in_flight += 1;
                peer.slots.clone()
            })
        });
        let Some(slots) = slots else {
            return Err(PeerError::Busy { to: request.to.clone(), limit });
        };
        let _in_flight = InFlightGuard { client: self, to: &request.to };
        self.check_backoff(request)?;
        let _slot = slots.acquire().await.map_err(|_| PeerError::Stopped)?;
        // While this request waited for a connection, another one may have found the peer unreachable.
        self.check_backoff(request)?;
        let response = self.send_with_retry(request).await;
        let now = self.context.now();
        self.with_peer(&request.to, |peer| match &response {
            Err(PeerError::Unreachable { .. } | PeerError::ConnectionLost { .. }) => {
                peer.backoff.record_failure(now)
            }
            // A refusal also shows that the peer can be reached.
            Ok(_) | Err(PeerError::Refused { .. }) => peer.backoff.reset(),
            Err(_) => {}
        });
        response
    }

    /// Fails if the peer is in backoff.
    fn check_backoff(&self, request: &OutboundRequest) -> Result<(), PeerError> {
        let now = self.context.now();
        let wait_seconds = self.with_peer(&request.to, |peer| peer.backoff.remaining_seconds(now));
        if wait_seconds > 0.0 {
            return Err(PeerError::BackingOff { to: request.to.clone(), wait_seconds });
        }
        Ok(())
    }

    /// Sends the request, and retries it once if the refusal shows that a retry can succeed: with a new address token,
    /// a new sequence number or another protocol version. A peer that refuses a request for one of these reasons has
    /// not processed it, so the retry cannot process it twice.
    async fn send_with_retry(&self, request: &OutboundRequest) -> Result<ReceivedResponse, PeerError> {
        let token = || self.context.core.borrow().token_from(&request.to);
        let token_before = token();
        match self.send_once(request).await {
            Err(PeerError::Refused { to, reason }) => {
                let retry = match &reason {
                    RefusalReason::UnverifiedSender { .. } | RefusalReason::InvalidToken
                        if token() != token_before =>
                    {
                        true
                    }
                    // Too many requests with higher sequence numbers arrived at the peer before this one; the retry has
                    // a new number.
                    RefusalReason::Replayed => true,
                    reason => self.has_other_version(&to, reason),
                };
                if retry { self.send_once(request).await } else { Err(PeerError::Refused { to, reason }) }
            }
            result => result,
        }
    }

    /// Records the protocol versions that a refusal states. Returns whether the request can be retried in another
    /// version that both brokers support; `false` if the refusal states no versions.
    fn has_other_version(&self, to: &str, reason: &RefusalReason) -> bool {
        let range = match reason {
            RefusalReason::UnsupportedVersionV1 { supported, .. } => VersionRange::exactly(*supported),
            RefusalReason::UnsupportedVersion { supported, .. } => *supported,
            _ => return false,
        };
        self.context.core.borrow_mut().on_version_refused(to, range)
    }

    /// Sends the request, and receives and verifies the response.
    async fn send_once(&self, request: &OutboundRequest) -> Result<ReceivedResponse, PeerError> {
        let encoded = self.encode(request)?;
        let address = encoded.address;
        let raw = self.exchange(request, encoded).await?;
        self.verify_response(request, address, raw)
    }

    fn encode(&self, request: &OutboundRequest) -> Result<EncodedRequest, PeerError> {
        let OutboundRequest { id, to, kind, .. } = request;
        let remaining = request.deadline.saturating_duration_since(Instant::now()).as_millis();
        let timeout_ms = u32::try_from(remaining).unwrap_or(u32::MAX);
        let mut core = self.context.core.borrow_mut();
        let address = core.address(to).ok_or_else(|| PeerError::UnknownPeer { to: to.clone() })?;
        let message_type = MessageType::Request { id: *id, kind: (*kind).into(), timeout_ms };
        let (header, version) = (core.header_for(to, message_type), core.version_for(to));
        if version < kind.min_version() {
            return Err(PeerError::UnsupportedKind { to: to.clone(), path: kind.path(), version });
        }
        Ok(EncodedRequest { address, bytes: core.encode(version, &header, &request.body) })
    }

    /// Sends the encoded request over a pooled or new connection, and receives the response.
    async fn exchange(
        &self,
        request: &OutboundRequest,
        encoded: EncodedRequest,
    ) -> Result<RawResponse, PeerError> {
        let to = || request.to.clone();
        let EncodedRequest { address, bytes } = encoded;
        let http_request = Request::post(format!("http://{address}{}", request.kind.path()))
            .header(header::CONTENT_TYPE, CONTENT_TYPE)
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|_| PeerError::UnknownPeer { to: to() })?;
        let response = self.http.request(http_request).await.map_err(|error| {
            if error.is_connect() {
                PeerError::Unreachable { to: to(), address, reason: root_cause(&error) }
            } else {
                PeerError::ConnectionLost { to: to() }
            }
        })?;
        self.receive_body(request, response.into_body()).await
    }

    /// Receives the body of a response, after reserving memory for it.
    async fn receive_body(
        &self,
        request: &OutboundRequest,
        body: Incoming,
    ) -> Result<RawResponse, PeerError> {
        let to = || request.to.clone();
        let limits = &self.context.options.limits;
        let max_bytes = limits.max_body_bytes;
        // Every broker states the length of the body, so that memory can be reserved before the body is received.
        let size = body.size_hint().exact().ok_or_else(|| PeerError::Malformed { from: to() })?;
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > max_bytes + MESSAGE_OVERHEAD_BYTES {
            return Err(PeerError::TooLarge { to: to(), bytes: size, max_bytes });
        }
        let receive_permit = self
            .context
            .reserve_receive(size)
            .ok_or_else(|| PeerError::Busy { to: to(), limit: max_bytes })?;
        let received = Limited::new(body, max_bytes + MESSAGE_OVERHEAD_BYTES).collect().await;
        let bytes = received.map_err(|_| PeerError::ConnectionLost { to: to() })?.to_bytes();
        Ok(RawResponse { bytes, receive_permit })
    }

    /// Decodes a response, and checks that it was sent by the requested peer in response to `request`.
    fn verify_response(
        &self,
        request: &OutboundRequest,
        address: SocketAddr,
        raw: RawResponse,
    ) -> Result<ReceivedResponse, PeerError> {
        let to = || request.to.clone();
        let message = {
            let core = self.context.core.borrow();
            crate::codec::decode(&raw.bytes, core.authenticator(), &request.to, core.supported_versions())?
        };
        let Message { envelope, header, payload } = message;
        match &header.message_type {
            MessageType::Response { .. } if header.from.name != request.to => {
                Err(PeerError::UnverifiedSender { from: to(), name: header.from.name })
            }
            MessageType::Response { id } if *id == request.id && header.to == self.context.options.name => {
                let (payload, receive_permit) = (payload.to_vec(), raw.receive_permit);
                Ok(ReceivedResponse { address, envelope, header, payload, receive_permit })
            }
            // The refusal may come from a broker of another name, if that broker's address is configured for this peer.
            MessageType::Refusal { id } if *id == request.id || *id == 0 => {
                let reason =
                    postcard::from_bytes(payload).map_err(|_| PeerError::Malformed { from: to() })?;
                if reason == RefusalReason::InvalidToken && header.from.name == request.to {
                    self.context.core.borrow_mut().on_token_refusal(&envelope, &header, address);
                }
                Err(PeerError::Refused { to: to(), reason })
            }
            _ => Err(PeerError::Malformed { from: to() }),
        }
    }

    /// Calls `act` with the state of the peer `name`, which is created if it is missing.
    fn with_peer<T>(&self, name: &str, act: impl FnOnce(&mut PeerConnections) -> T) -> T {
        let mut peers = self.peers.borrow_mut();
        if !peers.contains_key(name) {
            // Peers without a known address and without requests in flight are removed whenever a peer is added, so
            // that the number of entries stays bounded.
            let core = self.context.core.borrow();
            peers.retain(|name, peer| peer.in_flight > 0 || core.address(name).is_some());
            peers.insert(name.into(), self.new_peer(name));
        }
        act(peers.get_mut(name).expect("the entry was inserted above if it was missing"))
    }

    fn new_peer(&self, name: &str) -> PeerConnections {
        let (limits, timing) = (&self.context.options.limits, &self.context.options.timing);
        let seed = self.context.options.seed ^ name_seed(name);
        PeerConnections {
            in_flight: 0,
            slots: Arc::new(Semaphore::new(limits.max_connections_per_peer)),
            backoff: Backoff::new(timing.initial_backoff_seconds, timing.max_backoff_seconds, seed),
        }
    }
}

/// Derives a seed for random numbers from a peer's name, so that the backoffs from several peers do not run in
/// lockstep.
fn name_seed(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a BLAKE3 hash has 32 bytes"))
}

/// Returns the text of the innermost error, which is the operating system's message.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut error = error;
    while let Some(source) = error.source() {
        error = source;
    }
    error.to_string()
}

/// Decrements the number of requests in flight to a peer when dropped, however the request ends.
struct InFlightGuard<'a> {
    client: &'a Client,
    to: &'a str,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.client.with_peer(self.to, |peer| peer.in_flight = peer.in_flight.saturating_sub(1));
    }
}
