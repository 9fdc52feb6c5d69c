//! Withdraws attempts that are not fully sent, and cancels fully sent attempts at their nodes.

use std::collections::VecDeque;

use dunepond_routing::{AttemptId, AttemptOutcome, NodeId, QueryId};

use super::{NodeConnection, OutstandingRequest, Upstream};
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;
use crate::frames;

impl Upstream {
    /// Cancels one attempt: withdraws it if it is not fully sent, otherwise sends the node a cancel frame or, with the
    /// search API, closes the connection. Does nothing if the attempt is not outstanding.
    pub fn cancel(
        &mut self,
        now: f64,
        node: NodeId,
        key: AttemptId,
        outcome: AttemptOutcome,
        timers: &mut Timers,
    ) {
        if self.withdraw(now, node, key, outcome, timers) {
            return;
        }
        let Some((id, position)) = self.find_outstanding(node, key) else { return };
        let connection = &mut self.connections[id];
        let Some(out) = connection.finish_request(position) else { return };
        connection.cancelled.push(out.request.id.clone());
        if connection.uses_search_api {
            // The search API has no cancel request; closing the connection aborts the one request on it.
            self.close(now, id, ConnectionEnd::FrameAborted, timers);
        } else if outcome == AttemptOutcome::Cancelled {
            // A timed-out attempt needs no cancel frame: the node knows the attempt's time limit from the request
            // frame.
            connection.output.queue_bytes(&frames::encode_cancel(&out.request.id));
            self.write(now, id, timers);
        }
        self.completed.push_back(out.into_completed(node, outcome, now, None));
        self.close_or_keep_idle(now, id, timers);
    }

    /// Returns the queries that have an attempt on connection `id` that is not fully written.
    pub fn queries_awaiting_write(&self, id: usize) -> Vec<QueryId> {
        let Some(connection) = self.connections.get(id) else { return Vec::new() };
        let unwritten = connection.outstanding.iter().filter(|out| !out.is_written(&connection.output));
        unwritten.map(|out| out.request.query).collect()
    }

    /// Returns whether an attempt is outstanding on any connection to a node; its frame may or may not be written.
    pub fn has_outstanding(&self, node: NodeId, key: AttemptId) -> bool {
        self.find_outstanding(node, key).is_some()
    }

    /// Returns the connection on which an attempt is outstanding, and the attempt's index in that connection's
    /// `outstanding` queue.
    fn find_outstanding(&self, node: NodeId, key: AttemptId) -> Option<(usize, usize)> {
        let connections = &self.nodes.get(node)?.connections;
        let position =
            |connection: &NodeConnection| connection.outstanding.iter().position(|o| o.request.key() == key);
        connections.iter().find_map(|id| Some((*id, position(&self.connections[*id])?)))
    }

    /// Withdraws the attempts of a connection that are past their `send_by` time. Returns `false`, without withdrawing
    /// any, if the frame of one of them is partly written: the rest of the frame would arrive too late, and the written
    /// bytes cannot be withdrawn, so the caller has to close the connection.
    pub(super) fn withdraw_expired(&mut self, now: f64, id: usize) -> bool {
        let Some(connection) = self.connections.get(id) else { return true };
        let is_expired = |out: &OutstandingRequest| now >= out.request.send_by;
        let is_partly_written =
            |out: &OutstandingRequest| out.frame_end.is_some() && !out.is_written(&connection.output);
        if connection.outstanding.iter().any(|out| is_expired(out) && is_partly_written(out)) {
            return false;
        }
        self.withdraw_unframed(now, id, is_expired);
        true
    }

    /// Withdraws the attempts on a connection that are not framed yet and for which `predicate` returns `true`; they
    /// end with `AttemptOutcome::NotSent`.
    pub(super) fn withdraw_unframed(
        &mut self,
        now: f64,
        id: usize,
        predicate: impl Fn(&OutstandingRequest) -> bool,
    ) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let is_withdrawn = |out: &OutstandingRequest| out.frame_end.is_none() && predicate(out);
        if connection.outstanding.iter().any(is_withdrawn) {
            let (withdrawn, outstanding): (VecDeque<OutstandingRequest>, _) =
                connection.outstanding.drain(..).partition(is_withdrawn);
            connection.outstanding = outstanding;
            let node = connection.node;
            self.completed.extend(
                withdrawn.into_iter().map(|out| out.into_completed(node, AttemptOutcome::NotSent, now, None)),
            );
        }
    }

    /// Withdraws an attempt that is not fully written, so that none of its remaining bytes are sent. Returns `false` if
    /// the attempt is fully written or not found. If the attempt's frame is partly written, the connection is closed.
    pub fn withdraw(
        &mut self,
        now: f64,
        node: NodeId,
        key: AttemptId,
        outcome: AttemptOutcome,
        timers: &mut Timers,
    ) -> bool {
        let Some(node_entry) = self.nodes.get_mut(node) else { return false };
        if let Some(position) = node_entry.unassigned.iter().position(|request| request.key() == key) {
            self.completed.push_back(node_entry.unassigned.remove(position).completed_unsent(node, outcome));
            return true;
        }
        let Some((id, position)) = self.find_outstanding(node, key) else { return false };
        let connection = &mut self.connections[id];
        let is_partly_written = match connection.outstanding[position].frame_end {
            Some(frame_end) if frame_end <= connection.output.written_offset() => return false,
            frame_end => frame_end.is_some(),
        };
        let out = if is_partly_written {
            connection.finish_request(position)
        } else {
            connection.outstanding.remove(position)
        };
        self.completed.extend(out.map(|out| out.into_completed(node, outcome, now, None)));
        if is_partly_written {
            // The bytes already written cannot be withdrawn; closing keeps the frame incomplete.
            self.close(now, id, ConnectionEnd::FrameAborted, timers);
        }
        true
    }
}
