//! Receives the bodies of streamed requests: when they are read, when their query starts, and what happens if they fail.

use std::rc::Rc;

use dunepond_body_buffer::BodyId;

use super::decode::CONTINUE_RESPONSE;
use super::phase::StreamedRequest;
use super::{Downstream, RequestPhase};
use crate::body::Body;
use crate::clock::Timers;
use crate::http::{Head, HttpError, Message};
use crate::query_request::QueryRequest;
use crate::read_turn::UnfinishedConnection;

impl Downstream {
    /// Starts to receive the body of a streamed request into `body`.
    pub fn receive_body(
        &mut self,
        now: f64,
        id: usize,
        request: QueryRequest,
        head: Head,
        body: &Rc<Body>,
        timers: &mut Timers,
    ) {
        let Some(client) = self.connections.get_mut(id) else { return };
        if head.expects_continue {
            client.output.queue_vec(CONTINUE_RESPONSE.to_vec());
        }
        let deadline = request.deadline;
        let message = Message::streaming_into(head, body);
        let (body, request) = (body.clone(), Some(request));
        client.phase.set_request(RequestPhase::StreamingBody(Box::new(StreamedRequest {
            message,
            body,
            request,
            query: None,
            body_complete: false,
        })));
        self.clients_to_read.push(id);
        self.write(now, id, timers);
        // The body may take until the request's deadline to arrive.
        if self.connections.contains(id) {
            self.set_timer(id, deadline, timers);
        }
    }

    /// Returns the request and the body of a streamed request whose query starts now, as the body is completely
    /// buffered or is passed through to the nodes as it arrives. Returns `None` if the client is gone.
    pub fn start_query(
        &mut self,
        id: usize,
        body: BodyId,
        timers: &mut Timers,
    ) -> Option<(QueryRequest, Rc<Body>)> {
        let phase = self.connections.get_mut(id)?.phase.request_mut()?;
        let RequestPhase::StreamingBody(streamed) = phase else { return None };
        let request = streamed.request.take_if(|_| streamed.body.id == body)?;
        let body = streamed.body.clone();
        if streamed.body_complete {
            *phase = RequestPhase::AwaitingAdmission;
        }
        self.clear_timer(id, timers);
        Some((request, body))
    }

    /// Sends an error to a client whose body cannot be received, unless its query has started. `retry_after` is the value of
    /// `Retry-After` in seconds.
    pub fn fail_body(
        &mut self,
        now: f64,
        id: usize,
        body: BodyId,
        reason: HttpError,
        retry_after: f64,
        timers: &mut Timers,
    ) {
        let streamed = self.connections.get(id).and_then(|client| client.phase.streamed());
        if streamed.is_some_and(|streamed| streamed.body.id == body && streamed.query.is_none()) {
            self.clear_timer(id, timers);
            self.reject_and_close(now, id, reason, retry_after, timers);
        }
    }

    /// Resumes reading from clients whose body has room again, and from clients that have been answered. An answered
    /// client may read its response only after it has sent the whole body, so the rest of the body is read and
    /// discarded.
    pub fn resume_unblocked(&mut self) {
        for id in std::mem::take(&mut self.blocked_on_body) {
            let Some(client) = self.connections.get_mut(id) else { continue };
            if client.phase.streamed().is_some_and(|streamed| streamed.body.is_full()) {
                self.blocked_on_body.push(id);
            } else {
                client.reading_paused = false;
                self.unfinished_turns.add(UnfinishedConnection::Client(id));
            }
        }
    }
}
