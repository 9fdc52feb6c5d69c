//! The handle for callers, which starts the membership's thread and passes requests to it through bounded queues
//! without ever blocking a caller.

use crate::client::OutboundRequest;
use crate::core::Core;
use crate::counters::{Counters, increment};
use crate::error::PeerError;
use crate::event::{Event, Responder};
use crate::event_loop::{EventLoop, run};
use crate::identity::Peer;
use crate::options::MembershipOptions;
use crate::refusal::RefusalReason;
use crate::request_ids::RequestIds;
use crate::request_kind::RequestKind;
use crate::shared::Shared;
use crate::sockets::{BoundSockets, bind};
use crossbeam_channel::Receiver;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

const THREAD_NAME: &str = "peers";

/// Handle of a running membership. All methods except [`Peers::stop`] return without blocking.
pub struct Peers {
    shared: Arc<Shared>,
    requests: mpsc::Sender<OutboundRequest>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
    request_ids: RequestIds,
    local_addr: SocketAddr,
    max_request_timeout_seconds: f64,
}

/// Binds the sockets and starts the membership. Returns its handle and the channel of its events.
pub fn start(options: MembershipOptions) -> Result<(Peers, Receiver<Event>), PeerError> {
    start_on(bind(options.listen_address)?, options)
}

/// Starts the membership on sockets that are already bound; `options.listen_address` is ignored. Returns its handle and
/// the channel of its events.
pub fn start_on(
    sockets: BoundSockets,
    mut options: MembershipOptions,
) -> Result<(Peers, Receiver<Event>), PeerError> {
    let local_addr = sockets.local_addr();
    options.listen_address = local_addr;
    let core = Core::new(&options, random_bytes()?, 0.0)?;
    let shared = Arc::new(Shared::new(&options.limits));
    let (requests, accepted_requests) = mpsc::channel(options.limits.max_requests);
    let (events, received_events) = crossbeam_channel::bounded(options.limits.max_queued_events);
    let (stop, stopped) = watch::channel(false);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build();
    let runtime = runtime.map_err(thread_error)?;
    let max_request_timeout_seconds = options.timing.max_request_timeout_seconds;
    let event_loop = EventLoop {
        sockets,
        options,
        core,
        shared: shared.clone(),
        requests: accepted_requests,
        events,
        stopped,
        liveness_ids: RequestIds::for_liveness_checks()?,
    };
    let main = move || tokio::task::LocalSet::new().block_on(&runtime, run(event_loop));
    let thread = std::thread::Builder::new().name(THREAD_NAME.into()).spawn(main).map_err(thread_error)?;
    let peers = Peers {
        shared,
        requests,
        stop,
        thread: Some(thread),
        request_ids: RequestIds::for_requests()?,
        local_addr,
        max_request_timeout_seconds,
    };
    Ok((peers, received_events))
}

fn thread_error(error: impl std::fmt::Display) -> PeerError {
    PeerError::Thread { reason: error.to_string() }
}

fn random_bytes<const COUNT: usize>() -> Result<[u8; COUNT], PeerError> {
    let mut bytes = [0; COUNT];
    getrandom::fill(&mut bytes).map_err(thread_error)?;
    Ok(bytes)
}

/// Adds `amount` unless the sum exceeds `limit`.
fn try_add(total: &AtomicUsize, amount: usize, limit: usize) -> bool {
    let add = |total: usize| Some(total + amount).filter(|sum| *sum <= limit);
    total.fetch_update(Relaxed, Relaxed, add).is_ok()
}

impl Peers {
    /// Returns the address on which this broker listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Sends a request to `to`, the name of a configured peer or a member, with a timeout in seconds. Returns the id of
    /// the request; exactly one [`Event::Response`] with this id follows. If this method returns an error, no event
    /// follows.
    pub fn request(
        &self,
        to: &str,
        kind: RequestKind,
        body: Vec<u8>,
        timeout_seconds: f64,
    ) -> Result<u64, PeerError> {
        let accepted = self.submit(to, kind, body, timeout_seconds);
        let counters = &self.shared.counters;
        increment(if accepted.is_ok() { &counters.requests_sent } else { &counters.requests_rejected });
        accepted
    }

    /// Checks the limits, and passes the request to the membership's thread.
    fn submit(
        &self,
        to: &str,
        kind: RequestKind,
        body: Vec<u8>,
        timeout_seconds: f64,
    ) -> Result<u64, PeerError> {
        let limits = &self.shared.limits;
        let (to, bytes) = (to.to_string(), body.len());
        if bytes > limits.max_body_bytes {
            return Err(PeerError::TooLarge { to, bytes, max_bytes: limits.max_body_bytes });
        }
        if !try_add(&self.shared.requests_in_flight, 1, limits.max_requests) {
            return Err(PeerError::Busy { to, limit: limits.max_requests });
        }
        if !try_add(&self.shared.send_bytes_in_flight, bytes, limits.max_send_bytes) {
            self.shared.requests_in_flight.fetch_sub(1, Relaxed);
            return Err(PeerError::Busy { to, limit: limits.max_requests });
        }
        let id = self.request_ids.next();
        // A timeout of NaN counts as zero.
        let timeout_seconds =
            if timeout_seconds > 0.0 { timeout_seconds.min(self.max_request_timeout_seconds) } else { 0.0 };
        let deadline = Instant::now() + Duration::from_secs_f64(timeout_seconds);
        let request = OutboundRequest { id, to, kind, body, timeout_seconds, deadline };
        self.requests.try_send(request).map_err(|_| {
            self.shared.requests_in_flight.fetch_sub(1, Relaxed);
            self.shared.send_bytes_in_flight.fetch_sub(bytes, Relaxed);
            PeerError::Stopped
        })?;
        Ok(id)
    }

    /// Responds to a peer's request. After the request's deadline the response is dropped; a body above the limit is
    /// replaced by [`RefusalReason::TooLarge`].
    pub fn respond(&self, responder: Responder, result: Result<Vec<u8>, RefusalReason>) {
        let max_bytes = self.shared.limits.max_body_bytes;
        let result = match result {
            Ok(body) if body.len() > max_bytes => {
                Err(RefusalReason::TooLarge { max_bytes: max_bytes as u64 })
            }
            other => other,
        };
        let _ = responder.0.send(result);
    }

    /// Returns all members in the order of their names, including those that went down recently.
    pub fn members(&self) -> Vec<Peer> {
        self.shared.members.load().to_vec()
    }

    /// Returns the current values of the counters.
    pub fn counters(&self) -> Counters {
        self.shared.counters.read()
    }

    /// Notifies the members that this broker leaves, and waits until the membership's thread has ended, which takes
    /// some milliseconds. No event follows for requests in flight.
    pub fn stop(mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}
