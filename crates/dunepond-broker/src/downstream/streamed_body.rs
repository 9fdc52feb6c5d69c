//! Bodies of streamed requests as they are received: when they are read, when their query starts, and when they fail.

use std::rc::Rc;

use dunepond_body_buffer::BodyId;

use super::decode::CONTINUE_RESPONSE;
use super::{Downstream, RequestPhase, StreamedRequest};
use crate::body::Body;
use crate::clock::Timers;
use crate::http::{Head, HttpError, Message};
use crate::query_request::QueryRequest;

impl Downstream {
    /// Receives the body of a streamed request into `body`.
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
            client.output.queue_bytes(CONTINUE_RESPONSE);
        }
        let until = request.deadline;
        let message = Message::streaming_into(head, body);
        let (body, request) = (body.clone(), Some(request));
        client.phase = RequestPhase::StreamingBody(Box::new(StreamedRequest {
            message,
            body,
            request,
            query: None,
            body_complete: false,
        }));
        self.pending_clients.push(id);
        self.write(now, id, timers);
        // The body may take as long as the client would wait for the response.
        if self.connections.contains(id) {
            self.set_timer(id, until, timers);
        }
    }

    /// Starts the query of a body that is buffered, or that passes through; `None` if its client is gone.
    pub fn start_query(
        &mut self,
        id: usize,
        body: BodyId,
        timers: &mut Timers,
    ) -> Option<(QueryRequest, Rc<Body>)> {
        let Some(RequestPhase::StreamingBody(streamed)) = self.connections.get_mut(id).map(|c| &mut c.phase)
        else {
            return None;
        };
        let request = streamed.request.take_if(|_| streamed.body.id == body)?;
        let body = streamed.body.clone();
        if streamed.body_complete {
            self.connections[id].phase = RequestPhase::AwaitingAdmission;
        }
        self.clear_timer(id, timers);
        Some((request, body))
    }

    /// Answers a client whose body cannot be received, unless its query has started. `retry_after` in seconds becomes `Retry-After`.
    pub fn fail_body(
        &mut self,
        now: f64,
        id: usize,
        body: BodyId,
        reason: HttpError,
        retry_after: f64,
        timers: &mut Timers,
    ) {
        let client = self.connections.get(id).map(|c| &c.phase);
        if matches!(client, Some(RequestPhase::StreamingBody(streamed)) if streamed.body.id == body && streamed.query.is_none())
        {
            self.clear_timer(id, timers);
            self.refuse(now, id, reason, retry_after, timers);
        }
    }

    /// Reads on from clients whose body has room again, or that have been answered: what these still send is discarded, and unread it
    /// would keep them from their response.
    pub fn resume_unblocked(&mut self) {
        for id in std::mem::take(&mut self.blocked_on_body) {
            match self.connections.get(id).map(|c| &c.phase) {
                Some(RequestPhase::StreamingBody(streamed)) if streamed.body.is_full() => {
                    self.blocked_on_body.push(id)
                }
                Some(_) => self.resume_reading(id),
                None => {}
            }
        }
    }
}
