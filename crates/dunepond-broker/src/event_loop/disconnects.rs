//! Ends the queries of disconnected clients, before any event is handled that might send an attempt for them.

use dunepond_routing::QueryId;

use super::EventLoop;
use crate::iteration::{Iteration, LoopEvent};

impl EventLoop {
    /// Checks the clients with a readiness event for a disconnect, before any other event of the iteration is handled.
    /// Otherwise a node's failure that is handled first would cause retries for a client that is gone.
    pub(super) fn detect_disconnects(&mut self, iteration: &Iteration) {
        let now = self.router_host.now;
        for event in &iteration.events {
            if let LoopEvent::ClientReady(id, true) = event {
                self.router_host.downstream.check_waiting_client(now, *id);
            }
        }
        self.end_disconnected_queries();
    }

    /// Closes the connections of clients that were found disconnected, and ends their queries.
    pub(super) fn end_disconnected_queries(&mut self) {
        while let Some(id) = self.router_host.downstream.next_disconnected(&mut self.router_host.timers) {
            if let Some(id) = id {
                self.client_disconnected(id);
            }
        }
    }

    /// Ends every query that runs for the request `id` of a disconnected client.
    pub(super) fn client_disconnected(&mut self, id: QueryId) {
        for query in self.router_host.queries_of(id) {
            self.router_host.conclude_disconnected(query);
            self.router.on_client_disconnect(&mut self.router_host, query);
        }
    }
}
