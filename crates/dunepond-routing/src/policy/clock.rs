//! Clock: when the router is woken next, and how a stall of the process itself is compensated.
//!
//! Inputs: the transport's clock (seconds), the tick (seconds), and the instant for which a wake (a call of
//! [`Router::on_wake`]) was requested. A wake that comes far too late means that the process has stalled and
//! read nothing in the meantime. If the stall counted as silence of the nodes, the whole fleet would be
//! ejected.

use crate::Transport;
use crate::state::Router;

/// Longest expected stall between reading the clock and writing to a connection, in seconds. An attempt that
/// must not run after some instant, such as the end of an idempotency window, is not sent within this time
/// before it. Client deadlines have no such margin, because many queries arrive with less time left and are
/// served in time.
pub const MAX_STALL_SECONDS: f64 = 0.15;
/// Delay, in ticks, of a requested call of [`Router::on_wake`] above which the process is taken to have
/// stalled.
const STALL_TICKS: f64 = 10.0;
/// Interval, in ticks, between calls of [`Router::on_wake`] while queries are in flight.
const WAKE_INTERVAL_TICKS: f64 = 5.0;
/// Tolerance, in ticks, for a call of [`Router::on_wake`] that comes early because instants are rounded.
const EARLY_WAKE_TICKS: f64 = 0.5;

impl Router {
    /// Reads the clock. After a stall of this process, moves the nodes' timestamps forward by the length of
    /// the stall, so that it does not count as silence of the nodes.
    pub(super) fn sync_clock(&mut self, transport: &dyn Transport) {
        self.now = transport.now();
        let stalled = self.now - self.wake_due_at;
        if stalled <= STALL_TICKS * self.deployment.tick {
            return;
        }
        self.wake_due_at = self.now;
        for node in self.nodes.iter_mut().flatten() {
            node.last_response_at += stalled;
            for attempt in &mut node.outstanding {
                attempt.sent_at += stalled;
            }
        }
    }

    /// Returns the instant that lies `objectives` times the longest latency objective in the past.
    pub(super) fn objectives_ago(&self, objectives: f64) -> f64 {
        self.now - objectives * self.latency.longest_objective
    }

    /// Clears the pending request for a call of [`Router::on_wake`], because the call is being made. The host
    /// also makes calls for older requests, which a request for an earlier instant has replaced. If the
    /// endpoint list is polled, such a call clears nothing when it comes before the pending request is due;
    /// otherwise the calls for polling and for queries would each request another call.
    pub(super) fn clear_due_wake(&mut self) {
        let is_polling = self.endpoint_poll.next_at < f64::MAX;
        if !is_polling || self.now > self.wake_due_at - EARLY_WAKE_TICKS * self.deployment.tick {
            self.wake_due_at = f64::MAX;
        }
    }

    /// Polls the endpoint list if due, and requests the next call of [`Router::on_wake`] unless an earlier one
    /// is pending.
    pub(super) fn schedule_wake(&mut self, transport: &mut dyn Transport) {
        self.poll_endpoints(transport);
        let next = if self.queries.is_empty() {
            self.endpoint_poll.next_at
        } else {
            self.now + WAKE_INTERVAL_TICKS * self.deployment.tick
        };
        if next < self.wake_due_at {
            self.wake_due_at = next;
            transport.schedule_wake(next);
        }
    }
}
