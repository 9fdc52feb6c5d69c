//! What a router can order its host to do.

use crate::{NodeId, QueryId};

/// The host's side of a router: its clock, and the orders that it carries out in the sequence they are given.
pub trait Transport {
    /// Seconds on the host's clock, which stands still during a call.
    fn now(&self) -> f64;
    /// Sends a part to a node. A part's attempts count from 0 in the order of these calls.
    fn send_attempt(&mut self, query: QueryId, part: usize, node: NodeId);
    /// Closes the connections to a node, the idle ones at once and the others once nothing is out on them any more; what is
    /// sent next opens a new one.
    fn close_idle_connections(&mut self, node: NodeId);
    /// Stops waiting for one attempt; its end is still reported.
    fn cancel_attempt(&mut self, query: QueryId, part: usize, attempt: usize);
    /// Asks a node for a sign of life and room; its end comes back as [`Router::on_probe_result`](crate::Router::on_probe_result).
    fn probe(&mut self, node: NodeId);
    /// Answers from the parts that are in; for a query with a second step, the first call asks for that step's parts.
    fn answer(&mut self, query: QueryId, is_complete: bool);
    /// Rejects a query: trying again is harmless, after `retry_after` seconds if that is above 0.
    fn reject_retriable(&mut self, query: QueryId, retry_after: f64);
    /// Fails a query with an unknown outcome: some of it may have run.
    fn fail_unknown_outcome(&mut self, query: QueryId);
    /// The router is done with a query: no further order names it, save a cancel of what is out.
    fn finish(&mut self, query: QueryId);
    /// Asks for one [`Router::on_wake`](crate::Router::on_wake) at or soon after a time.
    fn schedule_wake(&mut self, at: f64);
    /// Asks for the changes of the endpoint list, those missed first and others as they come; the answer comes as
    /// [`Router::update_endpoints`](crate::Router::update_endpoints) or
    /// [`Router::on_list_poll_failed`](crate::Router::on_list_poll_failed). Called only where
    /// [`Deployment::list_poll_deadline`](crate::Deployment::list_poll_deadline) is stated; a host that sees to its list itself does nothing.
    fn poll_endpoint_list(&mut self) {}
    /// Writes a plain line for whoever is on call.
    fn log(&mut self, line: &str);
}
