//! The interface through which a router gives orders to its host.

use crate::{NodeId, QueryId};

/// The host of a router, with its clock and the orders that it carries out in the sequence in which they
/// are given.
pub trait Transport {
    /// The time in seconds on the host's clock, which stands still during a call.
    fn now(&self) -> f64;
    /// Sends a part to a node. A part's attempts count from 0 in the order of these calls.
    fn send_attempt(&mut self, query: QueryId, part: usize, node: NodeId);
    /// Closes the connections to a node: idle ones at once, the others after their last attempt. The next
    /// attempt opens a new one.
    fn close_idle_connections(&mut self, node: NodeId);
    /// Stops waiting for an attempt, whose end is still reported.
    fn cancel_attempt(&mut self, query: QueryId, part: usize, attempt: usize);
    /// Asks a node for a sign of life and its free capacity;
    /// [`Router::on_probe_result`](crate::Router::on_probe_result) receives the result.
    fn probe(&mut self, node: NodeId);
    /// Answers with the parts received. If the query has a second step, the first call requests the parts of
    /// that step.
    fn answer(&mut self, query: QueryId, is_complete: bool);
    /// Rejects a query that is safe to retry, after `retry_after` seconds if that is greater than 0.
    fn reject_retriable(&mut self, query: QueryId, retry_after: f64);
    /// Fails a query with an unknown outcome: parts of it may have run.
    fn fail_unknown_outcome(&mut self, query: QueryId);
    /// Reports that the router has finished with a query: later orders only cancel its outstanding
    /// attempts.
    fn finish(&mut self, query: QueryId);
    /// Requests one call of [`Router::on_wake`](crate::Router::on_wake) at this instant or soon after.
    fn schedule_wake(&mut self, at: f64);
    /// Polls the endpoint list for changes, including those missed; the answer is reported by
    /// [`Router::update_endpoints`](crate::Router::update_endpoints) or
    /// [`Router::on_list_poll_failed`](crate::Router::on_list_poll_failed). Called only if
    /// [`Deployment::list_poll_deadline`](crate::Deployment::list_poll_deadline) is stated; a host that
    /// watches its list by itself does nothing.
    fn poll_endpoint_list(&mut self) {}
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
