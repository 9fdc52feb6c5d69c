//! Handles the work that results from an event: requests that have been read, attempts that have ended, bodies and
//! prefilter responses.

use dunepond_body_buffer::BodyId;
use dunepond_routing::{NodeId, Query, QueryId};

use super::EventLoop;
use crate::body_store::BodyEvent;
use crate::downstream::ClientEvent;
use crate::read_turn::UnfinishedConnection;
use crate::upstream::CompletedAttempt;

impl EventLoop {
    /// Handles pending work until none is left: requests that have been read, frames to be written, and ends of
    /// attempts. Ends of attempts are queued because an attempt may end during a call to the router, which must not be
    /// called again from within that call.
    pub(super) fn process_pending(&mut self) {
        loop {
            self.end_disconnected_queries();
            self.router_host.flush();
            self.router_host.pump_bodies();
            if !self.process_next() {
                return;
            }
        }
    }

    /// Handles the next item of pending work; returns `false` if there is none.
    fn process_next(&mut self) -> bool {
        let now = self.router_host.now;
        if let Some((node, attempt)) = self.router_host.upstream.written_bodies.pop_front() {
            self.router.on_frame_written(&mut self.router_host, node, attempt);
        } else if let Some(completed) = self.router_host.upstream.completed.pop_front() {
            self.on_attempt_completed(completed);
        } else if let Some(client) = self.router_host.downstream.clients_to_read.pop() {
            self.read_client(now, client);
        } else if let Some((body, event)) =
            self.router_host.body_store.as_mut().and_then(|bodies| bodies.events.pop_front())
        {
            self.on_body_event(body, event);
        } else if let Some((request, response)) = self
            .router_host
            .prefilter_connections
            .as_mut()
            .and_then(|connections| connections.responses.pop_front())
        {
            if let Some(prefilter) = &mut self.prefilter {
                prefilter.on_response(&mut self.router, &mut self.router_host, request, response);
            }
        } else if let Some(finished) = self.router_host.finished_queries.pop() {
            if let Some(prefilter) = &mut self.prefilter {
                prefilter.on_query_ended(now, finished.query, finished.completely_answered);
            }
        } else if let Some((node, host)) = self.router_host.upstream.release_removed_node() {
            self.forget_node(node, &host);
        } else {
            return false;
        }
        true
    }

    /// Reports the end of an attempt to the prefilter and the router, and releases what its query no longer needs.
    fn on_attempt_completed(&mut self, completed: CompletedAttempt) {
        let query = completed.ended.query;
        if let Some(prefilter) = &mut self.prefilter {
            prefilter.on_attempt_ended(&mut self.router, &mut self.router_host, &completed);
        }
        if let Some(ended) = self.router_host.record_attempt_end(completed) {
            self.router.on_attempt_ended(&mut self.router_host, ended);
            if self.router_host.exceeds_memory(query) {
                self.router_host.give_up(query);
                self.router.on_client_disconnect(&mut self.router_host, query);
            }
            self.router_host.release_body(query, |query| self.router.needs_body(query));
            self.router_host.release(query);
        }
    }

    /// Reads from a client, and handles the request or disconnect that was read.
    fn read_client(&mut self, now: f64, client: usize) {
        match self.router_host.downstream.next_event(now, client, &mut self.router_host.timers) {
            ClientEvent::Query(request) => {
                if let Some(query) = self.router_host.register_query(client, request) {
                    self.start_query(query);
                }
            }
            ClientEvent::SearchRequest(request) => {
                if let Some(id) = self.router_host.register_search_request(client, request) {
                    self.start_next_search(id);
                }
            }
            ClientEvent::StreamedQuery(request, head) => {
                self.router_host.register_streamed_query(client, request, *head)
            }
            ClientEvent::Disconnected(Some(query)) => self.client_disconnected(query),
            ClientEvent::Disconnected(None) | ClientEvent::Nothing => {}
        }
    }

    /// Starts the next search of a search API request. Searches after it wait for a turn of their own, as a request may have
    /// many.
    pub(super) fn start_next_search(&mut self, request: QueryId) {
        if let Some(query) = self.router_host.register_next_search(request) {
            self.start_query(query);
        }
        if self.router_host.has_pending_searches(request) {
            self.unfinished_turns.add(UnfinishedConnection::SearchRequest(request));
        }
    }

    /// Removes a node that nothing refers to any more.
    fn forget_node(&mut self, node: NodeId, host: &str) {
        self.router.remove_node(node);
        if let Some(control_plane) = &mut self.router_host.control_plane {
            control_plane.forget(node, host);
        }
        if let Some(prefilter) = &mut self.prefilter {
            prefilter.forget(node);
        }
        self.discovery.forget(node, host);
    }

    /// Hands a registered query to the prefilter or the router, unless the active configuration rejects it.
    fn start_query(&mut self, mut query: Query) {
        if !self.router_host.check_active_config(&mut query) {
            return;
        }
        match &mut self.prefilter {
            Some(prefilter) => prefilter.start_query(&mut self.router, &mut self.router_host, query),
            None => self.router.on_query(&mut self.router_host, query),
        }
    }

    /// Handles a streamed body that is now completely buffered, that is passed through to the nodes as it arrives, or
    /// that was lost.
    fn on_body_event(&mut self, body: BodyId, event: BodyEvent) {
        let fallback_reason = match event {
            BodyEvent::Buffered => None,
            BodyEvent::PassThrough(reason) => Some(reason),
            BodyEvent::Lost(reason) => {
                if let Some(query) = self.router_host.on_body_lost(body, reason) {
                    self.router.on_body_discarded(&mut self.router_host, query);
                }
                let now = self.router_host.now;
                return self.router_host.upstream.abort_lost_bodies(now, &mut self.router_host.timers);
            }
        };
        if let Some((query, body)) = self.router_host.start_streamed_query(body, fallback_reason) {
            let (id, mut query) = (query.id, query);
            if self.router_host.check_active_config(&mut query) {
                self.router.on_query(&mut self.router_host, query);
            }
            body.set_all_readers_attached();
            self.router_host.release_body(id, |query| self.router.needs_body(query));
        }
    }

    /// Ends a query whose deadline has passed; if the query is still unanswered, its client gets a 504.
    pub(super) fn expire_query(&mut self, query: QueryId) {
        if self.router_host.expire_attempts(query) {
            self.process_pending();
            self.router_host.fail_overdue(query);
            self.router.on_client_disconnect(&mut self.router_host, query);
        }
    }
}
