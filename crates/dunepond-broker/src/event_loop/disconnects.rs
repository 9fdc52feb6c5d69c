//! Disconnected clients, handled before any event that might send something for them.

use dunepond_routing::QueryId;

use super::EventLoop;
use crate::iteration::{Iteration, LoopEvent};

impl EventLoop {
    /// Detects disconnects before any other event of the iteration is handled: a node's failure that came earlier would cause
    /// retries without a client.
    pub(super) fn detect_disconnects(&mut self, iteration: &Iteration) {
        let now = self.router_host.now;
        for event in &iteration.events {
            if let LoopEvent::ClientReady(id, true) = event {
                self.router_host.downstream.check_while_waiting(now, *id);
            }
        }
        self.end_disconnected_queries();
    }

    /// Ends the queries of clients that were found disconnected.
    pub(super) fn end_disconnected_queries(&mut self) {
        while let Some(id) = self.router_host.downstream.next_disconnected(&mut self.router_host.timers) {
            if let Some(id) = id {
                self.client_disconnected(id);
            }
        }
    }

    pub(super) fn client_disconnected(&mut self, id: QueryId) {
        for query in self.router_host.queries_of(id) {
            self.router_host.conclude_disconnected(query);
            self.router.on_client_disconnect(&mut self.router_host, query);
        }
    }
}
