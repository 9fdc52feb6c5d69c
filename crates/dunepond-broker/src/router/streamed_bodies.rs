//! Registers queries with streamed bodies, and moves the bodies from the clients to the nodes.

use std::rc::Rc;

use dunepond_body_buffer::{BodyId, FallbackReason, IncomingBody};
use dunepond_routing::{Query, QueryId};

use super::RouterHost;
use crate::body::{Body, Payload};
use crate::clock::TimerEvent;
use crate::http::{Head, HttpError};
use crate::query_request::QueryRequest;

impl RouterHost {
    /// Registers a query whose body is streamed, or rejects it at once with an error that names the reason.
    pub fn register_streamed_query(&mut self, client: usize, request: QueryRequest, head: Head) {
        let Some(bodies) = &mut self.body_store else { return };
        bodies.record_other_memory(self.pools.allocated_bytes(), self.memory.stored_bytes());
        let QueryRequest { tenant, query_class, .. } = request;
        let incoming = IncomingBody { tenant, query_class, stated_length: head.declared_length() };
        match bodies.accept(self.now, incoming) {
            Ok(body) => {
                if !bodies.io_check_scheduled {
                    bodies.io_check_scheduled = true;
                    self.timers
                        .schedule(self.now + bodies.limits().io_timeout_seconds / 4.0, TimerEvent::BodyCheck);
                }
                self.uploads.insert(body.id, client);
                // A client's deadline is capped by the query class's timeout.
                let latest_deadline = self.now + self.timeouts[query_class];
                let request = QueryRequest { deadline: request.deadline.min(latest_deadline), ..request };
                self.downstream.receive_body(self.now, client, request, head, &body, &mut self.timers);
            }
            Err(reason) => self.reject_body(client, reason),
        }
    }

    /// Rejects a request whose body cannot be accepted; `reason` says why.
    fn reject_body(&mut self, client: usize, reason: FallbackReason) {
        let (error, retry_after) = self.body_error(reason);
        self.downstream.reject_and_close(self.now, client, error, retry_after, &mut self.timers);
    }

    /// Returns the error and the Retry-After (in seconds) for a body that is rejected or lost. A request whose body is
    /// too long, or whose body length is not known, is not retriable.
    fn body_error(&self, reason: FallbackReason) -> (HttpError, f64) {
        match reason {
            FallbackReason::TooLong | FallbackReason::LengthUnknown => {
                (HttpError::new(413, format!("body: {reason}")), 0.0)
            }
            _ => (HttpError::new(503, format!("body: {reason}")), self.max_retry_after),
        }
    }

    /// Registers the query of a streamed body that is buffered, or that is passed through for the reason in `failure`.
    /// Returns `None` if the client is gone or the query was rejected.
    pub fn start_streamed_query(
        &mut self,
        body: BodyId,
        failure: Option<FallbackReason>,
    ) -> Option<(Query, Rc<Body>)> {
        let client = self.uploads.remove(&body)?;
        let (request, body) = self.downstream.start_query(client, body, &mut self.timers)?;
        let request = QueryRequest { payload: Payload::Streamed(body.clone()), ..request };
        let query = self.register_query(client, request)?;
        if let Some(active) = self.queries.get_mut(&query.id) {
            active.body_failure = failure;
        }
        Some((query, body))
    }

    /// Handles the loss of a body. If the body is still being uploaded, its client gets an error; returns the unfinished
    /// query that uses the body, if there is one.
    pub fn on_body_lost(&mut self, body: BodyId, reason: FallbackReason) -> Option<QueryId> {
        if let Some(client) = self.uploads.remove(&body) {
            let (error, retry_after) = self.body_error(reason);
            self.downstream.fail_body(self.now, client, body, error, retry_after, &mut self.timers);
        }
        let (query, active) =
            self.queries.iter_mut().find(|(_, active)| active.body == Some(body) && !active.is_finished)?;
        (active.body_failure, active.payload) = (Some(reason), Payload::Released);
        Some(*query)
    }

    /// Releases a query's body once no attempt can need it again.
    pub fn release_body(&mut self, query: QueryId, needed: impl Fn(QueryId) -> bool) {
        if let Some(active) = self.queries.get_mut(&query)
            && active.payload.body().is_some()
            && !needed(query)
        {
            active.payload = Payload::Released;
        }
    }

    /// Advances streamed bodies: submits reads of spilled blocks, writes frames to nodes, resumes reading from clients.
    pub fn pump_bodies(&mut self) {
        let Some(bodies) = &mut self.body_store else { return };
        let received = std::mem::take(&mut self.downstream.bodies_received);
        if !received.is_empty() {
            bodies.record_other_memory(self.pools.allocated_bytes(), self.memory.stored_bytes());
        }
        for id in received {
            bodies.advance(self.now, id);
            bodies.made_progress = true;
        }
        bodies.submit_reads(self.now);
        if std::mem::take(&mut bodies.made_progress) {
            self.upstream.resume_bodies(self.now, &mut self.timers);
            bodies.submit_reads(self.now);
        }
        for id in bodies.release_dropped() {
            self.uploads.remove(&id);
        }
        self.downstream.resume_unblocked();
    }

    /// Logs the counters of the body store. `copied` is the number of bytes copied into frames for nodes.
    pub fn report_body_counters(&mut self, copied: u64) {
        if let Some(bodies) = &mut self.body_store {
            bodies.record_other_memory(self.pools.allocated_bytes(), self.memory.stored_bytes());
            bodies.log_counters(copied);
        }
    }

    /// Fails bodies that make no progress, and closes connections to nodes that consume a body too slowly. Schedules
    /// the next check if any body is left.
    pub fn check_bodies(&mut self) {
        let Some(bodies) = &mut self.body_store else { return };
        bodies.fail_overdue(self.now);
        let io_timeout = bodies.limits().io_timeout_seconds;
        self.upstream.close_slow_consumers(self.now, io_timeout, &mut self.timers);
        bodies.record_other_memory(self.pools.allocated_bytes(), self.memory.stored_bytes());
        bodies.io_check_scheduled = bodies.is_tracking_any();
        if bodies.io_check_scheduled {
            self.timers.schedule(self.now + io_timeout / 4.0, TimerEvent::BodyCheck);
        }
    }
}
