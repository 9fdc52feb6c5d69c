//! The interface through which a router gives orders to its host.

use crate::{NodeId, QueryId};

/// The host of a router: provides the clock and carries out the router's orders in the sequence in which they
/// are given.
pub trait Transport {
    /// Returns the time in seconds on the host's clock, which does not advance during a call of the router.
    fn now(&self) -> f64;
    /// Sends a part to a node. Attempts of a part are numbered from 0 in the order of these calls.
    fn send_attempt(&mut self, query: QueryId, part: usize, node: NodeId);
    /// Closes the connections to a node: idle ones at once, the others after their last attempt. The next
    /// attempt opens a new connection.
    fn close_idle_connections(&mut self, node: NodeId);
    /// Cancels an attempt. Its end is still reported by
    /// [`Router::on_attempt_ended`](crate::Router::on_attempt_ended).
    fn cancel_attempt(&mut self, query: QueryId, part: usize, attempt: usize);
    /// Probes a node for liveness and free capacity;
    /// [`Router::on_probe_result`](crate::Router::on_probe_result) receives the result.
    fn probe(&mut self, node: NodeId);
    /// Answers a query with the parts received. For a query with two steps, the first call ends the first step,
    /// and [`Router::on_second_step`](crate::Router::on_second_step) then receives the parts of the second one.
    fn answer(&mut self, query: QueryId, is_complete: bool);
    /// Rejects a query that the client may safely retry. If `retry_after` is greater than 0, the rejection
    /// tells the client to retry after that number of seconds.
    fn reject_retriable(&mut self, query: QueryId, retry_after: f64);
    /// Fails a query with an unknown outcome: parts of it may have run.
    fn fail_unknown_outcome(&mut self, query: QueryId);
    /// Reports that the router has finished a query. Later orders for it only cancel its outstanding attempts.
    fn finish(&mut self, query: QueryId);
    /// Requests one call of [`Router::on_wake`](crate::Router::on_wake) at this instant or soon after.
    fn schedule_wake(&mut self, at: f64);
    /// Polls the endpoint list for changes, including those missed earlier; the answer is reported by
    /// [`Router::update_endpoints`](crate::Router::update_endpoints) or
    /// [`Router::on_list_poll_failed`](crate::Router::on_list_poll_failed). Called only if
    /// [`Deployment::list_poll_deadline`](crate::Deployment::list_poll_deadline) is set. The default does
    /// nothing, for a host that watches its endpoint list by itself.
    fn poll_endpoint_list(&mut self) {}
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
