//! Bodies of streamed requests on their way in: when they may come, when their query begins, and when they fail.

use std::rc::Rc;

use dunepond_body_buffer::BodyId;

use super::{Downstream, QueryRequest, RequestPhase, StreamedRequest};
use crate::body::Body;
use crate::clock::Timers;
use crate::http::{Head, HttpError, Message};

impl Downstream {
    /// A body of a streamed request may come in: into this.
    pub fn takes(
        &mut self,
        now: f64,
        id: usize,
        asked: QueryRequest,
        head: Head,
        body: &Rc<Body>,
        timers: &mut Timers,
    ) {
        let Some(client) = self.connections.get_mut(id) else { return };
        if head.expects_continue {
            client.out.put(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let until = asked.deadline;
        let message = Message::streaming_into(head, body);
        let (body, asked) = (body.clone(), Some(asked));
        client.phase = RequestPhase::StreamingBody(Box::new(StreamedRequest {
            message,
            body,
            asked,
            query: None,
            all: false,
        }));
        self.again.push(id);
        self.write(now, id, timers);
        // It may take over it for as long as it would wait for the answer.
        if self.connections.contains(id) {
            self.set(id, until, timers);
        }
    }

    /// The query of a body that is kept, or that passes, may begin.
    pub fn start_query(
        &mut self,
        id: usize,
        body: BodyId,
        timers: &mut Timers,
    ) -> Option<(QueryRequest, Rc<Body>)> {
        let Some(RequestPhase::StreamingBody(raw)) = self.connections.get_mut(id).map(|c| &mut c.phase)
        else {
            return None;
        };
        let asked = raw.asked.take_if(|_| raw.body.id == body)?;
        let body = raw.body.clone();
        if raw.all {
            self.connections[id].phase = RequestPhase::AwaitingAdmission;
        }
        self.clear_timer(id, timers);
        Some((asked, body))
    }

    /// A body that was coming in cannot be taken.
    pub fn fail_body(
        &mut self,
        now: f64,
        id: usize,
        body: BodyId,
        why: HttpError,
        wait: f64,
        timers: &mut Timers,
    ) {
        let client = self.connections.get(id).map(|c| &c.phase);
        if matches!(client, Some(RequestPhase::StreamingBody(raw)) if raw.body.id == body && raw.query.is_none())
        {
            self.clear_timer(id, timers);
            self.refuse(now, id, why, wait, timers);
        }
    }

    /// Who waited for a body to go on may send on, where it has.
    pub fn resume_unblocked(&mut self) {
        for id in std::mem::take(&mut self.blocked_on_body) {
            match self.connections.get(id).map(|c| &c.phase) {
                Some(RequestPhase::StreamingBody(raw)) if raw.body.is_full() => self.blocked_on_body.push(id),
                Some(RequestPhase::StreamingBody(_)) => self.go_on(id),
                _ => {}
            }
        }
    }
}
