//! The handling of one request of a peer: the request is received, verified, passed to the caller and answered. Each
//! phase can fail with a typed error, from which the refusal to the peer is derived.

use super::response::ResponseTarget;
use super::{Connection, Server};
use crate::codec::decode;
use crate::counters::increment;
use crate::error::PeerError;
use crate::event::Responder;
use crate::http::MESSAGE_OVERHEAD_BYTES;
use crate::messages::{Envelope, MessageHeader, MessageType};
use crate::refusal::RefusalReason;
use crate::request_kind::{KindCode, RequestKind};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::{Method, Request, Response};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, oneshot};

const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// The received body of a request, with the HTTP path of the request and the reservation of memory for the body.
struct ReceivedBody {
    path: String,
    bytes: Bytes,
    receive_permit: OwnedSemaphorePermit,
}

/// A decoded request.
struct DecodedRequest<'a> {
    envelope: Envelope,
    header: MessageHeader,
    id: u64,
    code: KindCode,
    timeout_ms: u32,
    payload: &'a [u8],
}

/// Counts a request of the peer `name` as pending, that is, passed to the caller without a response yet, until this
/// guard is dropped.
struct PendingGuard {
    server: Rc<Server>,
    name: String,
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        let mut pending = self.server.pending.borrow_mut();
        if let Some(count) = pending.get_mut(&self.name) {
            *count -= 1;
            if *count == 0 {
                pending.remove(&self.name);
            }
        }
    }
}

impl Server {
    /// Handles a request, and returns the response or refusal.
    pub(super) async fn handle(
        self: &Rc<Self>,
        request: Request<Incoming>,
        source: SocketAddr,
        connection: &Connection,
    ) -> Response<Full<Bytes>> {
        let mut target = ResponseTarget::default();
        match self.process(request, source, connection, &mut target).await {
            Ok(body) => self.respond(&target, Ok(body)),
            Err(error) => {
                self.count_failure(&error);
                let reason = error.refusal(&self.context.options.name);
                self.respond(&target, Err(reason.unwrap_or(RefusalReason::NoResponse)))
            }
        }
    }

    /// Increments the counter for the error with which a request failed, if there is one.
    fn count_failure(&self, error: &PeerError) {
        match error {
            PeerError::Refused { reason: RefusalReason::Busy, .. } | PeerError::Busy { .. } => {
                increment(&self.context.shared.counters.requests_shed)
            }
            // Not counted: the caller refused the request or did not respond, or the body was not received in time.
            PeerError::Refused { .. } | PeerError::Timeout { .. } => {}
            rejected => self.context.report_rejected(rejected),
        }
    }

    /// Runs all phases of a request, and returns the response's body. `target` is filled in as soon as the request's
    /// version and sender are known, so that a refusal can be encoded in a form that the peer reads.
    async fn process(
        self: &Rc<Self>,
        request: Request<Incoming>,
        source: SocketAddr,
        connection: &Connection,
        target: &mut ResponseTarget,
    ) -> Result<Vec<u8>, PeerError> {
        // The memory stays reserved until the response is available.
        let ReceivedBody { path, bytes, receive_permit: _receive_permit } =
            self.receive_body(request, source).await?;
        target.version = self.context.core.borrow().response_version(&bytes);
        let request = self.decode_request(&path, &bytes, source)?;
        (target.name, target.request_id) = (request.header.from.name.clone(), request.id);
        self.verify(&request, source, connection)?;
        let kind = self.supported_kind(request.code)?;
        if kind == RequestKind::LivenessCheck {
            return self.answer_liveness_check(&request);
        }
        let _pending = self.reserve_pending(&request.header.from.name)?;
        let (from, timeout_ms) = (request.header.from.name, request.timeout_ms);
        let payload = request.payload.to_vec();
        drop(bytes);
        let response = self.pass_to_caller(from, kind, payload)?;
        self.await_response(response, timeout_ms).await
    }

    /// Receives the body of a request, after reserving memory for it.
    async fn receive_body(
        &self,
        request: Request<Incoming>,
        source: SocketAddr,
    ) -> Result<ReceivedBody, PeerError> {
        let malformed = || PeerError::Malformed { from: source.to_string() };
        let to = || self.context.options.name.clone();
        let max_bytes = self.context.options.limits.max_body_bytes;
        if request.method() != Method::POST {
            return Err(malformed());
        }
        let path = request.uri().path().to_string();
        let body = request.into_body();
        let size = body.size_hint().exact().ok_or_else(malformed)?;
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > max_bytes + MESSAGE_OVERHEAD_BYTES {
            return Err(PeerError::TooLarge { to: to(), bytes: size, max_bytes });
        }
        let receive_permit = self.context.reserve_receive(size).ok_or_else(|| PeerError::Busy {
            to: to(),
            limit: self.context.options.limits.max_receive_bytes,
        })?;
        let received = Limited::new(body, max_bytes + MESSAGE_OVERHEAD_BYTES).collect();
        let timeout_seconds = self.context.options.timing.transfer_timeout_seconds;
        let bytes = tokio::time::timeout(Duration::from_secs_f64(timeout_seconds), received)
            .await
            .map_err(|_| PeerError::Timeout { to: to(), timeout_seconds })?
            .map_err(|_| malformed())?
            .to_bytes();
        Ok(ReceivedBody { path, bytes, receive_permit })
    }

    /// Decodes a request, whose kind must match the HTTP path.
    fn decode_request<'a>(
        &self,
        path: &str,
        bytes: &'a [u8],
        source: SocketAddr,
    ) -> Result<DecodedRequest<'a>, PeerError> {
        let malformed = || PeerError::Malformed { from: source.to_string() };
        let core = self.context.core.borrow();
        let message = decode(bytes, core.authenticator(), &source.to_string(), core.supported_versions())?;
        let MessageType::Request { id, kind: code, timeout_ms } = message.header.message_type else {
            return Err(malformed());
        };
        if code.kind() != RequestKind::from_path(path) {
            return Err(malformed());
        }
        let (envelope, header, payload) = (message.envelope, message.header, message.payload);
        Ok(DecodedRequest { envelope, header, id, code, timeout_ms, payload })
    }

    /// Checks that the request is from a verified sender, and addressed to this broker.
    fn verify(
        &self,
        request: &DecodedRequest<'_>,
        source: SocketAddr,
        connection: &Connection,
    ) -> Result<(), PeerError> {
        let now = self.context.now();
        let header = &request.header;
        self.context.core.borrow_mut().authenticate_request(now, &request.envelope, header, source)?;
        connection.verified.set(true);
        if header.to != self.context.options.name {
            return Err(PeerError::WrongRecipient { to: header.to.clone() });
        }
        Ok(())
    }

    /// Returns the kind of a request, or a refusal if this broker does not know the kind. A newer broker may send such
    /// a request, and continues without requests of this kind after the refusal.
    fn supported_kind(&self, code: KindCode) -> Result<RequestKind, PeerError> {
        let supported = self.context.core.borrow().supported_versions();
        let kind = code.kind().filter(|kind| kind.min_version() <= supported.max);
        kind.ok_or_else(|| self.refused(RefusalReason::UnknownKind { kind: code.0 }))
    }

    /// Answers a liveness check without passing it to the caller, and returns the response's body.
    fn answer_liveness_check(&self, request: &DecodedRequest<'_>) -> Result<Vec<u8>, PeerError> {
        let answered = self.context.core.borrow_mut().answer_liveness_check(&request.header, request.payload);
        let (body, actions) = answered?;
        self.context.apply(actions);
        increment(&self.context.shared.counters.liveness_checks_answered);
        Ok(body)
    }

    /// Counts a request of the peer `name` as pending, or fails if a limit on pending requests is reached.
    fn reserve_pending(self: &Rc<Self>, name: &str) -> Result<PendingGuard, PeerError> {
        let limits = &self.context.options.limits;
        let mut pending = self.pending.borrow_mut();
        let total: usize = pending.values().sum();
        let peer_count = pending.get(name).copied().unwrap_or(0);
        if total >= limits.max_pending_requests || peer_count >= limits.max_pending_requests_per_peer {
            let to = self.context.options.name.clone();
            return Err(PeerError::Busy { to, limit: limits.max_pending_requests });
        }
        pending.insert(name.into(), peer_count + 1);
        Ok(PendingGuard { server: self.clone(), name: name.into() })
    }

    /// Sends a request to the caller, and returns the channel on which the response arrives.
    fn pass_to_caller(
        &self,
        from: String,
        kind: RequestKind,
        payload: Vec<u8>,
    ) -> Result<oneshot::Receiver<Result<Vec<u8>, RefusalReason>>, PeerError> {
        let (sender, receiver) = oneshot::channel();
        let pushed = self.context.events.borrow_mut().push_request(from, kind, payload, Responder(sender));
        pushed.map_err(|reason| self.refused(reason))?;
        increment(&self.context.shared.counters.requests_received);
        Ok(receiver)
    }

    /// Waits until the request's deadline for the response to the peer, which the caller (the code that uses this
    /// crate) gives.
    async fn await_response(
        &self,
        response: oneshot::Receiver<Result<Vec<u8>, RefusalReason>>,
        timeout_ms: u32,
    ) -> Result<Vec<u8>, PeerError> {
        let max_seconds = self.context.options.timing.max_request_timeout_seconds;
        let timeout_seconds = (f64::from(timeout_ms) / MILLISECONDS_PER_SECOND).min(max_seconds);
        match tokio::time::timeout(Duration::from_secs_f64(timeout_seconds), response).await {
            Ok(Ok(result)) => result.map_err(|reason| self.refused(reason)),
            Ok(Err(_)) => Err(self.refused(RefusalReason::NoResponse)),
            Err(_) => Err(PeerError::Timeout { to: self.context.options.name.clone(), timeout_seconds }),
        }
    }

    fn refused(&self, reason: RefusalReason) -> PeerError {
        PeerError::Refused { to: self.context.options.name.clone(), reason }
    }
}
