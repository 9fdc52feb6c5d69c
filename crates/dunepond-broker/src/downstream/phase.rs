//! The phases of a client connection. A connection serves one request after the other until one of its responses is the last.
//! From then on it has no request, so that nothing that stands in the stream behind the last response can be taken for one, and
//! there is no way back.

use std::rc::Rc;

use dunepond_routing::QueryId;

use crate::body::Body;
use crate::http::Message;
use crate::query_request::QueryRequest;

/// What a connection is doing with its current request.
pub(super) enum RequestPhase {
    /// Between requests, or inside a head.
    ReadingHead,
    /// Inside the body of a request that is not streamed.
    ReadingBody(Box<Message>),
    /// Behind the head of a streamed request whose body is not accepted yet.
    AwaitingBody,
    /// Inside the body of a streamed request, or waiting for the body to be buffered.
    StreamingBody(Box<StreamedRequest>),
    /// The request cannot be read to its end, so that nobody knows where the next one begins. It has no response yet.
    Unreadable,
    /// A complete request has been read, but has neither a response nor a query id yet.
    AwaitingAdmission,
    /// The request is in flight under this id.
    InFlight(QueryId),
}

impl RequestPhase {
    /// Whether all of the request has been read, so that the next one begins behind it.
    pub(super) fn is_read_whole(&self) -> bool {
        matches!(self, Self::AwaitingAdmission | Self::InFlight(_))
    }
}

/// A request whose body is streamed.
pub(super) struct StreamedRequest {
    /// The state of parsing the request.
    pub(super) message: Message,
    /// The body that the received bytes are appended to.
    pub(super) body: Rc<Body>,
    /// The validated request; `None` once its query has started.
    pub(super) request: Option<QueryRequest>,
    /// The id of the request's query; `None` until the query has started.
    pub(super) query: Option<QueryId>,
    /// Whether the whole body has arrived.
    pub(super) body_complete: bool,
}

/// How far the end of a connection has come. What still arrives is discarded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum EndingPhase {
    /// The last response, and earlier ones that the client has not read, are being written.
    DeliveringLast(LastRequest),
    /// The write side is shut down, and the client's close is awaited.
    Lingering,
}

/// How much was read of the request that got the last response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum LastRequest {
    /// All of it.
    ReadWhole,
    /// Not all: the client may still be sending it, and read the response only afterwards.
    Unfinished,
}

/// The state of a connection, which only the methods of [`ConnectionPhase`] change.
enum State {
    Serving(RequestPhase),
    Ending(EndingPhase),
}

/// The phase of a connection: it serves requests, or it ends.
pub(super) struct ConnectionPhase(State);

impl ConnectionPhase {
    /// Creates the phase of a connection that awaits its first request.
    pub(super) fn new() -> Self {
        Self(State::Serving(RequestPhase::ReadingHead))
    }

    /// Returns the phase of the current request; `None` once the connection ends.
    pub(super) fn request(&self) -> Option<&RequestPhase> {
        match &self.0 {
            State::Serving(phase) => Some(phase),
            State::Ending(_) => None,
        }
    }

    /// Returns the phase of the current request, to be changed; `None` once the connection ends.
    pub(super) fn request_mut(&mut self) -> Option<&mut RequestPhase> {
        match &mut self.0 {
            State::Serving(phase) => Some(phase),
            State::Ending(_) => None,
        }
    }

    /// Sets the phase of the current request; does nothing once the connection ends.
    pub(super) fn set_request(&mut self, phase: RequestPhase) {
        if let Some(current) = self.request_mut() {
            *current = phase;
        }
    }

    /// Returns the request whose body is streamed, if that is the current request's phase.
    pub(super) fn streamed(&self) -> Option<&StreamedRequest> {
        match self.request()? {
            RequestPhase::StreamingBody(streamed) => Some(streamed),
            _ => None,
        }
    }

    /// Returns how far the end of the connection has come; `None` as long as it serves requests.
    pub(super) fn ending(&self) -> Option<EndingPhase> {
        match self.0 {
            State::Serving(_) => None,
            State::Ending(phase) => Some(phase),
        }
    }

    /// Whether the connection ends, so that what arrives is discarded.
    pub(super) fn is_ending(&self) -> bool {
        self.ending().is_some()
    }

    /// Ends the service of requests with the last response, which is to be written. Does nothing once the connection ends.
    pub(super) fn deliver_last(&mut self) {
        if let State::Serving(phase) = &self.0 {
            let last = if phase.is_read_whole() { LastRequest::ReadWhole } else { LastRequest::Unfinished };
            self.0 = State::Ending(EndingPhase::DeliveringLast(last));
        }
    }

    /// Begins to await the client's close.
    pub(super) fn linger(&mut self) {
        self.0 = State::Ending(EndingPhase::Lingering);
    }

    /// Returns the id of the query that is in flight for the current request.
    pub(super) fn query(&self) -> Option<QueryId> {
        match self.request()? {
            RequestPhase::InFlight(query) => Some(*query),
            RequestPhase::StreamingBody(streamed) => streamed.query,
            _ => None,
        }
    }
}
